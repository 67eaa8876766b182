"""Counts what a request's answer consists of on its way to the caller."""

from marigoldswitch.core.errors import Fault
from marigoldswitch.core.ports import Clock
from marigoldswitch.core.requests import Request, Token
from marigoldswitch.metrics import Metrics
from marigoldswitch.runs import Emit, Event


class Observer:
    """Passes the events of one request on and counts them."""

    def __init__(
        self, clock: Clock, metrics: Metrics, request: Request, emit: Emit
    ) -> None:
        self._clock = clock
        self._metrics = metrics
        self._service = str(request.service)
        self._labels = {"service": self._service}
        self._emit = emit
        self._began = clock.monotonic()
        self._first = True

    async def __call__(self, event: Event) -> None:
        """Count an event and pass it on."""
        if self._first:
            self._first = False
            seconds = self._clock.monotonic() - self._began
            self._metrics.first_event.observe(self._labels, seconds)
        match event:
            case Token():
                self._metrics.count_token(self._service)
            case Fault(kind=kind):
                self._metrics.faults.inc({**self._labels, "kind": kind.value})
        await self._emit(event)

    def count_end(self, end: str) -> None:
        """Count the request by how it ended."""
        self._metrics.requests.inc({**self._labels, "end": end})
