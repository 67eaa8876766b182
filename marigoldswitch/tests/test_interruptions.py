"""Streams of real hosts that lose engines in the middle of an answer."""

import asyncio
import contextlib

import pytest

from marigoldswitch.core.suspects import Finding
from marigoldswitch.gateway import probing
from marigoldswitch.gateway.detours import ChainMonitor
from marigoldswitch.tests.gateway_site import (
    check_layers,
    get_targets,
    list_event_ids,
    run_scenario,
    run_site,
)
from marigoldswitch.tests.helpers import capture_all_logs

EVENTS = 60


@contextlib.asynccontextmanager
async def run_streams(layout, count):
    """Run some streams over engines of one data centre until each has events.

    :param layout: layers of each engine by name.
    """
    async with run_site(hosts=1) as site, contextlib.AsyncExitStack() as stack:
        engines = {}
        for name, held in layout.items():
            engines[name] = await site.add_engine(name, "north", held)
            engines[name].events = EVENTS
        await site.wait_until(lambda: len(get_targets(site)) == len(layout))
        answers = []
        for number in range(count):
            call = site.call("/draft/", number)
            answer = await stack.enter_async_context(call)
            answers.append((answer, await answer.content.readany()))
        yield site, engines, answers


async def read_whole(answers):
    bodies = [head + await answer.read() for answer, head in answers]
    for body in bodies:
        assert list_event_ids(body) == list(range(1, EVENTS + 1))


def list_lines(lines, event):
    return [line for line in lines if line["event"] == event]


def test_streams_take_detours_as_soon_as_their_engine_is_found_dead(monkeypatch):
    """Each stream noticed the loss by its own silence, up to 0.04 s after the first."""
    monkeypatch.setattr(ChainMonitor, "_choose_silence_limit", lambda _: 5.0)

    async def scenario():
        layout = {"first": (0, 4), "a": (4, 8), "b": (4, 8)}
        async with run_streams(layout, 6) as (site, engines, answers):
            runs = site.hosts[0].parts.requests.list_monitors("a")
            assert runs
            suspects = site.hosts[0].parts.runs.directory.suspects
            now = site.hosts[0].parts.runs.clock.monotonic()
            with capture_all_logs() as lines:
                await engines["a"].stop()
                suspects.note("a", Finding.DEAD, now)
                await site.wait_until(
                    lambda: len(list_lines(lines, "detour_ordered")) == len(runs), 3.0
                )
                assert len(list_lines(lines, "continuations_planned")) == 1
                await read_whole(answers)
            interrupted = list_lines(lines, "stream_interrupted")
            assert len(interrupted) == len(runs)
            assert all(line["order_answered"] is not None for line in interrupted)
            check_layers(site)

    run_scenario(scenario())


@pytest.mark.parametrize("count", [1, 4])
def test_stream_that_lost_its_first_engine_avoids_engines_of_the_same_loss(
    count, monkeypatch
):
    """Next chains were refused two or three times by engines of the same loss."""
    # A busy machine answers probes late.
    monkeypatch.setattr(probing, "CONFIRM_SECONDS", 1.0)
    monkeypatch.setattr(probing, "SURVEY_SECONDS", 1.0)

    async def scenario():
        layout = dict.fromkeys("ab", (0, 4)) | dict.fromkeys("cdef", (4, 8))
        async with run_streams(layout, count) as (site, engines, answers):
            first = site.engines.engines[site.engines.streams[0].path[0][0]]
            second = site.engines.engines[site.engines.streams[0].path[1][0]]
            with capture_all_logs() as lines:
                await asyncio.gather(first.stop(), second.stop(), engines["f"].stop())
                await read_whole(answers)
            assert list_lines(lines, "loss_surveyed")
            assert len(list_lines(lines, "engine_refused")) <= 1
            kinds = {line["kind"] for line in list_lines(lines, "stream_interrupted")}
            assert kinds <= {"reset", "cut", "silence"} and kinds
            check_layers(site)

    run_scenario(scenario())


def test_resumed_stream_is_sent_with_the_highest_priority():
    async def scenario():
        async with run_streams({"a": (0, 8), "b": (0, 8)}, 1) as streams:
            site, engines, answers = streams
            (lost,) = (item for item in engines.values() if item.runs)
            (other,) = (item for item in engines.values() if not item.runs)
            await lost.stop()
            await read_whole(answers)
            asked = [item for item in other.request_headers if "Hop-Count" in item]
            assert [item["Request-Priority"] for item in asked] == ["0"]
            sent = [item for item in lost.request_headers if "Hop-Count" in item]
            assert [item["Request-Priority"] for item in sent] == ["1"]

    run_scenario(scenario())


def test_stream_goes_to_another_data_centre_without_waiting_for_probes():
    async def scenario():
        async with run_streams({"a": (0, 8), "b": (0, 8)}, 1) as streams:
            site, engines, answers = streams
            far = await site.add_engine("far", "south", (0, 8))
            far.events = EVENTS
            await site.wait_until(lambda: "far" in get_targets(site))
            with capture_all_logs() as lines:
                for name in "ab":
                    await engines[name].stop()
                await read_whole(answers)
            assert len(far.runs) == 1
            assert list_lines(lines, "loss_surveyed") == []
            assert list_lines(lines, "engine_refused") == []

    run_scenario(scenario())
