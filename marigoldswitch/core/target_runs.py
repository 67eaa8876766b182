"""Tells the runs of targets apart that state no start, by when they ended.

Such a run is numbered by the host that sees its end. Two hosts that see the same end
number it differently, so ends of one target that are close together count as one.
"""

from marigoldswitch.core.crashes import EXPIRY_SECONDS
from marigoldswitch.core.ids import TargetId
from marigoldswitch.core.interruptions import TargetRun

SAME_END_SECONDS = 1.0
"""Time within which ends of one target are the same one. Notes of other hosts may be
late by some tenths of a second, on a full link."""
MAX_RUNS = 64
"""Ended runs kept of each target, the latest ones."""


class TargetRuns:
    """The ended runs of targets without a stated start; times are monotonic seconds."""

    def __init__(self) -> None:
        self._ended: dict[TargetId, dict[TargetRun, tuple[TargetRun, float]]] = {}
        """For each number of an ended run the first one known for it, and its end."""

    def identify(
        self, run: TargetRun, at: float, alive_at: float = float("-inf")
    ) -> TargetRun:
        """Return the run by which this host knows one that has ended.

        :param at: when it ended, as far as this host knows.
        :param alive_at: when the target was last known to be alive. Ends before that
            are others.
        """
        if run.born > 0:
            return run
        ended = self._ended.setdefault(run.target, {})
        if run not in ended:
            same = [
                (known, known_at)
                for known, known_at in ended.values()
                if abs(at - known_at) < SAME_END_SECONDS and known_at >= alive_at
            ]
            ended[run] = same[-1] if same else (run, at)
            while len(ended) > MAX_RUNS:
                del ended[next(iter(ended))]
        return ended[run][0]

    def expire(self, now: float) -> None:
        """Forget the targets whose ends are too old to matter."""
        self._ended = {
            target: ended
            for target, ended in self._ended.items()
            if any(now - at < EXPIRY_SECONDS for _, at in ended.values())
        }
