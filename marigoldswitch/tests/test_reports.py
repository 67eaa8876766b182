"""How the client of engines classifies the answers to a request for a report."""

import asyncio

import pytest
from aiohttp import web
from aiohttp.test_utils import TestServer

from marigoldswitch.gateway.connections import Connections
from marigoldswitch.gateway.ports import EngineGone, EngineStatus, EngineWithoutReport
from marigoldswitch.platform.engines import EngineClient


async def read(handler, stop=False):
    """Return what the client makes of a target that answers with a handler.

    :param stop: close the target's port before the client asks.
    """
    server = TestServer(web.Application())
    server.app.router.add_get("/report", handler)
    await server.start_server()
    address = f"127.0.0.1:{server.port}"
    if stop:
        await server.close()
    connections = Connections()
    answer = await EngineClient(connections).read(address, 5.0)
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
