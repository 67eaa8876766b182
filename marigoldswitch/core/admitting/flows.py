"""Start-time fair queueing over client accounts.

Handles a few client accounts that offer most of the load. In order of arrival, they
would take most of the capacity.

A flow is charged its request's cost over its weight when the request is dequeued, so
that a cancelled or expired request costs its account nothing (Goyal, Vin, Cheng 1996).
Every operation is O(log n) in the number of waiting requests.
"""

import heapq
from typing import Any, Generic, Protocol, TypeVar

from sortedcontainers import SortedDict, SortedList

from marigoldswitch.core.ids import AccountId
from marigoldswitch.core.pace import ServiceRate


class FlowItem(Protocol):
    """A waiting request."""

    @property
    def account(self) -> AccountId:
        """Return its client account."""
        ...

    @property
    def weight(self) -> float:
        """Return the weight of its account."""
        ...

    @property
    def cost(self) -> float:
        """Return the cost of its work."""
        ...

    @property
    def long(self) -> bool:
        """Return whether it is queued apart from short work."""
        ...

    @property
    def sequence(self) -> Any:
        """Return its unique, sortable place among the requests of its account."""
        ...


ItemT = TypeVar("ItemT", bound=FlowItem)


class Lane(Generic[ItemT]):
    """The short or the long requests of one flow, in order of their sequence."""

    def __init__(self, now: float) -> None:
        self.items: SortedDict = SortedDict()
        self.head: tuple[float, Any, AccountId] | None = None
        """Sort key of the first request: virtual start, sequence, account."""
        self.cost = 0.0
        self.service_rate = ServiceRate(now)

    @property
    def first(self) -> ItemT | None:
        """Return the first request."""
        return self.items.peekitem(0)[1] if self.items else None

    def add(self, item: ItemT) -> None:
        """Add a request."""
        self.items[item.sequence] = item
        self.cost += item.cost

    def remove(self, item: ItemT) -> None:
        """Remove a request."""
        del self.items[item.sequence]
        self.cost = self.cost - item.cost if self.items else 0.0


class Flow(Generic[ItemT]):
    """The waiting requests of one client account in one class; removed when empty."""

    def __init__(
        self, account: AccountId, weight: float, virtual_finish: float, now: float
    ) -> None:
        self.account = account
        self.weight = weight
        self.virtual_finish = virtual_finish
        self.lanes = (Lane[ItemT](now), Lane[ItemT](now))

    def __len__(self) -> int:
        return sum(len(lane.items) for lane in self.lanes)


class FairFlows(Generic[ItemT]):
    """The flows of one priority, ordered by virtual start time."""

    def __init__(self) -> None:
        self.flows: dict[AccountId, Flow[ItemT]] = {}
        self.flow_weight = 0.0
        self._virtual_time = 0.0
        self._virtual_finishes: dict[AccountId, float] = {}
        self._heads: tuple[SortedList, SortedList] = (SortedList(), SortedList())

    def push(self, item: ItemT, now: float) -> None:
        """Enqueue a request.

        :param now: monotonic seconds.
        """
        flow = self.flows.get(item.account)
        if flow is None:
            finish = self._virtual_finishes.pop(item.account, 0.0)
            flow = Flow[ItemT](item.account, item.weight, finish, now)
            self.flows[item.account] = flow
            self.flow_weight += flow.weight
        flow.lanes[item.long].add(item)
        self._insert_head(flow, item.long)

    def remove(self, item: ItemT) -> None:
        """Remove a request at any position without charging its account."""
        flow = self.flows[item.account]
        flow.lanes[item.long].remove(item)
        self._insert_head(flow, item.long)
        self._remove_if_empty(flow)

    def find(self, allow_long: bool) -> ItemT | None:
        """Return the next request of the class."""
        heads = [lane[0] for lane in self._heads[: 1 + allow_long] if lane]
        if not heads:
            return None
        _, _, account = head = min(heads)
        lanes = self.flows[account].lanes
        lane = lanes[0] if lanes[0].head == head else lanes[1]
        return lane.first

    def list_heads(self) -> list[ItemT]:
        """Return the first short and first long request of each account, in order."""
        heads = heapq.merge(*self._heads)
        found = []
        for _, sequence, account in heads:
            lanes = self.flows[account].lanes
            found += [lane.items[sequence] for lane in lanes if sequence in lane.items]
        return found

    def take(self, item: ItemT, now: float) -> None:
        """Dequeue the next request and charge its flow."""
        flow = self.flows[item.account]
        lane = flow.lanes[item.long]
        assert lane.head is not None
        self._virtual_time = max(self._virtual_time, lane.head[0])
        flow.virtual_finish = self._virtual_time + item.cost / flow.weight
        lane.remove(item)
        lane.service_rate.add(item.cost, now)
        for long in (False, True):
            self._remove_head(flow.lanes[long], long)
            self._insert_head(flow, long)
        self._remove_if_empty(flow)

    def take_directly(self, item: ItemT, now: float) -> None:
        """Charge the flow of a request that is served without having waited."""
        if self.flows:
            self.push(item, now)
            self.take(item, now)
            return
        finish = self._virtual_finishes.get(item.account, 0.0)
        self._virtual_time = max(self._virtual_time, finish)
        finish = self._virtual_time + item.cost / item.weight
        self._virtual_finishes[item.account] = finish
        self._forget_past()

    def charge(self, account: AccountId, weight: float, cost: float) -> None:
        """Charge an account for work that takes none of the capacity shared here.

        Its next requests come that much later; the other accounts aren't affected.
        """
        flow = self.flows.get(account)
        if flow is None:
            start = max(self._virtual_time, self._virtual_finishes.get(account, 0.0))
            self._virtual_finishes[account] = start + cost / weight
            return
        flow.virtual_finish = max(self._virtual_time, flow.virtual_finish)
        flow.virtual_finish += cost / weight
        for long, lane in enumerate(flow.lanes):
            if lane.head is not None:
                start, sequence, _ = lane.head
                self._heads[long].remove(lane.head)
                lane.head = (start + cost / weight, sequence, account)
                self._heads[long].add(lane.head)

    def count_rivals(self, account: AccountId) -> int:
        """Return the other accounts whose next request goes before one of an account.

        The request is assumed to arrive now.
        """
        flow = self.flows.get(account)
        if flow is not None:
            starts = [lane.head[0] for lane in flow.lanes if lane.head is not None]
            start = min(starts)
        else:
            finish = self._virtual_finishes.get(account, 0.0)
            start = max(self._virtual_time, finish)
        return sum(
            head[0] <= start and head[2] != account
            for heads in self._heads
            for head in heads
        )

    def _insert_head(self, flow: Flow[ItemT], long: bool) -> None:
        """Update the position of a lane's first request in the class order."""
        lane = flow.lanes[long]
        first = lane.first
        if lane.head and first and lane.head[1] == first.sequence:
            return
        start = (
            lane.head[0] if lane.head else max(self._virtual_time, flow.virtual_finish)
        )
        self._remove_head(lane, long)
        if first is not None:
            lane.head = (start, first.sequence, flow.account)
            self._heads[long].add(lane.head)

    def _remove_head(self, lane: Lane, long: bool) -> None:
        if lane.head is not None:
            self._heads[long].remove(lane.head)
            lane.head = None

    def _remove_if_empty(self, flow: Flow[ItemT]) -> None:
        """Remove a flow if empty; a virtual finish in the future is kept."""
        if len(flow):
            return
        del self.flows[flow.account]
        self.flow_weight -= flow.weight
        if not self.flows:
            self.flow_weight = 0.0
        if flow.virtual_finish > self._virtual_time:
            self._virtual_finishes[flow.account] = flow.virtual_finish
        self._forget_past()

    def _forget_past(self) -> None:
        """Drop virtual finishes in the past once there are many."""
        if len(self._virtual_finishes) > 2 * len(self.flows) + 64:
            self._virtual_finishes = {
                name: finish
                for name, finish in self._virtual_finishes.items()
                if finish > self._virtual_time
            }
