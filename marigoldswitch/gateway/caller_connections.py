"""Connections from clients, and what each makes this process hold.

Below the HTTP server, because its own bounds are for each connection: it reads 32
requests ahead, and takes heads of megabytes and trailers without end.
"""

import asyncio
import time
from enum import IntEnum
from typing import Any

import structlog
from aiohttp import web
from aiohttp.http_parser import HttpRequestParser

from marigoldswitch.core.client_memory import SMALL_BYTES, UNREAD_SECONDS, Holding, Use
from marigoldswitch.gateway.intake import DEAR_READ_SECONDS, Intake

logger = structlog.get_logger(__name__)

FIRST_READ_BYTES = 16_384
"""Most bytes of one read until a body has shown that its bytes are cheap."""
MAX_READ_BYTES = 65_536
BODY_BUFFER_BYTES = 32_768
"""Bytes of a body that the HTTP server buffers before it reads no further; twice that
at most."""
MAX_REQUESTS_AHEAD = 2
"""Requests that are parsed while another one runs."""
FRAMING_BYTES = 65_536
"""Received without a byte of the body that they surround: extensions of chunks and
trailers."""
MAX_UNREAD_SECONDS = 30.0
"""Time without progress after which an answer is broken off. Clients give up a stream
within seconds, and any request at its deadline."""
HEAD_MARGIN_SECONDS = 2.0
"""Time for which a head may take longer than configured: it waits in a busy process."""
HEAD_TOO_LONG = b"HTTP/1.1 431 Request Header Fields Too Large\r\n"
HEAD_TOO_SLOW = b"HTTP/1.1 408 Request Timeout\r\n"
FRAMING_TOO_LONG = b"HTTP/1.1 400 Bad Request\r\n"
NO_BODY = b"Content-Length: 0\r\nConnection: close\r\n\r\n"


class Claim(IntEnum):
    """How good a claim a connection has to stay when its listener is full."""

    STRANGER = 0
    """It has never sent a whole request."""
    IDLE = 1
    RECEIVING = 2
    """It has sent a part of a request's body."""
    UNREAD = 3
    """It doesn't take its answer."""
    RUNNING = 4
    """A request runs on it; it stays."""


def ignore_request() -> None:
    """Do nothing, as a connection that is closed has nothing to give."""


class CallerConnection(web.RequestHandler):
    """A connection that accounts for what it holds, and can give way.

    :ivar holding: its part in the account of the process.
    :ivar receive_limit: limit on the time to receive the body of the request under way.
    :ivar has_given_way: what it was sending is refused for lack of memory.
    """

    __slots__ = (
        "_answer_size",
        "_body_seen",
        "_body_size",
        "_framing_size",
        "_has_partial_head",
        "_head_size",
        "_head_since",
        "_idle_since",
        "_intake",
        "_is_held",
        "_is_running",
        "_is_waiting_turn",
        "_last_buffered",
        "_last_payload",
        "_unread_since",
        "_was_used",
        "has_given_way",
        "holding",
        "receive_limit",
    )

    def __init__(self, server: web.Server, intake: Intake, **options: Any) -> None:
        super().__init__(server, read_bufsize=BODY_BUFFER_BYTES, **options)
        self._parser = HttpRequestParser(
            self,
            self._loop,
            BODY_BUFFER_BYTES,
            max_line_size=self.max_line_size,
            max_field_size=self.max_field_size,
            max_headers=self.max_headers,
            payload_exception=web.RequestPayloadError,
            auto_decompress=False,
            max_msg_queue_size=MAX_REQUESTS_AHEAD,
        )
        self._max_msg_queue_size = MAX_REQUESTS_AHEAD
        self._msg_queue_resume_size = 0
        self._intake = intake
        self.holding = Holding(self.give_way)
        self.receive_limit: asyncio.Timeout | None = None
        self.has_given_way = False
        self._has_partial_head = False
        self._head_size = 0
        """Bytes of a head that is not complete."""
        self._head_since = 0.0
        self._framing_size = 0
        self._last_payload: Any = None
        """Body of the last request whose head has been received."""
        self._body_seen = 0
        self._body_size = 0
        self._answer_size = 0
        self._idle_since = intake.clock.monotonic()
        self._was_used = False
        self._is_running = False
        self._is_held = False
        """Nothing is read, as a request runs and another one has arrived."""
        self._is_waiting_turn = False
        self._unread_since: float | None = None
        self._last_buffered = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Bound the size of reads."""
        super().connection_made(transport)
        transport.max_size = FIRST_READ_BYTES  # type: ignore[attr-defined]

    def connection_lost(self, exc: BaseException | None) -> None:
        """Release what the connection holds."""
        super().connection_lost(exc)
        self._release()
        # Objects that refer to each other stay until the next garbage collection.
        self.holding.give_way = ignore_request
        self._messages.clear()
        payload, self._last_payload = self._last_payload, None
        if payload is not None and payload.exception() is None:
            payload.read_nowait()

    # Receiving.

    def data_received(self, data: bytes) -> None:
        """Take bytes that have arrived."""
        size, count = len(data), self._request_count
        payload = self._last_payload
        is_body = payload is not None and not payload.is_eof()
        is_timed = size >= FIRST_READ_BYTES // 2
        began = time.perf_counter() if is_timed else 0.0
        super().data_received(data)
        if count != self._request_count:
            self._note_request()
        elif is_body:
            self._note_body(size)
        elif size:
            self._note_head(size)
        if not self._awaits_request():
            self._has_partial_head = False
        elif data.strip(b"\r\n"):
            # Some clients send an empty line after a body.
            self._has_partial_head = True
        if is_timed:
            self._judge_read(size, time.perf_counter() - began)

    def _note_request(self) -> None:
        """Note the head of a request, after which its body may follow."""
        self._last_payload = self._messages[-1][1] if self._messages else None
        self._head_size = self._framing_size = 0
        self._body_seen = getattr(self._last_payload, "total_bytes", 0)
        if self._is_running and not self._is_held:
            self._is_held = True
            self._pause_transport_reading()

    def _note_body(self, size: int) -> None:
        """Note bytes that belong to a body, or to what surrounds its chunks."""
        payload = self._last_payload
        if payload.is_eof() or payload.total_bytes != self._body_seen:
            self._body_seen = payload.total_bytes
            self._framing_size = 0
            return
        self._framing_size += size
        if self._framing_size > FRAMING_BYTES:
            self._reject(FRAMING_TOO_LONG, "framing")

    def _note_head(self, size: int) -> None:
        """Note bytes that belong to a head that is not complete."""
        if not self._head_size:
            self._head_since = self._intake.clock.monotonic()
        self._head_size += size
        if self._head_size > self._intake.request_limits.header_bytes + SMALL_BYTES:
            self._reject(HEAD_TOO_LONG, "head")

    def _judge_read(self, size: int, seconds: float) -> None:
        """Read larger parts if they are cheap; wait for a turn if they are dear."""
        transport = self.transport
        if transport is None:
            return
        if seconds >= DEAR_READ_SECONDS:
            transport.max_size = FIRST_READ_BYTES  # type: ignore[attr-defined]
            if not self._is_waiting_turn:
                self._is_waiting_turn = True
                self._pause_transport_reading()
                self._intake.turns.wait(self._take_turn, seconds)
        elif size >= FIRST_READ_BYTES:
            transport.max_size = MAX_READ_BYTES  # type: ignore[attr-defined]

    def _take_turn(self) -> bool:
        """Read again; return whether the connection is still open."""
        self._is_waiting_turn = False
        self._resume_if_free()
        return self.transport is not None

    def _resume_if_free(self) -> None:
        if not self._reading_paused and not self._buffer_paused:
            self._resume_transport_reading()

    def _resume_transport_reading(self) -> None:
        """Read on, unless this connection has to wait."""
        if not self._is_held and not self._is_waiting_turn:
            super()._resume_transport_reading()

    def _reject(self, answer: bytes, what: str) -> None:
        """Close the connection; answer first if nothing else runs."""
        logger.info("connection_rejected", what=what, size=self._head_size)
        if self.transport is not None and not self._is_running:
            self.transport.write(answer + NO_BODY)
        self.force_close()

    @property
    def is_crowded(self) -> bool:
        """Return whether other connections need the room of this one."""
        return getattr(self._manager, "is_full", False)

    # What it holds.

    def hold_body(self, size: int) -> bool:
        """Account for the body of the request under way.

        :return: whether it may be kept; if not, it is to be refused.
        """
        self._body_size = size
        self._resize()
        return not self.has_given_way

    def end_receiving(self) -> None:
        """Note that the body of the request under way is complete, or refused."""
        self.receive_limit = None
        self.holding.use = Use.RUNNING

    def reserve_answer(self, size: int) -> bool:
        """Reserve the room for an answer whose length is known, if there is any."""
        before = self._answer_size
        if self.hold_answer(size):
            return True
        self._answer_size = before
        self._resize()
        return False

    def hold_answer(self, size: int) -> bool:
        """Account for an answer; return whether there is room for it."""
        self._answer_size = max(size, self._answer_size)
        return self._resize()

    def _resize(self) -> bool:
        holding, size = self.holding, self._body_size + self._answer_size
        if not holding.size:
            holding.since = self._intake.clock.monotonic()
        return self._intake.resize(holding, size)

    def _release(self) -> None:
        self._body_size = self._answer_size = 0
        self._intake.memory.release(self.holding, self._intake.clock.monotonic())

    def give_way(self) -> None:
        """Refuse the request that is being received, or break off an unread answer."""
        self.has_given_way = True
        limit = self.receive_limit
        if limit is not None:
            if not limit.expired():
                limit.reschedule(asyncio.get_running_loop().time())
        elif self.transport is not None:
            self.transport.abort()

    async def _handle_request(
        self, request: Any, start_time: float | None, request_handler: Any
    ) -> tuple[web.StreamResponse, bool]:
        """Handle a request, up to the end of its answer."""
        self._is_running = True
        try:
            return await super()._handle_request(request, start_time, request_handler)
        finally:
            self._is_running, self._was_used = False, True
            self._idle_since = self._intake.clock.monotonic()
            self.receive_limit = None
            if self.holding.size or self.has_given_way:
                self._release()
                self.has_given_way = False
            if self._is_held:
                self._is_held = False
                self._resume_if_free()

    # Writing.

    def pause_writing(self) -> None:
        """Note that the caller doesn't take its answer."""
        super().pause_writing()
        self._note_progress(self._intake.clock.monotonic())
        self.holding.use = Use.UNREAD

    def resume_writing(self) -> None:
        """Note that the caller has taken what was written."""
        super().resume_writing()
        self._unread_since = None
        self.holding.use = Use.RUNNING

    def _note_progress(self, now: float) -> None:
        self._unread_since = self.holding.since = now
        transport = self.transport
        self._last_buffered = transport.get_write_buffer_size() if transport else 0

    # Time.

    def check(self, now: float) -> None:
        """Close the connection if it takes too long; to be called every second."""
        transport = self.transport
        if transport is None:
            return
        if self._unread_since is not None:
            if transport.get_write_buffer_size() != self._last_buffered:
                self._note_progress(now)
            elif now - self._unread_since >= MAX_UNREAD_SECONDS:
                logger.info("answer_unread", buffered=self._last_buffered)
                transport.abort()
        elif self._head_size and self._awaits_request():
            longest = self._intake.request_limits.header_seconds + HEAD_MARGIN_SECONDS
            if now - self._head_since >= longest:
                self._reject(HEAD_TOO_SLOW, "slow head")

    # Giving way to another connection.

    def is_idle(self) -> bool:
        """Return whether the event loop has read no part of an unanswered request."""
        return self._awaits_request() and not self._has_partial_head

    def rate_claim(self, now: float) -> tuple[Claim, float]:
        """Return how good its claim to stay is; the lower, the sooner it gives way."""
        if self._unread_since is not None:
            if now - self._unread_since >= UNREAD_SECONDS:
                return Claim.UNREAD, self._unread_since
            return Claim.RUNNING, 0.0
        payload = self._last_payload
        if self._is_running:
            if payload is not None and not payload.is_eof():
                seconds = now - self._idle_since + 0.01
                return Claim.RECEIVING, -seconds * (payload.total_bytes + 1)
            return Claim.RUNNING, 0.0
        if self._messages:
            return Claim.RUNNING, 0.0
        return Claim.IDLE if self._was_used else Claim.STRANGER, self._idle_since

    def make_room(self) -> None:
        """Close the connection soon, so that its listener can take another one."""
        # The rest of a body is not awaited.
        self._lingering_time = 0.0
        if self.receive_limit is not None:
            self.give_way()
        elif self._is_running and self.transport is not None:
            self.transport.abort()
        else:
            self.force_close()

    def _awaits_request(self) -> bool:
        waiter = self._waiter
        return waiter is not None and not waiter.done()
