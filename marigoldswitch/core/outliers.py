"""Which targets are left out for a while because they fail.

Load it answers: a target that fails fast looks idle, so that it draws work and fails
that too. Without ejection each request loses one of its attempts to it. Ejection itself
is bounded: when many fail at once the fault is more likely in the network or in us, and
the last targets would drown.
"""

from dataclasses import dataclass
from enum import Enum

from marigoldswitch.core.ids import TargetId

BLAME_LIMIT = 3.0
"""Failures in a row that eject: one may be the request's own fault, and a request has
at most three attempts, each on another target."""
REFUSAL_BLAME = 0.5
"""A refusal says that the target lives; six in a row say that it does no work."""
FIRST_SECONDS = 5.0
LONGEST_SECONDS = 60.0
"""Time out of use: doubled with each failed probe, as restarts take from seconds to a
minute."""
REST_SECONDS = 1.0
"""Time out of use of a target that refuses, as a refusal is quick and says that nothing
ran, and of one that fails while the most are ejected already: it gets one request a
second, so that few are lost to it and its recovery is seen at once."""
MOST_EJECTED = 0.34
"""Share of the pool that may be ejected for longer than a rest: a third, so that the
loss of one of three data centres or racks is covered. Where more fail, the fault may be
ours or the network's, and will end for all at once."""


class Health(Enum):
    """Whether a target takes part."""

    IN_USE = "in_use"
    EJECTED = "ejected"
    PROBING = "probing"
    """It gets one request at a time until one succeeds."""


@dataclass(slots=True)
class _Record:
    health: Health = Health.IN_USE
    blame: float = 0.0
    ejections: int = 0
    until: float = 0.0
    succeeded: float | None = None
    refusing: bool = False
    """It was ejected for refusals, not for failures."""


class OutlierWatch:
    """Ejects and probes the targets of one pool."""

    def __init__(self) -> None:
        self._records: dict[TargetId, _Record] = {}
        self.out: set[TargetId] = set()
        """Targets that are not in use: ejected, resting or probed."""
        self.ejected: set[TargetId] = set()
        """Those of them that are out for longer than a rest."""

    def replace(self, names: set[TargetId]) -> None:
        """Take the targets of the pool."""
        self._records = {
            name: self._records.get(name) or _Record() for name in sorted(names)
        }
        self.out &= names
        self.ejected &= names
        while len(self.ejected) > self.most_ejected:
            self.ejected.discard(max(self.ejected))

    def get_health(self, name: TargetId) -> Health:
        """Return whether a target takes part."""
        return self._records[name].health

    def get_last_success(self, name: TargetId) -> float | None:
        """Return when a target last answered, if it has."""
        return self._records[name].succeeded

    def note_success(self, name: TargetId, now: float) -> bool:
        """Take an answer; tell whether the target is back in use by it."""
        record = self._records[name]
        record.blame = 0.0
        record.succeeded = now
        if record.health is not Health.PROBING:
            return False
        record.health = Health.IN_USE
        record.ejections = 0
        self.out.discard(name)
        self.ejected.discard(name)
        return True

    def is_refusing(self, name: TargetId) -> bool:
        """Tell whether a target was last ejected for refusals."""
        return self._records[name].refusing

    def note_refusal(self, name: TargetId, now: float) -> bool:
        """Take a "busy, not run"; tell whether the target is ejected by it."""
        return self._note(name, REFUSAL_BLAME, True, now)

    def note_failure(self, name: TargetId, blame: float, now: float) -> bool:
        """Take a failure; tell whether the target is ejected by it.

        :param blame: 1 where this target alone failed, less where others may have.
        """
        return self._note(name, blame, False, now)

    def _note(self, name: TargetId, blame: float, refused: bool, now: float) -> bool:
        record = self._records[name]
        record.refusing = refused
        record.blame += blame
        if record.health is Health.PROBING:
            return self._eject(name, record, now)
        if record.health is Health.EJECTED or record.blame < BLAME_LIMIT:
            return False
        return self._eject(name, record, now)

    def list_due(self, now: float) -> list[TargetId]:
        """Return the ejected targets that are to be probed from now on."""
        due = []
        for name in sorted(self.out):
            record = self._records[name]
            if record.health is Health.EJECTED and record.until <= now:
                record.health = Health.PROBING
                due.append(name)
        return due

    @property
    def most_ejected(self) -> int:
        """Return the number of targets that may be ejected at once."""
        count = len(self._records)
        return max(1, int(MOST_EJECTED * count)) if count > 1 else 0

    def _eject(self, name: TargetId, record: _Record, now: float) -> bool:
        others = len(self.ejected - {name})
        if record.refusing or others >= self.most_ejected:
            seconds = REST_SECONDS
            self.ejected.discard(name)
        else:
            seconds = min(LONGEST_SECONDS, FIRST_SECONDS * 2.0**record.ejections)
            record.ejections += 1
            self.ejected.add(name)
        record.health = Health.EJECTED
        record.until = now + seconds
        record.blame = 0.0
        self.out.add(name)
        assert len(self.ejected) <= self.most_ejected
        return True
