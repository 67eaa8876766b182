"""Clocks: the machine's own, and one that tests move by hand."""

import time


class SystemClock:
    """The machine's monotonic clock."""

    def monotonic(self) -> float:
        """Return seconds since an arbitrary instant."""
        return time.monotonic()


class ManualClock:
    """A clock that stands still until it is moved."""

    def __init__(self, start: float = 0.0) -> None:
        self.now = start

    def monotonic(self) -> float:
        """Return the instant that was set."""
        return self.now

    def advance(self, seconds: float) -> None:
        """Move the clock forward."""
        self.now += seconds
