"""Reuse of connections to targets, and recovery from stale ones."""

import asyncio
import contextlib
from types import SimpleNamespace

import pytest
from multidict import CIMultiDict, CIMultiDictProxy

from marigoldswitch.clocks import BootClock
from marigoldswitch.core.catalogue import Target
from marigoldswitch.core.contact import TargetContact
from marigoldswitch.core.ids import DataCentre, ServiceName, TargetId
from marigoldswitch.gateway.connections import (
    LONG_IDLE_SECONDS,
    SHORT_IDLE_SECONDS,
    Connections,
    may_keep_connections,
)
from marigoldswitch.gateway.directory import Directory
from marigoldswitch.gateway.service_contacts import ServiceContacts
from marigoldswitch.gateway.upstream import Lost, Upstream
from marigoldswitch.platform.headers import HeaderCodec
from marigoldswitch.tests.gateway_site import (
    ALL_EVENTS,
    build_configuration,
    get_targets,
    list_event_ids,
    run_scenario,
    run_site,
)


def build_headers(**headers):
    return CIMultiDictProxy(CIMultiDict(headers))


@pytest.mark.parametrize(
    ("stated", "kept"),
    [
        ("timeout=10", LONG_IDLE_SECONDS),
        ("timeout=60, max=100", LONG_IDLE_SECONDS),
        ("timeout=8", SHORT_IDLE_SECONDS),
        ("timeout=2", SHORT_IDLE_SECONDS),
        ("", SHORT_IDLE_SECONDS),
    ],
)
def test_idle_time_follows_the_timeout_that_the_target_announces(stated, kept):
    async def scenario():
        connections = Connections()
        connections.note_keep_alive("a:1", build_headers(**{"Keep-Alive": stated}))
        found = connections.choose_session("a:1").connector._keepalive_timeout
        await connections.close()
        return found

    assert asyncio.run(scenario()) == kept


def test_answer_with_connection_close_does_not_change_the_idle_time():
    async def scenario():
        connections = Connections()
        connections.note_keep_alive("a:1", build_headers(Connection="close"))
        found = connections.choose_session("a:1").connector._keepalive_timeout
        await connections.close()
        return found

    assert asyncio.run(scenario()) == LONG_IDLE_SECONDS


class ResettingTarget:
    """Answers the first request on each connection and resets the second."""

    def __init__(self):
        self.connections = 0
        self.requests = 0

    async def serve(self, reader, writer):
        self.connections += 1
        try:
            for number in range(2):
                head = await reader.readuntil(b"\r\n\r\n")
                if number:
                    writer.transport.abort()
                    return
                self.requests += 1
                assert b"POST" in head
                writer.write(b"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=10\r\n")
                writer.write(b"Content-Length: 0\r\n\r\n")
        except asyncio.IncompleteReadError:
            writer.close()


@contextlib.asynccontextmanager
async def run_target(target):
    server = await asyncio.start_server(target.serve, "127.0.0.1", 0)
    codec = SimpleNamespace(
        write_headers=lambda call, sending: CIMultiDict(),
        read_reply=HeaderCodec().read_reply,
    )
    connections = Connections()
    address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    row = Target(TargetId("t"), ServiceName("s"), DataCentre("d"), address, 1, None, "")
    clock = BootClock()
    contact, services = TargetContact(clock.monotonic()), ServiceContacts(clock)
    services.create_prober = lambda service, contact: SimpleNamespace()
    upstream = Upstream(
        codec, connections, clock, Directory().statements, contact, services
    )

    async def send(fresh=False, method="POST"):
        call = SimpleNamespace(id="1", method=method, path="/x")
        opened = await upstream.send(row, call, b"", None, fresh)
        if not isinstance(opened, Lost):
            await opened.response.read()
        return opened

    yield send
    await connections.close()
    server.close()


class MuteTarget:
    """Answers a number of requests and closes the connections of all later ones."""

    def __init__(self, answers):
        self.answers = answers
        self.requests = 0
        self.connections = 0

    async def serve(self, reader, writer):
        self.connections += 1
        try:
            while True:
                await reader.readuntil(b"\r\n\r\n")
                self.requests += 1
                if self.requests > self.answers:
                    writer.close()
                    return
                writer.write(b"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=10\r\n")
                writer.write(b"Content-Length: 0\r\n\r\n")
        except asyncio.IncompleteReadError:
            writer.close()


@pytest.mark.parametrize("method", ["GET", "PUT", "DELETE", "POST"])
@pytest.mark.parametrize("answers", [0, 1])
def test_request_without_an_answer_is_not_sent_again_unnoticed(method, answers):
    """The HTTP client sends requests with most methods once more by itself."""

    async def scenario():
        target = MuteTarget(answers)
        async with run_target(target) as send:
            for _ in range(answers):
                assert (await send(method=method)).response.status == 200
            lost = await send(method=method)
            assert isinstance(lost, Lost) and lost.is_stale == bool(answers)
            assert target.requests == answers + 1
            assert target.connections == 1
            assert isinstance(await send(True, method), Lost)
            assert target.requests == answers + 2

    asyncio.run(scenario())


def test_lost_request_on_a_reused_connection_is_marked_stale():
    async def scenario():
        target = ResettingTarget()
        async with run_target(target) as send:
            assert (await send()).response.status == 200
            lost = await send()
            assert isinstance(lost, Lost) and lost.is_stale
            assert (await send(fresh=True)).response.status == 200

    asyncio.run(scenario())


def test_stream_on_a_stale_connection_is_resent_to_the_same_engine():
    """Engines reset connections that have been idle.

    If that counted as a failure, the engine would be excluded for a second and the
    request sent to another one; if that reset it as well, the caller got no answer.
    """

    async def scenario():
        async with run_site(hosts=1) as site:
            engine = await site.add_engine("x", "north", (0, 8))
            await site.wait_until(lambda: len(get_targets(site)) == 1)
            for number in range(4):
                engine.drops_reused_connections = number > 0
                async with site.call("/draft/", number) as answered:
                    assert list_event_ids(await answered.read()) == ALL_EVENTS
            suspects = site.hosts[0].parts.runs.directory.suspects
            now = site.hosts[0].parts.runs.clock.monotonic()
            assert not suspects.is_excluded(TargetId("x"), now)

    run_scenario(scenario())


def test_many_hosts_do_not_fill_a_small_target_with_idle_connections():
    assert may_keep_connections(0, 1000)
    assert may_keep_connections(100, 8)
    assert may_keep_connections(590, 89)
    assert not may_keep_connections(110, 76)


def has_idle_connection(site, address):
    """Return whether the first host has an idle connection to a target."""
    connections = site.hosts[0].parts.runs.upstream._connections
    sessions = (connections._short, connections._long, connections.single_use)
    pool = [key for item in sessions for key in item.connector._conns]
    return any(key.port == int(address.rpartition(":")[2]) for key in pool)


def test_connections_to_a_small_target_are_not_kept():
    async def scenario(most):
        configuration = build_configuration()
        configuration["services"][1]["max_conns"] = most
        async with run_site(desks=1, hosts=1) as site:
            site.store.put("op", "config", {**configuration, "version": 2})
            directory = site.hosts[0].parts.runs.directory
            await site.wait_until(lambda: directory.version == 2)
            async with site.call("/look/", 1, method="GET", data=None) as answer:
                assert answer.status == 200
            return has_idle_connection(site, site.desks[0].address)

    assert asyncio.run(scenario(100))
    assert not asyncio.run(scenario(3))


def test_stream_connections_to_a_small_engine_are_not_kept():
    async def scenario(most):
        configuration = build_configuration()
        configuration["services"][0]["max_conns"] = most
        async with run_site(hosts=1) as site:
            await site.add_engine("x", "north", (0, 8))
            site.store.put("op", "config", {**configuration, "version": 2})
            directory = site.hosts[0].parts.runs.directory
            await site.wait_until(lambda: directory.version == 2 and get_targets(site))
            async with site.call("/draft/", 1) as answered:
                assert list_event_ids(await answered.read()) == ALL_EVENTS
            return has_idle_connection(site, get_targets(site)["x"].address)

    assert asyncio.run(scenario(100))
    assert not asyncio.run(scenario(3))
