"""Takes connections from a listening socket one by one, as its owner has room for them.

An ``asyncio`` server takes all connections that wait before it asks for their
protocols, so that their number at one moment can't be bounded.
"""

import asyncio
import socket
from collections.abc import Callable
from enum import Enum

import structlog

logger = structlog.get_logger(__name__)

ACCEPT_BACKLOG = 1024
"""Connections that may wait to be accepted; clients retry a rejected one only after
seconds."""
ACCEPT_BATCH = 64
"""Connections that are taken or turned away in one round of the event loop."""
RECEIVE_BUFFER_BYTES = 65_536
"""Requested size of the receive buffer of each connection. What a process has not read
yet counts towards its memory, and the kernel would let the buffer grow to megabytes."""
WAIT_SECONDS = 0.005
"""Time after which a connection that waits for room is looked at again."""
ERROR_PAUSE_SECONDS = 0.1
"""Pause after a connection could not be taken, for lack of descriptors mostly."""


class AcceptDecision(Enum):
    """What happens to a connection that waits to be accepted."""

    TAKE = "take"
    TURN_AWAY = "turn away"
    """It is closed before anything is read from it."""
    WAIT = "wait"
    """It waits, as another connection is being closed to make room for it."""


class Acceptor:
    """Accepts the connections of one listening socket.

    :param admit: decides on each connection; called again for one that has to wait.
    :param create_protocol: returns the protocol of a connection that is taken.
    """

    def __init__(
        self,
        address: str,
        port: int,
        admit: Callable[[], AcceptDecision],
        create_protocol: Callable[[], asyncio.BaseProtocol],
    ) -> None:
        self._admit = admit
        self._create_protocol = create_protocol
        self._loop = asyncio.get_running_loop()
        self._tasks: set[asyncio.Task[object]] = set()
        self._waiting: socket.socket | None = None
        """A connection for which room is being made."""
        self._socket = socket.socket()
        try:
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self._socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
            )
            self._socket.setblocking(False)
            self._socket.bind((address, port))
            self._socket.listen(ACCEPT_BACKLOG)
        except OSError:
            self._socket.close()
            raise
        self._loop.add_reader(self._socket.fileno(), self._accept)

    @property
    def port(self) -> int:
        """Return the port on which it listens."""
        return int(self._socket.getsockname()[1])

    def close(self) -> None:
        """Stop listening."""
        if self._waiting is not None:
            self._waiting.close()
            self._waiting = None
        if self._socket.fileno() >= 0:
            self._loop.remove_reader(self._socket.fileno())
            self._socket.close()

    async def wait_closed(self) -> None:
        """Do nothing: it is closed at once."""

    def _accept(self) -> None:
        for _ in range(ACCEPT_BATCH):
            connection = self._waiting or self._take_next()
            if connection is None:
                return
            self._waiting = None
            match self._admit():
                case AcceptDecision.WAIT:
                    self._waiting = connection
                    self._pause(WAIT_SECONDS)
                    return
                case AcceptDecision.TURN_AWAY:
                    connection.close()
                case AcceptDecision.TAKE:
                    self._connect(connection)

    def _take_next(self) -> socket.socket | None:
        """Return the next connection, or ``None`` if none can be taken now."""
        try:
            connection, _ = self._socket.accept()
        except (BlockingIOError, InterruptedError, ConnectionAbortedError):
            return None
        except OSError as error:
            logger.error("accept_failed", error=repr(error))
            self._pause(ERROR_PAUSE_SECONDS)
            return None
        connection.setblocking(False)
        return connection

    def _connect(self, connection: socket.socket) -> None:
        work = self._loop.connect_accepted_socket(self._create_protocol, connection)
        task = self._loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _pause(self, seconds: float) -> None:
        self._loop.remove_reader(self._socket.fileno())
        self._loop.call_later(seconds, self._resume)

    def _resume(self) -> None:
        if self._socket.fileno() >= 0:
            self._loop.add_reader(self._socket.fileno(), self._accept)
            self._accept()
