"""Hosts keep to what targets state of themselves, in each way of sending."""

import asyncio
from collections import deque

from marigoldswitch.core.ids import ServiceName
from marigoldswitch.tests.gateway_site import get_targets, run_scenario, run_site

WINDOW_SECONDS = 4.0
RATE = 3.0
MOST_IN_WINDOW = 1.5 * RATE * WINDOW_SECONDS + 5
"""Requests that a target with a limit of ``RATE`` may get in a window."""


def count_worst_window(arrivals):
    """Return the most arrivals within a window."""
    worst, window = 0, deque()
    for at in sorted(arrivals):
        window.append(at)
        while window[0] <= at - WINDOW_SECONDS:
            window.popleft()
        worst = max(worst, len(window))
    return worst


async def call_all(site, path, numbers):
    """Send requests to all hosts in turn; return the statuses of their answers."""

    async def call(number):
        async with site.call(path, number, number % len(site.hosts)) as answer:
            await answer.read()
            return answer.status

    return await asyncio.gather(*(call(number) for number in numbers))


async def run_until_known(site, path, target):
    """Send requests until each host has had an answer of a target."""
    first = 10_000
    while True:
        limits = [
            host.parts.runs.directory.statements.limits.stated for host in site.hosts
        ]
        if all(item.get_rate(target) is not None for item in limits):
            return
        await call_all(site, path, range(first, first + 4 * len(site.hosts)))
        first += 4 * len(site.hosts)


def test_all_hosts_together_send_a_target_no_more_than_the_limit_that_it_states():
    async def scenario():
        async with run_site(desks=4, hosts=4) as site:
            limited = site.desks[0]
            limited.statements = {"Server-Limit": str(RATE)}
            await run_until_known(site, "/look/", limited.name)
            limited.arrivals.clear()
            for first in range(0, 400, 20):
                await call_all(site, "/look/", range(first, first + 20))
            assert count_worst_window(limited.arrivals) <= MOST_IN_WINDOW

    run_scenario(scenario())


def test_engine_begins_no_more_chains_than_the_limit_that_it_states():
    async def scenario():
        async with run_site(hosts=2) as site:
            limited = await site.add_engine("x", "north", (0, 8))
            other = await site.add_engine("y", "north", (0, 8))
            await site.wait_until(lambda: len(get_targets(site)) == 2)
            limited.statements = {"Server-Limit": str(RATE)}
            await run_until_known(site, "/draft/", limited.name)
            limited.arrivals.clear()
            statuses = []
            for first in range(0, 120, 20):
                statuses += await call_all(site, "/draft/", range(first, first + 20))
            assert count_worst_window(limited.arrivals) <= MOST_IN_WINDOW
            assert statuses == [200] * 120
            assert other.runs

    run_scenario(scenario())


PAUSE_SECONDS = 3.0
MOST_IN_PAUSE = 2
"""Requests that may reach a target from a host within a pause that it asked for."""


def refuse_and_ask_for_a_pause(target):
    target.refusals = 1_000_000
    target.statements = {"Retry-After": str(PAUSE_SECONDS)}


async def call_in_turn(site, path, numbers):
    """Send requests one after the other; return the statuses and retry times."""
    results = []
    for number in numbers:
        async with site.call(path, number) as answer:
            await answer.read()
            results.append((answer.status, answer.headers.get("Retry-After")))
    return results


def test_target_gets_nothing_from_a_host_that_it_has_asked_for_a_pause():
    async def scenario():
        async with run_site(desks=2) as site:
            paused = site.desks[0]
            refuse_and_ask_for_a_pause(paused)
            results = await call_in_turn(site, "/once/", range(40))
            first, *later = paused.arrivals
            in_pause = [at for at in later if at < first + PAUSE_SECONDS]
            assert len(in_pause) <= MOST_IN_PAUSE
            assert [status for status, _ in results] == [200] * 40

    run_scenario(scenario())


def test_callers_are_refused_at_once_while_all_targets_ask_for_a_pause():
    async def scenario():
        async with run_site(desks=2) as site:
            for desk in site.desks:
                refuse_and_ask_for_a_pause(desk)
            results = await call_in_turn(site, "/look/", range(40))
            for desk in site.desks:
                first, *later = desk.arrivals
                in_pause = [at for at in later if at < first + PAUSE_SECONDS]
                assert len(in_pause) <= MOST_IN_PAUSE
            # Within the pause, whatever the machine's speed.
            assert {status for status, _ in results[4:]} == {503}
            waits = [float(wait) for _, wait in results[4:20]]
            assert min(waits) > 0.3
            assert len(set(waits)) > 4

    run_scenario(scenario())


def test_engine_begins_no_chain_of_a_host_that_it_has_asked_for_a_pause():
    async def scenario():
        async with run_site(hosts=1) as site:
            paused = await site.add_engine("x", "north", (0, 8))
            await site.add_engine("y", "north", (0, 8))
            await site.wait_until(lambda: len(get_targets(site)) == 2)
            refuse_and_ask_for_a_pause(paused)
            results = await call_in_turn(site, "/draft/", range(20))
            assert [status for status, _ in results] == [200] * 20
            first, *later = paused.arrivals
            in_pause = [at for at in later if at < first + PAUSE_SECONDS]
            assert len(in_pause) <= MOST_IN_PAUSE

    run_scenario(scenario())


def test_engine_that_has_asked_for_a_pause_is_no_last_resort():
    async def scenario():
        async with run_site(hosts=1) as site:
            paused = await site.add_engine("x", "north", (0, 8))
            await site.wait_until(lambda: len(get_targets(site)) == 1)
            refuse_and_ask_for_a_pause(paused)
            for first in range(0, 12, 4):
                statuses = await call_all(site, "/draft/", range(first, first + 4))
                assert statuses == [503] * 4
            first, *later = paused.arrivals
            in_pause = [at for at in later if first + 0.5 <= at < first + PAUSE_SECONDS]
            assert len(in_pause) <= MOST_IN_PAUSE

    run_scenario(scenario())


DRAIN_SECONDS = 2.0
"""Time after which a target that says that it leaves may get no new work."""


def test_target_that_says_it_leaves_gets_no_new_work_although_its_row_is_ready():
    async def scenario():
        async with run_site(desks=2, hosts=2) as site:
            leaving, _ = site.desks
            leaving.statements = {"Server-Leaving": "1"}
            await call_all(site, "/look/", range(40))
            told_at = asyncio.get_running_loop().time()
            assert leaving.arrivals
            # A later row that still says ready does not take it back.
            site.register_target(leaving, "desk", "north")
            await asyncio.sleep(DRAIN_SECONDS)
            statuses = await call_all(site, "/once/", range(100, 140))
            assert statuses == [200] * 40
            assert max(leaving.arrivals) < told_at + DRAIN_SECONDS

    run_scenario(scenario())


def test_engine_that_says_it_leaves_begins_no_new_chain_until_it_has_restarted():
    async def scenario():
        async with run_site(hosts=1) as site:
            leaving = await site.add_engine("x", "north", (0, 8))
            leaving.born = 1_000
            site.register_target(leaving, "model", "north")
            await site.add_engine("y", "north", (0, 8))
            registry = site.hosts[0].parts.runs.directory.registry
            await site.wait_until(
                lambda: len(get_targets(site)) == 2 and registry.get_born("x") == 1_000
            )
            leaving.statements = {"Server-Leaving": "1"}
            await call_all(site, "/draft/", range(20))
            told_at = asyncio.get_running_loop().time()
            assert leaving.arrivals
            site.register_target(leaving, "model", "north")
            await asyncio.sleep(DRAIN_SECONDS)
            assert await call_all(site, "/draft/", range(100, 120)) == [200] * 20
            assert max(leaving.arrivals) < told_at + DRAIN_SECONDS
            leaving.statements = {}
            leaving.born = 2_000
            site.register_target(leaving, "model", "north")
            await site.wait_until(lambda: "x" in get_targets(site))

    run_scenario(scenario())


def test_what_is_known_of_a_target_outlasts_the_times_when_it_takes_no_request():
    async def scenario():
        async with run_site(desks=2) as site:
            limited = site.desks[0]
            limited.statements = {"Server-Limit": "0.3"}
            await call_in_turn(site, "/look/", range(60))
            selector = site.hosts[0].parts.requests._selectors.get(ServiceName("desk"))
            assert selector.outliers.get_last_success(limited.name) is not None

    run_scenario(scenario())
