"""The dispatchers that this host runs, one for each pool that it owns."""

import itertools
import secrets
from collections.abc import Callable, Iterable
from functools import partial

import structlog

from marigoldswitch.core import dispatcher as core
from marigoldswitch.core.catalogue import Bundle, Service, Target
from marigoldswitch.core.errors import ErrorKind
from marigoldswitch.core.ids import DataCentre, HostId, PermitId, TargetId
from marigoldswitch.core.messages import (
    Ask,
    Cancel,
    Deny,
    HandOver,
    Holdings,
    Message,
    PermitsUnknown,
    Release,
    Resync,
)
from marigoldswitch.core.ownership import PoolKey, Topology
from marigoldswitch.core.pool import TargetPool
from marigoldswitch.core.ports import Clock
from marigoldswitch.members import MemberView
from marigoldswitch.peers import PeerNetwork

logger = structlog.get_logger(__name__)

RUN_BYTES = 3
"""Random part of permit names: those of a host's earlier run may still be out."""

Send = Callable[[HostId, Message], None]


class DispatcherBuilder:
    """Builds dispatchers and carries out what they decide."""

    def __init__(self, own: HostId, clock: Clock, send: Send) -> None:
        self._own = own
        self._run = secrets.token_hex(RUN_BYTES)
        self._clock = clock
        self._send = send
        self._numbers = itertools.count(1)

    def build(
        self,
        key: PoolKey,
        bundle: Bundle,
        service: Service,
        targets: Iterable[Target],
        leaving: frozenset[TargetId],
        prefix: str = "",
    ) -> core.Dispatcher:
        """Return a dispatcher of a pool.

        :param prefix: begins the permits that it grants.
        """
        dispatcher = core.Dispatcher(
            self._own,
            service,
            key.data_centre,
            TargetPool(service, bundle.link_seconds),
            partial(self._name_permit, prefix),
        )
        self.feed(dispatcher, core.TargetsChanged(tuple(targets), leaving))
        return dispatcher

    def feed(self, dispatcher: core.Dispatcher, event: core.Event) -> None:
        """Let a dispatcher take an event, and do what it says."""
        for action in dispatcher.handle(event, self._clock.monotonic()):
            match action:
                case core.Send(host=host, message=message):
                    self._send(host, message)
                case core.Decision():
                    _log_decision(dispatcher, action)

    def _name_permit(self, prefix: str) -> PermitId:
        return PermitId(f"{prefix}{self._own}-{self._run}-{next(self._numbers)}")


class DispatcherSet:
    """Runs the dispatchers of this host's pools.

    :param builder: shared with the front, so that permits have different names.
    """

    def __init__(
        self, builder: DispatcherBuilder, network: PeerNetwork, view: MemberView
    ) -> None:
        self.owned: dict[PoolKey, core.Dispatcher] = {}
        self._builder = builder
        self._network = network
        self._view = view
        self._topology: Topology | None = None
        self._leaving: frozenset[TargetId] = frozenset()
        self._listed: frozenset[TargetId] | None = None
        self._members: set[HostId] = set(view.members)
        self._handed_over = False
        handlers: dict[type[Message], Callable[..., None]] = {
            Ask: lambda _, ask: self._take_ask(ask),
            Cancel: lambda _, cancel: self._take(cancel, cancel.pool),
            Release: lambda _, release: self._take(release, release.pool),
            Holdings: lambda _, holdings: self._take(holdings, holdings.data_centre),
            PermitsUnknown: lambda _, unknown: self._take(unknown, unknown.pool),
        }
        for kind, handler in handlers.items():
            network.register(kind, handler)

    def use_topology(self, topology: Topology) -> None:
        """Take new pools, owners or hosts."""
        self._topology = topology
        self._drop_lost_hosts()
        for key in [key for key in self.owned if key not in topology.pools]:
            dispatcher = self.owned.pop(key)
            self._builder.feed(dispatcher, core.Close())
            logger.info("pool_closed", **_describe(key))
        self._refresh_targets()
        for key in topology.pools:
            mine = topology.get_dispatcher(key) == self._view.own.host
            if mine and key not in self.owned:
                self._own(key)

    def use_leaving(self, leaving: frozenset[TargetId]) -> None:
        """Take the set of targets that may get no new work."""
        self._leaving = leaving
        self._refresh_targets()

    def use_list(self, names: frozenset[TargetId]) -> None:
        """Take the targets that the host list names."""
        if names == self._listed:
            return
        self._listed = names
        for key, dispatcher in self.owned.items():
            self._builder.feed(dispatcher, core.TargetsListed(names))
            if dispatcher.pool.distrusts_list:
                logger.warning(
                    "host_list_implausible",
                    listed=len(names),
                    targets=len(dispatcher.pool.states),
                    **_describe(key),
                )

    def tick(self) -> None:
        """Let time pass."""
        for key, dispatcher in list(self.owned.items()):
            self._builder.feed(dispatcher, core.Tick())
            if not self._is_needed(key, dispatcher):
                del self.owned[key]

    def hand_over(self, topology: Topology) -> None:
        """Give all pools to the hosts that a topology without this host names.

        Fronts ask the new dispatchers at once; those ask the fronts what they hold.
        """
        self._topology = topology
        self._handed_over = True
        own = self._view.own.host
        for key in list(self.owned):
            if topology.get_dispatcher(key) in (None, own):
                continue
            del self.owned[key]
            message = HandOver(key.service, key.data_centre, own)
            for host in self._view.members:
                self._network.send(host, message)
            logger.info("pool_handed_over", **_describe(key))

    def _is_needed(self, key: PoolKey, dispatcher: core.Dispatcher) -> bool:
        assert self._topology is not None
        if self._topology.get_dispatcher(key) == self._view.own.host:
            return True
        return not dispatcher.is_idle

    def _drop_lost_hosts(self) -> None:
        members = set(self._view.members)
        for host in self._members - members:
            for dispatcher in self.owned.values():
                self._builder.feed(dispatcher, core.HostLost(host))
        self._members = members

    def _refresh_targets(self) -> None:
        if self._topology is None:
            return
        for key, dispatcher in self.owned.items():
            targets = self._topology.list_targets(key)
            changed = core.TargetsChanged(targets, self._leaving)
            self._builder.feed(dispatcher, changed)

    def _own(self, key: PoolKey) -> core.Dispatcher:
        """Begin to dispatch a pool, and ask all fronts what they hold of it."""
        topology = self._topology
        assert topology is not None
        dispatcher = self.owned[key] = self._builder.build(
            key,
            topology.bundle,
            topology.bundle.services[key.service],
            topology.list_targets(key),
            self._leaving,
        )
        if self._listed is not None:
            self._builder.feed(dispatcher, core.TargetsListed(self._listed))
        own = self._view.own.host
        fronts = frozenset(self._view.members)
        self._builder.feed(dispatcher, core.Rebuild(fronts))
        resync = Resync(key.service, key.data_centre, own)
        for host in fronts:
            self._network.send(host, resync)
        logger.info("pool_owned", fronts=len(fronts), **_describe(key))
        return dispatcher

    def _take(
        self, event: Cancel | Release | Holdings | PermitsUnknown, pool: DataCentre
    ) -> None:
        dispatcher = self.owned.get(PoolKey(event.service, pool))
        if dispatcher is not None:
            self._builder.feed(dispatcher, event)

    def _take_ask(self, ask: Ask) -> None:
        key = PoolKey(ask.service, ask.pool)
        dispatcher = self.owned.get(key)
        if dispatcher is None:
            dispatcher = self._adopt(key, ask)
        if dispatcher is not None:
            self._builder.feed(dispatcher, ask)

    def _adopt(self, key: PoolKey, ask: Ask) -> core.Dispatcher | None:
        """Find who serves an ask for a pool that this host does not own yet.

        Where a front takes this host for the dispatcher, its view is newer or older
        than ours; to serve it costs at most efficiency. A host that leaves passes the
        ask on.
        """
        topology = self._topology
        if topology is None or key not in topology.pools:
            deny = Deny(ask.request, ask.attempt, ErrorKind.NO_TARGET, 1.0)
            self._network.send(ask.front, deny)
            return None
        owner = topology.get_dispatcher(key)
        if self._handed_over and owner not in (None, self._view.own.host):
            self._network.send(owner, ask)
            return None
        return self._own(key)


def _describe(key: PoolKey) -> dict[str, str]:
    return {"service": key.service, "pool": key.data_centre}


def _log_decision(dispatcher: core.Dispatcher, decision: core.Decision) -> None:
    route = decision.route
    logger.info(
        "routing_decision",
        request=decision.request,
        service=dispatcher.service.name,
        pool=dispatcher.data_centre,
        decision=decision.what,
        targets=route.targets if route else (),
        cost=round(route.cost, 4) if route else None,
        weighed=decision.weighed,
        waiting=decision.waiting,
    )
