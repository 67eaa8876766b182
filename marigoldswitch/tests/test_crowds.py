"""Clients that don't behave, at the processes of hosts with lowered limits.

Run one at a time and apart from other load: ``make test`` does.
"""

import asyncio

import pytest

from marigoldswitch.tests import crowds
from marigoldswitch.tests.crowds import (
    ANSWER_BYTES,
    BODY_BYTES,
    LONG_ANSWER_BYTES,
    Crowd,
    run_host,
)
from marigoldswitch.tests.helpers import run_async

pytestmark = pytest.mark.crowd

MANY = 140
"""Clients whose connections alone a host bears."""
TOO_MANY = 500
"""More clients than a host has descriptors."""
FEW = 20
MAX_SECONDS = 900.0
"""After which a test is taken to hang."""
PROXY_TERMS = {"Proxy-Version": "1", "Proxy-Runs": "0"}


async def play(folder, act, count, listener="callers", **options):
    """Let a crowd come to a host, stay and leave; callers are answered throughout."""
    async with run_host(folder) as site:
        await site.ask()
        await site.ask(BODY_BYTES)
        crowd = Crowd(site, act, count, getattr(site, listener), **options)
        async with crowd.gather():
            for _ in range(3):
                await site.ask()
            site.check()
        await site.ask()
        await site.ask(BODY_BYTES)
        site.check()


CALLER_CROWDS = [
    (crowds.send_ahead, FEW),
    (crowds.send_short_ahead, FEW),
    (crowds.send_whole, MANY),
    (crowds.send_whole_once, MANY),
    (crowds.announce_body, MANY),
    (crowds.stop_short, MANY),
    (crowds.stop_short_in_chunks, MANY),
    (crowds.send_tiny_chunks, FEW),
    (crowds.send_trailers, MANY),
    (crowds.send_long_head, MANY),
    (crowds.begin_head, TOO_MANY),
    (crowds.say_nothing, TOO_MANY),
    (crowds.leave_large_answers, MANY),
    (crowds.leave_long_answers, MANY),
    (crowds.send_endless_body, MANY),
    (crowds.send_nameless, MANY),
    (crowds.upgrade, MANY),
]


@pytest.mark.parametrize(
    ("act", "count"), CALLER_CROWDS, ids=[act.__name__ for act, _ in CALLER_CROWDS]
)
def test_host_outlives_a_crowd_of_callers(tmp_path, act, count):
    run_async(play(tmp_path, act, count), MAX_SECONDS)


def test_host_serves_others_while_many_bodies_come_in_the_smallest_chunks(tmp_path):
    run_async(play(tmp_path, crowds.send_tiny_chunks, MANY), MAX_SECONDS)


@pytest.mark.parametrize("act", [crowds.stop_short, crowds.send_whole])
def test_host_outlives_a_crowd_with_wrong_keys(tmp_path, act):
    run_async(play(tmp_path, act, MANY, key="unknown"), MAX_SECONDS)


OTHER_CROWDS = [
    ("readiness", crowds.send_long_head, MANY),
    ("readiness", crowds.say_nothing, TOO_MANY),
    ("readiness", crowds.stop_short, MANY),
    ("metrics", crowds.leave_metrics, MANY),
    ("metrics", crowds.begin_head, TOO_MANY),
    ("peers", crowds.stop_short_in_frame, FEW),
    ("peers", crowds.send_wrong_frames, MANY),
    ("peers", crowds.say_nothing, TOO_MANY),
]


@pytest.mark.parametrize(
    ("listener", "act", "count"),
    OTHER_CROWDS,
    ids=[f"{listener}-{act.__name__}" for listener, act, _ in OTHER_CROWDS],
)
def test_host_outlives_a_crowd_at_its_other_listeners(tmp_path, listener, act, count):
    run_async(play(tmp_path, act, count, listener), MAX_SECONDS)


PROXIED_CROWDS = [
    (crowds.send_ahead, FEW),
    (crowds.send_whole, MANY),
    (crowds.stop_short, MANY),
    (crowds.say_nothing, TOO_MANY),
    (crowds.leave_large_answers, MANY),
]


@pytest.mark.parametrize(
    ("act", "count"), PROXIED_CROWDS, ids=[act.__name__ for act, _ in PROXIED_CROWDS]
)
def test_host_outlives_a_crowd_that_comes_by_way_of_others(tmp_path, act, count):
    work = play(tmp_path, act, count, "proxied", headers=PROXY_TERMS)
    run_async(work, MAX_SECONDS)


def test_host_outlives_crowds_at_all_listeners_at_once(tmp_path):
    async def scenario():
        async with run_host(tmp_path) as site:
            await site.ask()
            crowd = Crowd(site, crowds.stop_short, 60, site.callers)
            proxied = Crowd(
                site, crowds.stop_short, 60, site.proxied, headers=PROXY_TERMS
            )
            peers = Crowd(site, crowds.stop_short_in_frame, FEW, site.peers)
            async with crowd.gather(), proxied.gather(), peers.gather():
                await site.ask()
                site.check()
            await site.ask()
            await site.ask(BODY_BYTES)
            site.check()

    run_async(scenario(), MAX_SECONDS)


@pytest.mark.parametrize(
    ("act", "count"), [(crowds.stop_short, MANY), (crowds.begin_head, TOO_MANY)]
)
def test_host_without_a_configuration_outlives_a_crowd(tmp_path, act, count):
    async def scenario():
        async with run_host(tmp_path, is_configured=False) as site:
            await site.ask(wanted=503)
            crowd = Crowd(site, act, count, site.callers)
            async with crowd.gather():
                await site.ask(wanted=503)
                site.check()
            await site.ask(wanted=503)
            site.check()

    run_async(scenario(), MAX_SECONDS)


@pytest.mark.parametrize(
    ("act", "count"),
    [
        (crowds.send_ahead, FEW),
        (crowds.send_whole, MANY),
        (crowds.stop_short, MANY),
        (crowds.leave_large_answers, MANY),
        (crowds.begin_head, TOO_MANY),
    ],
)
def test_host_stops_while_a_crowd_is_there(tmp_path, act, count):
    async def scenario():
        async with run_host(tmp_path) as site:
            await site.ask()
            crowd = Crowd(site, act, count, site.callers)
            async with crowd.gather():
                site.terminate()
                await site.wait_until_ended()
            site.check_bounds()

    run_async(scenario(), MAX_SECONDS)


def test_requests_of_the_largest_size_are_served_in_calm(tmp_path):
    async def scenario():
        async with run_host(tmp_path) as site:
            for _ in range(5):
                await site.ask(BODY_BYTES)
            await asyncio.gather(*(site.ask(BODY_BYTES) for _ in range(3)))
            site.check()

    run_async(scenario(), MAX_SECONDS)


def test_bodies_in_small_chunks_are_served_in_calm(tmp_path):
    async def scenario():
        async with run_host(tmp_path) as site:
            await site.ask_in_chunks(BODY_BYTES, 1_000)
            await site.ask_in_chunks(20_000, 1)
            site.check()

    run_async(scenario(), MAX_SECONDS)


@pytest.mark.parametrize(
    ("end", "size"), [("large", ANSWER_BYTES), ("long", LONG_ANSWER_BYTES)]
)
def test_slow_reader_that_keeps_up_gets_its_whole_answer(tmp_path, end, size):
    async def scenario():
        async with run_host(tmp_path) as site:
            await site.read_slowly(end, size)
            site.check()

    run_async(scenario(), MAX_SECONDS)
