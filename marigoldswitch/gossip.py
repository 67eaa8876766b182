"""Membership on the wire: UDP datagrams, authenticated, in and out of the core."""

import asyncio
from collections import Counter
from collections.abc import Callable, Sequence
from random import Random

import structlog
from result import Err, Ok

from marigoldswitch.core.datagrams import (
    MAX_PAYLOAD_BYTES,
    MemberRecord,
    TargetMark,
    decode_datagram,
    encode_datagram,
)
from marigoldswitch.core.ids import BundleVersion, HostId, TargetId
from marigoldswitch.core.leaving import LeavingMarks
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
from marigoldswitch.core.membership import Membership
from marigoldswitch.core.messages import Introduction, Message
from marigoldswitch.core.ports import Clock, HostEntry, HostRole
from marigoldswitch.members import MemberView
from marigoldswitch.peers import MAC_BYTES, PeerNetwork, seal, unseal
from marigoldswitch.settings import PeerSettings

logger = structlog.get_logger(__name__)

TICKS_A_PERIOD = 5
"""Looks at the clock in each probe period; an answer is missed at most a fifth late."""
MAX_DATAGRAM_BYTES = MAC_BYTES + MAX_PAYLOAD_BYTES


class Gossip(asyncio.DatagramProtocol):
    """Runs the membership of this host and spreads the marks of leaving targets.

    :param marks: what is known of leaving targets.
    """

    def __init__(
        self,
        clock: Clock,
        view: MemberView,
        network: PeerNetwork,
        settings: PeerSettings,
        marks: LeavingMarks,
    ) -> None:
        self.counts: Counter[str] = Counter()
        self.cut: set[HostId] = set()
        """Hosts that cannot be reached, for tests of partitions."""
        self.membership: Membership | None = None
        self._clock = clock
        self._view = view
        self._network = network
        self._secrets = [secret.encode() for secret in settings.secrets]
        self._seeds = settings.seeds
        self._period = settings.probe_period
        self._marks = marks
        self.leaving: frozenset[TargetId] = frozenset()
        """Targets that may get no new work."""
        self._leaving_listeners: list[Callable[[frozenset[TargetId]], None]] = []
        self._transport: asyncio.DatagramTransport | None = None
        network.register(Introduction, self._take_introduction)

    async def start(self, address: str, port: int) -> int:
        """Open the socket and return its port."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(address, port)
        )
        return int(self._transport.get_extra_info("sockname")[1])

    def join(self, own: MemberRecord, random: Random) -> None:
        """Begin with this host's own record, once all its addresses are known."""
        now = self._clock.monotonic()
        self.membership = Membership(own, random, self._period, now)
        self._view.follow(self.membership)
        self._feed(Seeds(self._seeds))

    async def run(self) -> None:
        """Let time pass until cancelled."""
        while True:
            await asyncio.sleep(self._period / TICKS_A_PERIOD)
            self._feed(Tick())
            self._marks.forget(self._clock.monotonic())
            self._tell_leaving()

    def stop(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    def count_all(self) -> Counter[str]:
        """Return what was counted of datagrams and of membership."""
        known = self.membership.counts if self.membership else Counter[str]()
        return self.counts + known

    # What the rest of the daemon says.

    def watch_leaving(self, listener: Callable[[frozenset[TargetId]], None]) -> None:
        """Call ``listener`` with the targets that may get no new work."""
        self._leaving_listeners.append(listener)

    def use_bundle(self, version: BundleVersion) -> None:
        """Tell the other hosts of the bundle in force here."""
        self._feed(OwnBundle(version))

    def leave(self, gone: bool = False) -> None:
        """Tell the other hosts that this one is leaving, or gone."""
        self._feed(Leave(gone))

    def use_host_list(self, entries: Sequence[HostEntry]) -> None:
        """Join by the host list and follow what it says of leaving targets."""
        hosts = [item for item in entries if item.role is HostRole.ENTRY]
        self._view.use_host_list(hosts)
        self._feed(Listed(tuple(HostId(item.id) for item in hosts)))
        targets = [item for item in entries if item.role is HostRole.TARGET]
        leaving = [TargetId(item.id) for item in targets if item.leaving]
        live = [TargetId(item.id) for item in targets if not item.leaving]
        now = self._clock.monotonic()
        self._spread(self._marks.take_host_list(leaving, live, now))

    def note_leaving(self, target: TargetId) -> None:
        """Note that a target has answered that it is leaving."""
        self._spread(self._marks.take_answer(target, self._clock.monotonic()))

    def use_drains(self, drained: frozenset[TargetId]) -> None:
        """Follow the drains that the platform keeps."""
        self._spread(self._marks.take_drains(drained, self._clock.monotonic()))

    def note_staying(self, target: TargetId) -> None:
        """Note that a target says that it is not leaving."""
        self._spread(self._marks.take_state(target, self._clock.monotonic()))

    def list_answered(self) -> list[TargetId]:
        """Return the targets that leave by their own word."""
        return self._marks.list_answered(self._clock.monotonic())

    def drain_target(self, target: TargetId, leaving: bool = True) -> None:
        """Let a target get no new work anywhere, or take that back."""
        logger.info("target_drain", target=target, leaving=leaving)
        now = self._clock.monotonic()
        self._spread(self._marks.take_order(target, leaving, now))

    # Datagrams.

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Take one datagram, or drop and count it."""
        if len(data) > MAX_DATAGRAM_BYTES:
            self.counts["oversized"] += 1
            return
        code, payload = data[:MAC_BYTES], data[MAC_BYTES:]
        if not payload or not unseal(self._secrets, code, payload):
            self.counts["unauthenticated"] += 1
            return
        match decode_datagram(payload):
            case Err(why):
                self.counts["garbage"] += 1
                logger.warning("datagram_refused", why=why)
            case Ok(datagram) if datagram.sender.host not in self.cut:
                self.counts["received"] += 1
                self._feed(Heard(datagram, f"{addr[0]}:{addr[1]}"))

    def error_received(self, exc: Exception) -> None:
        """Count what the system says of datagrams sent, such as a closed port."""
        self.counts["errors"] += 1

    def _feed(self, event: Event) -> None:
        if self.membership is None:
            return
        actions = self.membership.handle(event, self._clock.monotonic())
        for action in actions:
            self._carry_out(action)
        if any(isinstance(action, Changed) for action in actions):
            self._view.refresh()

    def _carry_out(self, action: Action) -> None:
        match action:
            case SendDatagram():
                self._send(action)
            case Introduce(host=host, wants_reply=wants_reply):
                self._introduce(host, wants_reply)
            case MarksHeard(marks=marks):
                fresh = self._marks.merge(marks, self._clock.monotonic())
                self._spread(fresh, ours=False)
            case Changed(record=record):
                logger.info(
                    "member_changed",
                    host=record.host,
                    status=record.status.name.lower(),
                    leaving=record.leaving,
                    bundle=record.bundle,
                    suspected_by=record.suspected_by,
                )
            case NameTaken(record=record):
                logger.error(
                    "host_name_taken",
                    host=record.host,
                    by=record.gossip,
                    setting="host",
                )

    def _send(self, action: SendDatagram) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        if action.host in self.cut:
            self.counts["cut"] += 1
            return
        payload = encode_datagram(action.datagram)
        name, _, port = action.address.rpartition(":")
        self.counts["sent"] += 1
        self.counts["sent_bytes"] += MAC_BYTES + len(payload)
        sealed = seal(self._secrets[0], payload) + payload
        self._transport.sendto(sealed, (name, int(port)))

    def _spread(self, fresh: list[TargetMark], ours: bool = True) -> None:
        if fresh:
            self._feed(Spread(tuple(fresh), ours))
            self._tell_leaving()

    def _tell_leaving(self) -> None:
        leaving = self._marks.list_leaving(self._clock.monotonic())
        if leaving == self.leaving:
            return
        logger.info("leaving_targets", targets=sorted(leaving))
        self.leaving = leaving
        for listener in self._leaving_listeners:
            listener(leaving)

    # Whole tables.

    def _introduce(self, host: HostId, wants_reply: bool) -> None:
        assert self.membership is not None
        message = Introduction(
            host,
            self.membership.export(),
            self._marks.export(self._clock.monotonic()),
            wants_reply,
        )
        self._network.send(host, message)

    def _take_introduction(self, sender: HostId, message: Message) -> None:
        assert isinstance(message, Introduction)
        if self.membership is None or message.to != self._view.own.host:
            self.counts["wrong_address"] += 1
            return
        self._feed(Introduced(message.members))
        fresh = self._marks.merge(message.marks, self._clock.monotonic())
        self._spread(fresh, ours=False)
        if message.wants_reply:
            self._introduce(sender, wants_reply=False)
