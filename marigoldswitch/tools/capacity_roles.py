"""What one size of each role costs: processor time, memory, bytes, writes."""

import asyncio
import hashlib
import itertools
import time
import tracemalloc
from collections.abc import Callable
from random import Random
from statistics import median
from typing import Any

import aiohttp
import yaml

from marigoldswitch import bundles
from marigoldswitch.bundles import (
    CANONICAL_SOURCE,
    check_parts,
    check_whole,
    load_canonical,
    read_bundle,
)
from marigoldswitch.core.catalogue import (
    Bundle,
    LayerRange,
    Priority,
    Service,
    ServiceKind,
    Target,
)
from marigoldswitch.core.datagrams import MemberRecord
from marigoldswitch.core.dispatcher import Dispatcher, Send, TargetsChanged
from marigoldswitch.core.ids import (
    AccountId,
    BundleVersion,
    DataCentre,
    Digest,
    HostId,
    Incarnation,
    PermitId,
    RequestId,
    ServiceName,
    TargetId,
)
from marigoldswitch.core.member_events import Introduced
from marigoldswitch.core.membership import Membership
from marigoldswitch.core.messages import (
    Ask,
    Grant,
    Release,
    TargetReport,
)
from marigoldswitch.core.pool import TargetPool
from marigoldswitch.packing import digest_content, pack_content, unpack_content
from marigoldswitch.standins.deployment import WIDE_QUOTA, Deployment
from marigoldswitch.tools.demo import BOOKINGS, LETTERS
from marigoldswitch.tools.membership_bench import measure as measure_membership
from marigoldswitch.tools.slopes import Slope, fit_slope

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
                "key_digests": [hashlib.sha256(str(number).encode()).hexdigest()],
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


def pack_bundle(factor: int) -> tuple[bytes, Digest]:
    """Return a bundle of some eighths of the size, as hosts get it."""
    document = build_bundle(52 * factor, 75 * factor)
    content = read_bundle(document, "bundle").unwrap().content
    return pack_content(content), digest_content(content)


def check_bundle(packed: bytes, digest: Digest) -> Bundle:
    """Do what a host does with a new bundle, without the turns between."""
    content = unpack_content(packed, digest).unwrap()
    document = load_canonical(content).unwrap()
    parts = check_parts(document, CANONICAL_SOURCE).unwrap()
    whole = check_whole(parts, CANONICAL_SOURCE).unwrap()
    return bundles.build_bundle(whole, BundleVersion(1), digest)


def time_bundle(factor: int) -> float:
    """Return milliseconds of processor time of a host's check; the median of seven."""
    packed, digest = pack_bundle(factor)
    return median(time_once(lambda: check_bundle(packed, digest)) for _ in range(7))


def time_once(work: Callable[[], object]) -> float:
    """Return milliseconds of processor time."""
    began = time.process_time()
    work()
    return (time.process_time() - began) * 1e3


def size_bundle(factor: int) -> float:
    """Return the kilobytes of a bundle on its way to a host."""
    return len(pack_bundle(factor)[0]) / 1e3


def keep_bundle(factor: int) -> float:
    """Return the kilobytes of memory of a bundle in force."""
    packed, digest = pack_bundle(factor)
    check_bundle(packed, digest)
    return measure_memory(lambda: check_bundle(packed, digest)) / 1e3


def measure_permits(count: int) -> float:
    """Return the bytes of a dispatcher with permits out."""

    def build() -> Dispatcher:
        dispatcher = build_dispatcher(count)
        for number in range(count):
            dispatcher.handle(build_ask(number), 0.0)
        assert len(dispatcher.permits) == count
        return dispatcher

    return float(
        measure_memory(build) - measure_memory(lambda: build_dispatcher(count))
    )


def measure_members(hosts: int) -> list[float]:
    """Return a host's bytes a second, processor time a second and kilobytes of view."""
    found = measure_membership(hosts, loss=0.0, seconds=20.0, seed=1)

    def build() -> Membership:
        members = [build_record(number) for number in range(hosts)]
        host = Membership(members[0], Random(1), 0.5, 0.0)
        host.handle(Introduced(tuple(members[1:])), 0.0)
        return host

    return [found.sent, found.cpu * MICRO, measure_memory(build) / 1e3]


def build_record(number: int) -> MemberRecord:
    """Return a host as the others know it."""
    address = f"10.0.{number // 250}.{number % 250}"
    return MemberRecord(
        HostId(f"entry-{number:03d}"),
        DATA_CENTRE,
        f"{address}:8401",
        f"{address}:8402",
        1,
        Incarnation(1),
    )


async def count_writes(bookings: int) -> float:
    """Return the platform's writes for bookings that arrive together at one host."""
    deployment = Deployment(("hobart",), quota=WIDE_QUOTA)
    await deployment.start()
    await deployment.roll_out(deployment.build_bundle())
    before = deployment.platform.writes
    address = deployment.get_address("host-0", "callers") + BOOKINGS
    headers = {"Authorization": f"Bearer {deployment.caller_key}"}

    async def book(number: int) -> None:
        key = {"Idempotency-Key": str(number)}
        body = {"input": {"reference": str(number)}}
        async with session.post(address, json=body, headers=key) as response:
            assert response.status == 200, await response.text()

    async with aiohttp.ClientSession(headers=headers) as session:
        await asyncio.gather(*(book(number) for number in range(bookings)))
    await deployment.hosts["host-0"].parts.claims.flush()
    writes = deployment.platform.writes - before
    await deployment.stop()
    return float(writes)


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
