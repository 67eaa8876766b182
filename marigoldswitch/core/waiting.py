"""Who waits for room, in which order, and who is told at once to come back later.

Load it answers: a burst, or the loss of engines, with more requests than there is
memory for. Without a line, whoever happens to ask when something becomes free gets it,
and urgent requests starve; with one that is too long, all its answers come late, as
first events are worth most within half a second. So the line is ordered, short, and
closed as soon as its end would wait too long.
"""

import bisect
import itertools
from dataclasses import dataclass, field

from marigoldswitch.core.ids import TargetId
from marigoldswitch.core.retries import RecentCount

RATE_SECONDS = 2.0
"""Time over which admissions are counted: some ten of them at a host that is busy."""
ALWAYS_WAITING = 2
"""Requests that may wait whatever the rate, as after a calm time there is none yet."""


@dataclass(order=True, slots=True)
class Ticket:
    """One request's place in a line.

    :param is_new: its caller has no part of an answer yet; the others go first, as what
        they have been given is lost when they find no room.
    :param priority: rank; 0 comes first.
    :param number: order of arrival among equals.
    :param avoid: targets that have just failed it.
    """

    is_new: bool
    priority: int
    number: int
    tokens: int = field(compare=False)
    avoid: frozenset[TargetId] = field(default=frozenset(), compare=False)


class WaitingLine:
    """The requests of one service that wait at this host, the most urgent first."""

    def __init__(self) -> None:
        self.tickets: list[Ticket] = []
        self._numbers = itertools.count()
        self._admitted = RecentCount(RATE_SECONDS)

    def make_ticket(
        self,
        priority: int,
        tokens: int,
        avoid: frozenset[TargetId] = frozenset(),
        is_new: bool = True,
    ) -> Ticket:
        """Return a ticket that is not in the line yet."""
        return Ticket(is_new, priority, next(self._numbers), tokens, avoid)

    def estimate_wait(self, ticket: Ticket, now: float) -> float:
        """Return the seconds that a ticket would wait at its place in the line."""
        ahead = bisect.bisect(self.tickets, ticket)
        if ahead < ALWAYS_WAITING:
            return 0.0
        rate = self._admitted.read(now) / RATE_SECONDS
        return (ahead + 1) / rate if rate > 0.0 else float("inf")

    def join(self, ticket: Ticket) -> None:
        """Take a ticket into the line."""
        bisect.insort(self.tickets, ticket)

    def leave(self, ticket: Ticket) -> None:
        """Take a ticket out of the line, if it is there."""
        if ticket in self.tickets:
            self.tickets.remove(ticket)

    def note_admitted(self, now: float) -> None:
        """Count a request that has got its place."""
        self._admitted.add(now)
