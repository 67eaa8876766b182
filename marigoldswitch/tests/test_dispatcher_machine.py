"""Stateful test of the dispatcher: any order of events, each ask answered once."""

import itertools
from collections import Counter

import pytest
from hypothesis import settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from marigoldswitch.core.dispatcher import (
    Dispatcher,
    DispatcherStarted,
    HostLost,
    PoolClosed,
    Send,
    TargetsChanged,
    Tick,
)
from marigoldswitch.core.messages import (
    Cancel,
    Deny,
    Grant,
    HeldPermit,
    Holdings,
    PermitCheck,
    PermitsUnknown,
    Release,
    TargetReport,
)
from marigoldswitch.core.pool import TargetPool
from marigoldswitch.tests.helpers import BOOKINGS, HOBART, build_ask, build_target

FRONTS = ("host-0", "host-1", "host-2")
NAMES = ("a", "b", "c")


class DispatcherMachine(RuleBasedStateMachine):
    """Fronts that ask, cancel, release, lose messages and fail; targets that change."""

    def __init__(self):
        super().__init__()
        numbers = itertools.count()
        self.dispatcher = Dispatcher(
            "host-0",
            BOOKINGS,
            HOBART,
            TargetPool(BOOKINGS, {}),
            lambda: f"p{next(numbers)}",
        )
        self.now = 0.0
        self.open = {}
        self.granted = {}
        self.lost_grants = set()
        self.count = 0
        self.foreign = 0

    @initialize()
    def begin(self):
        targets = tuple(build_target(name) for name in NAMES)
        self.feed(TargetsChanged(targets, frozenset()))

    def feed(self, event):
        limits = {}
        for action in self.dispatcher.handle(event, self.now):
            if not isinstance(action, Send):
                continue
            message = action.message
            match message:
                case Grant():
                    self.take_grant(action.host, message, limits)
                case Deny():
                    ask = self.open.pop((message.request, message.attempt))
                    assert ask.front == action.host
                    assert 0.0 < message.retry_after <= 60.0
                case PermitCheck():
                    held = {p for p, g in self.granted.items() if g[0] == action.host}
                    gone = set(message.permits) - held
                    self.pending_check = PermitsUnknown(
                        BOOKINGS.name, HOBART, action.host, tuple(sorted(gone))
                    )

    def take_grant(self, host, grant, limits):
        if grant.permit in self.granted or grant.permit in self.lost_grants:
            return
        ask = self.open.pop((grant.request, grant.attempt))
        assert ask.front == host
        self.granted[grant.permit] = (host, grant, ask)
        for name in grant.targets:
            state = self.dispatcher.pool.states[name]
            limits[name] = state
            assert not state.leaving

    @rule(
        front=st.sampled_from(FRONTS),
        account=st.sampled_from("ab"),
        cost=st.sampled_from([0.5, 1.0, 30.0]),
        remaining=st.floats(0.0, 20.0),
        avoid=st.sets(st.sampled_from(NAMES)),
        patience=st.one_of(st.none(), st.floats(0.0, 3.0)),
    )
    def ask(self, front, account, cost, remaining, avoid, patience):
        self.count += 1
        ask = build_ask(
            f"r{self.count}",
            front,
            account=account,
            cost=cost,
            remaining=remaining,
            avoid=tuple(sorted(avoid)),
            patience=patience,
        )
        self.open[(ask.request, 1)] = ask
        self.feed(ask)

    @precondition(lambda self: self.open or self.granted)
    @rule(data=st.data())
    def ask_again(self, data):
        asks = [*self.open.values(), *(item[2] for item in self.granted.values())]
        ask = data.draw(st.sampled_from(sorted(asks, key=lambda item: item.request)))
        before = len(self.dispatcher.permits), len(self.dispatcher.waiting)
        self.feed(ask)
        assert (len(self.dispatcher.permits), len(self.dispatcher.waiting)) == before

    @precondition(lambda self: self.open)
    @rule(data=st.data())
    def cancel(self, data):
        key = data.draw(st.sampled_from(sorted(self.open)))
        ask = self.open.pop(key)
        self.feed(Cancel(*key, BOOKINGS.name, ask.front))

    @precondition(lambda self: self.granted)
    @rule(data=st.data(), failed=st.booleans(), seconds=st.floats(0.0, 5.0))
    def release(self, data, failed, seconds):
        permit = data.draw(st.sampled_from(sorted(self.granted)))
        front, grant, _ = self.granted.pop(permit)
        reports = tuple(
            TargetReport(name, seconds, failed=failed) for name in grant.targets
        )
        release = Release(permit, BOOKINGS.name, front, seconds, reports)
        self.feed(release)
        self.feed(release)

    @precondition(lambda self: self.granted)
    @rule(data=st.data())
    def lose_grant(self, data):
        permit = data.draw(st.sampled_from(sorted(self.granted)))
        del self.granted[permit]
        self.lost_grants.add(permit)

    @rule(seconds=st.sampled_from([0.0, 0.05, 1.0, 11.0]))
    def wait(self, seconds):
        self.now += seconds
        self.pending_check = None
        self.feed(Tick())
        if self.pending_check is not None:
            self.lost_grants -= set(self.pending_check.permits)
            self.feed(self.pending_check)

    @rule(front=st.sampled_from(FRONTS))
    def lose_front(self, front):
        self.open = {k: a for k, a in self.open.items() if a.front != front}
        mine = {p for p, item in self.granted.items() if item[0] == front}
        permits = self.dispatcher.permits.values()
        self.lost_grants -= {item.id for item in permits if item.front == front}
        self.granted = {p: i for p, i in self.granted.items() if p not in mine}
        self.feed(HostLost(front))

    @rule(
        names=st.sets(st.sampled_from(NAMES)),
        leaving=st.sets(st.sampled_from(NAMES)),
        slots=st.integers(1, 3),
    )
    def change_targets(self, names, leaving, slots):
        targets = tuple(build_target(name, slots=slots) for name in sorted(names))
        self.feed(TargetsChanged(targets, frozenset(leaving)))

    @rule(front=st.sampled_from(FRONTS))
    def rebuild(self, front):
        self.feed(DispatcherStarted(frozenset(FRONTS)))
        self.foreign += 1
        held = HeldPermit(f"foreign-{self.foreign}", f"f{self.foreign}", ("a",))
        message = Holdings(BOOKINGS.name, HOBART, front, (held,), ())
        self.feed(message)
        if held.permit in self.dispatcher.permits:
            self.lost_grants.add(held.permit)

    @rule()
    def close(self):
        self.feed(PoolClosed())
        assert not self.open

    @invariant()
    def every_ask_waits_or_is_answered(self):
        waiting = set(self.dispatcher.waiting) | set(self.dispatcher.parked)
        assert waiting == set(self.open)
        assert set(self.dispatcher.permits) == set(self.granted) | self.lost_grants

    @invariant()
    def counts_are_the_permits(self):
        held = Counter(
            name for p in self.dispatcher.permits.values() for name in p.targets
        )
        for name, state in self.dispatcher.pool.states.items():
            assert state.held == held[name]
        long = sum(item.long for item in self.dispatcher.permits.values())
        assert self.dispatcher.occupancy.long_count == long
        cost = sum(item.cost for item in self.dispatcher.permits.values())
        assert self.dispatcher.occupancy.cost == pytest.approx(cost, abs=1e-6)

    def teardown(self):
        for front in FRONTS:
            self.feed(HostLost(front))
        assert not self.dispatcher.permits
        assert self.dispatcher.occupancy.cost == 0.0
        assert all(item.held == 0 for item in self.dispatcher.pool.states.values())


TestDispatcher = DispatcherMachine.TestCase
TestDispatcher.settings = settings(stateful_step_count=40)
