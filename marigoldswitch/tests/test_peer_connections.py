"""Connections between hosts in virtual time: acknowledging and giving up."""

import asyncio
from itertools import pairwise
from types import SimpleNamespace

import pytest

from marigoldswitch.core.acknowledgements import (
    ACK_DELAY_SECONDS,
    ACK_TIMEOUT_SECONDS,
    CONFIRM_SECONDS,
)
from marigoldswitch.peer_connections import (
    ACK_BYTES,
    AcknowledgingReader,
    ConnectionGivenUp,
    Loss,
    PeerConnection,
)
from marigoldswitch.tests.helpers import run_virtually

LIMIT = ACK_TIMEOUT_SECONDS + CONFIRM_SECONDS


class FakeTransport(asyncio.Transport):
    """Keeps what is written; ``room`` bytes are taken by the system, the rest waits."""

    def __init__(self, room=2**30):
        super().__init__({"socket": SimpleNamespace(setsockopt=lambda *option: None)})
        self.room = room
        self.written = b""
        self.protocol = None
        self.end = None

    def write(self, data):
        self.written += data
        if self.get_write_buffer_size() and self.protocol:
            self.protocol.pause_writing()

    def get_write_buffer_size(self):
        return max(0, len(self.written) - self.room)

    def is_closing(self):
        return self.end is not None

    def close(self):
        self._finish("closed")

    def abort(self):
        self._finish("aborted")

    def _finish(self, end):
        if self.end is None:
            self.end = end
            if self.protocol:
                asyncio.get_running_loop().call_soon(
                    self.protocol.connection_lost, None
                )


class Sender:
    """A connection with a fake transport, and what it reported."""

    def __init__(self, time, room=2**30):
        self.time = time
        self.losses = []
        self.returns = 0
        self.connection = PeerConnection(
            "127.0.0.1:1", time, self._note_loss, self._note_return
        )
        self.transport = FakeTransport(room)
        self.transport.protocol = self.connection
        self.connection.connection_made(self.transport)

    def acknowledge(self, total):
        self.connection.data_received(total.to_bytes(ACK_BYTES, "big"))

    def _note_loss(self, connection, loss):
        self.losses.append((loss, self.time.now))

    def _note_return(self):
        self.returns += 1


def test_one_message_without_acknowledgement_ends_the_connection():
    async def scenario(time):
        sender = Sender(time)
        await sender.connection.write(b"x" * 100)
        await asyncio.sleep(60.0)
        with pytest.raises(ConnectionResetError):
            await sender.connection.write(b"x")
        return sender

    sender = run_virtually(scenario)
    assert [loss for loss, _ in sender.losses] == [Loss.SILENT]
    assert sender.losses[0][1] <= LIMIT + 0.01
    assert sender.transport.end == "closed"


def test_blocked_writer_is_released_and_its_connection_aborted():
    async def scenario(time):
        sender = Sender(time, room=150)
        await sender.connection.write(b"x" * 100)
        sender.acknowledge(100)
        with pytest.raises(ConnectionGivenUp):
            await sender.connection.write(b"x" * 100)
        return sender

    sender = run_virtually(scenario)
    assert [loss for loss, _ in sender.losses] == [Loss.BLOCKED]
    assert sender.losses[0][1] <= LIMIT + 0.01
    assert sender.transport.end == "aborted"


def test_large_frame_on_a_slow_link_is_not_aborted():
    async def scenario(time):
        sender = Sender(time, room=1000)
        work = asyncio.create_task(sender.connection.write(b"x" * 100_000))
        for step in range(1, 100):
            await asyncio.sleep(ACK_TIMEOUT_SECONDS / 2)
            sender.transport.room += 1000
            sender.acknowledge(1000 * step)
        sender.connection.resume_writing()
        await work
        sender.acknowledge(100_000)
        await asyncio.sleep(60.0)
        return sender

    sender = run_virtually(scenario)
    assert (sender.losses, sender.transport.end) == ([], None)


def test_idle_connection_is_kept():
    async def scenario(time):
        sender = Sender(time)
        for number in range(1, 4):
            await sender.connection.write(b"x" * 100)
            await asyncio.sleep(ACK_DELAY_SECONDS)
            sender.acknowledge(100 * number)
            await asyncio.sleep(3600.0)
        return sender

    sender = run_virtually(scenario)
    assert (sender.losses, sender.transport.end, sender.returns) == ([], None, 1)


def test_sender_that_was_suspended_reads_waiting_acknowledgements_first():
    async def scenario(time):
        sender = Sender(time)
        await sender.connection.write(b"x" * 100)
        time.loop.call_later(ACK_TIMEOUT_SECONDS + 0.01, sender.acknowledge, 100)
        time._selector.skipped += 60.0
        await asyncio.sleep(60.0)
        return sender

    sender = run_virtually(scenario)
    assert (sender.losses, sender.transport.end) == ([], None)


def test_closing_reports_no_loss_and_an_end_by_the_peer_does():
    async def scenario(time):
        closed, reset, ended = Sender(time), Sender(time), Sender(time)
        closed.connection.close()
        reset.connection.connection_lost(ConnectionResetError())
        ended.connection.connection_lost(None)
        await asyncio.sleep(60.0)
        return [[loss for loss, _ in item.losses] for item in (closed, reset, ended)]

    assert run_virtually(scenario) == [[], [Loss.RESET], [Loss.CLOSED]]


def test_acknowledgements_in_pieces_are_read():
    async def scenario(time):
        sender = Sender(time)
        await sender.connection.write(b"x" * 1000)
        stream = b"".join(n.to_bytes(ACK_BYTES, "big") for n in (300, 600, 900))
        cuts = (0, 3, 8, 9, 17, 24)
        for start, end in pairwise(cuts):
            sender.connection.data_received(stream[start:end])
        return sender.connection.watch.acknowledged

    assert run_virtually(scenario) == 900


def test_receiver_acknowledges_parts_and_the_last_bytes_with_a_delay():
    async def scenario(time):
        reader, transport = asyncio.StreamReader(), FakeTransport()
        writer = asyncio.StreamWriter(transport, None, reader, time.loop)
        incoming = AcknowledgingReader(reader, writer)
        work = asyncio.create_task(incoming.read_exactly(1000))
        for _ in range(10):
            reader.feed_data(b"x" * 100)
            await asyncio.sleep(ACK_DELAY_SECONDS / 4)
        body = await work
        await asyncio.sleep(60.0)
        incoming.close()
        return body, transport.written

    body, written = run_virtually(scenario)
    totals = [
        int.from_bytes(written[at : at + ACK_BYTES], "big")
        for at in range(0, len(written), ACK_BYTES)
    ]
    assert body == b"x" * 1000
    assert totals == sorted(totals)
    assert 2 <= len(totals) <= 4
    assert totals[-1] == 1000


def test_receiver_keeps_no_acknowledgements_for_a_sender_that_reads_none():
    async def scenario(time):
        reader, transport = asyncio.StreamReader(), FakeTransport(room=0)
        writer = asyncio.StreamWriter(transport, None, reader, time.loop)
        incoming = AcknowledgingReader(reader, writer)
        for _ in range(100):
            reader.feed_data(b"x" * 100)
            await incoming.read_exactly(100)
            await asyncio.sleep(ACK_DELAY_SECONDS)
        incoming.close()
        return transport.written

    assert len(run_virtually(scenario)) == ACK_BYTES
