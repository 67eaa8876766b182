"""Exchange of what hosts count together: requests to targets with a limit, and answers
of targets on a ramp."""

from collections.abc import Mapping

from marigoldswitch.core.gateway_messages import (
    CentreCounts,
    LoadDigest,
    LoadSummary,
)
from marigoldswitch.core.host_counts import GroupCounts
from marigoldswitch.core.ids import DataCentre, HostId, TargetId
from marigoldswitch.core.pace_finding.records import RampCount, RampNote
from marigoldswitch.gateway.directory import Directory
from marigoldswitch.gateway.message_counts import (
    decode_ramps,
    decode_sends,
    encode_ramps,
    encode_sends,
)


class CountExchange:
    """Converts the counts of this host and its peers to and from their messages.

    :param home: data centre of this host.
    """

    def __init__(self, home: DataCentre, directory: Directory) -> None:
        self._home = home
        self._sends = directory.statements.limits
        self._ramps = directory.ramps
        self._registry = directory.registry

    def tick(self, now: float) -> None:
        """Drop reports that are too old to count, and advance the ramps."""
        self._sends.expire(now)
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

    def encode_own_ramps(self, now: float) -> tuple[RampNote, ...]:
        """Return what this host has counted of targets on a ramp."""
        return self._encode_ramps(self._ramps.counts.count_own(now))

    def _encode_ramps(
        self, counts: Mapping[TargetId, RampCount]
    ) -> tuple[RampNote, ...]:
        return encode_ramps(counts, self._registry.get_born)

    def take_digest(self, sender: HostId, digest: LoadDigest, now: float) -> None:
        """Adopt the counts of a peer that reports any."""
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
