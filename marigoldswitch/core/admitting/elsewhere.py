"""What waits at other hosts, and when this one holds back for it.

Each host has a queue of its own. Capacity that becomes free would go to whichever host
asks next, also while more urgent requests wait at another one.
"""

from collections.abc import Callable, Mapping

from msgspec import Struct

from marigoldswitch.core.host_counts import GroupCounts, HostCounts
from marigoldswitch.core.ids import AccountId, DataCentre, HostId, ServiceName

MAX_REPORTED = 12
"""Most groups that a host or a relay reports. About 30 bytes each, which keeps to some
hundred bytes a message; the accounts with fewest waiting requests are summed up."""
MAX_HELD_SHARE = 0.3
"""Part of its allowed wait for which a request may be held back. All hosts hold back
for the same urgent request; with half of the wait a fortieth of the capacity stays
idle in a burst, and the urgent requests gain nothing (tests/admission_plays.py)."""
REUSE_SECONDS = 0.02
"""Time for which sums are used again; a host searches for room this often."""
REST = AccountId("")
"""Stands for all accounts that are summed up."""


class WaitKey(Struct, frozen=True):
    """A group of waiting requests."""

    service: ServiceName
    priority: int
    account: AccountId


class WaitCount(Struct, frozen=True):
    """Waiting requests of a group.

    :param tokens: total size.
    :param oldest: seconds that the first one has waited.
    """

    requests: int
    tokens: int
    oldest: float

    def plus(self, other: "WaitCount") -> "WaitCount":
        """Return the sum of both."""
        return WaitCount(
            self.requests + other.requests,
            self.tokens + other.tokens,
            max(self.oldest, other.oldest),
        )


WaitCounts = Mapping[WaitKey, WaitCount]


class WaitingElsewhere(HostCounts[WaitKey, WaitCount]):
    """What waits at all hosts, from this host's queues and its peers' reports."""

    def __init__(
        self,
        home: DataCentre,
        count_hosts: Callable[[], int],
        count_own: Callable[[float], WaitCounts],
    ) -> None:
        super().__init__(home, count_hosts)
        self._count_own = count_own
        self._reported: WaitCounts = {}
        """What this host last reported."""
        self._found: WaitCounts = {}
        """What was last found to wait elsewhere, at ``_found_at``."""
        self._found_at = float("-inf")

    def count_own(self, now: float) -> WaitCounts:
        """Return what waits at this host."""
        return self._count_own(now)

    def report_own(self, now: float) -> WaitCounts:
        """Return what waits at this host, to be reported."""
        self._reported = limit_groups(self._count_own(now))
        self._found_at = float("-inf")
        return self._reported

    def set_peer_counts(
        self, peer: HostId, centre: DataCentre, counts: WaitCounts, now: float
    ) -> None:
        """Replace the report of a peer; one without waiting requests is dropped."""
        self._found_at = float("-inf")
        if counts:
            super().set_peer_counts(peer, centre, counts, now)
        else:
            self._peers.pop(peer, None)

    def set_centre_counts(
        self, centre: DataCentre, group: GroupCounts[WaitKey, WaitCount], now: float
    ) -> None:
        """Replace the sums of a data centre; empty ones are dropped."""
        self._found_at = float("-inf")
        if group.counts:
            super().set_centre_counts(centre, group, now)
        else:
            self._centres.pop(centre, None)

    def get(self, now: float) -> WaitCounts:
        """Return what waits at other hosts.

        :param now: monotonic seconds.
        """
        if not self._peers and not self._centres:
            return {}
        if now - self._found_at >= REUSE_SECONDS:
            self._found, self._found_at = self._find(now), now
        return self._found

    def _find(self, now: float) -> WaitCounts:
        self.expire(now)
        total = self.sum_all(now).counts
        own = self._reported if self.home in self._centres else self.count_own(now)
        found = {}
        for key, count in total.items():
            mine = own.get(key)
            requests = count.requests - (mine.requests if mine else 0)
            if requests > 0:
                tokens = max(0, count.tokens - (mine.tokens if mine else 0))
                found[key] = WaitCount(requests, tokens, count.oldest)
        return found


def limit_groups(counts: WaitCounts, limit: int = MAX_REPORTED) -> WaitCounts:
    """Return the counts with the smallest accounts of each priority summed up."""
    if len(counts) <= limit:
        return counts
    largest = sorted(counts, key=lambda key: -counts[key].requests)[: limit // 2]
    limited = {key: counts[key] for key in largest}
    for key, count in counts.items():
        if key not in largest:
            rest = WaitKey(key.service, key.priority, REST)
            known = limited.get(rest)
            limited[rest] = count if known is None else known.plus(count)
    return limited


def must_hold_back(
    service: ServiceName, priority: int, elsewhere: WaitCounts, held_share: float
) -> bool:
    """Return whether a request leaves capacity to more urgent ones at other hosts.

    :param elsewhere: what waits at other hosts.
    :param held_share: part of its allowed wait that the request has waited.
    """
    if held_share >= MAX_HELD_SHARE:
        return False
    return any(key.service == service and key.priority < priority for key in elsewhere)
