"""Stand-in for a model engine that holds a range of layers.

It runs no model: a token is a word chosen by a hash of the prompt and the position,
so that the same request gives the same text on every chain. It keeps a record of each
layer that it ran, for tests to judge the router by.

It batches: one step runs the waiting activations of up to ``slots`` requests, so that a
step costs one timer however many requests share it.
"""

import asyncio
import time
from collections import Counter
from collections.abc import Coroutine
from typing import Any

import aiohttp
import orjson
from aiohttp import web

from marigoldswitch.standins.engine_state import (
    EngineFaults,
    KvMemory,
    PrefixCache,
    StreamState,
    choose_word,
)

MOST_UNSENT = 64
"""Tokens that wait for a slow reader before the engine stops making more."""

Key = tuple[str, int]
Activation = tuple[StreamState, int, list[list[int]]]

_LOCAL: dict[str, "Engine"] = {}
"""Engines of this process by address: once a stream is open, they pass activations on
without HTTP, which would cost far more than what it is there to test."""


class Engine:
    """One engine's state and its HTTP application.

    :param layers: the layer range that it holds, ``(first, end)``.
    :param step: seconds of one step over all of its layers.
    :param checks_fencing: whether it refuses orders with an old fencing number.
    :param records: whether it counts each layer that it runs; off for benches.
    """

    def __init__(
        self,
        name: str,
        layers: tuple[int, int],
        step: float = 0.001,
        slots: int = 8,
        checks_fencing: bool = True,
        records: bool = True,
    ) -> None:
        self.name = name
        self.layers = layers
        self.step = step
        self.slots = slots
        self.checks_fencing = checks_fencing
        self.faults = EngineFaults()
        self.ran: Counter[tuple[str, int, int, int]] = Counter()
        """Times that (request, epoch, layer, position) was run."""
        self.prefilled = 0
        """Tokens that were computed anew because their KV cache was not there."""
        self.fencing = 0
        self.desired: dict[str, Any] = {}
        self.orders: list[dict[str, Any]] = []
        self.prefixes = PrefixCache()
        self.kv = KvMemory()
        self._records = records
        self._streams: dict[Key, StreamState] = {}
        self._ready: list[Activation] = []
        self._stepper: asyncio.Task[None] | None = None
        self._tasks: set[asyncio.Task[Any]] = set()
        self._session: aiohttp.ClientSession | None = None
        self._load = (0.0, {"running": 0, "waiting": 0})

    def build_application(self) -> web.Application:
        """Return the HTTP application."""
        application = web.Application(
            client_max_size=16 * 1024 * 1024,
            middlewares=[self._die],  # type: ignore[list-item]
        )
        router = application.router
        router.add_post("/v1/streams", self._open_stream)
        router.add_get("/v1/streams/{request}/{epoch}", self._show_stream)
        router.add_delete("/v1/streams/{request}/{epoch}", self._cancel)
        router.add_post("/v1/starts", self._start)
        router.add_post("/v1/activations", self._activate)
        router.add_post("/v1/failures", self._take_failure)
        router.add_get("/v1/kv/{request}/{epoch}", self._export_kv)
        router.add_put("/v1/kv/{request}/{epoch}", self._import_kv)
        router.add_get("/v1/cache-events", self._show_cache_events)
        router.add_get("/v1/state", self._show_state)
        router.add_post("/v1/orders", self._take_order)
        router.add_post("/control/faults", self._set_faults)
        application.cleanup_ctx.append(self._hold_session)
        return application

    @property
    def load(self) -> dict[str, int]:
        """Return what the engine says of its load, which lags."""
        taken, load = self._load
        if time.monotonic() - taken >= self.faults.load_lag:
            load = {
                "running": min(len(self._streams), self.slots),
                "waiting": max(0, len(self._streams) - self.slots),
            }
            self._load = (time.monotonic(), load)
        return load

    def forget_streams(self) -> None:
        """Lose the memory of all streams, as an engine that ends does."""
        for state in list(self._streams.values()):
            self._drop(state)
        self._ready.clear()
        self.kv = KvMemory()

    async def _hold_session(self, application: web.Application) -> Any:
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0), json_serialize=_dump
        )
        yield
        for address in [key for key, engine in _LOCAL.items() if engine is self]:
            del _LOCAL[address]
        self.forget_streams()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self._session.close()

    @web.middleware
    async def _die(self, http: web.Request, handler: Any) -> web.StreamResponse:
        """Break off every connection while the engine is dead."""
        if self.faults.dead and not http.path.startswith("/control"):
            self.forget_streams()
            _break_off(http)
            return web.Response(status=500)
        response: web.StreamResponse = await handler(http)
        return response

    async def _open_stream(self, http: web.Request) -> web.StreamResponse:
        """Open the last stage of a chain; the reply is the stream of tokens."""
        order = await http.json(loads=orjson.loads)
        if self.faults.refuse or self.faults.leaving:
            return self._refuse()
        state = self._hold(order, len(order["chain"]) - 1)
        response = web.StreamResponse(headers={"Content-Type": "application/x-ndjson"})
        await response.prepare(http)
        await response.write(_dump_line({"opened": True, "load": self.load}))
        try:
            await self._send_events(http, response, state)
        except ConnectionError:
            self._spawn(self._cancel_others(state))
        finally:
            self._drop(state)
        return response

    async def _send_events(
        self, http: web.Request, response: web.StreamResponse, state: StreamState
    ) -> None:
        while True:
            events = await state.take_events()
            lines = []
            for event in events:
                if self.faults.dead or (
                    event.get("position") == self.faults.die_at is not None
                ):
                    _break_off(http)
                    return
                lines.append(_dump_line(event))
            await response.write(b"".join(lines))
            if not events or "end" in events[-1]:
                await response.write_eof()
                return
            self._feed_back(state)

    async def _start(self, http: web.Request) -> web.StreamResponse:
        """Start the first stage; it drives the steps of the whole chain."""
        order = await http.json(loads=orjson.loads)
        if self.faults.refuse or self.faults.leaving:
            return self._refuse()
        state = self._streams.get(_get_key(order)) or self._hold(order, 0)
        self._take(state, order["from"], [])
        return web.json_response({"started": True, "load": self.load})

    async def _activate(self, http: web.Request) -> web.StreamResponse:
        """Take an activation from the stage before."""
        activation = await http.json(loads=orjson.loads)
        order, index = activation["order"], activation["index"]
        state = self._streams.get(_get_key(order))
        if state is None:
            opens = 0 < index < len(order["chain"]) - 1
            if not opens or activation["position"] > order["from"]:
                return web.json_response({"error": "no such stream"}, status=410)
            state = self._hold(order, index)
        self._take(state, activation["position"], activation["trace"])
        return web.json_response({})

    async def _take_failure(self, http: web.Request) -> web.Response:
        """Hear at the last stage that another stage cannot be reached."""
        body = await http.json(loads=orjson.loads)
        state = self._streams.get((body["request"], body["epoch"]))
        if state is not None:
            state.emit({"failed": body["target"]})
        return web.json_response({})

    async def _show_stream(self, http: web.Request) -> web.Response:
        """Tell how far this stage is, so that a stalled one can be found."""
        state = self._streams.get(_parse_key(http))
        if state is None:
            return web.json_response({"error": "no such stream"}, status=404)
        return web.json_response({"received": state.received, "passed": state.passed})

    async def _cancel(self, http: web.Request) -> web.Response:
        state = self._streams.get(_parse_key(http))
        if state is not None:
            self._drop(state)
        return web.json_response({"cancelled": state is not None})

    async def _export_kv(self, http: web.Request) -> web.Response:
        positions = self.kv.read(*_parse_key(http))
        if self.faults.refuse_kv or positions is None:
            return web.json_response({"error": "no KV cache"}, status=404)
        return web.json_response({"layers": self.layers, "positions": positions})

    async def _import_kv(self, http: web.Request) -> web.Response:
        body = await http.json(loads=orjson.loads)
        if self.faults.refuse_kv or tuple(body["layers"]) != self.layers:
            return web.json_response({"error": "refused"}, status=409)
        self.kv.write(*_parse_key(http), body["positions"])
        return web.json_response({})

    async def _show_cache_events(self, http: web.Request) -> web.Response:
        after = int(http.query.get("after", "0"))
        lag, gap = self.faults.event_lag, self.faults.event_gap
        return web.json_response(self.prefixes.list_events(after, lag, gap))

    async def _show_state(self, http: web.Request) -> web.Response:
        return web.json_response(
            {
                "name": self.name,
                "layers": self.layers,
                "desired": self.desired,
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
        self.desired = order["desired"]
        self.orders.append(order)
        return web.json_response({})

    async def _set_faults(self, http: web.Request) -> web.Response:
        for name, value in (await http.json()).items():
            setattr(self.faults, name, value)
        return web.json_response({})

    def _refuse(self) -> web.Response:
        advice = "retry_elsewhere"
        return web.json_response(
            {"not_run": True, "advice": advice, "leaving": self.faults.leaving},
            status=503,
        )

    def _hold(self, order: dict[str, Any], index: int) -> StreamState:
        state = StreamState(order, index)
        self._streams[state.key] = state
        own = order["chain"][index]
        _LOCAL[own["address"]] = self
        return state

    def _drop(self, state: StreamState) -> None:
        """Forget a stream but for its KV cache, which is kept for a while."""
        if self._streams.get(state.key) is not state:
            return
        del self._streams[state.key]
        self.kv.write(*state.key, state.passed + 1)
        state.cancelled = True
        state.end()

    def _take(self, state: StreamState, position: int, trace: list[list[int]]) -> None:
        """Put an activation into the next step; the first one waits for its prefill."""
        first = state.received < 0
        state.received = max(state.received, position)
        wait = self._prefill(state.order) if first else 0.0
        if wait > 0.0:
            asyncio.get_running_loop().call_later(
                wait, self._queue, (state, position, trace)
            )
        else:
            self._queue((state, position, trace))

    def _prefill(self, order: dict[str, Any]) -> float:
        """Return the seconds to compute what the KV cache lacks."""
        known = self.kv.read(order["request"], order.get("resume", 0))
        words = order["prompt"].count(" ") + 1
        if known is not None and known >= order["from"]:
            return 0.0
        self.prefilled += order["from"]
        if self.prefixes.use(order.get("prefix")):
            words = 0
        return (words + order["from"]) * self.step * self.faults.slow / 20.0

    def _queue(self, activation: Activation) -> None:
        self._ready.append(activation)
        if self._stepper is None or self._stepper.done():
            self._stepper = self._spawn(self._run_steps())

    async def _run_steps(self) -> None:
        while self._ready:
            await asyncio.sleep(self.step * self.faults.slow)
            while self.faults.stall:
                await asyncio.sleep(0.01)
            batch = self._ready[: self.slots]
            del self._ready[: self.slots]
            for state, position, trace in batch:
                if not state.cancelled and not self.faults.dead:
                    self._run(state, position, trace)

    def _run(self, state: StreamState, position: int, trace: list[list[int]]) -> None:
        """Run this stage's layers for one token and pass it on."""
        if self._records:
            for layer in range(*self.layers):
                self.ran[*state.key, layer, position] += 1
        state.passed = max(state.passed, position)
        trace = [*trace, list(self.layers)]
        is_final = position == state.order["max_tokens"] - 1
        if not state.is_last:
            self._pass_on(state, state.index + 1, position, trace)
            if is_final:
                self._drop(state)
            return
        self._emit(state, position, trace)
        if is_final:
            state.flush()
            state.emit({"end": True, "tokens": position + 1, "load": self.load})
            return
        state.next_fed = position + 1
        self._feed_back(state)

    def _emit(self, state: StreamState, position: int, trace: list[list[int]]) -> None:
        token = {
            "epoch": state.order["epoch"],
            "position": position,
            "text": choose_word(state.order["prompt"], position),
            "layers": trace,
        }
        swap, twice = self.faults.swap_every, self.faults.duplicate_every
        if swap and position % swap == 0:
            state.late = token
            return
        state.emit(token)
        state.flush()
        if twice and position % twice == 0:
            state.emit(token)

    def _feed_back(self, state: StreamState) -> None:
        """Let the first stage go on, unless the reader is too far behind."""
        if state.next_fed is None or state.unsent >= MOST_UNSENT or state.cancelled:
            return
        position, state.next_fed = state.next_fed, None
        self._pass_on(state, 0, position, [])

    def _pass_on(
        self, state: StreamState, index: int, position: int, trace: list[list[int]]
    ) -> None:
        if self.faults.link_delay > 0.0:
            asyncio.get_running_loop().call_later(
                self.faults.link_delay, self._send, state, index, position, trace
            )
        else:
            self._send(state, index, position, trace)

    def _send(
        self, state: StreamState, index: int, position: int, trace: list[list[int]]
    ) -> None:
        peer = _LOCAL.get(state.order["chain"][index]["address"])
        if peer is not None and not peer.faults.dead:
            theirs = peer._streams.get(state.key)
            if theirs is not None and theirs.index == index:
                peer._take(theirs, position, trace)
                return
        self._spawn(self._post_activation(state, index, position, trace))

    async def _post_activation(
        self, state: StreamState, index: int, position: int, trace: list[list[int]]
    ) -> None:
        activation = {
            "order": state.order,
            "index": index,
            "position": position,
            "trace": trace,
        }
        following = state.order["chain"][index]
        if await self._post(following["address"], "/v1/activations", activation):
            return
        if not state.cancelled:
            await self._report_failure(state, following["target"])
            self._drop(state)

    async def _report_failure(self, state: StreamState, target: str) -> None:
        if state.is_last:
            state.emit({"failed": target})
            await asyncio.sleep(0)
            return
        request, epoch = state.key
        body = {"request": request, "epoch": epoch, "target": target}
        last = state.order["chain"][-1]
        await self._post(last["address"], "/v1/failures", body)

    async def _cancel_others(self, state: StreamState) -> None:
        """Tell the other stages that nobody reads the stream any more."""
        assert self._session is not None
        request, epoch = state.key
        for stage in state.order["chain"][:-1]:
            path = f"{stage['address']}/v1/streams/{request}/{epoch}"
            try:
                async with self._session.delete(path):
                    pass
            except aiohttp.ClientError:
                continue

    async def _post(self, address: str, path: str, body: dict[str, Any]) -> bool:
        assert self._session is not None
        try:
            async with self._session.post(address + path, json=body) as response:
                return response.status == 200
        except aiohttp.ClientError:
            return False

    def _spawn(self, work: Coroutine[Any, Any, None]) -> "asyncio.Task[None]":
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task


def _get_key(order: dict[str, Any]) -> Key:
    return order["request"], order["epoch"]


def _parse_key(http: web.Request) -> Key:
    return http.match_info["request"], int(http.match_info["epoch"])


def _dump(value: object) -> str:
    return orjson.dumps(value).decode()


def _dump_line(value: object) -> bytes:
    return orjson.dumps(value) + b"\n"


def _break_off(http: web.Request) -> None:
    if http.transport is not None:
        http.transport.abort()
