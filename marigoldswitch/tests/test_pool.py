"""Tests of the pool: speeds, slow starts, ejection, prefixes, implausible lists."""

import pytest
from hypothesis import given, strategies as st

from marigoldswitch.core.catalogue import Load
from marigoldswitch.core.ledger import covers_in_order
from marigoldswitch.core.messages import TargetReport
from marigoldswitch.core.outliers import FIRST_EJECTION_SECONDS, Health
from marigoldswitch.core.pool import UNLISTED_SECONDS, TargetPool
from marigoldswitch.core.routing import choose_route
from marigoldswitch.tests.helpers import (
    BOOKINGS,
    DRAFTING,
    HOBART,
    build_ask,
    build_target,
)

NONE = frozenset()


def build_pool(*names, service=BOOKINGS, slots=8):
    pool = TargetPool(service, {})
    pool.replace_targets([build_target(n, slots=slots) for n in names], NONE, {})
    return pool


def fail(pool, name, now, count=3):
    for _ in range(count):
        pool.take_report(TargetReport(name, -1.0, failed=True), now)


def succeed(pool, name, now):
    pool.take_report(TargetReport(name, 0.1), now)


def count_room(pool, now, ask=None):
    """Hold permits until no target has room; return how many each target got."""
    taken = []
    while (route := pool.choose(ask or build_ask("r"), now)) is not None:
        pool.hold(route.targets)
        taken += route.targets
    pool.free(taken)
    return {name: taken.count(name) for name in sorted(set(taken))}


def test_a_slow_target_is_found_out_and_used_last():
    pool = build_pool("a", "b", "c")
    for number in range(60):
        name = "abc"[number % 3]
        pool.record_run((name,), 8.0 if name == "b" else 2.0, 1.0, number * 0.1)
    routes = []
    for _ in range(17):
        route = pool.choose(build_ask("r"), 10.0)
        pool.hold(route.targets)
        routes.append(route.targets[0])
    assert routes[:16].count("b") == 0
    assert routes[16] == "b"


def test_the_slow_stage_of_chains_is_found_out():
    pool = TargetPool(DRAFTING, {})
    cuts = ((0, 4), (4, 8), (8, 12))
    stages = [[f"s{i}{r}" for r in range(3)] for i in range(3)]
    pool.replace_targets(
        [
            build_target(n, cut)
            for cut, row in zip(cuts, stages, strict=True)
            for n in row
        ],
        NONE,
        {},
    )
    for number in range(270):
        chain = (
            stages[0][number % 3],
            stages[1][number // 3 % 3],
            stages[2][number // 9 % 3],
        )
        pool.record_run(chain, 6.0 if "s11" in chain else 3.0, 1.0, number * 0.01)
    seconds = {name: pool.rates.get_seconds(name) for row in stages for name in row}
    others = [value for name, value in seconds.items() if name != "s11"]
    assert seconds["s11"] > 2.0 * max(others)


def test_a_failing_target_is_ejected_probed_and_started_slowly():
    pool = build_pool("a", "b", "c", "d")
    fail(pool, "a", 1.0)
    assert "a" not in count_room(pool, 1.0)
    probing = 1.0 + FIRST_EJECTION_SECONDS
    assert count_room(pool, probing)["a"] == 1
    succeed(pool, "a", probing)
    assert count_room(pool, probing)["a"] == 1
    assert 1 < count_room(pool, probing + 4.0)["a"] < 8
    assert count_room(pool, probing + 9.0)["a"] == 8


def test_no_more_than_a_third_is_out_for_longer_than_a_rest():
    names = [f"t{number}" for number in range(9)]
    pool = build_pool(*names)
    for name in names:
        fail(pool, name, 1.0)
    assert pool.outliers.ejected == {"t0", "t1", "t2"}
    for step in range(1, 5):
        rooms = count_room(pool, 1.0 + step)
        assert rooms == dict.fromkeys(names[3:], 1)
        for name in names[3:]:
            fail(pool, name, 1.0 + step, count=1)
    succeed_at = 1.0 + FIRST_EJECTION_SECONDS
    pool.refresh(succeed_at)
    for name in names:
        succeed(pool, name, succeed_at)
    assert not pool.outliers.excluded


@pytest.mark.parametrize("count", [1, 50])
def test_a_single_target_is_asked_again_within_a_second_however_it_fails(count):
    pool = build_pool("a")
    for second in range(1, 20):
        fail(pool, "a", float(second), count)
        assert count_room(pool, second + 1.0)["a"] >= 1


def test_stages_that_fail_together_share_the_blame():
    pool = TargetPool(DRAFTING, {})
    pool.replace_targets(
        [build_target(f"{n}{r}", cut) for r in range(4)
         for n, cut in (("a", (0, 6)), ("b", (6, 12)))],
        NONE, {},
    )  # fmt: skip
    for number in range(6):
        chain = ("a0", f"b{number % 3}")
        pool.take_reports([TargetReport(n, -1.0, failed=True) for n in chain], 1.0)
        succeed(pool, f"b{number % 3}", 1.0)
    assert pool.outliers.get_health("a0") is Health.EJECTED
    assert pool.outliers.ejected == {"a0"}


def test_a_new_target_starts_slowly_but_a_new_pool_does_not():
    pool = build_pool("a", "b")
    assert count_room(pool, 0.0) == {"a": 8, "b": 8}
    targets = [build_target(n, slots=8) for n in "abc"]
    pool.replace_targets(targets, NONE, {})
    assert count_room(pool, 1.0)["c"] == 1
    rooms = []
    for step in range(40):
        rooms.append(count_room(pool, 1.0 + step * 0.25)["c"])
    assert rooms[-1] == 8
    assert max(b - a for a, b in zip(rooms, rooms[1:], strict=False)) == 1


def test_a_target_that_no_view_shows_is_not_used():
    pool = build_pool("a", "b", "c", "d")
    pool.apply_host_list(frozenset("cd"))
    assert set(count_room(pool, 1.0)) == set("abcd")
    succeed(pool, "b", 20.0)
    assert set(count_room(pool, 2.0 + UNLISTED_SECONDS)) == set("bcd")
    assert set(count_room(pool, 21.0 + UNLISTED_SECONDS)) == set("cd")
    pool.apply_host_list(frozenset("abcd"))
    assert set(count_room(pool, 22.0 + UNLISTED_SECONDS)) == set("abcd")


@pytest.mark.parametrize("names", [frozenset(), frozenset("a")])
def test_an_implausible_list_does_not_empty_the_pool(names):
    pool = build_pool("a", "b", "c", "d")
    pool.apply_host_list(names)
    assert pool.ignores_host_list
    assert set(count_room(pool, 1000.0)) == set("abcd")


def test_a_common_prefix_stays_on_few_targets_within_the_bound():
    pool = build_pool(*(f"t{number}" for number in range(10)))
    ask = build_ask("r", prefix=7)
    used = set()
    for number in range(200):
        route = pool.choose(ask, number * 0.01)
        used |= set(route.targets)
        pool.hold(route.targets)
        pool.free(route.targets)
    assert len(used) == 1
    held = count_room(pool, 3.0, ask)
    assert held == {f"t{number}": 8 for number in range(10)}


def test_load_from_elsewhere_counts_but_ours_is_not_counted_twice():
    pool = build_pool("a", "b")
    pool.hold(["a", "a"])
    pool.take_report(TargetReport("a", 0.1, load=Load(3, 0)), 0.0)
    assert pool.states["a"].external_requests == 0.0
    pool.take_report(TargetReport("b", 0.1, load=Load(8, 4)), 0.0)
    assert pool.choose(build_ask("r"), 0.0).targets == ("a",)


def test_surviving_stages_are_kept():
    pool = TargetPool(DRAFTING, {})
    cuts = {"a": (0, 6), "b": (0, 6), "c": (6, 12), "d": (6, 12)}
    pool.replace_targets([build_target(n, c) for n, c in cuts.items()], NONE, {})
    pool.hold(["b"])
    ask = build_ask("r", avoid=("c",), keep=("b",))
    assert pool.choose(ask, 0.0).targets == ("b", "d")


def test_a_recovery_probes_the_only_other_stage_although_it_is_ejected():
    pool = TargetPool(DRAFTING, {})
    cuts = {"a": (0, 6), "b": (0, 6), "c": (6, 12), "d": (6, 12)}
    pool.replace_targets([build_target(n, c) for n, c in cuts.items()], NONE, {})
    fail(pool, "d", 1.0)
    assert pool.choose(build_ask("q", avoid=("c",)), 1.0) is None
    recovery = build_ask("r", avoid=("c",), keep=("b",))
    route = pool.choose(recovery, 1.0)
    assert route.targets == ("b", "d")
    pool.hold(route.targets)
    assert pool.choose(recovery, 1.0) is None
    fail(pool, "d", 1.1, count=1)
    assert pool.outliers.get_health("d") is Health.EJECTED


@pytest.mark.parametrize("leaving", [NONE, frozenset({"t0"})])
@given(
    items=st.lists(
        st.tuples(st.integers(0, 11), st.integers(1, 12), st.integers(0, 2)),
        max_size=12,
    )
)
def test_the_pool_finds_a_chain_where_weighing_every_target_does(leaving, items):
    pool = TargetPool(DRAFTING, {})
    held = {f"t{n}": count for n, (_, _, count) in enumerate(items)}
    targets = [
        build_target(f"t{n}", (first, min(12, first + size)))
        for n, (first, size, _) in enumerate(items)
    ]
    pool.replace_targets(targets, leaving, held)
    found = pool.choose(build_ask("r"), 0.0)
    whole = choose_route(
        DRAFTING, pool.states.values(), HOBART, {}, (), pool._estimate_cost
    )
    assert (found is None) == (whole is None)
    if found is not None:
        assert found.cost == pytest.approx(whole.cost)
        assert covers_in_order(
            [pool.states[n].target.layers for n in found.targets], 12
        )


def test_a_target_that_refuses_is_asked_again_soon_and_fully_used_at_once():
    pool = build_pool("a", "b", "c", "d")
    for _ in range(6):
        assert "a" in count_room(pool, 1.0)
        pool.take_report(TargetReport("a", -1.0, refused=True), 1.0)
    assert "a" not in count_room(pool, 1.5)
    assert count_room(pool, 2.0)["a"] == 1
    succeed(pool, "a", 2.0)
    assert count_room(pool, 2.0)["a"] == 8
