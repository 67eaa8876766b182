"""Plans which layers of a model each engine should hold.

Engines start empty, fail, leave and join at any time, and their accelerators differ
widely in memory and speed. Accelerators filled with weights alone would have no memory
left for requests, equal layer ranges would leave small accelerators empty, and a hole
(layers that no engine holds) could stay open in a data centre that is cut off next.

A request needs memory at every layer, so the layer with the least memory for requests
limits a data centre. The planner therefore first gives all layers the same capacity,
the context tokens that their holders have memory for: the fastest engines get adjacent
ranges, each small enough to leave that much. Remaining memory holds second copies, as
long as no layer drops below this goal. Engines keep what they hold. Empty engines close
holes; if there are none, the neighbours of a hole take parts of it and release them
once other engines hold those layers.

While no engine holds layers yet, the ranges may be laid from the first layer on or from
the last one back. A request begins at an engine with the first layer, so requests that
crash engines end those: where the first order leaves no whole model then, the order
that leaves more capacity after a loss is used.
"""

from collections.abc import Iterable, Sequence
from itertools import accumulate

from marigoldswitch.core.catalogue import LayerRange
from marigoldswitch.core.engine_groups import (
    choose_capacity_goal,
    count_layers,
    group_engines,
)
from marigoldswitch.core.ids import TargetId
from marigoldswitch.core.layer_cover import LayerCover, LayoutEngine
from marigoldswitch.core.layout_rating import (
    keeps_model_without_first,
    rate_layout,
)
from marigoldswitch.core.models import Accelerator, ModelSpec

MIN_FREE_TOKENS = 8_000
"""Capacity, in context tokens, that each neighbour of a hole must keep when it takes a
part of it: some eight requests. Otherwise a spare engine is moved, if there is one."""
OVERCOMMITTED_SHARE = 0.5
"""An engine is overcommitted if one of its layers has less than this share of the
capacity goal; it then releases layers that others hold too. With more capacity than
that, a second copy is worth more than memory for more requests."""
SOLE_HOLDER_SCORE = 1_000_000
"""Score for copying all layers that a single engine holds alone. It is split over them,
so that layers of small engines come first: one copy then backs up more engines."""
RELIEF_SCORE = 10 * SOLE_HOLDER_SCORE
"""Score for copying one layer that an overcommitted engine holds in excess: it releases
the layer once another engine holds it, and has memory for requests again."""
MAX_LOAD_SECONDS = 1.4
"""Longest load of one order while requests run. Filling a large accelerator takes 4 s,
in which it serves nothing and the missing layers may change."""


def plan_layout(
    model: ModelSpec, engines: Iterable[LayoutEngine]
) -> dict[TargetId, LayerRange]:
    """Return the new layers of engines to change; skip unknown accelerators."""
    known = [item for item in engines if item.accelerator in model.accelerators]
    known.sort(key=lambda item: item.target)
    is_initial = all(item.layers is None for item in known)
    changes: dict[TargetId, LayerRange] = {}
    for group in group_engines(model, known):
        if is_initial:
            changes |= _plan_initial(model, group)
        else:
            changes |= _GroupPlanner(model, group, is_initial=False).plan()
    return changes


def _plan_initial(
    model: ModelSpec, engines: Sequence[LayoutEngine]
) -> dict[TargetId, LayerRange]:
    """Return the layers of a group whose engines are all empty.

    From the first layer on, unless the end of an engine that begins requests would
    leave no whole model; then in the order that leaves more capacity after a loss.
    """
    forward = _GroupPlanner(model, engines, is_initial=True).plan()
    if keeps_model_without_first(model, engines, forward):
        return forward
    backward = _GroupPlanner(model, engines, is_initial=True, from_end=True).plan()
    return max(forward, backward, key=lambda item: rate_layout(model, engines, item))


class _GroupPlanner:
    """Plans the layers of one group of engines that hold the model together.

    :param is_initial: no engine of any group holds layers yet.
    :param from_end: empty engines are given the last of the missing layers first.
    """

    def __init__(
        self,
        model: ModelSpec,
        engines: Sequence[LayoutEngine],
        is_initial: bool,
        from_end: bool = False,
    ) -> None:
        self._model = model
        self._engines = engines
        self._from_end = from_end
        self._goal = choose_capacity_goal(model, engines)
        self._max_added = model.layers if is_initial else _limit_added(model)
        self._fits_two_copies = (
            count_layers(model, engines, self._goal) >= 2 * model.layers
        )
        """The group can hold two copies of each layer at the capacity goal."""
        self._cover = LayerCover(model, engines)
        self._changes: dict[TargetId, LayerRange] = {}

    def plan(self) -> dict[TargetId, LayerRange]:
        """Return the new layer range of each engine that should change."""
        self._assign_empty_engines()
        self._close_holes()
        if self._cover.list_holes() and not self._has_memory_left():
            self._rebuild()
        self._add_copies()
        self._release_excess()
        return self._changes

    # Empty engines, and those with memory for more layers.

    def _assign_empty_engines(self) -> None:
        """Assign missing layers to empty engines, then second copies, fastest first.

        The fastest engines thus hold the first copy of each layer: a request holds
        memory at all of its engines until the slowest has computed the last token.
        """
        empty = [item for item in self._engines if item.layers is None]
        empty.sort(
            key=lambda item: (
                self._accelerator(item).step_factor,
                -self._nominal_size(item),
            )
        )
        overcommitted = self._list_overcommitted()
        for engine in empty:
            if not engine.is_busy and not self._assign_hole(engine):
                self._assign_copy(engine, overcommitted)

    def _assign_hole(self, engine: LayoutEngine) -> bool:
        """Assign one end of a hole to an engine; return whether it did.

        The start of the first hole, or the end of the last.
        """
        holes = self._cover.list_holes()
        size = min(self._nominal_size(engine), self._max_added)
        if not holes or not size:
            return False
        if self._from_end:
            hole = holes[-1]
            layers = LayerRange(max(hole.first, hole.end - size), hole.end)
        else:
            hole = holes[0]
            layers = LayerRange(hole.first, min(hole.end, hole.first + size))
        self._assign(engine, layers)
        return True

    def _assign_copy(
        self, engine: LayoutEngine, overcommitted: Iterable[tuple[LayerRange, int]]
    ) -> None:
        """Assign the run of layers with the highest score to an engine.

        Where memory is short, each of two holders needs only half of the capacity goal.

        :param overcommitted: layer ranges of overcommitted engines, and how many layers
            of each are in excess.
        """
        tokens = self._goal if self._fits_two_copies else self._goal / 2
        accelerator = self._accelerator(engine)
        size = min(self._model.count_layers(accelerator, tokens), self._max_added)
        if size == 0:
            return
        sums = [0, *accumulate(self._score_layers())]
        starts = range(self._model.layers - size + 1)
        scores = [sums[first + size] - sums[first] for first in starts]
        for held, excess in overcommitted:
            for first in starts:
                covered = _count_overlap_at_end(held, first, first + size)
                scores[first] += RELIEF_SCORE * min(excess, covered)
        first = scores.index(max(scores))
        self._assign(engine, LayerRange(first, first + size))

    def _score_layers(self) -> list[int]:
        """Return how much each layer needs another copy.

        Integer scores make sums over equal runs compare as equal; the first run wins,
        so that second copies are adjacent as well.
        """
        cover = self._cover
        return [
            SOLE_HOLDER_SCORE // span if copies == 1 else self._goal // (copies**2 + 1)
            for copies, span in zip(cover.copies, cover.holder_sizes, strict=True)
        ]

    def _add_copies(self) -> None:
        """Extend engines while all layers keep the capacity goal.

        A layer with two holders survives the loss of one.
        """
        for engine in self._list_available(
            include_changed=self._max_added == self._model.layers
        ):
            held = self._cover.held[engine.target]
            layers = held
            while _length(layers) - _length(held) < self._max_added:
                extended = self._choose_extension(engine, held, layers)
                if extended is None:
                    break
                layers = extended
            if layers != held:
                self._assign(engine, layers)

    def _choose_extension(
        self, engine: LayoutEngine, held: LayerRange, layers: LayerRange
    ) -> LayerRange | None:
        """Return ``layers`` with one more layer at either end, or ``None``.

        The layer must have fewer than two copies; the capacity goal must still hold.

        :param held: the engine's range in the coverage.
        :param layers: its range as extended so far.
        """
        cover = self._cover
        candidates = [
            LayerRange(layers.first - 1, layers.end),
            LayerRange(layers.first, layers.end + 1),
        ]
        best, fewest = None, 2
        for index, candidate in enumerate(candidates):
            added = candidate.first if index == 0 else candidate.end - 1
            if not 0 <= added < self._model.layers or cover.copies[added] >= fewest:
                continue
            capacity = cover.measure_capacity(engine, candidate)
            lost = cover.measure_capacity(engine, held) - capacity
            keeps_goal = cover.min_capacity(held) - lost >= self._goal
            if keeps_goal and capacity >= self._goal / 2:
                best, fewest = candidate, cover.copies[added]
        return best

    # Holes.

    def _close_holes(self) -> None:
        """Close holes by extending their neighbours or moving spare engines."""
        for _ in self._engines:
            holes = self._cover.list_holes()
            if not any(self._close_hole(hole) for hole in holes):
                return

    def _close_hole(self, hole: LayerRange) -> bool:
        """Close a hole or a part of it; return whether that was possible."""
        shares = self._split_hole(hole)
        has_capacity = shares and min(left for _, _, left in shares) >= MIN_FREE_TOKENS
        spare_engine = None if has_capacity else self._find_spare_engine()
        if spare_engine is not None:
            self._cover.unassign(spare_engine)
            return self._assign_hole(spare_engine)
        for engine, layers, _ in shares or ():
            self._assign(engine, layers)
        return bool(shares)

    def _split_hole(
        self, hole: LayerRange
    ) -> list[tuple[LayoutEngine, LayerRange, float]] | None:
        """Return new ranges of a hole's neighbours and the capacity each has left.

        Maximizes the lowest capacity left; ``None`` if the neighbours can't close it.
        """
        idle, held = self._list_idle(), self._cover.held
        before = [item for item in idle if held[item.target].end == hole.first]
        after = [item for item in idle if held[item.target].first == hole.end]
        best, best_capacity = None, 0.0
        for cut in range(hole.first, hole.end + 1):
            parts = []
            if cut > hole.first:
                parts.append(self._choose_neighbour(before, hole.first, cut))
            if cut < hole.end:
                parts.append(self._choose_neighbour(after, cut, hole.end))
            if None in parts:
                continue
            found = [part for part in parts if part is not None]
            capacity = min(left for _, _, left in found)
            if capacity > best_capacity:
                best, best_capacity = found, capacity
        return best

    def _choose_neighbour(
        self, engines: Iterable[LayoutEngine], first: int, end: int
    ) -> tuple[LayoutEngine, LayerRange, float] | None:
        """Return the engine with most capacity left, its new range and the capacity."""
        best: tuple[LayoutEngine, LayerRange, float] | None = None
        for engine in engines:
            held = self._cover.held[engine.target]
            layers = LayerRange(min(first, held.first), max(end, held.end))
            if _length(layers) - _length(engine.layers) > self._max_added:
                continue
            capacity = self._cover.measure_capacity(engine, layers)
            if capacity > 0.0 and (best is None or capacity > best[2]):
                best = (engine, layers, capacity)
        return best

    def _find_spare_engine(self) -> LayoutEngine | None:
        """Return the slowest engine all of whose layers have another holder."""
        spare_engines = [
            engine
            for engine in self._list_available()
            if self._nominal_size(engine) > 0
            and self._cover.min_copies(self._cover.held[engine.target]) > 1
        ]
        return max(
            spare_engines,
            key=lambda item: self._accelerator(item).step_factor,
            default=None,
        )

    def _has_memory_left(self) -> bool:
        """Return whether some engine has memory for the most layers of one order."""
        return any(
            _length(item.layers) + self._max_added <= self._nominal_size(item)
            for item in self._engines
        )

    def _rebuild(self) -> None:
        """Assign adjacent ranges to all engines anew, in their present order.

        Used after the loss of a large accelerator whose layers its neighbours can't
        take: the group has no chain, so moving all other engines loses nothing.
        """
        held = self._cover.held
        engines = self._list_idle()
        if (
            len(engines) < len(held)
            or sum(map(self._nominal_size, engines)) < self._model.layers
        ):
            return
        engines.sort(key=lambda item: (held[item.target].first, item.target))
        end = 0
        for engine in engines:
            if end >= self._model.layers:
                return
            size = self._nominal_size(engine)
            first = min(end, self._model.layers - size)
            if LayerRange(first, first + size) != held[engine.target]:
                self._assign(engine, LayerRange(first, first + size))
            end = first + size

    # Overcommitted engines.

    def _list_overcommitted(self) -> list[tuple[LayerRange, int]]:
        """Return the ranges of overcommitted engines and how many layers are excess."""
        found = []
        for engine in self._engines:
            held = self._cover.held.get(engine.target)
            if held is not None and self._is_overcommitted(held):
                found.append((held, max(0, _length(held) - self._nominal_size(engine))))
        return found

    def _is_overcommitted(self, held: LayerRange) -> bool:
        return self._cover.min_capacity(held) < OVERCOMMITTED_SHARE * self._goal

    def _release_excess(self) -> None:
        """Shrink engines that took parts of a hole which others hold by now."""
        for engine in self._list_available():
            held = self._cover.held[engine.target]
            if not self._is_overcommitted(held):
                continue
            layers = self._shrink(engine, _length(held) - self._nominal_size(engine))
            if layers != held:
                self._assign(engine, layers)

    def _shrink(self, engine: LayoutEngine, excess: int) -> LayerRange:
        """Return an engine's range without up to ``excess`` layers at its ends.

        Only layers for which the other holders have enough capacity are dropped.
        """
        held = self._cover.held[engine.target]
        own_capacity = self._cover.measure_capacity(engine, held)
        required = own_capacity + OVERCOMMITTED_SHARE * self._goal
        capacities = self._cover.capacities
        first, end = held.first, held.end
        while excess > 0 and end - first > 1:
            if capacities[first] >= required:
                first += 1
            elif capacities[end - 1] >= required:
                end -= 1
            else:
                break
            excess -= 1
        return LayerRange(first, end)

    # Lookups.

    def _list_idle(self) -> list[LayoutEngine]:
        """Return the engines that hold layers and have no order in progress."""
        return [
            item
            for item in self._engines
            if item.target in self._cover.held and not item.is_busy
        ]

    def _list_available(self, include_changed: bool = False) -> list[LayoutEngine]:
        """Return the idle engines; by default only those without a planned change."""
        return [
            item
            for item in self._list_idle()
            if include_changed or item.target not in self._changes
        ]

    def _accelerator(self, engine: LayoutEngine) -> Accelerator:
        return self._model.accelerators[engine.accelerator]

    def _nominal_size(self, engine: LayoutEngine) -> int:
        """Return how many layers fit on an engine beside the capacity goal."""
        return self._model.count_layers(self._accelerator(engine), self._goal)

    def _assign(self, engine: LayoutEngine, layers: LayerRange) -> None:
        self._cover.assign(engine, layers)
        self._changes[engine.target] = layers


def _length(layers: LayerRange | None) -> int:
    return layers.end - layers.first if layers is not None else 0


def _count_overlap_at_end(held: LayerRange, first: int, end: int) -> int:
    """Return how many layers at one end of ``held`` another range holds too."""
    at_start = min(held.end, end) - held.first if first <= held.first else 0
    at_end = held.end - max(held.first, first) if end >= held.end else 0
    return max(0, at_start, at_end)


def _limit_added(model: ModelSpec) -> int:
    """Return the most layers that one order may add while requests run."""
    if model.load_seconds <= 0.0:
        return model.layers
    return max(1, int(MAX_LOAD_SECONDS * model.layers / model.load_seconds))
