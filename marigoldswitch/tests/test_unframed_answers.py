"""Answers that have neither a length nor chunks and end with their connection."""

import asyncio
import socket
import struct
from enum import Enum

import aiohttp
import pytest

from marigoldswitch.standins.platform_engines import EngineStandin, PlainStandin
from marigoldswitch.tests.gateway_site import (
    ALL_EVENTS,
    list_event_ids,
    run_scenario,
    run_site,
)
from marigoldswitch.tests.path_cuts import CutMode, PathCut


class Ending(Enum):
    """How an answer ends."""

    COMPLETE = "complete"
    OLD_VERSION = "complete, by HTTP/1.0"
    RESET = "reset after some bytes"
    RESET_AT_END = "reset after the last byte"
    WITHIN_EVENT = "closed within an event"
    STRAY_BYTES = "closed after bytes that follow the last event"

    @property
    def is_complete(self):
        return self in (Ending.COMPLETE, Ending.OLD_VERSION)

    @property
    def is_reset(self):
        return self in (Ending.RESET, Ending.RESET_AT_END)


async def write_raw(http, headers, pieces, ending):
    """Write an answer without a length to the connection, and end it."""
    transport = http.transport
    version = "1.0" if ending is Ending.OLD_VERSION else "1.1"
    head = [f"HTTP/{version} 200 OK", *(f"{k}: {v}" for k, v in headers.items())]
    transport.write("\r\n".join([*head, "", ""]).encode())
    for piece in pieces:
        transport.write(piece)
        await asyncio.sleep(0.005)
    if ending.is_reset:
        # Without the pause the reset would overtake the last bytes.
        await asyncio.sleep(0.05)
        sock = transport.get_extra_info("socket")
        no_linger = struct.pack("ii", 1, 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, no_linger)
        transport.abort()
    else:
        transport.close()
    await asyncio.sleep(3600)


class UnframedEngine(EngineStandin):
    """Engine whose streams have no length.

    :ivar endings: of the next streams; later ones are complete.
    """

    def __init__(self, name, site):
        super().__init__(name, site)
        self.endings = []

    async def _stream(self, http, path, body):
        self.runs[http.headers["Attempt-Id"]] += 1
        ending = self.endings.pop(0) if self.endings else Ending.COMPLETE
        begin = int(http.headers.get("Last-Event-Id", "0")) + 1
        events = [
            f"id: {number}\ndata: token {number}\n\n".encode()
            for number in range(begin, self.events + 1)
        ]
        match ending:
            case Ending.RESET:
                events = events[:5]
            case Ending.WITHIN_EVENT:
                events = [*events[:5], events[5][:8]]
            case Ending.STRAY_BYTES:
                events.append(b"id")
        return await write_raw(http, self.sign(http), events, ending)


class UnframedDesk(PlainStandin):
    """Target of a plain service whose answers have no length.

    :ivar endings: of the next answers; later ones are complete.
    """

    def __init__(self, name):
        super().__init__(name)
        self.endings = []

    async def handle(self, http):
        body = await http.read()
        refusal = self.check_head(http)
        if refusal is not None:
            return refusal
        self.runs[http.headers["Attempt-Id"]] += 1
        ending = self.endings.pop(0) if self.endings else Ending.COMPLETE
        pieces = [b"answer to ", body]
        if ending is Ending.RESET:
            pieces.pop()
        return await write_raw(http, self.sign(http), pieces, ending)


async def add_targets(site):
    """Add an engine and a desk of each data centre to a site of two hosts."""
    engines, desks = [], []
    for name, centre in (("a", "north"), ("b", "south")):
        engine = UnframedEngine(f"engine-{name}", site.engines)
        engine.held = (0, 8)
        desk = UnframedDesk(f"desk-{name}")
        for target, service in ((engine, "model"), (desk, "desk")):
            await target.start()
            site.register_target(target, service, centre)
        engines.append(engine)
        desks.append(desk)
    site.desks += desks
    await site.wait_until(
        lambda: all(
            len(host.parts.runs.directory.registry.targets) == 4 for host in site.hosts
        )
    )
    return engines, desks


async def cut_off_first_host(site):
    """Cut a host off from all targets; wait until it has noticed."""
    cut = PathCut(site.hosts[0])
    cut.begin(CutMode.RESET)
    contact = site.hosts[0].parts.runs.contact
    number = 10_000
    async with asyncio.timeout(10.0):
        while not contact.is_lost:
            number += 1
            async with site.call("/look/", number, method="GET") as answer:
                await answer.read()
    return cut


@pytest.mark.parametrize("is_proxied", [False, True])
@pytest.mark.parametrize("ending", list(Ending))
def test_stream_without_length_or_chunks_is_passed_on_whole_or_resumed(
    ending, is_proxied
):
    async def scenario():
        async with run_site(hosts=2) as site:
            engines, _ = await add_targets(site)
            cut = await cut_off_first_host(site) if is_proxied else None
            engines[0].endings = engines[1].endings = [ending]
            async with site.call("/draft/", 1) as answer:
                assert list_event_ids(await answer.read()) == ALL_EVENTS
            runs = sum(engine.runs["try-1"] for engine in engines)
            assert (runs == 1) == ending.is_complete
            if cut is not None:
                cut.end()

    run_scenario(scenario())


@pytest.mark.parametrize("is_proxied", [False, True])
@pytest.mark.parametrize(
    "ending", [item for item in Ending if item.is_complete or item.is_reset]
)
def test_plain_answer_without_length_or_chunks_is_whole_or_fails(ending, is_proxied):
    async def scenario():
        async with run_site(hosts=2) as site:
            _, desks = await add_targets(site)
            cut = await cut_off_first_host(site) if is_proxied else None
            for desk in desks:
                desk.endings = [ending] * 3
            async with site.call("/once/", 1, data=b"body") as answer:
                content = await answer.read()
            if ending.is_complete:
                assert (answer.status, content) == (200, b"answer to body")
            else:
                assert answer.status == 502
            assert sum(desk.runs["try-1"] for desk in desks) == 1
            if cut is not None:
                cut.end()

    run_scenario(scenario())


def test_stream_without_length_that_can_not_be_resumed_does_not_look_complete():
    async def scenario():
        async with run_site(hosts=1) as site:
            engines, _ = await add_targets(site)
            for engine in engines:
                engine.endings = [Ending.WITHIN_EVENT] * 20
            async with site.call("/draft/", 1) as answer:
                with pytest.raises(aiohttp.ClientError):
                    await answer.read()

    run_scenario(scenario())
