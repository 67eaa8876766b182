"""Streams between hosts: frames of ``msgpack`` over TCP, one connection a direction."""

import asyncio
import contextlib
import hashlib
import hmac
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass

import structlog
from result import Err, Ok

from marigoldswitch.core.ids import HostId
from marigoldswitch.core.messages import Message
from marigoldswitch.wire import MAX_FRAME_BYTES, decode_message, encode_message

logger = structlog.get_logger(__name__)

LENGTH_BYTES = 4
MAC_BYTES = 32
NAME_BYTES = 1
QUEUE_LENGTH = 10_000
CONNECT_SECONDS = 0.5
RECONNECT_SECONDS = 0.1
"""Pause after a failed connection; messages that come in it are dropped, not kept for a
host that may be back much later."""

Handler = Callable[[HostId, Message], None]


def seal(secret: bytes, payload: bytes) -> bytes:
    """Return the code that authenticates a payload."""
    return hmac.digest(secret, payload, hashlib.sha256)


def unseal(secrets: Sequence[bytes], code: bytes, payload: bytes) -> bool:
    """Tell whether a code was made with one of the secrets, in constant time."""
    return any(hmac.compare_digest(seal(secret, payload), code) for secret in secrets)


@dataclass(frozen=True, slots=True)
class _Connection:
    address: str
    writer: asyncio.StreamWriter


class PeerNetwork:
    """Sends messages to other hosts and takes theirs.

    A message to a host whose connection is down is dropped: every sender has a timeout
    of its own and a way on without the answer.

    :param locate: gives the ``IP:port`` of a host's peer listener, if it is known.
    """

    def __init__(
        self,
        host: HostId,
        secrets: Sequence[str],
        locate: Callable[[HostId], str | None],
    ) -> None:
        self.host = host
        self.counts: Counter[str] = Counter()
        self.cut: set[HostId] = set()
        """Hosts that cannot be reached, for tests of partitions."""
        self._secrets = [secret.encode() for secret in secrets]
        self._locate = locate
        self._handlers: dict[type[Message], Handler] = {}
        self._queues: dict[HostId, asyncio.Queue[Message]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None
        self._stopped = False

    def register(self, kind: type[Message], handler: Handler) -> None:
        """Name who takes messages of a kind; each kind has one handler."""
        assert kind not in self._handlers
        self._handlers[kind] = handler

    def send(self, host: HostId, message: Message) -> None:
        """Queue one message; it may be lost."""
        if self._stopped:
            return
        if host == self.host:
            asyncio.get_running_loop().call_soon(self._deliver, host, message)
            return
        queue = self._queues.get(host)
        if queue is None:
            queue = self._queues[host] = asyncio.Queue(QUEUE_LENGTH)
            self._spawn(self._write(host, queue))
        try:
            queue.put_nowait(message)
        except asyncio.QueueFull:
            self.counts["dropped"] += 1

    async def start(self, address: str, port: int) -> int:
        """Listen and return the port."""
        self._server = await asyncio.start_server(self._serve, address, port)
        return int(self._server.sockets[0].getsockname()[1])

    async def stop(self) -> None:
        """Close all connections; nothing is sent from now on."""
        self._stopped = True
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _spawn(self, work: object) -> None:
        task = asyncio.ensure_future(work)  # type: ignore[call-overload]
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _deliver(self, sender: HostId, message: Message) -> None:
        handler = self._handlers.get(type(message))
        if handler is None or sender in self.cut:
            self.counts["unhandled"] += 1
            return
        handler(sender, message)

    async def _write(self, host: HostId, queue: asyncio.Queue[Message]) -> None:
        connection: _Connection | None = None
        try:
            while not self._stopped:
                message = await queue.get()
                connection = await self._send_once(host, connection, message)
                if connection is None:
                    await self._drop_queued(queue)
        finally:
            if connection is not None:
                connection.writer.close()

    async def _drop_queued(self, queue: asyncio.Queue[Message]) -> None:
        """Drop what waits for a host that cannot be reached, and wait a little."""
        self.counts["dropped"] += 1 + queue.qsize()
        while not queue.empty():
            queue.get_nowait()
        await asyncio.sleep(RECONNECT_SECONDS)

    async def _send_once(
        self, host: HostId, connection: "_Connection | None", message: Message
    ) -> "_Connection | None":
        """Write one message, over a new connection where the old one is gone.

        :return: the connection to use next, or ``None`` where the host is out of reach.
        """
        for _ in range(2):
            if host in self.cut:
                break
            try:
                if connection is None or self._is_old(host, connection):
                    connection = await self._connect(host, connection)
                connection.writer.write(self._frame(message))
                await connection.writer.drain()
            except (TimeoutError, OSError):
                connection = None
                continue
            self.counts["sent"] += 1
            return connection
        return None

    def _is_old(self, host: HostId, connection: "_Connection") -> bool:
        """Tell whether a connection is closed, or the host has moved."""
        moved = self._locate(host) not in {connection.address, None}
        return moved or connection.writer.is_closing()

    async def _connect(self, host: HostId, old: "_Connection | None") -> "_Connection":
        if old is not None:
            old.writer.close()
        address = self._locate(host)
        if address is None:
            raise ConnectionError(f"no address of {host}")
        name, _, port = address.rpartition(":")
        async with asyncio.timeout(CONNECT_SECONDS):
            _, writer = await asyncio.open_connection(name, int(port))
        return _Connection(address, writer)

    def _frame(self, message: Message) -> bytes:
        name = self.host.encode()
        payload = bytes([len(name)]) + name + encode_message(message)
        body = seal(self._secrets[0], payload) + payload
        return len(body).to_bytes(LENGTH_BYTES, "big") + body

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            while await self._take_frame(reader):
                pass
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        except asyncio.CancelledError:
            pass
        finally:
            self._tasks.discard(task)
            with contextlib.suppress(ConnectionError):
                writer.close()

    async def _take_frame(self, reader: asyncio.StreamReader) -> bool:
        """Read one frame; tell whether the connection is still to be trusted."""
        length = int.from_bytes(await reader.readexactly(LENGTH_BYTES), "big")
        if not MAC_BYTES + NAME_BYTES < length <= MAX_FRAME_BYTES:
            self.counts["garbage"] += 1
            return False
        body = await reader.readexactly(length)
        code, payload = body[:MAC_BYTES], body[MAC_BYTES:]
        if not unseal(self._secrets, code, payload):
            self.counts["garbage"] += 1
            return False
        end = NAME_BYTES + payload[0]
        sender = HostId(payload[NAME_BYTES:end].decode("utf-8", "replace"))
        match decode_message(payload[end:]):
            case Ok(message):
                self.counts["received"] += 1
                self._deliver(sender, message)
                return True
            case Err(why):
                self.counts["garbage"] += 1
                logger.warning("peer_message_refused", sender=sender, why=why)
        return True
