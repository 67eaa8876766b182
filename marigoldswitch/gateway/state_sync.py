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
from marigoldswitch.core.loads import Loads
from marigoldswitch.core.loans import LoanBook
from marigoldswitch.core.ports import Clock
from marigoldswitch.core.registry import TargetRow
from marigoldswitch.gateway.crashes import CrashWatch
from marigoldswitch.gateway.directory import Directory
from marigoldswitch.gateway.followers import ConfigurationFollower, TargetFollower
from marigoldswitch.gateway.planner import ChainPlanner
from marigoldswitch.gateway.ports import Identity, PlatformFeeds
from marigoldswitch.gateway.probing import EngineProbes
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
    """The collaborators of the digest exchange."""

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


class _Lag(Struct):
    """When this host fell behind in one kind of state, and when it last asked for it.

    :ivar what: the kind of state, for the log.
    :ivar min_interval: minimum time between two requests, in seconds.
    :ivar missing_since: when this host first heard of state that it still lacks.
    """

    what: str
    min_interval: float
    behind_since: float | None = None
    requested_at: float = field(default=float("-inf"))
    missing_since: float | None = None
    _is_logged: bool = False

    def log_lag(self, sender: HostId, heard: int, known: int, now: float) -> None:
        """Log once that newer state has been missing for long, and when it arrives.

        :param heard: version or revision that the sender has.
        :param known: version or revision that this host has.
        """
        if heard <= known:
            if self._is_logged:
                logger.info("state_caught_up", what=self.what, known=known)
            self.missing_since, self._is_logged = None, False
            return
        if self.missing_since is None:
            self.missing_since = now
        seconds = now - self.missing_since
        if seconds >= LOGGED_LAG_SECONDS and not self._is_logged:
            self._is_logged = True
            logger.warning(
                "state_missing",
                what=self.what,
                sender=sender,
                heard=heard,
                known=known,
                seconds=round(seconds, 2),
            )

    def should_request(self, behind: bool, cut_off: bool, now: float) -> bool:
        """Return whether to ask a peer now; if so, record the request.

        :param behind: the peer has newer state.
        :param cut_off: this host can't get it from the store itself.
        """
        if not behind:
            self.behind_since = None
            return False
        if self.behind_since is None:
            self.behind_since = now
        waited = cut_off or now - self.behind_since >= FETCH_SECONDS
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
        self._configuration = _Lag("configuration", CONFIGURATION_FETCH_SECONDS)
        self._targets = _Lag("targets", FETCH_SECONDS)
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
        self._configuration.log_lag(sender, digest.version, version, now)
        self._targets.log_lag(sender, digest.revision, registry.revision, now)
        idle = not self._must_read()
        configuration_lost = parts.configuration.dependency.is_lost or idle
        behind = digest.version > version
        if self._configuration.should_request(behind, configuration_lost, now):
            parts.network.send(sender, FetchConfiguration(version))
            logger.info(
                "configuration_asked",
                teller=sender,
                version=digest.version,
                known=version,
            )
        targets_lost = parts.targets.dependency.is_lost or idle
        # Only current hosts answer with targets. A host that sent its request to
        # another one first, in each round, stayed behind for 10 s.
        accepts_any = self._accepts_any_sender(digest, now)
        is_trusted = digest.current or accepts_any
        behind = is_trusted and digest.revision > registry.revision
        if targets_lost and self._targets.should_request(behind, targets_lost, now):
            parts.network.send(sender, FetchTargets(registry.revision))
            logger.info(
                "targets_asked",
                teller=sender,
                revision=digest.revision,
                known=registry.revision,
            )

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
    return TargetRow(target, note.leaving, note.revision, note.born)
