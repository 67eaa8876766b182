"""Passes the events of an answer on to its caller, each of them once."""

import aiohttp

from marigoldswitch.core.event_stream import Event, EventSplitter
from marigoldswitch.core.ports import Clock
from marigoldswitch.gateway.detours import ChainBroken, ChainWatch
from marigoldswitch.gateway.exchanges import Exchange, write
from marigoldswitch.gateway.upstream import EndWatch


class EventForwarder:
    """Passes on what comes over the chains of one request, one after the other.

    :ivar last_sent: when the last event was passed on.
    """

    def __init__(self, clock: Clock, exchange: Exchange, chain: ChainWatch) -> None:
        self.last_sent: float | None = None
        self._clock = clock
        self._exchange = exchange
        self._chain = chain

    async def forward(self, opened: aiohttp.ClientResponse) -> None:
        """Pass on the events that come until the answer is whole.

        :raises ChainBroken: if it breaks off before.
        """
        splitter, watch = EventSplitter(), EndWatch(opened)
        async with self._chain.look_after(opened):
            while content := await opened.content.readany():
                events = splitter.feed(content)
                if events:
                    self._chain.note_event()
                    await self._write_new(events)
        if splitter.has_remainder:
            raise ChainBroken("an event was cut off")
        if not watch.ended_well():
            raise ChainBroken("the connection was reset at the end")

    async def _write_new(self, events: list[Event]) -> None:
        """Pass on the events that the caller does not have."""
        fresh = []
        for event in events:
            if self._is_old(event):
                continue
            if event.id is not None:
                self._chain.last_event = event.id
            fresh.append(event.content)
        if fresh:
            self._note_gap()
            await write(self._exchange, b"".join(fresh))

    def _note_gap(self) -> None:
        """Keep the pauses that the caller sees, for the log line of the end."""
        exchange, now = self._exchange, self._clock.monotonic()
        if self.last_sent is None:
            exchange.first_event = now - exchange.arrived
        else:
            gap = now - self.last_sent
            exchange.longest_gap = max(exchange.longest_gap, gap)
        self.last_sent = now

    def _is_old(self, event: Event) -> bool:
        """Tell whether the caller has an event already."""
        last = self._chain.last_event
        if event.id is None or last is None:
            return False
        if event.id.isdigit() and last.isdigit():
            return int(event.id) <= int(last)
        return event.id == last
