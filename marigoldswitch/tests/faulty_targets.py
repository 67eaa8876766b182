"""Targets of a plain service that fail in many ways and count what arrives."""

import asyncio
import socket
import struct
from collections import Counter
from collections.abc import Callable
from enum import Enum

SLOW_SECONDS = 0.3
"""Time of a slow answer, after which requests that may run again are hedged."""
LATE_SECONDS = 0.15
"""Time after which a connection that breaks is not taken for a stale one, and a host
that is cut off has noticed it."""


class Fault(Enum):
    """What a target does with a request that it has read."""

    RESET = "reset"
    CLOSE = "close"
    LATE_RESET = "late reset"
    GONE = "gone"
    """It resets all of its connections and listens no more."""
    FORGOTTEN = "forgotten"
    """It resets connections that were opened before the faults began."""
    REFUSED = "refused"
    LATE_REFUSED = "late refused"
    MISTAKEN = "mistaken"
    """It says that the request is meant for another target."""
    FAILED = "failed"
    UNSIGNED = "unsigned"
    TRUNCATED = "truncated"
    SLOW = "slow"
    REDIRECT = "redirect"


NOT_RUN = frozenset({Fault.REFUSED, Fault.LATE_REFUSED, Fault.MISTAKEN})
"""Faults with which a target does not run a request."""


class FaultyTarget:
    """Target that answers over kept connections, with faults once it has some.

    :ivar choose_fault: returns what to do with the next request; ``None`` to answer.
    :ivar crashing: paths of requests that crash it.
    :ivar down_seconds: time after a crash in which connections are refused.
    :ivar crashes: number of these crashes.
    :ivar note_crash: called with the path of each request that crashes it.
    :ivar arrivals: number of times that each request has arrived, by attempt id.
    :ivar runs: the same of those that it did not refuse.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.address = ""
        self.choose_fault = lambda: None
        self.crashing: frozenset[str] = frozenset()
        self.down_seconds = 0.0
        self.crashes = 0
        self.note_crash: Callable[[str], None] = lambda _: None
        self.arrivals: Counter[str] = Counter()
        self.runs: Counter[str] = Counter()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._old: frozenset[asyncio.StreamWriter] = frozenset()
        """Connections that were open when the faults began."""
        self._reserved = socket.socket()
        """Keeps the port from being given to others once the target is gone."""

    async def start(self) -> None:
        """Listen on a port chosen by the kernel."""
        self._reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._reserved.bind(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._reserved.getsockname()[1]}"
        await self.listen()

    async def listen(self) -> None:
        """Listen, initially or again after the target was gone."""
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))

    def begin(self, choose_fault) -> None:
        """Have faults from now on."""
        self._old = frozenset(self._writers)
        self.choose_fault = choose_fault

    def end(self) -> None:
        """Reset all connections and listen no more."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            reset(writer)

    def crash(self, path: str) -> None:
        """Reset all connections, and listen on unless ``down_seconds`` is set.

        It can't crash again before it listens again.
        """
        if self._server is None:
            return
        self.crashes += 1
        if self.down_seconds:
            self.end()
        else:
            for writer in list(self._writers):
                reset(writer)
        self.note_crash(path)

    def stop(self) -> None:
        """End for good and free the port."""
        self.end()
        self._reserved.close()

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        try:
            while await self._answer(reader, writer):
                pass
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, reader, writer) -> bool:
        """Answer one request; return whether the connection goes on."""
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        lines = [line.partition(": ") for line in head.splitlines()]
        fields = {name.lower(): value for name, _, value in lines}
        await reader.readexactly(int(fields.get("content-length", 0)))
        request = fields.get("attempt-id", "")
        if head.split()[1] in self.crashing:
            self.crash(head.split()[1])
            return False
        fault = None
        if request:
            self.arrivals[request] += 1
            fault = self.choose_fault()
            if fault not in NOT_RUN:
                self.runs[request] += 1
        match fault:
            case Fault.RESET:
                reset(writer)
            case Fault.CLOSE:
                writer.close()
            case Fault.LATE_RESET:
                await asyncio.sleep(LATE_SECONDS)
                reset(writer)
            case Fault.GONE:
                self.end()
            case Fault.FORGOTTEN if writer in self._old:
                reset(writer)
            case Fault.TRUNCATED:
                writer.write(build_answer(request, length=10) + b"short")
                reset(writer)
            case _:
                if fault is Fault.SLOW:
                    await asyncio.sleep(SLOW_SECONDS)
                if fault is Fault.LATE_REFUSED:
                    await asyncio.sleep(LATE_SECONDS)
                writer.write(build_answer(request, fault))
                return True
        return False


def build_answer(request: str, fault: Fault | None = None, length: int = 0) -> bytes:
    """Return the head of a target's answer, without a body."""
    status, fields = "200 OK", ["Replica-Signature: s"]
    match fault:
        case Fault.REFUSED | Fault.LATE_REFUSED:
            status, fields = "503 Service Unavailable", ["Not-Executed: 1"]
        case Fault.MISTAKEN:
            status, fields = "421 Misdirected Request", ["Not-Executed: 1"]
        case Fault.FAILED:
            status = "500 Internal Server Error"
        case Fault.UNSIGNED:
            fields = []
        case Fault.REDIRECT:
            status = "307 Temporary Redirect"
            fields.append("Location: /look/elsewhere")
    lines = [
        f"HTTP/1.1 {status}",
        f"Attempt-Id: {request}",
        f"Content-Length: {length}",
        "Keep-Alive: timeout=30",
        *fields,
    ]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection instead of closing it."""
    end = writer.get_extra_info("socket")
    if end is not None and end.fileno() >= 0:
        end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()
