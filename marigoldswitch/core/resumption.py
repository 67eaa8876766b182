"""Chooses whole new chains for streams that can't continue over their own.

A stream that loses the first engine of its chain has its context processed by all
engines of another chain. Many streams do so at the same moment, and the data centre of
the loss is busy with detours, while others have idle engines.
"""

import random
from collections.abc import Sequence

from msgspec import structs

from marigoldswitch.core.catalogue import LayerRange
from marigoldswitch.core.ids import DataCentre
from marigoldswitch.core.paths import find_chain
from marigoldswitch.core.stages import MAX_FILL, Chain, StageOffer

PREFILL_HORIZON = 0.3
"""Seconds within which the contexts of interrupted streams should be processed. An
engine whose backlog is nearly as long gets few more."""
MIN_IDLE_SHARE = 0.1
"""Least share of the horizon in which an engine counts as idle, for all to be usable
when all have much work before them."""
NOISE_OFFSET = 0.3
"""Constant part of the random factor on costs; the rest is exponential. With the
exponential part alone, each of several engines that hold the same layers is chosen in
proportion to its speed, but chains get more stages than they need."""
RESUME_SECONDS = 0.07
"""Seconds from the choice of a whole new chain to the next event if its engines are
idle: prefill by chunks through some ten engines, and a decode step."""
DECODE_SECONDS = 0.03
"""Seconds of the order and of the decode steps until the event after a detour."""
RESUMED_FILL_LIMITS = (0.85, MAX_FILL)


def find_resumed_chain(
    offers: Sequence[StageOffer], layers: int, rng: random.Random
) -> Chain | None:
    """Return a whole chain within one data centre for a stream that lost its first
    engine, or ``None``.

    Its context is sent from this host and processed by all engines of the chain. The
    data centre is drawn in proportion to what its engines can prefill soon, and so are
    the engines: all hosts resume their streams at the same moment, and the data centre
    of the loss is busy with detours.

    :param layers: number of layers of the model.
    """
    grouped = _group_by_centre(offers)
    weights = {
        centre: measure_prefill_rate(items, layers)
        for centre, items in sorted(grouped.items())
    }
    order = sorted(
        (centre for centre, weight in weights.items() if weight > 0.0),
        key=lambda centre: rng.expovariate(weights[centre]),
    )
    for max_fill in RESUMED_FILL_LIMITS:
        for centre in order:
            costs = [_draw_cost(item, rng) for item in grouped[centre]]
            span = LayerRange(0, layers)
            chain = find_chain(
                costs, span, rng, jitter=0.0, max_fill=max_fill, allow_partial=False
            )
            if chain is not None:
                return chain
    return None


def is_quicker_elsewhere(ready_in: float, pause_left: float) -> bool:
    """Return whether a whole new chain may keep a pause that a detour does not keep.

    Only the engines that hold the lost layers can take a detour; where they have more
    to do than the pause allows, other data centres are idle.

    :param ready_in: seconds until the engines of the detour are ready.
    :param pause_left: seconds left of the longest pause.
    """
    left = pause_left - DECODE_SECONDS
    return ready_in > left >= RESUME_SECONDS


def can_resume(offers: Sequence[StageOffer], layers: int) -> bool:
    """Return whether one data centre can process a context through all layers."""
    grouped = _group_by_centre(offers)
    return any(measure_prefill_rate(item, layers) > 0.0 for item in grouped.values())


def _group_by_centre(
    offers: Sequence[StageOffer],
) -> dict[DataCentre, list[StageOffer]]:
    grouped: dict[DataCentre, list[StageOffer]] = {}
    for item in offers:
        grouped.setdefault(item.data_centre, []).append(item)
    return grouped


def measure_prefill_rate(offers: Sequence[StageOffer], layers: int) -> float:
    """Return the contexts a second that some engines can process through all layers.

    Engines count in proportion to the part of the horizon in which they are idle.
    """
    rates = [0.0] * layers
    for item in offers:
        if item.prefill_seconds <= 0.0 or not item.has_room():
            continue
        resumed = item.for_resuming()
        held = item.layers.end - item.layers.first
        each = held * resumed.layer_seconds + resumed.entry_cost
        rate = _measure_idle_share(item) / each
        for layer in range(item.layers.first, min(layers, item.layers.end)):
            rates[layer] += rate
    return min(rates, default=0.0)


def _measure_idle_share(offer: StageOffer) -> float:
    return max(MIN_IDLE_SHARE, 1.0 - offer.backlog / PREFILL_HORIZON)


def _draw_cost(offer: StageOffer, rng: random.Random) -> StageOffer:
    """Return an offer with random costs, lower for engines that are quick and idle."""
    resumed = offer.for_resuming()
    noise = NOISE_OFFSET + rng.expovariate(1.0)
    factor = noise / _measure_idle_share(offer)
    return structs.replace(
        resumed,
        layer_seconds=factor * resumed.layer_seconds,
        entry_cost=factor * resumed.entry_cost,
        wait=0.0,
    )
