"""Routes callers' requests by host name and the longest matching path prefix."""

import bisect
import itertools
import random
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum

from msgspec import Struct

from marigoldswitch.core.ids import AccountId, ServiceName
from marigoldswitch.core.models import ModelSpec


class RouteKind(Enum):
    """Which requests of a route may run more than once."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


class WeightedService(Struct, frozen=True):
    """One of the services among which the requests of a route are divided.

    :param weight: its share, relative to the weights of the others.
    """

    service: ServiceName
    weight: float


class Route(Struct, frozen=True):
    """Settings for requests to one host name and path prefix.

    :param timeout: longest time that a caller waits for a final answer, in seconds.
    :param priority: of its requests; 0 is served first.
    :param services: the services that answer them.
    :param max_targets: most targets on which one request may run, one after the other.
    :param is_public: callers need no key.
    :param is_resumable: another target can continue a stream after its last event.
    :param max_event_gap: longest pause between two events of a stream that is on time,
        in seconds; 0 if none is set.
    :param latency_target: seconds within which an answer should arrive.
    :param caller_patience: seconds without an event after which callers leave a stream.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    timeout: float
    priority: int
    services: tuple[WeightedService, ...]
    max_targets: int = 1
    is_public: bool = False
    is_resumable: bool = False
    max_event_gap: float = 0.0
    latency_target: float = 0.5
    caller_patience: float = 2.0

    @property
    def is_idempotent(self) -> bool:
        """Return whether a request may run more than once."""
        if self.kind is RouteKind.STREAM:
            return self.is_resumable
        return self.kind is RouteKind.IDEMPOTENT

    def choose_service(self, rng: random.Random) -> ServiceName | None:
        """Return the service for one request, chosen at random by weight.

        :return: ``None`` if no service has a share of the route.
        """
        if not self.services:
            return None
        if len(self.services) == 1:
            return self.services[0].service
        bounds = list(itertools.accumulate(item.weight for item in self.services))
        drawn = bisect.bisect(bounds, rng.random() * bounds[-1])
        return self.services[min(drawn, len(self.services) - 1)].service


class ServiceSpec(Struct, frozen=True):
    """Configuration of a service.

    :param max_connections: most connections of all hosts to one target.
    :param model: the model that its engines run; ``None`` for a plain service.
    """

    name: ServiceName
    max_connections: int = 0
    model: ModelSpec | None = None


class RoutedAccount(Struct, frozen=True):
    """The routing settings of a client account.

    :param priority: replaces the priority of the route, if set.
    """

    id: AccountId
    priority: int | None = None


class ClientLimits(Struct, frozen=True):
    """Limits on what callers send and on how long they may take.

    :param header_seconds: time to send the headers of a request.
    :param idle_seconds: time for which a connection without a request is kept open.
    """

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_seconds: float = 3.0
    idle_seconds: float = 15.0


@dataclass(frozen=True, slots=True)
class RoutingTable:
    """Routing data of one version of the configuration.

    :param accounts: client accounts by key.
    :param needs_keys: whether routes that aren't public need a key, even if no account
        holds one.
    :param accounts_without_keys: client accounts that hold no key.
    """

    version: int
    routes: tuple[Route, ...]
    services: Mapping[ServiceName, ServiceSpec]
    accounts: Mapping[str, RoutedAccount]
    limits: ClientLimits
    needs_keys: bool = True
    accounts_without_keys: tuple[AccountId, ...] = ()
    routes_by_host: Mapping[str, tuple[Route, ...]] = field(init=False)
    services_with_gap_limit: frozenset[ServiceName] = field(init=False)
    """Services of the routes that limit the pauses of their streams."""

    def __post_init__(self) -> None:
        limited = frozenset(
            item.service
            for route in self.routes
            if route.max_event_gap > 0.0
            for item in route.services
        )
        object.__setattr__(self, "services_with_gap_limit", limited)
        object.__setattr__(self, "routes_by_host", _group_routes(self.routes))

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that matches a path, if any.

        :param host: the ``Host`` header; its case and a port are ignored.
        """
        name = host.lower().rpartition(":")[0] if ":" in host else host.lower()
        for route in self.routes_by_host.get(name, ()):
            if path.startswith(route.prefix):
                return route
        return None


def _group_routes(routes: Iterable[Route]) -> dict[str, tuple[Route, ...]]:
    """Return the routes of each host name, longest prefix first."""
    grouped: dict[str, list[Route]] = {}
    for route in routes:
        grouped.setdefault(route.host.lower(), []).append(route)
    return {
        host: tuple(sorted(items, key=lambda item: len(item.prefix), reverse=True))
        for host, items in grouped.items()
    }
