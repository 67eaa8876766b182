"""Decodes the platform's settings file into the settings of a gateway host."""

from pathlib import Path
from typing import Any

import orjson
from result import Err, Ok, Result

from marigoldswitch.core.relays import measure_strength
from marigoldswitch.gateway.ports import Addresses, HostSettings, Identity

SETTINGS_FILE_VARIABLE = "MARIGOLDSWITCH_CONFIG"
"""Environment variable with the path of the settings file."""
BYTES_PER_MEGABIT = 125_000
BYTES_PER_MEBIBYTE = 1024 * 1024
MILLISECONDS_PER_SECOND = 1000.0


def read_settings(path: Path) -> Result[tuple[HostSettings, str], str]:
    """Return the settings of a host and the store's ``IP:port``, or what is wrong.

    Unknown fields are ignored, as the platform may add some.
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
    try:
        settings = _build_settings(fields)
    except (ValueError, TypeError, AttributeError, ArithmeticError) as error:
        return Err(f"{path}: {type(error).__name__}: {error}")
    return Ok((settings, str(fields["platform"]["address"])))


def list_faults(fields: Any) -> list[str]:
    """Return the errors in the required fields."""
    if not isinstance(fields, dict):
        return ["it must hold a JSON object"]
    faults = [
        f"{name}: must be a non-empty string, is {fields.get(name)!r}"
        for name in ("node_name", "ip", "zone", "region")
        if not isinstance(fields.get(name), str) or not fields.get(name)
    ]
    faults += _list_address_faults(fields, "listen", ("frontend", "ready"))
    faults += _list_address_faults(fields, "platform", ("address",))
    ports = fields.get("port_range")
    if (
        not isinstance(ports, list)
        or not ports
        or not all(type(item) is int for item in ports)
    ):
        faults.append(f"port_range: must be two ports, is {ports!r}")
    return faults


def _list_address_faults(
    fields: dict[str, Any], table: str, names: tuple[str, ...]
) -> list[str]:
    values = fields.get(table)
    if not isinstance(values, dict):
        return [f"{table}: must be an object, is {values!r}"]
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


def _build_settings(fields: dict[str, Any]) -> HostSettings:
    """Build the settings from fields whose required ones are valid.

    :raises ValueError: if an optional field is invalid; also ``TypeError``,
        ``AttributeError`` and ``ArithmeticError``.
    """
    listen = fields["listen"]
    peer_address = (
        listen.get("control_plane") or f"{fields['ip']}:{fields['port_range'][0]}"
    )
    if not _is_address(peer_address):
        raise ValueError(f"listen.control_plane is {peer_address!r}")
    bounds = fields.get("bounds") or {}
    budget_window = float(bounds.get("budget_window_s") or 10.0)
    link_bytes = _read_link_bytes(fields)
    strength = measure_strength(link_bytes) if link_bytes else 0
    defaults = HostSettings(
        Identity(
            peer_address,
            fields["node_name"],
            fields["zone"],
            fields["region"],
            strength,
        ),
        Addresses(
            str(listen["frontend"]),
            str(listen["ready"]),
            peer_address,
            f"{fields['ip']}:{fields['port_range'][-1]}",
            _choose_proxy_address(fields),
        ),
    )
    retry_allowance = bounds.get("retry_allowance")
    return HostSettings(
        defaults.identity,
        defaults.addresses,
        tuple(str(item) for item in fields.get("seeds") or () if item != peer_address),
        float(bounds.get("grace_s") or defaults.stop_seconds),
        defaults.retry_allowance
        if retry_allowance is None
        else float(retry_allowance) / budget_window,
        float(bounds.get("retry_budget_ratio", defaults.retry_share)),
        link_bytes or defaults.link_bytes,
        _read_seconds(bounds, "contact_ms") or defaults.touch_seconds,
        _read_seconds(bounds, "drain_ms") or defaults.leaving_seconds,
        fields.get("bootstrap") is True,
        _read_seconds(bounds, "config_apply_ms") or defaults.configuration_seconds,
        float(fields["platform"].get("reads_per_s") or defaults.store_reads),
        _read_limit(fields, "memory_mb", BYTES_PER_MEBIBYTE) or defaults.memory_bytes,
        int(_read_limit(fields, "max_fds") or defaults.descriptors),
    )


def _choose_proxy_address(fields: dict[str, Any]) -> str:
    """Return the address for requests of other hosts, empty if no port is left."""
    first, last = fields["port_range"][0], fields["port_range"][-1]
    return f"{fields['ip']}:{first + 1}" if first + 1 < last else ""


def _read_seconds(bounds: dict[str, Any], name: str) -> float | None:
    """Return a bound that is given in milliseconds, in seconds.

    :return: ``None`` if it is missing or not a positive number.
    """
    value = bounds.get(name)
    if not isinstance(value, int | float) or value <= 0:
        return None
    return value / MILLISECONDS_PER_SECOND


def _read_link_bytes(fields: dict[str, Any]) -> float | None:
    """Return the rate of the host's link in bytes a second, given in Mbit/s.

    :return: ``None`` if it is missing or not a positive number.
    """
    return _read_limit(fields, "link_mbps", BYTES_PER_MEGABIT)


def _read_limit(fields: dict[str, Any], name: str, unit: int = 1) -> float | None:
    """Return a limit of the host's machine, in bytes or as a number.

    :param unit: of the value in the settings.
    :return: ``None`` if it is missing or not a positive number.
    """
    limits = fields.get("limits")
    value = limits.get(name) if isinstance(limits, dict) else None
    if not isinstance(value, int | float) or value <= 0:
        return None
    return float(value * unit)
