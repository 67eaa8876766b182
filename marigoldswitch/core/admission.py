"""Who is turned away, and when: at the moment a request would not be served in time.

Load it answers: saturation and bursts. A bound in items promises a wait that nobody has
chosen: 5,000 waiting before a pool that does 400 a second is 12.5 s, and all whose
callers give up sooner are dead work. The bound here is in time, against each caller's
deadline (rate of the pool x time left, minus the run itself), and a refusal costs one
estimate.
"""

from dataclasses import dataclass

from marigoldswitch.core.errors import ErrorKind
from marigoldswitch.core.estimates import WorkEstimates
from marigoldswitch.core.messages import Ask
from marigoldswitch.core.occupancy import Occupancy
from marigoldswitch.core.pace import Pace
from marigoldswitch.core.queueing import FairQueue

TAIL_TOLERANCE = 1.25
"""A request that was let in is turned away again only when its estimated end is so many
times its remaining time, so that a wavering estimate doesn't turn away what fits."""
WAIT_SHARE = 0.8
"""Part of the remaining time that the estimated wait and the run may take. Estimates
are off by a tenth; with no slack the queue stands right at the deadlines, and at 3
times the bound 7 in 100 of what was run ended late, with this slack fewer than 1 in
1,000 (tests/plays.py)."""
MOST_MARGIN = 0.75
"""Part of the remaining time kept for the run at the most; a caller whose deadline is
shorter than the slow runs gets in where the wait is short."""
LEAST_RETRY_SECONDS = 0.1
MOST_RETRY_SECONDS = 60.0
"""Bounds of the time after which a refused caller is told to come back."""


@dataclass(frozen=True, slots=True)
class Refusal:
    """An ask that is turned away.

    :param wait: estimated wait in seconds; 0 if unknown.
    :param retry_after: seconds after which the ask would be let in, if nothing new
        came.
    """

    ask: Ask
    kind: ErrorKind
    wait: float
    retry_after: float


class Admission:
    """Estimates waits and finds what has no chance."""

    def __init__(
        self, waiting: FairQueue, out: Occupancy, estimates: WorkEstimates
    ) -> None:
        self.slots = 0.0
        """Slots of the pool, in whole routes."""
        self._waiting = waiting
        self._out = out
        self._estimates = estimates

    def judge(
        self, ask: Ask, now: float, knows_wait: bool, full: bool
    ) -> Refusal | None:
        """Refuse an ask that would not be served in time, before it costs anything.

        :param knows_wait: whether the estimate may be believed.
        :param full: whether no slot is free.
        """
        wait = 0.0
        if knows_wait and (full or len(self._waiting)):
            wait = self.estimate_wait(ask, now, full)
        if ask.remaining <= 0.0:
            return build_refusal(ask, ErrorKind.DEADLINE_IN_QUEUE, wait, wait)
        if not self._waiting.has_space(ask.account, ask.priority):
            return build_refusal(ask, ErrorKind.SATURATED, wait, wait)
        allowed = WAIT_SHARE * ask.remaining
        allowed -= self._get_run_margin(ask.cost, ask.remaining)
        if ask.patience is not None:
            allowed = min(allowed, ask.patience)
        if wait > allowed:
            return build_refusal(ask, ErrorKind.SATURATED, wait, wait - allowed)
        return None

    def estimate_wait(self, ask: Ask, now: float, full: bool) -> float:
        """Return the seconds that one more ask would wait; 0 if unknown."""
        pace = self._measure_pace(now, full)
        if pace is None:
            return 0.0
        long = self._estimates.is_long(ask.cost)
        return self._waiting.estimate_wait(ask, long, pace)

    def allows_long(self) -> bool:
        """Tell whether one more long request may take a slot."""
        short = self._estimates.estimate_short_slots()
        return self._out.allows_long(self.slots, short)

    def list_hopeless(self, now: float, full: bool) -> list[Refusal]:
        """Take out what the pool, grown slower since, will not reach in time."""
        refusals: list[Refusal] = []
        pace = self._measure_pace(now, full)
        if pace is None:
            return refusals
        before = -1
        while len(refusals) > before:
            before = len(refusals)
            for item, wait in self._waiting.list_tails(pace):
                left = item.deadline - now
                needed = wait + self._get_run_margin(item.ask.cost, left)
                if wait > 0.0 and needed > left * TAIL_TOLERANCE:
                    self._waiting.remove(item.key)
                    refusals.append(
                        build_refusal(
                            item.ask, ErrorKind.SATURATED, wait, needed - left
                        )
                    )
        return refusals

    def _measure_pace(self, now: float, full: bool) -> Pace | None:
        """Return how fast the pool works, ``None`` if that is unknown."""
        busy = len(self._out) if full else max(len(self._out), self.slots)
        if not busy:
            return None
        rate = busy / self._estimates.seconds_per_cost
        if self.allows_long():
            return Pace(rate, None, now)
        return Pace(rate, rate * self._out.long / busy, now)

    def _get_run_margin(self, cost: float, remaining: float) -> float:
        """Return the time to keep for the run itself."""
        longest = self._estimates.get_longest_run(cost)
        return min(longest, MOST_MARGIN * remaining)


def build_refusal(
    ask: Ask, kind: ErrorKind, wait: float, retry_after: float
) -> Refusal:
    """Return a refusal with a time to come back that is within its bounds."""
    seconds = min(MOST_RETRY_SECONDS, max(LEAST_RETRY_SECONDS, retry_after))
    return Refusal(ask, kind, wait, seconds)
