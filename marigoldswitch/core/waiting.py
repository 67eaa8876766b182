"""Priority queue of the requests that wait for room on engines.

In a burst, or after a loss of engines, there are more requests than engine memory.
Without a queue, freed memory goes to whichever request asks next, and urgent requests
starve. With a long one all answers are late, as first events are worth most within half
a second. So the queue is ordered by priority, and requests whose estimated wait is too
long are rejected at once.
"""

import bisect
import itertools
import math
from dataclasses import dataclass, field

from marigoldswitch.core.ids import TargetId
from marigoldswitch.core.retries import SlidingWindowCounter

RATE_WINDOW_SECONDS = 2.0
"""Window of the admission rate; a busy host admits some ten requests in it."""
MIN_CAPACITY = 2
"""Requests that may wait at any admission rate, as the rate is 0 after an idle time."""


@dataclass(order=True, slots=True)
class Ticket:
    """A request's place in the queue, ordered by its first five fields.

    :param is_new: whether the caller has received no part of an answer yet. Requests
        whose answer has begun go first, as that part is lost if they find no room.
    :param is_late: whether a resumed stream can no longer keep its longest pause. The
        others go first.
    :param due: when a resumed stream must have a chain to keep its longest pause, in
        monotonic seconds; 0 for new requests.
    :param priority: rank; 0 comes first.
    :param number: order of arrival, for equal priorities.
    :param tokens: size of the request.
    :param avoid: targets that have just failed the request.
    """

    is_new: bool
    is_late: bool
    due: float
    priority: int
    number: int
    tokens: int = field(compare=False)
    avoid: frozenset[TargetId] = field(default=frozenset(), compare=False)


class WaitQueue:
    """Queue of one service on this host, the most urgent request first."""

    def __init__(self) -> None:
        self.tickets: list[Ticket] = []
        self._sequence = itertools.count()
        self._admitted = SlidingWindowCounter(RATE_WINDOW_SECONDS)

    def make_ticket(
        self,
        priority: int,
        tokens: int,
        avoid: frozenset[TargetId] = frozenset(),
        is_new: bool = True,
        due: float = math.inf,
    ) -> Ticket:
        """Return a new ticket without adding it to the queue.

        :param due: when a stream that has begun must have a chain, in monotonic
            seconds; infinite if its pauses are not limited.
        """
        due = 0.0 if is_new else due
        number = next(self._sequence)
        return Ticket(is_new, False, due, priority, number, tokens, avoid)

    def demote_late(self, now: float) -> None:
        """Put resumed streams that can't keep their longest pause behind the others."""
        late = [
            item
            for item in self.tickets
            if not item.is_new and not item.is_late and item.due < now
        ]
        if late:
            for item in late:
                item.is_late = True
            self.tickets.sort()

    def estimate_wait(self, ticket: Ticket, now: float) -> float:
        """Return the seconds that a ticket would wait at its place in the queue."""
        ahead = bisect.bisect(self.tickets, ticket)
        if ahead < MIN_CAPACITY:
            return 0.0
        rate = self._admitted.count(now) / RATE_WINDOW_SECONDS
        return (ahead + 1) / rate if rate > 0.0 else float("inf")

    def add(self, ticket: Ticket) -> None:
        """Add a ticket to the queue."""
        bisect.insort(self.tickets, ticket)

    def remove(self, ticket: Ticket) -> None:
        """Remove a ticket from the queue, if it is there."""
        if ticket in self.tickets:
            self.tickets.remove(ticket)

    def note_admitted(self, now: float) -> None:
        """Count an admitted request."""
        self._admitted.add(now)
