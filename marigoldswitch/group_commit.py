"""Group commit: many small writes of a host in few transactions of the table service.

Load it answers: a burst of bookings. One transaction for each claim and each end would
exceed the several hundred writes a second that the platform takes from all hosts.
"""

import asyncio
from collections import deque
from dataclasses import dataclass

from result import Err, Ok

from marigoldswitch.core.ports import Clock, Put, StoreFault, TableService

MOST_IN_FLIGHT = 4
"""Transactions under way at once, so that one that hangs does not hold up the rest."""
PROBE_SECONDS = 0.5
"""Seconds between two tries while the table service is out."""
LOST_IN_A_ROW = 2
"""Lost replies in a row after which the service counts as out; one alone is common."""


@dataclass(frozen=True, slots=True)
class _Waiting:
    put: Put
    done: asyncio.Future[StoreFault | None]


class GroupCommit:
    """Writes rows in batches; a conflict on one row does not fail the others.

    :param interval: least seconds between the starts of two transactions.
    :param batch: most rows of one transaction.
    """

    def __init__(
        self, table: TableService, clock: Clock, interval: float, batch: int
    ) -> None:
        self.transactions = 0
        self._table = table
        self._clock = clock
        self._interval = interval
        self._batch = batch
        self._queue: deque[_Waiting] = deque()
        self._slots = asyncio.Semaphore(MOST_IN_FLIGHT)
        self._pump: asyncio.Task[None] | None = None
        self._commits: set[asyncio.Task[None]] = set()
        self._next_start = 0.0
        self._stopped = False
        self._lost = 0
        self._retry_at: float | None = None

    def is_out(self) -> bool:
        """Tell whether the service is out; now and then one caller may try."""
        if self._retry_at is None:
            return False
        now = self._clock.monotonic()
        if now < self._retry_at:
            return True
        self._retry_at = now + PROBE_SECONDS
        return False

    async def write(self, put: Put) -> StoreFault | None:
        """Write one row; return why it was not written, if it was not."""
        if self._stopped:
            return StoreFault.UNAVAILABLE
        done: asyncio.Future[StoreFault | None] = (
            asyncio.get_running_loop().create_future()
        )
        self._queue.append(_Waiting(put, done))
        if self._pump is None or self._pump.done():
            self._pump = asyncio.create_task(self._run())
        return await done

    async def stop(self) -> None:
        """Break off what is under way."""
        self._stopped = True
        tasks = [*self._commits, *([self._pump] if self._pump else [])]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _run(self) -> None:
        while self._queue:
            await self._slots.acquire()
            wait = self._next_start - self._clock.monotonic()
            if wait > 0:
                await asyncio.sleep(wait)
            self._next_start = self._clock.monotonic() + self._interval
            task = asyncio.create_task(self._commit(self._take_batch()))
            self._commits.add(task)
            task.add_done_callback(self._finish_commit)

    def _finish_commit(self, task: asyncio.Task[None]) -> None:
        self._commits.discard(task)
        self._slots.release()

    def _take_batch(self) -> list[_Waiting]:
        """Return the next writes, each of another row."""
        batch: list[_Waiting] = []
        later: list[_Waiting] = []
        rows: set[tuple[str, str]] = set()
        while self._queue and len(batch) < self._batch:
            item = self._queue.popleft()
            row = (item.put.table, item.put.key)
            (later if row in rows else batch).append(item)
            rows.add(row)
        self._queue.extendleft(reversed(later))
        return batch

    async def _commit(self, batch: list[_Waiting]) -> None:
        if not batch:
            return
        self.transactions += 1
        try:
            written = await self._table.transact([item.put for item in batch])
        except BaseException:
            _settle(batch, StoreFault.UNKNOWN)
            raise
        self._note(written.err_value if isinstance(written, Err) else None)
        match written:
            case Ok():
                _settle(batch, None)
            case Err(StoreFault.CONFLICT) if len(batch) > 1:
                half = len(batch) // 2
                await self._commit(batch[:half])
                await self._commit(batch[half:])
            case Err(fault):
                _settle(batch, fault)

    def _note(self, fault: StoreFault | None) -> None:
        match fault:
            case None | StoreFault.CONFLICT:
                self._lost = 0
                self._retry_at = None
                return
            case StoreFault.UNKNOWN:
                self._lost += 1
            case StoreFault.UNAVAILABLE:
                self._lost = LOST_IN_A_ROW
        if self._lost >= LOST_IN_A_ROW:
            self._retry_at = self._clock.monotonic() + PROBE_SECONDS


def _settle(batch: list[_Waiting], fault: StoreFault | None) -> None:
    for item in batch:
        if not item.done.done():
            item.done.set_result(fault)
