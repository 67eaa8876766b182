"""Exchange of notes on requests that crash targets, on a virtual clock."""

import random
from collections import Counter
from types import SimpleNamespace

import pytest

from marigoldswitch.core.crashes import InterruptedRequest, TargetRun
from marigoldswitch.core.gateway_messages import CrashNotes, GatewayMessage
from marigoldswitch.core.ids import DataCentre, HostId
from marigoldswitch.core.loads import Loads
from marigoldswitch.core.loans import LoanBook
from marigoldswitch.gateway.crashes import CrashWatch
from marigoldswitch.gateway.directory import Directory
from marigoldswitch.gateway.ports import HostRecord
from marigoldswitch.gateway.spread import DigestExchange
from marigoldswitch.wire import MessageCodec

CENTRES = ("north", "south", "west")
TICK_SECONDS = 0.1
DELIVERY_SECONDS = 0.02


class SimulatedNetwork:
    """Hosts of three data centres on a network that loses nothing.

    :ivar partitioned: hosts that are cut off from all others.
    :ivar note_bytes: bytes of crash notes that each host has sent.
    """

    def __init__(self, hosts_per_centre):
        self.now = 0.0
        self.queue = []
        self.partitioned = set()
        self.sent = Counter()
        self.note_bytes = Counter()
        self.exchanges, self.watches = {}, {}
        self._codec = MessageCodec(GatewayMessage)
        self._handlers = {}
        self._clock = SimpleNamespace(monotonic=lambda: self.now)
        self.names = [
            (HostId(f"10.{index + 1}.0.{number}:80"), DataCentre(centre))
            for index, centre in enumerate(CENTRES)
            for number in range(10, 10 + hosts_per_centre)
        ]
        for own, centre in self.names:
            self.start_host(own, centre)

    def start_host(self, own, centre):
        """Start or restart a host, without any state."""
        handlers = self._handlers[own] = {}
        network = SimpleNamespace(
            register=handlers.__setitem__,
            send=lambda host, message: self._send(own, host, message),
        )
        feed = SimpleNamespace(revision=0, dependency=SimpleNamespace(is_lost=False))
        directory = Directory()
        watch = CrashWatch(self._clock, directory, None)
        parts = SimpleNamespace(
            clock=self._clock,
            network=network,
            directory=directory,
            loads=Loads(centre),
            loans=LoanBook(1),
            planner=SimpleNamespace(slowness={}),
            probes=None,
            crashes=watch,
            feeds=None,
            configuration=feed,
            targets=feed,
            identity=SimpleNamespace(host=own, data_centre=centre, strength=0),
            contact=SimpleNamespace(is_lost=False),
            proxy_port=0,
            source=random.Random(str(own)),
        )
        self.exchanges[own], self.watches[own] = DigestExchange(parts), watch
        for other, place in self.names:
            self.exchanges[own].add_peer(HostRecord(other, place))
        self.exchanges[own].roster.has_host_list = True
        self.exchanges[own].announce()

    def _send(self, own, host, message):
        if own in self.partitioned or host in self.partitioned:
            return
        content = self._codec.encode(message)
        self.sent[type(message)] += 1
        if isinstance(message, CrashNotes):
            self.note_bytes[own] += len(content)
        self.queue.append((self.now + DELIVERY_SECONDS, own, host, content))

    def run_for(self, seconds):
        """Deliver messages, encoded and decoded, and tick all hosts."""
        end = self.now + seconds
        while self.now < end:
            self.now += DELIVERY_SECONDS
            due = [item for item in self.queue if item[0] <= self.now]
            self.queue = [item for item in self.queue if item[0] > self.now]
            for _, sender, host, content in due:
                message = self._codec.decode(content).unwrap()
                handler = self._handlers[host].get(type(message))
                if handler is not None and host not in self.partitioned:
                    handler(sender, message)
            if (
                round(self.now / DELIVERY_SECONDS)
                % round(TICK_SECONDS / DELIVERY_SECONDS)
                == 0
            ):
                for spread in self.exchanges.values():
                    spread.tick()

    def report_crash(self, host, number, name="bad"):
        """Have a host observe that a request has crashed a target."""
        watch = self.watches[host]
        cut = [InterruptedRequest(name, None, False)]
        watch._ledger.note_crash(TargetRun(f"engine-{number}", 1), cut, self.now)
        watch._send_if_urgent()

    def list_without_hold(self, name="bad"):
        return [
            host for host, watch in self.watches.items() if not watch.find_hold(name)
        ]


@pytest.mark.parametrize("hosts_per_centre", [3, 20])
def test_all_hosts_hold_a_request_that_two_hosts_saw_crash_targets(hosts_per_centre):
    hosts = SimulatedNetwork(hosts_per_centre)
    hosts.run_for(3.0)
    hosts.report_crash(hosts.names[1][0], 1)
    hosts.report_crash(hosts.names[-1][0], 2)
    hosts.run_for(1.0)
    assert not hosts.list_without_hold()


@pytest.mark.parametrize("hosts_per_centre", [3, 20])
def test_hosts_that_were_cut_off_or_restart_receive_the_hold(hosts_per_centre):
    hosts = SimulatedNetwork(hosts_per_centre)
    hosts.run_for(3.0)
    cut_off = [hosts.names[0][0], hosts.names[-1][0]]
    hosts.partitioned = set(cut_off)
    for number in (1, 2):
        hosts.report_crash(hosts.names[1][0], number)
    hosts.run_for(5.0)
    assert set(hosts.list_without_hold()) == set(cut_off)
    hosts.partitioned = set()
    restarted, centre = hosts.names[2]
    hosts.start_host(restarted, centre)
    hosts.run_for(3.0)
    assert not hosts.list_without_hold()


def test_no_crash_notes_are_sent_when_no_target_has_ended():
    hosts = SimulatedNetwork(5)
    hosts.run_for(5.0)
    assert hosts.sent[CrashNotes] == 0


@pytest.mark.parametrize("hosts_per_centre", [5, 20])
def test_no_more_notes_are_sent_once_all_hosts_have_the_same(hosts_per_centre):
    hosts = SimulatedNetwork(hosts_per_centre)
    hosts.run_for(3.0)
    for number in (1, 2):
        hosts.report_crash(hosts.names[1][0], number)
    hosts.run_for(5.0)
    hosts.sent.clear()
    hosts.run_for(5.0)
    assert hosts.sent[CrashNotes] == 0


@pytest.mark.parametrize("hosts_per_centre", [3, 20])
def test_notes_on_the_loss_of_a_rack_take_few_bytes(hosts_per_centre):
    """Thirty targets end, each with requests of a third of the hosts.

    A host may spend 2 KB/s on control traffic. A rack is lost every month or two, so
    the limit is what is allowed for a minute.
    """
    hosts = SimulatedNetwork(hosts_per_centre)
    hosts.run_for(3.0)
    for number in range(30):
        for index, (host, _) in enumerate(hosts.names):
            if (index + number) % 3 == 0:
                hosts.report_crash(host, number, f"r-{number}-{index}")
        hosts.run_for(0.1)
    hosts.run_for(5.0)
    assert sum(hosts.note_bytes.values()) <= len(hosts.names) * 60 * 2_000
