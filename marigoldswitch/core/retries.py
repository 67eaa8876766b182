"""Whether and when a request that missed is tried again: one layer, one shared budget.

Load it answers: targets that fail or refuse. Retries without a shared bound grow
exactly when targets are weakest; a count for each request still triples the load of a
service that is down. The budget is a share of what has lately succeeded, so that
retries are plentiful while failures are rare and vanish when failures are common.
Source: the paper
"Backpressure Is a Contract Every Caller Must Honor" (docs/design/retries.md).
"""

import random
from collections import deque
from dataclasses import dataclass, field

from marigoldswitch.core.delivery import Delivery, Miss
from marigoldswitch.core.errors import Advice
from marigoldswitch.core.ids import ServiceName

MOST_ATTEMPTS = 3
"""Attempts of one request; more adds load without finding other targets."""
BUDGET_SHARE = 0.15
"""Retries over recent successes; the middle of the 10 to 20 % of gRPC and Finagle."""
BUDGET_FLOOR = 0.5
"""Retries a second that are always allowed, so that a quiet service can retry."""
BUDGET_WINDOW = 10.0
"""Seconds that count as recent: longer than a burst, shorter than an outage."""
FIRST_BACK_OFF = 0.02
"""Upper end of the first pause, in seconds; a few times a link's latency."""
LONGEST_BACK_OFF = 1.0
LONGEST_HINT = 2.0
"""A target's ``Retry-After`` up to this is waited out here; a longer one is passed
on."""
SATURATED_SHARE = 0.5
"""Share of refused attempts from which the pool and not one target is the matter."""
FEWEST_ATTEMPTS = 10
"""Attempts in the window before that share says anything."""


@dataclass(frozen=True, slots=True)
class Missed:
    """An attempt without an answer, as a retry decision sees it.

    :param trusts_not_run: whether the service's targets are believed when they say so.
    :param attempt: number of the attempt, from 1.
    :param left: seconds until the request's deadline.
    """

    miss: Miss
    idempotent: bool
    trusts_not_run: bool
    attempt: int
    left: float


@dataclass(frozen=True, slots=True)
class Retry:
    """Try again.

    :param pause: seconds to wait first.
    """

    pause: float


@dataclass(frozen=True, slots=True)
class GiveUp:
    """Don't try again.

    :param reason: for the log line.
    :param retry_after: seconds that the caller is told to wait, where known.
    """

    reason: str
    retry_after: float | None = None


def may_retry(miss: Miss, idempotent: bool, trusts_not_run: bool, attempt: int) -> bool:
    """Tell whether another target may be tried at all.

    :param trusts_not_run: whether the service's targets are believed when they say so.
    :param attempt: number of the attempt that missed, from 1.
    """
    if attempt >= MOST_ATTEMPTS or miss.advice is Advice.STOP:
        return False
    return idempotent or is_not_run(miss, trusts_not_run)


def is_not_run(miss: Miss, trusts_not_run: bool) -> bool:
    """Tell whether the request certainly did not run in this attempt."""
    match miss.delivery:
        case Delivery.NOT_DELIVERED:
            return True
        case Delivery.REFUSED:
            return trusts_not_run
        case Delivery.MAY_HAVE_RUN:
            return False


@dataclass(slots=True)
class RecentCount:
    """Counts events of the last seconds.

    :param window: seconds that an event counts.
    """

    window: float = BUDGET_WINDOW
    _buckets: deque[tuple[int, int]] = field(default_factory=deque)
    _total: int = 0

    def add(self, now: float) -> None:
        """Count one event."""
        second = int(now)
        if self._buckets and self._buckets[-1][0] == second:
            count = self._buckets.pop()[1]
        else:
            count = 0
        self._buckets.append((second, count + 1))
        self._total += 1

    def read(self, now: float) -> int:
        """Return the number of recent events."""
        while self._buckets and self._buckets[0][0] <= now - self.window:
            self._total -= self._buckets.popleft()[1]
        return self._total


@dataclass(slots=True)
class RetryBudget:
    """The retries that all requests of one service on one host share."""

    share: float = BUDGET_SHARE
    floor: float = BUDGET_FLOOR
    successes: RecentCount = field(default_factory=RecentCount)
    retries: RecentCount = field(default_factory=RecentCount)

    def note_success(self, now: float) -> None:
        """Count an attempt that was answered."""
        self.successes.add(now)

    def spend(self, now: float) -> bool:
        """Take one retry out of the budget; tell whether there was one."""
        allowed = self.floor * self.retries.window + self.share * self.successes.read(
            now
        )
        spent = self.retries.read(now)
        if spent + 1 > allowed:
            return False
        self.retries.add(now)
        assert self.retries.read(now) <= allowed
        return True


@dataclass(slots=True)
class ServiceRetries:
    """Decides on retries for one service on one host.

    :param source: random numbers for the jitter.
    """

    source: random.Random
    budget: RetryBudget = field(default_factory=RetryBudget)
    refusals: RecentCount = field(default_factory=RecentCount)

    def note_success(self, now: float) -> None:
        """Count an attempt that was answered."""
        self.budget.note_success(now)

    def decide(self, missed: Missed, now: float) -> Retry | GiveUp:
        """Return whether and when to try again.

        :param now: monotonic seconds.
        """
        miss = missed.miss
        if miss.delivery is Delivery.REFUSED:
            self.refusals.add(now)
        if not may_retry(
            miss, missed.idempotent, missed.trusts_not_run, missed.attempt
        ):
            return GiveUp("not allowed", miss.retry_after)
        if miss.advice is Advice.RETRY_LATER or self._is_saturated(miss, now):
            return self._slow_down(missed, now)
        pause = self._draw_pause(missed.attempt)
        return self._spend(missed, pause, now)

    def _is_saturated(self, miss: Miss, now: float) -> bool:
        """Tell whether refusals come from the pool and not from one busy target."""
        if miss.delivery is not Delivery.REFUSED or miss.leaving:
            return False
        refused = self.refusals.read(now)
        attempts = refused + self.budget.successes.read(now)
        return attempts >= FEWEST_ATTEMPTS and refused > SATURATED_SHARE * attempts

    def _slow_down(self, missed: Missed, now: float) -> Retry | GiveUp:
        hint = missed.miss.retry_after
        if hint is None:
            hint = LONGEST_BACK_OFF
        if hint > LONGEST_HINT:
            return GiveUp("pool saturated", hint)
        pause = hint * (1.0 + self.source.random())
        return self._spend(missed, pause, now)

    def _spend(self, missed: Missed, pause: float, now: float) -> Retry | GiveUp:
        if pause >= missed.left:
            return GiveUp("deadline", missed.miss.retry_after)
        if not self.budget.spend(now):
            return GiveUp("budget spent", missed.miss.retry_after)
        return Retry(pause)

    def _draw_pause(self, attempt: int) -> float:
        """Return a pause with full jitter."""
        bound = FIRST_BACK_OFF * 2.0 ** (attempt - 1)
        return self.source.uniform(0.0, min(LONGEST_BACK_OFF, bound))


class HostRetries:
    """The retry decisions of one host, by service.

    :param source: random numbers for the jitter.
    """

    def __init__(self, source: random.Random) -> None:
        self._source = source
        self._services: dict[ServiceName, ServiceRetries] = {}

    def get(self, service: ServiceName) -> ServiceRetries:
        """Return what all requests of a service share."""
        if service not in self._services:
            self._services[service] = ServiceRetries(self._source)
        return self._services[service]
