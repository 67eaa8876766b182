"""Counts that all hosts report to each other, summed by data centre and over all.

The hosts of a data centre report to each other or, where they are many, to a relay,
which sends the sums of its own and the other data centres back.
"""

from collections.abc import Callable, Iterable, Mapping
from typing import Generic, Protocol, Self, TypeVar

from msgspec import Struct

from marigoldswitch.core.ids import DataCentre, HostId

EXCHANGE_SECONDS = 2.5
"""Time within which the hosts of all data centres hear of what one has counted. What
was counted since then is taken from the data centre's part, as the others may not know
of it yet."""
HOME_EXCHANGE_SECONDS = 0.6
"""The same for the hosts of one data centre, and for each host's part."""
STALE_SECONDS = 2.0
"""Usual age after which a report no longer counts: relays send the sums of other data
centres every 1.5 s."""


class Count(Protocol):
    """What a host counts of one key."""

    def plus(self, other: Self) -> Self:
        """Return the sum of both."""
        ...


KeyT = TypeVar("KeyT")
CountT = TypeVar("CountT", bound=Count)
SourceT = TypeVar("SourceT")


class GroupCounts(Struct, Generic[KeyT, CountT], frozen=True):
    """Sums over a group of hosts.

    :param hosts: number of hosts that are included.
    """

    hosts: int
    counts: Mapping[KeyT, CountT]


class _Report(Struct, Generic[KeyT, CountT], frozen=True):
    """Counts of a peer, or of a data centre as summed by its relay.

    :param received_at: monotonic time of arrival, in seconds.
    """

    received_at: float
    data_centre: DataCentre
    group: GroupCounts[KeyT, CountT]


class HostCounts(Generic[KeyT, CountT]):
    """What all hosts have counted, from this host's own counts and its peers' reports.

    :param home: data centre of this host.
    :param count_hosts: returns the number of hosts that share the bounds, silent ones
        included, with this one.
    :param stale_seconds: age after which a report no longer counts.
    """

    def __init__(
        self,
        home: DataCentre,
        count_hosts: Callable[[], int],
        stale_seconds: float = STALE_SECONDS,
    ) -> None:
        self.count_hosts = count_hosts
        self.home = home
        self._stale_seconds = stale_seconds
        self._peers: dict[HostId, _Report[KeyT, CountT]] = {}
        self._centres: dict[DataCentre, _Report[KeyT, CountT]] = {}

    def count_own(self, now: float) -> Mapping[KeyT, CountT]:
        """Return the counts of this host."""
        raise NotImplementedError

    def set_peer_counts(
        self,
        peer: HostId,
        centre: DataCentre,
        counts: Mapping[KeyT, CountT],
        now: float,
    ) -> None:
        """Replace the reported counts of a peer.

        :param now: monotonic time, in seconds.
        """
        self._peers[peer] = _Report(now, centre, GroupCounts(1, counts))

    def set_centre_counts(
        self, centre: DataCentre, group: GroupCounts[KeyT, CountT], now: float
    ) -> None:
        """Replace the sums of a data centre, as reported by its relay."""
        self._centres[centre] = _Report(now, centre, group)

    def expire(self, now: float) -> None:
        """Drop the reports that no longer count."""
        since = now - self._stale_seconds
        self._peers = _select_fresh(self._peers, since)
        self._centres = _select_fresh(self._centres, since)

    def sum_home(self, now: float) -> GroupCounts[KeyT, CountT]:
        """Return the sums of this data centre, from its hosts' own reports."""
        peers = (item for item in self._peers.values() if item.data_centre == self.home)
        own = GroupCounts(1, self.count_own(now))
        return _add([own, *(item.group for item in peers)])

    def get_other_centres(self) -> dict[DataCentre, GroupCounts[KeyT, CountT]]:
        """Return the sums of each other data centre that are known."""
        direct: dict[DataCentre, list[GroupCounts[KeyT, CountT]]] = {}
        for item in self._peers.values():
            direct.setdefault(item.data_centre, []).append(item.group)
        found = {centre: _add(groups) for centre, groups in direct.items()}
        found |= {centre: item.group for centre, item in self._centres.items()}
        found.pop(self.home, None)
        return found

    def get_home(self, now: float) -> GroupCounts[KeyT, CountT]:
        """Return the sums of this data centre, by its relay if there is one."""
        reported = self._centres.get(self.home)
        return self.sum_home(now) if reported is None else reported.group

    def sum_all(self, now: float) -> GroupCounts[KeyT, CountT]:
        """Return the sums over all hosts that are known, including this one."""
        return _add([self.get_home(now), *self.get_other_centres().values()])


def _select_fresh(
    reports: dict[SourceT, _Report[KeyT, CountT]], since: float
) -> dict[SourceT, _Report[KeyT, CountT]]:
    return {
        source: item for source, item in reports.items() if item.received_at >= since
    }


def _add(
    groups: Iterable[GroupCounts[KeyT, CountT]],
) -> GroupCounts[KeyT, CountT]:
    hosts, counts = 0, dict[KeyT, CountT]()
    for group in groups:
        hosts += group.hosts
        for key, count in group.counts.items():
            known = counts.get(key)
            counts[key] = count if known is None else known.plus(count)
    return GroupCounts(hosts, counts)
