"""Reports of engines and orders to them, over the platform's calls."""

from collections.abc import Sequence
from typing import Any

import aiohttp
import orjson
import structlog

from marigoldswitch.core.catalogue import LayerRange
from marigoldswitch.core.ids import RequestId
from marigoldswitch.core.stages import Stage
from marigoldswitch.gateway.connections import Connections
from marigoldswitch.gateway.ports import (
    EngineAnswer,
    EngineGone,
    EngineMute,
    EngineStatus,
    OrderReply,
    OrderResult,
    StalledRequest,
)
from marigoldswitch.gateway.upstream import is_refused
from marigoldswitch.platform.configuration import read_born, read_layers
from marigoldswitch.platform.headers import write_chain

logger = structlog.get_logger(__name__)

ORDER_SECONDS = 0.4
"""Longest time for the answer to an order: live engines take milliseconds, and the
lease's margin must be longer."""
HTTP_NOT_FOUND = 404
HANDOFF = "wait"
"""Layers that are given up finish what passes through them."""
LEAST_PACE = 0.01
"""Below this a report's pace makes no sense; it must not make an engine look free."""
RESULTS = {
    200: OrderResult.DONE,
    202: OrderResult.BEGUN,
    404: OrderResult.ABSENT,
    409: OrderResult.CONFLICT,
}


class EngineClient:
    """Speaks to engines."""

    def __init__(self, connections: Connections) -> None:
        self._connections = connections

    async def read(self, address: str, timeout: float) -> EngineAnswer | None:
        """Return what an engine says of itself, or ``None`` without an answer."""
        limit = aiohttp.ClientTimeout(total=timeout)
        try:
            session = self._connections.choose(address)
            url = f"http://{address}/report"
            async with session.get(url, timeout=limit) as response:
                content = await response.read()
                if response.status != 200:
                    logger.info("report_refused", address=address, at=response.status)
                    return EngineMute(response.status != HTTP_NOT_FOUND)
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError) as error:
            logger.info("report_missing", address=address, why=repr(error))
            return EngineGone() if is_refused(error) else None
        status = read_status(content)
        if status is None:
            logger.error("report_unreadable", address=address)
            return EngineMute()
        return status

    async def place(
        self, address: str, layers: LayerRange, sequence: int
    ) -> OrderReply:
        """Order an engine to hold some layers."""
        return await self._order(
            address,
            {
                "op": "place",
                "from": layers.first,
                # The layer after the last one.
                "target": layers.end,
                "handoff_mode": HANDOFF,
                # The engine's own count of orders.
                "expected_rev": sequence,
            },
        )

    async def reroute(
        self, address: str, request: RequestId, chain: Sequence[Stage]
    ) -> OrderReply:
        """Order the first engine of a request to go on over another chain."""
        path = write_chain(chain)
        return await self._order(address, {"op": "repath", "id": request, "path": path})

    async def _order(self, address: str, body: dict[str, Any]) -> OrderReply:
        limit = aiohttp.ClientTimeout(total=ORDER_SECONDS)
        try:
            session = self._connections.choose(address)
            async with session.post(
                f"http://{address}/order",
                data=orjson.dumps(body),
                headers={"Content-Type": "application/json"},
                timeout=limit,
            ) as response:
                content = await response.read()
                result = RESULTS.get(response.status, OrderResult.UNKNOWN)
                if result is OrderResult.UNKNOWN:
                    logger.warning(
                        "order_answer_unknown", address=address, at=response.status
                    )
                return OrderReply(result, _read_at_fault(content))
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            logger.info("order_unanswered", address=address, why=repr(error))
            return OrderReply(OrderResult.UNKNOWN)


def _read_at_fault(content: bytes) -> str | None:
    try:
        fields = orjson.loads(content) if content else {}
    except ValueError:
        return None
    address = fields.get("address") if isinstance(fields, dict) else None
    return str(address) if address else None


def read_status(content: bytes) -> EngineStatus | None:
    """Return what a report says, or ``None`` if it is none."""
    try:
        return _build_status(orjson.loads(content))
    except (ValueError, KeyError, TypeError, AttributeError, OverflowError):
        return None


def _build_status(fields: dict[str, Any]) -> EngineStatus:
    return EngineStatus(
        read_layers(fields.get("layers")),
        bool(fields.get("busy", False)),
        int(fields.get("sequence", 0)),
        # Over 1 where the engine is slow; for an accelerator it is the usual time.
        max(LEAST_PACE, float(fields.get("pace") or 1.0)),
        tuple(
            StalledRequest(RequestId(item["id"]), str(item["address"]))
            for item in fields.get("stalled") or ()
        ),
        read_born(fields),
    )
