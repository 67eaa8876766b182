"""Measures bundles: cost of a check, time to be in force everywhere, messages, reads.

Run ``python -m marigoldswitch.tools.bundle_bench check`` (or ``spread``, ``traffic``).
Stand-ins and hosts share one process on loopback.
"""

import asyncio
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass
from statistics import median
from typing import Any

import defopt

from marigoldswitch.bundles import (
    CANONICAL_SOURCE,
    build_bundle,
    check_parts,
    check_whole,
    load_canonical,
    read_bundle,
)
from marigoldswitch.core.adoption import ACCEPTED_KEY, BUNDLE_TABLE
from marigoldswitch.core.ids import BundleVersion
from marigoldswitch.documents import write_document
from marigoldswitch.logs import configure_logs
from marigoldswitch.packing import digest_content, pack_content, unpack_content
from marigoldswitch.standins.deployment import Deployment
from marigoldswitch.tools.slopes import fit_slope

ACCOUNTS, TARGETS, SERVICES = 420, 600, 18
"""The size to design for."""
HOSTS = 400
CHANGES_A_DAY = 730
SECONDS_A_DAY = 86_400
DATA_CENTRES = ("hobart", "launceston")
WATCH_SECONDS = 0.002
LONGEST_SPREAD = 60.0


def build_large_document() -> dict[str, Any]:
    """Return a bundle of the size to design for."""
    return {
        "brands": {
            f"brand-{number}": {"applications": {"letters": f"letters-{number % 18}"}}
            for number in range(20)
        },
        "pipelines": {
            f"letters-{number}": {"service": f"drafting-{number}"}
            for number in range(SERVICES)
        },
        "services": {
            f"drafting-{number}": {
                "kind": "model",
                "idempotent": True,
                "layers": 36,
                "model": f"letters-{number}",
                "version": "1",
            }
            for number in range(SERVICES)
        },
        "accounts": {
            f"account-{number:03d}": {
                "brands": [f"brand-{number % 20}"],
                "key_digests": [digest_content(str(number).encode())],
                "rate": 1.0,
                "burst": 5.0,
            }
            for number in range(ACCOUNTS)
        },
        "targets": {
            f"engine-{number:03d}": {
                "service": f"drafting-{number // 3 % SERVICES}",
                "data_centre": f"dc-{number % 7}",
                "address": f"http://10.0.{number // 250}.{number % 250}:8500",
                "layers": [number % 3 * 12, number % 3 * 12 + 12],
                "accelerator": f"kind-{number % 7}",
            }
            for number in range(TARGETS)
        },
    }


def check(*, runs: int = 7) -> int:
    """Time each part of a host's check at the size to design for.

    :param runs: runs of which the median is taken.
    """
    yaml = write_document(build_large_document())
    checked = read_bundle(yaml, "bundle").unwrap()
    content = checked.content
    packed, digest = pack_content(content), digest_content(content)
    document = load_canonical(content).unwrap()
    print(f"YAML {len(yaml)} B, canonical {len(content)} B, packed {len(packed)} B")
    _time("tool: read YAML, check, build", runs, lambda: read_bundle(yaml, "bundle"))
    _time("host: unpack and digest", runs, lambda: unpack_content(packed, digest))
    _time("host: load", runs, lambda: load_canonical(content))
    parts = check_parts(document, CANONICAL_SOURCE).unwrap()
    part = check_whole(parts, CANONICAL_SOURCE).unwrap()
    _time("host: check parts", runs, lambda: check_parts(document, CANONICAL_SOURCE))
    _time("host: check whole", runs, lambda: check_whole(parts, CANONICAL_SOURCE))
    version = BundleVersion(1)
    _time("host: build", runs, lambda: build_bundle(part, version, digest))
    return 0


def spread(*, hosts: int = 8, runs: int = 5) -> int:
    """Time from an acceptance to its bundle in force on all hosts, in five states.

    :param hosts: hosts, in two data centres by turns.
    :param runs: changes in each state.
    """
    configure_logs("error")
    asyncio.run(_spread(hosts, runs))
    return 0


def traffic(*, seconds: float = 20.0) -> int:
    """Count platform reads and peer messages over hosts, and fit lines.

    :param seconds: time watched at each number of hosts without a change.
    """
    configure_logs("error")
    asyncio.run(_count_traffic(seconds))
    return 0


@dataclass(frozen=True, slots=True)
class State:
    """A state of the platform while a change spreads.

    :param before: seconds that each call takes until the bundle is accepted.
    :param after: seconds that each call takes from then on.
    :param cut: hosts that cannot reach it; counted from the last.
    """

    name: str
    before: float = 0.0
    after: float = 0.0
    cut: int = 0


def _time(name: str, runs: int, work: Callable[[], object]) -> None:
    times = []
    for _ in range(runs):
        began = time.process_time()
        work()
        times.append((time.process_time() - began) * 1e3)
    print(f"{name}: {median(times):.2f} ms (largest {max(times):.2f})")


async def _spread(count: int, runs: int) -> None:
    deployment = await _start(count)
    states = (
        State("platform up"),
        State("platform slow: 0.8 s a call", before=0.8, after=0.8),
        State("platform slower than its timeout, after the write", after=1.5),
        State("half of the hosts cut from the platform", cut=count // 2),
        State("all hosts but one cut from the platform", cut=count - 1),
    )
    for state in states:
        times = []
        for _ in range(runs):
            times.append(await _time_change(deployment, state))
        largest, shown = max(times), ", ".join(f"{item:.2f}" for item in times)
        print(f"{state.name}: median {median(times):.2f} s, largest {largest:.2f} s")
        print(f"  {shown}")
    await deployment.stop()


async def _start(count: int) -> Deployment:
    places = tuple(DATA_CENTRES[number % 2] for number in range(count))
    platform = {"poll": 2.0, "poll_others": 5.0}
    deployment = Deployment(places, {"platform": platform})
    await deployment.start()
    await deployment.roll_out(deployment.build_bundle())
    return deployment


async def _time_change(deployment: Deployment, state: State) -> float:
    """Return the seconds from the accepted row's write to the last host's adoption."""
    faults = deployment.platform.faults
    names = list(deployment.hosts)
    faults.cut = set(names[len(names) - state.cut :]) if state.cut else set()
    seen = _read_version(deployment)
    digest = await deployment.prepare(_change_bundle(deployment, seen))
    faults.delay = state.before
    change = asyncio.create_task(deployment.accept(digest, seen))
    await _wait_until(lambda: _read_version(deployment) > seen)
    began = time.perf_counter()
    faults.delay = state.after
    hosts = deployment.hosts.values()
    await _wait_until(lambda: all(host.parts.adoption.version > seen for host in hosts))
    took = time.perf_counter() - began
    faults.delay, faults.cut = 0.0, set()
    await change
    await asyncio.sleep(1.0)
    return took


async def _wait_until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(LONGEST_SPREAD):
        while not condition():  # noqa: ASYNC110, nothing tells when it holds
            await asyncio.sleep(WATCH_SECONDS)


def _change_bundle(deployment: Deployment, seen: int) -> bytes:
    pipelines = {
        "letters": {"service": "drafting", "max_tokens": 64},
        "bookings": {"service": "bookings", "max_tokens": seen + 1},
    }
    return deployment.build_bundle(pipelines=pipelines)


def _read_version(deployment: Deployment) -> int:
    row = deployment.platform.rows.get((BUNDLE_TABLE, ACCEPTED_KEY))
    return row[1] if row else 0


async def _count_traffic(seconds: float) -> None:
    sizes = (2, 4, 8)
    reads, told, asked = [], [], []
    for count in sizes:
        deployment = await _start(count)
        began = deployment.platform.reads
        await asyncio.sleep(seconds)
        reads.append((deployment.platform.reads - began) / seconds)
        followers = [host.parts.follower for host in deployment.hosts.values()]
        for item in followers:
            item.counts.clear()
        for _ in range(3):
            await _time_change(deployment, State("platform up"))
        told.append(sum(item.counts["told"] for item in followers) / 3)
        asked.append(sum(item.counts["asked"] for item in followers) / 3)
        await deployment.stop()
    for name, values in (
        ("platform reads a second", reads),
        ("bundles sent between peers a change", told),
        ("questions between peers a change", asked),
    ):
        line = fit_slope(name, "", sizes, values)
        shown = ", ".join(f"{value:.2f}" for value in values)
        print(
            f"{name}: {shown} at {sizes} hosts; line {line.base:.2f} + "
            f"{line.per_unit:.3f} a host, error {line.error:.0%}; "
            f"{line.estimate(HOSTS):.0f} at {HOSTS} hosts"
        )
    packed = len(pack_content(_build_large_content()))
    day = packed * CHANGES_A_DAY / SECONDS_A_DAY
    print(f"one copy of a large bundle a change: {packed} B, {day:.0f} B/s a host")


def _build_large_content() -> bytes:
    yaml = write_document(build_large_document())
    return read_bundle(yaml, "bundle").unwrap().content


def main() -> None:
    """Entry point."""
    commands: list[Callable[..., int]] = [check, spread, traffic]
    sys.exit(defopt.run(commands))


if __name__ == "__main__":
    main()
