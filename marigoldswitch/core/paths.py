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
"""Cost of a link between data centres for each token. Its delay is 0.5 ms; but the
links carry some 25 crossings a second in all, as a prompt's activations are some 70 MB,
so that a chain crosses only where its own data centre lacks layers or room."""
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
    offers: Iterable[StageOffer],
    layers: int,
    home: DataCentre,
    source: random.Random,
    first: StageOffer | None = None,
    first_end: int = 0,
) -> list[Stage] | None:
    """Return the cheapest chain with room over all layers, or ``None``.

    :param layers: number of layers of the model.
    :param home: data centre in which the chain should begin.
    :param first: the stage that must come first, up to ``first_end``, whatever room it
        has; for a chain that is changed under way.
    """
    usable = [item for item in offers if item.has_room]
    costs = {id(item): item.cost * _draw_jitter(source) for item in usable}
    cuts = _list_cuts(usable, layers)
    begin: _Node = (0, home)
    steps: dict[_Node, _Step] = {}
    if first is not None:
        begin = (first_end, first.data_centre)
    best: dict[_Node, float] = {begin: 0.0}
    heap: list[tuple[float, int, DataCentre]] = [(0.0, *begin)]
    while heap:
        cost, start, centre = heapq.heappop(heap)
        if cost > best[(start, centre)]:
            continue
        if start == layers:
            return _trace(steps, begin, (start, centre), first, first_end)
        for offer in usable:
            if not offer.layers.first <= start < offer.layers.end:
                continue
            if first is not None and offer.target == first.target:
                continue
            entry = cost + HOP_SECONDS
            if offer.data_centre != centre:
                entry += CROSSING_SECONDS
            for end in cuts:
                if not start < end <= offer.layers.end:
                    continue
                total = entry + (end - start) * costs[id(offer)]
                node = (end, offer.data_centre)
                if total < best.get(node, float("inf")):
                    best[node] = total
                    steps[node] = _Step(start, centre, offer)
                    heapq.heappush(heap, (total, *node))
    return None


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


def _trace(
    steps: dict[_Node, _Step],
    begin: _Node,
    node: _Node,
    first: StageOffer | None,
    first_end: int,
) -> list[Stage] | None:
    """Return the stages that led to a node; no engine may come twice."""
    stages: list[Stage] = []
    while node != begin:
        step = steps[node]
        layers = LayerRange(step.start, node[0])
        stages.append(Stage(step.offer.target, step.offer.address, layers))
        node = (step.start, step.data_centre)
    if first is not None:
        layers = LayerRange(0, first_end)
        stages.append(Stage(first.target, first.address, layers))
    stages.reverse()
    names = [item.target for item in stages]
    if len(set(names)) < len(names) or len(stages) > MOST_STAGES:
        return None
    return stages
