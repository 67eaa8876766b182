"""Test fixture: gateway hosts on a small platform of stand-ins."""

import asyncio
import contextlib
import copy
import random
import socket
from collections.abc import AsyncIterator

import aiohttp

from marigoldswitch.gateway.hosts import GatewayHost
from marigoldswitch.gateway.ports import Addresses, HostSettings, Identity
from marigoldswitch.platform.compose import compose_gateway
from marigoldswitch.standins.platform_engines import (
    EngineCluster,
    EngineStandin,
    PlainStandin,
    TargetStandin,
)
from marigoldswitch.standins.platform_store import StoreStandin
from marigoldswitch.tools.peer_soak_streams import LAYERS, MODEL_SERVICE

KEY = "key-of-a-workshop"
ACCOUNT = "workshop"
DATA_CENTRES = ("north", "south")


def build_configuration(version=1, timeout_ms=5_000, attempts=2, keys=(KEY,)):
    """Return a configuration with a stream, an idempotent and a one-time route."""

    def route(prefix, kind, service, **fields):
        return {
            "name": prefix,
            "host": "drafts.example",
            "prefix": prefix,
            "route_type": kind,
            "timeout_ms": timeout_ms,
            "target_latency_ms": 500,
            "priority": 1,
            "service": service,
            "max_attempts": attempts,
            **fields,
        }

    return {
        "version": version,
        "routes": [
            route("/draft/", "stream", "model", resumable=True, target_gap_ms=200),
            route("/once/", "unsafe", "desk"),
            route("/look/", "safe", "desk"),
        ],
        "services": [copy.deepcopy(MODEL_SERVICE), {"name": "desk"}],
        "tenants": [{"name": ACCOUNT, "api_keys": list(keys), "priority": 1}],
        "limits": {"max_body_bytes": 10_000, "idle_timeout_ms": 15_000},
    }


class Site:
    """Runs a store, targets and gateway hosts on loopback addresses.

    :ivar desks: targets of the plain service, which is named ``desk``.
    :ivar client: session that sends the callers' requests.
    """

    def __init__(self) -> None:
        self.store = StoreStandin()
        self.engines = EngineCluster(LAYERS)
        self.desks: list[PlainStandin] = []
        self.hosts: list[GatewayHost] = []
        self.client = aiohttp.ClientSession()
        self._reserved: list[socket.socket] = []

    async def start(self, engines: int, desks: int, hosts: int) -> None:
        """Start everything and wait until all hosts are ready.

        Engines, desks and hosts are spread evenly over the data centres.
        """
        await self.store.start()
        self.store.put("op", "config", build_configuration())
        for index in range(engines):
            await self.add_engine(f"e{index}", DATA_CENTRES[index % len(DATA_CENTRES)])
        for index in range(desks):
            desk = PlainStandin(f"d{index}")
            await desk.start()
            self.desks.append(desk)
            self.register_target(desk, "desk", DATA_CENTRES[index % len(DATA_CENTRES)])
        for index in range(hosts):
            await self.add_host(f"h{index}", DATA_CENTRES[index % len(DATA_CENTRES)])
        await self.wait_until(lambda: all(host.is_ready for host in self.hosts))

    async def add_engine(
        self, name: str, data_centre: str, held: tuple[int, int] | None = None
    ) -> EngineStandin:
        """Start an engine and write its row to the store.

        :param held: first and end of the layers that it holds, if any.
        """
        engine = EngineStandin(name, self.engines)
        engine.held = held
        await engine.start()
        self.register_target(engine, "model", data_centre)
        return engine

    def register_target(
        self,
        target: TargetStandin,
        service: str,
        data_centre: str,
        phase: str = "ready",
        name: str | None = None,
    ) -> None:
        """Write a target's row to the store.

        :param name: key of the row; the target's own name by default.
        """
        held = getattr(target, "held", None)
        row = {
            "service": service,
            "address": target.address,
            "zone": data_centre,
            "version": "v1",
            "slots": 96,
            "phase": phase,
            "cold_remaining_ms": 0,
            "sequence": 1,
            "route_type": "card" if service == "model" else "",
            "layers": {"from": held[0], "target": held[1]} if held else None,
        }
        if getattr(target, "born", 0):
            row["born"] = target.born
        self.store.put("servers", name or target.name, row)

    async def add_host(
        self, name: str, data_centre: str, seeds: tuple[str, ...] = ()
    ) -> GatewayHost:
        """Start a gateway host.

        :param seeds: addresses of the peer listeners of other hosts.
        """
        reserved = [_reserve_port() for _ in range(4)]
        self._reserved += reserved
        ports = (item.getsockname()[1] for item in reserved)
        callers, readiness, peers, proxied = (f"127.0.0.1:{port}" for port in ports)
        settings = HostSettings(
            Identity(peers, name, data_centre, "isle"),
            Addresses(callers, readiness, peers, proxied=proxied),
            seeds,
            stop_seconds=3.0,
            is_first_start=True,
        )
        host = compose_gateway(settings, self.store.address, source=random.Random(7))
        await host.start()
        self.hosts.append(host)
        return host

    async def stop(self) -> None:
        """Stop everything."""
        for host in self.hosts:
            await host.stop()
        await self.client.close()
        for target in [*self.engines.engines.values(), *self.desks]:
            await target.stop()
            target.release()
        await self.store.stop()
        for reserved in self._reserved:
            reserved.close()

    async def wait_until(self, condition, seconds: float = 10.0) -> None:
        """Wait until a condition is true, checking it every 10 ms."""
        async with asyncio.timeout(seconds):
            while not condition():
                await asyncio.sleep(0.01)

    async def wait_for_layout(self) -> None:
        """Wait until, at every host, all engines that it knows hold layers."""
        await self.wait_until(
            lambda: all(
                all(item.layers is not None for item in _list_engines(host))
                for host in self.hosts
            )
        )

    def call(self, path: str, number: int, host: int = 0, **fields):
        """Start a caller's request; use the result as an async context manager.

        :param number: makes the id of the request.
        :param host: index of the host that gets it.
        """
        headers = {
            "Host": "drafts.example",
            "Attempt-Id": f"try-{number}",
            "Authorization": f"Token {KEY}",
            "Deadline-Ms": "4000",
            "Token-Usage": "100,50",
            **fields.pop("headers", {}),
        }
        address = self.hosts[host].parts.settings.addresses.callers
        return self.client.request(
            fields.pop("method", "POST"),
            f"http://{address}{path}",
            headers=headers,
            **{"data": b"{}", **fields},
        )


def _list_engines(host: GatewayHost):
    targets = host.parts.runs.directory.registry.targets.values()
    return [item for item in targets if item.service == "model"]


def _reserve_port() -> socket.socket:
    """Return a bound socket that reserves a free port for a listener.

    It does not listen; while it is open, the kernel gives the port to nobody else.
    """
    bound = socket.socket()
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    bound.bind(("127.0.0.1", 0))
    return bound


@contextlib.asynccontextmanager
async def run_site(
    engines: int = 0, desks: int = 0, hosts: int = 1
) -> AsyncIterator[Site]:
    """Run a site of stand-ins and hosts, and stop it at the end."""
    site = Site()
    try:
        await site.start(engines, desks, hosts)
        yield site
    finally:
        await site.stop()


def list_event_ids(body: bytes) -> list[int]:
    """Return the ids of the events in the body of a stream."""
    lines = body.decode().splitlines()
    return [int(line[4:]) for line in lines if line.startswith("id: ")]


ALL_EVENTS = list(range(1, 21))
"""Ids of the events of a stream without faults."""


def run_scenario(scenario):
    """Run a scenario to its end in an event loop of its own."""
    asyncio.run(scenario)


def check_layers(site):
    """Assert that every event passed every layer once, in order."""
    for record in site.engines.streams:
        for layers in record.passed:
            assert layers == list(range(LAYERS))


def get_targets(site):
    """Return the targets in the registry of the first host, by id."""
    return site.hosts[0].parts.runs.directory.registry.targets


ODD_PATHS = ("2f?", "2f??", "?", "2f?x=%20&", "/../2f;b?c?d", "%7e%2F?%3f", "2f#x?")
"""Ends of paths that HTTP clients tend to change."""


async def send_raw(site, path, number, host=0):
    """Send a request with a path as it is, and return the status."""
    address, _, port = site.hosts[host].settings.addresses.callers.rpartition(":")
    reader, writer = await asyncio.open_connection(address, int(port))
    head = (
        f"POST {path} HTTP/1.1\r\nHost: drafts.example\r\nAttempt-Id: try-{number}\r\n"
        f"Authorization: Token {KEY}\r\nContent-Length: 2\r\nConnection: close\r\n\r\n"
    )
    writer.write(head.encode() + b"{}")
    answer = await reader.read()
    writer.close()
    return int(answer.split()[1])
