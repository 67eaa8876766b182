"""Runs a request over a chain of engines and fails over when the chain breaks.

Engines may die, leave or stall in the middle of an answer. The caller still sees one
answer: events are forwarded only when complete, the next chain resumes after the last
forwarded event, and no event with an id is forwarded twice.
"""

import math
from collections.abc import Sequence

import aiohttp
import structlog
from aiohttp import web
from msgspec import Struct

from marigoldswitch.core.catalogue import Target
from marigoldswitch.core.errors import ErrorKind, Fault
from marigoldswitch.core.ids import TargetId
from marigoldswitch.core.stages import Chain, Stage
from marigoldswitch.core.suspects import Finding
from marigoldswitch.gateway.bounded_reads import AnswerUnbounded, Reader, read_whole
from marigoldswitch.gateway.broken_chains import (
    ChainBroken,
    ChainGivenUp,
    ChainLeft,
)
from marigoldswitch.gateway.chain_waiting import ChainWait
from marigoldswitch.gateway.detours import ChainMonitor
from marigoldswitch.gateway.exchanges import (
    AbortReason,
    AnswerAborted,
    Exchange,
    RequestRefused,
    RunParts,
    check_contact,
    check_hold,
    needs_new_connection,
    note_served,
    reserve_resend,
    spend_retry,
)
from marigoldswitch.gateway.forwarding import AnswerCut, EventForwarder
from marigoldswitch.gateway.interruption_log import LossKind
from marigoldswitch.gateway.lost_runs import record_lost_run
from marigoldswitch.gateway.ports import ForwardOptions
from marigoldswitch.gateway.stream_losses import StreamLosses
from marigoldswitch.gateway.upstream import Lost, NotSent, Reply

logger = structlog.get_logger(__name__)

HIGHEST_PRIORITY = 0
MAX_SELECTIVE_WAIT_SECONDS = 0.02
"""Longest wait for a chain without engines that may share a loss: one search."""
MAX_REFUSALS = 4
"""Refusals by engines after which the caller is told to retry later."""
MAX_RESUME_REFUSALS = 8
"""The same for a stream that has begun. It is higher because aborting the stream loses
what its caller has received."""


class Completed(Struct, frozen=True):
    """The caller has received a complete answer, which may be an engine's error."""


class EnginesRefused(Struct, frozen=True):
    """An engine refused the request, which has not run.

    :param at_fault: ``IP:port`` of the engine that refused, if the answer names it.
    """

    at_fault: str | None


class StreamRun:
    """Runs one model or streaming request, over as many chains as it takes."""

    def __init__(self, parts: RunParts, exchange: Exchange) -> None:
        self.chain_monitor = ChainMonitor(parts, exchange)
        self._parts = parts
        self._exchange = exchange
        guard = parts.upstream.guard
        self._forwarder = EventForwarder(
            parts.clock, exchange, self.chain_monitor, lambda: guard.bounds
        )
        self._losses = StreamLosses(parts, exchange, self.chain_monitor.interruptions)
        self._chain_wait = ChainWait(parts, exchange)
        self._refusals = 0

    @property
    def limits_pauses(self) -> bool:
        """Return whether the route limits the pauses of the stream."""
        return self._exchange.route.max_event_gap > 0.0

    async def run(self) -> web.StreamResponse:
        """Run the request to its end and return the answer sent to the caller.

        :raises RequestRefused: if it fails; :class:`AnswerAborted` once the answer has
            begun.
        """
        while True:
            check_contact(self._parts, self._exchange)
            chain = await self._acquire_chain()
            if chain is None:
                check_contact(self._parts, self._exchange)
                return self._fail_request(
                    ErrorKind.SATURATED, AbortReason.NO_CHAIN, "no chain with room"
                )
            self.chain_monitor.start_chain(chain.stages)
            runs_before = self._exchange.run_count
            try:
                result = await self._run_over_chain()
            except ChainBroken as broken:
                self._exchange.was_given_up = isinstance(broken, ChainGivenUp)
                self._exchange.attempt_log.append(f"broken: {broken}")
                self._losses.note_broken_chain(chain.stages[0].target)
                has_run = self._exchange.run_count > runs_before
                if has_run and not isinstance(broken, ChainLeft):
                    await record_lost_run(
                        self._parts,
                        self._exchange,
                        self.chain_monitor,
                        chain.stages[0],
                        broken,
                    )
                check_contact(self._parts, self._exchange)
                is_paid = isinstance(broken, ChainLeft)
                self._check_retry_allowed(str(broken), is_paid)
                continue
            finally:
                self.chain_monitor.release_chain()
            match result:
                case Completed():
                    assert self._exchange.response is not None
                    return self._exchange.response
                case EnginesRefused(at_fault):
                    self._handle_refusal(chain.stages, at_fault)

    # Waiting for a chain and retrying.

    async def _acquire_chain(self) -> Chain | None:
        monitor, clock = self.chain_monitor, self._parts.clock
        avoided = await self._losses.list_avoided()
        chain = None
        if avoided != self._losses.failed_first_engines:
            # Engines that may share a loss are avoided only while others have room:
            # a stream that waited without them could wait in vain.
            chain = await self._ask_for_chain(avoided, MAX_SELECTIVE_WAIT_SECONDS)
        if chain is None:
            chain = await self._ask_for_chain(self._losses.failed_first_engines)
        self._forwarder.check = self._chain_wait.check
        monitor.interruptions.note_chain(clock.monotonic())
        return chain

    async def _ask_for_chain(
        self, avoid: frozenset[TargetId], longest_wait: float = math.inf
    ) -> Chain | None:
        monitor, clock = self.chain_monitor, self._parts.clock
        return await self._chain_wait.acquire(
            avoid,
            monitor.last_event,
            monitor.interruptions.get_seconds_left(clock.monotonic()),
            longest_wait,
        )

    def _check_retry_allowed(self, why: str, is_paid: bool = False) -> None:
        """Spend a retry, or fail the request if it may not be sent again.

        :param why: why the last chain broke.
        :param is_paid: whether the retry has been spent already.
        :raises RequestRefused: if it fails; :class:`AnswerAborted` once the answer has
            begun.
        """
        self._check_hold()
        if not self._exchange.may_run_again:
            self._fail_request(
                ErrorKind.TARGET_LOST,
                AbortReason.NO_RUN_LEFT,
                f"{why}; no target left to try",
            )
        if not is_paid and not self._spend_retry():
            self._fail_request(
                ErrorKind.TARGET_LOST,
                AbortReason.NO_RETRY_LEFT,
                f"{why}; no retry left",
            )

    def _check_hold(self) -> None:
        """Fail the request if it is held off because it crashes engines.

        :raises RequestRefused: if it fails; :class:`AnswerAborted` once the answer has
            begun.
        """
        try:
            check_hold(self._parts, self._exchange)
        except RequestRefused as refused:
            if self._exchange.response is None:
                raise
            self._fail_request(
                refused.fault.kind, AbortReason.HELD_OFF, refused.fault.detail
            )

    def _handle_refusal(self, stages: Sequence[Stage], at_fault: str | None) -> None:
        """Avoid the engine that refused for a short time, and spend a retry.

        :raises RequestRefused: if it fails; :class:`AnswerAborted` once the answer has
            begun.
        """
        exchange = self._exchange
        exchange.run_count -= 1
        self._refusals += 1
        exchange.attempt_log.append(f"refused by {at_fault or stages[0].address}")
        closed = self._chain_wait.exclude_refusing_engine(stages, at_fault)
        if closed is not None:
            self._losses.note(LossKind.REFUSAL, closed)
        has_begun = exchange.response is not None
        if self._refusals >= (MAX_RESUME_REFUSALS if has_begun else MAX_REFUSALS):
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
    ) -> web.StreamResponse:
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

    # Running over one chain.

    async def _run_over_chain(self) -> Completed | EnginesRefused:
        """Send the request over the current chain and forward the answer.

        :raises ChainBroken: if the chain fails before the answer is complete.
        """
        exchange, parts = self._exchange, self._parts
        first_row = parts.directory.registry.rows.get(
            self.chain_monitor.stages[0].target
        )
        if first_row is None:
            raise ChainBroken("its first engine is no longer registered")
        self._check_hold()
        exchange.send_count += 1
        exchange.run_count += 1
        now = parts.clock.monotonic()
        sending = ForwardOptions(
            first_row.target.id,
            exchange.deadline - now,
            exchange.account,
            # Engines process the context of an interrupted stream first.
            HIGHEST_PRIORITY if self._losses.limits_pause else exchange.priority,
            self.chain_monitor.stages,
            self.chain_monitor.last_event,
        )
        new_connection = needs_new_connection(parts, exchange)
        result = await self._send(first_row.target, sending, new_connection)
        if (
            isinstance(result, Lost)
            and self._is_stale_connection(result, first_row.target)
            and await reserve_resend(parts, exchange, first_row.target)
        ):
            result = await self._send(first_row.target, sending, new_connection=True)
        match result:
            case NotSent(why):
                exchange.run_count -= 1
                exchange.connect_failures += 1
                self._losses.suspect_unreachable(first_row.target, result)
                raise ChainBroken(f"not sent: {why}")
            case Lost(why):
                now = parts.clock.monotonic()
                parts.directory.suspects.note(first_row.target.id, Finding.FAILED, now)
                parts.probes.check_in_background(first_row.target)
                is_unbounded = result.excess is not None
                raise ChainBroken(f"no answer: {why}", is_unbounded)
        now = parts.clock.monotonic()
        self.chain_monitor.interruptions.note_order_answered(now)
        try:
            return await self._relay_answer(result)
        except AnswerCut:
            self._losses.note(LossKind.CUT, first_row.target)
            raise
        except AnswerUnbounded as error:
            now = parts.clock.monotonic()
            parts.upstream.guard.note(first_row.target.id, Reader.STREAM, error.excess)
            parts.directory.suspects.note(first_row.target.id, Finding.FAILED, now)
            raise ChainBroken(f"unbounded: {error}", is_unbounded=True) from error
        except (aiohttp.ClientError, OSError) as error:
            self._losses.note(LossKind.RESET, first_row.target)
            raise ChainBroken(f"{type(error).__name__}: {error}") from error
        finally:
            result.response.close()

    def _is_stale_connection(self, lost: Lost, target: Target) -> bool:
        """Return whether a stale connection and not the engine lost the request.

        An engine that has not delivered an event yet, or has lost a request, may be
        resetting every request: resent on a new connection, each would reach it twice.
        """
        parts = self._parts
        has_failed = parts.directory.suspects.has_failed(target.id)
        return lost.is_stale and not has_failed and parts.probes.has_served(target.id)

    async def _send(
        self, target: Target, sending: ForwardOptions, new_connection: bool
    ) -> Reply | NotSent | Lost:
        call, body = self._exchange.call, self._exchange.body
        request = self._parts.upstream.send(target, call, body, sending, new_connection)
        return await self.chain_monitor.run_monitored(request)

    async def _relay_answer(self, answer: Reply) -> Completed | EnginesRefused:
        """Forward the answer of the first engine to the caller.

        :raises ChainBroken: if it is not an answer to this request, or is incomplete.
        """
        exchange, codec = self._exchange, self._parts.codec
        reply, facts = answer.response, answer.facts
        if facts.request != exchange.call.id:
            raise ChainBroken(f"answer to another request: {facts.request}")
        if facts.not_run:
            return EnginesRefused(facts.at_fault)
        self._parts.admission.note_accepted(exchange.service)
        if reply.status != web.HTTPOk.status_code:
            return await self._relay_error(reply)
        if not facts.is_signed or facts.is_encoded:
            raise ChainBroken("unsigned or encoded answer, not the target's own")
        if exchange.response is None:
            response = web.StreamResponse(
                status=reply.status, headers=codec.write_reply(reply.headers)
            )
            response.enable_chunked_encoding()
            if self._parts.state.draining:
                response.force_close()
            await response.prepare(exchange.http)
            exchange.response = response
        await self._forwarder.forward(reply)
        await exchange.response.write_eof()
        note_served(self._parts, exchange)
        return Completed()

    async def _relay_error(self, reply: aiohttp.ClientResponse) -> Completed:
        """Forward an engine's error answer, unless another engine may be tried.

        :raises ChainBroken: if another engine may be tried, or the answer has begun.
        """
        exchange = self._exchange
        may_retry = exchange.route.is_idempotent and reply.status >= 500
        if exchange.response is not None:
            raise ChainBroken(f"status {reply.status}")
        if may_retry and exchange.run_count < exchange.route.max_targets:
            raise ChainBroken(f"status {reply.status}")
        bounds = self._parts.upstream.guard.bounds
        body = await read_whole(reply, bounds, "error_bytes")
        headers = self._parts.codec.write_reply(reply.headers)
        response = web.Response(status=reply.status, headers=headers, body=body)
        await response.prepare(exchange.http)
        await response.write_eof()
        exchange.response = response
        return Completed()
