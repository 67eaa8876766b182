"""Where a request goes: one target, or a chain of them over all layers."""

from collections.abc import Callable, Collection, Iterable, Mapping
from dataclasses import dataclass

from marigoldswitch.core.catalogue import Service, ServiceKind
from marigoldswitch.core.ids import DataCentre, TargetId
from marigoldswitch.core.targets import TargetState


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
    links: Mapping[tuple[DataCentre, DataCentre], float],
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


def _get_link(
    links: Mapping[tuple[DataCentre, DataCentre], float],
    one: DataCentre,
    other: DataCentre,
) -> float:
    return 0.0 if one == other else links.get((one, other), 0.0)


def _choose_target(
    states: list[TargetState],
    origin: DataCentre,
    links: Mapping[tuple[DataCentre, DataCentre], float],
    weigh: Cost,
) -> Route | None:
    costs = [
        (weigh(state) + _get_link(links, origin, state.target.data_centre), state)
        for state in states
    ]
    if not costs:
        return None
    cost, state = min(costs, key=lambda item: (item[0], item[1].target.id))
    return Route((state.target.id,), cost)


def _choose_chain(
    layers: int,
    states: list[TargetState],
    origin: DataCentre,
    links: Mapping[tuple[DataCentre, DataCentre], float],
    weigh: Cost,
) -> Route | None:
    """Find the shortest path over layer boundaries.

    The nodes are targets; an edge joins one that ends at a layer with one that begins
    there. Ranges run forward only, so one pass in the order of the first layer will do.
    """
    best: dict[TargetId, tuple[float, tuple[TargetId, ...]]] = {}
    ending: dict[int, list[TargetState]] = {}
    finished: list[tuple[float, tuple[TargetId, ...]]] = []
    ranged = [state for state in states if state.target.layers is not None]
    for state in sorted(ranged, key=lambda item: _get_order(item)):
        target = state.target
        assert target.layers is not None
        own = weigh(state)
        paths = [
            (best[before.target.id][0] + own
             + _get_link(links, before.target.data_centre, target.data_centre),
             best[before.target.id][1] + (target.id,))
            for before in ending.get(target.layers.first, [])
        ]  # fmt: skip
        if target.layers.first == 0:
            start = own + _get_link(links, origin, target.data_centre)
            paths.append((start, (target.id,)))
        if not paths:
            continue
        best[target.id] = min(paths)
        ending.setdefault(target.layers.end, []).append(state)
        if target.layers.end == layers:
            finished.append(best[target.id])
    if not finished:
        return None
    cost, targets = min(finished)
    return Route(targets, cost)


def _get_order(state: TargetState) -> tuple[int, str]:
    layers = state.target.layers
    return (layers.first if layers else 0, state.target.id)
