"""When large messages leave a host, so that small ones don't wait behind them.

Load it answers: a relay whose data centre of 28 hosts asks it for a new configuration
in the same tenth of a second. Sent at once, 145 KB fill a link of 20 Mbit/s for 60 ms,
and with the other news of the moment for 85 ms: probes of engines miss their time,
events of streams come late, and live engines look dead.
"""

from marigoldswitch.core.ports import Clock

LARGE_BYTES = 4096
"""Frames from this size on are paced: 1.6 ms of a link of 20 Mbit/s. Digests and sums
are smaller; they are what must not wait."""
LINK_SHARE = 0.5
"""Share of the link for large frames. The 145 KB above leave in 0.12 s; of ten times
as large a configuration 24 hosts have the last copy after 1.2 s of the 3 s in which it
must be in force. Half as much would not leave that margin on a link of 10 Mbit/s."""


class Pacer:
    """Spreads large frames over time.

    :param rate: bytes a second that the host's link carries.
    """

    def __init__(self, rate: float, clock: Clock) -> None:
        self._rate = LINK_SHARE * rate
        self._clock = clock
        self._free_at = float("-inf")

    def reserve(self, size: int) -> float:
        """Take the next place for a frame; return the seconds until it may leave."""
        if size < LARGE_BYTES:
            return 0.0
        now = self._clock.monotonic()
        begins = max(now, self._free_at)
        self._free_at = begins + size / self._rate
        return begins - now
