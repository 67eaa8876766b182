"""Layouts hold every layer in each data centre and close holes first."""

import pytest

from marigoldswitch.core.catalogue import LayerRange
from marigoldswitch.core.ids import DataCentre, TargetId
from marigoldswitch.core.layouts import EngineSlot, cut_segments, plan_layout
from marigoldswitch.core.models import Accelerator, ModelSpec

KINDS = {
    "large": Accelerator("large", 72_000.0, 2.4, 3.2),
    "middle": Accelerator("middle", 43_200.0, 5.6, 2.7),
    "small": Accelerator("small", 21_600.0, 16.0, 8.2),
}
MODEL = ModelSpec(
    80, 1750.0, 0.02295, 1.02e-3, 1.4e-5, 1.9e-8, 1e-5, accelerators=KINDS
)
CENTRES = {
    "hobart": {"large": 1, "middle": 6, "small": 5},
    "launceston": {"large": 2, "middle": 2, "small": 5},
    "devonport": {"large": 1, "middle": 3, "small": 8},
}


def build_engines(layers=None):
    held = layers or {}
    engines = []
    for centre, kinds in CENTRES.items():
        for kind, count in kinds.items():
            for index in range(count):
                name = TargetId(f"{centre}-{kind}-{index}")
                slot = EngineSlot(name, DataCentre(centre), kind, held.get(name))
                engines.append(slot)
    return engines


def count_copies(held, centre):
    cuts = cut_segments(MODEL)
    return [
        sum(
            name.startswith(centre) and item.first <= start and end <= item.end
            for name, item in held.items()
        )
        for start, end in zip(cuts, cuts[1:], strict=False)
    ]


@pytest.fixture
def layout():
    return plan_layout(MODEL, build_engines())


def test_segments_cover_all_layers_evenly():
    cuts = cut_segments(MODEL)
    assert cuts[0] == 0 and cuts[-1] == 80
    assert {end - start for start, end in zip(cuts, cuts[1:], strict=False)} == {8}


@pytest.mark.parametrize("centre", sorted(CENTRES))
def test_each_data_centre_holds_the_whole_model(layout, centre):
    assert min(count_copies(layout, centre)) >= 1


def test_accelerators_keep_memory_for_requests(layout):
    for engine in build_engines():
        room = MODEL.count_tokens(KINDS[engine.accelerator], layout[engine.target])
        assert room >= 30_000


def test_layout_that_stands_is_left_alone(layout):
    assert plan_layout(MODEL, build_engines(layout)) == {}


def test_empty_engine_closes_the_hole_first(layout):
    lost = next(
        name
        for name, item in layout.items()
        if name.startswith("launceston")
        and min(count_copies({**layout, name: LayerRange(0, 0)}, "launceston")) == 0
    )
    held = {name: item for name, item in layout.items() if name != lost}
    hole = count_copies(held, "launceston").index(0)
    changes = plan_layout(MODEL, build_engines(held))
    assert changes[lost].first <= hole * 8 < changes[lost].end
    assert changes[lost].end - changes[lost].first == 8


def test_engine_is_widened_once_its_first_segment_is_held(layout):
    name = TargetId("hobart-middle-0")
    held = {**layout, name: LayerRange(0, 8)}
    assert plan_layout(MODEL, build_engines(held))[name] == LayerRange(0, 16)


def test_hole_without_an_empty_engine_moves_one_that_can_be_spared(layout):
    engines = [item for item in build_engines(layout) if item.data_centre == "hobart"]
    gone = [item for item in engines if layout[item.target].first == 0]
    left = [item for item in engines if item not in gone]
    held = {item.target: layout[item.target] for item in left}
    changes = plan_layout(MODEL, left)
    after = {**held, **changes}
    assert min(count_copies(after, "hobart")) >= 1


def test_no_order_exceeds_an_accelerator(layout):
    for engine in build_engines():
        assert MODEL.fits(KINDS[engine.accelerator], layout[engine.target])


def test_unknown_accelerator_is_left_out():
    slot = EngineSlot(TargetId("x"), DataCentre("hobart"), "unheard", None)
    assert plan_layout(MODEL, [slot]) == {}


def test_site_that_is_short_of_memory_still_holds_the_model():
    engines = [
        EngineSlot(TargetId(f"s{index}"), DataCentre("hobart"), "small", None)
        for index in range(8)
    ]
    held = plan_layout(MODEL, engines)
    covered = {layer for item in held.values() for layer in range(item.first, item.end)}
    assert covered == set(range(80))
