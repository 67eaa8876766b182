"""Requests that a host which reaches no target runs through other hosts."""

import asyncio
import contextlib
from collections import Counter

import aiohttp
import pytest

from marigoldswitch.core.contact import ContactState
from marigoldswitch.core.errors import ErrorKind, Fault
from marigoldswitch.gateway import plain, proxied_runs
from marigoldswitch.gateway.exchanges import RequestRefused
from marigoldswitch.gateway.hosts import read_port
from marigoldswitch.gateway.proxy_terms import (
    DECLINED_HEADER,
    RUNS_HEADER,
    VERSION_HEADER,
)
from marigoldswitch.standins import platform_engines
from marigoldswitch.standins.platform_engines import PlainStandin
from marigoldswitch.tests.gateway_site import (
    ACCOUNT,
    ALL_EVENTS,
    KEY,
    ODD_PATHS,
    build_configuration,
    list_event_ids,
    run_scenario,
    run_site,
    send_raw,
)
from marigoldswitch.tests.path_cuts import CutMode, PathCut

HOSTS = 3


@contextlib.asynccontextmanager
async def run_cut_site(cut_off=(0,), mode=CutMode.HANG, hosts=HOSTS, engines=3):
    """Run a site in which some hosts know that they reach no target.

    :return: the site, and the cuts.
    """
    async with run_site(engines=engines, desks=3, hosts=hosts) as site:
        await site.wait_for_layout()
        cuts = [PathCut(site.hosts[index]) for index in cut_off]
        for cut in cuts:
            cut.begin(mode)
        for index in cut_off:
            contact = site.hosts[index].parts.runs.contact
            while not contact.is_lost:
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(1.0):
                        await send(site, "/look/", 9000 + index, index)
        await site.wait_until(
            lambda: all(
                {peer.is_cut_off for peer in list_peers(host, site, cut_off)} == {True}
                for host in site.hosts
                if list_peers(host, site, cut_off)
            )
        )
        for desk in site.desks:
            desk.runs.clear()
            desk.request_headers.clear()
        yield site, cuts


def list_peers(host, site, numbers):
    """Return what a host knows of some others."""
    names = {site.hosts[index].parts.settings.identity.host for index in numbers}
    peers = host.parts.spread.roster.peers
    return [item for name, item in peers.items() if name in names]


async def send(site, path, number, host=0, **fields):
    async with site.call(path, number, host, **fields) as answer:
        return answer.status, await answer.read(), answer.headers


def list_arrivals(site):
    return [item for desk in site.desks for item in desk.request_headers]


@pytest.mark.parametrize("path", ["/look/", "/once/"])
def test_target_gets_the_request_as_if_its_host_had_sent_it(path):
    async def scenario():
        async with run_cut_site() as (site, _):
            status, _, headers = await send(site, path, 1)
            assert status == 200 and DECLINED_HEADER not in headers
            (arrival,) = list_arrivals(site)
            assert arrival["Attempt-Id"] == "try-1"
            assert arrival["Tenant"] == ACCOUNT
            assert 3000 < int(arrival["Deadline-Ms"]) < 4000
            assert "Authorization" not in arrival and KEY not in str(arrival)
            assert not {VERSION_HEADER, RUNS_HEADER} & set(arrival)

    run_scenario(scenario())


def test_hosts_that_are_all_cut_off_refuse_at_once_and_proxy_in_no_circle():
    async def scenario():
        async with run_cut_site(cut_off=(0, 1, 2)) as (site, _):
            loop = asyncio.get_running_loop()
            for number, path in enumerate(("/look/", "/once/", "/draft/")):
                began = loop.time()
                status, _, headers = await send(site, path, number)
                assert status == 503 and float(headers["Retry-After"]) > 0.0
                assert DECLINED_HEADER not in headers
                assert loop.time() - began < 1.0
            assert not list_arrivals(site)

    run_scenario(scenario())


def test_host_with_an_older_configuration_declines():
    async def scenario():
        async with run_cut_site() as (site, _):
            site.hosts[1].parts.runs.directory.stored = None
            for number in range(10):
                assert (await send(site, "/look/", number))[0] == 200
            arrivals = list_arrivals(site)
            assert len(arrivals) == 10

    run_scenario(scenario())


def test_request_that_may_run_once_is_not_sent_again_when_the_other_host_is_lost():
    async def scenario():
        async with run_cut_site() as (site, _):
            for desk in site.desks:
                desk.unanswered = 100
            call = asyncio.create_task(send(site, "/once/", 1))
            await site.wait_until(lambda: len(list_arrivals(site)) == 1)
            for host in site.hosts[1:]:
                for runner in host._runners:
                    for connection in runner.server.connections:
                        connection.transport.abort()
            status, _, _ = await call
            assert status == 502
            assert sum(sum(desk.runs.values()) for desk in site.desks) == 1

    run_scenario(scenario())


def abort_proxied(host):
    """Break off all requests that a host runs for others; return their number."""
    connections = host._runners[2].server.connections
    busy = [item for item in connections if not item.is_idle()]
    for item in busy:
        item.transport.abort()
    return len(busy)


def test_stream_goes_on_through_another_host_when_the_first_is_lost():
    async def scenario():
        async with run_cut_site() as (site, _):
            for number in range(5):
                async with site.call("/draft/", number) as answer:
                    body = await answer.content.readuntil(b"id: 5\n")
                    assert sum(abort_proxied(host) for host in site.hosts[1:]) == 1
                    body += await answer.read()
                assert list_event_ids(body) == ALL_EVENTS

    run_scenario(scenario())


@pytest.mark.parametrize("mode", [CutMode.HANG, CutMode.RESET])
def test_stream_goes_on_when_its_host_is_cut_off(mode):
    async def scenario():
        async with run_site(engines=4, hosts=HOSTS) as site:
            await site.wait_for_layout()
            for engine in site.engines.engines.values():
                engine.events = 200
            async with site.call("/draft/", 1) as answer:
                body = await answer.content.readuntil(b"id: 5\n")
                PathCut(site.hosts[0]).begin(mode)
                body += await answer.read()
            assert list_event_ids(body) == list(range(1, 201))

    run_scenario(scenario())


def refuse_requests(host, count, kind=ErrorKind.SATURATED):
    """Let a host refuse its next requests; return a list of those that it gets."""
    runs, arrived = host.parts.front._runs, []
    run = runs.run

    async def refuse_or_run(exchange):
        arrived.append(exchange.call.id)
        if len(arrived) <= count:
            raise RequestRefused(Fault(kind, "refused in a test", 0.37))
        return await run(exchange)

    runs.run = refuse_or_run
    return arrived


@pytest.mark.parametrize("path", ["/look/", "/once/", "/draft/"])
def test_request_that_another_host_refuses_is_served_through_a_third(path):
    async def scenario():
        async with run_cut_site(hosts=4) as (site, _):
            refused = [refuse_requests(host, 100) for host in site.hosts[1:3]]
            for number in range(4):
                status, _, _ = await send(site, path, number)
                assert status == 200
            assert any(refused)
            if path == "/once/":
                assert len(list_arrivals(site)) == 4

    run_scenario(scenario())


def test_stream_that_has_begun_is_not_broken_off_as_the_next_host_refuses_it():
    async def scenario():
        async with run_cut_site(hosts=4) as (site, _):
            for number in range(5):
                async with site.call("/draft/", number) as answer:
                    body = await answer.content.readuntil(b"id: 5\n")
                    for host in site.hosts[1:]:
                        refuse_requests(host, 0 if host is site.hosts[3] else 100)
                    assert sum(abort_proxied(host) for host in site.hosts[1:]) == 1
                    body += await answer.read()
                assert list_event_ids(body) == ALL_EVENTS
                for host in site.hosts[1:]:
                    del host.parts.front._runs.run

    run_scenario(scenario())


def find_busy(site):
    """Return the other hosts that run requests of the first one."""
    return [host for host in site.hosts[1:] if host.parts.front.running_requests]


def keep_from_helping(site, others):
    """Let no host but the busy one take requests of the first one."""
    if others == "no retries":
        site.hosts[0].parts.runs.retries.update_limits(0.0, 0.0)
        return
    for host in site.hosts[1:]:
        if host not in find_busy(site):
            if others == "declining":
                host.parts.state.draining = True
            else:
                refuse_requests(host, 100)


@pytest.mark.parametrize("others", ["absent", "declining", "refusing", "no retries"])
@pytest.mark.parametrize("has_begun", [False, True])
def test_stream_through_a_silent_host_is_kept_if_no_other_takes_it(
    others, has_begun, monkeypatch
):
    async def scenario():
        async with run_cut_site(hosts=2 if others == "absent" else 3) as (site, _):
            engines = site.engines.engines.values()
            if not has_begun:
                for engine in engines:
                    engine.awake.clear()
            call = asyncio.create_task(send(site, "/draft/", 1))
            await site.wait_until(lambda: find_busy(site))
            if has_begun:
                await site.wait_until(lambda: site.engines.streams)
                for engine in engines:
                    engine.awake.clear()
            keep_from_helping(site, others)
            await asyncio.sleep(1.0)
            for engine in engines:
                engine.awake.set()
            status, body, _ = await call
            assert status == 200
            assert list_event_ids(body) == ALL_EVENTS

    monkeypatch.setattr(proxied_runs, "SILENCE_SECONDS", 0.3)
    run_scenario(scenario())


def test_stream_goes_on_through_another_host_when_the_first_is_silent(monkeypatch):
    async def scenario():
        async with run_cut_site() as (site, _):
            for number in range(3):
                async with site.call("/draft/", number) as answer:
                    body = await answer.content.readuntil(b"id: 5\n")
                    (busy,) = find_busy(site)
                    for connection in busy._runners[2].server.connections:
                        connection.transport.write = lambda _: None
                    body += await answer.read()
                assert list_event_ids(body) == ALL_EVENTS

    monkeypatch.setattr(proxied_runs, "SILENCE_SECONDS", 0.3)
    run_scenario(scenario())


def test_caller_is_told_when_to_come_back_if_all_other_hosts_refuse():
    async def scenario():
        async with run_cut_site(hosts=4) as (site, _):
            refused = [refuse_requests(host, 100) for host in site.hosts[1:]]
            status, _, headers = await send(site, "/once/", 1)
            assert (status, headers["Retry-After"]) == (503, "0.37")
            assert [len(item) for item in refused] == [1, 1, 1]

    run_scenario(scenario())


def test_request_that_ends_targets_is_not_sent_to_a_third_host():
    async def scenario():
        async with run_cut_site(hosts=4) as (site, _):
            refused = [
                refuse_requests(host, 100, ErrorKind.ENDS_TARGETS)
                for host in site.hosts[1:]
            ]
            status, _, _ = await send(site, "/look/", 1)
            assert status == 503
            assert sum(len(item) for item in refused) == 1

    run_scenario(scenario())


def test_work_ends_soon_after_the_caller_has_left():
    async def scenario():
        async with run_cut_site() as (site, _):
            for engine in site.engines.engines.values():
                engine.events = 10_000
            async with site.call("/draft/", 1) as answer:
                await answer.content.readuntil(b"id: 5\n")
                answer.close()
            fronts = [host.parts.front for host in site.hosts]
            await site.wait_until(
                lambda: not any(front.running_requests for front in fronts), 0.5
            )

    run_scenario(scenario())


def test_repeats_through_other_hosts_are_counted_once():
    async def scenario():
        async with run_cut_site() as (site, _):
            for desk in site.desks:
                desk.statuses = 10 * [500]
            for number in range(20):
                await send(site, "/look/", number, method="GET", data=None)
            arrivals = Counter(item["Attempt-Id"] for item in list_arrivals(site))
            counted = 0
            for host in site.hosts:
                retries = host.parts.runs.retries.get("desk").retries
                counted += retries.count(host.parts.runs.clock.monotonic())
            assert sum(arrivals.values()) - len(arrivals) <= counted
            assert max(arrivals.values()) <= 2

    run_scenario(scenario())


def test_host_sends_directly_again_after_the_cut():
    async def scenario():
        async with run_cut_site() as (site, cuts):
            contact = site.hosts[0].parts.runs.contact
            for cut in cuts:
                cut.end()
            await site.wait_until(lambda: contact.state is ContactState.REACHED, 2.0)
            for host in site.hosts[1:]:
                host.parts.state.draining = True
            assert (await send(site, "/look/", 1))[0] == 200

    run_scenario(scenario())


def test_host_that_shuts_down_declines_requests_of_others():
    async def scenario():
        async with run_cut_site() as (site, _):
            site.hosts[1].parts.state.draining = True
            for number in range(10):
                assert (await send(site, "/once/", number))[0] == 200

    run_scenario(scenario())


@pytest.mark.parametrize("mode", list(CutMode))
def test_cuts_that_come_and_go_lose_no_request_that_may_run_again(mode):
    async def scenario():
        async with run_cut_site(hosts=4, mode=mode) as (site, cuts):
            served = Counter()

            async def keep_calling(path, numbers):
                for number in numbers:
                    try:
                        status, body, _ = await send(site, path, number)
                    except aiohttp.ClientError:
                        continue
                    served[path] += status == 200
                    if path == "/draft/" and status == 200:
                        assert list_event_ids(body) == ALL_EVENTS
                    await asyncio.sleep(0.01)

            calls = [
                asyncio.create_task(keep_calling(path, range(first, first + 40)))
                for path, first in (("/look/", 0), ("/once/", 100), ("/draft/", 200))
            ]
            for _ in range(3):
                await asyncio.sleep(0.4)
                cuts[0].end()
                await asyncio.sleep(0.4)
                cuts[0].begin(mode)
            await asyncio.gather(*calls)
            runs = sum((desk.runs for desk in site.desks), Counter())
            assert all(runs[f"try-{number}"] <= 1 for number in range(100, 140))
            assert min(served.values()) >= 2 / 3 * 40

    run_scenario(scenario())


def test_request_that_may_have_run_elsewhere_is_not_told_to_be_not_run():
    async def scenario():
        async with run_cut_site(hosts=2) as (site, _):
            for desk in site.desks:
                desk.unanswered = 100
            call = asyncio.create_task(send(site, "/look/", 1))
            await site.wait_until(lambda: len(list_arrivals(site)) == 1)
            assert abort_proxied(site.hosts[1]) == 1
            status, _, _ = await call
            assert status == 502

    run_scenario(scenario())


def test_path_and_query_reach_a_target_unchanged_by_way_of_another_host():
    async def scenario():
        async with run_cut_site(hosts=2) as (site, _):
            for desk in site.desks:
                desk.paths.clear()
            paths = ["/once/" + end for end in ODD_PATHS]
            for number, path in enumerate(paths):
                assert await send_raw(site, path, number) == 200
            arrived = [path for desk in site.desks for path in desk.paths]
            assert sorted(arrived) == sorted(paths)

    run_scenario(scenario())


# Guards against hosts of an earlier version, which pass such failures on.
def test_failed_run_at_another_host_is_not_told_to_be_not_run(monkeypatch):
    for module in ("plain", "chain_runs"):
        name = f"marigoldswitch.gateway.{module}.check_answer_status"
        monkeypatch.setattr(name, lambda exchange, status: None)

    async def scenario():
        async with run_cut_site(hosts=2) as (site, _):
            for desk in site.desks:
                desk.statuses = [503]
            status, _, headers = await send(site, "/once/", 1)
            assert len(list_arrivals(site)) == 1
            assert status == 502
            assert "Replica-Signature" not in headers

    run_scenario(scenario())


def test_request_whose_time_ends_at_another_host_is_not_told_to_be_not_run():
    async def scenario():
        async with run_cut_site() as (site, _):
            for desk in site.desks:
                desk.unanswered = 100
            headers = {"Deadline-Ms": "500"}
            status, _, _ = await send(site, "/once/", 1, headers=headers)
            assert len(list_arrivals(site)) == 1
            assert status == 504

    run_scenario(scenario())


@pytest.mark.parametrize("mode", [None, CutMode.HANG])
def test_stream_that_its_caller_resumes_goes_on_after_its_last_event(mode):
    """Without a known cut, the request finds out itself that no engine is reached."""

    async def scenario():
        async with run_cut_site(cut_off=() if mode is None else (0,)) as (site, _):
            runs = site.hosts[0].parts.runs
            if mode is None:
                runs.contact.note_silence = lambda *_: None
                runs.retries.update_limits(0.0, 0.0)
                PathCut(site.hosts[0]).begin(CutMode.RESET)
            headers = {"Last-Event-Id": "12"}
            async with site.call("/draft/", 1, headers=headers) as answer:
                assert answer.status == 200
                assert list_event_ids(await answer.read()) == ALL_EVENTS[12:]

    run_scenario(scenario())


def test_host_that_has_forgotten_the_others_finds_them_when_it_is_cut_off():
    """Most hosts of a large data centre hear of those of others only at their start."""

    async def scenario():
        async with run_site(engines=2, desks=3, hosts=HOSTS) as site:
            await site.wait_for_layout()
            host = site.hosts[0]
            host.parts.spread.roster.update_from_digest = lambda *_: False
            host.parts.spread.roster.peers.clear()
            PathCut(host).begin(CutMode.RESET)
            contact = host.parts.runs.contact
            await send(site, "/look/", 1)
            await site.wait_until(lambda: contact.is_lost)
            peers = host.parts.spread.roster.peers
            await site.wait_until(lambda: len(peers) == HOSTS - 1, 2.0)
            for other in site.hosts[1:]:
                # Elsewhere all hosts listen at the same port.
                addresses = other.parts.settings.addresses
                peers[addresses.peers].proxy_port = read_port(addresses.proxied)
            assert (await send(site, "/look/", 2))[0] == 200

    run_scenario(scenario())


def test_answer_that_takes_long_is_awaited_and_not_asked_for_again(monkeypatch):
    handle = PlainStandin.handle

    async def handle_slowly(desk, http):
        await asyncio.sleep(0.5)
        return await handle(desk, http)

    async def scenario():
        async with run_cut_site() as (site, _):
            status, _, _ = await send(site, "/look/", 1)
            assert status == 200
            assert len(list_arrivals(site)) == 1

    monkeypatch.setattr(PlainStandin, "handle", handle_slowly)
    monkeypatch.setattr(plain, "MIN_HEDGE_DELAY_SECONDS", 5.0)
    monkeypatch.setattr(proxied_runs, "SILENCE_SECONDS", 0.2)
    run_scenario(scenario())


@pytest.mark.parametrize("is_resumable", [True, False])
def test_gap_ends_no_stream_that_may_not_run_again(monkeypatch, is_resumable):
    async def scenario():
        configuration = build_configuration(version=2, attempts=1)
        configuration["routes"][0]["resumable"] = is_resumable
        async with run_cut_site() as (site, _):
            site.store.put("op", "config", configuration)
            directories = [host.parts.runs.directory for host in site.hosts]
            await site.wait_until(
                lambda: all(item.version == 2 for item in directories)
            )
            async with site.call("/draft/", 1) as answer:
                assert list_event_ids(await answer.read()) == ALL_EVENTS

    monkeypatch.setattr(platform_engines, "PAUSE_SECONDS", 0.1)
    monkeypatch.setattr(proxied_runs, "SILENCE_SECONDS", 0.05)
    run_scenario(scenario())
