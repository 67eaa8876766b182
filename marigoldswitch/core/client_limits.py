"""How much of a process's memory and descriptors its clients may make it hold."""

from enum import Enum

from msgspec import Struct

MEMORY_SHARE = 0.25
"""Part of the memory for what clients send and leave unread. The process itself, the
objects of connections and the allocator's losses need the rest."""
FILE_DESCRIPTORS = 200
"""Descriptors that are kept for files; sockets share the others."""
MIN_SOCKETS = 64
MIN_CONNECTIONS = 4
"""Least number of connections of a listener."""


class Listener(Enum):
    """The listeners of a host."""

    CALLERS = "callers"
    PROXIED = "proxied"
    PEERS = "peers"
    READINESS = "readiness"
    METRICS = "metrics"


SOCKET_SHARES = {
    Listener.CALLERS: 0.28,
    Listener.PROXIED: 0.08,
    Listener.PEERS: 0.12,
    Listener.READINESS: 0.03,
    Listener.METRICS: 0.03,
}
"""Parts of the sockets that the connections of each listener may take."""
OUTGOING_SHARE = 0.30
"""The same for connections to targets and, with their requests, to other hosts."""


class ProcessLimits(Struct, frozen=True):
    """What the clients of one process may make it hold.

    :param memory_bytes: bytes of requests and answers, over all listeners.
    :param sockets: sockets of the process.
    """

    memory_bytes: int
    sockets: int

    def count_connections(self, listener: Listener) -> int:
        """Return the number of connections that a listener may have."""
        return max(MIN_CONNECTIONS, int(SOCKET_SHARES[listener] * self.sockets))

    def count_outgoing(self) -> int:
        """Return the number of connections for requests that are sent on."""
        return int(OUTGOING_SHARE * self.sockets)


def derive_limits(memory_bytes: float, descriptors: int) -> ProcessLimits:
    """Return the limits of a process.

    :param memory_bytes: memory that the process may use.
    :param descriptors: descriptors that it may open.
    """
    return ProcessLimits(
        int(MEMORY_SHARE * memory_bytes),
        max(MIN_SOCKETS, descriptors - FILE_DESCRIPTORS),
    )
