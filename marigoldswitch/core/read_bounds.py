"""Bounds on what is read from outside the process, in bytes and in time.

Load: a target, the store or another host sends bytes that are no answer, without end,
as fast as the link carries them or one at a time. Unbounded, one such answer takes the
memory of a host, or a request's whole time, while the target looks merely busy.
"""

from typing import Self

import msgspec
from msgspec import Struct

from marigoldswitch.core.event_stream import MAX_EVENT_BYTES, Event
from marigoldswitch.core.routes import ClientLimits

MIN_EVENT_BYTES = 64 * 1024
"""Lower limit for the bound on an event: one read of a connection."""
MAX_ERROR_BYTES = 1024 * 1024
"""Longest body of an engine's error answer."""
UNBOUNDED_ANSWERS = 3
"""Unbounded answers that eject a target of a plain service, also with good answers in
between: one may be an accident, and each costs as much as many failures."""
UNBOUNDED_WINDOW_SECONDS = 30.0
"""Time within which they count together: that of a few ejections."""

MAX_COUNTED_SILENCE_SECONDS = 0.5
"""Longest part of a silence that counts as time without progress: above the pauses of a
sender of a few bytes at a time, and a small part of the bounds. A sender that is paused
for seconds and goes on is sound."""


class Excess(Struct, frozen=True):
    """How something that was read has exceeded a bound.

    :param bound: name of the bound, a field of :class:`ReadBounds`.
    :param size: bytes read that the bound applies to.
    :param seconds: time that they took.
    """

    bound: str
    size: int
    seconds: float


class ReadBounds(Struct, frozen=True, kw_only=True):
    """The bounds of all readers.

    :param head_bytes: of the status line and header lines of an answer, together with
        the informational heads before it. Heads of targets have some hundred bytes.
    :param head_seconds: from the first byte of a head to its last, together with the
        informational heads before it but without the pauses after these. A head is sent
        in one piece; with a lost packet it takes under a second. Of a silence, only
        ``MAX_COUNTED_SILENCE_SECONDS`` count, here and below.
    :param informational_heads: heads with a status 1xx before that of the answer:
        ``100``, ``102`` and ``103`` once each.
    :param body_bytes: of an answer that is kept in memory until it is whole. A longer
        one is passed on as it arrives if it states its length.
    :param declared_bytes: length that an answer may state: what a link of 100 Mbit/s
        carries in 20 s, the longest time of a request.
    :param framing_bytes: received without a byte of the body: sizes and extensions of
        chunks, trailers.
    :param progress_bytes: of a body that must arrive within ``progress_seconds``. An
        answer that is ready arrives at the speed of the link.
    :param progress_seconds: see ``progress_bytes``; less than the 3 s within which
        callers of plain services need a final answer.
    :param event_bytes: of a stream without a whole event that brings it forward: one
        event, or comments.
    :param event_seconds: from such bytes to the next event that brings the stream
        forward.
    :param error_bytes: body of an engine's error answer.
    :param report_bytes: of an engine's report or answer to an order; some 60 bytes for
        each stalled stream.
    :param store_bytes: of an answer of the store. The largest, a configuration, takes
        8 MB, and a third more as it is encoded.
    :param stray_ack_bytes: that a host returns on a connection without acknowledging
        anything new; an acknowledgement has 8 bytes.
    :raises ValueError: if a bound is not positive.
    """

    head_bytes: int = 16_384
    head_seconds: float = 2.5
    informational_heads: int = 3
    body_bytes: int = 4_194_304
    declared_bytes: int = 256 * 1024 * 1024
    framing_bytes: int = 65_536
    progress_bytes: int = 1024
    progress_seconds: float = 2.5
    event_bytes: int = MAX_EVENT_BYTES
    event_seconds: float = 2.5
    error_bytes: int = MAX_ERROR_BYTES
    report_bytes: int = 262_144
    store_bytes: int = 16 * 1024 * 1024
    stray_ack_bytes: int = 65_536

    def __post_init__(self) -> None:
        for name in self.__struct_fields__:
            value = getattr(self, name)
            if not value > 0:
                raise ValueError(f"{name} is {value!r}")

    def apply_limits(self, limits: ClientLimits) -> Self:
        """Return the bounds with the limits of a configuration in their places.

        A configured time for heads applies where it is shorter, as it also has to cover
        the slow links of callers.
        """
        body_bytes = max(1, limits.body_bytes)
        return msgspec.structs.replace(
            self,
            head_bytes=max(1, limits.header_bytes),
            head_seconds=min(self.head_seconds, limits.header_seconds)
            if limits.header_seconds > 0
            else self.head_seconds,
            body_bytes=body_bytes,
            event_bytes=min(self.event_bytes, max(MIN_EVENT_BYTES, body_bytes)),
            error_bytes=min(self.error_bytes, body_bytes),
        )


class EventProgress:
    """Measures what a stream sends besides the events that bring it forward.

    :param needs_ids: only events with ids count, as the stream is resumable. Where
        events may come without ids, any with data count.
    """

    def __init__(self, bounds: ReadBounds, needs_ids: bool) -> None:
        self._bounds = bounds
        self._needs_ids = needs_ids
        self._last_id: str | None = None
        self._stray_bytes = 0
        """Received since the last event that brought the stream forward."""
        self._stray_seconds = 0.0
        """Time that these bytes took, without most of the silences between them."""
        self._stray_at = 0.0
        """When the last of them were received."""

    def count(self, size: int, events: list[Event], now: float) -> bool:
        """Count bytes; return whether they have brought the stream forward.

        :param size: bytes received.
        :param events: the events that these bytes have completed.
        """
        is_progress = False
        for item in events:
            is_progress |= self._is_progress(item)
        if is_progress:
            self._stray_bytes = 0
            return True
        silence = now - self._stray_at if self._stray_bytes else 0.0
        if not self._stray_bytes:
            self._stray_seconds = 0.0
        self._stray_seconds += min(silence, MAX_COUNTED_SILENCE_SECONDS)
        self._stray_at = now
        self._stray_bytes += size
        return False

    def find_excess(self, now: float) -> Excess | None:
        """Return the bound that the stream exceeds, if any.

        Only to be called when bytes have arrived: a silent stream exceeds none.
        """
        if not self._stray_bytes:
            return None
        silence = min(now - self._stray_at, MAX_COUNTED_SILENCE_SECONDS)
        seconds = self._stray_seconds + silence
        if self._stray_bytes > self._bounds.event_bytes:
            return Excess("event_bytes", self._stray_bytes, seconds)
        if seconds > self._bounds.event_seconds:
            return Excess("event_seconds", self._stray_bytes, seconds)
        return None

    def _is_progress(self, event: Event) -> bool:
        if event.id is None:
            return event.has_data and not self._needs_ids
        is_new = event.id != self._last_id
        self._last_id = event.id
        return is_new
