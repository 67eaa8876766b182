"""Requests that meet a target which ends every connection with a request on it."""

import asyncio
import socket
import struct
from collections import Counter

import pytest

from marigoldswitch.tests.gateway_site import DATA_CENTRES, run_scenario, run_site

HOSTS = 3
SOUND = ("d0", "d1")


class EndingTarget:
    """Target of a plain service that answers until it ends.

    From then on it accepts connections, and ends each once a request is on it.

    :ivar arrivals: number of times that each request has arrived, by attempt id.
    """

    def __init__(self, name: str, resets: bool) -> None:
        self.name = name
        self.resets = resets
        self.has_ended = False
        self.address = ""
        self.arrivals: Counter[str] = Counter()

    async def start(self) -> asyncio.Server:
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        return server

    async def _serve(self, reader, writer) -> None:
        try:
            while True:
                request = await self._read_request(reader)
                if request:
                    self.arrivals[request] += 1
                if self.has_ended:
                    break
                writer.write(
                    b"HTTP/1.1 200 OK\r\nReplica-Signature: s\r\nContent-Length: 0\r\n"
                    b"Keep-Alive: timeout=30\r\nAttempt-Id: %b\r\n\r\n"
                    % request.encode()
                )
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            if self.has_ended and self.resets:
                linger = struct.pack("ii", 1, 0)
                end = writer.get_extra_info("socket")
                end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.close()

    async def _read_request(self, reader) -> str:
        """Read a whole request; return its attempt id, empty for a probe."""
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        lines = [line.partition(": ") for line in head.splitlines()]
        fields = {name.lower(): value for name, _, value in lines}
        await reader.readexactly(int(fields.get("content-length", 0)))
        return fields.get("attempt-id", "")


async def play_end(resets: bool, method: str):
    """Serve requests, let all but two targets end, and serve some more.

    :return: the targets and the retries that the hosts have counted.
    """
    targets = [EndingTarget(f"d{index}", resets) for index in range(5)]
    numbers = iter(range(10_000))

    async def call(site, host):
        fields = {"data": None} if method == "GET" else {}
        number = next(numbers)
        async with site.call("/look/", number, host, method=method, **fields) as answer:
            await answer.read()
            return answer.status

    async def call_together(site):
        hosts = [index for index in range(HOSTS) for _ in range(6)]
        return await asyncio.gather(*(call(site, host) for host in hosts))

    async with run_site(hosts=HOSTS) as site:
        servers = [await target.start() for target in targets]
        for index, target in enumerate(targets):
            site.register_target(target, "desk", DATA_CENTRES[index % 2])
        registries = [host.parts.runs.directory.registry for host in site.hosts]
        await site.wait_until(
            lambda: all(len(item.targets) == len(targets) for item in registries)
        )
        for _ in range(20):
            assert set(await call_together(site)) == {200}
        for target in targets:
            target.has_ended = target.name not in SOUND
            target.arrivals.clear()
        for _ in range(20):
            await call_together(site)
        now = site.hosts[0].parts.runs.clock.monotonic()
        counted = sum(
            host.parts.runs.retries.get("desk").retries.count(now)
            for host in site.hosts
        )
        for server in servers:
            server.close()
    return targets, counted


@pytest.mark.parametrize("method", ["GET", "POST"])
@pytest.mark.parametrize("resets", [True, False])
def test_every_repeat_at_an_ended_target_is_counted(resets, method):
    async def scenario():
        targets, counted = await play_end(resets, method)
        arrivals = sum((item.arrivals for item in targets), Counter())
        assert sum(arrivals.values()) - len(arrivals) <= counted
        assert all(max(item.arrivals.values()) <= 2 for item in targets)

    run_scenario(scenario())


@pytest.mark.parametrize("method", ["GET", "POST"])
@pytest.mark.parametrize("resets", [True, False])
def test_ended_target_gets_no_request_again_for_each_kept_connection(resets, method):
    """One request on a new connection shows a host that the target has ended."""

    async def scenario():
        targets, _ = await play_end(resets, method)
        for target in targets:
            repeated = [name for name, count in target.arrivals.items() if count > 1]
            assert len(repeated) <= HOSTS

    run_scenario(scenario())
