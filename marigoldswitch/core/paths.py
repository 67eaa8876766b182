"""Which engines a model request passes through: a shortest path over the layers.

Load it answers: engines of several speeds, each with some layers and little memory for
requests. Fixed chains waste what the best of them has left and die with any of their
stages. Here each request gets the chain that is quickest now, cut at any boundary that
some engine begins or ends at, among engines that have memory for it.
"""

import random
from collections.abc import Collection, Iterable, Mapping, Sequence

from marigoldswitch.core.catalogue import LayerRange
from marigoldswitch.core.ids import DataCentre, TargetId
from marigoldswitch.core.path_search import PathSearch
from marigoldswitch.core.stages import (
    FULL_SHARE,
    MOST_STAGES,
    Chain,
    Stage,
    StageOffer,
    count_crossings,
)

FILL_SHARES = (0.7, 0.85, FULL_SHARE)
"""Shares up to which engines are filled in turn, the next one only where no chain has
room below. Dozens of hosts that fill the quickest engine to the brim by counts that are
0.2 s old overfill it, and requests find no memory where they are sent."""
JITTER = 0.1
JITTER_A_HOST = 0.03
MOST_JITTER = 1.0
"""Random part of a cost, growing with the hosts of a data centre: those that see the
same loads must not all choose the same engine in the time that their counts need to
reach each other."""
FAR_FACTOR = 1.3
"""Cost of a chain in another data centre than the caller's host, if both have room."""


def find_chain(
    offers: Sequence[StageOffer],
    span: LayerRange,
    source: random.Random,
    centre_before: DataCentre | None = None,
    jitter: float = JITTER,
    share: float = FULL_SHARE,
    allow_parts: bool = True,
) -> Chain | None:
    """Return the cheapest chain with room over some layers, or ``None``.

    Engines that have memory for a part of their layers only are the last resort: by
    counts that are 0.2 s old dozens of hosts would overfill what is nearly full.

    :param span: the layers that it must run.
    :param share: of an engine's memory that is given out.
    :param jitter: random part of costs; see :func:`choose_jitter`.
    :param centre_before: data centre of the stage before it, if there is one.
    :param allow_parts: use engines with memory for a part of their layers at the last.
    """
    whole = [item for item in offers if item.has_room(share)]
    way = PathSearch(whole, span, source, jitter, share).run(centre_before)
    if way is None and allow_parts:
        usable = [item for item in offers if item.count_room(share) > 0]
        way = PathSearch(usable, span, source, jitter, share).run(centre_before)
    return way.build() if way is not None else None


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
    turns = [(at_home, share, False) for share in FILL_SHARES[:-1]]
    turns += [(grouped, share, False) for share in FILL_SHARES]
    turns.append((grouped, FULL_SHARE, True))
    for centres, share, allow_parts in turns:
        chain = _find_cheapest(
            centres, layers, home, source, jitter, share, allow_parts
        )
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
    allow_parts: bool,
) -> Chain | None:
    """Return the cheapest of the chains that each stay in one data centre."""
    best: Chain | None = None
    best_cost = float("inf")
    for centre, items in grouped.items():
        span = LayerRange(0, layers)
        chain = find_chain(
            items, span, source, jitter=jitter, share=share, allow_parts=allow_parts
        )
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
