"""Targets that answer with bytes as they are given."""

import asyncio
import contextlib
import socket
from collections import Counter
from enum import Enum

from msgspec import Struct

from marigoldswitch.standins.floods import REPORT
from marigoldswitch.tests.faulty_targets import reset

BODY = b"id: 1\ndata: x\n\n"
"""Body of the answers in the tables; also the first event of a stream."""
GOOD_BODY = b"answered well"
RECEIVE_BUFFER_BYTES = 65_536
"""Small, so that the writing of an upload that is not read stops early."""


class End(Enum):
    """What a target does with a connection after an answer."""

    KEEP = "keep"
    CLOSE = "close"
    RESET = "reset"


class RawAnswer(Struct, frozen=True):
    """An answer and how it is sent.

    ``%S`` stands for the fields by which a target signs its answer, ``%L`` and ``%H``
    for the length of the body in decimal and hexadecimal digits, ``%B`` for the body.

    :param is_split: whether each byte arrives alone.
    :param pause: seconds between the answer and its end.
    :param reads: bytes of the request's body that are read before; ``None`` for all.
    """

    content: bytes
    end: End = End.KEEP
    is_split: bool = False
    reads: int | None = None
    pause: float = 0.0
    body: bytes = BODY

    def build(self, request):
        """Return the bytes of the answer to a request."""
        signed = f"Attempt-Id: {request}\r\nReplica-Signature: s\r\n".encode()
        return (
            self.content.replace(b"%S", signed)
            .replace(b"%L", b"%d" % len(self.body))
            .replace(b"%H", b"%x" % len(self.body))
            .replace(b"%B", self.body)
        )


def build_events(first):
    """Return the events of a stream from one of them on."""
    events = (f"id: {number}\ndata: x\n\n" for number in range(first, 21))
    return "".join(events).encode()


class RawTarget:
    """Answers the next requests as it is told, and later ones well.

    :param answers: the next answers; targets may share one list.
    :ivar answers_reports: whether they are used for reports as well; the target
        otherwise reports that it is well.
    :ivar arrivals: number of times that each request has arrived, by attempt id.
    :ivar open_count: connections that such an answer was sent on and that are open.
    :ivar was_reused: whether a request came on one of these.
    """

    def __init__(self, name, answers):
        self.name = name
        self.address = ""
        self.held = (0, 8)
        self.answers = answers
        self.answers_reports = False
        self.arrivals = Counter()
        self.open_count = 0
        self.was_reused = False
        self._server = None
        self._tasks = set()

    async def start(self):
        """Listen on a port chosen by the kernel."""
        listener = socket.create_server(("127.0.0.1", 0))
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self._server = await asyncio.start_server(self._serve, sock=listener)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    async def stop(self):
        """Close all connections and the port."""
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        told = 0
        try:
            with contextlib.suppress(
                ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError
            ):
                while not writer.transport.is_closing():
                    is_told = await self._answer(reader, writer, told > 0)
                    told += is_told
                    self.open_count += is_told
        finally:
            self.open_count -= told
            self._tasks.discard(task)
            writer.transport.abort()

    async def _answer(self, reader, writer, is_reused):
        """Answer one request; return whether it was told how."""
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        path = head.split(" ")[1]
        if path == "/report" and not self.answers_reports:
            writer.write(REPORT)
            return False
        lines = (line.partition(":") for line in head.split("\r\n")[1:])
        fields = {name.lower(): value.strip() for name, _, value in lines}
        request, length = fields.get("attempt-id", ""), fields.get("content-length", 0)
        self.arrivals[request] += 1
        self.was_reused |= is_reused
        answer = self.answers.pop(0) if self.answers else None
        to_read = int(length)
        if answer is not None and answer.reads is not None:
            to_read = answer.reads
        await reader.readexactly(to_read)
        if answer is None:
            first = int(fields.get("last-event-id", "0")) + 1
            is_stream = path.startswith("/draft/")
            body = build_events(first) if is_stream else GOOD_BODY
            answer = RawAnswer(
                b"HTTP/1.1 200 OK\r\n%SContent-Length: %L\r\n\r\n%B", body=body
            )
            writer.write(answer.build(request))
            return False
        await self._send(writer, answer, answer.build(request))
        return True

    async def _send(self, writer, answer, content):
        if answer.is_split:
            for position in range(len(content)):
                writer.write(content[position : position + 1])
                await asyncio.sleep(0)
        else:
            writer.write(content)
        await asyncio.sleep(answer.pause)
        match answer.end:
            case End.CLOSE:
                writer.close()
            case End.RESET:
                reset(writer)


@contextlib.asynccontextmanager
async def run_raw_target(*answers):
    """Run a target that gives these answers."""
    target = RawTarget("raw", list(answers))
    await target.start()
    try:
        yield target
    finally:
        await target.stop()
