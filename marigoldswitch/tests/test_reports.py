"""How the client of engines classifies the answers to a request for a report."""

import asyncio

import pytest
from aiohttp import web
from aiohttp.test_utils import TestServer

from marigoldswitch.gateway.connections import Connections
from marigoldswitch.gateway.ports import (
    EngineGone,
    EngineSilent,
    EngineStatus,
    EngineWithoutReport,
)
from marigoldswitch.platform.engines import EngineClient


async def read(handler, stop=False, seconds=5.0, new_connection=False, reads=1):
    """Return what the client makes of a target that answers with a handler.

    :param stop: close the target's port before the client asks.
    :param reads: times that it asks, the last of which counts.
    """
    server = TestServer(web.Application())
    server.app.router.add_get("/report", handler)
    await server.start_server()
    address = f"127.0.0.1:{server.port}"
    if stop:
        await server.close()
    connections = Connections()
    for _ in range(reads):
        answer = await EngineClient(connections).read(address, seconds, new_connection)
    await connections.close()
    await server.close()
    return answer


async def refuse(http):
    return web.Response(status=503)


async def answer_other_text(http):
    return web.Response(text="no report")


async def report(http):
    return web.json_response({"sequence": 4, "layers": {"from": 0, "target": 8}})


@pytest.mark.parametrize("handler", [refuse, answer_other_text])
def test_answer_without_a_report_counts_as_alive(handler):
    assert asyncio.run(read(handler)) == EngineWithoutReport()


def test_status_404_means_no_reports():
    async def miss(http):
        return web.Response(status=404)

    assert asyncio.run(read(miss)) == EngineWithoutReport(has_reports=False)


def test_report_is_read():
    status = asyncio.run(read(report))
    assert isinstance(status, EngineStatus)
    assert (status.sequence, status.layers.end) == (4, 8)


def test_refused_connection_means_that_the_process_has_ended():
    assert asyncio.run(read(report, stop=True)) == EngineGone()


async def stay_silent(http):
    await asyncio.sleep(60.0)


@pytest.mark.parametrize("new_connection", [False, True])
def test_target_that_takes_a_connection_and_is_silent_is_told_from_an_unreached_one(
    new_connection,
):
    answer = asyncio.run(read(stay_silent, seconds=0.1, new_connection=new_connection))
    assert answer == EngineSilent()


def test_silence_on_a_reused_connection_does_not_show_that_a_target_is_reached():
    answers = iter([report, stay_silent])

    async def handle(http):
        return await next(answers)(http)

    answer = asyncio.run(read(handle, seconds=0.5, reads=2))
    assert answer is None
