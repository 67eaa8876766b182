"""Requests that targets interrupt when they crash, and holds on such requests."""

from enum import Enum

from msgspec import Struct

from marigoldswitch.core.fingerprints import Fingerprint
from marigoldswitch.core.ids import AccountId, PromptPartId, ServiceName, TargetId


class EndVerdict(Enum):
    """What a probe has found out about a target that broke a request off."""

    ENDED = "ended"
    """Its port is closed, or a later process answers there."""
    ANSWERED = "answered"
    """It has answered."""
    SILENT = "silent"
    """There was no answer."""
    DOUBTED = "doubted"
    """Its port is closed, but this host may be cut off from it."""


class TargetRun(Struct, frozen=True):
    """One run of a target's process, from start to exit.

    :param born: start time in ms since 1970. Where the target states none, 0 or a
        negative number, by which the host that saw its end names the run.
    """

    target: TargetId
    born: int


class PromptPart(Struct, frozen=True, order=True):
    """A part of prompts, in requests to one service."""

    service: ServiceName
    id: PromptPartId


class InterruptedRequest(Struct, frozen=True):
    """A request that was running on a target when it crashed.

    :param had_event: whether it had received an event from the target.
    :param parts: parts of its prompt that may be at fault; none once the target had
        begun to answer.
    :param sent_at: when it was sent to the target, in monotonic seconds.
    """

    fingerprint: Fingerprint
    account: AccountId | None
    had_event: bool
    parts: tuple[PromptPart, ...] = ()
    sent_at: float = 0.0


class Hold(Struct, frozen=True):
    """A ban on running a request, with its reason.

    :param seconds_left: seconds until the request may run again.
    :param ends: crashes attributed to the request, as target and age in seconds.
    :param part: part of its prompt that the hold is on, if it is not on the request.
    """

    seconds_left: float
    ends: tuple[tuple[TargetId, float], ...]
    part: PromptPart | None = None
