"""Shortest-path search for the cheapest chain of engines over a range of layers."""

import bisect
import random
from collections.abc import Mapping, Sequence

from msgspec import Struct

from marigoldswitch.core.catalogue import LayerRange
from marigoldswitch.core.ids import DataCentre, TargetId
from marigoldswitch.core.stages import (
    MAX_STAGES,
    Chain,
    Stage,
    StageOffer,
    count_crossings,
)

HOP_COST = 0.0003
"""Seconds that each stage adds to a token: link delay and queueing at the engine."""
CROSSING_COST = 0.004
"""Seconds that a link between data centres adds to the cost of a token. Its delay is
0.5 ms; the rest accounts for the requests that wait for the link meanwhile."""


class _Predecessor(Struct, frozen=True):
    """The last stage of the cheapest path to a node.

    :param start: boundary at which the stage begins.
    :param data_centre: data centre of the stage before it.
    :param offer: the engine that runs it.
    """

    start: int
    data_centre: DataCentre
    offer: StageOffer


_Node = tuple[int, DataCentre]
"""A layer boundary, and the data centre of the stage that ends there."""


class PathSearch:
    """Finds the cheapest path over a range of layers.

    Nodes are layer boundaries, one for each data centre; edges are engines that run the
    layers in between.

    :param offers: the engines to choose from.
    :param span: the layers to run.
    :param jitter: largest random part of a cost, as a share of it.
    :param max_fill: share of an engine's memory that may be used.
    :param hop_cost: seconds that each stage adds to the cost.
    """

    def __init__(
        self,
        offers: Sequence[StageOffer],
        span: LayerRange,
        rng: random.Random,
        jitter: float,
        max_fill: float,
        hop_cost: float = HOP_COST,
    ) -> None:
        self._hop_cost = hop_cost
        self._span = span
        self._offers = offers
        self._max_layers = [item.count_free_layers(max_fill) for item in offers]
        self._costs = [item.cost * (1.0 + jitter * rng.random()) for item in offers]
        boundaries = {span.first, span.end}
        for item in offers:
            boundaries |= {item.layers.first, item.layers.end}
        self._boundaries = sorted(
            item for item in boundaries if span.first <= item <= span.end
        )
        self._takeover_boundaries = sorted(
            {item.layers.first for item in offers} | {span.end}
        )
        """Boundaries at which a stage may end before the last layer of its engine."""
        self._offers_at = self._index_offers()

    def _index_offers(self) -> dict[int, list[int]]:
        """Return, for each boundary, the indexes of the offers that can start there."""
        offers_at: dict[int, list[int]] = {item: [] for item in self._boundaries}
        for index, offer in enumerate(self._offers):
            low = bisect.bisect_left(self._boundaries, offer.layers.first)
            high = bisect.bisect_left(self._boundaries, offer.layers.end)
            for boundary in self._boundaries[low:high]:
                offers_at[boundary].append(index)
        return offers_at

    def run(self, previous_centre: DataCentre | None) -> "LayerPath | None":
        """Return the cheapest path, or ``None`` if there is none.

        :param previous_centre: data centre of the stage before the range, if any.
        """
        span = self._span
        entry_centres = {item.data_centre for item in self._offers}
        if previous_centre is not None:
            entry_centres = {previous_centre}
        best: dict[int, dict[DataCentre, float]]
        best = {span.first: dict.fromkeys(sorted(entry_centres), 0.0)}
        predecessors: dict[_Node, _Predecessor] = {}
        for start in self._boundaries[:-1]:
            reached = best.get(start)
            if reached is None:
                continue
            for index in self._offers_at[start]:
                offer = self._offers[index]
                entry_cost, centre = _choose_entry(reached, offer.data_centre)
                predecessor = predecessors.get((start, centre))
                if predecessor is None or predecessor.offer is not offer:
                    entry_cost += self._hop_cost
                    self._relax(index, start, entry_cost, centre, best, predecessors)
        ends = best.get(span.end)
        if not ends:
            return None
        cost, centre = min((cost, centre) for centre, cost in ends.items())
        return LayerPath(
            predecessors, (span.end, centre), cost, self._max_layers_by_target()
        )

    def _relax(
        self,
        index: int,
        start: int,
        entry_cost: float,
        centre: DataCentre,
        best: dict[int, dict[DataCentre, float]],
        predecessors: dict[_Node, _Predecessor],
    ) -> None:
        """Update the cheapest paths with one engine that starts at a boundary.

        :param index: of the engine's offer.
        :param entry_cost: cost of the path up to the start of the stage.
        :param centre: data centre of the stage before.
        """
        offer = self._offers[index]
        furthest = min(
            offer.layers.end, self._span.end, start + self._max_layers[index]
        )
        begin = max(entry_cost, offer.wait) + offer.entry_cost
        for end in self._list_ends(start, furthest, offer.layers.end):
            total = begin + (end - start) * self._costs[index]
            if start == 0:
                total += offer.begin_cost
            known = best.setdefault(end, {})
            if total < known.get(offer.data_centre, float("inf")):
                known[offer.data_centre] = total
                predecessors[(end, offer.data_centre)] = _Predecessor(
                    start, centre, offer
                )

    def _list_ends(self, start: int, furthest: int, held_end: int) -> list[int]:
        """Return the boundaries at which a stage may end.

        An engine's cost is the same for each of its layers, so only its own end and the
        first layers of other engines need to be considered.

        :param furthest: last boundary that the engine can reach.
        :param held_end: end of the layers that it offers.
        """
        low = bisect.bisect_right(self._takeover_boundaries, start)
        high = bisect.bisect_right(self._takeover_boundaries, furthest)
        ends = self._takeover_boundaries[low:high]
        if furthest == held_end and (not ends or ends[-1] != furthest):
            ends.append(furthest)
        return ends

    def _max_layers_by_target(self) -> dict[TargetId, int]:
        names = (item.target for item in self._offers)
        return dict(zip(names, self._max_layers, strict=True))


def _choose_entry(
    reached: Mapping[DataCentre, float], centre: DataCentre
) -> tuple[float, DataCentre]:
    """Return the lowest cost to enter an engine and the data centre it is reached from.

    :param reached: cost of the boundary for each data centre.
    :param centre: the engine's data centre.
    """
    cost, previous = min(
        (cost + (0.0 if name == centre else CROSSING_COST), name)
        for name, cost in reached.items()
    )
    return cost, previous


class LayerPath:
    """The stages of the cheapest path, traced back from its last node.

    :param max_layers: most layers that each target can run of the request.
    """

    def __init__(
        self,
        predecessors: Mapping[_Node, _Predecessor],
        node: _Node,
        cost: float,
        max_layers: Mapping[TargetId, int],
    ) -> None:
        self._cost = cost
        self._max_layers = max_layers
        self._stages: list[Stage] = []
        self._centres: list[DataCentre] = []
        while node in predecessors:
            predecessor = predecessors[node]
            layers = LayerRange(predecessor.start, node[0])
            stage = Stage(predecessor.offer.target, predecessor.offer.address, layers)
            self._stages.append(stage)
            self._centres.append(predecessor.offer.data_centre)
            node = (predecessor.start, predecessor.data_centre)
        self._stages.reverse()
        self._centres.reverse()
        self._merge_repeats()

    def _merge_repeats(self) -> None:
        """Merge two stages of one engine and all in between, as it holds these layers.

        Stages stay apart if the engine has no memory for all of the layers.
        """
        first: dict[TargetId, int] = {}
        index = 0
        while index < len(self._stages):
            stage = self._stages[index]
            known = first.setdefault(stage.target, index)
            if known < index:
                layers = LayerRange(self._stages[known].layers.first, stage.layers.end)
                if layers.end - layers.first > self._max_layers[stage.target]:
                    return
                merged = Stage(stage.target, stage.address, layers)
                self._stages[known : index + 1] = [merged]
                del self._centres[known + 1 : index + 1]
                first = {item.target: at for at, item in enumerate(self._stages)}
                index = known
            index += 1

    @property
    def has_repeats(self) -> bool:
        """Return whether an engine still has two stages, for lack of memory."""
        return len({item.target for item in self._stages}) < len(self._stages)

    def build_chain(self) -> Chain | None:
        """Return the chain, or ``None`` if engines would refuse it."""
        if self.has_repeats or len(self._stages) > MAX_STAGES:
            return None
        crossings = count_crossings(self._centres)
        return Chain(tuple(self._stages), self._cost, crossings)
