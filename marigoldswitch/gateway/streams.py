"""Runs a model request: over a chain of engines, on to others when these fail.

Load it answers: engines that die, leave or stall in the middle of answers. The caller
sees one answer: events are passed on whole, a broken one is asked for again from the
engine that takes over, and none is passed on twice.
"""

from collections.abc import Sequence
from dataclasses import dataclass

import aiohttp
import structlog
from aiohttp import web

from marigoldswitch.core.catalogue import Target
from marigoldswitch.core.errors import ErrorKind, Fault
from marigoldswitch.core.event_stream import EventTooLong
from marigoldswitch.core.ids import TargetId
from marigoldswitch.core.stages import Chain, Stage, describe_stages, find_stage
from marigoldswitch.core.suspects import Finding
from marigoldswitch.gateway.detours import ChainBroken, ChainWatch
from marigoldswitch.gateway.exchanges import (
    BrokenOff,
    Exchange,
    Refused,
    RunParts,
    abort,
    check_hold,
    may_resend,
    needs_own_connection,
    note_cut_off,
    note_served,
)
from marigoldswitch.gateway.forwarding import EventForwarder
from marigoldswitch.gateway.ports import Sending
from marigoldswitch.gateway.upstream import Lost, NotSent

logger = structlog.get_logger(__name__)

WAIT_SHARE = 0.6
"""Share of the latency target that a request may wait for room; the rest is for the
engines to read its prompt."""
REREAD_SECONDS = 0.2
"""Time that a stream which has begun needs from the moment it finds room to its next
event. It waits for room until its caller would have left before that: broken off, what
the caller has is lost."""
MOST_REFUSALS = 4
"""Sendings that engines may refuse before the caller is told to come back."""
MOST_LATE_REFUSALS = 8
"""The same for a stream that has begun: broken off, it would lose what its caller has
already."""
RETURN_SECONDS = (0.8, 2.4)
"""Bounds of the time after which a caller is told to come back: engines that take over
layers need 1.4 s and more to load them; spread, so that callers don't all return at
once."""
MOST_FAULT_BYTES = 1024 * 1024


@dataclass(frozen=True, slots=True)
class Finished:
    """The caller has the whole answer."""


@dataclass(frozen=True, slots=True)
class TurnedAway:
    """The engines have not run the request.

    :param at_fault: ``IP:port`` of the engine that refused, if named.
    """

    at_fault: str | None


class StreamRun:
    """One stream from its first wait to its end."""

    def __init__(self, parts: RunParts, exchange: Exchange) -> None:
        self.chain = ChainWatch(parts, exchange)
        self._parts = parts
        self._exchange = exchange
        self._forwarder = EventForwarder(parts.clock, exchange, self.chain)
        self._failed: set[TargetId] = set()
        """First engines of chains that broke: the next one begins elsewhere."""
        self._refusals = 0

    async def drive(self) -> web.StreamResponse:
        """Run the request to its end.

        :raises Refused: if it ends before the answer has begun.
        """
        while True:
            chain = await self._acquire()
            if chain is None:
                return self._give_up(ErrorKind.SATURATED, "no chain with room")
            self.chain.begin(chain.stages)
            ran = self._exchange.ran
            try:
                end = await self._follow()
            except ChainBroken as broken:
                self._exchange.trail.append(f"broken: {broken}")
                self._failed.add(chain.stages[0].target)
                if self._exchange.ran > ran:
                    await self._learn_from_lost_run(chain.stages[0], str(broken))
                self._check_repeat(str(broken))
                continue
            finally:
                self.chain.end()
            match end:
                case Finished():
                    assert self._exchange.response is not None
                    return self._exchange.response
                case TurnedAway(at_fault):
                    self._note_refusal(chain.stages, at_fault)

    async def _learn_from_lost_run(self, first: Stage, why: str) -> None:
        had_event = self.chain.has_brought(first.target)
        self._log_lost_run(first, why, had_event)
        parts = self._parts
        row = parts.directory.registry.rows.get(first.target)
        if row is None:
            return
        await note_cut_off(parts, self._exchange, row.target, had_event)
        await self._excuse_if_ended(row.target)

    def _log_lost_run(self, first: Stage, why: str, had_event: bool) -> None:
        exchange, parts = self._exchange, self._parts
        now = parts.clock.monotonic()
        budget = parts.retries.get(exchange.service.name)
        logger.info(
            "run_lost",
            request=exchange.call.id,
            fingerprint=exchange.fingerprint,
            target=first.target,
            had_event=had_event,
            after=self.chain.last_event,
            why=why,
            repeats=budget.retries.read(now),
            repeats_allowed=round(budget.measure_allowed(now), 1),
        )

    # Waiting and repeating.

    async def _acquire(self) -> Chain | None:
        exchange, parts = self._exchange, self._parts
        now = parts.clock.monotonic()
        chain = await parts.admission.acquire(
            exchange.service,
            exchange.call.tokens,
            exchange.priority,
            self._choose_patience(now),
            frozenset(self._failed),
            is_new=exchange.response is None,
        )
        logger.info(
            "chain_chosen" if chain else "chain_missing",
            request=exchange.call.id,
            service=exchange.service.name,
            stages=describe_stages(chain.stages) if chain else None,
            waited=round(parts.clock.monotonic() - now, 4),
            waiting=parts.admission.count_waiting(),
            revision=parts.directory.registry.revision,
            after=self.chain.last_event,
            **(self._describe_shortage() if chain is None else {}),
        )
        return chain

    def _choose_patience(self, now: float) -> float:
        """Return the seconds for which the request may wait for room."""
        exchange = self._exchange
        route = exchange.route
        if exchange.response is None:
            waited = now - exchange.arrived
            return max(0.0, WAIT_SHARE * route.latency_target - waited)
        silent = now - (self._forwarder.last_sent or exchange.arrived)
        return max(0.0, route.caller_patience - REREAD_SECONDS - silent)

    def _describe_shortage(self) -> dict[str, object]:
        exchange = self._exchange
        return self._parts.planner.describe_shortage(
            exchange.service, exchange.call.tokens
        )

    def _check_repeat(self, why: str) -> None:
        """Go on only if the request may be sent once more.

        :raises Refused: if it may not and the answer has not begun.
        """
        self._check_hold()
        if not self._exchange.may_run_again:
            self._give_up(ErrorKind.TARGET_LOST, f"{why}; no target left to try")
        if not self._spend_repeat():
            self._give_up(ErrorKind.TARGET_LOST, f"{why}; no repeat left")

    def _check_hold(self) -> None:
        """Go on only if the request is not known to end engines.

        :raises Refused: if it is and the answer has not begun.
        """
        try:
            check_hold(self._parts, self._exchange)
        except Refused as refused:
            if self._exchange.response is None:
                raise
            self._give_up(refused.fault.kind, refused.fault.detail)

    def _note_refusal(self, stages: Sequence[Stage], at_fault: str | None) -> None:
        """Take a refusal; the engine that is to blame is left out for a moment."""
        exchange, parts = self._exchange, self._parts
        now = parts.clock.monotonic()
        exchange.ran -= 1
        self._refusals += 1
        exchange.trail.append(f"refused by {at_fault or stages[0].address}")
        parts.directory.suspects.note(
            find_stage(stages, at_fault), Finding.REFUSED, now
        )
        has_begun = exchange.response is not None
        if self._refusals >= (MOST_LATE_REFUSALS if has_begun else MOST_REFUSALS):
            self._give_up(ErrorKind.TARGET_REFUSED, "the engines have no room")
        if not self._spend_repeat():
            self._give_up(ErrorKind.TARGET_REFUSED, "no repeat left")

    def _spend_repeat(self) -> bool:
        """Take a repeat out of the service's budget; tell whether there was one."""
        now = self._parts.clock.monotonic()
        budget = self._parts.retries.get(self._exchange.service.name)
        if self._exchange.response is not None:
            return budget.spend_reserve(now)
        return budget.spend(now)

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
        first = parts.directory.registry.rows.get(self.chain.stages[0].target)
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
            self.chain.stages,
            self.chain.last_event,
        )
        fresh = needs_own_connection(parts, exchange)
        opened = await self._open(first.target, sending, fresh)
        if (
            isinstance(opened, Lost)
            and self._is_stale(opened, first.target)
            and may_resend(parts, exchange)
        ):
            opened = await self._open(first.target, sending, fresh=True)
        match opened:
            case NotSent(why):
                exchange.ran -= 1
                self._suspect_unreached(first.target, opened)
                raise ChainBroken(f"not sent: {why}")
            case Lost(why):
                now = parts.clock.monotonic()
                parts.directory.suspects.note(first.target.id, Finding.FAILED, now)
                parts.probes.check_later(first.target)
                raise ChainBroken(f"no answer: {why}")
        try:
            return await self._pass_on(opened)
        except (aiohttp.ClientError, OSError, EventTooLong) as error:
            raise ChainBroken(f"{type(error).__name__}: {error}") from error
        finally:
            opened.close()

    def _is_stale(self, end: Lost, target: Target) -> bool:
        """Tell whether a kept connection broke, and not the engine.

        One that has brought nothing yet, or has lost a request, may reset them all: it
        would get each of them twice.
        """
        parts = self._parts
        has_failed = parts.directory.suspects.has_failed(target.id)
        return end.is_stale and not has_failed and parts.probes.has_served(target.id)

    async def _open(
        self, target: Target, sending: Sending, fresh: bool
    ) -> aiohttp.ClientResponse | NotSent | Lost:
        call, body = self._exchange.call, self._exchange.body
        work = self._parts.upstream.open(target, call, body, sending, fresh)
        return await self.chain.watch(work)

    def _suspect_unreached(self, target: Target, end: NotSent) -> None:
        """Leave out an engine that could not be reached.

        Where its port is not closed, it is asked first: the opening packet may have
        been lost, and all streams through an engine that is called dead leave it.
        """
        parts = self._parts
        now = parts.clock.monotonic()
        if end.refused:
            parts.directory.suspects.note(target.id, Finding.DEAD, now)
            return
        parts.directory.suspects.note(target.id, Finding.REFUSED, now)
        parts.probes.check_later(target)

    async def _excuse_if_ended(self, first: Target) -> None:
        """Don't hold a run against the request whose engine has ended since.

        An engine that is released cuts its streams off just before its port is closed,
        and nobody knows yet: it is asked where the request would end with this run.
        Only a closed port counts: silent engines may run on, and the request would run
        at more targets than its route allows.
        """
        exchange = self._exchange
        if exchange.may_run_again or not exchange.route.is_idempotent:
            return
        parts = self._parts
        born = parts.directory.registry.get_born(first.id)
        if await parts.probes.has_ended(first, born):
            exchange.excused += 1

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
        await self._forwarder.forward(opened)
        await exchange.response.write_eof()
        note_served(self._parts, exchange)
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
