"""Runs one request by way of other hosts, one after the other."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable
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
from marigoldswitch.gateway.caller_connections import CallerConnection
from marigoldswitch.gateway.chain_runs import begin_stream
from marigoldswitch.gateway.connections import Connections, ConnectionUse
from marigoldswitch.gateway.exchanges import (
    AbortReason,
    AnswerAborted,
    Exchange,
    RequestRefused,
    RunParts,
    check_answer_status,
    spend_retry,
)
from marigoldswitch.gateway.forwarding import EventForwarder, pass_long_body
from marigoldswitch.gateway.pieces import PIECE_BYTES, split_body
from marigoldswitch.gateway.proxy_hosts import ProxyHost, ProxyHosts
from marigoldswitch.gateway.proxy_terms import (
    DECLINED_HEADER,
    RUNS_HEADER,
    VERSION_HEADER,
)
from marigoldswitch.gateway.upstream import (
    LongBody,
    Lost,
    NotSent,
    bound_unread,
    build_unbounded,
    open_response,
)

logger = structlog.get_logger(__name__)

MAX_HOSTS = 4
"""Hosts to which one request is sent in turn while each declines."""
SILENCE_SECONDS = 1.5
"""Time without an event after which a stream is sent to one more host as well, if it
may run again. Callers leave after 2 s."""
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


class _SilenceMonitor:
    """Watches over the events of another host's answer.

    :param on_event: called at each event.
    :param on_silence: called once no event has come for too long.
    """

    def __init__(
        self, on_event: Callable[[], None], on_silence: Callable[[], None]
    ) -> None:
        self.response: aiohttp.ClientResponse | None = None
        """The answer that is read now, if any."""
        self._on_event = on_event
        self._on_silence = on_silence
        self._timer: asyncio.TimerHandle | None = None

    def note_event(self) -> None:
        """Measure the silence from now on."""
        self._on_event()
        self._start_timer()

    @contextlib.asynccontextmanager
    async def monitor(self, response: aiohttp.ClientResponse) -> AsyncIterator[None]:
        """Watch over an answer while it is read."""
        self.response = response
        self._start_timer()
        try:
            yield
        finally:
            self._stop_timer()
            self.response = None

    def _start_timer(self) -> None:
        self._stop_timer()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(SILENCE_SECONDS, self._on_silence)

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
        self._monitor = _SilenceMonitor(self._stop_search, self._start_search)
        self._search: asyncio.Task[None] | None = None
        """Looks for a host to take over from a silent one."""
        self._replacement: tuple[ProxyHost, aiohttp.ClientResponse] | None = None
        """Host that has begun to answer in place of a silent one."""
        self._tried: set[HostId] = set()
        self._refusal: web.Response | None = None
        """The last refusal of another host, passed on if no other one takes it."""

    async def run(self) -> web.StreamResponse | None:
        """Run the request to its end and return the answer to the caller.

        :return: ``None`` if there is no host left that takes it.
        :raises RequestRefused: if it may have run and may not be sent again;
            :class:`AnswerAborted` once the answer has begun.
        """
        try:
            return await self._run()
        finally:
            self._stop_search()
            if self._replacement is not None:
                self._replacement[1].close()

    async def _run(self) -> web.StreamResponse | None:
        is_repeat = False
        while True:
            await self._finish_search()
            response: aiohttp.ClientResponse | web.Response | NotSent | Lost | _Refused
            if self._replacement is not None:
                host, response = self._replacement
                self._replacement = None
            else:
                chosen = self._choose_host()
                if chosen is None or (is_repeat and not self._spend_for_another()):
                    break
                host, is_repeat = chosen, False
                response = await self._send_or_replace(host)
                if isinstance(response, NotSent | _Refused):
                    self._note_not_run(host, response)
                    is_repeat = isinstance(response, _Refused)
                    if self._is_final(response):
                        break
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
                await self._finish_search()
                is_replaced = self._replacement is not None
                end = (
                    "silent, another host answers" if is_replaced else f"lost: {broken}"
                )
                self._note_end(host, end)
                if not is_replaced:
                    self._require_another_host(str(broken))
                continue
            self._note_end(host, f"answered {answer.status}")
            return answer
        return self._pass_refusal_on()

    def _choose_host(self) -> ProxyHost | None:
        """Return a host that the request has not been sent to, if there is one
        left."""
        if len(self._tried) >= MAX_HOSTS:
            return None
        host = self._hosts.choose(self._tried)
        if host is not None:
            self._tried.add(host.host)
        return host

    def _note_not_run(self, host: ProxyHost, end: NotSent | _Refused) -> None:
        """Record that a host has not run the request."""
        self._exchange.run_count -= 1
        if isinstance(end, _Refused):
            self._refusal = end.answer
            self._note_end(host, f"refused: {end.kind.value}")
        else:
            self._note_end(host, f"declined: {end.why}")
            self._hosts.note_declined(host.host)

    def _is_final(self, end: NotSent | _Refused) -> bool:
        """Return whether no further host is asked."""
        return isinstance(end, _Refused) and end.kind not in LOCAL_REFUSALS

    def _start_search(self) -> None:
        """Look for another host, as the one that answers is silent."""
        if self._search is None and self._may_send_beside():
            self._search = asyncio.create_task(self._find_replacement())

    def _stop_search(self) -> None:
        if self._search is not None:
            self._search.cancel()
            self._search = None

    async def _finish_search(self) -> None:
        """Wait for the search that is under way, if any."""
        if self._search is not None:
            await self._search
            self._search = None

    async def _find_replacement(self) -> None:
        """Send the request to further hosts until one begins to answer.

        Only then the answer of the silent host is closed.
        """
        has_retry = False
        while self._may_send_beside():
            host = self._choose_host()
            if host is None or not (has_retry or self._spend_for_another()):
                return
            self._exchange.run_count += 1
            response = await self._send(host)
            if isinstance(response, NotSent | _Refused):
                has_retry = isinstance(response, NotSent)
                self._note_not_run(host, response)
                if self._is_final(response):
                    return
                continue
            has_retry = False
            self._exchange.send_count += 1
            if isinstance(response, aiohttp.ClientResponse):
                if response.status == web.HTTPOk.status_code:
                    self._replacement = host, response
                    if self._monitor.response is not None:
                        self._monitor.response.close()
                    return
                response.close()
            elif isinstance(response, Lost):
                self._note_excess(host, response.excess)
            self._note_end(host, "lost: no stream")

    async def _send_or_replace(
        self, host: ProxyHost
    ) -> aiohttp.ClientResponse | web.Response | NotSent | Lost | _Refused:
        """Send the request to a host, and to others as well while it is silent."""
        # The deadline may end the wait at any moment, and the request may have run.
        self._exchange.run_count += 1
        sending = asyncio.create_task(self._send(host))
        try:
            await asyncio.wait({sending}, timeout=SILENCE_SECONDS)
            if not sending.done():
                self._start_search()
            if self._search is not None:
                await asyncio.wait(
                    {sending, self._search}, return_when=asyncio.FIRST_COMPLETED
                )
            if self._replacement is not None and not sending.done():
                return Lost("silent")
            result = await sending
        finally:
            sending.cancel()
        if isinstance(result, aiohttp.ClientResponse):
            self._stop_search()
            if self._replacement is not None:
                self._replacement[1].close()
                self._replacement = None
        return result

    def _spend_for_another(self) -> bool:
        """Take a retry from the budget for asking a further host.

        After a refusal, too: a target may have rejected the request there, and counts
        what arrives.
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
        call = exchange.call
        result = await open_response(
            session,
            call.method,
            host.address,
            call.path,
            headers,
            exchange.body,
            ConnectionUse(),
        )
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

    def _may_send_beside(self) -> bool:
        """Return whether the request may be sent to another host as one is silent.

        Only a stream, of which there would have been events. Other answers may take
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

        :raises _Broken: if one has begun, or another attempt may bring one;
            :class:`RequestRefused` if its status may not be passed on.
        """
        if self._exchange.response is not None or self._claimant.has_rival():
            raise _Broken(f"status {status}")
        check_answer_status(self._exchange, status)

    def _pass_read_on(self, answer: web.Response) -> web.Response:
        self._require_sole_answer(answer.status)
        self._exchange.response = answer
        return answer

    async def _pass_whole_on(
        self, host: ProxyHost, reply: aiohttp.ClientResponse
    ) -> web.StreamResponse:
        guard = self._connections.guard
        length = get_stated_length(reply)
        bound_unread(reply)
        connection = self._exchange.http.protocol
        assert isinstance(connection, CallerConnection)
        is_kept = length <= guard.bounds.body_bytes and (
            length <= PIECE_BYTES or connection.reserve_answer(length)
        )
        if not is_kept and length <= guard.bounds.declared_bytes:
            return await self._pass_long_on(host, reply)
        body = await read_whole(reply, guard.bounds, "body_bytes", holder=connection)
        headers = self._parts.codec.write_reply(reply.headers)
        response = web.Response(
            status=reply.status, headers=headers, body=split_body(body)
        )
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
