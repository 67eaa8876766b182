"""Sends requests to targets and classifies how each sending ended."""

import asyncio
import contextlib
import socket
from collections.abc import Callable

import aiohttp
import structlog
from msgspec import Struct
from multidict import CIMultiDict, CIMultiDictProxy
from yarl import URL

from marigoldswitch.acceptors import RECEIVE_BUFFER_BYTES
from marigoldswitch.answer_connections import AnswerMalformed
from marigoldswitch.core.catalogue import Target
from marigoldswitch.core.contact import TargetContact
from marigoldswitch.core.ids import ServiceName, TargetId
from marigoldswitch.core.ports import Clock
from marigoldswitch.core.read_bounds import Excess
from marigoldswitch.gateway.bounded_reads import (
    AnswerHolder,
    AnswerUnbounded,
    BodyReader,
    Reader,
    ReadGuard,
    get_stated_length,
    read_whole,
)
from marigoldswitch.gateway.connections import Connections, ConnectionUse
from marigoldswitch.gateway.pieces import PIECE_BYTES, PiecewiseBody, split_body
from marigoldswitch.gateway.ports import Call, CallCodec, ForwardOptions, ReplyFacts
from marigoldswitch.gateway.resends import ResendGuard
from marigoldswitch.gateway.service_contacts import ServiceContacts
from marigoldswitch.gateway.statements import TargetStatements

logger = structlog.get_logger(__name__)

STALE_CONNECTION_SECONDS = 0.1
"""Time within which a reused connection that the target has forgotten breaks: a few
link delays. If it breaks later, the target was working on the request."""


class Answered(Struct, frozen=True):
    """The target sent a complete answer.

    :param rest: a body that is too long to be kept and is passed on as it arrives;
        ``body`` is then empty. Whoever gets the answer must close it.
    """

    status: int
    headers: CIMultiDictProxy[str]
    body: bytes
    facts: ReplyFacts
    rest: "LongBody | None" = None


class NotSent(Struct, frozen=True):
    """No byte of the request has reached the target.

    :param is_connection_refused: no process listens at its address any more.
    :param is_timeout: there was no response to the attempt to connect.
    """

    why: str
    is_connection_refused: bool = False
    is_timeout: bool = False


class Lost(Struct, frozen=True):
    """The request was sent without a complete answer, so it may have run.

    :param is_stale: it was sent on a reused connection that broke at once. The target
        has most likely closed or forgotten it, which is no sign of a failing target.
    :param excess: the bound that the answer exceeded, if it did; the request is then
        not what made the target fail.
    :param is_malformed: the target sent bytes that are no answer.
    """

    why: str
    is_stale: bool = False
    excess: Excess | None = None
    is_malformed: bool = False


SendResult = Answered | NotSent | Lost


class Reply(Struct, frozen=True):
    """An answer whose head has arrived, with the facts from its head."""

    response: aiohttp.ClientResponse
    facts: ReplyFacts


def is_connection_refused(error: BaseException) -> bool:
    """Return whether a connection failed because no process listens at the address."""
    if isinstance(error, aiohttp.ClientConnectorError):
        error = error.os_error
    return isinstance(error, ConnectionRefusedError)


async def open_response(
    session: aiohttp.ClientSession,
    method: str,
    address: str,
    path: str,
    headers: CIMultiDict[str],
    body: bytes,
    use: ConnectionUse,
) -> aiohttp.ClientResponse | NotSent | Lost:
    """Send a request and return the answer once its head has arrived.

    The HTTP client connects again after a sending without an answer, to send some
    methods once more by itself. If that connection fails, the request is lost and not
    unsent.

    :param address: ``IP:port``.
    :param path: with its query, encoded as they are to be sent.
    :param use: is updated with how the request was sent.
    """
    content = split_body(body)
    try:
        # As a path, the query is sent unchanged: an empty one would lose its "?".
        url = URL.build(scheme="http", authority=address, path=path, encoded=True)
        return await session.request(
            method,
            url,
            headers=headers,
            data=content or None,
            allow_redirects=False,
            trace_request_ctx=use,
        )
    except aiohttp.ClientConnectorError as error:
        why = str(error.os_error or error)
        if use.is_sent:
            return Lost(f"no answer; {why}")
        return NotSent(why, is_connection_refused(error))
    except aiohttp.ConnectionTimeoutError:
        why = "connecting timed out"
        if use.is_sent:
            return Lost(f"no answer; {why}")
        return NotSent(why, is_timeout=True)
    except AnswerUnbounded as error:
        return build_unbounded(error)
    except AnswerMalformed as error:
        return Lost(f"malformed answer: {error}", is_malformed=True)
    except (aiohttp.ClientError, OSError, ValueError) as error:
        return Lost(f"{type(error).__name__}: {error}")
    finally:
        if isinstance(content, PiecewiseBody):
            content.release()


def build_unbounded(error: AnswerUnbounded) -> Lost:
    """Return the end of a sending whose answer has exceeded a bound."""
    excess = error.excess
    why = f"unbounded answer: {excess.size} bytes in {excess.seconds:.2f} s"
    return Lost(f"{why}, beyond {excess.bound}", excess=excess)


def bound_unread(response: aiohttp.ClientResponse) -> None:
    """Bound what waits unread in the socket of an answer that is not short.

    It counts towards the memory of this process while the caller doesn't read.
    """
    connection = response.connection
    transport = connection.transport if connection is not None else None
    if transport is not None and get_stated_length(response) > PIECE_BYTES:
        receiver = transport.get_extra_info("socket")
        # It fails on a socket that has been closed meanwhile.
        with contextlib.suppress(OSError):
            receiver.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
            )


class Upstream:
    """Sends requests to targets.

    Requests that may not run twice use a new connection each: if the target closes a
    reused one as a request arrives, it can't be told whether the request has run. The
    others reuse connections, as opening new ones costs targets time.

    :ivar resends: which targets may be sent a request again after it broke off.
    :ivar guard: the bounds on what is read.
    :ivar note_accepted: called with each target that has taken a new connection, and
        when it was begun.
    :ivar count_sending: called with the service of each request that is written to a
        connection.
    """

    def __init__(
        self,
        codec: CallCodec,
        connections: Connections,
        clock: Clock,
        statements: TargetStatements,
        contact: TargetContact,
        services: ServiceContacts,
    ) -> None:
        self._codec = codec
        self._connections = connections
        self._clock = clock
        self._statements = statements
        self._contact = contact
        self._services = services
        self.count_sending: Callable[[ServiceName], None] = lambda _: None
        self.note_accepted: Callable[[TargetId, float], None] = lambda _, __: None
        self.resends = ResendGuard()
        self.guard = connections.guard

    async def send(
        self,
        target: Target,
        call: Call,
        body: bytes,
        sending: ForwardOptions,
        new_connection: bool,
    ) -> Reply | NotSent | Lost:
        """Send a request and return the answer once its head has arrived.

        :param new_connection: use a new connection, not a pooled one.
        """
        session = self._connections.single_use
        if not new_connection:
            session = self._connections.choose_session(target.address)
        headers = self._codec.write_headers(call, sending)
        use, began = ConnectionUse(), self._clock.monotonic()
        result: aiohttp.ClientResponse | NotSent | Lost = Lost("cancelled")
        try:
            result = await open_response(
                session, call.method, target.address, call.path, headers, body, use
            )
        finally:
            self._record_sending(target, call, use, result)
        now = self._clock.monotonic()
        if use.is_sent and not use.is_reused:
            self.note_accepted(target.id, began)
        match result:
            case NotSent():
                self._note_silence(target, began, now, not result.is_timeout)
                return result
            case Lost(excess=Excess() as excess):
                self.resends.note_lost(target.id)
                self.guard.note(target.id, Reader.HEAD, excess)
                return result
            case Lost(is_malformed=True):
                self.resends.note_lost(target.id)
                return result
            case Lost(why) if use.is_reused:
                return Lost(why, now - began < STALE_CONNECTION_SECONDS)
            case Lost():
                self._note_silence(target, began, now, is_refused=False)
                self.resends.note_lost(target.id)
                return result
        if not new_connection:
            self._connections.note_keep_alive(target.address, result.headers)
        if use.is_reused:
            self._services.note_traffic(target, now)
        else:
            self._contact.note_answer(now)
            self._services.note_answer(target, now)
        self.resends.note_answered(target.id)
        facts = self._codec.read_reply(result.status, result.headers)
        if facts.request == call.id:
            self._statements.note_answer(target.id, facts, began, now)
        return Reply(result, facts)

    def _record_sending(
        self,
        target: Target,
        call: Call,
        use: ConnectionUse,
        result: aiohttp.ClientResponse | NotSent | Lost,
    ) -> None:
        """Log one sending, and count it if the request was written."""
        if use.is_sent:
            self.count_sending(target.service)
        match result:
            case NotSent(why):
                end = f"not sent: {why}"
            case Lost(why):
                end = f"lost: {why}"
            case _:
                end = f"answered {result.status}"
        logger.info(
            "request_sent",
            request=call.id,
            service=target.service,
            target=target.id,
            address=target.address,
            connection="kept" if use.is_reused else "new",
            written=use.is_sent,
            end=end,
        )

    def _note_silence(
        self, target: Target, began: float, now: float, is_refused: bool
    ) -> None:
        self._contact.note_silence(target.id, began, now, is_refused)
        self._services.note_silence(target, began, now, is_refused)

    async def fetch(
        self,
        target: Target,
        call: Call,
        body: bytes,
        sending: ForwardOptions,
        new_connection: bool,
        holder: AnswerHolder | None = None,
    ) -> SendResult:
        """Send a request and return its complete answer, within ``sending.left``.

        :param holder: accounts for the memory that the answer takes.
        """
        try:
            async with asyncio.timeout(sending.timeout):
                result = await self.send(target, call, body, sending, new_connection)
                if isinstance(result, Reply):
                    return await self._read_answer(target, call, result, holder)
                return result
        except TimeoutError:
            return Lost("no complete answer in time")

    async def _read_answer(
        self, target: Target, call: Call, reply: Reply, holder: AnswerHolder | None
    ) -> Answered | Lost:
        response, facts = reply.response, reply.facts
        if facts.request != call.id:
            response.close()
            return Lost(f"answer to another request: {facts.request}")
        bound_unread(response)
        if self._is_passed_on(reply, holder):
            rest = LongBody(response, self.guard, target.id)
            return Answered(response.status, response.headers, b"", facts, rest)
        try:
            body = await read_whole(
                response, self.guard.bounds, "body_bytes", holder=holder
            )
        except AnswerUnbounded as error:
            self.guard.note(target.id, Reader.ANSWER, error.excess)
            return build_unbounded(error)
        except (aiohttp.ClientError, OSError, ValueError) as error:
            return Lost(f"{type(error).__name__}: {error}")
        finally:
            # Closes the connection unless the whole answer has been read.
            response.close()
        return Answered(response.status, response.headers, body, facts)

    def _is_passed_on(self, reply: Reply, holder: AnswerHolder | None) -> bool:
        """Return whether a body is passed on as it arrives, as it is long or there is
        no memory for it.

        It must state its length, as one without an end is none. Errors and refusals are
        kept until another target has answered.
        """
        response, facts, bounds = reply.response, reply.facts, self.guard.bounds
        if response.status >= 400 or facts.not_run:
            return False
        if not facts.is_signed or facts.is_encoded:
            return False
        length = get_stated_length(response)
        if length <= bounds.body_bytes:
            if holder is None or length <= PIECE_BYTES:
                return False
            return not holder.reserve_answer(length)
        return length <= bounds.declared_bytes


class LongBody:
    """A body with a stated length that is read while it is passed on.

    :param sender: id or address of the process that sends it, for the log.
    :ivar length: its length in bytes.
    """

    def __init__(
        self,
        response: aiohttp.ClientResponse,
        guard: ReadGuard,
        sender: str,
        reader: Reader = Reader.ANSWER,
    ) -> None:
        self.length = get_stated_length(response)
        self._response = response
        self._guard = guard
        self._sender = sender
        self._reader = reader
        self._body = BodyReader(response, guard.bounds)

    async def read(self) -> bytes:
        """Return the next bytes; none at the end.

        :raises aiohttp.ClientError: if the body ends early or makes no progress; also
            ``OSError``.
        """
        try:
            return await self._body.read()
        except AnswerUnbounded as error:
            self._guard.note(self._sender, self._reader, error.excess)
            raise

    def close(self) -> None:
        """Close the connection unless the whole body has been read."""
        self._body.stop()
        self._response.close()
