"""Drafts whose engines fall silent for a moment and go on."""

import asyncio

import aiohttp
import pytest
import yaml
from result import Err

from marigoldswitch.core.errors import ErrorKind, Fault
from marigoldswitch.standins.engine_state import choose_word
from marigoldswitch.tests.helpers import run_async, run_deployment, wait_until
from marigoldswitch.tests.test_deployment import parse_events
from marigoldswitch.tests.test_streams import (
    PROMPT,
    SETTINGS,
    check_stream,
    open_draft,
)

SILENCE = 1.2
LONG_SILENCE = 2.0
"""Longer than the waits for the first tokens of all chains that are tried."""


async def draft_beside_silence(
    idempotent, silent, fault, after, seconds=SILENCE, ended=""
):
    """Request a draft whose engines are silent from a token on; return its events.

    :param silent: begin of the names of the engines that are silent.
    :param ended: an engine that has ended by then.
    """
    async with run_deployment(settings=SETTINGS) as (deployment, session):
        services = yaml.safe_load(deployment.build_bundle())["services"]
        services["drafting"]["idempotent"] = idempotent
        await deployment.roll_out(deployment.build_bundle(services=services), 1)
        engines = [
            engine
            for name, engine in deployment.engines.items()
            if name.startswith(silent)
        ]

        def set_fault(value):
            for engine in engines:
                setattr(engine.faults, fault, value)

        async def begin():
            set_fault(True)
            asyncio.get_running_loop().call_later(seconds, set_fault, False)
            if ended:
                await deployment.stop_target(ended)

        if not after:
            await begin()
        body, has_begun = b"", not after
        async with open_draft(deployment, session) as response:
            async for line in response.content:
                body += line
                if not has_begun and body.count(b"event: token") == after:
                    has_begun = True
                    await begin()
        events = parse_events(body)
        if not ended:
            check_stream(deployment, events)
        return events


@pytest.mark.parametrize(
    ("idempotent", "silent"),
    [
        (False, "engine-0"),
        (False, "engine-1"),
        (False, "engine-2"),
        (False, "engine"),
        (True, "engine"),
    ],
)
@pytest.mark.parametrize("fault", ["stall", "silent"])
@pytest.mark.parametrize("after", [0, 20])
def test_draft_is_not_broken_off_while_its_engines_are_silent(
    idempotent, silent, fault, after
):
    run_async(draft_beside_silence(idempotent, silent, fault, after))


def test_draft_waits_for_its_first_token_when_no_attempt_is_left():
    run_async(draft_beside_silence(True, "engine", "stall", 0, LONG_SILENCE))


@pytest.mark.parametrize("ended", ["engine-0-0", "engine-1-0"])
def test_one_time_draft_does_not_wait_for_an_engine_that_has_ended(ended):
    work = draft_beside_silence(
        False, "engine-1", "stall", 20, seconds=LONG_SILENCE, ended=ended
    )
    events = run_async(work)
    assert events[-1][0] == "error"
    assert events[-1][1]["kind"] == "target_lost"
    words = "".join(data["text"] for name, data in events if name == "token")
    assert words == "".join(
        choose_word(PROMPT, item) for item in range(len(events) - 1)
    )


def test_stream_whose_reader_went_away_while_its_engine_was_silent_is_not_left_open():
    async def play():
        async with run_deployment(settings=SETTINGS) as (deployment, session):
            name = "engine-2-0"
            engine, address = deployment.engines[name], deployment.addresses[name]
            stage = {"target": name, "address": address, "layers": [8, 12]}
            order = {"request": "r", "epoch": 1, "chain": [stage], "max_tokens": 4}
            engine.faults.silent = True
            with pytest.raises(TimeoutError):
                async with asyncio.timeout(0.2):
                    await session.post(address + "/v1/streams", json=order)
            opened, add = asyncio.Event(), engine._add_stream

            def add_stream(*arguments):
                opened.set()
                return add(*arguments)

            engine._add_stream = add_stream
            engine.faults.silent = False
            await opened.wait()
            await wait_until(lambda: not engine.list_streams())

    run_async(play())


def test_begun_draft_asks_again_when_no_chain_is_granted_at_first():
    async def play():
        async with run_deployment(settings=SETTINGS) as (deployment, session):
            dispatching = deployment.hosts["host-0"].parts.dispatching
            acquire, asks = dispatching.acquire, []

            async def refuse_once(ask):
                asks.append(ask)
                if len(asks) == 2:
                    return Err(Fault(ErrorKind.SATURATED))
                return await acquire(ask)

            dispatching.acquire = refuse_once
            body = b""
            async with open_draft(deployment, session) as response:
                async for line in response.content:
                    body += line
                    if body.count(b"event: token") == 20:
                        deployment.engines["engine-1-0"].faults.stall = True
            deployment.engines["engine-1-0"].faults.stall = False
            assert len(asks) == 3
            check_stream(deployment, parse_events(body))

    run_async(play())


def test_engine_that_ends_while_it_is_silent_never_reads_what_waited():
    async def play():
        async with run_deployment(settings=SETTINGS) as (deployment, session):
            name = "engine-0-0"
            engine, address = deployment.engines[name], deployment.addresses[name]
            stage = {"target": name, "address": address, "layers": [0, 4]}
            order = {"request": "r", "epoch": 1, "chain": [stage, stage]}
            order |= {"from": 0, "max_tokens": 4, "prompt": PROMPT}
            engine.faults.silent = True
            call = asyncio.create_task(session.post(address + "/v1/starts", json=order))
            await wait_until(lambda: deployment.journals[name].arrivals)
            engine.clear_streams()
            engine.faults.silent = False
            with pytest.raises(aiohttp.ClientError):
                await call
            assert not engine.list_streams()

    run_async(play())
