"""Pauses of streams whose engines are lost, with all hosts of a data centre."""

import random

import pytest
from hypothesis import given, strategies as st

from marigoldswitch.core.catalogue import LayerRange
from marigoldswitch.core.continuations import Continuations
from marigoldswitch.core.ids import DataCentre, TargetId
from marigoldswitch.core.loads import Usage
from marigoldswitch.core.reading_backlog import ReadingBacklog
from marigoldswitch.core.resumption import find_resumed_chain, is_quicker_elsewhere
from marigoldswitch.core.stages import Stage, StageOffer
from marigoldswitch.tests.loss_plays import PAUSE_LIMIT, measure_share, play_losses

SPAN = LayerRange(0, 12)
SLOW = ("north-l4-5", "north-t4-7")


def choose(count):
    return lambda names, rng: rng.sample(names, count)


@pytest.mark.parametrize(
    ("choose_lost", "slow", "least", "gain"),
    [
        (choose(1), (), 0.92, 0.0),
        (choose(3), (), 0.92, 0.1),
        (choose(4), (), 0.92, 0.2),
        (lambda names, rng: ["north-l4-13"], SLOW, 0.9, 0.15),
        (lambda names, rng: names, (), 0.8, 0.02),
    ],
    ids=["one", "a tenth", "four", "slow replacements", "whole data centre"],
)
def test_streams_keep_their_longest_pause(choose_lost, slow, least, gain):
    """A third of the streams of four lost engines paused longer than 0.25 s.

    Their replacements had a queue of contexts while other data centres were idle.
    """
    before, first_before, _ = play_losses(False, choose_lost, slow=slow)
    after, first_after, elsewhere = play_losses(True, choose_lost, slow=slow)
    share = measure_share(after, PAUSE_LIMIT)
    assert share >= least
    assert share >= measure_share(before, PAUSE_LIMIT) + gain
    assert measure_share(first_after, 0.5) >= measure_share(first_before, 0.5)
    assert elsewhere <= 0.7


def offer(name, first, end, seconds=0.001, centre="north", used=0.0):
    return StageOffer(
        TargetId(name),
        f"{name}:80",
        DataCentre(centre),
        LayerRange(first, end),
        0.0001,
        used,
        0.001,
        prefill_seconds=seconds,
    )


def test_plan_is_not_used_for_layers_that_the_engine_had_given_up():
    """The chain would have skipped the layers beyond those that the plan covers."""
    plans = Continuations(ReadingBacklog(), random.Random(1))
    lost, usage = TargetId("lost"), Usage(20, 20 * 900 * 4, 0)
    offers = [offer("other", 4, 8), offer("whole", 4, 12)]
    plans.note_loss(lost, LayerRange(4, 8), usage, offers, SPAN, 0.0)
    stages = (
        Stage(TargetId("first"), "first:80", LayerRange(0, 4)),
        Stage(lost, "lost:80", LayerRange(4, 10)),
        Stage(TargetId("last"), "last:80", LayerRange(10, 12)),
    )
    centres = {item.target: DataCentre("north") for item in stages}
    known = {item.target: item for item in offers}
    assert plans.find(stages, {lost}, known, centres, 0.0) is None


OFFERS = st.lists(
    st.builds(
        lambda index, first, length, seconds: offer(
            f"e{index}", first, min(12, first + length), seconds
        ),
        st.integers(0, 20),
        st.integers(0, 11),
        st.integers(1, 8),
        st.floats(0.0001, 0.01),
    ),
    max_size=10,
    unique_by=lambda item: item.target,
)


@given(OFFERS, st.integers(0, 1000), st.integers(4, 7), st.integers(8, 11))
def test_planned_chain_runs_every_layer_once(offers, seed, first, end):
    backlog = ReadingBacklog()
    plans = Continuations(backlog, random.Random(seed))
    lost = TargetId("lost")
    usage = Usage(20, 20 * 900 * 8, 2)
    plans.note_loss(lost, LayerRange(4, 12), usage, offers, SPAN, 0.0)
    stages = (
        Stage(TargetId("first"), "first:80", LayerRange(0, first)),
        Stage(lost, "lost:80", LayerRange(first, end)),
        Stage(TargetId("last"), "last:80", LayerRange(end, 12)),
    )
    centres = {item.target: DataCentre("north") for item in stages}
    usable = {item.target: item for item in offers}
    chain = plans.find(stages, {lost}, usable, centres, 0.1)
    if chain is None:
        return
    reached = 0
    for item in chain.stages:
        assert item.layers.first == reached < item.layers.end
        reached = item.layers.end
    assert reached == 12
    assert chain.stages[0] == stages[0] and chain.stages[-1] == stages[-1]
    assert lost not in {item.target for item in chain.stages}


def count_replacements(offers, draws=240):
    plans = Continuations(ReadingBacklog(), random.Random(1))
    lost = TargetId("lost")
    layers = LayerRange(4, 12)
    plans.note_loss(lost, layers, Usage(40, 40 * 900 * 8), offers, SPAN, 0.0)
    stages = (
        Stage(TargetId("first"), "first:80", LayerRange(0, 4)),
        Stage(lost, "lost:80", layers),
    )
    centres = {item.target: DataCentre("north") for item in stages}
    usable = {item.target: item for item in offers}
    counts = dict.fromkeys(usable, 0)
    for _ in range(draws):
        chain = plans.find(stages, {lost}, usable, centres, 0.0)
        for item in chain.stages[1:]:
            counts[item.target] += 1
    return counts


def test_replacements_get_streams_in_proportion_to_their_speed():
    counts = count_replacements(
        [offer("quick", 0, 12, 0.001), offer("slow", 0, 12, 0.003)]
    )
    assert 2.0 <= counts["quick"] / counts["slow"] <= 4.0


def test_layers_are_split_between_engines_that_hold_parts_of_them():
    counts = count_replacements(
        [offer("whole", 4, 12), offer("low", 0, 8), offer("high", 8, 12)]
    )
    assert counts["low"] == counts["high"] == 2 * counts["whole"] > 0


def test_plan_avoids_a_replacement_that_is_lost_later():
    plans = Continuations(ReadingBacklog(), random.Random(1))
    names = ("a", "b", "c")
    offers = [offer(name, 0, 12) for name in names]
    layers = LayerRange(4, 12)
    usage = Usage(40, 40 * 900 * 8)
    plans.note_loss(TargetId("lost"), layers, usage, offers, SPAN, 0.0)
    left = offers[1:]
    plans.note_loss(TargetId("a"), LayerRange(0, 12), usage, left, SPAN, 0.01)
    parts = plans._plans["lost"].parts
    assert len(parts) == 12
    assert {item.stages[0].target for item in parts} == {"b", "c"}


def test_resumed_streams_avoid_the_data_centre_that_is_busy():
    rng, far = random.Random(1), 0
    busy = [
        StageOffer(
            TargetId(f"north-{number}"),
            "",
            DataCentre("north"),
            SPAN,
            0.0001,
            0.0,
            0.001,
            prefill_seconds=0.001,
            backlog=0.27,
        )
        for number in range(3)
    ]
    idle = [offer(f"south-{number}", 0, 12, centre="south") for number in range(3)]
    for _ in range(200):
        chain = find_resumed_chain(busy + idle, 12, rng)
        far += chain.stages[0].target.startswith("south")
    assert 160 <= far < 200


@pytest.mark.parametrize(
    ("ready_in", "left", "expected"),
    [(0.05, 0.15, False), (0.2, 0.15, True), (0.2, 0.05, False), (9.0, 1e9, False)],
)
def test_detour_is_left_only_if_another_chain_may_keep_the_pause(
    ready_in, left, expected
):
    assert is_quicker_elsewhere(ready_in, left) is expected
