"""Takes clients' connections as there is room, or closes them unread in an overload.

A connection that may hold any part of a request is never closed as idle.
"""

import asyncio
import select
from collections.abc import Iterable
from typing import Any

import structlog
from aiohttp import StreamReader, web
from aiohttp.abc import AbstractStreamWriter
from aiohttp.http import RawRequestMessage

from marigoldswitch.acceptors import AcceptDecision, Acceptor
from marigoldswitch.core.client_limits import Listener
from marigoldswitch.core.overload import OverloadGuard
from marigoldswitch.core.ports import Clock
from marigoldswitch.gateway.caller_connections import CallerConnection, Claim
from marigoldswitch.gateway.caller_writes import HeadWriter
from marigoldswitch.gateway.intake import Intake

logger = structlog.get_logger(__name__)

SAMPLE_SECONDS = 0.1
"""Interval at which the lag of the event loop is measured."""
LOG_SECONDS = 1.0
"""Least time between two log lines on connections turned away."""
LEAVING_SECONDS = 0.1
"""Time that a connection has for its last answer when it makes room for another one."""
UNREAD_RETRY_SECONDS = 0.1
"""Time after which a connection whose idle time has ended is looked at again, if bytes
had arrived in it that the event loop had not read yet."""


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


class IdleClosingConnection(CallerConnection):
    """A connection that is closed once it has been idle for the whole idle time."""

    def _process_keepalive(self) -> None:
        if self.is_idle() and find_unread([self]):
            loop = asyncio.get_running_loop()
            self._keepalive_handle = loop.call_later(
                UNREAD_RETRY_SECONDS, self._process_keepalive
            )
            return
        super()._process_keepalive()


class RequestServer(web.Server):
    """HTTP server whose number of connections is bounded.

    It can close its connections without losing a request.

    :param listener: whose share of the sockets its connections may take.
    :param guard: may turn new connections away, if given.
    """

    def __init__(
        self,
        handler: Any,
        intake: Intake,
        listener: Listener,
        guard: OverloadGuard | None = None,
        **options: Any,
    ) -> None:
        super().__init__(handler, request_factory=self._create_request, **options)
        self._intake = intake
        self._listener = listener
        self._guard = guard
        self._open = 0
        """Connections that have been accepted and not closed."""
        self._leaving: CallerConnection | None = None
        """The connection that is being closed to make room for another one."""
        self._leaving_since = 0.0
        self._turned_away = 0
        self._last_idle: set[CallerConnection] = set()
        """Connections that were idle at the last call of :meth:`close_idle`."""

    def __call__(self) -> Any:
        """Return the protocol of a connection that was admitted."""
        return IdleClosingConnection(
            self, self._intake, loop=self._loop, **self._kwargs
        )

    def _create_request(
        self,
        message: RawRequestMessage,
        payload: StreamReader,
        protocol: web.RequestHandler,
        _: AbstractStreamWriter,
        task: asyncio.Task[None],
    ) -> web.BaseRequest:
        writer = HeadWriter(protocol, self._loop)
        return web.BaseRequest(message, payload, protocol, writer, task, self._loop)

    def admit(self) -> AcceptDecision:
        """Decide on a connection that waits to be accepted; count one that is taken."""
        now = self._intake.clock.monotonic()
        if self._guard is not None and self._guard.must_turn_away(now):
            return AcceptDecision.TURN_AWAY
        if self.is_full:
            return self._make_room(now)
        self._open += 1
        return AcceptDecision.TAKE

    def _make_room(self, now: float) -> AcceptDecision:
        """Have a connection leave, if one can, and let the new one wait for that."""
        if self._leaving is None:
            self._leaving, self._leaving_since = self._choose_leaving(now), now
            if self._leaving is None:
                self._turned_away += 1
                return AcceptDecision.TURN_AWAY
            self._leaving.make_room()
        elif now - self._leaving_since >= LEAVING_SECONDS:
            transport = self._leaving.transport
            if transport is not None:
                transport.abort()
        return AcceptDecision.WAIT

    @property
    def is_full(self) -> bool:
        """Return whether a further connection has room only if another one leaves."""
        limit = self._intake.limits.count_connections(self._listener)
        return self._open >= limit

    def connection_lost(
        self, handler: web.RequestHandler, exc: BaseException | None = None
    ) -> None:
        """Make its room free."""
        super().connection_lost(handler, exc)
        self._open -= 1
        if handler is self._leaving:
            self._leaving = None

    def check_connections(self, now: float) -> None:
        """Close the connections that take too long; to be called every second or so."""
        for connection in self.connections:
            if isinstance(connection, CallerConnection):
                connection.check(now)
        if self._turned_away:
            logger.warning(
                "listener_full",
                listener=self._listener.value,
                open=self._open,
                turned_away=self._turned_away,
            )
            self._turned_away = 0

    def _choose_leaving(self, now: float) -> CallerConnection | None:
        """Return the connection with the least claim to stay, if any can be closed."""
        connections = [
            item
            for item in self.connections
            if isinstance(item, CallerConnection) and item.transport is not None
        ]
        chosen = min(connections, key=lambda item: item.rate_claim(now), default=None)
        if chosen is None or chosen.rate_claim(now)[0] is Claim.RUNNING:
            return None
        return chosen

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


class BoundedSite(web.BaseSite):
    """Listens for the connections of a server that admits them one by one."""

    def __init__(self, runner: web.ServerRunner, address: str, port: int) -> None:
        super().__init__(runner)
        self._address = address
        self._port = port

    @property
    def name(self) -> str:
        """Return the address for logs."""
        return f"http://{self._address}:{self._port}"

    async def start(self) -> None:
        """Start listening."""
        await super().start()
        server = self._runner.server
        assert isinstance(server, RequestServer)
        acceptor = Acceptor(self._address, self._port, server.admit, server)
        self._server = acceptor  # type: ignore[assignment]


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
