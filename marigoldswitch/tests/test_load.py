"""Goodput, waits, refusals and fairness of a dispatcher under various loads."""

import pytest

from marigoldswitch.core.catalogue import Priority
from marigoldswitch.tests.plays import Simulation, compute_jain_index, get_quantile

SEEDS = (1, 2, 3)


def list_waits(lives):
    return [life.granted - life.arrived for life in lives if life.granted is not None]


def list_refusals(lives):
    return [life.refused - life.arrived for life in lives if life.refused is not None]


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("load", [1.0, 1.5, 3.0, 10.0])
def test_saturation_keeps_the_goodput_and_refuses_at_once(load, seed):
    play = Simulation(seed=seed)
    for number in range(10):
        account = f"a{number}"
        play.offer(load * play.capacity / 10, 15.0, account=account, remaining=5.0)
    play.run(30.0)
    assert play.measure_goodput(5.0, 15.0) >= 0.95 * min(1.0, load)
    lives = play.list_records()
    assert all(life.granted or life.refused is not None for life in lives)
    refused = list_refusals(lives)
    if refused:
        assert get_quantile(refused, 0.99) < 0.1
        assert all(life.retry_after > 0.0 for life in lives if life.refused)
    late = [life for life in lives if life.ended is not None and not life.in_time]
    assert len(late) <= 0.01 * len(lives)


@pytest.mark.parametrize("seed", SEEDS)
def test_account_that_offers_ten_times_as_much_gets_no_more(seed):
    play = Simulation(seed=seed)
    for number in range(10):
        rate = 0.2 * play.capacity * (10.0 if number == 0 else 1.0)
        play.offer(rate, 20.0, account=f"a{number}", remaining=5.0)
    play.run(30.0)
    shares = play.sum_served_cost(5.0, 20.0)
    assert compute_jain_index(shares.values()) >= 0.95


@pytest.mark.parametrize("seed", SEEDS)
def test_light_account_does_not_wait_behind_a_heavy_one(seed):
    play = Simulation(seed=seed)
    play.offer(3.0 * play.capacity, 15.0, account="heavy", remaining=5.0)
    play.offer(0.1 * play.capacity, 15.0, account="light", remaining=5.0)
    play.run(25.0)
    light = play.list_records(account="light")
    assert not list_refusals(light)
    assert get_quantile(list_waits(light), 0.99) < 0.1


@pytest.mark.parametrize("seed", SEEDS)
def test_burst_is_served_late_rather_than_refused(seed):
    play = Simulation(seed=seed)
    play.offer(0.4 * play.capacity, 60.0, account="steady", remaining=60.0)
    play.offer(9.6 * play.capacity, 5.0, start=5.0, account="burst", remaining=120.0)
    play.run(120.0)
    steady, burst = (
        play.list_records(account="steady"),
        play.list_records(account="burst"),
    )
    assert not list_refusals(steady)
    assert get_quantile(list_waits(steady), 0.99) < 0.3
    assert sum(life.in_time for life in burst) >= 0.95 * len(burst)


@pytest.mark.parametrize("seed", SEEDS)
def test_long_work_hardly_delays_short_work(seed):
    def measure(with_long):
        play = Simulation(targets=15, slots=8, seed=seed)
        rate = 0.92 * play.capacity / (0.95 + 0.05 * 30.0)
        play.offer(0.95 * rate, 40.0, account="short", remaining=60.0)
        if with_long:
            play.offer(0.05 * rate, 40.0, account="long", cost=30.0, remaining=60.0)
        else:
            rest = 0.92 * play.capacity - 0.95 * rate
            play.offer(rest, 40.0, account="other", remaining=60.0)
        play.run(70.0)
        assert not list_refusals(play.list_records())
        return get_quantile(list_waits(play.list_records(account="short")), 0.99)

    assert measure(True) <= 2.0 * measure(False)


@pytest.mark.parametrize("seed", SEEDS)
def test_classes_share_saturation_as_stated(seed):
    play = Simulation(seed=seed)
    for priority in Priority:
        account = priority.name
        play.offer(
            play.capacity, 20.0, account=account, priority=priority, remaining=5.0
        )
    play.run(30.0)
    shares = play.sum_served_cost(5.0, 20.0)
    total = sum(shares.values())
    assert shares["HIGH"] / total == pytest.approx(16 / 21, abs=0.05)
    assert shares["LOW"] / total == pytest.approx(1 / 21, abs=0.02)


@pytest.mark.parametrize("seed", SEEDS)
def test_two_dispatchers_at_once_cost_only_efficiency(seed):
    play = Simulation(dispatchers=2, seed=seed)
    for number in range(10):
        account = f"a{number}"
        play.offer(0.3 * play.capacity, 15.0, account=account, remaining=5.0)
    play.run(30.0)
    lives = play.list_records()
    assert all(life.granted or life.refused is not None for life in lives)
    assert play.max_running <= 2 * 4
    assert play.measure_goodput(5.0, 15.0) >= 0.9


def test_short_deadlines_are_refused_rather_than_run_in_vain():
    play = Simulation()
    play.offer(3.0 * play.capacity, 20.0, remaining=0.5)
    play.run(30.0)
    started = [life for life in play.list_records() if life.granted is not None]
    assert sum(life.in_time for life in started) >= 0.9 * len(started)


def test_caller_that_retries_after_the_stated_wait_is_admitted():
    play = Simulation()
    play.offer(2.0 * play.capacity, 10.0, account="a", remaining=5.0)
    play.run(10.0)
    refused = [life for life in play.list_records() if life.refused is not None]
    wait = refused[-1].retry_after
    name = play.offer_one(refused[-1].refused + wait, account="a", remaining=5.0)
    play.run(30.0)
    assert play.records[name].in_time


def test_slowing_pool_refuses_early_what_it_cannot_serve_in_time():
    play = Simulation()
    for number in range(10):
        play.offer(2.0 * play.capacity, 10.0, account=f"a{number}", remaining=20.0)
    play.run(5.0)
    play.mean *= 10.0
    play.run(60.0)
    lives = play.list_records()
    queued = [life for life in lives if life.refused and life.refused > life.arrived]
    left = [life.ask.remaining - (life.refused - life.arrived) for life in queued]
    assert queued
    assert get_quantile(left, 0.1) > 5.0
    started = [life for life in lives if life.granted is not None]
    assert sum(life.in_time for life in started) >= 0.9 * len(started)
