"""Queues model requests, in order of priority, until a chain of engines has room."""

import asyncio
import math

from msgspec import Struct

from marigoldswitch.core.ids import ServiceName, TargetId
from marigoldswitch.core.ports import Clock
from marigoldswitch.core.routes import ServiceSpec
from marigoldswitch.core.stages import Chain
from marigoldswitch.core.waiting import Ticket, WaitQueue
from marigoldswitch.gateway.planner import ChainPlanner

POLL_SECONDS = 0.02
"""Pause between two searches for room while requests wait: no event on this host tells
when other hosts free room or targets return. The pause is a few decode steps long."""
MAX_FAILED_TRIES = 3
"""Requests that may find no room before a search ends: a large request at the head must
not block small ones for good, and a search must not try the whole queue."""


class _QueueState(Struct):
    """The waiting requests of one service.

    :param waiters: futures that receive the chains, by ticket number.
    :param service: as configured when the last request asked for a chain.
    :param task: searches for room as long as requests wait.
    """

    queue: WaitQueue
    waiters: dict[int, asyncio.Future[Chain | None]]
    service: ServiceSpec
    task: asyncio.Task[None] | None = None


class Admission:
    """Admits model requests to chains, with one queue for each service."""

    def __init__(self, planner: ChainPlanner, clock: Clock) -> None:
        self._planner = planner
        self._clock = clock
        self._queues: dict[ServiceName, _QueueState] = {}

    def count_waiting(self) -> int:
        """Return the number of waiting requests, over all services."""
        return sum(len(item.waiters) for item in self._queues.values())

    def dismiss_waiting(self) -> None:
        """End the wait of all requests, as no engine can be reached."""
        for state in self._queues.values():
            for waiter in state.waiters.values():
                if not waiter.done():
                    waiter.set_result(None)

    async def acquire(
        self,
        service: ServiceSpec,
        tokens: int,
        priority: int,
        max_wait: float,
        avoid: frozenset[TargetId] = frozenset(),
        is_new: bool = True,
        due: float = math.inf,
    ) -> Chain | None:
        """Reserve room for a request on a chain and return the chain.

        Returns ``None`` if no chain has room in time or the wait is ended, and at once
        if the expected wait is longer than the request may wait, in the queue or for
        engines that pause. The room is freed by :meth:`ChainPlanner.release`.

        :param tokens: context that the request is expected to reach.
        :param priority: rank; 0 comes first.
        :param max_wait: longest wait in seconds.
        :param avoid: targets that have just failed the request.
        :param is_new: its caller has received no part of an answer yet.
        :param due: when it must have a chain to keep its longest pause, in monotonic
            seconds.
        """
        state = self._get_queue(service)
        now = self._clock.monotonic()
        ticket = state.queue.make_ticket(priority, tokens, avoid, is_new, due)
        if not state.queue.tickets or ticket < state.queue.tickets[0]:
            chain = self._try_admit(state, ticket)
            if chain is not None:
                return chain
        wait = max(
            state.queue.estimate_wait(ticket, now),
            self._planner.get_shortest_pause(service),
        )
        if wait > max_wait:
            return None
        return await self._wait(state, ticket, max_wait)

    async def _wait(
        self, state: _QueueState, ticket: Ticket, max_wait: float
    ) -> Chain | None:
        future: asyncio.Future[Chain | None]
        future = asyncio.get_running_loop().create_future()
        state.queue.add(ticket)
        state.waiters[ticket.number] = future
        if state.task is None:
            state.task = asyncio.create_task(self._poll(state))
        try:
            async with asyncio.timeout(max_wait):
                return await future
        except TimeoutError:
            granted = future.done() and not future.cancelled()
            return future.result() if granted else None
        except asyncio.CancelledError:
            chain = (
                future.result() if future.done() and not future.cancelled() else None
            )
            if chain is not None:
                self._planner.release(chain.stages, ticket.tokens)
            raise
        finally:
            state.queue.remove(ticket)
            state.waiters.pop(ticket.number, None)

    async def _poll(self, state: _QueueState) -> None:
        """Search for room periodically while requests wait."""
        while state.waiters:
            self._admit_waiting(state)
            await asyncio.sleep(POLL_SECONDS)
        state.task = None

    def _admit_waiting(self, state: _QueueState) -> None:
        """Give chains to the waiting requests for which there is room."""
        state.queue.demote_late(self._clock.monotonic())
        failed = 0
        for ticket in list(state.queue.tickets):
            waiter = state.waiters.get(ticket.number)
            if waiter is None or waiter.done():
                continue
            chain = self._try_admit(state, ticket)
            if chain is None:
                failed += 1
                if failed >= MAX_FAILED_TRIES:
                    return
                continue
            state.queue.remove(ticket)
            waiter.set_result(chain)

    def _try_admit(self, state: _QueueState, ticket: Ticket) -> Chain | None:
        """Reserve room on a chain, or return ``None`` if no chain has room."""
        chain = self._planner.find(
            state.service, ticket.tokens, ticket.avoid, ticket.is_new, ticket.priority
        )
        if chain is not None:
            self._planner.take(state.service, chain, ticket.tokens)
            state.queue.note_admitted(self._clock.monotonic())
        return chain

    def _get_queue(self, service: ServiceSpec) -> _QueueState:
        """Return the queue of a service, creating it at its first use."""
        state = self._queues.get(service.name)
        if state is None:
            state = self._queues[service.name] = _QueueState(WaitQueue(), {}, service)
        state.service = service
        return state
