"""Cuts the path from one gateway host to targets, in tests.

Callers, the store and the other hosts still reach the host.
"""

import asyncio
from collections.abc import Collection
from enum import Enum

import aiohttp
from aiohttp.client_reqrep import ConnectionKey

from marigoldswitch.gateway.connections import CONNECT_TIMEOUT
from marigoldswitch.gateway.hosts import GatewayHost


class CutMode(Enum):
    """What happens to the connections of a host that is cut off from all targets."""

    HANG = "hang"
    """Nothing that is sent arrives, and there is no error."""
    RESET = "reset"
    """Open connections are reset, and new ones are refused."""
    LIVE_ON = "live on"
    """Open connections live on, and new ones are refused."""


class PathCut:
    """Cuts a host off from targets, and connects it again.

    :param addresses: of these targets; ``None`` for all.
    """

    def __init__(
        self, host: GatewayHost, addresses: Collection[str] | None = None
    ) -> None:
        self._addresses = addresses
        self.mode: CutMode | None = None
        """How it is cut off now, if it is."""
        connections = host.parts.runs.upstream._connections
        sessions = (connections.single_use, connections._short, connections._long)
        self._connectors = [item.connector for item in sessions]
        for connector in self._connectors:
            self._wrap_connect(connector)

    def begin(self, mode: CutMode) -> None:
        self.mode = mode
        for transport in self._list_transports():
            if mode is CutMode.RESET:
                transport.abort()
            elif mode is CutMode.HANG:
                transport.pause_reading()
                transport.write = lambda _: None

    def end(self) -> None:
        """Connect the host again; connections that hung are reset."""
        if self.mode is CutMode.HANG:
            for transport in self._list_transports():
                transport.abort()
        self.mode = None

    def _list_transports(self):
        protocols = []
        for connector in self._connectors:
            protocols += connector._acquired
            for kept in connector._conns.values():
                protocols += [item[0] for item in kept]
        return [
            item.transport
            for item in protocols
            if item.transport is not None
            and self._is_cut(*item.transport.get_extra_info("peername"))
        ]

    def _is_cut(self, host: str, port: int) -> bool:
        return self._addresses is None or f"{host}:{port}" in self._addresses

    def _wrap_connect(self, connector) -> None:
        create = connector._create_connection

        async def create_unless_cut(request, *args, **fields):
            key: ConnectionKey = request.connection_key
            if self.mode is None or not self._is_cut(key.host, key.port):
                return await create(request, *args, **fields)
            if self.mode is CutMode.HANG:
                await asyncio.sleep(CONNECT_TIMEOUT)
                raise TimeoutError
            raise aiohttp.ClientConnectorError(key, ConnectionRefusedError())

        connector._create_connection = create_unless_cut
