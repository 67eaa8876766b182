"""Targets of a plain service that read and send nothing for a while within an answer,
and then go on."""

import asyncio
from enum import Enum

from aiohttp import web

from marigoldswitch.standins.platform_engines import PlainStandin

PIECES = 8


class Step(Enum):
    """What a target is about to do as it falls silent."""

    READ = "read the request"
    HEAD = "send the head"
    HEADERS = "send the second half of the head"
    BODY = "send the first bytes of the body"
    MIDDLE = "send the second half of the body"
    END = "send the last bytes of the body"


class QuietDesk(PlainStandin):
    """Target of a plain service that sends its answers piece by piece.

    :ivar silences: steps before which it is silent, and for how many seconds.
    :ivar size: bytes of its bodies, a multiple of ``PIECES``.
    :ivar has_length: whether its answers state their lengths.
    """

    def __init__(self, name: str, size: int = 800) -> None:
        super().__init__(name)
        self.silences: dict[Step, float] = {}
        self.size = size
        self.has_length = True

    async def handle(self, http: web.BaseRequest) -> web.StreamResponse:
        """Answer one request."""
        await self._pass(Step.READ)
        await http.read()
        refusal = self.check_head(http)
        if refusal is not None:
            return refusal
        self.runs[http.headers["Attempt-Id"]] += 1
        await self._pass(Step.HEAD)
        if Step.HEADERS in self.silences:
            return await self._answer_by_hand(http)
        response = web.StreamResponse(headers=self.sign(http))
        if self.has_length:
            response.content_length = self.size
        else:
            response.enable_chunked_encoding()
        await response.prepare(http)
        pauses = {0: Step.BODY, PIECES // 2: Step.MIDDLE, PIECES - 1: Step.END}
        for number in range(PIECES):
            if number in pauses:
                await self._pass(pauses[number])
            await response.write(b"x" * (self.size // PIECES))
        await response.write_eof()
        return response

    async def _answer_by_hand(self, http: web.BaseRequest) -> web.StreamResponse:
        """Send an answer, silent in its head, and close the connection."""
        assert http.transport is not None
        http.transport.write(b"HTTP/1.1 200 OK\r\nConnection: close\r\n")
        await self._pass(Step.HEADERS)
        fields = {**self.sign(http), "Content-Length": str(self.size)}
        lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        http.transport.write(lines.encode() + b"\r\n" + b"x" * self.size)
        http.transport.close()
        return web.Response()

    async def _pass(self, step: Step) -> None:
        await self.awake.wait()
        seconds = self.silences.get(step, 0.0)
        if seconds:
            await asyncio.sleep(seconds)
