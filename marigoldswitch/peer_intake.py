"""Bounds what connections to the listener for other hosts make a process hold.

Whoever connects there may announce a large message and stop short of its end. Only a
whole message shows that a host has sent it.
"""

from collections.abc import Callable

from marigoldswitch.acceptors import AcceptDecision
from marigoldswitch.core.client_memory import ClientMemory, Holding, Use
from marigoldswitch.core.ports import Clock

KNOWN_IDLE_SECONDS = 10.0
"""Time without a message after which a host's connection may be closed for another."""


class PeerEntry:
    """One connection.

    :ivar is_known: a whole message of a host has arrived on it.
    :ivar since: when it was opened, or when the last message arrived.
    """

    def __init__(self, intake: "PeerIntake", abort: Callable[[], None]) -> None:
        self.is_known = False
        self.since = intake.clock.monotonic()
        self.abort = abort
        self._intake = intake
        self._holding = Holding(abort)

    def hold(self, size: int) -> None:
        """Account for a message of which some bytes have arrived."""
        now = self._intake.clock.monotonic()
        if not self._holding.size:
            self._holding.since = now
            self._holding.use = Use.RUNNING if self.is_known else Use.RECEIVING
        self._intake.memory.resize(self._holding, size, now)

    def release(self) -> None:
        """Account for the end of a message."""
        self._intake.memory.release(self._holding, self._intake.clock.monotonic())

    def note_message(self) -> None:
        """Note that a host has sent a whole message."""
        self.is_known, self.since = True, self._intake.clock.monotonic()


class PeerIntake:
    """The connections from other hosts.

    :param count_allowed: returns how many there may be.
    :param memory: account of what all clients make this process hold.
    """

    def __init__(
        self, count_allowed: Callable[[], int], memory: ClientMemory, clock: Clock
    ) -> None:
        self.memory = memory
        self.clock = clock
        self._count_allowed = count_allowed
        self._entries: set[PeerEntry] = set()
        self._open = 0
        """Connections that have been accepted and not closed."""

    def admit(self) -> AcceptDecision:
        """Decide on a connection that waits to be accepted; count one that is taken."""
        if self._open < self._count_allowed():
            self._open += 1
            return AcceptDecision.TAKE
        leaving = min(
            self._entries, key=lambda item: (item.is_known, item.since), default=None
        )
        if leaving is None:
            return AcceptDecision.WAIT
        idle = self.clock.monotonic() - leaving.since
        if leaving.is_known and idle < KNOWN_IDLE_SECONDS:
            return AcceptDecision.TURN_AWAY
        leaving.abort()
        return AcceptDecision.WAIT

    def open(self, abort: Callable[[], None]) -> PeerEntry:
        """Add a connection that was admitted.

        :param abort: closes it at once.
        """
        entry = PeerEntry(self, abort)
        self._entries.add(entry)
        return entry

    def close(self, entry: PeerEntry) -> None:
        """Remove a connection that is closed."""
        entry.release()
        self._entries.discard(entry)
        self._open -= 1
