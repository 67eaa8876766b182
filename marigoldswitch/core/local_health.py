"""Whether silence tells of a target, of the way to it, or of this host.

Load it answers: a host whose own link is full, or whose processor is taken, for some
tens of milliseconds. All its probes are late together, and targets that live look dead.
So silence counts against a target only if this host got an answer from elsewhere in the
same time.
"""

from collections import deque
from dataclasses import dataclass
from enum import Enum

from marigoldswitch.core.ids import DataCentre

HEAD_START = 0.02
"""Seconds by which another answer must have come earlier to speak against a target. A
full link lets all answers through within some 10 ms of each other, in the order in
which their questions were queued: the first ones say nothing of the last."""
KEPT = 32
"""Answers kept for a data centre, more than a host asks for in the time of a probe."""


class Cause(Enum):
    """What the silence of a target is put down to."""

    TARGET = "target"
    """Others in its data centre have answered meanwhile."""
    PATH = "path"
    """Others have answered, none of them in its data centre."""
    HOST = "host"
    """Nobody has answered: it may be this host that is late."""
    GONE = "gone"
    """Its port is closed: its process has ended."""


@dataclass(frozen=True, slots=True)
class _Answer:
    """When a target was asked, and when its answer was heard."""

    asked: float
    heard: float


class LocalHealth:
    """The newest answers that this host has got, by data centre."""

    def __init__(self) -> None:
        self._answers: dict[DataCentre, deque[_Answer]] = {}

    def note_answer(self, centre: DataCentre, asked: float, now: float) -> None:
        """Learn that a target has answered.

        :param asked: when it was asked, in monotonic seconds.
        """
        answers = self._answers.setdefault(centre, deque(maxlen=KEPT))
        answers.append(_Answer(asked, now))

    def has_answered(self, centre: DataCentre, since: float) -> bool:
        """Tell whether a target of a data centre has answered since a moment."""
        return any(item.asked >= since for item in self._answers.get(centre, ()))

    def explain_silence(self, centre: DataCentre, since: float, now: float) -> Cause:
        """Return why a target of a data centre has been silent since a moment.

        Only what was asked since then counts: an answer shows that the way was free
        after its question, not before.
        """
        heard = {
            name
            for name, answers in self._answers.items()
            if any(
                item.asked >= since and item.heard <= now - HEAD_START
                for item in answers
            )
        }
        if centre in heard:
            return Cause.TARGET
        return Cause.PATH if heard else Cause.HOST
