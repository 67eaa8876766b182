"""Answers without end: each reader gives them up, and requests go elsewhere or fail."""

import asyncio
import contextlib
import time

import aiohttp
import pytest
from aiohttp import web

from marigoldswitch.core.ids import HostId
from marigoldswitch.gateway.proxy_hosts import ProxyHost
from marigoldswitch.standins.floods import Flood, FloodingServer, run_flood
from marigoldswitch.standins.platform_engines import PlainStandin
from marigoldswitch.tests.gateway_site import (
    ALL_EVENTS,
    list_event_ids,
    run_scenario,
    run_site,
)
from marigoldswitch.tests.helpers import capture_all_logs
from marigoldswitch.tests.test_unframed_answers import add_targets, cut_off_first_host

BODY_BYTES = 10_000
"""Bound on bodies in the configuration of the site."""
IN_TRANSIT_BYTES = 6 * 1024 * 1024
"""What a connection over loopback takes beyond what its receiver reads."""
MAX_SECONDS = 3.0
"""Time without progress after which a connection must be closed."""
PLAIN_FLOODS = [item for item in Flood if item not in (Flood.EVENT, Flood.COMMENTS)]
STREAM_FLOODS = [item for item in Flood if not item.has_answer]
SPEEDS = pytest.mark.parametrize("is_slow", [False, True], ids=["fast", "slow"])


ONE_READ_BYTES = 256 * 1024
"""What one read of a connection may take."""


def check_closed(servers):
    """Assert that floods were received and ended soon."""
    floods = [flood for server in servers for flood in server.sent]
    assert floods
    for flood in floods:
        assert flood.size < BODY_BYTES + IN_TRANSIT_BYTES
        assert flood.seconds < MAX_SECONDS + 0.2


@contextlib.contextmanager
def check_logged(*readers):
    """Assert that unbounded answers are logged once read within the bounds."""
    with capture_all_logs() as lines:
        yield
    found = [line for line in lines if line["event"] == "answer_unbounded"]
    assert {line["reader"] for line in found} <= set(readers)
    assert found
    assert all(line["bytes"] <= 2 * ONE_READ_BYTES for line in found)
    assert all(line["seconds"] <= MAX_SECONDS for line in found)


async def add_floods(site, service, flood, is_slow=False, name="flood", status=200):
    """Register a flooding target of a service in the first data centre."""
    server = FloodingServer(flood, is_slow, status=status)
    await server.start()
    server.name, server.held = name, (0, 8)
    site.register_target(server, service, "north")
    targets = site.hosts[0].parts.runs.directory.registry.targets
    await site.wait_until(lambda: name in targets)
    return [server]


async def add_desk(site, desk, data_centre):
    """Start and register a target of the plain service, and wait for all hosts."""
    await desk.start()
    site.desks.append(desk)
    site.register_target(desk, "desk", data_centre)
    for host in site.hosts:
        targets = host.parts.runs.directory.registry.targets
        await site.wait_until(lambda known=targets: desk.name in known)


async def stop_all(servers):
    for server in servers:
        await server.stop()


@SPEEDS
@pytest.mark.parametrize("flood", PLAIN_FLOODS)
def test_caller_of_a_request_that_may_run_once_is_told_at_once(flood, is_slow):
    async def scenario():
        async with run_site() as site:
            servers = await add_floods(site, "desk", flood, is_slow)
            began = time.monotonic()
            async with site.call("/once/", 1) as answer:
                content = await answer.read()
            assert time.monotonic() - began < MAX_SECONDS
            if flood.has_answer and answer.status == 200:
                assert content == b"xx"
            else:
                assert answer.status == 502
            check_closed(servers)
            await stop_all(servers)

    run_scenario(scenario())


@pytest.mark.parametrize("status", [200, 500])
@pytest.mark.parametrize("flood", [Flood.UNFRAMED, Flood.CHUNKS, Flood.HEADER_LINES])
def test_request_that_may_run_again_gets_the_answer_of_another_target(flood, status):
    async def scenario():
        async with run_site(desks=2) as site:
            servers = await add_floods(site, "desk", flood, status=status)
            with check_logged("answer", "head"):
                for number in range(12):
                    async with site.call("/look/", number, method="GET") as answer:
                        assert answer.status == 200
            assert len(servers[0].sent) <= 4
            check_closed(servers)
            await stop_all(servers)

    run_scenario(scenario())


@SPEEDS
@pytest.mark.parametrize("flood", STREAM_FLOODS)
def test_stream_goes_on_over_another_engine(flood, is_slow):
    async def scenario():
        async with run_site() as site:
            servers = await add_floods(site, "model", flood, is_slow)
            engine = await site.add_engine("engine", "south", (0, 8))
            targets = site.hosts[0].parts.runs.directory.registry.targets
            await site.wait_until(lambda: engine.name in targets)
            for number in range(6):
                async with site.call("/draft/", number) as answer:
                    assert list_event_ids(await answer.read()) == ALL_EVENTS
            assert len(servers[0].sent) <= 4
            check_closed(servers)
            await stop_all(servers)

    run_scenario(scenario())


def test_error_answer_of_an_engine_without_an_end_is_not_passed_on():
    async def scenario():
        async with run_site() as site:
            servers = await add_floods(site, "model", Flood.CHUNKS, status=400)
            with check_logged("stream"):
                async with site.call("/draft/", 1) as answer:
                    assert answer.status >= 500
            check_closed(servers)
            await stop_all(servers)

    run_scenario(scenario())


@SPEEDS
@pytest.mark.parametrize("flood", [Flood.EVENT, Flood.COMMENTS])
def test_stream_that_may_not_be_resumed_is_broken_off(flood, is_slow):
    # Such streams are left alone however long they are silent.
    async def scenario():
        async with run_site() as site:
            configuration = site.store.read("op", "config").replace(
                b'"resumable":true', b'"resumable":false'
            )
            configuration = configuration.replace(b'"version":1', b'"version":2')
            site.store.put_bytes("op", "config", configuration)
            directory = site.hosts[0].parts.runs.directory
            await site.wait_until(lambda: directory.version == 2)
            servers = await add_floods(site, "model", flood, is_slow)
            began = time.monotonic()
            with check_logged("stream"), pytest.raises(aiohttp.ClientError):
                async with site.call("/draft/", 1) as answer:
                    answer.raise_for_status()
                    await answer.read()
            assert time.monotonic() - began < MAX_SECONDS
            check_closed(servers)
            await stop_all(servers)

    run_scenario(scenario())


@pytest.mark.parametrize(
    ("flood", "is_slow"),
    [
        (Flood.UNFRAMED, False),
        (Flood.UNFRAMED, True),
        (Flood.INFORMATIONAL, False),
        (Flood.INFORMATIONAL, True),
        (Flood.EVENT, False),
        (Flood.COMMENTS, False),
    ],
)
def test_answer_that_another_host_passes_on_is_bounded(flood, is_slow):
    async def scenario():
        async with run_site(hosts=2) as site, run_flood(flood, is_slow) as server:
            await add_targets(site)
            cut = await cut_off_first_host(site)
            hosts = site.hosts[0].parts.requests._proxy._hosts
            hosts.choose = lambda tried: ProxyHost(HostId("x"), server.address)
            is_plain = flood in (Flood.UNFRAMED, Flood.INFORMATIONAL)
            path = "/once/" if is_plain else "/draft/"
            began = time.monotonic()
            with check_logged("proxied"), contextlib.suppress(aiohttp.ClientError):
                async with site.call(path, 1) as answer:
                    if is_plain:
                        assert answer.status == 502
                    await answer.read()
            assert time.monotonic() - began < 4.0
            check_closed([server])
            cut.end()

    run_scenario(scenario())


class BusyDesk(PlainStandin):
    """Target that takes 45 ms for an answer."""

    async def handle(self, http):
        await asyncio.sleep(0.045)
        return await super().handle(http)


class LargeDesk(PlainStandin):
    """Target whose answers are longer than the bound, and state their length.

    :ivar is_cut: it breaks them off.
    """

    content = b"large " * 200_000

    def __init__(self, name):
        super().__init__(name)
        self.is_cut = False

    async def handle(self, http):
        await http.read()
        response = web.StreamResponse(headers=self.sign(http))
        response.content_length = len(self.content)
        await response.prepare(http)
        half = len(self.content) // 2
        await response.write(self.content[:half])
        if self.is_cut:
            http.transport.abort()
        await response.write(self.content[half:])
        return response


@pytest.mark.parametrize("is_proxied", [False, True])
@pytest.mark.parametrize("is_cut", [False, True])
def test_large_answer_with_a_length_is_passed_on_whole_or_broken_off(
    is_cut, is_proxied
):
    async def scenario():
        async with run_site(hosts=2) as site:
            for name in ("north", "south"):
                await site.add_engine(f"engine-{name}", name, (0, 8))
                await add_desk(site, LargeDesk(f"desk-{name}"), name)
            cut = await cut_off_first_host(site) if is_proxied else None
            for desk in site.desks:
                desk.is_cut = is_cut
            async with site.call("/once/", 1) as answer:
                assert answer.status == 200
                if is_cut:
                    with pytest.raises(aiohttp.ClientError):
                        await answer.read()
                else:
                    assert await answer.read() == LargeDesk.content
            if cut is not None:
                cut.end()

    run_scenario(scenario())


@SPEEDS
@pytest.mark.parametrize("service", ["desk", "model"])
def test_healthy_requests_are_served_while_one_of_four_targets_floods(service, is_slow):
    async def scenario():
        async with run_site() as site:
            kind = Flood.COMMENTS if service == "model" else Flood.CHUNKS
            servers = await add_floods(site, service, kind, is_slow)
            for number in range(3):
                name = f"healthy-{number}"
                if service == "model":
                    await site.add_engine(name, "north", (0, 8))
                else:
                    await add_desk(site, BusyDesk(name), "north")
            targets = site.hosts[0].parts.runs.directory.registry.targets
            await site.wait_until(lambda: len(targets) == 4)
            served = []

            async def ask(number):
                is_stream, is_safe = service == "model", number % 4 > 0
                path = "/draft/" if is_stream else "/look/" if is_safe else "/once/"
                with contextlib.suppress(aiohttp.ClientError):
                    async with site.call(path, number) as answer:
                        content = await answer.read()
                        is_whole = list_event_ids(content) == ALL_EVENTS
                        if answer.status == 200 and (is_whole or not is_stream):
                            served.append(number)

            count = 400
            async with asyncio.TaskGroup() as group:
                for number in range(count):
                    group.create_task(ask(number))
                    await asyncio.sleep(0.02)
            print(f"{service}: {len(served)} of {count}, {len(servers[0].sent)} floods")
            assert len(served) >= 0.95 * count
            check_closed(servers)
            await stop_all(servers)

    run_scenario(scenario())
