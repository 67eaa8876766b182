"""Estimates that a dispatcher draws from finished work: its rate and its run times.

Load they answer: saturation. A queue that is bounded in items promises a wait nobody
has chosen; to bound it in time the dispatcher must know how fast its pool works.
"""

import math
from dataclasses import dataclass

FEWEST_SAMPLES = 20
"""Samples before a quantile is believed; below it one odd run would decide."""
QUANTILE_STEP = 0.05
"""Relative step of a quantile; it follows a doubled run time within about 50 runs."""
MEAN_WEIGHT = 0.005
"""Weight of one run in the mean, once there have been as many. The mean of 200
log-normal run times (sigma 1) is off by 9 % in one standard deviation."""
DEMAND_SECONDS = 10.0
"""Time over which the demand of short work is averaged."""
SHORT_SLACK = 1.0
"""Standard deviations of the slots in use by short work (a Poisson count) that are kept
free for it above their mean. With 2.0 long work still doubles the 99th percentile of
the short wait in one seed of three; with 2.5 in none, and long work waits its own run
time."""
LONG_FACTOR = 4.0
"""Work is long where its cost is above this many mean costs; with log-normal work
(sigma 0.7) of one kind fewer than 2 in 100 pass it."""


@dataclass(slots=True)
class Quantile:
    """A quantile of a stream of positive numbers, by small relative steps.

    :param level: the quantile, within (0, 1).
    """

    level: float
    value: float = 0.0
    samples: int = 0

    def add(self, sample: float) -> None:
        """Take one number."""
        self.samples += 1
        if self.samples == 1:
            self.value = sample
        elif sample > self.value:
            self.value *= 1.0 + QUANTILE_STEP * self.level
        else:
            self.value *= 1.0 - QUANTILE_STEP * (1.0 - self.level)

    @property
    def trusted(self) -> float:
        """Return the quantile, 0 while there are too few samples."""
        return self.value if self.samples >= FEWEST_SAMPLES else 0.0


class WorkEstimates:
    """What finished runs say of the runs to come.

    :param mean_seconds: run time of one unit of cost until one has been measured.
    """

    def __init__(self, mean_seconds: float) -> None:
        self._seconds = mean_seconds
        self._cost = 1.0
        self._mean_cost = 0.0
        self._runs = 1
        self._asks = 0
        self._short_cost = 0.0
        self._short_rate = 0.0
        self._typical = Quantile(0.5)
        self._slow = Quantile(0.95)

    @property
    def seconds_per_cost(self) -> float:
        """Return the mean run time of one unit of cost."""
        return self._seconds / self._cost

    def note_cost(self, cost: float) -> None:
        """Take the cost of one ask."""
        if not self.is_long(cost):
            self._short_cost += cost
        self._asks += 1
        weight = max(MEAN_WEIGHT, 1.0 / self._asks)
        self._mean_cost += weight * (cost - self._mean_cost)

    def note_run(self, cost: float, seconds: float) -> None:
        """Take one run that ended well."""
        if cost <= 0.0 or seconds <= 0.0:
            return
        self._runs += 1
        weight = max(MEAN_WEIGHT, 1.0 / self._runs)
        self._seconds += weight * (seconds - self._seconds)
        self._cost += weight * (cost - self._cost)
        self._typical.add(seconds / cost)
        self._slow.add(seconds / cost)

    def note_broken_run(self, cost: float, seconds: float) -> None:
        """Take a run that was cut off: it would have taken longer still.

        Without them only runs that beat their deadline would count, and the estimate
        would be too low. Where it ended early it says nothing.
        """
        if seconds > self.seconds_per_cost * cost:
            self.note_run(cost, seconds)

    def is_long(self, cost: float) -> bool:
        """Tell whether work is long beside the mean of the service."""
        return cost > LONG_FACTOR * self._mean_cost > 0.0

    def pass_time(self, seconds: float) -> None:
        """Take in that some time has passed since the last call."""
        if seconds <= 0.0:
            return
        weight = min(1.0, seconds / DEMAND_SECONDS)
        self._short_rate += weight * (self._short_cost / seconds - self._short_rate)
        self._short_cost = 0.0

    def estimate_short_slots(self) -> float:
        """Return the slots that short work needs, with room for its chance swings."""
        slots = self._short_rate * self.seconds_per_cost
        return slots + SHORT_SLACK * math.sqrt(slots)

    def get_typical_run(self, cost: float) -> float:
        """Return the seconds that every other run needs at least; 0 while unknown."""
        return self._typical.trusted * cost

    def get_longest_run(self, cost: float) -> float:
        """Return the seconds within which 19 in 20 runs end; 0 while unknown."""
        return self._slow.trusted * cost
