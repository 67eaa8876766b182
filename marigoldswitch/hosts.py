"""One running host: its listeners and its work, from start to planned stop."""

import asyncio
import secrets
import time
from collections.abc import Awaitable, Callable, Coroutine, Mapping
from dataclasses import dataclass
from random import Random
from typing import Any

import aiohttp
import structlog
from aiohttp import web

from marigoldswitch.administration import Administration
from marigoldswitch.callers import CallerInterface
from marigoldswitch.claiming import Claims
from marigoldswitch.core.adoption import Adoption
from marigoldswitch.core.catalogue import Bundle
from marigoldswitch.core.datagrams import MemberRecord
from marigoldswitch.core.ids import (
    AccountId,
    DataCentre,
    HostId,
    Incarnation,
    TargetId,
)
from marigoldswitch.core.ports import HostEntry, HostRole
from marigoldswitch.dispatching import Dispatching
from marigoldswitch.drains import Drains
from marigoldswitch.followers import Follower
from marigoldswitch.fronts import Front
from marigoldswitch.gossip import Gossip
from marigoldswitch.leaving_watch import LeavingWatch
from marigoldswitch.listeners import GuardedSite, build_guard
from marigoldswitch.members import MemberView
from marigoldswitch.orderers import Orderer, describe_lease
from marigoldswitch.peers import PeerNetwork
from marigoldswitch.settings import Settings
from marigoldswitch.statuses import describe_dispatchers, describe_members
from marigoldswitch.tls import ServerContext, Tls

logger = structlog.get_logger(__name__)

LAST_TURNS = 20
"""Turns of the loop in which connections already made are read before a stop."""
LAST_TURN_SECONDS = 0.01

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]

STOP_SECONDS = 2.0
"""Seconds that a stop without a drain leaves to what is in flight."""
RUN_BITS = 32
NANOSECONDS_A_MILLISECOND = 1_000_000


@dataclass(slots=True)
class HostState:
    """What the listeners ask about the host.

    :param ready: the balancer may send requests here.
    :param accepting: new requests are still taken.
    """

    ready: bool = False
    accepting: bool = True


@dataclass(frozen=True, slots=True)
class HostParts:
    """The parts of a host, as the composition root has wired them."""

    settings: Settings
    state: HostState
    session: aiohttp.ClientSession
    adoption: Adoption
    view: MemberView
    network: PeerNetwork
    gossip: Gossip
    leaving_watch: LeavingWatch
    follower: Follower
    dispatching: Dispatching
    front: Front
    callers: CallerInterface
    administration: Administration
    drains: Drains
    orderer: Orderer
    tls: Tls
    claims: Claims


class Host:
    """Starts, runs and stops one host."""

    def __init__(self, parts: HostParts) -> None:
        self.parts = parts
        self.ports: dict[str, int] = {}
        self._busy = 0
        self._idle = asyncio.Event()
        self._idle.set()
        self._runners: list[web.AppRunner] = []
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Open the listeners and begin the background work."""
        parts = self.parts
        listen = parts.settings.listen
        self._connect_parts()
        self.ports["peers"] = await parts.network.start(listen.address, listen.peers)
        self.ports["gossip"] = await parts.gossip.start(listen.address, listen.gossip)
        parts.gossip.join(self._build_record(), Random())
        callers = parts.callers.build_application()
        callers.middlewares.insert(0, self._count_busy)
        callers.on_response_prepare.append(self._close_when_draining)
        self.ports["callers"] = await self._listen(
            callers, listen.callers, parts.tls.callers, cancels=True
        )
        administration = parts.administration.build_application()
        self.ports["administration"] = await self._listen(
            administration, listen.administration, parts.tls.administration
        )
        await parts.follower.look()
        self._spawn(parts.follower.run())
        self._spawn(parts.tls.run(parts.settings.tls.reload))
        self._spawn(parts.follower.run_questions())
        self._spawn(parts.follower.run_offers())
        self._spawn(parts.orderer.run(lambda: parts.follower.polls_often))
        self._spawn(parts.dispatching.run())
        self._spawn(parts.gossip.run())
        self._spawn(parts.claims.run(self._list_accounts, self._is_first_host))
        self._spawn(parts.leaving_watch.run())
        parts.state.ready = True
        logger.info("host_started", host=parts.settings.host, ports=self.ports)

    async def drain(self) -> None:
        """Stop as planned: no request in flight is cut off."""
        parts = self.parts
        drain = parts.settings.drain
        logger.info("host_draining", host=parts.settings.host)
        parts.state.ready = False
        parts.gossip.leave()
        parts.dispatching.hand_over()
        await asyncio.sleep(drain.balancer_lag)
        parts.state.accepting = False
        try:
            async with asyncio.timeout(drain.longest):
                await _let_connections_speak()
                await self._idle.wait()
                await parts.front.wait_idle()
                await parts.claims.flush()
        except TimeoutError:
            logger.warning(
                "drain_cut_short",
                host=parts.settings.host,
                held=len(parts.front.held),
                setting="drain.longest",
            )

    async def stop(self) -> None:
        """Close everything; what is still in flight has a moment to end."""
        for runner in self._runners:
            await runner.cleanup()
        await self.parts.front.stop()
        await self.parts.claims.stop()
        await self._end_tasks()
        self.parts.gossip.leave(gone=True)
        self.parts.gossip.stop()
        await self.parts.network.stop()
        await self.parts.session.close()
        logger.info("host_stopped", host=self.parts.settings.host)

    async def kill(self) -> None:
        """Vanish as a killed process does: nothing is said, nothing is ended.

        It is there for tests and randomised runs with several hosts in one process.
        """
        self.parts.gossip.stop()
        await self.parts.network.stop()
        await self.parts.claims.stop()
        await self.parts.session.close()
        for runner in self._runners:
            for connection in runner.server.connections if runner.server else ():
                if connection.transport is not None:
                    connection.transport.abort()
        await self.parts.front.stop()
        await self._end_tasks()
        for runner in self._runners:
            await runner.cleanup()

    async def _end_tasks(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def show_status(self) -> Mapping[str, Any]:
        """Return what an operator sees of this host."""
        return describe_status(self.parts)

    def _connect_parts(self) -> None:
        parts = self.parts
        parts.follower.watch_bundle(self._use_bundle)
        parts.follower.watch_bundle(parts.leaving_watch.use_bundle)
        parts.follower.watch_hosts(parts.gossip.use_host_list)
        parts.follower.watch_hosts(self._use_list)
        parts.follower.watch_drains(parts.gossip.use_drains)
        parts.gossip.watch_leaving(parts.dispatching.use_leaving)
        parts.dispatching.watch_leaving(parts.gossip.note_leaving)

    def _list_accounts(self) -> list[AccountId]:
        bundle = self.parts.adoption.bundle
        return list(bundle.accounts) if bundle else []

    def _is_first_host(self) -> bool:
        """Tell whether this host does what one host is enough for."""
        return min(self.parts.view.members) == self.parts.settings.host

    def _use_bundle(self, bundle: Bundle) -> None:
        self.parts.dispatching.use_bundle(bundle)
        self.parts.gossip.use_bundle(bundle.version)

    def _use_list(self, entries: list[HostEntry]) -> None:
        targets = (item for item in entries if item.role is HostRole.TARGET)
        names = frozenset(TargetId(item.id) for item in targets)
        self.parts.dispatching.use_list(names)

    def _build_record(self) -> MemberRecord:
        """Return this host's own record with the ports that it really has."""
        settings = self.parts.settings
        address = settings.listen.advertise or settings.listen.address
        return MemberRecord(
            HostId(settings.host),
            DataCentre(settings.data_centre),
            f"{address}:{self.ports['peers']}",
            f"{address}:{self.ports['gossip']}",
            secrets.randbits(RUN_BITS),
            Incarnation(time.time_ns() // NANOSECONDS_A_MILLISECOND),
        )

    @web.middleware
    async def _count_busy(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        """Count the requests under way, also those that the front does not hold yet."""
        self._busy += 1
        self._idle.clear()
        try:
            return await handler(request)
        finally:
            self._busy -= 1
            if self._busy == 0:
                self._idle.set()

    async def _close_when_draining(
        self, http: web.Request, response: web.StreamResponse
    ) -> None:
        """Let callers open their next connection elsewhere."""
        if not self.parts.state.ready:
            response.headers["Connection"] = "close"
            response.force_close()

    async def _listen(
        self,
        application: web.Application,
        port: int,
        tls: ServerContext | None,
        cancels: bool = False,
    ) -> int:
        """Listen and return the port.

        :param cancels: whether a request is cancelled when its connection breaks.
        """
        guard = build_guard(self.parts.settings.requests)
        application.middlewares.append(guard.build_middleware())
        runner = web.AppRunner(
            application,
            access_log=None,
            handler_cancellation=cancels,
            shutdown_timeout=STOP_SECONDS,
            max_line_size=self.parts.settings.requests.header_bytes,
            max_field_size=self.parts.settings.requests.header_bytes,
        )
        await runner.setup()
        self._runners.append(runner)
        address = self.parts.settings.listen.address
        site = GuardedSite(runner, address, port, guard)
        site.use_tls(tls)
        await site.start()
        return int(runner.addresses[0][1])

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        self._tasks.append(asyncio.create_task(work))


def describe_status(parts: HostParts) -> dict[str, Any]:
    """Return what an operator sees of a host."""
    return {
        "host": parts.settings.host,
        "data_centre": parts.settings.data_centre,
        "ready": parts.state.ready,
        "bundle": parts.adoption.version,
        "held": len(parts.front.held),
        "breaches": parts.front.breaches,
        "hosts": sorted(parts.view.members),
        "members": describe_members(parts.view),
        "dispatchers": describe_dispatchers(parts.dispatching),
        "drains": sorted(parts.drains.marked),
        "orders": describe_lease(parts.orderer),
        "bundles_refused": parts.follower.refused,
    }


async def _let_connections_speak() -> None:
    """Let requests that the kernel has already taken reach their handlers.

    Turns of the loop count here, not time: a host that was paused over the balancer's
    lag finds its timer and the waiting connections ready in the same turn.
    """
    for _ in range(LAST_TURNS):
        await asyncio.sleep(LAST_TURN_SECONDS)
