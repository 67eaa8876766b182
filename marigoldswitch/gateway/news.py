"""The configuration and the targets, passed between hosts.

A host that the store turns away, or that leaves reading to others, takes them from a
host that has read them. A version or a revision that is higher is newer, whoever tells
of it.
"""

import random
import zlib
from collections.abc import Callable
from dataclasses import dataclass, field

import structlog
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
"""Effort of packing a configuration, the least: it makes large ones a tenth as large.
Unpacked, one of 1,400 routes would take longer from a relay on 10 Mbit/s to the hosts
of its data centre than the 3 s in which it must be in force."""
MAX_CONFIGURATION_BYTES = 64 * 1024 * 1024
"""Largest configuration that is taken from a peer, a thousand times a usual one."""
TARGETS_FETCH_SECONDS = 0.4
"""Least time between two requests for targets; also how long news may be missed by the
store's own feed before it is asked for."""
CONFIGURATION_FETCH_SECONDS = 0.8
"""Least time between two requests for a configuration. A relay's copies for a whole
data centre leave it within half of that or so; asked for again meanwhile, each is sent
several times, and the last ones come late."""
STORE_AWAY_SECONDS = 0.8
"""Time without a word of a host that is in touch with the store after which the store
counts as away; such hosts speak every 0.1 to 0.5 s."""


@dataclass(slots=True)
class SpreadParts:
    """What the spread reads and feeds."""

    clock: Clock
    network: PeerNetwork
    directory: Directory
    loads: Loads
    planner: ChainPlanner
    probes: EngineProbes
    crashes: CrashWatch
    feeds: PlatformFeeds
    configuration: ConfigurationFollower
    targets: TargetFollower
    identity: Identity
    source: random.Random


@dataclass(slots=True)
class _Lag:
    """How far this host is behind in one kind of news.

    :ivar min_interval: least time between two requests, in seconds.
    """

    min_interval: float
    behind_since: float | None = None
    requested_at: float = field(default=float("-inf"))

    def should_request(self, behind: bool, cut_off: bool, now: float) -> bool:
        """Tell whether to ask a peer now."""
        if not behind:
            self.behind_since = None
            return False
        if self.behind_since is None:
            self.behind_since = now
        waited = cut_off or now - self.behind_since >= TARGETS_FETCH_SECONDS
        if not waited or now - self.requested_at < self.min_interval:
            return False
        self.requested_at = now
        return True


class StateSync:
    """Asks for what this host lacks and tells what it has.

    :param must_read: whether this host must follow the store by itself.
    :param is_current: whether it does and the store answers, or it has lately heard of
        a host of which that is true, and knows no less.
    """

    def __init__(
        self,
        parts: SpreadParts,
        must_read: Callable[[], bool],
        is_current: Callable[[], bool],
    ) -> None:
        self._parts = parts
        self._must_read = must_read
        self._is_current = is_current
        self._configuration = _Lag(CONFIGURATION_FETCH_SECONDS)
        self._targets = _Lag(TARGETS_FETCH_SECONDS)
        self._current_heard_at: float | None = None
        """When a host in touch was last heard, or the first host at all."""
        self._compressed: ConfigurationContent | None = None
        """The newest configuration that was asked for, as it goes to each who asks."""
        handlers: dict[type[GatewayMessage], Callable[..., None]] = {
            FetchConfiguration: self._send_configuration,
            ConfigurationContent: self._handle_configuration,
            FetchTargets: self._send_targets,
            TargetsContent: self._handle_targets,
        }
        for kind, handler in handlers.items():
            parts.network.register(kind, handler)

    def request_missing(self, sender: HostId, digest: LoadDigest, now: float) -> None:
        """Ask a peer for what it has and this host lacks."""
        parts = self._parts
        version, registry = parts.directory.version, parts.directory.registry
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
        # Only a host that is in touch tells of targets. One that isn't, asked first in
        # each round, kept a host behind for 10 s.
        accepts_any = self._accepts_any_sender(digest, now)
        is_trusted = digest.current or accepts_any
        behind = is_trusted and digest.revision > registry.revision
        if targets_lost and self._targets.should_request(behind, targets_lost, now):
            parts.network.send(sender, FetchTargets(registry.revision))

    def _accepts_any_sender(self, digest: LoadDigest, now: float) -> bool:
        """Tell whether targets may be taken from a host that is not in touch.

        Only by one that knows none and hears nobody in touch: hosts that started in an
        outage of the store refused all callers for as long as it lasted, 5 s.
        """
        if digest.current or self._current_heard_at is None:
            self._current_heard_at = now
        alone = now - self._current_heard_at >= STORE_AWAY_SECONDS
        return alone and not self._parts.directory.has_targets

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
        """Tell what has changed: all rows for each change of one, to a whole data
        centre, would fill a tenth of a small host's link."""
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
        registry.replace_all(rows, message.revision, now, settled=True)
        for name in message.lapsed:
            # Its end brings no newer revision by which this host would hear of it.
            registry.lapse(name, now)
        parts.directory.has_targets = True
        logger.info("targets_taken", sender=sender, revision=message.revision)


def _decompress(compressed: bytes) -> bytes:
    """Return a configuration's bytes.

    :raises ValueError: if they are cut off or too many.
    """
    decompressor = zlib.decompressobj()
    content = decompressor.decompress(compressed, MAX_CONFIGURATION_BYTES)
    if not decompressor.eof:
        raise ValueError("cut off or too large")
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
