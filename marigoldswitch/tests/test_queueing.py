"""Tests of the queue: no lost requests, fairness among accounts, no starvation."""

from collections import Counter

import pytest
from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from marigoldswitch.core.admitting import queueing
from marigoldswitch.core.admitting.queueing import FairQueue, WaitingRequest
from marigoldswitch.core.catalogue import Priority
from marigoldswitch.core.ledger import InvariantViolation
from marigoldswitch.core.pace import Pace
from marigoldswitch.tests.helpers import build_ask


def build_item(name, deadline=100.0, long=False, front="host-0", **changes):
    ask = build_ask(name, front, **changes)
    return WaitingRequest(ask, 0.0, deadline, latest=deadline, long=long)


def drain(queue, most, allow_long=True):
    taken = []
    while len(taken) < most and (item := queue.peek(allow_long)) is not None:
        queue.take(item, 0.0)
        taken.append(item)
    return taken


def test_heavy_account_takes_no_more_than_its_share():
    queue = FairQueue()
    for number in range(100):
        queue.push(build_item(f"h{number}", account="heavy"))
    for number in range(10):
        queue.push(build_item(f"l{number}", account="light"))
    first = Counter(item.ask.account for item in drain(queue, 20))
    assert first == {"heavy": 10, "light": 10}


def test_weights_and_costs_set_the_shares():
    queue = FairQueue()
    for number in range(120):
        queue.push(build_item(f"a{number}", account="a", weight=3.0))
        queue.push(build_item(f"b{number}", account="b", weight=1.0, cost=2.0))
    taken = drain(queue, 70)
    counts = Counter(item.ask.account for item in taken)
    assert counts["a"] == pytest.approx(60, abs=2)
    assert counts["b"] == pytest.approx(10, abs=2)


def test_no_class_starves_and_its_longest_wait_is_as_stated():
    queue = FairQueue()
    for number in range(2000):
        for priority in Priority:
            queue.push(build_item(f"{priority}-{number}", priority=priority))
    taken = [item.ask.priority for item in drain(queue, 420)]
    assert Counter(taken) == {Priority.HIGH: 320, Priority.NORMAL: 80, Priority.LOW: 20}
    turns = [index for index, item in enumerate(taken) if item is Priority.LOW]
    gaps = [after - before for before, after in zip(turns, turns[1:], strict=False)]
    assert max(gaps) <= 21


def test_high_class_below_its_share_waits_for_nobody():
    queue = FairQueue()
    for number in range(500):
        queue.push(build_item(f"low{number}", priority=Priority.LOW))
    for number in range(100):
        queue.push(build_item(f"high{number}", priority=Priority.HIGH))
        taken = drain(queue, 2)
        assert Priority.HIGH in [item.ask.priority for item in taken]


def test_long_work_lets_short_work_of_its_own_account_pass():
    queue = FairQueue()
    queue.push(build_item("long", long=True, cost=30.0))
    queue.push(build_item("short"))
    assert queue.peek(allow_long=False).ask.request == "short"
    assert queue.peek(allow_long=True).ask.request == "long"
    assert [i.ask.request for i in drain(queue, 2, allow_long=False)] == ["short"]


def test_cancelled_work_is_not_charged():
    queue = FairQueue()
    for number in range(50):
        queue.push(build_item(f"c{number}", account="a"))
        queue.remove((f"c{number}", 1))
    queue.push(build_item("b0", account="b"))
    queue.push(build_item("a0", account="a"))
    queue.push(build_item("b1", account="b"))
    assert [i.ask.request for i in drain(queue, 3)] == ["b0", "a0", "b1"]


def test_memory_is_bounded_and_small_accounts_still_get_in(monkeypatch):
    monkeypatch.setattr(queueing, "MAX_WAITING", 100)
    queue = FairQueue()
    for number in range(1000):
        for account in ("heavy", "heavy", "light"):
            item = build_item(f"{account}{number}-{len(queue)}", account=account)
            if queue.has_space(account, item.ask.priority):
                queue.push(item)
    assert len(queue) <= 200
    assert queue.has_space("newcomer", Priority.NORMAL)
    assert not queue.has_space("heavy", Priority.NORMAL)


class QueueMachine(RuleBasedStateMachine):
    """Compares the queue with a dictionary of the requests that must be waiting."""

    def __init__(self):
        super().__init__()
        self.queue = FairQueue()
        self.model = {}
        self.now = 0.0
        self.count = 0

    @rule(
        account=st.sampled_from("abc"),
        priority=st.sampled_from(Priority),
        cost=st.floats(0.1, 30.0),
        weight=st.sampled_from([0.5, 1.0, 4.0]),
        long=st.booleans(),
        patience=st.floats(0.1, 5.0),
        front=st.sampled_from(["host-0", "host-1"]),
    )
    def push(self, account, priority, cost, weight, long, patience, front):
        self.count += 1
        item = build_item(
            f"r{self.count}",
            self.now + patience,
            long,
            front,
            account=account,
            priority=priority,
            cost=cost,
            weight=weight,
        )
        self.queue.push(item)
        self.model[item.key] = item

    @precondition(lambda self: self.model)
    @rule(data=st.data())
    def cancel(self, data):
        key = data.draw(st.sampled_from(sorted(self.model)))
        assert self.queue.remove(key) is self.model.pop(key)
        assert self.queue.remove(key) is None

    @precondition(lambda self: self.model)
    @rule(data=st.data())
    def push_again(self, data):
        item = self.model[data.draw(st.sampled_from(sorted(self.model)))]
        with pytest.raises(InvariantViolation):
            self.queue.push(item)

    @rule(allow_long=st.booleans())
    def take(self, allow_long):
        item = self.queue.peek(allow_long)
        eligible = [i for i in self.model.values() if allow_long or not i.long]
        assert (item is None) == (not eligible)
        if item is not None:
            assert allow_long or not item.long
            same = [
                other
                for other in eligible
                if (other.ask.account, other.ask.priority, other.long)
                == (item.ask.account, item.ask.priority, item.long)
            ]
            assert item.sequence == min(other.sequence for other in same)
            self.queue.take(item, 0.0)
            assert self.model.pop(item.key) is item

    @rule(seconds=st.floats(0.0, 2.0))
    def wait(self, seconds):
        self.now += seconds
        expired = {item.key for item in self.queue.pop_expired(self.now)}
        assert expired == {k for k, i in self.model.items() if i.latest <= self.now}
        for key in expired:
            del self.model[key]

    @rule(front=st.sampled_from(["host-0", "host-1"]))
    def lose_front(self, front):
        lost = {item.key for item in self.queue.remove_front(front)}
        assert lost == {k for k, i in self.model.items() if i.ask.front == front}
        for key in lost:
            del self.model[key]

    @invariant()
    def nothing_is_lost(self):
        assert set(self.queue) == set(self.model)
        cost = sum(item.ask.cost for item in self.model.values())
        assert self.queue.cost == pytest.approx(cost, abs=1e-6)
        pace = Pace(1.0, 1.0, self.now)
        tails = {item.key for item in self.queue.list_tails()}
        flows = {(i.ask.account, i.ask.priority, i.long) for i in self.model.values()}
        assert len(tails) == len(flows)
        assert tails <= set(self.model)
        for key in tails:
            assert self.queue.estimate_tail(self.model[key], pace) >= 0.0
            assert self.queue.find_last(self.model[key]) is self.model[key]

    def teardown(self):
        drain(self.queue, 10_000)
        assert self.queue.cost == 0.0


TestQueue = QueueMachine.TestCase
TestQueue.settings = settings(stateful_step_count=40)
