"""The highest of the amounts that were valid lately."""

from collections import deque

from msgspec import Struct, field


class RecentPeak(Struct):
    """The highest of the amounts of the last seconds."""

    _amounts: deque[tuple[float, float]] = field(default_factory=deque)
    """Times and amounts, each lower than the one before."""

    def note(self, amount: float, now: float) -> None:
        """Record the amount that is valid now."""
        while self._amounts and self._amounts[-1][1] <= amount:
            self._amounts.pop()
        self._amounts.append((now, amount))

    def drop_before(self, time: float) -> None:
        """Drop the amounts before a time, which are no longer needed."""
        while self._amounts and self._amounts[0][0] < time:
            self._amounts.popleft()

    def get(self, since: float = float("-inf")) -> float:
        """Return the highest amount since a time; older ones are dropped."""
        self.drop_before(since)
        return self._amounts[0][1] if self._amounts else 0.0
