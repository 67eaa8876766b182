"""A host of the peer soak: the platform's daemon, which dials its peers at the proxy.

It also logs how late its event loop runs, so that a busy machine can be told from a
slow host.
"""

import asyncio
import contextlib
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import Any
from unittest.mock import patch

import aiohttp
import orjson
import structlog

from marigoldswitch.core.ids import HostId
from marigoldswitch.gateway.hosts import GatewayHost
from marigoldswitch.gateway.ports import HostSettings
from marigoldswitch.peers import PeerNetwork
from marigoldswitch.platform import compose, daemon
from marigoldswitch.tools.peer_soak_proxy import (
    CALLERS,
    METRICS,
    PEERS,
    READINESS,
    STORE,
    get_dialled_address,
    get_host_address,
)

logger = structlog.get_logger(__name__)

LOOP_TICK_SECONDS = 0.05
MIN_LATE_SECONDS = 0.02
"""Lateness of a tick below which it is not noted."""
START_TIMEOUT_SECONDS = 90.0
GRACE_SECONDS = 3.5
BOUNDS = {
    "grace_s": GRACE_SECONDS,
    "contact_ms": 3000,
    "drain_ms": 2000,
    "config_apply_ms": 2000,
}


class HostProcess:
    """The process of a host, which may end and be started again.

    :param seeds: numbers of hosts that it knows at first.
    :param port: of all its listeners.
    :param logs: directory of its settings file and its log.
    """

    def __init__(self, host: int, seeds: list[int], port: int, logs: Path) -> None:
        def locate(listener: int) -> str:
            return get_host_address(host, listener, port)

        self.settings: dict[str, Any] = {
            "node_name": f"host-{host}",
            "ip": locate(METRICS).partition(":")[0],
            "zone": "north",
            "region": "isle",
            "listen": {
                "frontend": locate(CALLERS),
                "ready": locate(READINESS),
                "control_plane": locate(PEERS),
            },
            "port_range": [port, port],
            "seeds": [get_host_address(seed, PEERS, port) for seed in seeds],
            "bounds": BOUNDS,
            "platform": {"address": get_dialled_address(host, STORE, port)},
            "bootstrap": True,
        }
        self.log = logs / f"host-{host}.log"
        self._path = logs / f"host-{host}.json"
        self._readiness = f"http://{locate(READINESS)}/"

    def start(self) -> None:
        """Start the process."""
        self._path.write_bytes(orjson.dumps(self.settings))
        self.settings["bootstrap"] = False
        command = [sys.executable, "-m", __name__, str(self._path)]
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                command, stdout=log, stderr=subprocess.STDOUT
            )

    async def wait_until_ready(self, session: aiohttp.ClientSession) -> None:
        """Wait until it may get callers."""
        async with asyncio.timeout(START_TIMEOUT_SECONDS):
            while True:
                with contextlib.suppress(aiohttp.ClientError):
                    async with session.get(self._readiness) as answer:
                        if answer.status == 200:
                            return
                await asyncio.sleep(0.1)


class ProxiedNetwork(PeerNetwork):
    """Peer network that reaches the other hosts through the proxy."""

    def __init__(
        self, host: HostId, secrets: Any, locate: Any, *others: Any, **named: Any
    ) -> None:
        sender, _ = _split(host)

        def find_proxy(peer: HostId) -> str:
            return get_dialled_address(sender, *_split(peer))

        super().__init__(host, secrets, find_proxy, *others, **named)


def _split(host: HostId) -> tuple[int, int]:
    """Return the number of a host and its port."""
    address, _, port = host.rpartition(":")
    return int(address.split(".")[1]), int(port)


async def watch_loop(note: Callable[[float, float], None]) -> None:
    """Report each late tick of the event loop, until cancelled.

    :param note: gets the monotonic times at which a tick was due and at which it came.
    """
    while True:
        due = time.monotonic() + LOOP_TICK_SECONDS
        await asyncio.sleep(LOOP_TICK_SECONDS)
        now = time.monotonic()
        if now - due > MIN_LATE_SECONDS:
            note(due, now)


def main() -> None:
    """Run a host with the settings file that the command line names."""
    compose_gateway, tasks = compose.compose_gateway, []

    def compose_host(settings: HostSettings, store_address: str) -> GatewayHost:
        def note(due: float, came: float) -> None:
            logger.info("loop_late", due=due, came=came)

        tasks.append(asyncio.create_task(watch_loop(note)))
        source = Random(settings.identity.name)
        return compose_gateway(settings, store_address, source=source)

    with (
        patch.object(compose, "PeerNetwork", ProxiedNetwork),
        patch.object(daemon, "compose_gateway", compose_host),
    ):
        sys.exit(daemon.serve(settings_file=Path(sys.argv[1])))


if __name__ == "__main__":
    main()
