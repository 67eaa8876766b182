"""Keeps all hosts together within the rate limits that targets state.

A target that is short of capacity states how many requests a second it takes from all
hosts together. If each host kept to the limit by itself, the target would get as many
times the limit as hosts send to it; with equal parts, most of the limit would be unused
where few hosts have callers. Instead, hosts report how many requests they have sent to
such a target and how many they wanted to send. Each data centre may send a part of what
is left, by what its hosts want, in the time after which all other hosts know; and each
host its part of that in the shorter time after which its data centre knows.

Unlike an exclusion, which is this host's own guess and is set aside where no other
target is left, a stated limit binds every sending.
"""

import math
import random
from collections.abc import Callable

from msgspec import Struct, field

from marigoldswitch.core.host_counts import (
    EXCHANGE_SECONDS,
    HOME_EXCHANGE_SECONDS,
    GroupCounts,
    HostCounts,
)
from marigoldswitch.core.ids import DataCentre, ServiceName, TargetId
from marigoldswitch.core.retries import SlidingWindowCounter
from marigoldswitch.core.stated_limits import StatedLimits

WINDOW_SECONDS = 4.0
"""Time over which the rate of requests to a target is kept."""
DEMAND_SECONDS = 10.0
"""Time over which hosts count what they want to send, several times that in which all
hosts hear of it."""
BUCKET_SECONDS = 0.1
SUMS_SECONDS = 0.1
"""Time for which sums over the hosts are reused: a search for a chain asks for each
engine, and waiting requests search every 20 ms. Reports come no more often."""
MAX_UNHEARD_FACTOR = 1.5
"""Hosts for each one that was heard, up to which the others are taken to send as much
as those. Beyond it, the hosts that were heard share their part of the limit by their
number, as those of a partition's other side do."""
SHARED_FACTOR = 1 + HOME_EXCHANGE_SECONDS / WINDOW_SECONDS
"""Factor on what hosts may send together. What each has sent lately counts twice, in
the sum and against its part, so that they would use less than the limit."""
FAR_SETTLED_FACTOR = DEMAND_SECONDS / (DEMAND_SECONDS - EXCHANGE_SECONDS)
HOME_SETTLED_FACTOR = DEMAND_SECONDS / (DEMAND_SECONDS - HOME_EXCHANGE_SECONDS)
"""Factors on what was wanted up to these times ago, so that it compares with what is
wanted until now."""
MAX_UNUSED_FACTOR = 2.0
"""Most by which a part is raised for requests that may not come to be sent. Callers
that come to all hosts at once use all parts."""
IDLE_HOST_WEIGHT = 0.1
"""Requests that a host without any counts as wanting, so that it gets its first."""


class SendCount(Struct, frozen=True):
    """Requests to one target.

    :param sent: those sent within ``WINDOW_SECONDS``.
    :param recent: those sent within ``EXCHANGE_SECONDS``.
    :param wanted: requests of ``DEMAND_SECONDS`` that could be sent to it in the first
        place, before other targets are tried.
    :param settled: those of them of which all hosts have heard.
    """

    sent: int = 0
    recent: int = 0
    wanted: int = 0
    settled: int = 0

    def plus(self, other: "SendCount") -> "SendCount":
        """Return the sum of both."""
        return SendCount(
            self.sent + other.sent,
            self.recent + other.recent,
            self.wanted + other.wanted,
            self.settled + other.settled,
        )


class _Part(Struct, frozen=True):
    """This host's part of a target's limit.

    :param requests: how many more it may send until the others know of them.
    :param per_second: rate at which it gets more.
    """

    requests: float
    per_second: float


class _TargetSends(Struct):
    """What this host has sent to a target with a limit.

    :ivar rounding: added to the part before it is rounded down, drawn at random. It is
        redrawn only as often as hosts exchange their counts: if each attempt drew its
        own, some attempt of each host would succeed.
    """

    sent: SlidingWindowCounter = field(
        default_factory=lambda: SlidingWindowCounter(
            WINDOW_SECONDS + BUCKET_SECONDS, bucket=BUCKET_SECONDS
        )
    )
    rounding: float = 0.0
    rounding_until: float = float("-inf")
    part: _Part = _Part(0.0, 0.0)
    part_until: float = float("-inf")


class _Sums(Struct, frozen=True):
    """What hosts have counted, of all targets.

    :param near: the hosts of this data centre.
    :param until: when to sum up again.
    """

    total: GroupCounts[TargetId, SendCount]
    near: GroupCounts[TargetId, SendCount]
    until: float


class SendLimits(HostCounts[TargetId, SendCount]):
    """What all hosts may send to the targets that state a limit.

    :param rng: rounds small parts up or down.
    :ivar stated: the limits in force.
    """

    def __init__(
        self, home: DataCentre, count_hosts: Callable[[], int], rng: random.Random
    ) -> None:
        super().__init__(home, count_hosts, stale_seconds=WINDOW_SECONDS)
        self.stated = StatedLimits()
        self._rng = rng
        self.find_service: Callable[[TargetId], ServiceName | None] = lambda _: None
        """Returns the service of a target, if this host's requests for that service may
        be sent to the target in the first place."""
        self._wanted: dict[ServiceName, SlidingWindowCounter] = {}
        """Requests for each service, counted before any limit is known."""
        self._sends: dict[TargetId, _TargetSends] = {}
        self._sums: _Sums | None = None

    def may_send(self, target: TargetId, now: float) -> bool:
        """Return whether this host may send a target one more request."""
        rate = self.stated.get_rate(target)
        if rate is None:
            return True
        sends = self._get_sends(target)
        part = self._get_part(target, sends, rate, now)
        recent = sends.sent.count_since(now - HOME_EXCHANGE_SECONDS)
        return recent + 1 <= part.requests + self._get_rounding(sends, now)

    def note_sent(self, target: TargetId, now: float) -> None:
        """Count a request that is sent to a target."""
        if self.stated.get_rate(target) is not None:
            self._get_sends(target).sent.add(now)

    def note_wanted(self, service: ServiceName, now: float) -> None:
        """Count a request for a service."""
        wanted = self._wanted.get(service)
        if wanted is None:
            wanted = SlidingWindowCounter(DEMAND_SECONDS, bucket=BUCKET_SECONDS)
            self._wanted[service] = wanted
        wanted.add(now)
        wanted.count(now)  # Drops those that are too old.

    def count_wanted(self, service: ServiceName, now: float) -> int:
        """Return the requests for a service within ``DEMAND_SECONDS``."""
        wanted = self._wanted.get(service)
        return wanted.count(now) if wanted is not None else 0

    def estimate_wait(self, target: TargetId, now: float) -> float:
        """Return the mean seconds until this host may send a target a request.

        At most the time over which the rate is kept: parts may be others by then.
        """
        rate = self.stated.get_rate(target)
        if rate is None:
            return 0.0
        part = self._get_part(target, self._get_sends(target), rate, now)
        return min(WINDOW_SECONDS, 1.0 / part.per_second)

    def forget(self, target: TargetId) -> None:
        """Forget a target that is gone or has restarted."""
        self.stated.forget(target)
        self._sends.pop(target, None)

    def count_own(self, now: float) -> dict[TargetId, SendCount]:
        """Return the counts of this host, by target with a limit."""
        return {
            target: self._count_sends(target, sends, now)
            for target, sends in self._sends.items()
            if self.stated.get_rate(target) is not None
        }

    def _get_sends(self, target: TargetId) -> _TargetSends:
        sends = self._sends.get(target)
        if sends is None:
            sends = self._sends[target] = _TargetSends()
        return sends

    def _get_part(
        self, target: TargetId, sends: _TargetSends, rate: float, now: float
    ) -> _Part:
        if now >= sends.part_until:
            sends.part = self._compute_part(target, sends, rate, now)
            sends.part_until = now + SUMS_SECONDS
        return sends.part

    def _compute_part(
        self, target: TargetId, sends: _TargetSends, rate: float, now: float
    ) -> _Part:
        allowed = max(1.0, rate * WINDOW_SECONDS)
        hosts = self.count_hosts()
        sums = self._get_sums(now)
        known, home = sums.total, sums.near
        own = self._count_sends(target, sends, now)
        if hosts <= 1:
            return _Part(allowed - own.sent, rate)
        unheard_factor = max(1.0, hosts / known.hosts)
        if known.hosts == 1 and unheard_factor > MAX_UNHEARD_FACTOR:
            return _Part(float(int(allowed / hosts) - own.sent), rate / hosts)
        if unheard_factor > MAX_UNHEARD_FACTOR:
            allowed, rate = allowed / unheard_factor, rate / unheard_factor
            unheard_factor = 1.0
        total = known.counts.get(target, own)
        near = home.counts.get(target, own)
        near_wanted = near.settled * FAR_SETTLED_FACTOR
        near_share = _get_share(near_wanted, home.hosts, total.wanted, known.hosts)
        near_share /= unheard_factor
        settled = self._count_wanted(target, now, HOME_EXCHANGE_SECONDS)
        own_wanted = settled * HOME_SETTLED_FACTOR
        own_share = _get_share(own_wanted, 1, near.wanted, home.hosts)
        left = SHARED_FACTOR * allowed - (total.sent * unheard_factor - near.recent)
        left_near = max(0.0, left * near_share - near.recent)
        requests = left_near * own_share * _compute_unused_factor(own_wanted)
        return _Part(requests, rate * near_share * own_share)

    def _count_sends(
        self, target: TargetId, sends: _TargetSends, now: float
    ) -> SendCount:
        return SendCount(
            sends.sent.count(now),
            sends.sent.count_since(now - EXCHANGE_SECONDS),
            self._count_wanted(target, now, 0.0),
            self._count_wanted(target, now, EXCHANGE_SECONDS),
        )

    def _count_wanted(self, target: TargetId, now: float, age: float) -> int:
        """Return the requests of at least some age that could be sent to a target.

        :param age: in seconds.
        """
        service = self.find_service(target)
        wanted = self._wanted.get(service) if service is not None else None
        if wanted is None:
            return 0
        return wanted.count(now) - (wanted.count_since(now - age) if age else 0)

    def _get_sums(self, now: float) -> _Sums:
        if self._sums is None or now >= self._sums.until:
            until = now + SUMS_SECONDS
            self._sums = _Sums(self.sum_all(now), self.get_home(now), until)
        return self._sums

    def _get_rounding(self, sends: _TargetSends, now: float) -> float:
        if now >= sends.rounding_until:
            sends.rounding = self._rng.random()
            sends.rounding_until = now + HOME_EXCHANGE_SECONDS
        return sends.rounding


def _compute_unused_factor(wanted: float) -> float:
    """Return the factor on a host's part for requests that it may not come to send.

    A part below one request is drawn as a whole one, now and then. Where callers come
    rarely, most of these are not used before the next draw.

    :param wanted: requests that the host wants to send in ``DEMAND_SECONDS``.
    """
    expected = wanted * HOME_EXCHANGE_SECONDS / DEMAND_SECONDS
    used_share = 1.0 - math.exp(-expected)
    return 1.0 / max(used_share, 1.0 / MAX_UNUSED_FACTOR)


def _get_share(part: float, hosts: int, total: int, all_hosts: int) -> float:
    """Return the share of a group of hosts by what they want to send.

    The group counts only requests that the other groups have heard of and include in
    the total. Otherwise all would take a larger share at once as callers come.

    :param part: requests that the group wanted to send.
    :param hosts: number of its hosts.
    """
    weight = part + IDLE_HOST_WEIGHT * hosts
    return min(1.0, weight / (total + IDLE_HOST_WEIGHT * all_hosts))
