"""Bodies that are written piece by piece, as their receivers take them."""

from aiohttp.abc import AbstractStreamWriter
from aiohttp.payload import BytesPayload, Payload

PIECE_BYTES = 65_536


class PiecewiseBody(BytesPayload):
    """A body in memory that is never copied whole.

    Written at once, what its receiver has not taken would be copied to the connection's
    buffer, once for each sending.
    """

    def __init__(self, content: bytes) -> None:
        # The parent class warns of large bodies, as it writes them at once.
        Payload.__init__(self, content, content_type="application/octet-stream")
        self._size = len(content)

    async def write(self, writer: AbstractStreamWriter) -> None:
        """Write the whole body."""
        await self.write_with_length(writer, None)

    async def write_with_length(
        self, writer: AbstractStreamWriter, content_length: int | None
    ) -> None:
        """Write the body, or its beginning."""
        view = memoryview(self._value)[:content_length]
        for first in range(0, len(view), PIECE_BYTES):
            await writer.write(view[first : first + PIECE_BYTES])

    async def close(self) -> None:
        """Let go of the content."""
        await super().close()
        self.release()

    def release(self) -> None:
        """Let go of the content. What is being written is written to its end.

        The HTTP library's objects refer to each other, so that the content would stay
        until the next garbage collection.
        """
        self._value = b""


def split_body(content: bytes) -> bytes | PiecewiseBody:
    """Return a body as it is to be written; a short one is written at once."""
    return content if len(content) <= PIECE_BYTES else PiecewiseBody(content)
