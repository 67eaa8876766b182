"""Readers of reports, orders, the store and messages give up bytes without end."""

import asyncio

import pytest

from marigoldswitch.core.acknowledgements import ACK_DELAY_SECONDS
from marigoldswitch.core.catalogue import LayerRange
from marigoldswitch.core.ids import HostId, RequestId
from marigoldswitch.core.messages import Message
from marigoldswitch.core.read_bounds import ReadBounds
from marigoldswitch.gateway.bounded_reads import ReadGuard
from marigoldswitch.gateway.connections import Connections, open_session
from marigoldswitch.gateway.ports import (
    EngineSilent,
    EngineWithoutReport,
    FeedFault,
    OrderReply,
    OrderResult,
)
from marigoldswitch.peer_connections import ACK_BYTES, Loss
from marigoldswitch.peers import PeerNetwork
from marigoldswitch.platform.engines import EngineClient
from marigoldswitch.platform.store import PlatformStore
from marigoldswitch.standins.floods import Flood, run_flood
from marigoldswitch.tests.helpers import run_async, run_virtually
from marigoldswitch.tests.test_peer_connections import Sender
from marigoldswitch.wire import MessageCodec

ANSWER_FLOODS = [item for item in Flood if item not in (Flood.EVENT, Flood.COMMENTS)]
IN_TRANSIT_BYTES = 6 * 1024 * 1024
"""What a connection over loopback takes beyond what its receiver reads."""
STORE_BYTES = 16 * 1024 * 1024
MAX_SECONDS = 3.0
SPEEDS = pytest.mark.parametrize("is_slow", [False, True], ids=["fast", "slow"])


def check(server, guard_counts, is_slow, max_bytes=0):
    """Assert that floods were cut, and counted unless a shorter time-out came first."""
    assert server.sent
    for flood in server.sent:
        assert flood.seconds < MAX_SECONDS + 0.2
        assert flood.size < max_bytes + IN_TRANSIT_BYTES
    assert is_slow or guard_counts


@SPEEDS
@pytest.mark.parametrize("flood", ANSWER_FLOODS)
def test_reports_and_answers_to_orders_are_bounded(flood, is_slow):
    async def scenario():
        counts = []
        connections = Connections(ReadGuard(count=counts.append))
        engines = EngineClient(connections)
        async with run_flood(flood, is_slow) as server:
            report = await engines.read(server.address, 2.0)
            assert report in (None, EngineSilent(), EngineWithoutReport())
            placed = await engines.place(server.address, LayerRange(0, 8), 0)
            routed = await engines.reroute(server.address, RequestId("x"), ())
            unknown = OrderReply(OrderResult.UNKNOWN)
            if not flood.has_answer:
                assert (placed, routed) == (unknown, unknown)
            await connections.close()
            await asyncio.sleep(0.05)
            closed_anyway = is_slow or flood in (Flood.NO_HTTP, Flood.BEYOND_LENGTH)
            check(server, counts, closed_anyway)

    run_async(scenario())


@SPEEDS
@pytest.mark.parametrize("flood", ANSWER_FLOODS)
def test_answers_and_feeds_of_the_store_are_bounded(flood, is_slow):
    async def scenario():
        counts = []
        guard = ReadGuard(count=counts.append)
        session = open_session(1.0, guard)
        async with run_flood(flood, is_slow) as server:
            store = PlatformStore(session, server.address, guard)
            assert (await store.read("op", "config")).is_err()
            assert (await store.write("op", "config", b"x", 0)).is_err()
            whole = await store.wait_targets(0, 1.0)
            feed = await store.wait_targets(7, 1.0)
            faults = (FeedFault.UNAVAILABLE, FeedFault.MALFORMED)
            assert whole.err_value in faults
            assert feed.err_value in faults
            await asyncio.sleep(MAX_SECONDS if is_slow else 0.1)
            closed_anyway = is_slow or flood in (Flood.NO_HTTP, Flood.BEYOND_LENGTH)
            check(server, counts, closed_anyway, STORE_BYTES)
            await store.close()
            await session.close()

    run_async(scenario())


async def send_to_peer(pieces, pause):
    """Send bytes to a host's listener; return why it closed the connection, if so."""
    noted = []
    network = PeerNetwork(
        HostId("here"),
        ["secret"],
        lambda _: None,
        MessageCodec(Message),
        note_unbounded=lambda sender, excess: noted.append(excess),
    )
    port = await network.start("127.0.0.1", 0)
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    is_closed = False
    try:
        async with asyncio.timeout(4.0):
            for piece in pieces:
                writer.write(piece)
                await writer.drain()
                await asyncio.sleep(pause)
            while await reader.read(1024):
                pass
        is_closed = True
    except ConnectionError:
        is_closed = True
    except TimeoutError:
        pass
    writer.transport.abort()
    await asyncio.sleep(0.05)
    await network.stop()
    return is_closed, noted, network.counts


def test_message_that_comes_one_byte_at_a_time_is_given_up():
    begin = (1_000_000).to_bytes(4, "big")
    pieces = [begin, *[b"x"] * 500]
    is_closed, noted, _ = run_async(send_to_peer(pieces, 0.02))
    assert is_closed
    assert [item.bound for item in noted] == ["progress_seconds"]


def test_message_of_absurd_length_is_refused_at_once():
    pieces = [b"\xff" * 65_536] * 1000
    is_closed, noted, counts = run_async(send_to_peer(pieces, 0.0))
    assert is_closed
    assert not noted
    assert counts["garbage"] == 1


def test_connection_between_two_messages_may_be_silent():
    is_closed, noted, _ = run_async(send_to_peer([], 0.0))
    assert not is_closed
    assert not noted


@pytest.mark.parametrize("returned", [b"\0" * 4096, b"\xff" * 4096])
def test_host_that_returns_bytes_without_acknowledging_is_given_up(returned):
    async def scenario(time):
        sender = Sender(time)
        await sender.connection.write(b"frame")
        for _ in range(20):
            if not sender.transport.is_closing():
                sender.connection.data_received(returned)
        return sender

    sender = run_virtually(scenario)
    assert sender.transport.end == "aborted"
    assert [loss for loss, _ in sender.losses] == [Loss.UNBOUNDED]


def test_host_that_acknowledges_is_kept_for_long():
    async def scenario(time):
        sender = Sender(time)
        for number in range(1, 20_000):
            await sender.connection.write(b"x")
            sender.acknowledge(number)
        await asyncio.sleep(ACK_DELAY_SECONDS)
        return sender

    sender = run_virtually(scenario)
    assert 20_000 * ACK_BYTES > 65_536
    assert sender.transport.end is None


def test_pause_after_an_informational_head_is_no_late_head():
    """A head 103 in one packet began a watch that cut the answer after it."""

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 103 Early Hints\r\n\r\n")
        await asyncio.sleep(0.5)
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
        await writer.drain()
        writer.close()

    async def scenario():
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        guard = ReadGuard()
        guard.bounds = ReadBounds(head_seconds=0.2)
        session = open_session(0.0, guard)
        try:
            async with session.get(f"http://127.0.0.1:{port}/") as response:
                assert await response.read() == b"ok"
        finally:
            await session.close()
            server.close()

    run_async(scenario())
