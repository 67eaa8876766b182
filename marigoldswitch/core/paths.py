"""Chooses the chain of engines for a model request, as a shortest path over the layers.

Engines differ in speed, and each holds some layers and has little memory for requests.
Fixed chains would waste the remaining memory of their best engines and fail with any of
their stages. Instead each request gets the chain that is fastest now, among engines
with memory for it; stages may begin and end wherever the range of an engine does.
"""

import random
from collections.abc import Collection, Iterable, Mapping, Sequence

from marigoldswitch.core.catalogue import LayerRange
from marigoldswitch.core.ids import DataCentre, TargetId
from marigoldswitch.core.path_search import HOP_COST, PathSearch
from marigoldswitch.core.stages import (
    MAX_FILL,
    MAX_STAGES,
    Chain,
    Stage,
    StageOffer,
    count_crossings,
)

FILL_LIMITS = (0.7, 0.85, MAX_FILL)
"""Shares of an engine's memory that may be used, tried in this order; the next one only
if no chain has room below. If dozens of hosts filled the fastest engine completely by
load data that is 0.2 s old, they would overfill it: requests would find no memory."""
BASE_JITTER = 0.1
JITTER_PER_HOST = 0.03
MAX_JITTER = 1.0
"""Largest random part of a cost, as a share of it. It grows with the hosts of a data
centre: hosts that see the same loads must not all choose the same engine before they
learn of each other's choices."""
REMOTE_COST_FACTOR = 1.3
"""Factor on the cost of a chain outside the data centre of this host."""


def find_chain(
    offers: Sequence[StageOffer],
    span: LayerRange,
    rng: random.Random,
    previous_centre: DataCentre | None = None,
    jitter: float = BASE_JITTER,
    max_fill: float = MAX_FILL,
    allow_partial: bool = True,
    hop_cost: float = HOP_COST,
) -> Chain | None:
    """Return the cheapest chain over a range of layers, or ``None`` if none has room.

    Engines with memory for only a part of their layers are the last resort: dozens of
    hosts with load data that is 0.2 s old would overfill engines that are nearly full.

    :param span: the layers to run.
    :param previous_centre: data centre of the stage before the range, if any.
    :param jitter: largest random part of a cost; see :func:`choose_jitter`.
    :param max_fill: share of an engine's memory that may be used.
    :param allow_partial: whether to try engines with memory for a part of their layers.
    :param hop_cost: seconds that each stage adds to the cost.
    """
    whole = [item for item in offers if item.has_room(max_fill)]
    path = PathSearch(whole, span, rng, jitter, max_fill, hop_cost).run(previous_centre)
    if path is None and allow_partial:
        usable = [item for item in offers if item.count_free_layers(max_fill) > 0]
        search = PathSearch(usable, span, rng, jitter, max_fill, hop_cost)
        path = search.run(previous_centre)
    return path.build_chain() if path is not None else None


def repair_chain(
    stages: Sequence[Stage],
    lost: Collection[TargetId],
    offers: Sequence[StageOffer],
    centres: Mapping[TargetId, DataCentre],
    rng: random.Random,
    jitter: float = BASE_JITTER,
) -> Chain | None:
    """Return a chain in which other engines replace the lost stages, or ``None``.

    Remaining stages keep the KV cache of the request; new ones must process its context
    again, so only lost stages are replaced.

    :param lost: targets to replace; the first stage of a chain can't be replaced.
    :param centres: data centre of each target of the chain.
    :param jitter: largest random part of a cost; see :func:`choose_jitter`.
    """
    if stages[0].target in lost:
        return None
    centre_of = {**centres, **{item.target: item.data_centre for item in offers}}
    kept = {item.target for item in stages if item.target not in lost}
    candidates = [item for item in offers if item.target not in kept]
    repaired: list[Stage] = []
    cost = 0.0
    for stage in _merge_lost(stages, lost):
        if stage.target not in lost:
            repaired.append(stage)
            continue
        previous_centre = centre_of[repaired[-1].target]
        part = find_chain(candidates, stage.layers, rng, previous_centre, jitter)
        if part is None:
            return None
        repaired += part.stages
        cost += part.cost
        taken = {item.target for item in part.stages}
        candidates = [item for item in candidates if item.target not in taken]
    if len(repaired) > MAX_STAGES:
        return None
    crossings = count_crossings([centre_of[item.target] for item in repaired])
    return Chain(tuple(repaired), cost, crossings)


def find_single_centre_chain(
    offers: Iterable[StageOffer],
    layers: int,
    home: DataCentre,
    rng: random.Random,
    jitter: float = BASE_JITTER,
    hop_cost: float = HOP_COST,
) -> Chain | None:
    """Return the cheapest chain within one data centre, or ``None`` if none has room.

    Less filled engines come before faster ones. The data centre of this host comes
    before others until its engines are nearly full, as a network partition between two
    data centres would break the stream.

    :param layers: number of layers of the model.
    :param home: data centre of this host.
    :param jitter: largest random part of a cost; see :func:`choose_jitter`.
    :param hop_cost: seconds that each stage adds to the cost.
    """
    grouped: dict[DataCentre, list[StageOffer]] = {}
    for item in offers:
        grouped.setdefault(item.data_centre, []).append(item)
    local_offers = {home: grouped.get(home, [])}
    attempts = [(local_offers, max_fill, False) for max_fill in FILL_LIMITS[:-1]]
    attempts += [(grouped, max_fill, False) for max_fill in FILL_LIMITS]
    attempts.append((grouped, MAX_FILL, True))
    for centres, max_fill, allow_partial in attempts:
        chain = _find_cheapest(
            centres, layers, home, rng, jitter, max_fill, allow_partial, hop_cost
        )
        if chain is not None:
            return chain
    return None


def _find_cheapest(
    grouped: Mapping[DataCentre, Sequence[StageOffer]],
    layers: int,
    home: DataCentre,
    rng: random.Random,
    jitter: float,
    max_fill: float,
    allow_partial: bool,
    hop_cost: float,
) -> Chain | None:
    """Return the cheapest chain that stays in one of some data centres."""
    best: Chain | None = None
    best_cost = float("inf")
    for centre, items in grouped.items():
        span = LayerRange(0, layers)
        chain = find_chain(
            items,
            span,
            rng,
            jitter=jitter,
            max_fill=max_fill,
            allow_partial=allow_partial,
            hop_cost=hop_cost,
        )
        if chain is None:
            continue
        cost = chain.cost if centre == home else chain.cost * REMOTE_COST_FACTOR
        if cost < best_cost:
            best, best_cost = chain, cost
    return best


def covers_model(ranges: Sequence[LayerRange], layers: int) -> bool:
    """Return whether layer ranges together cover all layers of a model."""
    reached = 0
    for item in sorted(ranges, key=lambda item: item.first):
        if item.first > reached:
            return False
        reached = max(reached, item.end)
    return reached >= layers


def choose_jitter(hosts: int) -> float:
    """Return the largest random part of a cost, as a share of it.

    :param hosts: number of hosts that choose among the same engines.
    """
    return min(MAX_JITTER, BASE_JITTER + JITTER_PER_HOST * max(0, hosts - 1))


def _merge_lost(stages: Sequence[Stage], lost: Collection[TargetId]) -> list[Stage]:
    """Return the stages, with adjacent lost stages merged into one."""
    merged: list[Stage] = []
    for stage in stages:
        last = merged[-1] if merged else None
        if last is not None and last.target in lost and stage.target in lost:
            layers = LayerRange(last.layers.first, stage.layers.end)
            merged[-1] = Stage(last.target, last.address, layers)
        else:
            merged.append(stage)
    return merged
