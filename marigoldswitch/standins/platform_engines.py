"""Stand-ins for targets of the users' platform: layered engines and a plain service.

They speak the published protocol and record what they ran, for the checks of tests.
The engines of an ``EngineCluster`` form chains: a chain through a dead engine stalls
until its path is changed.
"""

import asyncio
import socket
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

import orjson
from aiohttp import web

STALL_SECONDS = 2.0
"""Time after which a stream that waits for a dead engine is aborted."""
PAUSE_SECONDS = 0.005
"""Pause between two events of a stream."""
CRASH_DELAY_SECONDS = 0.02
"""Time from the start of a request that crashes its target to the crash."""
RESTART_SECONDS = 0.3
"""Time after which a crashed target listens again."""


class Step(Enum):
    """Points of an exchange at which a target can fall silent."""

    ACCEPTED = "accepted"
    """The request has not been read."""
    HEAD = "head"
    """The request runs; the head of the answer has not been sent."""
    FIRST = "first"
    """The head has been sent, and nothing of the body."""
    BETWEEN = "between"
    """About half of the events have been sent."""
    INSIDE = "inside"
    """A part of an event, or of a plain body, has been sent."""
    END = "end"
    """All has been sent except for the end of the body."""


@dataclass(slots=True)
class StreamRecord:
    """A stream that an engine has started.

    :param path: current stages as (address, first layer, end layer).
    :param passed: for each event, the layers that ran, in order.
    """

    request: str
    path: list[tuple[str, int, int]]
    passed: list[list[int]] = field(default_factory=list)


class TargetStandin:
    """HTTP server on a port chosen by the kernel that can crash and simulate faults.

    :ivar runs: number of runs by attempt id.
    :ivar request_headers: headers of each request that reached :meth:`check_head`.
    :ivar arrivals: when each of these arrived, in seconds of the event loop.
    :ivar statements: headers with which it states things of itself in its answers.
    :ivar awake: cleared while it reads and sends nothing; no connection is closed.
    :ivar silent_at: seconds of silence that begin when a request gets to a step, once
        for each step; targets may share one dictionary.
    :ivar choose_silent: returns the targets that fall silent then, from the one that
        has the request and the request; that one alone by default.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.address = ""
        self.runs: Counter[str] = Counter()
        self.request_headers: list[dict[str, str]] = []
        self.arrivals: list[float] = []
        self.statements: dict[str, str] = {}
        self.paths: list[str] = []
        self.bodies: list[bytes] = []
        self.alive = False
        self.awake = asyncio.Event()
        self.awake.set()
        self._silent_until = 0.0
        self.silent_at: dict[Step, float] = {}
        self.choose_silent: Callable[
            [TargetStandin, web.BaseRequest], Iterable[TargetStandin]
        ] = lambda target, _: (target,)
        self.crashing: set[bytes] = set()
        """Bodies of requests that crash the target which starts to run them."""
        self.crashes: Counter[bytes] = Counter()
        """Number of crashes that each of these bodies or parts has caused."""
        self._restart_tasks: set[asyncio.Task[None]] = set()
        self._runner: web.ServerRunner | None = None
        self._port_socket = socket.socket()
        """Reserves the port, so that nothing else answers there after a crash."""

    async def start(self) -> None:
        """Reserve a port and listen on it."""
        self._port_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._port_socket.bind(("127.0.0.1", 0))
        await self.listen()

    async def listen(self) -> None:
        """Listen on the reserved port, initially or again after a stop."""
        port = self._port_socket.getsockname()[1]
        server = web.Server(self.handle, access_log=None, handler_cancellation=True)
        self._runner = web.ServerRunner(server, shutdown_timeout=0.05)
        await self._runner.setup()
        await web.TCPSite(self._runner, "127.0.0.1", port).start()
        self.address = f"127.0.0.1:{port}"
        self.alive = True

    def release(self) -> None:
        """Cancel pending restarts and free the port."""
        for task in self._restart_tasks:
            task.cancel()
        self._port_socket.close()

    async def crash(self, body: bytes) -> None:
        """Crash because of a request, and listen again after a while.

        :param body: the request's body.
        """
        await asyncio.sleep(CRASH_DELAY_SECONDS)
        if self.alive and not self._restart_tasks:
            self.crashes[body] += 1
            task = asyncio.create_task(self._stop_and_restart())
            self._restart_tasks.add(task)
            task.add_done_callback(self._restart_tasks.discard)
        await asyncio.sleep(RESTART_SECONDS)

    async def _stop_and_restart(self) -> None:
        await self.stop()
        await asyncio.sleep(RESTART_SECONDS)
        await self.listen()

    async def stop(self) -> None:
        """Abort all connections and refuse new ones."""
        if not self.alive:
            return
        self.alive = False
        assert self._runner is not None and self._runner.server is not None
        for connection in self._runner.server.connections:
            if connection.transport is not None:
                connection.transport.abort()
        await self._runner.cleanup()

    def note_step(self, step: Step, http: web.BaseRequest) -> None:
        """Begin the silence that is due at a step of a request, if there is one."""
        if "Attempt-Id" not in http.headers or step not in self.silent_at:
            return
        seconds = self.silent_at.pop(step)
        for target in self.choose_silent(self, http):
            target.fall_silent(seconds)

    def fall_silent(self, seconds: float) -> None:
        """Read and send nothing for a while; the longest of several silences counts."""
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        self._silent_until = max(self._silent_until, until)
        self.awake.clear()
        loop.call_at(until, self._wake, until)

    def _wake(self, until: float) -> None:
        if until >= self._silent_until:
            self.awake.set()

    async def handle(self, http: web.BaseRequest) -> web.StreamResponse:
        """Answer one request."""
        raise NotImplementedError

    def check_head(self, http: web.BaseRequest) -> web.Response | None:
        """Record a request; return a refusal if it is meant for another target."""
        self.request_headers.append(dict(http.headers))
        self.arrivals.append(asyncio.get_running_loop().time())
        self.paths.append(http.raw_path)
        if http.headers.get("Expect-Replica") != self.name:
            return self.refuse(http, 421)
        return None

    def refuse(self, http: web.BaseRequest, status: int) -> web.Response:
        """Return a refusal which states that nothing has run."""
        headers = {
            "Not-Executed": "1",
            "Attempt-Id": http.headers.get("Attempt-Id", ""),
            "Replica-Id": self.name,
            **self.statements,
        }
        return web.Response(status=status, headers=headers)

    def sign(self, http: web.BaseRequest) -> dict[str, str]:
        """Return the headers which show that an answer comes from this target."""
        return {
            "Attempt-Id": http.headers.get("Attempt-Id", ""),
            "Replica-Signature": f"signed-by-{self.name}",
            **self.statements,
        }


class PlainStandin(TargetStandin):
    """Stand-in for a plain service.

    :ivar statuses: statuses of the next answers; 200 once the list is empty.
    :ivar refusals: number of next requests that are refused as not run.
    :ivar unanswered: number of next requests that run and never get an answer.
    :ivar lost_answers: number of next requests that run and lose their answer.
    :ivar seconds: time that a request takes.
    """

    def __init__(self, name: str) -> None:
        super().__init__(name)
        self.statuses: list[int] = []
        self.refusals = 0
        self.unanswered = 0
        self.lost_answers = 0
        self.seconds = 0.0

    async def handle(self, http: web.BaseRequest) -> web.StreamResponse:
        """Answer one request."""
        self.note_step(Step.ACCEPTED, http)
        await self.awake.wait()
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
        if self.unanswered:
            self.unanswered -= 1
            await asyncio.sleep(3600)
        if self.lost_answers:
            self.lost_answers -= 1
            assert http.transport is not None
            http.transport.abort()
        if self.seconds:
            await asyncio.sleep(self.seconds)
            await self.awake.wait()
        status = self.statuses.pop(0) if self.statuses else 200
        answer = f"{self.name} ran {http.headers['Attempt-Id']}".encode()
        if self.silent_at:
            return await self._answer_in_steps(http, status, answer)
        return web.Response(status=status, headers=self.sign(http), body=answer)

    async def _answer_in_steps(
        self, http: web.BaseRequest, status: int, body: bytes
    ) -> web.StreamResponse:
        """Send an answer in pieces, with the silences that are due between them."""
        response = web.StreamResponse(status=status, headers=self.sign(http))
        response.enable_chunked_encoding()
        half = len(body) // 2
        pieces = (
            (Step.FIRST, body[:half]),
            (Step.INSIDE, body[half:]),
            (Step.END, b""),
        )
        self.note_step(Step.HEAD, http)
        await self.awake.wait()
        await response.prepare(http)
        for step, piece in pieces:
            self.note_step(step, http)
            await self.awake.wait()
            if piece:
                await response.write(piece)
        await response.write_eof()
        return response


class EngineCluster:
    """Engines of one model, which can reach each other.

    :param layers: number of layers of the model.
    """

    def __init__(self, layers: int) -> None:
        self.layers = layers
        self.engines: dict[str, EngineStandin] = {}
        self.crashing_second_stage: set[bytes] = set()
        """Bodies of requests that crash the second engine of their chain, and every
        engine that replaces it."""
        self.streams: list[StreamRecord] = []

    async def wait_awake(self, record: StreamRecord) -> None:
        """Wait until no engine of a stream's chain is silent, or the path avoids it."""
        while any(
            not self.engines[address].awake.is_set()
            for address, _, _ in record.path
            if address in self.engines
        ):
            await asyncio.sleep(PAUSE_SECONDS)

    def find_unavailable_stage(self, path: list[tuple[str, int, int]]) -> str | None:
        """Return the address of the first stage that is dead or lacks its layers."""
        for address, first, end in path:
            engine = self.engines.get(address)
            if engine is None or not engine.alive or not engine.holds(first, end):
                return address
        return None


class EngineStandin(TargetStandin):
    """Stand-in for an engine that holds a range of layers.

    :ivar held: the layers as ``(first, end)``; ``None`` while it holds none.
    :ivar sequence: revision of its layers; an order must name the current one.
    :ivar events: number of events in a stream.
    :ivar statuses: statuses with which it fails the next requests, which it runs.
    :ivar crashing_parts: parts of prompts that crash the engine as it begins to answer,
        unless they come last.
    """

    def __init__(self, name: str, site: EngineCluster) -> None:
        super().__init__(name)
        self.site = site
        self.held: tuple[int, int] | None = None
        self.crashing_parts: set[str] = set()
        self.born = 0
        """Start time in Unix milliseconds; 0 if it does not report one."""
        self.sequence = 0
        self.orders: list[dict[str, Any]] = []
        self.events = 20
        self.statuses: list[int] = []
        self.refusals = 0
        """Number of next requests that are refused for lack of memory."""
        self.cut_after: int | None = None
        """Number of events after which the next stream is aborted inside an event."""
        self.reports_in_silence = False
        """Whether it answers reports while it is silent otherwise."""
        self.resets = False
        """Whether it resets each request but answers reports as if it were healthy."""
        self.drops_reused_connections = False
        """Whether it aborts a connection that already carried a request when reused."""
        self._used_connections: set[object] = set()
        self._open_streams: dict[str, StreamRecord] = {}

    async def start(self) -> None:
        """Listen and join the engines of the site."""
        await super().start()
        self.site.engines[self.address] = self

    def holds(self, first: int, end: int) -> bool:
        """Return whether it holds the layers from ``first`` to before ``end``."""
        return self.held is not None and self.held[0] <= first and end <= self.held[1]

    async def handle(self, http: web.BaseRequest) -> web.StreamResponse:
        """Answer one request, report or order."""
        self.note_step(Step.ACCEPTED, http)
        if not (self.reports_in_silence and http.path == "/report"):
            await self.awake.wait()
        match http.path:
            case "/report":
                return _answer(self._report())
            case "/order":
                return self._take_order(orjson.loads(await http.read()))
        if self.drops_reused_connections and http.protocol in self._used_connections:
            assert http.transport is not None
            http.transport.abort()
            return web.Response()
        self._used_connections.add(http.protocol)
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
        path = read_path(http.headers["Hop-Count"])
        obstacle = self.site.find_unavailable_stage(path)
        if obstacle is not None:
            answer = self.refuse(http, 503)
            answer.headers["At-Server"] = obstacle
            return answer
        if self.statuses:
            self.runs[http.headers["Attempt-Id"]] += 1
            status = self.statuses.pop(0)
            return web.Response(status=status, headers=self.sign(http))
        return await self._stream(http, path, body)

    def _report(self) -> dict[str, Any]:
        stalled = []
        for record in self._open_streams.values():
            obstacle = self.site.find_unavailable_stage(record.path)
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
        """Simulate a restart under the same name that loses the engine's layers.

        :param born: new start time in Unix milliseconds.
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
                return self._reroute(request, read_path(text))
        return web.Response(status=400)

    def _reroute(self, request: str, path: list[tuple[str, int, int]]) -> web.Response:
        record = self._open_streams.get(request)
        if record is None:
            return web.Response(status=404)
        obstacle = self.site.find_unavailable_stage(path)
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
        record = self._open_streams[request] = StreamRecord(request, path)
        self.site.streams.append(record)
        response = web.StreamResponse(headers=self.sign(http))
        response.enable_chunked_encoding()
        self.note_step(Step.HEAD, http)
        await self.site.wait_awake(record)
        await response.prepare(http)
        try:
            if body in self.crashing:
                await self.crash(body)
            for part in read_prompt_parts(http)[:-1]:
                if part in self.crashing_parts:
                    await self.crash(part.encode())
            while body in self.site.crashing_second_stage:
                await self.site.engines[record.path[1][0]].crash(body)
            await self._send_events(http, response, record)
        finally:
            self._open_streams.pop(request, None)
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
        self.note_step(Step.FIRST, http)
        for number in range(begin, self.events + 1):
            if number == self.events // 2:
                self.note_step(Step.BETWEEN, http)
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
            if Step.INSIDE in self.silent_at and number == self.events // 2:
                await response.write(event[:7])
                event = event[7:]
                self.note_step(Step.INSIDE, http)
                await self.site.wait_awake(record)
            await response.write(event)
            await asyncio.sleep(PAUSE_SECONDS)
        self.note_step(Step.END, http)
        await self.site.wait_awake(record)

    async def _wait_for_path(self, record: StreamRecord) -> bool:
        """Wait while a stage is unavailable; return whether the stream can go on."""
        await self.site.wait_awake(record)
        waited = 0.0
        while self.site.find_unavailable_stage(record.path) is not None:
            if waited > STALL_SECONDS:
                return False
            await asyncio.sleep(PAUSE_SECONDS)
            waited += PAUSE_SECONDS
        return True


def read_prompt_parts(http: web.BaseRequest) -> list[str]:
    """Return the ids of the parts of a request's prompt, in order."""
    text = http.headers.get("Prefix-Hash", "")
    return [item.partition(":")[0] for item in text.split(",")]


def read_path(text: str) -> list[tuple[str, int, int]]:
    """Return the stages of a chain as (address, first layer, end layer)."""
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
