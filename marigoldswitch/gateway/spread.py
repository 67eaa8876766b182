"""Periodic exchange of load digests between the hosts of a gateway.

There is no agreement and no acknowledgement: the next digest makes up for a lost one.
The few hosts of a small data centre form a full mesh; in a larger one each host sends
to its relays, and the relays inform the others.
"""

from collections.abc import Callable, Mapping

import structlog
from msgspec.structs import replace

from marigoldswitch.core.catalogue import LayerRange, Target
from marigoldswitch.core.deputies import OutageView
from marigoldswitch.core.gateway_messages import (
    CentreMembers,
    CentreUsage,
    ClosedTarget,
    HeldLayers,
    LeaseNote,
    LoadDigest,
    LoadSummary,
    SlowTarget,
)
from marigoldswitch.core.ids import DataCentre, HostId, TargetId
from marigoldswitch.core.lateness import Lateness
from marigoldswitch.core.leases import Lease, encode_lease
from marigoldswitch.core.loads import Usage
from marigoldswitch.core.loans import MILLISECONDS_PER_SECOND
from marigoldswitch.core.ports import Row
from marigoldswitch.core.registry import Change
from marigoldswitch.gateway.count_exchange import CountExchange
from marigoldswitch.gateway.crash_note_exchange import CrashNoteExchange
from marigoldswitch.gateway.loan_exchange import LoanExchange
from marigoldswitch.gateway.message_counts import (
    decode_usages,
    encode_sends,
    encode_usages,
)
from marigoldswitch.gateway.ports import HostRecord
from marigoldswitch.gateway.roster import SILENT_SECONDS, Roster
from marigoldswitch.gateway.send_log import (
    RESEND_SECONDS,
    TICK_SECONDS,
    SendLog,
    is_same,
    strip_counts,
)
from marigoldswitch.gateway.state_sync import DigestExchangeParts, StateSync
from marigoldswitch.gateway.statement_exchange import StatementExchange

logger = structlog.get_logger(__name__)

SUMMARY_SECONDS = 0.2
"""Interval of digests from a host to its relays, and of summaries from the lead relay.
30 hosts get about 15 requests in this time, with 150 in flight; the random part of
costs and spare room on the engines absorb an error of that size."""
BROADCAST_SECONDS = 1.0
"""Interval of digests from a relay, or from a host of a full mesh, to all hosts of the
data centre, silent ones too; relays count a host as live for 3 s."""
REMOTE_DIGEST_SECONDS = 0.5
"""Interval of digests from the lead relay to other data centres. Their engines are used
only when the local ones are full."""
REMOTE_SUMMARY_SECONDS = 1.5
"""Interval of summaries that include other data centres."""
HOST_LIST_SECONDS = 15.0
"""Interval of summaries that list all hosts, an eighth of the time after which a host
is forgotten: most hosts hear of each other only through these lists."""
ORDERER_TIMEOUT_SECONDS = 1.2
"""Time after its last note for which a holder of the orderer's lease counts as live."""
LOGGED_LATENESS_SECONDS = 1.0
"""Least lateness of a digest that is logged."""
URGENT_DIGEST_SECONDS = 0.05
"""Minimum time from the last digest to one that is sent out of turn."""


class DigestExchange:
    """Exchanges digests with the other hosts."""

    def __init__(self, parts: DigestExchangeParts) -> None:
        self.leaving = False
        self.lease: Lease | None = None
        """The lease of the engines' orderer, as this host sees it."""
        self.recent_layers: dict[TargetId, tuple[float, LayerRange | None]] = {}
        """The layers that each engine was last seen to hold, and when."""
        self._parts = parts
        self._home = DataCentre(parts.identity.data_centre)
        self.roster = Roster(
            parts.clock,
            HostId(parts.identity.host),
            self._home,
            parts.source,
            parts.identity.strength,
        )
        self.counts = CountExchange(self._home, parts.directory)
        self._loans = LoanExchange(parts.clock, parts.network, parts.loans, self.roster)
        self._statements = StatementExchange(parts.directory)
        self._lease_note: LeaseNote | None = None
        self._orderer_heard_at = float("-inf")
        self.sync = StateSync(parts, self.roster.must_read, lambda: self._is_current)
        self._sent = SendLog()
        self._lateness = Lateness()
        handle_digest: Callable[..., None] = self._handle_digest
        parts.network.register(LoadDigest, handle_digest)
        parts.directory.registry.watch(self._note_change)
        handle_summary: Callable[..., None] = self._handle_summary
        parts.network.register(LoadSummary, handle_summary)
        self._crash_notes = CrashNoteExchange(
            parts.clock, parts.network, parts.crashes, self.roster
        )

    @property
    def hears_orderer(self) -> bool:
        """Return whether a lease note of the engines' orderer is recent."""
        now = self._parts.clock.monotonic()
        return now - self._orderer_heard_at < ORDERER_TIMEOUT_SECONDS

    def get_outage_view(self) -> OutageView:
        """Return this host's view of an outage of the store."""
        roster = self.roster
        lost = self._parts.targets.measure_outage() if roster.must_read() else 0.0
        return OutageView(
            HostId(self._parts.identity.host),
            lost,
            roster.hears_reader(),
            self.hears_orderer,
            roster.list_ages(),
        )

    @property
    def _is_reader(self) -> bool:
        """Return whether this host reads the store, and the store answers."""
        parts = self._parts
        feeds = (parts.configuration, parts.targets)
        lost = any(item.dependency.is_lost for item in feeds)
        return self.roster.must_read() and not lost and parts.directory.is_complete

    @property
    def _is_current(self) -> bool:
        """Return whether this host is believed to know what the store holds."""
        if self._is_reader:
            return True
        directory = self._parts.directory
        return directory.is_complete and self.roster.matches_reader(
            directory.registry.revision, directory.version
        )

    @property
    def tick_seconds(self) -> float:
        """Return the seconds until the next tick."""
        roster = self.roster
        return TICK_SECONDS if roster.is_mesh or roster.is_relay else SUMMARY_SECONDS

    def announce(self) -> None:
        """Announce this host to its relays, or to all from a relay or in a full mesh.

        When all hosts start, announcements to all would open a connection per pair.
        """
        digest = self._build_digest()
        local = self.roster.choose_local_recipients(to_all=True)
        for host in (*local, *self.roster.choose_remote_recipients()):
            self._parts.network.send(host, digest)

    def send_urgent_digest(self) -> None:
        """Send a digest to the hosts of this data centre out of turn, for a finding."""
        now = self._parts.clock.monotonic()
        if now - self._sent.digest_at >= URGENT_DIGEST_SECONDS:
            self._send_local(self._build_digest(), to_all=False)

    def tick(self) -> None:
        """Expire old state and send the messages that are due."""
        now = self._parts.clock.monotonic()
        roster = self.roster
        self._parts.loads.expire(now)
        self.counts.tick(now)
        roster.expire()
        self._lateness.forget(set(roster.peers))
        self._crash_notes.tick()
        self._loans.tick()
        digest = self._build_digest()
        to_all = self._sent.mark_if_due(now, "all", BROADCAST_SECONDS)
        if to_all or self._is_due(digest, now):
            self._send_local(digest, to_all)
        if not roster.is_mesh and roster.is_lead:
            self._send_summary(now)
        if roster.is_mesh or self._sent.mark_if_due(now, "far", REMOTE_DIGEST_SECONDS):
            self._send_remote(digest)

    def _is_due(self, digest: LoadDigest, now: float) -> bool:
        """Return whether the hosts of this data centre should get a digest now."""
        waited = now - self._sent.digest_at
        if self._sent.digest is not None and is_same(digest, self._sent.digest):
            return waited >= RESEND_SECONDS and self.roster.is_lead
        return self.roster.is_mesh or waited >= SUMMARY_SECONDS - TICK_SECONDS

    def _send_local(self, digest: LoadDigest, to_all: bool) -> None:
        """Send a digest in this data centre; only hosts that sum loads get usages."""
        now = self._parts.clock.monotonic()
        self._sent.digest, self._sent.digest_at = digest, now
        self._parts.loads.mark_reported()
        hosts = self.roster.choose_local_recipients(to_all)
        summing = hosts
        if not self.roster.is_mesh:
            relays = self.roster.relays
            summing = [host for host in hosts if host in relays]
        for host in summing:
            self._parts.network.send(host, digest)
        stripped = strip_counts(digest)
        if to_all or not self._sent.has_sent_stripped(stripped, now):
            for host in hosts:
                if host not in summing:
                    self._parts.network.send(host, stripped)

    def _send_remote(self, digest: LoadDigest) -> None:
        """Send a digest, and as the lead relay a summary, to other data centres."""
        hosts = self.roster.choose_remote_recipients()
        messages: list[LoadDigest | LoadSummary] = [digest]
        if hosts and not self.roster.is_mesh:
            now = self._parts.clock.monotonic()
            sums = {self._home: self._parts.loads.sum_home_usage()}
            stripped = replace(strip_counts(digest), readers=())
            messages = [stripped, self._build_summary(sums, now)]
        for host in hosts:
            for message in messages:
                self._parts.network.send(host, message)

    def _send_summary(self, now: float) -> None:
        """Send the total usage of targets to the hosts of this data centre."""
        if not self._sent.mark_if_due(now, "sum", SUMMARY_SECONDS):
            return
        sums: dict[DataCentre, Mapping[TargetId, Usage]]
        sums = {self._home: self._parts.loads.sum_home_usage()}
        with_others = self._sent.mark_if_due(now, "far sum", REMOTE_SUMMARY_SECONDS)
        if with_others:
            sums |= self._parts.loads.get_other_centres()
        summary = self._build_summary(sums, now, with_others)
        if self._sent.mark_if_due(now, "hosts", HOST_LIST_SECONDS):
            summary = replace(summary, hosts=tuple(sorted(self.roster.list_local())))
        for host in self.roster.list_local():
            self._parts.network.send(host, summary)

    def _build_summary(
        self,
        sums: Mapping[DataCentre, Mapping[TargetId, Usage]],
        now: float,
        with_others: bool = False,
    ) -> LoadSummary:
        """Return a summary of some usages and of what hosts count together.

        :param with_others: whether to include the counts of other data centres.
        """
        usages = tuple(
            CentreUsage(centre, encode_usages(held))
            for centre, held in sorted(sums.items())
        )
        return LoadSummary(
            usages,
            self.roster.count_local(),
            self.roster.count_live(),
            counts=self.counts.sum_up(now, with_others),
            waiting=self.counts.sum_up_waiting(now, with_others),
            members=tuple(
                CentreMembers(centre, hosts)
                for centre, hosts in sorted(self.roster.count_by_centre().items())
            ),
        )

    def _build_digest(self) -> LoadDigest:
        parts = self._parts
        now = parts.clock.monotonic()
        lease = self._build_lease_note(now)
        is_cut_off = parts.contact.is_lost
        slow = tuple(
            SlowTarget(name, factor)
            for name, factor in sorted(parts.planner.slowness.items())
        )
        self.recent_layers = {
            name: (at, layers)
            for name, (at, layers) in self.recent_layers.items()
            if now - at < SILENT_SECONDS
        }
        return LoadDigest(
            self._home,
            parts.directory.version,
            parts.directory.registry.revision,
            encode_usages(parts.loads.own),
            () if is_cut_off else self._list_dead(now),
            slow if lease else (),
            tuple(
                HeldLayers(
                    name,
                    layers.first if layers else 0,
                    layers.end if layers else 0,
                    round(now - at, 2),
                    parts.directory.registry.get_born(name),
                )
                for name, (at, layers) in self.recent_layers.items()
            ),
            lease,
            self.leaving,
            self._is_reader,
            self.roster.list_readers(),
            self._is_current,
            parts.identity.strength,
            parts.crashes.checksum,
            tuple(
                ClosedTarget(name, round(seconds, 2))
                for name, seconds in parts.directory.suspects.list_closed(now)
            ),
            limits=self._statements.encode_limits(now),
            sends=encode_sends(parts.directory.statements.limits.count_own(now)),
            leaving_targets=self._statements.encode_leaving(),
            sent_ms=round(now * MILLISECONDS_PER_SECOND),
            process=parts.loans.process,
            is_cut_off=is_cut_off,
            proxy_port=parts.proxy_port,
            waiting=self.counts.encode_waiting(now),
            ramps=self.counts.encode_own_ramps(now),
        )

    def _list_dead(self, now: float) -> tuple[TargetId, ...]:
        """Return the targets found dead, less those that this host is cut off from."""
        parts = self._parts
        targets = parts.directory.registry.targets
        return tuple(
            name
            for name in parts.directory.suspects.list_dead(now)
            if name not in targets or not parts.services.is_doubted(targets[name])
        )

    def _build_lease_note(self, now: float) -> LeaseNote | None:
        """Return the lease that this host holds, or that it forwards as a relay."""
        held = self.lease.get_held_row() if self.lease else None
        if held is not None:
            own = HostId(self._parts.identity.host)
            return LeaseNote(encode_lease(held[0]), held[1], own)
        if (
            self._lease_note is None
            or not self.hears_orderer
            or not self.roster.is_relay
        ):
            return None
        return replace(self._lease_note, age=round(now - self._orderer_heard_at, 2))

    def _note_change(self, change: Change, target: Target) -> None:
        if change is Change.GONE:
            # A target that restarts under its id no longer holds these layers.
            self.recent_layers.pop(target.id, None)

    # Messages from other hosts.

    def _handle_digest(self, sender: HostId, digest: LoadDigest) -> None:
        parts = self._parts
        late = self._measure_lateness(sender, digest)
        if late is None:
            return
        # What a digest says was true when it was sent.
        now = parts.clock.monotonic() - late
        is_new = self.roster.update_from_digest(sender, digest)
        if is_new or digest.version < parts.directory.version:
            # A host that has just started needs a peer to fetch state from.
            parts.network.send(sender, self._build_digest())
        usages = decode_usages(digest.usages)
        parts.loads.set_peer_usage(sender, digest.data_centre, usages, now)
        self.counts.take_digest(sender, digest, now)
        self._statements.take_digest(sender, digest, now)
        self._probe_reported_dead(digest.dead, now)
        for item in digest.closed:
            if item.target in parts.directory.registry.rows:
                parts.directory.suspects.note_reported_closed(
                    item.target, item.seconds, now
                )
        if digest.lease is not None:
            self._update_orderer(digest.lease, digest, now)
        elif self._lease_note is not None and sender == self._lease_note.holder:
            self._forget_orderer(now)
        self._update_layers(digest.layers, now)
        self._crash_notes.resync_if_different(sender, digest.crashes)
        self.sync.request_missing(sender, digest, now)

    def _measure_lateness(self, sender: HostId, digest: LoadDigest) -> float | None:
        """Return the seconds by which a digest is late; ``None`` if it is outdated."""
        now = self._parts.clock.monotonic()
        sent_at = digest.sent_ms / MILLISECONDS_PER_SECOND
        late = self._lateness.measure(sender, digest.process, sent_at, now)
        if late is not None and late >= LOGGED_LATENESS_SECONDS:
            logger.info("digest_late", sender=sender, seconds=round(late, 2))
        return late

    def _probe_reported_dead(self, names: tuple[TargetId, ...], now: float) -> None:
        """Probe engines that a peer reports dead, as the peer itself may be cut off."""
        parts = self._parts
        for name in names:
            target = parts.directory.registry.targets.get(name)
            if target is None or parts.directory.suspects.is_dead(name, now):
                continue
            if self._must_probe(target):
                parts.probes.check_in_background(target)

    def _must_probe(self, target: Target) -> bool:
        """Return whether this host, or one that it informs, may use a target.

        Engines of other data centres get few requests, only while the local ones are
        full. Probes of them by every host would change nothing.
        """
        roster = self.roster
        return (
            target.data_centre == self._home
            or target.id in self._parts.loads.own
            or roster.is_mesh
            or roster.is_relay
            or (self.lease is not None and self.lease.holds)
        )

    def _handle_summary(self, sender: HostId, summary: LoadSummary) -> None:
        now = self._parts.clock.monotonic()
        self.roster.update_from_summary(sender, summary)
        for item in summary.usages:
            usages = decode_usages(item.usages)
            self._parts.loads.set_centre_usage(item.data_centre, usages, now)
        self.counts.take_summary(summary, now)

    def _forget_orderer(self, now: float) -> None:
        """Record that the orderer has given its lease up."""
        self._orderer_heard_at = float("-inf")
        if self.lease is not None:
            self.lease.note_released(now)

    def _update_orderer(self, note: LeaseNote, digest: LoadDigest, now: float) -> None:
        """Store the orderer's lease and slow engines, received directly or by relay."""
        parts = self._parts
        heard = now - note.age
        known = self._lease_note
        if known is not None and note.version < known.version:
            return
        if heard <= self._orderer_heard_at:
            return
        is_lapsed = known is not None and not self.hears_orderer
        if is_lapsed and note.age > 0.0 and known and note.version == known.version:
            # From a relay that does not yet know that the holder gave the lease up.
            return
        self._lease_note, self._orderer_heard_at = note, heard
        if self.lease is not None and not self.lease.holds:
            try:
                self.lease.observe(Row(note.value, note.version), now)
            except ValueError as error:
                logger.warning("lease_note_unreadable", why=str(error))
        parts.planner.slowness.clear()
        for slow in digest.slow:
            parts.planner.slowness[slow.target] = slow.factor

    def _update_layers(self, layers: tuple[HeldLayers, ...], now: float) -> None:
        """Store newer observations of the layers that engines hold."""
        is_new = False
        for held in layers:
            at = now - held.age
            registry = self._parts.directory.registry
            if 0 < held.born < registry.get_born(held.target):
                continue
            known = self.recent_layers.get(held.target)
            if known is not None and at <= known[0] + URGENT_DIGEST_SECONDS:
                continue
            span = LayerRange(held.first, held.end) if held.end else None
            is_new = is_new or known is None or known[1] != span
            registry.note_layers(held.target, span, held.born)
            self.recent_layers[held.target] = (at, span)
        if is_new and self.roster.is_lead and not self.roster.is_mesh:
            self.send_urgent_digest()

    def add_peer(self, record: HostRecord) -> None:
        """Add a host that the store or the settings name."""
        self.roster.add_peer(record)
