"""An event loop on virtual time: it jumps to the next thing to do."""

import asyncio
import selectors
from collections.abc import Callable
from typing import Any


class _JumpingSelector(selectors.SelectSelector):
    """Waits for nothing; the time that it would have waited is skipped."""

    def __init__(self) -> None:
        super().__init__()
        self.skipped = 0.0

    def select(self, timeout: float | None = None) -> Any:
        """Skip the time instead of waiting."""
        if timeout is not None and timeout > 0.0:
            self.skipped += timeout
        return []


class VirtualTime:
    """Virtual time for the models and for code written for asyncio."""

    def __init__(self) -> None:
        self._selector = _JumpingSelector()
        self.loop = asyncio.SelectorEventLoop(self._selector)
        self.loop.time = lambda: self._selector.skipped  # type: ignore[method-assign]

    @property
    def now(self) -> float:
        """Return the virtual seconds since the start."""
        return self._selector.skipped

    def monotonic(self) -> float:
        """Return the same, as a clock does."""
        return self._selector.skipped

    def wall(self) -> float:
        """Return the same; nothing in the plays looks at the calendar."""
        return self._selector.skipped

    def after(self, seconds: float, work: Callable[[], None]) -> None:
        """Do something later."""
        self.loop.call_later(max(0.0, seconds), work)

    def run(self, until: float) -> None:
        """Let time pass, then end everything."""
        self.loop.run_until_complete(asyncio.sleep(until - self.now))

    def close(self) -> None:
        """End what is still under way."""
        tasks = asyncio.all_tasks(self.loop)
        for task in tasks:
            task.cancel()
        gathered = asyncio.gather(*tasks, return_exceptions=True)
        if tasks:
            self.loop.run_until_complete(gathered)
        self.loop.close()
