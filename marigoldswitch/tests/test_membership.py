"""Tests of membership and leaving marks, on a virtual clock and a lossy network."""

from dataclasses import replace
from random import Random

import msgpack
import pytest
from hypothesis import given, strategies as st

from marigoldswitch.core.datagrams import (
    MAX_PAYLOAD_BYTES,
    Ack,
    MarkSource,
    MemberRecord,
    Ping,
    Push,
    Sender,
    Status,
    TargetMark,
    decode_datagram,
    encode_datagram,
)
from marigoldswitch.core.ids import BundleVersion, HostId, Incarnation, TargetId
from marigoldswitch.core.leaving import MARK_TTL_SECONDS, LeavingMarks
from marigoldswitch.core.member_events import (
    DatagramReceived,
    HostListRead,
    Leave,
    MemberChanged,
    NameTaken,
    OwnBundle,
    SendDatagram,
    SendTable,
    TableReceived,
    Tick,
)
from marigoldswitch.core.membership import Membership
from marigoldswitch.tests.helpers import HOBART
from marigoldswitch.tools.membership_bench import VirtualNetwork

HOSTS = 8


def build_record(name: str, run: int = 1, incarnation: int = 1, **changes):
    number = name.removeprefix("host-")
    record = MemberRecord(
        HostId(name),
        HOBART,
        f"10.0.0.{number}:1",
        f"10.0.0.{number}:2",
        run,
        Incarnation(incarnation),
    )
    return replace(record, **changes)


def build_network(
    loss: float = 0.0, hosts: int = HOSTS, seed: int = 1
) -> VirtualNetwork:
    network = VirtualNetwork(Random(seed), loss)
    for number in range(hosts):
        network.add_host(number, hosts)
    return network


def list_statuses(network: VirtualNetwork, subject: str) -> set[Status | None]:
    """Return the statuses that the other running hosts have for a host."""
    statuses = set()
    for name, host in network.hosts.items():
        if name not in network.stopped_hosts and name != subject:
            record = host.table.get(HostId(subject))
            statuses.add(record.status if record else None)
    return statuses


def test_hosts_that_know_one_seed_find_each_other():
    network = build_network(loss=0.1)
    first = network.hosts[HostId("host-000")].own
    for host in network.hosts.values():
        host.handle(TableReceived((first,)), 0.0)
    network.run_until(20.0)
    digests = {host.digest for host in network.hosts.values()}
    assert len(digests) == 1
    assert all(len(host.list_live()) == HOSTS - 1 for host in network.hosts.values())


def test_lost_host_is_dead_everywhere_and_returns_at_a_new_address():
    network = build_network()
    network.introduce_all()
    network.run_until(5.0)
    network.stopped_hosts.add(HostId("host-003"))
    network.run_until(20.0)
    assert list_statuses(network, "host-003") == {Status.DEAD}
    old = network.hosts[HostId("host-003")].own
    own = replace(old, run=99, peers="moved", incarnation=Incarnation(7))
    restarted = Membership(own, Random(5), 0.5, network.now)
    network.hosts[own.host] = restarted
    network.stopped_hosts.clear()
    seed = network.hosts[HostId("host-000")]
    network.execute(seed.own.host, seed.handle(TableReceived((own,)), network.now))
    network.run_until(30.0)
    assert list_statuses(network, "host-003") == {Status.ALIVE}
    assert {
        h.table[own.host].peers for h in network.hosts.values() if h is not restarted
    }
    assert len(restarted.list_live()) == HOSTS - 1


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_no_host_is_declared_dead_at_thirty_percent_loss(seed):
    network = build_network(loss=0.3, seed=seed)
    network.introduce_all()
    network.run_until(60.0)
    dead = [item for item in network.changes if item[2].status is Status.DEAD]
    assert dead == []
    assert sum(host.counts["suspected"] for host in network.hosts.values()) > 0


def test_partitions_stay_live_separately_and_merge_after_healing():
    network = build_network()
    network.introduce_all()
    network.run_until(5.0)
    names = list(network.hosts)
    halves = {name: index % 2 for index, name in enumerate(names)}
    network.blocked_links = {
        (one, two) for one in names for two in names if halves[one] != halves[two]
    }
    network.run_until(25.0)
    for name, host in network.hosts.items():
        live = {item.host for item in host.list_live()} | {name}
        assert live == {other for other in names if halves[other] == halves[name]}
    network.blocked_links = set()
    network.run_until(60.0)
    assert all(len(host.list_live()) == HOSTS - 1 for host in network.hosts.values())


def test_leaving_and_bundle_versions_reach_all_hosts_in_three_seconds():
    network = build_network(loss=0.1, hosts=40)
    network.introduce_all()
    network.run_until(5.0)
    one, two = HostId("host-001"), HostId("host-002")
    network.execute(one, network.hosts[one].handle(Leave(), network.now))
    version = BundleVersion(8)
    network.execute(two, network.hosts[two].handle(OwnBundle(version), network.now))
    network.run_until(network.now + 3.0)
    others = [h for name, h in network.hosts.items() if name not in {one, two}]
    assert all(host.table[one].leaving for host in others)
    assert all(host.table[two].bundle == version for host in others)


def build_host(**changes) -> Membership:
    return Membership(build_record("host-1", run=11, incarnation=5), Random(1), 0.5, 0)


def test_wrong_record_of_own_host_is_refuted_once():
    host = build_host()
    host.handle(TableReceived((build_record("host-2"),)), 1.0)
    suspect = replace(host.own, status=Status.SUSPECT, suspected_by=HostId("host-2"))
    sender = Sender(HostId("host-2"), 1, Incarnation(1))
    push = Push(sender, host.own.host, (suspect,))
    actions = host.handle(DatagramReceived(push, "10.0.0.2:2"), 1.0)
    assert host.own.incarnation == 6
    (sent,) = [item for item in actions if isinstance(item, SendDatagram)]
    assert host.own in sent.datagram.deltas
    for _ in range(3):
        host.handle(DatagramReceived(push, "10.0.0.2:2"), 2.0)
    assert host.own.incarnation == 6


def test_repeated_old_datagrams_change_nothing():
    host = build_host()
    old = build_record("host-2", incarnation=3)
    host.handle(TableReceived((build_record("host-2", incarnation=9, bundle=4),)), 1.0)
    before = dict(host.table)
    sender = Sender(HostId("host-3"), 1, Incarnation(1))
    for record in (old, replace(old, status=Status.DEAD), replace(old, run=8)):
        for datagram in (
            Push(sender, host.own.host, (record,)),
            Ack(sender, host.own.host, 7, HostId("host-2"), 0, (record,)),
        ):
            host.handle(DatagramReceived(datagram, "10.0.0.3:2"), 2.0)
    assert host.table == before


def test_wrong_addresses_and_duplicate_names_are_dropped_and_counted():
    host = build_host()
    stranger = Sender(HostId("host-9"), 1, Incarnation(1))
    assert (
        host.handle(
            DatagramReceived(Ping(stranger, HostId("host-4"), 1, 0), "a:1"), 1.0
        )
        == []
    )
    duplicate = Sender(HostId("host-1"), 12, Incarnation(9))
    assert (
        host.handle(DatagramReceived(Ping(duplicate, host.own.host, 1, 0), "a:1"), 1.0)
        == []
    )
    assert host.counts["wrong_address"] == 1
    assert host.counts["duplicate_name"] == 1
    later = build_record("host-1", run=12, incarnation=9)
    actions = host.handle(TableReceived((later,)), 100.0)
    assert actions == [NameTaken(later)]
    assert host.own.incarnation == 5


def test_name_of_an_earlier_process_is_taken_over_at_the_start():
    host = build_host()
    host.handle(TableReceived((build_record("host-1", run=3, incarnation=70),)), 1.0)
    assert host.own.incarnation == 71


def test_own_pause_makes_no_host_suspect():
    host = build_host()
    host.handle(TableReceived((build_record("host-2"), build_record("host-3"))), 0.0)
    for tenth in range(8):
        host.handle(Tick(), tenth / 10)
    for _ in range(2):
        host.handle(Tick(), 60.0)
    assert host.counts["pauses"] == 1
    assert {item.status for item in host.table.values()} == {Status.ALIVE}


def test_host_list_makes_no_host_live_but_is_used_to_join():
    host = build_host()
    actions = host.handle(HostListRead((HostId("host-1"), HostId("host-2"))), 1.0)
    assert actions == [SendTable(HostId("host-2"), wants_reply=True)]
    assert host.table == {}
    (changed, *_) = host.handle(TableReceived((build_record("host-2"),)), 1.0)
    assert isinstance(changed, MemberChanged)
    assert host.handle(HostListRead((HostId("host-2"),)), 2.0) == []


def test_datagrams_stay_within_size_limit_and_round_trip():
    host = Membership(build_record("host-1"), Random(1), 0.5, 0.0)
    everyone = tuple(build_record(f"host-{n}", run=2**32 - 1) for n in range(2, 200))
    actions = host.handle(TableReceived(everyone), 0.0)
    for tenth in range(1, 41):
        actions += host.handle(Tick(), tenth / 10)
    sent = [item.datagram for item in actions if isinstance(item, SendDatagram)]
    assert max(len(encode_datagram(item)) for item in sent) <= MAX_PAYLOAD_BYTES
    assert all(decode_datagram(encode_datagram(item)).unwrap() == item for item in sent)


VALUES = st.recursive(
    st.integers(-(2**63), 2**63 - 1) | st.text(max_size=5) | st.none(),
    lambda inner: st.lists(inner, max_size=8),
    max_leaves=12,
)


@given(st.binary(max_size=200) | VALUES.map(msgpack.packb))
def test_malformed_payload_is_refused_without_exception(payload):
    decoded = decode_datagram(payload)
    assert decoded.is_err() or isinstance(decoded.unwrap().sender, Sender)


ENGINE = TargetId("engine-1")


def test_target_is_leaving_until_every_source_withdraws_its_mark():
    marks = LeavingMarks(1000.0)
    marks.apply_host_list([ENGINE], [], 0.0)
    marks.record_leaving_answer(ENGINE, 1.0)
    marks.apply_order(ENGINE, True, 2.0)
    marks.apply_host_list([], [ENGINE], 3.0)
    assert marks.list_leaving(3.0) == {ENGINE}
    marks.apply_order(ENGINE, False, 4.0)
    assert marks.list_leaving(4.0) == {ENGINE}
    assert marks.list_leaving_by_answer(4.0) == [ENGINE]
    marks.record_staying_answer(ENGINE, 5.0)
    assert marks.list_leaving(5.0) == frozenset()


def test_lagging_host_list_does_not_withdraw_an_answer():
    marks = LeavingMarks(1000.0)
    marks.record_leaving_answer(ENGINE, 1.0)
    assert marks.apply_host_list([], [ENGINE], 2.0) == []
    assert marks.list_leaving(2.0) == {ENGINE}
    assert marks.list_leaving(1.0 + MARK_TTL_SECONDS[MarkSource.ANSWER]) == frozenset()


def test_concurrent_marks_converge_on_both_hosts():
    one, two = LeavingMarks(1000.0), LeavingMarks(1000.0)
    drained = one.apply_order(ENGINE, True, 0.0)
    withdrawn = two.apply_order(ENGINE, False, 0.0)
    assert one.merge(withdrawn, 0.1) == []
    assert two.merge(drained, 0.1) == drained
    assert one.list_leaving(0.2) == two.list_leaving(0.2) == {ENGINE}
    late = TargetMark(ENGINE, MarkSource.ORDER, 1, False, 1e9)
    assert one.merge([late], 0.3) == []
    assert two.merge(one.apply_order(ENGINE, False, 0.4), 0.4) != []
    assert one.list_leaving(0.5) == two.list_leaving(0.5) == frozenset()
