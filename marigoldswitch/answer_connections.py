"""Client connections that tell answers from other bytes.

All clients of this package use them, so that one place decides what an answer is.
"""

import asyncio
import contextlib
import functools
import os
import socket
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.helpers import _EXC_SENTINEL as _NO_CAUSE
from aiohttp.http_exceptions import HttpProcessingError
from aiohttp.streams import StreamReader

from marigoldswitch.core.answer_grammar import (
    FIRST_FINAL_STATUS,
    AnswerScanner,
    Framing,
    GrammarFault,
)

READ_BYTES = 262_144
"""Most bytes that are read from a socket at once."""


class AnswerMalformed(aiohttp.ClientError):
    """Bytes that break the grammar of HTTP; their connection is reset."""


class BodyCut(aiohttp.ClientPayloadError):
    """A body without a length whose connection was not closed in order."""


class AnswerHandler(ResponseHandler):
    """Protocol of a connection on which nothing but answers is accepted.

    The HTTP client's parser is lenient, and after an error within a body its readers
    wait for ever.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self._scanner: AnswerScanner | None = None
        """Of the answer that is awaited or read; ``None`` before the first request."""
        self._body: StreamReader | None = None
        """Of the last answer whose head has come."""
        self._has_failed = False
        self._socket: socket.socket | None = None
        self._is_closed_in_order = False

    def set_response_params(self, *, skip_payload: bool = False, **params: Any) -> None:
        """Await an answer."""
        self._scanner, self._body = AnswerScanner(not skip_payload), None
        super().set_response_params(skip_payload=skip_payload, **params)

    def data_received(self, data: bytes) -> None:
        """Check what arrives, and parse it."""
        if self._has_failed:
            return
        if self._scanner is not None:
            try:
                self._scanner.feed(data)
            except GrammarFault as fault:
                self.fail(AnswerMalformed(str(fault)))
                return
        super().data_received(data)

    def feed_data(self, data: Any, size: int = 0) -> None:
        """Take a head that is complete."""
        if self._has_failed:
            return
        message, body = data
        if self._body is not None:
            self.fail(AnswerMalformed("bytes after an answer"))
            return
        if message.code >= FIRST_FINAL_STATUS:
            self._body = body
            framing = self._get_framing()
            is_chunked = framing is Framing.CHUNKS
            if framing is not Framing.NO_BODY and message.chunked != is_chunked:
                self.fail(AnswerMalformed("the parser frames it in another way"))
                return
        super().feed_data(data, size)

    def set_exception(
        self, exc: BaseException, exc_cause: BaseException = _NO_CAUSE
    ) -> None:
        """Fail the readers of the head, and of the body if it can't be parsed.

        Where the writing of the request fails, the answer may wait unread.
        """
        if isinstance(exc, HttpProcessingError):
            self.fail(AnswerMalformed(exc.message))
            return
        if isinstance(exc, OSError) and not isinstance(exc, TimeoutError):
            self._read_waiting()
        super().set_exception(exc, exc_cause)

    def fail(self, error: aiohttp.ClientError) -> None:
        """Reset the connection and fail whoever reads it.

        An answer that is already whole stays one.
        """
        self._has_failed = True
        transport = self.transport
        # Otherwise the end of the connection would look like that of the body.
        self._payload = self._parser = None
        super().set_exception(error)
        if self._body is not None and not self._body.is_eof():
            self._body.set_exception(error)
        if transport is not None:
            transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the socket, from which may be read until it is closed."""
        super().connection_made(transport)
        if transport.get_extra_info("sslcontext") is None:
            self._socket = transport.get_extra_info("socket")

    def eof_received(self) -> None:
        """Note that the other end has closed the connection in order."""
        self._is_closed_in_order = True
        super().eof_received()

    def connection_lost(self, exc: BaseException | None) -> None:
        """End the answer, or fail its reader if its end has not come.

        A body without a length ends with its connection, but only if that was closed in
        order. The parser takes any end for that of the body.
        """
        if isinstance(exc, OSError):
            has_end = self._read_waiting()
            # Writing fails like this if a close was followed by a reset.
            if has_end and isinstance(exc, BrokenPipeError):
                self._is_closed_in_order = True
        self._socket = None
        body = self._body
        if (
            body is not None
            and not body.is_eof()
            and self._get_framing() is Framing.CLOSE
            and not self._is_closed_in_order
        ):
            self._payload = self._parser = None
            body.set_exception(BodyCut("the connection was not closed in order"))
        super().connection_lost(exc)

    def _read_waiting(self) -> bool:
        """Read what waits in the socket; return whether that includes its end.

        Once writing has failed, the event loop reads no more.
        """
        has_end = False
        if self._socket is not None:
            with contextlib.suppress(OSError):
                while not self._has_failed:
                    data = os.read(self._socket.fileno(), READ_BYTES)
                    if not data:
                        has_end = True
                        break
                    self.data_received(data)
        if self._reading_paused:
            # The parser keeps what came after its body was paused.
            self.data_received(b"")
        return has_end

    def _get_framing(self) -> Framing | None:
        """Return the framing of the answer, once its head has come."""
        head = self._scanner.head if self._scanner is not None else None
        return head.framing if head is not None else None


class AnswerConnector(aiohttp.TCPConnector):
    """Opens connections on which nothing but answers is accepted."""

    def __init__(self, **options: Any) -> None:
        super().__init__(**options)
        self.use_handler(AnswerHandler)

    def use_handler(self, handler: type[ResponseHandler], **options: Any) -> None:
        """Set the protocol of the connections that are opened from now on."""
        # Private: the client has no other place for the protocol of a connection.
        self._factory = functools.partial(handler, loop=self._loop, **options)
