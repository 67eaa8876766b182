"""Which engines a model request passes through: a shortest path over the layers.

Load it answers: engines of several speeds, each with some layers and little memory for
requests. Fixed chains waste what the best of them has left and die with any of their
stages. Here each request gets the chain that is quickest now, cut at any boundary that
some engine begins or ends at, among engines that have memory for it.
"""

import heapq
import random
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from marigoldswitch.core.catalogue import LayerRange
from marigoldswitch.core.ids import DataCentre, TargetId

PRESSURE = 2.0
"""Cost of a full engine over that of an empty one, less one: requests spread over
engines of like speed before any is full, and a twice as fast one is filled to 0.7
first. An engine that runs out of memory restarts its newest request."""
FULL_SHARE = 0.95
"""Share of an engine's memory that is given out: lengths are estimates."""
JITTER = 0.1
"""Random part of a cost: hosts that see the same loads don't all choose the same
engine in the time that their counts need to reach each other."""
HOP_SECONDS = 0.0003
"""Cost of one more stage for each token: a link's delay and the wait for its turn."""
CROSSING_SECONDS = 0.004
"""Cost of a link between data centres for each token: its delay is 0.5 ms, the rest is
for what others wait meanwhile."""
FAR_FACTOR = 1.3
"""Cost of a chain in another data centre than the caller's host: it is preferred only
where that has a third more room, as a cut between the two would break its streams."""
MOST_STAGES = 32
"""Longest chain that engines take."""


@dataclass(frozen=True, slots=True)
class Stage:
    """A part of a chain.

    :param layers: those that the target runs of this request.
    """

    target: TargetId
    address: str
    layers: LayerRange


@dataclass(frozen=True, slots=True)
class Chain:
    """Stages that run all layers once, in order.

    :param cost: seconds for a token, with what is added for engines that fill up.
    :param crossings: links between data centres that it passes.
    """

    stages: tuple[Stage, ...]
    cost: float
    crossings: int


@dataclass(frozen=True, slots=True)
class FirstStage:
    """The stage that must come first, whatever room it has, and where it ends."""

    offer: "StageOffer"
    end: int


@dataclass(frozen=True, slots=True)
class StageOffer:
    """An engine that may take part in a chain.

    :param layers: those that it holds.
    :param layer_seconds: that one layer adds to a token.
    :param used: share of its memory for requests that is taken.
    :param need: share that this request would take.
    """

    target: TargetId
    address: str
    data_centre: DataCentre
    layers: LayerRange
    layer_seconds: float
    used: float
    need: float

    @property
    def has_room(self) -> bool:
        """Tell whether it has memory for the request."""
        return self.used + self.need <= FULL_SHARE

    @property
    def cost(self) -> float:
        """Return the cost of one layer: its time, dearer as memory runs out."""
        return self.layer_seconds * (1.0 + PRESSURE * self.used * self.used)


@dataclass(frozen=True, slots=True)
class _Step:
    """How a boundary was reached."""

    start: int
    data_centre: DataCentre
    offer: StageOffer


_Node = tuple[int, DataCentre]
"""A layer boundary, and the data centre of the stage that ends there."""


def find_chain(
    offers: Sequence[StageOffer],
    layers: int,
    source: random.Random,
    first: FirstStage | None = None,
) -> Chain | None:
    """Return the cheapest chain with room over all layers, or ``None``.

    :param layers: number of layers of the model.
    :param first: the stage that a chain keeps that is changed under way.
    """
    usable = [item for item in offers if item.has_room]
    if first is not None:
        usable = [item for item in usable if item.target != first.offer.target]
    costs = {item.target: item.cost * _draw_jitter(source) for item in usable}
    cuts = _list_cuts(usable, layers)
    best = dict.fromkeys(_list_begins(usable, first), 0.0)
    steps: dict[_Node, _Step] = {}
    heap = [(0.0, *node) for node in best]
    heapq.heapify(heap)
    while heap:
        cost, start, centre = heapq.heappop(heap)
        if cost > best[(start, centre)]:
            continue
        if start == layers:
            return _trace(steps, (start, centre), cost, first)
        for offer in usable:
            if not offer.layers.first <= start < offer.layers.end:
                continue
            entry = cost + HOP_SECONDS
            if offer.data_centre != centre:
                entry += CROSSING_SECONDS
            for end in cuts:
                if not start < end <= offer.layers.end:
                    continue
                total = entry + (end - start) * costs[offer.target]
                node = (end, offer.data_centre)
                if total < best.get(node, float("inf")):
                    best[node] = total
                    steps[node] = _Step(start, centre, offer)
                    heapq.heappush(heap, (total, *node))
    return None


def find_near_chain(
    offers: Iterable[StageOffer],
    layers: int,
    home: DataCentre,
    source: random.Random,
) -> Chain | None:
    """Return the cheapest chain with room inside one data centre, or ``None``."""
    grouped: dict[DataCentre, list[StageOffer]] = {}
    for item in offers:
        grouped.setdefault(item.data_centre, []).append(item)
    best: Chain | None = None
    best_cost = float("inf")
    for centre, items in grouped.items():
        chain = find_chain(items, layers, source)
        if chain is None:
            continue
        cost = chain.cost if centre == home else chain.cost * FAR_FACTOR
        if cost < best_cost:
            best, best_cost = chain, cost
    return best


def has_chain(ranges: Sequence[LayerRange], layers: int) -> bool:
    """Tell whether some layer ranges cover a whole model among them."""
    reached = 0
    for item in sorted(ranges, key=lambda item: item.first):
        if item.first > reached:
            return False
        reached = max(reached, item.end)
    return reached >= layers


def _draw_jitter(source: random.Random) -> float:
    return 1.0 + JITTER * source.random()


def _list_cuts(offers: Iterable[StageOffer], layers: int) -> list[int]:
    cuts = {layers}
    for item in offers:
        cuts |= {item.layers.first, item.layers.end}
    return sorted(cuts)


def _list_begins(offers: Iterable[StageOffer], first: FirstStage | None) -> list[_Node]:
    if first is not None:
        return [(first.end, first.offer.data_centre)]
    return [(0, centre) for centre in sorted({item.data_centre for item in offers})]


def _trace(
    steps: dict[_Node, _Step], node: _Node, cost: float, first: FirstStage | None
) -> Chain | None:
    """Return the stages that led to a node; no engine may come twice."""
    stages: list[Stage] = []
    crossings = 0
    while node in steps:
        step = steps[node]
        layers = LayerRange(step.start, node[0])
        stages.append(Stage(step.offer.target, step.offer.address, layers))
        crossings += step.data_centre != step.offer.data_centre
        node = (step.start, step.data_centre)
    if first is not None:
        offer = first.offer
        stages.append(Stage(offer.target, offer.address, LayerRange(0, first.end)))
    stages.reverse()
    names = {item.target for item in stages}
    if len(names) < len(stages) or len(stages) > MOST_STAGES:
        return None
    return Chain(tuple(stages), cost, crossings)
