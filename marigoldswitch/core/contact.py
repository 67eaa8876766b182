"""Tells whether this host reaches any target.

A target that can't be connected to may be dead, and so may all of a data centre. If
none can, this host has most likely lost its path to them. Connections that are open may
live on meanwhile, so only new ones count.
"""

from collections.abc import Callable, Iterable
from enum import Enum

from msgspec import Struct

from marigoldswitch.core.ids import TargetId

DOUBTED_TARGETS = 2
"""Targets that must have been tried in vain before the contact is doubted."""
LOST_TARGETS = 3
"""Targets that must have been tried in vain, with those asked because of the doubt,
before the contact is lost. Fewer may have ended, also where there are no others."""
SILENCE_SECONDS = 2.0
"""Time for which an attempt in vain counts."""
RELAPSE_SECONDS = 5.0
"""Time after the end of a cut within which one target tried in vain is reason to
doubt."""


class ContactState(Enum):
    """Whether this host reaches targets."""

    REACHED = "reached"
    DOUBTED = "doubted"
    """Several were tried in vain; others must be asked before more is believed."""
    LOST = "lost"


class ContactChange(Struct, frozen=True):
    """A change of the state.

    :param targets: targets that were tried in vain.
    :param seconds: since a target last answered on a new connection.
    """

    state: ContactState
    targets: int
    seconds: float


class TargetContact:
    """Follows the results of this host's attempts to connect to targets.

    All times are monotonic seconds.

    :param now: the current time.
    """

    def __init__(self, now: float) -> None:
        self.state = ContactState.REACHED
        self._silences: dict[TargetId, float] = {}
        """When each target was last tried in vain, since the last answer."""
        self._answered_at = now
        self._returned_at = float("-inf")
        """When the last cut ended."""
        self._listeners: list[Callable[[ContactChange], None]] = []

    @property
    def is_lost(self) -> bool:
        """Return whether this host is cut off from all targets."""
        return self.state is ContactState.LOST

    def is_silent(self, target: TargetId) -> bool:
        """Return whether a target was tried in vain since another one answered."""
        return target in self._silences

    def watch(self, listener: Callable[[ContactChange], None]) -> None:
        """Call ``listener`` with each change of the state."""
        self._listeners.append(listener)

    def note_answer(self, now: float) -> None:
        """Record that a target has answered on a new connection."""
        if self.is_lost:
            self._returned_at = now
        self._change(ContactState.REACHED, now)
        self._silences.clear()
        self._answered_at = now

    def note_silence(self, target: TargetId, began: float, now: float) -> None:
        """Record that a target was tried in vain.

        It counts only if no target has answered since the attempt began.
        """
        if began <= self._answered_at:
            return
        self._silences[target] = now
        if self.state is ContactState.REACHED and self._has_reason_to_doubt(now):
            self._change(ContactState.DOUBTED, now)

    def settle_doubt(self, asked: Iterable[TargetId], began: float, now: float) -> None:
        """Record that targets that were asked because of a doubt did not answer.

        The doubt is dropped if too few targets are known to tell.
        """
        if self.state is not ContactState.DOUBTED or began <= self._answered_at:
            return
        self._silences |= dict.fromkeys(asked, now)
        if self._count_silent(now) >= LOST_TARGETS:
            self._change(ContactState.LOST, now)
        else:
            self._change(ContactState.REACHED, now)
            self._silences.clear()

    def _has_reason_to_doubt(self, now: float) -> bool:
        is_relapse = now - self._returned_at < RELAPSE_SECONDS
        return self._count_silent(now) >= (1 if is_relapse else DOUBTED_TARGETS)

    def _count_silent(self, now: float) -> int:
        """Return the number of targets that were lately tried in vain."""
        return sum(now - at < SILENCE_SECONDS for at in self._silences.values())

    def _change(self, state: ContactState, now: float) -> None:
        if state is self.state:
            return
        self.state = state
        seconds = now - self._answered_at
        for listener in self._listeners:
            listener(ContactChange(state, len(self._silences), seconds))
