"""What a relay sends to the other hosts: changes at once, loads only as summaries."""

import random
from collections import Counter
from types import SimpleNamespace

from marigoldswitch.core.catalogue import Target
from marigoldswitch.core.gateway_messages import LoadDigest, LoadSummary
from marigoldswitch.core.ids import DataCentre, HostId, ServiceName, TargetId
from marigoldswitch.core.loads import Loads, Usage
from marigoldswitch.core.loans import LoanBook
from marigoldswitch.core.registry import TargetRow
from marigoldswitch.core.send_limits import SendLimits
from marigoldswitch.core.suspects import Finding
from marigoldswitch.gateway.directory import Directory
from marigoldswitch.gateway.spread import DigestExchange
from marigoldswitch.gateway.statements import TargetStatements

HOME = DataCentre("north")
FAR = DataCentre("south")
HOSTS = [HostId(f"10.1.0.{number}:80") for number in range(10, 20)]
TARGET = TargetId("i-1")


class SimulatedHost:
    """One of ten hosts of a data centre, the lead relay by default.

    :ivar sent: the messages that it sends, with their recipients.
    :ivar checked: the targets that it probes.
    """

    def __init__(self, own=HOSTS[0]):
        self.now = 0.0
        self.sent = []
        self.checked = []
        self.loads = Loads(HOME)
        self.loans = LoanBook(1)
        self.contact = SimpleNamespace(is_lost=False)
        clock = SimpleNamespace(monotonic=lambda: self.now)
        network = SimpleNamespace(
            register=lambda kind, handler: None,
            send=lambda host, message: self.sent.append((host, message)),
        )
        feed = SimpleNamespace(revision=0, dependency=SimpleNamespace(is_lost=False))
        limits = SendLimits(HOME, lambda: len(HOSTS), random.Random(1))
        self.directory = Directory(TargetStatements(limits))
        parts = SimpleNamespace(
            clock=clock,
            network=network,
            directory=self.directory,
            loads=self.loads,
            loans=self.loans,
            planner=SimpleNamespace(slowness={}),
            probes=SimpleNamespace(check_in_background=self.checked.append),
            crashes=SimpleNamespace(checksum=0, send_pending_notes=lambda: None),
            feeds=None,
            configuration=feed,
            targets=feed,
            identity=SimpleNamespace(host=own, data_centre=HOME, strength=0),
            contact=self.contact,
            proxy_port=0,
            source=random.Random(1),
        )
        self.spread = DigestExchange(parts)

    def run_ticks(self, seconds):
        """Tick for some seconds, with digests from the others and a growing load.

        :return: the number of messages sent, by recipient and type.
        """
        self.sent = []
        for _ in range(round(seconds / 0.1)):
            self.now += 0.1
            for host in HOSTS[1:]:
                self.spread._handle_digest(host, LoadDigest(HOME, 0, 0))
            self.loads.hold(TARGET, Usage(1, 10))
            self.spread.tick()
        return Counter((host, type(message)) for host, message in self.sent)


def test_hosts_that_do_not_relay_get_summaries_and_few_digests():
    relay = SimulatedHost()
    relay.run_ticks(0.5)
    sent = relay.run_ticks(2.0)
    assert sent[HOSTS[9], LoadDigest] <= 6
    assert 9 <= sent[HOSTS[9], LoadSummary] <= 11
    assert sent[HOSTS[1], LoadDigest] >= 9


def test_summary_includes_usage_of_relay_and_digests_to_others_carry_none():
    relay = SimulatedHost()
    relay.run_ticks(1.0)
    to_other = [message for host, message in relay.sent if host == HOSTS[9]]
    summaries = [item for item in to_other if isinstance(item, LoadSummary)]
    assert summaries[-1].usages[0].usages[0].requests >= 8
    assert all(not item.usages for item in to_other if isinstance(item, LoadDigest))


def test_new_revision_is_sent_to_all_hosts_at_once():
    relay = SimulatedHost()
    relay.run_ticks(1.0)
    relay.directory.registry.revision = 7
    sent = relay.run_ticks(0.2)
    assert all(sent[host, LoadDigest] >= 1 for host in HOSTS[1:])


def test_work_of_a_digest_does_not_grow_with_the_square_of_the_hosts(monkeypatch):
    """The relays are worked out once per digest, not once per recipient.

    Otherwise a relay of 30 hosts lists its peers 400 times a second, which takes 6 % of
    its processor time.
    """

    def count_lists(hosts):
        relay = SimulatedHost()
        for number in range(hosts):
            host = HostId(f"10.1.1.{number}:80")
            relay.spread._handle_digest(host, LoadDigest(HOME, 0, 0))
        lists = []
        list_ages = relay.spread.roster.list_ages
        monkeypatch.setattr(
            relay.spread.roster, "list_ages", lambda: lists.append(1) or list_ages()
        )
        relay.now += 1.0
        relay.spread.tick()
        return len(lists)

    assert count_lists(40) == count_lists(10)


def list_probed_engines(host):
    """Return the engines that a host probes when a relay reports them dead."""
    for centre in (HOME, FAR):
        name = TargetId(f"engine-{centre}")
        target = Target(name, ServiceName("m"), centre, f"{centre}:1", 1, None, "card")
        host.directory.registry.put(TargetRow(target, False, 1), 0.0)
    for other in HOSTS[:9]:
        host.spread._handle_digest(other, LoadDigest(HOME, 0, 0))
    digest = LoadDigest(HOME, 0, 0, dead=("engine-north", "engine-south"))
    host.spread._handle_digest(HOSTS[1], digest)
    return {item.id for item in host.checked}


def test_hosts_probe_only_dead_engines_that_they_or_their_recipients_use():
    """Guards against probes by every host of every dead engine.

    With 195 hosts in five data centres, each engine that died cost 195 first probes, of
    which only 39 came from its own data centre: 3.9 probes a request on a day of
    releases and crashes.
    """
    assert list_probed_engines(SimulatedHost(HOSTS[9])) == {"engine-north"}
    using = SimulatedHost(HOSTS[9])
    using.loads.hold(TargetId("engine-south"), Usage(1, 10))
    assert list_probed_engines(using) == {"engine-north", "engine-south"}
    relay = SimulatedHost(HostId("10.1.0.0:80"))
    assert list_probed_engines(relay) == {"engine-north", "engine-south"}


def test_host_that_orders_the_engines_probes_all_dead_ones():
    orderer = SimulatedHost(HOSTS[9])
    orderer.spread.lease = SimpleNamespace(holds=True, get_held_row=lambda: None)
    assert list_probed_engines(orderer) == {"engine-north", "engine-south"}


def test_host_that_reaches_no_target_reports_none_as_dead():
    host = SimulatedHost()
    host.run_ticks(0.5)
    host.directory.suspects.note(TARGET, Finding.DEAD, host.now)
    assert host.spread._build_digest().dead == (TARGET,)
    host.contact.is_lost = True
    digest = host.spread._build_digest()
    assert digest.dead == () and digest.is_cut_off
