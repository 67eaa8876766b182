"""One running host: its listeners and its work, from start to planned stop."""

import asyncio
from collections.abc import Coroutine, Mapping
from dataclasses import dataclass
from typing import Any

import aiohttp
import structlog
from aiohttp import web

from marigoldswitch.administration import Administration
from marigoldswitch.callers import CallerInterface
from marigoldswitch.core.adoption import Adoption
from marigoldswitch.core.catalogue import Bundle
from marigoldswitch.core.ids import HostId, TargetId
from marigoldswitch.core.ports import HostEntry, HostRole
from marigoldswitch.dispatching import Dispatching
from marigoldswitch.drains import Drains
from marigoldswitch.followers import Follower
from marigoldswitch.fronts import Front
from marigoldswitch.listeners import GuardedSite, build_guard
from marigoldswitch.members import Member, MemberView
from marigoldswitch.orderers import Orderer, describe_lease
from marigoldswitch.peers import PeerNetwork
from marigoldswitch.settings import Settings
from marigoldswitch.statuses import describe_dispatchers, describe_members
from marigoldswitch.tls import ServerContext, Tls

logger = structlog.get_logger(__name__)


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
    follower: Follower
    dispatching: Dispatching
    front: Front
    callers: CallerInterface
    administration: Administration
    drains: Drains
    orderer: Orderer
    tls: Tls


class Host:
    """Starts, runs and stops one host."""

    def __init__(self, parts: HostParts) -> None:
        self.parts = parts
        self.ports: dict[str, int] = {}
        self._runners: list[web.AppRunner] = []
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Open the listeners and begin the background work."""
        parts = self.parts
        listen = parts.settings.listen
        self._connect_parts()
        self.ports["peers"] = await parts.network.start(listen.address, listen.peers)
        callers = parts.callers.build_application()
        self.ports["callers"] = await self._listen(
            callers, listen.callers, parts.tls.callers
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
        parts.state.ready = True
        logger.info("host_started", host=parts.settings.host, ports=self.ports)

    async def drain(self) -> None:
        """Stop as planned: no request in flight is cut off."""
        parts = self.parts
        parts.state.ready = False
        logger.info("host_draining", host=parts.settings.host)
        await asyncio.sleep(parts.settings.drain.balancer_lag)
        parts.state.accepting = False
        held = list(parts.front.held.values())
        if held:
            await asyncio.wait(held, timeout=parts.settings.drain.longest)

    async def stop(self) -> None:
        """Close everything at once."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for runner in self._runners:
            await runner.cleanup()
        await self.parts.network.stop()
        await self.parts.session.close()
        logger.info("host_stopped", host=self.parts.settings.host)

    def show_status(self) -> Mapping[str, Any]:
        """Return what an operator sees of this host."""
        return describe_status(self.parts)

    def _connect_parts(self) -> None:
        parts = self.parts
        parts.follower.watch_bundle(self._use_bundle)
        parts.follower.watch_hosts(self._use_hosts)

    def _use_bundle(self, bundle: Bundle) -> None:
        self.parts.dispatching.use_bundle(bundle)

    def _use_hosts(self, hosts: list[HostEntry]) -> None:
        parts = self.parts
        leaving = frozenset(
            TargetId(item.id)
            for item in hosts
            if item.role is HostRole.TARGET and item.leaving
        )
        parts.dispatching.use_leaving(leaving)
        members = {
            HostId(item.id): Member(
                HostId(item.id), item.data_centre, item.address, item.leaving
            )
            for item in hosts
            if item.role is HostRole.ENTRY
        }
        parts.view.replace(members)

    async def _listen(
        self, application: web.Application, port: int, tls: ServerContext | None
    ) -> int:
        guard = build_guard(self.parts.settings.requests)
        application.middlewares.append(guard.build_middleware())
        runner = web.AppRunner(
            application,
            access_log=None,
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
