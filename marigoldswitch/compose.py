"""Composition root: the one place where the parts of a host are wired."""

import secrets
import time
from collections.abc import Callable

import aiohttp

from marigoldswitch.administration import Administration, AdministrationParts
from marigoldswitch.backends import PlainClient
from marigoldswitch.callers import CallerInterface
from marigoldswitch.chains import ChainClient
from marigoldswitch.claiming import Claims
from marigoldswitch.clocks import SystemClock
from marigoldswitch.core.adoption import Adoption
from marigoldswitch.core.ids import DataCentre, HostId, Incarnation, Region
from marigoldswitch.core.leaving import LeavingMarks
from marigoldswitch.core.messages import (
    BundleContent,
    FetchBundle,
    Inquiry,
    InquiryReply,
    Message,
)
from marigoldswitch.core.ports import Clock
from marigoldswitch.dispatching import Dispatching
from marigoldswitch.drains import Drains
from marigoldswitch.engine_orders import EngineOrdersClient
from marigoldswitch.followers import Follower
from marigoldswitch.fronts import Front
from marigoldswitch.gauges import Gauges
from marigoldswitch.gossip import Gossip
from marigoldswitch.hosts import Host, HostParts, HostState, describe_status
from marigoldswitch.inquiries import Inquiries, Subject, Teller
from marigoldswitch.leaving_watch import LeavingWatch
from marigoldswitch.members import Member, MemberView
from marigoldswitch.metrics import Metrics
from marigoldswitch.operators import OperatorDirectory
from marigoldswitch.orderers import Orderer, OrdererPorts, OrderSwitch
from marigoldswitch.peers import PeerNetwork
from marigoldswitch.quotas import QuotaSharing
from marigoldswitch.releases import Releases
from marigoldswitch.runs import Parts
from marigoldswitch.settings import Settings
from marigoldswitch.stores import PlatformClient
from marigoldswitch.tls import build_tls
from marigoldswitch.trails import TRAIL

INCARNATION_BITS = 48


def compose_host(
    settings: Settings,
    clock: Clock | None = None,
    connector: aiohttp.BaseConnector | None = None,
) -> Host:
    """Wire one host; it must be called with a loop running.

    :param clock: the source of time; the machine's clock by default.
    :param connector: how targets and the platform are reached.
    """
    clock = clock or SystemClock()
    state = HostState()
    own = Member(
        HostId(settings.host),
        DataCentre(settings.data_centre),
        f"{settings.listen.address}:{settings.listen.peers}",
    )
    session = aiohttp.ClientSession(
        connector=connector or aiohttp.TCPConnector(limit=0)
    )
    tls = build_tls(settings).unwrap()
    platform = PlatformClient(
        session,
        settings.host,
        settings.platform.address,
        settings.platform.timeout,
        tls.platform,
    )
    view = MemberView(own)
    network = PeerNetwork(own.host, settings.peers.secrets, view.locate)
    marks = LeavingMarks(time.time() - clock.monotonic())
    gossip = Gossip(clock, view, network, settings.peers, marks)
    adoption = Adoption()
    releases = Releases(platform, platform, settings.operators)
    drains = Drains(platform)
    follower = Follower(
        releases,
        platform,
        adoption,
        settings.operators,
        view,
        network.send,
        drains,
        settings.platform,
    )
    releases.watch_accepted(follower.offer)
    quotas = QuotaSharing(clock, network, view)
    dispatching = Dispatching(clock, network, view, settings.peers.ask_timeout, quotas)
    incarnation = Incarnation(secrets.randbits(INCARNATION_BITS))
    claims = Claims(platform, platform, network, clock, settings.claims, incarnation)
    plain, chains = PlainClient(session), ChainClient(session)
    parts = Parts(clock, own, dispatching, claims, plain, chains, settings.streams)
    metrics = Metrics()
    front = Front(parts, metrics, settings.requests.held)
    gauges = Gauges(metrics, adoption, view, network, dispatching, gossip)
    metrics.add_source(gauges.read)
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
    tellers: dict[Subject, Teller] = {
        Subject.STATUS: lambda argument: describe_status(host_parts),
        Subject.TRAIL: TRAIL.find,
    }
    inquiries = Inquiries(view, network.send, tellers)
    switch = OrderSwitch(platform)
    administration = Administration(
        AdministrationParts(
            OperatorDirectory(settings.operators),
            releases,
            adoption,
            drains,
            switch,
            inquiries,
        )
    )
    engines = EngineOrdersClient(session)
    orderer = Orderer(
        OrdererPorts(clock, platform, engines, drains, switch, adoption),
        own.host,
        Region(settings.region),
        settings.orders,
    )
    handlers: dict[type[Message], Callable[..., None]] = {
        FetchBundle: follower.tell_bundle,
        BundleContent: follower.take_bundle,
        Inquiry: inquiries.tell,
        InquiryReply: inquiries.take,
    }
    for kind, handler in handlers.items():
        network.register(kind, handler)
    host_parts = HostParts(
        settings,
        state,
        session,
        adoption,
        view,
        network,
        gossip,
        LeavingWatch(session, view, gossip),
        follower,
        dispatching,
        front,
        callers,
        administration,
        drains,
        orderer,
        tls,
        claims,
    )
    return Host(host_parts)
