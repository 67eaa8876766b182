"""Client of the engines' orders: HTTP by aiohttp."""

import asyncio
from collections.abc import Sequence
from enum import Enum
from typing import Any, Protocol

import aiohttp
import orjson

from marigoldswitch.core.catalogue import LayerRange, Target, TargetRole
from marigoldswitch.core.ids import FencingNumber, TargetId
from marigoldswitch.core.placement import EngineReport, Placement

ORDER_SECONDS = 2.0
"""Longest time that an order is on its way; below the lease's margin."""
READ_SECONDS = 2.0
READS_AT_ONCE = 32


class OrderEnd(Enum):
    """How an order ended."""

    TAKEN = "taken"
    OLD_NUMBER = "old_number"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    """The answer was lost; the next look at the engine tells."""


class EngineOrders(Protocol):
    """What an orderer needs of the engines."""

    async def read_all(self, targets: Sequence[Target]) -> dict[TargetId, EngineReport]:
        """Return what each engine that answers says of itself."""
        ...

    async def send(
        self, target: Target, placement: Placement, fencing: FencingNumber
    ) -> OrderEnd:
        """Order an engine to hold something."""
        ...


def format_placement(placement: Placement) -> dict[str, Any]:
    """Return a placement as the engines' interface wants it."""
    return {
        "model": placement.model,
        "version": placement.version,
        "role": placement.role.value,
        "layers": [placement.layers.first, placement.layers.end],
        "adapters": list(placement.adapters),
    }


def parse_placement(fields: Any) -> Placement | None:
    """Return the placement that an engine names, or ``None`` where it names none."""
    match fields:
        case {
            "model": str(model),
            "version": str(version),
            "role": str(role),
            "layers": [int(first), int(end)],
            "adapters": list(adapters),
        } if role in {item.value for item in TargetRole}:
            layers = LayerRange(first, end)
            names = tuple(map(str, adapters))
            return Placement(model, version, TargetRole(role), layers, names)
    return None


class EngineOrdersClient:
    """Reads engines and orders them over HTTP."""

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self._session = session
        self._gate = asyncio.Semaphore(READS_AT_ONCE)

    async def read_all(self, targets: Sequence[Target]) -> dict[TargetId, EngineReport]:
        """Return what each engine that answers says of itself."""
        reports = await asyncio.gather(*(self._read(item) for item in targets))
        pairs = zip(targets, reports, strict=True)
        return {target.id: report for target, report in pairs if report is not None}

    async def send(
        self, target: Target, placement: Placement, fencing: FencingNumber
    ) -> OrderEnd:
        """Order an engine to hold something."""
        body = {"fencing": fencing, "desired": format_placement(placement)}
        try:
            async with self._session.post(
                target.address + "/v1/orders",
                data=orjson.dumps(body),
                timeout=aiohttp.ClientTimeout(total=ORDER_SECONDS),
            ) as response:
                await response.read()
        except (TimeoutError, aiohttp.ClientError):
            return OrderEnd.UNKNOWN
        match response.status:
            case 200:
                return OrderEnd.TAKEN
            case 409:
                return OrderEnd.OLD_NUMBER
        return OrderEnd.REFUSED

    async def _read(self, target: Target) -> EngineReport | None:
        timeout = aiohttp.ClientTimeout(total=READ_SECONDS)
        try:
            async with (
                self._gate,
                self._session.get(
                    target.address + "/v1/state", timeout=timeout
                ) as response,
            ):
                state = orjson.loads(await response.read())
        except (TimeoutError, aiohttp.ClientError, orjson.JSONDecodeError):
            return None
        return parse_report(state)


def parse_report(state: Any) -> EngineReport | None:
    """Return what an engine says of itself, or ``None`` where it makes no sense.

    An engine that doesn't say what it holds is left alone.
    """
    match state:
        case {
            "loaded": loaded,
            "load": {"running": int(running), "waiting": int(waiting)},
        }:
            return EngineReport(
                parse_placement(state.get("desired")),
                parse_placement(loaded),
                running + waiting,
            )
    return None
