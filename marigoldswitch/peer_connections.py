"""TCP connections between hosts, acknowledged by the process at the other end.

One end sends frames. The other returns the number of bytes that it has read so far, as
an integer of ``ACK_BYTES``, at most once per ``ACK_DELAY_SECONDS``. A process of an
older version returns nothing: its connections are replaced each time that they are
given up, after all that was sent on them is delivered.
"""

import asyncio
from collections.abc import Callable
from enum import Enum

from marigoldswitch.core.acknowledgements import (
    ACK_DELAY_SECONDS,
    ACK_TIMEOUT_SECONDS,
    AcknowledgementWatch,
)
from marigoldswitch.core.ports import Clock
from marigoldswitch.core.read_bounds import Excess, ReadBounds
from marigoldswitch.sockets import set_silence_timeouts
from marigoldswitch.stalls import StallWatch

ACK_BYTES = 8


class Loss(Enum):
    """Why a connection to a host is lost."""

    SILENT = "no acknowledgement"
    BLOCKED = "drain"
    """No acknowledgement, and more is waiting than the operating system takes."""
    UNBOUNDED = "unbounded"
    """The other end returns bytes that acknowledge nothing."""
    RESET = "reset"
    CLOSED = "closed"
    """The other end closed it."""
    CONNECT = "connect"


class ConnectionGivenUp(ConnectionError):
    """The other end made no progress for too long."""


class PeerConnection(asyncio.Protocol):
    """The sending end of a connection.

    :param address: ``IP:port`` to which it is connected.
    :param on_lost: called once when it is lost, unless it was closed here.
    :param on_acknowledged: called at its first acknowledgement.
    """

    def __init__(
        self,
        address: str,
        clock: Clock,
        on_lost: Callable[["PeerConnection", Loss], None],
        on_acknowledged: Callable[[], None],
    ) -> None:
        self.address = address
        self.watch = AcknowledgementWatch()
        self._clock = clock
        self._on_lost = on_lost
        self._on_acknowledged = on_acknowledged
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._writable: asyncio.Future[None] | None = None
        """Set while more is waiting than the operating system takes."""
        self._tail = b""
        """The beginning of an acknowledgement whose rest has not arrived."""
        self._stray_bytes = 0
        """Received since the last acknowledgement of anything new."""
        self._is_ended = False
        self._is_given_up = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the options of the socket."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        set_silence_timeouts(transport.get_extra_info("socket"))

    def data_received(self, data: bytes) -> None:
        """Read acknowledgements; the last one says all."""
        received = len(data)
        data = self._tail + data
        end = len(data) - len(data) % ACK_BYTES
        self._tail = data[end:]
        total = int.from_bytes(data[max(0, end - ACK_BYTES) : end], "big")
        is_first = not self.watch.acknowledged
        now = self._clock.monotonic()
        if not self.watch.note_acknowledged(total, now):
            self._note_stray(received)
            return
        self._stray_bytes = 0
        if is_first:
            self._on_acknowledged()

    def _note_stray(self, size: int) -> None:
        """Count bytes that acknowledge nothing new; reset the connection at a bound."""
        self._stray_bytes += size
        if self._stray_bytes > ReadBounds().stray_ack_bytes and not self._is_ended:
            self._end(Loss.UNBOUNDED)
            if self._transport is not None:
                self._transport.abort()

    def pause_writing(self) -> None:
        """Make writers wait."""
        self._writable = self._loop.create_future()

    def resume_writing(self) -> None:
        """Let a waiting writer continue."""
        if self._writable is not None and not self._writable.done():
            self._writable.set_result(None)
        self._writable = None

    def connection_lost(self, exc: Exception | None) -> None:
        """End the connection and fail a waiting writer."""
        self._end(Loss.RESET if exc else Loss.CLOSED)
        self.resume_writing()

    def is_closing(self) -> bool:
        """Return whether nothing can be sent any more."""
        return self._transport is None or self._transport.is_closing()

    async def write(self, frame: bytes) -> None:
        """Send a frame; wait while too much is waiting to be sent.

        The wait ends at the latest when the connection is given up.

        :raise ConnectionGivenUp: the other end makes no progress.
        :raise ConnectionError: the connection is closed.
        """
        if self._transport is None or self._transport.is_closing():
            raise ConnectionResetError(f"the connection to {self.address} is closed")
        self.watch.note_sent(len(frame), self._clock.monotonic())
        self._transport.write(frame)
        if self._timer is None:
            self._schedule_check(ACK_TIMEOUT_SECONDS)
        if self._writable is not None:
            await self._writable
        if self._is_given_up:
            raise ConnectionGivenUp(f"{self.address} acknowledges nothing")
        if self.is_closing():
            raise ConnectionResetError(f"the connection to {self.address} was lost")

    def close(self) -> None:
        """Close the connection after all that was written is sent."""
        self._end(None)
        if self._transport is not None:
            self._transport.close()

    def _schedule_check(self, seconds: float) -> None:
        self._timer = self._loop.call_later(seconds, self._check)

    def _check(self) -> None:
        self._timer = None
        if self._transport is None or not self.watch.count_unacknowledged():
            return
        buffered = self._transport.get_write_buffer_size()
        wait = self.watch.check(buffered, self._clock.monotonic())
        if wait is not None:
            self._schedule_check(wait)
            return
        self._is_given_up = True
        self._end(Loss.BLOCKED if self._writable is not None else Loss.SILENT)
        if buffered:
            self._transport.abort()
        else:
            # What the operating system has taken may still reach a slow receiver.
            self._transport.close()

    def _end(self, loss: Loss | None) -> None:
        """Stop the checks and report a loss, once."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._is_ended:
            return
        self._is_ended = True
        if loss is not None:
            self._on_lost(self, loss)


class AcknowledgingReader:
    """The receiving end of a connection: reads it and acknowledges what it has read.

    :ivar excess: the bound that a frame has exceeded, which ended the connection.
    :ivar note_size: called with the bytes of a frame that have arrived.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        bounds: ReadBounds | None = None,
    ) -> None:
        self._bounds = bounds or ReadBounds()
        self._reader = reader
        self._writer = writer
        self._loop = asyncio.get_running_loop()
        self._total = 0
        self._timer: asyncio.TimerHandle | None = None
        self.excess: Excess | None = None
        self.note_size: Callable[[int], None] = lambda _: None

    async def read_rest(self, size: int) -> bytes:
        """Read what follows the first bytes of a frame, while it makes progress.

        :raise asyncio.IncompleteReadError: the connection was closed.
        :raise OSError: the connection was lost, or reset as the frame stalled.
        """
        began, marked = self._total, self._total

        def end_stalled(seconds: float) -> None:
            size = self._total - began
            self.excess = Excess("progress_seconds", size, seconds)
            self._writer.transport.abort()

        watch = StallWatch(self._bounds.progress_seconds, end_stalled)
        parts = bytearray()
        try:
            while len(parts) < size:
                parts += await self._read_part(size - len(parts))
                self.note_size(len(parts))
                if self._total - marked >= self._bounds.progress_bytes:
                    marked = self._total
                    watch.note_progress()
        finally:
            watch.stop()
        return bytes(parts)

    async def read_exactly(self, size: int) -> bytes:
        """Read a number of bytes, acknowledging the parts as they arrive.

        :raise asyncio.IncompleteReadError: the connection was closed.
        :raise OSError: the connection was lost.
        """
        data = await self._read_part(size)
        if len(data) == size:
            return data
        parts = bytearray(data)
        while len(parts) < size:
            parts += await self._read_part(size - len(parts))
        return bytes(parts)

    def close(self) -> None:
        """Acknowledge nothing more and close the connection."""
        if self._timer is not None:
            self._timer.cancel()
        self._writer.close()

    async def _read_part(self, size: int) -> bytes:
        part = await self._reader.read(size)
        if not part:
            raise asyncio.IncompleteReadError(b"", size)
        self._total += len(part)
        if self._timer is None:
            self._schedule()
        return part

    def _schedule(self) -> None:
        self._timer = self._loop.call_later(ACK_DELAY_SECONDS, self._acknowledge)

    def _acknowledge(self) -> None:
        self._timer = None
        transport = self._writer.transport
        if transport.is_closing():
            return
        if transport.get_write_buffer_size():
            # A sender of an older version doesn't read acknowledgements.
            self._schedule()
            return
        self._writer.write(self._total.to_bytes(ACK_BYTES, "big"))
