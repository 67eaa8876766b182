"""Runs small scenarios on virtual time with fixed seeds and checks the figures."""

from dataclasses import replace

import pytest

from marigoldswitch.tools.bench.figures import run_scenario
from marigoldswitch.tools.bench.plays import (
    LONG_COST,
    ONE_HEAVY_ACCOUNT,
    TWO_HEAVY_ACCOUNTS,
    Fault,
    Scenario,
)
from marigoldswitch.tools.bench.router import RouterFeatures

SMALL = Scenario("small", 1.0, seconds=30.0, warm_up=10.0, targets=8, slots=4, hosts=3)
ROUTER = "marigoldswitch"


def run(policy=ROUTER, seed=1, features=None, **changes):
    return run_scenario(replace(SMALL, **changes), policy, seed, features)


@pytest.mark.parametrize("load", [1.5, 4.0])
def test_saturation_wastes_no_work_and_refuses_at_once(load):
    figures = run(load=load)
    assert figures.goodput >= 0.97
    assert figures.late <= 0.02 * figures.done
    assert figures.refused > 0
    assert figures.refused_at < 0.05


def test_a_burst_is_taken_as_far_as_deadlines_allow():
    figures = run(load=0.6, burst=10.0)
    assert figures.goodput >= 0.95
    assert figures.late <= 0.01 * figures.done


@pytest.mark.parametrize("shares", [ONE_HEAVY_ACCOUNT, TWO_HEAVY_ACCOUNTS])
def test_a_heavy_account_takes_nothing_from_the_others(shares):
    figures = run(load=2.0, shares=shares)
    assert figures.jain >= 0.95
    assert figures.goodput >= 0.97


def test_slow_targets_cost_little_more_than_with_one_ideal_queue():
    router = run(load=0.85, slow_targets=1, seconds=90.0)
    ideal = run("ideal single queue", load=0.85, slow_targets=1, seconds=90.0)
    lagging = run(
        "two choices, lagging reports", load=0.85, slow_targets=1, seconds=90.0
    )
    assert router.waits["short"][99] <= 2.0 * ideal.waits["short"][99]
    assert router.waits["short"][99] <= 0.25 * lagging.waits["short"][99]


def test_long_work_does_not_hold_up_short_work():
    plain = run(load=0.85, seconds=120.0, deadline=30.0)
    mixed = run(load=0.85, seconds=120.0, deadline=30.0, long_share=0.05)
    bound = max(2.0 * plain.waits["short"][99], 0.1)
    assert mixed.waits["short"][99] <= bound
    assert LONG_COST == 30.0


def test_common_prefixes_are_served_from_caches_without_a_hot_target():
    router = run(load=0.92, prefixes=3)
    lagging = run("two choices, lagging reports", load=0.92, prefixes=3)
    assert router.waits["short"][99] <= 0.5 * lagging.waits["short"][99]
    assert router.goodput >= 0.97


@pytest.mark.parametrize("fault", [Fault.TARGET_LOST, Fault.TARGETS_REFUSE])
def test_lost_and_refusing_targets_fail_no_request(fault):
    figures = run(load=0.9, fault=fault)
    assert figures.failed == 0
    assert figures.attempts <= 1.2


def test_the_failure_of_most_targets_does_not_multiply_attempts():
    figures = run(load=0.9, fault=Fault.TARGETS_FAIL)
    assert figures.attempts <= 1.2
    assert figures.failed <= 0.1 * figures.done


def test_requests_that_fail_everywhere_do_not_take_the_targets_from_others():
    figures = run(load=0.8, poison_share=0.2)
    assert figures.goodput >= 0.97
    assert figures.attempts <= 1.2


@pytest.mark.parametrize("seed", [1, 2, 5, 8])
def test_loss_of_the_dispatcher_adds_less_than_a_second_and_fails_nothing(seed):
    baseline = run(load=0.8, seed=seed)
    figures = run(load=0.8, seed=seed, fault=Fault.DISPATCHER_LOST)
    assert figures.failed == figures.refused == figures.late == 0
    added = figures.waits["short"][100] - baseline.waits["short"][100]
    assert added < 1.0


def test_data_centres_cut_off_from_each_other_go_on():
    figures = run(load=0.6, fault=Fault.SPLIT, data_centres=2, hosts=4)
    assert figures.goodput >= 0.97
    assert figures.failed == figures.refused == 0


def test_the_same_seed_gives_the_same_figures():
    assert run(load=1.2) == run(load=1.2)


def test_the_bound_in_time_keeps_targets_from_working_for_callers_that_have_gone():
    without = run(load=3.0, features=RouterFeatures(bounded_queue=False))
    assert without.goodput < 0.9 < 0.97 <= run(load=3.0).goodput
    assert without.late > 10 * run(load=3.0).late
