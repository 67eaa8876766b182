"""Queue of one dispatcher: priority classes, fair among client accounts, bounded in
time.

Load it answers: saturation, a burst, and a few client accounts that offer most of the
load. Without it the account that sends most takes most, low classes starve, and slots
go to requests whose callers have hung up.

Start-time fair queueing at two levels (Goyal, Vin, Cheng 1996): first over the classes,
then over the client accounts of the class, by cost over weight. A flow is charged when
its work is taken, so that a request that is cancelled or expires costs its account
nothing. Every operation is O(log n) in the number of waiting requests.
"""

from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass, field

from sortedcontainers import SortedList

from marigoldswitch.core.catalogue import Priority
from marigoldswitch.core.ids import AccountId, RequestId
from marigoldswitch.core.ledger import InvariantBroken
from marigoldswitch.core.messages import Ask

AskKey = tuple[RequestId, int]
"""Request and attempt."""

CLASS_WEIGHTS = {Priority.HIGH: 16.0, Priority.NORMAL: 4.0, Priority.LOW: 1.0}
"""Shares of the classes that have work waiting. A class that waits ages against the
others by their work, so none starves: with all three busy the low one gets 1/21 of the
work, and its next request waits for at most 20 times its own cost of other work. A high
class that offers less than 16/21 of the bound sees the others only as a busy slot."""

ROUNDING = 1e-3
"""Cost that sums of floats may be off by."""
MOST_WAITING = 20_000
"""Requests that may wait before each account is held to its part of them; about 1 kB
each, so 20 MB of the host's 256 MB."""


SERVICE_SECONDS = 2.0
"""Time of a window in which a flow's service is counted."""
FEWEST_SERVED = 10
"""Requests served before a flow's own rate is believed."""
LEAST_RATE_SHARE = 1e-3
"""Part of the pool's rate below which a flow's rate is not taken, so that a pause of
the pool is not read as for ever."""


@dataclass(frozen=True, slots=True)
class Pace:
    """How fast the pool works.

    :param rate: cost a second; above 0.
    :param now: monotonic seconds.
    """

    rate: float
    now: float


@dataclass(slots=True)
class WaitingRequest:
    """One ask that waits.

    :param latest: instant after which starting it makes no sense.
    :param long: it may only take slots that long work is allowed.
    """

    ask: Ask
    arrived: float
    deadline: float
    latest: float
    long: bool = False
    sequence: int = 0

    @property
    def key(self) -> AskKey:
        """Return what names the ask."""
        return (self.ask.request, self.ask.attempt)


@dataclass(slots=True)
class _Service:
    """What a flow was served lately, over the last window and the one before."""

    began: float
    turned: float
    before: float = 0.0
    cost: float = 0.0
    count: int = 0

    def add(self, cost: float, now: float) -> None:
        if now - self.turned >= SERVICE_SECONDS:
            self.began, self.turned = self.turned, now
            self.before, self.cost = self.cost, 0.0
        self.cost += cost
        self.count += 1

    def get_rate(self, now: float) -> float | None:
        """Return the cost a second, ``None`` while too little is known."""
        elapsed = now - self.began
        if self.count < FEWEST_SERVED or elapsed < SERVICE_SECONDS / 2.0:
            return None
        return (self.before + self.cost) / elapsed


@dataclass(slots=True)
class _Flow:
    """The waiting requests of one client account in one class; it ends when none
    waits."""

    account: AccountId
    weight: float
    service: _Service
    finish: float = 0.0
    cost: float = 0.0
    lanes: tuple[OrderedDict[AskKey, WaitingRequest], ...] = field(
        default_factory=lambda: (OrderedDict(), OrderedDict())
    )
    heads: list[tuple[float, int, AccountId] | None] = field(
        default_factory=lambda: [None, None]
    )

    def __len__(self) -> int:
        return len(self.lanes[0]) + len(self.lanes[1])


class _PriorityClass:
    """The flows of one class, in the order of their virtual start."""

    def __init__(self, priority: Priority) -> None:
        self.priority = priority
        self.weight = CLASS_WEIGHTS[priority]
        self.start = 0.0
        self.flows: dict[AccountId, _Flow] = {}
        self.flow_weight = 0.0
        self._virtual = 0.0
        self._finishes: dict[AccountId, float] = {}
        self._heads: tuple[SortedList, SortedList] = (SortedList(), SortedList())

    def push(self, item: WaitingRequest) -> None:
        ask = item.ask
        flow = self.flows.get(ask.account)
        if flow is None:
            finish = self._finishes.pop(ask.account, 0.0)
            service = _Service(item.arrived, item.arrived)
            flow = _Flow(ask.account, ask.weight, service, finish)
            self.flows[ask.account] = flow
            self.flow_weight += flow.weight
        flow.lanes[item.long][item.key] = item
        flow.cost += ask.cost
        self._place(flow, item.long)

    def remove(self, item: WaitingRequest) -> None:
        flow = self.flows[item.ask.account]
        del flow.lanes[item.long][item.key]
        flow.cost -= item.ask.cost
        self._place(flow, item.long)
        self._retire(flow)

    def find(self, allow_long: bool) -> WaitingRequest | None:
        """Return the request that is next."""
        heads = [lane[0] for lane in self._heads[: 1 + allow_long] if lane]
        if not heads:
            return None
        _, _, account = head = min(heads)
        lanes = self.flows[account].lanes
        lane = lanes[0] if self.flows[account].heads[0] == head else lanes[1]
        return next(iter(lane.values()))

    def take(self, item: WaitingRequest, now: float) -> None:
        """Take the next request out and charge its flow for it."""
        flow = self.flows[item.ask.account]
        flow.service.add(item.ask.cost, now)
        head = flow.heads[item.long]
        assert head is not None
        self._virtual = max(self._virtual, head[0])
        flow.finish = self._virtual + item.ask.cost / flow.weight
        del flow.lanes[item.long][item.key]
        flow.cost -= item.ask.cost
        self._unplace(flow)
        for long in (False, True):
            self._place(flow, long)
        self._retire(flow)

    def _place(self, flow: _Flow, long: bool) -> None:
        """Put the head of a lane in its place in the order."""
        head = flow.heads[long]
        lane = flow.lanes[long]
        first = next(iter(lane.values())) if lane else None
        if head is not None and first is not None and head[1] == first.sequence:
            return
        start = max(self._virtual, flow.finish) if head is None else head[0]
        if head is not None:
            self._heads[long].remove(head)
            flow.heads[long] = None
        if first is not None:
            flow.heads[long] = (start, first.sequence, flow.account)
            self._heads[long].add(flow.heads[long])

    def _unplace(self, flow: _Flow) -> None:
        for long in (False, True):
            if flow.heads[long] is not None:
                self._heads[long].remove(flow.heads[long])
                flow.heads[long] = None

    def _retire(self, flow: _Flow) -> None:
        """Forget a flow with nothing waiting but for the charge it still carries."""
        if len(flow):
            return
        del self.flows[flow.account]
        self.flow_weight -= flow.weight
        if not self.flows:
            self.flow_weight = 0.0
        if flow.finish > self._virtual:
            self._finishes[flow.account] = flow.finish
        if len(self._finishes) > 2 * len(self.flows) + 64:
            self._finishes = {
                name: finish
                for name, finish in self._finishes.items()
                if finish > self._virtual
            }


class FairQueue:
    """Waiting requests in the order in which they are to be granted."""

    def __init__(self) -> None:
        self.cost = 0.0
        """Cost of all that waits."""
        self._items: dict[AskKey, WaitingRequest] = {}
        self._classes = {item: _PriorityClass(item) for item in Priority}
        self._virtual = 0.0
        self._latest: SortedList = SortedList()
        self._by_front: dict[str, set[AskKey]] = {}
        self._sequence = 0

    def __len__(self) -> int:
        return len(self._items)

    def __contains__(self, key: AskKey) -> bool:
        return key in self._items

    def __iter__(self) -> Iterator[AskKey]:
        return iter(self._items)

    def has_space(self, account: AccountId, priority: Priority) -> bool:
        """Tell whether one more request of an account may wait, for memory's sake."""
        if len(self._items) < MOST_WAITING:
            return True
        flow = self._classes[priority].flows.get(account)
        flows = sum(len(item.flows) for item in self._classes.values())
        part = MOST_WAITING / (flows + 1)
        return len(self._items) < 2 * MOST_WAITING and (
            flow is None or len(flow) < part
        )

    def push(self, item: WaitingRequest) -> None:
        """Let a request wait.

        :raises InvariantBroken: if it waits already.
        """
        if item.key in self._items:
            raise InvariantBroken(f"{item.key} would wait twice")
        self._sequence += 1
        item.sequence = self._sequence
        group = self._classes[item.ask.priority]
        if not group.flows:
            group.start = max(group.start, self._virtual)
        group.push(item)
        self._items[item.key] = item
        self._latest.add((item.latest, item.sequence, item.key))
        self._by_front.setdefault(item.ask.front, set()).add(item.key)
        self.cost += item.ask.cost

    def remove(self, key: AskKey) -> WaitingRequest | None:
        """Take a request out wherever it stands; its account is not charged."""
        item = self._items.get(key)
        if item is not None:
            self._classes[item.ask.priority].remove(item)
            self._forget(item)
        return item

    def remove_front(self, front: str) -> list[WaitingRequest]:
        """Take out all that one host asked for."""
        keys = sorted(self._by_front.get(front, ()))
        return [item for key in keys if (item := self.remove(key)) is not None]

    def peek(self, allow_long: bool = True) -> WaitingRequest | None:
        """Return the request that is next.

        :param allow_long: whether long work may be next.
        """
        found = None
        for group in self._classes.values():
            item = group.find(allow_long) if group.flows else None
            if item is None:
                group.start = max(group.start, self._virtual)
            elif found is None or group.start < found[0]:
                found = (group.start, item)
        return found[1] if found else None

    def take(self, item: WaitingRequest, now: float) -> None:
        """Take out what :meth:`peek` returned and charge its class and account."""
        group = self._classes[item.ask.priority]
        group.take(item, now)
        self._virtual = max(self._virtual, group.start)
        group.start += item.ask.cost / group.weight
        self._forget(item)

    def pop_expired(self, now: float) -> list[WaitingRequest]:
        """Take out all that can no longer be started in time."""
        expired = []
        while self._latest and self._latest[0][0] <= now:
            item = self.remove(self._latest[0][2])
            assert item is not None
            expired.append(item)
        return expired

    def estimate_wait(
        self, account: AccountId, priority: Priority, weight: float, pace: Pace
    ) -> float:
        """Return the seconds that one more request of an account would wait.

        An account whose requests have waited for a while goes on as it was served. For
        another it is the lesser of all waiting work and of its own over its fair share.
        """
        flow = self._classes[priority].flows.get(account)
        if flow is None:
            return 0.0
        return self._estimate(flow, flow.cost, priority, weight, pace)

    def list_tails(self, pace: Pace) -> list[tuple[WaitingRequest, float]]:
        """Return the last request of each account with its estimated wait."""
        tails = []
        for priority, group in self._classes.items():
            for flow in group.flows.values():
                last = max(
                    (next(reversed(lane.values())) for lane in flow.lanes if lane),
                    key=lambda item: item.sequence,
                )
                ahead = max(0.0, flow.cost - last.ask.cost)
                wait = self._estimate(flow, ahead, priority, flow.weight, pace)
                tails.append((last, wait))
        return tails

    def _estimate(
        self, flow: _Flow, ahead: float, priority: Priority, weight: float, pace: Pace
    ) -> float:
        """Return the seconds until some work of a flow has been served."""
        rate = flow.service.get_rate(pace.now)
        if rate is not None:
            return ahead / max(rate, pace.rate * LEAST_RATE_SHARE)
        group = self._classes[priority]
        classes = sum(item.weight for item in self._classes.values() if item.flows)
        share = weight / group.flow_weight * group.weight / classes
        return min(self.cost, ahead / share) / pace.rate

    def _forget(self, item: WaitingRequest) -> None:
        del self._items[item.key]
        self._latest.remove((item.latest, item.sequence, item.key))
        keys = self._by_front[item.ask.front]
        keys.discard(item.key)
        if not keys:
            del self._by_front[item.ask.front]
        self.cost -= item.ask.cost
        if not self._items:
            if abs(self.cost) > ROUNDING:
                raise InvariantBroken(f"an empty queue holds work of {self.cost}")
            self.cost = 0.0
