"""The share that one target on a ramp may use, by its age and its answers."""

from enum import Enum

from msgspec import Struct

from marigoldswitch.core.pace_finding.records import (
    PaceSettings,
    RampCount,
    StartKind,
)

ROUND_SECONDS = 0.6
"""Least time between two raises of a share: the hosts of a data centre hear of each
other's answers within it, and a short request at the new share has ended."""
MIN_ROUND_ANSWERS = 4
"""Fewest answers by which a share is raised."""
MAX_ROUND_ANSWERS = 20
"""Answers that suffice for a raise, whatever the capacity."""
MIN_BAD_ANSWERS = 2
MAX_BAD_SHARE = 0.25
"""Bad answers in a round, and their part of all, beyond which a share falls. Single
slow answers are due to large requests."""
RAISE_FACTOR = 2.0
RAISE_STEP = 0.1
"""Raise of a share per round: by the factor until it has fallen for the first time, and
by the step from then on."""
LOWER_FACTOR = 0.5
MAX_COLD_SHARE = 0.3
"""Largest share of a target that states that it is still slow after its start."""
MAX_COLD_SECONDS = 30.0
"""Longest time for which such a statement is followed: several times the usual one."""


REST_SECONDS = 2.0
"""Time over which that use is averaged during a ramp: that of a few targets of a few
slots each varies by a third from one moment to the next."""


class Verdict(Enum):
    """What the answers of a round say of a share."""

    UNKNOWN = "unknown"
    GOOD = "good"
    BAD = "bad"


class Ramp(Struct):
    """State of one ramp; times are in monotonic seconds.

    :ivar pool: name shared by the targets that can take each other's load.
    :ivar slots: number of requests that the target runs at once.
    :ivar share: reached by the answers so far.
    :ivar cold_until: end of the time for which the target says that it is slow.
    :ivar changed_at: when the present round began.
    :ivar is_fast: the share grows by a factor.
    :ivar looked_at: when the pool was last looked at.
    :ivar rest_use: moving average of the used part of the rest of the pool.
    :ivar total: largest sums over all hosts so far.
    :ivar round: answers of all hosts since the present round began.
    :ivar last_verdict: that of the previous round.
    """

    settings: PaceSettings
    pool: str
    kind: StartKind
    slots: int
    started_at: float
    share: float
    cold_until: float
    changed_at: float
    is_fast: bool
    looked_at: float
    rest_use: float
    total: RampCount = RampCount()
    round: RampCount = RampCount()
    last_verdict: Verdict = Verdict.UNKNOWN

    def get_share(self, now: float) -> float:
        """Return the share that the target may use now."""
        if now < self.cold_until:
            return min(self.share, self._max_cold_share)
        return min(1.0, max(self.share, self._compute_floor(now)))

    def note_cold(self, seconds: float, now: float) -> None:
        """Record for how much longer the target says that it stays slow."""
        last = self.started_at + MAX_COLD_SECONDS
        self.cold_until = min(now + max(0.0, seconds), last)

    def hold(self, now: float) -> None:
        """Begin a new round at the same share, whatever the answers were."""
        self.last_verdict = Verdict.UNKNOWN
        self.changed_at, self.round = now, RampCount()

    def average_rest_use(self, rest_use: float, now: float) -> float:
        """Update and return the used part of the rest of the pool."""
        weight = min(1.0, (now - self.looked_at) / REST_SECONDS)
        self.looked_at = now
        self.rest_use += weight * (rest_use - self.rest_use)
        return self.rest_use

    def add_total(self, total: RampCount) -> None:
        """Add to the round what hosts have counted since the last sum.

        The sum falls when reports of a host expire, and may rise again when the host is
        back; its answers must not count twice.
        """
        good = max(0, total.good - self.total.good)
        bad = max(0, total.bad - self.total.bad)
        self.total = self.total.plus(RampCount(good, bad))
        self.round = self.round.plus(RampCount(good, bad))

    def judge_round(self, now: float) -> Verdict:
        """Return what the answers of the round say, if there are enough."""
        if now - self.changed_at < ROUND_SECONDS:
            return Verdict.UNKNOWN
        bad = self.round.bad
        answers = self.round.good + bad
        if bad >= MIN_BAD_ANSWERS and bad > MAX_BAD_SHARE * answers:
            return Verdict.BAD
        used = self.get_share(now) * self.slots
        needed = min(MAX_ROUND_ANSWERS, max(MIN_ROUND_ANSWERS, used / 2.0))
        return Verdict.GOOD if answers >= needed else Verdict.UNKNOWN

    @property
    def is_trusted(self) -> bool:
        """Return whether the answers so far show that the target does well."""
        answers = self.round.good + self.round.bad
        if answers:
            return self.round.bad <= MAX_BAD_SHARE * answers
        return self.last_verdict is Verdict.GOOD

    def apply(self, verdict: Verdict, now: float) -> None:
        """Change the share and begin a new round."""
        share, initial = self.get_share(now), self.initial_share
        if verdict is Verdict.GOOD:
            share = RAISE_FACTOR * share if self.is_fast else share + RAISE_STEP
        else:
            # At the initial share a cold target is expected to be slow.
            if self.share > initial and now >= self.cold_until:
                self.is_fast = False
            share = max(initial, LOWER_FACTOR * share)
        limit = self._max_cold_share if now < self.cold_until else 1.0
        self.share = min(limit, share)
        self.hold(now)
        self.last_verdict = verdict

    @property
    def initial_share(self) -> float:
        """Return the share at the start: at least one request at a time."""
        return max(self.settings.initial_share, 1.0 / max(1, self.slots))

    @property
    def _max_cold_share(self) -> float:
        return max(MAX_COLD_SHARE, self.initial_share)

    def _compute_floor(self, now: float) -> float:
        """Return the least share by the age of the ramp alone."""
        settings = self.settings
        age = max(0.0, now - max(self.started_at, self.cold_until))
        part = min(1.0, age / settings.bound_seconds) ** settings.floor_power
        return self.initial_share + (1.0 - self.initial_share) * part
