"""Client of chains of engines: opens streams, looks after stages, moves KV cache."""

import asyncio
from collections.abc import AsyncIterator, Coroutine, Sequence
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, replace
from typing import Any

import aiohttp
import orjson
from result import Err, Ok, Result

from marigoldswitch.backends import parse_load, read_miss
from marigoldswitch.core.catalogue import LayerRange, Target
from marigoldswitch.core.delivery import Delivery, Miss
from marigoldswitch.core.diagnosis import StageStatus
from marigoldswitch.core.ids import Epoch, RequestId, TargetId
from marigoldswitch.core.ledger import StageToken
from marigoldswitch.core.messages import Load
from marigoldswitch.core.requests import Request

OPEN = aiohttp.ClientTimeout(total=None, connect=1.0)
START = aiohttp.ClientTimeout(total=5.0, connect=1.0)
CANCEL = aiohttp.ClientTimeout(total=2.0)
INSPECT = aiohttp.ClientTimeout(total=0.2)
"""A stage that takes longer to say where it is counts as lost: recovery is worth more
than a slow stage."""
MOVE = aiohttp.ClientTimeout(total=0.5)
"""Moving KV cache must be faster than computing it anew."""
NOT_FOUND = 404


@dataclass(frozen=True, slots=True)
class Opened:
    """The last stage has accepted the chain."""

    load: Load | None


@dataclass(frozen=True, slots=True)
class StageFailed:
    """A stage says that another one cannot be reached."""

    target: TargetId


@dataclass(frozen=True, slots=True)
class StreamEnd:
    """The last stage has sent all tokens.

    :param tokens: number of tokens of the whole answer, where it says so.
    """

    load: Load | None
    tokens: int | None = None


StageEvent = Opened | StageToken | StageFailed | StreamEnd


@dataclass(frozen=True, slots=True)
class ChainOrder:
    """What the stages of a chain are told.

    :param delivered: tokens that the caller has; the chain goes on after them.
    :param resume: epoch whose KV cache the stages may use, 0 for none.
    :param model: what the stages must hold, or refuse the chain as not run.
    """

    request: Request
    epoch: Epoch
    chain: tuple[Target, ...]
    delivered: tuple[str, ...] = ()
    resume: Epoch = Epoch(0)
    model: str = ""
    version: str = ""

    def describe(self) -> dict[str, Any]:
        """Return the order as the engines' interface wants it."""
        return {
            "request": self.request.id,
            "epoch": self.epoch,
            "resume": self.resume,
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
            "prefix": self.request.prefix,
            "delivered": list(self.delivered),
            "from": len(self.delivered),
            "max_tokens": self.request.max_tokens,
            "priority": int(self.request.priority),
        }


class EventStream:
    """The events that the last stage of a chain sends.

    :param last: the last stage.
    """

    def __init__(self, response: aiohttp.ClientResponse, last: TargetId) -> None:
        self._content = response.content
        self._last = last
        self._rest = b""

    async def read(self) -> Result[list[StageEvent], Miss]:
        """Wait for the next events and return all that have come."""
        try:
            while b"\n" not in self._rest:
                chunk = await self._content.readany()
                if not chunk:
                    return self._miss("stream ended without its end event")
                self._rest += chunk
            *lines, self._rest = self._rest.split(b"\n")
            return Ok([_parse_event(orjson.loads(line)) for line in lines])
        except aiohttp.ClientError as error:
            return self._miss(type(error).__name__)
        except (KeyError, TypeError, ValueError):
            return self._miss("event cannot be read")

    def _miss(self, detail: str) -> Err[Miss]:
        return Err(Miss(Delivery.MAY_HAVE_RUN, detail, target=self._last))


class ChainClient:
    """Opens streams on chains of engines."""

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self._session = session
        self._tasks: set[asyncio.Task[None]] = set()

    @asynccontextmanager
    async def open(self, order: ChainOrder) -> AsyncIterator[Result[EventStream, Miss]]:
        """Open a chain and start it.

        The last stage is opened first: until the first stage is started, nothing runs.
        """
        async with AsyncExitStack() as stack:
            yield await self._open(stack, order)

    def cancel(
        self, targets: Sequence[Target], request: RequestId, epoch: Epoch
    ) -> None:
        """Tell all stages of a chain to stop; nothing waits for their replies."""
        for target in targets:
            self._spawn(self._cancel_one(target, request, epoch))

    async def inspect(
        self, targets: Sequence[Target], request: RequestId, epoch: Epoch
    ) -> list[StageStatus | None]:
        """Ask all stages how far they are; ``None`` for those that don't answer."""
        return await asyncio.gather(
            *(self._inspect_one(target, request, epoch) for target in targets)
        )

    async def move_kv(
        self, source: Target, to: Target, request: RequestId, epoch: Epoch
    ) -> bool:
        """Move a stream's KV cache between stages; tell whether that worked."""
        path = f"/v1/kv/{request}/{epoch}"
        try:
            async with self._session.get(
                source.address + path, timeout=MOVE
            ) as exported:
                if exported.status != 200:
                    return False
                content = await exported.read()
            async with self._session.put(
                to.address + path, data=content, timeout=MOVE
            ) as imported:
                return imported.status == 200
        except (TimeoutError, aiohttp.ClientError):
            return False

    async def stop(self) -> None:
        """Break off what is under way."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _open(
        self, stack: AsyncExitStack, order: ChainOrder
    ) -> Result[EventStream, Miss]:
        description = orjson.dumps(order.describe())
        last, first = order.chain[-1], order.chain[0]
        try:
            response = await stack.enter_async_context(
                self._session.post(
                    last.address + "/v1/streams", data=description, timeout=OPEN
                )
            )
            if response.status != 200:
                content = await response.read()
                return Err(_blame(read_miss(response, content), last))
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
            return Err(_miss(Delivery.NOT_DELIVERED, "no connection", last))
        except (TimeoutError, aiohttp.ClientError) as error:
            # Nothing runs before the start, which has not been sent.
            return Err(_miss(Delivery.NOT_DELIVERED, type(error).__name__, last))
        missed = await self._start(first, description)
        return Ok(EventStream(response, last.id)) if missed is None else Err(missed)

    async def _start(self, first: Target, description: bytes) -> Miss | None:
        try:
            async with self._session.post(
                first.address + "/v1/starts", data=description, timeout=START
            ) as response:
                if response.status == 200:
                    return None
                content = await response.read()
                return _blame(read_miss(response, content), first)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
            return _miss(Delivery.NOT_DELIVERED, "no connection", first)
        except (TimeoutError, aiohttp.ClientError) as error:
            return _miss(Delivery.MAY_HAVE_RUN, type(error).__name__, first)

    async def _cancel_one(
        self, target: Target, request: RequestId, epoch: Epoch
    ) -> None:
        path = f"{target.address}/v1/streams/{request}/{epoch}"
        try:
            async with self._session.delete(path, timeout=CANCEL):
                pass
        except (TimeoutError, aiohttp.ClientError):
            return

    async def _inspect_one(
        self, target: Target, request: RequestId, epoch: Epoch
    ) -> StageStatus | None:
        path = f"{target.address}/v1/streams/{request}/{epoch}"
        try:
            async with self._session.get(path, timeout=INSPECT) as response:
                if response.status == NOT_FOUND:
                    return StageStatus(-1, -1)
                body = orjson.loads(await response.read())
                return StageStatus(int(body["received"]), int(body["passed"]))
        except (TimeoutError, aiohttp.ClientError, KeyError, TypeError, ValueError):
            return None

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _blame(miss: Miss, target: Target) -> Miss:
    """Return a miss that names the stage at fault."""
    return replace(miss, target=target.id)


def _miss(delivery: Delivery, detail: str, target: Target) -> Miss:
    return Miss(delivery, f"{detail} at stage", target=target.id)


def _parse_event(event: dict[str, Any]) -> StageEvent:
    if "position" in event:
        return StageToken(
            Epoch(event["epoch"]),
            event["position"],
            event["text"],
            tuple(LayerRange(first, end) for first, end in event["layers"]),
        )
    if event.get("end"):
        return StreamEnd(parse_load(event), event.get("tokens"))
    if "failed" in event:
        return StageFailed(TargetId(str(event["failed"])))
    return Opened(parse_load(event))
