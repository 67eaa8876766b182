"""Membership on real sockets: invalid datagrams, rotation of secrets, joining."""

import asyncio
import secrets as random_secrets
import socket
from random import Random

from marigoldswitch.clocks import SystemClock
from marigoldswitch.core.datagrams import (
    MAX_PAYLOAD_BYTES,
    MemberRecord,
    Ping,
    Sender,
    encode_datagram,
)
from marigoldswitch.core.ids import HostId, Incarnation, TargetId
from marigoldswitch.core.leaving import LeavingMarks
from marigoldswitch.core.messages import Message
from marigoldswitch.gossip import Gossip
from marigoldswitch.members import Member, MemberView
from marigoldswitch.peers import PeerNetwork, compute_mac
from marigoldswitch.settings import PeerSettings
from marigoldswitch.standins.deployment import LOOPBACK, Deployment
from marigoldswitch.tests.helpers import HOBART, run_async, wait_until
from marigoldswitch.wire import MessageCodec


class GossipHost:
    """The membership of one host with its UDP and TCP listeners."""

    def __init__(self, name: str, secrets=("new", "old"), seeds=()) -> None:
        settings = PeerSettings(secrets=secrets, seeds=seeds, probe_period=0.05)
        self.view = MemberView(Member(HostId(name), HOBART, ""))
        codec = MessageCodec(Message)
        self.network = PeerNetwork(
            HostId(name), settings.secrets, self.view.locate, codec
        )
        marks = LeavingMarks(0.0)
        self.gossip = Gossip(SystemClock(), self.view, self.network, settings, marks)

    async def start(self) -> "GossipHost":
        peers = await self.network.start(LOOPBACK, 0)
        self.port = await self.gossip.start(LOOPBACK, 0)
        self.record = MemberRecord(
            self.view.own.host,
            HOBART,
            f"{LOOPBACK}:{peers}",
            f"{LOOPBACK}:{self.port}",
            random_secrets.randbits(32),
            Incarnation(1),
        )
        self.gossip.join(self.record, Random(1))
        self.task = asyncio.create_task(self.gossip.run())
        return self

    async def stop(self) -> None:
        self.task.cancel()
        self.gossip.stop()
        await self.network.stop()


def test_invalid_datagrams_are_dropped_and_counted():
    async def scenario():
        host = await GossipHost("host-0").start()
        sender = Sender(HostId("host-1"), 1, Incarnation(1))
        ping = encode_datagram(Ping(sender, host.record.host, 1, 0))
        wrong = encode_datagram(Ping(sender, HostId("host-7"), 1, 0))
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as client:
            for data in (
                b"",
                b"x" * 20,
                compute_mac(b"wrong", ping) + ping,
                compute_mac(b"new", b"\xc1") + b"\xc1",
                compute_mac(b"new", b"") + b"x" * MAX_PAYLOAD_BYTES + b"x",
                compute_mac(b"new", wrong) + wrong,
                compute_mac(b"old", ping) + ping,
            ):
                client.sendto(data, (LOOPBACK, host.port))
            counts = host.gossip.counts
            await wait_until(lambda: counts["received"] == 2)
            await wait_until(lambda: counts["unauthenticated"] >= 2)
        await host.stop()
        return host

    host = run_async(scenario())
    counts = host.gossip.count_all()
    assert counts["garbage"] == 1
    assert counts["oversized"] == 1
    assert counts["wrong_address"] == 1
    assert counts["unauthenticated"] == 3
    assert host.gossip.membership.table == {}


def test_hosts_join_by_a_seed_with_keys_in_rotation_but_not_with_a_wrong_one():
    async def scenario():
        first = await GossipHost("host-0", secrets=("old", "new")).start()
        seeds = (f"{LOOPBACK}:{first.port}",)
        second = await GossipHost("host-1", secrets=("new", "old"), seeds=seeds).start()
        wrong = await GossipHost("host-2", secrets=("else",), seeds=seeds).start()
        await wait_until(lambda: len(first.view.members) == 2)
        await wait_until(lambda: len(second.view.members) == 2)
        await wait_until(lambda: first.gossip.counts["unauthenticated"] > 0)
        views = [set(item.view.members) for item in (first, second, wrong)]
        for host in (first, second, wrong):
            await host.stop()
        return views

    both = {"host-0", "host-1"}
    assert run_async(scenario()) == [both, both, {"host-2"}]


def test_partitioned_hosts_rejoin_and_a_moved_host_is_located():
    async def scenario():
        first = await GossipHost("host-0").start()
        seeds = (f"{LOOPBACK}:{first.port}",)
        second = await GossipHost("host-1", seeds=seeds).start()
        await wait_until(lambda: len(first.view.members) == 2)
        for host, other in ((first, "host-1"), (second, "host-0")):
            host.gossip.cut.add(HostId(other))
            host.network.cut.add(HostId(other))
        await wait_until(lambda: len(first.view.members) == 1)
        await wait_until(lambda: len(second.view.members) == 1)
        first.gossip.drain_target(TargetId("desk-0"))
        for host in (first, second):
            host.gossip.cut.clear()
            host.network.cut.clear()
        await wait_until(lambda: len(first.view.members) == 2)
        await wait_until(lambda: second.gossip.leaving == {"desk-0"})
        await second.stop()
        moved = GossipHost("host-1", seeds=seeds)
        await moved.start()
        address = moved.record.peers
        await wait_until(lambda: first.view.locate(HostId("host-1")) == address)
        await first.stop()
        await moved.stop()

    run_async(scenario())


def test_host_joins_and_serves_while_the_host_list_lags_and_names_a_wrong_address():
    async def scenario():
        deployment = Deployment(data_centres=("hobart", "hobart"))
        await deployment.start()
        wrong = deployment.platform.hosts["host-0"]["address"]
        deployment.platform.add_host("host-9", "entry", "hobart", wrong)
        await deployment.start_host("host-2", "hobart")
        await deployment.wait_for_members()
        names = {frozenset(h.parts.view.members) for h in deployment.hosts.values()}
        host = deployment.hosts["host-0"].parts.gossip
        await wait_until(lambda: host.counts["wrong_address"] > 0)
        await deployment.stop()
        return names

    assert run_async(scenario()) == {frozenset({"host-0", "host-1", "host-2"})}
