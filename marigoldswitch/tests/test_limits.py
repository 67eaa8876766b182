"""Tests of the limits: they adapt to each kind of target and stay within bounds."""

import random
import statistics

import pytest
from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from marigoldswitch.core.limits import FIRST_PROBE_WINDOWS, Limiter, start_probe
from marigoldswitch.core.messages import TargetReport
from marigoldswitch.tests.helpers import build_state


def play_load(limiter, capacity, answers, load=1.0, seed=1, slowness=1.0):
    """Simulate a target whose latency grows once it holds more than its capacity.

    :returns: the median limit over the last half of the answers.
    """
    chance = random.Random(seed)
    now = 0.0
    limits = []
    for _ in range(answers):
        start_probe([limiter])
        limits.append(limiter.limit)
        held = max(1, int(load * limiter.limit))
        own = slowness * chance.lognormvariate(0.0, 0.5)
        seconds = own * max(1.0, held / capacity)
        now += seconds / held
        limiter.on_success(seconds, now, held)
    return statistics.median(limits[answers // 2 :])


@pytest.mark.parametrize("seed", range(5))
def test_kinds_find_different_limits(seed):
    limits = {}
    for capacity in (4, 8, 16):
        limiter = Limiter(32.0)
        play_load(limiter, capacity, 500, load=0.1, seed=seed)
        limits[capacity] = play_load(limiter, capacity, 10_000, seed=seed)
    for capacity, limit in limits.items():
        assert capacity <= limit <= 2.8 * capacity


def test_target_that_was_never_idle_is_probed():
    limiter = Limiter(32.0)
    assert play_load(limiter, 4, 20_000) <= 16
    assert limiter.baseline is not None


def test_limit_that_fits_is_left_alone():
    limits = {play_load(Limiter(8.0), 8, 20_000, seed=seed) for seed in range(5)}
    assert limits == {8.0}


def test_target_that_is_slower_at_any_load_keeps_its_limit():
    limiter = Limiter(8.0)
    play_load(limiter, 8, 2000, load=0.3)
    assert play_load(limiter, 8, 10_000, slowness=4.0) == 8.0


def test_one_target_of_a_pool_is_probed_at_a_time():
    limiters = [Limiter(8.0) for _ in range(4)]
    for limiter in limiters:
        for _ in range(50 * FIRST_PROBE_WINDOWS):
            limiter.on_success(1.0, 0.0, 8.0)
    start_probe(limiters)
    start_probe(limiters)
    assert [limiter.is_probing for limiter in limiters] == [True, False, False, False]


def test_timeouts_cost_more_than_refusals():
    refusing, failing = Limiter(32.0), Limiter(32.0)
    for second in range(4):
        refusing.on_refusal(float(second))
        failing.on_failure(float(second))
    assert refusing.limit == pytest.approx(32 * 0.8**4)
    assert failing.limit == 2.0


def test_limit_recovers_when_the_target_does():
    limiter = Limiter(32.0)
    play_load(limiter, 64, 500, load=0.1)
    for second in range(20):
        limiter.on_failure(float(second))
    assert limiter.limit == 1.0
    assert play_load(limiter, 64, 4000) == 32.0


def test_reports_reach_the_limit():
    state = build_state("a", slots=8)
    state.update_limit(TargetReport("a", -1.0, refused=True), 0.0)
    assert state.limit == pytest.approx(6.4)
    state.update_limit(TargetReport("a", -1.0, failed=True), 0.0)
    assert state.limit == pytest.approx(3.2)


class LimitMachine(RuleBasedStateMachine):
    """Answers, refusals, failures, probes and changes of slots in any order."""

    def __init__(self):
        super().__init__()
        self.limiter = Limiter(16.0)
        self.slots = 16.0
        self.now = 0.0

    @rule(
        seconds=st.floats(-1.0, 1e4),
        held=st.one_of(st.none(), st.floats(1.0, 40.0)),
        count=st.integers(1, 120),
    )
    def succeed(self, seconds, held, count):
        for _ in range(count):
            self.limiter.on_success(seconds, self.now, held)

    @rule(seconds=st.floats(0.0, 3.0))
    def refuse(self, seconds):
        self.now += seconds
        before = self.limiter.limit
        self.limiter.on_refusal(self.now)
        assert self.limiter.limit <= before

    @rule(seconds=st.floats(0.0, 3.0))
    def fail(self, seconds):
        self.now += seconds
        before = self.limiter.limit
        self.limiter.on_failure(self.now)
        assert self.limiter.limit <= before

    @rule(slots=st.integers(1, 64))
    def change_slots(self, slots):
        self.slots = float(slots)
        self.limiter.set_slots(self.slots)

    @rule()
    def probe(self):
        start_probe([self.limiter])

    @invariant()
    def stays_within_its_bounds(self):
        assert 1.0 <= self.limiter.limit <= self.slots


TestLimit = LimitMachine.TestCase
TestLimit.settings = settings(stateful_step_count=40)
