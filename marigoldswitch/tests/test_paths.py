"""Chains run every layer once and in order, on engines with memory for the request."""

import random

from hypothesis import given, strategies as st

from marigoldswitch.core.catalogue import LayerRange
from marigoldswitch.core.ids import DataCentre, TargetId
from marigoldswitch.core.paths import (
    FILL_LIMITS,
    choose_jitter,
    covers_model,
    find_chain,
    find_single_centre_chain,
    repair_chain,
)
from marigoldswitch.core.stages import MAX_FILL, Stage, StageOffer

LAYERS = 8
SPAN = LayerRange(0, LAYERS)


def offer(name, first, end, centre="a", seconds=0.001, used=0.0, need=0.1):
    return StageOffer(
        TargetId(name),
        f"{name}:80",
        DataCentre(centre),
        LayerRange(first, end),
        seconds,
        used,
        need / (end - first),
    )


def list_layers(stages):
    return [
        layer for item in stages for layer in range(item.layers.first, item.layers.end)
    ]


OFFERS = st.lists(
    st.builds(
        lambda index, first, length, centre, used: offer(
            f"e{index}", first, min(LAYERS, first + length), centre, used=used
        ),
        st.integers(0, 30),
        st.integers(0, LAYERS - 1),
        st.integers(1, LAYERS),
        st.sampled_from(["a", "b"]),
        st.floats(0.0, 1.0),
    ),
    max_size=12,
    unique_by=lambda item: item.target,
)


@given(OFFERS, st.integers(0, 1000))
def test_chain_runs_every_layer_once_in_order(offers, seed):
    chain = find_chain(offers, SPAN, random.Random(seed))
    free = [item.layers for item in offers if item.has_room()]
    if chain is None:
        assert not covers_model(free, LAYERS)
        return
    assert list_layers(chain.stages) == list(range(LAYERS))
    by_name = {item.target: item for item in offers}
    for stage in chain.stages:
        held = by_name[stage.target].layers
        assert held.first <= stage.layers.first < stage.layers.end <= held.end
        run = stage.layers.end - stage.layers.first
        assert run <= by_name[stage.target].count_free_layers()


@given(OFFERS, st.integers(0, 1000))
def test_single_centre_chain_stays_in_one_data_centre(offers, seed):
    chain = find_single_centre_chain(
        offers, LAYERS, DataCentre("a"), random.Random(seed)
    )
    if chain is not None:
        by_name = {item.target: item.data_centre for item in offers}
        assert len({by_name[item.target] for item in chain.stages}) == 1
        assert chain.crossings == 0


@given(OFFERS, st.integers(0, 1000), st.data())
def test_repaired_chain_keeps_remaining_stages(offers, seed, data):
    source = random.Random(seed)
    chain = find_chain(offers, SPAN, source)
    if chain is None or len(chain.stages) < 2:
        return
    names = [item.target for item in chain.stages[1:]]
    lost = data.draw(st.sets(st.sampled_from(names), min_size=1))
    centres = {item.target: item.data_centre for item in offers}
    left = [item for item in offers if item.target not in lost]
    repaired = repair_chain(chain.stages, lost, left, centres, source)
    if repaired is None:
        return
    assert list_layers(repaired.stages) == list(range(LAYERS))
    assert repaired.stages[0] == chain.stages[0]
    kept = [item for item in chain.stages if item.target not in lost]
    assert [item for item in repaired.stages if item in kept] == kept
    assert not lost & {item.target for item in repaired.stages}
    assert len({item.target for item in repaired.stages}) == len(repaired.stages)


def test_full_engines_are_skipped():
    full = offer("full", 0, LAYERS, used=MAX_FILL)
    slow = offer("slow", 0, LAYERS, seconds=0.009)
    chain = find_chain([full, slow], SPAN, random.Random(1))
    assert [item.target for item in chain.stages] == ["slow"]


def test_fast_engine_is_filled_before_a_slow_one():
    offers = [
        offer("quick", 0, LAYERS, seconds=0.001, used=0.5),
        offer("slow", 0, LAYERS, seconds=0.004),
    ]
    chain = find_chain(offers, SPAN, random.Random(1))
    assert chain.stages[0].target == "quick"


def test_requests_spread_over_equal_engines_as_they_fill():
    used = {"x": 0.0, "y": 0.0}
    source = random.Random(1)
    for _ in range(100):
        offers = [offer(name, 0, LAYERS, used=part) for name, part in used.items()]
        chain = find_chain(offers, SPAN, source)
        used[chain.stages[0].target] += 0.005
    assert abs(used["x"] - used["y"]) < 0.15


def test_hole_in_one_data_centre_is_covered_by_another():
    offers = [offer("a1", 0, 4, "a"), offer("b1", 4, 8, "b"), offer("a2", 0, 4, "a")]
    assert (
        find_single_centre_chain(offers, LAYERS, DataCentre("a"), random.Random(1))
        is None
    )
    assert find_chain(offers, SPAN, random.Random(1)).crossings == 1


def test_own_data_centre_is_preferred_at_equal_cost():
    offers = [offer("a1", 0, 8, "a"), offer("b1", 0, 8, "b")]
    for seed in range(20):
        chain = find_single_centre_chain(
            offers, LAYERS, DataCentre("b"), random.Random(seed)
        )
        assert chain.stages[0].target == "b1"


def test_lost_neighbours_are_replaced_together():
    stages = [
        Stage(TargetId("e0"), "e0:80", LayerRange(0, 2)),
        Stage(TargetId("e1"), "e1:80", LayerRange(2, 5)),
        Stage(TargetId("e2"), "e2:80", LayerRange(5, 8)),
    ]
    centres = {item.target: DataCentre("a") for item in stages}
    wide = offer("wide", 2, 8)
    chain = repair_chain(stages, {"e1", "e2"}, [wide], centres, random.Random(1))
    assert [(item.target, item.layers) for item in chain.stages] == [
        ("e0", LayerRange(0, 2)),
        ("wide", LayerRange(2, 8)),
    ]


def test_chain_that_lost_its_first_stage_cannot_be_repaired():
    stages = [Stage(TargetId("e0"), "e0:80", LayerRange(0, 8))]
    whole = offer("whole", 0, 8)
    centres = {TargetId("e0"): DataCentre("a")}
    assert repair_chain(stages, {"e0"}, [whole], centres, random.Random(1)) is None


def test_own_data_centre_is_preferred_until_nearly_full():
    def choose(used):
        offers = [offer("h", 0, LAYERS, "a", used=used), offer("f", 0, LAYERS, "b")]
        chain = find_single_centre_chain(
            offers, LAYERS, DataCentre("a"), random.Random(1)
        )
        return chain.stages[0].target

    assert choose(FILL_LIMITS[1] - 0.11) == "h"
    assert choose(FILL_LIMITS[1] - 0.05) == "f"


def test_nearly_full_engine_is_the_last_resort():
    offers = [offer("h", 0, LAYERS, "a", used=MAX_FILL - 0.1)]
    assert find_single_centre_chain(offers, LAYERS, DataCentre("a"), random.Random(1))


def measure_fullest_share(hosts, jitter):
    """Return the largest share of independent hosts that choose the same engine."""
    engines = [offer(f"e{index}", 0, LAYERS) for index in range(8)]
    got = dict.fromkeys((item.target for item in engines), 0)
    for seed in range(hosts):
        chain = find_chain(engines, SPAN, random.Random(seed), jitter=jitter)
        got[chain.stages[0].target] += 1
    return max(got.values()) / hosts


def test_jitter_spreads_hosts_that_see_the_same_loads():
    assert choose_jitter(3) < 0.2
    assert measure_fullest_share(200, choose_jitter(30)) < 0.25


def test_engine_that_others_have_probably_taken_costs_more():
    taken = StageOffer(
        TargetId("x"),
        "x:80",
        DataCentre("a"),
        SPAN,
        0.001,
        0.1,
        0.01,
        expected_share=0.8,
    )
    free = offer("y", 0, LAYERS, used=0.1, seconds=0.0015)
    assert find_chain([taken, free], SPAN, random.Random(1)).stages[0].target == "y"


def test_engine_with_memory_for_a_part_of_its_layers_runs_that_part():
    nearly_full = offer("x", 0, LAYERS, used=0.89)
    rest = offer("y", 4, LAYERS, seconds=0.009)
    chain = find_chain([nearly_full, rest], SPAN, random.Random(1))
    assert [(item.target, item.layers) for item in chain.stages] == [
        ("x", LayerRange(0, 4)),
        ("y", LayerRange(4, 8)),
    ]


def test_engine_inside_a_wider_layer_range_does_not_split_it():
    offers = [offer("wide", 0, LAYERS), offer("quick", 3, 5, seconds=0.0001)]
    chain = find_chain(offers, SPAN, random.Random(1))
    assert [(item.target, item.layers) for item in chain.stages] == [("wide", SPAN)]
