"""What an accepted bundle says, as plain data for the decisions."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum, IntEnum

from marigoldswitch.core.ids import (
    AccountId,
    ApplicationName,
    BrandName,
    BundleVersion,
    DataCentre,
    Digest,
    PipelineName,
    Region,
    ServiceName,
    TargetId,
)


class ServiceKind(Enum):
    """What answers the requests of a service."""

    MODEL = "model"
    PLAIN = "plain"


class TargetRole(Enum):
    """What an engine is ordered to do."""

    SERVE = "serve"
    PREFILL = "prefill"
    DECODE = "decode"


class Priority(IntEnum):
    """Classes of client accounts; a lower number is served first."""

    HIGH = 0
    NORMAL = 1
    LOW = 2


@dataclass(frozen=True, slots=True)
class LayerRange:
    """Layers ``first`` up to, but not with, ``end``."""

    first: int
    end: int


@dataclass(frozen=True, slots=True)
class Service:
    """What a request asks for.

    :param layers: number of layers of the model; 0 for a plain service.
    :param idempotent: whether its requests may run twice.
    :param checks_fencing: whether its engines refuse old fencing numbers.
    :param trusts_not_run: whether a target's own "not run" may be believed.
    :param floor: fewest targets (plain) or full chains (model) to keep in service.
    :param mean_seconds: expected run time of one unit of cost, in seconds.
    :param adapters: adapters that its engines hold beside the model.
    """

    name: ServiceName
    kind: ServiceKind
    idempotent: bool
    layers: int = 0
    model: str = ""
    version: str = ""
    checks_fencing: bool = True
    trusts_not_run: bool = True
    floor: int = 1
    mean_seconds: float = 1.0
    adapters: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Target:
    """A back end: an engine that holds a layer range, or a plain service.

    :param address: ``http://IP:port``.
    :param accelerator: kind of accelerator; empty for a plain service.
    :param slots: requests it can run side by side at the most.
    :param speed: relative speed of its kind; 1.0 is the reference.
    :param role: what its engine is ordered to do.
    """

    id: TargetId
    service: ServiceName
    data_centre: DataCentre
    address: str
    slots: int
    layers: LayerRange | None = None
    accelerator: str = ""
    speed: float = 1.0
    role: TargetRole = TargetRole.SERVE


@dataclass(frozen=True, slots=True)
class Account:
    """A client account.

    :param key_digests: SHA-256 of each of its bearer keys.
    :param weight: its share among equals in one priority class.
    :param rate: requests a second over all hosts that its quota allows.
    :param burst: requests that its quota allows at once.
    """

    id: AccountId
    brands: tuple[BrandName, ...]
    key_digests: tuple[Digest, ...]
    priority: Priority
    weight: float
    rate: float
    burst: float


@dataclass(frozen=True, slots=True)
class Pipeline:
    """How an application's requests are answered.

    :param max_tokens: most tokens of one answer of a model service.
    """

    name: PipelineName
    service: ServiceName
    max_tokens: int


@dataclass(frozen=True, slots=True)
class Bundle:
    """One version of the whole configuration."""

    version: BundleVersion
    digest: Digest
    applications: Mapping[tuple[BrandName, ApplicationName], PipelineName]
    pipelines: Mapping[PipelineName, Pipeline]
    services: Mapping[ServiceName, Service]
    accounts: Mapping[AccountId, Account]
    targets: Mapping[TargetId, Target]
    link_seconds: Mapping[tuple[DataCentre, DataCentre], float] = field(
        default_factory=dict
    )
    regions: Mapping[DataCentre, Region] = field(default_factory=dict)
    """Region of each data centre; without any, all are in one."""

    def is_in_region(self, data_centre: DataCentre, region: Region) -> bool:
        """Tell whether a data centre is in a region."""
        return self.regions.get(data_centre, region) == region

    def list_targets(self, service: ServiceName) -> list[Target]:
        """Return the targets of one service, in the order of their ids."""
        found = [item for item in self.targets.values() if item.service == service]
        return sorted(found, key=lambda item: item.id)
