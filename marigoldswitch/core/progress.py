"""When a stream that brings nothing counts as stalled.

Fault it answers: a stage or a link that hangs without breaking the connection. Without
a bound the caller waits until its deadline; with a fixed one either slow kinds of
accelerators are taken for stalled, or fast ones are waited for too long.
"""

from dataclasses import dataclass

WEIGHT = 0.1
"""Share of the newest gap in the usual one: the last ten or so gaps count."""


@dataclass(slots=True)
class Progress:
    """Watches the gaps between the tokens of one answer.

    :param first: seconds to wait for the first token of a chain.
    :param factor: usual gaps without a token after which a stream is stalled.
    :param floor: seconds that are waited at the least.
    :param usual: usual gap in seconds; 0 until there are two tokens.
    """

    first: float
    factor: float
    floor: float
    usual: float = 0.0
    _last: float | None = None

    @property
    def patience(self) -> float:
        """Return the seconds to wait for the next token."""
        if self._last is None:
            return self.first
        return min(self.first, max(self.floor, self.factor * self.usual))

    def begin(self) -> None:
        """Note that a new chain begins."""
        self._last = None

    def note(self, now: float, tokens: int) -> None:
        """Note that some tokens have come.

        :param now: monotonic seconds.
        """
        if self._last is not None:
            gap = (now - self._last) / tokens
            self.usual = gap if not self.usual else self._blend(gap)
        self._last = now

    def _blend(self, gap: float) -> float:
        return (1.0 - WEIGHT) * self.usual + WEIGHT * gap
