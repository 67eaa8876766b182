"""Connection pools to targets, with the idle time that each target announces.

With many hosts and few requests each, a host uses the same target only every few
seconds. Connections that are closed sooner are never reused, and each new one costs the
target time.
"""

import re
import socket
from collections.abc import Callable
from types import SimpleNamespace

import aiohttp
from msgspec import Struct
from multidict import CIMultiDictProxy

from marigoldswitch.gateway.bounded_connections import BoundedConnector
from marigoldswitch.gateway.bounded_reads import ReadGuard
from marigoldswitch.sockets import PROBED_USER_TIMEOUT_MS, set_silence_timeouts

CONNECT_TIMEOUT = 0.25
"""Longest time to connect: a working link takes milliseconds, and a target that is cut
off or without power never answers."""
LONG_IDLE_SECONDS = 8.0
"""Time that connections are kept idle to targets that keep theirs for longer."""
SHORT_IDLE_SECONDS = 3.0
"""The same for targets that keep theirs for less or announce no time. Few requests then
hit a connection that is just being closed."""
IDLE_SLACK_SECONDS = 1.0
"""Safety margin below the announced time, which is given in whole seconds."""
MIN_CONNECTIONS_PER_HOST = 4
"""Connections that a target must accept per host for idle ones to be kept: about two in
use at a time and two idle. Otherwise many hosts would fill a small target, which resets
the connections beyond its limit together with the requests on them."""
SKIPPED_HEADERS = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")
"""Headers that aiohttp would add although the caller has not sent them."""
KEEP_ALIVE_TIMEOUT = re.compile(r"timeout=(\d+)")


def create_socket(info: tuple[object, ...]) -> socket.socket:
    """Return a non-blocking socket that detects a silent peer within a few seconds.

    A target that is silent for a second is not gone: a request may wait for its answer
    on an idle connection meanwhile.

    :param info: address info as :func:`socket.getaddrinfo` returns it.
    """
    family, kind, protocol = info[0], info[1], info[2]
    created = socket.socket(family, kind, protocol)  # type: ignore[arg-type]
    created.setblocking(False)
    created.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    set_silence_timeouts(created, PROBED_USER_TIMEOUT_MS)
    return created


MAX_HEADER_LINES = 2**15
"""Lines of one head that the HTTP client accepts; the bound on the bytes of heads is
reached first."""


def open_session(
    idle_seconds: float,
    guard: ReadGuard | None = None,
    note_bytes: Callable[[], None] = lambda: None,
) -> aiohttp.ClientSession:
    """Return a client session that forwards bodies and headers unchanged.

    :param idle_seconds: how long connections are kept idle; 0 to use each only once.
    :param guard: holds the bounds on what is read.
    :param note_bytes: called whenever bytes arrive.
    """
    connector = BoundedConnector(
        guard or ReadGuard(),
        note_bytes,
        limit=0,
        force_close=not idle_seconds,
        keepalive_timeout=idle_seconds or None,
        use_dns_cache=False,
        socket_factory=create_socket,
    )
    return aiohttp.ClientSession(
        connector=connector,
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        skip_auto_headers=SKIPPED_HEADERS,
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT),
        read_bufsize=2**16,
        max_line_size=2**16,
        max_field_size=2**16,
        max_headers=MAX_HEADER_LINES,
        trace_configs=[_trace_use()],
    )


class Connections:
    """The connections of one host to all targets, pooled by their idle time.

    :param note_bytes: called whenever bytes arrive on one of them.
    :ivar guard: holds the bounds on what is read from them.
    """

    def __init__(
        self,
        guard: ReadGuard | None = None,
        note_bytes: Callable[[], None] = lambda: None,
    ) -> None:
        self.guard = guard or ReadGuard()
        self.single_use = open_session(0.0, self.guard, note_bytes)
        """For requests that must not be sent on a reused connection."""
        self._short = open_session(SHORT_IDLE_SECONDS, self.guard, note_bytes)
        self._long = open_session(LONG_IDLE_SECONDS, self.guard, note_bytes)
        self._short_idle_targets: set[str] = set()
        """Addresses of targets that keep idle connections only for a short time."""

    def choose_session(self, address: str) -> aiohttp.ClientSession:
        """Return the session that pools connections to a target."""
        return self._short if address in self._short_idle_targets else self._long

    def note_keep_alive(self, address: str, headers: CIMultiDictProxy[str]) -> None:
        """Read from a target's response headers how long it keeps idle connections."""
        stated = KEEP_ALIVE_TIMEOUT.search(headers.get("Keep-Alive", ""))
        seconds = float(stated[1]) if stated else 0.0
        if seconds >= LONG_IDLE_SECONDS + IDLE_SLACK_SECONDS:
            self._short_idle_targets.discard(address)
        elif headers.get("Connection", "").lower() != "close":
            self._short_idle_targets.add(address)

    async def close(self) -> None:
        """Close all connections."""
        for session in (self.single_use, self._short, self._long):
            await session.close()


def may_keep_connections(max_connections: int, host_count: int) -> bool:
    """Return whether the hosts may keep idle connections to a target.

    :param max_connections: connections that the target accepts from all hosts; 0 where
        unknown.
    """
    return (
        max_connections == 0 or max_connections >= MIN_CONNECTIONS_PER_HOST * host_count
    )


class ConnectionUse(Struct):
    """Records how the HTTP client sent a request.

    :param reconnects: the client may open another connection after a loss, which shows
        whether the port is closed; the request is not sent on it.
    :ivar is_reused: the connection had been used before.
    :ivar is_sent: the request has been sent once.
    """

    reconnects: bool = False
    is_reused: bool = False
    is_sent: bool = False


class ResendRefused(aiohttp.ClientError):
    """The HTTP client was about to send a request once more by itself."""


def _trace_use() -> aiohttp.TraceConfig:
    """Return a trace that keeps the :class:`ConnectionUse` of a request.

    It ends requests that the client would send again: these may run only once, and are
    retries that no budget counts. They are ended before another connection is opened,
    or at their heads if one was kept or is opened for the sake of its result. The
    client's own setting is private and would also hold for reads of engines' reports.
    """

    async def refuse_connection(
        _: aiohttp.ClientSession,
        context: SimpleNamespace,
        __: aiohttp.TraceConnectionCreateStartParams,
    ) -> None:
        use = context.trace_request_ctx
        if isinstance(use, ConnectionUse) and use.is_sent and not use.reconnects:
            raise ResendRefused("no answer, and not sent again")

    async def record_reuse(
        _: aiohttp.ClientSession,
        context: SimpleNamespace,
        __: aiohttp.TraceConnectionReuseconnParams,
    ) -> None:
        use = context.trace_request_ctx
        if isinstance(use, ConnectionUse):
            use.is_reused = True

    async def refuse_resend(
        _: aiohttp.ClientSession,
        context: SimpleNamespace,
        __: aiohttp.TraceRequestHeadersSentParams,
    ) -> None:
        use = context.trace_request_ctx
        if isinstance(use, ConnectionUse):
            if use.is_sent:
                raise ResendRefused("no answer, and not sent again")
            use.is_sent = True

    trace = aiohttp.TraceConfig()
    trace.on_connection_create_start.append(refuse_connection)
    trace.on_connection_reuseconn.append(record_reuse)
    trace.on_request_headers_sent.append(refuse_resend)
    return trace
