"""How a claim is taken, followed and finished: steps without input or output.

Each function is a generator. It yields what is to be done (:data:`Effect`), is sent
what came of it, and returns its result. The daemon carries the effects out against the
table service and the other hosts; tests do so against fakes, in any order and with any
loss.
"""

from collections.abc import Callable, Generator
from dataclasses import dataclass
from typing import Any

from marigoldswitch.core.claims import (
    CLAIM_TABLE,
    Claim,
    ClaimState,
    OwnerState,
    decode_claim,
    encode_claim,
)
from marigoldswitch.core.errors import ErrorKind, Fault
from marigoldswitch.core.ids import HostId
from marigoldswitch.core.own_claims import OwnClaims
from marigoldswitch.core.ports import Put, Row, StoreFault

MOST_WRITES = 4
"""Writes of one claim whose reply was lost before it is given up. Each repeats the same
nonce, so that whichever lands is the same claim."""
FIRST_PAUSE = 0.05
LONGEST_PAUSE = 1.0
"""Seconds between two looks at a claim of another host, and between two tries to finish
one. A caller that waits for a run on another host learns its end this much late."""


@dataclass(frozen=True, slots=True)
class Write:
    """Write a row; answered with ``None`` or a :class:`StoreFault`."""

    put: Put


@dataclass(frozen=True, slots=True)
class Read:
    """Read the claim's row; answered with it, ``None``, or a :class:`StoreFault`."""

    row: str


@dataclass(frozen=True, slots=True)
class Question:
    """Ask the owner; answered with a :class:`Told`, or ``None`` where none came."""

    owner: HostId
    nonce: str


@dataclass(frozen=True, slots=True)
class Told:
    """What an owner says of its claim."""

    state: OwnerState
    answer: bytes = b""


@dataclass(frozen=True, slots=True)
class Wait:
    """Let some seconds pass."""

    seconds: float


Effect = Write | Read | Question | Wait


@dataclass(frozen=True, slots=True)
class Held:
    """This host may send the request, once.

    :param version: version of the row that holds the claim.
    """

    row: str
    claim: Claim
    version: int


@dataclass(frozen=True, slots=True)
class Met:
    """Another claim is in the row and has no end yet."""

    row: str
    claim: Claim
    version: int


@dataclass(frozen=True, slots=True)
class Ended:
    """The request ran before.

    :param claim: the row that says so; its answer may be in the object store.
    """

    claim: Claim


@dataclass(frozen=True, slots=True)
class Free:
    """The claim that was met was never sent: its row may be taken over.

    :param nonce: the claim that its owner has forfeited.
    """

    nonce: str
    version: int


_UNSETTLED = Fault(ErrorKind.CLAIMS_UNAVAILABLE, "the claim cannot be settled")


def take_claim(
    own: OwnClaims, row: str, claim: Claim, free: Free | None = None
) -> Generator[Effect, Any, Held | Met | Ended | Fault]:
    """Write a claim if no other is in force.

    Whatever it returns but :class:`Held`, or if it is closed, the claim is forfeited:
    a write of it that lands late binds nobody.

    :param free: a claim that may be taken over, where one was met before.
    """
    own.begin(row, claim)
    held = False
    try:
        taken = yield from _take(own, row, claim, free)
        held = isinstance(taken, Held)
        return taken
    finally:
        if held:
            own.hold(claim.nonce)
        else:
            own.forfeit(claim.nonce)


def _take(
    own: OwnClaims, row: str, claim: Claim, free: Free | None
) -> Generator[Effect, Any, Held | Met | Ended | Fault]:
    expect = free.version if free else 0
    for _ in range(MOST_WRITES):
        put = Put(CLAIM_TABLE, row, encode_claim(claim), expect)
        fault = yield Write(put)
        if fault is None:
            return Held(row, claim, expect + 1)
        if fault is StoreFault.UNAVAILABLE:
            return Fault(ErrorKind.CLAIMS_UNAVAILABLE, "the table service is out")
        found = yield Read(row)
        if isinstance(found, StoreFault):
            return _UNSETTLED
        if found is None:
            expect = 0
            continue
        other = decode_claim(found.value)
        if other.nonce == claim.nonce:
            return Held(row, claim, found.version)
        if not _may_take_over(own, other, free):
            return judge_claim(row, other, found.version, claim)
        expect = found.version
    return _UNSETTLED


def _may_take_over(own: OwnClaims, other: Claim, free: Free | None) -> bool:
    if other.state is ClaimState.FORFEITED:
        return True
    if other.state is not ClaimState.HELD:
        return False
    return own.is_forfeited(other.nonce) or (
        free is not None and other.nonce == free.nonce
    )


def judge_claim(row: str, found: Claim, version: int, claim: Claim) -> Any:
    """Return what another claim in the row means for ours.

    :returns: :class:`Met`, :class:`Ended`, :class:`Free` or a fault.
    """
    if found.state is ClaimState.FORFEITED:
        return Free(found.nonce, version)
    if found.body_digest != claim.body_digest:
        return Fault(ErrorKind.KEY_REUSED)
    match found.state:
        case ClaimState.DONE:
            return Ended(found)
        case ClaimState.UNKNOWN:
            return Fault(ErrorKind.OUTCOME_UNKNOWN, "it was sent; its end is not known")
        case ClaimState.HELD:
            return Met(row, found, version)


def follow_claim(
    met: Met, claim: Claim, clock: Callable[[], float], deadline: float, patience: float
) -> Generator[Effect, Any, Free | Ended | Fault]:
    """Wait for the end of another's claim.

    :param claim: ours, which was not taken.
    :param clock: gives monotonic seconds.
    :param patience: seconds after which an owner that says nothing counts as gone.
    """
    pause = FIRST_PAUSE
    heard = clock()
    while clock() < deadline:
        told = yield Question(met.claim.owner, met.claim.nonce)
        if told is not None:
            heard = clock()
        match told:
            case Told(state=OwnerState.FORFEITED):
                return Free(met.claim.nonce, met.version)
            case Told(state=OwnerState.ENDED, answer=answer) if answer:
                return Ended(met.claim.finish(answer, stored=False))
        if told is None or told.state is not OwnerState.RUNNING:
            found = yield Read(met.row)
            end = _judge_again(met, claim, found)
            if isinstance(end, Met):
                moved = end.claim.nonce != met.claim.nonce
                met = end
                if not moved and told is not None and told.state is OwnerState.UNKNOWN:
                    return Fault(ErrorKind.OUTCOME_UNKNOWN, "its owner has restarted")
                if moved:
                    heard = clock()
            elif end is not None:
                return end
            if clock() - heard >= patience:
                return Fault(ErrorKind.OUTCOME_UNKNOWN, "its owner says nothing")
        yield Wait(min(pause, max(0.0, deadline - clock())))
        pause = min(2 * pause, LONGEST_PAUSE)
    return Fault(ErrorKind.DEADLINE_EXCEEDED, "another host may still run it")


def _judge_again(met: Met, claim: Claim, found: Row | StoreFault | None) -> Any:
    if isinstance(found, StoreFault):
        return None
    if found is None:
        return Free("", 0)
    return judge_claim(met.row, decode_claim(found.value), found.version, claim)


def finish_claim(
    row: str, ended: Claim, version: int | None
) -> Generator[Effect, Any, bool]:
    """Write the end of a claim until it stands; tell whether it does.

    :param ended: the claim with its end.
    :param version: version of the row that holds it; ``None`` where that is not known,
        because the claim was given up with a write of it under way.
    """
    pause = FIRST_PAUSE
    look = version is None
    while True:
        if look:
            found = yield Read(row)
            if not isinstance(found, StoreFault):
                stands = _stands(found, ended)
                if stands is not None:
                    return stands
                version = found.version if found else 0
                look = False
        if not look:
            assert version is not None
            put = Put(CLAIM_TABLE, row, encode_claim(ended), version)
            fault = yield Write(put)
            if fault is None:
                return True
            look = fault is not StoreFault.UNAVAILABLE
            if fault is StoreFault.CONFLICT:
                continue
        yield Wait(pause)
        pause = min(2 * pause, LONGEST_PAUSE)


def _stands(found: Row | None, ended: Claim) -> bool | None:
    """Tell whether an end stands, never will, or (``None``) has still to be written."""
    if found is None:
        return None if ended.state is ClaimState.FORFEITED else False
    claim = decode_claim(found.value)
    if claim.nonce != ended.nonce:
        return False
    return True if claim.state is ended.state else None
