"""Notices that a connection makes no progress while it is read."""

import asyncio
from collections.abc import Callable

from marigoldswitch.core.read_bounds import MAX_COUNTED_SILENCE_SECONDS

LATE_SECONDS = 0.25
"""Delay of a timer that shows that this process itself stood still. What arrived
meanwhile has not been read yet, so that no peer can be blamed."""
RECHECK_SECONDS = 0.05
"""Least time between two checks, also while nothing is read."""


class ActivityClock:
    """Clock that all but stands still while a peer sends nothing.

    A peer that sends nothing may be paused and go on; one that sends without progress
    does not. So a bound on time without progress is measured by this clock.
    """

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._received_at = self._loop.time()
        self._counted = 0.0

    def note_bytes(self) -> None:
        """Record that bytes have arrived."""
        self._counted = self.time()
        self._received_at = self._loop.time()

    def time(self) -> float:
        """Return the seconds counted since the clock was created."""
        silence = self._loop.time() - self._received_at
        return self._counted + min(silence, MAX_COUNTED_SILENCE_SECONDS)


class StallWatch:
    """Calls back once if too little is received for too long.

    :param seconds: longest time without progress.
    :param on_stall: called with the seconds since the last progress.
    :param get_time: returns the time by which they are measured; that of the event loop
        by default.
    """

    def __init__(
        self,
        seconds: float,
        on_stall: Callable[[float], None],
        get_time: Callable[[], float] | None = None,
    ) -> None:
        self._seconds = seconds
        self._on_stall = on_stall
        self._loop = asyncio.get_running_loop()
        self._get_time = get_time or self._loop.time
        self._since = self._get_time()
        self._suspended_at: float | None = None
        self._timer = self._schedule(seconds)

    def note_progress(self) -> None:
        """Measure from now on."""
        self._since = self._get_time()

    def suspend(self) -> None:
        """Leave out the time until :meth:`resume`, as this process does not read."""
        self._suspended_at = self._get_time()

    def resume(self) -> None:
        """Measure again."""
        if self._suspended_at is not None:
            self._since += self._get_time() - self._suspended_at
            self._suspended_at = None

    def stop(self) -> None:
        """Stop measuring."""
        self._timer.cancel()

    def _schedule(self, seconds: float) -> asyncio.TimerHandle:
        self._due = self._loop.time() + seconds
        return self._loop.call_at(self._due, self._check)

    def _check(self) -> None:
        now = self._get_time()
        if self._loop.time() - self._due > LATE_SECONDS:
            self._since = now
        until = now if self._suspended_at is None else self._suspended_at
        stalled = until - self._since
        if self._suspended_at is None and stalled >= self._seconds:
            self._on_stall(stalled)
        else:
            self._timer = self._schedule(max(RECHECK_SECONDS, self._seconds - stalled))
