"""Runs a request of a plain service: one target, another where that is allowed."""

import asyncio

import structlog
from aiohttp import web

from marigoldswitch.core.catalogue import Target
from marigoldswitch.core.errors import ErrorKind, Fault
from marigoldswitch.core.ids import DataCentre, ServiceName, TargetId
from marigoldswitch.core.loads import Usage
from marigoldswitch.core.selection import PlainSelector
from marigoldswitch.core.suspects import Finding
from marigoldswitch.gateway.exchanges import (
    Exchange,
    Refused,
    RunParts,
    check_hold,
    may_resend,
    needs_own_connection,
    note_cut_off,
    note_served,
)
from marigoldswitch.gateway.ports import Sending
from marigoldswitch.gateway.upstream import Answered, Lost, NotSent, SendEnd

logger = structlog.get_logger(__name__)

MOST_UNREACHABLE = 3
"""Targets that can't be connected to before the caller is told so."""
HEDGE_FACTOR = 4.0
"""An answer that takes this many times the usual is asked of a second target as well,
where the request may run twice: its own target may never answer."""
LEAST_HEDGE = 0.1
"""Seconds below which no second target is asked: a queue of a few is no fault."""
RETURN_SECONDS = (0.05, 0.2)
"""Bounds of the time after which a caller is told to come back: what runs ends within
some 25 ms, and callers wait a second in all."""
UNTRUE_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses by which callers take a request as not run. A target that gives one without
saying so may have run it: where it may run only once, callers must not believe that."""


class PlainSelectors:
    """The selectors of all plain services."""

    def __init__(self, parts: RunParts) -> None:
        self._parts = parts
        self._selectors: dict[ServiceName, PlainSelector] = {}

    def get(self, service: ServiceName) -> PlainSelector:
        """Return the selector of a service."""
        selector = self._selectors.get(service)
        if selector is None:
            home = DataCentre(self._parts.home)
            selector = PlainSelector(home, self._parts.source)
            self._selectors[service] = selector
        return selector


class PlainRun:
    """One request of a plain service from its first target to its end."""

    def __init__(
        self, parts: RunParts, exchange: Exchange, selector: PlainSelector
    ) -> None:
        self._parts = parts
        self._exchange = exchange
        self._selector = selector
        self._tried: set[TargetId] = set()
        self._unreachable = 0
        self._fallback: Answered | None = None
        """A failure of a target, to be passed on if nothing better comes."""

    async def drive(self) -> web.StreamResponse:
        """Run the request to its end.

        :raises Refused: if no answer of a target is passed on.
        """
        try:
            return self._pass_on(await self._find_answer())
        except Refused:
            if self._fallback is None:
                raise
            return self._pass_on(self._fallback)

    async def _find_answer(self) -> Answered:
        pending: set[asyncio.Task[SendEnd | None]] = set()
        try:
            while True:
                pending.add(asyncio.ensure_future(self._send_next(bool(pending))))
                answer = await self._await_any(pending)
                if answer is not None:
                    return answer
        finally:
            for task in pending:
                task.cancel()

    async def _await_any(
        self, pending: set[asyncio.Task[SendEnd | None]]
    ) -> Answered | None:
        """Return an answer to pass on, or ``None`` when another target may be asked."""
        while pending:
            hedge = self._choose_hedge(len(pending))
            done, _ = await asyncio.wait(
                pending, timeout=hedge, return_when=asyncio.FIRST_COMPLETED
            )
            if not done and self._may_repeat() and self._spend():
                return None
            for task in done:
                pending.discard(task)
                answer = self._judge(task.result())
                if answer is not None:
                    return answer
        return None

    def _choose_hedge(self, pending: int) -> float | None:
        """Return the seconds after which a second target is asked, if any."""
        exchange = self._exchange
        if pending > 1 or not exchange.route.is_idempotent:
            return None
        if exchange.sent >= exchange.route.most_targets or not self._tried:
            return None
        now = self._parts.clock.monotonic()
        usual = min(self._selector.estimate(item, now) for item in self._tried)
        return max(LEAST_HEDGE, HEDGE_FACTOR * usual)

    async def _send_next(self, is_second: bool) -> SendEnd | None:
        """Send the request to a target that has not had it.

        :param is_second: another target has it already; ``None`` is returned where
            there is no other.
        :raises Refused: if there is none.
        """
        exchange, parts = self._exchange, self._parts
        now = parts.clock.monotonic()
        target = self._choose(now)
        if target is None:
            if is_second:
                return None
            raise Refused(self._describe_end("no target left"))
        self._tried.add(target.id)
        exchange.sent += 1
        exchange.ran += 1
        usage = Usage(1, 0)
        parts.loads.hold(target.id, usage)
        sending = Sending(
            target.id, exchange.deadline - now, exchange.account, exchange.priority
        )
        fresh = needs_own_connection(parts, exchange)
        end: SendEnd = Lost("cancelled")
        try:
            call, body = exchange.call, exchange.body
            end = await parts.upstream.exchange(target, call, body, sending, fresh)
            if isinstance(end, Lost) and end.is_stale and may_resend(parts, exchange):
                end = await parts.upstream.exchange(target, call, body, sending, True)
            if isinstance(end, Lost):
                await note_cut_off(parts, exchange, target, had_event=False)
            return end
        finally:
            parts.loads.release(target.id, usage)
            self._learn(target, end, now)

    def _choose(self, now: float) -> Target | None:
        parts, service = self._parts, self._exchange.service.name
        targets = parts.directory.registry.list_targets(service)
        near = [
            item
            for item in targets
            if not parts.directory.suspects.is_out(item.id, now)
        ]
        return self._selector.choose(near or targets, parts.loads, self._tried, now)

    def _learn(self, target: Target, end: SendEnd, began: float) -> None:
        """Log how a sending ended and learn from it."""
        exchange, parts = self._exchange, self._parts
        now = parts.clock.monotonic()
        took = now - began
        match end:
            case Answered(status, _, _, facts) if facts.not_run:
                what = f"refused {status}"
                self._selector.note_refusal(target.id, now)
            case Answered(status) if status >= 500:
                what = f"failed {status}"
                self._selector.note_failure(target.id, took, now)
            case Answered(status):
                what = f"answered {status}"
                self._selector.note_answer(target.id, took, now)
            case NotSent(why, refused):
                what = f"not sent: {why}"
                if refused:
                    parts.directory.suspects.note(target.id, Finding.DEAD, now)
                else:
                    # Its opening packet may have been lost; what is called dead here is
                    # left out by other hosts as well.
                    parts.directory.suspects.note(target.id, Finding.FAILED, now)
                    parts.probes.check_later(target)
            case Lost(why):
                what = f"lost: {why}"
                self._selector.note_failure(target.id, took, now)
        exchange.trail.append(f"{target.id}: {what}")
        logger.info(
            "target_tried",
            request=exchange.call.id,
            service=exchange.service.name,
            target=target.id,
            held=parts.loads.get(target.id).requests,
            end=what,
            took=round(took, 4),
            revision=parts.directory.registry.revision,
        )

    def _judge(self, end: SendEnd | None) -> Answered | None:
        """Return an answer that is to be passed on.

        :raises Refused: if the request must end without one.
        """
        exchange, parts = self._exchange, self._parts
        match end:
            case None:
                return None
            case NotSent(why):
                exchange.ran -= 1
                exchange.sent -= 1
                self._unreachable += 1
                if self._unreachable >= MOST_UNREACHABLE:
                    raise Refused(self._describe_end(why))
                return None
            case Lost(why):
                check_hold(parts, exchange)
                self._check_repeat(ErrorKind.TARGET_LOST, why)
                return None
            case Answered(facts=facts) if facts.not_run:
                exchange.ran -= 1
                if facts.wrong_target:
                    exchange.sent -= 1
                self._check_repeat(ErrorKind.TARGET_REFUSED, "refused")
                return None
            case Answered(status) if status >= 500:
                self._fallback = end
                if not self._may_repeat() or not self._spend():
                    return end
                return None
        if not end.facts.is_signed or end.facts.is_encoded:
            self._check_repeat(ErrorKind.TARGET_FAULT, "not the target's answer")
            return None
        return end

    def _may_repeat(self) -> bool:
        """Tell whether the request may go to one more target."""
        exchange = self._exchange
        if exchange.sent >= exchange.route.most_targets:
            return False
        return exchange.route.is_idempotent or exchange.ran == 0

    def _spend(self) -> bool:
        """Take a repeat out of the budget; tell whether there was one."""
        budget = self._parts.retries.get(self._exchange.service.name)
        return budget.spend(self._parts.clock.monotonic())

    def _check_repeat(self, kind: ErrorKind, why: str) -> None:
        if not self._may_repeat() or not self._spend():
            raise Refused(self._describe_end(why, kind))

    def _describe_end(self, why: str, kind: ErrorKind = ErrorKind.NO_TARGET) -> Fault:
        """Return the answer to a request that no target has answered."""
        if self._exchange.ran > 0:
            return Fault(ErrorKind.TARGET_LOST, why)
        if kind is ErrorKind.TARGET_LOST:
            kind = ErrorKind.NOT_DELIVERED
        return Fault(kind, why, self._parts.source.uniform(*RETURN_SECONDS))

    def _pass_on(self, answer: Answered) -> web.StreamResponse:
        exchange = self._exchange
        untrue = answer.status in UNTRUE_STATUSES
        if untrue and not exchange.route.is_idempotent:
            detail = f"status {answer.status} without saying that it has not run"
            raise Refused(Fault(ErrorKind.TARGET_FAULT, detail))
        parts = self._parts
        if answer.status < 500:
            note_served(parts, exchange)
        headers = parts.codec.write_reply(answer.headers)
        response = web.Response(status=answer.status, headers=headers, body=answer.body)
        exchange.response = response
        return response
