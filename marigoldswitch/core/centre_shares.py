"""Decides which share of requests runs in another data centre than the callers' own.

Load: demand and engines are spread unevenly over data centres. One of three had 30 to
60 % more requests for its engines, longer chains, and two thirds of all late requests.
The loads of other data centres are known 0.2 to 1.5 s late, and dozens of hosts see the
same idle engines. Each host therefore moves a share of its requests, which grows slowly
while the difference lasts; it never switches all of them at once.
"""

import random
from collections.abc import Collection

from msgspec import Struct

from marigoldswitch.core.forecasts import ChainForecast
from marigoldswitch.core.ids import DataCentre

STAGE_LOSS = 0.004
"""Share of a stream's value lost for each engine of its chain. Where 4 of 34 engines
end three times in 40 s, 2 of 100 streams of 2.5 s lose a given engine; a third of these
exceed their longest pause, which costs about two thirds of their value."""
FREE_FILL = 0.4
"""Share of an engine's memory in use up to which it serves as if it were idle."""
FILL_LOSS = 0.6
"""Loss by the square of the fill above ``FREE_FILL``: 0.05 at a fill of 0.7, where
hosts begin to refuse each other's chains, 0.12 at 0.85."""
FULL_LOSS = 0.3
"""Loss assumed where a data centre has no chain with room."""
LATENESS_POWER = 4
"""Times vary little around the forecast: one at half of the objective is late in 6 of
100 cases, one at a fifth of it in less than 1 of 100."""
MOVE_MARGIN = 0.025
"""Least gain for which requests move. A cut between two data centres interrupts 2 to 3
of 100 streams that cross it, and their events cross an expensive link."""
RETURN_MARGIN = 0.01
"""Gain below which requests return; the gap to ``MOVE_MARGIN`` prevents flapping."""
RISE_PER_SECOND = 0.03
"""Growth of a share at a gain of ``FULL_GAIN`` or more. Streams take 3 s, loads are up
to 1.5 s old and ratings are averaged: hosts see the effect some 5 s later, after at
most a sixth of their requests have moved."""
FALL_PER_SECOND = 0.1
DRIFT_PER_SECOND = 0.01
"""Fall of a share whose gain is between both margins."""
FULL_GAIN = 0.1
MAX_MOVED = 0.5
"""Largest share of the requests of a data centre that run elsewhere by choice."""
COMPARE_SECONDS = 1.5
"""Interval at which one other data centre is compared, each in turn. A comparison costs
one chain search; a host makes 1 to 6 for requests in this time."""
FORGET_SECONDS = 5.0
"""Time without loads of a data centre after which its share is forgotten; until then it
is just not used, as a single report may be lost."""
AVERAGING_SECONDS = 3.0
"""Time over which ratings are averaged: single chains vary with their random costs."""


class LatencyNeeds(Struct, frozen=True):
    """Times that a caller expects, in seconds.

    :param event_gap: 0 if the route sets none.
    """

    first_event: float = 0.5
    event_gap: float = 0.0


def rate_chain(
    forecast: ChainForecast, stages: int, fill: float, needs: LatencyNeeds
) -> float:
    """Return the share of a request's value that a chain is expected to lose.

    :param stages: number of engines of the chain.
    :param fill: share of memory in use at its fullest engine.
    """
    loss = _estimate_lateness(forecast.first_event, needs.first_event)
    loss += _estimate_lateness(forecast.event_gap, needs.event_gap)
    loss += STAGE_LOSS * stages
    return loss + FILL_LOSS * max(0.0, fill - FREE_FILL) ** 2


def _estimate_lateness(seconds: float, objective: float) -> float:
    if objective <= 0.0:
        return 0.0
    return min(1.0, (seconds / objective) ** LATENESS_POWER)


class _Average(Struct):
    """Moving average of the ratings of a data centre's chains."""

    value: float | None = None
    updated_at: float = 0.0

    def add(self, rating: float, now: float) -> None:
        if self.value is None or now - self.updated_at > 2.0 * AVERAGING_SECONDS:
            self.value = rating
        else:
            weight = min(0.5, max(0.1, (now - self.updated_at) / AVERAGING_SECONDS))
            self.value += weight * (rating - self.value)
        self.updated_at = now


class ShareChange(Struct, frozen=True):
    """Result of a comparison with another data centre.

    :param home_loss: average rating of chains at home.
    :param other_loss: average rating of chains there.
    :param home_age: seconds since a chain at home was last rated.
    """

    centre: DataCentre
    before: float
    after: float
    home_loss: float
    other_loss: float
    home_age: float


class CentreShares:
    """Shares of one service's requests that run in other data centres.

    :param home: data centre of this host.
    :param rng: spreads the comparisons of hosts over time, and draws data centres.
    """

    def __init__(self, home: DataCentre, rng: random.Random) -> None:
        self.shares: dict[DataCentre, float] = {}
        self._home = home
        self._rng = rng
        self._averages: dict[DataCentre, _Average] = {}
        self._compared_at: dict[DataCentre, float] = {}
        self._compare_from: float | None = None
        self._known_at: dict[DataCentre, float] = {}
        """When the loads of each data centre were last known."""

    def choose(self, known: Collection[DataCentre]) -> DataCentre:
        """Return the data centre for a request, at random by the shares.

        :param known: other data centres whose loads are known; without its loads a
            data centre would look idle.
        """
        if not self.shares:
            return self._home
        drawn = self._rng.random()
        for centre, share in self.shares.items():
            drawn -= share
            if drawn < 0.0:
                return centre if centre in known else self._home
        return self._home

    def choose_compared(
        self, known: Collection[DataCentre], now: float
    ) -> DataCentre | None:
        """Return the data centre that is due to be compared now, if there is one.

        :param known: other data centres whose loads are known.
        """
        self._forget_unknown(known, now)
        if self._compare_from is None:
            self._compare_from = now + COMPARE_SECONDS * self._rng.random()
        if not known or now < self._compare_from:
            return None
        self._compare_from = now + COMPARE_SECONDS
        never = float("-inf")
        return min(sorted(known), key=lambda item: self._compared_at.get(item, never))

    def _forget_unknown(self, known: Collection[DataCentre], now: float) -> None:
        for centre in known:
            self._known_at[centre] = now
        for centre in list(self.shares):
            if now - self._known_at.get(centre, now) > FORGET_SECONDS:
                del self.shares[centre]

    def note(self, centre: DataCentre, rating: float, now: float) -> None:
        """Record the rating of a chain that lies in a data centre."""
        self._averages.setdefault(centre, _Average()).add(rating, now)

    def compare(
        self, centre: DataCentre, rating: float, now: float
    ) -> ShareChange | None:
        """Update the share of a data centre by a chain found there.

        :param rating: of that chain; ``FULL_LOSS`` if there is none with room.
        :return: ``None`` if no chain at home has been rated lately.
        """
        seconds = min(
            now - self._compared_at.get(centre, now - COMPARE_SECONDS),
            3.0 * COMPARE_SECONDS,
        )
        self._compared_at[centre] = now
        self.note(centre, rating, now)
        home, other = self._averages.get(self._home), self._averages[centre]
        if home is None or home.value is None or other.value is None:
            return None
        home_age = now - home.updated_at
        if home_age > 2.0 * AVERAGING_SECONDS:
            return None
        before = self.shares.get(centre, 0.0)
        after = before + seconds * _choose_rate(home.value - other.value)
        rest = sum(share for name, share in self.shares.items() if name != centre)
        after = max(0.0, min(after, MAX_MOVED - rest))
        if after > 0.0:
            self.shares[centre] = after
        else:
            self.shares.pop(centre, None)
        return ShareChange(centre, before, after, home.value, other.value, home_age)


def _choose_rate(gain: float) -> float:
    """Return the change of a share per second."""
    if gain > MOVE_MARGIN:
        return RISE_PER_SECOND * min(1.0, gain / FULL_GAIN)
    if gain < RETURN_MARGIN:
        return -FALL_PER_SECOND * min(1.0, (RETURN_MARGIN - gain) / FULL_GAIN)
    return -DRIFT_PER_SECOND
