"""Groups engines that hold a model together and sets their capacity for requests."""

from collections.abc import Iterable, Sequence

from marigoldswitch.core.ids import DataCentre
from marigoldswitch.core.layer_cover import LayoutEngine
from marigoldswitch.core.models import ModelSpec

CAPACITY_GOALS = tuple(range(60_000, 0, -5_000))
"""Candidate capacities of each layer in context tokens, in the order they are tried.

The first allows some 60 requests of 1,000 tokens, more than a data centre runs in a
burst; a higher one would leave fewer layers a second copy. Lower ones are used only
where the engines could not hold the model otherwise."""


def group_engines(
    model: ModelSpec, engines: Sequence[LayoutEngine]
) -> list[list[LayoutEngine]]:
    """Return groups of engines, each of which holds a whole model if memory allows.

    A data centre that may be cut off needs a whole model and is a group of its own.
    Data centres with too little memory share a model, at the cost of the links between
    them; if even these are too small together, all engines form one group.
    """
    centres: dict[DataCentre, list[LayoutEngine]] = {}
    for item in engines:
        centres.setdefault(item.data_centre, []).append(item)
    self_sufficient = [group for group in centres.values() if fits_model(model, group)]
    too_small = [
        item
        for group in centres.values()
        if not fits_model(model, group)
        for item in group
    ]
    if not too_small:
        return self_sufficient
    if fits_model(model, too_small):
        return [*self_sufficient, too_small]
    return [list(engines)]


def fits_model(model: ModelSpec, engines: Iterable[LayoutEngine]) -> bool:
    """Return whether engines can hold a whole model at the lowest capacity goal."""
    return count_layers(model, engines, CAPACITY_GOALS[-1]) >= model.layers


def count_layers(model: ModelSpec, engines: Iterable[LayoutEngine], tokens: int) -> int:
    """Return how many layers engines can hold in total.

    :param tokens: context tokens that each of them keeps memory for.
    """
    accelerators = (model.accelerators[item.accelerator] for item in engines)
    return sum(model.count_layers(accelerator, tokens) for accelerator in accelerators)


def choose_capacity_goal(model: ModelSpec, engines: Sequence[LayoutEngine]) -> int:
    """Return the highest capacity goal at which a group can hold the model.

    The lowest one if there is none.
    """
    for tokens in CAPACITY_GOALS:
        if count_layers(model, engines, tokens) >= model.layers:
            return tokens
    return CAPACITY_GOALS[-1]
