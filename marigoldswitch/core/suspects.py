"""Which targets are left out for a moment because they were found dead or refusing.

Load it answers: an engine that dies. Its entry in the store lapses seconds later; until
then each request that is sent its way loses seconds. One request's finding is enough to
keep the others away. A refusal says that the target lives but has no room: it is left
out for a much shorter time.
"""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from marigoldswitch.core.ids import TargetId

DEAD_SECONDS = 1.0
"""First time out for a target that does not answer: about a heartbeat, after which a
live one has shown itself."""
REFUSED_SECONDS = 0.15
"""First time out for a target that refuses: some tens of decode steps, in which it
frees room."""
FAILED_SECONDS = 1.0
"""First time out for an engine that loses a request before it answers. One that resets
every request at once always looks idle and draws all of them, more than a host may
repeat. Out for 1, 2 and 4 s it is sent three, which are repeated."""
LONGEST_SECONDS = 4.0
"""Longest time out; the entry of a dead target has lapsed by then."""


RENEW_SECONDS = 1.0
"""Time before the end of a time out in which a target that is found dead once more
stays out: findings that come together count once, a later look counts by itself."""


class Finding(Enum):
    """What was found of a target."""

    DEAD = "dead"
    REFUSED = "refused"
    FAILED = "failed"


@dataclass(slots=True)
class _Suspicion:
    """Why a target is left out.

    :param since: when it was found so after it had last been in use.
    """

    until: float
    seconds: float
    finding: Finding
    since: float


FIRST_SECONDS = {
    Finding.DEAD: DEAD_SECONDS,
    Finding.REFUSED: REFUSED_SECONDS,
    Finding.FAILED: FAILED_SECONDS,
}


class Suspects:
    """Targets that are left out, each until some moment."""

    def __init__(self) -> None:
        self._suspicions: dict[TargetId, _Suspicion] = {}
        self._listeners: list[Callable[[TargetId], None]] = []

    def watch(self, listener: Callable[[TargetId], None]) -> None:
        """Call ``listener`` with each target that is newly found dead."""
        self._listeners.append(listener)

    def is_out(self, target: TargetId, now: float) -> bool:
        """Tell whether a target is left out now."""
        suspicion = self._suspicions.get(target)
        return suspicion is not None and now < suspicion.until

    def is_dead(self, target: TargetId, now: float) -> bool:
        """Tell whether a target is left out because it does not answer."""
        return self._is_out_as(target, Finding.DEAD, now)

    def is_failing(self, target: TargetId, now: float) -> bool:
        """Tell whether a target is left out because it lost a request."""
        return self._is_out_as(target, Finding.FAILED, now)

    def has_failed(self, target: TargetId) -> bool:
        """Tell whether the last thing found of a target is that it lost a request."""
        known = self._suspicions.get(target)
        return known is not None and known.finding is Finding.FAILED

    def _is_out_as(self, target: TargetId, finding: Finding, now: float) -> bool:
        if not self.is_out(target, now):
            return False
        return self._suspicions[target].finding is finding

    def has_been_dead(self, target: TargetId, seconds: float, now: float) -> bool:
        """Tell whether a target has not answered for some time."""
        if not self.is_dead(target, now):
            return False
        return now - self._suspicions[target].since >= seconds

    def note(self, target: TargetId, finding: Finding, now: float) -> None:
        """Leave a target out; each time in a row for twice as long.

        What was found dead stays so, whatever else is found of it meanwhile.
        """
        if finding is not Finding.DEAD and self.is_dead(target, now):
            return
        known = self._suspicions.get(target)
        is_out = known is not None and now < known.until and known.finding is finding
        if is_out and known is not None:
            if finding is Finding.DEAD and known.until - now < RENEW_SECONDS / 2:
                known.until = now + RENEW_SECONDS
            return
        seconds = FIRST_SECONDS[finding]
        if known is not None and known.finding is finding:
            seconds = min(LONGEST_SECONDS, 2.0 * known.seconds)
        self._suspicions[target] = _Suspicion(now + seconds, seconds, finding, now)
        if finding is Finding.DEAD:
            for listener in self._listeners:
                listener(target)

    def clear(self, target: TargetId) -> None:
        """Take a target back: it has answered, or it is gone for good."""
        self._suspicions.pop(target, None)

    def list_dead(self, now: float) -> list[TargetId]:
        """Return the targets that are out because they don't answer."""
        return [name for name in self._suspicions if self.is_dead(name, now)]
