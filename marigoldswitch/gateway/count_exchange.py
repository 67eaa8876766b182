"""Exchange of what hosts count together: requests to targets with a limit."""

from marigoldswitch.core.gateway_messages import CentreCounts, LoadDigest, LoadSummary
from marigoldswitch.core.host_counts import GroupCounts
from marigoldswitch.core.ids import DataCentre, HostId
from marigoldswitch.core.send_limits import SendLimits
from marigoldswitch.gateway.message_counts import (
    decode_sends,
    encode_sends,
)


class CountExchange:
    """Converts the counts of this host and its peers to and from their messages.

    :param home: data centre of this host.
    """

    def __init__(self, home: DataCentre, sends: SendLimits) -> None:
        self._home = home
        self._sends = sends

    def expire(self, now: float) -> None:
        """Drop reports that are too old to count."""
        self._sends.expire(now)

    def sum_up(self, now: float, with_others: bool) -> tuple[CentreCounts, ...]:
        """Return the sums of this data centre.

        :param with_others: whether to add those of the other known data centres.
        """
        sends = {self._home: self._sends.sum_home(now)}
        if with_others:
            sends |= self._sends.get_other_centres()
        return tuple(
            CentreCounts(centre, group.hosts, sends=encode_sends(group.counts))
            for centre, group in sorted(sends.items())
        )

    def take_digest(self, sender: HostId, digest: LoadDigest, now: float) -> None:
        """Adopt the counts of a peer that reports any."""
        if digest.sends is None:
            return
        sends = decode_sends(digest.sends)
        self._sends.set_peer_counts(sender, digest.data_centre, sends, now)

    def take_summary(self, summary: LoadSummary, now: float) -> None:
        """Adopt the sums of a relay."""
        for part in summary.counts:
            sends = GroupCounts(part.hosts, decode_sends(part.sends))
            self._sends.set_centre_counts(part.data_centre, sends, now)
