"""Requests of one service that wait for a chain, in the order in which they came."""

import asyncio
import math
from typing import Generic, Protocol, TypeVar

import structlog
from msgspec import Struct

from marigoldswitch.core.admitting.engine_refusals import EngineRefusals
from marigoldswitch.core.admitting.requesters import Requester
from marigoldswitch.core.ids import TargetId
from marigoldswitch.core.ports import Clock
from marigoldswitch.core.routes import ServiceSpec
from marigoldswitch.core.stages import Chain
from marigoldswitch.core.waiting import Ticket, WaitQueue
from marigoldswitch.gateway.planner import ChainPlanner

logger = structlog.get_logger(__name__)

POLL_SECONDS = 0.02
"""Pause between two searches for room while requests wait: no event on this host tells
when other hosts free room or targets return. The pause is a few decode steps long."""
MAX_FAILED_TRIES = 3
"""Requests that may find no room before a search ends: a large request at the head must
not block small ones for good, and a search must not try the whole queue."""


class ChainRequest(Struct, frozen=True):
    """What a request asks of :meth:`Admission.acquire`.

    :param tokens: context that the request is expected to reach.
    :param priority: rank; 0 comes first.
    :param max_wait: longest wait in seconds.
    :param avoid: targets that have just failed the request.
    :param is_new: its caller has received no part of an answer yet.
    :param requester: whose request it is, if known.
    :param refusals: engines that have refused it.
    :param due: when it must have a chain to keep its longest pause, in monotonic
        seconds.
    """

    tokens: int
    priority: int
    max_wait: float
    avoid: frozenset[TargetId] = frozenset()
    is_new: bool = True
    requester: Requester | None = None
    refusals: EngineRefusals | None = None
    due: float = math.inf


class AnyTicket(Protocol):
    """A place in a queue."""

    number: int
    tokens: int


TicketT = TypeVar("TicketT", bound=AnyTicket)


class ServiceQueue(Generic[TicketT]):
    """Waits and searches for room, whatever the order of the requests.

    :param service: as configured when the last request asked for a chain.
    """

    def __init__(
        self, planner: ChainPlanner, clock: Clock, service: ServiceSpec
    ) -> None:
        self.service = service
        self.waiters: dict[int, asyncio.Future[Chain | None]] = {}
        """Futures that receive the chains, by number of the ticket."""
        self._planner = planner
        self._clock = clock
        self._task: asyncio.Task[None] | None = None

    async def acquire(self, request: ChainRequest) -> Chain | None:
        """Reserve room for a request; see :meth:`Admission.acquire`."""
        raise NotImplementedError

    def dismiss(self) -> None:
        """End the wait of all requests."""
        for waiter in self.waiters.values():
            if not waiter.done():
                waiter.set_result(None)

    def _add(self, ticket: TicketT) -> None:
        raise NotImplementedError

    def _remove(self, ticket: TicketT) -> None:
        raise NotImplementedError

    def _admit_waiting(self) -> None:
        """Give chains to the waiting requests for which there is room."""
        raise NotImplementedError

    async def _wait(self, ticket: TicketT, max_wait: float) -> Chain | None:
        future: asyncio.Future[Chain | None]
        future = asyncio.get_running_loop().create_future()
        self._add(ticket)
        self.waiters[ticket.number] = future
        if self._task is None:
            self._task = asyncio.create_task(self._poll())
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
            self._remove(ticket)
            self.waiters.pop(ticket.number, None)

    async def _poll(self) -> None:
        """Search for room periodically while requests wait."""
        while self.waiters:
            try:
                self._admit_waiting()
            except Exception:
                # Otherwise no request would be served any more.
                logger.exception("admission_failed", service=self.service.name)
            await asyncio.sleep(POLL_SECONDS)
        self._task = None


class ArrivalQueue(ServiceQueue[Ticket]):
    """Orders requests by priority, then by arrival."""

    def __init__(
        self, planner: ChainPlanner, clock: Clock, service: ServiceSpec
    ) -> None:
        super().__init__(planner, clock, service)
        self._queue = WaitQueue()

    async def acquire(self, request: ChainRequest) -> Chain | None:
        """Reserve room for a request; see :meth:`Admission.acquire`."""
        queue, now = self._queue, self._clock.monotonic()
        ticket = queue.make_ticket(
            request.priority,
            request.tokens,
            request.avoid,
            request.is_new,
            request.due,
        )
        if not queue.tickets or ticket < queue.tickets[0]:
            chain = self._try_admit(ticket)
            if chain is not None:
                return chain
        wait = max(
            queue.estimate_wait(ticket, now),
            self._planner.get_shortest_pause(self.service),
        )
        if wait > request.max_wait:
            return None
        return await self._wait(ticket, request.max_wait)

    def _add(self, ticket: Ticket) -> None:
        self._queue.add(ticket)

    def _remove(self, ticket: Ticket) -> None:
        self._queue.remove(ticket)

    def _admit_waiting(self) -> None:
        self._queue.demote_late(self._clock.monotonic())
        failed = 0
        for ticket in list(self._queue.tickets):
            waiter = self.waiters.get(ticket.number)
            if waiter is None or waiter.done():
                continue
            chain = self._try_admit(ticket)
            if chain is None:
                failed += 1
                if failed >= MAX_FAILED_TRIES:
                    return
                continue
            self._queue.remove(ticket)
            waiter.set_result(chain)

    def _try_admit(self, ticket: Ticket) -> Chain | None:
        """Reserve room on a chain, or return ``None`` if no chain has room."""
        chain = self._planner.find(
            self.service,
            ticket.tokens,
            ticket.avoid,
            ticket.is_new,
            ticket.priority,
        )
        if chain is not None:
            self._planner.take(self.service, chain, ticket.tokens)
            self._queue.note_admitted(self._clock.monotonic())
        return chain
