"""Requests of plain services avoid slow and failing targets until they recover."""

import random
from collections import Counter

import pytest

from marigoldswitch.core.catalogue import Load, Target
from marigoldswitch.core.ids import DataCentre, ServiceName, TargetId
from marigoldswitch.core.loads import Loads, Usage
from marigoldswitch.core.selection import PlainSelector
from marigoldswitch.tests.plain_play import PlainPlay

TARGETS = [
    Target(TargetId(name), ServiceName("s"), DataCentre(centre), f"{name}:80", 6)
    for name, centre in (("x", "a"), ("y", "a"), ("z", "b"))
]

HOME = DataCentre("a")


def build_selector():
    return PlainSelector(DataCentre("a"), random.Random(1))


def send_requests(selector, seconds, count, fails=None):
    """Send requests in sequence; return how many each target got.

    :param seconds: answer time of each target.
    :param fails: returns whether a target fails the request.
    """
    counts, now = Counter(), 0.0
    for _ in range(count):
        target = selector.choose(TARGETS, Loads(HOME), set(), now)
        counts[target.id] += 1
        now += 0.1
        if fails and fails(target.id):
            selector.note_failure(target.id, 0.02, now)
        else:
            selector.note_answer(target.id, seconds[target.id], now)
    return counts


def test_slow_target_gets_few_requests():
    got = send_requests(build_selector(), {"x": 0.3, "y": 0.02, "z": 0.02}, 300)
    assert got["x"] < 40
    assert got["x"] > 0


def test_fast_failing_target_gets_few_requests():
    seconds = {"x": 0.02, "y": 0.02, "z": 0.02}
    got = send_requests(build_selector(), seconds, 300, fails=lambda name: name == "x")
    assert got["x"] < 40


def test_failures_common_to_all_targets_eject_none():
    source = random.Random(2)
    seconds = {"x": 0.02, "y": 0.02, "z": 0.02}
    got = send_requests(
        build_selector(), seconds, 600, lambda name: source.random() < 0.14
    )
    assert min(got["x"], got["y"]) > 60


def test_busy_target_is_skipped():
    selector, loads = build_selector(), Loads(HOME)
    loads.hold(TargetId("x"), Usage(4, 0))
    assert selector.choose(TARGETS, loads, set(), 0.0).id == "y"


def test_tried_targets_are_not_chosen_again():
    selector = build_selector()
    tried = {TargetId("x"), TargetId("y")}
    assert selector.choose(TARGETS, Loads(HOME), tried, 0.0).id == "z"
    assert selector.choose(TARGETS, Loads(HOME), tried | {TargetId("z")}, 0.0) is None


@pytest.mark.parametrize(("rate", "most"), [(50, 0.005), (100, 0.05)])
def test_hosts_with_old_loads_dont_fill_one_target_while_others_have_room(rate, most):
    shares = []
    for seed in (1, 2, 3):
        play = PlainPlay(rate, seed=seed)
        play.run(30)
        shares.append(play.refused_share)
    assert sum(shares) / len(shares) <= most


def test_requests_to_other_data_centres_dont_rise():
    play = PlainPlay(50)
    play.run(30)
    assert play.far / play.sent <= 0.55


def test_target_that_slows_down_gets_less_before_it_refuses():
    got, refused = Counter(), 0
    for seed in range(1, 7):
        play = PlainPlay(60, seed=seed)
        play.run(5)
        play.slow["t1"] = 4.0
        play.got.clear()
        play.refused_at.clear()
        play.run(25)
        got.update(play.got)
        refused += play.refused_at["t1"]
    assert got["t1"] < 0.5 * min(got[name] for name in ("t0", "t2", "t3"))
    assert refused <= 0.05 * got["t1"]


def test_burst_is_spread_over_all_targets():
    play = PlainPlay(40)
    play.run(5)
    play.got.clear()
    play.run(5, rate=104)
    assert max(play.got.values()) <= 1.3 * min(play.got.values())


def test_recent_report_of_a_full_target_counts_until_it_is_old():
    selector, loads = build_selector(), Loads(HOME)
    assert selector.choose(TARGETS, loads, {TargetId("z")}, 0.0) is not None
    selector.note_load(TargetId("x"), Load(6, 2), 0.0)
    chosen = {
        selector.choose(TARGETS, loads, {TargetId("z")}, 0.01 * number).id
        for number in range(10)
    }
    assert chosen == {"y"}
    later = {selector.choose(TARGETS, loads, set(), 9.0).id for _ in range(40)}
    assert "x" in later


def test_services_of_two_targets_are_served_by_the_newest_counts():
    selector, loads = build_selector(), Loads(HOME)
    selector.count_hosts = lambda: 66
    selector.choose(TARGETS[:2], loads, set(), 0.0)
    loads.hold(TargetId("x"), Usage(1, 0))
    assert all(
        selector.choose(TARGETS[:2], loads, set(), 0.0).id == "y" for _ in range(50)
    )
