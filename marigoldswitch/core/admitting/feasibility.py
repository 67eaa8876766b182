"""Whether a request can still meet its objective or its deadline.

A request that can't be served in time takes capacity from one that can, and its caller
learns of it only at the deadline.
"""

from enum import Enum
from typing import Protocol

from msgspec import Struct

from marigoldswitch.core.admitting.requesters import Requester
from marigoldswitch.core.routes import ServiceSpec
from marigoldswitch.core.stages import Chain

MAX_TOKENS_PER_EVENT = 3
"""Most tokens that an event holds on the known deployments. An answer counts with the
fewest events that it may have, so that only hopeless requests are refused."""


class Forecast(Protocol):
    """What a request is expected to get over a chain."""

    @property
    def first_event(self) -> float:
        """Return the seconds to its first event."""
        ...

    @property
    def event_gap(self) -> float:
        """Return the seconds between its events."""
        ...


class ChainForecaster(Protocol):
    """Forecasts what requests get."""

    def forecast(self, service: ServiceSpec, chain: Chain, tokens: int) -> Forecast:
        """Return the forecast of a request over a chain.

        :param tokens: context that the request is expected to reach.
        """
        ...


class UnknownForecast(Struct, frozen=True):
    """A forecast that excludes nothing."""

    first_event: float = 0.0
    event_gap: float = 0.0


class NoForecaster:
    """Forecasts 0 for every request, so that all count as feasible."""

    def forecast(self, service: ServiceSpec, chain: Chain, tokens: int) -> Forecast:
        """Return a forecast of 0."""
        return UnknownForecast()


class Feasibility(Enum):
    """What a request can still meet."""

    ON_TIME = "on_time"
    LATE = "late"
    """Its deadline, but not its objective."""
    HOPELESS = "hopeless"


def assess(requester: Requester, forecast: Forecast, now: float) -> Feasibility:
    """Return what a request can meet if it is sent now.

    :param now: monotonic seconds.
    """
    first = now + forecast.first_event
    events = requester.answer_tokens // MAX_TOKENS_PER_EVENT
    if first + events * forecast.event_gap > requester.deadline_at:
        return Feasibility.HOPELESS
    if first > requester.objective_at:
        return Feasibility.LATE
    return Feasibility.ON_TIME
