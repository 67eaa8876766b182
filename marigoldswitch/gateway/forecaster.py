"""Forecasts chains by the loads and the findings of this host."""

from collections.abc import Callable, Mapping, Sequence

from marigoldswitch.core.forecasts import (
    ChainForecast,
    ForecastCorrections,
    ForecastState,
    RequestSize,
    StageLoad,
    forecast_chain,
)
from marigoldswitch.core.ids import TargetId
from marigoldswitch.core.loads import Loads
from marigoldswitch.core.models import ModelSpec
from marigoldswitch.core.ports import Clock
from marigoldswitch.core.routes import ServiceSpec
from marigoldswitch.core.stages import Stage
from marigoldswitch.gateway.directory import Directory

PROMPT_SHARE = 0.8
"""Share of a request's tokens that is taken for its prompt where that is unknown."""


class Forecaster:
    """Forecasts what requests would get, and learns from what they got.

    :param slowness: step time of engines relative to the usual one, where it differs.
    """

    def __init__(
        self,
        directory: Directory,
        loads: Loads,
        clock: Clock,
        slowness: Mapping[TargetId, float],
    ) -> None:
        self.get_backlog: Callable[[TargetId], float] = lambda _: 0.0
        """Returns the seconds of prefill that wait at an engine."""
        self.corrections = ForecastCorrections()
        self._directory = directory
        self._loads = loads
        self._clock = clock
        self._slowness = slowness

    def forecast(
        self,
        service: ServiceSpec,
        stages: Sequence[Stage],
        tokens: int,
        prompt: int | None = None,
        crossings: int = 0,
    ) -> ChainForecast:
        """Return what a request would get on a chain now.

        :param tokens: expected context.
        :param prompt: tokens to be prefilled; ``None`` if unknown.
        """
        model = service.model
        if model is None:
            return ChainForecast(0.0, 0.0)
        now = self._clock.monotonic()
        if prompt is None:
            prompt = int(PROMPT_SHARE * tokens)
        state = ForecastState(
            model, crossings, lambda kind: self.corrections.get(kind, now)
        )
        loads = [self._describe_stage(item, model) for item in stages]
        known = [item for item in loads if item is not None]
        return forecast_chain(known, RequestSize(prompt, tokens), state)

    def note_measured(
        self,
        service: ServiceSpec,
        stages: Sequence[Stage],
        forecast: ChainForecast,
        measured: ChainForecast,
    ) -> None:
        """Learn from a run that was not disturbed.

        :param forecast: made when the run began.
        """
        if service.model is None:
            return
        rows, shares = self._directory.registry.rows, dict[str, float]()
        for item in stages:
            row = rows.get(item.target)
            if row is not None:
                kind = row.target.accelerator
                share = (item.layers.end - item.layers.first) / service.model.layers
                shares[kind] = shares.get(kind, 0.0) + share
        self.corrections.note(shares, forecast, measured, self._clock.monotonic())

    def _describe_stage(self, stage: Stage, model: ModelSpec) -> StageLoad | None:
        row = self._directory.registry.rows.get(stage.target)
        if row is None or row.target.layers is None:
            return None
        accelerator = model.accelerators.get(row.target.accelerator)
        if accelerator is None:
            return None
        usage, held = self._loads.get(stage.target), row.target.layers
        return StageLoad(
            stage.target,
            accelerator,
            stage.layers.end - stage.layers.first,
            usage.requests,
            usage.memory / (held.end - held.first),
            self._slowness.get(stage.target, 1.0),
            self.get_backlog(stage.target),
        )

    def measure_fill(self, service: ServiceSpec, stages: Sequence[Stage]) -> float:
        """Return the share of memory in use at the fullest engine of a chain.

        It is at least that of all engines of its data centre: the best chain is found
        among the least filled ones, which others will have filled in a moment.
        """
        model, rows = service.model, self._directory.registry.rows
        if model is None:
            return 0.0
        used = capacities = fullest = 0.0
        chain = {item.target for item in stages}
        first = rows.get(stages[0].target)
        centre = first.target.data_centre if first is not None else None
        for target in self._directory.registry.list_targets(service.name):
            accelerator = model.accelerators.get(target.accelerator)
            if accelerator is None or target.layers is None:
                continue
            if target.data_centre != centre and target.id not in chain:
                continue
            capacity = model.measure_request_memory(accelerator, target.layers)
            if capacity <= 0.0:
                continue
            memory = self._loads.get(target.id).memory
            if target.data_centre == centre:
                used, capacities = used + memory, capacities + capacity
            if target.id in chain:
                fullest = max(fullest, memory / capacity)
        return max(fullest, used / capacities if capacities > 0.0 else 0.0)
