"""Which targets probably have a prompt's prefix in their cache.

Load it answers: a few prefixes with most of the load. Spread evenly, every target keeps
evicting what the next request needs; sent to one target each, that target drowns. So a
target that has the prefix is cheaper by what the cache saves, as long as it holds no more
than a bounded multiple of the mean (consistent hashing with bounded loads, Mirrokni
2016).

What a target holds is told by what was sent to it, in the dispatcher that grants all its
work: known at once and without a message. The engines' own cache events come late and
with gaps, so that they would only correct evictions; an entry ends by age instead.
"""

from collections import OrderedDict
from collections.abc import Iterable

from marigoldswitch.core.ids import TargetId

REMEMBERED = 2048
"""Prefixes remembered; at some 100 bytes each with their targets well under 1 MB."""
HOLDERS = 12
"""Targets remembered for a prefix, the latest ones."""
LONGEST_AGE = 120.0
"""Seconds after which a prefix that was not used again counts as evicted."""
SAVING = 0.3
"""Share of a stage's time that a cached prefix is taken to save."""
LOAD_BOUND = 1.25
"""Load up to which a target is preferred, over the mean of the pool."""


class Affinity:
    """Prefixes that were sent to the targets of one pool."""

    def __init__(self) -> None:
        self._holders: OrderedDict[int, OrderedDict[TargetId, float]] = OrderedDict()

    def note(self, prefix: int, targets: Iterable[TargetId], now: float) -> None:
        """Note that targets get a request with this prefix."""
        holders = self._holders.setdefault(prefix, OrderedDict())
        self._holders.move_to_end(prefix)
        for target in targets:
            holders[target] = now
            holders.move_to_end(target)
        while len(holders) > HOLDERS:
            holders.popitem(last=False)
        while len(self._holders) > REMEMBERED:
            self._holders.popitem(last=False)

    def list_holders(self, prefix: int | None, now: float) -> list[TargetId]:
        """Return the targets that probably have a prefix, the latest first."""
        holders = self._holders.get(prefix) if prefix is not None else None
        if not holders:
            return []
        return [
            target
            for target, used in reversed(holders.items())
            if now - used <= LONGEST_AGE
        ]

    def forget(self, target: TargetId) -> None:
        """Forget a target whose cache is gone."""
        for holders in self._holders.values():
            holders.pop(target, None)
