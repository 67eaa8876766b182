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
from dataclasses import dataclass

from sortedcontainers import SortedList

from marigoldswitch.core.catalogue import Priority
from marigoldswitch.core.ids import AccountId, RequestId
from marigoldswitch.core.ledger import InvariantBroken
from marigoldswitch.core.messages import Ask
from marigoldswitch.core.pace import Pace, ServiceRate

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


LEAST_RATE_SHARE = 1e-3
"""Part of the pool's rate below which a flow's rate is not taken, so that a pause of
the pool is not read as for ever."""


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


class _Lane:
    """The short or the long requests of one flow, first come first."""

    def __init__(self, now: float) -> None:
        self.items: OrderedDict[AskKey, WaitingRequest] = OrderedDict()
        self.head: tuple[float, int, AccountId] | None = None
        """Place of the first one in the order of its class."""
        self.cost = 0.0
        self.served = ServiceRate(now)

    def add(self, item: WaitingRequest) -> None:
        self.items[item.key] = item
        self.cost += item.ask.cost

    def remove(self, item: WaitingRequest) -> None:
        del self.items[item.key]
        self.cost = self.cost - item.ask.cost if self.items else 0.0


class _Flow:
    """The waiting requests of one client account in one class; ends when none waits."""

    def __init__(
        self, account: AccountId, weight: float, finish: float, now: float
    ) -> None:
        self.account = account
        self.weight = weight
        self.finish = finish
        self.lanes = (_Lane(now), _Lane(now))

    def __len__(self) -> int:
        return sum(len(lane.items) for lane in self.lanes)


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
            flow = _Flow(ask.account, ask.weight, finish, item.arrived)
            self.flows[ask.account] = flow
            self.flow_weight += flow.weight
        flow.lanes[item.long].add(item)
        self._place(flow, item.long)

    def remove(self, item: WaitingRequest) -> None:
        flow = self.flows[item.ask.account]
        flow.lanes[item.long].remove(item)
        self._place(flow, item.long)
        self._retire(flow)

    def find(self, allow_long: bool) -> WaitingRequest | None:
        """Return the request that is next."""
        heads = [lane[0] for lane in self._heads[: 1 + allow_long] if lane]
        if not heads:
            return None
        _, _, account = head = min(heads)
        lanes = self.flows[account].lanes
        lane = lanes[0] if lanes[0].head == head else lanes[1]
        return next(iter(lane.items.values()))

    def take(self, item: WaitingRequest, now: float) -> None:
        """Take the next request out and charge its flow for it."""
        flow = self.flows[item.ask.account]
        lane = flow.lanes[item.long]
        assert lane.head is not None
        self._virtual = max(self._virtual, lane.head[0])
        flow.finish = self._virtual + item.ask.cost / flow.weight
        lane.remove(item)
        lane.served.add(item.ask.cost, now)
        for long in (False, True):
            self._unplace(flow.lanes[long], long)
            self._place(flow, long)
        self._retire(flow)

    def _place(self, flow: _Flow, long: bool) -> None:
        """Put the head of a lane in its place in the order."""
        lane = flow.lanes[long]
        first = next(iter(lane.items.values())) if lane.items else None
        if lane.head and first and lane.head[1] == first.sequence:
            return
        start = lane.head[0] if lane.head else max(self._virtual, flow.finish)
        self._unplace(lane, long)
        if first is not None:
            lane.head = (start, first.sequence, flow.account)
            self._heads[long].add(lane.head)

    def _unplace(self, lane: _Lane, long: bool) -> None:
        if lane.head is not None:
            self._heads[long].remove(lane.head)
            lane.head = None

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
        self._lane_costs = [0.0, 0.0]
        self._items: dict[AskKey, WaitingRequest] = {}
        self._classes = {item: _PriorityClass(item) for item in Priority}
        self._virtual = 0.0
        self._latest: SortedList = SortedList()
        self._by_front: dict[str, set[AskKey]] = {}
        self._sequence = 0

    @property
    def cost(self) -> float:
        """Return the cost of all that waits."""
        return sum(self._lane_costs)

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
        self._lane_costs[item.long] += item.ask.cost

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

    def estimate_wait(self, ask: Ask, long: bool, pace: Pace) -> float:
        """Return the seconds that one more request of an account would wait."""
        flow = self._classes[ask.priority].flows.get(ask.account)
        if flow is None:
            return 0.0
        return self._estimate(flow, ask.priority, long, 0.0, pace)

    def list_tails(self, pace: Pace) -> list[tuple[WaitingRequest, float]]:
        """Return the last requests of each account with their estimated waits."""
        tails = []
        for priority, group in self._classes.items():
            for flow in group.flows.values():
                for long, lane in enumerate(flow.lanes):
                    if not lane.items:
                        continue
                    last = next(reversed(lane.items.values()))
                    own = last.ask.cost
                    wait = self._estimate(flow, priority, bool(long), own, pace)
                    tails.append((last, wait))
        return tails

    def _estimate(
        self, flow: _Flow, priority: Priority, long: bool, own: float, pace: Pace
    ) -> float:
        """Return the seconds until the work of a flow that waits has been served.

        An account whose requests have waited for a while goes on as it was served. For
        another it is the lesser of all waiting work and of its own over its fair share.

        :param own: waiting work of the flow that doesn't count.
        """
        lane = flow.lanes[long]
        served = lane.served.measure(pace.now)
        if served is not None:
            return (lane.cost - own) / max(served, pace.rate * LEAST_RATE_SHARE)
        group = self._classes[priority]
        classes = sum(item.weight for item in self._classes.values() if item.flows)
        share = flow.weight / group.flow_weight * group.weight / classes
        if pace.long_rate is None:
            ahead, total, rate = sum(i.cost for i in flow.lanes), self.cost, pace.rate
        else:
            ahead, total = lane.cost, self._lane_costs[long]
            rate = pace.long_rate if long else pace.rate
        return max(0.0, min(total, (ahead - own) / share)) / rate

    def _forget(self, item: WaitingRequest) -> None:
        del self._items[item.key]
        self._latest.remove((item.latest, item.sequence, item.key))
        keys = self._by_front[item.ask.front]
        keys.discard(item.key)
        if not keys:
            del self._by_front[item.ask.front]
        self._lane_costs[item.long] -= item.ask.cost
        if not self._items:
            if abs(self.cost) > ROUNDING:
                raise InvariantBroken(f"an empty queue holds work of {self.cost}")
            self._lane_costs = [0.0, 0.0]
