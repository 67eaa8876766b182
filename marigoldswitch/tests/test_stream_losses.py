"""Streams whose engines die, leave, refuse them or reset them."""

import asyncio

import aiohttp
import pytest

from marigoldswitch.core.ids import ServiceName, TargetId
from marigoldswitch.core.suspects import MAX_EXCLUSION_SECONDS, Finding
from marigoldswitch.gateway.upstream import Lost
from marigoldswitch.tests.gateway_site import (
    ALL_EVENTS,
    build_configuration,
    check_layers,
    get_targets,
    list_event_ids,
    run_scenario,
    run_site,
)


def test_stream_takes_a_detour_around_an_engine_that_dies():
    async def scenario():
        async with run_site(hosts=1) as site:
            first = await site.add_engine("first", "north", (0, 4))
            second = await site.add_engine("second", "north", (4, 8))
            await site.add_engine("spare", "north", (4, 8))
            await site.wait_for_layout()
            await site.wait_until(lambda: len(get_targets(site)) == 3)
            first.events = 60
            async with site.call("/draft/", 1) as answer:
                await answer.content.readany()
                victim = site.engines.streams[0].path[1][0]
                await site.engines.engines[victim].stop()
                body = await answer.read()
            assert list_event_ids(body)[-1] == 60
            assert first.runs["try-1"] == 1
            assert any(order["op"] == "repath" for order in first.orders)
            check_layers(site)
            assert second.sequence == 0

    run_scenario(scenario())


def test_stream_goes_on_elsewhere_when_its_first_engine_dies():
    async def scenario():
        async with run_site(hosts=1) as site:
            for name in ("x", "y"):
                engine = await site.add_engine(name, "north", (0, 8))
                engine.events = 60
            await site.wait_until(lambda: len(get_targets(site)) == 2)
            async with site.call("/draft/", 1) as answer:
                signature = answer.headers["Replica-Signature"]
                head = await answer.content.readany()
                victim = site.engines.streams[0].path[0][0]
                await site.engines.engines[victim].stop()
                body = head + await answer.read()
            assert list_event_ids(body) == list(range(1, 61))
            assert signature == f"signed-by-{site.engines.engines[victim].name}"
            check_layers(site)

    run_scenario(scenario())


def test_event_that_is_cut_off_is_requested_again():
    async def scenario():
        async with run_site(hosts=1) as site:
            await site.add_engine("y", "north", (0, 8))
            cutting = await site.add_engine("x", "north", (0, 8))
            cutting.cut_after = 5
            await site.wait_until(lambda: len(get_targets(site)) == 2)
            for number in range(4):
                async with site.call("/draft/", number) as answer:
                    assert list_event_ids(await answer.read()) == ALL_EVENTS

    run_scenario(scenario())


def test_stream_that_can_not_go_on_does_not_look_complete():
    async def scenario():
        async with run_site(hosts=1) as site:
            engine = await site.add_engine("x", "north", (0, 8))
            await site.wait_until(lambda: len(get_targets(site)) == 1)
            engine.events = 60
            async with site.call("/draft/", 1) as answer:
                await answer.content.readany()
                await engine.stop()
                with pytest.raises(aiohttp.ClientError):
                    await answer.read()

    run_scenario(scenario())


def test_stream_takes_a_detour_around_an_engine_that_restarts_under_the_same_id():
    async def scenario():
        async with run_site(hosts=1) as site:
            first = await site.add_engine("x", "north", (0, 4))
            others = [await site.add_engine(name, "north", (4, 8)) for name in "yz"]
            for engine in (first, *others):
                engine.born = 1_000
                site.register_target(engine, "model", "north")
            first.events = 120
            registry = site.hosts[0].parts.runs.directory.registry
            await site.wait_until(
                lambda: [registry.get_born(name) for name in "xyz"] == [1_000] * 3
            )
            async with site.call("/draft/", 1) as answer:
                await answer.content.readany()
                record = site.engines.streams[0]
                again = site.engines.engines[record.path[1][0]]
                again.restart(2_000)
                site.register_target(again, "model", "north")
                assert list_event_ids(await answer.read())[-1] == 120
            assert record.path[1][0] != again.address
            # A late row of the previous process must not replace the newer start.
            again.held, again.born = (4, 8), 1_000
            site.register_target(again, "model", "north")
            again.held, again.born = None, 2_000
            site.register_target(first, "model", "north", name="last")
            await site.wait_until(lambda: "last" in registry.rows)
            assert registry.get_born(again.name) == 2_000

    run_scenario(scenario())


def test_stream_is_not_sent_again_to_the_engine_that_has_just_lost_it():
    async def scenario():
        async with run_site(hosts=1) as site:
            for name in ("x", "y"):
                engine = await site.add_engine(name, "north", (0, 8))
                engine.events = 60
            await site.wait_until(lambda: len(get_targets(site)) == 2)
            for number in range(8):
                for engine in site.engines.engines.values():
                    engine.cut_after = 3
                async with site.call("/draft/", number) as answer:
                    await answer.content.readany()
                    first = site.engines.streams[-1].path[0][0]
                    for address, engine in site.engines.engines.items():
                        if address != first:
                            engine.cut_after = None
                    assert list_event_ids(await answer.read())[-1] == 60
                for engine in site.engines.engines.values():
                    assert engine.runs[f"try-{number}"] == 1

    run_scenario(scenario())


def test_stream_that_has_begun_goes_on_although_engines_refuse_it_at_first():
    async def scenario():
        async with run_site(hosts=1) as site:
            engines = [
                await site.add_engine(name, "north", (0, 8)) for name in ("x", "y", "z")
            ]
            await site.wait_until(lambda: len(get_targets(site)) == 3)
            runs = site.hosts[0].parts.runs
            runs.retries.update_limits(10.0, 0.0)
            budget = runs.retries.get(ServiceName("model"))
            while budget.spend(_now(site)):
                pass
            for engine in engines:
                engine.events = 60
                engine.cut_after = 3
            async with site.call("/draft/", 1) as answer:
                await answer.content.readany()
                for engine in engines:
                    engine.refusals = 2
                    engine.cut_after = None
                assert list_event_ids(await answer.read())[-1] == 60

    run_scenario(scenario())


def test_one_time_stream_is_not_run_again_though_its_engine_is_known_to_be_dead():
    """The connection is reset just as the engine is marked dead.

    If a run on a dead engine were not counted, a request that may run only once would
    be sent to a second engine, and a refusal would claim that it had not run.
    """

    async def scenario():
        async with run_site(hosts=1) as site:
            configuration = build_configuration(version=2)
            configuration["routes"][0]["resumable"] = False
            site.store.put("op", "config", configuration)
            for name in ("x", "y"):
                await site.add_engine(name, "north", (0, 8))
            runs = site.hosts[0].parts.runs
            directory = runs.directory
            await site.wait_until(
                lambda: len(get_targets(site)) == 2 and directory.version == 2
            )
            send = runs.upstream.send

            async def lose(target, *rest):
                opened = await send(target, *rest)
                now = runs.clock.monotonic()
                directory.suspects.note(target.id, Finding.DEAD, now)
                opened.response.close()
                return Lost("reset")

            runs.upstream.send = lose
            async with site.call("/draft/", 1) as answer:
                assert answer.status == 502
            assert sum(len(item.runs) for item in site.engines.engines.values()) == 1

    run_scenario(scenario())


def test_stream_goes_on_although_a_release_ends_one_of_its_engines_after_the_other():
    """A route allows two targets, and a rollout ends three engines of one stream.

    An engine that ends cuts its streams off a moment before it closes its port, so it
    is not yet known to be dead. If its run counted against the route's limit, a stream
    that moved to a second engine of the same rollout would be aborted with "no target
    left to try", about 4 ms after it had begun there.
    """

    async def scenario():
        async with run_site(hosts=1) as site:
            for name in "wxyz":
                engine = await site.add_engine(name, "north", (0, 8))
                engine.events = 100
            await site.wait_until(lambda: len(get_targets(site)) == 4)
            async with site.call("/draft/", 1) as answer:
                body = b""
                for number in range(1, 4):
                    await site.wait_until(
                        lambda n=number: len(site.engines.streams) == n
                    )
                    body += await answer.content.readany()
                    await site.engines.engines[
                        site.engines.streams[-1].path[0][0]
                    ].stop()
                body += await answer.read()
            assert list_event_ids(body) == list(range(1, 101))

    run_scenario(scenario())


async def add_resetting_engine(site):
    """Add an engine that resets each request and a healthy one; return the former."""
    bad = await site.add_engine("bad", "north", (0, 8))
    await site.add_engine("good", "north", (0, 8))
    await site.wait_until(lambda: len(get_targets(site)) == 2)
    bad.resets = True
    return bad


def test_engine_that_resets_all_requests_does_not_attract_them():
    """An engine resets each request at once, but its reports say that it is healthy.

    It always looks idle, so that it would attract all requests and exhaust the retry
    budget: 78 of 2,000 callers of a data centre failed within five seconds.
    """

    async def scenario():
        async with run_site(hosts=1) as site:
            bad = await add_resetting_engine(site)
            for number in range(30):
                async with site.call("/draft/", number) as answer:
                    assert answer.status == 200
                    assert list_event_ids(await answer.read()) == ALL_EVENTS
            assert len(bad.bodies) <= 3

    run_scenario(scenario())


def test_host_whose_connections_were_all_reset_still_serves():
    async def scenario():
        async with run_site(hosts=1) as site:
            for name in ("x", "y"):
                await site.add_engine(name, "north", (0, 8))
            await site.wait_until(lambda: len(get_targets(site)) == 2)
            suspects = site.hosts[0].parts.runs.directory.suspects
            for name in ("x", "y"):
                suspects.note(TargetId(name), Finding.FAILED, _now(site))
            async with site.call("/draft/", 1) as answer:
                assert list_event_ids(await answer.read()) == ALL_EVENTS

    run_scenario(scenario())


def _now(site):
    return site.hosts[0].parts.runs.clock.monotonic()


def test_stream_runs_at_no_third_engine_while_the_first_two_live():
    """Two engines are silent one after the other, are marked dead, and go on.

    If being marked dead counted as proof that they have ended, neither run would count,
    and the request would run on three targets where its route allows two.
    """

    async def scenario():
        async with run_site(hosts=1) as site:
            for name in "xyz":
                engine = await site.add_engine(name, "north", (0, 8))
                engine.events = 400
            await site.wait_until(lambda: len(get_targets(site)) == 3)
            suspects = site.hosts[0].parts.runs.directory.suspects
            async with site.call("/draft/", 1) as answer:
                body = b""
                silent = []
                for number in (1, 2):
                    await site.wait_until(
                        lambda n=number: len(site.engines.streams) == n
                    )
                    body += await answer.content.readany()
                    first = site.engines.streams[-1].path[0][0]
                    silent.append(site.engines.engines[first])
                    silent[-1].awake.clear()
                    name = TargetId(silent[-1].name)
                    suspects.note(name, Finding.DEAD, _now(site))
                await asyncio.sleep(1.0)
                for engine in silent:
                    engine.awake.set()
                body += await answer.read()
            assert list_event_ids(body) == list(range(1, 401))
            assert len(site.engines.streams) == 2

    run_scenario(scenario())


def test_stream_waits_for_a_new_engine_as_long_as_its_caller_does():
    """The only engine ends in a rollout; another has its layers 1.4 s later.

    Callers stay for 2 s after the last event. If the wait for a chain were limited to
    1.0 s, the stream would be aborted 0.7 s before its caller would have left.
    """

    async def scenario():
        async with run_site(hosts=1) as site:
            first = await site.add_engine("x", "north", (0, 8))
            first.events = 60
            await site.wait_until(lambda: len(get_targets(site)) == 1)
            async with site.call("/draft/", 1) as answer:
                body = await answer.content.readany()
                await first.stop()
                await asyncio.sleep(1.2)
                engine = await site.add_engine("y", "north", (0, 8))
                engine.events = 60
                body += await answer.read()
            assert list_event_ids(body) == list(range(1, 61))
            check_layers(site)

    run_scenario(scenario())


def test_engine_that_resets_all_requests_gets_none_twice_over_kept_connections():
    """Reading reports leaves a connection on which a reset looks like a stale one.

    If such a reset were taken for a stale connection, the engine would get the request
    twice. On a busy machine it got five of thirty requests, two of them twice.
    """

    async def scenario():
        async with run_site(hosts=1) as site:
            bad = await add_resetting_engine(site)
            parts = site.hosts[0].parts.runs
            for number in range(30):
                await parts.engines.read(bad.address, 1.0)
                async with site.call("/draft/", number) as answer:
                    assert list_event_ids(await answer.read()) == ALL_EVENTS
                known = parts.directory.suspects._suspicions.get("bad")
                if known is not None:
                    # However long the requests take, the engine gets the next ones at
                    # once until it has lost three, and then none.
                    known.until = 0.0 if len(bad.bodies) < 3 else float("inf")
            assert known.seconds == MAX_EXCLUSION_SECONDS
            lost = [item["Attempt-Id"] for item in bad.request_headers]
            assert len(lost) == len(set(lost)) == len(bad.bodies) == 3

    run_scenario(scenario())


def test_broken_off_answer_is_logged_and_counted_with_its_reason(log_lines):
    async def scenario():
        async with run_site(hosts=1) as site:
            engine = await site.add_engine("x", "north", (0, 8))
            await site.wait_until(lambda: len(get_targets(site)) == 1)
            engine.events = 60
            async with site.call("/draft/", 1) as answer:
                await answer.content.readany()
                await engine.stop()
                with pytest.raises(aiohttp.ClientError):
                    await answer.read()
            address = site.hosts[0].parts.settings.addresses.readiness
            async with site.client.get(f"http://{address}/metrics") as answer:
                text = await answer.text()
            sample = 'answers_aborted_total{reason="no_chain"} 1'
            assert sample in text
            (line,) = (item for item in log_lines if item["event"] == "answer_aborted")
            assert (line["request"], line["reason"]) == ("try-1", "no_chain")
            assert line["silent"] > 0.0

    run_scenario(scenario())
