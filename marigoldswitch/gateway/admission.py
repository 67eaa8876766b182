"""Lets model requests wait for a chain with room, in order."""

import asyncio
from dataclasses import dataclass

from marigoldswitch.core.ids import ServiceName, TargetId
from marigoldswitch.core.ports import Clock
from marigoldswitch.core.routes import ServiceSpec
from marigoldswitch.core.stages import Chain
from marigoldswitch.core.waiting import Ticket, WaitingLine
from marigoldswitch.gateway.planner import ChainPlanner

LOOK_SECONDS = 0.02
"""Pause between looks for room while somebody waits: the room that peers free and that
targets bring back is told by no event of this host; some decode steps long."""
TRIES = 3
"""Waiting requests for which room is sought in one look: a large one at the head must
not keep out small ones for good, nor may each look try them all."""


@dataclass(slots=True)
class _Line:
    line: WaitingLine
    waiters: dict[int, asyncio.Future[Chain]]
    service: ServiceSpec
    task: asyncio.Task[None] | None = None


class Admission:
    """The lines of all services at this host."""

    def __init__(self, planner: ChainPlanner, clock: Clock) -> None:
        self._planner = planner
        self._clock = clock
        self._lines: dict[ServiceName, _Line] = {}

    def count_waiting(self) -> int:
        """Return the requests that wait."""
        return sum(len(item.waiters) for item in self._lines.values())

    async def acquire(
        self,
        service: ServiceSpec,
        tokens: int,
        priority: int,
        patience: float,
        avoid: frozenset[TargetId] = frozenset(),
        is_new: bool = True,
    ) -> Chain | None:
        """Return a chain that is counted as held, or ``None`` if none is free in time.

        :param patience: longest wait in seconds.
        :param avoid: targets that have just failed the request.
        :param is_new: its caller has no part of an answer yet.
        """
        state = self._get_line(service)
        now = self._clock.monotonic()
        ticket = state.line.make_ticket(priority, tokens, avoid, is_new)
        if not state.line.tickets or ticket < state.line.tickets[0]:
            chain = self._try(state, ticket)
            if chain is not None:
                return chain
        if state.line.estimate_wait(ticket, now) > patience:
            return None
        return await self._wait(state, ticket, patience)

    async def _wait(
        self, state: _Line, ticket: Ticket, patience: float
    ) -> Chain | None:
        future: asyncio.Future[Chain]
        future = asyncio.get_running_loop().create_future()
        state.line.join(ticket)
        state.waiters[ticket.number] = future
        if state.task is None:
            state.task = asyncio.create_task(self._run(state))
        try:
            async with asyncio.timeout(patience):
                return await future
        except TimeoutError:
            granted = future.done() and not future.cancelled()
            return future.result() if granted else None
        except asyncio.CancelledError:
            if future.done() and not future.cancelled():
                self._planner.release(future.result().stages, ticket.tokens)
            raise
        finally:
            state.line.leave(ticket)
            state.waiters.pop(ticket.number, None)

    async def _run(self, state: _Line) -> None:
        """Look for room again and again while somebody waits."""
        while state.waiters:
            self._look(state)
            await asyncio.sleep(LOOK_SECONDS)
        state.task = None

    def _look(self, state: _Line) -> None:
        failed = 0
        for ticket in list(state.line.tickets):
            waiter = state.waiters.get(ticket.number)
            if waiter is None or waiter.done():
                continue
            chain = self._try(state, ticket)
            if chain is None:
                failed += 1
                if failed >= TRIES:
                    return
                continue
            state.line.leave(ticket)
            waiter.set_result(chain)

    def _try(self, state: _Line, ticket: Ticket) -> Chain | None:
        chain = self._planner.find(
            state.service, ticket.tokens, ticket.avoid, ticket.is_new
        )
        if chain is not None:
            self._planner.take(state.service, chain, ticket.tokens)
            state.line.note_admitted(self._clock.monotonic())
        return chain

    def _get_line(self, service: ServiceSpec) -> _Line:
        state = self._lines.get(service.name)
        if state is None:
            state = self._lines[service.name] = _Line(WaitingLine(), {}, service)
        state.service = service
        return state
