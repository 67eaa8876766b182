"""Stand-in for a target, a store or a host that answers with bytes without end."""

import asyncio
import contextlib
import time
from collections.abc import AsyncIterator
from enum import Enum

from aiohttp import web
from msgspec import Struct

from marigoldswitch.standins.platform_engines import PlainStandin

CHUNK_BYTES = 16_384
TRICKLE_SECONDS = 0.02
"""Pause after each byte of a slow flood."""


REPORT_BODY = b'{"layers": {"from": 0, "target": 8}, "busy": false, "sequence": 1}'
REPORT = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (
    len(REPORT_BODY),
    REPORT_BODY,
)


class Flood(Enum):
    """What is sent without end."""

    UNFRAMED = "body without a length"
    CHUNKS = "chunks"
    CHUNK_EXTENSION = "extension of one chunk"
    TRAILERS = "trailers after a body in chunks"
    HEADER_LINES = "header lines"
    ONE_HEADER = "one header"
    INFORMATIONAL = "informational heads"
    NO_HTTP = "no HTTP"
    BEYOND_LENGTH = "bytes beyond the stated length"
    LENGTH = "a body of absurd length"
    EVENT = "one event"
    COMMENTS = "comments"

    @property
    def has_answer(self) -> bool:
        """Return whether a complete answer comes first."""
        return self is Flood.BEYOND_LENGTH


class Sent(Struct):
    """One flood: what was sent, and the seconds until the connection was closed."""

    size: int = 0
    seconds: float = 0.0


def build_pieces(flood: Flood, request: str, size: int) -> tuple[bytes, bytes]:
    """Return what is sent first, and what is then sent again and again.

    :param request: id of the request that is answered.
    :param size: about the length of the latter.
    """
    signed = f"Attempt-Id: {request}\r\nReplica-Signature: signed\r\n".encode()
    head = b"HTTP/1.1 200 OK\r\n" + signed
    chunked = head + b"Transfer-Encoding: chunked\r\n\r\n"
    match flood:
        case Flood.UNFRAMED:
            return head + b"\r\n", b"x" * size
        case Flood.CHUNKS:
            return chunked, b"%x\r\n%b\r\n" % (size, b"x" * size)
        case Flood.CHUNK_EXTENSION:
            return chunked + b"2;", b"x" * size
        case Flood.TRAILERS:
            return chunked + b"2\r\nxx\r\n0\r\n", b"T: xx\r\n" * (1 + size // 7)
        case Flood.HEADER_LINES:
            return head, b"Name: value\r\n" * (1 + size // 13)
        case Flood.ONE_HEADER:
            return head + b"Name: ", b"x" * size
        case Flood.INFORMATIONAL:
            hint = b"HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"
            return b"", hint * (1 + size // len(hint))
        case Flood.NO_HTTP:
            return b"", b"\x00\xffx" * (1 + size // 3)
        case Flood.BEYOND_LENGTH:
            return head + b"Content-Length: 2\r\n\r\nxx", b"x" * size
        case Flood.LENGTH:
            return head + b"Content-Length: 999999999999\r\n\r\n", b"x" * size
        case Flood.EVENT:
            return chunked + b"8\r\nid: 1\nda\r\n", _build_chunk(b"x" * size)
        case Flood.COMMENTS:
            return chunked, _build_chunk(b": x\n\n" * (1 + size // 5))


def _build_chunk(content: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(content), content)


class FloodingServer:
    """Answers each request with bytes without end.

    :param flood: what it sends.
    :param is_slow: one byte at a time, instead of as fast as the connection takes them.
    :param status: of its answers.
    :param is_reporting: whether it answers requests for its report as a healthy engine
        that holds 8 layers.
    :ivar address: ``IP:port`` at which it listens.
    :ivar sent: its floods.
    """

    def __init__(
        self,
        flood: Flood,
        is_slow: bool = False,
        is_reporting: bool = True,
        status: int = 200,
    ) -> None:
        self.address = ""
        self.sent: list[Sent] = []
        self._flood = flood
        self._is_slow = is_slow
        self._status = status
        self._is_reporting = is_reporting
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen on a port chosen by the kernel."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    async def stop(self) -> None:
        """Close all connections and the port."""
        assert self._server is not None
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            path, request = await _read_request(reader)
            while path == "/report" and self._is_reporting:
                writer.write(REPORT)
                path, request = await _read_request(reader)
            flood = Sent()
            self.sent.append(flood)
            await self._send(writer, request, flood)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            writer.transport.abort()

    async def _send(
        self, writer: asyncio.StreamWriter, request: str, flood: Sent
    ) -> None:
        size = 1 if self._is_slow else CHUNK_BYTES
        first, again = build_pieces(self._flood, request, size)
        first = first.replace(b"200 OK", b"%d Status" % self._status)
        began = time.monotonic()
        pieces = self._repeat(again)
        try:
            writer.write(first)
            async for piece in pieces:
                writer.write(piece)
                flood.size += len(piece)
                await writer.drain()
                flood.seconds = time.monotonic() - began
                if writer.transport.is_closing():
                    return
        finally:
            flood.seconds = time.monotonic() - began

    async def _repeat(self, again: bytes) -> AsyncIterator[bytes]:
        while True:
            if not self._is_slow:
                yield again
                continue
            for position in range(len(again)):
                await asyncio.sleep(TRICKLE_SECONDS)
                yield again[position : position + 1]


class EndlessAnswer(Struct, frozen=True):
    """An answer without end, and the monotonic times of its begin and of its end.

    :param request: id of the request that it answered.
    """

    request: str
    began: float
    ended: float


class FloodingDesk(PlainStandin):
    """Target of a plain service that answers without end for some time.

    :ivar is_flooding: whether it does so now.
    :ivar endless: its answers without end that were closed.
    """

    def __init__(self, name: str) -> None:
        super().__init__(name)
        self.is_flooding = False
        self.endless: list[EndlessAnswer] = []

    async def handle(self, http: web.BaseRequest) -> web.StreamResponse:
        """Answer one request."""
        if not self.is_flooding:
            return await super().handle(http)
        await http.read()
        refusal = self.check_head(http)
        if refusal is not None:
            return refusal
        response = web.StreamResponse(headers=self.sign(http))
        response.enable_chunked_encoding()
        began = time.monotonic()
        try:
            await response.prepare(http)
            while True:
                await response.write(b"x" * CHUNK_BYTES)
                await asyncio.sleep(0.0)
        finally:
            request = http.headers["Attempt-Id"]
            self.endless.append(EndlessAnswer(request, began, time.monotonic()))


async def _read_request(reader: asyncio.StreamReader) -> tuple[str, str]:
    """Read a request; return its path and its id, if it has one."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines:
        name, _, value = line.partition(":")
        fields[name.lower()] = value.strip()
    await reader.readexactly(int(fields.get("content-length", "0")))
    return first.split(" ")[1], fields.get("attempt-id", "")


@contextlib.asynccontextmanager
async def run_flood(
    flood: Flood, is_slow: bool = False, is_reporting: bool = False
) -> AsyncIterator[FloodingServer]:
    """Run a flooding server."""
    server = FloodingServer(flood, is_slow, is_reporting)
    await server.start()
    try:
        yield server
    finally:
        await server.stop()
