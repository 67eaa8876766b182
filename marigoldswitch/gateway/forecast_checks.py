"""Compares the forecasts of chains with the times that their runs take."""

from marigoldswitch.core.forecasts import MAX_RATIO, ChainForecast
from marigoldswitch.core.stages import Chain
from marigoldswitch.gateway.exchanges import Exchange, RunParts

MEASURED_READS = 8
"""Reads of events after the first one over which the gap is measured. Later ones may be
held back by a slow caller."""


class ForecastCheck:
    """Measures the beginning of one answer, and corrects later forecasts by it."""

    def __init__(self, parts: RunParts, exchange: Exchange, chain: Chain) -> None:
        self._parts = parts
        self._exchange = exchange
        self._chain = chain
        self._began = parts.clock.monotonic()
        self._first: float | None = None
        self._reads = 0
        call = exchange.call
        self.forecast = parts.planner.forecast(
            exchange.service, chain, call.tokens, call.prompt_tokens or None
        )

    def note_read(self, now: float) -> None:
        """Record that one or more events have arrived."""
        if self._first is None:
            self._first = now
            seconds = now - self._began
            if seconds <= MAX_RATIO * self.forecast.first_event:
                self._note(ChainForecast(seconds, 0.0))
            return
        self._reads += 1
        if self._reads == MEASURED_READS:
            gap = (now - self._first) / MEASURED_READS
            if gap <= MAX_RATIO * self.forecast.event_gap:
                self._note(ChainForecast(0.0, gap))

    def _note(self, measured: ChainForecast) -> None:
        forecaster, stages = self._parts.planner.forecaster, self._chain.stages
        service = self._exchange.service
        forecaster.note_measured(service, stages, self.forecast, measured)


def start_check(
    parts: RunParts, exchange: Exchange, chain: Chain | None
) -> ForecastCheck | None:
    """Return a check of a new request's chain, if its service is placed by forecasts.

    A continued stream is not checked: its prompt may be kept by some engines.
    """
    if chain is None or exchange.response is not None:
        return None
    if not parts.planner.placing.is_active(exchange.service):
        return None
    return ForecastCheck(parts, exchange, chain)


def describe_choice(
    parts: RunParts, exchange: Exchange, check: ForecastCheck | None, is_found: bool
) -> dict[str, object]:
    """Return log fields: the forecast of a chain, or why there is none."""
    if not is_found:
        return parts.planner.describe_shortage(exchange.service, exchange.call.tokens)
    if check is None:
        return {}
    return {
        "forecast_first": round(check.forecast.first_event, 4),
        "forecast_gap": round(check.forecast.event_gap, 4),
    }
