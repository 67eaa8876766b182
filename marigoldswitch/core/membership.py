"""Which hosts are live, by SWIM: probes, indirect probes, suspicion, refutation.

Load it answers: every host must learn of a lost one within seconds, at any number of
hosts and for a fixed cost each. Heartbeats from all to all would cost a host at 400
hosts hundreds of datagrams a second; the host list lags and can be out.

Deterministic: an event and an instant in, actions out; the generator is passed in.
"""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from random import Random

from marigoldswitch.core.broadcasts import Broadcasts
from marigoldswitch.core.datagrams import (
    MAX_PAYLOAD_BYTES,
    Ack,
    Datagram,
    Delta,
    MemberRecord,
    Ping,
    PingRequest,
    Push,
    Sender,
    Status,
    TargetMark,
    measure_delta,
)
from marigoldswitch.core.host_table import HostTable, Taken, digest_record
from marigoldswitch.core.ids import HostId, Incarnation
from marigoldswitch.core.introductions import Introductions
from marigoldswitch.core.member_events import (
    Action,
    Changed,
    Event,
    Heard,
    Introduce,
    Introduced,
    Leave,
    Listed,
    MarksHeard,
    NameTaken,
    OwnBundle,
    Seeds,
    SendDatagram,
    Spread,
    Tick,
)
from marigoldswitch.core.probes import (
    Probe,
    ProbeOrder,
    Probes,
    Relay,
    split_by_centre,
)
from marigoldswitch.core.pushes import choose_receivers, is_urgent

HELPERS = 3
"""Hosts asked for an indirect probe; with 30 % loss one in two of them gets through."""
ACK_SHARE = 0.4
"""Part of a period after which a probe without an answer is tried again."""
PROBE_PERIODS = 2.0
"""Periods after which a probe without an answer makes a suspect: four direct pings and
two rounds of indirect ones, which at 30 % loss all fail in one probe of a hundred."""
LOST_EVERY = 4
"""Every so many periods a lost host is tried, so that a healed cut is noticed."""
JOINING_PERIODS = 20.0
"""Periods after the start in which an older process of our name is overtaken."""
HEADER_BYTES = 160
"""Room for a datagram's own fields."""


@dataclass(slots=True)
class Membership:
    """The table of hosts and the probes that keep it right.

    :param period: seconds between two probes of this host.
    :param started: instant of the start, in monotonic seconds.
    """

    own: MemberRecord
    random: Random
    period: float
    started: float
    counts: Counter[str] = field(default_factory=Counter)
    _hosts: HostTable = field(default_factory=HostTable)
    _broadcasts: Broadcasts = field(default_factory=Broadcasts)
    _probes: Probes = field(default_factory=Probes)
    _order: ProbeOrder = field(default_factory=ProbeOrder)
    _seeds: tuple[str, ...] = ()
    _introductions: Introductions = field(default_factory=Introductions)
    _last_tick: float = 0.0
    _next_probe: float = 0.0
    _periods: int = 0

    def __post_init__(self) -> None:
        self._last_tick = self.started
        self._next_probe = self.started + self.random.random() * self.period
        self._probes.number = self.random.getrandbits(31)
        self._broadcasts.add(self.own)

    def handle(self, event: Event, now: float) -> list[Action]:
        """Take one event and return what to do.

        :param now: monotonic seconds.
        """
        match event:
            case Tick():
                return self._pass_time(now)
            case Heard(datagram=datagram, address=address):
                return self._hear(datagram, address, now)
            case Seeds(addresses=addresses):
                self._seeds = addresses
                return self._ping_seeds(now)
            case Listed(hosts=hosts):
                return self._meet_listed(hosts)
            case Introduced(members=members):
                return self._take_records(members, now)
            case OwnBundle(version=version):
                return self._change_own(now, bundle=version)
            case Leave(gone=gone):
                status = Status.LEFT if gone else Status.ALIVE
                return self._change_own(now, leaving=True, status=status)
            case Spread(marks=marks, ours=ours):
                return self._push_urgent(marks, is_ours=ours)

    @property
    def table(self) -> dict[HostId, MemberRecord]:
        """Return the newest record of each other host."""
        return self._hosts.records

    def list_live(self) -> list[MemberRecord]:
        """Return the other hosts that count as live."""
        return self._hosts.list_live()

    def export(self) -> tuple[MemberRecord, ...]:
        """Return the whole table with this host first."""
        return (self.own, *self.table.values())

    @property
    def digest(self) -> int:
        """Return a digest of the live hosts, the same for equal tables."""
        return self._hosts.digest ^ digest_record(self.own)

    # Time.

    def _pass_time(self, now: float) -> list[Action]:
        late = now - self._last_tick - self.period
        self._last_tick = now
        if late > 0.0:
            self._excuse_pause(late + self.period)
        actions = self._follow_probes(now)
        actions += self._bury_suspects(now)
        if now >= self._next_probe:
            self._next_probe = max(self._next_probe + self.period, now)
            self._periods += 1
            actions += self._start_period(now)
        return actions

    def _excuse_pause(self, seconds: float) -> None:
        """Hold nobody's silence against it while this process itself was paused."""
        self.counts["pauses"] += 1
        self._probes.clear()
        self._hosts.excuse(seconds)

    def _start_period(self, now: float) -> list[Action]:
        actions: list[Action] = []
        suspicions = self._hosts.suspicions
        probed = [host for host, item in suspicions.items() if item.probed]
        target = self._order.choose(self.own, self.list_live(), self.random)
        if target is not None and target not in probed:
            actions += self._probe(target, now)
        for host in probed:
            actions.append(self._ping(self.table[host], self._probes.take_number()))
        if self._periods % LOST_EVERY == 0:
            actions += self._try_lost(now)
        return actions

    def _probe(self, host: HostId, now: float) -> list[Action]:
        number = self._probes.begin(host, now)
        return [self._ping(self.table[host], number)]

    def _try_lost(self, now: float) -> list[Action]:
        self._hosts.forget(now)
        lost = self._hosts.list_lost()
        actions: list[Action] = []
        if lost:
            record = self.random.choice(lost)
            actions.append(self._ping(record, self._probes.take_number()))
        return actions + self._ping_seeds(now)

    def _ping_seeds(self, now: float) -> list[Action]:
        known = {item.gossip for item in self.list_live()} | {self.own.gossip}
        number = self._probes.take_number()
        actions: list[Action] = []
        for address in self._seeds:
            if address not in known:
                ping = Ping(self._sender(), HostId(""), number, self.digest)
                ping = replace(ping, deltas=(self.own,))
                actions.append(SendDatagram(HostId(""), address, ping))
        return actions

    def _follow_probes(self, now: float) -> list[Action]:
        actions: list[Action] = []
        for probe in self._probes.list_silent(now, ACK_SHARE * self.period):
            actions += self._probe_again(probe)
        for probe in self._probes.take_failed(now - PROBE_PERIODS * self.period):
            record = self.table.get(probe.host)
            if record is not None and record.is_live:
                actions += self._suspect(record, now)
        return actions

    def _probe_again(self, probe: Probe) -> list[Action]:
        """Ping once more, every other time through other hosts as well."""
        record = self.table.get(probe.host)
        if record is None:
            return []
        actions: list[Action] = [self._ping(record, probe.number)]
        if probe.tries % 2 == 1:
            return actions
        others = [item for item in self.list_live() if item.host != probe.host]
        for helper in self.random.sample(others, min(HELPERS, len(others))):
            request = PingRequest(
                self._sender(), helper.host, probe.number, record.host, record.gossip
            )
            actions.append(self._send(helper, request))
        return actions

    def _suspect(self, record: MemberRecord, now: float) -> list[Action]:
        self.counts["suspected"] += 1
        known = self._hosts.suspicions.get(record.host)
        if known is not None:
            known.probed = True
            if self.own.host in known.confirmers:
                return []
        suspect = replace(record, status=Status.SUSPECT, suspected_by=self.own.host)
        actions = self._take_record(suspect, now)
        self._hosts.suspicions[record.host].probed = True
        return actions

    def _bury_suspects(self, now: float) -> list[Action]:
        if not self._hosts.suspicions:
            return []
        dead = self._hosts.list_overdue(now, self.period)
        self.counts["found_dead"] += len(dead)
        return self._take_records(dead, now)

    # Datagrams.

    def _hear(self, datagram: Datagram, address: str, now: float) -> list[Action]:
        sender = datagram.sender
        if sender.host == self.own.host and sender.run != self.own.run:
            self.counts["duplicate_name"] += 1
            return []
        if datagram.to not in {self.own.host, ""}:
            self.counts["wrong_address"] += 1
            return []
        known = self.table.get(sender.host)
        stale = (
            known is not None
            and known.run != sender.run
            and known.incarnation > sender.incarnation
        )
        if stale:
            self.counts["duplicate_name"] += 1
            deltas: tuple[Delta, ...] = ()
        else:
            deltas = datagram.deltas
        actions = self._take_deltas(deltas, now)
        match datagram:
            case Ping(number=number):
                actions.append(self._answer(datagram, number, address))
            case PingRequest():
                actions += self._help(datagram, address, now)
            case Ack():
                actions += self._take_ack(datagram, now)
            case Push():
                pass
        return actions

    def _take_deltas(self, deltas: Iterable[Delta], now: float) -> list[Action]:
        records = [item for item in deltas if isinstance(item, MemberRecord)]
        marks = tuple(item for item in deltas if isinstance(item, TargetMark))
        actions = self._take_records(records, now)
        if marks:
            actions.append(MarksHeard(marks))
        return actions

    def _answer(self, ping: Ping, number: int, address: str) -> SendDatagram:
        host = ping.sender.host
        ack = Ack(self._sender(), host, number, self.own.host, self.digest)
        first: tuple[Delta, ...] = () if host in self.table else (self.own,)
        known = self.table.get(host)
        if known is not None and (not known.is_live or known.run != ping.sender.run):
            first = (known,)
        return SendDatagram(host, address, self._fill(ack, first))

    def _help(self, request: PingRequest, address: str, now: float) -> list[Action]:
        relay = Relay(request.sender.host, address, request.number)
        number = self._probes.relay(relay, now)
        ping = Ping(self._sender(), request.target, number, self.digest)
        return [SendDatagram(request.target, request.address, self._fill(ping))]

    def _take_ack(self, ack: Ack, now: float) -> list[Action]:
        relay = self._probes.take_relay(ack.number)
        if relay is not None:
            passed = Ack(self._sender(), relay.host, relay.number, ack.about, 0)
            return [SendDatagram(relay.host, relay.address, self._fill(passed))]
        self._probes.answer(ack.number)
        if ack.about != ack.sender.host or ack.digest == self.digest:
            return []
        return self._sync(ack.sender.host, now)

    def _sync(self, host: HostId, now: float) -> list[Action]:
        """Exchange whole tables where the digests differ, but not too often."""
        hosts = len(self.table) + 1
        if host not in self.table or not self._introductions.may_sync(hosts, now):
            return []
        self.counts["syncs"] += 1
        return [Introduce(host, wants_reply=True)]

    def _meet_listed(self, hosts: tuple[HostId, ...]) -> list[Action]:
        others = [host for host in hosts if host != self.own.host]
        chosen = self._introductions.choose(others, self.table, self.random)
        return [Introduce(host, wants_reply=True) for host in chosen]

    # The table.

    def _take_records(
        self, records: Iterable[MemberRecord], now: float
    ) -> list[Action]:
        actions: list[Action] = []
        for record in records:
            actions += self._take_record(record, now)
        return actions

    def _take_record(self, record: MemberRecord, now: float) -> list[Action]:
        if record.host == self.own.host:
            return self._defend(record, now)
        known = self.table.get(record.host)
        match self._hosts.take(record, now):
            case Taken.STORED if is_urgent(record, known):
                return [Changed(record), *self._push_urgent((record,))]
            case Taken.STORED:
                self._broadcasts.add(record)
                return [Changed(record)]
            case Taken.CONFIRMED:
                self._broadcasts.add(record)
            case Taken.OLD_RUN:
                self.counts["old_run"] += 1
        return []

    def _defend(self, record: MemberRecord, now: float) -> list[Action]:
        """Refute what others say of this host where it is wrong."""
        if record.incarnation < self.own.incarnation:
            return []
        same_run = record.run == self.own.run
        joining = now - self.started < JOINING_PERIODS * self.period
        if not same_run and not joining:
            self.counts["duplicate_name"] += 1
            return [NameTaken(record)]
        if same_run and (
            _is_own_word(record, self.own) or self.own.status is Status.LEFT
        ):
            return []
        self.counts["refuted"] += 1
        self.own = replace(self.own, incarnation=record.incarnation)
        return self._change_own(now)

    def _change_own(self, now: float, **changes: object) -> list[Action]:
        incarnation = Incarnation(self.own.incarnation + 1)
        self.own = replace(
            self.own,
            incarnation=incarnation,
            **changes,  # type: ignore[arg-type]
        )
        return [Changed(self.own), *self._push_urgent((self.own,), is_ours=True)]

    # Sending.

    def _sender(self) -> Sender:
        return Sender(self.own.host, self.own.run, self.own.incarnation)

    def _ping(self, record: MemberRecord, number: int) -> SendDatagram:
        first: tuple[Delta, ...] = ()
        if record.status is not Status.ALIVE:
            first = (record,)
        ping = Ping(self._sender(), record.host, number, self.digest)
        return self._send(record, ping, first)

    def _send(
        self, record: MemberRecord, datagram: Datagram, first: tuple[Delta, ...] = ()
    ) -> SendDatagram:
        return SendDatagram(record.host, record.gossip, self._fill(datagram, first))

    def _fill(self, datagram: Datagram, first: tuple[Delta, ...] = ()) -> Datagram:
        """Put the changes that wait into a datagram, as far as there is room."""
        room = MAX_PAYLOAD_BYTES - HEADER_BYTES
        room -= sum(measure_delta(item) for item in first)
        near, far = split_by_centre(self.own, self.list_live())
        receiver = self.table.get(datagram.to)
        goes_far = receiver is not None and self._is_far(receiver)
        waiting = self._broadcasts.take(room, len(near), len(far), goes_far)
        return replace(datagram, deltas=first + waiting)

    def _is_far(self, record: MemberRecord) -> bool:
        return record.data_centre != self.own.data_centre

    def _push_urgent(
        self, deltas: tuple[Delta, ...], is_ours: bool = False
    ) -> list[Action]:
        """Pass changes on at once to a few hosts, and to the rest with the probes."""
        for delta in deltas:
            self._broadcasts.add(delta)
        receivers = choose_receivers(self.own, self.list_live(), self.random, is_ours)
        return [
            self._send(record, Push(self._sender(), record.host))
            for record in receivers
        ]


def _is_own_word(record: MemberRecord, own: MemberRecord) -> bool:
    """Tell whether a record of this host says just what this host itself has said."""
    alive = record.status is Status.ALIVE
    return record.incarnation == own.incarnation and alive
