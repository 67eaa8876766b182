"""Measures how soon a stream goes on after a fault, by kind of fault.

Recovery is the time from the fault to the next token at the caller. The floor is what
no router could go below: detection (none where a connection breaks, the stall floor of
the settings where nothing breaks), one undisturbed first token (chain choice, opening,
prompt), and what the new stages have to compute anew.
"""

import asyncio
import statistics
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass, field

import aiohttp
import defopt

from marigoldswitch.logs import configure_logs
from marigoldswitch.standins.deployment import Deployment
from marigoldswitch.standins.engine import Engine

LETTERS = "/v1/brands/dollhouse/applications/letters/requests"
TOKENS = 60
FAULT_AFTER = 20
"""Tokens that have come when the fault strikes."""
STALL_FLOOR = 0.15
FIRST_TOKEN = 1.0
SETTINGS = {"streams": {"stall_floor": STALL_FLOOR, "first_token": FIRST_TOKEN}}
PREFILL_SHARE = 1 / 20
"""Time to compute a token anew, as a share of a step; the stand-in's figure."""


@dataclass(frozen=True, slots=True)
class FaultCase:
    """One kind of fault.

    :param stages: places in the chain that it strikes, from the first.
    :param detection: seconds that it takes at the least to notice it.
    :param lost: stages whose KV cache has to be computed anew.
    """

    name: str
    stages: tuple[int, ...]
    strike: Callable[[Engine], None]
    detection: float
    lost: int


@dataclass(slots=True)
class Run:
    """One draft's tokens in time."""

    began: float
    instants: list[float] = field(default_factory=list)
    struck: float = 0.0
    ended: bool = False

    @property
    def first(self) -> float:
        """Return the seconds to the first token."""
        return self.instants[0] - self.began

    @property
    def recovery(self) -> float:
        """Return the seconds from the fault to the token after the longest gap."""
        after = [item for item in self.instants if item > self.struck]
        gaps = [
            (later - before, later)
            for before, later in zip([self.struck, *after], after, strict=False)
        ]
        return max(gaps)[1] - self.struck


def _die(engine: Engine) -> None:
    engine.faults.dead = True


def _stall(engine: Engine) -> None:
    engine.faults.stall = True


def _lose_link(engine: Engine) -> None:
    engine.faults.link_delay = 60.0


def _leave(engine: Engine) -> None:
    engine.faults.leaving = True


CASES = (
    FaultCase("first stage dies", (0,), _die, 0.0, 1),
    FaultCase("middle stage dies", (1,), _die, 0.0, 1),
    FaultCase("last stage dies", (2,), _die, 0.0, 1),
    FaultCase("two stages die", (0, 2), _die, 0.0, 2),
    FaultCase("stage stalls", (1,), _stall, STALL_FLOOR, 0),
    FaultCase("link is lost", (1,), _lose_link, STALL_FLOOR, 0),
    FaultCase("stage leaves", (1,), _leave, 0.0, 0),
)


def measure(*, runs: int = 40) -> int:
    """Measure recovery for each kind of fault and print a table.

    :param runs: drafts for each kind.
    """
    configure_logs("error")
    return asyncio.run(_measure(runs))


async def _measure(runs: int) -> int:
    deployment = Deployment(data_centres=("hobart", "hobart"), settings=SETTINGS)
    await deployment.start()
    await deployment.roll_out(deployment.build_bundle())
    whole = True
    headers = {"Authorization": f"Bearer {deployment.caller_key}"}
    async with aiohttp.ClientSession(headers=headers) as session:
        calm = [await _draft(deployment, session, None) for _ in range(runs)]
        first = statistics.median(item.first for item in calm)
        print(f"undisturbed first token {first * 1e3:.1f} ms (median of {runs})")
        print("| fault | runs | whole | floor ms | p50 ms | p95 ms | max ms |")
        print("|---|---|---|---|---|---|---|")
        for case in CASES:
            done = [await _draft(deployment, session, case) for _ in range(runs)]
            whole &= all(item.ended for item in done)
            print(_format_row(case, done, first, deployment))
    await deployment.stop()
    return 0 if whole else 1


async def _draft(
    deployment: Deployment, session: aiohttp.ClientSession, case: FaultCase | None
) -> Run:
    body = {
        "input": {"prompt": "A letter about a doll"},
        "stream": True,
        "max_tokens": TOKENS,
    }
    address = deployment.get_address("host-0", "callers")
    run = Run(time.perf_counter())
    struck: list[Engine] = []
    async with session.post(address + LETTERS, json=body) as response:
        async for line in response.content:
            if line.startswith(b"event: token"):
                run.instants.append(time.perf_counter())
            run.ended |= line.startswith(b"event: end")
            if case and len(run.instants) == FAULT_AFTER and not struck:
                struck = _find_stages(deployment, case.stages)
                run.struck = time.perf_counter()
                for engine in struck:
                    case.strike(engine)
    for engine in struck:
        _mend(engine)
    return run


def _find_stages(deployment: Deployment, stages: tuple[int, ...]) -> list[Engine]:
    """Return the engines that serve some places of the one chain that is open."""
    return [
        engine
        for engine in deployment.engines.values()
        for state in engine.list_streams()
        if state.index in stages
    ]


def _mend(engine: Engine) -> None:
    engine.faults.dead = engine.faults.stall = engine.faults.leaving = False
    engine.faults.link_delay = 0.0


def _format_row(
    case: FaultCase, runs: list[Run], first: float, deployment: Deployment
) -> str:
    step = min(engine.step for engine in deployment.engines.values())
    recompute = case.lost * FAULT_AFTER * step * PREFILL_SHARE
    floor = case.detection + first + recompute
    if case.name == "stage leaves":
        floor = 0.0
    times = sorted(item.recovery * 1e3 for item in runs if item.ended)
    whole = f"{len(times)}/{len(runs)}"
    p50, p95 = times[len(times) // 2], times[int(len(times) * 0.95)]
    return (
        f"| {case.name} | {len(runs)} | {whole} | {floor * 1e3:.1f} "
        f"| {p50:.1f} | {p95:.1f} | {times[-1]:.1f} |"
    )


def main() -> None:
    """Entry point."""
    sys.exit(defopt.run(measure))


if __name__ == "__main__":
    main()
