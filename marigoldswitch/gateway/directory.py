"""This host's copy of the platform's state: the configuration and the targets."""

import random
from collections.abc import Callable

import structlog

from marigoldswitch.core.catalogue import Target
from marigoldswitch.core.ids import DataCentre, ServiceName, TargetId
from marigoldswitch.core.registry import Change, StoreRestored, TargetRegistry
from marigoldswitch.core.revisions import get_era, get_version
from marigoldswitch.core.routes import RoutingTable
from marigoldswitch.core.send_limits import SendLimits
from marigoldswitch.core.suspects import Suspects
from marigoldswitch.gateway.ports import StoredConfiguration
from marigoldswitch.gateway.ramps import TargetRamps
from marigoldswitch.gateway.statements import TargetStatements

logger = structlog.get_logger(__name__)


class Directory:
    """Holds the newest configuration and the targets.

    A configuration is replaced only by one of a higher version.

    :param statements: what targets state of themselves; by default to a single host.
    :param source: random numbers for requests to targets on a ramp.
    :ivar has_targets: a complete list of targets was received.
    """

    def __init__(
        self,
        statements: TargetStatements | None = None,
        source: random.Random | None = None,
    ) -> None:
        self.registry = TargetRegistry()
        self.suspects = Suspects()
        self.statements = statements or TargetStatements(
            SendLimits(DataCentre(""), lambda: 1, random.Random())
        )
        self.statements.report_leaving = self.registry.note_leaving
        self.statements.limits.find_service = self._find_service
        self.stored: StoredConfiguration | None = None
        self.has_targets = False
        self.ramps = TargetRamps(
            self.registry,
            self.suspects,
            self.statements.limits,
            source or random.Random(),
        )
        self.ramps.get_table = lambda: self.table
        self.ramps.knows_all = lambda: self.has_targets
        self._listeners: list[Callable[[RoutingTable], None]] = []
        self.registry.watch(self._note_change)
        self.registry.watch_restores(self._note_restored)
        self.registry.knows_service = self._knows_service

    @property
    def table(self) -> RoutingTable | None:
        """Return the configuration in force, if there is one."""
        return self.stored.table if self.stored else None

    @property
    def version(self) -> int:
        """Return the version of the configuration in force; 0 where there is none."""
        return self.stored.table.version if self.stored else 0

    @property
    def is_complete(self) -> bool:
        """Return whether this host has what it needs to serve callers."""
        return self.stored is not None and self.has_targets

    def watch(self, listener: Callable[[RoutingTable], None]) -> None:
        """Call ``listener`` with each configuration that comes into force."""
        self._listeners.append(listener)

    def adopt(self, stored: StoredConfiguration, source: str) -> bool:
        """Put a configuration in force if it is newer.

        :param source: where it came from, for the log.
        :return: whether it was newer.
        """
        known = self.version
        if stored.table.version <= known:
            return False
        self.stored = stored
        logger.info(
            "configuration_adopted",
            version=stored.table.version,
            replaced=known,
            source=source,
            routes=len(stored.table.routes),
        )
        self.registry.claim_addresses()
        for listener in self._listeners:
            listener(stored.table)
        return True

    def _find_service(self, name: TargetId) -> ServiceName | None:
        """Return the service of a target that gets requests of this host directly.

        Engines of other data centres get them only while the local ones are full.
        """
        target = self.registry.targets.get(name)
        if target is None:
            return None
        is_far = target.data_centre != self.statements.limits.home
        return None if target.accelerator and is_far else target.service

    def _knows_service(self, name: ServiceName) -> bool:
        """Return whether the configuration in force, if there is one, has a service."""
        return self.table is not None and name in self.table.services

    def _note_restored(self, restored: StoreRestored) -> None:
        logger.warning(
            "store_restored",
            era=get_era(restored.revision),
            version=get_version(restored.revision),
            era_before=get_era(restored.previous_revision),
            version_before=get_version(restored.previous_revision),
            targets=len(self.registry.rows),
        )

    def _note_change(self, change: Change, target: Target) -> None:
        if change is Change.GONE:
            self.suspects.clear(target.id)
            self.statements.forget(target.id)
        elif change is Change.UPDATED:
            self.suspects.reopen(target.id)
        layers = target.layers
        logger.info(
            "target_changed",
            change=change.value,
            target=target.id,
            service=target.service,
            address=target.address,
            layers=[layers.first, layers.end] if layers else None,
            revision=self.registry.revision,
        )
