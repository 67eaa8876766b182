"""What the hosts of a gateway tell each other every so often: loads and findings.

Nothing is agreed here, and nothing waits for an answer: a digest that is lost is made
up for by the next one. Where a data centre has few hosts, each tells each other; where
it has many, each tells its relays, and these tell the others.
"""

from collections.abc import Callable, Mapping
from dataclasses import replace

import structlog

from marigoldswitch.core.catalogue import LayerRange, Target
from marigoldswitch.core.deputies import OutageView
from marigoldswitch.core.gateway_messages import (
    CentreUsage,
    HeldLayers,
    LeaseNote,
    LoadDigest,
    LoadSummary,
    SlowTarget,
    TargetUsage,
)
from marigoldswitch.core.ids import DataCentre, HostId, TargetId
from marigoldswitch.core.leases import Lease, encode_lease
from marigoldswitch.core.loads import Usage
from marigoldswitch.core.ports import Row
from marigoldswitch.core.registry import Change
from marigoldswitch.gateway.crash_news import CrashNews
from marigoldswitch.gateway.news import News, SpreadParts
from marigoldswitch.gateway.ports import HostRecord
from marigoldswitch.gateway.roster import SILENT_SECONDS, Roster
from marigoldswitch.gateway.told import QUIET_SECONDS, TICK_SECONDS, Told, is_like

logger = structlog.get_logger(__name__)

SUM_SECONDS = 0.2
"""Seconds between two words of a host to its relays, and between two sums of these. A
data centre of 30 hosts gets some 15 requests in this time for 150 that it has under
way: choices that are off by that much are made up for by the random part of costs and
by engines that are not filled to the brim."""
ALL_SECONDS = 1.0
"""Seconds between two digests to all hosts of the data centre, of a relay that does not
sum up or of a host to which nobody has spoken; relays count hosts as live for 3 s."""
FAR_SECONDS = 0.5
"""Seconds between two digests to the relays of other data centres, whose engines are
used when those at home are full."""
FAR_SUM_SECONDS = 1.5
"""Seconds between two sums that tell of other data centres as well."""
HOSTS_SECONDS = 15.0
"""Seconds between two sums that name all hosts, of which the others know by hearsay
only: an eighth of the time after which a host is forgotten."""
ORDERER_SECONDS = 1.2
"""Time for which the word of the host that holds the orderer's lease stands."""
URGENT_SECONDS = 0.05
"""Least time between two digests that are told out of turn."""


class Spread:
    """Exchanges digests with the other hosts."""

    def __init__(self, parts: SpreadParts) -> None:
        self.leaving = False
        self.lease: Lease | None = None
        """The lease of the engines' orderer, as this host sees it."""
        self.recent_layers: dict[TargetId, tuple[float, LayerRange | None]] = {}
        """What the orderer has just seen engines to hold."""
        self._parts = parts
        self._home = DataCentre(parts.identity.data_centre)
        self.roster = Roster(
            parts.clock,
            HostId(parts.identity.host),
            self._home,
            parts.source,
            parts.identity.strength,
        )
        self._orderer: LeaseNote | None = None
        self._orderer_heard = float("-inf")
        self._news = News(parts, self.roster.must_read, lambda: self._is_current)
        self._told = Told()
        take_digest: Callable[..., None] = self._take_digest
        parts.network.register(LoadDigest, take_digest)
        parts.directory.registry.watch(self._note_change)
        take_summary: Callable[..., None] = self._take_summary
        parts.network.register(LoadSummary, take_summary)
        self._crash_news = CrashNews(
            parts.clock, parts.network, parts.crashes, self.roster
        )

    @property
    def hears_orderer(self) -> bool:
        """Tell whether another host has lately said that it orders the engines."""
        now = self._parts.clock.monotonic()
        return now - self._orderer_heard < ORDERER_SECONDS

    def look_at_outage(self) -> OutageView:
        """Return what this host sees of an outage of the store."""
        roster = self.roster
        lost = self._parts.targets.measure_outage() if roster.must_read() else 0.0
        return OutageView(
            HostId(self._parts.identity.host),
            lost,
            roster.hears_any_reader(),
            self.hears_orderer,
            roster.list_ages(),
        )

    @property
    def _reads(self) -> bool:
        """Tell whether this host follows the store, and the store answers."""
        parts = self._parts
        lost = (
            parts.configuration.dependency.is_lost or parts.targets.dependency.is_lost
        )
        return self.roster.must_read() and not lost and parts.directory.is_complete

    @property
    def _is_current(self) -> bool:
        """Tell whether this host may tell others of the targets."""
        parts = self._parts
        if self._reads:
            return True
        revision = parts.directory.registry.revision
        return parts.directory.is_complete and self.roster.hears_reader(revision)

    @property
    def period(self) -> float:
        """Return the seconds until the next tick: what is due soonest at this host."""
        roster = self.roster
        return TICK_SECONDS if roster.is_mesh or roster.is_relay else SUM_SECONDS

    def greet(self) -> None:
        """Tell the hosts that must know of this one: each, or its relays.

        A greeting to each would open a connection for each pair at a start of all.
        """
        digest = self._build_digest()
        near = self.roster.choose_near(to_all=True)
        for host in (*near, *self.roster.choose_far()):
            self._parts.network.send(host, digest)

    def tell_now(self) -> None:
        """Tell the near hosts at once of what was found."""
        now = self._parts.clock.monotonic()
        if now - self._told.at >= URGENT_SECONDS:
            self._tell(self._build_digest(), to_all=False)

    def tick(self) -> None:
        """Send what is due."""
        now = self._parts.clock.monotonic()
        roster = self.roster
        self._parts.loads.expire(now)
        roster.forget()
        self._crash_news.tick()
        digest = self._build_digest()
        to_all = self._told.is_past(now, "all", ALL_SECONDS)
        if to_all or self._is_due(digest, now):
            self._tell(digest, to_all)
        if not roster.is_mesh and roster.is_lead:
            self._sum_up(now)
        if roster.is_mesh or self._told.is_past(now, "far", FAR_SECONDS):
            self._tell_far(digest)

    def _is_due(self, digest: LoadDigest, now: float) -> bool:
        """Tell whether the near hosts should get a digest now."""
        waited = now - self._told.at
        if self._told.digest is not None and is_like(digest, self._told.digest):
            return waited >= QUIET_SECONDS and self.roster.is_lead
        return self.roster.is_mesh or waited >= SUM_SECONDS - TICK_SECONDS

    def _tell(self, digest: LoadDigest, to_all: bool) -> None:
        """Send a digest to the near hosts; loads only to those that add them up."""
        now = self._parts.clock.monotonic()
        self._told.digest, self._told.at = digest, now
        self._parts.loads.note_told()
        hosts = self.roster.choose_near(to_all)
        adding = hosts
        if not self.roster.is_mesh:
            relays = self.roster.relays
            adding = [host for host in hosts if host in relays]
        for host in adding:
            self._parts.network.send(host, digest)
        bare = replace(digest, usages=())
        if to_all or not self._told.has_told_bare(bare, now):
            for host in hosts:
                if host not in adding:
                    self._parts.network.send(host, bare)

    def _tell_far(self, digest: LoadDigest) -> None:
        hosts = self.roster.choose_far()
        messages: list[LoadDigest | LoadSummary] = [digest]
        if hosts and not self.roster.is_mesh:
            sums = {self._home: self._parts.loads.sum_home()}
            bare = replace(digest, usages=(), readers=())
            messages = [bare, self._build_summary(sums)]
        for host in hosts:
            for message in messages:
                self._parts.network.send(host, message)

    def _sum_up(self, now: float) -> None:
        """Tell the hosts of this data centre what all of them hold together."""
        if not self._told.is_past(now, "sum", SUM_SECONDS):
            return
        loads = self._parts.loads
        sums: dict[DataCentre, Mapping[TargetId, Usage]]
        sums = {self._home: loads.sum_home()}
        if self._told.is_past(now, "far sum", FAR_SUM_SECONDS):
            sums |= loads.show_sums()
        summary = self._build_summary(sums)
        if self._told.is_past(now, "hosts", HOSTS_SECONDS):
            hosts = tuple(sorted(self.roster.list_near()))
            summary = replace(summary, hosts=hosts)
        for host in self.roster.list_near():
            self._parts.network.send(host, summary)

    def _build_summary(
        self, sums: Mapping[DataCentre, Mapping[TargetId, Usage]]
    ) -> LoadSummary:
        usages = tuple(
            CentreUsage(centre, _write_usages(held))
            for centre, held in sorted(sums.items())
        )
        roster = self.roster
        return LoadSummary(usages, roster.count_near(), roster.count_live())

    def _build_digest(self) -> LoadDigest:
        parts = self._parts
        now = parts.clock.monotonic()
        lease = self._write_lease(now)
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
            _write_usages(parts.loads.own),
            tuple(parts.directory.suspects.list_dead(now)),
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
            self._reads,
            self.roster.list_readers(),
            self._is_current,
            parts.identity.strength,
            parts.crashes.checksum,
        )

    def _write_lease(self, now: float) -> LeaseNote | None:
        """Return the lease that this host holds, or as a relay has heard of."""
        held = self.lease.show_row() if self.lease else None
        if held is not None:
            own = HostId(self._parts.identity.host)
            return LeaseNote(encode_lease(held[0]), held[1], own)
        if self._orderer is None or not self.hears_orderer or not self.roster.is_relay:
            return None
        return replace(self._orderer, age=round(now - self._orderer_heard, 2))

    def _note_change(self, change: Change, target: Target) -> None:
        if change is Change.GONE:
            # One that starts again under its id holds nothing of what was seen.
            self.recent_layers.pop(target.id, None)

    # Digests of others.

    def _take_digest(self, sender: HostId, digest: LoadDigest) -> None:
        parts = self._parts
        now = parts.clock.monotonic()
        is_new = self.roster.hear(sender, digest)
        if is_new or digest.version < parts.directory.version:
            # A host that has just started is ready as soon as it knows whom to ask.
            parts.network.send(sender, self._build_digest())
        usages = _read_usages(digest.usages)
        parts.loads.hear(sender, digest.data_centre, usages, now)
        self._check_dead(digest.dead, now)
        if digest.lease is not None:
            self._take_orderer(digest.lease, digest, now)
        elif self._orderer is not None and sender == self._orderer.holder:
            self._forget_orderer(now)
        self._take_layers(digest.layers, now)
        self._crash_news.compare(sender, digest.crashes)
        self._news.ask(sender, digest, now)

    def _check_dead(self, names: tuple[TargetId, ...], now: float) -> None:
        """Look at engines that a peer says are dead.

        What a peer can't reach may well be alive: the peer may be cut off.
        """
        parts = self._parts
        for name in names:
            target = parts.directory.registry.targets.get(name)
            if target is None or parts.directory.suspects.is_out(name, now):
                continue
            if self._has_use(target):
                parts.probes.check_later(target)

    def _has_use(self, target: Target) -> bool:
        """Tell whether it matters to this host, or to those it tells, if one is dead.

        Engines of other data centres get few requests, and only while those at home are
        full, so that probes of them by each host could change nothing.
        """
        roster = self.roster
        return (
            target.data_centre == self._home
            or target.id in self._parts.loads.own
            or roster.is_mesh
            or roster.is_relay
            or (self.lease is not None and self.lease.holds)
        )

    def _take_summary(self, sender: HostId, summary: LoadSummary) -> None:
        now = self._parts.clock.monotonic()
        self.roster.hear_summary(sender, summary)
        for item in summary.usages:
            usages = _read_usages(item.usages)
            self._parts.loads.hear_sum(item.data_centre, usages, now)

    def _forget_orderer(self, now: float) -> None:
        """Learn that the host that ordered the engines does so no more."""
        self._orderer_heard = float("-inf")
        if self.lease is not None:
            self.lease.note_released(now)

    def _take_orderer(self, note: LeaseNote, digest: LoadDigest, now: float) -> None:
        """Take what the host that orders the engines knows and relays pass on."""
        parts = self._parts
        heard = now - note.age
        known = self._orderer
        if known is not None and note.version < known.version:
            return
        if heard <= self._orderer_heard:
            return
        is_given_up = known is not None and not self.hears_orderer
        if is_given_up and note.age > 0.0 and known and note.version == known.version:
            # A relay that has not heard yet that its holder gave it up.
            return
        self._orderer, self._orderer_heard = note, heard
        if self.lease is not None and not self.lease.holds:
            try:
                self.lease.see(Row(note.value, note.version), now)
            except ValueError as error:
                logger.warning("lease_note_unreadable", why=str(error))
        parts.planner.slowness.clear()
        for slow in digest.slow:
            parts.planner.slowness[slow.target] = slow.factor

    def _take_layers(self, layers: tuple[HeldLayers, ...], now: float) -> None:
        """Take what engines were seen to hold, newer than what is known of them."""
        is_new = False
        for held in layers:
            at = now - held.age
            registry = self._parts.directory.registry
            if 0 < held.born < registry.get_born(held.target):
                continue
            known = self.recent_layers.get(held.target)
            if known is not None and at <= known[0] + URGENT_SECONDS:
                continue
            span = LayerRange(held.first, held.end) if held.end else None
            is_new = is_new or known is None or known[1] != span
            registry.note_layers(held.target, span, held.born)
            self.recent_layers[held.target] = (at, span)
        if is_new and self.roster.is_lead and not self.roster.is_mesh:
            self.tell_now()

    def meet(self, record: HostRecord) -> None:
        """Learn of a host from the store or the settings."""
        self.roster.meet(record)


def _write_usages(held: Mapping[TargetId, Usage]) -> tuple[TargetUsage, ...]:
    return tuple(
        TargetUsage(name, usage.requests, usage.memory, usage.begun)
        for name, usage in sorted(held.items())
        if usage.requests or usage.memory
    )


def _read_usages(usages: tuple[TargetUsage, ...]) -> dict[TargetId, Usage]:
    return {
        item.target: Usage(item.requests, item.memory, item.begun) for item in usages
    }
