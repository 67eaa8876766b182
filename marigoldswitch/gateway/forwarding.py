"""Forwards the events of an answer to the caller, without those it already has."""

from contextlib import AbstractAsyncContextManager
from typing import Protocol

import aiohttp

from marigoldswitch.core.event_stream import Event, EventSplitter
from marigoldswitch.core.ports import Clock
from marigoldswitch.gateway.caller_writes import write
from marigoldswitch.gateway.detours import ChainBroken
from marigoldswitch.gateway.exchanges import Exchange
from marigoldswitch.gateway.upstream import EndOfBodyCheck


class AnswerCut(ChainBroken):
    """The answer ended before it was complete."""


class StreamMonitor(Protocol):
    """Follows the progress of a stream.

    :ivar last_event: id of the last event that the caller has received.
    """

    last_event: str | None

    def note_event(self) -> None:
        """Record that events have arrived."""
        ...

    def monitor(
        self, response: aiohttp.ClientResponse
    ) -> AbstractAsyncContextManager[None]:
        """Watch over an answer while it is read."""
        ...


class EventForwarder:
    """Forwards the events of one request over its successive answers.

    :ivar last_sent: when the last event was forwarded, in monotonic seconds.
    """

    def __init__(
        self, clock: Clock, exchange: Exchange, monitor: StreamMonitor
    ) -> None:
        self.last_sent: float | None = None
        self._clock = clock
        self._exchange = exchange
        self._monitor = monitor

    async def forward(self, response: aiohttp.ClientResponse) -> None:
        """Forward events until the answer is complete.

        :raises AnswerCut: if the answer ends early.
        :raises ChainBroken: if the chain breaks.
        """
        splitter, end_check = EventSplitter(), EndOfBodyCheck(response)
        async with self._monitor.monitor(response):
            while content := await response.content.readany():
                events = splitter.feed(content)
                if events:
                    self._monitor.note_event()
                    await self._write_unseen(events)
        if splitter.has_remainder:
            raise AnswerCut("the answer ended within an event")
        if not end_check.is_complete():
            raise AnswerCut("the connection was reset at the end of the answer")

    async def _write_unseen(self, events: list[Event]) -> None:
        """Write the events that the caller has not received yet."""
        unseen = []
        for event in events:
            if self._is_duplicate(event):
                continue
            if event.id is not None:
                self._monitor.last_event = event.id
            unseen.append(event.content)
        if unseen:
            self._record_gap()
            await write(self._exchange, b"".join(unseen))

    def _record_gap(self) -> None:
        """Update the first-event time and longest gap of ``request_ended``."""
        exchange, now = self._exchange, self._clock.monotonic()
        if self.last_sent is None:
            exchange.first_event = now - exchange.arrived
        else:
            gap = now - self.last_sent
            exchange.longest_gap = max(exchange.longest_gap, gap)
        self.last_sent = now

    def _is_duplicate(self, event: Event) -> bool:
        """Return whether the caller has received an event before.

        Numeric ids are taken to be in ascending order; an event without an id is new.
        """
        last = self._monitor.last_event
        if event.id is None or last is None:
            return False
        if event.id.isdigit() and last.isdigit():
            return int(event.id) <= int(last)
        return event.id == last
