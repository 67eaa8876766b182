"""How late messages between hosts are.

A message that waits on a stalled connection or in a frozen process arrives seconds
after it was sent, and what it says is that much older. The clocks of two hosts differ
by an unknown offset; the smallest difference that was seen between sending and arrival
stands for it and for the usual time on the way.
"""

from msgspec import Struct

from marigoldswitch.core.ids import HostId

DRIFT_PER_SECOND = 0.001
"""Rate at which the smallest difference is forgotten, above the drift of clocks."""


class _Offset(Struct):
    process: int
    seconds: float
    measured_at: float


class Lateness:
    """Measures by how much messages of each host are later than its quickest ones."""

    def __init__(self) -> None:
        self._offsets: dict[HostId, _Offset] = {}

    def measure(
        self, sender: HostId, process: int, sent_at: float, now: float
    ) -> float:
        """Return the seconds by which a message is late, and learn from it.

        :param process: number of the sender's process.
        :param sent_at: when it was sent, in seconds of the sender's clock; 0 if
            unknown.
        :param now: monotonic time of this host, in seconds.
        """
        if not sent_at:
            return 0.0
        seconds = now - sent_at
        known = self._offsets.get(sender)
        if known is not None and known.process == process:
            drift = DRIFT_PER_SECOND * (now - known.measured_at)
            least = min(seconds, known.seconds + drift)
        else:
            least = seconds
        self._offsets[sender] = _Offset(process, least, now)
        return seconds - least

    def forget(self, hosts: set[HostId]) -> None:
        """Forget all hosts but those given."""
        for host in self._offsets.keys() - hosts:
            del self._offsets[host]
