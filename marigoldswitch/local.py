"""Permits that this host gives itself while the dispatcher of a pool does not
answer."""

from collections.abc import Iterable

from marigoldswitch.core import dispatcher as core
from marigoldswitch.core.catalogue import Target
from marigoldswitch.core.chains import can_serve
from marigoldswitch.core.ids import HostId, PermitId, TargetId
from marigoldswitch.core.messages import Ask, Cancel, Holdings, Release
from marigoldswitch.core.ownership import PoolKey, Topology
from marigoldswitch.core.shares import split_targets, take_least
from marigoldswitch.dispatchers import DispatcherBuilder

PREFIX = "local-"
"""Begins the names of these permits."""


def is_local(permit: PermitId) -> bool:
    """Tell whether a host gave itself a permit."""
    return permit.startswith(PREFIX)


class LocalPermits:
    """A dispatcher for this host alone, over its own part of each pool's limits."""

    def __init__(self, builder: DispatcherBuilder, own: HostId) -> None:
        self.dispatchers: dict[PoolKey, core.Dispatcher] = {}
        self._builder = builder
        self._own = own
        self._leaving: frozenset[TargetId] = frozenset()

    def ask(self, ask: Ask, topology: Topology, holdings: Holdings) -> bool:
        """Let an ask wait for this host's own part; tell whether that is possible.

        :param holdings: what this host holds of the pool already.
        """
        key = PoolKey(ask.service, ask.pool)
        dispatcher = self.dispatchers.get(key)
        if dispatcher is None:
            dispatcher = self._build(key, topology)
            if dispatcher is None:
                return False
            self._builder.feed(dispatcher, holdings)
        self._builder.feed(dispatcher, ask)
        return True

    def cancel(self, cancel: Cancel) -> None:
        """Forget an ask."""
        self._feed(PoolKey(cancel.service, cancel.pool), cancel)

    def release(self, release: Release) -> None:
        """Free a permit, if it counts here."""
        self._feed(PoolKey(release.service, release.pool), release)

    def use_topology(self, topology: Topology) -> None:
        """Take new targets or hosts."""
        for key in list(self.dispatchers):
            if key in topology.pools:
                parts = self._split(key, topology)
                changed = core.TargetsChanged(parts, self._leaving)
                self._builder.feed(self.dispatchers[key], changed)
            else:
                del self.dispatchers[key]

    def use_leaving(self, leaving: frozenset[TargetId]) -> None:
        """Take the set of targets that may get no new work."""
        self._leaving = leaving

    def tick(self) -> None:
        """Let time pass."""
        for key, dispatcher in list(self.dispatchers.items()):
            self._builder.feed(dispatcher, core.Tick())
            if dispatcher.is_idle:
                del self.dispatchers[key]

    def _feed(self, key: PoolKey, event: core.Event) -> None:
        if key in self.dispatchers:
            self._builder.feed(self.dispatchers[key], event)

    def _build(self, key: PoolKey, topology: Topology) -> core.Dispatcher | None:
        service = topology.bundle.services.get(key.service)
        if service is None or key not in topology.pools:
            return None
        targets = self._split(key, topology)
        dispatcher = self._builder.build(
            key, topology.bundle, service, targets, self._leaving, PREFIX
        )
        dispatcher.refuses = False
        self.dispatchers[key] = dispatcher
        return dispatcher

    def _split(self, key: PoolKey, topology: Topology) -> tuple[Target, ...]:
        targets: Iterable[Target] = topology.list_targets(key)
        users = topology.list_users(key)
        parts = split_targets(targets, users, self._own)
        service = topology.bundle.services[key.service]
        return parts if can_serve(service, parts) else take_least(targets)
