"""The operator's configuration and the targets' rows, decoded into product types."""

import ipaddress
from typing import Any

import orjson
from result import Err, Ok, Result

from marigoldswitch.core.catalogue import LayerRange, Target
from marigoldswitch.core.ids import AccountId, DataCentre, ServiceName, TargetId
from marigoldswitch.core.models import Accelerator, ModelSpec
from marigoldswitch.core.registry import TargetRow
from marigoldswitch.core.routes import (
    ClientLimits,
    Route,
    RoutedAccount,
    RouteKind,
    RoutingTable,
    ServiceSpec,
    WeightedService,
)
from marigoldswitch.gateway.ports import StoredConfiguration
from marigoldswitch.platform.headers import MILLISECONDS

THOUSAND = 1000.0
MEGABYTE = 1e6
BITS = 8
LEAST_PATIENCE_SECONDS = 2.0
PATIENCE_LATENCIES = 4.0
PATIENCE_GAPS = 8.0
"""Callers leave a stream after the longest of 2 s, this many latency targets and this
many of the longest gaps that their route allows."""

ROUTE_KINDS = {
    "safe": RouteKind.IDEMPOTENT,
    "unsafe": RouteKind.NON_IDEMPOTENT,
    "stream": RouteKind.STREAM,
}
LEAVING = "draining"
PHASES = frozenset({"ready", LEAVING})
ROW_FIELDS: dict[str, tuple[type, ...]] = {
    "service": (str,),
    "address": (str,),
    "zone": (str,),
    "version": (str,),
    "slots": (int,),
    "phase": (str,),
    "cold_remaining_ms": (int, float),
    # How often its owner has written the row; elsewhere a count of orders.
    "sequence": (int,),
}
"""Fields that each row of a target has, and their types."""
MOST_PORT = 65_535


def decode_configuration(content: bytes) -> Result[StoredConfiguration, str]:
    """Return the configuration that some bytes hold, or what is wrong with them."""
    try:
        document = orjson.loads(content)
        return Ok(StoredConfiguration(_read_table(document), content))
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        return Err(f"{type(error).__name__}: {error}")


def decode_target(key: str, content: bytes, revision: int) -> Result[TargetRow, str]:
    """Return the target that a row holds.

    :param key: the target's id, which stands nowhere else.
    """
    try:
        row = orjson.loads(content)
        return Ok(_read_target(key, row, revision))
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        return Err(f"{type(error).__name__}: {error}")


def _read_target(key: str, row: Any, revision: int) -> TargetRow:
    """Return the target that a row names.

    :raises ValueError: if it is not a row of a target: others may write there as well.
    """
    if not isinstance(row, dict):
        raise ValueError("not a table")
    for name, kinds in ROW_FIELDS.items():
        if type(row.get(name)) not in kinds:
            raise ValueError(f"{name} is {row.get(name)!r}")
    if row["phase"] not in PHASES:
        raise ValueError(f"phase is {row['phase']!r}")
    address = row["address"]
    _check_address(address)
    # The kind of accelerator; for routes the same name says what may be repeated.
    accelerator = row.get("route_type", "")
    if type(accelerator) is not str:
        raise ValueError(f"route_type is {accelerator!r}")
    target = Target(
        TargetId(key),
        ServiceName(row["service"]),
        DataCentre(row["zone"]),
        address,
        row["slots"],
        read_layers(row.get("layers")),
        accelerator,
    )
    return TargetRow(target, row["phase"] == LEAVING, revision, read_born(row))


def _check_address(address: str) -> None:
    host, _, port = address.rpartition(":")
    ipaddress.IPv4Address(host)
    if not (port.isascii() and port.isdecimal()) or not 0 < int(port) <= MOST_PORT:
        raise ValueError(f"address is {address!r}")


def read_born(fields: dict[str, Any]) -> int:
    """Return when a target started, in ms since 1970; 0 where it does not say.

    :raises ValueError: if it is no whole number.
    """
    born = fields.get("born", 0)
    if type(born) is not int or born < 0:
        raise ValueError(f"born is {born!r}")
    return born


def read_layers(layers: Any) -> LayerRange | None:
    """Return a range of layers; ``target`` is the layer after the last."""
    if layers is None:
        return None
    first, end = layers["from"], layers["target"]
    if type(first) is not int or type(end) is not int or not 0 <= first <= end:
        raise ValueError(f"layers are {layers!r}")
    return LayerRange(first, end) if end > first else None


def _read_table(document: dict[str, Any]) -> RoutingTable:
    return RoutingTable(
        int(document["version"]),
        tuple(_read_route(item) for item in document["routes"]),
        {
            ServiceName(item["name"]): _read_service(item)
            for item in document["services"]
        },
        _read_accounts(document.get("tenants") or []),
        _read_limits(document.get("limits") or {}),
    )


def _read_route(item: dict[str, Any]) -> Route:
    longest_gap = float(item.get("target_gap_ms") or 0.0) / MILLISECONDS
    latency_target = float(item.get("target_latency_ms") or 500.0) / MILLISECONDS
    return Route(
        str(item.get("name", "")),
        str(item["host"]),
        str(item["prefix"]),
        ROUTE_KINDS[item["route_type"]],
        float(item["timeout_ms"]) / MILLISECONDS,
        int(item.get("priority", 0)),
        _read_services(item),
        max(1, int(item.get("max_attempts", 1))),
        bool(item.get("public", False)),
        bool(item.get("resumable", False)),
        longest_gap,
        latency_target,
        _find_patience(latency_target, longest_gap),
    )


def _find_patience(latency_target: float, longest_gap: float) -> float:
    """Return the silence after which callers leave a stream, in seconds."""
    return max(
        LEAST_PATIENCE_SECONDS,
        PATIENCE_LATENCIES * latency_target,
        PATIENCE_GAPS * longest_gap,
    )


def _read_services(item: dict[str, Any]) -> tuple[WeightedService, ...]:
    """Return who answers a route: one service, or several that share it by weight."""
    shared = item.get("backends")
    if not shared:
        return (WeightedService(ServiceName(item["service"]), 1.0),)
    return tuple(
        WeightedService(ServiceName(part["service"]), float(part["weight"]))
        for part in shared
        if float(part["weight"]) > 0.0
    )


def _read_service(item: dict[str, Any]) -> ServiceSpec:
    engine: dict[str, Any] = item.get("engine") or {}
    layered = engine.get("layers") is not None
    return ServiceSpec(
        ServiceName(item["name"]),
        int(item.get("max_conns", 0)),
        _read_model(engine) if layered else None,
    )


def _read_model(engine: dict[str, Any]) -> ModelSpec:
    layers = int(engine["layers"])
    models = engine.get("models") or [{}]
    return ModelSpec(
        layers,
        float(engine["layer_mb"]),
        float(engine["kv_bytes"]) / layers / MEGABYTE,
        float(engine["step_ms"]) / MILLISECONDS,
        float(engine.get("per_seq_ms", 0.0)) / MILLISECONDS,
        # Milliseconds for a thousand tokens of context.
        float(engine.get("context_per_k", 0.0)) / MILLISECONDS / THOUSAND,
        1.0 / float(engine["read_per_s"]),
        float(models[0].get("load_s", 0.0)),
        int(engine.get("loads_at_once") or 1),
        _read_crossing(engine),
        {item["name"]: _read_accelerator(item) for item in engine["kinds"]},
    )


def _read_crossing(engine: dict[str, Any]) -> float:
    """Return the seconds that a token's activations take of the pipe between zones."""
    pipe = float(engine.get("pipe_mbps") or 0.0)
    if pipe <= 0.0:
        return 0.0
    return float(engine.get("activation_bytes", 0.0)) * BITS / MEGABYTE / pipe


def _read_accelerator(item: dict[str, Any]) -> Accelerator:
    return Accelerator(
        str(item["name"]),
        float(item["size_mb"]),
        float(item["pace"]),
        float(item["read_factor"]),
    )


def _read_accounts(tenants: list[dict[str, Any]]) -> dict[str, RoutedAccount]:
    accounts = {}
    for item in tenants:
        priority = item.get("priority")
        account = RoutedAccount(
            AccountId(item["name"]), None if priority is None else int(priority)
        )
        for key in item.get("api_keys") or []:
            accounts[str(key)] = account
    return accounts


def _read_limits(item: dict[str, Any]) -> ClientLimits:
    usual = ClientLimits()
    return ClientLimits(
        int(item.get("max_header_bytes", usual.header_bytes)),
        int(item.get("max_body_bytes", usual.body_bytes)),
        float(item.get("header_timeout_ms", usual.header_seconds * MILLISECONDS))
        / MILLISECONDS,
        float(item.get("idle_timeout_ms", usual.idle_seconds * MILLISECONDS))
        / MILLISECONDS,
    )
