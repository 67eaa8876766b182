"""Writes parts of an answer to the caller, and breaks answers off."""

from aiohttp import web
from aiohttp.http_writer import StreamWriter

from marigoldswitch.core.errors import ErrorKind, Fault
from marigoldswitch.gateway.exchanges import (
    CallerDisconnected,
    Exchange,
    RequestRefused,
)


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
        assert isinstance(writer, StreamWriter)
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
