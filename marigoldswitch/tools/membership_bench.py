"""Measures membership: detection, false positives, bytes and CPU a second a host.

The core objects run on a virtual clock over an in-memory network that loses datagrams;
nothing of the network but delay and loss is played.
"""

import heapq
import itertools
import statistics
import sys
import time
from dataclasses import dataclass, field
from random import Random

import defopt

from marigoldswitch.core.datagrams import (
    MemberRecord,
    Status,
    decode_datagram,
    encode_datagram,
)
from marigoldswitch.core.ids import DataCentre, HostId, Incarnation
from marigoldswitch.core.member_events import (
    Action,
    Changed,
    Heard,
    Introduce,
    Introduced,
    Leave,
    SendDatagram,
    Tick,
)
from marigoldswitch.core.membership import Membership
from marigoldswitch.gossip import TICKS_A_PERIOD
from marigoldswitch.peers import seal, unseal

PERIOD = 0.5
DELAY = 0.0005
DATA_CENTRES = 7
OVERHEAD_BYTES = 32 + 28
"""Code of the datagram, and its UDP and IP headers."""
SECRET = b"for-measuring"
CUT_SECONDS = 40.0
HEAL_SECONDS = 60.0
BYTES_BUDGET = 2048.0
CPU_BUDGET = 0.012


@dataclass(slots=True)
class Network:
    """Hosts by name, and the events between them in order of time.

    :param loss: share of datagrams lost.
    """

    random: Random
    loss: float
    now: float = 0.0
    hosts: dict[HostId, Membership] = field(default_factory=dict)
    down: set[HostId] = field(default_factory=set)
    cut: set[tuple[HostId, HostId]] = field(default_factory=set)
    sent: int = 0
    remote: int = 0
    changes: list[tuple[float, HostId, MemberRecord]] = field(default_factory=list)
    _events: list[tuple[float, int, HostId, object]] = field(default_factory=list)
    _numbers: "itertools.count[int]" = field(default_factory=itertools.count)

    def add(self, number: int, hosts: int) -> None:
        """Add one host."""
        centre = DataCentre(f"dc-{number % min(DATA_CENTRES, max(1, hosts // 4))}")
        name = HostId(f"host-{number:03}")
        own = MemberRecord(
            name, centre, f"10.0.0.{number}:8401", name, number, Incarnation(1)
        )
        random = Random(self.random.random())
        self.hosts[name] = Membership(own, random, PERIOD, self.now)
        self.plan(self.now + self.random.random() * PERIOD, name, Tick())

    def fill_tables(self) -> None:
        """Let every host know all others."""
        records = tuple(item.own for item in self.hosts.values())
        for host in self.hosts.values():
            host.handle(Introduced(records), self.now)

    def plan(self, instant: float, host: HostId, event: object) -> None:
        """Let an event come to a host at an instant."""
        heapq.heappush(self._events, (instant, next(self._numbers), host, event))

    def run(self, until: float) -> None:
        """Let time pass."""
        while self._events and self._events[0][0] <= until:
            self.now, _, name, event = heapq.heappop(self._events)
            if isinstance(event, Tick):
                self.plan(self.now + PERIOD / TICKS_A_PERIOD, name, event)
            if name in self.down:
                continue
            if isinstance(event, bytes):
                event = self._receive(event)
            actions = self.hosts[name].handle(event, self.now)  # type: ignore[arg-type]
            self.carry(name, actions)
        self.now = until

    def carry(self, name: HostId, actions: list[Action]) -> None:
        """Carry out what a host asks for."""
        for action in actions:
            match action:
                case SendDatagram():
                    self._send(name, action)
                case Introduce(host=host) if (name, host) not in self.cut:
                    table = self.hosts[name].export()
                    self.sent += len(table) * 110
                    self.plan(self.now + DELAY, host, Introduced(table))
                case Changed(record=record):
                    self.changes.append((self.now, name, record))

    def _send(self, name: HostId, action: SendDatagram) -> None:
        payload = encode_datagram(action.datagram)
        self.sent += len(payload) + OVERHEAD_BYTES
        receiver = HostId(action.address)
        centre = self.hosts[name].own.data_centre
        if self.hosts[receiver].own.data_centre != centre:
            self.remote += len(payload) + OVERHEAD_BYTES
        if (name, receiver) in self.cut:
            return
        if self.random.random() >= self.loss:
            sealed = seal(SECRET, payload) + name.encode() + b"\0" + payload
            self.plan(self.now + DELAY, receiver, sealed)

    def _receive(self, sealed: bytes) -> Heard:
        address, _, payload = sealed[32:].partition(b"\0")
        assert unseal([SECRET], sealed[:32], payload)
        return Heard(decode_datagram(payload).unwrap(), address.decode())


@dataclass(frozen=True, slots=True)
class Result:
    """What one run gave."""

    hosts: int
    loss: float
    sent: float
    remote: float
    cpu: float
    false_dead: int
    suspected: int
    detected: list[float]
    everywhere: list[float]
    leave: float
    heal: float


def measure(hosts: int, loss: float, seconds: float, seed: int) -> Result:
    """Measure a quiet stretch, then deaths, a leave, and a cut that heals."""
    network = Network(Random(seed), loss)
    for number in range(hosts):
        network.add(number, hosts)
    network.fill_tables()
    network.run(10.0)
    sent, remote, began = network.sent, network.remote, time.process_time()
    network.changes.clear()
    network.run(network.now + seconds)
    cpu = time.process_time() - began
    share = hosts * seconds
    false_dead = sum(item.status is Status.DEAD for _, _, item in network.changes)
    suspected = sum(item.counts["suspected"] for item in network.hosts.values())
    sent, remote = network.sent - sent, network.remote - remote
    detected, everywhere = _kill_some(network)
    leave = _leave_one(network)
    heal = _cut_and_heal(network)
    return Result(
        hosts,
        loss,
        sent / share,
        remote / share,
        cpu / share,
        false_dead,
        suspected,
        detected,
        everywhere,
        leave,
        heal,
    )


def _kill_some(network: Network) -> tuple[list[float], list[float]]:
    """Kill three hosts; return seconds to the first and to the last that knows."""
    first, last = [], []
    for victim in list(network.hosts)[:3]:
        network.changes.clear()
        network.down.add(victim)
        began = network.now
        network.run(began + 30.0)
        known: dict[HostId, float] = {}
        for instant, host, record in network.changes:
            if record.host == victim and record.status is Status.DEAD:
                known.setdefault(host, instant - began)
        alive = set(network.hosts) - network.down
        first.append(min(known.values(), default=float("inf")))
        whole = alive <= set(known)
        last.append(max(known.values()) if whole else float("inf"))
    return first, last


def _leave_one(network: Network) -> float:
    """Let a host leave; return the seconds until all know."""
    leaver = list(network.hosts)[-1]
    network.changes.clear()
    began = network.now
    network.carry(leaver, network.hosts[leaver].handle(Leave(), began))
    network.run(began + 20.0)
    known = {
        host: instant - began
        for instant, host, record in reversed(network.changes)
        if record.host == leaver and record.leaving
    }
    whole = set(network.hosts) - network.down <= set(known)
    return max(known.values()) if whole else float("inf")


def _cut_and_heal(network: Network) -> float:
    """Cut one data centre off until it is lost; return the seconds to normal."""
    live = [name for name in network.hosts if name not in network.down]
    centres = {name: network.hosts[name].own.data_centre for name in live}
    alone = min(centres.values())
    network.cut = {
        (one, two)
        for one in live
        for two in live
        if (centres[one] == alone) != (centres[two] == alone)
    }
    network.run(network.now + CUT_SECONDS)
    network.cut = set()
    began = network.now
    while network.now - began < HEAL_SECONDS:
        network.run(network.now + 0.1)
        tables = (network.hosts[name].list_live() for name in live)
        if all(len(table) == len(live) - 1 for table in tables):
            return network.now - began
    return float("inf")


def report(
    *, sizes: list[int] | None = None, seconds: float = 60.0, seed: int = 1
) -> int:
    """Measure and print a table.

    :param sizes: numbers of hosts.
    :param seconds: virtual seconds of the quiet stretch.
    :param seed: seed of loss and probe order.
    """
    print(
        "hosts loss  B/s  remote B/s  core %  false  suspected  detect s"
        "  all s  leave  heal s"
    )
    fits = True
    for hosts in sizes or [8, 57, 400]:
        for loss in (0.0, 0.3):
            stretch = seconds * min(1.0, 57 / hosts)
            found = measure(hosts, loss, stretch, seed)
            print(
                f"{hosts:5} {loss:4.1f} {found.sent:4.0f} {found.remote:11.0f}"
                f" {found.cpu * 100:7.3f} {found.false_dead:6} {found.suspected:10}"
                f" {statistics.median(found.detected):9.1f}"
                f" {max(found.everywhere):6.1f} {found.leave:6.2f}"
                f" {found.heal:7.1f}",
                flush=True,
            )
            fits &= found.sent <= BYTES_BUDGET and found.cpu <= CPU_BUDGET
    return 0 if fits else 1


def main() -> None:
    """Entry point."""
    sys.exit(defopt.run(report))


if __name__ == "__main__":
    main()
