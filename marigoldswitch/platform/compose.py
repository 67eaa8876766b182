"""Composition root of a gateway host on the users' platform."""

import asyncio
import random
from collections.abc import Callable, Sequence
from functools import partial

from marigoldswitch.clocks import BootClock
from marigoldswitch.core.admitting.elsewhere import WaitingElsewhere
from marigoldswitch.core.catalogue import Target
from marigoldswitch.core.client_limits import Listener, derive_limits
from marigoldswitch.core.contact import TargetContact
from marigoldswitch.core.gateway_messages import GatewayMessage
from marigoldswitch.core.ids import DataCentre, HostId
from marigoldswitch.core.loads import Loads
from marigoldswitch.core.loans import LoanBook
from marigoldswitch.core.overload import OverloadGuard
from marigoldswitch.core.pacing import Pacer
from marigoldswitch.core.ports import Clock
from marigoldswitch.core.retry_pool import START_SECONDS
from marigoldswitch.core.send_limits import SendLimits
from marigoldswitch.gateway.admission import Admission
from marigoldswitch.gateway.bounded_reads import Reader, ReadGuard
from marigoldswitch.gateway.client_keys import ClientKeys
from marigoldswitch.gateway.connections import (
    SHORT_IDLE_SECONDS,
    Connections,
    open_session,
)
from marigoldswitch.gateway.contact_probing import ContactProber
from marigoldswitch.gateway.crashes import CrashWatch
from marigoldswitch.gateway.directory import Directory
from marigoldswitch.gateway.exchanges import HostState, RetryBudgets, RunParts
from marigoldswitch.gateway.followers import (
    ConfigurationFollower,
    TargetFollower,
    choose_waits,
)
from marigoldswitch.gateway.fronts import Frontend
from marigoldswitch.gateway.hosts import GatewayHost, GatewayParts, read_port
from marigoldswitch.gateway.intake import Intake
from marigoldswitch.gateway.metrics import GatewayMetrics
from marigoldswitch.gateway.orderer import LayerOrderer
from marigoldswitch.gateway.planner import ChainPlanner
from marigoldswitch.gateway.ports import HostSettings
from marigoldswitch.gateway.probing import EngineProbes
from marigoldswitch.gateway.proxy_hosts import ProxyHosts
from marigoldswitch.gateway.proxy_listener import ProxyListener
from marigoldswitch.gateway.proxying import PeerProxy
from marigoldswitch.gateway.reach_exchange import ReachExchange
from marigoldswitch.gateway.request_runs import RequestRuns
from marigoldswitch.gateway.service_contacts import ServiceContacts
from marigoldswitch.gateway.spread import DigestExchange
from marigoldswitch.gateway.state_sync import DigestExchangeParts
from marigoldswitch.gateway.statements import TargetStatements
from marigoldswitch.gateway.store_reading import ReadSwitches, StoreReading
from marigoldswitch.gateway.upstream import Upstream
from marigoldswitch.gateway.witnesses import Witnesses
from marigoldswitch.metrics import Metrics
from marigoldswitch.peer_intake import PeerIntake
from marigoldswitch.peers import PeerNetwork
from marigoldswitch.platform.engines import EngineClient
from marigoldswitch.platform.headers import HeaderCodec
from marigoldswitch.platform.store import PlatformStore
from marigoldswitch.wire import MessageCodec

PEER_SECRET = "marigoldswitch"
"""Shared by all hosts to reject messages of unrelated programs. It is no real secret:
the platform gives hosts none to share, and its network keeps everyone else out."""


PROCESS_BITS = 32
"""Bits of the random number that tells a process from an earlier one of its host."""


def compose_gateway(
    settings: HostSettings,
    store_address: str,
    clock: Clock | None = None,
    source: random.Random | None = None,
) -> GatewayHost:
    """Build one host from its parts. Needs a running event loop.

    :param store_address: ``IP:port`` of the platform's store.
    :param clock: by default :class:`BootClock`.
    :param source: random numbers; by default seeded by the system.
    """
    clock = clock or BootClock()
    source = source or random.Random()
    identity = settings.identity
    home = DataCentre(identity.data_centre)
    metrics = Metrics()
    gateway_metrics = GatewayMetrics(metrics)
    guard = ReadGuard(clock, gateway_metrics.count_unbounded)
    limits = derive_limits(settings.memory_bytes, settings.descriptors)
    intake = Intake(limits, clock)
    contact, services = TargetContact(clock.monotonic()), ServiceContacts(clock)
    connections = Connections(guard, lambda: contact.note_traffic(clock.monotonic()))
    session = open_session(SHORT_IDLE_SECONDS, guard)
    host_connections = Connections(guard)
    proxy_port = read_port(settings.addresses.proxied)
    store = PlatformStore(session, store_address, guard)
    engines = EngineClient(connections)
    codec = HeaderCodec()
    send_limits = SendLimits(home, lambda: planner.count_hosts(), source)
    statements = TargetStatements(send_limits)
    directory, loads, state = Directory(statements, source), Loads(home), HostState()
    directory.ramps.loads = loads
    directory.watch(lambda table: guard.apply_limits(table.limits))
    directory.watch(intake.apply_table)
    directory.watch(ClientKeys(gateway_metrics).apply_table)
    planner = ChainPlanner(directory, loads, clock, home, source)
    directory.ramps.slowness = planner.slowness
    owns_from = 0.0 if settings.is_first_start else clock.monotonic() + START_SECONDS
    loans = LoanBook(source.getrandbits(PROCESS_BITS), owns_from)
    witnesses = Witnesses(engines, directory, clock, source)
    probes = EngineProbes(
        engines, directory, planner, clock, contact, services, witnesses
    )
    crashes = CrashWatch(clock, directory, probes)
    admission = Admission(planner, clock, source, planner)
    directory.watch(admission.apply_table)
    waiting = WaitingElsewhere(home, lambda: planner.count_hosts(), admission.count_own)
    admission.get_elsewhere = waiting.get
    runs = RunParts(
        state,
        clock,
        codec,
        Upstream(codec, connections, clock, statements, contact, services),
        engines,
        directory,
        loads,
        planner,
        admission,
        probes,
        crashes,
        RetryBudgets(
            settings.retry_allowance,
            settings.retry_share,
            loans,
            lambda: spread.roster.count_known_members(),
            source,
        ),
        source,
        identity.data_centre,
        contact,
        services,
        intake,
    )

    def create_prober(
        list_targets: Callable[[], Sequence[Target]], contact: TargetContact
    ) -> ContactProber:
        return ContactProber(engines, list_targets, contact, clock, home, source)

    services.create_prober = lambda service, contact: create_prober(
        partial(directory.registry.list_targets, service), contact
    )
    runs.upstream.count_sending = gateway_metrics.count_sending
    runs.upstream.note_accepted = witnesses.note_accepted
    runs.retries.count_decision = gateway_metrics.count_retry
    crashes.count_verdict = gateway_metrics.count_verdict
    metrics.add_collector(
        partial(gateway_metrics.set_ramping, directory.ramps.count_ramping)
    )
    network = PeerNetwork(
        HostId(identity.host),
        [PEER_SECRET],
        lambda host: host,
        MessageCodec(GatewayMessage),
        Pacer(settings.link_bytes, clock),
        clock,
        lambda sender, excess: guard.note(sender, Reader.PEER, excess),
        PeerIntake(
            lambda: intake.limits.count_connections(Listener.PEERS),
            intake.memory,
            clock,
        ),
    )
    switches = ReadSwitches(asyncio.Event(), asyncio.Event())
    waits = choose_waits(settings.touch_seconds, settings.leaving_seconds)
    configuration = ConfigurationFollower(
        store, directory, source, switches.configuration, waits
    )
    targets = TargetFollower(store, directory, clock, source, switches.targets, waits)
    spread = DigestExchange(
        DigestExchangeParts(
            clock,
            network,
            directory,
            loads,
            loans,
            planner,
            probes,
            crashes,
            store,
            configuration,
            targets,
            identity,
            source,
            contact,
            services,
            proxy_port,
        )
    )
    reach = ReachExchange(clock, network, spread.roster, directory, witnesses, source)
    witnesses.is_refused_everywhere = reach.is_refused_everywhere
    proxy_hosts = ProxyHosts(spread.roster, home, proxy_port, clock, source)
    requests = RequestRuns(runs, PeerProxy(runs, proxy_hosts, host_connections))
    gateway_metrics.watch_placing(planner.placing)
    runs.record_pause = gateway_metrics.count_pause
    spread.counts.waiting = waiting
    gateway_metrics.watch_waiting(admission.count_by_priority)
    admission.count_refusal = gateway_metrics.count_admission_refusal
    front = Frontend(runs, gateway_metrics, requests)
    orderer = LayerOrderer(
        clock,
        store,
        engines,
        directory,
        probes,
        spread,
        HostId(identity.host),
        DataCentre(identity.data_centre),
        identity.region,
        contact,
    )
    planner.count_hosts = spread.roster.count_members
    reading = StoreReading(
        clock, spread.roster, spread.sync, switches, settings.store_reads
    )
    configuration.get_backoff_factor = reading.choose_backoff_factor
    targets.get_backoff_factor = reading.choose_backoff_factor
    targets.get_pause_factor = spread.roster.choose_pause_factor
    planner.count_near = spread.roster.count_local
    spread.lease = orderer.lease
    crashes.may_decide_trials = lambda: orderer.lease.get_held_row() is not None
    directory.suspects.add_dead_listener(planner.plan_loss)
    directory.suspects.add_dead_listener(requests.check_limited_streams)
    directory.suspects.add_dead_listener(lambda _: spread.send_urgent_digest())
    directory.suspects.add_closed_listener(lambda _: spread.send_urgent_digest())
    return GatewayHost(
        GatewayParts(
            settings,
            state,
            runs,
            requests,
            front,
            ProxyListener(runs, front),
            metrics,
            network,
            spread,
            configuration,
            targets,
            orderer,
            store,
            (store, connections, host_connections, session),
            reading,
            create_prober(directory.registry.list_engines_or_all, contact),
            OverloadGuard(),
            intake,
        )
    )
