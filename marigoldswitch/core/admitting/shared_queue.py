"""Queue of a gateway's host for a service whose routes differ in priority.

Handles bursts, the loss of engines, and accounts that send most of the requests. In
order of arrival, freed capacity goes to whoever sends most.

Streams that have begun go first, then requests by priority, and those of one priority
fairly over the client accounts by the size of their work. Groups that are served far
less often than all go before the others (:mod:`.floors`).
"""

import itertools
import math
from collections.abc import Hashable
from dataclasses import dataclass

from sortedcontainers import SortedKeyList

from marigoldswitch.core.admitting.floors import ServedShares
from marigoldswitch.core.admitting.flows import FairFlows
from marigoldswitch.core.admitting.requesters import Requester
from marigoldswitch.core.ids import AccountId, TargetId
from marigoldswitch.core.retries import SlidingWindowCounter
from marigoldswitch.core.waiting import MIN_CAPACITY, RATE_WINDOW_SECONDS

RETRY_CHARGE = 0.5
"""Part of a request's cost that its account is charged for each retry of its caller."""


@dataclass(slots=True, eq=False)
class SharedTicket:
    """A request's place in the queue.

    :param is_new: whether the caller has received no part of an answer yet.
    :param priority: rank; 0 comes first.
    :param number: order of arrival at this host.
    :param tokens: size of the request.
    :param avoid: targets that have just failed the request.
    :param latest: when its wait ends, in monotonic seconds.
    :param due: when it must have a chain to keep its longest pause, in monotonic
        seconds.
    """

    is_new: bool
    priority: int
    number: int
    tokens: int
    avoid: frozenset[TargetId]
    requester: Requester
    latest: float
    due: float = math.inf

    @property
    def account(self) -> AccountId:
        """Return the client account of the request."""
        return self.requester.account

    @property
    def weight(self) -> float:
        """Return the weight of its account."""
        return self.requester.weight

    @property
    def cost(self) -> float:
        """Return its size; all requests of a service pass through the same layers."""
        return float(max(1, self.tokens))

    @property
    def long(self) -> bool:
        """Return ``False``: the gateway queues long and short work together."""
        return False

    @property
    def sequence(self) -> tuple[float, int]:
        """Return its place among the requests of its account and priority."""
        return (self.requester.first_arrival, self.number)

    @property
    def goes_before_new(self) -> bool:
        """Return whether its caller has received part of an answer."""
        return not self.is_new or self.requester.is_resumed

    @property
    def groups(self) -> tuple[Hashable, ...]:
        """Return the groups whose share of the service it counts for."""
        return (("priority", self.priority), ("account", self.account))


class SharedQueue:
    """Queue of one service on this host."""

    def __init__(self) -> None:
        self.shares = ServedShares()
        self._begun: SortedKeyList = SortedKeyList(
            key=lambda ticket: (ticket.latest, ticket.number)
        )
        self._classes: dict[int, FairFlows[SharedTicket]] = {}
        self._waiting: dict[int, SharedTicket] = {}
        self._sequence = itertools.count()
        self._admitted = SlidingWindowCounter(RATE_WINDOW_SECONDS, bucket=0.1)

    def __len__(self) -> int:
        return len(self._waiting)

    @property
    def tickets(self) -> list[SharedTicket]:
        """Return the waiting requests in order of arrival."""
        return list(self._waiting.values())

    def make_ticket(
        self,
        priority: int,
        tokens: int,
        avoid: frozenset[TargetId],
        is_new: bool,
        requester: Requester,
        latest: float,
        due: float = math.inf,
    ) -> SharedTicket:
        """Return a new ticket without adding it to the queue."""
        number = next(self._sequence)
        return SharedTicket(
            is_new, priority, number, tokens, avoid, requester, latest, due
        )

    def is_first(self, ticket: SharedTicket) -> bool:
        """Return whether a new ticket goes before all that wait."""
        if not self._waiting:
            return True
        if self._begun:
            return ticket.goes_before_new and ticket.latest < self._begun[0].latest
        if ticket.goes_before_new:
            return True
        return all(
            not group.flows or priority > ticket.priority
            for priority, group in self._classes.items()
        )

    def list_candidates(self, now: float) -> list[SharedTicket]:
        """Return the first request of each account, in the order to be tried.

        :param now: monotonic seconds.
        """
        heads = [
            ticket
            for priority in sorted(self._classes)
            for ticket in self._classes[priority].list_heads()
        ]
        short = {item.number for item in heads if self.is_below_floor(item, now)}
        heads.sort(key=lambda item: item.number not in short)
        # Streams that can no longer keep their longest pause go behind the others.
        begun = sorted(self._begun, key=lambda item: item.due < now)
        return [*begun, *heads]

    def is_below_floor(self, ticket: SharedTicket, now: float) -> bool:
        """Return whether the priority or account of a request is served too seldom."""
        return any(self.shares.is_below_floor(item, now) for item in ticket.groups)

    def count_ahead(self, ticket: SharedTicket) -> int:
        """Return the number of waiting requests that are expected to go first."""
        ahead = len(self._begun)
        if ticket.goes_before_new:
            return sum(item.latest < ticket.latest for item in self._begun)
        for priority, group in self._classes.items():
            if priority < ticket.priority:
                ahead += sum(map(len, group.flows.values()))
        group = self._classes.get(ticket.priority, FairFlows())
        others = sum(len(f) for a, f in group.flows.items() if a != ticket.account)
        flow = group.flows.get(ticket.account)
        own = flow.lanes[0].items.bisect_left(ticket.sequence) if flow else 0
        rivals = group.count_rivals(ticket.account)
        return ahead + own + min(others, (own + 1) * rivals)

    def get_rate(self, now: float) -> float:
        """Return how many requests are admitted a second."""
        return self._admitted.count(now) / RATE_WINDOW_SECONDS

    def estimate_wait(self, ticket: SharedTicket, now: float) -> float:
        """Return the seconds that a ticket would wait at its place in the queue."""
        ahead = self.count_ahead(ticket)
        if ahead < MIN_CAPACITY:
            return 0.0
        rate = self.get_rate(now)
        return (ahead + 1) / rate if rate > 0.0 else float("inf")

    def add(self, ticket: SharedTicket, now: float) -> None:
        """Add a ticket to the queue."""
        self._waiting[ticket.number] = ticket
        if ticket.goes_before_new:
            self._begun.add(ticket)
        else:
            self._get_class(ticket.priority).push(ticket, now)

    def remove(self, ticket: SharedTicket) -> None:
        """Remove a ticket from the queue, if it is there."""
        if self._waiting.pop(ticket.number, None) is None:
            return
        if ticket.goes_before_new:
            self._begun.remove(ticket)
        else:
            self._classes[ticket.priority].remove(ticket)

    def note_admitted(self, ticket: SharedTicket, now: float) -> None:
        """Remove an admitted request, if it waits, and charge its account."""
        self._admitted.add(now)
        self.shares.note_served(ticket.groups, now)
        if ticket.goes_before_new:
            self.remove(ticket)
            return
        group = self._get_class(ticket.priority)
        if self._waiting.pop(ticket.number, None) is None:
            group.take_directly(ticket, now)
        else:
            group.take(ticket, now)

    def charge_retry(self, ticket: SharedTicket) -> None:
        """Charge the account of a request for having been sent again."""
        group = self._get_class(ticket.priority)
        cost = RETRY_CHARGE * ticket.cost
        group.charge(ticket.account, ticket.weight, cost)

    def _get_class(self, priority: int) -> FairFlows[SharedTicket]:
        return self._classes.setdefault(priority, FairFlows())
