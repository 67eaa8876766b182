"""Takes callers' connections, or closes them unread in an overload.

A connection that may hold any part of a request is never closed as idle.
"""

import asyncio
import select
from collections.abc import Iterable
from typing import Any

import structlog
from aiohttp import web

from marigoldswitch.core.overload import OverloadGuard
from marigoldswitch.core.ports import Clock

logger = structlog.get_logger(__name__)

SAMPLE_SECONDS = 0.1
"""Interval at which the lag of the event loop is measured."""
LOG_SECONDS = 1.0
"""Least time between two log lines on connections turned away."""
UNREAD_RETRY_SECONDS = 0.1
"""Time after which a connection whose idle time has ended is looked at again, if bytes
had arrived in it that the event loop had not read yet."""


class _TurnedAwayConnection(asyncio.Protocol):
    """A connection that is closed without reading from it."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        transport.abort()


class CallerConnection(web.RequestHandler):
    """A connection that can tell whether any part of a request stands in it."""

    __slots__ = ("_has_partial_head",)

    def __init__(self, server: web.Server, **options: Any) -> None:
        super().__init__(server, **options)
        self._has_partial_head = False

    def data_received(self, data: bytes) -> None:
        """Take bytes that have arrived."""
        super().data_received(data)
        if not self._awaits_request():
            self._has_partial_head = False
        elif data.strip(b"\r\n"):
            # Some clients send an empty line after a body.
            self._has_partial_head = True

    def is_idle(self) -> bool:
        """Return whether the event loop has read no part of an unanswered request."""
        return self._awaits_request() and not self._has_partial_head

    def _awaits_request(self) -> bool:
        waiter = self._waiter
        return waiter is not None and not waiter.done()

    def _process_keepalive(self) -> None:
        """Close the connection if it has been idle for the whole idle time."""
        if self.is_idle() and find_unread([self]):
            loop = asyncio.get_running_loop()
            self._keepalive_handle = loop.call_later(
                UNREAD_RETRY_SECONDS, self._process_keepalive
            )
            return
        super()._process_keepalive()


def find_unread(connections: Iterable[CallerConnection]) -> set[CallerConnection]:
    """Return the connections whose socket holds bytes, or an end, not yet read."""
    poll, by_number = select.poll(), {}
    for connection in connections:
        transport = connection.transport
        number = transport.get_extra_info("socket").fileno() if transport else -1
        if number >= 0:
            by_number[number] = connection
            poll.register(number, select.POLLIN)
    return {by_number[number] for number, _ in poll.poll(0)}


class RequestServer(web.Server):
    """HTTP server that can close its connections without losing a request."""

    def __init__(self, handler: Any, **options: Any) -> None:
        super().__init__(handler, **options)
        self._last_idle: set[CallerConnection] = set()
        """Connections that were idle at the last call of :meth:`close_idle`."""

    def __call__(self) -> Any:
        """Return the protocol of a new connection."""
        return CallerConnection(self, loop=self._loop, **self._kwargs)

    def close_idle(self) -> int:
        """Close the connections that are idle for the second time in a row.

        A new connection has its first request on the way, and so has one whose last
        answer has just ended.

        :return: number of connections that may hold a part of a request.
        """
        connections = self.connections
        idle = {
            item
            for item in connections
            if isinstance(item, CallerConnection) and item.is_idle()
        }
        idle -= find_unread(idle)
        for connection in idle & self._last_idle:
            # close() would leave an idle connection open and unread.
            connection.force_close()
        self._last_idle = idle
        return len(connections) - len(idle)


class GuardedServer(RequestServer):
    """HTTP server that turns new connections away when its guard says so."""

    def __init__(
        self, handler: Any, guard: OverloadGuard, clock: Clock, **options: Any
    ) -> None:
        super().__init__(handler, **options)
        self._guard = guard
        self._clock = clock

    def __call__(self) -> Any:
        """Return the protocol of a new connection."""
        if self._guard.must_turn_away(self._clock.monotonic()):
            return _TurnedAwayConnection()
        return super().__call__()


class LagMonitor:
    """Measures the lag of the event loop for a guard, and logs what that turns away."""

    def __init__(self, guard: OverloadGuard, clock: Clock) -> None:
        self._guard = guard
        self._clock = clock
        self._logged_at = float("-inf")
        self._logged_count = 0

    async def run(self) -> None:
        """Measure the lag until cancelled."""
        while True:
            due = self._clock.monotonic() + SAMPLE_SECONDS
            await asyncio.sleep(SAMPLE_SECONDS)
            now = self._clock.monotonic()
            self._guard.note_lag(now - due, now)
            self._log(now - due, now)

    def _log(self, lag: float, now: float) -> None:
        count = self._guard.turned_away - self._logged_count
        if not count or now - self._logged_at < LOG_SECONDS:
            return
        self._logged_at, self._logged_count = now, self._guard.turned_away
        limit = self._guard.limit
        logger.warning(
            "connections_turned_away",
            count=count,
            lag=round(lag, 3),
            limit=None if limit is None else round(limit),
        )
