"""Callers of hosts that are cut off from all targets."""

import asyncio
from collections import Counter

import pytest

from marigoldswitch.tests.gateway_site import (
    ALL_EVENTS,
    list_event_ids,
    run_scenario,
    run_site,
)
from marigoldswitch.tests.path_cuts import CutMode, PathCut

HOSTS = 4
"""Of two data centres: those with even and those with odd numbers."""
DETECTION_SECONDS = 3.0
"""Time after which callers must be served whichever host they ask."""
SERVED_SHARE = 2 / 3
"""Least share of first tries that are served, of that at the other hosts."""
PATHS = {"/draft/": "POST", "/look/": "GET", "/once/": "POST"}
ONCE_NUMBERS = 1_000_000
"""Least number of a request that may run only once."""


class CallerCounts:
    """First tries by host and path, and how many were served in full."""

    def __init__(self) -> None:
        self.sent: Counter[tuple[int, str]] = Counter()
        self.served: Counter[tuple[int, str]] = Counter()

    def get_share(self, hosts, path):
        sent = sum(self.sent[host, path] for host in hosts)
        return sum(self.served[host, path] for host in hosts) / sent


async def call_all(site, counts, numbers, rounds):
    """Send requests of every kind to every host."""

    async def call(host, path, method):
        fields = {"data": None} if method == "GET" else {}
        counts.sent[host, path] += 1
        number = next(numbers) + ONCE_NUMBERS * (path == "/once/")
        async with site.call(path, number, host, method=method, **fields) as answer:
            body = await answer.read()
        if answer.status == 200:
            assert path != "/draft/" or list_event_ids(body) == ALL_EVENTS
            assert "Replica-Signature" in answer.headers
            counts.served[host, path] += 1

    for _ in range(rounds):
        calls = (
            call(host, path, method)
            for host in range(HOSTS)
            for path, method in PATHS.items()
        )
        await asyncio.gather(*calls)
        await asyncio.sleep(0.05)


async def check_cut(site, cut_off, mode, paths, addresses=None):
    """Cut hosts off, and check what callers get there from some seconds on.

    :param cut_off: indexes of the hosts.
    :param paths: requests that must be served as at other hosts.
    :param addresses: of the targets from which they are cut off; ``None`` for all.
    """
    numbers, counts = iter(range(100_000)), CallerCounts()
    await call_all(site, CallerCounts(), numbers, 10)
    cuts = [PathCut(site.hosts[host], addresses) for host in cut_off]
    for cut in cuts:
        cut.begin(mode)
    loop = asyncio.get_running_loop()
    began = loop.time()
    while loop.time() - began < DETECTION_SECONDS:
        await call_all(site, CallerCounts(), numbers, 1)
    await call_all(site, counts, numbers, 20)
    others = set(range(HOSTS)) - set(cut_off)
    for path in paths:
        share = counts.get_share(cut_off, path)
        assert share >= SERVED_SHARE * counts.get_share(others, path)
    for cut in cuts:
        cut.end()
    runs = sum((item.runs for item in site.desks), Counter())
    assert not [
        name
        for name, count in runs.items()
        if count > 1 and int(name.removeprefix("try-")) >= ONCE_NUMBERS
    ]


@pytest.mark.parametrize("mode", list(CutMode))
@pytest.mark.parametrize("cut_off", [(0,), (0, 2), (0, 1, 2)])
def test_hosts_that_reach_no_target_serve_callers_as_others_do(cut_off, mode):
    async def scenario():
        async with run_site(engines=4, desks=4, hosts=HOSTS) as site:
            await site.wait_for_layout()
            await check_cut(site, cut_off, mode, PATHS)

    run_scenario(scenario())


@pytest.mark.parametrize("mode", list(CutMode))
@pytest.mark.parametrize("cut_off", [(0,), (0, 2), (0, 1, 2)])
def test_hosts_that_reach_no_target_of_one_service_serve_its_callers(cut_off, mode):
    async def scenario():
        async with run_site(engines=4, desks=6, hosts=HOSTS) as site:
            await site.wait_for_layout()
            desks = {item.address for item in site.desks}
            await check_cut(site, cut_off, mode, PATHS, desks)

    run_scenario(scenario())
