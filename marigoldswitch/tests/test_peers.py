"""Messages between hosts over paths that fail without closing a connection."""

import asyncio
import socket
from enum import Enum

import pytest

from marigoldswitch.clocks import SystemClock
from marigoldswitch.core.ids import HostId
from marigoldswitch.core.messages import BundleContent, FetchBundle, Message
from marigoldswitch.core.pacing import Pacer
from marigoldswitch.peers import PeerNetwork
from marigoldswitch.standins.deployment import LOOPBACK
from marigoldswitch.tests.helpers import run_async, wait_until
from marigoldswitch.wire import MessageCodec

HERE, THERE = HostId("host-0"), HostId("host-1")
PIECE_BYTES = 4096
SLOW_PIECE_SECONDS = 0.05
SEND_PERIOD_SECONDS = 0.02
LINK_BYTES = 10_000.0
COPY = b"x" * 8_000
"""A large part of what the link carries in a second."""


class Mode(Enum):
    """What a path does with the bytes of a connection."""

    DELIVERS = "delivers"
    SWALLOWS = "swallows"
    BLOCKS = "blocks"
    TRICKLES = "trickles"


class Path:
    """A TCP path to a peer whose connections in use can fail; new ones work."""

    def __init__(self, mode=Mode.DELIVERS):
        self.mode = mode
        """Of new connections."""
        self.modes = []
        """By connection."""
        self._tasks = []

    async def start(self, port):
        self.port = port
        listening = socket.socket()
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, PIECE_BYTES)
        listening.bind((LOOPBACK, 0))
        self._server = await asyncio.start_server(
            self._serve, sock=listening, limit=PIECE_BYTES
        )
        return listening.getsockname()[1]

    def stop(self):
        self._server.close()
        for task in self._tasks:
            task.cancel()

    def fail(self, mode):
        self.modes = [mode for _ in self.modes]

    async def _serve(self, reader, writer):
        number = len(self.modes)
        self.modes.append(self.mode)
        back, there = await asyncio.open_connection(LOOPBACK, self.port)
        self._tasks += [
            asyncio.create_task(self._pump(number, reader, there)),
            asyncio.create_task(self._pump(number, back, writer)),
        ]

    async def _pump(self, number, reader, writer):
        try:
            while True:
                while self.modes[number] is Mode.BLOCKS:
                    await asyncio.sleep(SLOW_PIECE_SECONDS)
                data = await reader.read(PIECE_BYTES)
                match self.modes[number]:
                    case _ if not data:
                        break
                    case Mode.SWALLOWS:
                        continue
                    case Mode.TRICKLES:
                        await asyncio.sleep(SLOW_PIECE_SECONDS)
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()


class Pair:
    """A sender and a receiver with a path between them."""

    def __init__(self, mode=Mode.DELIVERS, pacer=None):
        self.path = Path(mode)
        self.heard = []
        self.address = ""
        codec = MessageCodec(Message)
        self.sender = PeerNetwork(
            HERE, ["secret"], lambda host: self.address, codec, pacer
        )
        self.receiver = PeerNetwork(THERE, ["secret"], lambda host: None, codec)
        for kind in (FetchBundle, BundleContent):
            self.receiver.register(kind, lambda _, message: self.heard.append(message))

    async def __aenter__(self):
        port = await self.path.start(await self.receiver.start(LOOPBACK, 0))
        self.address = f"{LOOPBACK}:{port}"
        return self

    async def __aexit__(self, *_):
        await self.sender.stop()
        self.path.stop()
        await self.receiver.stop()

    async def exchange(self, number, seconds=20.0):
        """Send messages of one number until one of them is heard."""
        async with asyncio.timeout(seconds):
            while FetchBundle(number) not in self.heard:
                self.sender.send(THERE, FetchBundle(number))
                await asyncio.sleep(SEND_PERIOD_SECONDS)


def test_peer_hears_messages_again_after_its_connection_went_silent():
    async def scenario():
        async with Pair() as pair:
            await pair.exchange(1)
            pair.path.fail(Mode.SWALLOWS)
            await pair.exchange(2)

    run_async(scenario())


def test_silent_connection_is_noticed_without_further_messages(
    log_lines,
):
    async def scenario():
        async with Pair() as pair:
            await pair.exchange(1)
            pair.path.fail(Mode.SWALLOWS)
            pair.sender.send(THERE, FetchBundle(2))
            await wait_until(lambda: pair.sender.counts["connections_lost"] == 1)
            await pair.exchange(3)
            await wait_until(lambda: log_lines[-1]["event"] == "peer_connection_back")

    run_async(scenario())
    lost, back = log_lines
    assert (lost["event"], lost["peer"]) == ("peer_connection_lost", THERE)
    assert lost["why"] == "no acknowledgement"
    assert lost["unacknowledged_bytes"] > 0
    assert back["peer"] == THERE


def test_receiver_that_stops_reading_hears_the_newest_message():
    async def scenario():
        async with Pair() as pair:
            await pair.exchange(1)
            pair.path.fail(Mode.BLOCKS)
            for version in range(4):
                pair.sender.send(THERE, BundleContent(version, b"", b"x" * 7_000_000))
            await pair.exchange(2)
            assert pair.sender.counts["connections_lost"] == 1
            assert pair.sender._queues[THERE].qsize() <= 1

    run_async(scenario())


def test_large_message_on_a_slow_link_arrives_over_one_connection():
    large = BundleContent(1, b"", b"x" * 250_000)

    async def scenario():
        async with Pair(Mode.TRICKLES) as pair:
            pair.sender.send(THERE, large)
            await wait_until(lambda: pair.heard == [large], 60.0)
            return pair.sender.counts["connections_lost"], len(pair.path.modes)

    assert run_async(scenario()) == (0, 1)


def test_receiver_of_an_older_version_hears_every_message(log_lines):
    received = []

    async def collect(reader, writer):
        while data := await reader.read(PIECE_BYTES):
            received.append(data)
        writer.close()

    async def scenario():
        server = await asyncio.start_server(collect, LOOPBACK, 0)
        address = f"{LOOPBACK}:{server.sockets[0].getsockname()[1]}"
        network = PeerNetwork(
            HERE, ["secret"], lambda host: address, MessageCodec(Message)
        )
        message, sent = FetchBundle(1), 0
        while network.counts["connections_lost"] < 2:
            network.send(THERE, message)
            sent += 1
            await asyncio.sleep(SEND_PERIOD_SECONDS)
        await wait_until(lambda: network.counts["sent"] == sent)
        total = sent * len(network._get_frame(message))
        await wait_until(lambda: sum(map(len, received)) == total)
        counts = network.counts
        await network.stop()
        server.close()
        return counts

    counts = run_async(scenario())
    assert counts["dropped"] == 0
    assert [line["event"] for line in log_lines] == ["peer_connection_lost"]


def test_unreachable_peer_is_logged_once(log_lines):
    async def scenario():
        with socket.socket() as unused:
            unused.bind((LOOPBACK, 0))
            address = f"{LOOPBACK}:{unused.getsockname()[1]}"
            network = PeerNetwork(
                HERE, ["secret"], lambda host: address, MessageCodec(Message)
            )
            while network.counts["unreachable"] < 3:
                network.send(THERE, FetchBundle(1))
                await asyncio.sleep(SEND_PERIOD_SECONDS)
            await network.stop()

    run_async(scenario())
    assert [(line["event"], line["why"]) for line in log_lines] == [
        ("peer_connection_lost", "connect")
    ]


class _RecordingNetwork(PeerNetwork):
    """Keeps the sockets that it has accepted."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.accepted = []

    async def _serve(self, reader, writer):
        self.accepted.append(writer.get_extra_info("socket"))
        await super()._serve(reader, writer)


@pytest.mark.parametrize("is_accepted", [True, False])
def test_kernel_watches_both_ends_of_a_connection(is_accepted):
    async def scenario():
        codec = MessageCodec(Message)
        receiver = _RecordingNetwork(THERE, ["secret"], lambda host: None, codec)
        port = await receiver.start(LOOPBACK, 0)
        sender = PeerNetwork(HERE, ["secret"], lambda host: f"{LOOPBACK}:{port}", codec)
        sender.send(THERE, FetchBundle(1))
        await wait_until(lambda: receiver.counts["unhandled"] == 1)
        transport = sender._connections[THERE]._transport
        own = transport.get_extra_info("socket")
        watched = receiver.accepted[0] if is_accepted else own
        found = [
            watched.getsockopt(level, option)
            for level, option in (
                (socket.SOL_SOCKET, socket.SO_KEEPALIVE),
                (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT),
                (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE),
            )
        ]
        await sender.stop()
        await receiver.stop()
        return found

    assert run_async(scenario()) == [1, 2000, 2]


def test_small_messages_do_not_wait_behind_a_paced_copy():
    async def scenario():
        pacer = Pacer(LINK_BYTES, SystemClock())
        async with Pair(pacer=pacer) as pair:
            copies = [BundleContent(version, b"", COPY) for version in (1, 2)]
            for copy in copies:
                pair.sender.send(THERE, copy)
            pair.sender.send(THERE, FetchBundle(3))
            await wait_until(lambda: len(pair.heard) == 3)
            assert pair.heard == [copies[0], FetchBundle(3), copies[1]]

    run_async(scenario())


def test_handler_that_fails_loses_its_own_message_only():
    heard = []

    def handle(_, message):
        if message.above == 1:
            raise ValueError("not expected")
        heard.append(message.above)

    async def scenario():
        codec = MessageCodec(Message)
        receiver = PeerNetwork(THERE, ["secret"], lambda host: None, codec)
        receiver.register(FetchBundle, handle)
        port = await receiver.start(LOOPBACK, 0)
        sender = PeerNetwork(HERE, ["secret"], lambda host: f"{LOOPBACK}:{port}", codec)
        for version in (1, 2, 3):
            sender.send(THERE, FetchBundle(version))
        await wait_until(lambda: len(heard) == 2)
        await sender.stop()
        await receiver.stop()
        return receiver.counts["failed"]

    assert run_async(scenario()) == 1
    assert heard == [2, 3]


@pytest.mark.parametrize("address", ["no-port", "127.0.0.1:99999"])
def test_malformed_address_of_a_peer_counts_as_unreachable(address):
    async def scenario():
        network = PeerNetwork(
            HERE, ["secret"], lambda host: address, MessageCodec(Message)
        )
        while network.counts["unreachable"] < 2:
            network.send(THERE, FetchBundle(1))
            await asyncio.sleep(SEND_PERIOD_SECONDS)
        await network.stop()

    run_async(scenario())
