"""Parser that splits a byte stream into server-sent events.

Format: the WHATWG HTML standard, section "Server-sent events". The bytes of each event
are kept unchanged, so that they can be passed on as received.
"""

from msgspec import Struct

MAX_EVENT_BYTES = 1024 * 1024
"""Longest event that is accepted; none of our events is longer."""


class Event(Struct, frozen=True):
    """One complete event.

    :param id: its ``id`` field, if any.
    :param content: its bytes, with the blank line that ends it.
    """

    id: str | None
    content: bytes

    @property
    def has_data(self) -> bool:
        """Return whether it has a ``data`` field; comments have none."""
        return self.content.startswith(b"data") or b"\ndata" in self.content


class EventTooLong(Exception):
    """An event exceeds the size limit, as where the bytes are no event stream."""


class EventSplitter:
    """Buffers bytes and returns the events that are complete.

    :param max_bytes: longest event that is accepted.
    """

    def __init__(self, max_bytes: int = MAX_EVENT_BYTES) -> None:
        self._max_bytes = max_bytes
        self._buffer = b""

    @property
    def has_remainder(self) -> bool:
        """Return whether the buffer holds an incomplete event."""
        return len(self._buffer) > 0

    def feed(self, content: bytes) -> list[Event]:
        """Add bytes and return the events that they complete.

        :raises EventTooLong: if an incomplete event exceeds the size limit.
        """
        data = self._buffer + content
        events = []
        begin = 0
        while (end := _find_end(data, begin)) > 0:
            piece = data[begin:end]
            events.append(Event(_read_id(piece), piece))
            begin = end
        self._buffer = data[begin:]
        if len(self._buffer) > self._max_bytes:
            raise EventTooLong
        return events


def _find_end(data: bytes, begin: int) -> int:
    """Return the position after the first blank line, or 0 if there is none."""
    ends = [
        position + len(separator)
        for separator in (b"\n\n", b"\r\n\r\n")
        if (position := data.find(separator, begin)) >= 0
    ]
    return min(ends, default=0)


def _read_id(event: bytes) -> str | None:
    for line in event.splitlines():
        name, _, value = line.partition(b":")
        if name == b"id":
            return value.strip().decode("utf-8", "replace")
    return None
