"""What a new dispatcher may grant before it knows what the fronts hold.

Load it answers: the loss of a dispatcher under load. If the new one took all slots for free,
it would grant them a second time at once.
"""

from marigoldswitch.core.ids import HostId

QUIET_SECONDS = 0.05
"""Time for which a new dispatcher grants nothing; all live fronts answer within it."""
REBUILD_SECONDS = 0.4
"""Longest time for which a new dispatcher grants only the part of the fronts that have
answered; with the time to notice the loss still under a second."""


class Rebuilding:
    """Fronts that have not said yet what they hold.

    :param fronts: all that may hold permits.
    :param began: monotonic seconds.
    """

    def __init__(
        self, fronts: frozenset[HostId] = frozenset(), began: float = 0.0
    ) -> None:
        self._unheard = fronts
        self._count = max(1, len(fronts))
        self._began = began

    def hear(self, front: HostId) -> None:
        """Note that a front has said what it holds, or is gone."""
        self._unheard -= {front}

    def is_on(self, now: float) -> bool:
        """Tell whether some fronts are still to be waited for."""
        if now - self._began >= REBUILD_SECONDS:
            self._unheard = frozenset()
        return bool(self._unheard)

    def get_share(self, now: float) -> float:
        """Return the share of the slots that may be granted."""
        if not self.is_on(now):
            return 1.0
        if now - self._began < QUIET_SECONDS:
            return 0.0
        return 1.0 - len(self._unheard) / self._count
