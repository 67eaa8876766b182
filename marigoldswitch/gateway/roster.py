"""The hosts that this one has heard of, and its own part among them."""

import random
from collections import Counter
from dataclasses import dataclass

from marigoldswitch.core.gateway_messages import LoadDigest, LoadSummary
from marigoldswitch.core.ids import DataCentre, HostId
from marigoldswitch.core.ports import Clock
from marigoldswitch.core.relays import (
    MESH_HOSTS,
    READER_SECONDS,
    HostRank,
    ReaderTurn,
    choose_patience,
    choose_relays,
    is_lead,
)
from marigoldswitch.gateway.ports import HostRecord

SILENT_SECONDS = 3.0
"""A host that was not heard for this long gets only every tenth digest."""
FORGET_SECONDS = 120.0
"""A host of which nobody has told for this long is forgotten; it announces itself if it
lives."""
SUMMARY_VALID_SECONDS = 2.0
"""Time for which a relay's count of hosts stands: several of its summaries."""
HOST_LIST_WAIT_SECONDS = 0.4
"""Time after its start in which a host waits for the list of the others, which may read
the store for it; otherwise a start of all reads every table once a host."""
RELAYS_PER_HOST = 2
"""Relays that a host tells of its loads: the one that sums up and the next, which is
then ready to."""
REMOTE_RELAY_CANDIDATES = 6
"""Hosts of another data centre among which its relay is sought while none was heard:
its first three, and as many that may have taken their places."""
REMOTE_PEERS = 2
"""Hosts of other data centres that a digest goes to where each host tells each other,
drawn anew each time: news reaches all of them in some ten rounds."""


@dataclass(slots=True)
class PeerState:
    """What is known of another host.

    :ivar heard_at: when it was last heard.
    :ivar mentioned_at: when anybody last told of it.
    :ivar reading_at: when it was last said to read the store; ``None`` if it does not.
    :ivar rank: its place among the hosts of its data centre, the lowest first; built
        when it is heard, as it is asked for several times in each tick.
    """

    data_centre: DataCentre
    rank: HostRank
    heard_at: float
    mentioned_at: float
    leaving: bool = False
    revision: int = 0
    is_reader: bool = False
    reading_at: float | None = None


class Roster:
    """The other hosts."""

    def __init__(
        self,
        clock: Clock,
        own: HostId,
        home: DataCentre,
        source: random.Random,
        strength: int = 0,
    ) -> None:
        self.peers: dict[HostId, PeerState] = {}
        self._clock = clock
        self._own = own
        self._own_rank = HostRank(-strength, own)
        self._home = home
        self._source = source
        self._turn = ReaderTurn()
        self._started_at = clock.monotonic()
        self.is_listed = False
        """The store has told of the other hosts."""
        self._summaries: dict[DataCentre, tuple[float, LoadSummary]] = {}
        """What the relays of the data centres have counted, and when that was heard."""

    # What is learnt.

    def meet(self, record: HostRecord) -> None:
        """Learn of a host from the store or the settings."""
        host = HostId(record.address)
        now = self._clock.monotonic()
        if host != self._own and host not in self.peers:
            centre = DataCentre(record.data_centre)
            rank = HostRank(-record.strength, host)
            self.peers[host] = PeerState(centre, rank, now, now)

    def hear(self, host: HostId, digest: LoadDigest) -> bool:
        """Take what a host says of itself and its peers; tell whether it is new."""
        now = self._clock.monotonic()
        known = self.peers.get(host)
        reading_at = now if digest.reads else None
        self.peers[host] = PeerState(
            digest.data_centre,
            HostRank(-digest.strength, host),
            now,
            now,
            digest.leaving,
            digest.revision,
            digest.reads,
            reading_at,
        )
        for name in digest.readers:
            other = self.peers.get(name)
            if other is not None and digest.data_centre == self._home:
                other.reading_at = now
        return known is None

    def update_from_summary(self, sender: HostId, summary: LoadSummary) -> None:
        """Take a relay's word on which hosts there are."""
        peer = self.peers.get(sender)
        if peer is None:
            return
        now = self._clock.monotonic()
        self._summaries[peer.data_centre] = (now, summary)
        if peer.data_centre != self._home:
            return
        for name in summary.hosts:
            if name == self._own:
                continue
            known = self.peers.get(name)
            if known is None:
                # Known from hearsay only: it counts as heard when it speaks.
                past = now - SILENT_SECONDS
                rank = HostRank(0, name)
                self.peers[name] = PeerState(self._home, rank, past, now)
            else:
                known.mentioned_at = now

    def expire(self) -> None:
        """Drop the hosts that nobody has told of for long."""
        now = self._clock.monotonic()
        for host, item in list(self.peers.items()):
            if now - max(item.heard_at, item.mentioned_at) > FORGET_SECONDS:
                del self.peers[host]

    # Who is there.

    def list_local(self, seconds: float = SILENT_SECONDS) -> list[HostId]:
        """Return the hosts of this data centre that were heard so lately."""
        return self._list_heard(seconds, local=True)

    def count_near(self) -> int:
        """Return the live hosts of this data centre, this one among them."""
        summary = None if self.is_lead else self._get_summary(self._home)
        return summary.near if summary else 1 + len(self.list_local())

    def count_live(self) -> int:
        """Return the live hosts, this one among them."""
        summary = None if self.is_lead else self._get_summary(self._home)
        return summary.live if summary else self.count_near() + self._count_remote()

    def _count_remote(self) -> int:
        """Return the live hosts of the other data centres."""
        heard = Counter(
            self.peers[host].data_centre
            for host in self._list_heard(SILENT_SECONDS, local=False)
        )
        for centre in self._summaries:
            summary = self._get_summary(centre)
            if summary is not None and centre != self._home:
                heard[centre] = max(heard[centre], summary.near)
        return sum(heard.values())

    def _get_summary(self, centre: DataCentre) -> LoadSummary | None:
        """Return the newest count of a data centre's relay, if it still stands."""
        at, summary = self._summaries.get(centre, (float("-inf"), None))
        fresh = self._clock.monotonic() - at < SUMMARY_VALID_SECONDS
        return summary if fresh else None

    def _list_heard(self, seconds: float, local: bool) -> list[HostId]:
        now = self._clock.monotonic()
        return [
            host
            for host, item in self.peers.items()
            if now - item.heard_at < seconds
            and (item.data_centre == self._home) == local
        ]

    def list_ages(self) -> dict[HostId, float]:
        """Return the seconds since each host of this data centre was heard."""
        now = self._clock.monotonic()
        return {
            host: now - item.heard_at
            for host, item in self.peers.items()
            if item.data_centre == self._home and not item.leaving
        }

    def _rank_ages(self) -> dict[HostRank, float]:
        """Return how long ago each host here was heard, in seconds, by its rank."""
        return {self._rank(host): age for host, age in self.list_ages().items()}

    def _rank(self, host: HostId) -> HostRank:
        return self.peers[host].rank

    # This host's part.

    @property
    def is_full_mesh(self) -> bool:
        """Tell whether the hosts of this data centre all tell each other."""
        return len(self.list_ages()) < MESH_HOSTS

    @property
    def relays(self) -> list[HostId]:
        """Return the hosts that relay, this one perhaps among them."""
        ranks = choose_relays(self._own_rank, self._rank_ages())
        return [item.host for item in ranks]

    @property
    def is_relay(self) -> bool:
        """Tell whether this host relays, or stands ready to."""
        return self._own in self.relays

    @property
    def is_lead(self) -> bool:
        """Tell whether this host sums up for the others."""
        return is_lead(self._own_rank, self._rank_ages())

    def must_read(self) -> bool:
        """Tell whether this host must follow the store by itself."""
        now = self._clock.monotonic()
        if not self.is_listed and now - self._started_at < HOST_LIST_WAIT_SECONDS:
            return False
        readers = [
            self._rank(host)
            for host, item in self.peers.items()
            if item.data_centre == self._home and _is_reading(item, now)
        ]
        ranks = self._rank_ages()
        return self._turn.must_read(self._own_rank, ranks, readers, now)

    def choose_patience(self) -> float:
        """Return how much longer than others this host waits in an outage."""
        return choose_patience(self._own_rank, self._rank_ages())

    def is_level_with_reader(self, revision: int) -> bool:
        """Tell whether a host was heard that reads, and knows no more than this one.

        :param revision: up to which this host knows the targets.
        """
        now = self._clock.monotonic()
        return any(
            item.is_reader
            and item.revision <= revision
            and now - item.heard_at < READER_SECONDS
            for item in self.peers.values()
        )

    def hears_reader(self) -> bool:
        """Tell whether a host was heard lately that the store answers."""
        now = self._clock.monotonic()
        return any(_is_reading(item, now) for item in self.peers.values())

    def list_readers(self) -> tuple[HostId, ...]:
        """Return the hosts of this data centre that have said that they read."""
        return tuple(
            sorted(
                host
                for host in self.list_local(READER_SECONDS)
                if self.peers[host].is_reader
            )
        )

    # Whom to tell.

    def choose_local_recipients(self, to_all: bool = False) -> list[HostId]:
        """Return the hosts of this data centre that get a digest.

        :param to_all: it is one of those that hosts get as well to which another relay
            speaks, or which have fallen silent.
        """
        if not self.is_full_mesh and not self.is_relay:
            return self.relays[:RELAYS_PER_HOST]
        if to_all:
            return list(self.list_ages())
        if self.is_full_mesh or self.is_lead:
            return self.list_local()
        return [host for host in self.relays if host != self._own]

    def choose_remote_recipients(self) -> list[HostId]:
        """Return the hosts of other data centres that get a digest."""
        far: dict[DataCentre, list[HostId]] = {}
        for host, item in self.peers.items():
            if item.data_centre != self._home:
                far.setdefault(item.data_centre, []).append(host)
        if self.is_full_mesh:
            heard = self._list_heard(SILENT_SECONDS, local=False)
            return self._source.sample(heard, min(REMOTE_PEERS, len(heard)))
        if not self.is_lead:
            return []
        return [
            host for hosts in far.values() for host in self._choose_remote_relay(hosts)
        ]

    def _choose_remote_relay(self, hosts: list[HostId]) -> list[HostId]:
        """Return whom to tell of another data centre: its relay, as far as is known."""
        now = self._clock.monotonic()
        heard = [
            host for host in hosts if now - self.peers[host].heard_at < SILENT_SECONDS
        ]
        if len(hosts) < MESH_HOSTS:
            return self._source.sample(heard, min(REMOTE_PEERS, len(heard)))
        if heard:
            return [min(heard, key=self._rank)]
        first = sorted(hosts, key=self._rank)[:REMOTE_RELAY_CANDIDATES]
        return self._source.sample(first, REMOTE_PEERS)


def _is_reading(peer: PeerState, now: float) -> bool:
    """Tell whether a host was lately said to read the store."""
    return peer.reading_at is not None and now - peer.reading_at < READER_SECONDS
