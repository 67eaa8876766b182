"""Stand-ins of the users' platform's targets: layered engines and a plain service.

They speak the published protocol and keep a record of what they ran, by which tests
judge. Engines of one :class:`EngineSite` forward among themselves: a chain that passes
a dead one stalls until it is changed.
"""

import asyncio
import socket
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

import orjson
from aiohttp import web

STALL_SECONDS = 2.0
"""Time after which a stream that waits for a dead engine is cut off."""
PAUSE_SECONDS = 0.005
"""Pause between two events."""
CRASH_SECONDS = 0.02
"""Time from the begin of a run that ends its target to that end."""
RETURN_SECONDS = 0.3
"""Time after which a target that a request has ended listens again."""


@dataclass(slots=True)
class StreamRecord:
    """A stream that an engine has begun.

    :param path: layer ranges by address, as they are now.
    :param passed: for each event, the layers that ran, in order.
    """

    request: str
    path: list[tuple[str, int, int]]
    passed: list[list[int]] = field(default_factory=list)


class TargetStandin:
    """An HTTP server on a port of the kernel's choice that can die and answer badly."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.address = ""
        self.runs: Counter[str] = Counter()
        self.heads: list[dict[str, str]] = []
        self.paths: list[str] = []
        self.bodies: list[bytes] = []
        self.alive = False
        self.crashing: set[bytes] = set()
        """Bodies of requests that end the target which begins to run them."""
        self.crashes: Counter[bytes] = Counter()
        """Ends that each of these has brought about."""
        self._returns: set[asyncio.Task[None]] = set()
        self._runner: web.ServerRunner | None = None
        self._reserved = socket.socket()
        """Keeps the port from others: once it is dead, nothing answers there."""

    async def start(self) -> None:
        """Listen."""
        self._reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._reserved.bind(("127.0.0.1", 0))
        await self.listen()

    async def listen(self) -> None:
        """Listen on the port that it has, at first or once more after its end."""
        port = self._reserved.getsockname()[1]
        server = web.Server(self.handle, access_log=None, handler_cancellation=True)
        self._runner = web.ServerRunner(server, shutdown_timeout=0.05)
        await self._runner.setup()
        await web.TCPSite(self._runner, "127.0.0.1", port).start()
        self.address = f"127.0.0.1:{port}"
        self.alive = True

    def release(self) -> None:
        """Give the port back."""
        for task in self._returns:
            task.cancel()
        self._reserved.close()

    async def crash(self, body: bytes) -> None:
        """End under a request, and listen again after a while."""
        await asyncio.sleep(CRASH_SECONDS)
        if self.alive and not self._returns:
            self.crashes[body] += 1
            task = asyncio.create_task(self._end_and_return())
            self._returns.add(task)
            task.add_done_callback(self._returns.discard)
        await asyncio.sleep(RETURN_SECONDS)

    async def _end_and_return(self) -> None:
        await self.stop()
        await asyncio.sleep(RETURN_SECONDS)
        await self.listen()

    async def stop(self) -> None:
        """Die: connections are reset, new ones refused."""
        if not self.alive:
            return
        self.alive = False
        assert self._runner is not None and self._runner.server is not None
        for connection in self._runner.server.connections:
            if connection.transport is not None:
                connection.transport.abort()
        await self._runner.cleanup()

    async def handle(self, http: web.BaseRequest) -> web.StreamResponse:
        """Answer one request."""
        raise NotImplementedError

    def check_head(self, http: web.BaseRequest) -> web.Response | None:
        """Return a refusal if another target is meant."""
        self.heads.append(dict(http.headers))
        self.paths.append(http.raw_path)
        if http.headers.get("Expect-Replica") != self.name:
            return self.refuse(http, 421)
        return None

    def refuse(self, http: web.BaseRequest, status: int) -> web.Response:
        """Return an answer that promises that nothing has run."""
        headers = {
            "Not-Executed": "1",
            "Attempt-Id": http.headers.get("Attempt-Id", ""),
            "Replica-Id": self.name,
        }
        return web.Response(status=status, headers=headers)

    def sign(self, http: web.BaseRequest) -> dict[str, str]:
        """Return the headers of an own answer."""
        return {
            "Attempt-Id": http.headers.get("Attempt-Id", ""),
            "Replica-Signature": f"signed-by-{self.name}",
        }


class PlainStandin(TargetStandin):
    """A plain service.

    :ivar statuses: statuses of the next answers; 200 once there are none left.
    :ivar refusals: requests that are next refused as not run.
    :ivar hangs: requests that next never get an answer.
    :ivar cuts: requests that next run and lose their answer.
    """

    def __init__(self, name: str) -> None:
        super().__init__(name)
        self.statuses: list[int] = []
        self.refusals = 0
        self.hangs = 0
        self.cuts = 0

    async def handle(self, http: web.BaseRequest) -> web.StreamResponse:
        """Answer one request."""
        body = await http.read()
        self.bodies.append(body)
        refusal = self.check_head(http)
        if refusal is not None:
            return refusal
        if self.refusals:
            self.refusals -= 1
            return self.refuse(http, 503)
        self.runs[http.headers["Attempt-Id"]] += 1
        if body in self.crashing:
            await self.crash(body)
        if self.hangs:
            self.hangs -= 1
            await asyncio.sleep(3600)
        if self.cuts:
            self.cuts -= 1
            assert http.transport is not None
            http.transport.abort()
        status = self.statuses.pop(0) if self.statuses else 200
        answer = f"{self.name} ran {http.headers['Attempt-Id']}".encode()
        return web.Response(status=status, headers=self.sign(http), body=answer)


class EngineSite:
    """The engines of a model, who reach each other."""

    def __init__(self, layers: int) -> None:
        self.layers = layers
        self.engines: dict[str, EngineStandin] = {}
        self.felling: set[bytes] = set()
        """Bodies of requests that end the second engine of their chain, and each that
        takes its place."""
        self.streams: list[StreamRecord] = []

    def find_obstacle(self, path: list[tuple[str, int, int]]) -> str | None:
        """Return the address of a stage that is dead or does not hold its part."""
        for address, first, end in path:
            engine = self.engines.get(address)
            if engine is None or not engine.alive or not engine.holds(first, end):
                return address
        return None


class EngineStandin(TargetStandin):
    """An engine that holds a range of layers."""

    def __init__(self, name: str, site: EngineSite) -> None:
        super().__init__(name)
        self.site = site
        self.held: tuple[int, int] | None = None
        self.born = 0
        """Unix milliseconds of its start; 0 where it does not say."""
        self.sequence = 0
        self.orders: list[dict[str, Any]] = []
        self.events = 20
        self.refusals = 0
        """Requests still to be refused for want of memory."""
        self.cut_after: int | None = None
        """Events after which the next stream breaks off in the middle of one."""
        self.resets = False
        """Whether it resets each request, and answers reports as if it were well."""
        self.forgets = False
        """Whether it has forgotten the connections that have carried a request."""
        self._known: set[object] = set()
        self._own: dict[str, StreamRecord] = {}

    async def start(self) -> None:
        """Listen and be found by the others."""
        await super().start()
        self.site.engines[self.address] = self

    def holds(self, first: int, end: int) -> bool:
        """Tell whether it holds some layers."""
        return self.held is not None and self.held[0] <= first and end <= self.held[1]

    async def handle(self, http: web.BaseRequest) -> web.StreamResponse:
        """Answer one request, report or order."""
        match http.path:
            case "/report":
                return _answer(self._report())
            case "/order":
                return self._take_order(orjson.loads(await http.read()))
        if self.forgets and http.protocol in self._known:
            assert http.transport is not None
            http.transport.abort()
            return web.Response()
        self._known.add(http.protocol)
        body = await http.read()
        self.bodies.append(body)
        if self.resets:
            assert http.transport is not None
            http.transport.abort()
        refusal = self.check_head(http)
        if refusal is not None:
            return refusal
        if self.refusals:
            self.refusals -= 1
            return self.refuse(http, 503)
        path = _read_path(http.headers["Hop-Count"])
        obstacle = self.site.find_obstacle(path)
        if obstacle is not None:
            answer = self.refuse(http, 503)
            answer.headers["At-Server"] = obstacle
            return answer
        return await self._stream(http, path, body)

    def _report(self) -> dict[str, Any]:
        stalled = []
        for record in self._own.values():
            obstacle = self.site.find_obstacle(record.path)
            if obstacle is not None:
                stalled.append({"id": record.request, "address": obstacle})
        layers = {"from": self.held[0], "target": self.held[1]} if self.held else None
        report = {
            "layers": layers,
            "busy": False,
            "sequence": self.sequence,
            "pace": 1.0,
            "stalled": stalled,
        }
        return report | ({"born": self.born} if self.born else {})

    def restart(self, born: int) -> None:
        """Start again under the same name, with nothing of before.

        :param born: Unix milliseconds.
        """
        self.born = born
        self.held = None
        self.sequence = 0

    def _take_order(self, order: dict[str, Any]) -> web.Response:
        self.orders.append(order)
        match order:
            case {"op": "place", "from": first, "target": end, "expected_rev": rev}:
                if rev != self.sequence:
                    return web.Response(status=409)
                self.held = (first, end)
                self.sequence += 1
                return web.Response(status=202)
            case {"op": "repath", "id": request, "path": text}:
                return self._reroute(request, _read_path(text))
        return web.Response(status=400)

    def _reroute(self, request: str, path: list[tuple[str, int, int]]) -> web.Response:
        record = self._own.get(request)
        if record is None:
            return web.Response(status=404)
        obstacle = self.site.find_obstacle(path)
        if obstacle is not None:
            return _answer({"address": obstacle}, 409)
        record.path = path
        return web.Response(status=200)

    async def _stream(
        self,
        http: web.BaseRequest,
        path: list[tuple[str, int, int]],
        body: bytes,
    ) -> web.StreamResponse:
        request = http.headers["Attempt-Id"]
        self.runs[request] += 1
        record = self._own[request] = StreamRecord(request, path)
        self.site.streams.append(record)
        response = web.StreamResponse(headers=self.sign(http))
        response.enable_chunked_encoding()
        await response.prepare(http)
        try:
            if body in self.crashing:
                await self.crash(body)
            while body in self.site.felling:
                await self.site.engines[record.path[1][0]].crash(body)
            await self._send_events(http, response, record)
        finally:
            self._own.pop(request, None)
        return response

    async def _send_events(
        self,
        http: web.BaseRequest,
        response: web.StreamResponse,
        record: StreamRecord,
    ) -> None:
        assert http.transport is not None
        begin = int(http.headers.get("Last-Event-Id", "0")) + 1
        cut, self.cut_after = self.cut_after, None
        for number in range(begin, self.events + 1):
            if not await self._wait_for_path(record):
                http.transport.abort()
                return
            record.passed.append(
                [layer for _, first, end in record.path for layer in range(first, end)]
            )
            event = f"id: {number}\ndata: token {number}\n\n".encode()
            if cut is not None and number > begin + cut:
                await response.write(event[:7])
                http.transport.abort()
                return
            await response.write(event)
            await asyncio.sleep(PAUSE_SECONDS)

    async def _wait_for_path(self, record: StreamRecord) -> bool:
        """Wait while a stage is missing; tell whether the stream can go on."""
        waited = 0.0
        while self.site.find_obstacle(record.path) is not None:
            if waited > STALL_SECONDS:
                return False
            await asyncio.sleep(PAUSE_SECONDS)
            waited += PAUSE_SECONDS
        return True


def _read_path(text: str) -> list[tuple[str, int, int]]:
    path = []
    for item in text.split(","):
        address, _, span = item.partition("=")
        first, _, end = span.partition("-")
        path.append((address, int(first), int(end)))
    return path


def _answer(fields: dict[str, Any], status: int = 200) -> web.Response:
    return web.Response(
        status=status, body=orjson.dumps(fields), content_type="application/json"
    )
