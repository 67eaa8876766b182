"""What the hosts of a gateway tell each other every so often: loads and findings.

Nothing is agreed here, and nothing waits for an answer: a digest that is lost is made
up for by the next one.
"""

from collections.abc import Callable
from dataclasses import dataclass

import structlog

from marigoldswitch.core.catalogue import LayerRange
from marigoldswitch.core.ids import DataCentre, HostId, TargetId
from marigoldswitch.core.leases import Lease, encode_lease
from marigoldswitch.core.loads import Usage
from marigoldswitch.core.messages import (
    HeldLayers,
    LeaseNote,
    LoadDigest,
    SlowTarget,
    TargetUsage,
)
from marigoldswitch.core.ports import Row
from marigoldswitch.gateway.news import News, SpreadParts
from marigoldswitch.gateway.ports import HostRecord

logger = structlog.get_logger(__name__)

LEAST_PERIOD = 0.1
"""Seconds between two digests: a few requests arrive at a data centre meanwhile."""
PERIOD_A_PEER = 0.012
"""The same for each near peer where there are many, so that a host takes 80 digests a
second at the most: 4 ms of processor time."""
FAR_PEERS = 2
"""Hosts of other data centres that each digest goes to, drawn anew each time: news
reaches all of 400 hosts in some ten rounds."""
QUIET_PERIODS = 5
"""Periods in which an unchanged digest is left out."""
SILENT_SECONDS = 3.0
"""A host that was not heard for this long gets only every tenth digest."""
FORGET_SECONDS = 120.0
"""A host that was not heard for this long is forgotten; it announces itself if it
lives."""
READERS = 3
"""Hosts of a data centre that follow the store by themselves. Its calls are paid for
and limited; the others take the news from these, a digest and a message later. One
reader may be lost and one turned away at the same time."""
READER_SECONDS = 1.5
"""Time for which the word of a reader stands: several of its digests, and half of the
time in which a configuration must be in force."""
ORDERER_SECONDS = 1.2
"""Time for which the word of the host that holds the orderer's lease stands."""


@dataclass(slots=True)
class PeerState:
    """What is known of another host."""

    data_centre: DataCentre
    heard: float
    version: int = 0
    revision: int = 0
    leaving: bool = False
    reads: bool = False


class Spread:
    """Exchanges digests with the other hosts."""

    def __init__(self, parts: SpreadParts) -> None:
        self.peers: dict[HostId, PeerState] = {}
        self.leaving = False
        self.lease: Lease | None = None
        """The lease of the engines' orderer, as this host sees it."""
        self.recent_layers: dict[TargetId, tuple[float, LayerRange | None]] = {}
        """What the orderer has just seen engines to hold."""
        self._parts = parts
        self._own = HostId(parts.identity.host)
        self._orderer: HostId | None = None
        self._orderer_heard = float("-inf")
        self._news = News(parts, self.must_read, lambda: self._reads)
        self._round = 0
        self._last: LoadDigest | None = None
        take_digest: Callable[..., None] = self._take_digest
        parts.network.register(LoadDigest, take_digest)

    @property
    def hears_orderer(self) -> bool:
        """Tell whether another host has lately said that it orders the engines."""
        now = self._parts.clock.monotonic()
        return now - self._orderer_heard < ORDERER_SECONDS

    def must_read(self) -> bool:
        """Tell whether this host must follow the store by itself.

        The first hosts of a data centre do, in order of their addresses, as long as the
        store answers them.
        """
        before = [item for item in self._list_heard(READER_SECONDS) if item < self._own]
        peers = [self.peers[host] for host in before]
        return sum(item.reads and self._is_near(item) for item in peers) < READERS

    @property
    def _reads(self) -> bool:
        """Tell whether this host follows the store, and the store answers."""
        parts = self._parts
        lost = (
            parts.configuration.dependency.is_lost or parts.targets.dependency.is_lost
        )
        return self.must_read() and not lost and parts.directory.is_complete

    @property
    def period(self) -> float:
        """Return the seconds between two digests."""
        near = sum(1 for item in self.peers.values() if self._is_near(item))
        return max(LEAST_PERIOD, PERIOD_A_PEER * near)

    def count_live(self) -> int:
        """Return the hosts that were heard lately, this one among them."""
        return 1 + len(self._list_heard(SILENT_SECONDS))

    def count_near(self) -> int:
        """Return those of them in this host's data centre."""
        heard = self._list_heard(SILENT_SECONDS)
        return 1 + sum(self._is_near(self.peers[host]) for host in heard)

    def _list_heard(self, seconds: float) -> list[HostId]:
        """Return the hosts that were heard so lately."""
        now = self._parts.clock.monotonic()
        return [host for host, item in self.peers.items() if now - item.heard < seconds]

    def meet(self, record: HostRecord) -> None:
        """Learn of a host from the store or the settings."""
        host = HostId(record.address)
        if host != self._own and host not in self.peers:
            now = self._parts.clock.monotonic()
            self.peers[host] = PeerState(DataCentre(record.data_centre), now)

    def greet(self) -> None:
        """Tell all known hosts of this one."""
        digest = self._build_digest()
        for host in self.peers:
            self._parts.network.send(host, digest)

    def tell_now(self) -> None:
        """Tell the near hosts at once of what was found."""
        now = self._parts.clock.monotonic()
        digest = self._last = self._build_digest()
        for host in self._choose_receivers(now):
            self._parts.network.send(host, digest)

    def tick(self) -> None:
        """Send what is due."""
        now = self._parts.clock.monotonic()
        self._round += 1
        self._parts.loads.expire(now)
        self._forget(now)
        digest = self._build_digest()
        if digest == self._last and self._round % QUIET_PERIODS:
            return
        self._last = digest
        self._parts.loads.note_told()
        for host in self._choose_receivers(now):
            self._parts.network.send(host, digest)

    def _choose_receivers(self, now: float) -> list[HostId]:
        heard = {
            host: item
            for host, item in self.peers.items()
            if now - item.heard < SILENT_SECONDS or self._round % 10 == 0
        }
        near = [host for host, item in heard.items() if self._is_near(item)]
        far = [host for host in heard if host not in near]
        chosen = self._parts.source.sample(far, min(FAR_PEERS, len(far)))
        return near + chosen

    def _is_near(self, peer: PeerState) -> bool:
        return peer.data_centre == self._parts.identity.data_centre

    def _forget(self, now: float) -> None:
        silent = [
            host
            for host, item in self.peers.items()
            if now - item.heard > FORGET_SECONDS
        ]
        for host in silent:
            del self.peers[host]

    def _build_digest(self) -> LoadDigest:
        parts = self._parts
        now = parts.clock.monotonic()
        held = self.lease.show_row() if self.lease else None
        usages = tuple(
            TargetUsage(name, usage.requests, usage.tokens)
            for name, usage in sorted(parts.loads.own.items())
        )
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
            DataCentre(parts.identity.data_centre),
            parts.directory.version,
            parts.directory.registry.revision,
            usages,
            tuple(parts.directory.suspects.list_dead(now)),
            slow if held else (),
            tuple(
                HeldLayers(name, layers.first, layers.end)
                if layers
                else HeldLayers(name, 0, 0)
                for name, (_, layers) in self.recent_layers.items()
            ),
            LeaseNote(encode_lease(held[0]), held[1]) if held else None,
            self.leaving,
            self._reads,
        )

    # Digests of others.

    def _take_digest(self, sender: HostId, digest: LoadDigest) -> None:
        parts = self._parts
        now = parts.clock.monotonic()
        is_new = sender not in self.peers
        self.peers[sender] = PeerState(
            digest.data_centre,
            now,
            digest.version,
            digest.revision,
            digest.leaving,
            digest.reads,
        )
        if is_new:
            parts.network.send(sender, self._build_digest())
        usages = {
            item.target: Usage(item.requests, item.tokens) for item in digest.usages
        }
        parts.loads.hear(sender, usages, now)
        for name in digest.dead:
            target = parts.directory.registry.targets.get(name)
            if target is not None and not parts.directory.suspects.is_out(name, now):
                # What a peer can't reach may well be alive: the peer may be cut off.
                parts.probes.check_later(target)
        if digest.lease is not None:
            self._take_orderer(sender, digest.lease, digest, now)
        elif sender == self._orderer:
            self._forget_orderer(now)
        self._news.ask(sender, digest, now)

    def _forget_orderer(self, now: float) -> None:
        """Learn that the host that ordered the engines does so no more."""
        self._orderer = None
        self._orderer_heard = float("-inf")
        if self.lease is not None:
            self.lease.note_released(now)

    def _take_orderer(
        self, sender: HostId, note: LeaseNote, digest: LoadDigest, now: float
    ) -> None:
        """Take what only the host that orders the engines knows."""
        parts = self._parts
        self._orderer = sender
        self._orderer_heard = now
        if self.lease is not None and not self.lease.holds:
            try:
                self.lease.see(Row(note.value, note.version), now)
            except ValueError as error:
                logger.warning("lease_note_unreadable", sender=sender, why=str(error))
        parts.planner.slowness.clear()
        for slow in digest.slow:
            parts.planner.slowness[slow.target] = slow.factor
        for held in digest.layers:
            layers = LayerRange(held.first, held.end) if held.end else None
            parts.directory.registry.note_layers(held.target, layers)
