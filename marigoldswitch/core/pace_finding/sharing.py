"""Keeps all hosts together within the share of targets on a ramp.

Addressed load: 60 hosts that see the same idle target each send it one request within
the time in which they hear of each other. Hosts therefore report what they want to send
and what the target has answered. Each lets a request through with the probability that
all together send what the share allows.
"""

import random
from collections.abc import Callable

from msgspec import Struct
from msgspec.structs import replace

from marigoldswitch.core.host_counts import (
    HOME_EXCHANGE_SECONDS,
    GroupCounts,
    HostCounts,
)
from marigoldswitch.core.ids import DataCentre, TargetId
from marigoldswitch.core.pace_finding.finder import PaceFinder
from marigoldswitch.core.pace_finding.records import RampCount
from marigoldswitch.core.send_limits import DEMAND_SECONDS

SUMS_SECONDS = 0.1
"""Time for which sums over the hosts are reused; reports come no more often."""
DRAW_SECONDS = 0.1
"""Time for which a draw holds. A request that waits for room asks every 20 ms: with a
draw each time, some attempt of each host would succeed."""
STALE_SECONDS = 4.0
"""Age after which a report of hosts no longer counts: those of other data centres come
by way of two relays, up to 2.5 s apart."""
REPORT_SECONDS = 0.6
"""Age up to which a target's own report of its load is used."""


class _Sums(Struct, frozen=True):
    """What hosts have counted, of all targets on a ramp.

    :param near: the hosts of this data centre.
    :param until: when to sum up again.
    """

    total: GroupCounts[TargetId, RampCount]
    near: GroupCounts[TargetId, RampCount]
    until: float


class RampCounts(HostCounts[TargetId, RampCount]):
    """What all hosts have counted of the targets on a ramp.

    :param count_wanted: returns the requests of the last ``DEMAND_SECONDS`` at this
        host that could be sent to a target.
    """

    def __init__(
        self,
        home: DataCentre,
        count_hosts: Callable[[], int],
        finder: PaceFinder,
        count_wanted: Callable[[TargetId, float], int],
    ) -> None:
        super().__init__(home, count_hosts, stale_seconds=STALE_SECONDS)
        self._finder = finder
        self._count_wanted = count_wanted
        self._sums: _Sums | None = None

    def count_own(self, now: float) -> dict[TargetId, RampCount]:
        """Return the counts of this host, by target on a ramp."""
        return {
            target: replace(count, wanted=self._count_wanted(target, now))
            for target, count in self._finder.count_own().items()
        }

    def sum_target(self, target: TargetId, now: float) -> RampCount:
        """Return what all known hosts have counted of a target."""
        return self._get_sums(now).total.counts.get(target, RampCount())

    def estimate_rate(self, target: TargetId, is_near: bool, now: float) -> float:
        """Return how many requests a second all hosts could send to a target.

        Hosts that have reported nothing of this ramp are taken to want as much as the
        others. A host that has heard none thus divides the share by their number.

        :param is_near: only hosts of this data centre send to it.
        """
        sums = self._get_sums(now)
        group = sums.near if is_near else sums.total
        hosts = self.count_hosts() * group.hosts / sums.total.hosts
        count = group.counts.get(target, RampCount())
        reporting = max(1, count.ramping + count.full)
        wanted = max(count.wanted, self._count_wanted(target, now))
        return wanted * max(1.0, hosts / reporting) / DEMAND_SECONDS

    def _get_sums(self, now: float) -> _Sums:
        if self._sums is None or now >= self._sums.until:
            until = now + SUMS_SECONDS
            self._sums = _Sums(self.sum_all(now), self.get_home(now), until)
        return self._sums


class TargetRoom(Struct, frozen=True):
    """Requests that a target can take, as known to a host.

    :param limit: requests at once that fill it at the full share.
    :param used: requests there, of all known hosts.
    :param seconds: time that one request stays there.
    :param is_near: only hosts of this data centre send to it.
    """

    limit: float
    used: float
    seconds: float
    is_near: bool = False


class RampGate:
    """Lets requests through to targets on a ramp, by their shares.

    :param rng: draws which requests are let through.
    """

    def __init__(
        self, finder: PaceFinder, counts: RampCounts, rng: random.Random
    ) -> None:
        self._finder = finder
        self._counts = counts
        self._rng = rng
        self._draws: dict[TargetId, tuple[float, float]] = {}
        """The last draw for each target, and until when it holds."""
        self._reports: dict[TargetId, tuple[float, float]] = {}
        """Requests at each target by its last report, and when it came."""

    def note_report(self, target: TargetId, requests: int, now: float) -> None:
        """Record how many requests a target on a ramp says that it has."""
        if self._finder.is_limited(target):
            self._reports[target] = (float(requests), now)

    def forget(self, target: TargetId) -> None:
        """Forget a target that is gone or has restarted."""
        self._draws.pop(target, None)
        self._reports.pop(target, None)

    def may_send(self, target: TargetId, room: TargetRoom, now: float) -> bool:
        """Return whether this host may send a target one more request now."""
        share = self._finder.get_share(target, now)
        if share >= 1.0:
            return True
        reported, at = self._reports.get(target, (0.0, float("-inf")))
        used = room.used if now - at > REPORT_SECONDS else max(room.used, reported)
        allowed = share * room.limit
        if used >= max(1.0, allowed):
            return False
        rate = self._counts.estimate_rate(target, room.is_near, now)
        is_short = room.seconds < HOME_EXCHANGE_SECONDS
        if not is_short or not self._finder.is_trusted(target):
            # What was sent since the last reports adds to what is known.
            chance = compute_chance(
                max(1.0, allowed) - used, rate, HOME_EXCHANGE_SECONDS
            )
        else:
            chance = compute_chance(allowed, rate, room.seconds)
        return self._draw(target, now) < chance

    def _draw(self, target: TargetId, now: float) -> float:
        drawn = self._draws.get(target)
        if drawn is None or now >= drawn[1]:
            drawn = self._draws[target] = (self._rng.random(), now + DRAW_SECONDS)
        return drawn[0]


def compute_chance(free: float, rate: float, seconds: float) -> float:
    """Return the probability with which each request may be sent.

    :param free: requests that may be at the target because of it.
    :param rate: requests a second that all hosts could send.
    :param seconds: time for which each of them stays, or remains unknown.
    """
    expected = rate * seconds
    return 1.0 if expected <= free else max(0.0, free) / expected
