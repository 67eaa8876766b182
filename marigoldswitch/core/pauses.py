"""Times for which targets have asked this host to send them nothing."""

from marigoldswitch.core.ids import TargetId


class Pauses:
    """When each target takes requests of this host again."""

    def __init__(self) -> None:
        self._ends: dict[TargetId, float] = {}

    def get_left(self, target: TargetId, now: float) -> float:
        """Return the seconds until a target takes requests again; 0 if it does now."""
        end = self._ends.get(target)
        if end is None:
            return 0.0
        if end <= now:
            del self._ends[target]
            return 0.0
        return end - now

    def list_pausing(self, now: float) -> list[TargetId]:
        """Return the targets that take no requests now."""
        return [name for name in list(self._ends) if self.get_left(name, now) > 0.0]

    def note(self, target: TargetId, seconds: float, now: float) -> None:
        """Record that a target wants no requests for some time from now on.

        An earlier wish that ends later still holds.
        """
        self._ends[target] = max(now + seconds, self._ends.get(target, 0.0))

    def forget(self, target: TargetId) -> None:
        """Forget a target that is gone or has restarted."""
        self._ends.pop(target, None)
