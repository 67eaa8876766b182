"""Clients of the targets: plain services and chains of engines."""

import asyncio
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import Any

import aiohttp
import orjson
from result import Err, Ok, Result

from marigoldswitch.core.catalogue import LayerRange, Target
from marigoldswitch.core.delivery import Delivery, Miss
from marigoldswitch.core.errors import Advice
from marigoldswitch.core.ids import Epoch, RequestId
from marigoldswitch.core.ledger import StageToken
from marigoldswitch.core.messages import Load
from marigoldswitch.core.requests import Answer, Request

REFUSED_STATUS = 503
LONGEST_RETRY_AFTER = 3600.0
FOREVER = aiohttp.ClientTimeout(total=None, connect=1.0)


@dataclass(frozen=True, slots=True)
class Opened:
    """The last stage has accepted the chain."""

    load: Load | None


@dataclass(frozen=True, slots=True)
class StreamEnd:
    """The last stage has sent all tokens."""

    load: Load | None


StageEvent = Opened | StageToken | StreamEnd


@dataclass(frozen=True, slots=True)
class ChainOrder:
    """What the stages of a chain are told.

    :param delivered: tokens that the caller has; the chain goes on after them.
    :param model: what the stages must hold, or refuse the chain as not run.
    """

    request: Request
    epoch: Epoch
    chain: tuple[Target, ...]
    delivered: tuple[str, ...] = ()
    model: str = ""
    version: str = ""

    def describe(self) -> dict[str, Any]:
        """Return the order as the engines' interface wants it."""
        return {
            "request": self.request.id,
            "epoch": self.epoch,
            "chain": [
                {
                    "target": target.id,
                    "address": target.address,
                    "layers": [target.layers.first, target.layers.end],
                }
                for target in self.chain
                if target.layers is not None
            ],
            "model": self.model,
            "version": self.version,
            "prompt": str(self.request.body.get("prompt", "")),
            "delivered": list(self.delivered),
            "from": len(self.delivered),
            "max_tokens": self.request.max_tokens,
            "priority": int(self.request.priority),
        }


def parse_load(body: dict[str, Any]) -> Load | None:
    """Return the load that a target reports, if it does."""
    load = body.get("load")
    if not isinstance(load, dict):
        return None
    return Load(int(load.get("running", 0)), int(load.get("waiting", 0)))


def parse_seconds(text: str | None) -> float | None:
    """Return a ``Retry-After`` in seconds; dates and nonsense count as none."""
    if text is None or not text.isascii() or not text.isdigit():
        return None
    return min(float(text), LONGEST_RETRY_AFTER)


def parse_miss(status: int, content: bytes, retry_after: str | None = None) -> Miss:
    """Return what a target's error says of the request.

    :param retry_after: its ``Retry-After`` header.
    """
    try:
        body = orjson.loads(content)
    except orjson.JSONDecodeError:
        body = {}
    if not isinstance(body, dict):
        body = {}
    if status == REFUSED_STATUS and body.get("not_run") is True:
        known = {item.value for item in Advice}
        advice = body.get("advice")
        return Miss(
            Delivery.REFUSED,
            f"refused with {status}",
            Advice(advice) if advice in known else None,
            body.get("leaving") is True,
            parse_load(body),
            parse_seconds(retry_after),
        )
    return Miss(Delivery.MAY_HAVE_RUN, f"answered {status}")


def _read_miss(response: aiohttp.ClientResponse, content: bytes) -> Miss:
    return parse_miss(response.status, content, response.headers.get("Retry-After"))


class PlainClient:
    """Calls targets of plain services."""

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self._session = session

    async def call(
        self, target: Target, request: Request, seconds: float
    ) -> Result[tuple[Answer, Load | None], Miss]:
        """Send a request to a target.

        :param seconds: longest wait for the answer.
        """
        body = {"request": request.id, "key": request.key, "input": dict(request.body)}
        timeout = aiohttp.ClientTimeout(total=seconds, connect=min(1.0, seconds))
        try:
            async with self._session.post(
                target.address + "/v1/calls", data=orjson.dumps(body), timeout=timeout
            ) as response:
                content = await response.read()
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
            return Err(Miss(Delivery.NOT_DELIVERED, "no connection"))
        except (TimeoutError, aiohttp.ClientError) as error:
            return Err(Miss(Delivery.MAY_HAVE_RUN, type(error).__name__))
        if response.status != 200:
            return Err(_read_miss(response, content))
        try:
            answer = orjson.loads(content)
            return Ok((Answer(answer["answer"]), parse_load(answer)))
        except (orjson.JSONDecodeError, KeyError, TypeError):
            return Err(Miss(Delivery.MAY_HAVE_RUN, "answer cannot be read"))


class ChainClient:
    """Opens streams on chains of engines."""

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self._session = session

    @asynccontextmanager
    async def open(
        self, order: ChainOrder
    ) -> AsyncIterator[Result[AsyncIterator[Result[StageEvent, Miss]], Miss]]:
        """Open a chain and start it; the events end with a :class:`StreamEnd`.

        The last stage is opened first: until the first stage is started, nothing runs.
        """
        description = order.describe()
        last, first = order.chain[-1], order.chain[0]
        try:
            async with self._session.post(
                last.address + "/v1/streams",
                data=orjson.dumps(description),
                timeout=FOREVER,
            ) as response:
                if response.status != 200:
                    yield Err(_read_miss(response, await response.read()))
                    return
                started = await self._start(first, description)
                if started is not None:
                    yield Err(started)
                    return
                yield Ok(_read_events(response))
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
            yield Err(Miss(Delivery.NOT_DELIVERED, "no connection to the last stage"))
        except (TimeoutError, aiohttp.ClientError) as error:
            yield Err(Miss(Delivery.MAY_HAVE_RUN, type(error).__name__))

    async def cancel(
        self, targets: Sequence[Target], request: RequestId, epoch: Epoch
    ) -> None:
        """Tell all stages of a chain to stop."""
        await asyncio.gather(
            *(self._cancel_one(target, request, epoch) for target in targets)
        )

    async def _cancel_one(
        self, target: Target, request: RequestId, epoch: Epoch
    ) -> None:
        path = f"{target.address}/v1/streams/{request}/{epoch}"
        try:
            timeout = aiohttp.ClientTimeout(total=2.0)
            async with self._session.delete(path, timeout=timeout):
                pass
        except (TimeoutError, aiohttp.ClientError):
            pass

    async def _start(self, first: Target, description: dict[str, Any]) -> Miss | None:
        try:
            async with self._session.post(
                first.address + "/v1/starts",
                data=orjson.dumps(description),
                timeout=aiohttp.ClientTimeout(total=5.0, connect=1.0),
            ) as response:
                content = await response.read()
                if response.status != 200:
                    return _read_miss(response, content)
                return None
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
            return Miss(Delivery.NOT_DELIVERED, "no connection to the first stage")
        except (TimeoutError, aiohttp.ClientError) as error:
            return Miss(Delivery.MAY_HAVE_RUN, type(error).__name__)


async def _read_events(
    response: aiohttp.ClientResponse,
) -> AsyncIterator[Result[StageEvent, Miss]]:
    try:
        async for line in response.content:
            event = _parse_event(orjson.loads(line))
            yield Ok(event)
            if isinstance(event, StreamEnd):
                return
    except (TimeoutError, aiohttp.ClientError) as error:
        yield Err(Miss(Delivery.MAY_HAVE_RUN, type(error).__name__))
        return
    except (orjson.JSONDecodeError, KeyError, TypeError, ValueError):
        yield Err(Miss(Delivery.MAY_HAVE_RUN, "event cannot be read"))
        return
    yield Err(Miss(Delivery.MAY_HAVE_RUN, "stream ended without its end event"))


def _parse_event(event: dict[str, Any]) -> StageEvent:
    if event.get("opened"):
        return Opened(parse_load(event))
    if event.get("end"):
        return StreamEnd(parse_load(event))
    return StageToken(
        Epoch(event["epoch"]),
        event["position"],
        event["text"],
        tuple(LayerRange(first, end) for first, end in event["layers"]),
    )
