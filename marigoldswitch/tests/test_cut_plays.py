"""Random plays of cuts between hosts and targets, with restarts and configurations."""

import asyncio
import os
import random
from collections import Counter

import aiohttp
import pytest

from marigoldswitch.tests.gateway_site import (
    ALL_EVENTS,
    DATA_CENTRES,
    build_configuration,
    check_layers,
    list_event_ids,
    run_scenario,
    run_site,
)
from marigoldswitch.tests.path_cuts import CutMode, PathCut

SEEDS = range(int(os.environ.get("CUT_PLAY_SEEDS", "4")))
"""More of them are played by hand."""
HOSTS = 4
STEPS = 12
STEP_SECONDS = 0.3
KINDS = {"/draft/": "POST", "/look/": "GET", "/once/": "POST"}


class CutPlay:
    """A site whose hosts lose and regain their targets while callers keep coming.

    :ivar answers: number of answers by path and status.
    """

    def __init__(self, site, seed):
        self.site = site
        self.rng = random.Random(seed)
        self._callers_rng = random.Random(seed)
        """Of its own: how many requests are sent must not change what is cut."""
        self.answers = Counter()
        self.sent_once = set()
        self._numbers = iter(range(100_000))
        self._cuts = {}
        self._version = 1
        self._started = HOSTS
        self._is_over = False

    async def run(self):
        callers = [asyncio.create_task(self._keep_calling(path)) for path in KINDS]
        callers += [asyncio.create_task(self._keep_calling(path)) for path in KINDS]
        for _ in range(STEPS):
            step = self.rng.choice([self._cut, self._cut, self._heal, self._configure])
            step()
            if self.rng.random() < 0.15:
                await self._replace_host()
            await asyncio.sleep(self.rng.uniform(0.2, 1.0) * STEP_SECONDS)
        for cut in self._cuts.values():
            cut.end()
        self._is_over = True
        await asyncio.gather(*callers)

    async def check_all_served(self):
        """Assert that every host serves every kind of request again."""
        contacts = [host.parts.runs.contact for host in self.site.hosts]
        await self.site.wait_until(lambda: not any(item.is_lost for item in contacts))
        await asyncio.sleep(1.0)
        for host in range(len(self.site.hosts)):
            for path in KINDS:
                assert await self._call(path, host) == 200

    def _cut(self):
        host = self.rng.choice(self.site.hosts)
        cut = self._cuts.setdefault(id(host), PathCut(host))
        if cut.mode is None:
            cut.begin(self.rng.choice(list(CutMode)))

    def _heal(self):
        cuts = [item for item in self._cuts.values() if item.mode is not None]
        if cuts:
            self.rng.choice(cuts).end()

    def _configure(self):
        self._version += 1
        self.site.store.put("op", "config", build_configuration(self._version))

    async def _replace_host(self):
        """Stop a host as planned, after another one has been started."""
        centre = self.rng.choice(DATA_CENTRES)
        self._started += 1
        added = await self.site.add_host(f"h{self._started}", centre)
        await self.site.wait_until(lambda: added.is_ready)
        stopped = self.rng.choice(self.site.hosts[:-1])
        self.site.hosts.remove(stopped)
        self._cuts.pop(id(stopped), None)
        await stopped.drain()
        await stopped.stop()

    async def _keep_calling(self, path):
        while not self._is_over:
            host = self._callers_rng.randrange(len(self.site.hosts))
            try:
                self.answers[path, await self._call(path, host)] += 1
            except (aiohttp.ClientError, TimeoutError):
                self.answers[path, "closed"] += 1
            await asyncio.sleep(0.005)

    async def _call(self, path, host):
        number = next(self._numbers)
        if path == "/once/":
            self.sent_once.add(f"try-{number}")
        fields = {"data": None} if path == "/look/" else {}
        method = KINDS[path]
        async with self.site.call(path, number, host, method=method, **fields) as reply:
            body = await reply.read()
            assert reply.headers.get("Attempt-Id") == f"try-{number}"
        if reply.status == 200 and path == "/draft/":
            assert list_event_ids(body) == ALL_EVENTS
        if reply.status == 200 and path != "/draft/":
            assert body.endswith(f"ran try-{number}".encode())
        if reply.status == 503 and path == "/once/":
            assert not any(desk.runs[f"try-{number}"] for desk in self.site.desks)
        return reply.status


@pytest.mark.parametrize("seed", SEEDS)
def test_hosts_that_lose_and_regain_targets_keep_their_promises(seed):
    async def scenario():
        async with run_site(desks=4, hosts=HOSTS) as site:
            for centre in DATA_CENTRES:
                # In their rows, from which hosts that are added learn of them.
                await site.add_engine(f"{centre}-1", centre, (0, 4))
                await site.add_engine(f"{centre}-2", centre, (4, 8))
            await site.wait_for_layout()
            play = CutPlay(site, seed)
            await play.run()
            await play.check_all_served()
            runs = sum((desk.runs for desk in site.desks), Counter())
            assert all(runs[name] <= 1 for name in play.sent_once)
            check_layers(site)
            served = sum(
                count for (_, end), count in play.answers.items() if end == 200
            )
            assert served >= 2 / 3 * sum(play.answers.values())

    run_scenario(scenario())
