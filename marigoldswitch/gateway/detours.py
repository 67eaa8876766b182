"""Looks after the chain of one request, and goes round engines that fail it.

Load it answers: an engine that dies, leaves or is moved while dozens of streams pass
through it. The engines themselves notice after 2 s, when callers have left. A stream's
own silence is noticed sooner: all its engines are looked at, and those that are lost
are replaced in the chain, the others keep what they have read of the request.
"""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Coroutine
from typing import Any, TypeVar

import aiohttp
import structlog

from marigoldswitch.core.gaps import MOST_SECONDS, StreamGaps
from marigoldswitch.core.ids import TargetId
from marigoldswitch.core.stages import (
    Chain,
    Stage,
    describe_stages,
    find_stage,
)
from marigoldswitch.core.suspects import Finding
from marigoldswitch.gateway.exchanges import (
    Exchange,
    RunParts,
    find_hold,
    note_cut_off,
)
from marigoldswitch.gateway.ports import EngineStatus, OrderReply, OrderResult

logger = structlog.get_logger(__name__)

FIRST_SILENCE = 0.7
"""Seconds without a first event after which a request is sent elsewhere although all
engines of its chain answer probes: some accept requests and never answer them. Nearly
all first events come sooner, and callers leave after 2 s, so that the second chain has
time left."""
LONGEST_SILENCE = 1.2
"""The same between events. Longer, as an engine that has run out of memory reads a
prompt again, and what was read is lost with the chain."""
ALIVE_SHARE = 0.5
"""Last part of a silence in which an event of another stream shows that an engine
lives. One that died as the silence began has shown nothing since. It keeps the many
streams through a slow engine from all looking at their whole chains."""
CAUTION_STEP = 1.4
MOST_CAUTION = 4.0
"""A look that found nothing makes the stream wait this much longer for the next one, as
each costs the engines a probe and a slow chain is looked at again and again."""
DETOURS = 3
"""Chains tried for one detour: each is refused by another engine."""

T = TypeVar("T")


class ChainBroken(Exception):
    """The chain brings nothing more."""


class ChainWatch:
    """The chain that one request passes through now.

    :ivar stages: its stages; empty between two chains.
    :ivar last_event: id of the last event that the caller has.
    """

    def __init__(self, parts: RunParts, exchange: Exchange) -> None:
        self.stages: tuple[Stage, ...] = ()
        self.last_event: str | None = exchange.call.last_event
        self._parts = parts
        self._exchange = exchange
        self._wake = asyncio.Event()
        self._is_alarmed = False
        self._timer: asyncio.TimerHandle | None = None
        self._gaps = StreamGaps(parts.probes.gaps)
        self._caution = 1.0
        self._looks = 0
        """Looks at the chain since the last event."""
        self._brought: tuple[Stage, ...] = ()
        """The stages over which the last event came."""
        self._ended: set[TargetId] = set()
        """Engines of this chain of whose end the others have been told."""
        self._event_at = 0.0
        self._heard = 0.0
        """When the last events came, or the last look ended."""
        self._patience = self._choose_patience()
        """Silence in seconds after which the chain is looked at."""

    def begin(self, stages: tuple[Stage, ...]) -> None:
        """Take a chain that is counted as held."""
        self.stages = stages
        self._brought = ()
        self._ended.clear()
        self._gaps.begin()

    def end(self) -> None:
        """Let go of the chain."""
        self._parts.planner.release(self.stages, self._exchange.call.tokens)
        self.stages = ()

    def has_brought(self, target: TargetId) -> bool:
        """Tell whether an event has come through an engine of this chain."""
        return any(item.target == target for item in self._brought)

    def alarm(self) -> None:
        """Look after the chain at once: one of its engines is dead or leaving."""
        self._is_alarmed = True
        self._wake.set()

    def note_event(self) -> None:
        """Learn that events have come, and with it what pause between them is usual."""
        self._event_at = self._parts.clock.monotonic()
        self._brought = self.stages
        self._gaps.note_event(self._event_at)
        self._looks = 0
        self._parts.probes.note_alive(item.target for item in self.stages)
        self._expect()

    async def watch(self, work: Coroutine[Any, Any, T]) -> T:
        """Await something of the engines; look after them when it doesn't come.

        :raises ChainBroken: if they will bring nothing more.
        """
        self._expect()
        self._event_at = self._heard
        task = asyncio.ensure_future(work)
        guard = asyncio.ensure_future(self._guard())
        try:
            await asyncio.wait({task, guard}, return_when=asyncio.FIRST_COMPLETED)
            if task.done():
                return task.result()
            guard.result()
            raise AssertionError("a guard ends with an exception only")
        finally:
            self._stop_guard(guard)
            if not task.done():
                task.cancel()

    @contextlib.asynccontextmanager
    async def look_after(self, opened: aiohttp.ClientResponse) -> AsyncIterator[None]:
        """Look after the engines while the caller of this reads their answer.

        One task a stream that sleeps through its usual gaps; a wait with two tasks for
        each event took half of the processor time of an event.

        :raises ChainBroken: if they will bring nothing more; the answer is closed.
        """
        self._expect()
        self._event_at = self._heard
        guard = asyncio.ensure_future(self._guard())
        guard.add_done_callback(lambda task: _close_broken(task, opened))
        try:
            yield
        except (aiohttp.ClientError, OSError):
            if guard.done() and not guard.cancelled():
                guard.result()
            raise
        finally:
            self._stop_guard(guard)

    def _expect(self) -> None:
        """Count the silence of the engines from now on."""
        self._heard = self._parts.clock.monotonic()
        self._patience = self._choose_patience()
        self._set_timer(self._patience)

    def _set_timer(self, seconds: float) -> None:
        """Wake the guard when the silence has lasted too long, not before.

        A guard that slept through each gap and looked at the clock woke a host more
        often than events did.
        """
        self._stop_timer()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(seconds, self._wake.set)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()

    def _stop_guard(self, guard: asyncio.Future[None]) -> None:
        guard.cancel()
        self._stop_timer()

    async def _guard(self) -> None:
        """Look after the engines whenever they are silent or an alarm is given.

        :raises ChainBroken: if they will bring nothing more.
        """
        while True:
            await self._wake.wait()
            self._wake.clear()
            if self._is_alarmed:
                self._is_alarmed = False
                await self._answer_alarm()
            silent = self._parts.clock.monotonic() - self._heard
            if silent >= self._patience:
                await self._look_after_chain()
                self._heard = self._parts.clock.monotonic()
                self._patience = min(MOST_SECONDS, 2.0 * self._patience)
                self._caution = min(MOST_CAUTION, CAUTION_STEP * self._caution)
                silent = 0.0
            self._set_timer(self._patience - silent)

    def _choose_patience(self) -> float:
        return self._gaps.choose_patience(self._caution)

    async def _answer_alarm(self) -> None:
        """Go round the engines of the chain that are dead or leaving.

        :raises ChainBroken: if the first one is dead and the request may be repeated.
        """
        parts = self._parts
        now = parts.clock.monotonic()
        if parts.directory.suspects.is_dead(self.stages[0].target, now):
            self._leave_first("its first engine is dead")
        await self._leave_lost_stages()

    def _leave_first(self, why: str) -> None:
        """Give up a chain whose first engine is silent.

        A request that may not be repeated waits for it instead: its answer may still
        come, and broken off it is lost for sure.

        :raises ChainBroken: if the request may be repeated.
        """
        if self._exchange.route.is_idempotent:
            raise ChainBroken(why)

    async def _leave_lost_stages(self) -> None:
        """Go round the stages that are dead or leaving.

        :raises ChainBroken: if there is no way round a dead one from the first stage,
            and another chain has room.
        """
        exchange, parts = self._exchange, self._parts
        lost = {item.target for item in self.stages[1:] if self._is_lost(item)}
        if not lost:
            return
        await self._learn_of_ends(lost)
        if await self._detour(lost) or not exchange.may_run_again:
            return
        now = parts.clock.monotonic()
        suspects = parts.directory.suspects
        if not any(suspects.is_dead(item.target, now) for item in self.stages[1:]):
            return
        tokens = exchange.call.tokens
        if parts.planner.find(exchange.service, tokens, is_new=False) is not None:
            raise ChainBroken("no way round a dead engine")

    async def _learn_of_ends(self, lost: set[TargetId]) -> None:
        """Find out whether the request may be what ended a later engine.

        :raises ChainBroken: if it ends engines: no other one is given to it.
        """
        exchange, parts = self._exchange, self._parts
        now = parts.clock.monotonic()
        for name in lost - self._ended:
            row = parts.directory.registry.rows.get(name)
            if row is not None and parts.directory.suspects.is_dead(name, now):
                self._ended.add(name)
                had_event = self.has_brought(name)
                await note_cut_off(parts, exchange, row.target, had_event)
        if find_hold(parts, exchange) is not None:
            raise ChainBroken("it ends engines")

    def _is_lost(self, stage: Stage) -> bool:
        """Tell whether a stage is dead, about to end, or gives its layers up.

        An engine that is ordered to hold others waits for what passes through it: while
        streams stayed, one took over 8 s to begin to load what was missing elsewhere.
        """
        directory, now = self._parts.directory, self._parts.clock.monotonic()
        if directory.suspects.is_dead(stage.target, now):
            return True
        if directory.registry.is_ending(stage.target, now):
            return True
        held = directory.registry.rows[stage.target].target.layers
        return held is None or not held.contains(stage.layers)

    async def _look_after_chain(self) -> None:
        """Find out which engine of the chain holds the answer up."""
        parts = self._parts
        rows = parts.directory.registry.rows
        stages = self.stages
        now = parts.clock.monotonic()
        since = now - ALIVE_SHARE * (now - self._heard)
        silent = [
            item
            for index, item in enumerate(stages)
            # The first one also says whom it waits for.
            if (index == 0 and self._looks)
            or not parts.probes.is_alive(item.target, since)
        ]
        self._looks += 1
        known = [rows[item.target].target for item in silent if item.target in rows]
        checks = (parts.probes.check(item) for item in known)
        found = dict(
            zip((item.id for item in known), await asyncio.gather(*checks), strict=True)
        )
        if stages[0] in silent:
            first = found.get(stages[0].target)
            if first is None:
                self._leave_first("its first engine does not answer")
            else:
                self._blame_stalled(first)
        await self._leave_lost_stages()
        self._leave_silent_chain()

    def _leave_silent_chain(self) -> None:
        """Give up a chain whose engines all live and bring nothing.

        :raises ChainBroken: if it has been silent for too long and the request may be
            sent once more.
        """
        exchange, parts = self._exchange, self._parts
        now = parts.clock.monotonic()
        longest = FIRST_SILENCE if self.last_event is None else LONGEST_SILENCE
        if now - self._event_at < longest:
            return
        if not exchange.may_run_again:
            return
        if not parts.retries.get(exchange.service.name).has_room(now):
            return
        parts.directory.suspects.note(self.stages[0].target, Finding.REFUSED, now)
        raise ChainBroken("its engines live and bring nothing")

    def _blame_stalled(self, first: EngineStatus) -> None:
        """Suspect the engine that the first one says it waits for."""
        parts = self._parts
        now = parts.clock.monotonic()
        for item in first.stalled:
            if item.request != self._exchange.call.id:
                continue
            for stage in self.stages[1:]:
                if stage.address == item.address:
                    parts.directory.suspects.note(stage.target, Finding.DEAD, now)

    async def _detour(self, lost: set[TargetId]) -> bool:
        """Have the first engine go on without some others; tell whether it does."""
        exchange, parts = self._exchange, self._parts
        tokens = exchange.call.tokens
        for _ in range(DETOURS):
            chain = parts.planner.find_detour(
                exchange.service, tokens, self.stages, lost
            )
            if chain is None:
                logger.info("detour_missing", request=exchange.call.id)
                return False
            replaced = self.stages
            reply = await self._order_detour(chain)
            logger.info(
                "detour_ordered",
                request=exchange.call.id,
                stages=describe_stages(chain.stages),
                replaced=describe_stages(replaced),
                result=reply.result.value,
                at_fault=reply.at_fault,
                after=self.last_event,
            )
            match reply.result:
                case OrderResult.BEGUN | OrderResult.DONE:
                    return True
                case OrderResult.CONFLICT if reply.at_fault:
                    stage = find_stage(chain.stages, reply.at_fault)
                    now = parts.clock.monotonic()
                    parts.directory.suspects.note(stage, Finding.REFUSED, now)
                    lost = lost | {stage}
                case _:
                    return False
        return False

    async def _order_detour(self, chain: Chain) -> OrderReply:
        """Order one detour; counted from now on, so that others choose other engines.

        Thirty streams that lost an engine together read their prompts anew on its
        stand-in; uncounted, they would all choose the same one.
        """
        parts, tokens = self._parts, self._exchange.call.tokens
        parts.planner.hold(chain.stages, tokens)
        dropped = chain.stages
        try:
            reply = await parts.engines.reroute(
                chain.stages[0].address, self._exchange.call.id, chain.stages
            )
            if reply.result in (OrderResult.BEGUN, OrderResult.DONE):
                self.stages, dropped = chain.stages, self.stages
                # Its new engines read the prompt first: its silence begins anew.
                self._event_at = parts.clock.monotonic()
        finally:
            parts.planner.release(dropped, tokens)
        return reply


def _close_broken(guard: asyncio.Future[None], opened: aiohttp.ClientResponse) -> None:
    """Wake the reader of an answer whose chain is broken."""
    if not guard.cancelled() and guard.exception() is not None:
        opened.close()
