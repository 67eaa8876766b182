"""Pacing of large messages, so that small ones don't wait behind them.

A relay may be asked by all 28 hosts of its data centre for a new configuration in the
same tenth of a second, and sends load summaries to all of them in one tick. Sent at
once, some 200 KB fill a link of 20 Mbit/s for 85 ms: probes of engines time out, events
of streams are late, and live engines look dead.
"""

from marigoldswitch.core.ports import Clock

SIZE_CLASSES = ((4096, 0.5), (1024, 0.4))
"""Smallest frame of each size class in bytes, and the share of the link for the class;
the largest class first. Configurations get half of the link: with less, a large one
would have no margin on a link of 10 Mbit/s to reach a data centre within the 3 s in
which it must be in force. Load summaries and target updates have their own class, so
that they are not outdated by waiting behind a configuration. Digests are smaller and
are not paced."""


class Pacer:
    """Spreads large frames over time, each size class by itself.

    :param rate: capacity of the host's link, in bytes per second.
    """

    def __init__(self, rate: float, clock: Clock) -> None:
        self._rate = rate
        self._clock = clock
        self._free_at = [float("-inf")] * len(SIZE_CLASSES)

    def reserve(self, size: int) -> float:
        """Reserve link time for a frame; return the seconds until it may be sent.

        :param size: in bytes.
        """
        for size_class, (least, share) in enumerate(SIZE_CLASSES):
            if size >= least:
                return self._reserve_link(size_class, size / (share * self._rate))
        return 0.0

    def _reserve_link(self, size_class: int, seconds: float) -> float:
        now = self._clock.monotonic()
        begins = max(now, self._free_at[size_class])
        self._free_at[size_class] = begins + seconds
        return begins - now
