"""Tests that each token is delivered once, in order, after it passed every layer."""

import pytest
from hypothesis import given, strategies as st

from marigoldswitch.core.catalogue import LayerRange
from marigoldswitch.core.ids import Epoch
from marigoldswitch.core.ledger import (
    REORDER_WINDOW,
    InvariantViolation,
    StageToken,
    TokenSequencer,
    covers_in_order,
)

WHOLE = (LayerRange(0, 4), LayerRange(4, 12))


def build_token(epoch, position, layers=WHOLE):
    return StageToken(Epoch(epoch), position, f"t{position}", layers)


@pytest.mark.parametrize(
    "layers",
    [
        (LayerRange(0, 4),),
        (LayerRange(0, 4), LayerRange(5, 12)),
        (LayerRange(0, 4), LayerRange(3, 12)),
        (LayerRange(4, 12), LayerRange(0, 4)),
        (LayerRange(0, 4), LayerRange(0, 4), LayerRange(4, 12)),
    ],
)
def test_wrong_layers_violate_invariant(layers):
    ledger = TokenSequencer(12)
    ledger.open_epoch()
    with pytest.raises(InvariantViolation):
        ledger.accept(build_token(1, 0, layers))
    assert ledger.delivered == []


def test_token_after_a_gap_waits_for_the_missing_one():
    ledger = TokenSequencer(12)
    ledger.open_epoch()
    for early in (2, 1, 2, 4):
        assert ledger.accept(build_token(1, early)) == []
    assert ledger.delivered == []
    ready = ledger.accept(build_token(1, 0))
    assert [token.position for token in ready] == [0, 1, 2]
    assert ledger.delivered == ["t0", "t1", "t2"]
    assert ledger.accept(build_token(1, 2)) == []


def test_lost_token_is_detected_and_new_epoch_starts_clean():
    ledger = TokenSequencer(12)
    ledger.open_epoch()
    for position in range(1, REORDER_WINDOW + 3):
        assert ledger.accept(build_token(1, position)) == []
    assert ledger.has_lost_token
    ledger.open_epoch()
    assert not ledger.has_lost_token
    assert len(ledger.accept(build_token(2, 0))) == 1


def test_early_token_with_wrong_layers_violates_invariant():
    ledger = TokenSequencer(12)
    ledger.open_epoch()
    with pytest.raises(InvariantViolation):
        ledger.accept(build_token(1, 3, WHOLE[:1]))


@given(st.lists(st.tuples(st.integers(1, 4), st.integers(0, 5)), max_size=40))
def test_delivered_tokens_are_consecutive_without_repeats(tokens):
    ledger = TokenSequencer(12)
    ledger.open_epoch()
    sent = []
    for epoch, position in tokens:
        while ledger.epoch < epoch:
            ledger.open_epoch()
        sent += ledger.accept(build_token(epoch, position))
    assert [token.position for token in sent] == list(range(len(sent)))
    assert ledger.delivered == [f"t{n}" for n in range(len(ledger.delivered))]


@given(st.lists(st.integers(1, 11), max_size=5, unique=True))
def test_any_cuts_of_the_layers_cover_them(cuts):
    bounds = [0, *sorted(cuts), 12]
    ranges = [LayerRange(*pair) for pair in zip(bounds, bounds[1:], strict=False)]
    assert covers_in_order(ranges, 12)
    assert not covers_in_order(ranges[1:], 12)
