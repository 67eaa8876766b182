"""Permits that a dispatcher has out, and what they occupy."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from marigoldswitch.core.ids import HostId, PermitId, RequestId, TargetId
from marigoldswitch.core.ledger import InvariantBroken
from marigoldswitch.core.pool import TargetPool

LEAST_LONG_SHARE = 0.25
MOST_LONG_SHARE = 0.9
"""Shares of the slots that long work may take at the least and at the most; between
them it may take what short work does not need. A fixed share fails both ways: with 5 in
100 requests of 30 times the length, long work is 61 in 100 of the load."""


@dataclass(slots=True)
class Permit:
    """One permit that is out.

    :param targets: the route, one slot on each.
    :param granted: when this dispatcher granted it or learned of it.
    :param checked: when its front was last asked whether it still holds it.
    :param cost: estimated work; 0 where the permit is learned.
    :param learned: granted by another dispatcher and learned of from its front.
    """

    id: PermitId
    front: HostId
    request: RequestId
    attempt: int
    targets: tuple[TargetId, ...]
    granted: float
    checked: float
    cost: float = 0.0
    long: bool = False
    learned: bool = False


class Occupancy:
    """The permits that are out, each counted on the targets of its route."""

    def __init__(self, pool: TargetPool) -> None:
        self.permits: dict[PermitId, Permit] = {}
        self.cost = 0.0
        self.long = 0
        self._pool = pool
        self._by_ask: dict[tuple[RequestId, int], PermitId] = {}
        self._by_front: dict[HostId, dict[PermitId, None]] = {}

    def __len__(self) -> int:
        return len(self.permits)

    def add(self, permit: Permit) -> None:
        """Count a permit.

        :raises InvariantBroken: if the permit is known already.
        """
        if permit.id in self.permits:
            raise InvariantBroken(f"permit {permit.id} would be granted twice")
        self.permits[permit.id] = permit
        if not permit.learned:
            self._by_ask[permit.request, permit.attempt] = permit.id
        self._by_front.setdefault(permit.front, {})[permit.id] = None
        self.cost += permit.cost
        self.long += permit.long
        self._pool.hold(permit.targets)

    def free(self, name: PermitId) -> Permit | None:
        """Count a permit no longer; freeing it twice changes nothing."""
        permit = self.permits.pop(name, None)
        if permit is None:
            return None
        key = (permit.request, permit.attempt)
        if self._by_ask.get(key) == name:
            del self._by_ask[key]
        fronts = self._by_front[permit.front]
        del fronts[name]
        if not fronts:
            del self._by_front[permit.front]
        self.cost -= permit.cost
        self.long -= permit.long
        self._pool.free(permit.targets)
        if not self.permits:
            if self.long or abs(self.cost) > 1e-3:
                raise InvariantBroken(f"no permit is out, but work of {self.cost}")
            self.cost = 0.0
        return permit

    def find(self, request: RequestId, attempt: int) -> Permit | None:
        """Return the permit granted here to an ask, if there is one."""
        name = self._by_ask.get((request, attempt))
        return self.permits[name] if name is not None else None

    def list_front(self, front: HostId) -> list[Permit]:
        """Return the permits of one host."""
        return [self.permits[name] for name in self._by_front.get(front, ())]

    def count_targets(self) -> Counter[TargetId]:
        """Return how many permits are out on each target."""
        return Counter(
            target for item in self.permits.values() for target in item.targets
        )

    def measure_capacity(self) -> float:
        """Return the slots of the pool, in whole routes."""
        layers = self._pool.service.layers
        slots = 0.0
        for state in self._pool.states.values():
            span = state.target.layers
            part = (span.end - span.first) / layers if span and layers else 1.0
            slots += part * state.room
        return slots

    def allows_long(self, slots: float, short_slots: float) -> bool:
        """Tell whether one more long request may take a slot.

        :param slots: what :meth:`measure_capacity` gave.
        :param short_slots: slots that short work needs.
        """
        most = min(MOST_LONG_SHARE * slots, slots - short_slots)
        return self.long < max(1, int(LEAST_LONG_SHARE * slots), int(most))

    def check_limits(self, targets: Iterable[TargetId]) -> None:
        """Assert that the targets have room for one more permit.

        :raises InvariantBroken: if one has none.
        """
        for name in targets:
            state = self._pool.states[name]
            if not state.has_room:
                raise InvariantBroken(
                    f"{name} holds {state.held} permits of a limit of {state.limit}"
                )
