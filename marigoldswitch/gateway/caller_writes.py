"""Writes parts of an answer to the caller, and breaks answers off."""

from aiohttp import web
from aiohttp.http_writer import StreamWriter
from multidict import CIMultiDict

from marigoldswitch.core.errors import ErrorKind, Fault
from marigoldswitch.gateway.exchanges import (
    CallerDisconnected,
    Exchange,
    RequestRefused,
)


class HeadWriter(StreamWriter):
    """Writes heads with the values of a target's headers as they are.

    The HTTP library leaves out the bytes that are not UTF-8.
    """

    async def write_headers(self, status_line: str, headers: CIMultiDict[str]) -> None:
        """Keep a head until it is sent.

        :raises ValueError: if it contains control characters.
        """
        await super().write_headers(status_line, headers)
        if not all(value.isascii() for value in headers.values()):
            lines = (f"{name}: {value}\r\n" for name, value in headers.items())
            head = f"{status_line}\r\n{''.join(lines)}\r\n"
            self._headers_buf = head.encode("utf-8", "surrogateescape")


def abort(exchange: Exchange) -> None:
    """Reset the caller's connection, so that a partial answer can't look complete."""
    transport = exchange.http.transport
    if transport is not None:
        transport.abort()


async def begin(exchange: Exchange, response: web.StreamResponse) -> None:
    """Send the head of an answer.

    :raises CallerDisconnected: if the caller has closed its connection;
        :class:`RequestRefused` if the head can't be written.
    """
    # Set first: from here on the caller may have received a part of it.
    exchange.response = response
    try:
        await response.prepare(exchange.http)
    except (ConnectionError, RuntimeError) as error:
        raise CallerDisconnected(str(error)) from error
    except ValueError as error:
        # Nothing has been sent, so that the caller can still be told.
        exchange.response = None
        writer = exchange.http._payload_writer
        assert isinstance(writer, HeadWriter)
        writer.chunked = False
        raise RequestRefused(Fault(ErrorKind.TARGET_FAULT, str(error))) from error


async def write(exchange: Exchange, content: bytes) -> None:
    """Write bytes of an answer that has begun.

    :raises CallerDisconnected: if the caller has closed its connection.
    """
    assert exchange.response is not None
    try:
        await exchange.response.write(content)
    except (ConnectionError, RuntimeError) as error:
        raise CallerDisconnected(str(error)) from error
