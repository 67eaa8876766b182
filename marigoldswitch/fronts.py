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
from marigoldswitch.observers import CallerGone, Observer
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
        """Requests on their way, and what outlives its caller, such as a booking."""
        self.breaches = 0
        """Promises found broken since the start; must stay 0."""
        self._cancelled: set[RequestId] = set()
        self._parts = parts
        self._metrics = metrics
        self._most_held = most_held

    async def run(self, request: Request, bundle: Bundle, emit: Emit) -> None:
        """Run a request to its end; cancelling the task cancels the request.

        :raises CallerGone: if the caller went away.
        """
        if len(self.held) >= self._most_held:
            await emit(Fault(ErrorKind.SATURATED, "the host holds too many requests"))
            return
        service = bundle.services[request.service]
        observe = Observer(self._parts.clock, self._metrics, request, emit)
        run = RUNS[service.kind](self._parts, request, bundle, observe)
        task = asyncio.current_task()
        assert task is not None
        self._hold(request.id, task)
        try:
            await self._drive(run, observe)
        finally:
            self._cancelled.discard(request.id)
            self._drop(request.id, task)
            if run.remainder is not None and not run.remainder.done():
                run.remainder.add_done_callback(_log_fault)
                self._hold(request.id, run.remainder)
            run.count_into(self._metrics)
            observe.count_end(run.life.stage.value)

    def cancel(self, request: RequestId) -> bool:
        """Cancel a request that is held here; tell whether it was."""
        task = self.held.get(request)
        if task is None or not task.cancel():
            return False
        self._cancelled.add(request)
        return True

    async def wait_idle(self) -> None:
        """Wait until nothing is held."""
        while self.held:
            await asyncio.wait(list(self.held.values()))
            await asyncio.sleep(0)

    async def stop(self) -> None:
        """Break off what is held."""
        await self._stop_held()
        await self._parts.chains.stop()

    async def _stop_held(self) -> None:
        while self.held:
            tasks = list(self.held.values())
            for task in tasks:
                task.cancel()
            await asyncio.wait(tasks)
            await asyncio.sleep(0)

    def _hold(self, request: RequestId, task: "asyncio.Task[None]") -> None:
        self.held[request] = task
        self._metrics.held.set({}, len(self.held))
        task.add_done_callback(lambda done: self._drop(request, done))

    def _drop(self, request: RequestId, task: "asyncio.Task[None]") -> None:
        if self.held.get(request) is task:
            del self.held[request]
            self._metrics.held.set({}, len(self.held))

    async def _drive(self, run: Run, observe: Observer) -> None:
        """Run a request so that it has one end, whatever happens."""
        try:
            await run.drive()
        except (asyncio.CancelledError, CallerGone) as error:
            await self._end_cancelled(run, observe, error)
        except InvariantBroken as error:
            self.breaches += 1
            self._metrics.breaches.inc({})
            logger.error("promise_broken", request=run.request.id, what=str(error))
            await self._end_internal(run, observe, "a promise was found broken")
        except Exception:
            logger.exception("internal_fault", request=run.request.id)
            await self._end_internal(run, observe, "")

    async def _end_cancelled(
        self, run: Run, observe: Observer, error: BaseException
    ) -> None:
        """End a request that its caller no longer wants.

        The caller that asked for it is told; one that has gone away is not.
        """
        run.abandon()
        if not run.life.ended:
            ran = run.life.deliveries > 0
            kind = ErrorKind.CANCELLED if ran else ErrorKind.CANCELLED_IN_QUEUE
            run.life.end_with(Fault(kind))
        asked = run.request.id in self._cancelled
        if not asked or isinstance(error, CallerGone) or run.life.fault is None:
            raise error
        task = asyncio.current_task()
        assert task is not None
        task.uncancel()
        await observe(run.life.fault)

    async def _end_internal(self, run: Run, observe: Observer, detail: str) -> None:
        run.abandon()
        if observe.ended:
            return
        fault = Fault(ErrorKind.INTERNAL, detail)
        if not run.life.ended:
            run.life.end_with(fault)
        await observe(fault)


def _log_fault(task: "asyncio.Task[None]") -> None:
    """Log a fault of our own in work that outlived its request."""
    if not task.cancelled() and task.exception() is not None:
        logger.error("internal_fault", exc_info=task.exception())
