"""Answers that come, and connections that break, while a request is being written."""

import asyncio
import socket
import struct
from enum import Enum

import aiohttp
import pytest
from aiohttp.payload import Payload

from marigoldswitch.gateway.connections import ConnectionUse, open_session

PIECE = b"x" * 65_536
HEAD = b"HTTP/1.1 200 OK\r\n"
SHORT = b"part of an answer"
LONG = b"y" * 200_000
"""More than the client keeps before it pauses reading."""
SENT_BYTES = 50_000
"""What the peer sends at once; a socket holds it."""


class Noticer(Enum):
    """Who notices first that a connection was broken."""

    READER = "reader"
    WRITER = "writer"
    WRITER_BESIDE_PAUSED_READER = "writer, while reading is paused"


class Peer:
    """The other end of one connection, which acts at once and blocks its caller."""

    def __init__(self):
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self._socket = None

    def send(self, content):
        if self._socket is None:
            self._socket, _ = self._listener.accept()
        self._socket.sendall(content)

    def close_sending(self):
        self._socket.shutdown(socket.SHUT_WR)

    def reset(self):
        no_linger = struct.pack("ii", 1, 0)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, no_linger)
        self._socket.close()

    def stop(self):
        self._listener.close()


class ScriptedBody(Payload):
    """Body of a request during whose writing something happens.

    :param act: awaited after the first piece; returns before the writing goes on.
    """

    def __init__(self, act):
        super().__init__(b"")
        self._act = act

    @property
    def size(self):
        return 100 * len(PIECE)

    def decode(self, encoding="utf-8", errors="strict"):
        raise NotImplementedError

    async def write(self, writer):
        await self.write_with_length(writer, None)

    async def write_with_length(self, writer, content_length):
        await writer.write(PIECE)
        await self._act()
        for _ in range(99):
            await writer.write(PIECE)


async def exchange(noticer, framing_field, content, is_closed_first):
    """Send a request whose peer answers early and breaks the connection.

    :return: the body of the answer, or the error.
    """
    peer = Peer()
    head = HEAD + framing_field + b"\r\n"

    async def act():
        peer.send(head)
        for first in range(0, len(content), SENT_BYTES):
            if first:
                await asyncio.sleep(0.01)
            peer.send(content[first : first + SENT_BYTES])
        if is_closed_first:
            peer.close_sending()
        peer.reset()
        if noticer is Noticer.READER:
            await asyncio.sleep(0.05)

    try:
        async with open_session(8.0) as session:
            body, use = ScriptedBody(act), ConnectionUse()
            url = f"http://{peer.address}/"
            async with session.post(url, data=body, trace_request_ctx=use) as response:
                # The reader comes last.
                await asyncio.sleep(0.2)
                return await response.read()
    except (aiohttp.ClientError, OSError) as error:
        return error
    finally:
        peer.stop()


def run_exchange(*arguments):
    return asyncio.run(asyncio.wait_for(exchange(*arguments), 5.0))


def build_chunks(body):
    return b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)


def choose_body(noticer):
    is_paused = noticer is Noticer.WRITER_BESIDE_PAUSED_READER
    return LONG if is_paused else SHORT


@pytest.mark.parametrize("noticer", list(Noticer))
def test_part_of_an_answer_without_a_length_is_no_answer(noticer):
    body = choose_body(noticer)
    assert isinstance(run_exchange(noticer, b"", body, False), Exception)


@pytest.mark.parametrize("noticer", list(Noticer))
def test_answer_without_a_length_is_whole_if_it_was_closed_before_the_reset(noticer):
    body = choose_body(noticer)
    assert run_exchange(noticer, b"", body, True) == body


@pytest.mark.parametrize("is_closed_first", [False, True])
@pytest.mark.parametrize("noticer", list(Noticer))
def test_whole_answer_with_a_length_stays_an_answer(noticer, is_closed_first):
    body = choose_body(noticer)
    field = b"Content-Length: %d\r\n" % len(body)
    assert run_exchange(noticer, field, body, is_closed_first) == body


@pytest.mark.parametrize("is_closed_first", [False, True])
@pytest.mark.parametrize("noticer", list(Noticer))
def test_answer_with_its_last_chunk_stays_an_answer(noticer, is_closed_first):
    body = choose_body(noticer)
    field = b"Transfer-Encoding: chunked\r\n"
    assert run_exchange(noticer, field, build_chunks(body), is_closed_first) == body


@pytest.mark.parametrize("is_closed_first", [False, True])
@pytest.mark.parametrize("noticer", list(Noticer))
@pytest.mark.parametrize("field", [b"Content-Length: 200050\r\n", b"chunked"])
def test_part_of_an_answer_with_a_length_is_no_answer(field, noticer, is_closed_first):
    content = choose_body(noticer)
    if field == b"chunked":
        field, content = b"Transfer-Encoding: chunked\r\n", build_chunks(content)[:-5]
    assert isinstance(run_exchange(noticer, field, content, is_closed_first), Exception)
