"""All clients check what they take for an answer."""

import ast
import asyncio
from pathlib import Path
from types import SimpleNamespace

import aiohttp
import msgspec
import pytest

import marigoldswitch
from marigoldswitch.answer_connections import AnswerConnector
from marigoldswitch.backends import PlainClient
from marigoldswitch.core.catalogue import Target
from marigoldswitch.core.delivery import Delivery
from marigoldswitch.core.ids import DataCentre, ServiceName, TargetId
from marigoldswitch.stores import PlatformClient
from marigoldswitch.tests.answer_heads import BROKEN, LENGTH, OK
from marigoldswitch.tests.raw_targets import End, RawAnswer, run_raw_target

ROOT = Path(marigoldswitch.__file__).parent
PEERS_OF_CLIENTS = {"tests", "standins"}
BODIES = {"answer": b'{"answer": {}}', "refusal": b'{"not_run": true}'}
"""Bodies of a target's answer, and of one that says that the request has not run."""
HEADS = {
    "status": b"HTTP/1.1 000 Down\r\n%S" + LENGTH + b"\r\n%B",
    "control byte": b"HTTP/1.1 503 No\x01\r\n%S" + LENGTH + b"\r\n%B",
    "blank": OK + b"Content-Length : %L\r\n\r\n%B",
}


def list_calls(name):
    """Return the calls of a class in the package, with the file of each."""
    for path in ROOT.rglob("*.py"):
        if PEERS_OF_CLIENTS & set(path.relative_to(ROOT).parts):
            continue
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.Call) and ast.unparse(node.func).endswith(name):
                yield path.relative_to(ROOT), node


def test_no_client_uses_connections_that_check_nothing():
    assert list(list_calls("TCPConnector")) == []
    for path, call in list_calls("ClientSession"):
        assert "connector" in {item.arg for item in call.keywords}, path


@pytest.mark.parametrize("body", BODIES)
@pytest.mark.parametrize("head", HEADS)
def test_broken_answer_of_a_plain_service_may_have_run(head, body):
    async def scenario():
        answer = RawAnswer(HEADS[head], body=BODIES[body])
        session = aiohttp.ClientSession(connector=AnswerConnector())
        async with run_raw_target(answer) as server, session:
            target = Target(
                TargetId("t"),
                ServiceName("desk"),
                DataCentre("north"),
                f"http://{server.address}",
                slots=1,
            )
            request = SimpleNamespace(id="r", key=None, body={})
            result = await PlainClient(session).call(target, request, 2.0)
            assert result.unwrap_err().delivery is Delivery.MAY_HAVE_RUN

    asyncio.run(scenario())


@pytest.mark.parametrize("name", [*HEADS, "reset"])
def test_broken_answer_of_the_platform_is_none(name):
    async def scenario():
        cut = RawAnswer(OK + b"\r\n%B", End.RESET)
        answer = cut if name == "reset" else RawAnswer(HEADS[name])
        answer = msgspec.structs.replace(answer, body=b'{"row": null}')
        session = aiohttp.ClientSession(connector=AnswerConnector())
        async with run_raw_target(answer) as server, session:
            address = f"http://{server.address}"
            platform = PlatformClient(session, "h", address, 2.0)
            assert (await platform.read("table", "key")).is_err()

    asyncio.run(scenario())


def test_connection_after_a_broken_answer_is_not_used_again():
    async def scenario():
        session = aiohttp.ClientSession(connector=AnswerConnector())
        async with run_raw_target(BROKEN["status 000"]) as server, session:
            with pytest.raises(aiohttp.ClientError):
                await session.post(f"http://{server.address}/")
            async with session.get(f"http://{server.address}/") as answer:
                assert answer.status == 200
            assert not server.was_reused

    asyncio.run(scenario())
