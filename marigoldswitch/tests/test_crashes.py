"""Requests that crash the targets running them, on stand-in targets."""

import asyncio

import aiohttp
import pytest

from marigoldswitch.core.interruptions import InterruptedRequest
from marigoldswitch.gateway import exchanges
from marigoldswitch.tests.faulty_targets import FaultyTarget
from marigoldswitch.tests.gateway_site import (
    ALL_EVENTS,
    get_targets,
    list_event_ids,
    run_scenario,
    run_site,
)

CRASHING = b"ends what runs it"
MAX_ENDS = 3


async def send(site, number, host, body, path="/draft/1"):
    """Return the status of a request and its body; ``None`` if that broke off."""
    async with site.call(path, number, host, data=body) as answer:
        try:
            return answer.status, await answer.read()
        except aiohttp.ClientError:
            return answer.status, None


async def add_crashing_engines(site, count):
    """Add engines that crash on certain bodies; return the set of these bodies."""
    crashing = {CRASHING}
    for index in range(count):
        engine = await site.add_engine(f"x{index}", "north", (0, 8))
        engine.crashing = crashing
    await site.wait_until(lambda: len(get_targets(site)) == count)
    return crashing


def count_ends(targets, body=CRASHING):
    return sum(item.crashes[body] for item in targets)


def test_request_that_crashes_engines_is_stopped_on_all_hosts():
    async def scenario():
        async with run_site(hosts=2) as site:
            await add_crashing_engines(site, 8)
            for number in range(8):
                await send(site, number, number % 2, CRASHING)
            assert count_ends(site.engines.engines.values()) <= MAX_ENDS
            status, body = await send(site, 9, 0, b"{}")
            assert (status, list_event_ids(body)) == (200, ALL_EVENTS)

    run_scenario(scenario())


def test_request_that_crashes_later_engines_of_its_chain_is_stopped():
    async def scenario():
        async with run_site(hosts=1) as site:
            site.engines.crashing_second_stage = {CRASHING}
            await site.add_engine("first", "north", (0, 4))
            for index in range(8):
                await site.add_engine(f"x{index}", "north", (4, 8))
            await site.wait_until(lambda: len(get_targets(site)) == 9)
            for number in range(3):
                await send(site, number, 0, CRASHING)
            assert 1 <= count_ends(site.engines.engines.values()) <= MAX_ENDS
            status, body = await send(site, 9, 0, b"{}")
            assert (status, list_event_ids(body)) == (200, ALL_EVENTS)

    run_scenario(scenario())


def test_request_that_crashes_plain_targets_is_stopped_on_all_hosts():
    async def scenario():
        async with run_site(hosts=2, desks=6) as site:
            for desk in site.desks:
                desk.crashing = {CRASHING}
            await site.wait_until(lambda: len(get_targets(site)) == 6)
            for number in range(8):
                status, _ = await send(site, number, number % 2, CRASHING, "/once/1")
                assert status in (502, 503)
                assert sum(item.runs[f"try-{number}"] for item in site.desks) <= 1
                if status == 503:
                    assert not any(item.runs[f"try-{number}"] for item in site.desks)
            assert 1 <= count_ends(site.desks) <= MAX_ENDS
            assert (await send(site, 9, 0, b"{}", "/once/1"))[0] == 200

    run_scenario(scenario())


@pytest.mark.parametrize("method", ["GET", "POST"])
def test_request_that_crashes_plain_targets_is_stopped_if_they_are_back_at_once(method):
    """Callers send it to four hosts in turn, beside other requests."""

    async def scenario():
        targets = [FaultyTarget(f"d{index}") for index in range(6)]
        async with run_site(hosts=4) as site:
            for target in targets:
                target.crashing = frozenset({"/look/crash"})
                await target.start()
                site.register_target(target, "desk", "north")
            await site.wait_until(
                lambda: all(
                    len(host.parts.runs.directory.registry.targets) == 6
                    for host in site.hosts
                )
            )
            fields = {"data": None} if method == "GET" else {}
            for number in range(0, 40, 2):
                for index, path in enumerate(("/look/sound", "/look/crash")):
                    async with site.call(
                        path, number + index, number // 2 % 4, method=method, **fields
                    ) as answer:
                        await answer.read()
            for target in targets:
                target.stop()
        assert 1 <= sum(item.crashes for item in targets) <= 2 * MAX_ENDS

    run_scenario(scenario())


@pytest.mark.parametrize("path", ["/look/1", "/draft/1"])
def test_end_counts_though_the_repeat_on_a_new_connection_is_refused(path):
    async def scenario():
        async with run_site(hosts=1, desks=4) as site:
            await add_crashing_engines(site, 4)
            await site.wait_until(lambda: len(get_targets(site)) == 8)
            for desk in site.desks:
                desk.crashing = {CRASHING}
            for number in range(24):
                assert (await send(site, number, 0, b"{}", path))[0] == 200
            await send(site, 99, 0, CRASHING, path)
            ends = count_ends([*site.desks, *site.engines.engines.values()])
            notes = site.hosts[0].parts.runs.crashes.list_notes().notes
            assert [len(item.ends) for item in notes] == [ends]

    run_scenario(scenario())


def test_host_that_starts_later_lets_no_held_request_run():
    async def scenario():
        async with run_site(hosts=1) as site:
            await add_crashing_engines(site, 4)
            for number in range(2):
                await send(site, number, 0, CRASHING)
            ends = count_ends(site.engines.engines.values())
            late = await site.add_host("late", "south")
            watch = late.parts.runs.crashes
            await site.wait_until(lambda: late.is_ready and not watch.is_empty)
            assert (await send(site, 9, 1, CRASHING))[0] == 503
            assert count_ends(site.engines.engines.values()) == ends

    run_scenario(scenario())


def test_request_whose_connections_are_reset_by_live_engines_is_not_held():
    async def scenario():
        async with run_site(hosts=1) as site:
            engines = [
                await site.add_engine(f"x{index}", "north", (0, 8))
                for index in range(4)
            ]
            await site.wait_until(lambda: len(get_targets(site)) == 4)
            for engine in engines:
                engine.resets = True
            for number in range(3):
                await send(site, number, 0, CRASHING)
            for engine in engines:
                engine.resets = False
            site.hosts[0].parts.runs.directory.suspects._suspicions.clear()
            assert (await send(site, 9, 0, CRASHING))[0] == 200

    run_scenario(scenario())


def test_target_that_ends_just_after_it_has_reset_a_connection_is_found_to_have_ended():
    async def scenario():
        async with run_site(hosts=1) as site:
            engine = await site.add_engine("x", "north", (0, 8))
            await site.wait_until(lambda: len(get_targets(site)) == 1)
            watch = site.hosts[0].parts.runs.crashes
            target = get_targets(site)["x"]
            await watch.note_cut_off(InterruptedRequest("reset", None, False), target)
            assert watch.is_empty
            await engine.stop()
            await watch.note_cut_off(InterruptedRequest("bad", None, False), target)
            assert [item.fingerprint for item in watch.list_notes().notes] == ["bad"]

    run_scenario(scenario())


def test_request_that_runs_to_its_end_is_no_longer_suspect():
    async def scenario():
        async with run_site(hosts=1) as site:
            crashing = await add_crashing_engines(site, 3)
            for engine in site.engines.engines.values():

                def crash_once(body, crash=engine.crash):
                    crashing.clear()
                    return crash(body)

                engine.crash = crash_once
            assert (await send(site, 1, 0, CRASHING))[0] == 200
            assert count_ends(site.engines.engines.values()) == 1
            notes = site.hosts[0].parts.runs.crashes.list_notes().notes
            assert [item.ends for item in notes] == [()]

    run_scenario(scenario())


def test_no_fingerprint_is_computed_while_no_target_has_ended(monkeypatch):
    """Fingerprints are not computed before they are needed.

    One takes 2 us for a body of 2 KB and 0.7 ms for 1 MB. A look-up among 512 requests
    takes 0.1 us.
    """
    computed = []
    monkeypatch.setattr(exchanges, "fingerprint_request", computed.append)

    async def scenario():
        async with run_site(hosts=1, desks=1) as site:
            await site.add_engine("x", "north", (0, 8))
            await site.wait_until(lambda: len(get_targets(site)) == 2)
            for number, path in enumerate(("/draft/1", "/once/1", "/look/1")):
                assert (await send(site, number, 0, b"{}", path))[0] == 200
            assert not computed

    run_scenario(scenario())


def test_retries_of_streams_stay_in_the_budget_when_engine_after_engine_ends():
    async def scenario():
        async with run_site(hosts=1) as site:
            for index in range(6):
                engine = await site.add_engine(f"x{index}", "north", (0, 8))
                engine.events = 150
            await site.wait_until(lambda: len(get_targets(site)) == 6)
            allowance, window, streams = 1.0, 10.0, 12
            site.hosts[0].parts.runs.retries.update_limits(allowance, 0.0)
            tasks = [
                asyncio.create_task(send(site, number, 0, b"%d" % number))
                for number in range(streams)
            ]
            for ends in range(1, 6):
                await site.wait_until(
                    lambda: (
                        all(work.done() for work in tasks)
                        or any(_has_streams(item) for item in _list_live_engines(site))
                    )
                )
                await asyncio.sleep(0.05)
                busiest = max(
                    _list_live_engines(site), key=lambda item: len(item._open_streams)
                )
                await busiest.stop()
                assert len(_list_live_engines(site)) == 6 - ends
            await asyncio.gather(*tasks)
            runs = sum(
                sum(item.runs.values()) for item in site.engines.engines.values()
            )
            assert runs - streams <= allowance * window

    run_scenario(scenario())


def _list_live_engines(site):
    return [item for item in site.engines.engines.values() if item.alive]


def _has_streams(engine):
    return bool(engine._open_streams)
