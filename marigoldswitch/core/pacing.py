"""When large messages leave a host, so that small ones don't wait behind them.

Load it answers: a relay whose data centre of 28 hosts asks it for a new configuration
in the same tenth of a second, and that tells all of them sums of loads in one tick.
Sent at once, some 200 KB fill a link of 20 Mbit/s for 85 ms: probes of engines miss
their time, events of streams come late, and live engines look dead.
"""

from marigoldswitch.core.ports import Clock

LANES = ((4096, 0.5), (1024, 0.4))
"""Least bytes of a frame and the share of the link that frames of that size have, the
largest first. Copies of a configuration have half of the link: less would leave no
margin on a link of 10 Mbit/s for a large one to reach a data centre in the 3 s in which
it must be in force. Sums of loads and news of targets have a lane of their own, so that
loads don't grow old behind a configuration. Digests are smaller; they wait for
nothing."""


class Pacer:
    """Spreads large frames over time.

    :param rate: bytes a second that the host's link carries.
    """

    def __init__(self, rate: float, clock: Clock) -> None:
        self._rate = rate
        self._clock = clock
        self._free_at = [float("-inf")] * len(LANES)

    def reserve(self, size: int) -> float:
        """Take the next place for a frame; return the seconds until it may leave."""
        for lane, (least, share) in enumerate(LANES):
            if size >= least:
                return self._take(lane, size / (share * self._rate))
        return 0.0

    def _take(self, lane: int, seconds: float) -> float:
        now = self._clock.monotonic()
        begins = max(now, self._free_at[lane])
        self._free_at[lane] = begins + seconds
        return begins - now
