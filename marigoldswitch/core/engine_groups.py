"""Which engines hold a model together, and with how much memory for requests."""

from collections.abc import Iterable, Sequence

from marigoldswitch.core.ids import DataCentre
from marigoldswitch.core.layer_cover import EngineSlot
from marigoldswitch.core.models import ModelSpec

TOKENS = tuple(range(60_000, 0, -5_000))
"""Context tokens that the holders of each layer should have memory for together, in the
order of trial: some 60 requests of 1,000 tokens, more than a data centre has under way
in a burst. More would leave fewer layers a second holder; less only where the engines
could not hold the model otherwise."""


def group_engines(
    model: ModelSpec, engines: Sequence[EngineSlot]
) -> list[list[EngineSlot]]:
    """Return the engines by data centre; those that are too few alone are together.

    A data centre that may be cut off needs a whole model. Where the memory of some
    is too small for one, they share one and pay for the links between them.
    """
    centres: dict[DataCentre, list[EngineSlot]] = {}
    for item in engines:
        centres.setdefault(item.data_centre, []).append(item)
    whole = [group for group in centres.values() if holds_model(model, group)]
    rest = [
        item
        for group in centres.values()
        if not holds_model(model, group)
        for item in group
    ]
    if not rest:
        return whole
    if holds_model(model, rest):
        return [*whole, rest]
    return [list(engines)]


def holds_model(model: ModelSpec, engines: Iterable[EngineSlot]) -> bool:
    """Tell whether some engines have memory for a whole model."""
    return count_layers(model, engines, TOKENS[-1]) >= model.layers


def count_layers(model: ModelSpec, engines: Iterable[EngineSlot], tokens: int) -> int:
    """Return the layers that engines hold beside memory for some tokens each."""
    kinds = (model.accelerators[item.accelerator] for item in engines)
    return sum(model.count_layers(kind, tokens) for kind in kinds)


def choose_tokens(model: ModelSpec, engines: Sequence[EngineSlot]) -> int:
    """Return the context tokens that each layer of a group should have memory for."""
    for tokens in TOKENS:
        if count_layers(model, engines, tokens) >= model.layers:
            return tokens
    return TOKENS[-1]
