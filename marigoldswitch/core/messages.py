"""Messages that hosts send each other over streams."""

from dataclasses import dataclass

from marigoldswitch.core.catalogue import Priority
from marigoldswitch.core.datagrams import MemberRecord, TargetMark
from marigoldswitch.core.errors import ErrorKind
from marigoldswitch.core.ids import (
    AccountId,
    DataCentre,
    HostId,
    PermitId,
    RequestId,
    ServiceName,
    TargetId,
)


@dataclass(frozen=True, slots=True)
class Load:
    """What a target says of itself with an answer.

    :param running: requests it runs.
    :param waiting: requests that wait inside it.
    """

    running: int
    waiting: int


@dataclass(frozen=True, slots=True)
class Ask:
    """A front asks the dispatcher of a service for a permit.

    :param remaining: seconds until the request's deadline.
    :param avoid: targets that have failed this request.
    :param keep: targets of the chain so far that survive, for a recovery.
    :param pool: data centre of the pool that is asked.
    :param patience: longest estimated wait in seconds, where another pool may be
        better.
    """

    request: RequestId
    attempt: int
    front: HostId
    data_centre: DataCentre
    service: ServiceName
    account: AccountId
    priority: Priority
    weight: float
    cost: float
    remaining: float
    prefix: int | None = None
    avoid: tuple[TargetId, ...] = ()
    keep: tuple[TargetId, ...] = ()
    pool: DataCentre = DataCentre("")
    patience: float | None = None


@dataclass(frozen=True, slots=True)
class Queued:
    """The dispatcher has the request in its queue."""

    request: RequestId
    attempt: int


@dataclass(frozen=True, slots=True)
class Grant:
    """The request may go to these targets, in this order."""

    request: RequestId
    attempt: int
    permit: PermitId
    service: ServiceName
    dispatcher: HostId
    targets: tuple[TargetId, ...]
    pool: DataCentre = DataCentre("")


@dataclass(frozen=True, slots=True)
class Deny:
    """The request gets no permit.

    :param retry_after: seconds after which a new try has a chance.
    :param wait: estimated wait in seconds had it been let in.
    """

    request: RequestId
    attempt: int
    kind: ErrorKind
    retry_after: float
    wait: float = 0.0


@dataclass(frozen=True, slots=True)
class Cancel:
    """The front no longer wants the permit it asked for."""

    request: RequestId
    attempt: int
    service: ServiceName
    front: HostId
    pool: DataCentre = DataCentre("")


@dataclass(frozen=True, slots=True)
class TargetReport:
    """How one target behaved while a permit was held.

    :param seconds: time to its first byte; negative where none came.
    :param refused: it answered "busy, not run".
    :param failed: it could not be reached, broke off or timed out.
    :param leaving: it said that it is leaving.
    """

    target: TargetId
    seconds: float
    refused: bool = False
    failed: bool = False
    leaving: bool = False
    load: Load | None = None


@dataclass(frozen=True, slots=True)
class Release:
    """The front gives a permit back.

    :param seconds: time for which the permit was held.
    """

    permit: PermitId
    service: ServiceName
    front: HostId
    seconds: float
    reports: tuple[TargetReport, ...]
    pool: DataCentre = DataCentre("")


@dataclass(frozen=True, slots=True)
class PermitCheck:
    """A dispatcher asks a front whether it still holds some permits."""

    service: ServiceName
    pool: DataCentre
    dispatcher: HostId
    permits: tuple[PermitId, ...]


@dataclass(frozen=True, slots=True)
class PermitsUnknown:
    """A front's reply to :class:`PermitCheck`: those that it does not hold."""

    service: ServiceName
    pool: DataCentre
    front: HostId
    permits: tuple[PermitId, ...]


@dataclass(frozen=True, slots=True)
class QuotaDraw:
    """What a host needs of one account's quota.

    :param tokens: what it has left; below 0 it is a debt.
    :param demand: requests a second that it sees, also those refused.
    :param moved: it has drawn from another keeper before.
    """

    account: AccountId
    tokens: float
    demand: float
    moved: bool


@dataclass(frozen=True, slots=True)
class QuotaDraws:
    """A host asks the keeper of some accounts for tokens."""

    front: HostId
    draws: tuple[QuotaDraw, ...]


@dataclass(frozen=True, slots=True)
class QuotaLease:
    """Tokens of one account for a host.

    :param tokens: below 0 where tokens of an idle host went back.
    :param rate: tokens a second that the host may expect.
    """

    account: AccountId
    tokens: float
    rate: float


@dataclass(frozen=True, slots=True)
class QuotaLeases:
    """A keeper's reply to :class:`QuotaDraws`."""

    leases: tuple[QuotaLease, ...]


@dataclass(frozen=True, slots=True)
class Resync:
    """A new dispatcher asks a front what it holds and what it waits for."""

    service: ServiceName
    data_centre: DataCentre
    dispatcher: HostId


@dataclass(frozen=True, slots=True)
class HeldPermit:
    """A permit that a front holds."""

    permit: PermitId
    request: RequestId
    targets: tuple[TargetId, ...]
    attempt: int = 1


@dataclass(frozen=True, slots=True)
class Holdings:
    """A front's reply to :class:`Resync`."""

    service: ServiceName
    data_centre: DataCentre
    front: HostId
    held: tuple[HeldPermit, ...]
    waiting: tuple[Ask, ...]


@dataclass(frozen=True, slots=True)
class HandOver:
    """A host that leaves says that it no longer dispatches a service."""

    service: ServiceName
    data_centre: DataCentre
    dispatcher: HostId


@dataclass(frozen=True, slots=True)
class ClaimQuestion:
    """A host asks the owner of a claim how far it is."""

    account: AccountId
    key: str
    nonce: str
    asker: HostId


@dataclass(frozen=True, slots=True)
class ClaimReply:
    """The owner's answer.

    :param state: value of :class:`marigoldswitch.core.claims.OwnerState`.
    :param answer: canonical JSON of a small answer that the row may not hold yet.
    """

    nonce: str
    state: str
    answer: bytes = b""


@dataclass(frozen=True, slots=True)
class FetchBundle:
    """A host asks a peer for the newest bundle that it has."""

    above: int


@dataclass(frozen=True, slots=True)
class BundleContent:
    """The newest bundle of a peer.

    :param version: 0 where the peer has none above the version asked for.
    :param record: the accepted record, as in the table service.
    """

    version: int
    record: bytes
    content: bytes


@dataclass(frozen=True, slots=True)
class Inquiry:
    """A host asks another one on behalf of an operator.

    :param number: tells the replies of one question from those of another.
    """

    number: int
    subject: str
    argument: str


@dataclass(frozen=True, slots=True)
class InquiryReply:
    """What the host answers, as JSON."""

    number: int
    body: bytes


@dataclass(frozen=True, slots=True)
class Introduction:
    """A host's whole table of hosts and its marks of leaving targets.

    :param to: the host that is meant; another one at its address drops it.
    :param wants_reply: the receiver sends its own.
    """

    to: HostId
    members: tuple[MemberRecord, ...]
    marks: tuple[TargetMark, ...]
    wants_reply: bool


Message = (
    Ask
    | Queued
    | Grant
    | Deny
    | Cancel
    | Release
    | PermitCheck
    | PermitsUnknown
    | QuotaDraws
    | QuotaLeases
    | Resync
    | Holdings
    | HandOver
    | ClaimQuestion
    | ClaimReply
    | FetchBundle
    | BundleContent
    | Inquiry
    | InquiryReply
    | Introduction
)
