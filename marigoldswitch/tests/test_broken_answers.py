"""Broken answers on each way to callers: they reach none, and state nothing."""

import asyncio
import contextlib
from enum import Enum

import aiohttp
import msgspec
import pytest

from marigoldswitch.core.catalogue import LayerRange
from marigoldswitch.core.ids import HostId
from marigoldswitch.gateway.connections import Connections, open_session
from marigoldswitch.gateway.ports import EngineStatus, OrderResult
from marigoldswitch.gateway.proxy_hosts import ProxyHost
from marigoldswitch.platform.engines import EngineClient
from marigoldswitch.platform.store_calls import StoreCalls
from marigoldswitch.tests.answer_heads import BROKEN, OK, SOUND
from marigoldswitch.tests.gateway_site import (
    ALL_EVENTS,
    build_configuration,
    list_event_ids,
    run_scenario,
    run_site,
)
from marigoldswitch.tests.raw_targets import (
    GOOD_BODY,
    End,
    RawAnswer,
    RawTarget,
    run_raw_target,
)
from marigoldswitch.tests.test_unframed_answers import cut_off_first_host

UPLOAD = b"u" * 6_000_000
READ_BYTES = 65_536
"""Part of an upload that a target reads before it answers."""
SAMPLE = (
    "status 000",
    "status 600",
    "unasked change of protocol",
    "control byte in the reason",
    "blank in a name",
    "blank before a colon",
    "control byte in a value",
    "folded value",
    "blank before the colon of a length",
    "length and chunks",
    "compressed chunks",
    "size too large by one",
    "size with a prefix",
    "control byte in a trailer",
    "end before the last chunk",
    "control byte before the answer",
)
"""Names of answers that break the grammar in each part of it."""


class Way(Enum):
    """Kind of a request."""

    ONCE = "may run once"
    AGAIN = "may run again"
    STREAM = "stream"


BY_WAY_OF_HOST = pytest.mark.parametrize(
    "is_proxied", [False, True], ids=["direct", "by way of a host"]
)
WAYS = pytest.mark.parametrize("way", list(Way))


@contextlib.asynccontextmanager
async def run_raw_site(is_proxied=False, targets=2):
    """Run two hosts with raw targets of both services, which share their answers.

    :return: the site, the shared answers, and the targets.
    """
    answers, raw = [], []
    async with run_site(hosts=2) as site:
        try:
            configuration = build_configuration(version=2)
            configuration["limits"]["max_body_bytes"] = 2 * len(UPLOAD)
            site.store.put("op", "config", configuration)
            for number in range(targets):
                for service, name in (("desk", "d"), ("model", "e")):
                    target = RawTarget(f"{name}{number}", answers)
                    await target.start()
                    raw.append(target)
                    site.register_target(target, service, "north")
            for host in site.hosts:
                directory = host.parts.runs.directory
                await site.wait_until(
                    lambda known=directory: (
                        known.version == 2 and len(known.registry.targets) == len(raw)
                    )
                )
            cut = await cut_off_first_host(site) if is_proxied else None
            yield site, answers, raw
            if cut is not None:
                cut.end()
        finally:
            for target in raw:
                await target.stop()


async def send(site, way, number, data=b"{}"):
    """Send a request; return status and body of its answer."""
    path, method = {
        Way.ONCE: ("/once/", "POST"),
        Way.AGAIN: ("/look/", "GET"),
        Way.STREAM: ("/draft/", "POST"),
    }[way]
    fields = {"data": data + b"%d" % number, "method": method}
    async with site.call(path, number, **fields) as answer:
        return answer.status, await answer.read()


def choose_first(site, other):
    """Have the first host send requests by way of another one that is not a host."""
    hosts = site.hosts[0].parts.requests._proxy._hosts
    choose = hosts.choose
    hosts.choose = lambda tried: (
        choose(tried) if tried else ProxyHost(HostId("x"), other.address)
    )


def count_runs(targets, number):
    return sum(target.arrivals[f"try-{number}"] for target in targets)


def check_answer(way, status, body):
    """Assert that a caller got the answer of another target, or was told."""
    match way:
        case Way.ONCE:
            assert status == 502
            assert b'"error"' in body
        case Way.AGAIN:
            assert (status, body) == (200, GOOD_BODY)
        case Way.STREAM:
            assert (status, list_event_ids(body)) == (200, ALL_EVENTS)


@WAYS
@BY_WAY_OF_HOST
@pytest.mark.parametrize("name", SAMPLE)
def test_broken_answer_reaches_no_caller(name, is_proxied, way):
    async def scenario():
        async with run_raw_site(is_proxied) as (site, answers, targets):
            answers.append(BROKEN[name])
            check_answer(way, *await send(site, way, 1))
            assert count_runs(targets, 1) == (1 if way is Way.ONCE else 2)
            assert not any(target.was_reused for target in targets)

    run_scenario(scenario())


@BY_WAY_OF_HOST
def test_broken_answers_to_requests_that_may_run_once_are_errors(is_proxied):
    async def scenario():
        wrong = {}
        async with run_raw_site(is_proxied) as (site, answers, targets):
            for number, (name, broken) in enumerate(BROKEN.items()):
                answers.append(broken)
                status, body = await send(site, Way.ONCE, 2 * number)
                runs = count_runs(targets, 2 * number)
                if (status, runs) != (502, 1):
                    wrong[name] = status, body, runs
                # The target is alive, and has stated nothing.
                status, _ = await send(site, Way.ONCE, 2 * number + 1)
                assert (name, status) == (name, 200)
        assert wrong == {}

    run_scenario(scenario())


@BY_WAY_OF_HOST
@pytest.mark.parametrize("method", ["GET", "POST"])
def test_unusual_answers_are_passed_on(method, is_proxied):
    async def scenario():
        wrong = {}
        async with run_raw_site(is_proxied) as (site, answers, _):
            path = "/look/" if method == "GET" else "/once/"
            for number, (name, sound) in enumerate(SOUND.items()):
                answers.append(sound.answer)
                call = site.call(path, number, method=method, data=b"%d" % number)
                async with call as answer:
                    body = await answer.read()
                    if (answer.status, body) != (sound.status, sound.body):
                        wrong[name] = answer.status, body
                    if sound.field is not None:
                        key, value = sound.field
                        if (key.encode(), value) not in answer.raw_headers:
                            wrong[name] = answer.raw_headers
        assert wrong == {}

    run_scenario(scenario())


@BY_WAY_OF_HOST
@pytest.mark.parametrize(
    "name",
    ["to the end", "to the end, by HTTP/1.0", "bare LF in the head", "small chunks"],
)
def test_unusual_streams_are_passed_on(name, is_proxied):
    async def scenario():
        async with run_raw_site(is_proxied) as (site, answers, targets):
            answers.append(SOUND[name].answer)
            status, body = await send(site, Way.STREAM, 1)
            assert (status, list_event_ids(body)) == (200, [1])
            assert count_runs(targets, 1) == 1

    run_scenario(scenario())


@pytest.mark.parametrize("line", [b"HTTP/1.1 000 Down", b"HTTP/1.1 503 \x01"])
def test_broken_heads_state_nothing(line):
    async def scenario():
        async with run_raw_site(targets=1) as (site, answers, targets):
            content = (
                line + b"\r\n%SNot-Executed: 1\r\nServer-Limit: 0\r\n"
                b"Server-Leaving: 1\r\nRetry-After: 9\r\nReplica-Load: 999,999\r\n"
                b"Content-Length: 0\r\n\r\n"
            )
            runs = site.hosts[0].parts.runs
            for number, way in enumerate((Way.ONCE, Way.STREAM)):
                answers.append(RawAnswer(content))
                status, _ = await send(site, way, number)
                assert status in (502, 503 if way is Way.STREAM else 502)
                assert count_runs(targets, number) == 1
                now = runs.clock.monotonic()
                assert not runs.directory.statements.list_blocked(now)
            assert (await send(site, Way.ONCE, 2))[0] == 200

    run_scenario(scenario())


def test_broken_answer_on_a_kept_connection_is_not_sent_again_to_its_target():
    async def scenario():
        async with run_raw_site(targets=1) as (site, answers, targets):
            for number in range(3):
                assert (await send(site, Way.AGAIN, number))[0] == 200
            answers += [BROKEN["status 000"]] * 3
            status, _ = await send(site, Way.AGAIN, 3)
            assert status == 502
            assert count_runs(targets, 3) == 1

    run_scenario(scenario())


@WAYS
@pytest.mark.parametrize("name", SAMPLE)
def test_broken_answer_of_another_host_reaches_no_caller(name, way):
    async def scenario():
        async with (
            run_raw_site(is_proxied=True) as (site, _, _),
            run_raw_target(BROKEN[name]) as other,
        ):
            choose_first(site, other)
            check_answer(way, *await send(site, way, 1))
            assert other.arrivals["try-1"] == 1

    run_scenario(scenario())


# Answers to uploads that are still under way.

PARTS = {
    "HTTP/1.1": OK + b"\r\n%B",
    "HTTP/1.0": b"HTTP/1.0 200 OK\r\n%S\r\n%B",
    "close": OK + b"Connection: close\r\n\r\n%B",
    "no byte": OK + b"\r\n",
}


PAUSES = pytest.mark.parametrize("pause", [0.0, 0.02], ids=["at once", "later"])


@WAYS
@BY_WAY_OF_HOST
@PAUSES
@pytest.mark.parametrize("name", PARTS)
def test_part_of_an_early_answer_reaches_no_caller(name, pause, is_proxied, way):
    async def scenario():
        part = RawAnswer(PARTS[name], End.RESET, reads=READ_BYTES, pause=pause)
        async with run_raw_site(is_proxied) as (site, answers, _):
            for number in range(5):
                answers.append(part)
                check_answer(way, *await send(site, way, number, UPLOAD))

    run_scenario(scenario())


@BY_WAY_OF_HOST
@pytest.mark.parametrize(
    "name", ["plain", "chunks", "trailers", "unknown status", "no body"]
)
def test_whole_early_answer_is_passed_on(name, is_proxied):
    async def scenario():
        sound = SOUND[name]
        early = msgspec.structs.replace(sound.answer, end=End.RESET, reads=READ_BYTES)
        async with run_raw_site(is_proxied) as (site, answers, targets):
            for number in range(5):
                answers.append(early)
                status, body = await send(site, Way.ONCE, number, UPLOAD)
                assert (status, body) == (sound.status, sound.body)
                assert count_runs(targets, number) == 1

    run_scenario(scenario())


@pytest.mark.parametrize("way", [Way.ONCE, Way.STREAM])
def test_part_of_an_early_error_is_no_answer(way):
    async def scenario():
        content = b"HTTP/1.1 400 Bad Request\r\n%S\r\n%B"
        part = RawAnswer(content, End.RESET, reads=READ_BYTES)
        async with run_raw_site() as (site, answers, _):
            answers += [part] * 2
            assert (await send(site, way, 1, UPLOAD))[0] == 502

    run_scenario(scenario())


@BY_WAY_OF_HOST
@PAUSES
def test_part_of_a_long_early_answer_is_broken_off(pause, is_proxied):
    async def scenario():
        head = OK + b"Content-Length: %d\r\n\r\n" % (3 * len(UPLOAD))
        part = RawAnswer(head + UPLOAD, End.RESET, reads=READ_BYTES, pause=pause)
        async with run_raw_site(is_proxied) as (site, answers, targets):
            answers.append(part)
            with pytest.raises(aiohttp.ClientError):
                await send(site, Way.ONCE, 1, UPLOAD)
            assert count_runs(targets, 1) == 1

    run_scenario(scenario())


@WAYS
@PAUSES
def test_part_of_an_early_answer_of_another_host_reaches_no_caller(pause, way):
    async def scenario():
        part = RawAnswer(OK + b"\r\n%B", End.RESET, reads=READ_BYTES, pause=pause)
        async with (
            run_raw_site(is_proxied=True) as (site, _, _),
            run_raw_target(part) as other,
        ):
            choose_first(site, other)
            check_answer(way, *await send(site, way, 1, UPLOAD))

    run_scenario(scenario())


# Answers that callers don't see.

REPORT_BODY = b'{"layers": {"from": 0, "target": 8}, "sequence": 1}'
CUT_ANSWER = RawAnswer(OK + b"\r\n%B", End.RESET)
UNSEEN = {**{name: BROKEN[name] for name in SAMPLE}, "reset": CUT_ANSWER}


@pytest.mark.parametrize("name", UNSEEN)
def test_broken_report_is_none(name):
    async def scenario():
        answer = msgspec.structs.replace(UNSEEN[name], body=REPORT_BODY)
        async with run_raw_target(answer) as target:
            target.answers_reports = True
            connections = Connections()
            client = EngineClient(connections)
            status = await client.read(target.address, 1.0)
            assert not isinstance(status, EngineStatus)
            await connections.close()

    asyncio.run(scenario())


@pytest.mark.parametrize("name", UNSEEN)
def test_broken_answer_to_an_order_is_unknown(name):
    async def scenario():
        async with run_raw_target(UNSEEN[name]) as target:
            connections = Connections()
            client = EngineClient(connections)
            reply = await client.place(target.address, LayerRange(0, 8), 0)
            assert reply.result is OrderResult.UNKNOWN
            await connections.close()

    asyncio.run(scenario())


@pytest.mark.parametrize("name", UNSEEN)
def test_broken_answer_of_the_store_is_none(name):
    async def scenario():
        rows = b'{"row_version": 7, "rows": []}'
        answer = msgspec.structs.replace(UNSEEN[name], body=rows)
        async with run_raw_target(answer) as target, open_session(8.0) as session:
            calls = StoreCalls(session, target.address)
            result = await calls.get("/rows", {"table": "servers"})
            assert result.is_err()

    asyncio.run(scenario())


def test_answers_that_are_sound_are_read_from_engines_and_the_store():
    async def scenario():
        for sound in ("plain", "chunks", "to the end", "bare LF in the head"):
            answer = SOUND[sound].answer
            report = msgspec.structs.replace(answer, body=REPORT_BODY)
            async with run_raw_target(report, answer) as target:
                target.answers_reports = True
                connections = Connections()
                client = EngineClient(connections)
                status = await client.read(target.address, 1.0)
                assert isinstance(status, EngineStatus)
                reply = await client.place(target.address, LayerRange(0, 8), 0)
                assert reply.result is OrderResult.DONE
                await connections.close()

    asyncio.run(scenario())


@BY_WAY_OF_HOST
@WAYS
def test_caller_is_told_if_the_head_of_its_answer_can_not_be_written(way, is_proxied):
    async def scenario():
        async with run_raw_site(is_proxied) as (site, _, _):
            codec = site.hosts[0].parts.runs.codec
            write_reply = codec.write_reply

            def write_badly(headers):
                written = write_reply(headers)
                written["Name"] = "line\nbreak"
                return written

            codec.write_reply = write_badly
            assert (await send(site, way, 1))[0] == 502
            codec.write_reply = write_reply
            assert (await send(site, way, 2))[0] == 200

    run_scenario(scenario())
