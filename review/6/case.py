"""Routes of a kind that is unusual for their service, added by a new configuration.

A stream route of a plain service, and an unsafe route of a model service.
"""

import asyncio
import contextlib
import signal

import aiohttp
from aiohttp import web
from harness import Deployment, Record, is_troubled, run

from marigoldswitch.standins.platform_engines import (
    EngineCluster,
    EngineStandin,
    PlainStandin,
    StreamRecord,
)

FIRST_ROUTES = ("/look/", "/once/", "/draft/")
NOTES = "/notes/"
"""A stream route of the plain service; a safe one without the disruption."""
SUMMARY = "/summary/"
"""An unsafe route of the model service; a stream route without the disruption."""
LATER_ROUTES = (NOTES, SUMMARY)
EVENTS = 5
LAYERS = 8
APPLY_SECONDS = 2.0
"""``config_apply_ms``."""
LEAST_REQUESTS = 20
LEAST_SHARE = 0.25
"""The rule's numbers: 20 requests, a quarter as often."""


class Desk(PlainStandin):
    """A replica of the booking desk, which answers the stream route with events."""

    async def handle(self, http: web.BaseRequest) -> web.StreamResponse:
        """Answer one request."""
        if not http.path.startswith(NOTES) or not is_troubled():
            return await super().handle(http)
        await http.read()
        refusal = self.check_head(http)
        if refusal is not None:
            return refusal
        self.runs[http.headers["Attempt-Id"]] += 1
        headers = {**self.sign(http), "Content-Type": "text/event-stream"}
        response = web.StreamResponse(headers=headers)
        response.enable_chunked_encoding()
        await response.prepare(http)
        first = int(http.headers.get("Last-Event-Id", "0")) + 1
        for number in range(first, EVENTS + 1):
            await response.write(f"id: {number}\ndata: {number}\n\n".encode())
            await asyncio.sleep(0.01)
        return response

    def build_row(self) -> dict:
        """Return its entry in the store."""
        return {
            "service": "bookings",
            "address": self.address,
            "zone": "hobart",
            "version": "v1",
            "slots": 6,
            "phase": "ready",
            "cold_remaining_ms": 0,
            "sequence": 1,
        }


class Engine(EngineStandin):
    """A replica with a whole model, which answers the unsafe route with one text.

    :ivar completed: requests on that route that it has run and answered.
    """

    def __init__(self, name: str, cluster: EngineCluster) -> None:
        super().__init__(name, cluster)
        self.completed: set[str] = set()
        self.events = EVENTS

    async def _stream(
        self, http: web.BaseRequest, path: list[tuple[str, int, int]], body: bytes
    ) -> web.StreamResponse:
        if not http.path.startswith(SUMMARY) or not is_troubled():
            return await super()._stream(http, path, body)
        request = http.headers["Attempt-Id"]
        self.runs[request] += 1
        self.site.streams.append(StreamRecord(request, path))
        self.completed.add(request)
        return web.Response(headers=self.sign(http), body=b'{"text": "a summary"}')

    def build_row(self) -> dict:
        """Return its entry in the store."""
        layers = {"from": self.held[0], "target": self.held[1]} if self.held else None
        return {
            "service": "drafting",
            "address": self.address,
            "zone": "hobart",
            "version": "v1",
            "slots": 96,
            "phase": "ready",
            "cold_remaining_ms": 0,
            "sequence": 1,
            "route_type": "a100",
            "layers": layers,
        }


def build_route(prefix: str, kind: str, **fields: object) -> dict:
    """Return a route, by default to the booking desk."""
    return {
        "name": f"r{prefix.strip('/')}",
        "host": "desk.example",
        "prefix": prefix,
        "route_type": kind,
        "timeout_ms": 5000,
        "target_latency_ms": 500,
        "priority": 1,
        "service": "bookings",
        "max_attempts": 2,
        "public": False,
        **fields,
    }


def build_configuration(version: int, is_later: bool) -> dict:
    """Return the first configuration, or the later one, which has further routes."""
    stream = {"resumable": True, "target_gap_ms": 200}
    draft = {"service": "drafting", "sticky": True}
    routes = [
        build_route("/look/", "safe"),
        build_route("/once/", "unsafe"),
        build_route("/draft/", "stream", **stream, **draft),
    ]
    if is_later and is_troubled():
        routes.append(build_route(NOTES, "stream", **stream))
        routes.append(build_route(SUMMARY, "unsafe", **draft))
    elif is_later:
        routes.append(build_route(NOTES, "safe"))
        routes.append(build_route(SUMMARY, "stream", **stream, **draft))
    engine = {
        "slots": 96,
        "kv_bytes": 800_000,
        "step_ms": 1.0,
        "per_seq_ms": 0.01,
        "context_per_k": 0.02,
        "read_per_s": 100_000.0,
        "models": [{"name": "drafts", "load_s": 0.5}],
        "loads_at_once": 5,
        "layers": LAYERS,
        "layer_mb": 1750.0,
        "activation_bytes": 1000,
        "pipe_mbps": 18_000.0,
        "kinds": [
            {"name": "a100", "size_mb": 72_000.0, "pace": 2.4, "read_factor": 3.2}
        ],
    }
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": "bookings",
                "health_path": "/healthz",
                "max_conns": 100,
                "protocol": "h1",
                "tls": False,
            },
            {
                "name": "drafting",
                "health_path": "/healthz",
                "max_conns": 1128,
                "protocol": "h1",
                "tls": False,
                "engine": engine,
            },
        ],
        "tenants": [{"name": "workshop", "api_keys": ["k1"], "priority": 1}],
        "limits": {},
    }


class Case:
    """The deployment and what its clients get."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.site = Deployment(record)
        cluster = EngineCluster(LAYERS)
        self.engines = [Engine(f"i-draft-{name}", cluster) for name in "ab"]
        self.replicas: list[Desk | Engine] = [Desk(f"i-desk-{name}") for name in "abc"]
        self.replicas += self.engines
        self.lost = 0
        """Requests that a replica has run and answered whole, and that failed."""
        self.asked: dict[str, int] = {}
        self.served: dict[str, int] = {}
        self.number = 0

    async def call(self, session: aiohttp.ClientSession, prefix: str) -> None:
        """Send one request and record its answer."""
        self.number += 1
        request = f"a{self.number:08x}"
        host = self.site.hosts[self.number % len(self.site.hosts)]
        headers = {
            "Host": "desk.example",
            "Attempt-Id": request,
            "Authorization": "Token k1",
            "Deadline-Ms": "5000",
        }
        if prefix in ("/draft/", SUMMARY):
            headers |= {"Model": "drafts", "Token-Usage": "800,60"}
        status, body = 0, b""
        with contextlib.suppress(aiohttp.ClientError, TimeoutError):
            async with session.post(
                f"http://{host.callers}{prefix}2f",
                headers=headers,
                data=b"{}",
                timeout=aiohttp.ClientTimeout(total=6),
            ) as reply:
                body = await reply.read()
                status = reply.status
        runs = sum(item.runs[request] for item in self.replicas)
        self.asked[prefix] = self.asked.get(prefix, 0) + 1
        is_served = status == 200 and runs > 0
        self.served[prefix] = self.served.get(prefix, 0) + is_served
        is_whole = any(request in item.completed for item in self.engines)
        self.lost += is_whole and not is_served
        self.record.note(
            f"{request} {prefix} at {host.name}: {status}, runs {runs}, {body[:60]!r}"
        )

    async def send(self, prefixes: tuple[str, ...], count: int) -> None:
        """Send requests for each prefix, five a second."""
        async with aiohttp.ClientSession() as session:
            calls = []
            for _ in range(count):
                calls += [
                    asyncio.create_task(self.call(session, prefix))
                    for prefix in prefixes
                ]
                await asyncio.sleep(0.2)
            await asyncio.gather(*calls)

    async def play(self) -> list[str]:
        """Play the case; return the faults."""
        site, record = self.site, self.record
        for item in self.replicas:
            await item.start()
        await site.start(build_configuration(3, is_later=False), 3)
        for item in self.replicas:
            site.store.put("servers", item.name, item.build_row())
        await site.wait_until_ready()
        await asyncio.sleep(4.0)
        for item in self.engines:
            site.store.put("servers", item.name, item.build_row())
            record.note(f"{item.name} holds {item.held}")
        await self.send(FIRST_ROUTES, 15)
        later = build_configuration(7, is_later=True)
        for route in later["routes"][-2:]:
            record.note(f"the store acknowledges a further route: {route}")
        site.store.put("op", "config", later)
        await asyncio.sleep(APPLY_SECONDS + 3.0)
        await self.send((*FIRST_ROUTES, *LATER_ROUTES), 50)
        return self.judge()

    def judge(self) -> list[str]:
        """Return the later routes that are not served as the rule asks."""
        first = sum(self.served[item] for item in FIRST_ROUTES)
        first_share = first / sum(self.asked[item] for item in FIRST_ROUTES)
        self.record.note(f"first routes served: {first_share:.2f}")
        self.record.note(f"run, answered whole by a replica, and failed: {self.lost}")
        faults = []
        for route in LATER_ROUTES:
            asked, served = self.asked[route], self.served[route]
            self.record.note(f"{route}: {served} of {asked} served")
            if asked >= LEAST_REQUESTS and served / asked < LEAST_SHARE * first_share:
                faults.append(
                    f"{served} of {asked} requests on {route}, which was added later,"
                    f" were served, of those on the first routes {first_share:.2f}"
                )
        return faults


async def main(record: Record) -> list[str]:
    """Play the case and end all processes."""
    case = Case(record)
    try:
        return await case.play()
    finally:
        for host in case.site.hosts:
            if host.process is not None and host.process.poll() is None:
                host.signal(signal.SIGTERM)
        await asyncio.sleep(0.2)
        await case.site.stop()
        for item in case.replicas:
            await item.stop()
            item.release()


if __name__ == "__main__":
    run(main)
