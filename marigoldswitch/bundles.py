"""Reading bundles: YAML, checked whole, into the data of the decisions."""

from dataclasses import dataclass
from typing import Any, cast

import orjson
from pydantic import TypeAdapter, ValidationError
from result import Err, Ok, Result

from marigoldswitch.bundle_checks import KnownNames, find_bundle_faults
from marigoldswitch.bundle_parts import AccountPart, BundlePart, TargetPart
from marigoldswitch.core import catalogue
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
from marigoldswitch.documents import MOST_BYTES, read_document
from marigoldswitch.packing import digest_content, format_canonical
from marigoldswitch.settings import describe_faults

CANONICAL_SOURCE = "bundle"
NO_VERSION = BundleVersion(0)
MOST_FAULTS = 200
"""Faults named at once; a document with more is no bundle."""
_SECTIONS: dict[str, TypeAdapter[Any]] = {
    name: TypeAdapter(cast(Any, field.annotation))
    for name, field in BundlePart.model_fields.items()
}


@dataclass(frozen=True, slots=True)
class CheckedBundle:
    """A bundle that a file holds.

    :param content: the canonical form that is signed and kept.
    """

    bundle: catalogue.Bundle
    content: bytes


def parse_bundle(
    content: bytes, version: BundleVersion, source: str = "bundle"
) -> Result[catalogue.Bundle, list[str]]:
    """Check a bundle in YAML as a whole.

    :returns: the bundle, or one line for each fault, ``file: path: reason``.
    """
    return read_bundle(content, source, version).map(lambda item: item.bundle)


def read_bundle(
    content: bytes, source: str, version: BundleVersion = NO_VERSION
) -> Result[CheckedBundle, list[str]]:
    """Check a bundle in YAML as a whole and return it with its canonical form."""
    document = read_document(content, source)
    if isinstance(document, Err):
        return Err(document.err_value)
    checked = check_document(document.ok_value, source)
    if isinstance(checked, Err):
        return Err(checked.err_value)
    canonical = format_canonical(document.ok_value)
    bundle = build_bundle(checked.ok_value, version, digest_content(canonical))
    return Ok(CheckedBundle(bundle, canonical))


def parse_canonical(
    content: bytes, version: BundleVersion
) -> Result[catalogue.Bundle, list[str]]:
    """Check a bundle in its canonical form as a whole."""
    document = load_canonical(content)
    if isinstance(document, Err):
        return Err(document.err_value)
    checked = check_document(document.ok_value, CANONICAL_SOURCE)
    return checked.map(
        lambda part: build_bundle(part, version, digest_content(content))
    )


def load_canonical(content: bytes) -> Result[Any, list[str]]:
    """Return the document whose canonical form some bytes are."""
    try:
        document = orjson.loads(content)
        if len(content) <= MOST_BYTES and format_canonical(document) == content:
            return Ok(document)
    except (orjson.JSONDecodeError, TypeError):
        pass
    return Err([f"{CANONICAL_SOURCE}: it is not in canonical form"])


def check_document(document: Any, source: str) -> Result[BundlePart, list[str]]:
    """Check what a document holds, or return one line for each of its faults."""
    if not isinstance(document, dict):
        return Err([f"{source}: a bundle is a mapping, not {type(document).__name__}"])
    try:
        part = BundlePart.model_validate(document)
        faults: list[str] = []
    except ValidationError as error:
        faults = describe_faults(source, error)
        part = _keep_right_parts(document)
    across = find_bundle_faults(part, _list_names(document, part))
    faults += [f"{source}: {fault}" for fault in across]
    if len(faults) > MOST_FAULTS:
        rest = len(faults) - MOST_FAULTS
        faults = [*faults[:MOST_FAULTS], f"{source}: and {rest} more"]
    return Err(faults) if faults else Ok(part)


def _keep_right_parts(document: dict[Any, Any]) -> BundlePart:
    """Return a bundle of the parts that meet the schema each by itself."""
    kept: dict[str, Any] = {}
    for section, adapter in _SECTIONS.items():
        value = document.get(section)
        if section == "links":
            kept[section] = _keep_entries(adapter, value)
        else:
            kept[section] = _keep_named(adapter, value)
    return BundlePart.model_construct(**kept)


def _keep_entries(adapter: TypeAdapter[Any], value: Any) -> list[Any]:
    entries = value if isinstance(value, list) else []
    tried = [_try(adapter, [entry]) for entry in entries]
    return [item[0] for item in tried if item]


def _keep_named(adapter: TypeAdapter[Any], value: Any) -> dict[str, Any]:
    named = value if isinstance(value, dict) else {}
    kept: dict[str, Any] = {}
    for name, entry in named.items():
        kept |= _try(adapter, {name: entry}) or {}
    return kept


def _try(adapter: TypeAdapter[Any], value: Any) -> Any:
    try:
        return adapter.validate_python(value)
    except ValidationError:
        return None


def _list_names(document: dict[Any, Any], part: BundlePart) -> KnownNames:
    def list_section(section: str) -> frozenset[str]:
        value = document.get(section)
        return frozenset(map(str, value)) if isinstance(value, dict) else frozenset()

    return KnownNames(
        brands=list_section("brands"),
        pipelines=list_section("pipelines"),
        services=list_section("services"),
        wrong_targets=len(list_section("targets")) != len(part.targets),
    )


def build_bundle(
    part: BundlePart, version: BundleVersion, digest: Digest
) -> catalogue.Bundle:
    """Return the data of the decisions from a bundle that was checked."""
    accounts = {
        AccountId(name): _build_account(name, item)
        for name, item in part.accounts.items()
    }
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
        accounts=accounts,
        targets={
            TargetId(name): _build_target(name, item)
            for name, item in part.targets.items()
        },
        link_seconds=links,
        accounts_by_key={
            digest: account
            for account in accounts.values()
            for digest in account.key_digests
        },
        regions={
            DataCentre(data_centre): Region(region)
            for region, data_centres in part.regions.items()
            for data_centre in data_centres
        },
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
