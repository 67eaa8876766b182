"""Tells whether this host reaches any target.

A target that doesn't answer may be dead, and so may all of a data centre. If none at
all answers, this host has most likely lost its path to them.
"""

from collections.abc import Callable

from msgspec import Struct

from marigoldswitch.core.ids import TargetId

MIN_SILENT_TARGETS = 3
"""Targets that must have been tried in vain before this host counts as cut off. Fewer
may have ended together."""
RELAPSE_SECONDS = 5.0
"""Time after the end of a cut within which one target tried in vain is enough."""


class Contact(Struct, frozen=True):
    """A change of whether this host reaches targets.

    :param is_lost: whether it has just lost contact to all of them.
    :param targets: targets that were tried in vain.
    :param seconds: since the last answer of a target.
    """

    is_lost: bool
    targets: int
    seconds: float


class TargetContact:
    """Follows the results of this host's attempts to reach targets.

    All times are monotonic seconds.

    :param count_targets: returns the number of known targets.
    :param now: the current time.
    """

    def __init__(self, count_targets: Callable[[], int], now: float) -> None:
        self._count_targets = count_targets
        self._silent: set[TargetId] = set()
        """Targets tried in vain since the last answer."""
        self._answered_at = now
        self._ended_at = float("-inf")
        """When the last cut ended."""
        self._is_lost = False
        self._listeners: list[Callable[[Contact], None]] = []

    @property
    def is_lost(self) -> bool:
        """Return whether this host is cut off from all targets."""
        return self._is_lost

    def watch(self, listener: Callable[[Contact], None]) -> None:
        """Call ``listener`` with each change."""
        self._listeners.append(listener)

    def note_answer(self, now: float) -> None:
        """Record that a target has answered."""
        if self._is_lost:
            self._ended_at = now
            self._change(False, now)
        self._silent.clear()
        self._answered_at = now

    def note_silence(self, target: TargetId, began: float, now: float) -> None:
        """Record an attempt to reach a target in vain.

        It counts only if no target has answered since it began.
        """
        if began <= self._answered_at:
            return
        self._silent.add(target)
        if not self._is_lost and len(self._silent) >= self._count_needed(now):
            self._change(True, now)

    def _count_needed(self, now: float) -> int:
        """Return how many targets must have been tried in vain."""
        if now - self._ended_at < RELAPSE_SECONDS:
            return 1
        return max(1, min(MIN_SILENT_TARGETS, self._count_targets()))

    def _change(self, is_lost: bool, now: float) -> None:
        self._is_lost = is_lost
        contact = Contact(is_lost, len(self._silent), now - self._answered_at)
        for listener in self._listeners:
            listener(contact)
