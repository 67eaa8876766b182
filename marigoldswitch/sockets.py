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


class SupportsOptions(Protocol):
    """A socket, or the view of one that ``asyncio`` transports provide."""

    def setsockopt(self, level: int, option: int, value: int, /) -> None:
        """Set an option."""
        ...


def set_silence_timeouts(connection: SupportsOptions) -> None:
    """Let the kernel close a TCP connection within a few seconds of silence.

    It sees only whether the other end's kernel acknowledges, not whether a process
    reads.
    """
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, KEEP_ALIVE_IDLE_SECONDS),
        (socket.TCP_KEEPINTVL, KEEP_ALIVE_INTERVAL_SECONDS),
        (socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES),
        (socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS),
    ):
        connection.setsockopt(socket.IPPROTO_TCP, option, value)
