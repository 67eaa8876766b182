"""Composition root: the one place where the parts of a host are wired."""

import secrets
import time

import aiohttp

from marigoldswitch.administration import Administration
from marigoldswitch.backends import PlainClient
from marigoldswitch.callers import CallerInterface
from marigoldswitch.chains import ChainClient
from marigoldswitch.claiming import Claims
from marigoldswitch.clocks import SystemClock
from marigoldswitch.core.adoption import Adoption
from marigoldswitch.core.ids import DataCentre, HostId, Incarnation
from marigoldswitch.core.leaving import LeavingMarks
from marigoldswitch.core.ports import Clock
from marigoldswitch.dispatching import Dispatching
from marigoldswitch.followers import Follower
from marigoldswitch.fronts import Front
from marigoldswitch.gauges import Gauges
from marigoldswitch.gossip import Gossip
from marigoldswitch.hosts import Host, HostParts, HostState, describe_status
from marigoldswitch.members import Member, MemberView
from marigoldswitch.metrics import Metrics
from marigoldswitch.peers import PeerNetwork
from marigoldswitch.quotas import QuotaSharing
from marigoldswitch.releases import Releases
from marigoldswitch.runs import Parts
from marigoldswitch.settings import Settings
from marigoldswitch.stores import PlatformClient

INCARNATION_BITS = 48


def compose_host(settings: Settings, clock: Clock | None = None) -> Host:
    """Wire one host; it must be called with a loop running.

    :param clock: the source of time; the machine's clock by default.
    """
    clock = clock or SystemClock()
    state = HostState()
    own = Member(
        HostId(settings.host),
        DataCentre(settings.data_centre),
        f"{settings.listen.address}:{settings.listen.peers}",
    )
    session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
    platform = PlatformClient(
        session, settings.host, settings.platform.address, settings.platform.timeout
    )
    view = MemberView(own)
    network = PeerNetwork(own.host, settings.peers.secrets, view.locate)
    marks = LeavingMarks(time.time() - clock.monotonic())
    gossip = Gossip(clock, view, network, settings.peers, marks)
    adoption = Adoption()
    releases = Releases(platform, platform)
    follower = Follower(releases, platform, adoption, settings.platform.poll)
    quotas = QuotaSharing(clock, network, view)
    dispatching = Dispatching(clock, network, view, settings.peers.ask_timeout, quotas)
    incarnation = Incarnation(secrets.randbits(INCARNATION_BITS))
    claims = Claims(platform, platform, network, clock, settings.claims, incarnation)
    plain, chains = PlainClient(session), ChainClient(session)
    parts = Parts(clock, own, dispatching, claims, plain, chains, settings.streams)
    metrics = Metrics()
    front = Front(parts, metrics, settings.requests.held)
    metrics.add_source(Gauges(metrics, adoption, view, network, dispatching).read)
    callers = CallerInterface(
        clock,
        settings.requests,
        adoption,
        front,
        claims,
        metrics,
        is_ready=lambda: state.ready and adoption.bundle is not None,
        accepts=lambda: state.accepting,
    )
    administration = Administration(
        settings.operators, releases, lambda: describe_status(host_parts)
    )
    host_parts = HostParts(
        settings,
        state,
        session,
        adoption,
        view,
        network,
        gossip,
        follower,
        dispatching,
        front,
        callers,
        administration,
        claims,
    )
    return Host(host_parts)
