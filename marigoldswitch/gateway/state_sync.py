"""Transfer of the configuration and the targets between hosts.

A host that does not read the store, or that the store refuses, fetches them from a peer
that has them. The higher version or revision is the newer one, whoever sends it.
"""

import random
import zlib
from collections.abc import Callable

import structlog
from msgspec import Struct, field
from result import Err, Ok

from marigoldswitch.core.catalogue import LayerRange, Target
from marigoldswitch.core.contact import TargetContact
from marigoldswitch.core.gateway_messages import (
    ConfigurationContent,
    FetchConfiguration,
    FetchTargets,
    GatewayMessage,
    LoadDigest,
    TargetNote,
    TargetsContent,
)
from marigoldswitch.core.ids import HostId
from marigoldswitch.core.lags import Lag, choose_patience
from marigoldswitch.core.loads import Loads
from marigoldswitch.core.loans import MILLISECONDS_PER_SECOND, LoanBook
from marigoldswitch.core.ports import Clock
from marigoldswitch.core.registry import TargetRow
from marigoldswitch.gateway.crashes import CrashWatch
from marigoldswitch.gateway.directory import Directory
from marigoldswitch.gateway.followers import ConfigurationFollower, TargetFollower
from marigoldswitch.gateway.planner import ChainPlanner
from marigoldswitch.gateway.ports import Identity, PlatformFeeds
from marigoldswitch.gateway.probing import EngineProbes
from marigoldswitch.gateway.service_contacts import ServiceContacts
from marigoldswitch.peers import PeerNetwork

logger = structlog.get_logger(__name__)

COMPRESSION_LEVEL = 1
"""zlib level for configurations, the cheapest; it makes large ones ten times smaller.
Uncompressed, a configuration of 1,400 routes would take a relay on 10 Mbit/s more than
the 3 s in which the hosts of its data centre must have it in force."""
MAX_CONFIGURATION_BYTES = 64 * 1024 * 1024
"""Largest decompressed configuration accepted from a peer, a thousand times the usual
size."""
FETCH_SECONDS = 0.4
"""Minimum time between two requests for targets. Also how long a host that reads the
store waits for its own feed to catch up before it asks a peer."""
CONFIGURATION_FETCH_SECONDS = 0.8
"""Minimum time between two requests for a configuration. A relay sends its copies to a
whole data centre in about half of it; earlier requests would have each copy sent
several times, and the last ones arrive late."""
LOGGED_LAG_SECONDS = 1.0
"""Time for which newer state must be missing before that is logged: half of the time
after which a configuration must be in force."""
STORE_AWAY_SECONDS = 0.8
"""Time without a digest from a current host after which the store counts as away; such
hosts send every 0.1 to 0.5 s."""


class DigestExchangeParts(Struct):
    """The collaborators of the digest exchange.

    :param proxy_port: at which this host takes requests of other hosts; 0 for none.
    """

    clock: Clock
    network: PeerNetwork
    directory: Directory
    loads: Loads
    loans: LoanBook
    planner: ChainPlanner
    probes: EngineProbes
    crashes: CrashWatch
    feeds: PlatformFeeds
    configuration: ConfigurationFollower
    targets: TargetFollower
    identity: Identity
    source: random.Random
    contact: TargetContact
    services: ServiceContacts
    proxy_port: int


class _Requests(Struct):
    """Requests for one kind of state, and whether its lack was logged.

    :ivar what: the kind of state, for the log.
    :ivar min_interval: minimum time between two requests, in seconds.
    """

    what: str
    min_interval: float
    lag: Lag = field(default_factory=Lag)
    requested_at: float = field(default=float("-inf"))
    is_lag_logged: bool = False

    def note_announced(
        self, sender: HostId, number: int, known: int, is_current: bool, now: float
    ) -> None:
        """Record the number that a peer has, and log a lag that lasts.

        :param known: the number that this host has.
        :param is_current: the peer knows the current state of the store.
        """
        self.lag.note_announced(number, known, is_current, now)
        seconds = self.lag.measure_missing(known, now)
        if seconds is None and self.is_lag_logged:
            self.is_lag_logged = False
            logger.info("state_caught_up", what=self.what, known=known)
        elif seconds is not None and seconds >= LOGGED_LAG_SECONDS:
            if not self.is_lag_logged:
                logger.warning(
                    "state_missing",
                    what=self.what,
                    sender=sender,
                    heard=number,
                    known=known,
                    seconds=round(seconds, 2),
                )
            self.is_lag_logged = True

    def should_request(self, known: int, cut_off: bool, now: float) -> bool:
        """Return whether to ask a peer that has newer state; if so, record the request.

        :param known: the number that this host has.
        :param cut_off: this host can't get it from the store itself.
        """
        missing = self.lag.measure_missing(known, now) or 0.0
        waited = cut_off or missing >= FETCH_SECONDS
        if not waited or now - self.requested_at < self.min_interval:
            return False
        self.requested_at = now
        return True


class StateSync:
    """Requests newer configurations and targets from peers, and answers their requests.

    :param must_read: whether this host must read the store itself.
    :param is_current: whether this host reads the store and gets answers, or knows no
        less than a host that does and was heard recently.
    """

    def __init__(
        self,
        parts: DigestExchangeParts,
        must_read: Callable[[], bool],
        is_current: Callable[[], bool],
    ) -> None:
        self._parts = parts
        self._must_read = must_read
        self._is_current = is_current
        self._jitter = parts.source.random()
        self._configuration = _Requests("configuration", CONFIGURATION_FETCH_SECONDS)
        self._targets = _Requests("targets", FETCH_SECONDS)
        self._current_heard_at: float | None = None
        """When a current host, or the first host at all, was last heard."""
        self._compressed: ConfigurationContent | None = None
        """The newest configuration that was requested, ready to send."""
        handlers: dict[type[GatewayMessage], Callable[..., None]] = {
            FetchConfiguration: self._send_configuration,
            ConfigurationContent: self._handle_configuration,
            FetchTargets: self._send_targets,
            TargetsContent: self._handle_targets,
        }
        for kind, handler in handlers.items():
            parts.network.register(kind, handler)

    def request_missing(self, sender: HostId, digest: LoadDigest, now: float) -> None:
        """Request the state that a peer's digest shows to be newer than this host's."""
        parts = self._parts
        version, registry = parts.directory.version, parts.directory.registry
        idle = not self._must_read()
        requests = self._configuration
        requests.note_announced(sender, digest.version, version, digest.current, now)
        lost = parts.configuration.dependency.is_lost or idle
        if digest.version > version and requests.should_request(version, lost, now):
            parts.network.send(sender, FetchConfiguration(version))
            logger.info(
                "configuration_asked",
                teller=sender,
                version=digest.version,
                known=version,
            )
        # Only current hosts answer with targets. A host that sent its request to
        # another one first, in each round, stayed behind for 10 s.
        accepts_any = self._accepts_any_sender(digest, now)
        if not digest.current and not accepts_any:
            return
        requests, known = self._targets, self._get_targets_revision()
        requests.note_announced(sender, digest.revision, known, digest.current, now)
        lost = parts.targets.dependency.is_lost or idle
        is_behind = digest.revision > registry.revision
        if lost and is_behind and requests.should_request(known, lost, now):
            parts.network.send(sender, FetchTargets(registry.revision))
            logger.info(
                "targets_asked",
                teller=sender,
                revision=digest.revision,
                known=registry.revision,
            )

    def use_bounds(self, configuration_seconds: float, targets_seconds: float) -> None:
        """Set the times within which new state must be in force."""
        for requests, bound in (
            (self._configuration, configuration_seconds),
            (self._targets, targets_seconds),
        ):
            requests.lag.patience = choose_patience(bound, self._jitter)

    def note_own_reads(self, now: float) -> None:
        """Record that this host reads the store, as far as the store answers."""
        if not self._parts.configuration.dependency.is_lost:
            self._configuration.lag.confirm(now)
        if not self._parts.targets.dependency.is_lost:
            self._targets.lag.confirm(now)

    def is_missing(self, now: float) -> bool:
        """Return whether peers have announced state that they don't bring in time."""
        version, revision = self._parts.directory.version, self._get_targets_revision()
        return self._configuration.lag.is_missing(
            version, now
        ) or self._targets.lag.is_missing(revision, now)

    def must_read_configuration(self, now: float) -> bool:
        """Return whether peers do not bring the configuration in time."""
        return self._configuration.lag.must_read(self._parts.directory.version, now)

    def must_read_targets(self, now: float) -> bool:
        """Return whether peers do not bring the targets in time."""
        return self._targets.lag.must_read(self._get_targets_revision(), now)

    def _get_targets_revision(self) -> int:
        """Return the revision up to which this host knows the targets."""
        parts = self._parts
        return max(parts.directory.registry.revision, parts.targets.revision)

    def _accepts_any_sender(self, digest: LoadDigest, now: float) -> bool:
        """Return whether targets may be fetched from a host that is not current.

        This holds only while this host has no targets and hears no current host.
        Otherwise hosts that start in an outage of the store refuse all callers until it
        is over, 5 s in one case.
        """
        if digest.current or self._current_heard_at is None:
            self._current_heard_at = now
        is_alone = now - self._current_heard_at >= STORE_AWAY_SECONDS
        return is_alone and not self._parts.directory.has_targets

    def _send_configuration(self, sender: HostId, request: FetchConfiguration) -> None:
        stored = self._parts.directory.stored
        if stored is None or stored.table.version <= request.version:
            return
        if self._compressed is None or self._compressed.version != stored.table.version:
            compressed = zlib.compress(stored.content, COMPRESSION_LEVEL)
            self._compressed = ConfigurationContent(stored.table.version, compressed)
        self._parts.network.send(sender, self._compressed)
        logger.info(
            "configuration_told",
            receiver=sender,
            version=self._compressed.version,
            known=request.version,
            bytes=len(self._compressed.content),
            unpacked=len(stored.content),
        )

    def _handle_configuration(
        self, sender: HostId, message: ConfigurationContent
    ) -> None:
        if message.version <= self._parts.directory.version:
            return
        try:
            content = _decompress(message.content)
        except (ValueError, zlib.error) as error:
            logger.warning("configuration_refused", sender=sender, why=str(error))
            return
        match self._parts.feeds.decode_configuration(content):
            case Ok(stored):
                self._parts.directory.adopt(stored, str(sender))
            case Err(why):
                logger.warning("configuration_refused", sender=sender, why=why)

    def _send_targets(self, sender: HostId, request: FetchTargets) -> None:
        """Send the rows that have changed, and the names of all targets.

        All rows for each change, to a whole data centre, would fill a tenth of the link
        of a small host.
        """
        directory = self._parts.directory
        registry = directory.registry
        may_send = self._is_current() or (
            directory.has_targets and request.revision == 0
        )
        if not may_send or registry.revision <= request.revision:
            return
        notes = tuple(
            _encode_row(row)
            for row in registry.rows.values()
            if row.revision > request.revision
        )
        content = TargetsContent(
            registry.revision, notes, tuple(registry.rows), registry.lapsed
        )
        self._parts.network.send(sender, content)

    def _handle_targets(self, sender: HostId, message: TargetsContent) -> None:
        parts = self._parts
        registry = parts.directory.registry
        reads = self._must_read() and not parts.targets.dependency.is_lost
        if reads or message.revision <= registry.revision:
            return
        now = parts.clock.monotonic()
        changed = {item.target: _decode_row(item) for item in message.targets}
        rows = [
            changed.get(name) or registry.rows[name]
            for name in message.names
            if name in changed or name in registry.rows
        ]
        registry.replace_all(rows, message.revision, now, is_authoritative=True)
        for name in message.lapsed:
            # Dropping it later raises no revision, so no peer would report that.
            registry.lapse(name, now)
        parts.directory.has_targets = True
        logger.info("targets_taken", sender=sender, revision=message.revision)


def _decompress(compressed: bytes) -> bytes:
    """Return the decompressed bytes of a configuration.

    :raises ValueError: if the data is truncated or too large.
    """
    decompressor = zlib.decompressobj()
    content = decompressor.decompress(compressed, MAX_CONFIGURATION_BYTES)
    if not decompressor.eof:
        raise ValueError("compressed data is truncated or too large")
    return content


def _encode_row(row: TargetRow) -> TargetNote:
    target = row.target
    layers = (target.layers.first, target.layers.end) if target.layers else ()
    return TargetNote(
        target.id,
        target.service,
        target.data_centre,
        target.address,
        target.slots,
        target.accelerator,
        row.leaving,
        row.revision,
        layers,
        row.born,
        round(row.cold_seconds * MILLISECONDS_PER_SECOND),
    )


def _decode_row(note: TargetNote) -> TargetRow:
    layers = LayerRange(*note.layers) if len(note.layers) == 2 else None
    target = Target(
        note.target,
        note.service,
        note.data_centre,
        note.address,
        note.slots,
        layers,
        note.accelerator,
    )
    cold_seconds = note.cold_ms / MILLISECONDS_PER_SECOND
    return TargetRow(target, note.leaving, note.revision, note.born, cold_seconds)
