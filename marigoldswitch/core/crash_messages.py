"""Notes of hosts to each other on requests that end targets."""

from msgspec import Struct

from marigoldswitch.core.fingerprints import Fingerprint
from marigoldswitch.core.ids import AccountId, PromptPartId, ServiceName, TargetId


class EndNote(Struct, frozen=True):
    """An end of a target while it ran a request.

    :param born: when the target had started, in ms since 1970. If it states none, a
        negative number that names the run, or 0.
    :param age: seconds since the end.
    :param blame: share of the blame that the request bears, in hundredths.
    """

    target: TargetId
    born: int
    age: float
    blame: int


class CrashNote(Struct, frozen=True):
    """What a host knows of one request that was running when targets ended.

    :param account: client account of the request, if known.
    :param ends: the ends of targets during the request.
    :param held: seconds since the last end for which the request was held off; negative
        if it is not held off.
    :param cleared: seconds since the request last completed; negative if it never has.
    """

    fingerprint: Fingerprint
    account: AccountId | None
    ends: tuple[EndNote, ...]
    held: float = -1.0
    cleared: float = -1.0


class PartEndNote(Struct, frozen=True):
    """An end of a target that had not answered a request with some part.

    :param born: when the target had started, in ms since 1970. If it states none, a
        negative number that names the run, or 0.
    :param age: seconds since the end.
    :param sent: seconds since the request was sent to the target.
    :param request: begin of the request's fingerprint.
    :param account: client account of the request, if known.
    """

    target: TargetId
    born: int
    age: float
    sent: float
    request: str
    account: AccountId | None = None


class PartNote(Struct, frozen=True):
    """What a host knows of one part of prompts with which targets ended.

    :param ends: the ends since the part was last answered.
    :param answered: seconds since a target last answered a request with the part;
        negative if none is known to have.
    """

    service: ServiceName
    part: PromptPartId
    ends: tuple[PartEndNote, ...] = ()
    answered: float = -1.0


class CrashNotes(Struct, frozen=True):
    """Records of requests that end targets, and of parts of prompts that do."""

    notes: tuple[CrashNote, ...]
    parts: tuple[PartNote, ...] = ()


class ReachQuestion(Struct, frozen=True):
    """Asks whether the recipient reaches a target that refuses the sender.

    :param number: repeated in the answer.
    :param age: seconds since the target refused the sender.
    """

    target: TargetId
    number: int
    age: float


class ReachAnswer(Struct, frozen=True):
    """Answer to a :class:`ReachQuestion`; neither is set if the sender can't tell.

    :param is_reached: the target has taken a connection of the sender since.
    :param is_refused: it has refused one.
    """

    number: int
    is_reached: bool = False
    is_refused: bool = False
