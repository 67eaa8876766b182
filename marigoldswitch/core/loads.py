"""Load of each target, from this host's own counts and the reports of its peers.

Several hosts send to the same engines, and each sees only its own requests. An
engine's own report is hundreds of milliseconds old, in which a dozen requests arrive.
The hosts of a data centre therefore report their usage to each other or, where they are
many, to a relay, which sends the total of all of them back.
"""

from collections.abc import Mapping

from msgspec import Struct

from marigoldswitch.core.ids import DataCentre, HostId, TargetId

STALE_SECONDS = 2.0
"""Age after which a peer's report is dropped: its requests have ended or moved by then,
as streams take 1 to 7 s and hosts report every 0.1 to 1 s."""


class Usage(Struct, frozen=True):
    """Resources of one target that a group of requests uses.

    :param requests: number of requests.
    :param memory: KV cache reserved for them, in tokens of context times the layers
        that each request runs on the target.
    :param begun: how many of the requests have their chain's first stage there.
    """

    requests: int = 0
    memory: int = 0
    begun: int = 0

    def plus(self, other: "Usage") -> "Usage":
        """Return the sum of both."""
        return Usage(
            self.requests + other.requests,
            self.memory + other.memory,
            self.begun + other.begun,
        )

    def minus(self, other: "Usage") -> "Usage":
        """Return the difference, which may be negative."""
        return Usage(
            self.requests - other.requests,
            self.memory - other.memory,
            self.begun - other.begun,
        )


NO_USAGE = Usage()


class _UsageReport(Struct, frozen=True):
    """Usage reported by a peer, or by a relay for all hosts of a data centre.

    :param received_at: monotonic time of arrival, in seconds.
    """

    received_at: float
    data_centre: DataCentre
    usages: Mapping[TargetId, Usage]


class Loads:
    """Usage of each target by this host and all others.

    :param home: data centre of this host.
    :ivar own: usage by requests of this host.
    """

    def __init__(self, home: DataCentre) -> None:
        self.own: dict[TargetId, Usage] = {}
        self._home = home
        self._last_reported: dict[TargetId, Usage] = {}
        """Usage that this host last reported to its peers."""
        self._peer_reports: dict[HostId, _UsageReport] = {}
        self._centre_reports: dict[DataCentre, _UsageReport] = {}
        self._others_total: dict[TargetId, Usage] | None = None
        """Cached usage by all other hosts; ``None`` if it must be summed again. It is
        summed on demand: a relay of thirty hosts receives 150 reports a second but
        chooses few chains, and summing with each report took an eighth of its time."""
        self._unreported_memory: dict[TargetId, int] = {}

    def get(self, target: TargetId) -> Usage:
        """Return the usage of a target by the requests of all known hosts."""
        own = self.own.get(target, NO_USAGE)
        if self._others_total is None:
            self._others_total = self._sum_others()
        others = self._others_total.get(target)
        return own.plus(others) if others is not None else own

    def hold(self, target: TargetId, usage: Usage) -> None:
        """Add the usage of a request that this host starts on a target."""
        self.own[target] = self.own.get(target, NO_USAGE).plus(usage)
        self._unreported_memory[target] = (
            self._unreported_memory.get(target, 0) + usage.memory
        )

    def get_unreported_memory(self, target: TargetId) -> int:
        """Return the memory reserved on a target since the last report to the peers.

        Each peer has probably reserved about as much that it has not reported yet.
        """
        return self._unreported_memory.get(target, 0)

    def mark_reported(self) -> None:
        """Record that the current usage was reported to the peers."""
        self._unreported_memory.clear()
        self._last_reported = dict(self.own)

    def release(self, target: TargetId, usage: Usage) -> None:
        """Remove the usage of a request of this host that has ended.

        :raises AssertionError: if more requests are released than were held.
        """
        left = self.own[target].minus(usage)
        assert left.requests >= 0, "released more than was held"
        if left.requests:
            self.own[target] = left
        else:
            del self.own[target]

    def set_peer_usage(
        self,
        peer: HostId,
        centre: DataCentre,
        usages: Mapping[TargetId, Usage],
        now: float,
    ) -> None:
        """Replace the reported usage of a peer.

        :param now: monotonic time, in seconds.
        """
        self._peer_reports[peer] = _UsageReport(now, centre, usages)
        self._others_total = None

    def set_centre_usage(
        self, centre: DataCentre, usages: Mapping[TargetId, Usage], now: float
    ) -> None:
        """Replace the total usage of a data centre, as reported by its relay.

        It takes precedence over the reports of that data centre's single hosts.
        """
        self._centre_reports[centre] = _UsageReport(now, centre, usages)
        self._others_total = None

    def sum_home_usage(self) -> dict[TargetId, Usage]:
        """Return the total usage of this data centre, from its hosts' own reports."""
        total = dict(self.own)
        for report in self._peer_reports.values():
            if report.data_centre == self._home:
                _add(total, report.usages)
        return total

    def get_other_centres(self) -> dict[DataCentre, Mapping[TargetId, Usage]]:
        """Return the known usage of each other data centre.

        It is the relay's total if there is one, else the sum of its hosts' reports.
        """
        sums = {
            centre: report.usages
            for centre, report in self._centre_reports.items()
            if centre != self._home
        }
        direct: dict[DataCentre, dict[TargetId, Usage]] = {}
        for report in self._peer_reports.values():
            if report.data_centre not in (*sums, self._home):
                _add(direct.setdefault(report.data_centre, {}), report.usages)
        return sums | direct

    def expire(self, now: float) -> None:
        """Drop reports older than ``STALE_SECONDS``."""
        stale_peers = [
            peer
            for peer, report in self._peer_reports.items()
            if _is_stale(report, now)
        ]
        stale_centres = [
            centre
            for centre, report in self._centre_reports.items()
            if _is_stale(report, now)
        ]
        for peer in stale_peers:
            del self._peer_reports[peer]
        for centre in stale_centres:
            del self._centre_reports[centre]
        if stale_peers or stale_centres:
            self._others_total = None

    def _sum_others(self) -> dict[TargetId, Usage]:
        """Return the usage of each target by all other hosts."""
        total: dict[TargetId, Usage] = {}
        for report in self._peer_reports.values():
            if report.data_centre not in self._centre_reports:
                _add(total, report.usages)
        for centre, report in self._centre_reports.items():
            own = self._last_reported if centre == self._home else {}
            _add(total, _subtract_own(report.usages, own))
        return total


def _is_stale(report: _UsageReport, now: float) -> bool:
    return now - report.received_at > STALE_SECONDS


def _add(total: dict[TargetId, Usage], usages: Mapping[TargetId, Usage]) -> None:
    for target, usage in usages.items():
        total[target] = total.get(target, NO_USAGE).plus(usage)


def _subtract_own(
    usages: Mapping[TargetId, Usage], own: Mapping[TargetId, Usage]
) -> dict[TargetId, Usage]:
    """Return a total without this host's part, at least 0 in each field.

    The total may be older than the part that this host has reported since, so the part
    may be the larger one.
    """
    left: dict[TargetId, Usage] = {}
    for target, usage in usages.items():
        rest = usage.minus(own.get(target, NO_USAGE))
        left[target] = Usage(
            max(0, rest.requests), max(0, rest.memory), max(0, rest.begun)
        )
    return left
