"""What callers get while capacity is short, in plays of hosts that share engines.

Guards against urgent requests that are late as often as others, an account that takes
the capacity of all, and refused callers that are refused again when they return.
"""

import asyncio

import pytest
import structlog

from marigoldswitch.tests.admission_plays import (
    MAX_WAIT,
    TOKENS,
    is_served,
    measure_share,
    play,
)

SEEDS = (1, 2)


@pytest.fixture(autouse=True)
def quiet(monkeypatch):
    """Leave out the log lines of thousands of requests."""
    with structlog.testing.capture_logs():
        yield


def draw(rng):
    """Return the fields of a request of three kinds and one large account."""
    return {
        "priority": rng.choice((0, 1, 2)),
        "account": "big" if rng.random() < 0.6 else f"s{rng.randrange(12)}",
        "tokens": int(TOKENS * rng.lognormvariate(-0.1, 0.45)),
    }


def select(calls, **fields):
    return [
        call
        for call in calls
        if all(getattr(call, name) == value for name, value in fields.items())
    ]


def is_served_at_once(call):
    return is_served(call) and not call.told


def check_bounds(result):
    """Assert what holds in all plays."""
    waits = [c.admitted - c.arrivals[-1] for c in result.calls if is_served(c)]
    assert max(waits) <= MAX_WAIT + 0.05
    # No refusal waits for longer than a request may wait for room.
    assert max(x for c in result.calls for x in c.refused_after) <= MAX_WAIT + 0.05
    assert result.repeated == 0


@pytest.mark.parametrize("seed", SEEDS)
def test_burst_is_borne_by_the_less_urgent_requests(seed):
    async def burst(site):
        await site.offer(15, 5, draw)
        await site.offer(40, 5, draw)
        await site.offer(12, 8, draw)

    after, before = (play(burst, seed=seed, shared=item) for item in (True, False))
    urgent = measure_share(select(after.calls, priority=0), is_served_at_once)
    urgent_before = measure_share(select(before.calls, priority=0), is_served_at_once)
    assert urgent >= urgent_before
    assert measure_share(select(after.calls, priority=0)) >= 0.9
    overall = measure_share(after.calls)
    assert overall >= measure_share(before.calls) - 0.05
    for priority in (1, 2):
        share = measure_share(select(after.calls, priority=priority))
        assert share >= 0.25 * overall
    check_bounds(after)


@pytest.mark.parametrize("seed", SEEDS)
def test_loss_of_a_third_of_the_engines_leaves_urgent_requests_on_time(seed):
    async def lose(site):
        await site.offer(17, 5, draw)
        site.lose_engines(["e0-0", "e0-4"])
        await site.offer(17, 10, draw)

    result = play(lose, seed=seed)
    assert measure_share(select(result.calls, priority=0)) >= 0.9
    returned = [call for call in result.calls if call.told]
    assert measure_share(returned) >= 0.4
    check_bounds(result)


@pytest.mark.parametrize("seed", SEEDS)
def test_large_account_does_not_take_the_capacity_of_the_small_ones(seed):
    def draw_account(rng):
        is_big = rng.random() < 0.8
        return {"account": "big" if is_big else f"s{rng.randrange(8)}"}

    result = play(lambda site: site.offer(30, 15, draw_account), seed=seed)
    big = measure_share(select(result.calls, account="big"))
    small = measure_share(call for call in result.calls if call.account != "big")
    assert small >= big - 0.03
    assert big >= 0.25 * measure_share(result.calls)
    check_bounds(result)


@pytest.mark.parametrize("seed", SEEDS)
def test_caller_that_retries_at_once_at_a_host_is_served_less_than_others(seed):
    async def mix(site):
        good = site.offer(12, 12, lambda rng: {"account": f"good{rng.randrange(6)}"})
        bad = site.offer(
            12,
            12,
            lambda rng: {"account": f"bad{rng.randrange(6)}"},
            retries=15,
            honours=False,
            is_sticky=True,
        )
        await asyncio.gather(good, bad)

    result = play(mix, seed=seed)
    good = measure_share(c for c in result.calls if c.account.startswith("good"))
    bad = measure_share(c for c in result.calls if c.account.startswith("bad"))
    assert good >= bad


@pytest.mark.parametrize("seed", SEEDS)
def test_long_work_takes_no_capacity_of_the_short(seed):
    def draw_work(rng):
        if rng.random() < 0.1:
            return {"account": "long", "tokens": 2_500, "run_seconds": 6.0}
        return {"account": f"s{rng.randrange(8)}"}

    result = play(lambda site: site.offer(20, 12, draw_work), seed=seed)
    short = measure_share(c for c in result.calls if c.account != "long")
    assert short >= 0.85


def test_priority_below_most_of_the_requests_gets_a_quarter_of_the_overall_share():
    def draw_urgent(rng):
        priority = 0 if rng.random() < 0.7 else 2
        return {"priority": priority, "account": f"s{rng.randrange(12)}"}

    result = play(lambda site: site.offer(80, 12, draw_urgent), seed=1)
    last = measure_share(select(result.calls, priority=2))
    assert last >= 0.25 * measure_share(result.calls)
    assert last < measure_share(select(result.calls, priority=0))


def test_calm_traffic_waits_for_nothing():
    result = play(lambda site: site.offer(10, 10, draw), seed=1)
    waits = [call.admitted - call.arrivals[0] for call in result.calls]
    assert max(waits) <= 0.002


def test_host_cut_off_from_the_others_goes_on_serving():
    async def cut(site):
        await site.offer(15, 3, draw)
        for host in site.hosts[:4]:
            host.cut_off = True
        await site.offer(22, 8, draw)

    result = play(cut, seed=1)
    assert measure_share(result.calls) >= 0.6
    assert measure_share(select(result.calls, priority=0)) >= 0.8


@pytest.mark.parametrize("seed", SEEDS)
def test_resumed_streams_go_first_after_all_hosts_have_started(seed):
    def draw_start(rng):
        return {
            "is_resumed": rng.random() < 0.4,
            "priority": rng.randrange(2),
            "run_seconds": rng.uniform(0.5, 3.5),
        }

    async def start(site):
        await site.offer(200, 0.5, draw_start)

    after, before = (play(start, seed=seed, shared=item) for item in (True, False))
    resumed = select(after.calls, is_resumed=True)
    fresh = measure_share(select(after.calls, is_resumed=False), is_served_at_once)
    assert measure_share(resumed, is_served_at_once) > fresh
    assert measure_share(resumed) >= 0.95
    assert measure_share(after.calls) >= measure_share(before.calls)
    assert after.refusals < before.refusals
