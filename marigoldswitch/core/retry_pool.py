"""Retry budget of a host that shares the retries of all hosts by loans.

With dozens of hosts, an equal part of a service's retries is a few per host. When
engines of one data centre end or leave, its hosts have spent theirs at once, while the
parts of all other hosts stay unused. They borrow these; see ``loans``.
"""

import math
import random
from collections.abc import Callable

from msgspec import Struct, field

from marigoldswitch.core.ids import ServiceName
from marigoldswitch.core.loans import LoanBook, get_loan_memory
from marigoldswitch.core.peaks import RecentPeak
from marigoldswitch.core.retries import (
    BUDGET_WINDOW,
    RETRY_BUCKET,
    RetryBudget,
    SlidingWindowCounter,
)

IDLE_SECONDS = BUDGET_WINDOW
"""Time without a request for a retry after which a host borrows none."""
AHEAD_SECONDS = 2.0
"""Time for which a host borrows ahead; several exchanges of loans."""
HOLD_SECONDS = 5.0
"""Time for which a host wants to keep what it has borrowed. What it gives back is
deducted from the lender's part for a while, and nobody can use it."""


RETRY_SECONDS = BUDGET_WINDOW + RETRY_BUCKET
"""Time for which a retry counts at most."""
START_SECONDS = get_loan_memory(RETRY_SECONDS)
"""Time after the start of a process for which what the one before it has spent or lent
may count."""


class SharedLimits(Struct):
    """What all hosts together may send to each service.

    :param allowance: retries a second that they may always send.
    :param share: further retries, as a fraction of successful requests.
    :param count_members: returns the number of hosts; ``None`` while this host does not
        know them.
    """

    allowance: float
    share: float
    count_members: Callable[[], int | None]


class PooledBudget(RetryBudget, kw_only=True):
    """Retry budget of one service on one host that borrows what other hosts leave.

    :param service: the service.
    :param limits: what all hosts may send.
    :param loans: what this host owns, has lent and has borrowed.
    :param rng: rounds the reserve up or down at random; most hosts have a few retries.
    """

    service: ServiceName
    limits: SharedLimits
    loans: LoanBook
    rng: random.Random
    window: float = RETRY_SECONDS
    successes: SlidingWindowCounter = field(
        default_factory=lambda: SlidingWindowCounter(bucket=RETRY_BUCKET)
    )
    wanted: SlidingWindowCounter = field(
        default_factory=lambda: SlidingWindowCounter(IDLE_SECONDS, bucket=RETRY_BUCKET)
    )
    _demands: RecentPeak = field(default_factory=RecentPeak)
    _rounding: float = 0.0
    _rounding_until: float = float("-inf")

    def get_own_part(self, now: float) -> float:
        """Return this host's equal part of the retries of all hosts."""
        hosts = self.limits.count_members()
        if hosts is None:
            return 0.0
        always = self.limits.allowance * BUDGET_WINDOW / hosts
        return always + self.limits.share * self.successes.count(now)

    def count_used(self, now: float) -> int:
        """Return the retries within the window."""
        return self.retries.count(now)

    def estimate_demand(self, now: float) -> float:
        """Return the retries that this host wants to have sent within the window."""
        if not self.wanted.count(now):
            return 0.0
        ahead = max(1, self.wanted.count_since(now - AHEAD_SECONDS))
        wanted = self.retries.count(now) + ahead
        self._demands.note(math.ceil(wanted / (1.0 - self.reserve)), now)
        return self._demands.get(now - HOLD_SECONDS)

    def get_limit(self, now: float, use_reserve: bool = False) -> float:
        """Return how many retries this host may have spent in the current window.

        :param use_reserve: include the reserve for answers that have begun.
        """
        limit = self.loans.get_limit(self.service, now)
        if use_reserve:
            return limit
        return limit - math.floor(self.reserve * limit + self._get_rounding(now))

    def _get_rounding(self, now: float) -> float:
        """Return what is added to the reserve before it is rounded down.

        Drawn anew only once a window: requests without an answer would use up the
        reserve otherwise.
        """
        if now >= self._rounding_until:
            self._rounding = self.rng.random()
            self._rounding_until = now + BUDGET_WINDOW
        return self._rounding

    def _take(self, allowed: float, now: float) -> bool:
        self.wanted.add(now)
        return super()._take(allowed, now)
