"""Runs requests of a host that reaches no target by way of other hosts.

The other host handles such a request as one of its own callers', and this host passes
the answer on as it comes.
"""

import asyncio
import contextlib
from collections.abc import AsyncIterator
from http import HTTPStatus

import aiohttp
import orjson
import structlog
from aiohttp import web
from msgspec import Struct

from marigoldswitch.core.errors import ErrorKind, Fault
from marigoldswitch.core.ids import HostId
from marigoldswitch.core.read_bounds import Excess
from marigoldswitch.gateway.attempts import Claimant
from marigoldswitch.gateway.bounded_reads import (
    AnswerUnbounded,
    Reader,
    get_stated_length,
    read_whole,
)
from marigoldswitch.gateway.broken_chains import ChainBroken
from marigoldswitch.gateway.chain_runs import begin_stream
from marigoldswitch.gateway.connections import Connections, ConnectionUse
from marigoldswitch.gateway.exchanges import (
    AbortReason,
    AnswerAborted,
    Exchange,
    RequestRefused,
    RunParts,
    spend_retry,
)
from marigoldswitch.gateway.forwarding import EventForwarder, pass_long_body
from marigoldswitch.gateway.proxy_hosts import ProxyHost, ProxyHosts
from marigoldswitch.gateway.proxy_terms import (
    DECLINED_HEADER,
    RUNS_HEADER,
    VERSION_HEADER,
)
from marigoldswitch.gateway.upstream import (
    EndOfBodyCheck,
    LongBody,
    Lost,
    NotSent,
    build_unbounded,
    open_response,
)

logger = structlog.get_logger(__name__)

MAX_HOSTS = 4
"""Hosts to which one request is sent in turn while each declines."""
SILENCE_SECONDS = 1.5
"""Time without an event after which a stream goes on through another host, if it may
run again. Callers leave after 2 s."""
LOCAL_REFUSALS = frozenset(
    {
        ErrorKind.SATURATED,
        ErrorKind.NO_TARGET,
        ErrorKind.TARGET_REFUSED,
        ErrorKind.NOT_DELIVERED,
    }
)
"""Refusals of another host after which a third one is asked: it may have room, or reach
targets, where that one does not."""
RETRY_AFTER_SECONDS = (0.3, 1.0)
"""Bounds of the time after which a caller may come back that no host could serve."""


class _SilenceMonitor:
    """Closes the answer of a host that sends no events for too long.

    :ivar is_active: whether it does so now; else silence is borne.
    """

    def __init__(self) -> None:
        self.is_active = False
        self._timer: asyncio.TimerHandle | None = None
        self._response: aiohttp.ClientResponse | None = None

    def note_event(self) -> None:
        """Measure the silence from now on."""
        self._stop_timer()
        if self._response is not None and self.is_active:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(SILENCE_SECONDS, self._response.close)

    @contextlib.asynccontextmanager
    async def monitor(self, response: aiohttp.ClientResponse) -> AsyncIterator[None]:
        """Watch over an answer while it is read."""
        self._response = response
        self.note_event()
        try:
            yield
        finally:
            self._stop_timer()
            self._response = None

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()


class _Refused(Struct, frozen=True):
    """Another host has refused the request with status 503; it has not run there.

    :param kind: why.
    :param answer: what the caller gets if no other host is asked.
    """

    kind: ErrorKind
    answer: web.Response


class _Broken(Exception):
    """The other host or the connection to it ended before the answer was complete."""


class PeerProxy:
    """Sends requests of this host through other ones.

    :param connections: to other hosts.
    """

    def __init__(
        self, parts: RunParts, hosts: ProxyHosts, connections: Connections
    ) -> None:
        self._parts = parts
        self._hosts = hosts
        self._connections = connections

    async def run(
        self, exchange: Exchange, claimant: Claimant
    ) -> web.StreamResponse | None:
        """Run a request through another host and return the answer to its caller.

        :param claimant: the attempt that this run belongs to.
        :return: ``None`` if there is no host left that takes it.
        :raises RequestRefused: if it may have run and may not be sent again;
            :class:`AnswerAborted` once the answer has begun.
        """
        run = ProxiedRun(
            self._parts, self._hosts, self._connections, exchange, claimant
        )
        return await run.run()

    def build_fault(self, exchange: Exchange, detail: str) -> Fault:
        """Return the error for a request that no other host takes.

        One that another host has sent here is declined if it has not run here.
        """
        if exchange.run_count > exchange.runs_elsewhere:
            return Fault(ErrorKind.TARGET_LOST, detail)
        delay = self._parts.source.uniform(*RETRY_AFTER_SECONDS)
        return Fault(ErrorKind.UNREACHABLE, detail, delay)


class ProxiedRun:
    """Runs one request by way of other hosts."""

    def __init__(
        self,
        parts: RunParts,
        hosts: ProxyHosts,
        connections: Connections,
        exchange: Exchange,
        claimant: Claimant,
    ) -> None:
        self._claimant = claimant
        self._parts = parts
        self._hosts = hosts
        self._connections = connections
        self._exchange = exchange
        self._monitor = _SilenceMonitor()
        self._tried: set[HostId] = set()
        self._refusal: web.Response | None = None
        """The last refusal of another host, passed on if no other one takes it."""

    async def run(self) -> web.StreamResponse | None:
        """Run the request to its end and return the answer to the caller.

        :return: ``None`` if there is no host left that takes it.
        :raises RequestRefused: if it may have run and may not be sent again;
            :class:`AnswerAborted` once the answer has begun.
        """
        is_repeat = False
        while len(self._tried) < MAX_HOSTS:
            host = self._hosts.choose(self._tried)
            if host is None or (is_repeat and not self._spend_for_refusal()):
                break
            is_repeat = False
            self._tried.add(host.host)
            # The deadline may end the wait at any moment, and the request may have run.
            self._exchange.run_count += 1
            response = await self._send(host)
            if isinstance(response, NotSent):
                self._exchange.run_count -= 1
                self._note_end(host, f"declined: {response.why}")
                self._hosts.note_declined(host.host)
                continue
            if isinstance(response, _Refused):
                self._exchange.run_count -= 1
                self._refusal = response.answer
                self._note_end(host, f"refused: {response.kind.value}")
                if response.kind not in LOCAL_REFUSALS:
                    break
                is_repeat = True
                continue
            self._exchange.send_count += 1
            try:
                if isinstance(response, Lost):
                    self._note_excess(host, response.excess)
                    raise _Broken(response.why)
                answer = (
                    self._pass_read_on(response)
                    if isinstance(response, web.Response)
                    else await self._pass_on(host, response)
                )
            except _Broken as broken:
                self._note_end(host, f"lost: {broken}")
                self._require_another_host(str(broken))
                continue
            self._note_end(host, f"answered {answer.status}")
            return answer
        return self._pass_refusal_on()

    def _spend_for_refusal(self) -> bool:
        """Take a retry from the budget for asking a further host after a refusal.

        A target may have rejected the request there, and counts what arrives.
        """
        has_begun = self._exchange.response is not None
        return spend_retry(self._parts, self._exchange, has_begun)

    def _pass_refusal_on(self) -> web.Response | None:
        """Return the last refusal if it may be the answer to the caller.

        It may not if an answer has begun or is still awaited, or if the request may
        have run before.
        """
        exchange = self._exchange
        if exchange.response is not None or self._claimant.has_rival():
            return None
        if exchange.run_count > exchange.runs_elsewhere:
            return None
        exchange.response = self._refusal
        return self._refusal

    async def _send(
        self, host: ProxyHost
    ) -> aiohttp.ClientResponse | web.Response | NotSent | Lost | _Refused:
        """Send the request to a host; ``NotSent`` also means that it has declined.

        :return: an answer of which only the head has been read as a ``ClientResponse``.
        """
        exchange, parts = self._exchange, self._parts
        left = exchange.deadline - parts.clock.monotonic()
        headers = parts.codec.write_caller_headers(
            exchange.call, left, self._exchange.last_event
        )
        headers[VERSION_HEADER] = str(parts.directory.version)
        runs_before = exchange.run_count - 1 - exchange.discounted_runs
        headers[RUNS_HEADER] = str(runs_before)
        session = self._connections.single_use
        if exchange.route.is_idempotent:
            session = self._connections.choose_session(host.address)
        url, use = f"http://{host.address}{exchange.call.path}", ConnectionUse()
        self._monitor.is_active = self._may_give_up()
        try:
            async with asyncio.timeout(
                SILENCE_SECONDS if self._monitor.is_active else None
            ):
                result = await open_response(
                    session, exchange.call.method, url, headers, exchange.body, use
                )
        except TimeoutError:
            return Lost("no answer in time")
        if not isinstance(result, aiohttp.ClientResponse):
            return result
        facts = parts.codec.read_reply(result.status, result.headers)
        declined = result.headers.get(DECLINED_HEADER)
        if declined is not None and not facts.is_signed:
            result.release()
            return NotSent(declined)
        if result.status == HTTPStatus.SERVICE_UNAVAILABLE and not facts.is_signed:
            return await self._read_refusal(result)
        return result

    async def _read_refusal(
        self, reply: aiohttp.ClientResponse
    ) -> web.Response | Lost | _Refused:
        """Read a refusal that another host has written itself."""
        try:
            body = await read_whole(
                reply, self._connections.guard.bounds, "error_bytes"
            )
        except AnswerUnbounded as error:
            return build_unbounded(error)
        except (aiohttp.ClientError, OSError) as error:
            return Lost(f"{type(error).__name__}: {error}")
        finally:
            reply.close()
        headers = self._parts.codec.write_reply(reply.headers)
        answer = web.Response(status=reply.status, headers=headers, body=body)
        kind = decode_refusal(body)
        return answer if kind is None else _Refused(kind, answer)

    def _may_give_up(self) -> bool:
        """Return whether a silent host may be given up for another one.

        Only that of a stream, which would have sent events. Other answers may take
        until the deadline.
        """
        exchange = self._exchange
        runs = exchange.run_count - exchange.discounted_runs
        may_run_again = exchange.route.is_idempotent and runs < (
            exchange.route.max_targets
        )
        return exchange.is_stream and may_run_again

    def _note_excess(self, host: ProxyHost, excess: Excess | None) -> None:
        """Record an answer that exceeds a bound, and avoid its host for a while."""
        if excess is not None:
            self._hosts.note_declined(host.host)
            self._connections.guard.note(host.host, Reader.PROXIED, excess)

    async def _pass_on(
        self, host: ProxyHost, reply: aiohttp.ClientResponse
    ) -> web.StreamResponse:
        """Pass an answer on to the caller.

        :raises _Broken: if it is not complete; :class:`AnswerAborted` if that shows
            only once it has begun and can't go on.
        """
        exchange = self._exchange
        try:
            if exchange.is_stream and reply.status == web.HTTPOk.status_code:
                return await self._pass_events_on(reply)
            self._require_sole_answer(reply.status)
            return await self._pass_whole_on(host, reply)
        except AnswerUnbounded as error:
            self._note_excess(host, error.excess)
            raise _Broken(f"unbounded: {error}") from error
        except (aiohttp.ClientError, OSError, ChainBroken) as error:
            raise _Broken(f"{type(error).__name__}: {error}") from error
        finally:
            reply.close()

    def _require_sole_answer(self, status: int) -> None:
        """Check that an answer that is no stream may go to the caller.

        :raises _Broken: if one has begun, or another attempt may bring one.
        """
        if self._exchange.response is not None or self._claimant.has_rival():
            raise _Broken(f"status {status}")

    def _pass_read_on(self, answer: web.Response) -> web.Response:
        self._require_sole_answer(answer.status)
        self._exchange.response = answer
        return answer

    async def _pass_whole_on(
        self, host: ProxyHost, reply: aiohttp.ClientResponse
    ) -> web.StreamResponse:
        guard = self._connections.guard
        length = get_stated_length(reply)
        if guard.bounds.body_bytes < length <= guard.bounds.declared_bytes:
            return await self._pass_long_on(host, reply)
        end_check = EndOfBodyCheck(reply)
        body = await read_whole(reply, guard.bounds, "body_bytes")
        if not end_check.is_complete():
            raise _Broken("the connection was reset at the end of the answer")
        headers = self._parts.codec.write_reply(reply.headers)
        response = web.Response(status=reply.status, headers=headers, body=body)
        self._exchange.response = response
        return response

    async def _pass_long_on(
        self, host: ProxyHost, reply: aiohttp.ClientResponse
    ) -> web.StreamResponse:
        headers = self._parts.codec.write_reply(reply.headers)
        response = web.StreamResponse(status=reply.status, headers=headers)
        guard = self._connections.guard
        body = LongBody(reply, guard, host.host, Reader.PROXIED)
        try:
            await pass_long_body(self._exchange, response, body)
        finally:
            body.close()
        return response

    async def _pass_events_on(
        self, reply: aiohttp.ClientResponse
    ) -> web.StreamResponse:
        exchange = self._exchange
        guard = self._connections.guard
        forwarder = EventForwarder(
            self._parts.clock,
            exchange,
            self._monitor,
            lambda: guard.bounds,
            self._claimant,
            lambda: begin_stream(self._parts, exchange, reply),
        )
        await forwarder.forward(reply)
        assert exchange.response is not None
        await exchange.response.write_eof()
        return exchange.response

    def _require_another_host(self, why: str) -> None:
        """Take a retry from the budget, as the lost host has sent the request on.

        :raises RequestRefused: if the request may not be sent again;
            :class:`AnswerAborted` once the answer has begun.
        """
        exchange = self._exchange
        has_begun = exchange.response is not None
        may_run_again = exchange.may_run_again
        if may_run_again and spend_retry(self._parts, exchange, has_begun):
            return
        if has_begun:
            reason = AbortReason.NO_RETRY_LEFT
            raise AnswerAborted(
                reason if may_run_again else AbortReason.NO_RUN_LEFT, why
            )
        raise RequestRefused(Fault(ErrorKind.TARGET_LOST, why))

    def _note_end(self, host: ProxyHost, end: str) -> None:
        exchange = self._exchange
        exchange.attempt_log.append(f"by way of {host.host}: {end}")
        logger.info(
            "request_proxied",
            request=exchange.call.id,
            peer=host.host,
            end=end,
            after=self._exchange.last_event,
            contact=self._parts.contact.state.value,
        )


def decode_refusal(body: bytes) -> ErrorKind | None:
    """Return why a host has refused a request without running it, if it says so."""
    try:
        kind = ErrorKind(orjson.loads(body)["error"])
    except (ValueError, KeyError, TypeError):
        return None
    return kind if Fault(kind).not_run else None
