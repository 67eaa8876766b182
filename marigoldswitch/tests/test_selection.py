"""Requests of plain services avoid slow and failing targets until they recover."""

import random
from collections import Counter

from marigoldswitch.core.catalogue import Target
from marigoldswitch.core.ids import DataCentre, ServiceName, TargetId
from marigoldswitch.core.loads import Loads, Usage
from marigoldswitch.core.selection import PlainSelector

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
