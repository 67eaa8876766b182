"""Which engines a model request passes through: a shortest path over the layers.

Load it answers: engines of several speeds, each with some layers and little memory for
requests. Fixed chains waste what the best of them has left and die with any of their
stages. Here each request gets the chain that is quickest now, cut at any boundary that
some engine begins or ends at, among engines that have memory for it.
"""

import heapq
import random
from collections.abc import Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass

from marigoldswitch.core.catalogue import LayerRange
from marigoldswitch.core.ids import DataCentre, TargetId

PRESSURE = 2.0
"""Cost of a full engine over that of an empty one, less one: requests spread over
engines of like speed before any is full, and a twice as fast one is filled to 0.7
first. An engine that runs out of memory restarts its newest request."""
FULL_SHARE = 0.95
"""Share of an engine's memory that is given out: lengths are estimates."""
FILL_SHARES = (0.7, 0.85, FULL_SHARE)
"""Shares up to which engines are filled in turn, the next one only where no chain has
room below. Thirty hosts that fill the quickest engine to the brim by counts that are
0.2 s old overfill it: in a play of a data centre of 29 engines 2.9 % of the requests
found no memory where they were sent, 0.1 % with these shares; 5.7 % and 2.3 % after
five engines were lost."""
JITTER = 0.1
JITTER_A_HOST = 0.03
MOST_JITTER = 1.0
"""Random part of a cost, growing with the hosts of a data centre: those that see the
same loads must not all choose the same engine in the time that their counts need to
reach each other. Thirty hosts with a random part of 0.1 gave the busiest engine 21
times the mean, and a third of all sendings were refused for want of memory."""
HOP_SECONDS = 0.0003
"""Cost of one more stage for each token: a link's delay and the wait for its turn."""
CROSSING_SECONDS = 0.004
"""Cost of a link between data centres for each token: its delay is 0.5 ms, the rest is
for what others wait meanwhile."""
FAR_FACTOR = 1.3
"""Cost of a chain in another data centre than the caller's host, if both have room."""
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
class StageOffer:
    """An engine that may take part in a chain.

    :param layers: those that it holds.
    :param layer_seconds: that one layer adds to a token.
    :param used: share of its memory for requests that is taken.
    :param need: share that this request would take.
    :param expected: share that other hosts have probably taken since they last told.
    """

    target: TargetId
    address: str
    data_centre: DataCentre
    layers: LayerRange
    layer_seconds: float
    used: float
    need: float
    expected: float = 0.0

    def has_room(self, share: float = FULL_SHARE) -> bool:
        """Tell whether it has memory for the request.

        :param share: of its memory that is given out.
        """
        return self.used + self.need <= share

    @property
    def cost(self) -> float:
        """Return the cost of one layer: its time, dearer as memory runs out."""
        used = self.used + self.expected
        return self.layer_seconds * (1.0 + PRESSURE * used * used)


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
    span: LayerRange,
    source: random.Random,
    centre_before: DataCentre | None = None,
    jitter: float = JITTER,
    share: float = FULL_SHARE,
) -> Chain | None:
    """Return the cheapest chain with room over some layers, or ``None``.

    :param span: the layers that it must run.
    :param share: of an engine's memory that is given out.
    :param jitter: random part of costs; see :func:`choose_jitter`.
    :param centre_before: data centre of the stage before it, if there is one.
    """
    usable = [item for item in offers if item.has_room(share)]
    costs = {
        item.target: item.cost * (1.0 + jitter * source.random()) for item in usable
    }
    cuts = _list_cuts(usable, span)
    begins = {item.data_centre for item in usable}
    if centre_before is not None:
        begins = {centre_before}
    best = {(span.first, centre): 0.0 for centre in sorted(begins)}
    steps: dict[_Node, _Step] = {}
    heap = [(0.0, *node) for node in best]
    heapq.heapify(heap)
    while heap:
        cost, start, centre = heapq.heappop(heap)
        if cost > best[(start, centre)]:
            continue
        if start == span.end:
            return _trace(steps, (start, centre), cost)
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


def mend_chain(
    stages: Sequence[Stage],
    lost: Collection[TargetId],
    offers: Sequence[StageOffer],
    centres: Mapping[TargetId, DataCentre],
    source: random.Random,
) -> Chain | None:
    """Return a chain in which others take the place of lost stages, or ``None``.

    The stages that stay keep what they have read of the request; those that come in
    read it anew, so that as few as can be are replaced.

    :param lost: targets to do without; nothing mends the loss of the first stage.
    :param centres: data centre of each target of the chain.
    """
    if stages[0].target in lost:
        return None
    places = {**centres, **{item.target: item.data_centre for item in offers}}
    kept = {item.target for item in stages if item.target not in lost}
    fresh = [item for item in offers if item.target not in kept]
    mended: list[Stage] = []
    cost = 0.0
    for stage in _join_lost(stages, lost):
        if stage.target not in lost:
            mended.append(stage)
            continue
        before = places[mended[-1].target]
        part = find_chain(fresh, stage.layers, source, before)
        if part is None:
            return None
        mended += part.stages
        cost += part.cost
        taken = {item.target for item in part.stages}
        fresh = [item for item in fresh if item.target not in taken]
    if len(mended) > MOST_STAGES:
        return None
    crossings = count_crossings([places[item.target] for item in mended])
    return Chain(tuple(mended), cost, crossings)


def find_near_chain(
    offers: Iterable[StageOffer],
    layers: int,
    home: DataCentre,
    source: random.Random,
    jitter: float = JITTER,
) -> Chain | None:
    """Return the cheapest chain with room inside one data centre, or ``None``.

    Engines that are filled less go before quicker ones, and those at home before those
    of other data centres unless only the brim is left there: a cut between the two
    would break the stream.
    """
    grouped: dict[DataCentre, list[StageOffer]] = {}
    for item in offers:
        grouped.setdefault(item.data_centre, []).append(item)
    at_home = {home: grouped.get(home, [])}
    for centres, shares in ((at_home, FILL_SHARES[:-1]), (grouped, FILL_SHARES)):
        for share in shares:
            chain = _find_cheapest(centres, layers, home, source, jitter, share)
            if chain is not None:
                return chain
    return None


def _find_cheapest(
    grouped: Mapping[DataCentre, Sequence[StageOffer]],
    layers: int,
    home: DataCentre,
    source: random.Random,
    jitter: float,
    share: float,
) -> Chain | None:
    """Return the cheapest of the chains that each stay in one data centre."""
    best: Chain | None = None
    best_cost = float("inf")
    for centre, items in grouped.items():
        span = LayerRange(0, layers)
        chain = find_chain(items, span, source, jitter=jitter, share=share)
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


def choose_jitter(hosts: int) -> float:
    """Return the random part of costs.

    :param hosts: that choose among the same engines.
    """
    return min(MOST_JITTER, JITTER + JITTER_A_HOST * max(0, hosts - 1))


def _list_cuts(offers: Iterable[StageOffer], span: LayerRange) -> list[int]:
    cuts = {span.end}
    for item in offers:
        cuts |= {item.layers.first, item.layers.end}
    return sorted(cut for cut in cuts if span.first < cut <= span.end)


def _trace(steps: dict[_Node, _Step], node: _Node, cost: float) -> Chain | None:
    """Return the stages that led to a node; no engine may come twice."""
    stages: list[Stage] = []
    centres: list[DataCentre] = []
    while node in steps:
        step = steps[node]
        layers = LayerRange(step.start, node[0])
        stages.append(Stage(step.offer.target, step.offer.address, layers))
        centres.append(step.offer.data_centre)
        node = (step.start, step.data_centre)
    stages.reverse()
    names = {item.target for item in stages}
    if len(names) < len(stages) or len(stages) > MOST_STAGES:
        return None
    return Chain(tuple(stages), cost, count_crossings(centres))


def count_crossings(centres: Sequence[DataCentre]) -> int:
    """Return how often neighbours of a chain are in different data centres."""
    return sum(
        before != after for before, after in zip(centres, centres[1:], strict=False)
    )


def _join_lost(stages: Sequence[Stage], lost: Collection[TargetId]) -> list[Stage]:
    """Return the stages, with neighbours that are lost joined to one."""
    joined: list[Stage] = []
    for stage in stages:
        last = joined[-1] if joined else None
        if last is not None and last.target in lost and stage.target in lost:
            layers = LayerRange(last.layers.first, stage.layers.end)
            joined[-1] = Stage(last.target, last.address, layers)
        else:
            joined.append(stage)
    return joined
