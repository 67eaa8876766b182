"""The closed list of error kinds and the table from kind to answer."""

from dataclasses import dataclass
from enum import Enum
from types import MappingProxyType


class Outcome(Enum):
    """What a caller may believe about the request that was not answered."""

    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"
    RAN = "ran"


class Advice(Enum):
    """What a caller should do next."""

    RETRY_ELSEWHERE = "retry_elsewhere"
    RETRY_LATER = "retry_later"
    STOP = "stop"


class ErrorKind(Enum):
    """Every way in which a request can end without its answer."""

    MALFORMED = "malformed"
    TOO_LARGE = "too_large"
    UNAUTHENTICATED = "unauthenticated"
    FORBIDDEN = "forbidden"
    UNKNOWN_ROUTE = "unknown_route"
    NO_BUNDLE = "no_bundle"
    KEY_REUSED = "key_reused"
    QUOTA_EXCEEDED = "quota_exceeded"
    SATURATED = "saturated"
    NO_TARGET = "no_target"
    DRAINING = "draining"
    CLAIMS_UNAVAILABLE = "claims_unavailable"
    DEADLINE_IN_QUEUE = "deadline_in_queue"
    CANCELLED_IN_QUEUE = "cancelled_in_queue"
    TARGET_REFUSED = "target_refused"
    TARGET_STOP = "target_stop"
    NOT_DELIVERED = "not_delivered"
    CANCELLED = "cancelled"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    TARGET_LOST = "target_lost"
    TARGET_FAULT = "target_fault"
    OUTCOME_UNKNOWN = "outcome_unknown"
    ANSWER_LOST = "answer_lost"
    NO_ANSWER = "no_answer"
    INTERNAL = "internal"


@dataclass(frozen=True, slots=True)
class ErrorRow:
    """One row of the table from kind to answer.

    :param status: HTTP status sent to the caller.
    :param outcome: what the caller may believe.
    :param advice: what the caller should do next.
    :param retry_after: default of the ``Retry-After`` header in seconds, if any.
    :param meaning: one sentence for the caller.
    """

    status: int
    outcome: Outcome
    advice: Advice
    retry_after: float | None
    meaning: str


_NOT_RUN, _MAYBE, _RAN = Outcome.NOT_RUN, Outcome.MAY_HAVE_RUN, Outcome.RAN
_ELSEWHERE, _LATER, _STOP = Advice.RETRY_ELSEWHERE, Advice.RETRY_LATER, Advice.STOP

ERROR_TABLE = MappingProxyType(
    {
        ErrorKind.MALFORMED: ErrorRow(
            400, _NOT_RUN, _STOP, None, "The request is not well formed."
        ),
        ErrorKind.TOO_LARGE: ErrorRow(
            413, _NOT_RUN, _STOP, None, "The request is larger than allowed."
        ),
        ErrorKind.UNAUTHENTICATED: ErrorRow(
            401, _NOT_RUN, _STOP, None, "The bearer key belongs to no client account."
        ),
        ErrorKind.FORBIDDEN: ErrorRow(
            403, _NOT_RUN, _STOP, None, "The client account may not use this."
        ),
        ErrorKind.UNKNOWN_ROUTE: ErrorRow(
            404, _NOT_RUN, _STOP, None, "No such brand, application or path."
        ),
        ErrorKind.NO_BUNDLE: ErrorRow(
            503, _NOT_RUN, _ELSEWHERE, 2.0, "This host has no configuration yet."
        ),
        ErrorKind.KEY_REUSED: ErrorRow(
            409, _NOT_RUN, _STOP, None, "The idempotency key came with another body."
        ),
        ErrorKind.QUOTA_EXCEEDED: ErrorRow(
            429, _NOT_RUN, _LATER, 1.0, "The client account has used up its quota."
        ),
        ErrorKind.SATURATED: ErrorRow(
            503, _NOT_RUN, _LATER, 1.0, "The wait would be longer than the deadline."
        ),
        ErrorKind.NO_TARGET: ErrorRow(
            503, _NOT_RUN, _LATER, 2.0, "No target can serve the request now."
        ),
        ErrorKind.DRAINING: ErrorRow(
            503, _NOT_RUN, _ELSEWHERE, 0.0, "This host is shutting down."
        ),
        ErrorKind.CLAIMS_UNAVAILABLE: ErrorRow(
            503, _NOT_RUN, _LATER, 2.0, "Non-idempotent work cannot be recorded now."
        ),
        ErrorKind.DEADLINE_IN_QUEUE: ErrorRow(
            504, _NOT_RUN, _LATER, 1.0, "The deadline passed before a target was free."
        ),
        ErrorKind.CANCELLED_IN_QUEUE: ErrorRow(
            499, _NOT_RUN, _STOP, None, "The caller cancelled before the request ran."
        ),
        ErrorKind.TARGET_REFUSED: ErrorRow(
            503, _NOT_RUN, _LATER, 1.0, "The targets refused the request as not run."
        ),
        ErrorKind.TARGET_STOP: ErrorRow(
            422, _NOT_RUN, _STOP, None, "The target refused the request for good."
        ),
        ErrorKind.NOT_DELIVERED: ErrorRow(
            503, _NOT_RUN, _LATER, 1.0, "No target could be reached."
        ),
        ErrorKind.CANCELLED: ErrorRow(
            499, _MAYBE, _STOP, None, "The caller cancelled while the request ran."
        ),
        ErrorKind.DEADLINE_EXCEEDED: ErrorRow(
            504, _MAYBE, _STOP, None, "The deadline passed while the request ran."
        ),
        ErrorKind.TARGET_LOST: ErrorRow(
            502, _MAYBE, _LATER, 1.0, "The target was lost while the request ran."
        ),
        ErrorKind.TARGET_FAULT: ErrorRow(
            502, _MAYBE, _STOP, None, "The target answered with a fault."
        ),
        ErrorKind.OUTCOME_UNKNOWN: ErrorRow(
            409, _MAYBE, _STOP, None, "The request may have run; it will not run again."
        ),
        ErrorKind.ANSWER_LOST: ErrorRow(
            410, _RAN, _STOP, None, "The request ran, but its answer is gone."
        ),
        ErrorKind.NO_ANSWER: ErrorRow(
            404, _NOT_RUN, _STOP, None, "No answer is stored under this key."
        ),
        ErrorKind.INTERNAL: ErrorRow(
            500, _MAYBE, _STOP, None, "The router met a fault of its own."
        ),
    }
)


@dataclass(frozen=True, slots=True)
class Fault:
    """One request's end without its answer.

    :param kind: the row of :data:`ERROR_TABLE`.
    :param detail: what happened, for people; holds no key, token or body text.
    :param retry_after: seconds to wait, where it differs from the row's default.
    """

    kind: ErrorKind
    detail: str = ""
    retry_after: float | None = None

    @property
    def row(self) -> ErrorRow:
        """Return the row that says how this fault is answered."""
        return ERROR_TABLE[self.kind]

    @property
    def not_run(self) -> bool:
        """Tell whether the request certainly did not run."""
        return self.row.outcome is Outcome.NOT_RUN

    @property
    def wait(self) -> float | None:
        """Return the seconds to send as ``Retry-After``, if any."""
        if self.retry_after is not None:
            return self.retry_after
        return self.row.retry_after
