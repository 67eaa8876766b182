"""The usable targets of a pool in the order of their costs.

Load it answers: many targets. Weighing each for every request costs milliseconds at 600
targets; targets with the same layers in the same data centre differ only by their own
cost, so that the cheapest of each such group is all that a route needs.
"""

from collections.abc import Collection
from dataclasses import dataclass

from sortedcontainers import SortedList

from marigoldswitch.core.catalogue import LayerRange, Target
from marigoldswitch.core.ids import DataCentre, TargetId


@dataclass(frozen=True, slots=True)
class Group:
    """Targets that can stand for each other in a route."""

    layers: LayerRange | None
    data_centre: DataCentre


class Ranking:
    """Targets with room, by group and cost."""

    def __init__(self) -> None:
        self._groups: dict[Group, SortedList] = {}
        self._places: dict[TargetId, tuple[Group, tuple[float, TargetId]]] = {}

    def put(self, target: Target, cost: float | None) -> None:
        """Set the cost of a target; ``None`` takes it out."""
        self.remove(target.id)
        if cost is None:
            return
        group = Group(target.layers, target.data_centre)
        entry = (cost, target.id)
        self._groups.setdefault(group, SortedList()).add(entry)
        self._places[target.id] = (group, entry)

    def remove(self, name: TargetId) -> None:
        """Take a target out, if it is in."""
        place = self._places.pop(name, None)
        if place is None:
            return
        group, entry = place
        ranked = self._groups[group]
        ranked.remove(entry)
        if not ranked:
            del self._groups[group]

    def list_best(self, avoid: Collection[TargetId]) -> list[TargetId]:
        """Return the cheapest target of each group, but for those to avoid."""
        best = []
        for ranked in self._groups.values():
            for _, name in ranked:
                if name not in avoid:
                    best.append(name)
                    break
        return best
