"""Reading bundles: YAML, checked whole, into the data of the decisions."""

import hashlib
from typing import Annotated, Any

import yaml
from pydantic import BaseModel, ConfigDict, Field, ValidationError
from result import Err, Ok, Result

from marigoldswitch.core import catalogue
from marigoldswitch.core.ids import (
    AccountId,
    ApplicationName,
    BrandName,
    BundleVersion,
    DataCentre,
    Digest,
    PipelineName,
    ServiceName,
    TargetId,
)
from marigoldswitch.settings import describe_faults

Positive = Annotated[float, Field(gt=0)]


class Part(BaseModel):
    """A part of a bundle; unknown names are faults."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class ServicePart(Part):
    """A service."""

    kind: catalogue.ServiceKind
    idempotent: bool
    layers: int = Field(0, ge=0)
    model: str = ""
    version: str = ""
    checks_fencing: bool = True
    trusts_not_run: bool = True
    floor: int = Field(1, ge=0)
    mean_seconds: Positive = 1.0


class PipelinePart(Part):
    """A pipeline."""

    service: str
    max_tokens: int = Field(256, ge=1)


class BrandPart(Part):
    """A brand and its applications, each with its pipeline."""

    applications: dict[str, str]


class AccountPart(Part):
    """A client account."""

    brands: list[str]
    key_digests: list[Annotated[str, Field(pattern=r"^[0-9a-f]{64}$")]]
    priority: str = Field("normal", pattern="^(high|normal|low)$")
    weight: Positive = 1.0
    rate: Positive = 100.0
    burst: Positive = 200.0


class TargetPart(Part):
    """A target."""

    service: str
    data_centre: str
    address: str = Field(pattern=r"^https?://[0-9a-fA-F.:\[\]]+$")
    slots: int = Field(8, ge=1)
    layers: tuple[int, int] | None = None
    accelerator: str = ""
    speed: Positive = 1.0


class LinkPart(Part):
    """A link between two data centres."""

    between: tuple[str, str]
    seconds: float = Field(ge=0)


class BundlePart(Part):
    """A whole bundle."""

    brands: dict[str, BrandPart]
    pipelines: dict[str, PipelinePart]
    services: dict[str, ServicePart]
    accounts: dict[str, AccountPart]
    targets: dict[str, TargetPart]
    links: list[LinkPart] = Field(default_factory=list)


def digest_content(content: bytes) -> Digest:
    """Return the SHA-256 of some content, in hexadecimal."""
    return Digest(hashlib.sha256(content).hexdigest())


def parse_bundle(
    content: bytes, version: BundleVersion, source: str = "bundle"
) -> Result[catalogue.Bundle, list[str]]:
    """Check a bundle as a whole.

    :returns: the bundle, or one line for each fault.
    """
    try:
        part = BundlePart.model_validate(yaml.safe_load(content))
    except ValidationError as error:
        return Err(describe_faults(source, error))
    except (yaml.YAMLError, UnicodeDecodeError) as error:
        return Err([f"{source}: no YAML: {error}"])
    faults = [f"{source}: {fault}" for fault in _find_faults(part)]
    if faults:
        return Err(faults)
    return Ok(_build_bundle(part, version, digest_content(content)))


def _find_faults(part: BundlePart) -> list[str]:
    return [
        *_find_unknown_names(part),
        *_find_shared_keys(part),
        *_find_layer_faults(part),
    ]


def _find_unknown_names(part: BundlePart) -> list[str]:
    faults = []
    for brand, item in part.brands.items():
        for application, pipeline in item.applications.items():
            if pipeline not in part.pipelines:
                where = f"brands.{brand}.applications.{application}"
                faults.append(f"{where}: no pipeline {pipeline!r}")
    for name, pipe in part.pipelines.items():
        if pipe.service not in part.services:
            faults.append(f"pipelines.{name}.service: no service {pipe.service!r}")
    for name, account in part.accounts.items():
        for brand in account.brands:
            if brand not in part.brands:
                faults.append(f"accounts.{name}.brands: no brand {brand!r}")
    for name, target in part.targets.items():
        if target.service not in part.services:
            faults.append(f"targets.{name}.service: no service {target.service!r}")
    return faults


def _find_shared_keys(part: BundlePart) -> list[str]:
    faults = []
    owners: dict[str, str] = {}
    for name, account in part.accounts.items():
        for digest in account.key_digests:
            other = owners.setdefault(digest, name)
            if other != name:
                faults.append(f"accounts.{name}.key_digests: {other} has that key too")
    return faults


def _find_layer_faults(part: BundlePart) -> list[str]:
    faults = []
    for name, service in part.services.items():
        model = service.kind is catalogue.ServiceKind.MODEL
        if model != (service.layers > 0):
            faults.append(
                f"services.{name}.layers: {service.layers} for a {service.kind.value} "
                "service; a model has one or more, a plain service 0"
            )
        ranges = [
            (key, target.layers)
            for key, target in part.targets.items()
            if target.service == name
        ]
        for key, layers in ranges:
            if (layers is not None) != model:
                faults.append(f"targets.{key}.layers: needed for models alone")
            elif layers and not 0 <= layers[0] < layers[1] <= service.layers:
                faults.append(
                    f"targets.{key}.layers: {list(layers)} is not within "
                    f"[0, {service.layers}]"
                )
        if model and not _has_chain(
            [pair for _, pair in ranges if pair], service.layers
        ):
            faults.append(
                f"services.{name}: the targets' layer ranges leave a gap in "
                f"[0, {service.layers})"
            )
    return faults


def _has_chain(ranges: list[tuple[int, int]], layers: int) -> bool:
    reached = {0}
    for first, end in sorted(ranges):
        if first in reached:
            reached.add(end)
    return layers in reached


def _build_bundle(
    part: BundlePart, version: BundleVersion, digest: Digest
) -> catalogue.Bundle:
    links: dict[tuple[DataCentre, DataCentre], float] = {}
    for link in part.links:
        one, other = (DataCentre(name) for name in link.between)
        links[one, other] = links[other, one] = link.seconds
    return catalogue.Bundle(
        version=version,
        digest=digest,
        applications={
            (BrandName(brand), ApplicationName(application)): PipelineName(pipeline)
            for brand, item in part.brands.items()
            for application, pipeline in item.applications.items()
        },
        pipelines={
            PipelineName(name): catalogue.Pipeline(
                PipelineName(name), ServiceName(item.service), item.max_tokens
            )
            for name, item in part.pipelines.items()
        },
        services={
            ServiceName(name): catalogue.Service(name=ServiceName(name), **vars(item))
            for name, item in part.services.items()
        },
        accounts={
            AccountId(name): _build_account(name, item)
            for name, item in part.accounts.items()
        },
        targets={
            TargetId(name): _build_target(name, item)
            for name, item in part.targets.items()
        },
        link_seconds=links,
    )


def _build_account(name: str, item: AccountPart) -> catalogue.Account:
    return catalogue.Account(
        id=AccountId(name),
        brands=tuple(BrandName(brand) for brand in item.brands),
        key_digests=tuple(Digest(digest) for digest in item.key_digests),
        priority=catalogue.Priority[item.priority.upper()],
        weight=item.weight,
        rate=item.rate,
        burst=item.burst,
    )


def _build_target(name: str, item: TargetPart) -> catalogue.Target:
    fields: dict[str, Any] = vars(item) | {
        "layers": catalogue.LayerRange(*item.layers) if item.layers else None
    }
    return catalogue.Target(id=TargetId(name), **fields)
