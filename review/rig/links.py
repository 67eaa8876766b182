"""Loopback proxy that carries bytes at the rate of a machine's link."""

import asyncio
import contextlib

PIECE_BYTES = 1460
"""Bytes that one connection sends before the next one's turn."""
BITS_PER_BYTE = 8


class Link:
    """Forwards connections to an address; what comes back shares one rate.

    :param receiver: ``IP:port`` to forward to.
    :param mbps: rate of the link in Mbit/s.
    """

    def __init__(self, receiver: str, mbps: float) -> None:
        self.address = ""
        self._receiver = receiver
        self._seconds_per_byte = BITS_PER_BYTE / (mbps * 1e6)
        self._turn = asyncio.Lock()
        self._free_at = 0.0
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a port chosen by the kernel."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    async def stop(self) -> None:
        """Close all connections."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        host, _, port = self._receiver.rpartition(":")
        try:
            back_reader, back_writer = await asyncio.open_connection(host, int(port))
            await asyncio.gather(
                self._copy(reader, back_writer, is_paced=False),
                self._copy(back_reader, writer, is_paced=True),
            )
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            with contextlib.suppress(OSError):
                writer.close()

    async def _copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_paced: bool,
    ) -> None:
        try:
            while piece := await reader.read(PIECE_BYTES):
                if is_paced:
                    await self._wait_for_turn(len(piece))
                writer.write(piece)
                await writer.drain()
        finally:
            with contextlib.suppress(OSError):
                writer.close()

    async def _wait_for_turn(self, size: int) -> None:
        """Wait until the link has carried some bytes."""
        async with self._turn:
            loop = asyncio.get_running_loop()
            began = max(loop.time(), self._free_at)
            self._free_at = began + size * self._seconds_per_byte
            await asyncio.sleep(self._free_at - loop.time())
