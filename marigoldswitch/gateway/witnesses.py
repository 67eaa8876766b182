"""Tells whether other targets take connections while one refuses them.

Then that one has ended. A host that is cut off from a service is refused by all of its
targets alike, also while connections that it opened before live on. For the only target
of a service, other hosts tell whether they reach it.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable, Sequence
from enum import Enum

from marigoldswitch.core.catalogue import Target
from marigoldswitch.core.ids import ServiceName, TargetId
from marigoldswitch.core.ports import Clock
from marigoldswitch.core.registry import Change
from marigoldswitch.gateway.directory import Directory
from marigoldswitch.gateway.ports import EngineControl, EngineGone

ASK_TIMEOUT_SECONDS = 0.2
"""Time for a new connection; live targets take a few milliseconds."""
ASKED_PER_SIDE = 2
"""Targets asked at a time, of the data centre of the one in question and of others."""
NEVER = float("-inf")


class Reach(Enum):
    """Whether a host reaches a target."""

    REACHED = "reached"
    REFUSED = "refused"
    UNKNOWN = "unknown"


async def assume_refused(_: Target, __: float) -> bool:
    """Return ``True``, where there are no other hosts to ask."""
    return True


class Witnesses:
    """When targets last took a new connection of this host.

    Targets of one service stand for each other, and so do all engines.

    :ivar is_refused_everywhere: returns whether a target refuses other hosts, too, from
        a moment on.
    """

    def __init__(
        self,
        engines: EngineControl,
        directory: Directory,
        clock: Clock,
        source: random.Random,
    ) -> None:
        self.is_refused_everywhere: Callable[[Target, float], Awaitable[bool]] = (
            assume_refused
        )
        self._engines = engines
        self._directory = directory
        self._clock = clock
        self._source = source
        self._accepted: dict[TargetId, float] = {}
        """When the last connection was begun that each target has taken."""
        self._refused: dict[TargetId, float] = {}
        """When the last question was begun for which each target refused one."""
        self._waiters: set[asyncio.Event] = set()
        """Set whenever a target takes a connection, while a verdict waits for that."""
        self._rounds: dict[ServiceName | None, asyncio.Task[None]] = {}
        """Running rounds of questions, by service; ``None`` for engines."""
        self._round_began: dict[ServiceName | None, float] = {}
        directory.registry.watch(self._handle_change)

    def note_accepted(self, target: TargetId, began: float) -> None:
        """Record that a target has taken a connection.

        :param began: when this host began to open it.
        """
        if target in self._directory.registry.rows:
            self._accepted[target] = max(began, self.get_accepted_at(target))
        for waiter in self._waiters:
            waiter.set()

    def get_accepted_at(self, target: TargetId) -> float:
        """Return when the last connection was begun that a target has taken."""
        return self._accepted.get(target, NEVER)

    async def wait(self, target: Target, since: float, seconds: float) -> bool:
        """Return whether a target like this one takes a connection begun since.

        Some are asked. If none answers, other requests may still reach one. Where there
        is no other target, this tells whether other hosts are refused by this one.

        :param seconds: how long to wait for an answer.
        """
        until = self._clock.monotonic() + seconds
        if not self._list_others(target):
            return await self._ask_hosts(target, since, until)
        if not self._has_witness(target, since):
            await asyncio.shield(self._get_or_start_round(target, since))
        waiter = asyncio.Event()
        self._waiters.add(waiter)
        try:
            async with asyncio.timeout(until - self._clock.monotonic()):
                while not self._has_witness(target, since):
                    waiter.clear()
                    await waiter.wait()
        except TimeoutError:
            return False
        finally:
            self._waiters.discard(waiter)
        return True

    async def _ask_hosts(self, target: Target, since: float, until: float) -> bool:
        is_refused = await self.is_refused_everywhere(target, since)
        if not is_refused:
            await asyncio.sleep(until - self._clock.monotonic())
        return is_refused

    async def find_reach(self, target: Target, since: float) -> Reach:
        """Return whether a target takes a connection begun since, or refuses one."""
        if self.get_accepted_at(target.id) >= since:
            return Reach.REACHED
        if self._refused.get(target.id, NEVER) >= since:
            return Reach.REFUSED
        return await self._ask_one(target)

    def _handle_change(self, change: Change, target: Target) -> None:
        if change is Change.GONE:
            self._accepted.pop(target.id, None)
            self._refused.pop(target.id, None)

    def _has_witness(self, target: Target, since: float) -> bool:
        return any(
            self.get_accepted_at(item.id) >= since for item in self._list_others(target)
        )

    def _list_others(self, target: Target) -> list[Target]:
        registry = self._directory.registry
        alike = (
            registry.list_engines()
            if target.accelerator
            else registry.list_targets(target.service)
        )
        # A target that restarts may be listed under another id at the same address.
        return [
            item
            for item in alike
            if item.id != target.id and item.address != target.address
        ]

    def _get_or_start_round(self, target: Target, since: float) -> "asyncio.Task[None]":
        key = None if target.accelerator else target.service
        running = self._rounds.get(key)
        if running is not None and self._round_began[key] >= since:
            return running
        task = asyncio.create_task(self._ask(self._choose(target)))
        self._rounds[key], self._round_began[key] = task, self._clock.monotonic()
        task.add_done_callback(lambda ended: self._forget_round(key, ended))
        return task

    def _forget_round(
        self, key: ServiceName | None, ended: "asyncio.Task[None]"
    ) -> None:
        if self._rounds.get(key) is ended:
            del self._rounds[key]

    def _choose(self, target: Target) -> list[Target]:
        others = self._list_others(target)
        near = [item for item in others if item.data_centre == target.data_centre]
        far = [item for item in others if item.data_centre != target.data_centre]
        return [*self._draw(near), *self._draw(far)]

    def _draw(self, targets: Sequence[Target]) -> list[Target]:
        """Return some targets, those not found dead first."""
        suspects, now = self._directory.suspects, self._clock.monotonic()
        drawn = self._source.sample(targets, len(targets))
        drawn.sort(key=lambda item: suspects.is_dead(item.id, now))
        return drawn[:ASKED_PER_SIDE]

    async def _ask(self, targets: Sequence[Target]) -> None:
        """Ask targets until one takes the connection."""
        asking = {asyncio.create_task(self._ask_one(item)) for item in targets}
        try:
            while asking:
                done, asking = await asyncio.wait(
                    asking, return_when=asyncio.FIRST_COMPLETED
                )
                if any(item.result() is Reach.REACHED for item in done):
                    return
        finally:
            for item in asking:
                item.cancel()

    async def _ask_one(self, target: Target) -> Reach:
        began = self._clock.monotonic()
        answer = await self._engines.read(
            target.address, ASK_TIMEOUT_SECONDS, new_connection=True
        )
        match answer:
            case None:
                return Reach.UNKNOWN
            case EngineGone():
                self._refused[target.id] = began
                return Reach.REFUSED
        self.note_accepted(target.id, began)
        return Reach.REACHED
