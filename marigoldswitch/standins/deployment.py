"""A whole small deployment on loopback, in one process and one loop."""

import asyncio
import hashlib
import secrets
from typing import Any

import aiohttp
from aiohttp import web

from marigoldswitch.bundles import read_bundle
from marigoldswitch.compose import compose_host
from marigoldswitch.documents import write_document
from marigoldswitch.hosts import Host
from marigoldswitch.settings import Settings
from marigoldswitch.signatures import format_public_key, make_private_key
from marigoldswitch.standins.engine import Engine
from marigoldswitch.standins.platform import Platform
from marigoldswitch.standins.service import PlainService
from marigoldswitch.tools.admin_client import AdminClient

LOOPBACK = "127.0.0.1"
LAYERS = 12
RANGES = ((0, 4), (4, 8), (8, 12))


def digest_key(key: str) -> str:
    """Return the digest of a bearer key as bundles and settings want it."""
    return hashlib.sha256(key.encode()).hexdigest()


class Deployment:
    """Platform, engines, a booking service and hosts, with ports from the kernel.

    :param data_centres: data centre of each host.
    :param settings: settings that differ from the defaults, by section.
    """

    def __init__(
        self,
        data_centres: tuple[str, ...] = ("hobart", "hobart", "launceston"),
        settings: dict[str, Any] | None = None,
    ) -> None:
        self.platform = Platform()
        self.engines: dict[str, Engine] = {}
        self.services: dict[str, PlainService] = {}
        self.hosts: dict[str, Host] = {}
        self.addresses: dict[str, str] = {}
        self.caller_key = secrets.token_urlsafe(16)
        self.operator_keys = {
            name: secrets.token_urlsafe(16) for name in ("ana", "ben")
        }
        self.signers = {name: make_private_key() for name in self.operator_keys}
        self._data_centres = data_centres
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
        host = compose_host(self.build_settings(name, data_centre))
        await host.start()
        self.hosts[name] = host
        peers = f"{LOOPBACK}:{host.ports['peers']}"
        self.platform.add_host(name, "entry", data_centre, peers)
        return host

    async def stop(self) -> None:
        """Stop the hosts as planned, then the rest."""
        for host in self.hosts.values():
            await host.drain()
            await host.stop()
        for runner in reversed(self._runners):
            await runner.cleanup()

    async def roll_out(self, content: bytes, seen: int = 0) -> dict[str, Any]:
        """Submit, review, sign off and accept a bundle as operators do."""
        address = self.get_address(next(iter(self.hosts)), "administration")
        canonical = read_bundle(content, "bundle").unwrap().content
        async with aiohttp.ClientSession() as session:
            ana, ben = (
                AdminClient(session, address, key, self.signers[name])
                for name, key in self.operator_keys.items()
            )
            why = "roll out"
            draft = (await ana.submit(canonical, why)).unwrap()
            (await ana.review(draft["digest"], why)).unwrap()
            (await ben.sign_off(draft["digest"], why)).unwrap()
            accepted = (await ben.accept(draft["digest"], seen, why)).unwrap()
        for host in self.hosts.values():
            await host.parts.follower.look()
        return accepted

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
                    "burst": 20_000.0,
                }
            },
            "targets": self._targets,
            "links": [{"between": ["hobart", "launceston"], "seconds": 0.0005}],
        }
        return write_document(bundle | changes)

    async def _start_targets(self) -> None:
        for index, layers in enumerate(RANGES):
            for replica, step in enumerate((0.001, 0.002)):
                name = f"engine-{index}-{replica}"
                engine = self.engines[name] = Engine(name, layers, step)
                address = await self._serve(engine.build_application())
                self._add_target(
                    name,
                    "drafting",
                    address,
                    layers=list(layers),
                    speed=0.001 / step,
                    accelerator=("fast", "slow")[replica],
                )
        service = self.services["desk-0"] = PlainService("desk-0")
        address = await self._serve(service.build_application())
        self._add_target("desk-0", "bookings", address)

    def _add_target(self, name: str, service: str, address: str, **fields: Any) -> None:
        self.addresses[name] = address
        self._targets[name] = {
            "service": service,
            "data_centre": "hobart",
            "address": address,
            **fields,
        }
        self.platform.add_host(name, "target", "hobart", address)

    async def _serve(self, application: web.Application) -> str:
        runner = web.AppRunner(application, access_log=None)
        await runner.setup()
        self._runners.append(runner)
        await web.TCPSite(runner, LOOPBACK, 0).start()
        return f"http://{LOOPBACK}:{runner.addresses[0][1]}"
