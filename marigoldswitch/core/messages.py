"""Messages that hosts send each other over streams."""

from dataclasses import dataclass

from marigoldswitch.core.catalogue import Priority
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


@dataclass(frozen=True, slots=True)
class Deny:
    """The request gets no permit.

    :param retry_after: seconds after which a new try has a chance.
    """

    request: RequestId
    attempt: int
    kind: ErrorKind
    retry_after: float


@dataclass(frozen=True, slots=True)
class Cancel:
    """The front no longer wants the permit it asked for."""

    request: RequestId
    attempt: int
    service: ServiceName
    front: HostId


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


Message = (
    Ask
    | Queued
    | Grant
    | Deny
    | Cancel
    | Release
    | Resync
    | Holdings
    | HandOver
    | ClaimQuestion
    | ClaimReply
    | FetchBundle
    | BundleContent
)
