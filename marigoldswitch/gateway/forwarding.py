"""Forwards the events of an answer to the caller, without those it already has."""

from collections.abc import Awaitable, Callable
from contextlib import AbstractAsyncContextManager
from typing import Protocol

import aiohttp
from aiohttp import web

from marigoldswitch.core.event_stream import Event, EventSplitter, EventTooLong
from marigoldswitch.core.ports import Clock
from marigoldswitch.core.read_bounds import EventProgress, Excess, ReadBounds
from marigoldswitch.gateway.attempts import Claimant
from marigoldswitch.gateway.bounded_reads import AnswerUnbounded
from marigoldswitch.gateway.broken_chains import ChainBroken
from marigoldswitch.gateway.caller_writes import begin, write
from marigoldswitch.gateway.exchanges import AbortReason, AnswerAborted, Exchange
from marigoldswitch.gateway.forecast_checks import ForecastCheck
from marigoldswitch.gateway.upstream import LongBody


class AnswerCut(ChainBroken):
    """The answer ended before it was complete."""


class StreamMonitor(Protocol):
    """Follows the progress of a stream."""

    def note_event(self) -> None:
        """Record that events which bring the stream forward have arrived."""
        ...

    def monitor(
        self, response: aiohttp.ClientResponse
    ) -> AbstractAsyncContextManager[None]:
        """Watch over an answer while it is read."""
        ...


class EventForwarder:
    """Forwards the events of one request over its successive answers.

    :param bounds: returns the bounds in force.
    :param claimant: the attempt that this answer belongs to.
    :param begin: sends the head of the answer, unless an earlier answer's was sent.
    :ivar check: of the current chain's forecast.
    """

    def __init__(
        self,
        clock: Clock,
        exchange: Exchange,
        monitor: StreamMonitor,
        bounds: Callable[[], ReadBounds],
        claimant: Claimant,
        begin: Callable[[], Awaitable[None]],
    ) -> None:
        self.check: ForecastCheck | None = None
        self._clock = clock
        self._exchange = exchange
        self._monitor = monitor
        self._get_bounds = bounds
        self._claimant = claimant
        self._begin = begin

    async def forward(self, response: aiohttp.ClientResponse) -> None:
        """Forward events until the answer is complete.

        :raises AnswerCut: if the answer ends early.
        :raises ChainBroken: if the chain breaks.
        :raises AnswerUnbounded: if the answer exceeds a bound.
        """
        bounds, clock = self._get_bounds(), self._clock
        splitter = EventSplitter(bounds.event_bytes)
        progress = EventProgress(bounds, self._exchange.route.is_resumable)
        began = clock.monotonic()
        async with self._monitor.monitor(response):
            while content := await response.content.readany():
                try:
                    events = splitter.feed(content)
                except EventTooLong:
                    response.close()
                    seconds = clock.monotonic() - began
                    size = bounds.event_bytes + 1
                    excess = Excess("event_bytes", size, seconds)
                    raise AnswerUnbounded(excess) from None
                now = clock.monotonic()
                is_progress = progress.count(len(content), events, now)
                # Before the write, which waits for slow callers.
                found = progress.find_excess(now)
                if found is not None:
                    response.close()
                    raise AnswerUnbounded(found)
                if is_progress:
                    self._monitor.note_event()
                if events:
                    await self._write_unseen(events, is_progress)
        if splitter.has_remainder:
            raise AnswerCut("the answer ended within an event")
        self._claimant.claim()
        await self._begin()

    async def _write_unseen(self, events: list[Event], is_progress: bool) -> None:
        """Write the events that the caller has not received yet.

        :param is_progress: whether they bring the stream forward, unlike comments.
        """
        unseen, last = [], self._exchange.last_event
        for event in events:
            if _is_duplicate(event, last):
                continue
            last = last if event.id is None else event.id
            unseen.append(event.content)
        if not unseen:
            return
        if not is_progress and self._claimant.has_rival():
            # A comment doesn't show which of the attempts will deliver.
            return
        # Refused to an attempt that was replaced: its events are not the caller's.
        self._claimant.claim()
        await self._begin()
        self._exchange.last_event = last
        if is_progress:
            self._record_gap()
        await write(self._exchange, b"".join(unseen))

    def _record_gap(self) -> None:
        """Update the first-event time and longest gap of ``request_ended``."""
        exchange, now = self._exchange, self._clock.monotonic()
        if exchange.last_event_at is None:
            exchange.first_event = now - exchange.arrived
        else:
            gap = now - exchange.last_event_at
            exchange.longest_gap = max(exchange.longest_gap, gap)
        exchange.last_event_at = now
        if self.check is not None:
            self.check.note_read(now)


def _is_duplicate(event: Event, last: str | None) -> bool:
    """Return whether the caller has received an event before.

    Numeric ids are taken to be in ascending order; an event without an id is new.

    :param last: id of the last event that the caller has received, if any.
    """
    if event.id is None or last is None:
        return False
    if event.id.isdigit() and last.isdigit():
        return int(event.id) <= int(last)
    return event.id == last


async def pass_long_body(
    exchange: Exchange, response: web.StreamResponse, body: LongBody
) -> None:
    """Pass a body on to the caller as it arrives.

    :param response: its head, which has not been sent.
    :raises AnswerAborted: if the body ends early.
    """
    response.content_length = body.length
    await begin(exchange, response)
    try:
        while content := await body.read():
            await write(exchange, content)
    except (aiohttp.ClientError, OSError) as error:
        detail = f"{type(error).__name__}: {error}"
        raise AnswerAborted(AbortReason.BODY_CUT, detail) from error
    await response.write_eof()
