"""A long randomised run: real daemons and stand-ins, faults, a load, invariants."""

import asyncio
import logging
import sys
import time
from collections import Counter, deque
from pathlib import Path
from random import Random
from typing import Any

import aiohttp
import defopt
import orjson
import structlog

from marigoldswitch.standins.deployment import WIDE_QUOTA, Deployment
from marigoldswitch.tools.soak_checks import Checks, list_unrest
from marigoldswitch.tools.soak_faults import FaultPlayer
from marigoldswitch.tools.soak_load import Attempt, Caller, Load
from marigoldswitch.tools.soak_recovery import Recoveries
from marigoldswitch.tools.soak_report import Figures, print_report, print_trace

CENTRES = (
    "hobart", "hobart", "hobart", "launceston", "launceston", "launceston",
    "devonport", "devonport",
)  # fmt: skip
POLL_SECONDS = 0.5
BALANCER_LAG = 0.3
ROUND_SECONDS = 20.0
FAULT_SECONDS = 1.2
"""Mean time between two faults."""
REST_SECONDS = 40.0
"""Longest time after the last fault until everything must be at rest."""
LOOK_SECONDS = 0.05
COLLECT_EVERY = 20
LOG_LENGTH = 50_000
MINUTE = 60.0
SETTINGS: dict[str, Any] = {
    "platform": {"poll": POLL_SECONDS},
    "drain": {"balancer_lag": BALANCER_LAG, "longest": 30.0},
}


class Soak:
    """One run.

    :param rate: requests a second.
    """

    def __init__(self, seed: int, rate: float, record: Path | None) -> None:
        self.seed = seed
        self.logs: deque[dict[str, Any]] = deque(maxlen=LOG_LENGTH)
        self.figures = Figures()
        self._random = Random(seed)
        self._rate = rate
        self._record = record
        self._ready: dict[str, float] = {}
        self._began = 0.0

    async def run(self, minutes: float) -> bool:
        """Run for so long; return whether everything held."""
        self._keep_logs()
        self.deployment = Deployment(
            CENTRES, SETTINGS, ("hobart", "launceston", "devonport")
        )
        self.deployment.quota = WIDE_QUOTA
        await self.deployment.start()
        await self.deployment.roll_out(self.deployment.build_bundle())
        self.player = FaultPlayer(self.deployment)
        self.checks = Checks(self.deployment, self.player, POLL_SECONDS)
        self.recoveries = Recoveries(self.deployment, self.player)
        self.figures.recoveries = self.recoveries.seconds
        headers = {"Authorization": f"Bearer {self.deployment.caller_key}"}
        connector = aiohttp.TCPConnector(limit=0, force_close=True)
        watch = asyncio.create_task(self._watch())
        async with aiohttp.ClientSession(
            headers=headers, connector=connector
        ) as session:
            caller = Caller(session, self._find_address)
            self.load = Load(caller, self._random, self._list_ready, self._rate)
            self._began = time.monotonic()
            until = self._began + minutes * MINUTE
            while time.monotonic() < until and not self.checks.breaches:
                left = until - time.monotonic()
                await self._play_round(min(ROUND_SECONDS, max(2.0, left)))
        watch.cancel()
        await self.deployment.stop()
        self._sort_record()
        print_report(self.seed, self.figures, self.checks.breaches)
        return not self.checks.breaches

    async def _play_round(self, seconds: float) -> None:
        """Faults under load, then rest; then judge everything that was sent."""
        load = asyncio.create_task(self.load.run(seconds))
        await self._play_faults(seconds)
        healed = time.monotonic()
        await load
        await self._await_rest(healed)
        attempts = self.load.attempts
        self._note_attempts(attempts)
        self.checks.judge(attempts)
        if self.checks.breaches:
            print_trace(
                self.seed, self.checks.breaches, attempts, self.player, self.logs
            )
        self.load.attempts = []
        self.player.stretches.clear()
        self.player.races.clear()

    async def _play_faults(self, seconds: float) -> None:
        until = time.monotonic() + seconds
        tasks: list[asyncio.Task[None]] = []
        while time.monotonic() < until:
            fault = self.player.choose(self._random)
            if fault is not None:
                self._write(fault.describe(self._began))
                self.figures.faults[fault.kind.value] += 1
                tasks.append(asyncio.create_task(self.player.play(fault)))
            await asyncio.sleep(self._random.expovariate(1 / FAULT_SECONDS))
        await asyncio.gather(*tasks)

    async def _await_rest(self, healed: float) -> None:
        until = time.monotonic() + REST_SECONDS
        began = time.monotonic()
        while unrest := list_unrest(self.deployment):
            if time.monotonic() > until:
                self.checks._note(f"not at rest: {unrest}")
                return
            await asyncio.sleep(LOOK_SECONDS)
        self.figures.rests.append(time.monotonic() - began)
        self.figures.heals.append(time.monotonic() - healed)

    async def _watch(self) -> None:
        """Look at the deployment all the time, as the balancer does too."""
        looks = 0
        while True:
            before = time.monotonic()
            await asyncio.sleep(LOOK_SECONDS)
            late = time.monotonic() - before - LOOK_SECONDS
            self.figures.slowest_loop = max(self.figures.slowest_loop, late)
            looks += 1
            self.checks.look()
            self.recoveries.look()
            if looks % COLLECT_EVERY == 0:
                self.checks.collect()
            self._look_as_balancer()

    def _look_as_balancer(self) -> None:
        now = time.monotonic()
        for name, host in self.deployment.hosts.items():
            if host.parts.state.ready and host.parts.adoption.bundle is not None:
                self._ready[name] = now

    def _list_ready(self) -> list[str]:
        newest = time.monotonic() - BALANCER_LAG / 2
        return sorted(name for name, seen in self._ready.items() if seen >= newest)

    def _find_address(self, host: str) -> str:
        return self.deployment.get_address(host, "callers")

    def _note_attempts(self, attempts: list[Attempt]) -> None:
        for attempt in attempts:
            attempt.faults = self.player.list_active(attempt.began)
            self.figures.take(attempt, self.player)
            self._write(attempt.record(self._began))

    def _sort_record(self) -> None:
        """Put the lines of a record in the order in which they began."""
        if self._record is not None and self._record.exists():
            lines = self._record.read_bytes().splitlines()
            lines.sort(key=lambda line: orjson.loads(line)["at"])
            self._record.write_bytes(b"\n".join(lines) + b"\n")

    def _write(self, line: dict[str, Any]) -> None:
        if self._record is not None:
            with self._record.open("ab") as file:
                file.write(orjson.dumps(line) + b"\n")

    def _keep_logs(self) -> None:
        def keep(logger: object, method: str, event: Any) -> Any:
            self.logs.append({"at": time.monotonic(), **event})
            raise structlog.DropEvent

        structlog.configure(processors=[keep], cache_logger_on_first_use=False)
        logging.getLogger().handlers = [_Unhandled(self.figures.unhandled)]


class _Unhandled(logging.Handler):
    """Counts the errors that nobody handled."""

    def __init__(self, counts: Counter[str]) -> None:
        super().__init__(logging.ERROR)
        self._counts = counts

    def emit(self, record: logging.LogRecord) -> None:
        """Count one error."""
        error = record.exc_info[1] if record.exc_info else None
        what = repr(error) if error else record.getMessage()
        self._counts[f"{record.name}: {what}"[:120]] += 1


def soak(
    *, seed: int = 1, minutes: float = 1.0, rate: float = 40.0, record: str = ""
) -> int:
    """Run the soak; exit with 1 if something did not hold.

    :param seed: seed of faults and load.
    :param minutes: how long it runs, the rests between rounds included.
    :param rate: requests a second.
    :param record: file to write faults and requests to, as JSON lines.
    """
    print(f"seed {seed}, {minutes} min, {rate}/s", flush=True)
    run = Soak(seed, rate, Path(record) if record else None)
    return 0 if asyncio.run(run.run(minutes)) else 1


def main() -> None:
    """Entry point."""
    sys.exit(defopt.run(soak))


if __name__ == "__main__":
    main()
