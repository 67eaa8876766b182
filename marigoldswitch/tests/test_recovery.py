"""Tests of fault localization in broken chains and of the stall timeouts."""

import pytest
from hypothesis import given, strategies as st

from marigoldswitch.core.chains import can_serve
from marigoldswitch.core.diagnosis import StageStatus, find_suspects
from marigoldswitch.core.progress import MIN_CHECK_SECONDS, StallDetector
from marigoldswitch.tests.helpers import BOOKINGS, DRAFTING, build_target

CHAIN = ["a", "b", "c"]


@pytest.mark.parametrize(
    ("statuses", "suspects"),
    [
        ([(5, 5), None, (4, 4)], ("b",)),
        ([None, (4, 4), None], ("a", "c")),
        ([(5, 4), (4, 4), (4, 4)], ("a",)),
        ([(5, 5), (5, 4), (4, 4)], ("b",)),
        ([(5, 5), (5, 5), (5, 4)], ("c",)),
        ([(5, 5), (4, 4), (4, 4)], ("a", "b")),
        ([(5, 5), (5, 5), (4, 4)], ("b", "c")),
        ([(5, 5), (5, 5), (5, 5)], ()),
    ],
)
def test_suspects_are_the_stages_that_withhold_the_token(statuses, suspects):
    known = [StageStatus(*item) if item else None for item in statuses]
    assert find_suspects(CHAIN, known) == suspects


@pytest.mark.parametrize(
    ("ranges", "serves"),
    [
        ([(0, 4), (4, 12)], True),
        ([(4, 12), (0, 4)], True),
        ([(0, 4), (5, 12)], False),
        ([(0, 8), (4, 12)], False),
        ([(0, 8), (4, 12), (0, 4)], True),
        ([], False),
    ],
)
def test_targets_serve_if_their_layers_can_be_chained(ranges, serves):
    targets = [build_target(f"t{n}", pair) for n, pair in enumerate(ranges)]
    assert can_serve(DRAFTING, targets) is serves
    assert can_serve(BOOKINGS, targets) is bool(targets)


@given(st.floats(0.001, 0.4), st.integers(2, 50))
def test_stall_timeout_follows_mean_gap_within_bounds(gap, tokens):
    progress = StallDetector(
        first_token_timeout=5.0, stall_factor=10.0, min_stall_timeout=0.5
    )
    assert progress.stall_timeout == progress.check_timeout == 5.0
    for number in range(tokens):
        progress.note_tokens(number * gap, 1)
    assert progress.mean_gap == pytest.approx(gap)
    assert progress.stall_timeout == pytest.approx(min(5.0, max(0.5, 10.0 * gap)))
    assert MIN_CHECK_SECONDS <= progress.check_timeout <= progress.stall_timeout
    progress.start_chain()
    assert progress.stall_timeout == 5.0
