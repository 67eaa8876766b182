"""Number of hosts that share a bound, including those that have fallen silent.

A bound that is divided by the hosts that are heard grows in a partition: each side
takes the others for gone. So a host counts until it has not been heard for long, or a
while after it has announced its stop.
"""

from collections.abc import Mapping

from marigoldswitch.core.ids import DataCentre, HostId
from marigoldswitch.core.peaks import RecentPeak

MEMBER_SECONDS = 600.0
"""Time for which a silent host counts, longer than most partitions. Its part of each
bound is unused meanwhile."""
STOPPED_SECONDS = 20.0
"""Time for which a host counts that has announced its stop: longer than what it has
used or lent may count."""


class Population:
    """The hosts of all data centres, as far as this host knows.

    :param home: data centre of this host.
    """

    def __init__(self, own: HostId, home: DataCentre) -> None:
        self._own = own
        self._home = home
        self._members: dict[DataCentre, dict[HostId, float]] = {}
        """Until when each other host counts."""
        self._reported: dict[DataCentre, RecentPeak] = {}
        """Hosts of each data centre, by its relays. The highest number counts: a relay
        that has just started may know few of them."""

    def note_member(
        self, host: HostId, centre: DataCentre, now: float, leaving: bool = False
    ) -> None:
        """Record that a host was heard or listed."""
        if host == self._own:
            return
        seconds = STOPPED_SECONDS if leaving else MEMBER_SECONDS
        self._members.setdefault(centre, {})[host] = now + seconds

    def note_reported(self, centre: DataCentre, hosts: int, now: float) -> None:
        """Record the number of hosts that a relay reports of a data centre."""
        self._reported.setdefault(centre, RecentPeak()).note(hosts, now)

    def expire(self, now: float) -> None:
        """Drop the hosts and reports that no longer count."""
        self._members = {
            centre: {host: until for host, until in hosts.items() if until > now}
            for centre, hosts in self._members.items()
        }
        since = now - MEMBER_SECONDS
        self._reported = {
            centre: peak
            for centre, peak in self._reported.items()
            if peak.get(since) > 0.0
        }

    @property
    def is_reported(self) -> bool:
        """Return whether a relay has reported any number of hosts."""
        return bool(self._reported)

    def count_by_centre(self) -> Mapping[DataCentre, int]:
        """Return the number of hosts of each data centre, with this one."""
        counts = {centre: len(hosts) for centre, hosts in self._members.items()}
        counts[self._home] = counts.get(self._home, 0) + 1
        for centre, peak in self._reported.items():
            hosts = int(peak.get())
            is_home = centre == self._home
            counts[centre] = max(hosts, counts[centre]) if is_home else hosts
        return counts

    def count(self) -> int:
        """Return the number of hosts of all data centres, with this one."""
        return sum(self.count_by_centre().values())
