"""Reads answers within bounds, and records those that exceed them."""

import asyncio
import io
from collections.abc import Callable
from enum import Enum
from typing import Protocol

import aiohttp
import structlog
from aiohttp.streams import EMPTY_PAYLOAD

from marigoldswitch.core.ports import Clock
from marigoldswitch.core.read_bounds import Excess, ReadBounds
from marigoldswitch.core.routes import ClientLimits
from marigoldswitch.stalls import ActivityClock, StallWatch

logger = structlog.get_logger(__name__)

LOG_INTERVAL_SECONDS = 1.0
"""Least time between two log lines on the same reader of the same target."""


class Reader(Enum):
    """What read an unbounded answer."""

    HEAD = "head"
    ANSWER = "answer"
    STREAM = "stream"
    PROXIED = "proxied"
    REPORT = "report"
    ORDER = "order"
    STORE = "store"
    PEER = "peer"


class AnswerUnbounded(aiohttp.ClientError):
    """An answer has exceeded a bound; its connection is closed."""

    def __init__(self, excess: Excess) -> None:
        super().__init__(excess.bound, excess.size, round(excess.seconds, 3))
        self.excess = excess


class ReadGuard:
    """The bounds in force, and the record of what has exceeded them.

    :param clock: ``None`` to log every time.
    :param count: counts an unbounded answer, by its reader.
    :ivar bounds: the bounds in force.
    :ivar open_connections: connections whose reads are bounded.
    """

    def __init__(
        self,
        clock: Clock | None = None,
        count: Callable[[str], None] = lambda _: None,
    ) -> None:
        self.bounds = ReadBounds()
        self.open_connections = 0
        self._clock = clock
        self._count = count
        self._logged_at: dict[tuple[str, Reader], float] = {}
        self._unlogged = 0

    def apply_limits(self, limits: ClientLimits) -> None:
        """Put the limits of a configuration in force."""
        self.bounds = ReadBounds().apply_limits(limits)

    def note(self, target: str, reader: Reader, excess: Excess) -> None:
        """Log and count an unbounded answer.

        :param target: id or address of the process that sent it.
        """
        self._count(reader.value)
        now = self._clock.monotonic() if self._clock is not None else 0.0
        self._logged_at = {
            key: at
            for key, at in self._logged_at.items()
            if 0.0 < now < at + LOG_INTERVAL_SECONDS
        }
        if (target, reader) in self._logged_at:
            self._unlogged += 1
            return
        self._logged_at[target, reader] = now
        logger.warning(
            "answer_unbounded",
            target=target,
            reader=reader.value,
            bound=excess.bound,
            bytes=excess.size,
            seconds=round(excess.seconds, 3),
            unlogged=self._unlogged,
        )
        self._unlogged = 0


class BodyReader:
    """Reads the body of an answer while it makes progress.

    :param counts_silence: time in which no byte arrives counts in full, and not only
        up to :data:`MAX_COUNTED_SILENCE_SECONDS` each time.
    :ivar size: bytes read so far.
    """

    def __init__(
        self,
        response: aiohttp.ClientResponse,
        bounds: ReadBounds,
        counts_silence: bool = False,
    ) -> None:
        self.size = 0
        self._response = response
        self._progress_bytes = bounds.progress_bytes
        self._began = asyncio.get_running_loop().time()
        self._marked_size = 0
        self._stall: Excess | None = None
        get_time = None if counts_silence else _get_activity_time(response)
        self._watch = StallWatch(bounds.progress_seconds, self._end_stalled, get_time)

    async def read(self) -> bytes:
        """Return the next bytes of the body; none at its end.

        Time between two calls does not count.

        :raises AnswerUnbounded: if the body makes no progress; also what reading raises
            otherwise.
        """
        self._watch.resume()
        try:
            content = await self._response.content.readany()
        except (aiohttp.ClientError, OSError):
            if self._stall is not None:
                raise AnswerUnbounded(self._stall) from None
            raise
        self.size += len(content)
        if self.size - self._marked_size >= self._progress_bytes:
            self._marked_size = self.size
            self._watch.note_progress()
        self._watch.suspend()
        return content

    def fail(self, bound: str) -> AnswerUnbounded:
        """Close the connection; return the error that names a bound."""
        self._response.close()
        seconds = asyncio.get_running_loop().time() - self._began
        return AnswerUnbounded(Excess(bound, self.size, seconds))

    def stop(self) -> None:
        """Stop measuring progress."""
        self._watch.stop()

    def _end_stalled(self, seconds: float) -> None:
        self._stall = Excess("progress_seconds", self.size, seconds)
        self._response.close()


class NoMemory(aiohttp.ClientError):
    """There is no room for an answer that has to be kept until it is whole."""


class AnswerHolder(Protocol):
    """Accounts for the memory of an answer."""

    def reserve_answer(self, size: int) -> bool:
        """Reserve the room for an answer whose length is known, if there is any."""
        ...

    def hold_answer(self, size: int) -> bool:
        """Account for an answer; return whether there is room for it."""
        ...


async def read_whole(
    response: aiohttp.ClientResponse,
    bounds: ReadBounds,
    bound: str,
    counts_silence: bool = False,
    holder: AnswerHolder | None = None,
) -> bytes:
    """Return the body of an answer.

    :param bound: name of the bound on its length.
    :param counts_silence: see :class:`BodyReader`.
    :param holder: accounts for the memory that it takes.
    :raises AnswerUnbounded: if it exceeds a bound; the connection is then closed. Also
        what reading raises otherwise.
    """
    max_bytes: int = getattr(bounds, bound)
    # A short answer mostly arrives together with its head.
    if response.content.is_eof() and response.content.total_bytes <= max_bytes:
        return await response.read()
    reader = BodyReader(response, bounds, counts_silence)
    parts = io.BytesIO()
    try:
        if get_stated_length(response) > max_bytes:
            raise reader.fail(bound)
        while content := await reader.read():
            if reader.size > max_bytes:
                raise reader.fail(bound)
            if holder is not None and not holder.hold_answer(reader.size):
                raise NoMemory(f"no memory for {reader.size} bytes of an answer")
            parts.write(content)
    finally:
        reader.stop()
    return parts.getvalue()


def get_stated_length(response: aiohttp.ClientResponse) -> int:
    """Return the length that an answer states of its body; 0 if it states or has
    none."""
    if response.content is EMPTY_PAYLOAD:
        return 0
    try:
        return response.content_length or 0
    except ValueError:
        return 0


def _get_activity_time(
    response: aiohttp.ClientResponse,
) -> Callable[[], float] | None:
    """Return the clock of a response's connection that leaves out silences, if it has
    one."""
    # Private: ``connection`` is already ``None`` if the end came with the headers.
    clock = getattr(response._protocol, "activity", None)
    return clock.time if isinstance(clock, ActivityClock) else None
