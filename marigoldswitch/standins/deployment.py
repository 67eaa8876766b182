"""A whole small deployment on loopback, in one process and one loop."""

import asyncio
import errno
import hashlib
import secrets
from collections.abc import Iterable
from typing import Any
from weakref import WeakSet

import aiohttp
from aiohttp import web
from result import Err, Ok, Result

from marigoldswitch.bundles import read_bundle
from marigoldswitch.compose import compose_host
from marigoldswitch.documents import write_document
from marigoldswitch.hosts import Host
from marigoldswitch.settings import Settings
from marigoldswitch.signatures import format_public_key, make_private_key
from marigoldswitch.standins.engine import Engine
from marigoldswitch.standins.journal import Journal
from marigoldswitch.standins.platform import Platform
from marigoldswitch.standins.service import PlainService
from marigoldswitch.tools.admin_client import AdminClient, CallFault

LOOPBACK = "127.0.0.1"
LAYERS = 12
WIDE_QUOTA = {"burst": 100_000.0}
"""Quota for loads that are not about quotas."""
RANGES = ((0, 4), (4, 8), (8, 12))


def digest_key(key: str) -> str:
    """Return the digest of a bearer key as bundles and settings want it."""
    return hashlib.sha256(key.encode()).hexdigest()


class CutConnector(aiohttp.TCPConnector):
    """Reaches no address that is cut, and breaks off connections to it."""

    def __init__(self, **arguments: Any) -> None:
        super().__init__(**arguments)
        self._cut: frozenset[str] = frozenset()
        self._transports: WeakSet[asyncio.BaseTransport] = WeakSet()

    def cut_off(self, addresses: Iterable[str]) -> None:
        """Cut these addresses, each ``http://IP:port``, and no others."""
        self._cut = frozenset(addresses)
        for transport in list(self._transports):
            peer = transport.get_extra_info("peername")
            if peer and f"http://{peer[0]}:{peer[1]}" in self._cut:
                transport.abort()  # type: ignore[attr-defined]

    async def connect(self, req: Any, traces: Any, timeout: Any) -> Any:
        """Open or reuse a connection."""
        if f"http://{req.url.host}:{req.url.port}" in self._cut:
            error = OSError(errno.EHOSTUNREACH, "cut off")
            raise aiohttp.ClientConnectorError(req.connection_key, error)
        connection = await super().connect(req, traces, timeout)
        if connection.transport is not None:
            self._transports.add(connection.transport)
        return connection


class Deployment:
    """Platform, engines, a booking service and hosts, with ports from the kernel.

    :param data_centres: data centre of each host.
    :param settings: settings that differ from the defaults, by section.
    :param target_centres: data centres that have targets of every service.
    """

    def __init__(
        self,
        data_centres: tuple[str, ...] = ("hobart", "hobart", "launceston"),
        settings: dict[str, Any] | None = None,
        target_centres: tuple[str, ...] = ("hobart",),
    ) -> None:
        self.platform = Platform()
        self.engines: dict[str, Engine] = {}
        self.services: dict[str, PlainService] = {}
        self.host_centres: dict[str, str] = {}
        """Data centre of each host that has been started."""
        self.journals: dict[str, Journal] = {}
        self.connectors: dict[str, CutConnector] = {}
        """How each host reaches targets and the platform."""
        self.hosts: dict[str, Host] = {}
        self.addresses: dict[str, str] = {}
        self.caller_key = secrets.token_urlsafe(16)
        self.operator_keys = {
            name: secrets.token_urlsafe(16) for name in ("ana", "ben")
        }
        self.quota: dict[str, float] = {}
        """Quota of the client account, where it is not the usual one."""
        self.signers = {name: make_private_key() for name in self.operator_keys}
        self._data_centres = data_centres
        self._target_centres = target_centres
        self._target_runners: dict[str, web.AppRunner] = {}
        self._settings = settings or {}
        self._runners: list[web.AppRunner] = []
        self._targets: dict[str, dict[str, Any]] = {}

    async def start(self) -> None:
        """Start everything but roll out no bundle."""
        self.addresses["platform"] = await self._serve(
            self.platform.build_application()
        )
        await self._start_targets()
        for number, data_centre in enumerate(self._data_centres):
            await self.start_host(f"host-{number}", data_centre)
        for host in self.hosts.values():
            await host.parts.follower.look()
        await self.wait_for_members()

    async def wait_for_members(self, seconds: float = 10.0) -> None:
        """Wait until all hosts see each other as live."""
        async with asyncio.timeout(seconds):
            while any(
                host.parts.view.members.keys() != self.hosts.keys()
                for host in self.hosts.values()
            ):
                await asyncio.sleep(0.005)

    async def start_host(self, name: str, data_centre: str) -> Host:
        """Start one host and put it on the host list."""
        self.host_centres[name] = data_centre
        self.connectors[name] = CutConnector(limit=0)
        settings = self.build_settings(name, data_centre)
        host = compose_host(settings, connector=self.connectors[name])
        await host.start()
        self.hosts[name] = host
        peers = f"{LOOPBACK}:{host.ports['peers']}"
        self.platform.add_host(name, "entry", data_centre, peers)
        return host

    async def stop(self) -> None:
        """Stop the hosts as planned, then the rest."""
        hosts = list(self.hosts.values())
        await asyncio.gather(*(host.drain() for host in hosts))
        await asyncio.gather(*(host.stop() for host in hosts))
        for runner in [*self._target_runners.values(), *reversed(self._runners)]:
            await runner.cleanup()

    async def roll_out(
        self, content: bytes, seen: int = 0, address: str = ""
    ) -> dict[str, Any]:
        """Submit, review, sign off and accept a bundle as operators do.

        :param address: a host's administration listener; the first host's by default.
        """
        address = address or self._administration
        accepted = await self.try_roll_out(content, seen, address)
        for host in self.hosts.values():
            await host.parts.follower.look()
        return accepted.unwrap()

    async def try_roll_out(
        self, content: bytes, seen: int, address: str
    ) -> Result[dict[str, Any], CallFault]:
        """Take a bundle through its life cycle; a step may be refused."""
        prepared = await self._prepare(content, address)
        if isinstance(prepared, Err):
            return prepared
        return await self._accept(prepared.ok_value, seen, address)

    async def prepare(self, content: bytes) -> str:
        """Take a bundle in YAML up to its sign-off; return its digest."""
        return (await self._prepare(content, self._administration)).unwrap()

    async def accept(self, digest: str, seen: int) -> dict[str, Any]:
        """Put a prepared bundle in force."""
        return (await self._accept(digest, seen, self._administration)).unwrap()

    @property
    def _administration(self) -> str:
        return self.get_address(next(iter(self.hosts)), "administration")

    async def _prepare(self, content: bytes, address: str) -> Result[str, CallFault]:
        canonical = read_bundle(content, "bundle").unwrap().content
        why = "prepare"
        async with aiohttp.ClientSession() as session:
            ana, ben = (
                self._build_client(session, name, address) for name in ("ana", "ben")
            )
            draft = await ana.submit(canonical, why)
            if isinstance(draft, Err):
                return draft
            digest = str(draft.ok_value["digest"])
            for step in (ana.review, ben.sign_off):
                taken = await step(digest, why)
                if isinstance(taken, Err):
                    return taken
        return Ok(digest)

    async def _accept(
        self, digest: str, seen: int, address: str
    ) -> Result[dict[str, Any], CallFault]:
        async with aiohttp.ClientSession() as session:
            client = self._build_client(session, "ben", address)
            return await client.accept(digest, seen, "roll out")

    def _build_client(
        self, session: aiohttp.ClientSession, operator: str, address: str
    ) -> AdminClient:
        key, signer = self.operator_keys[operator], self.signers[operator]
        return AdminClient(session, address, key, signer)

    async def stop_target(self, name: str) -> None:
        """End a target abruptly; its connections break off."""
        runner = self._target_runners.pop(name)
        for site in list(runner.sites):
            await site.stop()
        for connection in runner.server.connections if runner.server else ():
            if connection.transport is not None:
                connection.transport.abort()
        await runner.cleanup()
        if name in self.engines:
            self.engines[name].forget_streams()

    async def start_target(self, name: str) -> None:
        """Start a target that was ended, at its old address."""
        port = int(self.addresses[name].rpartition(":")[2])
        target = self.engines.get(name) or self.services[name]
        await self._serve_target(name, target, port)

    def get_centre(self, name: str) -> str:
        """Return the data centre of a host or a target."""
        if name in self._targets:
            return str(self._targets[name]["data_centre"])
        return self.host_centres[name]

    def get_address(self, host: str, listener: str) -> str:
        """Return the address of one of a host's listeners."""
        return f"http://{LOOPBACK}:{self.hosts[host].ports[listener]}"

    def build_settings(self, name: str, data_centre: str) -> Settings:
        """Return the settings of a host."""
        content: dict[str, Any] = {
            "host": name,
            "data_centre": data_centre,
            "region": "tas",
            "listen": dict.fromkeys(
                ("callers", "peers", "gossip", "administration"), 0
            ),
            "platform": {"address": self.addresses["platform"], "poll": 0.5},
            "peers": {"secrets": ["not-for-production"]},
            "drain": {"balancer_lag": 0.05},
            "operators": {
                operator: {
                    "key_digest": digest_key(key),
                    "roles": ["viewer", "reviewer", "releaser"],
                    "public_key": format_public_key(self.signers[operator]),
                }
                for operator, key in self.operator_keys.items()
            },
        }
        for section, values in self._settings.items():
            content[section] = content.get(section, {}) | values
        return Settings.model_validate(content)

    def build_bundle(self, **changes: Any) -> bytes:
        """Return a bundle for this deployment as YAML."""
        bundle: dict[str, Any] = {
            "brands": {
                "dollhouse": {
                    "applications": {"letters": "letters", "bookings": "bookings"}
                }
            },
            "pipelines": {
                "letters": {"service": "drafting", "max_tokens": 64},
                "bookings": {"service": "bookings"},
            },
            "services": {
                "drafting": {
                    "kind": "model",
                    "idempotent": True,
                    "layers": LAYERS,
                    "model": "letters",
                    "version": "1",
                },
                "bookings": {"kind": "plain", "idempotent": False},
            },
            "accounts": {
                "family": {
                    "brands": ["dollhouse"],
                    "key_digests": [digest_key(self.caller_key)],
                    **self.quota,
                }
            },
            "targets": self._targets,
            "links": [{"between": ["hobart", "launceston"], "seconds": 0.0005}],
        }
        return write_document(bundle | changes)

    async def _start_targets(self) -> None:
        for number, data_centre in enumerate(self._target_centres):
            suffix = f"-{data_centre}" if number else ""
            for index, layers in enumerate(RANGES):
                for replica, step in enumerate((0.001, 0.002)):
                    name = f"engine-{index}-{replica}{suffix}"
                    self.engines[name] = Engine(name, layers, step)
                    await self._add_target(
                        name,
                        data_centre,
                        service="drafting",
                        layers=list(layers),
                        speed=0.001 / step,
                        accelerator=("fast", "slow")[replica],
                    )
            desk = f"desk-{number}"
            self.services[desk] = PlainService(desk)
            await self._add_target(desk, data_centre, service="bookings")

    async def _add_target(self, name: str, data_centre: str, **fields: Any) -> None:
        target = self.engines.get(name) or self.services[name]
        address = await self._serve_target(name, target)
        self.note_target(name, data_centre, address, **fields)

    def note_target(
        self, name: str, data_centre: str, address: str, **fields: Any
    ) -> None:
        """Put a target that runs somewhere into bundles and on the host list."""
        self.addresses[name] = address
        self._targets[name] = {
            "data_centre": data_centre,
            "address": address,
            **fields,
        }
        self.platform.add_host(name, "target", data_centre, address)

    async def _serve_target(
        self, name: str, target: Engine | PlainService, port: int = 0
    ) -> str:
        application = target.build_application()
        journal = self.journals.setdefault(name, Journal())
        application.middlewares.insert(0, journal.note)
        runner = web.AppRunner(application, access_log=None, shutdown_timeout=0.1)
        self._target_runners[name] = runner
        await runner.setup()
        await web.TCPSite(runner, LOOPBACK, port).start()
        return f"http://{LOOPBACK}:{runner.addresses[0][1]}"

    async def _serve(self, application: web.Application) -> str:
        runner = web.AppRunner(application, access_log=None)
        await runner.setup()
        self._runners.append(runner)
        await web.TCPSite(runner, LOOPBACK, 0).start()
        return f"http://{LOOPBACK}:{runner.addresses[0][1]}"
