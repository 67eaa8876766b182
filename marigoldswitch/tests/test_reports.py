"""What the client of engines makes of their answers to a request for a report."""

import asyncio

import pytest
from aiohttp import web
from aiohttp.test_utils import TestServer

from marigoldswitch.gateway.connections import Connections
from marigoldswitch.gateway.ports import EngineGone, EngineMute, EngineStatus
from marigoldswitch.platform.engines import EngineClient


async def read(handler, stop=False):
    """Return what the client reads of a target that answers with a handler."""
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


async def scribble(http):
    return web.Response(text="no report")


async def report(http):
    return web.json_response({"sequence": 4, "layers": {"from": 0, "target": 8}})


@pytest.mark.parametrize("handler", [refuse, scribble])
def test_answer_that_is_no_report_is_a_sign_of_life(handler):
    assert asyncio.run(read(handler)) == EngineMute()


def test_service_without_reports_says_so():
    async def miss(http):
        return web.Response(status=404)

    assert asyncio.run(read(miss)) == EngineMute(has_reports=False)


def test_report_is_read():
    status = asyncio.run(read(report))
    assert isinstance(status, EngineStatus)
    assert (status.sequence, status.layers.end) == (4, 8)


def test_closed_port_says_that_the_process_has_ended():
    assert asyncio.run(read(report, stop=True)) == EngineGone()
