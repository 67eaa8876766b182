"""Streams that have two attempts under way."""

import asyncio

import pytest

from marigoldswitch.tests.gateway_site import (
    build_configuration,
    list_event_ids,
    run_scenario,
    run_site,
)

MANY_EVENTS = list(range(1, 61))


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
