"""What all clients together make this process hold, over all its listeners."""

import asyncio
from collections import deque
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from marigoldswitch.core.client_limits import ProcessLimits
from marigoldswitch.core.client_memory import SMALL_BYTES, ClientMemory, Holding
from marigoldswitch.core.ports import Clock
from marigoldswitch.core.routes import ClientLimits, RoutingTable

DEAR_READ_SECONDS = 0.002
"""Time to parse one read from which a connection waits for its turn to read on."""
TURN_FACTOR = 3.0
"""Pause between two turns, as a multiple of the time that the last one took."""


class ReadTurns:
    """Lets connections whose bytes are dear to parse read one after another.

    Load: bodies in chunks of a byte cost far more time for each byte than others. Read
    as they arrive on many connections, they would leave the event loop no time for
    other requests.
    """

    def __init__(self) -> None:
        self._waiting: deque[Callable[[], bool]] = deque()
        self._timer: asyncio.TimerHandle | None = None

    def wait(self, resume: Callable[[], bool], seconds: float) -> None:
        """Have a connection wait for its turn.

        :param resume: called when it may read again; returns whether it is still open.
        :param seconds: time that its last read took.
        """
        self._waiting.append(resume)
        pause = TURN_FACTOR * seconds
        loop = asyncio.get_running_loop()
        if self._timer is None:
            self._timer = loop.call_later(pause, self._resume_next)
        else:
            due = max(self._timer.when(), loop.time()) + pause
            self._timer.cancel()
            self._timer = loop.call_at(due, self._resume_next)

    def _resume_next(self) -> None:
        self._timer = None
        while self._waiting:
            if self._waiting.popleft()():
                break
        if self._waiting and self._timer is None:
            loop = asyncio.get_running_loop()
            pause = TURN_FACTOR * DEAR_READ_SECONDS
            self._timer = loop.call_later(pause, self._resume_next)


class Intake:
    """The account of one process, which all its listeners share.

    :ivar request_limits: what the configuration allows a client to send.
    :ivar running: requests that run, by way of targets or other hosts.
    :ivar running_large: those of them that are not small.
    """

    def __init__(self, limits: ProcessLimits, clock: Clock) -> None:
        self.limits = limits
        self.clock = clock
        self.memory = ClientMemory(limits.memory_bytes)
        self.turns = ReadTurns()
        self.request_limits = ClientLimits()
        self.running = self.running_large = 0

    def count_kept(self) -> int:
        """Return the connections to targets from which further ones are not kept."""
        return self.limits.count_outgoing() // 2

    @property
    def may_hedge(self) -> bool:
        """Return whether requests may be sent to two targets at once."""
        return 4 * self.running < self.limits.count_outgoing()

    def may_run(self, size: int) -> bool:
        """Return whether there are sockets for the sendings of a further request.

        Each may take two. Large requests leave half of the room to small ones.

        :param size: of its body, in bytes.
        """
        most = self.limits.count_outgoing() // 2
        if size > SMALL_BYTES and 2 * self.running_large >= most:
            return False
        return self.running < most

    @contextmanager
    def run(self, size: int) -> Iterator[None]:
        """Count a request as running.

        :param size: of its body, in bytes.
        """
        is_large = size > SMALL_BYTES
        self.running += 1
        self.running_large += is_large
        try:
            yield
        finally:
            self.running -= 1
            self.running_large -= is_large

    def apply_limits(self, limits: ProcessLimits) -> None:
        """Apply changed limits; what is held already stays."""
        self.limits = limits
        self.memory.limit = limits.memory_bytes

    def apply_table(self, table: RoutingTable) -> None:
        """Apply the limits of a configuration."""
        self.request_limits = table.limits

    def resize(self, holding: Holding, size: int) -> bool:
        """Set the size of a holding; return whether there is room for all."""
        return self.memory.resize(holding, size, self.clock.monotonic())
