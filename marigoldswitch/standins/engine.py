"""Stand-in for a model engine that holds a range of layers.

It runs no model: a token is a word chosen by a hash of the prompt and the position,
so that the same request gives the same text on every chain. It keeps a record of each
layer that it ran, for tests to judge the router by.
"""

import asyncio
import hashlib
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

import aiohttp
import orjson
from aiohttp import web

from marigoldswitch.standins.service import format_retry_after

WORDS = (
    "bisque", "doll", "mended", "with", "care", "the", "left", "arm", "was", "reset",
    "and", "new", "glass", "eyes", "were", "fitted", "before", "a", "gentle", "clean",
)  # fmt: skip


@dataclass(slots=True)
class EngineFaults:
    """What goes wrong.

    :param slow: factor on the time of each step.
    :param stall: steps hang until it is taken back.
    :param refuse: new streams are refused as not run.
    :param die_at: the connection breaks off at this position, if any.
    """

    slow: float = 1.0
    stall: bool = False
    refuse: bool = False
    die_at: int | None = None
    leaving: bool = False
    advice: str = "retry_elsewhere"
    retry_after: int | None = None


@dataclass(slots=True)
class StreamState:
    """One stream in the engine's memory (its KV cache)."""

    order: dict[str, Any]
    index: int
    queue: asyncio.Queue[dict[str, Any] | None] = field(default_factory=asyncio.Queue)
    cancelled: bool = False


def choose_word(prompt: str, position: int) -> str:
    """Return the token at a position of the answer to a prompt."""
    seed = hashlib.sha256(f"{prompt}/{position}".encode()).digest()
    return WORDS[seed[0] % len(WORDS)] + " "


class Engine:
    """One engine's state and its HTTP application.

    :param layers: the layer range that it holds, ``(first, end)``.
    :param step: seconds of one step over all of its layers.
    :param checks_fencing: whether it refuse orders with an old fencing number.
    :param load_seconds: time that it takes to load what an order asks for.
    """

    def __init__(
        self,
        name: str,
        layers: tuple[int, int],
        step: float = 0.001,
        slots: int = 8,
        checks_fencing: bool = True,
        model: str = "letters",
        version: str = "1",
        load_seconds: float = 0.0,
    ) -> None:
        self.name = name
        self.layers = layers
        self.step = step
        self.slots = slots
        self.checks_fencing = checks_fencing
        self.faults = EngineFaults()
        self.ran: Counter[tuple[str, int, int, int]] = Counter()
        """Times that (request, epoch, layer, position) was run."""
        self.fencing = 0
        self.desired: dict[str, Any] = {}
        self.orders: list[dict[str, Any]] = []
        self.load_seconds = load_seconds
        self.loaded: dict[str, Any] | None = {
            "model": model,
            "version": version,
            "role": "serve",
            "layers": list(layers),
            "adapters": [],
        }
        self._streams: dict[tuple[str, int], StreamState] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._session: aiohttp.ClientSession | None = None

    def build_application(self) -> web.Application:
        """Return the HTTP application."""
        application = web.Application(client_max_size=16 * 1024 * 1024)
        application.router.add_post("/v1/streams", self._open_stream)
        application.router.add_post("/v1/starts", self._start)
        application.router.add_post("/v1/activations", self._activate)
        application.router.add_delete("/v1/streams/{request}/{epoch}", self._cancel)
        application.router.add_get("/v1/state", self._show_state)
        application.router.add_post("/v1/orders", self._take_order)
        application.router.add_post("/control/faults", self._set_faults)
        application.cleanup_ctx.append(self._hold_session)
        return application

    @property
    def load(self) -> dict[str, int]:
        """Return what the engine says of its load."""
        return {
            "running": min(len(self._streams), self.slots),
            "waiting": max(0, len(self._streams) - self.slots),
        }

    async def _hold_session(self, application: web.Application) -> Any:
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0), json_serialize=_dump
        )
        yield
        for task in self._tasks:
            task.cancel()
        await self._session.close()

    async def _open_stream(self, http: web.Request) -> web.StreamResponse:
        """Open the last stage of a chain; the reply is the stream of tokens."""
        order = await http.json(loads=orjson.loads)
        last = len(order["chain"]) - 1
        if self.faults.refuse or self.faults.leaving:
            return self._refuse()
        if not self._holds_stage(order, last):
            return self._refuse()
        state = self._hold(order, last)
        response = web.StreamResponse(headers={"Content-Type": "application/x-ndjson"})
        await response.prepare(http)
        await response.write(_dump_line({"opened": True, "load": self.load}))
        try:
            while (event := await state.queue.get()) is not None:
                if event.get("position") == self.faults.die_at is not None:
                    _break_off(http)
                    return response
                await response.write(_dump_line(event))
                if "end" in event:
                    break
            await response.write_eof()
        except ConnectionError:
            state.cancelled = True
        finally:
            self._streams.pop((order["request"], order["epoch"]), None)
        return response

    async def _start(self, http: web.Request) -> web.StreamResponse:
        """Start the first stage; it drives the steps of the whole chain."""
        order = await http.json(loads=orjson.loads)
        if self.faults.refuse or self.faults.leaving:
            return self._refuse()
        if not self._holds_stage(order, 0):
            return self._refuse()
        key = (order["request"], order["epoch"])
        state = self._streams.get(key) or self._hold(order, 0)
        task = asyncio.create_task(self._drive(state))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return web.json_response({"started": True, "load": self.load})

    async def _activate(self, http: web.Request) -> web.StreamResponse:
        """Run this stage on an activation and pass it on."""
        activation = await http.json(loads=orjson.loads)
        order = activation["order"]
        key = (order["request"], order["epoch"])
        state = self._streams.get(key)
        if state is None:
            is_last = activation["index"] == len(order["chain"]) - 1
            if is_last or activation["position"] > order["from"]:
                return web.json_response({"error": "no such stream"}, status=410)
            if not self._holds_stage(order, activation["index"]):
                return web.json_response({"error": "other layers"}, status=409)
            state = self._hold(order, activation["index"])
        if not await self._run_stage(
            state, activation["position"], activation["trace"]
        ):
            self._streams.pop(key, None)
            return web.json_response({"error": "broken"}, status=502)
        return web.json_response({})

    async def _cancel(self, http: web.Request) -> web.StreamResponse:
        key = (http.match_info["request"], int(http.match_info["epoch"]))
        state = self._streams.pop(key, None)
        if state is not None:
            state.cancelled = True
            state.queue.put_nowait(None)
        return web.json_response({"cancelled": state is not None})

    async def _show_state(self, http: web.Request) -> web.Response:
        return web.json_response(
            {
                "name": self.name,
                "layers": self.layers,
                "desired": self.desired,
                "loaded": self.loaded,
                "fencing": self.fencing,
                "load": self.load,
                "leaving": self.faults.leaving,
            }
        )

    async def _take_order(self, http: web.Request) -> web.Response:
        order = await http.json(loads=orjson.loads)
        if self.checks_fencing and order["fencing"] < self.fencing:
            return web.json_response({"fencing": self.fencing}, status=409)
        self.fencing = max(self.fencing, order["fencing"])
        self.orders.append(order | {"busy": len(self._streams)})
        if order["desired"] != (self.desired or self.loaded):
            self.loaded = None
            asyncio.get_running_loop().call_later(self.load_seconds, self._end_load)
        self.desired = order["desired"]
        return web.json_response({})

    def _end_load(self) -> None:
        self.loaded = self.desired
        first, end = self.desired["layers"]
        self.layers = (first, end)

    def _holds_stage(self, order: dict[str, Any], index: int) -> bool:
        """Tell whether it holds the model and layers that a chain counts on."""
        if self.loaded is None:
            return False
        if order.get("model"):
            wanted = (order["model"], order["version"])
            if (self.loaded["model"], self.loaded["version"]) != wanted:
                return False
        return order["chain"][index]["layers"] == list(self.layers)

    async def _set_faults(self, http: web.Request) -> web.Response:
        for name, value in (await http.json()).items():
            setattr(self.faults, name, value)
        return web.json_response({})

    def forget_streams(self) -> None:
        """Lose the memory of all streams, as an engine that ends does."""
        for state in self._streams.values():
            state.cancelled = True
            state.queue.put_nowait(None)
        self._streams.clear()

    def _refuse(self) -> web.Response:
        return web.json_response(
            {
                "not_run": True,
                "advice": self.faults.advice,
                "leaving": self.faults.leaving,
            },
            status=503,
            headers=format_retry_after(self.faults.retry_after),
        )

    def _hold(self, order: dict[str, Any], index: int) -> StreamState:
        state = StreamState(order, index)
        self._streams[order["request"], order["epoch"]] = state
        return state

    async def _drive(self, state: StreamState) -> None:
        order = state.order
        for position in range(order["from"], order["max_tokens"]):
            if state.cancelled or not await self._run_stage(state, position, []):
                self._streams.pop((order["request"], order["epoch"]), None)
                return

    async def _run_stage(
        self, state: StreamState, position: int, trace: list[list[int]]
    ) -> bool:
        while self.faults.stall and not state.cancelled:
            await asyncio.sleep(0.01)
        await asyncio.sleep(self.step * self.faults.slow)
        if state.cancelled:
            return False
        order = state.order
        for layer in range(*self.layers):
            self.ran[order["request"], order["epoch"], layer, position] += 1
        trace = [*trace, list(self.layers)]
        if state.index == len(order["chain"]) - 1:
            self._emit(state, position, trace)
            return True
        if position == order["max_tokens"] - 1:
            self._streams.pop((order["request"], order["epoch"]), None)
        return await self._pass_on(state, position, trace)

    def _emit(self, state: StreamState, position: int, trace: list[list[int]]) -> None:
        order = state.order
        state.queue.put_nowait(
            {
                "epoch": order["epoch"],
                "position": position,
                "text": choose_word(order["prompt"], position),
                "layers": trace,
            }
        )
        if position == order["max_tokens"] - 1:
            state.queue.put_nowait({"end": True, "load": self.load})

    async def _pass_on(
        self, state: StreamState, position: int, trace: list[list[int]]
    ) -> bool:
        following = state.order["chain"][state.index + 1]
        activation = {
            "order": state.order,
            "index": state.index + 1,
            "position": position,
            "trace": trace,
        }
        return await self._post(following["address"], "/v1/activations", activation)

    async def _post(self, address: str, path: str, body: dict[str, Any]) -> bool:
        assert self._session is not None
        try:
            async with self._session.post(address + path, json=body) as response:
                return response.status == 200
        except aiohttp.ClientError:
            return False


def _dump(value: object) -> str:
    return orjson.dumps(value).decode()


def _dump_line(value: object) -> bytes:
    return orjson.dumps(value) + b"\n"


def _break_off(http: web.Request) -> None:
    if http.transport is not None:
        http.transport.abort()
