"""Plays targets that fall silent for a moment and go on, and never end.

That is no fault of theirs, so each request should be answered in full.
"""

import asyncio
import random
from collections import Counter
from dataclasses import dataclass, field

import aiohttp

from marigoldswitch.tests.gateway_site import (
    ALL_EVENTS,
    Site,
    build_configuration,
    list_event_ids,
)

TIMEOUT_MS = 20_000
"""Time of requests, far above all silences that one may meet on a busy machine."""
PATHS = {"stream": "/draft/", "once": "/once/", "repeatable": "/look/"}


@dataclass
class QuietPlay:
    """What is played.

    :param silence: seconds for which targets are silent.
    :param share: of the targets of each service that are silent together.
    :param period: seconds from one silence to the next.
    :param rate: requests a second, spread over all hosts.
    :param changes: configurations a second.
    """

    silence: float
    share: float
    seed: int
    seconds: float
    period: float = 2.5
    rate: float = 40.0
    changes: float = 2.0


@dataclass
class QuietResult:
    """How requests ended, by their kind: ``whole``, ``cut`` or the status."""

    ends: dict[str, Counter[str]] = field(
        default_factory=lambda: {kind: Counter() for kind in PATHS}
    )

    def count(self, end: str) -> int:
        """Return the requests of all kinds that ended so."""
        return sum(counts[end] for counts in self.ends.values())


async def silence(targets, seconds: float) -> None:
    """Let targets read and send nothing for a while."""
    for item in targets:
        item.awake.clear()
    await asyncio.sleep(seconds)
    for item in targets:
        item.awake.set()


async def call_to_the_end(site: Site, kind: str, number: int, host: int = 0) -> str:
    """Send a request and return how it ended for its caller."""
    method = "POST" if kind != "repeatable" else "GET"
    try:
        headers = {"Deadline-Ms": str(TIMEOUT_MS)}
        async with site.call(
            PATHS[kind], number, host, method=method, headers=headers
        ) as answer:
            body = await answer.read()
            if answer.status != 200:
                return str(answer.status)
            is_whole = kind != "stream" or list_event_ids(body) == ALL_EVENTS
            return "whole" if is_whole else "cut"
    except aiohttp.ClientPayloadError:
        return "cut"
    except aiohttp.ClientError as error:
        return type(error).__name__


async def run_quiet_play(site: Site, play: QuietPlay) -> QuietResult:
    """Run a play on a site whose engines hold layers, and return its result."""
    rng, result = random.Random(play.seed), QuietResult()

    def configure(version: int) -> None:
        fields = build_configuration(version, timeout_ms=TIMEOUT_MS)
        site.store.put("op", "config", fields)

    configure(2)
    directories = [host.parts.runs.directory for host in site.hosts]
    await site.wait_until(lambda: all(item.version == 2 for item in directories))

    async def call(number: int) -> None:
        kind = rng.choices(list(PATHS), (7, 1.5, 1.5))[0]
        end = await call_to_the_end(site, kind, number, number % len(site.hosts))
        result.ends[kind][end] += 1

    async def disturb() -> None:
        groups = [list(site.engines.engines.values()), site.desks]
        while True:
            await asyncio.sleep(play.period - play.silence)
            chosen = [
                item
                for group in groups
                for item in rng.sample(group, round(play.share * len(group)))
            ]
            await silence(chosen, play.silence)

    async def change() -> None:
        version = 2
        while play.changes:
            await asyncio.sleep(1.0 / play.changes)
            version += 1
            configure(version)

    background = [asyncio.create_task(work()) for work in (disturb, change)]
    calls = []
    for number in range(round(play.rate * play.seconds)):
        calls.append(asyncio.create_task(call(number)))
        await asyncio.sleep(1.0 / play.rate)
    await asyncio.gather(*calls)
    for task in background:
        task.cancel()
    return result
