"""Rates layouts of a group of engines by what they leave after a loss.

Capacity of the whole group alone favours layouts in which one engine is the only holder
of many layers. Its loss then leaves no chain until others have loaded them.
"""

from collections.abc import Mapping, Sequence

from msgspec.structs import replace

from marigoldswitch.core.catalogue import LayerRange
from marigoldswitch.core.ids import TargetId
from marigoldswitch.core.layer_cover import LayerCover, LayoutEngine
from marigoldswitch.core.models import ModelSpec

Layout = Mapping[TargetId, LayerRange]


def keeps_model_without_first(
    model: ModelSpec, engines: Sequence[LayoutEngine], layout: Layout
) -> bool:
    """Return whether a whole model is left after the loss of any one engine with the
    first layer."""
    losses = _measure_losses(model, engines, layout)
    begins = [left for name, left in losses.items() if layout[name].first == 0]
    return bool(begins) and min(begins) > 0.0


def rate_layout(
    model: ModelSpec, engines: Sequence[LayoutEngine], layout: Layout
) -> float:
    """Return a rating of a layout: its capacity, whole and after losses, in tokens.

    Any engine may be lost, and by requests that crash engines those with the first
    layer; both kinds of loss count as much as the whole layout.
    """
    losses = _measure_losses(model, engines, layout)
    begins = [left for name, left in losses.items() if layout[name].first == 0]
    if not begins:
        return 0.0
    whole = min(_build_cover(model, engines, layout).capacities)
    return whole + _mean(list(losses.values())) + _mean(begins)


def _measure_losses(
    model: ModelSpec, engines: Sequence[LayoutEngine], layout: Layout
) -> dict[TargetId, float]:
    """Return the capacity left without each engine that holds layers, in tokens."""
    cover = _build_cover(model, engines, layout)
    losses = {}
    for engine in engines:
        held = cover.held.get(engine.target)
        if held is None:
            continue
        cover.unassign(engine)
        losses[engine.target] = min(cover.capacities)
        cover.assign(engine, held)
    return losses


def _build_cover(
    model: ModelSpec, engines: Sequence[LayoutEngine], layout: Layout
) -> LayerCover:
    placed = [replace(item, layers=layout.get(item.target)) for item in engines]
    return LayerCover(model, placed)


def _mean(values: Sequence[float]) -> float:
    return sum(values) / len(values)
