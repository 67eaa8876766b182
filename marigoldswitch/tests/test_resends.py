"""Resending of requests whose reused connection to a target has broken."""

import asyncio
import socket
import struct
from collections import Counter

import pytest

from marigoldswitch.core.ids import TargetId
from marigoldswitch.gateway.resends import ResendGuard
from marigoldswitch.tests.gateway_site import DATA_CENTRES, run_scenario, run_site

HOSTS = 3
SOUND = ("d0", "d1")
TARGET = TargetId("t")


class EndingTarget:
    """Target of a plain service that answers until it ends.

    From then on it accepts connections, and ends each once a request is on it.

    :ivar forgets: whether it ends the connections that it has now, but no later ones.
    :ivar arrivals: number of times that each request has arrived, by attempt id.
    """

    def __init__(self, name: str, resets: bool) -> None:
        self.name = name
        self.resets = resets
        self.has_ended = False
        self.forgets = False
        self.address = ""
        self.arrivals: Counter[str] = Counter()

    async def start(self) -> asyncio.Server:
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        return server

    async def _serve(self, reader, writer) -> None:
        is_early = not self.forgets
        try:
            while True:
                request = await self._read_request(reader)
                if request:
                    self.arrivals[request] += 1
                if self.has_ended or (self.forgets and is_early):
                    break
                writer.write(
                    b"HTTP/1.1 200 OK\r\nReplica-Signature: s\r\nContent-Length: 0\r\n"
                    b"Keep-Alive: timeout=30\r\nAttempt-Id: %b\r\n\r\n"
                    % request.encode()
                )
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            if self.resets:
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


async def play(resets: bool, method: str, change):
    """Serve requests, change the targets, and serve some more.

    :param change: is called with each target.
    :return: the targets, the retries that the hosts have counted, and the statuses of
        the answers after the change.
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
            change(target)
            target.arrivals.clear()
        statuses = Counter()
        for _ in range(20):
            statuses.update(await call_together(site))
        now = site.hosts[0].parts.runs.clock.monotonic()
        counted = sum(
            host.parts.runs.retries.get("desk").retries.count(now)
            for host in site.hosts
        )
        for server in servers:
            server.close()
    return targets, counted, statuses


def end_unless_sound(target):
    target.has_ended = target.name not in SOUND


def forget_connections(target):
    target.forgets = True


@pytest.mark.parametrize("method", ["GET", "POST"])
@pytest.mark.parametrize("resets", [True, False])
def test_every_repeat_at_an_ended_target_is_counted(resets, method):
    async def scenario():
        targets, counted, _ = await play(resets, method, end_unless_sound)
        arrivals = sum((item.arrivals for item in targets), Counter())
        assert sum(arrivals.values()) - len(arrivals) <= counted
        assert all(max(item.arrivals.values(), default=0) <= 2 for item in targets)

    run_scenario(scenario())


@pytest.mark.parametrize("method", ["GET", "POST"])
@pytest.mark.parametrize("resets", [True, False])
def test_ended_target_gets_no_request_again_for_each_kept_connection(resets, method):
    """One request on a new connection shows a host that the target has ended."""

    async def scenario():
        targets, _, _ = await play(resets, method, end_unless_sound)
        for target in targets:
            repeated = [name for name, count in target.arrivals.items() if count > 1]
            assert len(repeated) <= HOSTS

    run_scenario(scenario())


@pytest.mark.parametrize("resets", [True, False])
def test_requests_on_forgotten_connections_are_resent_and_answered(resets):
    async def scenario():
        _, _, statuses = await play(resets, "POST", forget_connections)
        assert set(statuses) == {200}

    run_scenario(scenario())


async def ask_together(guard, count, result):
    """Ask a number of times whether to resend; the first one then has a result."""
    asked = [asyncio.create_task(guard.may_resend(TARGET)) for _ in range(count)]
    await asyncio.sleep(0)
    result(TARGET)
    return await asyncio.gather(*asked)


def test_only_one_request_is_resent_to_a_target_that_loses_it():
    async def scenario():
        guard = ResendGuard()
        assert await ask_together(guard, 5, guard.note_lost) == [True] + 4 * [False]
        assert not await guard.may_resend(TARGET)
        assert await guard.may_resend(TargetId("other"))

    run_scenario(scenario())


def test_all_requests_are_resent_to_a_target_that_answers_the_first():
    async def scenario():
        guard = ResendGuard()
        assert await ask_together(guard, 5, guard.note_answered) == 5 * [True]

    run_scenario(scenario())


def test_requests_wait_only_briefly_for_a_resending_without_a_result():
    async def scenario():
        guard = ResendGuard()
        assert await guard.may_resend(TARGET)
        assert await guard.may_resend(TARGET)

    run_scenario(scenario())


@pytest.mark.parametrize("end", ["note_answered", "forget"])
def test_target_is_resent_to_again_after_an_answer(end):
    async def scenario():
        guard = ResendGuard()
        guard.note_lost(TARGET)
        assert not await guard.may_resend(TARGET)
        getattr(guard, end)(TARGET)
        assert await guard.may_resend(TARGET)

    run_scenario(scenario())
