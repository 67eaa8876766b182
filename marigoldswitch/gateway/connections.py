"""Connections to targets: kept idle for as long as each target says that it keeps them.

Load it answers: many hosts with few requests each. A host meets the same target every
few seconds only, so that connections which are closed sooner are never used again, and
each new one costs the target time.
"""

import re
import socket
from dataclasses import dataclass
from types import SimpleNamespace

import aiohttp
from multidict import CIMultiDictProxy

CONNECT_SECONDS = 0.25
"""Longest time to connect: a link takes milliseconds, a host that is cut off or has no
power never answers."""
LONG_IDLE_SECONDS = 8.0
"""Time that a connection is kept idle to targets that keep theirs for longer."""
IDLE_SECONDS = 3.0
"""The same to targets that keep theirs for less, or don't say: few requests then meet a
connection that is just being closed."""
IDLE_SLACK_SECONDS = 1.0
"""Part of the time stated that is left: it is given in whole seconds."""
CONNECTIONS_A_HOST = 4
"""Connections to a target for each host below which idle ones are not kept: some two
under way at a time, as many idle. Small targets that many hosts keep connections to
reset those beyond their bound, with requests on them."""
UNACKNOWLEDGED_MS = 2_000
"""Time after which data that is not acknowledged breaks a connection: a target behind a
cut sends no reset."""
SKIPPED_HEADERS = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")
"""Headers that the client library would add and that the caller has not sent."""
STATED_TIMEOUT = re.compile(r"timeout=(\d+)")


def make_socket(info: tuple[object, ...]) -> socket.socket:
    """Return a socket that notices a peer that has gone silent."""
    family, kind, protocol = info[0], info[1], info[2]
    made = socket.socket(family, kind, protocol)  # type: ignore[arg-type]
    made.setblocking(False)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    made.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 2)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS)
    return made


def open_session(idle_seconds: float) -> aiohttp.ClientSession:
    """Return a client session that passes bytes on as they are.

    :param idle_seconds: that connections are kept idle; 0 to use each of them once.
    """
    connector = aiohttp.TCPConnector(
        limit=0,
        force_close=not idle_seconds,
        keepalive_timeout=idle_seconds or None,
        use_dns_cache=False,
        socket_factory=make_socket,
    )
    return aiohttp.ClientSession(
        connector=connector,
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        skip_auto_headers=SKIPPED_HEADERS,
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_SECONDS),
        read_bufsize=2**16,
        max_line_size=2**16,
        max_field_size=2**16,
        trace_configs=[_watch_reuse()],
    )


class Connections:
    """The connections of one host to all targets, by how long they may rest."""

    def __init__(self) -> None:
        self.once = open_session(0.0)
        """For requests that may not meet the end of a kept connection."""
        self._short = open_session(IDLE_SECONDS)
        self._long = open_session(LONG_IDLE_SECONDS)
        self._hasty: set[str] = set()
        """Addresses of targets that keep connections for a short time only."""

    def choose(self, address: str) -> aiohttp.ClientSession:
        """Return the session whose connections to a target are kept."""
        return self._short if address in self._hasty else self._long

    def note_answer(self, address: str, headers: CIMultiDictProxy[str]) -> None:
        """Learn how long a target keeps connections, from an answer of its own."""
        stated = STATED_TIMEOUT.search(headers.get("Keep-Alive", ""))
        seconds = float(stated[1]) if stated else 0.0
        if seconds >= LONG_IDLE_SECONDS + IDLE_SLACK_SECONDS:
            self._hasty.discard(address)
        elif headers.get("Connection", "").lower() != "close":
            self._hasty.add(address)

    async def close(self) -> None:
        """Close all connections."""
        for session in (self.once, self._short, self._long):
            await session.close()


def may_keep_connections(most: int, hosts: int) -> bool:
    """Tell whether the hosts may keep idle connections to a target.

    :param most: connections that the target takes from all hosts; 0 where unknown.
    """
    return most == 0 or most >= CONNECTIONS_A_HOST * hosts


@dataclass(slots=True)
class ConnectionUse:
    """What is noted of the connection of one request.

    :ivar is_kept: it had been used before.
    """

    is_kept: bool = False


def _watch_reuse() -> aiohttp.TraceConfig:
    async def note(
        _: aiohttp.ClientSession,
        context: SimpleNamespace,
        __: aiohttp.TraceConnectionReuseconnParams,
    ) -> None:
        use = context.trace_request_ctx
        if isinstance(use, ConnectionUse):
            use.is_kept = True

    trace = aiohttp.TraceConfig()
    trace.on_connection_reuseconn.append(note)
    return trace
