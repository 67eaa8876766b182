"""Front: holds the requests of this host and runs each to its end."""

import asyncio
from collections.abc import Mapping

import structlog

from marigoldswitch.core.catalogue import Bundle, ServiceKind
from marigoldswitch.core.errors import ErrorKind, Fault
from marigoldswitch.core.ids import RequestId
from marigoldswitch.core.ledger import InvariantBroken
from marigoldswitch.core.requests import Request
from marigoldswitch.metrics import Metrics
from marigoldswitch.model_runs import ModelRun
from marigoldswitch.observers import Observer
from marigoldswitch.plain_runs import PlainRun
from marigoldswitch.runs import Emit, Parts, Run

logger = structlog.get_logger(__name__)

RUNS: Mapping[ServiceKind, type[Run]] = {
    ServiceKind.PLAIN: PlainRun,
    ServiceKind.MODEL: ModelRun,
}


class Front:
    """Runs requests; each emits exactly one ``End`` or ``Fault``, as its last event.

    :param most_held: requests held at once; one more is refused.
    """

    def __init__(self, parts: Parts, metrics: Metrics, most_held: int) -> None:
        self.held: dict[RequestId, asyncio.Task[None]] = {}
        self.breaches = 0
        """Promises found broken since the start; must stay 0."""
        self._parts = parts
        self._metrics = metrics
        self._most_held = most_held

    async def run(self, request: Request, bundle: Bundle, emit: Emit) -> None:
        """Run a request to its end; cancelling the task cancels the request."""
        if len(self.held) >= self._most_held:
            await emit(Fault(ErrorKind.SATURATED, "the host holds too many requests"))
            return
        service = bundle.services[request.service]
        observe = Observer(self._parts.clock, self._metrics, request, emit)
        run = RUNS[service.kind](self._parts, request, bundle, observe)
        task = asyncio.current_task()
        assert task is not None
        self.held[request.id] = task
        self._metrics.held.set({}, len(self.held))
        try:
            await self._drive(run)
        finally:
            del self.held[request.id]
            self._metrics.held.set({}, len(self.held))
            observe.count_end(run.life.stage.value)

    def cancel(self, request: RequestId) -> bool:
        """Cancel a request that is held here; tell whether it was."""
        task = self.held.get(request)
        return task is not None and task.cancel()

    async def _drive(self, run: Run) -> None:
        try:
            await run.drive()
        except asyncio.CancelledError:
            if not run.life.ended:
                ran = run.life.deliveries > 0
                kind = ErrorKind.CANCELLED if ran else ErrorKind.CANCELLED_IN_QUEUE
                run.life.end_with(Fault(kind))
            raise
        except InvariantBroken as error:
            self.breaches += 1
            self._metrics.breaches.inc({})
            logger.error("promise_broken", request=run.request.id, what=str(error))
            await run.emit(Fault(ErrorKind.INTERNAL, "a promise was found broken"))
