"""Routes of callers' requests: by host name and the longest prefix of the path."""

import bisect
import itertools
import random
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum

from marigoldswitch.core.ids import AccountId, ServiceName
from marigoldswitch.core.models import ModelSpec


class RouteKind(Enum):
    """What may be repeated of the requests of a route."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


@dataclass(frozen=True, slots=True)
class WeightedService:
    """One of the services that share the requests of a route.

    :param weight: its share, relative to the others.
    """

    service: ServiceName
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Requests that are treated alike.

    :param timeout: longest time that a caller waits for a final answer, in seconds.
    :param priority: rank of its requests; 0 comes first.
    :param services: who answers them.
    :param most_targets: targets on which one request may run, one after the other.
    :param is_public: needs no key.
    :param is_resumable: a stream may go on at another target after its last event.
    :param longest_gap: pause between two events of a stream that is still on time, in
        seconds; 0 where none is set.
    :param latency_target: seconds within which an answer is worth most.
    :param caller_patience: seconds without an event after which callers leave a stream.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    timeout: float
    priority: int
    services: tuple[WeightedService, ...]
    most_targets: int = 1
    is_public: bool = False
    is_resumable: bool = False
    longest_gap: float = 0.0
    latency_target: float = 0.5
    caller_patience: float = 2.0

    @property
    def is_idempotent(self) -> bool:
        """Tell whether a request may run more than once."""
        if self.kind is RouteKind.STREAM:
            return self.is_resumable
        return self.kind is RouteKind.IDEMPOTENT

    def choose_service(self, source: random.Random) -> ServiceName:
        """Return the service of one request, drawn by weight."""
        if len(self.services) == 1:
            return self.services[0].service
        bounds = list(itertools.accumulate(item.weight for item in self.services))
        drawn = bisect.bisect(bounds, source.random() * bounds[-1])
        return self.services[min(drawn, len(self.services) - 1)].service


@dataclass(frozen=True, slots=True)
class ServiceSpec:
    """What the configuration says of a service.

    :param most_connections: connections that one target takes from all hosts.
    :param model: what its engines run; ``None`` for a plain service.
    """

    name: ServiceName
    most_connections: int = 0
    model: ModelSpec | None = None


@dataclass(frozen=True, slots=True)
class RoutedAccount:
    """A client account, as routing needs it.

    :param priority: rank of its requests in place of the route's, if any.
    """

    id: AccountId
    priority: int | None = None


@dataclass(frozen=True, slots=True)
class ClientLimits:
    """What callers may send, and how long they may be idle.

    :param idle_seconds: that a connection is kept without a request.
    """

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_seconds: float = 3.0
    idle_seconds: float = 15.0


@dataclass(frozen=True, slots=True)
class RoutingTable:
    """One version of the configuration, as the callers' side needs it.

    :param accounts: client accounts by key; empty where no route needs a key.
    """

    version: int
    routes: tuple[Route, ...]
    services: Mapping[ServiceName, ServiceSpec]
    accounts: Mapping[str, RoutedAccount]
    limits: ClientLimits
    by_host: Mapping[str, tuple[Route, ...]] = field(init=False)

    def __post_init__(self) -> None:
        object.__setattr__(self, "by_host", _group_routes(self.routes))

    @property
    def needs_keys(self) -> bool:
        """Tell whether routes that aren't public need a key."""
        return len(self.accounts) > 0

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of a path.

        :param host: the ``Host`` header; a port in it and its case don't matter.
        """
        name = host.lower().rpartition(":")[0] if ":" in host else host.lower()
        for route in self.by_host.get(name, ()):
            if path.startswith(route.prefix):
                return route
        return None


def _group_routes(routes: Iterable[Route]) -> dict[str, tuple[Route, ...]]:
    """Return the routes of each host name, those with the longest prefix first."""
    grouped: dict[str, list[Route]] = {}
    for route in routes:
        grouped.setdefault(route.host.lower(), []).append(route)
    return {
        host: tuple(sorted(items, key=lambda item: len(item.prefix), reverse=True))
        for host, items in grouped.items()
    }
