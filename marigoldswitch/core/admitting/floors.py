"""Least share of the service that each priority and each client account gets.

Under a lasting shortage, strict order of priority would serve less urgent requests not
at all, and equal shares would serve an account with most of the traffic far less often
than the others.
"""

import math
from collections.abc import Hashable

from msgspec import Struct

FLOOR_SHARE = 0.25
"""A group is served at least this fraction as often as all requests are."""
FLOOR_MARGIN = 1.2
"""Multiple of the floor below which a group goes first, as it falls further until the
next of its requests finds room."""
HALF_LIFE_SECONDS = 10.0
"""Time after which an arrival counts half; a host of the deployments gets some ten
requests of an account in it."""
MIN_ARRIVED = 3.0
"""Arrivals of a group below which its share says nothing."""
MIN_KEPT = 0.05
"""Arrivals below which a group is forgotten."""
MAX_GROUPS = 512
"""Groups above which those with few arrivals are forgotten."""


class _Counts(Struct):
    """Decayed counts, as of ``at`` in monotonic seconds."""

    at: float
    arrived: float = 0.0
    served: float = 0.0

    def decay(self, now: float) -> None:
        factor = math.exp2(-max(0.0, now - self.at) / HALF_LIFE_SECONDS)
        self.at, self.arrived, self.served = (
            now,
            self.arrived * factor,
            self.served * factor,
        )


class ServedShares:
    """How often the requests of each group are served, with recent ones counting most.

    A group is a priority or an account.
    """

    def __init__(self) -> None:
        self._groups: dict[Hashable, _Counts] = {}
        self._total = _Counts(0.0)

    def note_arrived(self, groups: tuple[Hashable, ...], now: float) -> None:
        """Count a request that has arrived for the first time."""
        for counts in self._list(groups, now):
            counts.arrived += 1.0

    def note_served(self, groups: tuple[Hashable, ...], now: float) -> None:
        """Count a request that was admitted."""
        for counts in self._list(groups, now):
            counts.served += 1.0

    def is_below_floor(self, group: Hashable, now: float) -> bool:
        """Return whether a group is served too seldom.

        :param now: monotonic seconds.
        """
        counts = self._groups.get(group)
        if counts is None:
            return False
        total = self._total
        overall = min(1.0, total.served / total.arrived) if total.arrived else 0.0
        # Both counts of a group decay alike, so their ratio needs no update.
        if counts.served >= FLOOR_SHARE * FLOOR_MARGIN * overall * counts.arrived:
            return False
        counts.decay(now)
        return counts.arrived >= MIN_ARRIVED

    def _list(self, groups: tuple[Hashable, ...], now: float) -> list[_Counts]:
        """Return the counts of some groups and of all requests, as of now."""
        if len(self._groups) > MAX_GROUPS:
            self._forget(now)
        found = [self._groups.setdefault(item, _Counts(now)) for item in groups]
        found.append(self._total)
        for item in found:
            item.decay(now)
        return found

    def _forget(self, now: float) -> None:
        for counts in self._groups.values():
            counts.decay(now)
        least = sorted(item.arrived for item in self._groups.values())[len(self) // 2]
        self._groups = {
            group: counts
            for group, counts in self._groups.items()
            if counts.arrived > max(MIN_KEPT, least)
        }

    def __len__(self) -> int:
        return len(self._groups)
