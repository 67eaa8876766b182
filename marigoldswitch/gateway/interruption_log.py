"""Follows an interrupted stream from the loss of an engine to its next event."""

from collections.abc import Callable
from enum import Enum

import structlog
from msgspec import Struct

from marigoldswitch.core.ids import RequestId, TargetId

logger = structlog.get_logger(__name__)


class LossKind(Enum):
    """How a host has noticed that a running stream was interrupted."""

    RESET = "reset"
    SILENCE = "silence"
    REFUSAL = "refusal"
    CUT = "cut"
    """The answer ended before it was complete."""


class _Steps(Struct):
    """Times of one interruption, in seconds since the last event."""

    kind: LossKind
    target: TargetId
    noticed: float
    chain_found: float | None = None
    order_answered: float | None = None


RecordPause = Callable[[LossKind, bool, float], None]
"""Counts one interruption: its kind, whether the pause was kept, and its seconds."""


def ignore_pause(kind: LossKind, is_kept: bool, seconds: float) -> None:
    """Record nothing."""


class InterruptionLog:
    """Logs the interruptions of one stream, one line for each.

    :param limit: longest pause of the route in seconds; 0 if none is set, in which case
        nothing is logged.
    """

    def __init__(
        self, request: RequestId, limit: float, record: RecordPause = ignore_pause
    ) -> None:
        self._request = request
        self._limit = limit
        self._record = record
        self._last_event_at: float | None = None
        self._steps: _Steps | None = None

    def get_seconds_left(self, now: float) -> float:
        """Return what is left of the longest pause since the last event.

        Infinite if the stream has not begun or its route has no such limit.
        """
        if self._last_event_at is None or self._limit <= 0.0:
            return float("inf")
        return self._limit - (now - self._last_event_at)

    def note_loss(self, kind: LossKind, target: TargetId, now: float) -> None:
        """Record that an engine of a stream that has begun was found lost."""
        last = self._last_event_at
        if self._steps is None and self._limit > 0.0 and last is not None:
            self._steps = _Steps(kind, target, now - last)

    def note_chain(self, now: float) -> None:
        """Record that a detour or another chain was found."""
        if self._steps is not None and self._last_event_at is not None:
            self._steps.chain_found = now - self._last_event_at

    def note_order_answered(self, now: float) -> None:
        """Record that the first engine answered to a detour or to the request."""
        if self._steps is not None and self._last_event_at is not None:
            self._steps.order_answered = now - self._last_event_at

    def note_event(self, now: float) -> None:
        """Record an event; log the interruption that it ends, if there was one."""
        last, self._last_event_at = self._last_event_at, now
        steps, self._steps = self._steps, None
        if steps is None or last is None:
            return
        pause = now - last
        is_kept = pause <= self._limit
        self._record(steps.kind, is_kept, pause)
        logger.info(
            "stream_interrupted",
            request=self._request,
            target=steps.target,
            kind=steps.kind.value,
            noticed=_round(steps.noticed),
            chain_found=_round(steps.chain_found),
            order_answered=_round(steps.order_answered),
            first_event=_round(pause),
            limit=self._limit,
            kept=is_kept,
        )


def _round(seconds: float | None) -> float | None:
    return None if seconds is None else round(seconds, 4)
