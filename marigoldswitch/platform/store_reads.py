"""Reads of the store that are not given up when their answers come late.

A read without an answer may have gone into a dead connection, which must be noticed
soon, or the store may be slow. So a silent read counts as failed for its caller but
goes on, and the caller's next try takes whichever answer comes first.
"""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

import structlog
from msgspec import Struct
from result import Err, Result

from marigoldswitch.gateway.ports import FeedFault
from marigoldswitch.platform.store_calls import StoredRow

logger = structlog.get_logger(__name__)

KEPT_READ_SECONDS = 5.0
"""Time for which a read is kept without a sign of life."""
KEPT_ANSWER_SECONDS = 10.0
"""Time for which a late answer is kept, longer than any pause between two tries. The
feed brings the changes made since."""


class RowsRead(Struct, frozen=True):
    """Rows of a table.

    :param revision: revision up to which they are complete.
    """

    rows: tuple[StoredRow, ...]
    revision: int


ReadResult = Result[RowsRead, FeedFault]
ReadWork = Callable[[Callable[[], None]], Coroutine[Any, Any, ReadResult]]
"""Makes the calls of a read; calls its argument after each page."""


class _Read:
    """A read under way or ended."""

    def __init__(self, since: int, work: ReadWork) -> None:
        self.since = since
        self._loop = asyncio.get_running_loop()
        self.began_at = self.progress_at = self._loop.time()
        self.task = asyncio.create_task(work(self._note_progress))
        self.task.add_done_callback(lambda _: self._note_progress())

    @property
    def age(self) -> float:
        """Return the seconds since the read began."""
        return self._loop.time() - self.began_at

    @property
    def silence(self) -> float:
        """Return the seconds since its last page, its end or its begin."""
        return self._loop.time() - self.progress_at

    @property
    def is_answered(self) -> bool:
        """Return whether it has ended otherwise than for want of an answer."""
        if not self.task.done():
            return False
        if self.task.exception() is not None:
            return True
        return self.task.result() != Err(FeedFault.UNAVAILABLE)

    @property
    def is_useful(self) -> bool:
        """Return whether it has brought an answer lately, or may still bring one."""
        if self.task.done():
            return self.is_answered and self.silence <= KEPT_ANSWER_SECONDS
        return self.silence <= KEPT_READ_SECONDS

    def _note_progress(self) -> None:
        self.progress_at = self._loop.time()


class PatientReads:
    """Reads tables, and keeps the first and the last silent read of each.

    The first has waited the longest for a slow store. The last was sent after an outage
    in which the first may have been lost.
    """

    def __init__(self) -> None:
        self._kept: dict[str, list[_Read]] = {}
        self._reported: dict[str, set[str]] = {}
        """Events logged of each table since it was last answered in time."""

    async def read(
        self, table: str, since: int, work: ReadWork, seconds: float
    ) -> ReadResult:
        """Read the rows of a table, or take up a kept read of the same rows.

        :param since: revision after which rows are read; 0 for the whole table.
        :param seconds: silence after which the store counts as unavailable.
        """
        reads = self._take_kept(table, since)
        fresh = None
        if all(not item.is_answered and item.silence >= seconds for item in reads):
            fresh = _Read(since, work)
            reads.append(fresh)
        try:
            ended = await _wait(reads, seconds)
        except asyncio.CancelledError:
            _cancel(reads)
            raise
        if ended is None:
            self._report(table, "store_read_silent", seconds)
        elif ended.is_answered:
            _cancel(reads)
            if ended is fresh:
                self._reported.pop(table, None)
            else:
                self._report(table, "store_read_late", ended.age)
            return ended.task.result()
        pending = [item for item in reads if not item.task.done()]
        _cancel(pending[1:-1])
        self._kept[table] = pending[:1] + pending[1:][-1:]
        return ended.task.result() if ended else Err(FeedFault.UNAVAILABLE)

    async def close(self) -> None:
        """Cancel all reads."""
        for reads in self._kept.values():
            _cancel(reads)
        self._kept.clear()

    def _take_kept(self, table: str, since: int) -> list[_Read]:
        """Return the kept reads that may still bring the wanted rows; cancel others."""
        kept = self._kept.pop(table, [])
        useful = [item for item in kept if item.since == since and item.is_useful]
        _cancel([item for item in kept if item not in useful])
        return useful

    def _report(self, table: str, event: str, seconds: float) -> None:
        """Log an event of a table's reads, once until it is answered in time again."""
        reported = self._reported.setdefault(table, set())
        if event not in reported:
            reported.add(event)
            logger.warning(event, table=table, seconds=round(seconds, 3))


async def _wait(reads: list[_Read], seconds: float) -> _Read | None:
    """Wait for the first answer to some reads, or for the failure of the last.

    :param seconds: silence of all reads after which to give up.
    :return: the read that has ended, the last one if there are several; ``None`` if all
        are silent.
    """
    while True:
        for item in reversed(reads):
            if item.is_answered:
                return item
        if reads[-1].task.done():
            return reads[-1]
        pending = [item for item in reads if not item.task.done()]
        end = max(item.progress_at for item in pending) + seconds
        left = end - asyncio.get_running_loop().time()
        if left <= 0.0:
            return None
        tasks = [item.task for item in pending]
        await asyncio.wait(tasks, timeout=left, return_when=asyncio.FIRST_COMPLETED)


def _cancel(reads: list[_Read]) -> None:
    for item in reads:
        item.task.cancel()
