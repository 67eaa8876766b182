"""Forecasts what a request would get on a chain of engines now.

Load: engines whose speeds differ up to 15 times, in chains of 4 to 13 stages, with
other requests in their batches and prompts that wait to be prefilled. Placing and
admission use the same forecast, so that they agree on which chain serves a caller in
time. What the formula leaves out, such as waits between chunks of other prompts, is
learned from the times that runs have shown.
"""

import math
from collections.abc import Callable, Mapping, Sequence

from msgspec import Struct

from marigoldswitch.core.ids import TargetId
from marigoldswitch.core.models import Accelerator, ModelSpec

HOP_SECONDS = 0.0003
"""Link delay of a stage inside a data centre, with the handling of its messages."""
CROSSING_SECONDS = 0.0006
"""Delay of a link between data centres."""
DECAY_SECONDS = 10.0
"""Time in which a learned ratio loses two thirds of its effect: waves of demand last
13 s, and a ratio that was learned in one wave misleads in the next."""
SAMPLE_WEIGHT = 0.1
"""Weight of one run in a learned ratio; a host measures 1 to 6 runs a second."""
MAX_RATIO = 4.0
"""Largest factor, up or down, that is learned. Larger ones stem from interruptions."""


class ChainForecast(Struct, frozen=True):
    """What a request is expected to get, in seconds.

    :param first_event: from its sending to its first event.
    :param event_gap: between two events.
    """

    first_event: float
    event_gap: float


class RequestSize(Struct, frozen=True):
    """Size of a request, in tokens.

    :param prompt: tokens to be prefilled through all layers.
    :param context: expected context.
    """

    prompt: int
    context: int


class StageLoad(Struct, frozen=True):
    """A stage of a chain and the load of its engine.

    :param layers: number of layers that the engine would run of the request.
    :param running: requests in its batch.
    :param context: total context of these requests, in tokens.
    :param slowness: its step time relative to the usual one.
    :param backlog: seconds of prefill that wait there.
    """

    target: TargetId
    accelerator: Accelerator
    layers: int
    running: int = 0
    context: float = 0.0
    slowness: float = 1.0
    backlog: float = 0.0


class Ratios(Struct, frozen=True):
    """Measured times relative to forecast ones."""

    first_event: float = 1.0
    event_gap: float = 1.0


class ForecastState(Struct, frozen=True):
    """What a forecast needs to know apart from the stages and the request.

    :param crossings: links between data centres within the chain.
    :param get_ratios: returns the learned ratios of an accelerator kind.
    """

    model: ModelSpec
    crossings: int = 0
    get_ratios: Callable[[str], Ratios] = lambda _: Ratios()


def forecast_chain(
    stages: Sequence[StageLoad], request: RequestSize, state: ForecastState
) -> ChainForecast:
    """Return what a request would get on a chain.

    A prompt passes through the stages in order, in chunks between the decode steps of
    other requests: one step is waited for with each chunk, and one more brings the
    first token. An event needs as many decode steps as it holds tokens.
    """
    model = state.model
    chunk = max(1, model.prefill_chunk)
    chunks = max(1, math.ceil(request.prompt / chunk))
    links = len(stages) * HOP_SECONDS + state.crossings * CROSSING_SECONDS
    first = links + state.crossings * request.prompt * model.crossing_seconds_per_token
    gap = links
    for stage in stages:
        ratios = state.get_ratios(stage.accelerator.name)
        step = stage.slowness * stage.layers * _estimate_layer(stage, request, model)
        token = stage.slowness * estimate_prefill_token(stage, model)
        prefill = request.prompt * token + chunks * step
        first += stage.backlog + (prefill + step) * ratios.first_event
        gap += step * ratios.event_gap + min(stage.backlog, chunk * token)
    return ChainForecast(first, gap * model.event_tokens)


def estimate_prefill_token(stage: StageLoad, model: ModelSpec) -> float:
    """Return the seconds in which an engine prefills one token of a request."""
    share = stage.layers / model.layers
    factor = stage.accelerator.prefill_factor
    return model.prefill_seconds_per_token * factor * share


def _estimate_layer(stage: StageLoad, request: RequestSize, model: ModelSpec) -> float:
    return model.estimate_layer_seconds(
        stage.accelerator, stage.running + 1, stage.context + request.context
    )


class _Learned(Struct):
    """Logarithms of learned ratios."""

    first_event: float = 0.0
    event_gap: float = 0.0
    updated_at: float = 0.0


class ForecastCorrections:
    """Learns, by accelerator kind, how far forecasts are off.

    A run shows only the time of its whole chain; each kind is corrected by its share
    of the chain's layers.
    """

    def __init__(self) -> None:
        self._learned: dict[str, _Learned] = {}

    def get(self, kind: str, now: float) -> Ratios:
        """Return the ratios of a kind; they approach 1 with their age."""
        item = self._learned.get(kind)
        if item is None:
            return Ratios()
        weight = _decay(item, now)
        return Ratios(
            math.exp(weight * item.first_event), math.exp(weight * item.event_gap)
        )

    def note(
        self,
        shares: Mapping[str, float],
        forecast: ChainForecast,
        measured: ChainForecast,
        now: float,
    ) -> None:
        """Learn from an undisturbed run.

        :param shares: share of the chain's layers that each accelerator kind ran.
        :param forecast: before the run, corrected by what was known then.
        :param measured: a part that is 0 was not measured.
        """
        first = _compare(measured.first_event, forecast.first_event)
        gap = _compare(measured.event_gap, forecast.event_gap)
        limit = math.log(MAX_RATIO)
        for kind, share in shares.items():
            item = self._learned.setdefault(kind, _Learned())
            weight, step = _decay(item, now), SAMPLE_WEIGHT * share
            item.first_event = _clamp(item.first_event * weight + step * first, limit)
            item.event_gap = _clamp(item.event_gap * weight + step * gap, limit)
            item.updated_at = now


def _compare(measured: float, forecast: float) -> float:
    """Return the logarithm of a ratio, 0 if a part of it is unknown."""
    if measured <= 0.0 or forecast <= 0.0:
        return 0.0
    return _clamp(math.log(measured / forecast), math.log(MAX_RATIO))


def _clamp(value: float, limit: float) -> float:
    return max(-limit, min(limit, value))


def _decay(item: _Learned, now: float) -> float:
    return math.exp(-max(0.0, now - item.updated_at) / DECAY_SECONDS)
