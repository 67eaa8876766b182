"""Capacity that is kept free for urgent requests that are expected.

A less urgent stream holds its memory for seconds. Urgent requests that come in bursts
within that time would find all of it taken.
"""

import math

from marigoldswitch.core.retries import SlidingWindowCounter

ARRIVAL_WINDOW_SECONDS = 5.0
"""Window of the measured arrivals; longer than a burst of some seconds."""
RESERVE_DEVIATIONS = 1.0
"""Standard deviations of the number of urgent arrivals in the time that a stream runs.
Their mean needs no reserve: as many urgent streams end in that time."""
MAX_RESERVE_SHARE = 0.15
"""Largest part of an engine's usual load that is reserved."""


class UrgentArrivals:
    """Measured arrivals of a service on this host, by priority."""

    def __init__(self) -> None:
        self._by_priority: dict[int, SlidingWindowCounter] = {}

    def note(self, priority: int, now: float) -> None:
        """Count an arrival.

        :param now: monotonic seconds.
        """
        counter = self._by_priority.get(priority)
        if counter is None:
            counter = SlidingWindowCounter(ARRIVAL_WINDOW_SECONDS, bucket=0.25)
            self._by_priority[priority] = counter
        counter.add(now)

    def get_rate_above(self, priority: int, now: float) -> float:
        """Return the arrivals a second that are more urgent than a priority."""
        count = sum(
            counter.count(now)
            for item, counter in self._by_priority.items()
            if item < priority
        )
        return count / ARRIVAL_WINDOW_SECONDS


def compute_reserved_tokens(
    urgent_rate: float, run_seconds: float, tokens: float, parallel: float
) -> int:
    """Return the tokens to keep free on each engine of a chain.

    :param urgent_rate: urgent arrivals a second at all hosts.
    :param run_seconds: time that a stream runs.
    :param tokens: usual size of a request.
    :param parallel: engines that hold the same layer.
    """
    if urgent_rate <= 0.0 or run_seconds <= 0.0 or parallel <= 0.0:
        return 0
    running = urgent_rate * run_seconds
    expected = min(RESERVE_DEVIATIONS * math.sqrt(running), MAX_RESERVE_SHARE * running)
    return int(expected * tokens / parallel)
