"""Replays of short traces with expected outcomes."""

from pathlib import Path

import pytest

from marigoldswitch.tests.helpers import run_async
from marigoldswitch.tools.replay import read_trace, replay_trace

TRACES = sorted((Path(__file__).parent / "traces").glob("*.jsonl"))


@pytest.mark.parametrize("path", TRACES, ids=lambda path: path.stem)
def test_trace_has_its_stated_outcomes(path):
    assert run_async(replay_trace(read_trace(path))) == []


def test_replay_reports_an_outcome_that_differs():
    lines = [
        {"booking": "a", "host": "host-0", "key": "a", "expect": ["refused"]},
        {"runs": {"a": 2}},
        {"unknown": 1},
    ]
    differences = run_async(replay_trace(lines))
    assert len(differences) == 3
