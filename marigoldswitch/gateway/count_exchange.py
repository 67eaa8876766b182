"""Exchange of what hosts count together.

These are the requests to targets with a limit, the requests that wait for room, and the
answers of targets on a ramp.
"""

from collections.abc import Mapping

from marigoldswitch.core.admitting.elsewhere import (
    WaitCount,
    WaitingElsewhere,
    WaitKey,
    limit_groups,
)
from marigoldswitch.core.gateway_messages import (
    CentreCounts,
    CentreWaiting,
    LoadDigest,
    LoadSummary,
    WaitingNote,
)
from marigoldswitch.core.host_counts import GroupCounts
from marigoldswitch.core.ids import DataCentre, HostId, TargetId
from marigoldswitch.core.pace_finding.records import RampCount, RampNote
from marigoldswitch.gateway.directory import Directory
from marigoldswitch.gateway.message_counts import (
    decode_ramps,
    decode_sends,
    decode_waiting,
    encode_ramps,
    encode_sends,
    encode_waiting,
)


class CountExchange:
    """Converts the counts of this host and its peers to and from their messages.

    :param home: data centre of this host.
    :ivar waiting: what waits at all hosts; ``None`` if this host takes no requests.
    """

    def __init__(self, home: DataCentre, directory: Directory) -> None:
        self._home = home
        self._sends = directory.statements.limits
        self._ramps = directory.ramps
        self._registry = directory.registry
        self.waiting: WaitingElsewhere | None = None

    def tick(self, now: float) -> None:
        """Drop reports that are too old to count, and advance the ramps."""
        self._sends.expire(now)
        if self.waiting is not None:
            self.waiting.expire(now)
        self._ramps.counts.expire(now)
        self._ramps.advance(now)

    def sum_up(self, now: float, with_others: bool) -> tuple[CentreCounts, ...]:
        """Return the sums of this data centre.

        :param with_others: whether to add those of the other known data centres.
        """
        sends = {self._home: self._sends.sum_home(now)}
        ramps = {self._home: self._ramps.counts.sum_home(now)}
        if with_others:
            sends |= self._sends.get_other_centres()
            ramps |= self._ramps.counts.get_other_centres()
        return tuple(
            CentreCounts(
                centre,
                group.hosts,
                sends=encode_sends(group.counts),
                ramps=self._encode_ramps(
                    ramps[centre].counts if centre in ramps else {}
                ),
            )
            for centre, group in sorted(sends.items())
        )

    def encode_waiting(self, now: float) -> tuple[WaitingNote, ...]:
        """Return what waits at this host."""
        if self.waiting is None:
            return ()
        return encode_waiting(self.waiting.report_own(now))

    def sum_up_waiting(
        self, now: float, with_others: bool
    ) -> tuple[CentreWaiting, ...]:
        """Return what waits in this data centre, if anything.

        :param with_others: whether to add the other known data centres.
        """
        if self.waiting is None:
            return ()
        groups = {self._home: self.waiting.sum_home(now)}
        if with_others:
            groups |= self.waiting.get_other_centres()
        return tuple(
            CentreWaiting(
                centre, group.hosts, encode_waiting(limit_groups(group.counts))
            )
            for centre, group in sorted(groups.items())
            if group.counts
        )

    def encode_own_ramps(self, now: float) -> tuple[RampNote, ...]:
        """Return what this host has counted of targets on a ramp."""
        return self._encode_ramps(self._ramps.counts.count_own(now))

    def _encode_ramps(
        self, counts: Mapping[TargetId, RampCount]
    ) -> tuple[RampNote, ...]:
        return encode_ramps(counts, self._registry.get_born)

    def take_digest(self, sender: HostId, digest: LoadDigest, now: float) -> None:
        """Adopt the counts of a peer that reports any."""
        if self.waiting is not None and digest.waiting is not None:
            waiting = decode_waiting(digest.waiting)
            self.waiting.set_peer_counts(sender, digest.data_centre, waiting, now)
        if digest.ramps is not None:
            ramps = decode_ramps(digest.ramps, self._registry.get_born)
            self._ramps.counts.set_peer_counts(sender, digest.data_centre, ramps, now)
        if digest.sends is None:
            return
        sends = decode_sends(digest.sends)
        self._sends.set_peer_counts(sender, digest.data_centre, sends, now)

    def take_summary(self, summary: LoadSummary, now: float) -> None:
        """Adopt the sums of a relay."""
        for part in summary.counts:
            sends = GroupCounts(part.hosts, decode_sends(part.sends))
            self._sends.set_centre_counts(part.data_centre, sends, now)
            counts = decode_ramps(part.ramps, self._registry.get_born)
            ramps = GroupCounts(part.hosts, counts)
            self._ramps.counts.set_centre_counts(part.data_centre, ramps, now)
        if self.waiting is None:
            return
        for usage in summary.usages:
            nothing: GroupCounts[WaitKey, WaitCount] = GroupCounts(0, {})
            self.waiting.set_centre_counts(usage.data_centre, nothing, now)
        for item in summary.waiting:
            group = GroupCounts(item.hosts, decode_waiting(item.notes))
            self.waiting.set_centre_counts(item.data_centre, group, now)
