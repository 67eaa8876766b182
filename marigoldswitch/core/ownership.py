"""Which dispatcher grants which targets: pools, their owners, and the order to ask in.

Load it answers: two data centres that dispatch one service. If both counted the same
targets, each would grant their limits in full. So each target has exactly one home
pool, computed from the bundle alone; all hosts with the same bundle agree.
"""

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass

import xxhash

from marigoldswitch.core.catalogue import Bundle, Service, ServiceKind, Target
from marigoldswitch.core.ids import (
    AccountId,
    DataCentre,
    HostId,
    RequestId,
    ServiceName,
    TargetId,
)

Links = Mapping[tuple[DataCentre, DataCentre], float]


@dataclass(frozen=True, slots=True, order=True)
class PoolKey:
    """Names a pool: the targets of a service that one dispatcher grants.

    :param data_centre: home of the pool; most of its targets stand there.
    """

    service: ServiceName
    data_centre: DataCentre


def choose_owner(
    service: ServiceName, data_centre: DataCentre, hosts: Iterable[HostId]
) -> HostId | None:
    """Return the host that dispatches a service in a data centre.

    All hosts that see the same live hosts choose the same owner, and the loss of a
    host moves only the services that it owned.

    :param hosts: live hosts of that data centre.
    """
    key = f"{data_centre}/{service}"
    return max(hosts, key=lambda host: (_hash(f"{key}/{host}"), host), default=None)


def choose_keeper(account: AccountId, hosts: Iterable[HostId]) -> HostId | None:
    """Return the host that keeps the quota of a client account.

    :param hosts: live hosts that share the quota.
    """
    return max(
        hosts, key=lambda host: (_hash(f"quota/{account}/{host}"), host), default=None
    )


def get_link(links: Links, one: DataCentre, other: DataCentre) -> float:
    """Return the one-way seconds between two data centres; far where not named."""
    return 0.0 if one == other else links.get((one, other), float("inf"))


def assign_homes(
    service: Service, targets: Iterable[Target], links: Links
) -> dict[TargetId, DataCentre]:
    """Give each target of a service its one home pool.

    A data centre whose own targets can serve a whole request is a pool of its own. The
    targets of the others belong to the nearest pool; where no data centre can alone,
    all belong to the one with the most targets.
    """
    places: dict[DataCentre, list[Target]] = {}
    for target in targets:
        places.setdefault(target.data_centre, []).append(target)
    if not places:
        return {}
    whole = sorted(name for name in places if can_serve(service, places[name]))
    if not whole:
        whole = [min(places, key=lambda name: (-len(places[name]), name))]
    homes: dict[TargetId, DataCentre] = {}
    for place, members in places.items():
        home = min(whole, key=lambda name: (get_link(links, place, name), name))
        homes |= dict.fromkeys((target.id for target in members), home)
    return homes


def can_serve(service: Service, targets: Collection[Target]) -> bool:
    """Tell whether targets can serve a whole request among themselves."""
    if service.kind is ServiceKind.PLAIN:
        return len(targets) > 0
    reached = {0}
    ranges = [target.layers for target in targets if target.layers is not None]
    for layers in sorted(ranges, key=lambda item: (item.first, item.end)):
        if layers.first in reached:
            reached.add(layers.end)
    return service.layers in reached


class Topology:
    """Pools and their dispatchers, as one bundle and one view of hosts give them.

    :param hosts: data centre of each live host that may dispatch.
    """

    def __init__(self, bundle: Bundle, hosts: Mapping[HostId, DataCentre]) -> None:
        self.bundle = bundle
        self._hosts = hosts
        self._places: dict[DataCentre, list[HostId]] = {}
        for host, place in hosts.items():
            self._places.setdefault(place, []).append(host)
        self._targets = _group_targets(bundle)
        self._pools: dict[ServiceName, list[DataCentre]] = {}
        for key in self._targets:
            self._pools.setdefault(key.service, []).append(key.data_centre)
        self._owners = {key: self._choose_dispatcher(key) for key in self._targets}

    @property
    def pools(self) -> Collection[PoolKey]:
        """Return all pools."""
        return self._targets.keys()

    def list_targets(self, key: PoolKey) -> tuple[Target, ...]:
        """Return the targets of a pool."""
        return self._targets.get(key, ())

    def get_dispatcher(self, key: PoolKey) -> HostId | None:
        """Return the host that dispatches a pool, if any can."""
        return self._owners.get(key)

    def order_pools(
        self, service: ServiceName, origin: DataCentre, request: RequestId
    ) -> list[PoolKey]:
        """Return the pools of a service in the order in which a front asks them.

        Its own data centre's comes first, then the nearest; pools without a live host
        of their own come last. The request's id breaks ties, to spread the load.
        """
        keys = [PoolKey(service, place) for place in self._pools.get(service, ())]
        links = self.bundle.link_seconds
        return sorted(
            keys,
            key=lambda key: (
                key.data_centre not in self._places,
                get_link(links, origin, key.data_centre),
                _hash(f"{request}/{key.data_centre}"),
            ),
        )

    def may_spill(self, key: PoolKey) -> bool:
        """Tell whether a pool takes what another one has no room for."""
        return key.data_centre in self._places

    def list_users(self, key: PoolKey) -> list[HostId]:
        """Return the hosts whose fronts ask a pool first, in order."""
        nobody = RequestId("")
        homes = {
            place: self.order_pools(key.service, place, nobody)[:1]
            for place in self._places
        }
        return sorted(h for h, place in self._hosts.items() if homes[place] == [key])

    def _choose_dispatcher(self, key: PoolKey) -> HostId | None:
        """Choose among the pool's own hosts; without any, among the nearest ones."""
        links = self.bundle.link_seconds
        places = sorted(
            self._places,
            key=lambda place: (get_link(links, key.data_centre, place), place),
        )
        if not places:
            return None
        return choose_owner(key.service, key.data_centre, self._places[places[0]])


def _group_targets(bundle: Bundle) -> dict[PoolKey, tuple[Target, ...]]:
    groups: dict[PoolKey, list[Target]] = {}
    for service in bundle.services.values():
        targets = bundle.list_targets(service.name)
        homes = assign_homes(service, targets, bundle.link_seconds)
        for target in targets:
            key = PoolKey(service.name, homes[target.id])
            groups.setdefault(key, []).append(target)
    return {key: tuple(targets) for key, targets in groups.items()}


def _hash(text: str) -> int:
    return xxhash.xxh3_64_intdigest(text.encode())
