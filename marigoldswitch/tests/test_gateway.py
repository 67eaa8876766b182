"""End-to-end tests of gateway hosts with a stand-in store, engines and services."""

import asyncio

import aiohttp
import pytest

from marigoldswitch.core.ids import TargetId
from marigoldswitch.core.loads import Usage
from marigoldswitch.core.suspects import Finding
from marigoldswitch.tests.gateway_site import (
    ACCOUNT,
    ALL_EVENTS,
    KEY,
    ODD_PATHS,
    build_configuration,
    check_layers,
    get_targets,
    list_event_ids,
    run_scenario,
    run_site,
    send_raw,
)


def test_engines_are_placed_and_streams_pass():
    async def scenario():
        async with run_site(engines=4, hosts=2) as site:
            await site.wait_for_layout()
            for number in range(4):
                async with site.call("/draft/a?b=%20", number, number % 2) as answer:
                    assert answer.status == 200
                    assert answer.headers["Replica-Signature"].startswith("signed-by-")
                    assert list_event_ids(await answer.read()) == ALL_EVENTS
            check_layers(site)
            head = site.engines.streams[0]
            first = site.engines.engines[head.path[0][0]]
            assert first.paths[-1] == "/draft/a?b=%20"
            assert first.request_headers[-1]["Tenant"] == ACCOUNT
            assert "Authorization" not in first.request_headers[-1]
            # Only one host sends orders: engines carry out each order that they get.
            for engine in site.engines.engines.values():
                assert len(engine.orders) == engine.sequence

    run_scenario(scenario())


def test_request_without_a_chain_is_refused_at_once_as_not_run():
    async def scenario():
        async with (
            run_site(hosts=1, desks=1) as site,
            site.call("/draft/", 1) as answer,
        ):
            assert answer.status == 503
            assert float(answer.headers["Retry-After"]) > 0.0

    run_scenario(scenario())


def test_one_time_request_runs_once_when_its_answer_is_lost():
    async def scenario():
        async with run_site(desks=2) as site:
            for desk in site.desks:
                desk.lost_answers = 1
            async with site.call("/once/", 1) as answer:
                assert answer.status in (502, 504)
            assert sum(desk.runs["try-1"] for desk in site.desks) == 1

    run_scenario(scenario())


def test_refused_one_time_request_has_not_run():
    async def scenario():
        async with run_site(desks=1) as site:
            site.desks[0].refusals = 5
            async with site.call("/once/", 1) as answer:
                assert answer.status == 503
                assert "Retry-After" in answer.headers
            assert site.desks[0].runs["try-1"] == 0

    run_scenario(scenario())


def test_status_that_callers_take_as_not_run_is_not_passed_on():
    async def scenario():
        async with run_site(desks=1) as site:
            site.desks[0].statuses = [503]
            async with site.call("/once/", 1) as answer:
                assert answer.status == 502
                assert "Replica-Signature" not in answer.headers

    run_scenario(scenario())


def name_single_runs(document):
    """Let the streams of a configuration run once only, on each kind of route."""
    stream = document["routes"][0]
    del stream["resumable"]
    document["routes"].append(
        {**stream, "prefix": "/order/", "route_type": "unsafe", "max_attempts": 1}
    )
    return document


# Guards against a failure of an engine that tells callers to send the request again.
@pytest.mark.parametrize("path", ["/draft/", "/order/"])
@pytest.mark.parametrize("status", [408, 429, 503])
def test_failed_run_of_a_stream_that_may_run_once_is_not_told_to_be_not_run(
    path, status
):
    async def scenario():
        async with run_site(engines=2) as site:
            await site.wait_for_layout()
            site.store.put("op", "config", name_single_runs(build_configuration(2)))
            await site.wait_until(
                lambda: site.hosts[0].parts.runs.directory.version == 2
            )
            engines = site.engines.engines.values()
            for engine in engines:
                engine.statuses = [status]
            async with site.call(path, 1) as answer:
                assert answer.status == 502
                assert "Replica-Signature" not in answer.headers
            assert sum(engine.runs["try-1"] for engine in engines) == 1

    run_scenario(scenario())


def test_other_failure_of_an_engine_is_passed_on_as_it_is():
    async def scenario():
        async with run_site(engines=2) as site:
            await site.wait_for_layout()
            site.store.put("op", "config", name_single_runs(build_configuration(2)))
            await site.wait_until(
                lambda: site.hosts[0].parts.runs.directory.version == 2
            )
            for engine in site.engines.engines.values():
                engine.statuses = [500]
            async with site.call("/draft/", 1) as answer:
                assert answer.status == 500
                assert "Replica-Signature" in answer.headers

    run_scenario(scenario())


def test_idempotent_request_is_tried_elsewhere():
    async def scenario():
        async with run_site(desks=2) as site:
            for number, fault in enumerate(("statuses", "cuts", "hangs")):
                for desk in site.desks:
                    setattr(desk, fault, [500] if fault == "statuses" else 1)
                    break
                async with site.call("/look/", number, method="GET", data=None) as got:
                    assert got.status == 200
                    assert await got.read()

    run_scenario(scenario())


def test_failure_of_the_target_is_passed_on_as_it_is():
    async def scenario():
        async with run_site(desks=1) as site:
            site.desks[0].statuses = [500]
            async with site.call("/once/", 1) as answer:
                assert answer.status == 500
                assert answer.headers["Replica-Signature"] == "signed-by-d0"
                assert await answer.read() == b"d0 ran try-1"

    run_scenario(scenario())


def test_final_answer_comes_at_the_timeout_of_the_route():
    async def scenario():
        async with run_site(desks=1) as site:
            site.store.put("op", "config", build_configuration(2, timeout_ms=200))
            await site.wait_until(
                lambda: site.hosts[0].parts.runs.directory.version == 2
            )
            site.desks[0].unanswered = 1
            async with site.call("/once/", 1) as answer:
                assert answer.status == 504

    run_scenario(scenario())


@pytest.mark.parametrize(
    ("path", "headers", "status"),
    [
        ("/unknown/", {}, 404),
        ("/look/", {"Host": "other.example"}, 404),
        ("/look/", {"Authorization": "Token wrong"}, 401),
        ("/look/", {"Deadline-Ms": "soon"}, 400),
    ],
)
def test_requests_that_the_configuration_does_not_allow(path, headers, status):
    async def scenario():
        async with run_site(desks=1) as site:
            async with site.call(path, 1, headers=headers) as answer:
                assert answer.status == status
            assert not site.desks[0].runs

    run_scenario(scenario())


def test_limit_of_zero_bytes_lets_only_requests_without_a_body_in():
    async def scenario():
        async with run_site(desks=1) as site:
            document = build_configuration(2)
            document["limits"]["max_body_bytes"] = 0
            site.store.put("op", "config", document)
            await site.wait_until(
                lambda: site.hosts[0].parts.runs.directory.version == 2
            )
            for data, status in ((b"x", 413), (b"x" * 100_000, 413), (None, 200)):
                async with site.call("/look/", status, data=data) as answer:
                    assert answer.status == status

    run_scenario(scenario())


# Guards against internal faults on a route whose services all have weight 0.
def test_request_for_a_route_without_a_service_is_refused_as_not_run():
    async def scenario():
        async with run_site(desks=1) as site:
            document = build_configuration(2)
            for route in document["routes"]:
                route["backends"] = [{"service": route["service"], "weight": 0}]
            site.store.put("op", "config", document)
            await site.wait_until(
                lambda: site.hosts[0].parts.runs.directory.version == 2
            )
            for path in ("/draft/", "/once/", "/look/"):
                async with site.call(path, 1) as answer:
                    assert answer.status == 503
                    assert float(answer.headers["Retry-After"]) > 0.0
            assert not site.desks[0].runs

    run_scenario(scenario())


# Guards against an empty query whose "?" is lost.
@pytest.mark.parametrize("prefix", ["/draft/", "/once/", "/look/"])
def test_path_and_query_reach_the_target_unchanged(prefix):
    async def scenario():
        async with run_site(engines=2, desks=1) as site:
            await site.wait_for_layout()
            paths = [prefix + end for end in ODD_PATHS]
            for number, path in enumerate(paths):
                assert await send_raw(site, path, number) == 200
            targets = [*site.desks, *site.engines.engines.values()]
            assert sorted(path for x in targets for path in x.paths) == sorted(paths)

    run_scenario(scenario())


# Guards against targets that count as failing for requests that they can't answer.
@pytest.mark.parametrize("headers", [{}, {"Attempt-Id": ""}])
@pytest.mark.parametrize("path", ["/draft/", "/once/", "/look/"])
def test_request_without_an_id_is_refused_and_reaches_no_target(path, headers):
    async def scenario():
        async with run_site(desks=2) as site:
            address = site.hosts[0].settings.addresses.callers
            own = {"Host": "drafts.example", "Authorization": f"Token {KEY}"}
            async with site.client.post(
                f"http://{address}{path}", headers=own | headers, data=b"x"
            ) as answer:
                assert answer.status == 400
            assert not any(desk.runs for desk in site.desks)
            async with site.call("/look/", 1) as answer:
                assert answer.status == 200

    run_scenario(scenario())


# Guards against targets that a starting host loses to entries of an unnamed service.
def test_host_that_hears_of_targets_before_its_configuration_uses_them_all():
    async def scenario():
        async with run_site(desks=2, hosts=0) as site:
            site.store.delete("op", "config")
            for desk in site.desks:
                site.register_target(
                    desk, "elsewhere", "north", name=f"{desk.name}-other"
                )
            host = await site.add_host("h0", "north")
            directory = host.parts.runs.directory
            await site.wait_until(lambda: directory.has_targets)
            site.store.put("op", "config", build_configuration(1))
            await site.wait_until(lambda: host.is_ready)
            assert {item.id for item in directory.registry.list_targets("desk")} == {
                desk.name for desk in site.desks
            }
            async with site.call("/once/", 1) as answer:
                assert answer.status == 200

    run_scenario(scenario())


def test_body_over_the_limit_is_refused():
    async def scenario():
        async with run_site(desks=1) as site:
            async with site.call("/once/", 1, data=b"x" * 10_001) as answer:
                assert answer.status == 413
            assert not site.desks[0].runs

    run_scenario(scenario())


def test_request_does_not_run_at_an_address_taken_by_another_target():
    async def scenario():
        async with run_site(desks=2) as site:
            site.desks[0].name = "newcomer"
            for number in range(6):
                async with site.call("/look/", number, method="GET", data=None) as got:
                    assert got.status == 200
            assert not site.desks[0].runs

    run_scenario(scenario())


def test_newer_configuration_is_in_force_and_never_reverts():
    async def scenario():
        async with run_site(desks=1, hosts=2) as site:
            site.store.put("op", "config", build_configuration(5, keys=("fresh",)))
            await site.wait_until(
                lambda: all(
                    host.parts.runs.directory.version == 5 for host in site.hosts
                )
            )
            site.store.put("op", "config", build_configuration(4))
            for host in range(2):
                async with site.call("/once/", host, host) as answer:
                    assert answer.status == 401

    run_scenario(scenario())


def test_host_cut_off_from_the_store_learns_from_its_peers():
    async def scenario():
        async with run_site(desks=1, hosts=2) as site:
            await site.wait_until(
                lambda: len(site.hosts[0].parts.spread.roster.peers) == 1
            )
            isolated = site.hosts[0].parts
            # Nothing listens on this port: connections are refused at once.
            isolated.configuration._feeds._calls._base = "http://127.0.0.1:9"
            site.store.put("op", "config", build_configuration(6))
            site.register_target(site.desks[0], "desk", "north", phase="draining")
            await site.wait_until(lambda: isolated.runs.directory.version == 6)
            await site.wait_until(lambda: not isolated.runs.directory.registry.targets)

    run_scenario(scenario())


def test_requests_pass_while_the_store_is_unavailable():
    async def scenario():
        async with run_site(desks=1) as site:
            site.store.refuse = 503
            follower = site.hosts[0].parts.targets
            await site.wait_until(lambda: follower.dependency.is_lost)
            async with site.call("/once/", 1) as answer:
                assert answer.status == 200
            site.store.refuse = None
            await site.wait_until(lambda: not follower.dependency.is_lost)

    run_scenario(scenario())


def test_host_started_while_the_store_is_unavailable_gets_targets_from_its_peers():
    async def scenario():
        async with run_site(engines=2, desks=1, hosts=2) as site:
            await site.wait_for_layout()
            await site.store.stop()
            for host in site.hosts:
                targets = host.parts.targets
                await site.wait_until(lambda: targets.dependency.is_lost)  # noqa: B023
            seeds = tuple(host.parts.settings.identity.host for host in site.hosts)
            fresh = await site.add_host("late", "north", seeds)
            await site.wait_until(lambda: fresh.is_ready)
            async with site.call("/once/", 1, host=2) as answer:
                assert answer.status == 200

    run_scenario(scenario())


def test_store_is_read_anew_after_it_has_compacted_its_history():
    async def scenario():
        async with run_site(desks=1) as site:
            directory = site.hosts[0].parts.runs.directory
            site.store.refuse = 503
            await site.wait_until(
                lambda: site.hosts[0].parts.targets.dependency.is_lost
            )
            site.store.put("op", "config", build_configuration(3))
            site.store.delete("servers", "d0")
            site.store.compact()
            site.store.refuse = None
            await site.wait_until(lambda: directory.version == 3)
            await site.wait_until(lambda: not directory.registry.rows)

    run_scenario(scenario())


def test_drain_finishes_running_requests_and_closes_connections():
    async def scenario():
        async with run_site(hosts=1) as site:
            engine = await site.add_engine("x", "north", (0, 8))
            await site.wait_until(lambda: len(get_targets(site)) == 1)
            engine.events = 60
            host = site.hosts[0]
            async with site.call("/draft/", 1) as answer:
                await answer.content.readany()
                stopping = asyncio.create_task(host.drain())
                await site.wait_until(lambda: not host.is_ready)
                async with site.call("/draft/", 2) as late:
                    assert late.headers["Connection"] == "close"
                    assert list_event_ids(await late.read())[-1] == 60
                assert list_event_ids(await answer.read())[-1] == 60
            await stopping
            await site.client.close()
            site.client = aiohttp.ClientSession()
            async with site.call("/draft/", 3) as refused:
                assert refused.status == 503

    run_scenario(scenario())


def test_request_is_cancelled_when_its_caller_disconnects():
    async def scenario():
        async with run_site(hosts=1) as site:
            engine = await site.add_engine("x", "north", (0, 8))
            await site.wait_until(lambda: len(get_targets(site)) == 1)
            engine.events = 2000
            answer = await site.call("/draft/", 1)
            await answer.content.readany()
            answer.close()
            await site.wait_until(lambda: not engine._open_streams)
            assert not site.hosts[0].parts.runs.loads.own

    run_scenario(scenario())


def test_layers_of_a_removed_engine_are_loaded_by_another():
    async def scenario():
        async with run_site(engines=4, hosts=1) as site:
            await site.wait_for_layout()
            victim = next(
                item for item in site.engines.engines.values() if item.held is not None
            )
            await victim.stop()
            site.store.delete("servers", victim.name)
            fresh = await site.add_engine("fresh", "north")
            await site.wait_until(lambda: fresh.held is not None)
            assert fresh.orders[0]["expected_rev"] == 0

    run_scenario(scenario())


def test_layers_of_a_dead_engine_are_loaded_by_another_at_once():
    """A dead engine is replaced before its entry in the store lapses.

    An entry lapses after three missed heartbeats; in this test it never does.
    """

    async def scenario():
        async with run_site(hosts=1) as site:
            first = await site.add_engine("x", "north", (0, 4))
            second = await site.add_engine("y", "north", (4, 8))
            third = await site.add_engine("z", "north", (0, 4))
            await site.wait_until(lambda: len(get_targets(site)) == 3)
            await second.stop()
            host = site.hosts[0].parts.runs
            now = host.clock.monotonic()
            host.directory.suspects.note(second.name, Finding.DEAD, now)
            await site.wait_until(
                lambda: any(item.held and item.held[1] == 8 for item in (first, third))
            )
            assert second.name in get_targets(site)

    run_scenario(scenario())


def test_engine_that_was_found_dead_is_back_as_soon_as_it_answers():
    async def scenario():
        async with run_site(hosts=1) as site:
            engine = await site.add_engine("x", "north", (0, 8))
            await site.wait_until(lambda: len(get_targets(site)) == 1)
            host = site.hosts[0].parts.runs
            suspects = host.directory.suspects
            for _ in range(4):
                now = host.clock.monotonic()
                suspects.note(engine.name, Finding.DEAD, now - 3.5)
            suspects.note(engine.name, Finding.DEAD, host.clock.monotonic())
            assert suspects.is_dead(engine.name, host.clock.monotonic())
            await site.wait_until(
                lambda: not suspects.is_dead(engine.name, host.clock.monotonic()),
                seconds=1.5,
            )

    run_scenario(scenario())


def test_invalid_target_rows_are_ignored():
    async def scenario():
        async with run_site(desks=1) as site:
            registry = site.hosts[0].parts.runs.directory.registry
            desk = site.desks[0]
            site.store.put("servers", "a", {"service": "desk", "address": desk.address})
            site.store.put_bytes("servers", "b", b"\xff\x00{")
            site.register_target(desk, "desk", "north", phase="resting", name="c")
            site.register_target(desk, "elsewhere", "north", name="d")
            await site.wait_until(lambda: TargetId("d") in registry.rows)
            assert not {"a", "b", "c"} & set(registry.rows)
            async with site.call("/once/", 1) as answer:
                assert answer.status == 200

    run_scenario(scenario())


def test_second_host_takes_the_lease_over_at_once_from_one_that_stops():
    async def scenario():
        async with run_site(engines=2, hosts=2) as site:
            await site.wait_for_layout()
            orderers = [host.parts.orderer for host in site.hosts]
            holder = next(item for item in orderers if item.lease.holds)
            other = next(item for item in orderers if item is not holder)
            for host in site.hosts:
                if host.parts.orderer is holder:
                    host.parts.orderer.retire()
                    host.parts.spread.announce()
            await site.wait_until(lambda: other.lease.holds)
            assert not holder.lease.holds

    run_scenario(scenario())


def test_internal_error_is_answered_with_500_and_the_host_goes_on(monkeypatch):
    async def scenario():
        async with run_site(desks=1) as site:
            runs = site.hosts[0].parts.runs

            def fail(*_):
                raise ZeroDivisionError

            with monkeypatch.context() as patch:
                patch.setattr(runs.directory.registry, "list_targets", fail)
                async with site.call("/once/", 1) as answer:
                    assert answer.status == 500
            async with site.call("/once/", 2) as answer:
                assert answer.status == 200

    run_scenario(scenario())


async def list_north_hosts(site):
    """Return the hosts of data centre ``north`` once three of them read the store."""
    north = [
        host.parts
        for host in site.hosts
        if host.parts.settings.identity.data_centre == "north"
    ]
    await site.wait_until(
        lambda: sum(item.spread.roster.must_read() for item in north) == 3
    )
    return north


def count_relay_hosts(hosts):
    """Return the number of hosts that consider themselves a relay."""
    return sum(item.spread.roster.is_relay for item in hosts)


def test_hosts_that_do_not_read_the_store_get_updates_from_readers():
    async def scenario():
        async with run_site(desks=1, hosts=9) as site:
            north = await list_north_hosts(site)
            idle = [item for item in north if not item.spread.roster.must_read()]
            assert len(idle) == 2
            site.store.put("op", "config", build_configuration(9))
            site.register_target(site.desks[0], "desk", "north", phase="draining")
            for item in idle:
                await site.wait_until(
                    lambda item=item: item.runs.directory.version == 9
                )
                await site.wait_until(
                    lambda item=item: not item.runs.directory.registry.targets
                )

    run_scenario(scenario())


def test_idle_host_reads_the_store_when_the_readers_are_cut_off():
    async def scenario():
        async with run_site(desks=1, hosts=7) as site:
            north = await list_north_hosts(site)
            for item in north:
                if item.spread.roster.must_read():
                    item.configuration._feeds._calls._base = "http://127.0.0.1:9"
            idle = next(item for item in north if not item.spread.roster.must_read())
            await site.wait_until(idle.spread.roster.must_read)
            site.store.put("op", "config", build_configuration(9))
            for item in north:
                await site.wait_until(
                    lambda item=item: item.runs.directory.version == 9
                )

    run_scenario(scenario())


def test_hosts_of_a_large_data_centre_learn_loads_from_their_relay():
    async def scenario():
        async with run_site(engines=2, hosts=16) as site:
            north = await list_north_hosts(site)
            await site.wait_until(lambda: count_relay_hosts(north) == 3)
            spokes = [item for item in north if not item.spread.roster.is_relay]
            assert len(spokes) == 5
            one, other = spokes[0], spokes[1]
            target = next(iter(one.runs.directory.registry.targets))
            one.runs.loads.hold(target, Usage(1, 900))
            await site.wait_until(lambda: other.runs.loads.get(target) == Usage(1, 900))
            await site.wait_until(lambda: one.runs.loads.get(target) == Usage(1, 900))
            await site.wait_until(lambda: other.spread.roster.count_local() == 8)
            await site.wait_until(lambda: other.spread.roster.count_live() == 16)
            south = site.hosts[-1].parts.runs.loads
            await site.wait_until(lambda: south.get(target) == Usage(1, 900))
            one.runs.loads.release(target, Usage(1, 900))
            await site.wait_until(lambda: other.runs.loads.get(target) == Usage())

    run_scenario(scenario())


def test_loads_are_relayed_after_the_lead_relay_is_lost():
    async def scenario():
        async with run_site(engines=2, hosts=16) as site:
            north = await list_north_hosts(site)
            spokes = [item for item in north if not item.spread.roster.is_relay]
            lead = next(item for item in north if item.spread.roster.is_lead)
            await lead.network.stop()
            target = next(iter(lead.runs.directory.registry.targets))
            spokes[0].runs.loads.hold(target, Usage(1, 900))
            await site.wait_until(
                lambda: spokes[1].runs.loads.get(target) == Usage(1, 900)
            )

    run_scenario(scenario())


def test_request_whose_first_target_never_answers_is_sent_to_another():
    """The first target of a request was not known when its hedge delay was chosen.

    So no hedge was ever sent for it: a caller got 504 after its whole deadline although
    another target was free.
    """

    async def scenario():
        async with run_site(desks=2, hosts=1) as site:
            site.desks[0].unanswered = 1_000
            for number in range(6):
                async with site.call("/look/", number, method="GET", data=None) as got:
                    assert got.status == 200
                    assert await got.text() == f"d1 ran try-{number}"
            assert site.desks[0].runs

    run_scenario(scenario())


def test_request_that_hangs_at_the_only_target_spends_no_retries():
    """Without another target to send it to, it spent a retry at each hedge delay."""

    async def scenario():
        async with run_site(desks=1, hosts=1) as site:
            site.desks[0].unanswered = 1
            headers = {"Deadline-Ms": "600"}
            call = site.call("/look/", 1, method="GET", data=None, headers=headers)
            async with call as got:
                assert got.status == 504
            runs = site.hosts[0].parts.runs
            budget = runs.retries.get("desk")
            assert budget.retries.count(runs.clock.monotonic()) == 0

    run_scenario(scenario())
