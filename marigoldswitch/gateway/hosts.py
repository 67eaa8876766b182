"""Runs one gateway host: listeners and background tasks, from start to shutdown."""

import asyncio
from collections.abc import Callable, Coroutine, Sequence
from functools import partial
from typing import Any, Protocol

import structlog
from aiohttp import web
from msgspec import Struct
from msgspec.structs import replace
from result import Err, Ok

from marigoldswitch.core.catalogue import Target
from marigoldswitch.core.client_limits import Listener, derive_limits
from marigoldswitch.core.contact import ContactChange, ContactState
from marigoldswitch.core.ids import ServiceName, TargetId
from marigoldswitch.core.overload import OverloadGuard
from marigoldswitch.core.registry import Change, StoreRestored
from marigoldswitch.core.routes import RoutingTable
from marigoldswitch.gateway.accepting import BoundedSite, LagMonitor, RequestServer
from marigoldswitch.gateway.contact_probing import ContactProber
from marigoldswitch.gateway.engine_offers import LEAVING_USE_SECONDS
from marigoldswitch.gateway.exchanges import HostState, RunParts
from marigoldswitch.gateway.followers import (
    ConfigurationFollower,
    TargetFollower,
    choose_waits,
)
from marigoldswitch.gateway.fronts import Frontend
from marigoldswitch.gateway.intake import Intake
from marigoldswitch.gateway.orderer import LayerOrderer
from marigoldswitch.gateway.ports import HostDirectory, HostRecord, HostSettings
from marigoldswitch.gateway.proxy_listener import ProxyListener
from marigoldswitch.gateway.request_runs import RequestRuns
from marigoldswitch.gateway.spread import DigestExchange
from marigoldswitch.gateway.store_reading import StoreReading
from marigoldswitch.metrics import Metrics
from marigoldswitch.peers import PeerNetwork

logger = structlog.get_logger(__name__)

KEEPALIVE_MARGIN_SECONDS = 5.0
"""Time for which a connection is kept open beyond the configured idle time, so that no
request arrives while it is being closed."""
MAX_HEAD_LINE_BYTES = 65_536
"""Longest line of a request's head, above the limit of any configuration."""
LINGERING_SECONDS = 1.0
"""Time for which the rest of a body is read and dropped after a refusal."""
CHECK_SECONDS = 1.0
"""Interval at which connections that take too long are looked for."""
BALANCER_REMOVAL_SECONDS = 2.4
"""Time after the stop signal for which new requests are still accepted. The load
balancer probes every second and removes a host after two failures. Requests accepted
later could not finish: a stream runs for up to 5 s, the process is killed after 8 s."""
REROUTE_DELAYS = (0.8, 1.4, 2.0, 2.6, 3.2)
"""Delays in seconds, after an engine starts to leave, at which streams are rerouted
around it. It serves for 2 s, sometimes slightly longer. Many streams end before; those
that find no other chain at first try again."""
REROUTE_SPREAD_SECONDS = 0.6
"""Seconds over which the rerouting of one host's streams is spread."""
CLOSE_SECONDS = 0.4
"""Part of the shutdown time that is reserved for closing what is left. Half of it is
for the answers of requests that are ended."""
CLOSE_POLL_SECONDS = 0.02
"""Interval at which a host that stops looks for idle connections."""
SHUTDOWN_SECONDS = 0.05
"""Time for requests that don't end when the host ends them."""
ACCEPT_ROUNDS = 5
"""Rounds of the event loop in which connections that wait to be accepted are taken and
read for the first time."""
REGISTER_RETRY_SECONDS = 1.0
"""Pause between two tries to write this host's row or to list the others."""
REREGISTER_SPREAD_SECONDS = 3.0
"""Seconds over which hosts rewrite their rows after the store was restored, so that
they don't all call it at once."""
RELIST_SECONDS = 15.0
"""Minimum time between two lists of the hosts that are read for cuts. A host of a large
data centre hears of few hosts elsewhere, and needs them if its own ones are cut off."""
RESTART_SECONDS = 1.0
"""Pause before a background task that an error has ended is started again."""
METRICS_PATH = "/metrics"


class Closable(Protocol):
    """An owner of connections that must be closed."""

    async def close(self) -> None:
        """Close all connections."""


class GatewayParts(Struct, frozen=True):
    """The components of a host, as wired by the composition root."""

    settings: HostSettings
    state: HostState
    runs: RunParts
    requests: RequestRuns
    front: Frontend
    proxy_listener: ProxyListener
    metrics: Metrics
    network: PeerNetwork
    spread: DigestExchange
    configuration: ConfigurationFollower
    targets: TargetFollower
    orderer: LayerOrderer
    host_directory: HostDirectory
    sessions: tuple[Closable, ...]
    """Client sessions that are closed when the host stops."""
    reading: StoreReading
    contact_prober: ContactProber
    guard: OverloadGuard
    intake: Intake


class GatewayHost:
    """Starts, runs and stops one host."""

    def __init__(self, parts: GatewayParts) -> None:
        self.parts = parts
        self.settings = parts.settings
        """The settings in force."""
        identity = parts.settings.identity
        self._record = HostRecord(
            identity.host, identity.data_centre, identity.strength
        )
        self._runners: list[web.ServerRunner] = []
        self._servers: list[RequestServer] = []
        self._tasks: list[asyncio.Task[None]] = []
        self._is_cut_off = False
        self._listed_at = float("-inf")
        """When the list of the hosts was last read for a cut."""
        directory = parts.runs.directory
        directory.registry.watch(self._handle_target_change)
        directory.registry.watch_restores(self._handle_store_restored)
        directory.suspects.add_dead_listener(parts.requests.recheck_streams)
        directory.watch(self._apply_limits)
        parts.runs.contact.watch(self._handle_contact)
        parts.runs.services.watch(self._handle_service_contact)
        self._use_bounds(parts.settings)

    @property
    def is_ready(self) -> bool:
        """Return whether the load balancer may send callers to this host."""
        return self.parts.runs.directory.is_complete and not self.parts.state.draining

    async def start(self) -> None:
        """Open the listeners and start the background tasks."""
        parts, addresses = self.parts, self.parts.settings.addresses
        host, port = split_address(addresses.peers)
        await parts.network.start(host, port)
        await self._listen(
            Listener.CALLERS, addresses.callers, parts.front.handle, parts.guard
        )
        await self._listen(
            Listener.READINESS, addresses.readiness, self._answer_readiness
        )
        if addresses.proxied:
            await self._listen(
                Listener.PROXIED, addresses.proxied, parts.proxy_listener.handle
            )
        if addresses.metrics:
            await self._listen(
                Listener.METRICS, addresses.metrics, self._answer_readiness
            )
        for seed in parts.settings.seeds:
            parts.spread.add_peer(HostRecord(seed, ""))
        parts.spread.announce()
        self._spawn(parts.configuration.run)
        self._spawn(parts.targets.run)
        self._spawn(self._run_spread)
        self._spawn(LagMonitor(parts.guard, parts.runs.clock).run)
        self._spawn(self._check_connections)
        self._spawn(self._register)
        self._spawn(parts.orderer.run)
        logger.info(
            "host_started",
            data_centre=parts.settings.identity.data_centre,
            callers=addresses.callers,
        )

    async def drain(self) -> None:
        """Prepare a planned stop: let running requests finish within the stop time."""
        parts = self.parts
        logger.info("host_draining", busy=parts.front.running_requests)
        parts.state.draining = True
        parts.spread.leaving = True
        parts.orderer.retire()
        parts.spread.announce()
        longest = self.settings.stop_seconds - CLOSE_SECONDS
        try:
            async with asyncio.timeout(longest):
                await asyncio.sleep(min(BALANCER_REMOVAL_SECONDS, longest))
                parts.state.accepting = False
                # Idle connections are closed meanwhile; requests that still arrive are
                # refused as not run.
                while self._close_idle():  # noqa: ASYNC110
                    await asyncio.sleep(CLOSE_POLL_SECONDS)
        except TimeoutError:
            logger.warning("drain_cut_short", busy=parts.front.running_requests)

    def apply_settings(self, new_settings: HostSettings) -> None:
        """Apply the changed settings that don't need a restart."""
        old = self.settings
        needing_restart = [
            name
            for name in ("identity", "addresses")
            if getattr(new_settings, name) != getattr(old, name)
        ]
        if needing_restart:
            logger.warning("settings_need_restart", settings=needing_restart)
        self.settings = replace(
            new_settings, identity=old.identity, addresses=old.addresses
        )
        self.parts.intake.apply_limits(
            derive_limits(new_settings.memory_bytes, new_settings.descriptors)
        )
        self.parts.runs.retries.update_limits(
            new_settings.retry_allowance, new_settings.retry_share
        )
        waits = choose_waits(new_settings.touch_seconds, new_settings.leaving_seconds)
        self.parts.configuration.waits = self.parts.targets.waits = waits
        self._use_bounds(new_settings)
        for seed in new_settings.seeds:
            self.parts.spread.add_peer(HostRecord(seed, ""))
        logger.info("settings_in_force", changed=self.settings != old)

    def _use_bounds(self, settings: HostSettings) -> None:
        """Set the times within which the store's state must be in force."""
        self.parts.spread.sync.use_bounds(
            settings.configuration_seconds,
            settings.leaving_seconds - LEAVING_USE_SECONDS,
        )

    async def stop(self) -> None:
        """Close all listeners and connections and cancel the background tasks."""
        parts = self.parts
        await self._close_listeners()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        parts.runs.crashes.stop()
        result = await parts.host_directory.deregister(self._record)
        if isinstance(result, Err):
            logger.info("host_row_left", why=result.err_value.value)
        await parts.network.stop()
        for session in parts.sessions:
            await session.close()
        logger.info("host_stopped")

    async def _close_listeners(self) -> None:
        """Close the listeners, and the connections once their requests have ended.

        Requests that still run are ended; each whose answer has not begun gets one.
        """
        state, front = self.parts.state, self.parts.front
        state.draining, state.accepting = True, False
        for _ in range(ACCEPT_ROUNDS):
            await asyncio.sleep(0)
        for runner in self._runners:
            for site in runner.sites:
                await site.stop()
        try:
            async with asyncio.timeout(CLOSE_SECONDS / 2):
                while any(server.connections for server in self._servers):
                    front.end_requests()
                    self._close_idle()
                    await asyncio.sleep(CLOSE_POLL_SECONDS)
        except TimeoutError:
            logger.warning("connections_cut", running=front.running_requests)
        await asyncio.gather(*(runner.cleanup() for runner in self._runners))

    def _close_idle(self) -> int:
        """Close idle connections; return the number of those that may hold requests."""
        return sum(server.close_idle() for server in self._servers)

    async def _listen(
        self,
        listener: Listener,
        address: str,
        handler: Any,
        guard: OverloadGuard | None = None,
    ) -> None:
        """Open a listener.

        :param listener: whose share of the sockets its connections may take.
        :param guard: may turn new connections away, if given.
        """
        options: dict[str, Any] = {
            "handler_cancellation": True,
            "access_log": None,
            "auto_decompress": False,
            "keepalive_timeout": self._get_keepalive_seconds(),
            "max_line_size": MAX_HEAD_LINE_BYTES,
            "max_field_size": MAX_HEAD_LINE_BYTES,
            "lingering_time": LINGERING_SECONDS,
        }
        server = RequestServer(handler, self.parts.intake, listener, guard, **options)
        runner = web.ServerRunner(server, shutdown_timeout=SHUTDOWN_SECONDS)
        await runner.setup()
        host, port = split_address(address)
        await BoundedSite(runner, host, port).start()
        self._runners.append(runner)
        self._servers.append(server)

    def _get_keepalive_seconds(self) -> float:
        table = self.parts.runs.directory.table
        idle = table.limits.idle_seconds if table else 0.0
        return max(idle, 15.0) + KEEPALIVE_MARGIN_SECONDS

    def _apply_limits(self, table: RoutingTable) -> None:
        """Apply the idle timeout of a configuration to new connections."""
        for runner in self._runners:
            if runner.server is not None:
                # aiohttp offers no other way to change this for new connections.
                runner.server._kwargs["keepalive_timeout"] = (
                    self._get_keepalive_seconds()
                )

    async def _answer_readiness(self, http: web.BaseRequest) -> web.StreamResponse:
        if http.path == METRICS_PATH:
            return await self.parts.metrics.serve(http)  # type: ignore[arg-type]
        return web.Response(status=200 if self.is_ready else 503)

    async def _check_connections(self) -> None:
        while True:
            await asyncio.sleep(CHECK_SECONDS)
            now = self.parts.runs.clock.monotonic()
            for server in self._servers:
                server.check_connections(now)

    async def _run_spread(self) -> None:
        parts = self.parts
        while True:
            for work in (
                parts.spread.tick,
                parts.runs.probes.recheck_dead,
                parts.contact_prober.tick,
                parts.runs.services.tick,
                self._update_store_reading,
            ):
                try:
                    work()
                except Exception:
                    logger.exception("spread_failed")
            await asyncio.sleep(parts.spread.tick_seconds)

    def _update_store_reading(self) -> None:
        """Drop targets that have lapsed, and start or stop reading the store."""
        runs = self.parts.runs
        runs.directory.registry.expire(runs.clock.monotonic())
        self.parts.reading.update()

    async def _register(self) -> None:
        """Write this host's row and read those of the others, with retries.

        The others are read even if the row can't be written: without them, this host
        would take bounds over all hosts for its own.
        """
        written = await self.parts.host_directory.register(self._record)
        if isinstance(written, Err):
            self._spawn(self._register_late)
        await self._read_rows()

    async def _register_late(self) -> None:
        """Write this host's row after a failure, and read those written meanwhile."""
        await asyncio.sleep(REGISTER_RETRY_SECONDS)
        await self._write_row()
        await self._read_rows()

    async def _read_rows(self) -> None:
        """Read the rows of the other hosts, retrying until there are some.

        A list without any is believed only where the settings name no other host: the
        store may have lost the rows, or the others may be starting.
        """
        roster = self.parts.spread.roster
        while True:
            listed = await self.parts.host_directory.list_hosts()
            if isinstance(listed, Ok):
                self._add_hosts(listed.ok_value)
                if roster.knows_members or not self.parts.settings.seeds:
                    break
            await asyncio.sleep(REGISTER_RETRY_SECONDS)
        roster.knows_members = True

    def _add_hosts(self, records: Sequence[HostRecord]) -> None:
        """Adopt the list of hosts in the store."""
        parts, roster = self.parts, self.parts.spread.roster
        for record in records:
            parts.spread.add_peer(record)
        if any(record.address != self._record.address for record in records):
            roster.knows_members = True
        if roster.has_host_list and not roster.knows_members:
            return
        roster.has_host_list = True
        self._update_store_reading()
        parts.spread.announce()
        logger.info("hosts_met", listed=len(records), hosts=len(roster.peers))

    def _relist_hosts(self) -> None:
        """Read the rows of the other hosts again, unless that was done lately."""
        now = self.parts.runs.clock.monotonic()
        if now - self._listed_at >= RELIST_SECONDS:
            self._listed_at = now
            self._spawn(self._read_rows)

    async def _write_row(self) -> None:
        """Write this host's row, retrying until it works."""
        while True:
            if (await self.parts.host_directory.register(self._record)).is_ok():
                return
            await asyncio.sleep(REGISTER_RETRY_SECONDS)

    def _handle_store_restored(self, restored: StoreRestored) -> None:
        """Schedule a rewrite of this host's row, which the store may have lost."""
        self.parts.metrics.store_returns.inc({})
        delay = self.parts.runs.source.uniform(0.0, REREGISTER_SPREAD_SECONDS)
        self._spawn(partial(self._register_again, delay))

    async def _register_again(self, delay: float) -> None:
        await asyncio.sleep(delay)
        await self._write_row()
        logger.info("host_row_written_again")

    def _handle_contact(self, change: ContactChange) -> None:
        logger.warning(
            "target_contact",
            state=change.state.value,
            targets=change.targets,
            seconds=round(change.seconds, 2),
        )
        if change.state is ContactState.LOST:
            self._is_cut_off = True
            self.parts.runs.admission.dismiss_waiting()
            self._relist_hosts()
        elif change.state is ContactState.REACHED and self._is_cut_off:
            self._is_cut_off = False
            self.parts.runs.services.assume_reached()
        if change.state is not ContactState.DOUBTED:
            self.parts.spread.send_urgent_digest()

    def _handle_service_contact(
        self, service: ServiceName, change: ContactChange
    ) -> None:
        logger.warning(
            "service_contact",
            service=service,
            state=change.state.value,
            targets=change.targets,
            seconds=round(change.seconds, 2),
        )
        if change.state is ContactState.LOST:
            self._relist_hosts()

    def _handle_target_change(self, change: Change, target: Target) -> None:
        loop = asyncio.get_running_loop()
        if change is Change.UPDATED:
            self._schedule_chain_checks(target.id)
        if change is Change.ADDED:
            # A restarted engine keeps its id, but its streams are lost.
            self.parts.requests.recheck_streams(target.id)
        if change is Change.GONE:
            self.parts.runs.upstream.resends.forget(target.id)
        if change in (Change.LEAVING, Change.GONE):
            for seconds in REROUTE_DELAYS:
                loop.call_later(seconds, self._schedule_chain_checks, target.id)

    def _schedule_chain_checks(self, target: TargetId) -> None:
        """Have the streams through an engine check their chains, spread over some time.

        A replacement engine reads the whole prompt of each stream that moves to it; all
        at once they would delay each other.
        """
        loop = asyncio.get_running_loop()
        for monitor in self.parts.requests.list_monitors(target):
            delay = self.parts.runs.source.uniform(0.0, REROUTE_SPREAD_SECONDS)
            loop.call_later(delay, monitor.request_check)

    def _spawn(self, work: Callable[[], Coroutine[Any, Any, None]]) -> None:
        self._tasks.append(asyncio.create_task(run_despite_errors(work)))


async def run_despite_errors(work: Callable[[], Coroutine[Any, Any, None]]) -> None:
    """Run a background task, and start it again if an error has ended it."""
    while True:
        try:
            await work()
        except Exception:
            logger.exception("task_failed", task=str(work))
            await asyncio.sleep(RESTART_SECONDS)
        else:
            return


def split_address(address: str) -> tuple[str, int]:
    """Split ``IP:port`` into the IP address and the port number."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def read_port(address: str) -> int:
    """Return the port of ``IP:port``, 0 if the address is empty."""
    return split_address(address)[1] if address else 0
