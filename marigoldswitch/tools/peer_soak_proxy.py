"""Faults of the peer soak, and the loopback proxy that harms connections.

Host ``h`` listens on addresses ``127.h.0.*``. It dials host ``r`` at ``127.h.r.1``, so
that each pair has a listener of its own. All of them use one port.
"""

import asyncio
import contextlib
import socket
import struct
from enum import Enum
from random import Random

from msgspec import Struct

STORE = 250
"""Number that stands for the store as a receiver."""
CALLERS, READINESS, PEERS, METRICS = 1, 2, 3, 4
"""Last number of the addresses on which a host listens."""
CHUNK_BYTES = 65_536
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""Value of ``SO_LINGER``."""
QUIET_SECONDS = 7.0
"""End of a play in which nothing is harmed."""
RELAYS = 4
"""Hosts that may relay versions: the first three, and one that stands in for them."""


def get_host_address(host: int, listener: int, port: int) -> str:
    """Return the ``IP:port`` of one of a host's listeners."""
    return f"127.{host}.0.{listener}:{port}"


def get_dialled_address(sender: int, receiver: int, port: int) -> str:
    """Return the ``IP:port`` at which a host reaches another one, or the store."""
    return f"127.{sender}.{receiver}.1:{port}"


class FaultKind(Enum):
    """What is harmed: connections, or a host itself from ``FREEZE`` on."""

    DELAY = "delay"
    REFUSE = "refuse"
    HANG = "hang"
    SILENCE = "silence"
    RESET = "reset"
    FREEZE = "freeze"
    TERMINATE = "terminate"
    KILL = "kill"
    CUT_STORE = "cut_store"


class Fault(Struct, frozen=True):
    """A fault of the plan.

    :param at: seconds after the start of the play.
    :param receivers: hosts to which the host's connections are harmed.
    :param seconds: until it is healed; 0 if that never happens or takes no time.
    :param forgets: connections from before a cut stay silent for good.
    """

    at: float
    kind: FaultKind
    host: int
    receivers: tuple[int, ...]
    seconds: float
    forgets: bool = False


def plan_faults(source: Random, hosts: list[int], seconds: float) -> list[Fault]:
    """Draw the faults of a play.

    It begins with a host that hears its peers and the store but reaches no peer.
    """
    end = seconds - QUIET_SECONDS
    alone = source.choice(hosts[RELAYS:])
    peers = tuple(item for item in hosts if item != alone)
    faults = [Fault(1.0, FaultKind.REFUSE, alone, peers, min(8.0, end - 1.0), True)]
    kinds = list(FaultKind)
    first_of_hosts = kinds.index(FaultKind.FREEZE)
    at = 1.0
    while (at := at + source.expovariate(len(hosts) / 10.0)) < end:
        pair = [source.choice(hosts[:RELAYS]), source.choice(hosts)]
        source.shuffle(pair)
        extents = [pair[1:]] * 4 + [hosts[:RELAYS], hosts]
        receivers = tuple(h for h in source.choice(extents) if h != pair[0])
        longest = min(end - at, source.uniform(1.0, 10.0))
        kind, forgets = source.choice(kinds[:first_of_hosts]), source.random() < 0.5
        if kind in (FaultKind.SILENCE, FaultKind.RESET):
            longest = 0.0
        forgets = forgets and kind in (FaultKind.REFUSE, FaultKind.HANG)
        faults.append(Fault(at, kind, pair[0], receivers, longest, forgets))
    at = 2.0
    while (at := at + source.uniform(1.0, 3.0)) < end:
        kind = source.choice(kinds[first_of_hosts:])
        longest = min(end - at, source.uniform(1.0, 4.0))
        host = source.choice(source.choice((hosts[:RELAYS], hosts)))
        faults.append(Fault(at, kind, host, (), longest, source.random() < 0.5))
        at += longest
    return faults


class _Connection:
    """Both ends of a forwarded connection.

    :ivar is_silent: it takes bytes and delivers none, nor its end.
    """

    def __init__(self, *writers: asyncio.StreamWriter) -> None:
        self.writers = writers
        self.is_silent = False

    def abort(self) -> None:
        """Reset both ends."""
        for writer in self.writers:
            if writer.is_closing():
                continue
            # Without this, aborting ends a connection like an ordinary close.
            writer.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
            )
            writer.transport.abort()


class Link:
    """All connections that one host opens to another one, or to the store.

    :param address: ``IP:port`` at which the sender dials.
    :param target: ``IP:port`` of the receiver.
    :ivar delay: seconds by which bytes to the receiver are late, or up to twice as many
        if others are on the way.
    """

    def __init__(self, address: str, target: str) -> None:
        self.delay = 0.0
        self._address, self._target = address, target
        self._connections: set[_Connection] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None
        self._obstacles: list[socket.socket] = []
        self._cuts = 0
        self._open = asyncio.Event()
        self._open.set()
        self._changing = asyncio.Lock()

    async def listen(self) -> None:
        """Accept connections."""
        self._server = await asyncio.start_server(self._serve, *_split(self._address))

    async def cut(self, hangs: bool) -> None:
        """Hold all bytes, and refuse new connections or let them hang."""
        async with self._changing:
            self._cuts += 1
            if self._cuts > 1 or self._server is None:
                return
            self._open.clear()
            self._server.close()
            if hangs:
                self._obstruct()

    def _obstruct(self) -> None:
        """Fill the backlog of a listener, which then ignores further connections."""
        listener, *waiting = self._obstacles = [socket.socket() for _ in range(3)]
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(_split(self._address))
        listener.listen(0)
        for item in waiting:
            item.setblocking(False)
            item.connect_ex(_split(self._address))

    async def heal(self, forgets: bool) -> None:
        """End a cut; the last one that ends lets the held bytes pass.

        :param forgets: the connections from before are silent for good instead.
        """
        async with self._changing:
            self._cuts -= 1
            if forgets:
                self.silence()
            if self._cuts:
                return
            for item in self._obstacles:
                item.close()
            self._obstacles = []
            self._open.set()
            await self.listen()

    def silence(self) -> None:
        """Let the open connections take bytes for good and deliver none."""
        for connection in self._connections:
            connection.is_silent = True

    def reset(self) -> None:
        """Reset all connections."""
        for connection in list(self._connections):
            connection.abort()

    def stop(self) -> None:
        """Close everything."""
        if self._server is not None:
            self._server.close()
        for item in self._obstacles:
            item.close()
        for task in self._tasks:
            task.cancel()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        try:
            far_reader, far_writer = await asyncio.open_connection(
                *_split(self._target)
            )
        except (OSError, asyncio.CancelledError):
            writer.transport.abort()
            return
        connection = _Connection(writer, far_writer)
        self._connections.add(connection)
        pumps = [
            asyncio.create_task(self._pump(connection, reader, far_writer, True)),
            asyncio.create_task(self._pump(connection, far_reader, writer, False)),
        ]
        try:
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
            for end in connection.writers:
                end.close()
        except asyncio.CancelledError:
            connection.abort()
        finally:
            for pump in pumps:
                pump.cancel()
            self._connections.discard(connection)

    async def _pump(
        self,
        connection: _Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_delayed: bool,
    ) -> None:
        """Pass bytes on until the end of the connection."""
        with contextlib.suppress(ConnectionError):
            while True:
                try:
                    chunk = await reader.read(CHUNK_BYTES)
                except ConnectionError:
                    chunk = b""
                if is_delayed and self.delay:
                    await asyncio.sleep(self.delay)
                await self._open.wait()
                if connection.is_silent:
                    if not chunk:
                        await asyncio.Event().wait()
                    continue
                if not chunk:
                    return
                writer.write(chunk)
                await writer.drain()


def _split(address: str) -> tuple[str, int]:
    name, _, port = address.rpartition(":")
    return name, int(port)
