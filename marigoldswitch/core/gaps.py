"""How long a stream may be silent before its engines are looked at.

Load it answers: hosts with few streams each. A look asks every engine of a chain,
unless another stream of the host has just shown that it lives, which with a stream or
two at a time none does. So what counts as silence has to be right for each stream by
itself: from the gaps between its events and their spread, not from the wait for its
first one.
"""

FIRST_SECONDS = 0.25
"""Silence before a first event: half of the time in which it is worth most, several
times the usual 45 ms."""
LEAST_SECONDS = 0.05
"""Callers count pauses over 200 ms as late, of which a look at a silent engine takes 40
ms, and reading the prompt elsewhere 30 to 100 ms."""
MOST_SECONDS = 0.6
MEAN_FACTOR = 2.0
"""A gap this many times the usual one is silence."""
SPREAD_FACTOR = 4.0
"""So is one that lies this many times the mean deviation above the usual one, as for
the timeouts of RFC 6298: prompts that are read between two events stretch some."""
WEIGHT = 0.2
"""Weight of the newest gap in the mean of a stream, and of its deviation in theirs."""
HOST_WEIGHT = 0.05
"""Weight of the newest gap in the mean of all streams of a host."""


class HostGaps:
    """The mean gap between events of all streams of a host.

    :ivar mean: in seconds; 0 until there was one.
    """

    def __init__(self) -> None:
        self.mean = 0.0

    def note(self, gap: float) -> None:
        """Learn of one gap, in seconds."""
        self.mean += (HOST_WEIGHT if self.mean else 1.0) * (gap - self.mean)


class StreamGaps:
    """The gaps between the events of one stream over one chain.

    :param host: those of all streams, which stand in until the stream has its own.
    """

    def __init__(self, host: HostGaps) -> None:
        self._host = host
        self.begin()

    def begin(self) -> None:
        """Begin anew, as a new chain has its own pace."""
        self._last: float | None = None
        self._mean = 0.0
        self._spread = 0.0

    def note_event(self, now: float) -> None:
        """Learn that events have come, at a moment in monotonic seconds."""
        last, self._last = self._last, now
        if last is None:
            # The head of an answer comes with its first event: no gap between two.
            return
        gap = now - last
        self._host.note(gap)
        if self._mean == 0.0:
            self._mean = gap
            return
        self._spread += WEIGHT * (abs(gap - self._mean) - self._spread)
        self._mean += WEIGHT * (gap - self._mean)

    def choose_patience(self, caution: float = 1.0) -> float:
        """Return the silence in seconds after which the chain is to be looked at.

        :param caution: factor for streams whose looks have found nothing.
        """
        if self._last is None:
            return FIRST_SECONDS
        mean = self._mean or self._host.mean
        if mean == 0.0:
            return FIRST_SECONDS
        usual = max(MEAN_FACTOR * mean, mean + SPREAD_FACTOR * self._spread)
        return min(MOST_SECONDS, caution * max(LEAST_SECONDS, usual))
