"""The real daemon on loopback, against the same client calling the engines directly.

Client, router and stand-ins share one process and one processor core, so only ratios
between the two ways say something; the router's own cost is the difference of both.
"""

import asyncio
import gc
import os
import secrets
import time
from collections.abc import Awaitable, Callable
from dataclasses import asdict, dataclass
from pathlib import Path
from statistics import median

import aiohttp
import orjson
import yaml
from result import Err, Ok

from marigoldswitch.chains import ChainClient, ChainOrder, StreamEnd
from marigoldswitch.core.catalogue import LayerRange, Priority, Target
from marigoldswitch.core.ids import (
    AccountId,
    BundleVersion,
    DataCentre,
    Digest,
    Epoch,
    RequestId,
    ServiceName,
    TargetId,
)
from marigoldswitch.core.ledger import StageToken
from marigoldswitch.core.requests import Request
from marigoldswitch.logs import configure_logs
from marigoldswitch.standins.deployment import RANGES, Deployment

LETTERS = "/v1/brands/dollhouse/applications/letters/requests"
TOKENS = 64
SLOTS = 64
ONE_BY_ONE = 30
TOGETHER = 32
ROUNDS = 3
HELD = 200
PAGE = 4096

Call = Callable[[], Awaitable[float]]
"""Runs one request and returns the seconds to its first token."""


@dataclass(frozen=True, slots=True)
class Way:
    """Figures of one way to the engines.

    :param first: median seconds to the first token, one request at a time.
    :param cpu_request: processor seconds of the whole process for each request.
    """

    first: float
    requests: float
    tokens: float
    cpu_request: float


@dataclass(frozen=True, slots=True)
class LiveFigures:
    """The router beside the direct way.

    :param added_first: seconds that the router adds to the first token.
    :param cpu_token: processor seconds that the router adds for each token.
    :param held_bytes: memory of the whole process for each request held.
    """

    direct: Way
    router: Way
    throughput_ratio: float
    added_first: float
    cpu_request: float
    cpu_token: float
    held_bytes: float


def measure_daemon(out: Path) -> LiveFigures:
    """Measure, print and write the figures."""
    configure_logs("error")
    figures = asyncio.run(_measure())
    _print(figures)
    out.mkdir(parents=True, exist_ok=True)
    content = orjson.dumps(asdict(figures), option=orjson.OPT_INDENT_2)
    (out / "daemon.json").write_bytes(content)
    return figures


async def _measure() -> LiveFigures:
    deployment = Deployment(data_centres=("hobart",))
    await deployment.start()
    await deployment.roll_out(_build_bundle(deployment))
    headers = {"Authorization": f"Bearer {deployment.caller_key}"}
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(headers=headers, connector=connector) as session:
        address = deployment.get_address("host-0", "callers") + LETTERS
        chain = _build_chain(deployment)
        ways: dict[str, Call] = {
            "direct": lambda: _call_chain(ChainClient(session), chain),
            "router": lambda: _call_router(session, address),
        }
        for call in ways.values():
            await asyncio.gather(*(call() for _ in range(TOGETHER)))
        measured = {name: await _measure_way(call) for name, call in ways.items()}
        held = await _measure_held(deployment, session, address)
    await deployment.stop()
    return _compare(measured["direct"], measured["router"], held)


def _compare(direct: Way, router: Way, held: float) -> LiveFigures:
    cpu = router.cpu_request - direct.cpu_request
    return LiveFigures(
        direct,
        router,
        router.requests / direct.requests,
        router.first - direct.first,
        cpu,
        cpu / TOKENS,
        held,
    )


async def _measure_way(call: Call) -> Way:
    firsts = [await call() for _ in range(ONE_BY_ONE)]
    began, cpu = time.perf_counter(), time.process_time()
    for _ in range(ROUNDS):
        await asyncio.gather(*(call() for _ in range(TOGETHER)))
    seconds, cpu = time.perf_counter() - began, time.process_time() - cpu
    count = ROUNDS * TOGETHER
    return Way(median(firsts), count / seconds, count * TOKENS / seconds, cpu / count)


async def _measure_held(
    deployment: Deployment, session: aiohttp.ClientSession, address: str
) -> float:
    """Return the memory of a request that waits in the router's queue."""
    for engine in deployment.engines.values():
        engine.faults.stall = True
    gc.collect()
    before = _read_memory()
    calls = [
        asyncio.create_task(_call_router(session, address)) for _ in range(SLOTS + HELD)
    ]
    await asyncio.sleep(2.0)
    gc.collect()
    after = _read_memory()
    for engine in deployment.engines.values():
        engine.faults.stall = False
    await asyncio.gather(*calls)
    return (after - before) / len(calls)


def _read_memory() -> int:
    content = Path(f"/proc/{os.getpid()}/statm").read_text(encoding="ascii")
    return int(content.split()[1]) * PAGE


async def _call_router(session: aiohttp.ClientSession, address: str) -> float:
    body = {"input": {"prompt": secrets.token_hex(8)}, "stream": True}
    began, first, tokens = time.perf_counter(), 0.0, 0
    async with session.post(address, json=body) as response:
        assert response.status == 200, await response.text()
        async for line in response.content:
            if line.startswith(b"event: token"):
                first = first or time.perf_counter() - began
                tokens += 1
    assert tokens == TOKENS, tokens
    return first


async def _call_chain(client: ChainClient, chain: tuple[Target, ...]) -> float:
    request = _build_request()
    began, first, tokens = time.perf_counter(), 0.0, 0
    async with client.open(ChainOrder(request, Epoch(1), chain)) as opened:
        match opened:
            case Err(miss):
                raise AssertionError(miss)
            case Ok(stream):
                ended = False
                while not ended:
                    for event in (await stream.read()).unwrap():
                        match event:
                            case StageToken():
                                first = first or time.perf_counter() - began
                                tokens += 1
                            case StreamEnd():
                                ended = True
    assert tokens == TOKENS, tokens
    return first


def _build_request() -> Request:
    return Request(
        RequestId(secrets.token_hex(12)),
        AccountId("family"),
        ServiceName("drafting"),
        Priority.NORMAL,
        1.0,
        1.0,
        time.monotonic() + 60.0,
        True,
        {"prompt": secrets.token_hex(8)},
        Digest(""),
        BundleVersion(1),
        max_tokens=TOKENS,
    )


def _build_chain(deployment: Deployment) -> tuple[Target, ...]:
    return tuple(
        Target(
            TargetId(f"engine-{index}-0"),
            ServiceName("drafting"),
            DataCentre("hobart"),
            deployment.addresses[f"engine-{index}-0"],
            SLOTS,
            LayerRange(*layers),
        )
        for index, layers in enumerate(RANGES)
    )


def _build_bundle(deployment: Deployment) -> bytes:
    """Return a bundle with one engine for each range, as the direct way uses."""
    targets = yaml.safe_load(deployment.build_bundle())["targets"]
    chosen = {
        name: target | ({"slots": SLOTS} if name.startswith("engine") else {})
        for name, target in targets.items()
        if name.endswith("-0")
    }
    return deployment.build_bundle(targets=chosen)


def _print(figures: LiveFigures) -> None:
    direct, router = figures.direct, figures.router
    print(f"{'':<34}{'direct':>10}{'router':>10}{'ratio':>8}")
    rows = (
        ("requests a second", direct.requests, router.requests),
        ("tokens a second", direct.tokens, router.tokens),
        ("first token, ms (one by one)", direct.first * 1e3, router.first * 1e3),
        (
            "processor ms a request (process)",
            direct.cpu_request * 1e3,
            router.cpu_request * 1e3,
        ),
    )
    for name, one, other in rows:
        print(f"{name:<34}{one:>10.2f}{other:>10.2f}{other / one:>8.3f}")
    print(f"added to the first token: {figures.added_first * 1e3:.2f} ms")
    print(f"router's processor time: {figures.cpu_request * 1e3:.2f} ms a request, ")
    print(f"  {figures.cpu_token * 1e6:.1f} us a token (difference of both ways)")
    print(f"memory: {figures.held_bytes / 1024:.1f} KiB a request held (all parts)")
