"""Tracks which engines hold which layers and how much request memory that leaves."""

from collections.abc import Iterable

from msgspec import Struct

from marigoldswitch.core.catalogue import LayerRange
from marigoldswitch.core.ids import DataCentre, TargetId
from marigoldswitch.core.models import ModelSpec


class LayoutEngine(Struct, frozen=True):
    """An engine as input of the layout planner.

    :param accelerator: name of its accelerator kind.
    :param layers: the layers it holds or is loading; ``None`` if it is empty.
    :param is_busy: it has an order in progress and accepts no other.
    """

    target: TargetId
    data_centre: DataCentre
    accelerator: str
    layers: LayerRange | None
    is_busy: bool = False


class LayerCover:
    """The layers that a group of engines holds, with totals for each layer.

    :ivar held: layer range of each engine that holds any.
    :ivar copies: number of engines that hold each layer.
    :ivar holder_sizes: sum of the range lengths of each layer's holders.
    :ivar capacities: capacity of each layer: context tokens that its holders have
        memory for together.
    """

    def __init__(self, model: ModelSpec, engines: Iterable[LayoutEngine]) -> None:
        self.held: dict[TargetId, LayerRange] = {}
        self.copies = [0] * model.layers
        self.holder_sizes = [0] * model.layers
        self.capacities = [0.0] * model.layers
        self._model = model
        for engine in engines:
            if engine.layers is not None:
                self.assign(engine, engine.layers)

    def assign(self, engine: LayoutEngine, layers: LayerRange) -> None:
        """Record an engine's layers, in place of those that it held before."""
        if engine.target in self.held:
            self.unassign(engine)
        self.held[engine.target] = layers
        self._update_layers(engine, layers, 1)

    def unassign(self, engine: LayoutEngine) -> None:
        """Record that an engine holds nothing any more."""
        self._update_layers(engine, self.held.pop(engine.target), -1)

    def measure_capacity(self, engine: LayoutEngine, layers: LayerRange) -> float:
        """Return the context tokens that fit on an engine beside ``layers``."""
        accelerator = self._model.accelerators[engine.accelerator]
        return self._model.count_tokens(accelerator, layers)

    def min_capacity(self, layers: LayerRange) -> float:
        """Return the capacity of the layer with the least, in context tokens."""
        return min(self.capacities[layers.first : layers.end])

    def min_copies(self, layers: LayerRange) -> int:
        """Return the number of copies of the layer with the fewest."""
        return min(self.copies[layers.first : layers.end])

    def list_holes(self) -> list[LayerRange]:
        """Return the runs of layers that no engine holds."""
        holes: list[LayerRange] = []
        for layer, copies in enumerate(self.copies):
            if copies:
                continue
            if holes and holes[-1].end == layer:
                holes[-1] = LayerRange(holes[-1].first, layer + 1)
            else:
                holes.append(LayerRange(layer, layer + 1))
        return holes

    def _update_layers(
        self, engine: LayoutEngine, layers: LayerRange, sign: int
    ) -> None:
        capacity = sign * self.measure_capacity(engine, layers)
        span = sign * (layers.end - layers.first)
        for layer in range(layers.first, layers.end):
            self.copies[layer] += sign
            self.holder_sizes[layer] += span
            self.capacities[layer] += capacity
