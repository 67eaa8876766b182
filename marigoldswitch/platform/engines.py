"""Reads the reports of engines and sends them orders, over the platform's protocol."""

from collections.abc import Sequence
from typing import Any

import aiohttp
import orjson
import structlog

from marigoldswitch.core.catalogue import LayerRange
from marigoldswitch.core.ids import RequestId
from marigoldswitch.core.stages import Stage
from marigoldswitch.gateway.bounded_reads import (
    AnswerUnbounded,
    Reader,
    read_whole,
)
from marigoldswitch.gateway.connections import Connections, ConnectionUse
from marigoldswitch.gateway.ports import (
    EngineAnswer,
    EngineGone,
    EngineSilent,
    EngineStatus,
    EngineWithoutReport,
    OrderReply,
    OrderResult,
    StalledRequest,
)
from marigoldswitch.gateway.upstream import is_connection_refused
from marigoldswitch.platform.configuration import read_layers, read_start_time
from marigoldswitch.platform.headers import write_chain

logger = structlog.get_logger(__name__)

ORDER_TIMEOUT_SECONDS = 0.4
"""Timeout of an order. Live engines answer within milliseconds; the lease's margin must
be longer than this."""
HTTP_NOT_FOUND = 404
HANDOFF_MODE = "wait"
"""An engine that gives up layers first finishes the requests that run through them."""
MIN_PACE = 0.01
"""Lower bound for a reported pace: a smaller one is implausible and would make the
engine look as if its steps cost nothing."""
ORDER_RESULTS = {
    200: OrderResult.DONE,
    202: OrderResult.BEGUN,
    404: OrderResult.ABSENT,
    409: OrderResult.CONFLICT,
}


class EngineClient:
    """HTTP client of the engines; implements ``EngineControl``."""

    def __init__(self, connections: Connections) -> None:
        self._connections = connections

    async def read(
        self, address: str, timeout: float, new_connection: bool = False
    ) -> EngineAnswer | EngineSilent | None:
        """Request an engine's report.

        :param address: ``IP:port`` of the engine.
        :param timeout: in seconds.
        :param new_connection: use a new connection, not a pooled one.
        :return: ``EngineWithoutReport`` if it answers without a report, ``EngineGone``
            if the connection is refused, ``EngineSilent`` if a new one was opened and
            brought no answer, ``None`` if there is no answer else.
        """
        use = ConnectionUse(reconnects=True)
        client_timeout = aiohttp.ClientTimeout(total=timeout)
        try:
            session = self._connections.single_use
            if not new_connection:
                session = self._connections.choose_session(address)
            url = f"http://{address}/report"
            async with session.get(
                url, timeout=client_timeout, trace_request_ctx=use
            ) as response:
                content = await self._read_whole(response)
                if response.status != 200:
                    logger.info("report_refused", address=address, at=response.status)
                    return EngineWithoutReport(response.status != HTTP_NOT_FOUND)
        except AnswerUnbounded as error:
            self._connections.guard.note(address, Reader.REPORT, error.excess)
            return EngineWithoutReport()
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError) as error:
            logger.info("report_missing", address=address, why=repr(error))
            if is_connection_refused(error):
                return EngineGone()
            is_opened = use.is_sent and not use.is_reused
            is_silent = is_opened and isinstance(error, TimeoutError)
            return EngineSilent() if is_silent else None
        status = decode_report(content)
        if status is None:
            logger.error("report_unreadable", address=address)
            return EngineWithoutReport()
        return status

    async def place(
        self, address: str, layers: LayerRange, sequence: int
    ) -> OrderReply:
        """Order an engine to hold a range of layers.

        :param sequence: orders that it must have begun before; else it refuses.
        """
        return await self._send_order(
            address,
            {
                "op": "place",
                "from": layers.first,
                # The layer after the last.
                "target": layers.end,
                "handoff_mode": HANDOFF_MODE,
                # Orders that the engine has begun, by its own count.
                "expected_rev": sequence,
            },
        )

    async def reroute(
        self, address: str, request: RequestId, chain: Sequence[Stage]
    ) -> OrderReply:
        """Order the first engine of a request to continue it over another chain."""
        path = write_chain(chain)
        return await self._send_order(
            address, {"op": "repath", "id": request, "path": path}
        )

    async def _send_order(self, address: str, body: dict[str, Any]) -> OrderReply:
        client_timeout = aiohttp.ClientTimeout(total=ORDER_TIMEOUT_SECONDS)
        try:
            session = self._connections.choose_session(address)
            async with session.post(
                f"http://{address}/order",
                data=orjson.dumps(body),
                headers={"Content-Type": "application/json"},
                timeout=client_timeout,
            ) as response:
                content = await self._read_whole(response)
                result = ORDER_RESULTS.get(response.status, OrderResult.UNKNOWN)
                if result is OrderResult.UNKNOWN:
                    logger.warning(
                        "order_answer_unknown", address=address, at=response.status
                    )
                return OrderReply(result, _read_at_fault(content))
        except AnswerUnbounded as error:
            self._connections.guard.note(address, Reader.ORDER, error.excess)
            return OrderReply(OrderResult.UNKNOWN)
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            logger.info("order_unanswered", address=address, why=repr(error))
            return OrderReply(OrderResult.UNKNOWN)

    async def _read_whole(self, response: aiohttp.ClientResponse) -> bytes:
        bounds = self._connections.guard.bounds
        return await read_whole(response, bounds, "report_bytes")


def _read_at_fault(content: bytes) -> str | None:
    """Return the address of the engine that an answer blames, if it names one."""
    try:
        fields = orjson.loads(content) if content else {}
    except ValueError:
        return None
    address = fields.get("address") if isinstance(fields, dict) else None
    return str(address) if address else None


def decode_report(content: bytes) -> EngineStatus | None:
    """Decode an engine's report, or return ``None`` if it is malformed."""
    try:
        return _read_report(orjson.loads(content))
    except (ValueError, KeyError, TypeError, AttributeError, OverflowError):
        return None


def _read_report(fields: dict[str, Any]) -> EngineStatus:
    return EngineStatus(
        read_layers(fields.get("layers")),
        bool(fields.get("busy", False)),
        int(fields.get("sequence", 0)),
        # Step time over the usual one: above 1 for a slow engine. In the configuration
        # the same key is the usual step time of a kind of accelerator.
        max(MIN_PACE, float(fields.get("pace") or 1.0)),
        tuple(
            StalledRequest(RequestId(item["id"]), str(item["address"]))
            for item in fields.get("stalled") or ()
        ),
        read_start_time(fields),
    )
