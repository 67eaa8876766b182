"""Tells whether this host reaches any target.

A target that can't be connected to may be dead, and so may all of a data centre. If
none can, this host has most likely lost its path to them. Connections that are open may
live on meanwhile, so only answers on new ones outweigh connections that are refused.

A silence is weaker evidence, as targets may be paused for seconds: it counts only while
nothing at all arrives from targets, and not where a connection could be opened.
"""

from collections.abc import Callable, Collection, Iterable
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


class _Miss(Struct, frozen=True):
    """The last attempt at a target that was in vain.

    :param at: when it ended, in monotonic seconds.
    :param is_refused: its connection was refused or could not be routed.
    """

    at: float
    is_refused: bool


class TargetContact:
    """Follows the results of this host's attempts to connect to targets.

    All times are monotonic seconds.

    :param now: the current time.
    """

    def __init__(self, now: float) -> None:
        self.state = ContactState.REACHED
        self._misses: dict[TargetId, _Miss] = {}
        """How each target was last tried in vain, since the last answer."""
        self._answered_at = now
        self._received_at = float("-inf")
        """When bytes last arrived from a target, on any connection."""
        self._rests_on_silence = False
        """Whether the contact was lost without enough refused connections."""
        self._returned_at = float("-inf")
        """When the last cut ended."""
        self._listeners: list[Callable[[ContactChange], None]] = []

    @property
    def is_lost(self) -> bool:
        """Return whether this host is cut off from all targets."""
        return self.state is ContactState.LOST

    def is_silent(self, target: TargetId) -> bool:
        """Return whether a target was tried in vain since another one answered."""
        return target in self._misses

    def watch(self, listener: Callable[[ContactChange], None]) -> None:
        """Call ``listener`` with each change of the state."""
        self._listeners.append(listener)

    def note_answer(self, now: float) -> None:
        """Record that a target has answered on a new connection."""
        if self.is_lost:
            self._returned_at = now
        self._change(ContactState.REACHED, now)
        self._misses.clear()
        self._answered_at = now

    def note_traffic(self, now: float) -> None:
        """Record that bytes have arrived from a target, on any connection.

        That ends a loss for which targets were only silent.
        """
        self._received_at = now
        if self.is_lost and self._rests_on_silence:
            self.note_answer(now)

    def note_silence(
        self, target: TargetId, began: float, now: float, is_refused: bool = False
    ) -> None:
        """Record that a target was tried in vain.

        It counts only if no target has answered since the attempt began.

        :param is_refused: the connection was refused or could not be routed; else there
            was no answer in time.
        """
        if began <= self._answered_at:
            return
        self._misses[target] = _Miss(now, is_refused)
        if self.state is ContactState.REACHED and self._has_reason_to_doubt(now):
            self._change(ContactState.DOUBTED, now)

    def settle_doubt(
        self,
        asked: Iterable[TargetId],
        began: float,
        now: float,
        refused: Collection[TargetId] = (),
    ) -> None:
        """Record that targets that were asked because of a doubt did not answer.

        The doubt is dropped if too few targets are known to tell, or if bytes have
        arrived from some since ``began`` and too few have refused connections.

        :param refused: those of them at which the connection was refused.
        """
        if self.state is not ContactState.DOUBTED or began <= self._answered_at:
            return
        for name in asked:
            self._misses[name] = _Miss(now, name in refused)
        is_refused = self._count_missed(now, only_refused=True) >= LOST_TARGETS
        is_silent = self._received_at < began and (
            self._count_missed(now) >= LOST_TARGETS
        )
        if is_refused or is_silent:
            self._rests_on_silence = not is_refused
            self._change(ContactState.LOST, now)
        else:
            self._change(ContactState.REACHED, now)
            self._misses.clear()

    def _has_reason_to_doubt(self, now: float) -> bool:
        is_relapse = now - self._returned_at < RELAPSE_SECONDS
        return self._count_missed(now) >= (1 if is_relapse else DOUBTED_TARGETS)

    def _count_missed(self, now: float, only_refused: bool = False) -> int:
        """Return the number of targets that were lately tried in vain."""
        return sum(
            now - item.at < SILENCE_SECONDS
            and (item.is_refused or (item.at > self._received_at and not only_refused))
            for item in self._misses.values()
        )

    def _change(self, state: ContactState, now: float) -> None:
        if state is self.state:
            return
        self.state = state
        seconds = now - self._answered_at
        for listener in self._listeners:
            listener(ContactChange(state, len(self._misses), seconds))
