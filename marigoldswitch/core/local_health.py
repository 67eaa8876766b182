"""Diagnosis of probe timeouts: the target, the network path, or this host.

If this host's link or processor is saturated for some tens of milliseconds, all its
probes are late together and live targets look dead. So a timeout counts against a
target only if this host received another answer in the same time.
"""

from collections import deque
from enum import Enum

from msgspec import Struct

from marigoldswitch.core.ids import DataCentre

MIN_LEAD_SECONDS = 0.02
"""Age that another answer must have to count against a target. A full link delivers
queued answers within some 10 ms of each other, in the order of their probes: the first
ones say nothing about the last."""
ANSWERS_PER_DATA_CENTRE = 32
"""Answers kept per data centre: more than a host requests during one probe."""


class Cause(Enum):
    """Cause of a target's silence."""

    TARGET = "target"
    """Others in its data centre have answered in the meantime."""
    PATH = "path"
    """Others have answered, none of them in its data centre."""
    HOST = "host"
    """No target has answered: this host itself may be late."""
    GONE = "gone"
    """Its port is closed: its process has ended."""


class _Answer(Struct, frozen=True):
    """Monotonic times of a probe and its answer."""

    asked_at: float
    received_at: float


class LocalHealth:
    """Recent probe answers received by this host, by data centre."""

    def __init__(self) -> None:
        self._answers: dict[DataCentre, deque[_Answer]] = {}

    def note_answer(self, centre: DataCentre, asked: float, now: float) -> None:
        """Record an answer.

        :param asked: when the target was probed, in monotonic seconds.
        """
        answers = self._answers.setdefault(
            centre, deque(maxlen=ANSWERS_PER_DATA_CENTRE)
        )
        answers.append(_Answer(asked, now))

    def has_answered(self, centre: DataCentre, since: float) -> bool:
        """Return whether a probe sent since a moment to a data centre was answered."""
        return any(item.asked_at >= since for item in self._answers.get(centre, ()))

    def explain_silence(self, centre: DataCentre, since: float, now: float) -> Cause:
        """Return the likely cause of a target's silence.

        Only probes sent since then count: an answer shows that the path worked after
        its probe was sent, not before.

        :param centre: data centre of the target.
        :param since: start of the silence, in monotonic seconds.
        """
        answering = {
            name
            for name, answers in self._answers.items()
            if any(
                item.asked_at >= since and item.received_at <= now - MIN_LEAD_SECONDS
                for item in answers
            )
        }
        if centre in answering:
            return Cause.TARGET
        return Cause.PATH if answering else Cause.HOST
