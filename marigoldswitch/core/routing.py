"""Where a request goes: one target, or a chain of them over all layers."""

from collections.abc import Callable, Collection, Iterable, Mapping
from dataclasses import dataclass

from marigoldswitch.core.catalogue import Service, ServiceKind
from marigoldswitch.core.ids import DataCentre, TargetId
from marigoldswitch.core.targets import TargetState

TOKENS = 233
"""Times that a chain crosses each of its links for a usual request: the letter's 420,000
tokens over 1,800 requests a second."""
UNKNOWN_LINK = 0.05
"""One-way seconds taken for a link that the bundle doesn't name."""

Links = Mapping[tuple[DataCentre, DataCentre], float]


@dataclass(frozen=True, slots=True)
class Route:
    """The targets for one request, in order.

    :param cost: expected seconds, for comparison and for the decision's log line.
    """

    targets: tuple[TargetId, ...]
    cost: float


Cost = Callable[[TargetState], float]


def weigh_target(state: TargetState) -> float:
    """Return the cost of one more request on a target: its use over its speed."""
    return (1.0 + state.held / max(1.0, state.limit)) / state.target.speed


def choose_route(
    service: Service,
    states: Iterable[TargetState],
    origin: DataCentre,
    links: Links,
    avoid: Collection[TargetId] = (),
    weigh: Cost = weigh_target,
) -> Route | None:
    """Return the cheapest route with room, or ``None`` where there is none.

    :param origin: data centre of the front.
    :param links: one-way seconds between data centres.
    :param avoid: targets that must not be used.
    """
    usable = [
        state for state in states if state.has_room and state.target.id not in avoid
    ]
    match service.kind:
        case ServiceKind.PLAIN:
            return _choose_target(usable, origin, links, weigh)
        case ServiceKind.MODEL:
            return _choose_chain(service.layers, usable, origin, links, weigh)


def _get_link(links: Links, one: DataCentre, other: DataCentre) -> float:
    return 0.0 if one == other else links.get((one, other), UNKNOWN_LINK)


def _choose_target(
    states: list[TargetState], origin: DataCentre, links: Links, weigh: Cost
) -> Route | None:
    costs = [
        (
            weigh(state) + 2.0 * _get_link(links, origin, state.target.data_centre),
            state.target.id,
        )
        for state in states
    ]
    if not costs:
        return None
    cost, name = min(costs)
    return Route((name,), cost)


@dataclass(frozen=True, slots=True)
class _Path:
    """The cheapest way to have run the layers so far, ending in some data centre."""

    cost: float
    target: TargetId
    before: "_Path | None" = None

    def list_targets(self) -> tuple[TargetId, ...]:
        names = []
        path: _Path | None = self
        while path is not None:
            names.append(path.target)
            path = path.before
        return tuple(reversed(names))


def _choose_chain(
    layers: int,
    states: list[TargetState],
    origin: DataCentre,
    links: Links,
    weigh: Cost,
) -> Route | None:
    """Find the shortest path over layer boundaries.

    A node is a boundary and the data centre of the stage that ends there; an edge is a
    target with its link. Ranges run forward only, so one pass in the order of the first
    layer will do, in time proportional to targets times data centres.
    """
    reached: dict[int, dict[DataCentre, _Path]] = {}
    spans = [
        (span.first, span.end, state.target.id, state)
        for state in states
        if (span := state.target.layers) is not None
    ]
    for first, end, name, state in sorted(spans, key=lambda item: item[:3]):
        place = state.target.data_centre
        before = _find_before(first, reached, place, origin, links)
        if before is None:
            continue
        cost, path = before
        cost += weigh(state)
        ends = reached.setdefault(end, {})
        if place not in ends or cost < ends[place].cost:
            ends[place] = _Path(cost, name, path)
    finished = reached.get(layers)
    if not finished:
        return None
    best = min(finished.values(), key=lambda path: (path.cost, path.target))
    return Route(best.list_targets(), best.cost)


def _find_before(
    first: int,
    reached: dict[int, dict[DataCentre, _Path]],
    place: DataCentre,
    origin: DataCentre,
    links: Links,
) -> tuple[float, _Path | None] | None:
    """Return the cheapest way to a stage, with the link that leads there."""
    if first == 0:
        return _get_link(links, origin, place), None
    ways = [
        (path.cost + TOKENS * _get_link(links, other, place), path)
        for other, path in reached.get(first, {}).items()
    ]
    return min(ways, key=lambda way: (way[0], way[1].target), default=None)
