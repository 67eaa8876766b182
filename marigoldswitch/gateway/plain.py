"""Runs requests of plain services, with retries and hedging where these are allowed."""

import asyncio

import structlog
from aiohttp import web

from marigoldswitch.core.catalogue import Target
from marigoldswitch.core.errors import ErrorKind, Fault
from marigoldswitch.core.ids import TargetId
from marigoldswitch.core.loads import Usage
from marigoldswitch.core.read_bounds import Excess
from marigoldswitch.core.selection import PlainSelector
from marigoldswitch.core.suspects import Finding
from marigoldswitch.gateway.caller_connections import CallerConnection
from marigoldswitch.gateway.exchanges import (
    Exchange,
    RequestRefused,
    RunParts,
    check_answer_status,
    check_contact,
    check_hold,
    find_hold,
    needs_new_connection,
    note_answering,
    note_cut_off,
    note_served,
    reserve_resend,
    spend_retry,
)
from marigoldswitch.gateway.forwarding import pass_long_body
from marigoldswitch.gateway.guard_connections import GuardConnections, open_guards
from marigoldswitch.gateway.pieces import split_body
from marigoldswitch.gateway.ports import ForwardOptions, ReplyFacts
from marigoldswitch.gateway.upstream import Answered, Lost, NotSent, SendResult

logger = structlog.get_logger(__name__)

MAX_UNREACHABLE_TARGETS = 3
"""Failed connection attempts, each to another target, after which a request fails."""
HEDGE_DELAY_FACTOR = 4.0
"""A hedge is sent after this many times the expected answer time: the first target may
never answer. Only requests that may run more than once are hedged."""
MIN_HEDGE_DELAY_SECONDS = 0.1
"""Least delay of a hedge: waiting behind a few other requests is no sign of a fault."""
RETRY_AFTER_SECONDS = (0.05, 0.2)
"""Bounds of the ``Retry-After`` time in seconds: running requests end within about
25 ms, and callers wait one second in total."""
SUSPECT_SPREAD_SECONDS = 0.1
"""Longest delay of a request that targets lose again and again."""
RETRY_SPREAD_SECONDS = 0.5
"""Time over which callers come back to targets that take no requests until a known
moment."""


class PlainRun:
    """Runs one request of a plain service."""

    def __init__(
        self, parts: RunParts, exchange: Exchange, selector: PlainSelector
    ) -> None:
        self._parts = parts
        self._exchange = exchange
        self._selector = selector
        self._tried: set[TargetId] = set()
        self._unreachable_count = 0
        self._fallback: Answered | None = None
        """The last 5xx answer, passed on if no other target gives a better one."""
        self._failed: Answered | Lost | None = None
        """The last sending that failed while another one was running."""

    async def run(self) -> web.StreamResponse:
        """Run the request to its end.

        :raises RequestRefused: if there is no answer of a target to pass on.
        """
        try:
            return await self._pass_on(await self._find_answer())
        except RequestRefused:
            if self._fallback is None:
                raise
            return await self._pass_on(self._fallback)

    async def _find_answer(self) -> Answered:
        """Send the request to targets until one answers.

        While one sending is running, one more may be started as a hedge. Those that are
        still running at the end are cancelled.

        :raises RequestRefused: if the request may not be sent again or no target is
            left.
        """
        pending: set[asyncio.Task[SendResult]] = set()
        try:
            while True:
                if not pending:
                    check_contact(self._parts, self._exchange)
                target = self._choose_target(self._parts.clock.monotonic())
                if target is not None:
                    pending.add(self._start_sending(target))
                elif not pending:
                    why = "no target left that takes a request now"
                    raise RequestRefused(self._build_fault(why))
                answer = await self._await_answer(pending)
                if answer is not None:
                    return answer
        finally:
            for task in pending:
                is_ended = not task.cancel() and not task.cancelled()
                if is_ended and task.exception() is None:
                    _close_rest(task.result())

    async def _await_answer(
        self, pending: set[asyncio.Task[SendResult]]
    ) -> Answered | None:
        """Wait for running sendings.

        Returns an answer to pass on, or ``None`` when the request is to be sent to one
        more target: all sendings have failed, or the hedge delay is over.
        """
        while pending:
            hedge_delay = self._choose_hedge_delay(len(pending))
            done, _ = await asyncio.wait(
                pending, timeout=hedge_delay, return_when=asyncio.FIRST_COMPLETED
            )
            if not done and self._may_retry() and self._spend_retry():
                return None
            for task in done:
                pending.discard(task)
                answer = self._process_end(task.result(), is_last=not pending)
                if answer is not None:
                    return answer
                _close_rest(task.result())
        return None

    def _choose_hedge_delay(self, pending: int) -> float | None:
        """Return the seconds after which to send a hedge, or ``None`` for no hedge."""
        exchange = self._exchange
        if pending > 1 or not exchange.route.is_idempotent:
            return None
        if exchange.send_count >= exchange.route.max_targets:
            return None
        if not self._parts.intake.may_hedge:
            return None
        now = self._parts.clock.monotonic()
        excluded = self._tried | self._list_blocked(now)
        if all(item.id in excluded for item in self._list_targets()):
            return None
        expected = min(
            self._selector.estimate_seconds(item, now) for item in self._tried
        )
        return max(MIN_HEDGE_DELAY_SECONDS, HEDGE_DELAY_FACTOR * expected)

    def _start_sending(self, target: Target) -> asyncio.Task[SendResult]:
        """Start to send the request to a target that it has not been sent to."""
        self._tried.add(target.id)
        parts = self._parts
        parts.directory.statements.note_sent(target.id, parts.clock.monotonic())
        self._exchange.send_count += 1
        self._exchange.run_count += 1
        return asyncio.create_task(self._send(target))

    async def _send(self, target: Target) -> SendResult:
        """Send the request to a target and return how that ended."""
        exchange, parts = self._exchange, self._parts
        now = parts.clock.monotonic()
        usage = Usage(1, 0)
        parts.loads.hold(target.id, usage)
        sending = ForwardOptions(
            target.id, exchange.deadline - now, exchange.account, exchange.priority
        )
        guards = await self._open_guards(target)
        own_connection = (
            guards is not None
            or needs_new_connection(parts, exchange)
            or parts.upstream.guard.open_connections >= parts.intake.count_kept()
        )
        connection = exchange.http.protocol
        assert isinstance(connection, CallerConnection)
        end: SendResult = Lost("cancelled")
        try:
            call, body = exchange.call, exchange.body
            end = await parts.upstream.fetch(
                target, call, body, sending, own_connection, connection
            )
            is_resent = (
                isinstance(end, Lost)
                and end.is_stale
                and await reserve_resend(parts, exchange, target)
            )
            if is_resent:
                end = await parts.upstream.fetch(
                    target, call, body, sending, True, connection
                )
            match end:
                case Lost(excess=None):
                    await note_cut_off(parts, exchange, target, now, guards=guards)
                case NotSent() if is_resent:
                    await note_cut_off(parts, exchange, target, now)
            return end
        finally:
            if guards is not None:
                guards.close()
            parts.loads.release(target.id, usage)
            self._record_attempt(target, end, now)

    async def _open_guards(self, target: Target) -> GuardConnections | None:
        """Open connections that show whether a request that was lost before ends its
        target.

        One that is lost again and again is sent a little later: others of its kind may
        come at the same moment, and what ends a target could not be told.
        """
        exchange, parts = self._exchange, self._parts
        if not parts.crashes.has_lost_requests:
            return None
        if not parts.crashes.is_suspect(exchange.fingerprint):
            return None
        if parts.crashes.is_lost_again(exchange.fingerprint):
            await asyncio.sleep(parts.source.uniform(0.0, SUSPECT_SPREAD_SECONDS))
        if parts.upstream.guard.open_connections >= parts.intake.count_kept():
            return None
        now, suspects = parts.clock.monotonic(), parts.directory.suspects
        others = [
            item
            for item in self._list_targets()
            if item.id != target.id and not suspects.is_excluded(item.id, now)
        ]
        other = parts.source.choice(others) if others else None
        return await open_guards(target, other, parts.upstream.guard)

    def _choose_target(self, now: float) -> Target | None:
        """Choose a target; suspects are considered only if no other takes requests."""
        parts = self._parts
        targets, blocked = self._list_targets(), self._list_blocked(now)
        available = [
            item
            for item in targets
            if not parts.directory.suspects.is_excluded(item.id, now)
        ]
        if all(item.id in blocked for item in available):
            available = targets
        # Not left out of the list, which would discard what is known of them.
        excluded = self._tried | blocked
        return self._selector.choose(available, parts.loads, excluded, now)

    def _list_targets(self) -> list[Target]:
        service = self._exchange.service.name
        return self._parts.directory.registry.list_targets(service)

    def _list_blocked(self, now: float) -> frozenset[TargetId]:
        """Return the targets that take no request now, by what they state themselves.

        Unlike suspects, they are not used even where no target is left.
        """
        return self._parts.directory.statements.list_blocked(now)

    def _choose_retry_after(self) -> float:
        """Return the seconds after which the caller may come back.

        Soon, if a target takes requests now; else when the first one does again, by
        what the targets state themselves.
        """
        now, parts = self._parts.clock.monotonic(), self._parts
        targets = self._list_targets()
        blocked = self._list_blocked(now)
        if not targets or any(item.id not in blocked for item in targets):
            return parts.source.uniform(*RETRY_AFTER_SECONDS)
        names = [item.id for item in targets]
        wait = parts.directory.statements.estimate_wait(names, now)
        return wait + parts.source.uniform(0.0, RETRY_SPREAD_SECONDS)

    def _record_attempt(self, target: Target, end: SendResult, started: float) -> None:
        """Log the end of a sending and update what is known of its target.

        :param started: when it began, in monotonic seconds.
        """
        exchange, parts = self._exchange, self._parts
        now = parts.clock.monotonic()
        elapsed = now - started
        if isinstance(end, Answered):
            self._note_load(target, end.facts, now)
        match end:
            case Answered(status, _, _, facts) if facts.not_run:
                outcome = f"refused {status}"
                self._selector.note_refusal(target.id, now)
            case Answered(status) if status >= 500:
                outcome = f"failed {status}"
                self._selector.note_failure(target.id, elapsed, now)
            case Answered(status):
                outcome = f"answered {status}"
                self._selector.note_answer(target.id, elapsed, now)
            case NotSent(why, refused):
                outcome = f"not sent: {why}"
                if refused:
                    parts.directory.suspects.note(target.id, Finding.DEAD, now)
                else:
                    # Not marked as dead, as its opening packet may just have been lost:
                    # other hosts also leave out a target that is marked as dead here.
                    parts.directory.suspects.note(target.id, Finding.FAILED, now)
                    parts.probes.check_in_background(target)
            case Lost(why, excess=Excess()):
                outcome = f"lost: {why}"
                self._selector.note_unbounded(target.id, elapsed, now)
            case Lost(why):
                outcome = f"lost: {why}"
                self._selector.note_failure(target.id, elapsed, now)
        exchange.attempt_log.append(f"{target.id}: {outcome}")
        logger.info(
            "target_tried",
            request=exchange.call.id,
            service=exchange.service.name,
            target=target.id,
            held=parts.loads.get(target.id).requests,
            end=outcome,
            took=round(elapsed, 4),
            revision=parts.directory.registry.revision,
        )

    def _note_load(self, target: Target, facts: ReplyFacts, now: float) -> None:
        """Record the load that a target states, if the answer is its own."""
        is_own = (facts.is_signed or facts.not_run) and not facts.wrong_target
        if is_own and facts.load is not None:
            self._selector.note_load(target.id, facts.load, now)

    def _process_end(self, end: SendResult, is_last: bool) -> Answered | None:
        """Return the answer if it is to be passed on, or ``None`` to go on.

        While another sending is running, a failure ends nothing, as that may still
        bring the answer.

        :param is_last: whether no other sending is running.
        :raises RequestRefused: if the request failed and may not be sent again.
        """
        exchange = self._exchange
        match end:
            case NotSent(why):
                exchange.run_count -= 1
                exchange.send_count -= 1
                exchange.connect_failures += 1
                self._unreachable_count += 1
                if not is_last:
                    return None
                if exchange.run_count > 0:
                    check_hold(self._parts, exchange)
                if self._unreachable_count >= MAX_UNREACHABLE_TARGETS:
                    raise RequestRefused(self._build_fault(why))
                failed, self._failed = self._failed, None
                return None if failed is None else self._go_on_after(failed)
            case Answered(facts=facts) if facts.not_run:
                exchange.run_count -= 1
                if facts.wrong_target:
                    exchange.send_count -= 1
            case Answered(status) if status >= 500:
                self._fallback = end
            case Answered(facts=facts) if facts.is_signed and not facts.is_encoded:
                return end
        if not is_last:
            self._failed = end
            return None
        self._failed = None
        return self._go_on_after(end)

    def _go_on_after(self, end: Answered | Lost) -> Answered | None:
        """Take a retry from the budget after the last running sending has failed.

        :return: the answer if it is a failure that is passed on, as there is no retry.
        :raises RequestRefused: if the request may not be sent again.
        """
        match end:
            case Lost(why):
                check_hold(self._parts, self._exchange)
                self._require_retry(ErrorKind.TARGET_LOST, why)
            case Answered(facts=facts) if facts.not_run:
                self._require_retry(ErrorKind.TARGET_REFUSED, "refused")
            case Answered(status) if status >= 500:
                if not self._may_retry() or not self._spend_retry():
                    return end
            case Answered():
                why = "answer unsigned or encoded"
                self._require_retry(ErrorKind.TARGET_FAULT, why)
        return None

    def _may_retry(self) -> bool:
        """Return whether the route allows sending the request to one more target."""
        exchange = self._exchange
        if exchange.send_count >= exchange.route.max_targets:
            return False
        if find_hold(self._parts, exchange) is not None:
            return False
        return exchange.route.is_idempotent or exchange.run_count == 0

    def _spend_retry(self) -> bool:
        """Take one retry out of the service's budget; return whether there was one."""
        return spend_retry(self._parts, self._exchange)

    def _require_retry(self, kind: ErrorKind, why: str) -> None:
        """Take one retry out of the service's budget.

        :raises RequestRefused: if the request may not be sent again.
        """
        if not self._may_retry() or not self._spend_retry():
            raise RequestRefused(self._build_fault(why, kind))

    def _build_fault(self, why: str, kind: ErrorKind = ErrorKind.NO_TARGET) -> Fault:
        """Return the error for a request that no target has answered.

        If the request may have run, its kind is ``TARGET_LOST`` whatever ``kind`` is.
        """
        if self._exchange.run_count > 0:
            return Fault(ErrorKind.TARGET_LOST, why)
        if kind is ErrorKind.TARGET_LOST:
            kind = ErrorKind.NOT_DELIVERED
        return Fault(kind, why, self._choose_retry_after())

    async def _pass_on(self, answer: Answered) -> web.StreamResponse:
        """Return the response that passes a target's answer on to the caller.

        A long body is sent here, the rest by the HTTP server.

        :raises RequestRefused: if there is no such response; :class:`AnswerAborted` if
            a long body ends early.
        """
        try:
            response = self._build_response(answer)
            if answer.rest is not None:
                await pass_long_body(self._exchange, response, answer.rest)
            return response
        finally:
            _close_rest(answer)

    def _build_response(self, answer: Answered) -> web.StreamResponse:
        """Return the response that passes a target's answer on to the caller.

        :raises RequestRefused: if callers would take its status to mean that the
            request has not run, while it may run only once.
        """
        exchange, parts = self._exchange, self._parts
        check_answer_status(exchange, answer.status)
        if answer.status < 500:
            note_served(parts, exchange)
            note_answering(parts, exchange)
        headers = parts.codec.write_reply(answer.headers)
        if answer.rest is not None:
            return web.StreamResponse(status=answer.status, headers=headers)
        response = web.Response(
            status=answer.status, headers=headers, body=split_body(answer.body)
        )
        exchange.response = response
        return response


def _close_rest(end: SendResult) -> None:
    """Close the connection of an answer whose body has not been read."""
    if isinstance(end, Answered) and end.rest is not None:
        end.rest.close()
