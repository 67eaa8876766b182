"""The other hosts as this one knows them, and its own role among them.

The hosts of a small data centre form a full mesh. In a larger one the live hosts with
the lowest ranks are relays; the first of these, the lead, sends summaries of all loads,
and the others stand by.
"""

import random
from collections import Counter
from collections.abc import Mapping

from msgspec import Struct

from marigoldswitch.core.gateway_messages import LoadDigest, LoadSummary
from marigoldswitch.core.ids import DataCentre, HostId
from marigoldswitch.core.populations import Population
from marigoldswitch.core.ports import Clock
from marigoldswitch.core.relays import (
    MAX_MESH_HOSTS,
    READER_TIMEOUT_SECONDS,
    HostRank,
    ReaderSelection,
    choose_backoff_factor,
    choose_pause_factor,
    choose_relays,
    is_lead,
)
from marigoldswitch.gateway.ports import HostRecord

SILENT_SECONDS = 3.0
"""Time after which a host that was not heard counts as silent. It then gets only the
broadcast digests, every tenth one."""
FORGET_SECONDS = 120.0
"""Time after which a host that nobody has mentioned is forgotten. A live host announces
itself."""
SUMMARY_VALID_SECONDS = 2.0
"""Time for which the host counts of a relay's summary are used: several summary
intervals."""
HOST_LIST_WAIT_SECONDS = 0.4
"""Time after its start for which a host waits for the list of hosts before it reads the
store. Otherwise, when all hosts start, each reads every table."""
RELAYS_PER_HOST = 2
"""Relays to which a host sends its loads: the lead and the next one, which is then
ready to take over."""
REMOTE_RELAY_CANDIDATES = 6
"""Hosts of another data centre that are tried as its relays while none was heard: the
first three, and as many that may have replaced them."""
REMOTE_PEERS = 2
"""Hosts of other data centres that get a digest from a host of a full mesh, drawn anew
each time. A change reaches all of them in about ten rounds."""


class PeerState(Struct):
    """State of another host.

    :ivar rank: its place among the hosts of its data centre, the lowest first; built
        when it is heard, as each tick needs it several times.
    :ivar heard_at: when it last sent a digest, or was added from a list.
    :ivar mentioned_at: when it or another source last named it.
    :ivar leaving: it is shutting down.
    :ivar revision: up to which it knows the targets.
    :ivar version: of its configuration.
    :ivar is_reader: it has said that it reads the store.
    :ivar reading_at: when it or a peer last reported that it reads the store; ``None``
        if it does not.
    :ivar is_cut_off: it reaches no target.
    :ivar proxy_port: at which it takes requests of other hosts; 0 if unknown.
    """

    data_centre: DataCentre
    rank: HostRank
    heard_at: float
    mentioned_at: float
    leaving: bool = False
    revision: int = 0
    version: int = 0
    is_reader: bool = False
    reading_at: float | None = None
    is_cut_off: bool = False
    proxy_port: int = 0


class Roster:
    """Table of the other hosts.

    :param own: this host.
    :param home: its data centre.
    :param source: of random choices.
    :param strength: of its link; hosts with the strongest links rank first.
    :ivar has_host_list: the store's list of hosts has been read.
    :ivar knows_members: that list names other hosts, or there are none.
    """

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
        self._reader_turn = ReaderSelection()
        self._started_at = clock.monotonic()
        self.has_host_list = False
        self.knows_members = False
        self._population = Population(own, home)
        self._summaries: dict[DataCentre, tuple[float, LoadSummary]] = {}
        """The last summary from each data centre, and when it was received."""

    # Updates.

    def add_peer(self, record: HostRecord) -> None:
        """Add a host that the store or the settings name."""
        host, centre = HostId(record.address), DataCentre(record.data_centre)
        now = self._clock.monotonic()
        known = self.peers.get(host)
        if host != self._own and known is None:
            rank = HostRank(-record.strength, host)
            self.peers[host] = PeerState(centre, rank, now, now)
        elif known is not None and centre and not known.data_centre:
            # The settings name it without its data centre.
            known.data_centre = centre
            known.rank = HostRank(-record.strength, host)
        if centre:
            self._population.note_member(host, centre, now)

    def update_from_digest(self, host: HostId, digest: LoadDigest) -> bool:
        """Store what a digest says of its sender and of readers.

        :return: whether the sender is new.
        """
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
            digest.version,
            digest.reads,
            reading_at,
            digest.is_cut_off,
            digest.proxy_port,
        )
        self._population.note_member(host, digest.data_centre, now, digest.leaving)
        for name in digest.readers:
            other = self.peers.get(name)
            if other is not None and digest.data_centre == self._home:
                other.reading_at = now
        return known is None

    def update_from_summary(self, sender: HostId, summary: LoadSummary) -> None:
        """Store the host counts, and the list of hosts if any, of a relay's summary."""
        peer = self.peers.get(sender)
        if peer is None:
            return
        now = self._clock.monotonic()
        self._summaries[peer.data_centre] = (now, summary)
        for item in summary.members:
            if peer.data_centre in (self._home, item.data_centre):
                self._population.note_reported(item.data_centre, item.hosts, now)
        if peer.data_centre != self._home:
            return
        for name in summary.hosts:
            if name == self._own:
                continue
            known = self.peers.get(name)
            if known is None:
                # Counts as silent until it sends a message itself.
                past = now - SILENT_SECONDS
                rank = HostRank(0, name)
                self.peers[name] = PeerState(self._home, rank, past, now)
            else:
                known.mentioned_at = now
            leaving = known is not None and known.leaving
            self._population.note_member(name, self._home, now, leaving)

    def expire(self) -> None:
        """Drop the hosts that nobody has mentioned for ``FORGET_SECONDS``."""
        now = self._clock.monotonic()
        for host, item in list(self.peers.items()):
            if now - max(item.heard_at, item.mentioned_at) > FORGET_SECONDS:
                del self.peers[host]
        self._population.expire(now)

    # Lists and counts of hosts.

    def list_local(self, seconds: float = SILENT_SECONDS) -> list[HostId]:
        """Return the hosts of this data centre that were heard in the last seconds."""
        return self._list_heard(seconds, local=True)

    def count_local(self) -> int:
        """Return the number of live hosts of this data centre, this one included."""
        summary = None if self.is_lead else self._get_summary(self._home)
        return summary.near if summary else 1 + len(self.list_local())

    def count_live(self) -> int:
        """Return the number of live hosts of all data centres, this one included."""
        summary = None if self.is_lead else self._get_summary(self._home)
        return summary.live if summary else self.count_local() + self._count_remote()

    def count_by_centre(self) -> Mapping[DataCentre, int]:
        """Return the number of hosts of each data centre, silent ones included."""
        return self._population.count_by_centre()

    def count_members(self) -> int:
        """Return the number of hosts that share bounds, silent ones included.

        Bounds over hosts are divided by it: each side of a partition would otherwise
        use the parts of the other side as well.
        """
        return self._population.count()

    def count_known_members(self) -> int | None:
        """Return the same, or ``None`` until this host has been told of the others."""
        is_told = self.knows_members or self._population.is_reported
        return self.count_members() if is_told else None

    def is_near(self, host: HostId) -> bool:
        """Return whether a host is in this data centre."""
        peer = self.peers.get(host)
        return peer is not None and peer.data_centre == self._home

    def _count_remote(self) -> int:
        """Return the number of live hosts of the other data centres."""
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
        """Return the last summary from a data centre, if it is recent."""
        at, summary = self._summaries.get(centre, (float("-inf"), None))
        is_fresh = self._clock.monotonic() - at < SUMMARY_VALID_SECONDS
        return summary if is_fresh else None

    def _list_heard(self, seconds: float, local: bool) -> list[HostId]:
        now = self._clock.monotonic()
        return [
            host
            for host, item in self.peers.items()
            if now - item.heard_at < seconds
            and (item.data_centre == self._home) == local
        ]

    def list_ages(self) -> dict[HostId, float]:
        """Return the seconds since each host of this data centre was last heard.

        Hosts that are shutting down are left out.
        """
        now = self._clock.monotonic()
        return {
            host: now - item.heard_at
            for host, item in self.peers.items()
            if item.data_centre == self._home and not item.leaving
        }

    def _rank_ages(self) -> dict[HostRank, float]:
        """Return the ages of ``list_ages`` by the ranks of the hosts."""
        return {self._rank(host): age for host, age in self.list_ages().items()}

    def _rank(self, host: HostId) -> HostRank:
        return self.peers[host].rank

    # This host's role.

    @property
    def is_mesh(self) -> bool:
        """Return whether the hosts of this data centre form a full mesh."""
        return len(self.list_ages()) < MAX_MESH_HOSTS

    @property
    def relays(self) -> list[HostId]:
        """Return the relays of this data centre, the lead first."""
        ranks = choose_relays(self._own_rank, self._rank_ages())
        return [item.host for item in ranks]

    @property
    def is_relay(self) -> bool:
        """Return whether this host is a relay, active or standby."""
        return self._own in self.relays

    @property
    def is_lead(self) -> bool:
        """Return whether this host is the lead relay, which sends the summaries."""
        return is_lead(self._own_rank, self._rank_ages())

    def must_read(self) -> bool:
        """Return whether this host must read the store itself."""
        now = self._clock.monotonic()
        if not self.has_host_list and now - self._started_at < HOST_LIST_WAIT_SECONDS:
            return False
        ranks, readers = self._rank_ages(), self._rank_readers(now)
        return self._reader_turn.must_read(self._own_rank, ranks, readers, now)

    def _rank_readers(self, now: float) -> list[HostRank]:
        """Return the ranks of the other readers of this data centre."""
        return [
            self._rank(host)
            for host, item in self.peers.items()
            if item.data_centre == self._home and _is_reading(item, now)
        ]

    def choose_pause_factor(self) -> float:
        """Return the factor by which this host pauses longer between reads.

        In a full mesh each reader reads for itself only.
        """
        if self.is_mesh:
            return 1.0
        readers = self._rank_readers(self._clock.monotonic())
        return choose_pause_factor(self._own_rank, readers)

    def choose_backoff_factor(self) -> float:
        """Return the factor by which this host waits longer in an outage of the store.

        It is 1 for the first hosts of the data centre.
        """
        return choose_backoff_factor(self._own_rank, self._rank_ages())

    def matches_reader(self, revision: int, version: int) -> bool:
        """Return whether a live reader of the store knows no more than this host.

        :param revision: up to which this host knows the targets.
        :param version: of this host's configuration.
        """
        now = self._clock.monotonic()
        return any(
            item.is_reader
            and item.revision <= revision
            and item.version <= version
            and now - item.heard_at < READER_TIMEOUT_SECONDS
            for item in self.peers.values()
        )

    def hears_reader(self) -> bool:
        """Return whether any host is known to have read the store recently."""
        now = self._clock.monotonic()
        return any(_is_reading(item, now) for item in self.peers.values())

    def list_readers(self) -> tuple[HostId, ...]:
        """Return the hosts of this data centre that say that they read the store."""
        return tuple(
            sorted(
                host
                for host in self.list_local(READER_TIMEOUT_SECONDS)
                if self.peers[host].is_reader
            )
        )

    # Recipients of digests.

    def choose_local_recipients(self, to_all: bool = False) -> list[HostId]:
        """Return the hosts of this data centre that get a digest.

        :param to_all: it is a broadcast: standby relays send it to all hosts too, and
            silent hosts get it as well.
        """
        if not self.is_mesh and not self.is_relay:
            return self.relays[:RELAYS_PER_HOST]
        if to_all:
            return list(self.list_ages())
        if self.is_mesh or self.is_lead:
            return self.list_local()
        return [host for host in self.relays if host != self._own]

    def choose_remote_recipients(self) -> list[HostId]:
        """Return the hosts of other data centres that get a digest."""
        remote: dict[DataCentre, list[HostId]] = {}
        for host, item in self.peers.items():
            if item.data_centre != self._home:
                remote.setdefault(item.data_centre, []).append(host)
        if self.is_mesh:
            heard = self._list_heard(SILENT_SECONDS, local=False)
            return self._source.sample(heard, min(REMOTE_PEERS, len(heard)))
        if not self.is_lead:
            return []
        return [
            host
            for hosts in remote.values()
            for host in self._choose_remote_relay(hosts)
        ]

    def choose_remote_leads(self) -> list[HostId]:
        """Return the lead relay of each other data centre, of the hosts that were
        heard."""
        leads: dict[DataCentre, HostId] = {}
        for host in self._list_heard(SILENT_SECONDS, local=False):
            centre = self.peers[host].data_centre
            known = leads.get(centre)
            if known is None or self._rank(host) < self._rank(known):
                leads[centre] = host
        return list(leads.values())

    def _choose_remote_relay(self, hosts: list[HostId]) -> list[HostId]:
        """Return the hosts of a remote data centre to send to: its relay, if known.

        :param hosts: the known hosts of that data centre.
        """
        now = self._clock.monotonic()
        heard = [
            host for host in hosts if now - self.peers[host].heard_at < SILENT_SECONDS
        ]
        if len(hosts) < MAX_MESH_HOSTS:
            return self._source.sample(heard, min(REMOTE_PEERS, len(heard)))
        if heard:
            return [min(heard, key=self._rank)]
        first = sorted(hosts, key=self._rank)[:REMOTE_RELAY_CANDIDATES]
        return self._source.sample(first, REMOTE_PEERS)


def _is_reading(peer: PeerState, now: float) -> bool:
    """Return whether a host was recently reported to read the store."""
    return (
        peer.reading_at is not None and now - peer.reading_at < READER_TIMEOUT_SECONDS
    )
