"""Client connections whose heads and framing are bounded.

The HTTP client bounds a line and the number of lines of one head, but neither the heads
with a status 1xx before an answer, nor the time of a head, nor what surrounds the bytes
of a body.
"""

import asyncio
from collections.abc import Callable
from typing import Any

from aiohttp.helpers import _EXC_SENTINEL as _NO_CAUSE
from aiohttp.http_exceptions import HttpProcessingError

from marigoldswitch.answer_connections import AnswerConnector, AnswerHandler
from marigoldswitch.core.answer_grammar import FIRST_FINAL_STATUS
from marigoldswitch.core.read_bounds import Excess, ReadBounds
from marigoldswitch.gateway.bounded_reads import AnswerUnbounded, ReadGuard
from marigoldswitch.stalls import ActivityClock, StallWatch


class BoundedHandler(AnswerHandler):
    """Protocol of a connection that is reset when what it receives exceeds a bound.

    :param note_bytes: called whenever bytes arrive.
    :ivar activity: clock that leaves out the other end's silences.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        guard: ReadGuard,
        note_bytes: Callable[[], None],
    ) -> None:
        super().__init__(loop)
        self.activity = ActivityClock()
        self._note_bytes = note_bytes
        self._guard = guard
        self._is_head_open = False
        """Whether the head of an answer is awaited."""
        self._head_size = 0
        self._head_began = 0.0
        self._head_watch: StallWatch | None = None
        self._informational_heads = 0
        self._is_between_heads = False
        """Whether an informational head is complete and no byte has come since."""
        self._framing_size = 0
        self._body_size = 0
        self._arriving = 0
        """Bytes that arrived last."""

    @property
    def _bounds(self) -> ReadBounds:
        return self._guard.bounds

    def set_response_params(self, **params: Any) -> None:
        """Await the head of an answer."""
        self._is_head_open = True
        self._head_size = self._informational_heads = 0
        self._is_between_heads = False
        self._framing_size = self._body_size = 0
        super().set_response_params(**params)

    def data_received(self, data: bytes) -> None:
        """Parse what arrives, and count it."""
        if self._has_failed:
            return
        self.activity.note_bytes()
        self._note_bytes()
        self._arriving = len(data)
        if self._is_head_open:
            self._note_head_bytes(len(data))
        super().data_received(data)
        if self._has_failed or not data:
            return
        if self._is_head_open:
            self._check_open_head()
        else:
            self._count_framing(len(data))

    def feed_data(self, data: Any, size: int = 0) -> None:
        """Take a head that is complete."""
        if self._has_failed:
            return
        status = data[0].code
        if not self._is_head_open:
            self._cut("framing_bytes", self._head_size)
            return
        if status < FIRST_FINAL_STATUS:
            self._informational_heads += 1
            if self._informational_heads > self._bounds.informational_heads:
                self._cut("informational_heads", self._head_size)
                return
            # Silence after it is the time that the target takes for the answer.
            self._is_between_heads = True
            if self._head_watch is not None:
                self._head_watch.suspend()
        else:
            self._is_head_open = False
            self._stop_head_watch()
        super().feed_data(data, size)

    def set_exception(
        self, exc: BaseException, exc_cause: BaseException = _NO_CAUSE
    ) -> None:
        """Fail the reader; bytes that can't be parsed may also be too many."""
        if isinstance(exc, HttpProcessingError):
            if not self._is_head_open:
                self._count_framing(self._arriving)
            elif self._head_size > self._bounds.head_bytes:
                self._cut("head_bytes", self._head_size)
        if not self._has_failed:
            super().set_exception(exc, exc_cause)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Count the connection."""
        super().connection_made(transport)
        self._guard.open_connections += 1

    def connection_lost(self, exc: BaseException | None) -> None:
        """Stop measuring."""
        self._guard.open_connections -= 1
        self._stop_head_watch()
        super().connection_lost(exc)

    def _note_head_bytes(self, size: int) -> None:
        if not self._head_size:
            self._head_began = self._loop.time()
        self._head_size += size
        self._is_between_heads = False
        if self._head_watch is not None:
            self._head_watch.resume()

    def _check_open_head(self) -> None:
        """Check the part of a head that has arrived."""
        if self._head_size > self._bounds.head_bytes:
            self._cut("head_bytes", self._head_size)
        elif self._head_watch is None:
            self._head_watch = StallWatch(
                self._bounds.head_seconds, self._end_late_head, self.activity.time
            )
            if self._is_between_heads:
                self._head_watch.suspend()

    def _count_framing(self, size: int) -> None:
        body = self._payload
        if body is None:
            return
        if body.total_bytes != self._body_size:
            self._body_size, self._framing_size = body.total_bytes, 0
            return
        self._framing_size += size
        if self._framing_size > self._bounds.framing_bytes:
            self._cut("framing_bytes", self._framing_size)

    def _end_late_head(self, _: float) -> None:
        self._cut("head_seconds", self._head_size)

    def _stop_head_watch(self) -> None:
        if self._head_watch is not None:
            self._head_watch.stop()
            self._head_watch = None

    def _cut(self, bound: str, size: int) -> None:
        """Reset the connection and fail whoever reads it."""
        self._stop_head_watch()
        began = self._head_began or self._loop.time()
        self.fail(AnswerUnbounded(Excess(bound, size, self._loop.time() - began)))


class BoundedConnector(AnswerConnector):
    """Opens connections whose reading is bounded.

    :param note_bytes: called whenever bytes arrive on one of them.
    """

    def __init__(
        self, guard: ReadGuard, note_bytes: Callable[[], None], **options: Any
    ) -> None:
        super().__init__(**options)
        self.use_handler(BoundedHandler, guard=guard, note_bytes=note_bytes)
