"""Short-term exclusion of targets that were found dead, refusing or failing.

The store entry of an engine that dies lapses only seconds later; until then each
request routed to it loses seconds. So one request's finding excludes the target for all
others. A refusal shows that the target is alive but has no room, and excludes it for
a much shorter time. An engine that refuses although it has room accepts nothing new for
longer: it is leaving or gives up layers, and its store entry may not show that yet. So
does one that accepts requests and answers none.
"""

from collections.abc import Callable
from enum import Enum

from msgspec import Struct

from marigoldswitch.core.ids import TargetId

DEAD_EXCLUSION_SECONDS = 1.0
"""First exclusion of a target that does not answer: about a heartbeat, within which a
live one is heard from."""
REFUSED_EXCLUSION_SECONDS = 0.15
"""First exclusion of a target that refuses: some tens of decode steps, in which it
frees room."""
FAILED_EXCLUSION_SECONDS = 1.0
"""First exclusion of an engine that loses a request before it answers. An engine that
resets every request at once looks idle and attracts all of them, more than a host may
retry. With exclusions of 1, 2 and 4 s it gets three, which are retried."""
CLOSED_EXCLUSION_SECONDS = 1.0
"""First exclusion of an engine that refuses although it has room. An engine that leaves
during a store outage refuses until the store is back."""
MAX_EXCLUSION_SECONDS = 4.0
"""Longest exclusion; the store entry of a dead target has lapsed by then."""


DEAD_RENEWAL_SECONDS = 1.0
"""How long a target stays excluded if it is found dead again within half of this before
its exclusion ends. Earlier findings belong to the same failure and count once."""


class Finding(Enum):
    """Why a target is excluded."""

    DEAD = "dead"
    REFUSED = "refused"
    FAILED = "failed"
    CLOSED = "closed"
    """It refuses or ignores requests although it has room for them."""


class _Suspicion(Struct):
    """An exclusion of a target; times are monotonic seconds.

    :ivar until: when it ends.
    :ivar seconds: its duration; the next one in a row is twice as long.
    :ivar since: when the target was excluded for this finding.
    """

    until: float
    seconds: float
    finding: Finding
    since: float


FIRST_EXCLUSION_SECONDS = {
    Finding.DEAD: DEAD_EXCLUSION_SECONDS,
    Finding.REFUSED: REFUSED_EXCLUSION_SECONDS,
    Finding.FAILED: FAILED_EXCLUSION_SECONDS,
    Finding.CLOSED: CLOSED_EXCLUSION_SECONDS,
}


class Suspects:
    """Targets that are temporarily excluded from routing."""

    def __init__(self) -> None:
        self._suspicions: dict[TargetId, _Suspicion] = {}
        self._listeners: dict[Finding, list[Callable[[TargetId], None]]] = {
            item: [] for item in Finding
        }

    def add_dead_listener(self, listener: Callable[[TargetId], None]) -> None:
        """Register a callback for each target that is newly found dead."""
        self._listeners[Finding.DEAD].append(listener)

    def add_closed_listener(self, listener: Callable[[TargetId], None]) -> None:
        """Register a callback for each target that this host newly finds closed."""
        self._listeners[Finding.CLOSED].append(listener)

    def add_listener(
        self, finding: Finding, listener: Callable[[TargetId], None]
    ) -> None:
        """Register a callback for each target newly excluded by this host."""
        self._listeners[finding].append(listener)

    def is_excluded(self, target: TargetId, now: float) -> bool:
        """Return whether a target is excluded now."""
        suspicion = self._suspicions.get(target)
        return suspicion is not None and now < suspicion.until

    def is_dead(self, target: TargetId, now: float) -> bool:
        """Return whether a target is excluded because it does not answer."""
        return self._is_excluded_as(target, Finding.DEAD, now)

    def is_failing(self, target: TargetId, now: float) -> bool:
        """Return whether a target is excluded because it lost a request."""
        return self._is_excluded_as(target, Finding.FAILED, now)

    def is_last_resort(self, target: TargetId, now: float) -> bool:
        """Return whether an excluded target may be tried where no other is left.

        A closed one may once it has been excluded for as long as a full one is.
        """
        if self._is_excluded_as(target, Finding.CLOSED, now):
            closed_for = now - self._suspicions[target].since
            return closed_for >= REFUSED_EXCLUSION_SECONDS
        return self.is_failing(target, now)

    def has_failed(self, target: TargetId) -> bool:
        """Return whether the latest finding is a lost request, even after exclusion."""
        known = self._suspicions.get(target)
        return known is not None and known.finding is Finding.FAILED

    def _is_excluded_as(self, target: TargetId, finding: Finding, now: float) -> bool:
        if not self.is_excluded(target, now):
            return False
        return self._suspicions[target].finding is finding

    def has_been_dead(self, target: TargetId, seconds: float, now: float) -> bool:
        """Return whether a target has been excluded as dead for at least
        ``seconds``."""
        if not self.is_dead(target, now):
            return False
        return now - self._suspicions[target].since >= seconds

    def note(self, target: TargetId, finding: Finding, now: float) -> None:
        """Exclude a target, twice as long for each repetition of the same finding.

        A target excluded as dead stays so, whatever else is found meanwhile; one that
        is closed is not excluded for less because it refuses again.
        """
        if finding is not Finding.DEAD and self.is_dead(target, now):
            return
        if finding is Finding.REFUSED and self._is_excluded_as(
            target, Finding.CLOSED, now
        ):
            return
        known = self._suspicions.get(target)
        is_out = known is not None and now < known.until and known.finding is finding
        if is_out and known is not None:
            if finding is Finding.DEAD and known.until - now < DEAD_RENEWAL_SECONDS / 2:
                known.until = now + DEAD_RENEWAL_SECONDS
            return
        seconds = FIRST_EXCLUSION_SECONDS[finding]
        if known is not None and known.finding is finding:
            seconds = min(MAX_EXCLUSION_SECONDS, 2.0 * known.seconds)
        self._suspicions[target] = _Suspicion(now + seconds, seconds, finding, now)
        for listener in self._listeners[finding]:
            listener(target)

    def note_refusal(self, target: TargetId, had_room: bool, now: float) -> Finding:
        """Exclude an engine that refused or ignored a request; return the finding.

        Each such request costs a retry, so an engine that refuses although it has room
        is excluded for longer and reported to listeners, which tell other hosts.

        :param had_room: whether it surely had room for the request.
        """
        finding = Finding.CLOSED if had_room else Finding.REFUSED
        self.note(target, finding, now)
        return finding

    def note_reported_closed(
        self, target: TargetId, seconds: float, now: float
    ) -> None:
        """Exclude a target that a peer found closed, unless it is excluded already.

        :param seconds: time left of the peer's exclusion.
        """
        seconds = min(seconds, MAX_EXCLUSION_SECONDS)
        if seconds > 0.0 and not self.is_excluded(target, now):
            self._suspicions[target] = _Suspicion(
                now + seconds, seconds, Finding.CLOSED, now
            )

    def clear(self, target: TargetId) -> None:
        """Forget a target that has answered, or that is gone for good."""
        self._suspicions.pop(target, None)

    def reopen(self, target: TargetId) -> None:
        """End the exclusion of a target that was closed, as its layers have changed."""
        known = self._suspicions.get(target)
        if known is not None and known.finding is Finding.CLOSED:
            self.clear(target)

    def list_closed(self, now: float) -> list[tuple[TargetId, float]]:
        """Return the closed targets and the seconds left of their exclusions."""
        return [
            (name, item.until - now)
            for name, item in self._suspicions.items()
            if item.finding is Finding.CLOSED and now < item.until
        ]

    def list_dead(self, now: float) -> list[TargetId]:
        """Return the targets that are excluded because they don't answer."""
        return [name for name in self._suspicions if self.is_dead(name, now)]
