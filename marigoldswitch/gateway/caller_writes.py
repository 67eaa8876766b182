"""Writes parts of an answer to the caller, and breaks answers off."""

from aiohttp import web

from marigoldswitch.gateway.exchanges import CallerDisconnected, Exchange


def abort(exchange: Exchange) -> None:
    """Reset the caller's connection, so that a partial answer can't look complete."""
    transport = exchange.http.transport
    if transport is not None:
        transport.abort()


async def begin(exchange: Exchange, response: web.StreamResponse) -> None:
    """Send the head of an answer.

    :raises CallerDisconnected: if the caller has closed its connection.
    """
    # Set first: from here on the caller may have received a part of it.
    exchange.response = response
    try:
        await response.prepare(exchange.http)
    except (ConnectionError, RuntimeError) as error:
        raise CallerDisconnected(str(error)) from error


async def write(exchange: Exchange, content: bytes) -> None:
    """Write bytes of an answer that has begun.

    :raises CallerDisconnected: if the caller has closed its connection.
    """
    assert exchange.response is not None
    try:
        await exchange.response.write(content)
    except (ConnectionError, RuntimeError) as error:
        raise CallerDisconnected(str(error)) from error
