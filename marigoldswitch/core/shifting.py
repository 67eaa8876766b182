"""How fast load moves to targets that are new or have recovered.

Load it answers: a target that comes back cold. With its full limit at once it gets
every waiting request of the pool in one moment, with empty caches and untouched
weights; it grows slow or falls over, the load moves back, and so on. The share of its
limit that it may use grows by a fixed step a second instead.
"""

from marigoldswitch.core.ids import TargetId

FIRST_SHARE = 0.2
"""Share of its limit that a target may use at once."""
STEP = 0.1
"""Share by which this grows a second: full after 8 s, about the time in which engines
load kernels and fill caches, and longer than a load report lags."""
LEAST_WARM = 0.5
"""Least share of the pool that must be warm for a slow start: when most targets are
new, as after a restart of all, nothing else could take the load."""


class Ramps:
    """The shares of their limits that targets may use."""

    def __init__(self) -> None:
        self._shares: dict[TargetId, float] = {}
        self._fresh: set[TargetId] = set()
        """Targets that have begun since the last look."""
        self._looked: float | None = None

    @property
    def rising(self) -> list[TargetId]:
        """Return the targets that may not use their whole limit yet."""
        return list(self._shares)

    def get_share(self, name: TargetId) -> float:
        """Return the share of its limit that a target may use, within (0, 1]."""
        return self._shares.get(name, 1.0)

    def begin(self, names: set[TargetId], pool: int) -> None:
        """Start targets slowly, unless most of the pool would start at once.

        :param pool: number of targets in the pool.
        """
        cold = len(names | set(self._shares))
        if cold > (1.0 - LEAST_WARM) * pool:
            return
        for name in sorted(names):
            self._shares[name] = FIRST_SHARE
            self._fresh.add(name)

    def stop(self, names: set[TargetId]) -> None:
        """Forget targets."""
        for name in names:
            self._shares.pop(name, None)

    def advance(self, now: float) -> list[TargetId]:
        """Let the shares grow; return the targets whose share changed."""
        passed = now - self._looked if self._looked is not None else 0.0
        self._looked = now
        changed = list(self._shares)
        for name in changed:
            share = self._shares[name]
            share += 0.0 if name in self._fresh else STEP * passed
            if share >= 1.0:
                del self._shares[name]
            else:
                self._shares[name] = share
        self._fresh.clear()
        return changed
