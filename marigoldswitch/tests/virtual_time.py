"""An event loop whose time passes only while nothing else is left to do."""

import asyncio
import selectors
from typing import Any


class _Selector(selectors.SelectSelector):
    """Moves the loop's time on instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        ready = super().select(0)
        if not ready and timeout is None:
            raise AssertionError("nothing is left that could wake the loop")
        if not ready:
            self.now += timeout or 0.0
        return ready


class VirtualLoop(asyncio.SelectorEventLoop):
    """A loop that is its own clock, in seconds from 0."""

    def __init__(self) -> None:
        self._virtual = _Selector()
        super().__init__(self._virtual)

    def time(self) -> float:
        return self._virtual.now

    monotonic = time


def run_virtually(work: Any) -> Any:
    """Run a coroutine function on a virtual loop; it is given the loop as its clock."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(work(runner.get_loop()))
