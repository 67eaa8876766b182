"""When a connection to another host is given up.

A connection may look open although nothing arrives at its other end: that has
forgotten the connection, or something on the path takes the bytes and delivers none.
Only the process at the other end can tell, so it acknowledges what it has read.
"""

from msgspec import Struct

ACK_DELAY_SECONDS = 0.5
"""Longest time that a receiver delays an acknowledgement, so that one covers all
messages of that time."""
ACK_TIMEOUT_SECONDS = 2.0
"""Time without progress after which a connection is given up. It answers a path that
loses everything for longer than some retransmissions take; a receiver under full load
acknowledges some tenths of a second later than ``ACK_DELAY_SECONDS``."""
CONFIRM_SECONDS = 0.25
"""Time between the two checks that give up a connection."""


class AcknowledgementWatch(Struct):
    """Decides when a connection is given up; times are monotonic seconds.

    :ivar sent: bytes written to the connection.
    :ivar acknowledged: bytes that the other end has read.
    :ivar flushed: bytes that the operating system had taken at the last check.
    :ivar progress_at: when the other end last made progress, or when it was last sent
        something with nothing unacknowledged.
    :ivar is_suspect: the last check found the connection without progress.
    """

    sent: int = 0
    acknowledged: int = 0
    flushed: int = 0
    progress_at: float = 0.0
    is_suspect: bool = False

    def count_unacknowledged(self) -> int:
        """Return the number of bytes sent but not acknowledged."""
        return self.sent - self.acknowledged

    def measure_silence(self, now: float) -> float:
        """Return the seconds for which bytes have waited without progress."""
        return now - self.progress_at if self.count_unacknowledged() else 0.0

    def note_sent(self, size: int, now: float) -> None:
        """Note that bytes were written.

        :param size: in bytes.
        """
        if not self.count_unacknowledged():
            self._note_progress(now)
        self.sent += size

    def note_acknowledged(self, total: int, now: float) -> bool:
        """Note an acknowledgement; return whether it shows progress.

        :param total: bytes of the connection that the other end has read so far.
        """
        if not self.acknowledged < total <= self.sent:
            return False
        self.acknowledged = total
        self._note_progress(now)
        return True

    def check(self, buffered: int, now: float) -> float | None:
        """Check a connection with unacknowledged bytes.

        It takes two checks to give one up. A process that was suspended finds its own
        clock advanced and the acknowledgements still unread; it reads them before the
        second check.

        :param buffered: bytes that wait in the process for the operating system.
        :return: seconds until the next check, or ``None`` to give up the connection.
        """
        self._note_flushed(buffered, now)
        remaining = self.progress_at + ACK_TIMEOUT_SECONDS - now
        if remaining > 0.0:
            return remaining
        if self.is_suspect:
            return None
        self.is_suspect = True
        return CONFIRM_SECONDS

    def _note_flushed(self, buffered: int, now: float) -> None:
        """Count a large frame that is still being flushed as progress.

        This holds only until the first acknowledgement: a process of an older version
        sends none, and a frame that takes long must arrive there too.
        """
        flushed = self.sent - buffered
        if buffered and flushed > self.flushed and not self.acknowledged:
            self._note_progress(now)
        self.flushed = flushed

    def _note_progress(self, now: float) -> None:
        self.progress_at = now
        self.is_suspect = False
