"""No layout has memory for more context than the bound; the tool prints the bound."""

import subprocess
import sys

import orjson
import pytest
from hypothesis import given, strategies as st

from marigoldswitch.core.bounds import compute_load_bound
from marigoldswitch.core.ids import DataCentre, TargetId
from marigoldswitch.core.layer_cover import LayerCover, LayoutEngine
from marigoldswitch.core.layouts import plan_layout
from marigoldswitch.tests.gateway_site import build_configuration
from marigoldswitch.tests.test_layouts import KINDS, MODEL


@given(st.lists(st.sampled_from(sorted(KINDS)), min_size=1, max_size=30))
def test_no_layout_carries_more_than_the_bound(kinds):
    engines = [
        LayoutEngine(TargetId(f"e{index:02}"), DataCentre("a"), kind, None)
        for index, kind in enumerate(kinds)
    ]
    layout = plan_layout(MODEL, engines)
    cover = LayerCover(MODEL, [])
    for engine in engines:
        if engine.target in layout:
            cover.assign(engine, layout[engine.target])
    load = compute_load_bound(MODEL, [KINDS[kind] for kind in kinds], 774.0, 210.0)
    assert min(cover.capacities) <= load.tokens + 1.0


def test_bound_of_a_data_centre_by_hand():
    # 288,000 MB over 80 layers: 3,600 MB each, of which weights take 1,750 MB.
    engines = ["large"] + 6 * ["quick"] + 6 * ["small"]
    load = compute_load_bound(MODEL, [KINDS[kind] for kind in engines], 774.0, 210.0)
    assert load.tokens == pytest.approx((3600 - 1750) / 0.02295)
    assert load.rate == pytest.approx(load.tokens / 984.0 / load.seconds)


def test_engines_that_hold_no_model_carry_nothing():
    assert compute_load_bound(MODEL, [KINDS["large"]], 774.0, 210.0).rate == 0.0


def test_tool_shows_each_data_centre_and_names_what_it_leaves_out(tmp_path):
    row = {
        "service": "model",
        "address": "10.1.0.9:8080",
        "zone": "north",
        "version": "v1",
        "slots": 96,
        "phase": "ready",
        "cold_remaining_ms": 0,
        "sequence": 3,
        "route_type": "card",
    }
    (tmp_path / "config.json").write_bytes(orjson.dumps(build_configuration()))
    rows = [row, {**row, "address": "nowhere"}]
    (tmp_path / "targets.json").write_bytes(orjson.dumps(rows))
    shown = subprocess.run(
        [
            sys.executable,
            "-m",
            "marigoldswitch.tools.bounds",
            str(tmp_path / "config.json"),
            str(tmp_path / "targets.json"),
        ],
        capture_output=True,
        text=True,
        check=True,
    )
    assert "north: 1 engines" in shown.stdout
    assert "row 1 left out" in shown.stderr
