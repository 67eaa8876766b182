"""Runs a request over one chain of engines, up to the end of its answer."""

import aiohttp
from aiohttp import web
from msgspec import Struct

from marigoldswitch.core.catalogue import Target
from marigoldswitch.core.ids import TargetId
from marigoldswitch.core.suspects import Finding
from marigoldswitch.gateway.attempts import Claimant
from marigoldswitch.gateway.bounded_reads import AnswerUnbounded, Reader, read_whole
from marigoldswitch.gateway.broken_chains import ChainBroken
from marigoldswitch.gateway.caller_writes import begin
from marigoldswitch.gateway.detours import ChainMonitor
from marigoldswitch.gateway.exchanges import (
    Exchange,
    RunParts,
    check_answer_status,
    check_hold,
    needs_new_connection,
    note_served,
    reserve_resend,
)
from marigoldswitch.gateway.forecast_checks import ForecastCheck
from marigoldswitch.gateway.forwarding import AnswerCut, EventForwarder
from marigoldswitch.gateway.interruption_log import LossKind
from marigoldswitch.gateway.ports import ForwardOptions
from marigoldswitch.gateway.stream_losses import StreamLosses
from marigoldswitch.gateway.upstream import Lost, NotSent, Reply

HIGHEST_PRIORITY = 0


class Completed(Struct, frozen=True):
    """The caller has received a complete answer, which may be an engine's error."""


class EnginesRefused(Struct, frozen=True):
    """An engine refused the request, which has not run.

    :param at_fault: ``IP:port`` of the engine that refused, if the answer names it.
    """

    at_fault: str | None


class ChainRun:
    """Sends a request over one chain and forwards the answer.

    :param claimant: the attempt that this run belongs to.
    :ivar has_run: whether the request may have run on this chain.
    """

    def __init__(
        self,
        parts: RunParts,
        exchange: Exchange,
        monitor: ChainMonitor,
        losses: StreamLosses,
        claimant: Claimant,
        check: ForecastCheck | None = None,
    ) -> None:
        self.has_run = False
        self._is_resent = False
        self._parts = parts
        self._exchange = exchange
        self._monitor = monitor
        self._losses = losses
        self._claimant = claimant
        self._check = check

    async def run(self) -> Completed | EnginesRefused:
        """Send the request over the monitor's chain and forward the answer.

        :raises ChainBroken: if the chain fails before the answer is complete;
            :class:`RequestRefused` if the request is held off.
        """
        exchange, parts = self._exchange, self._parts
        first_row = parts.directory.registry.rows.get(self._monitor.stages[0].target)
        if first_row is None:
            raise ChainBroken("its first engine is no longer registered")
        check_hold(parts, exchange)
        result = await self._send_first(first_row.target)
        match result:
            case NotSent(why):
                # If it was resent, the first sending may have run.
                self._uncount_run()
                self.has_run = self._is_resent
                exchange.connect_failures += 1
                self._losses.suspect_unreachable(first_row.target, result)
                raise ChainBroken(f"not sent: {why}")
            case Lost(why):
                self._note_failed(first_row.target.id)
                parts.probes.check_in_background(first_row.target)
                is_unbounded = result.excess is not None
                raise ChainBroken(f"no answer: {why}", is_unbounded)
        now = parts.clock.monotonic()
        self._monitor.interruptions.note_order_answered(now)
        try:
            return await self._relay_answer(result)
        except AnswerCut:
            self._losses.note(LossKind.CUT, first_row.target)
            raise
        except AnswerUnbounded as error:
            parts.upstream.guard.note(first_row.target.id, Reader.STREAM, error.excess)
            self._note_failed(first_row.target.id)
            raise ChainBroken(f"unbounded: {error}", is_unbounded=True) from error
        except (aiohttp.ClientError, OSError) as error:
            self._losses.note(LossKind.RESET, first_row.target)
            raise ChainBroken(f"{type(error).__name__}: {error}") from error
        finally:
            result.response.close()

    async def _send_first(self, target: Target) -> Reply | NotSent | Lost:
        """Send the request, once more if a stale connection lost it."""
        exchange, parts = self._exchange, self._parts
        exchange.send_count += 1
        exchange.run_count += 1
        self.has_run = True
        sending = ForwardOptions(
            target.id,
            exchange.deadline - parts.clock.monotonic(),
            exchange.account,
            # Engines process the context of an interrupted stream first.
            HIGHEST_PRIORITY if self._losses.limits_pause else exchange.priority,
            self._monitor.stages,
            exchange.last_event,
        )
        new_connection = needs_new_connection(parts, exchange)
        result = await self._send(target, sending, new_connection)
        if (
            isinstance(result, Lost)
            and self._is_stale_connection(result, target)
            and await reserve_resend(parts, exchange, target)
        ):
            self._is_resent = True
            result = await self._send(target, sending, new_connection=True)
        return result

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
        return await self._monitor.run_monitored(request)

    def _uncount_run(self) -> None:
        self._exchange.run_count -= 1
        self.has_run = False

    def _note_failed(self, target: TargetId) -> None:
        now = self._parts.clock.monotonic()
        self._parts.directory.suspects.note(target, Finding.FAILED, now)

    async def _relay_answer(self, answer: Reply) -> Completed | EnginesRefused:
        """Forward the answer of the first engine to the caller.

        :raises ChainBroken: if it is not an answer to this request, or is incomplete.
        """
        exchange, parts = self._exchange, self._parts
        reply, facts = answer.response, answer.facts
        if facts.request != exchange.call.id:
            raise ChainBroken(f"answer to another request: {facts.request}")
        if facts.not_run:
            self._uncount_run()
            return EnginesRefused(facts.at_fault)
        parts.admission.note_accepted(exchange.service)
        if reply.status != web.HTTPOk.status_code:
            return await self._relay_error(reply)
        if not facts.is_signed or facts.is_encoded:
            raise ChainBroken("unsigned or encoded answer, not the target's own")
        guard = parts.upstream.guard
        forwarder = EventForwarder(
            parts.clock,
            exchange,
            self._monitor,
            lambda: guard.bounds,
            self._claimant,
            lambda: begin_stream(parts, exchange, reply),
        )
        forwarder.check = self._check
        await forwarder.forward(reply)
        assert exchange.response is not None
        await exchange.response.write_eof()
        note_served(parts, exchange)
        return Completed()

    async def _relay_error(self, reply: aiohttp.ClientResponse) -> Completed:
        """Forward an engine's error answer, unless another engine may be tried.

        :raises ChainBroken: if another engine may be tried, or the answer has begun;
            :class:`RequestRefused` if its status may not be passed on.
        """
        exchange = self._exchange
        may_retry = exchange.route.is_idempotent and reply.status >= 500
        if exchange.response is not None or self._claimant.has_rival():
            raise ChainBroken(f"status {reply.status}")
        if may_retry and exchange.run_count < exchange.route.max_targets:
            raise ChainBroken(f"status {reply.status}")
        check_answer_status(exchange, reply.status)
        bounds = self._parts.upstream.guard.bounds
        body = await read_whole(reply, bounds, "error_bytes")
        if exchange.response is not None or self._claimant.has_rival():
            raise ChainBroken(f"status {reply.status}")
        self._claimant.claim()
        headers = self._parts.codec.write_reply(reply.headers)
        response = web.Response(status=reply.status, headers=headers, body=body)
        await begin(exchange, response)
        await response.write_eof()
        return Completed()


async def begin_stream(
    parts: RunParts, exchange: Exchange, reply: aiohttp.ClientResponse
) -> None:
    """Send the head of a stream to its caller, unless it has been sent.

    :param reply: of the first engine, or of the host that the request was sent through.
    """
    if exchange.response is not None:
        return
    headers = parts.codec.write_reply(reply.headers)
    response = web.StreamResponse(status=reply.status, headers=headers)
    response.enable_chunked_encoding()
    if parts.state.draining:
        response.force_close()
    await begin(exchange, response)
