"""Parts of prompts that crash the engines which begin to answer, on stand-ins."""

import aiohttp

from marigoldswitch.core import part_crashes
from marigoldswitch.tests.gateway_site import (
    ALL_EVENTS,
    list_event_ids,
    run_scenario,
    run_site,
)

CRASHING_PART = "bad"
ENDS_BEFORE_COUNTING = 5
MAX_LATE_ARRIVALS = 3
"""Arrivals of requests with the part that are allowed after these ends."""


async def add_engines(site, count):
    """Add engines that crash on a part; wait until all hosts know them."""
    engines = []
    for index in range(count):
        engine = await site.add_engine(f"x{index}", "north", (0, 8))
        engine.crashing_parts = {CRASHING_PART}
        engines.append(engine)
    await site.wait_until(
        lambda: all(
            len(host.parts.runs.directory.registry.targets) == count
            for host in site.hosts
        )
    )
    return engines


async def send(site, number, parts, host):
    """Send a request with a body and a last part of its own.

    Return its status and the ids of its events; ``None`` if the answer broke off.
    """
    names = [*parts, f"own{number}"]
    headers = {"Prefix-Hash": ",".join(f"{name}:20" for name in names)}
    body = b"%d" % number
    async with site.call(
        "/draft/1", number, host, data=body, headers=headers
    ) as answer:
        try:
            return answer.status, list_event_ids(await answer.read())
        except aiohttp.ClientError:
            return answer.status, None


def count_ends(engines):
    return sum(sum(item.crashes.values()) for item in engines)


def count_arrivals(engines):
    return sum(
        f"{CRASHING_PART}:" in headers.get("Prefix-Hash", "")
        for item in engines
        for headers in item.request_headers
    )


def test_ever_new_requests_with_a_part_that_crashes_engines_reach_none_after_some():
    async def scenario():
        async with run_site(hosts=4) as site:
            engines = await add_engines(site, 16)
            number, host = 0, 0
            while count_ends(engines) < ENDS_BEFORE_COUNTING and number < 20:
                number, host = number + 1, (host + 1) % 4
                await send(site, number, ("common", CRASHING_PART), host)
            before = count_arrivals(engines)
            for number in range(100, 120):
                await send(site, number, ("common", CRASHING_PART), number % 4)
            assert count_arrivals(engines) - before <= MAX_LATE_ARRIVALS
            for number in range(200, 220):
                sound = await send(site, number, ("common",), number % 4)
                assert sound == (200, ALL_EVENTS)

    run_scenario(scenario())


def test_part_is_released_on_all_hosts_when_a_request_on_trial_is_answered(monkeypatch):
    monkeypatch.setattr(part_crashes, "FIRST_TRIAL_SECONDS", 0.0)
    monkeypatch.setattr(part_crashes, "FIRST_TRIAL_SECONDS_ALONE", 0.0)

    async def scenario():
        async with run_site(hosts=2) as site:
            engines = await add_engines(site, 8)
            watches = [host.parts.runs.crashes for host in site.hosts]
            for watch in watches:
                watch.may_decide_trials = lambda: False
            for number in range(8):
                await send(site, number, (CRASHING_PART,), number % 2)
            await site.wait_until(lambda: all(item.alive for item in engines))
            assert (await send(site, 10, (CRASHING_PART,), 0))[0] == 503
            for engine in engines:
                engine.crashing_parts = set()
            watches[0].may_decide_trials = lambda: True
            assert (await send(site, 11, (CRASHING_PART,), 0))[0] == 200
            await site.wait_until(lambda: not any(w._parts.held_parts for w in watches))
            assert (await send(site, 12, (CRASHING_PART,), 1))[0] == 200

    run_scenario(scenario())
