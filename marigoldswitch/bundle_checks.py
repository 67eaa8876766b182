"""Whole-bundle checks: what no part shows alone.

Parts that break the schema are left out, so that their faults and those of the rest
are named at once; a name that is defined counts as known even where its part is wrong.
"""

from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass

from marigoldswitch.bundle_parts import BundlePart, ServicePart, TargetPart
from marigoldswitch.core.catalogue import LayerRange, ServiceKind
from marigoldswitch.core.chains import count_chains, find_gap


@dataclass(frozen=True, slots=True)
class KnownNames:
    """The names that a bundle defines, in right parts and wrong ones."""

    brands: frozenset[str]
    pipelines: frozenset[str]
    services: frozenset[str]
    wrong_targets: bool
    """Some target breaks the schema: what the others cover proves no gap."""


def find_bundle_faults(part: BundlePart, known: KnownNames) -> list[str]:
    """Return each fault as ``path: reason``."""
    by_service: dict[str, dict[str, TargetPart]] = defaultdict(dict)
    for name, target in part.targets.items():
        by_service[target.service][name] = target
    faults = [
        *_find_unknown_names(part, known),
        *_find_shared(part),
        *_find_link_faults(part),
        *_find_region_faults(part),
    ]
    for name, service in part.services.items():
        faults += _find_layer_faults(name, service, by_service[name])
        if not known.wrong_targets:
            faults += _find_capacity_faults(name, service, by_service[name])
    if not known.wrong_targets:
        faults += _find_quota_faults(part, by_service)
    return faults


def _find_unknown_names(part: BundlePart, known: KnownNames) -> Iterator[str]:
    for brand, item in part.brands.items():
        for application, pipeline in item.applications.items():
            if pipeline not in known.pipelines:
                path = f"brands.{brand}.applications.{application}"
                yield f"{path}: no pipeline {pipeline!r}"
    for name, pipe in part.pipelines.items():
        if pipe.service not in known.services:
            yield f"pipelines.{name}.service: no service {pipe.service!r}"
    for name, account in part.accounts.items():
        for brand in account.brands:
            if brand not in known.brands:
                yield f"accounts.{name}.brands: no brand {brand!r}"
    for name, target in part.targets.items():
        if target.service not in known.services:
            yield f"targets.{name}.service: no service {target.service!r}"


def _find_shared(part: BundlePart) -> Iterator[str]:
    owners: dict[str, str] = {}
    for name, account in part.accounts.items():
        for digest in account.key_digests:
            other = owners.setdefault(digest, name)
            if other != name:
                yield f"accounts.{name}.key_digests: {other} has that key too"
    holders: dict[str, str] = {}
    for name, target in part.targets.items():
        other = holders.setdefault(target.address, name)
        if other != name:
            yield f"targets.{name}.address: {other} has that address too"


def _find_link_faults(part: BundlePart) -> Iterator[str]:
    seen: set[frozenset[str]] = set()
    for number, link in enumerate(part.links):
        pair = frozenset(link.between)
        if len(pair) == 1:
            yield f"links.{number}.between: a data centre needs no link to itself"
        elif pair in seen:
            yield f"links.{number}.between: this pair comes twice"
        seen.add(pair)


def _find_region_faults(part: BundlePart) -> Iterator[str]:
    homes: dict[str, str] = {}
    for region, data_centres in part.regions.items():
        for data_centre in data_centres:
            other = homes.setdefault(data_centre, region)
            if other != region:
                yield f"regions.{region}: {data_centre} is in {other} too"
    if not homes:
        return
    for name, target in part.targets.items():
        if target.data_centre not in homes:
            yield f"targets.{name}.data_centre: {target.data_centre} is in no region"


def _find_layer_faults(
    name: str, service: ServicePart, targets: dict[str, TargetPart]
) -> Iterator[str]:
    model = service.kind is ServiceKind.MODEL
    if model != (service.layers > 0):
        yield (
            f"services.{name}.layers: {service.layers} for a {service.kind.value} "
            "service; a model has one or more, a plain service 0"
        )
    for key, target in targets.items():
        layers = target.layers
        if (layers is not None) != model:
            yield f"targets.{key}.layers: needed for models alone"
        elif layers and not layers[0] < layers[1] <= service.layers:
            yield (
                f"targets.{key}.layers: {list(layers)} is not within "
                f"[0, {service.layers}]"
            )


def _list_ranges(targets: dict[str, TargetPart], layers: int) -> list[LayerRange]:
    found = [item.layers for item in targets.values() if item.layers]
    return [LayerRange(*pair) for pair in found if pair[0] < pair[1] <= layers]


def _find_capacity_faults(
    name: str, service: ServicePart, targets: dict[str, TargetPart]
) -> Iterator[str]:
    if service.kind is ServiceKind.PLAIN:
        whole, unit = len(targets), "target"
    else:
        ranges = _list_ranges(targets, service.layers)
        gap = find_gap(ranges, service.layers)
        if gap is not None:
            yield (
                f"services.{name}: the targets' layer ranges leave a gap in "
                f"[0, {service.layers}), from layer {gap} on"
            )
            return
        whole, unit = count_chains(ranges, service.layers), "whole chain"
    needed = max(1, service.floor)
    if whole < needed:
        yield (
            f"services.{name}.floor: the targets make {whole} {unit}(s), "
            f"{needed} needed"
        )


def estimate_rate(service: ServicePart, targets: dict[str, TargetPart]) -> float:
    """Return the most requests a second that a service's targets can finish.

    For a model it is bound by the layer that the fewest slots hold.
    """

    def count_slots(layer: int | None) -> float:
        return sum(
            item.slots * item.speed
            for item in targets.values()
            if layer is None
            or (item.layers is not None and item.layers[0] <= layer < item.layers[1])
        )

    if service.kind is ServiceKind.PLAIN:
        return count_slots(None) / service.mean_seconds
    starts = {0} | {item.layers[0] for item in targets.values() if item.layers}
    slots = min(count_slots(layer) for layer in starts)
    return slots / service.mean_seconds


def _find_quota_faults(
    part: BundlePart, by_service: dict[str, dict[str, TargetPart]]
) -> Iterator[str]:
    rates = {
        name: estimate_rate(service, by_service[name])
        for name, service in part.services.items()
    }
    for name, account in part.accounts.items():
        if "rate" not in account.model_fields_set:
            continue
        reached = _list_services(part, account.brands)
        if not reached <= rates.keys():
            continue
        most = sum(rates[service] for service in reached)
        if account.rate > most:
            yield (
                f"accounts.{name}.rate: {account.rate:g} requests a second; all "
                f"targets of its brands' services together finish {most:.4g}"
            )


def _list_services(part: BundlePart, brands: list[str]) -> set[str]:
    pipelines = {
        pipeline
        for brand in brands
        if brand in part.brands
        for pipeline in part.brands[brand].applications.values()
    }
    return {
        part.pipelines[name].service for name in pipelines if name in part.pipelines
    }
