"""Socket options by which the kernel notices a peer that is gone."""

import socket
from typing import Protocol

TCP_USER_TIMEOUT_MS = 2_000
"""Time after which a connection with unacknowledged data is closed: a peer behind a
network partition sends no reset."""
KEEP_ALIVE_IDLE_SECONDS = 2
"""Idle time after which the kernel probes a connection."""
KEEP_ALIVE_INTERVAL_SECONDS = 1
KEEP_ALIVE_PROBES = 2
PROBED_USER_TIMEOUT_MS = 1_000 * (
    KEEP_ALIVE_IDLE_SECONDS + KEEP_ALIVE_INTERVAL_SECONDS * KEEP_ALIVE_PROBES
)
"""User timeout that leaves time for all probes. It ends an idle connection, too, and a
shorter one does so after the first probe that is lost."""


class SupportsOptions(Protocol):
    """A socket, or the view of one that ``asyncio`` transports provide."""

    def setsockopt(self, level: int, option: int, value: int, /) -> None:
        """Set an option."""
        ...


def set_silence_timeouts(
    connection: SupportsOptions, user_timeout_ms: int = TCP_USER_TIMEOUT_MS
) -> None:
    """Let the kernel close a TCP connection within a few seconds of silence.

    It sees only whether the other end's kernel acknowledges, not whether a process
    reads.

    :param user_timeout_ms: time after which one with unacknowledged data is closed.
    """
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, KEEP_ALIVE_IDLE_SECONDS),
        (socket.TCP_KEEPINTVL, KEEP_ALIVE_INTERVAL_SECONDS),
        (socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES),
        (socket.TCP_USER_TIMEOUT, user_timeout_ms),
    ):
        connection.setsockopt(socket.IPPROTO_TCP, option, value)
