"""Decodes the operator's configuration and the targets' rows into product types."""

import ipaddress
import math
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
from marigoldswitch.platform.headers import MILLISECONDS_PER_SECOND

TOKENS_PER_K = 1000.0
MEGA = 1e6
PREFILL_CHUNK = 512
"""Most tokens of a prompt between two decode steps, where engines don't say."""
"""Bytes in a megabyte, bits in a megabit."""
BITS_PER_BYTE = 8
MIN_CALLER_PATIENCE_SECONDS = 2.0
PATIENCE_PER_LATENCY_TARGET = 4.0
PATIENCE_PER_LONGEST_GAP = 8.0
"""Callers abandon a stream whose silence exceeds the largest of three times: the
minimum, this multiple of the route's latency target, and this multiple of the longest
gap that the route allows."""

ROUTE_KINDS = {
    "safe": RouteKind.IDEMPOTENT,
    "unsafe": RouteKind.NON_IDEMPOTENT,
    "stream": RouteKind.STREAM,
}
DRAINING_PHASE = "draining"
PHASES = frozenset({"ready", DRAINING_PHASE})
REQUIRED_ROW_FIELDS: dict[str, tuple[type, ...]] = {
    "service": (str,),
    "address": (str,),
    "zone": (str,),
    "version": (str,),
    "slots": (int,),
    "phase": (str,),
    "cold_remaining_ms": (int, float),
    # Times that the target has written its row; in reports the same key counts orders.
    "sequence": (int,),
}
"""Fields that a target's row must have, with the types that each may have."""
MAX_PORT = 65_535
INVALID_CONTENT = (ValueError, KeyError, TypeError, AttributeError, ArithmeticError)
"""Errors that content of another form raises while it is decoded."""


def decode_configuration(content: bytes) -> Result[StoredConfiguration, str]:
    """Decode a configuration, or return what is wrong with it."""
    try:
        document = orjson.loads(content)
        return Ok(StoredConfiguration(_read_routing_table(document), content))
    except INVALID_CONTENT as error:
        return Err(f"{type(error).__name__}: {error}")


def decode_target(key: str, content: bytes, revision: int) -> Result[TargetRow, str]:
    """Decode a target's row, or return what is wrong with it.

    :param key: the row's key, which is the target's id; the value does not repeat it.
    :param revision: the row's revision.
    """
    try:
        row = orjson.loads(content)
        return Ok(_read_target(key, row, revision))
    except INVALID_CONTENT as error:
        return Err(f"{type(error).__name__}: {error}")


def _read_target(key: str, row: Any, revision: int) -> TargetRow:
    """Check a row's fields and return its target.

    :raises ValueError: if the row is invalid, as other programs may write rows too.
    """
    if not isinstance(row, dict):
        raise ValueError("not a JSON object")
    for name, types in REQUIRED_ROW_FIELDS.items():
        if type(row.get(name)) not in types:
            raise ValueError(f"{name} is {row.get(name)!r}")
    if row["phase"] not in PHASES:
        raise ValueError(f"phase is {row['phase']!r}")
    address = row["address"]
    _check_address(address)
    # The accelerator's kind here; in a route the same key says what may be repeated.
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
    cold_seconds = max(0.0, row["cold_remaining_ms"]) / MILLISECONDS_PER_SECOND
    return TargetRow(
        target,
        row["phase"] == DRAINING_PHASE,
        revision,
        read_start_time(row),
        # JSON has no infinite numbers, but some writers send them.
        cold_seconds if math.isfinite(cold_seconds) else 0.0,
    )


def _check_address(address: str) -> None:
    """Check that an address is ``IPv4:port``.

    :raises ValueError: if it is not.
    """
    host, _, port = address.rpartition(":")
    ipaddress.IPv4Address(host)
    if not (port.isascii() and port.isdecimal()) or not 0 < int(port) <= MAX_PORT:
        raise ValueError(f"address is {address!r}")


def read_start_time(fields: dict[str, Any]) -> int:
    """Return when a target started, in Unix milliseconds; 0 if it is not stated.

    :raises ValueError: if it is not a whole number of at least 0.
    """
    started_ms = fields.get("born", 0)
    if type(started_ms) is not int or started_ms < 0:
        raise ValueError(f"born is {started_ms!r}")
    return started_ms


def read_layers(layers: Any) -> LayerRange | None:
    """Decode a layer range; its key ``target`` is the layer after the last.

    :return: ``None`` for a missing or empty range.
    """
    if layers is None:
        return None
    first, end = layers["from"], layers["target"]
    if type(first) is not int or type(end) is not int or not 0 <= first <= end:
        raise ValueError(f"layers are {layers!r}")
    return LayerRange(first, end) if end > first else None


def _read_routing_table(document: dict[str, Any]) -> RoutingTable:
    accounts, without_keys = _read_accounts(document.get("tenants"))
    return RoutingTable(
        _read_version(document),
        tuple(_read_route(item) for item in document["routes"]),
        {
            ServiceName(item["name"]): _read_service(item)
            for item in document["services"]
        },
        accounts,
        _read_limits(document.get("limits")),
        needs_keys="tenants" in document,
        accounts_without_keys=without_keys,
    )


def _read_version(document: dict[str, Any]) -> int:
    """Return the version of a configuration.

    :raises ValueError: if it is no whole number above 0, which stands for none.
    """
    version = document["version"]
    if type(version) is not int or version < 1:
        raise ValueError(f"version is {version!r}")
    return version


def _read_route(item: dict[str, Any]) -> Route:
    longest_gap = float(item.get("target_gap_ms") or 0.0) / MILLISECONDS_PER_SECOND
    latency_target = (
        float(item.get("target_latency_ms") or 500.0) / MILLISECONDS_PER_SECOND
    )
    return Route(
        str(item.get("name", "")),
        _read_host(item),
        _read_prefix(item),
        ROUTE_KINDS[item["route_type"]],
        float(item["timeout_ms"]) / MILLISECONDS_PER_SECOND,
        int(item.get("priority", 0)),
        _read_backends(item),
        max(1, int(item.get("max_attempts", 1))),
        _read_flag(item, "public"),
        _read_flag(item, "resumable"),
        longest_gap,
        latency_target,
        _derive_caller_patience(latency_target, longest_gap),
    )


def _read_host(item: dict[str, Any]) -> str:
    """Return the host name of a route.

    :raises ValueError: if it is empty, as requests without one would match.
    """
    host = item["host"]
    if type(host) is not str or not host:
        raise ValueError(f"host is {host!r}")
    return host


def _read_prefix(item: dict[str, Any]) -> str:
    """Return the path prefix of a route.

    :raises ValueError: if it doesn't begin and end with a slash; an empty one would
        match all paths.
    """
    prefix = item["prefix"]
    if type(prefix) is not str or not (prefix[:1] == prefix[-1:] == "/"):
        raise ValueError(f"prefix is {prefix!r}")
    return prefix


def _read_flag(item: dict[str, Any], name: str) -> bool:
    """Return a flag of a route; a missing one is not set.

    :raises ValueError: if it is of another type: a text such as "false" is not empty.
    """
    value = item.get(name)
    if value is not None and type(value) is not bool:
        raise ValueError(f"{name} is {value!r}")
    return bool(value)


def _derive_caller_patience(latency_target: float, longest_gap: float) -> float:
    """Return the silence after which callers abandon a stream, in seconds."""
    return max(
        MIN_CALLER_PATIENCE_SECONDS,
        PATIENCE_PER_LATENCY_TARGET * latency_target,
        PATIENCE_PER_LONGEST_GAP * longest_gap,
    )


def _read_backends(item: dict[str, Any]) -> tuple[WeightedService, ...]:
    """Return the services that share a route by weight, without those of weight 0.

    A route that names a single service gives it the whole share.
    """
    backends = item.get("backends")
    if not backends:
        return (WeightedService(ServiceName(item["service"]), 1.0),)
    shares = (
        WeightedService(
            ServiceName(backend["service"]), _read_number(backend, "weight")
        )
        for backend in backends
    )
    return tuple(item for item in shares if item.weight > 0.0)


def _read_number(item: dict[str, Any], name: str) -> float:
    """Return a number of a configuration.

    :raises ValueError: if it is not a finite number of at least 0.
    """
    value = item[name]
    if type(value) not in (int, float) or not 0.0 <= value < math.inf:
        raise ValueError(f"{name} is {value!r}")
    return float(value)


def _read_service(item: dict[str, Any]) -> ServiceSpec:
    engine: dict[str, Any] = item.get("engine") or {}
    has_layers = engine.get("layers") is not None
    return ServiceSpec(
        ServiceName(item["name"]),
        int(item.get("max_conns", 0)),
        _read_model(engine) if has_layers else None,
    )


def _read_model(engine: dict[str, Any]) -> ModelSpec:
    layers = int(engine["layers"])
    models = engine.get("models") or [{}]
    return ModelSpec(
        layers,
        float(engine["layer_mb"]),
        float(engine["kv_bytes"]) / layers / MEGA,
        float(engine["step_ms"]) / MILLISECONDS_PER_SECOND,
        float(engine.get("per_seq_ms", 0.0)) / MILLISECONDS_PER_SECOND,
        # The key is in milliseconds per 1,000 tokens of context.
        float(engine.get("context_per_k", 0.0))
        / MILLISECONDS_PER_SECOND
        / TOKENS_PER_K,
        1.0 / float(engine["read_per_s"]),
        float(models[0].get("load_s", 0.0)),
        int(engine.get("loads_at_once") or 1),
        _read_crossing_seconds(engine),
        {item["name"]: _read_accelerator(item) for item in engine["kinds"]},
        int(engine.get("chunk") or PREFILL_CHUNK),
        int(engine.get("stride") or 1),
    )


def _read_crossing_seconds(engine: dict[str, Any]) -> float:
    """Return how long a token's activations occupy the link between data centres.

    :return: seconds; 0 if the link's rate is unknown.
    """
    link_mbps = float(engine.get("pipe_mbps") or 0.0)
    if link_mbps <= 0.0:
        return 0.0
    return float(engine.get("activation_bytes", 0.0)) * BITS_PER_BYTE / MEGA / link_mbps


def _read_accelerator(item: dict[str, Any]) -> Accelerator:
    return Accelerator(
        str(item["name"]),
        float(item["size_mb"]),
        float(item["pace"]),
        float(item["read_factor"]),
    )


def _read_accounts(
    tenants: Any,
) -> tuple[dict[str, RoutedAccount], tuple[AccountId, ...]]:
    """Return the client accounts by key, and those that hold none.

    :param tenants: ``None`` if there are none.
    :raises ValueError: if a value is of the wrong type, as a key that is made of it
        could be guessed.
    """
    accounts: dict[str, RoutedAccount] = {}
    names = []
    for item in _read_list("tenants", tenants):
        name = item["name"]
        if type(name) is not str:
            raise ValueError(f"the name of a tenant is {name!r}")
        names.append(AccountId(name))
        priority = item.get("priority")
        account = RoutedAccount(
            AccountId(name), None if priority is None else int(priority)
        )
        for key in _read_list(f"api_keys of {name}", item.get("api_keys")):
            if type(key) is not str:
                # The value is not shown, as it may be a key.
                raise ValueError(f"a key of {name} is a {type(key).__name__}")
            accounts[key] = account
    with_keys = {item.id for item in accounts.values()}
    return accounts, tuple(name for name in names if name not in with_keys)


def _read_list(name: str, value: Any) -> list[Any]:
    """Return a list, an empty one for ``None``.

    :raises ValueError: if it is neither.
    """
    if value is None:
        return []
    if type(value) is not list:
        raise ValueError(f"{name} is a {type(value).__name__}, not a list")
    return value


def _read_limits(item: Any) -> ClientLimits:
    """Return the limits for callers; those that are missing have their defaults.

    :raises ValueError: if a limit is no finite number of at least 0. A negative one
        would count as none.
    """
    if item is None:
        return ClientLimits()
    if type(item) is not dict:
        raise ValueError(f"limits are {item!r}")

    def read(name: str, default: float) -> float:
        return _read_number(item, name) if name in item else default

    def read_seconds(name: str, default: float) -> float:
        return read(name, default * MILLISECONDS_PER_SECOND) / MILLISECONDS_PER_SECOND

    defaults = ClientLimits()
    return ClientLimits(
        int(read("max_header_bytes", defaults.header_bytes)),
        int(read("max_body_bytes", defaults.body_bytes)),
        read_seconds("header_timeout_ms", defaults.header_seconds),
        read_seconds("idle_timeout_ms", defaults.idle_seconds),
    )
