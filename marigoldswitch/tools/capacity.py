"""Slopes of each role's cost, measured on this machine, for ``docs/CAPACITY.md``."""

import asyncio
import itertools
import sys
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import asdict
from pathlib import Path
from typing import Any

import aiohttp
import defopt
import orjson
import yaml

from marigoldswitch.bundles import parse_bundle
from marigoldswitch.core.catalogue import (
    LayerRange,
    Priority,
    Service,
    ServiceKind,
    Target,
)
from marigoldswitch.core.dispatcher import Dispatcher, Send, TargetsChanged
from marigoldswitch.core.ids import (
    AccountId,
    BundleVersion,
    DataCentre,
    HostId,
    PermitId,
    RequestId,
    ServiceName,
    TargetId,
)
from marigoldswitch.core.messages import (
    Ask,
    Grant,
    Message,
    Queued,
    Release,
    TargetReport,
)
from marigoldswitch.core.pool import TargetPool
from marigoldswitch.logs import configure_logs
from marigoldswitch.standins.deployment import Deployment
from marigoldswitch.tools.demo import LETTERS
from marigoldswitch.tools.slopes import Slope, fit_slope, measure_slope
from marigoldswitch.wire import encode_message

FACTORS = (1, 2, 4, 8)
CYCLES = 400
LAYERS = 12
DATA_CENTRE = DataCentre("hobart")
SERVICE = Service(ServiceName("drafting"), ServiceKind.MODEL, True, layers=LAYERS)
MICRO = 1e6


def build_ask(number: int) -> Ask:
    """Return an ask as a front sends it."""
    return Ask(
        RequestId(f"{number:024x}"),
        1,
        HostId(f"entry-{number % 400:03d}"),
        DATA_CENTRE,
        SERVICE.name,
        AccountId(f"account-{number % 420:03d}"),
        Priority.NORMAL,
        1.0,
        1.0,
        60.0,
        number,
    )


def build_dispatcher(targets: int) -> Dispatcher:
    """Return a dispatcher over targets in three layer ranges."""
    numbers = itertools.count()
    dispatcher = Dispatcher(
        HostId("entry-000"),
        SERVICE,
        DATA_CENTRE,
        TargetPool(SERVICE, {}),
        lambda: PermitId(f"entry-000-{next(numbers)}"),
    )
    third = LAYERS // 3
    fleet = tuple(
        Target(
            TargetId(f"engine-{number:03d}"),
            SERVICE.name,
            DATA_CENTRE,
            "http://127.0.0.1:1",
            8,
            LayerRange(number % 3 * third, (number % 3 + 1) * third),
        )
        for number in range(targets)
    )
    dispatcher.handle(TargetsChanged(fleet, frozenset()), 0.0)
    return dispatcher


def find_grants(actions: list[Any]) -> list[Grant]:
    """Return the grants among actions."""
    return [
        action.message
        for action in actions
        if isinstance(action, Send) and isinstance(action.message, Grant)
    ]


def build_release(grant: Grant) -> Release:
    """Return a release with a report for each target."""
    reports = tuple(TargetReport(name, 0.1) for name in grant.targets)
    return Release(grant.permit, grant.service, HostId("entry-001"), 1.0, reports)


def time_cycles(targets: int) -> float:
    """Return microseconds of processor time of one ask, grant and release."""
    dispatcher = build_dispatcher(targets)
    began = time.process_time()
    for number in range(CYCLES):
        now = number * 0.01
        for grant in find_grants(dispatcher.handle(build_ask(number), now)):
            dispatcher.handle(build_release(grant), now)
    return (time.process_time() - began) / CYCLES * MICRO


def measure_memory(build: Callable[[], object]) -> int:
    """Return the bytes that something takes once it is built."""
    tracemalloc.start()
    before = tracemalloc.take_snapshot()
    kept = build()
    grown = tracemalloc.take_snapshot().compare_to(before, "filename")
    tracemalloc.stop()
    assert kept is not None
    return sum(item.size_diff for item in grown)


def measure_waiting(count: int) -> float:
    """Return the bytes of a dispatcher with requests in its queue."""

    def build() -> Dispatcher:
        dispatcher = build_dispatcher(0)
        for number in range(count):
            dispatcher.handle(build_ask(number), 0.0)
        return dispatcher

    return float(measure_memory(build))


def build_bundle(accounts: int, targets: int) -> bytes:
    """Return a bundle of a size, as YAML."""
    third = LAYERS // 3
    content = {
        "brands": {"dollhouse": {"applications": {"letters": "letters"}}},
        "pipelines": {"letters": {"service": "drafting", "max_tokens": 256}},
        "services": {
            "drafting": {"kind": "model", "idempotent": True, "layers": LAYERS}
        },
        "accounts": {
            f"account-{number:03d}": {
                "brands": ["dollhouse"],
                "key_digests": [f"{number:064x}"],
            }
            for number in range(accounts)
        },
        "targets": {
            f"engine-{number:03d}": {
                "service": "drafting",
                "data_centre": f"dc-{number % 7}",
                "address": f"http://10.0.{number % 250}.{number // 250}:8500",
                "layers": [number % 3 * third, (number % 3 + 1) * third],
                "accelerator": f"kind-{number % 7}",
            }
            for number in range(targets)
        },
    }
    return yaml.safe_dump(content, sort_keys=False).encode()


def time_bundle(factor: int) -> float:
    """Return milliseconds of processor time to check a bundle."""
    content = build_bundle(52 * factor, 75 * factor)
    began = time.process_time()
    parse_bundle(content, BundleVersion(1)).unwrap()
    return (time.process_time() - began) * 1e3


def size_bundle(factor: int) -> float:
    """Return the kilobytes of a bundle."""
    return len(build_bundle(52 * factor, 75 * factor)) / 1e3


def keep_bundle(factor: int) -> float:
    """Return the kilobytes of memory of a bundle in force."""
    content = build_bundle(52 * factor, 75 * factor)
    parse_bundle(content, BundleVersion(1))
    return measure_memory(lambda: parse_bundle(content, BundleVersion(1))) / 1e3


def size_messages() -> dict[str, int]:
    """Return the bytes of each message of a permit's cycle, without its frame."""
    grant = Grant(
        RequestId("f" * 24),
        1,
        PermitId("entry-000-123456"),
        SERVICE.name,
        HostId("entry-000"),
        (TargetId("engine-000"), TargetId("engine-001"), TargetId("engine-002")),
    )
    messages: list[Message] = [
        build_ask(1),
        Queued(grant.request, 1),
        grant,
        build_release(grant),
    ]
    return {type(item).__name__: len(encode_message(item)) for item in messages}


async def measure_daemon(sizes: tuple[int, ...]) -> list[Slope]:
    """Return the cost of requests and tokens of a real host on loopback.

    The stand-ins share the process, so that the figures are upper bounds: they hold the
    engines' and the client's work too.
    """
    deployment = Deployment(("hobart",))
    await deployment.start()
    await deployment.roll_out(deployment.build_bundle())
    address = deployment.get_address("host-0", "callers") + LETTERS
    headers = {"Authorization": f"Bearer {deployment.caller_key}"}
    async with aiohttp.ClientSession(headers=headers) as session:
        by_tokens = [await _time_drafts(session, address, size) for size in sizes]
    await deployment.stop()
    return [
        fit_slope(
            "whole process, processor time of a draft, over its tokens",
            "ms",
            sizes,
            by_tokens,
        )
    ]


async def _time_drafts(
    session: aiohttp.ClientSession, address: str, tokens: int, drafts: int = 20
) -> float:
    body = {"input": {"prompt": "A letter"}, "stream": True, "max_tokens": tokens}
    began = time.process_time()
    for _ in range(drafts):
        async with session.post(address, json=body) as response:
            await response.read()
    return (time.process_time() - began) / drafts * 1e3


def measure_all() -> list[Slope]:
    """Measure every slope."""
    waiting = tuple(250 * factor for factor in FACTORS)
    targets = tuple(75 * factor for factor in FACTORS)
    slopes = [
        measure_slope(
            "dispatcher, processor time of a permit's cycle, over targets",
            "us",
            targets,
            time_cycles,
        ),
        measure_slope(
            "dispatcher, memory, over waiting requests", "B", waiting, measure_waiting
        ),
        measure_slope(
            "follower, processor time of a bundle's check, over eighths of the size",
            "ms",
            FACTORS,
            time_bundle,
        ),
        measure_slope(
            "follower, bytes of a bundle, over eighths of the size",
            "kB",
            FACTORS,
            size_bundle,
        ),
        measure_slope(
            "follower, memory of a bundle in force, over eighths of the size",
            "kB",
            FACTORS,
            keep_bundle,
        ),
    ]
    return slopes + asyncio.run(measure_daemon((8, 16, 32, 64)))


def report(*, out: Path = Path("out")) -> int:
    """Measure, print a table and write it as JSON.

    :param out: folder for ``capacity.json``.
    """
    configure_logs("error")
    slopes = measure_all()
    for slope in slopes:
        points = ", ".join(
            f"{size}: {value:.1f}"
            for size, value in zip(slope.sizes, slope.values, strict=True)
        )
        print(f"{slope.name} [{slope.unit}]")
        print(f"    {points}")
        print(
            f"    line {slope.base:.2f} + {slope.per_unit:.4f} a unit, "
            f"worst point off by {slope.error:.0%}"
        )
    sizes = size_messages()
    print("messages of a permit's cycle [B]:", sizes, "sum", sum(sizes.values()))
    out.mkdir(exist_ok=True)
    content = {"slopes": [asdict(item) for item in slopes], "messages": sizes}
    (out / "capacity.json").write_bytes(orjson.dumps(content))
    return 0


def main() -> None:
    """Entry point."""
    sys.exit(defopt.run(report))


if __name__ == "__main__":
    main()
