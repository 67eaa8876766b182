"""Daemons and stand-ins as separate processes, which are stopped and killed."""

import asyncio
import json
import signal
import sys
from contextlib import asynccontextmanager

import aiohttp
import yaml

from marigoldswitch.core.ids import HostId
from marigoldswitch.standins.deployment import AMPLE_QUOTA, LOOPBACK, Deployment
from marigoldswitch.tests.helpers import run_async
from marigoldswitch.tools.soak_load import Caller, EndKind

LAYER_RANGES = {"engine-0": (0, 6), "engine-1": (6, 12)}
DRAIN = {"balancer_lag": 0.5, "longest": 30.0}


class Processes:
    """Starts and stops the processes of one test, each by its own handle."""

    def __init__(self, folder) -> None:
        self.folder = folder
        self.running: dict[str, asyncio.subprocess.Process] = {}
        self.ports: dict[str, dict[str, int]] = {}
        self._readers: list[asyncio.Task[None]] = []

    async def start_standin(self, name: str, *arguments: str) -> str:
        process = self.running[name] = await asyncio.create_subprocess_exec(
            sys.executable,
            *("-m", "marigoldswitch.standins.command", *arguments),
            stdout=asyncio.subprocess.PIPE,
        )
        return (await process.stdout.readline()).decode().strip()

    async def start_daemon(self, name: str, settings: dict) -> None:
        path = self.folder / f"{name}.yaml"
        path.write_text(yaml.safe_dump(settings))
        process = self.running[name] = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "marigoldswitch.daemon", str(path)),
            stderr=asyncio.subprocess.PIPE,
        )
        while name not in self.ports:
            line = await process.stderr.readline()
            assert line, f"{name} ended before it started"
            event = json.loads(line) if line.startswith(b"{") else {}
            if event.get("event") == "host_started":
                self.ports[name] = event["ports"]
        self._readers.append(asyncio.create_task(_discard_lines(process.stderr)))

    def get_address(self, name: str, listener: str = "callers") -> str:
        return f"http://{LOOPBACK}:{self.ports[name][listener]}"

    async def stop(self) -> None:
        for process in self.running.values():
            if process.returncode is None:
                process.kill()
            await process.wait()
        await asyncio.gather(*self._readers)


async def _discard_lines(stream: asyncio.StreamReader) -> None:
    while await stream.readline():
        pass


@asynccontextmanager
async def run_processes(folder, daemons):
    """Start stand-ins and daemons; the first daemon is the seed of the others."""
    processes = Processes(folder)
    deployment = Deployment(settings={"drain": DRAIN})
    deployment.quota = AMPLE_QUOTA
    try:
        platform, desk, *engines = await asyncio.gather(
            processes.start_standin("platform", "platform"),
            processes.start_standin("desk-0", "service", "desk-0"),
            *(
                processes.start_standin(
                    name, "engine", name, "--first", str(first), "--end", str(end)
                )
                for name, (first, end) in LAYER_RANGES.items()
            ),
        )
        deployment.addresses["platform"] = platform
        deployment.register_target("desk-0", "hobart", desk, service="bookings")
        for (name, layers), address in zip(LAYER_RANGES.items(), engines, strict=True):
            deployment.register_target(
                name, "hobart", address, service="drafting", layers=list(layers)
            )
        for name in daemons:
            settings = deployment.build_settings(name, "hobart").model_dump(mode="json")
            for first in processes.ports.values():
                settings["peers"]["seeds"] = [f"{LOOPBACK}:{first['gossip']}"]
                break
            await processes.start_daemon(name, settings)
        address = processes.get_address(daemons[0], "administration")
        await deployment.roll_out(deployment.build_bundle(), address=address)
        headers = {"Authorization": f"Bearer {deployment.caller_key}"}
        async with aiohttp.ClientSession(headers=headers) as session:
            yield processes, deployment, session
    finally:
        await processes.stop()


class Balancer:
    """Polls the readiness of the daemons, as a load balancer does."""

    def __init__(self, processes: Processes, session: aiohttp.ClientSession) -> None:
        self.ready: set[str] = set()
        self._processes = processes
        self._session = session

    async def run(self) -> None:
        while True:
            for name in self._processes.ports:
                address = self._processes.get_address(name)
                try:
                    async with self._session.get(address + "/health/ready") as answer:
                        ready = answer.status == 200
                except aiohttp.ClientError:
                    ready = False
                (self.ready.add if ready else self.ready.discard)(name)
            await asyncio.sleep(0.02)

    async def wait_for(self, names: set[str]) -> None:
        while self.ready != names:
            await asyncio.sleep(0.01)


def test_callers_are_served_while_one_daemon_is_stopped_and_another_killed(tmp_path):
    daemons = ["host-0", "host-1", "host-2"]

    async def play():
        async with run_processes(tmp_path, daemons) as (processes, deployment, session):
            caller = Caller(session, processes.get_address)
            balancer = Balancer(processes, session)
            watch = asyncio.create_task(balancer.run())
            await balancer.wait_for(set(daemons))
            done = asyncio.Event()
            attempts, resent = [], []

            async def send(number: int) -> None:
                count = 0
                while not done.is_set():
                    count += 1
                    hosts = sorted(balancer.ready)
                    host = hosts[(number + count) % len(hosts)]
                    name = f"caller {number} request {count}"
                    if number % 2:
                        attempt = await caller.draft(host, name, 16)
                    else:
                        attempt = await caller.book(host, name, name)
                    attempts.append(attempt)
                    if attempt.end is EndKind.ANSWERED:
                        continue
                    if attempt.kind == "draft":
                        resent.append(await caller.draft("host-0", name, 16))
                    else:
                        resent.append(await caller.book("host-0", name, name))

            load = [asyncio.create_task(send(number)) for number in range(8)]

            async def wait_for_attempts(requests: int) -> None:
                goal = len(attempts) + requests
                while len(attempts) < goal:
                    await asyncio.sleep(0.01)

            await wait_for_attempts(40)
            processes.running["host-1"].send_signal(signal.SIGTERM)
            stopped = await processes.running["host-1"].wait()
            await wait_for_attempts(40)
            processes.running["host-2"].kill()
            await processes.running["host-2"].wait()
            await wait_for_attempts(40)
            done.set()
            await asyncio.gather(*load)
            watch.cancel()
            desk = deployment.addresses["desk-0"] + "/control/record"
            async with session.get(desk) as answer:
                ran = (await answer.json())["ran"]
            return stopped, attempts, resent, ran

    stopped, attempts, resent, ran = run_async(play())
    assert stopped == 0
    lost = [item for item in attempts if item.end is not EndKind.ANSWERED]
    assert {item.host for item in lost} <= {HostId("host-2")}, str(lost)
    assert all(
        item.end is EndKind.ANSWERED or item.error["kind"] == "outcome_unknown"
        for item in resent
    )
    assert all(item.end is EndKind.ANSWERED for item in resent if item.kind == "draft")
    assert set(ran.values()) == {1}
    answered = [item for item in [*attempts, *resent] if item.end is EndKind.ANSWERED]
    assert {item.subject for item in answered if item.kind == "booking"} <= set(ran)


def test_second_sigterm_ends_a_daemon_that_waits_for_a_stalled_stream(tmp_path):
    async def play():
        async with run_processes(tmp_path, ["host-0"]) as (
            processes,
            deployment,
            session,
        ):
            caller = Caller(session, processes.get_address)
            balancer = Balancer(processes, session)
            watch = asyncio.create_task(balancer.run())
            await balancer.wait_for({"host-0"})
            engine = deployment.addresses["engine-1"]
            async with session.post(engine + "/control/faults", json={"stall": True}):
                pass
            held = asyncio.create_task(caller.draft("host-0", "held", 8))
            metrics = processes.get_address("host-0") + "/metrics"
            shown = ""
            while "marigoldswitch_requests_held 1" not in shown:
                async with session.get(metrics) as answer:
                    shown = await answer.text()
            daemon = processes.running["host-0"]
            daemon.send_signal(signal.SIGTERM)
            await balancer.wait_for(set())
            assert daemon.returncode is None
            assert not held.done()
            daemon.send_signal(signal.SIGTERM)
            status = await daemon.wait()
            watch.cancel()
            return status, await held

    status, held = run_async(play())
    assert status == 0
    assert held.end is not EndKind.ANSWERED
