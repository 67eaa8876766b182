"""Hosts that stop answer or refuse every request whose bytes have reached them."""

import asyncio
import socket
import time

import pytest

from marigoldswitch.gateway import hosts as gateway_hosts
from marigoldswitch.gateway.hosts import CLOSE_POLL_SECONDS
from marigoldswitch.tests.gateway_site import KEY, run_scenario, run_site

REMOVAL_SECONDS = 0.2
BODY = b"{}"


@pytest.fixture(autouse=True)
def short_removal(monkeypatch):
    monkeypatch.setattr(gateway_hosts, "BALANCER_REMOVAL_SECONDS", REMOVAL_SECONDS)


def build_head(number):
    """Return the head of a request."""
    lines = [
        "POST /once/ HTTP/1.1",
        "Host: drafts.example",
        f"Attempt-Id: try-{number}",
        f"Authorization: Token {KEY}",
        "Deadline-Ms: 4000",
        "Token-Usage: 100,50",
        f"Content-Length: {len(BODY)}",
    ]
    return "\r\n".join([*lines, "", ""]).encode()


class RawCaller:
    """A caller's connection, written to without the event loop."""

    def __init__(self, host, number):
        self.number = number
        self._host = host
        self._socket = socket.socket()

    async def open(self):
        """Open the connection."""
        address = self._host.parts.settings.addresses.callers
        host, _, port = address.rpartition(":")
        self._socket.setblocking(False)
        await asyncio.get_running_loop().sock_connect(self._socket, (host, int(port)))

    async def connect(self):
        """Open the connection, and use it for one request."""
        await self.open()
        self.send(build_head(f"first-{self.number}") + BODY)
        assert (await self.read_status())[0] == 200

    def send(self, content):
        """Send bytes at once; they are in the host's socket when this returns."""
        assert self._socket.send(content) == len(content)

    def is_open(self):
        """Return whether the host has not begun to close its end."""
        peer = self._socket.getsockname()
        server = self._host._runners[0].server
        connections = server.connections if server is not None else ()
        transports = [item.transport for item in connections]
        return any(
            item is not None
            and not item.is_closing()
            and item.get_extra_info("peername") == peer
            for item in transports
        )

    async def read_status(self):
        """Return status and head lines of the next answer; 0 if it isn't whole."""
        loop, content = asyncio.get_running_loop(), b""
        while True:
            head, found, body = content.partition(b"\r\n\r\n")
            lines = head.decode().lower().split("\r\n")
            lengths = [int(x[16:]) for x in lines if x.startswith("content-length: ")]
            if found and lengths and len(body) >= lengths[0]:
                return int(lines[0].split()[1]), lines
            try:
                chunk = await loop.sock_recv(self._socket, 65_536)
            except ConnectionError:
                return 0, []
            if not chunk:
                return 0, []
            content += chunk

    def close(self):
        self._socket.close()


async def connect_callers(site, count):
    """Return callers with open, idle connections."""
    callers = [RawCaller(site.hosts[0], number) for number in range(count)]
    for caller in callers:
        await caller.connect()
    return callers


async def stop_host(site, host):
    """Stop a host as the daemon does on SIGTERM."""
    site.hosts.remove(host)
    await host.drain()
    await host.stop()


def check_refused(answer):
    status, head = answer
    assert status == 503
    assert "connection: close" in head


async def send_in_each_round(callers):
    """Send one request in each round of the event loop, which is late meanwhile.

    :return: the callers whose connection was open when they sent.
    """
    sent = []
    for caller in callers:
        if caller.is_open():
            caller.send(build_head(caller.number) + BODY)
            sent.append(caller)
        time.sleep(0.001)  # noqa: ASYNC251
        await asyncio.sleep(0)
    return sent


def test_requests_that_arrive_while_idle_connections_are_closed_are_answered():
    async def scenario():
        async with run_site(desks=1) as site:
            callers = await connect_callers(site, 60)
            stopping = asyncio.create_task(stop_host(site, site.hosts[0]))
            await asyncio.sleep(REMOVAL_SECONDS - 0.02)
            sent = await send_in_each_round(callers)
            answers = [await caller.read_status() for caller in sent]
            await stopping
            assert {status for status, _ in answers} <= {200, 503}, answers
            for answer in answers:
                assert "connection: close" in answer[1]

    run_scenario(scenario())


@pytest.mark.parametrize("is_drained", [True, False])
def test_requests_that_arrive_at_the_end_of_a_stop_are_answered(is_drained):
    async def scenario():
        async with run_site(desks=1) as site:
            callers = await connect_callers(site, 60)
            host = site.hosts.pop()
            draining = asyncio.create_task(host.drain())
            await asyncio.sleep(0)
            if is_drained:
                late = [RawCaller(host, 100 + number) for number in range(40)]
                await draining
                callers = late
                for caller in callers:
                    await caller.open()
            else:
                draining.cancel()
            stopping = asyncio.create_task(host.stop())
            sent = await send_in_each_round(callers)
            answers = [await caller.read_status() for caller in sent]
            await stopping
            assert sent
            assert {status for status, _ in answers} <= {200, 503}, answers

    run_scenario(scenario())


@pytest.mark.parametrize("part", ["head", "body"])
def test_request_that_has_arrived_in_part_when_connections_are_closed_is_refused(part):
    async def scenario():
        async with run_site(desks=1) as site:
            (caller,) = await connect_callers(site, 1)
            host = site.hosts[0]
            whole = build_head(1) + BODY
            split = 40 if part == "head" else len(whole) - 1
            stopping = asyncio.create_task(stop_host(site, host))
            await asyncio.sleep(0)
            caller.send(whole[:split])
            await site.wait_until(lambda: not host.parts.state.accepting)
            await asyncio.sleep(5 * CLOSE_POLL_SECONDS)
            caller.send(whole[split:])
            check_refused(await caller.read_status())
            await stopping
            assert not site.desks[0].runs["try-1"]

    run_scenario(scenario())


def test_running_request_is_answered_when_the_stop_is_cut_short():
    async def scenario():
        async with run_site(desks=1) as site:
            caller, slow = await connect_callers(site, 2)
            host, desk = site.hosts[0], site.desks[0]
            desk.seconds = 60.0
            caller.send(build_head(1) + BODY)
            slow.send(build_head(2) + BODY[:1])
            await site.wait_until(lambda: desk.runs["try-1"])
            await asyncio.wait_for(stop_host(site, host), host.settings.stop_seconds)
            assert (await caller.read_status())[0] == 504
            assert (await slow.read_status())[0] == 503

    run_scenario(scenario())


def test_idle_connections_are_closed_at_a_stop_and_half_sent_ones_do_not_hold_it():
    async def scenario():
        async with run_site(desks=1) as site:
            idle, half = await connect_callers(site, 2)
            host = site.hosts[0]
            half.send(build_head(1)[:30])
            stopping = asyncio.create_task(stop_host(site, host))
            assert (await idle.read_status())[0] == 0
            assert not stopping.done()
            await asyncio.wait_for(stopping, host.settings.stop_seconds)
            assert (await half.read_status())[0] == 0

    run_scenario(scenario())


def test_request_that_arrives_when_its_connection_has_been_idle_for_long_is_answered():
    async def scenario():
        async with run_site(desks=1) as site:
            (caller,) = await connect_callers(site, 1)
            server = site.hosts[0]._runners[0].server
            (connection,) = server.connections
            caller.send(build_head(1) + BODY)
            # The idle time ends in the round of the event loop in which it arrives.
            connection._next_keepalive_close_time = 0.0
            connection._process_keepalive()
            assert (await caller.read_status())[0] == 200

    run_scenario(scenario())
