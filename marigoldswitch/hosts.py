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
from marigoldswitch.claiming import Claims
from marigoldswitch.core.adoption import Adoption
from marigoldswitch.core.catalogue import Bundle
from marigoldswitch.core.ids import AccountId, HostId, TargetId
from marigoldswitch.core.ports import HostEntry, HostRole
from marigoldswitch.dispatching import Dispatching
from marigoldswitch.followers import Follower
from marigoldswitch.fronts import Front
from marigoldswitch.members import Member, MemberView
from marigoldswitch.peers import PeerNetwork
from marigoldswitch.settings import Settings

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
    claims: Claims


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
        self.ports["callers"] = await self._listen(callers, listen.callers)
        administration = parts.administration.build_application()
        self.ports["administration"] = await self._listen(
            administration, listen.administration
        )
        await parts.follower.look()
        self._spawn(parts.follower.run())
        self._spawn(parts.dispatching.run())
        self._spawn(parts.claims.run(self._list_accounts, self._is_first_host))
        parts.state.ready = True
        logger.info("host_started", host=parts.settings.host, ports=self.ports)

    async def drain(self) -> None:
        """Stop as planned: no request in flight is cut off."""
        parts = self.parts
        parts.state.ready = False
        logger.info("host_draining", host=parts.settings.host)
        await asyncio.sleep(parts.settings.drain.balancer_lag)
        parts.state.accepting = False
        await parts.front.wait_idle(parts.settings.drain.longest)
        await parts.claims.flush(parts.settings.drain.longest)

    async def stop(self) -> None:
        """Close everything at once."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.parts.front.stop()
        await self.parts.claims.stop()
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

    def _list_accounts(self) -> list[AccountId]:
        bundle = self.parts.adoption.bundle
        return list(bundle.accounts) if bundle else []

    def _is_first_host(self) -> bool:
        """Tell whether this host does what one host is enough for."""
        return min(self.parts.view.members) == self.parts.settings.host

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

    async def _listen(self, application: web.Application, port: int) -> int:
        runner = web.AppRunner(
            application,
            access_log=None,
            max_line_size=self.parts.settings.requests.header_bytes,
            max_field_size=self.parts.settings.requests.header_bytes,
        )
        await runner.setup()
        self._runners.append(runner)
        site = web.TCPSite(runner, self.parts.settings.listen.address, port)
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
    }
