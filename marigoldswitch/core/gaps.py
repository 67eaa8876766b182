"""Adaptive timeouts for silent streams, from the gaps between their events.

When a stream is silent for longer than its timeout, every engine of its chain is
probed, except those that another stream of the host has just shown to be alive. On a
host with only a stream or two this exception saves no probes. So the timeout must fit
each stream by itself: it follows the mean and deviation of the gaps between its events,
and leaves out the wait for the first one.
"""

FIRST_EVENT_TIMEOUT = 0.25
"""Timeout for the first event, in seconds: half of the time in which it is worth most,
and several times the usual 45 ms."""
MIN_TIMEOUT = 0.05
"""Lower bound in seconds. Callers count pauses over 200 ms as late; a probe of a silent
engine takes 40 ms of that, and reading the prompt on another one 30 to 100 ms."""
MAX_TIMEOUT = 0.6
"""Upper bound in seconds."""
MEAN_FACTOR = 2.0
"""Smallest timeout as a multiple of the mean gap."""
DEVIATION_FACTOR = 4.0
"""Mean deviations by which the timeout exceeds the mean gap, as in RFC 6298: an engine
that reads a prompt between two events delays the second."""
RECOVERY_SECONDS = 0.15
"""Seconds from the probe of a silent engine to the next event, where replacements are
idle. Of a limited pause, this much is to be left when the chain is probed."""
URGENT_MEAN_FACTOR = 1.75
URGENT_DEVIATION_FACTOR = 3.0
"""The factors below which that does not reduce the timeout, as each probe of a live
chain has its cost."""
STREAM_WEIGHT = 0.2
"""Weight of the newest gap in the moving mean and mean deviation of a stream."""
HOST_WEIGHT = 0.05
"""Weight of the newest gap in the moving mean of all streams of a host."""


class HostGaps:
    """Mean gap between events over all streams of a host.

    :ivar mean: moving mean in seconds; 0 before the first gap.
    """

    def __init__(self) -> None:
        self.mean = 0.0

    def note(self, gap: float) -> None:
        """Add one gap, in seconds."""
        self.mean += (HOST_WEIGHT if self.mean else 1.0) * (gap - self.mean)


class StreamGaps:
    """Gaps between the events of one stream over one chain of engines.

    :param host: gaps of all streams, used until the stream has its own.
    """

    def __init__(self, host: HostGaps) -> None:
        self._host = host
        self.reset()

    def reset(self) -> None:
        """Reset the gaps for a new chain, which has its own pace."""
        self._last_event: float | None = None
        self._mean = 0.0
        self._deviation = 0.0

    def note_event(self, now: float) -> None:
        """Record the arrival of events.

        :param now: monotonic seconds.
        """
        last, self._last_event = self._last_event, now
        if last is None:
            # The head of an answer arrives with its first event: that is no gap.
            return
        gap = now - last
        self._host.note(gap)
        if self._mean == 0.0:
            self._mean = gap
            return
        self._deviation += STREAM_WEIGHT * (abs(gap - self._mean) - self._deviation)
        self._mean += STREAM_WEIGHT * (gap - self._mean)

    def get_timeout(self, backoff: float = 1.0, longest_pause: float = 0.0) -> float:
        """Return the silence in seconds after which the chain is to be probed.

        :param backoff: factor that grows as probes of the chain find no fault.
        :param longest_pause: seconds between two events that the route allows; 0 if it
            sets no limit.
        """
        if self._last_event is None:
            return FIRST_EVENT_TIMEOUT
        mean = self._mean or self._host.mean
        if mean == 0.0:
            return FIRST_EVENT_TIMEOUT
        timeout = max(MEAN_FACTOR * mean, mean + DEVIATION_FACTOR * self._deviation)
        if longest_pause > 0.0:
            urgent = (
                URGENT_MEAN_FACTOR * mean + URGENT_DEVIATION_FACTOR * self._deviation
            )
            allowed = longest_pause - RECOVERY_SECONDS
            timeout = min(timeout, max(allowed, urgent))
        return min(MAX_TIMEOUT, backoff * max(MIN_TIMEOUT, timeout))
