"""Socket options that show a peer that is gone, and none that is only silent."""

import socket

from marigoldswitch.gateway.connections import create_socket
from marigoldswitch.sockets import (
    KEEP_ALIVE_IDLE_SECONDS,
    KEEP_ALIVE_INTERVAL_SECONDS,
)

ADDRESS_INFO = (socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP)
SILENT_SECONDS = 1.5
"""Time for which a sound target may be silent, with some margin."""


def test_peer_that_is_silent_for_a_second_keeps_its_idle_connection():
    """The user timeout also ends keep-alive probing, whatever their number."""
    with create_socket(ADDRESS_INFO) as connection:
        user_timeout_ms = connection.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT
        )
    first_lost_probe = KEEP_ALIVE_IDLE_SECONDS
    next_probe = first_lost_probe + KEEP_ALIVE_INTERVAL_SECONDS
    assert next_probe < user_timeout_ms / 1000
    assert user_timeout_ms / 1000 >= first_lost_probe + SILENT_SECONDS


def test_peer_that_is_gone_is_noticed_within_a_few_seconds():
    with create_socket(ADDRESS_INFO) as connection:
        options = (socket.TCP_KEEPIDLE, socket.TCP_KEEPINTVL, socket.TCP_KEEPCNT)
        idle, interval, probes = (
            connection.getsockopt(socket.IPPROTO_TCP, item) for item in options
        )
        user_timeout_ms = connection.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT
        )
    assert idle + interval * probes <= 5
    assert user_timeout_ms <= 5_000
