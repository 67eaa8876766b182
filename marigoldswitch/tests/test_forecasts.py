"""Forecasts follow the load of a chain, and are corrected by measured runs."""

import pytest

from marigoldswitch.core.forecasts import (
    DECAY_SECONDS,
    MAX_RATIO,
    ChainForecast,
    ForecastCorrections,
    ForecastState,
    RequestSize,
    StageLoad,
    forecast_chain,
)
from marigoldswitch.core.ids import TargetId
from marigoldswitch.tests.uneven_play import MODEL, PROMPT

SIZE = RequestSize(PROMPT, 910)


def build_stages(kind, layers, **fields):
    accelerator = MODEL.accelerators[kind]
    count = 80 // layers
    return [
        StageLoad(TargetId(f"{kind}{number}"), accelerator, layers, **fields)
        for number in range(count)
    ]


def forecast(stages, **fields):
    return forecast_chain(stages, SIZE, ForecastState(MODEL, **fields))


def test_slow_engines_take_longer_for_prompt_and_events():
    quick, slow = forecast(build_stages("a100s", 16)), forecast(build_stages("t4", 8))
    assert quick.first_event < 0.4 * slow.first_event
    assert quick.event_gap < 0.4 * slow.event_gap


def test_idle_chain_takes_two_chunks_with_their_steps_and_one_more_step():
    got = forecast(build_stages("t4", 8))
    prefill, step = 15.0 * PROMPT / 353_000.0, 15.0 * 0.00085
    assert got.first_event == pytest.approx(prefill + 3 * step + 0.003, rel=0.02)
    assert got.event_gap == pytest.approx(2 * (step + 0.003), rel=0.02)


@pytest.mark.parametrize(
    "fields",
    [
        {"running": 60},
        {"context": 90_000.0},
        {"slowness": 2.0},
        {"backlog": 0.02},
    ],
)
def test_load_lengthens_both_times(fields):
    idle = forecast(build_stages("l4", 10))
    loaded = forecast(build_stages("l4", 10, **fields))
    assert loaded.first_event > idle.first_event
    assert loaded.event_gap > idle.event_gap


def test_crossings_within_a_chain_cost_the_prompts_activations():
    stages = build_stages("l4", 10)
    added = forecast(stages, crossings=1).first_event - forecast(stages).first_event
    assert added > PROMPT * MODEL.crossing_seconds_per_token


def test_measured_runs_correct_forecasts_until_they_are_old():
    corrections, now = ForecastCorrections(), 0.0
    for _ in range(60):
        now += 0.2
        ratio = corrections.get("t4", now).first_event
        expected = ChainForecast(0.05 * ratio, 0.02)
        corrections.note({"t4": 1.0}, expected, ChainForecast(0.1, 0.0), now)
    assert corrections.get("t4", now).first_event == pytest.approx(2.0, rel=0.25)
    assert corrections.get("t4", now).event_gap == 1.0
    assert corrections.get("l4", now).first_event == 1.0
    later = corrections.get("t4", now + 4 * DECAY_SECONDS).first_event
    assert later == pytest.approx(1.0, abs=0.05)


def test_single_disturbed_run_changes_little():
    corrections = ForecastCorrections()
    corrections.note({"t4": 1.0}, ChainForecast(0.05, 0.02), ChainForecast(9.0, 3.0), 0)
    assert corrections.get("t4", 0.0).first_event <= MAX_RATIO**0.1
