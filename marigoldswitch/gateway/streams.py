"""Runs a request over chains of engines, one after the other, to its end.

Engines may die, leave or stall in the middle of an answer. The caller still sees one
answer: events are forwarded only when complete, the next chain resumes after the last
forwarded event, and no event with an id is forwarded twice. A chain that is only
suspected to have failed is kept until another one delivers.
"""

import asyncio
import math
from collections.abc import Awaitable, Callable, Sequence
from typing import NoReturn

import structlog
from aiohttp import web

from marigoldswitch.core.errors import ErrorKind, Fault
from marigoldswitch.core.ids import TargetId
from marigoldswitch.core.stages import Chain, Stage
from marigoldswitch.gateway.attempts import Attempt, Claimant
from marigoldswitch.gateway.broken_chains import ChainBroken, ChainGivenUp, ChainLeft
from marigoldswitch.gateway.chain_runs import ChainRun, Completed, EnginesRefused
from marigoldswitch.gateway.chain_waiting import ChainWait
from marigoldswitch.gateway.detours import ChainMonitor, start_interruption_log
from marigoldswitch.gateway.exchanges import (
    AbortReason,
    AnswerAborted,
    Exchange,
    RequestRefused,
    RunParts,
    check_contact,
    check_hold,
    find_hold,
    is_cut_off,
    spend_retry,
)
from marigoldswitch.gateway.interruption_log import LossKind
from marigoldswitch.gateway.lost_runs import record_lost_run
from marigoldswitch.gateway.stream_losses import StreamLosses

logger = structlog.get_logger(__name__)

MAX_SELECTIVE_WAIT_SECONDS = 0.02
"""Longest wait for a chain without engines that may share a loss: one search."""
MAX_REFUSALS = 4
"""Refusals by engines after which the caller is told to retry later."""
MAX_RESUME_REFUSALS = 8
"""The same for a stream that has begun. It is higher because aborting the stream loses
what its caller has received."""

RunElsewhere = Callable[[Exchange, Claimant], Awaitable[web.StreamResponse | None]]
"""Runs a request through another host; returns ``None`` if none takes it."""


class _NoWay(Exception):
    """An attempt found no chain or host that it may use.

    :ivar reason: why a stream that has begun ends, if this was its only attempt.
    """

    def __init__(self, kind: ErrorKind, reason: AbortReason, detail: str) -> None:
        super().__init__(detail)
        self.kind = kind
        self.reason = reason


class _ChainAttempt(Attempt):
    """An attempt over a chain of engines.

    :ivar is_paid: a retry has been spent for it, or it needs none.
    :ivar monitor: of its chain; without stages until it has one.
    :ivar first: first stage of its chain, once it has one.
    :ivar run: over its chain, once that has begun.
    """

    is_paid: bool
    monitor: ChainMonitor
    first: Stage | None = None
    run: ChainRun | None = None

    @property
    def has_sent(self) -> bool:
        """Return whether the request may have reached an engine."""
        return self.run is not None and self.run.has_run


class StreamRun:
    """Runs one model or streaming request, over as many chains as it takes.

    :param run_elsewhere: used while this host reaches no target.
    """

    def __init__(
        self, parts: RunParts, exchange: Exchange, run_elsewhere: RunElsewhere
    ) -> None:
        self._parts = parts
        self._exchange = exchange
        self._run_elsewhere = run_elsewhere
        self._interruptions = start_interruption_log(parts, exchange)
        self._losses = StreamLosses(parts, exchange, self._interruptions)
        self._chain_wait = ChainWait(parts, exchange)
        self._refusals = 0
        self._changed = asyncio.Event()
        self._current: Attempt | None = None
        """The attempt that writes to the caller."""
        self._replacements: list[Attempt] = []
        """Attempts of which one becomes the current one if it delivers first, in the
        order of their starts; all but the newest are doubted."""
        self._doubt: ChainBroken | None = None
        """Why the newest replacement was sought."""
        self._logged_doubt: tuple[str, AbortReason | None, str | None] | None = None
        self._replaced: list[tuple[Attempt, ChainBroken]] = []
        """Attempts that were replaced and why, until that is recorded."""

    def list_monitors(self) -> list[ChainMonitor]:
        """Return the monitors of the chains that the stream uses now."""
        return [
            item.monitor
            for item in self._list_attempts()
            if isinstance(item, _ChainAttempt)
        ]

    def _list_attempts(self) -> list[Attempt]:
        attempts = (self._current, *self._replacements)
        return [item for item in attempts if item is not None and not item.is_done]

    async def run(self) -> web.StreamResponse:
        """Run the request to its end and return the answer sent to the caller.

        :raises RequestRefused: if it fails; :class:`AnswerAborted` once the answer has
            begun; :class:`ContactLost` if this host reaches no target.
        """
        check_contact(self._parts, self._exchange)
        self._current = self._start_chain(is_paid=True)
        try:
            while True:
                await self._changed.wait()
                self._changed.clear()
                await self._record_replaced()
                await self._settle_replacements()
                if self._current.is_done:
                    response = await self._settle_current(self._current)
                    if response is not None:
                        return response
                    continue
                newest = (self._current, *self._replacements)[-1]
                if newest.doubt is not None and not newest.is_done:
                    self._seek_replacement(newest)
        finally:
            for attempt in self._list_attempts():
                attempt.cancel()

    # Attempts.

    def _start_chain(self, is_paid: bool) -> _ChainAttempt:
        """Start an attempt over a chain.

        :param is_paid: whether a retry has been spent for it, or it needs none.
        """
        attempt = _ChainAttempt(
            self._changed.set, self._take_over, lambda: len(self._list_attempts())
        )
        attempt.is_paid = is_paid
        attempt.monitor = ChainMonitor(
            self._parts, self._exchange, self._interruptions, attempt.report
        )
        attempt.start(self._attempt_chain(attempt))
        return attempt

    async def _attempt_chain(
        self, attempt: _ChainAttempt
    ) -> Completed | EnginesRefused:
        """Wait for a chain and run the request over it.

        :raises _NoWay: if there is none; :class:`ChainBroken` if it breaks;
            :class:`RequestRefused` if the request is held off.
        """
        monitor = attempt.monitor
        chain = await self._acquire_chain(monitor)
        if chain is None:
            raise _NoWay(
                ErrorKind.SATURATED, AbortReason.NO_CHAIN, "no chain with room"
            )
        monitor.start_chain(chain.stages)
        attempt.first = chain.stages[0]
        try:
            if not attempt.is_paid and not self._spend_retry():
                kind, reason = ErrorKind.TARGET_LOST, AbortReason.NO_RETRY_LEFT
                raise _NoWay(kind, reason, "no retry left")
            attempt.is_paid = True
            attempt.run = ChainRun(
                self._parts,
                self._exchange,
                monitor,
                self._losses,
                attempt,
                self._chain_wait.check,
            )
            result = await attempt.run.run()
            if isinstance(result, EnginesRefused):
                self._note_refusal(chain.stages, result.at_fault)
            return result
        finally:
            monitor.release_chain()

    def _start_elsewhere(self) -> Attempt:
        """Start an attempt through another host."""
        attempt = Attempt(
            self._changed.set, self._take_over, lambda: len(self._list_attempts())
        )
        attempt.start(self._attempt_elsewhere(attempt))
        return attempt

    async def _attempt_elsewhere(self, attempt: Attempt) -> Completed:
        """Run the request through another host.

        :raises _NoWay: if none takes it; :class:`RequestRefused` or
            :class:`AnswerAborted` if it fails there.
        """
        response = await self._run_elsewhere(self._exchange, attempt)
        if response is None:
            raise _NoWay(
                ErrorKind.UNREACHABLE,
                AbortReason.NO_HOST,
                "no other host takes the request",
            )
        return Completed()

    def _seek_replacement(self, doubted: Attempt) -> None:
        """Start an attempt that takes over from a doubted one if it delivers first.

        Where none is possible, the doubted one goes on, with those that it was to
        replace.
        """
        parts, exchange = self._parts, self._exchange
        doubt, doubted.doubt = doubted.doubt, None
        assert doubt is not None
        is_elsewhere = is_cut_off(parts, exchange)
        obstacle = None
        if not exchange.may_run_again:
            obstacle = AbortReason.NO_RUN_LEFT
        elif find_hold(parts, exchange) is not None:
            obstacle = AbortReason.HELD_OFF
        elif is_elsewhere and exchange.is_proxied:
            obstacle = AbortReason.NO_HOST
        self._log_doubt(doubt, obstacle)
        if obstacle is not None:
            return
        is_paid = isinstance(doubt, ChainLeft)
        if is_elsewhere and not is_paid and not self._spend_retry():
            return
        self._doubt = doubt
        if is_elsewhere:
            self._replacements.append(self._start_elsewhere())
            return
        if isinstance(doubted, _ChainAttempt) and doubted.first is not None:
            self._losses.note_broken_chain(doubted.first.target)
        self._replacements.append(self._start_chain(is_paid))

    def _log_doubt(self, doubt: ChainBroken, obstacle: AbortReason | None) -> None:
        """Log a doubt, once for each reason and event: it is reported again and again
        while it stands.
        """
        exchange = self._exchange
        logged = (str(doubt), obstacle, exchange.last_event)
        if logged == self._logged_doubt:
            return
        self._logged_doubt = logged
        logger.info(
            "stream_doubted",
            request=exchange.call.id,
            why=str(doubt),
            obstacle=obstacle.value if obstacle else None,
            after=exchange.last_event,
            runs=exchange.run_count,
        )

    def _take_over(self, attempt: Attempt) -> None:
        """Let an attempt write to the caller, and cancel the others.

        :raises ChainBroken: if another attempt has taken over from it.
        """
        current, replacements = self._current, self._replacements
        if attempt is current:
            attempt.doubt = None
            if replacements:
                self._cancel(replacements)
                self._replacements = []
                self._note_recovery(current)
            return
        if attempt not in replacements or current is None:
            raise ChainBroken("another attempt has taken the answer over")
        assert self._doubt is not None
        index = replacements.index(attempt)
        doubted = [current, *replacements[:index]]
        self._cancel([*doubted, *replacements[index + 1 :]])
        self._replaced += [(item, item.last_doubt or self._doubt) for item in doubted]
        self._current, self._replacements = attempt, []
        attempt.doubt = None
        self._changed.set()

    def _cancel(self, attempts: Sequence[Attempt]) -> None:
        for item in attempts:
            item.cancel()

    def _note_recovery(self, current: Attempt) -> None:
        """Record that a doubted attempt has delivered before its replacement."""
        if isinstance(current, _ChainAttempt) and current.first is not None:
            self._losses.note_recovered(current.first.target)
        self._exchange.attempt_log.append(f"recovered: {self._doubt}")
        self._log_end_of_doubt("recovered")

    def _log_end_of_doubt(self, outcome: str) -> None:
        exchange = self._exchange
        logger.info(
            "stream_doubt_ended",
            request=exchange.call.id,
            outcome=outcome,
            after=exchange.last_event,
        )

    # Ends of attempts.

    async def _record_replaced(self) -> None:
        """Record the attempts that were replaced as lost runs."""
        while self._replaced:
            attempt, doubt = self._replaced.pop(0)
            self._exchange.attempt_log.append(f"replaced: {doubt}")
            self._log_end_of_doubt("replaced")
            if not isinstance(doubt, ChainLeft):
                await self._record_lost_run(attempt, doubt)

    async def _settle_replacements(self) -> None:
        """Drop the replacements that have ended without delivering."""
        for item in [item for item in self._replacements if item.is_done]:
            # One that was recorded before may have let it become the current one.
            if item in self._replacements:
                await self._settle_replacement(item)

    async def _settle_replacement(self, replacement: Attempt) -> None:
        """Drop a replacement that has ended; let another one be sought."""
        self._replacements.remove(replacement)
        has_other_way = True
        lost: ChainBroken | None = None
        try:
            replacement.get_result()
            why = "refused"
            has_other_way = self._refusals < self._max_refusals
        except ChainBroken as broken:
            why, lost = str(broken), broken
        except (_NoWay, RequestRefused, AnswerAborted) as error:
            why, has_other_way = str(error), False
        except Exception:
            # The current attempt may still deliver.
            why, has_other_way = "internal fault", False
            logger.exception("replacement_failed", request=self._exchange.call.id)
        self._exchange.attempt_log.append(f"replacement: {why}")
        attempts = self._list_attempts()
        if has_other_way and attempts and attempts[-1].doubt is None:
            # Before the break is recorded, which waits: if an attempt delivers
            # meanwhile, the doubt is dropped.
            # Only the first replacement of a chain that was left has been paid for.
            attempts[-1].doubt = self._doubt and ChainGivenUp(str(self._doubt))
        if lost is not None:
            await self._note_broken(replacement, lost)

    async def _settle_current(self, attempt: Attempt) -> web.StreamResponse | None:
        """Return the answer that has been sent, or go on after an attempt has failed.

        :raises RequestRefused: if the request fails; :class:`AnswerAborted` once the
            answer has begun; :class:`ContactLost` if this host reaches no target.
        """
        try:
            result = attempt.get_result()
        except ChainBroken as broken:
            # Before the break is recorded, which waits: the replacement may deliver
            # meanwhile.
            is_replaced = self._promote_replacement()
            await self._note_broken(attempt, broken)
            if not is_replaced:
                self._pass_on_if_cut_off(attempt)
                self._check_retry_allowed(str(broken))
                self._current = self._start_chain(is_paid=True)
            return None
        except _NoWay as no_way:
            if not self._promote_replacement():
                self._pass_on_if_cut_off(attempt)
                self._fail_request(no_way.kind, no_way.reason, str(no_way))
            return None
        except RequestRefused as refused:
            if not self._promote_replacement():
                self._fail_held_off(refused)
            return None
        match result:
            case EnginesRefused():
                if not self._promote_replacement():
                    self._check_refusals()
                    self._current = self._start_chain(is_paid=True)
                return None
            case _:
                assert self._exchange.response is not None
                return self._exchange.response

    def _pass_on_if_cut_off(self, failed: Attempt) -> None:
        """Let another host run the request if this one reaches no target.

        That takes a retry, unless one is left from an attempt that has not sent it.

        :param failed: the last attempt.
        :raises ContactLost: if the request is to be passed on.
        """
        parts, exchange = self._parts, self._exchange
        if not is_cut_off(parts, exchange) or not exchange.may_run_again:
            return
        is_paid = (
            isinstance(failed, _ChainAttempt) and failed.is_paid and not failed.has_sent
        )
        if is_paid or self._spend_retry():
            check_contact(parts, exchange)

    def _promote_replacement(self) -> bool:
        """Let the oldest replacement be the current one; return whether there is
        one."""
        if not self._replacements:
            return False
        self._current = self._replacements.pop(0)
        self._changed.set()
        return True

    async def _note_broken(self, attempt: Attempt, broken: ChainBroken) -> None:
        """Record that the chain of an attempt broke."""
        self._exchange.attempt_log.append(f"broken: {broken}")
        if isinstance(attempt, _ChainAttempt) and attempt.first is not None:
            self._losses.note_broken_chain(attempt.first.target)
        await self._record_lost_run(attempt, broken)

    async def _record_lost_run(self, attempt: Attempt, broken: ChainBroken) -> None:
        if not isinstance(attempt, _ChainAttempt) or attempt.first is None:
            return
        if not attempt.has_sent:
            return
        try:
            await record_lost_run(
                self._parts, self._exchange, attempt.monitor, attempt.first, broken
            )
        except Exception:
            # Another attempt may be delivering the answer.
            logger.exception("lost_run_not_recorded", request=self._exchange.call.id)

    # Waiting for a chain and retrying.

    async def _acquire_chain(self, monitor: ChainMonitor) -> Chain | None:
        avoided = await self._losses.list_avoided()
        chain = None
        if avoided != self._losses.failed_first_engines:
            # Engines that may share a loss are avoided only while others have room:
            # a stream that waited without them could wait in vain.
            chain = await self._ask_for_chain(avoided, MAX_SELECTIVE_WAIT_SECONDS)
        if chain is None:
            chain = await self._ask_for_chain(self._losses.failed_first_engines)
        monitor.interruptions.note_chain(self._parts.clock.monotonic())
        return chain

    async def _ask_for_chain(
        self, avoid: frozenset[TargetId], longest_wait: float = math.inf
    ) -> Chain | None:
        now = self._parts.clock.monotonic()
        return await self._chain_wait.acquire(
            avoid,
            self._exchange.last_event,
            self._interruptions.get_seconds_left(now),
            longest_wait,
        )

    def _check_retry_allowed(self, why: str) -> None:
        """Spend a retry, or fail the request if it may not be sent again.

        :param why: why the last chain broke.
        :raises RequestRefused: if it fails; :class:`AnswerAborted` once the answer has
            begun.
        """
        try:
            check_hold(self._parts, self._exchange)
        except RequestRefused as refused:
            self._fail_held_off(refused)
        if not self._exchange.may_run_again:
            self._fail_request(
                ErrorKind.TARGET_LOST,
                AbortReason.NO_RUN_LEFT,
                f"{why}; no target left to try",
            )
        if not self._spend_retry():
            self._fail_request(
                ErrorKind.TARGET_LOST,
                AbortReason.NO_RETRY_LEFT,
                f"{why}; no retry left",
            )

    def _fail_held_off(self, refused: RequestRefused) -> NoReturn:
        """Fail a request that is held off because it crashes engines.

        :raises RequestRefused: always; :class:`AnswerAborted` once the answer has
            begun.
        """
        if self._exchange.response is None:
            raise refused
        raise AnswerAborted(AbortReason.HELD_OFF, refused.fault.detail)

    def _note_refusal(self, stages: Sequence[Stage], at_fault: str | None) -> None:
        """Avoid the engine that refused for a short time.

        :param stages: the chain, whose load is still counted.
        """
        self._refusals += 1
        refusing = at_fault or stages[0].address
        self._exchange.attempt_log.append(f"refused by {refusing}")
        closed = self._chain_wait.exclude_refusing_engine(stages, at_fault)
        if closed is not None:
            self._losses.note(LossKind.REFUSAL, closed)

    @property
    def _max_refusals(self) -> int:
        has_begun = self._exchange.response is not None
        return MAX_RESUME_REFUSALS if has_begun else MAX_REFUSALS

    def _check_refusals(self) -> None:
        """Spend a retry after a refusal.

        :raises RequestRefused: if there were too many; :class:`AnswerAborted` once the
            answer has begun.
        """
        if self._refusals >= self._max_refusals:
            self._fail_request(
                ErrorKind.TARGET_REFUSED,
                AbortReason.REFUSED,
                "the engines have no room",
            )
        if not self._spend_retry():
            self._fail_request(
                ErrorKind.TARGET_REFUSED, AbortReason.NO_RETRY_LEFT, "no retry left"
            )

    def _spend_retry(self) -> bool:
        """Take a retry from the service's budget; return whether one was left.

        Streams that have begun may also use the budget's reserve.
        """
        has_begun = self._exchange.response is not None
        return spend_retry(self._parts, self._exchange, use_reserve=has_begun)

    def _fail_request(
        self, kind: ErrorKind, reason: AbortReason, detail: str
    ) -> NoReturn:
        """End the request: its answer is aborted if it has begun, or it is refused.

        :param reason: why the answer is aborted.
        :raises RequestRefused: always; :class:`AnswerAborted` once the answer has
            begun.
        """
        exchange = self._exchange
        if exchange.response is not None:
            exchange.attempt_log.append(f"broken off: {detail}")
            raise AnswerAborted(reason, detail)
        if exchange.run_count == 0 and kind is ErrorKind.TARGET_LOST:
            kind = ErrorKind.NOT_DELIVERED
        retry_after = None
        if exchange.run_count == 0:
            retry_after = self._chain_wait.choose_retry_after()
        raise RequestRefused(Fault(kind, detail, retry_after))
