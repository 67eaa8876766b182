"""Targets that fall silent for a moment and go on: no answer ends because of that."""

import asyncio

import pytest

from marigoldswitch.tests.gateway_site import (
    build_configuration,
    get_targets,
    list_event_ids,
    run_scenario,
    run_site,
)
from marigoldswitch.tests.quiet_play import (
    QuietPlay,
    call_to_the_end,
    run_quiet_play,
    silence,
)

SILENCE = 1.2
MANY_EVENTS = list(range(1, 61))


@pytest.mark.parametrize("hosts", [1, 3])
def test_stream_goes_on_after_all_engines_were_silent_for_a_second(hosts):
    async def scenario():
        async with run_site(hosts=hosts) as site:
            engines = [
                await site.add_engine(name, "north", (0, 8)) for name in ("x", "y")
            ]
            for engine in engines:
                engine.events = MANY_EVENTS[-1]
            await site.wait_for_layout()
            async with site.call("/draft/", 1) as answer:
                body = await answer.content.readany()
                await silence(engines, SILENCE)
                body += await answer.read()
            assert list_event_ids(body) == MANY_EVENTS

    run_scenario(scenario())


@pytest.mark.parametrize("why", ["no_run_left", "no_retry_left", "no_engine_left"])
def test_silent_stream_that_can_not_be_resumed_is_kept(why):
    async def scenario():
        async with run_site(hosts=1) as site:
            engine = await site.add_engine("x", "north", (0, 8))
            engine.events = MANY_EVENTS[-1]
            # It answers probes, so that the silence is not put down to the host.
            await site.add_engine("y", "north", (4, 8))
            attempts = 1 if why == "no_run_left" else 3
            site.store.put("op", "config", build_configuration(2, attempts=attempts))
            directory = site.hosts[0].parts.runs.directory
            await site.wait_until(lambda: directory.version == 2)
            await site.wait_for_layout()
            if why == "no_retry_left":
                site.hosts[0].parts.runs.retries.update_limits(0.0, 0.0)
            async with site.call("/draft/", 1) as answer:
                body = await answer.content.readany()
                await silence([engine], SILENCE)
                body += await answer.read()
            assert list_event_ids(body) == MANY_EVENTS

    run_scenario(scenario())


def test_stream_of_an_engine_whose_row_was_removed_is_kept_at_a_host_without_retries():
    async def scenario():
        async with run_site(hosts=1) as site:
            engine = await site.add_engine("x", "north", (0, 8))
            engine.events = MANY_EVENTS[-1]
            await site.wait_for_layout()
            # As after a restart, until the host knows what the others have spent.
            site.hosts[0].parts.runs.retries.update_limits(0.0, 0.0)
            async with site.call("/draft/", 1) as answer:
                body = await answer.content.readany()
                site.store.delete("servers", "x")
                await site.wait_until(lambda: not get_targets(site))
                await silence([engine], 0.4)
                body += await answer.read()
            assert list_event_ids(body) == MANY_EVENTS

    run_scenario(scenario())


@pytest.mark.parametrize("hosts", [1, 3])
def test_stream_begins_after_all_engines_were_silent_for_a_second(hosts):
    async def scenario():
        async with run_site(hosts=hosts) as site:
            engines = [
                await site.add_engine(name, "north", (0, 8)) for name in ("x", "y")
            ]
            await site.wait_for_layout()
            call = asyncio.create_task(call_to_the_end(site, "stream", 1))
            await silence(engines, SILENCE)
            assert await call == "whole"

    run_scenario(scenario())


@pytest.mark.parametrize("seed", [3, 4])
def test_answers_that_have_begun_are_never_broken_off_for_a_silence(seed):
    async def scenario():
        async with run_site(engines=6, desks=6, hosts=6) as site:
            await site.wait_for_layout()
            play = QuietPlay(SILENCE, 0.5, seed, seconds=10.0)
            result = await run_quiet_play(site, play)
            assert result.count("cut") == 0, result.ends
            assert result.count("whole") > 0

    run_scenario(scenario())
