"""Runs a model request: over a chain of engines, on to others when these fail.

Load it answers: engines that die, leave or stall in the middle of answers. The caller
sees one answer: events are passed on whole, a broken one is asked for again from the
engine that takes over, and none is passed on twice.
"""

import asyncio
from collections.abc import Coroutine, Sequence
from dataclasses import dataclass
from typing import Any, TypeVar

import aiohttp
import structlog
from aiohttp import web

from marigoldswitch.core.catalogue import Target
from marigoldswitch.core.errors import ErrorKind, Fault
from marigoldswitch.core.event_stream import Event, EventSplitter, EventTooLong
from marigoldswitch.core.ids import TargetId
from marigoldswitch.core.paths import Chain, Stage
from marigoldswitch.core.suspects import Finding
from marigoldswitch.gateway.exchanges import (
    BrokenOff,
    Exchange,
    Refused,
    RunParts,
    abort,
    write,
)
from marigoldswitch.gateway.ports import (
    EngineStatus,
    OrderReply,
    OrderResult,
    Sending,
)
from marigoldswitch.gateway.upstream import EndWatch, Lost, NotSent

logger = structlog.get_logger(__name__)

FIRST_GAP = 0.25
"""Seconds without the head of an answer after which the chain is looked at: half of
the time in which a first event is worth most, several times the usual 45 ms."""
LEAST_GAP = 0.05
"""The same between events: callers count pauses over 200 ms as late, of which a look at
a silent engine takes 40 ms, and reading the prompt elsewhere 30 to 100 ms."""
GAP_FACTOR = 2.0
"""A gap this many times the usual one is looked at."""
LONGEST_GAP = 0.6
CAUTION_STEP = 1.4
MOST_CAUTION = 4.0
"""A look that found nothing makes the stream wait this much longer for the next one, as
each costs the engines a probe; without it a slow chain was looked at ten times."""
GAP_WEIGHT = 0.2
"""Weight of the newest gap in the mean."""
WAIT_SHARE = 0.6
"""Share of the latency target that a request may wait for room; the rest is for the
engines to read its prompt."""
RESUME_SECONDS = 1.0
"""Longest wait for room of a stream that has begun: callers leave after 2 s."""
DETOURS = 3
"""Chains tried for one detour: each is refused by another engine."""
MOST_REFUSALS = 4
"""Sendings that engines may refuse before the caller is told to come back."""
RETURN_SECONDS = (0.8, 2.4)
"""Bounds of the time after which a caller is told to come back: engines that take over
layers need 1.4 s and more to load them; spread, so that callers don't all return at
once."""
MOST_FAULT_BYTES = 1024 * 1024

T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class Finished:
    """The caller has the whole answer."""


@dataclass(frozen=True, slots=True)
class TurnedAway:
    """The engines have not run the request.

    :param at_fault: ``IP:port`` of the engine that refused, if named.
    """

    at_fault: str | None


class ChainBroken(Exception):
    """The chain brings nothing more."""


class StreamRun:
    """One stream from its first wait to its end."""

    def __init__(self, parts: RunParts, exchange: Exchange) -> None:
        self.stages: tuple[Stage, ...] = ()
        """Stages that the request passes through now."""
        self._parts = parts
        self._exchange = exchange
        self._alarm = asyncio.Event()
        self._last_id: str | None = exchange.call.last_event
        self._passed_on: float | None = None
        """When the last event was passed on."""
        self._failed: set[TargetId] = set()
        """First engines of chains that broke: the next one begins elsewhere."""
        self._gap = 0.0
        self._caution = 1.0
        self._refusals = 0

    def alarm(self) -> None:
        """Look after the chain at once: one of its engines is dead or leaving."""
        self._alarm.set()

    async def drive(self) -> web.StreamResponse:
        """Run the request to its end.

        :raises Refused: if it ends before the answer has begun.
        """
        while True:
            chain = await self._acquire()
            if chain is None:
                return self._give_up(ErrorKind.SATURATED, "no chain with room")
            self.stages = chain.stages
            try:
                end = await self._follow()
            except ChainBroken as broken:
                self._exchange.trail.append(f"broken: {broken}")
                self._failed.add(chain.stages[0].target)
                self._check_repeat(str(broken))
                continue
            finally:
                self._parts.planner.release(self.stages, self._exchange.call.tokens)
                self.stages = ()
            match end:
                case Finished():
                    assert self._exchange.response is not None
                    return self._exchange.response
                case TurnedAway(at_fault):
                    self._note_refusal(chain.stages, at_fault)

    # Waiting and repeating.

    async def _acquire(self) -> Chain | None:
        exchange, parts = self._exchange, self._parts
        now = parts.clock.monotonic()
        patience = RESUME_SECONDS
        if exchange.response is None:
            target = exchange.route.latency_target
            patience = max(0.0, WAIT_SHARE * target - (now - exchange.arrived))
        chain = await parts.admission.acquire(
            exchange.service,
            exchange.call.tokens,
            exchange.priority,
            patience,
            frozenset(self._failed),
        )
        logger.info(
            "chain_chosen" if chain else "chain_missing",
            request=exchange.call.id,
            service=exchange.service.name,
            stages=_describe(chain.stages) if chain else None,
            waited=round(parts.clock.monotonic() - now, 4),
            waiting=parts.admission.count_waiting(),
            revision=parts.directory.registry.revision,
            after=self._last_id,
            **(self._describe_shortage() if chain is None else {}),
        )
        return chain

    def _describe_shortage(self) -> dict[str, object]:
        exchange = self._exchange
        return self._parts.planner.describe_shortage(
            exchange.service, exchange.call.tokens
        )

    def _check_repeat(self, why: str) -> None:
        """Go on only if the request may be sent once more.

        :raises Refused: if it may not and the answer has not begun.
        """
        exchange, parts = self._exchange, self._parts
        now = parts.clock.monotonic()
        budget = parts.retries.get(exchange.service.name)
        if not exchange.route.is_idempotent and exchange.ran:
            self._give_up(ErrorKind.TARGET_LOST, why)
        if exchange.ran >= exchange.route.most_targets:
            self._give_up(ErrorKind.TARGET_LOST, f"{why}; no target left to try")
        if exchange.response is not None:
            budget.charge(now)
        elif not budget.spend(now):
            self._give_up(ErrorKind.TARGET_LOST, f"{why}; no repeat left")

    def _note_refusal(self, stages: Sequence[Stage], at_fault: str | None) -> None:
        """Take a refusal; the engine that is to blame is left out for a moment."""
        exchange, parts = self._exchange, self._parts
        now = parts.clock.monotonic()
        exchange.ran -= 1
        self._refusals += 1
        exchange.trail.append(f"refused by {at_fault or stages[0].address}")
        parts.directory.suspects.note(
            self._find_stage(stages, at_fault), Finding.REFUSED, now
        )
        if self._refusals >= MOST_REFUSALS:
            self._give_up(ErrorKind.TARGET_REFUSED, "the engines have no room")
        if not parts.retries.get(exchange.service.name).spend(now):
            self._give_up(ErrorKind.TARGET_REFUSED, "no repeat left")

    def _find_stage(self, stages: Sequence[Stage], address: str | None) -> TargetId:
        for stage in stages:
            if stage.address == address:
                return stage.target
        return stages[0].target

    def _give_up(self, kind: ErrorKind, detail: str) -> web.StreamResponse:
        """End the request: break off its answer, or say why there is none."""
        exchange = self._exchange
        if exchange.response is not None:
            exchange.trail.append(f"broken off: {detail}")
            abort(exchange)
            raise BrokenOff(detail)
        if exchange.ran == 0 and kind is ErrorKind.TARGET_LOST:
            kind = ErrorKind.NOT_DELIVERED
        wait = None
        if exchange.ran == 0:
            wait = self._parts.source.uniform(*RETURN_SECONDS)
        raise Refused(Fault(kind, detail, wait))

    # One chain.

    async def _follow(self) -> Finished | TurnedAway:
        """Send the request over the chain and pass on what comes.

        :raises ChainBroken: if the chain fails before the answer is whole.
        """
        exchange, parts = self._exchange, self._parts
        first = parts.directory.registry.rows.get(self.stages[0].target)
        if first is None:
            raise ChainBroken("its first engine has just gone")
        exchange.sent += 1
        exchange.ran += 1
        now = parts.clock.monotonic()
        sending = Sending(
            first.target.id,
            exchange.deadline - now,
            exchange.account,
            exchange.priority,
            self.stages,
            self._last_id,
        )
        self._gap = 0.0
        opened = await self._watch(
            parts.upstream.open(
                first.target, exchange.call, exchange.body, sending, False
            )
        )
        match opened:
            case NotSent(why):
                exchange.ran -= 1
                parts.directory.suspects.note(first.target.id, Finding.DEAD, now)
                raise ChainBroken(f"not sent: {why}")
            case Lost(why):
                parts.probes.check_later(first.target)
                self._forgive_dead(first.target)
                raise ChainBroken(f"no answer: {why}")
        try:
            return await self._pass_on(opened)
        except (aiohttp.ClientError, OSError, EventTooLong) as error:
            self._forgive_dead(first.target)
            raise ChainBroken(f"{type(error).__name__}: {error}") from error
        finally:
            opened.close()

    def _forgive_dead(self, first: Target) -> None:
        """Don't count a run at an engine that is known to be dead."""
        parts = self._parts
        if parts.directory.suspects.is_dead(first.id, parts.clock.monotonic()):
            self._exchange.ran -= 1

    async def _pass_on(self, opened: aiohttp.ClientResponse) -> Finished | TurnedAway:
        exchange, codec = self._exchange, self._parts.codec
        facts = codec.read_reply(opened.status, opened.headers)
        if facts.request != exchange.call.id:
            raise ChainBroken(f"an answer to {facts.request}")
        if facts.not_run:
            return TurnedAway(facts.at_fault)
        if opened.status != web.HTTPOk.status_code:
            return await self._pass_fault_on(opened)
        if not facts.is_signed or facts.is_encoded:
            raise ChainBroken("an answer that is not the target's")
        if exchange.response is None:
            response = web.StreamResponse(
                status=opened.status, headers=codec.write_reply(opened.headers)
            )
            response.enable_chunked_encoding()
            if self._parts.state.draining:
                response.force_close()
            await response.prepare(exchange.http)
            exchange.response = response
        await self._pass_events_on(opened)
        await exchange.response.write_eof()
        self._parts.retries.get(exchange.service.name).note_success(
            self._parts.clock.monotonic()
        )
        return Finished()

    async def _pass_fault_on(self, opened: aiohttp.ClientResponse) -> Finished:
        """Pass on a failure of the target, unless another may do better."""
        exchange = self._exchange
        again = exchange.route.is_idempotent and opened.status >= 500
        if exchange.response is not None:
            raise ChainBroken(f"status {opened.status}")
        if again and exchange.ran < exchange.route.most_targets:
            raise ChainBroken(f"status {opened.status}")
        body = await opened.content.read(MOST_FAULT_BYTES)
        headers = self._parts.codec.write_reply(opened.headers)
        response = web.Response(status=opened.status, headers=headers, body=body)
        await response.prepare(exchange.http)
        await response.write_eof()
        exchange.response = response
        return Finished()

    async def _pass_events_on(self, opened: aiohttp.ClientResponse) -> None:
        """Pass on the events that come until the answer is whole."""
        clock = self._parts.clock
        splitter, watch = EventSplitter(), EndWatch(opened)
        before = clock.monotonic()
        while content := await self._watch(opened.content.readany()):
            now = clock.monotonic()
            events = splitter.feed(content)
            if events:
                self._learn_gap(now - before)
                before = now
                await self._write_new(events)
        if splitter.has_remainder:
            raise ChainBroken("an event was cut off")
        if not watch.ended_well():
            raise ChainBroken("the connection was reset at the end")

    async def _write_new(self, events: list[Event]) -> None:
        """Pass on the events that the caller does not have."""
        fresh = []
        for event in events:
            if self._is_old(event):
                continue
            if event.id is not None:
                self._last_id = event.id
            fresh.append(event.content)
        if fresh:
            self._note_gap()
            await write(self._exchange, b"".join(fresh))

    def _note_gap(self) -> None:
        """Keep the pauses that the caller sees, for the log line of the end."""
        exchange, now = self._exchange, self._parts.clock.monotonic()
        if self._passed_on is None:
            exchange.first_event = now - exchange.arrived
        else:
            gap = now - self._passed_on
            exchange.longest_gap = max(exchange.longest_gap, gap)
        self._passed_on = now

    def _is_old(self, event: Event) -> bool:
        """Tell whether the caller has an event already."""
        last = self._last_id
        if event.id is None or last is None:
            return False
        if event.id.isdigit() and last.isdigit():
            return int(event.id) <= int(last)
        return event.id == last

    def _learn_gap(self, gap: float) -> None:
        if self._gap == 0.0:
            self._gap = gap
        self._gap += GAP_WEIGHT * (gap - self._gap)

    # Looking after the chain.

    async def _watch(self, work: Coroutine[Any, Any, T]) -> T:
        """Await something of the engines; look after them when it doesn't come.

        :raises ChainBroken: if they will bring nothing more.
        """
        task = asyncio.ensure_future(work)
        patience = self._choose_gap()
        try:
            while True:
                alarm = asyncio.ensure_future(self._alarm.wait())
                try:
                    await asyncio.wait(
                        {task, alarm},
                        timeout=patience,
                        return_when=asyncio.FIRST_COMPLETED,
                    )
                finally:
                    alarm.cancel()
                if task.done():
                    return task.result()
                if self._alarm.is_set():
                    self._alarm.clear()
                    await self._answer_alarm()
                else:
                    await self._look_after_chain()
                    patience = min(LONGEST_GAP, 2.0 * patience)
                    self._caution = min(MOST_CAUTION, CAUTION_STEP * self._caution)
        finally:
            if not task.done():
                task.cancel()

    def _choose_gap(self) -> float:
        if self._gap == 0.0:
            return FIRST_GAP
        gap = max(LEAST_GAP, GAP_FACTOR * self._gap)
        return min(LONGEST_GAP, self._caution * gap)

    async def _answer_alarm(self) -> None:
        """Go round the engines of the chain that are dead or leaving."""
        parts = self._parts
        now = parts.clock.monotonic()
        if parts.directory.suspects.is_dead(self.stages[0].target, now):
            raise ChainBroken("its first engine is dead")
        await self._leave_lost_stages()

    async def _leave_lost_stages(self) -> None:
        """Go round the stages that are dead or leaving.

        :raises ChainBroken: if there is no way round a dead one from the first stage,
            and another chain has room.
        """
        exchange, parts = self._exchange, self._parts
        lost = {item.target for item in self.stages[1:] if self._is_lost(item)}
        if not lost:
            return
        if await self._detour(lost) or exchange.ran >= exchange.route.most_targets:
            return
        now = parts.clock.monotonic()
        suspects = parts.directory.suspects
        if not any(suspects.is_dead(item.target, now) for item in self.stages[1:]):
            return
        if parts.planner.find(exchange.service, exchange.call.tokens) is not None:
            raise ChainBroken("no way round a dead engine")

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
        known = [rows[item.target].target for item in stages if item.target in rows]
        checks = (parts.probes.check(item) for item in known)
        found = dict(
            zip((item.id for item in known), await asyncio.gather(*checks), strict=True)
        )
        first = found.get(stages[0].target)
        if first is None:
            raise ChainBroken("its first engine does not answer")
        self._blame_stalled(first)
        await self._leave_lost_stages()

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
                stages=_describe(chain.stages),
                replaced=_describe(replaced),
                result=reply.result.value,
                at_fault=reply.at_fault,
                after=self._last_id,
            )
            match reply.result:
                case OrderResult.BEGUN | OrderResult.DONE:
                    return True
                case OrderResult.CONFLICT if reply.at_fault:
                    stage = self._find_stage(chain.stages, reply.at_fault)
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
        finally:
            parts.planner.release(dropped, tokens)
        return reply


def _describe(stages: Sequence[Stage]) -> list[str]:
    return [
        f"{item.target}@{item.address}={item.layers.first}-{item.layers.end}"
        for item in stages
    ]
