"""The platform's settings file, decoded into what a gateway host is told."""

from pathlib import Path
from typing import Any

import orjson
from result import Err, Ok, Result

from marigoldswitch.core.relays import measure_strength
from marigoldswitch.gateway.ports import Addresses, HostSettings, Identity

FILE_VARIABLE = "MARIGOLDSWITCH_CONFIG"
"""Environment variable with the path of the settings file."""
BYTES_PER_MEGABIT = 125_000
MILLISECONDS = 1000.0


def read_settings(path: Path) -> Result[tuple[HostSettings, str], str]:
    """Return the settings of a host and the address of the store.

    Fields that are not known are left alone: the platform adds some at times.
    """
    try:
        fields = orjson.loads(path.read_bytes())
    except OSError as error:
        return Err(f"{path}: {error.strerror}")
    except ValueError as error:
        return Err(f"{path}: no JSON: {error}")
    faults = list_faults(fields)
    if faults:
        return Err("\n".join(f"{path}: {fault}" for fault in faults))
    return Ok((_read_host(fields), str(fields["platform"]["address"])))


def list_faults(fields: Any) -> list[str]:
    """Return what is wrong with the fields that are needed."""
    if not isinstance(fields, dict):
        return ["it holds no table of settings"]
    faults = [
        f"{name}: must be a text, is {fields.get(name)!r}"
        for name in ("node_name", "ip", "zone", "region")
        if not isinstance(fields.get(name), str) or not fields.get(name)
    ]
    faults += _list_address_faults(fields, "listen", ("frontend", "ready"))
    faults += _list_address_faults(fields, "platform", ("address",))
    ports = fields.get("port_range")
    if not isinstance(ports, list) or not all(isinstance(item, int) for item in ports):
        faults.append(f"port_range: must be two ports, is {ports!r}")
    return faults


def _list_address_faults(
    fields: dict[str, Any], table: str, names: tuple[str, ...]
) -> list[str]:
    values = fields.get(table)
    if not isinstance(values, dict):
        return [f"{table}: must be a table, is {values!r}"]
    return [
        f"{table}.{name}: must be IP:port, is {values.get(name)!r}"
        for name in names
        if not _is_address(values.get(name))
    ]


def _is_address(value: Any) -> bool:
    if not isinstance(value, str):
        return False
    host, _, port = value.rpartition(":")
    return bool(host) and port.isdigit() and 0 < int(port) < 65536


def _read_host(fields: dict[str, Any]) -> HostSettings:
    listen = fields["listen"]
    peers = listen.get("control_plane") or f"{fields['ip']}:{fields['port_range'][0]}"
    bounds = fields.get("bounds") or {}
    window = float(bounds.get("budget_window_s") or 10.0)
    link = _read_link(fields)
    strength = measure_strength(link) if link else 0
    usual = HostSettings(
        Identity(
            peers, fields["node_name"], fields["zone"], fields["region"], strength
        ),
        Addresses(
            str(listen["frontend"]),
            str(listen["ready"]),
            peers,
            f"{fields['ip']}:{fields['port_range'][-1]}",
        ),
    )
    allowance = bounds.get("retry_allowance")
    return HostSettings(
        usual.identity,
        usual.addresses,
        tuple(str(item) for item in fields.get("seeds") or () if item != peers),
        float(bounds.get("grace_s") or usual.stop_seconds),
        usual.retry_allowance if allowance is None else float(allowance) / window,
        float(bounds.get("retry_budget_ratio", usual.retry_share)),
        link or usual.link_bytes,
        _read_seconds(bounds, "contact_ms") or usual.touch_seconds,
        _read_seconds(bounds, "drain_ms") or usual.leaving_seconds,
    )


def _read_seconds(bounds: dict[str, Any], name: str) -> float | None:
    """Return a bound in seconds, where it is given in milliseconds."""
    value = bounds.get(name)
    if not isinstance(value, int | float) or value <= 0:
        return None
    return value / MILLISECONDS


def _read_link(fields: dict[str, Any]) -> float | None:
    """Return the bytes a second of the host's link, where it is named in Mbit/s."""
    limits = fields.get("limits")
    rate = limits.get("link_mbps") if isinstance(limits, dict) else None
    if not isinstance(rate, int | float) or rate <= 0:
        return None
    return rate * BYTES_PER_MEGABIT
