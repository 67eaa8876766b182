"""End-to-end tests on loopback: callers, hosts, dispatchers, engines, platform."""

import hashlib

import orjson
import pytest

from marigoldswitch.tests.helpers import (
    BOOKINGS_PATH,
    LETTERS_PATH,
    run_async,
    run_deployment,
)

DRAFT = {"input": {"prompt": "A letter about a doll"}, "max_tokens": 12}


def parse_events(content: bytes):
    events = []
    for part in content.decode().strip().split("\n\n"):
        name, data = part.split("\n")
        events.append((name.removeprefix("event: "), orjson.loads(data[6:])))
    return events


def test_draft_is_streamed_whole_and_each_layer_runs_once():
    async def play():
        async with run_deployment() as (deployment, session):
            address = deployment.get_address("host-0", "callers")
            body = DRAFT | {"stream": True}
            async with session.post(address + LETTERS_PATH, json=body) as response:
                request = response.headers["X-Request-Id"]
                events = parse_events(await response.read())
            ran = sum(
                (e.ran for e in deployment.engines.values()),
                start=type(next(iter(deployment.engines.values())).ran)(),
            )
        return request, events, ran

    request, events, ran = run_async(play())
    *tokens, (last, end) = events
    assert [data["position"] for _, data in tokens] == list(range(12))
    text = "".join(data["text"] for _, data in tokens)
    assert last == "end"
    assert end["tokens"] == 12
    assert end["checksum"] == hashlib.sha256(text.encode()).hexdigest()
    assert ran == {
        (request, 1, layer, position): 1
        for layer in range(12)
        for position in range(12)
    }


def test_unstreamed_draft_gives_the_same_text_through_any_host():
    async def play():
        async with run_deployment() as (deployment, session):
            answers = []
            for host in ("host-0", "host-2"):
                address = deployment.get_address(host, "callers")
                async with session.post(address + LETTERS_PATH, json=DRAFT) as response:
                    answers.append(await response.json())
        return answers

    one, other = run_async(play())
    assert one["answer"] == other["answer"]
    assert one["checksum"] == other["checksum"]
    assert one["request"] != other["request"]


def test_booking_runs_once_through_any_host():
    async def play():
        async with run_deployment() as (deployment, session):
            body = {"input": {"reference": "pickup"}}
            headers = {"Idempotency-Key": "k"}
            answers = []
            for host in ("host-0", "host-1", "host-2"):
                address = deployment.get_address(host, "callers")
                async with session.post(
                    address + BOOKINGS_PATH, json=body, headers=headers
                ) as response:
                    answers.append((response.status, (await response.json())["answer"]))
            async with session.get(address + "/v1/answers/k") as response:
                stored = (await response.json())["answer"]
            other = {"input": {"reference": "other"}}
            async with session.post(
                address + BOOKINGS_PATH, json=other, headers=headers
            ) as response:
                reused = (response.status, (await response.json())["error"]["kind"])
        return answers, stored, reused, deployment.services["desk-0"].ran

    answers, stored, reused, ran = run_async(play())
    assert answers == [(200, {"confirmed": "pickup", "by": "desk-0"})] * 3
    assert stored == answers[0][1]
    assert reused == (409, "key_reused")
    assert ran == {"pickup": 1}


@pytest.mark.parametrize(
    ("path", "headers", "data", "kind"),
    [
        (LETTERS_PATH, {}, b"{", "malformed"),
        (LETTERS_PATH, {}, b"[]", "malformed"),
        (LETTERS_PATH, {}, b'{"input":{"prompt":"x"},"colour":1}', "malformed"),
        (LETTERS_PATH, {}, b'{"input":{"prompt":1}}', "malformed"),
        (LETTERS_PATH, {}, b'{"input":{"prompt":"x"},"max_tokens":"9"}', "malformed"),
        (LETTERS_PATH, {}, b" " * 300_000, "too_large"),
        (LETTERS_PATH, {"Request-Timeout": "-1"}, b"{}", "malformed"),
        (LETTERS_PATH, {"Request-Timeout": "nan"}, b'{"input":{}}', "malformed"),
        (LETTERS_PATH, {"Authorization": "Bearer wrong"}, b"{}", "unauthenticated"),
        (LETTERS_PATH, {"Authorization": "none"}, b"{}", "unauthenticated"),
        ("/v1/brands/x/applications/y/requests", {}, b"{}", "unknown_route"),
        ("/nowhere", {}, b"{}", "unknown_route"),
    ],
)
def test_bad_input_is_refused_and_reaches_no_target(path, headers, data, kind):
    async def play():
        async with run_deployment(data_centres=("hobart",)) as (deployment, session):
            address = deployment.get_address("host-0", "callers")
            async with session.post(
                address + path, data=data, headers=headers
            ) as response:
                error = (await response.json())["error"]
            ran = [engine.ran for engine in deployment.engines.values()]
        return error, ran

    error, ran = run_async(play())
    assert error["kind"] == kind
    assert error["outcome"] == "not_run"
    assert not any(ran)


def test_health_and_metrics_are_shown():
    async def play():
        async with run_deployment(data_centres=("hobart",)) as (deployment, session):
            address = deployment.get_address("host-0", "callers")
            await (await session.post(address + LETTERS_PATH, json=DRAFT)).read()
            async with session.get(address + "/health/ready") as response:
                ready = response.status
            async with session.get(address + "/metrics") as response:
                return ready, await response.text()

    ready, metrics = run_async(play())
    assert ready == 200
    assert 'marigoldswitch_tokens_total{service="drafting"} 12' in metrics
