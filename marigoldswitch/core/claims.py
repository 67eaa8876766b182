"""Claims: a non-idempotent request runs at most once.

A claim is a row (client account, idempotency key) in the table service. It is written
before the request goes to a target and names the host that may send it.
"""

from dataclasses import dataclass, replace
from enum import Enum

import msgpack

from marigoldswitch.core.ids import (
    AccountId,
    Digest,
    HostId,
    IdempotencyKey,
    Incarnation,
)

CLAIM_TABLE = "claims"


class ClaimState(Enum):
    """What the row says of the request."""

    HELD = "held"
    """The owner may send it, is sending it, or has failed to say how it ended."""
    DONE = "done"
    UNKNOWN = "unknown"
    """It may have run, and no answer will come."""
    FORFEITED = "forfeited"
    """It was never sent and never will be under this claim: anyone may take it over.

    A forfeited row stays until it expires: were it deleted, row versions would begin
    anew, and a write that is late could meet a version that it was not meant for.
    """


class OwnerState(Enum):
    """What the owner of a claim says when it is asked."""

    RUNNING = "running"
    FORFEITED = "forfeited"
    """It was never sent and never will be under this claim."""
    ENDED = "ended"
    """It ran; the answer comes with the reply or is in the row."""
    UNKNOWN = "unknown"
    """The owner knows nothing of it, for example because it has restarted."""


@dataclass(frozen=True, slots=True)
class Claim:
    """A claim as the table service keeps it.

    :param nonce: tells this write from every other one.
    :param body_digest: SHA-256 of the request's canonical body.
    :param answer: canonical JSON of the answer, or the key of the object holding it.
    :param stored: whether ``answer`` is the key of an object.
    :param taken: wall-clock seconds at which it was taken, for its expiry.
    """

    owner: HostId
    incarnation: Incarnation
    nonce: str
    body_digest: Digest
    state: ClaimState
    answer: bytes = b""
    stored: bool = False
    taken: float = 0.0

    def finish(self, answer: bytes, stored: bool) -> "Claim":
        """Return the claim marked done with its answer."""
        return replace(self, state=ClaimState.DONE, answer=answer, stored=stored)

    def give_up(self) -> "Claim":
        """Return the claim marked as of unknown outcome."""
        return replace(self, state=ClaimState.UNKNOWN)

    def forfeit(self) -> "Claim":
        """Return the claim marked as never sent."""
        return replace(self, state=ClaimState.FORFEITED)

    def is_expired(self, now: float, keep: float) -> bool:
        """Tell whether the claim is older than claims are kept.

        :param now: wall-clock seconds.
        :param keep: seconds; longer than the longest deadline and its late answer.
        """
        return now - self.taken > keep


def build_claim_key(account: AccountId, key: IdempotencyKey) -> str:
    """Return the key of the claim's row; no two pairs share one."""
    return f"{len(account)}:{account}/{key}"


def encode_claim(claim: Claim) -> bytes:
    """Return the claim as a row's value."""
    return msgpack.packb(
        [
            claim.owner,
            claim.incarnation,
            claim.nonce,
            claim.body_digest,
            claim.state.value,
            claim.answer,
            claim.stored,
            claim.taken,
        ]
    )


def decode_claim(value: bytes) -> Claim:
    """Return the claim that a row holds.

    :raises ValueError: if the value is no claim.
    """
    owner, incarnation, nonce, digest, state, answer, stored, taken = msgpack.unpackb(
        value
    )
    return Claim(
        owner, incarnation, nonce, digest, ClaimState(state), answer, stored, taken
    )
