"""Connections that show whether the process of a target ends with a request.

A process that ends takes all of its connections with it, also if it is back at once;
one that resets a request keeps the others. A second connection, to another target,
tells this from a cut, which takes both.
"""

import asyncio
import contextlib
from functools import partial
from typing import cast

from marigoldswitch.core.catalogue import Target
from marigoldswitch.gateway.bounded_reads import ReadGuard

OPEN_SECONDS = 0.1
"""Longest time to open guard connections; a request waits for them."""
SAME_MOMENT_SECONDS = 0.03
"""Time within which connections that a process takes with it are lost."""


class _Guard(asyncio.Protocol):
    """One idle connection. It is given up if anything arrives on it.

    :param bounds: counts the open connections.
    :ivar lost_at: when the target ended it, in the loop's time.
    """

    def __init__(self, bounds: ReadGuard) -> None:
        self._bounds = bounds
        self.lost_at: float | None = None
        self.is_lost = asyncio.Event()
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self._bounds.open_connections += 1

    def data_received(self, _: bytes) -> None:
        self.close()

    def connection_lost(self, _: Exception | None) -> None:
        self._bounds.open_connections -= 1
        if self._transport is not None:
            self.lost_at = asyncio.get_running_loop().time()
            self.is_lost.set()

    def close(self) -> None:
        """Close the connection; it then doesn't count as lost."""
        transport, self._transport = self._transport, None
        if transport is not None:
            transport.abort()


class GuardConnections:
    """Idle connections to the target of a request and to another one, if there is any.

    To be opened before the request is sent.
    """

    def __init__(self, own: _Guard, other: _Guard | None) -> None:
        self._own = own
        self._other = other

    async def has_target_ended(self, is_refused: bool) -> bool:
        """Return whether the target has just ended all connections, and it alone.

        :param is_refused: the target refuses connections by now. Unless another one
            goes on, that may be a cut.
        """
        if is_refused and self._other is None:
            return False
        if not self._own.is_lost.is_set():
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(SAME_MOMENT_SECONDS):
                    await self._own.is_lost.wait()
        lost_at = self._own.lost_at
        is_other_lost = self._other is not None and self._other.is_lost.is_set()
        now = asyncio.get_running_loop().time()
        return (
            lost_at is not None
            and now - lost_at < 2.0 * SAME_MOMENT_SECONDS
            and not is_other_lost
        )

    def close(self) -> None:
        """Close the connections."""
        self._own.close()
        if self._other is not None:
            self._other.close()


async def open_guards(
    target: Target, other: Target | None, bounds: ReadGuard
) -> GuardConnections | None:
    """Open guard connections, or return ``None`` if the target takes none.

    :param bounds: counts the open connections.
    """
    targets = [target] if other is None else [target, other]
    own, *others = await asyncio.gather(
        *(_open(item.address, bounds) for item in targets)
    )
    if own is not None:
        return GuardConnections(own, others[0] if others else None)
    for item in others:
        if item is not None:
            item.close()
    return None


async def _open(address: str, bounds: ReadGuard) -> _Guard | None:
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(OPEN_SECONDS):
            _, guard = await loop.create_connection(
                partial(_Guard, bounds), host, int(port)
            )
    except (OSError, TimeoutError):
        return None
    return guard
