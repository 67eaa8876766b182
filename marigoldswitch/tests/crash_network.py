"""Test fixture: the exchange of crash notes between hosts, on a virtual clock."""

import random
from collections import Counter
from types import SimpleNamespace

from marigoldswitch.core.crash_messages import CrashNotes
from marigoldswitch.core.gateway_messages import GatewayMessage
from marigoldswitch.core.ids import DataCentre, HostId
from marigoldswitch.core.interruptions import InterruptedRequest, TargetRun
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
        self._clock = SimpleNamespace(monotonic=lambda: self.now, wall=lambda: self.now)
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
            services=SimpleNamespace(is_doubted=lambda _: False),
            proxy_port=0,
            source=random.Random(str(own)),
        )
        self.exchanges[own], self.watches[own] = DigestExchange(parts), watch
        for other, place in self.names:
            self.exchanges[own].add_peer(HostRecord(other, place))
        self.exchanges[own].roster.has_host_list = True
        self.exchanges[own].roster.knows_members = True
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
        cut = [InterruptedRequest(name, None, False)]
        self.report_interruptions(host, TargetRun(f"engine-{number}", 1), cut)

    def report_interruptions(self, host, run, requests):
        """Have a host observe which of its requests a crash has interrupted."""
        watch = self.watches[host]
        run = watch._runs.identify(run, self.now)
        watch._note_end(run, requests, self.now)

    def list_without_hold(self, name="bad"):
        return [
            host for host, watch in self.watches.items() if not watch.find_hold(name)
        ]
