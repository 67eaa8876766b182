"""What the hosts of a gateway tell each other.

Apart from the messages of the dispatchers, so that a gateway's host loads only these
when it starts.
"""

from dataclasses import dataclass

from marigoldswitch.core.fingerprints import Fingerprint
from marigoldswitch.core.ids import (
    AccountId,
    DataCentre,
    HostId,
    ServiceName,
    TargetId,
)


@dataclass(frozen=True, slots=True)
class TargetUsage:
    """What one host's requests take of a target.

    :param memory: of its KV cache that is reserved for them, in tokens times layers.
    :param begun: requests among these whose chain begins there.
    """

    target: TargetId
    requests: int
    memory: int
    begun: int = 0


@dataclass(frozen=True, slots=True)
class SlowTarget:
    """An engine that takes longer than usual.

    :param factor: its time for a step over the usual one.
    """

    target: TargetId
    factor: float


@dataclass(frozen=True, slots=True)
class HeldLayers:
    """What an engine has lately been seen to hold; ``end`` is 0 where it is nothing.

    :param age: seconds since it was seen.
    :param born: when the engine started, in ms since 1970; 0 where it is not known.
    """

    target: TargetId
    first: int
    end: int
    age: float = 0.0
    born: int = 0


@dataclass(frozen=True, slots=True)
class LeaseNote:
    """The lease of the engines' orderer as its holder has last written it.

    :param value: the row's value.
    :param version: the row's version.
    :param holder: the host that holds it.
    :param age: seconds since the holder said so.
    """

    value: bytes
    version: int
    holder: HostId
    age: float = 0.0


@dataclass(frozen=True, slots=True)
class LoadDigest:
    """What a gateway's host tells the others every so often.

    :param version: of the configuration that it has in force.
    :param revision: up to which it knows the targets.
    :param usages: what it holds of targets, for those that add it up.
    :param dead: targets that it has found dead just now.
    :param slow: what the orderer knows of slow engines.
    :param lease: the lease of the engines' orderer, told by the host that holds it and
        by relays.
    :param leaving: it is shutting down.
    :param reads: it follows the store by itself, and the store answers.
    :param readers: hosts of its data centre that have told it so of themselves.
    :param current: it reads, or knows no less of the targets than one that does.
    :param strength: of its link, by which hosts choose who relays and reads for them.
    :param crashes: checksum of what it knows of requests that end targets.
    """

    data_centre: DataCentre
    version: int
    revision: int
    usages: tuple[TargetUsage, ...] = ()
    dead: tuple[TargetId, ...] = ()
    slow: tuple[SlowTarget, ...] = ()
    layers: tuple[HeldLayers, ...] = ()
    lease: LeaseNote | None = None
    leaving: bool = False
    reads: bool = False
    readers: tuple[HostId, ...] = ()
    current: bool = False
    strength: int = 0
    crashes: int = 0


@dataclass(frozen=True, slots=True)
class CentreUsage:
    """What all hosts of a data centre hold of targets together."""

    data_centre: DataCentre
    usages: tuple[TargetUsage, ...]


@dataclass(frozen=True, slots=True)
class LoadSummary:
    """What a relay tells the hosts of its data centre and the relays of others.

    :param near: live hosts of its data centre.
    :param live: live hosts that it knows of in all.
    :param hosts: those of its data centre, told now and then.
    """

    usages: tuple[CentreUsage, ...]
    near: int
    live: int
    hosts: tuple[HostId, ...] = ()


@dataclass(frozen=True, slots=True)
class FetchConfiguration:
    """A gateway's host asks for a configuration newer than its own."""

    version: int


@dataclass(frozen=True, slots=True)
class ConfigurationContent:
    """A configuration as the platform holds it."""

    version: int
    content: bytes


@dataclass(frozen=True, slots=True)
class FetchTargets:
    """A gateway's host asks for the targets, as it can't read them itself."""

    revision: int


@dataclass(frozen=True, slots=True)
class TargetNote:
    """A target's row.

    :param revision: version of the row.
    :param layers: first layer held and the one after the last; empty for none.
    :param born: when the target started, in ms since 1970; 0 where it is not known.
    """

    target: TargetId
    service: ServiceName
    data_centre: DataCentre
    address: str
    slots: int
    accelerator: str
    leaving: bool
    revision: int
    layers: tuple[int, ...] = ()
    born: int = 0


@dataclass(frozen=True, slots=True)
class TargetsContent:
    """The targets that a host knows, up to a revision.

    :param targets: those that have changed since the revision that was asked for.
    :param names: all of them.
    :param lapsed: those whose rows are gone and may come back.
    """

    revision: int
    targets: tuple[TargetNote, ...]
    names: tuple[TargetId, ...]
    lapsed: tuple[TargetId, ...] = ()


@dataclass(frozen=True, slots=True)
class EndNote:
    """The end of a target under a request.

    :param born: when the target had started, in ms since 1970; 0 where not known.
    :param age: seconds since it ended.
    :param blame: of the request for it, in hundredths.
    """

    target: TargetId
    born: int
    age: float
    blame: int


@dataclass(frozen=True, slots=True)
class CrashNote:
    """What is known of one request that ran at the end of targets.

    :param held: seconds for which it has been held off; below 0 where it is not.
    :param cleared: seconds since it last ran to its end; below 0 where it has not.
    """

    fingerprint: Fingerprint
    account: AccountId | None
    ends: tuple[EndNote, ...]
    held: float = -1.0
    cleared: float = -1.0


@dataclass(frozen=True, slots=True)
class CrashNotes:
    """What a host knows of requests that end targets."""

    notes: tuple[CrashNote, ...]


GatewayMessage = (
    LoadDigest
    | LoadSummary
    | FetchConfiguration
    | ConfigurationContent
    | FetchTargets
    | TargetsContent
    | CrashNotes
)
