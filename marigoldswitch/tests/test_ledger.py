"""The ledger lets each token through once, in order, after every layer."""

import pytest
from hypothesis import given, strategies as st

from marigoldswitch.core.catalogue import LayerRange
from marigoldswitch.core.ids import Epoch
from marigoldswitch.core.ledger import InvariantBroken, Ledger, StageToken, covers

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
def test_wrong_layers_break_the_promise(layers):
    ledger = Ledger(12)
    ledger.open_epoch()
    with pytest.raises(InvariantBroken):
        ledger.admit(build_token(1, 0, layers))
    assert ledger.delivered == []


def test_gap_in_positions_breaks_the_promise():
    ledger = Ledger(12)
    ledger.open_epoch()
    with pytest.raises(InvariantBroken):
        ledger.admit(build_token(1, 1))


@given(st.lists(st.tuples(st.integers(1, 4), st.integers(0, 5)), max_size=40))
def test_what_is_delivered_is_a_run_without_repeats(tokens):
    ledger = Ledger(12)
    ledger.open_epoch()
    for epoch, position in tokens:
        while ledger.epoch < epoch:
            ledger.open_epoch()
        if position > ledger.next_position and epoch == ledger.epoch:
            continue
        ledger.admit(build_token(epoch, position))
    assert ledger.delivered == [f"t{n}" for n in range(len(ledger.delivered))]


@given(st.lists(st.integers(1, 11), max_size=5, unique=True))
def test_any_cuts_of_the_layers_cover_them(cuts):
    bounds = [0, *sorted(cuts), 12]
    ranges = [LayerRange(*pair) for pair in zip(bounds, bounds[1:], strict=False)]
    assert covers(ranges, 12)
    assert not covers(ranges[1:], 12)
