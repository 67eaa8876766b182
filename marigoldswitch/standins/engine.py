"""Stand-in for a model engine that holds a range of layers.

It runs no model: a token is a word chosen by a hash of the prompt and the position,
so that the same request gives the same text on every chain. It keeps a record of each
layer that it ran, for tests to judge the router by.
"""

import asyncio
from typing import Any

import aiohttp
import orjson
from aiohttp import web

from marigoldswitch.standins.engine_state import StreamState
from marigoldswitch.standins.engine_steps import LOCAL, EngineSteps, Key
from marigoldswitch.standins.service import format_retry_after


class Engine(EngineSteps):
    """One engine's state and its HTTP application.

    :param layers: the layer range that it holds, ``(first, end)``.
    :param step: seconds of one step over all of its layers.
    :param checks_fencing: whether it refuses orders with an old fencing number.
    :param load_seconds: time that it takes to load what an order asks for.
    :param records: whether it counts each layer that it runs; off for benches.
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
        records: bool = True,
    ) -> None:
        self.name = name
        super().__init__(layers, step, slots, records)
        self.checks_fencing = checks_fencing
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

    async def _hold_session(self, application: web.Application) -> Any:
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0), json_serialize=_dump
        )
        yield
        for address in [key for key, engine in LOCAL.items() if engine is self]:
            del LOCAL[address]
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
        if not self._holds_stage(order, 0):
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
            if not self._holds_stage(order, index):
                return web.json_response({"error": "other layers"}, status=409)
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
        changes = order["desired"] != (self.desired or self.loaded)
        busy = len(self._streams)
        self.orders.append(order | {"busy": busy, "changes": changes})
        if changes:
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
        return bool(order["chain"][index]["layers"] == list(self.layers))

    async def _set_faults(self, http: web.Request) -> web.Response:
        for name, value in (await http.json()).items():
            setattr(self.faults, name, value)
        return web.json_response({})

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
