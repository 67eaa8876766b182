"""Targets of plain services that fall silent for a moment: no request fails for it."""

import asyncio
from collections import Counter
from enum import Enum

import aiohttp
import pytest

from marigoldswitch.core.contact import ContactState
from marigoldswitch.core.suspects import Finding
from marigoldswitch.gateway import plain
from marigoldswitch.standins.platform_engines import PlainStandin
from marigoldswitch.tests.gateway_site import (
    build_configuration,
    run_scenario,
    run_site,
)
from marigoldswitch.tests.helpers import capture_all_logs
from marigoldswitch.tests.quiet_desks import QuietDesk, Step
from marigoldswitch.tests.quiet_play import QuietPlay, run_quiet_play
from marigoldswitch.tests.test_unbounded_answers import add_desk

DESKS = 4
LONG_BODY_BYTES = 80_000
"""More than the configuration's ``max_body_bytes``, so that it is passed on as it
arrives."""
METHODS = {"/once/": "POST", "/look/": "GET"}


async def add_quiet_desks(site, silent, step, seconds, size=800):
    """Add targets of which the first ones are silent for a while in each answer.

    :param silent: number of these.
    """
    desks = []
    for number in range(DESKS):
        desk = QuietDesk(f"q{number}", size)
        if number < silent:
            desk.silences[step] = seconds
        await add_desk(site, desk, ("north", "south")[number % 2])
        desks.append(desk)
    return desks


async def call(site, path, number, size):
    """Return how a request ended: ``whole``, ``cut``, ``closed`` or its status."""
    method = METHODS[path]
    fields = {"data": None} if method == "GET" else {}
    try:
        async with site.call(
            path, number, number % len(site.hosts), method=method, **fields
        ) as answer:
            body = await answer.read()
    except aiohttp.ClientPayloadError:
        return "cut"
    except aiohttp.ClientError as error:
        return f"closed: {type(error).__name__}"
    if answer.status != 200:
        return str(answer.status)
    return "whole" if body == b"x" * size else "cut"


def watch_dead(site):
    """Return a list that gets each target that a host takes for dead."""
    dead = []
    for host in site.hosts:
        suspects = host.parts.runs.directory.suspects
        suspects.add_listener(Finding.DEAD, dead.append)
    return dead


async def check_all_whole(site, desks, path, count, size, changes=False):
    """Send requests to all hosts, and check that each gets its whole answer."""
    dead = watch_dead(site)

    async def change():
        for version in range(2, 100):
            site.store.put("op", "config", build_configuration(version))
            await asyncio.sleep(0.4)

    background = asyncio.create_task(change()) if changes else None
    numbers = range(count)
    ends = Counter(
        await asyncio.gather(*(call(site, path, number, size) for number in numbers))
    )
    if background is not None:
        background.cancel()
    assert ends == {"whole": count}
    assert not dead
    runs = sum((desk.runs for desk in desks), Counter())
    if path == "/once/":
        assert max(runs.values()) == 1


@pytest.mark.parametrize("path", METHODS)
@pytest.mark.parametrize("step", Step)
@pytest.mark.parametrize("silent", [1, DESKS // 2, DESKS])
def test_short_answer_is_whole_though_targets_are_silent(path, step, silent):
    async def scenario():
        async with run_site(hosts=2) as site:
            desks = await add_quiet_desks(site, silent, step, 1.5)
            await check_all_whole(site, desks, path, 24, 800)

    run_scenario(scenario())


@pytest.mark.parametrize("share", [0.5, 1.0])
@pytest.mark.parametrize("seed", [1, 2])
def test_host_whose_targets_are_silent_does_not_take_itself_for_cut_off(share, seed):
    async def scenario():
        async with run_site(engines=6, desks=6, hosts=2) as site:
            await site.wait_for_layout()
            changes = []
            for host in site.hosts:
                runs = host.parts.runs
                runs.contact.watch(changes.append)
                runs.services.watch(lambda _, change: changes.append(change))
            play = QuietPlay(1.5, share, seed, seconds=5.0, changes=0.0)
            await run_quiet_play(site, play)
            states = [item.state for item in changes]
            assert ContactState.LOST not in states

    run_scenario(scenario())


class Failure(Enum):
    """How the target fails that gets a hedge."""

    LOST = "lost"
    REFUSED = "refused"
    FAILED = "failed"
    UNSIGNED = "unsigned"
    PORT_CLOSED = "port closed"


async def fail_hedges(desk, failure):
    """Let a target fail the next request in some way."""

    match failure:
        case Failure.LOST:
            desk.lost_answers = 10
        case Failure.REFUSED:
            desk.refusals = 10
        case Failure.FAILED:
            desk.statuses = [500] * 10
        case Failure.UNSIGNED:
            desk.check_head = lambda _: None
            desk.sign = lambda http: {"Attempt-Id": http.headers["Attempt-Id"]}
        case Failure.PORT_CLOSED:
            await desk.stop()


@pytest.mark.parametrize("failure", Failure)
@pytest.mark.parametrize("has_retries", [False, True])
def test_failed_hedge_does_not_end_a_request_whose_first_target_is_silent(
    failure, has_retries, monkeypatch
):
    async def scenario():
        async with run_site() as site:
            silent, failing = PlainStandin("silent"), PlainStandin("failing")
            for desk in (silent, failing):
                await add_desk(site, desk, "north")
            silent.seconds = 1.2
            selector = site.hosts[0].parts.front._runs._selectors.get("desk")
            choose = selector.choose

            def choose_silent_first(targets, loads, excluded, now):
                first = [item for item in targets if item.id == "silent"]
                return choose(first, loads, excluded, now) or choose(
                    targets, loads, excluded, now
                )

            selector.choose = choose_silent_first
            await fail_hedges(failing, failure)
            async with site.call("/look/", 1, method="GET", data=None) as answer:
                body = await answer.read()
            assert (answer.status, body) == (200, b"silent ran try-1")

    if not has_retries:
        granted = iter([True])
        monkeypatch.setattr(plain, "spend_retry", lambda *_: next(granted, False))
    run_scenario(scenario())


def test_long_body_whose_target_stays_silent_ends_at_its_deadline():
    async def scenario():
        async with run_site() as site:
            await add_quiet_desks(site, DESKS, Step.MIDDLE, 60.0, LONG_BODY_BYTES)
            headers = {"Deadline-Ms": "500"}
            with capture_all_logs() as lines, pytest.raises(aiohttp.ClientPayloadError):
                async with site.call("/look/", 1, method="GET", headers=headers) as end:
                    await end.read()
            reasons = [
                line["reason"] for line in lines if line["event"] == "answer_aborted"
            ]
            assert reasons == ["time_up"]
            front = site.hosts[0].parts.front
            await site.wait_until(lambda: not front.running_requests)

    run_scenario(scenario())


@pytest.mark.parametrize("path", METHODS)
@pytest.mark.parametrize("step", Step)
@pytest.mark.parametrize("silent", [DESKS // 2, DESKS])
def test_answer_is_whole_though_targets_are_silent_beside_changes(path, step, silent):
    async def scenario():
        async with run_site(hosts=2) as site:
            desks = await add_quiet_desks(site, silent, step, 1.2)
            await check_all_whole(site, desks, path, 24, 800, changes=True)

    run_scenario(scenario())


@pytest.mark.parametrize("path", METHODS)
@pytest.mark.parametrize("step", Step)
@pytest.mark.parametrize("silent", [1, DESKS])
@pytest.mark.parametrize("size", [800, LONG_BODY_BYTES])
def test_answer_is_whole_though_targets_are_silent_for_three_seconds(
    path, step, silent, size
):
    async def scenario():
        async with run_site(hosts=2) as site:
            desks = await add_quiet_desks(site, silent, step, 3.0, size)
            await check_all_whole(site, desks, path, 12, size)

    run_scenario(scenario())
