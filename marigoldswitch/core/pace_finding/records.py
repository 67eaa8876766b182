"""What ramps of new and recovered targets consist of, and their settings."""

from enum import Enum

from msgspec import Struct

from marigoldswitch.core.ids import TargetId


class StartKind(Enum):
    """Why a ramp starts."""

    NEW = "new"
    RESTARTED = "restarted"
    RECOVERED = "recovered"


class RampStep(Enum):
    """What happened to a ramp."""

    STARTED = "started"
    OMITTED = "omitted"
    CHANGED = "changed"
    ENDED = "ended"


class RampReason(Enum):
    """Why a ramp did not start, changed or ended."""

    START = "start"
    ANSWERS_GOOD = "answers_good"
    ANSWERS_BAD = "answers_bad"
    FULL = "full_share"
    PEERS_FULL = "full_share_at_most_hosts"
    BOUND = "time_bound"
    GONE = "target_gone"
    POOL_STARTS = "half_of_pool_starts"
    REST_FULL = "rest_is_full"
    ONLY_HOLDER = "only_holder_of_layers"


class PaceSettings(Struct, frozen=True):
    """Settings of all ramps of a finder.

    :param initial_share: share of its capacity that a target may use at first.
    :param bound_seconds: time after which the share is full whatever the answers are,
        from the start or from the end of the time for which the target is cold.
    :param floor_power: how the lower bound rises with time: 1 for linear, 2 for slowly
        at first.
    """

    initial_share: float = 0.1
    bound_seconds: float = 15.0
    floor_power: float = 2.0


class RampCount(Struct, frozen=True):
    """What one or more hosts have counted of one ramp since its start.

    :param good: answers in time.
    :param bad: answers that were slow, lost or refused.
    :param wanted: requests that could have been sent to the target lately.
    :param full: number of hosts that have ended the ramp at the full share.
    :param ramping: number of hosts that have started the ramp.
    """

    good: int = 0
    bad: int = 0
    wanted: int = 0
    full: int = 0
    ramping: int = 0

    def plus(self, other: "RampCount") -> "RampCount":
        """Return the sum of both."""
        return RampCount(
            self.good + other.good,
            self.bad + other.bad,
            self.wanted + other.wanted,
            self.full + other.full,
            self.ramping + other.ramping,
        )


class RampNote(Struct, frozen=True):
    """What one or more hosts report of a ramp.

    :param born: when the target started, in ms since 1970; 0 if unknown.
    """

    target: TargetId
    born: int
    count: RampCount


class PoolState(Struct, frozen=True):
    """The pool of a starting target, as seen now.

    :param live: number of its targets that are neither dead nor leaving, with this one.
    :param rest_use: used part of the usable capacity of the others; above 1 if they
        have more work than that.
    :param is_needed: no other live target can do this one's part of the work.
    :param own_use: part of this target's capacity that is used by all hosts.
    """

    live: int
    rest_use: float = 0.0
    is_needed: bool = False
    own_use: float = 0.0


class RampChange(Struct, frozen=True):
    """One step of one ramp, for the log.

    :param share: from this step on.
    :param previous: share before.
    :param seconds: since the start of the ramp.
    :param count: answers of all known hosts in the round that led to the step.
    """

    target: TargetId
    step: RampStep
    reason: RampReason
    kind: StartKind
    share: float
    previous: float
    seconds: float
    count: RampCount = RampCount()
