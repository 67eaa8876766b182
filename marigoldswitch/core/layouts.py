"""Which layers each engine should hold.

Load it answers: engines that start empty, die, leave and join at any time, on
accelerators of very different memory. What goes wrong without it: accelerators that are
filled to the brim with weights have no memory left for requests; chains that are cut at
boundaries of their own can't stand in for each other; a hole stays open in a data
centre that may be cut off next.

The layers are cut into segments of like size, the same on all engines, so that any
engine can replace another segment by segment. Engines that hold something keep it. An
empty engine takes the run of segments that its data centre, and then the whole site,
has least of. Where a data centre lacks a segment and has no empty engine, an engine
whose segments others hold too is moved.
"""

from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace

from marigoldswitch.core.catalogue import LayerRange
from marigoldswitch.core.ids import DataCentre, TargetId
from marigoldswitch.core.models import ModelSpec

TOKENS = (30_000.0, 15_000.0, 7_500.0, 3_000.0, 1_000.0)
"""Context tokens that an engine should have memory for beside its layers: some 30
requests of 900 tokens. At 20,000 the heaviest day was worth 0.07 less in a trial, at
40,000 0.02 more with fewer whole models. Less only where all engines together could
not hold the model otherwise."""
SEGMENT_COST = 0.02
"""Worth of one more cut, as a share of the memory used: each costs a hop a token."""
HOLE_WEIGHT = 100.0
"""Weight of a segment that no other engine of the data centre holds: it counts more
than any run of segments that are held already."""
SITE_WEIGHT = 0.1
"""Weight of the copies on the whole site beside those of the data centre."""
SPARE_COPIES = 2
"""Copies of each of its segments that a data centre must have before one of their
holders may be moved away: the move must not open another hole."""


@dataclass(frozen=True, slots=True)
class EngineSlot:
    """An engine, as the layout sees it.

    :param layers: what it holds or is loading; ``None`` where it is empty.
    """

    target: TargetId
    data_centre: DataCentre
    accelerator: str
    layers: LayerRange | None


def choose_tokens(model: ModelSpec, engines: Iterable[EngineSlot]) -> float:
    """Return the context tokens that each engine keeps memory for."""
    kinds = [model.accelerators.get(item.accelerator) for item in engines]
    for tokens in TOKENS:
        fits = (model.count_layers(kind, tokens) for kind in kinds if kind)
        if sum(fits) >= model.layers:
            return tokens
    return TOKENS[-1]


def cut_segments(model: ModelSpec, tokens: float = TOKENS[0]) -> list[int]:
    """Return the boundaries of the segments, from 0 to the number of layers.

    The size of a segment is the one that leaves least memory unused on the kinds of
    accelerators that there are; it hardly depends on what changes in a day.

    :param tokens: context tokens that each engine keeps memory for.
    """
    fits = [model.count_layers(kind, tokens) for kind in model.accelerators.values()]
    best_size, best_worth = 1, float("-inf")
    for size in range(1, model.layers + 1):
        used = sum(count // size * size for count in fits)
        segments = -(-model.layers // size)
        worth = used * (1.0 - SEGMENT_COST * segments)
        if worth > best_worth:
            best_size, best_worth = size, worth
    count = -(-model.layers // best_size)
    return [round(model.layers * index / count) for index in range(count + 1)]


def plan_layout(
    model: ModelSpec, engines: Iterable[EngineSlot]
) -> dict[TargetId, LayerRange]:
    """Return what the engines that should change are to hold."""
    return _Layout(model, sorted(engines, key=lambda item: item.target)).plan()


class _Layout:
    """One plan: the copies of each segment, and the engines still to be placed."""

    def __init__(self, model: ModelSpec, engines: Sequence[EngineSlot]) -> None:
        self._model = model
        self._tokens = choose_tokens(model, engines)
        self._cuts = cut_segments(model, self._tokens)
        self._sizes = self._count_segments()
        self._engines = engines
        self._near: Counter[tuple[DataCentre, int]] = Counter()
        self._all: Counter[int] = Counter()
        self._is_first = all(item.layers is None for item in engines)
        for engine in engines:
            if engine.layers is not None:
                self._count(engine.data_centre, engine.layers, 1)

    def _count_segments(self) -> dict[str, int]:
        """Return the segments that fit each kind of accelerator."""
        longest = max(
            end - start for start, end in zip(self._cuts, self._cuts[1:], strict=False)
        )
        return {
            name: self._model.count_layers(kind, self._tokens) // longest
            for name, kind in self._model.accelerators.items()
        }

    def plan(self) -> dict[TargetId, LayerRange]:
        changes: dict[TargetId, LayerRange] = {}
        for engine in self._list_unfilled():
            wanted = self._choose(engine)
            if wanted is not None and wanted != engine.layers:
                if engine.layers is not None:
                    self._count(engine.data_centre, engine.layers, -1)
                changes[engine.target] = wanted
                self._count(engine.data_centre, wanted, 1)
        changes |= self._fill_holes(set(changes))
        return changes

    def _list_unfilled(self) -> list[EngineSlot]:
        """Return the engines that have memory for more: empty ones, large ones first.

        Those that hold something come last, as others may close a hole at once.
        """
        found = [
            item
            for item in self._engines
            if item.layers is None
            or 0 < len(self._list_segments(item.layers)) < self._size(item)
        ]
        found.sort(
            key=lambda item: (item.layers is not None, -self._size(item), item.target)
        )
        return found

    def _size(self, engine: EngineSlot) -> int:
        """Return the segments that an engine should hold."""
        return self._sizes.get(engine.accelerator, 0)

    def _choose(self, engine: EngineSlot) -> LayerRange | None:
        """Return the run of segments that is needed most of an engine.

        Once a layout stands, an engine takes one segment after the other: the first
        serves after a third of the time that a large accelerator needs for its fill,
        and each can still go where a loss meanwhile has left a hole.
        """
        count = len(self._cuts) - 1
        size = min(self._size(engine), count)
        if size == 0:
            return None
        centre = engine.data_centre
        if not self._is_first:
            held = self._list_segments(engine.layers) if engine.layers else []
            size = len(held) + 1
        starts = [
            start
            for start in range(count - size + 1)
            if self._contains(start, size, engine.layers)
        ]
        if not starts:
            return None
        start = max(starts, key=lambda item: self._weigh(centre, item, size))
        return LayerRange(self._cuts[start], self._cuts[start + size])

    def _contains(self, start: int, size: int, layers: LayerRange | None) -> bool:
        """Tell whether a run of segments contains some layers."""
        if layers is None:
            return True
        first, end = self._cuts[start], self._cuts[start + size]
        return LayerRange(first, end).contains(layers)

    def _weigh(self, centre: DataCentre, start: int, size: int) -> float:
        return sum(
            self._need(centre, segment) for segment in range(start, start + size)
        )

    def _need(self, centre: DataCentre, segment: int) -> float:
        near = self._near[centre, segment]
        weight = HOLE_WEIGHT if near == 0 else 1.0 / near**2
        return weight + SITE_WEIGHT / (1.0 + self._all[segment])

    def _fill_holes(self, taken: set[TargetId]) -> dict[TargetId, LayerRange]:
        """Move engines to segments that their data centre lacks.

        Not while another one there has memory for more: it takes the segment sooner,
        as an engine that moves first waits for what passes through it.
        """
        moves: dict[TargetId, LayerRange] = {}
        unfilled = {item.data_centre for item in self._list_unfilled()}
        for centre in sorted({item.data_centre for item in self._engines} - unfilled):
            for segment in range(len(self._cuts) - 1):
                if self._near[centre, segment] == 0:
                    donor = self._find_donor(centre, taken | set(moves))
                    if donor is None or donor.layers is None:
                        break
                    self._count(centre, donor.layers, -1)
                    wanted = self._choose(replace(donor, layers=None))
                    assert wanted is not None
                    self._count(centre, wanted, 1)
                    moves[donor.target] = wanted
        return moves

    def _find_donor(
        self, centre: DataCentre, taken: set[TargetId]
    ) -> EngineSlot | None:
        """Return the engine that its data centre misses least."""
        donors = [
            engine
            for engine in self._engines
            if engine.data_centre == centre
            and engine.target not in taken
            and engine.layers is not None
            and self._size(engine) > 0
            and self._spare(engine) >= SPARE_COPIES
        ]
        if not donors:
            return None
        return max(donors, key=lambda item: (self._spare(item), -self._size(item)))

    def _spare(self, engine: EngineSlot) -> int:
        """Return the copies of the rarest of an engine's segments."""
        assert engine.layers is not None
        segments = self._list_segments(engine.layers)
        return min(
            (self._near[engine.data_centre, item] for item in segments), default=0
        )

    def _list_segments(self, layers: LayerRange) -> list[int]:
        """Return the segments that a range holds whole."""
        return [
            index
            for index in range(len(self._cuts) - 1)
            if layers.first <= self._cuts[index] and self._cuts[index + 1] <= layers.end
        ]

    def _count(self, centre: DataCentre, layers: LayerRange, copies: int) -> None:
        for segment in self._list_segments(layers):
            self._near[centre, segment] += copies
            self._all[segment] += copies
