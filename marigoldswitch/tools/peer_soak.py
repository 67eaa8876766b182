"""Soak of gateway hosts as separate processes whose connections are harmed.

It holds the hosts of a data centre against three rules: a configuration is in force
some time after the store has acknowledged it, a leaving target gets no new work, and no
stream is broken off because its engine is silent for a moment.
"""

import asyncio
import contextlib
import itertools
import signal
import socket
import sys
import tempfile
import time
from pathlib import Path
from random import Random

import aiohttp
import defopt

from marigoldswitch.answer_connections import AnswerConnector
from marigoldswitch.standins.floods import FloodingDesk
from marigoldswitch.standins.platform_engines import PlainStandin
from marigoldswitch.standins.platform_store import StoreStandin
from marigoldswitch.tools.peer_soak_checks import (
    APPLY_SECONDS,
    REFUSALS,
    RIG,
    Breach,
    Leave,
    Record,
    Reply,
    Version,
    find_breaches,
    print_report,
    read_log,
)
from marigoldswitch.tools.peer_soak_host import GRACE_SECONDS, HostProcess, watch_loop
from marigoldswitch.tools.peer_soak_proxy import (
    CALLERS,
    PEERS,
    STORE,
    Fault,
    FaultKind,
    Link,
    get_dialled_address,
    get_host_address,
    plan_faults,
)
from marigoldswitch.tools.peer_soak_streams import (
    MODEL_SERVICE,
    STREAM_ROUTES,
    StreamEngines,
    stream_from,
)

FIRST_HOST = 101
SERVICES = ("desk", "loft")
FIXED_ROUTES = tuple(f"/fixed-{number}/" for number in range(4))
STEADY_KEY = "key-of-a-workshop"
ROUTE_FIELDS = {
    "host": "drafts.example",
    "route_type": "safe",
    "timeout_ms": 3000,
    "priority": 1,
    "max_attempts": 2,
}
TARGET_FIELDS = {
    "zone": "north",
    "version": "v1",
    "slots": 96,
    "cold_remaining_ms": 0,
    "sequence": 1,
}
MAX_SILENCE_SECONDS = 2.0
LATE_SHARE_OF_GRACE = 5.0 / 6.0
"""Part of the grace period of a stop after which running streams may be cut off."""


class Soak:
    """One play. The store, targets, proxy and clients run in this process.

    :param hosts: number of hosts.
    :param seconds: duration without the start.
    :param logs: directory of the hosts' logs.
    :param silences: whether targets fall silent.
    """

    def __init__(
        self, hosts: int, seed: int, seconds: float, logs: Path, silences: bool
    ) -> None:
        self.hosts = [FIRST_HOST + number for number in range(hosts)]
        self.faults = plan_faults(Random(f"faults {seed}"), self.hosts, seconds)
        self.record = Record()
        self._seed, self._seconds = seed, seconds
        self._silences = silences
        self._reserved = socket.socket()
        self._reserved.bind(("127.0.0.1", 0))
        self._port = int(self._reserved.getsockname()[1])
        """Of all hosts; while it is reserved, no other run gets it."""
        self._processes = {
            host: HostProcess(host, self.hosts[:2], self._port, logs)
            for host in self.hosts
        }
        self._harm_lock = asyncio.Lock()
        self._links: dict[tuple[int, int], Link] = {}
        self._store = StoreStandin()
        self._targets = [
            FloodingDesk(f"{name}-{number}") for name in SERVICES for number in (0, 1)
        ]
        self._engines = StreamEngines()

    async def run(self) -> None:
        """Start everything, play, and stop it."""
        started: list[HostProcess] = []
        watch = asyncio.create_task(watch_loop(self._note_delay))
        connector = AnswerConnector(limit=0, keepalive_timeout=600.0)
        try:
            async with aiohttp.ClientSession(connector=connector) as session:
                await self._start_rig()
                for process in self._processes.values():
                    process.start()
                    started.append(process)
                    await asyncio.sleep(0.1)
                for process in started:
                    await process.wait_until_ready(session)
                await self._play(session)
        finally:
            for process in started:
                process.process.kill()
                process.process.wait()
            watch.cancel()
            for link in self._links.values():
                link.stop()
            for target in self._targets:
                await target.stop()
                target.release()
            await self._engines.stop()
            await self._store.stop()
            self._reserved.close()
        self.record.store_calls = self._store.calls
        self.record.endless = [a for target in self._targets for a in target.endless]
        for host, process in self._processes.items():
            read_log(self.record, host, process.log.read_bytes())

    def _note_delay(self, due: float, came: float) -> None:
        self.record.delays.setdefault(RIG, []).append((due, came))

    async def _start_rig(self) -> None:
        await self._store.start()
        self._publish(dict.fromkeys(FIXED_ROUTES, SERVICES[0]), (STEADY_KEY,))
        for target in self._targets:
            await target.start()
            self._put_target(target, "ready")
        for name, row in (await self._engines.start()).items():
            self._store.put("servers", name, TARGET_FIELDS | row)
        for pair in itertools.product(self.hosts, [*self.hosts, STORE]):
            receiver = get_host_address(pair[1], PEERS, self._port)
            if pair[1] == STORE:
                receiver = self._store.address
            link = Link(get_dialled_address(*pair, self._port), receiver)
            self._links[pair] = link
            await link.listen()

    def _put_target(self, target: PlainStandin, phase: str) -> None:
        service = target.name.partition("-")[0]
        row = {"service": service, "address": target.address, "phase": phase}
        self._store.put("servers", target.name, row | TARGET_FIELDS)

    def _publish(self, routes: dict[str, str], keys: tuple[str, ...]) -> None:
        """Write a configuration to the store."""
        number = len(self.record.versions) + 1
        configuration = {
            "version": number,
            "routes": [
                {"name": prefix, "prefix": prefix, "service": service, **ROUTE_FIELDS}
                for prefix, service in routes.items()
            ]
            + [ROUTE_FIELDS | route for route in STREAM_ROUTES],
            "services": [*({"name": name} for name in SERVICES), MODEL_SERVICE],
            "tenants": [{"name": "workshop", "api_keys": keys, "priority": 1}],
            "limits": {"max_body_bytes": 10_000, "idle_timeout_ms": 600_000},
        }
        self._store.put("op", "config", configuration)
        self.record.versions.append(Version(number, time.monotonic(), routes, keys))

    # The play.

    async def _play(self, session: aiohttp.ClientSession) -> None:
        self.record.began = time.monotonic()
        clients = [
            asyncio.create_task(work(session, host))
            for host in self.hosts
            for work in (self._ask, self._stream)
        ]
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._change_configurations())
                group.create_task(self._move_targets())
                group.create_task(self._flood())
                if self._silences:
                    group.create_task(self._silence_targets())
                for fault in self.faults:
                    group.create_task(self._inject(session, fault))
            await self._sleep_until(self._seconds)
        finally:
            for client in clients:
                client.cancel()

    async def _sleep_until(self, at: float) -> None:
        """Sleep until so many seconds after the start."""
        await asyncio.sleep(max(0.0, self.record.began + at - time.monotonic()))

    async def _change_configurations(self) -> None:
        """Move, add and remove routes and change keys, sometimes in a series."""
        source, at, added = Random(f"configurations {self._seed}"), 0.0, 0
        while (at := at + source.choice((0.1, 1.5, 4.0))) < self._seconds - 4.0:
            await self._sleep_until(at)
            last = self.record.versions[-1]
            routes, keys = dict(last.routes), last.keys
            moved = source.choice(FIXED_ROUTES)
            routes[moved] = SERVICES[routes[moved] == SERVICES[0]]
            if source.random() < 0.6:
                added += 1
                routes[f"/added-{added}/"] = source.choice(SERVICES)
            if len(routes) > len(FIXED_ROUTES) and source.random() < 0.5:
                del routes[list(routes)[len(FIXED_ROUTES)]]
            if source.random() < 0.4:
                keys = (STEADY_KEY, f"key-{last.number}")
            self._publish(routes, keys)

    async def _move_targets(self) -> None:
        """Let one target after the other leave and come back."""
        source, at = Random(f"targets {self._seed}"), 0.0
        while (at := at + source.uniform(1.0, 4.0)) < self._seconds - 5.0:
            await self._sleep_until(at)
            target = source.choice(self._targets)
            self._put_target(target, "draining")
            left = time.monotonic()
            at += source.uniform(3.0, 5.0)
            await self._sleep_until(at)
            self.record.leaves.append(Leave(target, left, time.monotonic()))
            self._put_target(target, "ready")

    async def _flood(self) -> None:
        """Let one target after the other answer without end for a while."""
        source, at = Random(f"floods {self._seed}"), 0.0
        while (at := at + source.uniform(1.0, 4.0)) < self._seconds - 5.0:
            await self._sleep_until(at)
            target = source.choice(self._targets)
            target.is_flooding = True
            at += source.uniform(0.5, 2.0)
            await self._sleep_until(at)
            target.is_flooding = False

    async def _silence_targets(self) -> None:
        """Let some or all targets fall silent for a moment, at any time of the play.

        Each is awake for a while between two silences.
        """
        source, at = Random(f"silences {self._seed}"), 0.0
        groups = (self._targets, self._engines.engines)
        while (at := at + source.uniform(0.5, 2.5)) < self._seconds - 3.0:
            await self._sleep_until(at)
            longest = 0.0
            for group in groups:
                count = source.choice((0, 1, 1, len(group) // 2, len(group)))
                for target in source.sample(group, count):
                    seconds = source.uniform(0.3, MAX_SILENCE_SECONDS)
                    target.fall_silent(seconds)
                    longest = max(longest, seconds)
                    self.record.silences += 1
            at += longest

    async def _inject(self, session: aiohttp.ClientSession, fault: Fault) -> None:
        await self._sleep_until(fault.at)
        links = [self._links[fault.host, item] for item in fault.receivers]
        match fault.kind:
            case FaultKind.SILENCE:
                for link in links:
                    link.silence()
            case FaultKind.RESET:
                for link in links:
                    link.reset()
            case FaultKind.DELAY:
                for link in links:
                    link.delay = fault.seconds / 10.0
                await asyncio.sleep(fault.seconds)
                for link in links:
                    link.delay = 0.0
            case FaultKind.REFUSE | FaultKind.HANG:
                await _cut(links, fault)
            case _:
                async with self._harm_lock:
                    harms = self.record.harms.setdefault(fault.host, [])
                    began = time.monotonic()
                    harms.append((began, float("inf")))
                    await self._harm_host(session, fault)
                    harms[-1] = (began, time.monotonic())

    async def _harm_host(self, session: aiohttp.ClientSession, fault: Fault) -> None:
        host = self._processes[fault.host]
        match fault.kind:
            case FaultKind.CUT_STORE:
                await _cut([self._links[fault.host, STORE]], fault)
            case FaultKind.FREEZE:
                host.process.send_signal(signal.SIGSTOP)
                await asyncio.sleep(fault.seconds)
                host.process.send_signal(signal.SIGCONT)
            case FaultKind.TERMINATE | FaultKind.KILL:
                is_kill = fault.kind is FaultKind.KILL
                cuts_from = time.monotonic()
                if not is_kill:
                    cuts_from += LATE_SHARE_OF_GRACE * GRACE_SECONDS
                host.process.send_signal(signal.SIGKILL if is_kill else signal.SIGTERM)
                await asyncio.to_thread(host.process.wait)
                ends = self.record.ends.setdefault(fault.host, [])
                ends.append((cuts_from, time.monotonic()))
                host.start()
                await host.wait_until_ready(session)

    async def _ask(self, session: aiohttp.ClientSession, host: int) -> None:
        """Send a host one request after the other, over one connection if possible."""
        source = Random(f"requests {self._seed} {host}")
        base = f"http://{get_host_address(host, CALLERS, self._port)}"
        for number in itertools.count():
            recent = self.record.versions[-3:]
            route = source.choice([item for old in recent for item in old.routes])
            key = source.choice([STEADY_KEY, *(k for old in recent for k in old.keys)])
            headers = {
                "Host": "drafts.example",
                "Attempt-Id": f"{host}-{number}",
                "Authorization": f"Token {key}",
                "Deadline-Ms": "3000",
            }
            sent, outcome, is_failed = time.monotonic(), "lost", True
            with contextlib.suppress(aiohttp.ClientError, TimeoutError):
                async with (
                    asyncio.timeout(4.0),
                    session.get(base + route, headers=headers) as answer,
                ):
                    service = (await answer.text()).partition("-")[0]
                    outcome = service if answer.status == 200 else str(answer.status)
                    is_failed = answer.status not in (200, *REFUSALS)
            now = time.monotonic()
            self.record.replies.append(
                Reply(host, sent, now, route, key, outcome, is_failed)
            )
            await asyncio.sleep(0.2)

    async def _stream(self, session: aiohttp.ClientSession, host: int) -> None:
        """Read one stream of a host after the other."""
        base = f"http://{get_host_address(host, CALLERS, self._port)}"
        for number in itertools.count():
            route = STREAM_ROUTES[number % len(STREAM_ROUTES)]
            url, request = base + route["prefix"], f"{host}-stream-{number}"
            end = await stream_from(session, url, request, STEADY_KEY)
            self.record.streams.append(end)
            await asyncio.sleep(0.2)


async def _cut(links: list[Link], fault: Fault) -> None:
    for link in links:
        await link.cut(hangs=fault.kind is not FaultKind.REFUSE)
    await asyncio.sleep(fault.seconds)
    for link in links:
        await link.heal(fault.forgets)


def play(
    hosts: int,
    seed: int,
    seconds: float,
    logs: Path,
    bound: float = APPLY_SECONDS,
    silences: bool = True,
) -> list[Breach]:
    """Play once, print the report and return what hosts did wrong.

    :param seconds: duration without the start.
    :param logs: directory of the hosts' logs.
    :param bound: seconds within which a configuration must be in force.
    :param silences: whether targets fall silent.
    """
    print(f"seed {seed}, {hosts} hosts, {seconds} s, logs in {logs}", flush=True)

    async def run() -> Soak:
        soak = Soak(hosts, seed, seconds, logs, silences)
        await soak.run()
        return soak

    soak = asyncio.run(run())
    breaches = find_breaches(soak.record, bound)
    print_report(soak.record, soak.faults, breaches)
    return breaches


def peer_soak(
    *,
    hosts: int = 9,
    seed: int = 1,
    seconds: float = 20.0,
    logs: str = "",
    bound: float = APPLY_SECONDS,
    silences: bool = True,
) -> int:
    """Run the soak; exit with 1 if a host was late or broke a stream off.

    :param hosts: number of hosts of the data centre, more than 6.
    :param seed: of faults, configurations and requests.
    :param seconds: duration without the start, more than 10.
    :param logs: existing directory for the hosts' logs.
    :param bound: seconds within which a configuration must be in force.
    :param silences: whether targets fall silent.
    """
    folder = Path(logs or tempfile.mkdtemp())
    return 1 if play(hosts, seed, seconds, folder, bound, silences) else 0


def main() -> None:
    """Entry point."""
    sys.exit(defopt.run(peer_soak))


if __name__ == "__main__":
    main()
