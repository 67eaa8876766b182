"""Cuts a stream of server-sent events into whole events.

Format: the WHATWG HTML standard, section "Server-sent events". Events are passed on as
the bytes that they came in.
"""

from dataclasses import dataclass

MOST_BYTES = 1024 * 1024
"""Longest event; a longer one is no event of ours."""


@dataclass(frozen=True, slots=True)
class Event:
    """One whole event.

    :param id: its ``id`` field, if it has one.
    :param content: its bytes with the blank line that ends it.
    """

    id: str | None
    content: bytes


class EventTooLong(Exception):
    """What came is no stream of events."""


class EventSplitter:
    """Collects bytes and gives out the events that are complete."""

    def __init__(self) -> None:
        self._held = b""

    @property
    def has_remainder(self) -> bool:
        """Tell whether an event has begun and not ended."""
        return len(self._held) > 0

    def feed(self, content: bytes) -> list[Event]:
        """Take bytes and return the events that they complete.

        :raises EventTooLong: if an event does not end.
        """
        data = self._held + content
        events = []
        begin = 0
        while (end := _find_end(data, begin)) > 0:
            piece = data[begin:end]
            events.append(Event(_read_id(piece), piece))
            begin = end
        self._held = data[begin:]
        if len(self._held) > MOST_BYTES:
            raise EventTooLong
        return events


def _find_end(data: bytes, begin: int) -> int:
    """Return the position behind the first blank line; 0 where there is none."""
    ends = [
        position + len(mark)
        for mark in (b"\n\n", b"\r\n\r\n")
        if (position := data.find(mark, begin)) >= 0
    ]
    return min(ends, default=0)


def _read_id(event: bytes) -> str | None:
    for line in event.splitlines():
        name, _, value = line.partition(b":")
        if name == b"id":
            return value.strip().decode("utf-8", "replace")
    return None
