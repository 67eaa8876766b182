"""Writes parts of an answer to the caller, and breaks answers off."""

from marigoldswitch.gateway.exchanges import CallerDisconnected, Exchange


def abort(exchange: Exchange) -> None:
    """Reset the caller's connection, so that a partial answer can't look complete."""
    transport = exchange.http.transport
    if transport is not None:
        transport.abort()


async def write(exchange: Exchange, content: bytes) -> None:
    """Write bytes of an answer that has begun.

    :raises CallerDisconnected: if the caller has closed its connection.
    """
    assert exchange.response is not None
    try:
        await exchange.response.write(content)
    except (ConnectionError, RuntimeError) as error:
        raise CallerDisconnected(str(error)) from error
