"""Whether silence tells of a target, of the way to it, or of this host.

Load it answers: a host whose own link is full, or whose processor is taken, for some
tens of milliseconds. All its probes are late together, and targets that live look dead.
So silence counts against a target only if this host got an answer from elsewhere in the
same time.
"""

from enum import Enum

from marigoldswitch.core.ids import DataCentre


class Cause(Enum):
    """What the silence of a target is put down to."""

    TARGET = "target"
    """Others in its data centre have answered meanwhile."""
    PATH = "path"
    """Others have answered, none of them in its data centre."""
    HOST = "host"
    """Nobody has answered: it may be this host that is late."""


class LocalHealth:
    """The newest answers that this host has got, by data centre."""

    def __init__(self) -> None:
        self._asked: dict[DataCentre, float] = {}

    def note_answer(self, centre: DataCentre, asked: float) -> None:
        """Learn that a target has answered.

        :param asked: when it was asked, in monotonic seconds.
        """
        self._asked[centre] = max(asked, self._asked.get(centre, asked))

    def has_answered(self, centre: DataCentre, since: float) -> bool:
        """Tell whether a target of a data centre has answered since a moment."""
        return self._asked.get(centre, float("-inf")) >= since

    def explain_silence(self, centre: DataCentre, since: float) -> Cause:
        """Return why a target of a data centre has been silent since a moment.

        Only what was asked since then counts: an answer shows that the way was free
        after its question, not before.
        """
        if self.has_answered(centre, since):
            return Cause.TARGET
        if any(asked >= since for asked in self._asked.values()):
            return Cause.PATH
        return Cause.HOST
