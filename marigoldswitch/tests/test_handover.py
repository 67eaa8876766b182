"""Streams whose chain is suspected: which attempt goes on, and what callers get."""

import asyncio
import contextlib
from types import SimpleNamespace

import pytest

from marigoldswitch.core.read_bounds import ReadBounds
from marigoldswitch.gateway import streams
from marigoldswitch.gateway.attempts import Attempt
from marigoldswitch.gateway.broken_chains import ChainBroken, ChainGivenUp
from marigoldswitch.gateway.forwarding import EventForwarder
from marigoldswitch.gateway.lost_runs import record_lost_run
from marigoldswitch.tests.gateway_site import (
    build_configuration,
    check_layers,
    get_targets,
    list_event_ids,
    run_scenario,
    run_site,
)

MANY_EVENTS = list(range(1, 61))


async def start_stream(site, names="xyz"):
    """Start engines that hold all layers and a stream; return its engine and answer."""
    for name in names:
        engine = await site.add_engine(name, "north", (0, 8))
        engine.events = MANY_EVENTS[-1]
    await site.wait_until(lambda: len(get_targets(site)) == len(names))
    answer = await site.call("/draft/", 1)
    body = await answer.content.readany()
    return get_engine(site, 0), answer, body


def get_engine(site, number):
    """Return the first engine of the stream that was started as the n-th."""
    return site.engines.engines[site.engines.streams[number].path[0][0]]


def count_chains(lines):
    return sum(line["event"] == "chain_chosen" for line in lines)


def list_ends_of_doubts(lines):
    return [line["outcome"] for line in lines if line["event"] == "stream_doubt_ended"]


def test_replacement_that_delivers_first_goes_on_and_the_silent_run_is_closed(
    log_lines,
):
    async def scenario():
        async with run_site(hosts=1) as site:
            silent, answer, body = await start_stream(site)
            silent.awake.clear()
            body += await answer.read()
            assert list_event_ids(body) == MANY_EVENTS
            assert len(site.engines.streams) == 2
            assert list_ends_of_doubts(log_lines) == ["replaced"]
            silent.awake.set()
            await site.wait_until(lambda: not silent._open_streams)
            check_layers(site)
            assert site.hosts[0].parts.runs.planner.count_begun() == 0

    run_scenario(scenario())


def test_run_that_delivers_before_its_replacement_goes_on(log_lines):
    async def scenario():
        async with run_site(hosts=1) as site:
            first, answer, body = await start_stream(site)
            others = [
                item for item in site.engines.engines.values() if item is not first
            ]
            for engine in (first, *others):
                engine.awake.clear()
            # Answers reports, so that the silence is not put down to the host.
            for engine in others:
                engine.reports_in_silence = True
            await site.wait_until(lambda: count_chains(log_lines) == 2)
            first.awake.set()
            body += await answer.read()
            assert list_event_ids(body) == MANY_EVENTS
            assert list_ends_of_doubts(log_lines) == ["recovered"]
            for engine in others:
                engine.awake.set()
            await site.wait_until(
                lambda: not any(engine._open_streams for engine in others)
            )
            check_layers(site)
            assert site.hosts[0].parts.runs.planner.count_begun() == 0

    run_scenario(scenario())


def test_replacement_delivers_while_the_end_of_the_silent_run_is_recorded(monkeypatch):
    async def record_slowly(*args):
        await asyncio.sleep(0.3)
        await record_lost_run(*args)

    monkeypatch.setattr(streams, "record_lost_run", record_slowly)

    async def scenario():
        async with run_site(hosts=1) as site:
            first, answer, body = await start_stream(site)
            first.awake.clear()
            directory = site.hosts[0].parts.runs.directory
            clock = site.hosts[0].parts.runs.clock
            await site.wait_until(
                lambda: directory.suspects.is_dead(first.name, clock.monotonic())
            )
            await first.stop()
            body += await answer.read()
            assert list_event_ids(body) == MANY_EVENTS
            assert len(site.engines.streams) == 2

    run_scenario(scenario())


@pytest.mark.parametrize("is_fact", [True, False])
def test_only_a_fact_ends_an_attempt(is_fact):
    async def scenario():
        changes = []
        attempt = Attempt(lambda: changes.append(1), lambda _: None, lambda: 1)
        attempt.start(asyncio.sleep(30.0))
        why = ChainBroken("reset") if is_fact else ChainGivenUp("silent")
        attempt.report(why)
        await asyncio.sleep(0.01)
        assert changes
        assert attempt.is_done is is_fact
        if is_fact:
            with pytest.raises(ChainBroken):
                attempt.get_result()
        else:
            assert attempt.doubt is why
            attempt.cancel()

    asyncio.run(scenario())


async def start_engines(site, names, attempts):
    """Start engines that hold all layers, and return them by their ids."""
    engines = {}
    for name in names:
        engines[name] = await site.add_engine(name, "north", (0, 8))
        engines[name].events = MANY_EVENTS[-1]
    # They answer probes, so that silences are not put down to the host.
    for name in ("spare-1", "spare-2", "spare-3"):
        await site.add_engine(name, "north", (4, 8))
    site.store.put("op", "config", build_configuration(2, 10_000, attempts))
    directory = site.hosts[0].parts.runs.directory
    await site.wait_until(lambda: directory.version == 2)
    await site.wait_for_layout()
    return engines


async def wait_for_attempts(site, count):
    """Wait until the only stream has runs under way; return their first engines."""
    streams = site.hosts[0].parts.requests.streams

    def list_first():
        monitors = [item for run in streams for item in run.list_monitors()]
        return [item.stages[0].target for item in monitors if item.stages]

    await site.wait_until(lambda: len(list_first()) == count)
    await asyncio.sleep(0.05)
    return list_first()


def reset_connections(engine):
    """Reset the connections to an engine, which goes on."""
    for connection in engine._runner.server.connections:
        connection.transport.abort()


@pytest.mark.parametrize("attempts", [2, 3])
def test_replacement_that_delivers_as_the_doubted_run_ends_is_kept(attempts):
    async def scenario():
        async with run_site(hosts=1) as site:
            engines = await start_engines(site, "xy", attempts)
            for engine in engines.values():
                engine.awake.clear()

            body = bytearray()

            async def read():
                async with site.call("/draft/", 1) as answer:
                    async for content in answer.content.iter_any():
                        body.extend(content)

            call = asyncio.create_task(read())
            first, second = await wait_for_attempts(site, 2)
            # The host then waits to learn whether the first engine has ended.
            reset_connections(engines[first])
            await asyncio.sleep(0.01)
            engines[second].awake.set()
            await site.wait_until(lambda: len(body) > 0)
            engines[first].awake.set()
            await call
            assert list_event_ids(bytes(body)) == MANY_EVENTS
            # The first engine was silent before it read the request.
            assert len(site.engines.streams) == 1

    run_scenario(scenario())


def test_stream_goes_on_at_a_third_engine_when_its_replacement_is_silent_too():
    async def scenario():
        async with run_site(hosts=1) as site:
            engines = await start_engines(site, "xyz", 3)
            # No layers move to other engines meanwhile.
            suspects = site.hosts[0].parts.runs.directory.suspects
            suspects.has_been_dead = lambda *_: False
            deadline = {"Deadline-Ms": "9000"}
            async with site.call("/draft/", 1, headers=deadline) as answer:
                body = await answer.content.readany()
                for engine in engines.values():
                    engine.awake.clear()
                both = await wait_for_attempts(site, 2)
                (third,) = set(engines) - set(both)
                engines[third].awake.set()
                async with asyncio.timeout(6.0):
                    body += await answer.read()
            assert list_event_ids(body) == MANY_EVENTS
            assert all(engine.runs["try-1"] <= 1 for engine in engines.values())

    run_scenario(scenario())


def test_fault_while_a_replaced_run_is_recorded_does_not_end_the_answer(monkeypatch):
    async def fail(*args):
        raise ValueError("cannot be recorded")

    monkeypatch.setattr(streams, "record_lost_run", fail)

    async def scenario():
        async with run_site(hosts=1) as site:
            silent, answer, body = await start_stream(site)
            silent.awake.clear()
            body += await answer.read()
            assert list_event_ids(body) == MANY_EVENTS

    run_scenario(scenario())


class _Reply:
    """An answer that consists of given pieces."""

    headers = {"Transfer-Encoding": "chunked"}
    _protocol = None

    def __init__(self, pieces):
        self._pieces = [*pieces, b""]
        self.content = self

    async def readany(self):
        return self._pieces.pop(0)


class _Claimant:
    """An attempt that has a rival until it claims the answer."""

    def __init__(self):
        self.claims = 0

    def claim(self):
        self.claims += 1

    def has_rival(self):
        return not self.claims


@contextlib.asynccontextmanager
async def _monitor(reply):
    yield


def test_comment_of_one_attempt_does_not_end_the_other():
    written, claimant = [], _Claimant()

    async def write(content):
        written.append((content, claimant.claims))

    async def begin():
        pass

    exchange = SimpleNamespace(
        last_event="1",
        last_event_at=None,
        arrived=0.0,
        first_event=None,
        route=SimpleNamespace(is_resumable=True),
        response=SimpleNamespace(write=write),
    )
    forwarder = EventForwarder(
        SimpleNamespace(monotonic=lambda: 1.0),
        exchange,
        SimpleNamespace(note_event=lambda: None, monitor=_monitor),
        ReadBounds,
        claimant,
        begin,
    )
    pieces = [b": busy\n\n", b"id: 2\ndata: x\n\n", b": busy\n\n"]
    asyncio.run(forwarder.forward(_Reply(pieces)))
    assert written == [(b"id: 2\ndata: x\n\n", 1), (b": busy\n\n", 2)]
