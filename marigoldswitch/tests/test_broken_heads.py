"""Answers that break the protocol's grammar reach nobody; unusual ones are served."""

import asyncio

import aiohttp
import msgspec
import pytest

from marigoldswitch.core.answer_grammar import ChunkScanner, GrammarFault
from marigoldswitch.gateway.bounded_reads import get_stated_length
from marigoldswitch.gateway.connections import ConnectionUse, open_session
from marigoldswitch.tests.answer_heads import BROKEN, OK, SOUND
from marigoldswitch.tests.raw_targets import RawAnswer, run_raw_target

ODD_CODINGS = [b"Transfer-Encoding: gzip, chunked", b"Transfer-Encoding: gzip"]
SPLIT = pytest.mark.parametrize("is_split", [False, True], ids=["whole", "split"])
TIMEOUT = aiohttp.ClientTimeout(total=2.0)


async def fetch(session, target, method="GET"):
    """Return status, fields and body of an answer, or why there is none."""
    url = f"http://{target.address}/"
    try:
        # Without it, the client itself would send some requests again.
        use = ConnectionUse()
        async with session.request(
            method, url, timeout=TIMEOUT, trace_request_ctx=use
        ) as response:
            body = await response.read()
            return response.status, response.raw_headers, body
    except aiohttp.ClientError as error:
        return error


@SPLIT
@pytest.mark.parametrize("method", ["GET", "POST"])
@pytest.mark.parametrize("name", BROKEN)
def test_bytes_that_break_the_grammar_are_no_answer(name, method, is_split):
    async def scenario():
        broken = msgspec.structs.replace(BROKEN[name], is_split=is_split)
        async with run_raw_target(broken) as target, open_session(8.0) as session:
            assert isinstance(await fetch(session, target, method), aiohttp.ClientError)
            status, _, _ = await fetch(session, target)
            assert status == 200
            assert not target.was_reused
            async with asyncio.timeout(1.0):
                while target.open_count:
                    await asyncio.sleep(0.001)

    asyncio.run(scenario())


@SPLIT
@pytest.mark.parametrize("name", SOUND)
def test_unusual_answers_are_served(name, is_split):
    async def scenario():
        sound = SOUND[name]
        answer = msgspec.structs.replace(sound.answer, is_split=is_split)
        async with run_raw_target(answer) as target, open_session(8.0) as session:
            status, fields, body = await fetch(session, target)
            assert (status, body) == (sound.status, sound.body)
            if sound.field is not None:
                key, value = sound.field
                assert (key.encode(), value) in fields

    asyncio.run(scenario())


@SPLIT
@pytest.mark.parametrize(
    "field",
    [b"Content-Length: 9", b"Transfer-Encoding: chunked", *ODD_CODINGS, b"N: v"],
)
def test_answers_to_head_have_no_body(field, is_split):
    async def scenario():
        answer = RawAnswer(OK + field + b"\r\n\r\n", is_split=is_split)
        async with run_raw_target(answer) as target, open_session(8.0) as session:
            status, _, body = await fetch(session, target, "HEAD")
            assert (status, body) == (200, b"")

    asyncio.run(scenario())


@pytest.mark.parametrize("begin", [b"1;", b"0\r\nT: "], ids=["extension", "trailer"])
def test_line_of_a_chunk_does_not_grow_without_end(begin):
    scanner = ChunkScanner()
    scanner.feed(begin)
    with pytest.raises(GrammarFault):
        for _ in range(40):
            scanner.feed(b"x" * 65_536)


NO_BODIES = ["length of an unchanged body", "long unchanged body"]


@pytest.mark.parametrize("name", [*NO_BODIES, "long body that is none"])
def test_no_length_is_read_of_a_body_that_is_none(name):
    async def scenario():
        async with (
            run_raw_target(SOUND[name].answer) as target,
            open_session(8.0) as session,
            session.get(f"http://{target.address}/") as response,
        ):
            assert get_stated_length(response) == 0

    asyncio.run(scenario())
