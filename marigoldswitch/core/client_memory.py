"""Account of the bytes that clients make a process hold, and who gives way in it.

Load: clients send large bodies and stop short of their ends, or take no answers. The
account is one for all listeners, as a limit for each connection is multiplied by the
number of connections.
"""

from collections.abc import Callable
from enum import Enum

SMALL_BYTES = 16_384
"""Holdings up to this size don't count: the number of connections bounds them."""
UNREAD_SECONDS = 1.0
"""Time without progress after which an answer gives way to other holdings."""


class Use(Enum):
    """What the bytes of a holding are for."""

    RECEIVING = "receiving"
    """They belong to something unfinished, which can be refused."""
    RUNNING = "running"
    """They are needed until their request ends."""
    UNREAD = "unread"
    """They belong to an answer, which its receiver is to take."""


class Holding:
    """Bytes that one connection makes the process hold.

    :ivar since: when its use began or last made progress, in monotonic seconds.
    :ivar give_way: called once if it has to give way; its bytes are to be released
        soon after.
    """

    __slots__ = ("give_way", "is_leaving", "since", "size", "use")

    def __init__(self, give_way: Callable[[], None]) -> None:
        self.size = 0
        self.use = Use.RECEIVING
        self.since = 0.0
        self.give_way = give_way
        self.is_leaving = False


class ClientMemory:
    """The account of one process.

    :param limit: bytes that all holdings together may have.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self._used = 0
        self._leaving = 0
        """Bytes of holdings that give way and have not been released."""
        self._holdings: set[Holding] = set()

    @property
    def used(self) -> int:
        """Return the bytes that are held, without those that give way."""
        return self._used - self._leaving

    def resize(self, holding: Holding, size: int, now: float) -> bool:
        """Set the size of a holding; others, or this one, give way if it doesn't fit.

        :return: whether there is room for all that is held now.
        """
        if size <= SMALL_BYTES:
            size = 0
        if size == holding.size:
            return True
        if size and not holding.size:
            self._holdings.add(holding)
        elif not size:
            self._holdings.discard(holding)
        grown = size - holding.size
        holding.size = size
        self._used += grown
        if holding.is_leaving:
            self._leaving += grown
        return grown < 0 or self._make_room(now)

    def release(self, holding: Holding, now: float) -> None:
        """Drop all bytes of a holding, which can be used again."""
        self.resize(holding, 0, now)
        holding.is_leaving = False
        holding.use = Use.RECEIVING

    def _make_room(self, now: float) -> bool:
        """Have holdings give way until the others fit; return whether they do."""
        while self.used > self.limit:
            holding = self.choose_victim(now)
            if holding is None:
                return False
            self.dismiss(holding)
        return True

    def choose_victim(self, now: float) -> Holding | None:
        """Return the holding that has to give way next, if any.

        Of unfinished ones that with the most bytes over the longest time: a large body
        that arrives quickly is done soon, and a slow small one costs little.
        """
        staying = [item for item in self._holdings if not item.is_leaving]
        receiving = [item for item in staying if item.use is Use.RECEIVING]
        unread = [
            item
            for item in staying
            if item.use is Use.UNREAD and now - item.since >= UNREAD_SECONDS
        ]
        return max(
            receiving or unread,
            key=lambda item: item.size * (now - item.since + 0.01),
            default=None,
        )

    def dismiss(self, holding: Holding) -> None:
        """Have a holding give way."""
        holding.is_leaving = True
        self._leaving += holding.size
        holding.give_way()
