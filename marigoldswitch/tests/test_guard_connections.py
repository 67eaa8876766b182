"""Connections that show whether a target's process ends with a request."""

import asyncio
import contextlib

import pytest

from marigoldswitch.gateway.bounded_reads import ReadGuard
from marigoldswitch.gateway.guard_connections import SAME_MOMENT_SECONDS, open_guards
from marigoldswitch.tests.crash_targets import build_target
from marigoldswitch.tests.faulty_targets import Fault, FaultyTarget
from marigoldswitch.tests.gateway_site import get_targets, run_scenario, run_site


async def start_targets():
    targets = [FaultyTarget("own"), FaultyTarget("other")]
    for target in targets:
        await target.start()
    return targets


@pytest.mark.parametrize(
    ("ended", "is_refused", "has_ended"),
    [
        (("own",), False, True),
        (("own",), True, True),
        (("own", "other"), False, False),
        (("other",), False, False),
        ((), False, False),
    ],
)
def test_target_has_ended_if_it_alone_ends_all_connections(
    ended, is_refused, has_ended
):
    async def scenario():
        targets = await start_targets()
        own, other = (build_target(item.name, item.address) for item in targets)
        guards = await open_guards(own, other, ReadGuard())
        await asyncio.sleep(0.02)
        for target in targets:
            if target.name in ended:
                target.crash("/")
        assert await guards.has_target_ended(is_refused) is has_ended
        guards.close()
        for target in targets:
            target.stop()

    run_scenario(scenario())


@pytest.mark.parametrize("is_refused", [True, False])
def test_only_target_that_refuses_connections_may_be_cut_off(is_refused):
    async def scenario():
        targets = await start_targets()
        guards = await open_guards(
            build_target("own", targets[0].address), None, ReadGuard()
        )
        await asyncio.sleep(0.02)
        targets[0].crash("/")
        assert await guards.has_target_ended(is_refused) is not is_refused
        guards.close()
        for target in targets:
            target.stop()

    run_scenario(scenario())


def test_connection_that_was_ended_long_before_shows_nothing():
    async def scenario():
        targets = await start_targets()
        own, other = (build_target(item.name, item.address) for item in targets)
        guards = await open_guards(own, other, ReadGuard())
        await asyncio.sleep(0.02)
        targets[0].crash("/")
        await asyncio.sleep(3.0 * SAME_MOMENT_SECONDS)
        assert not await guards.has_target_ended(False)
        guards.close()
        for target in targets:
            target.stop()

    run_scenario(scenario())


def test_target_that_takes_no_connection_gets_no_guard():
    async def scenario():
        targets = await start_targets()
        own, other = (build_target(item.name, item.address) for item in targets)
        targets[0].stop()
        assert await open_guards(own, other, ReadGuard()) is None
        targets[1].stop()

    run_scenario(scenario())


def test_guards_are_counted_and_given_up_if_bytes_arrive():
    async def scenario():
        async def flood(_, writer):
            with contextlib.suppress(ConnectionError):
                while True:
                    writer.write(b"x" * 2**16)
                    await writer.drain()

        server = await asyncio.start_server(flood, "127.0.0.1", 0)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        bounds = ReadGuard()
        guards = await open_guards(build_target("own", address), None, bounds)
        assert bounds.open_connections == 1
        assert not await guards.has_target_ended(False)
        assert bounds.open_connections == 0
        server.close()

    run_scenario(scenario())


@pytest.mark.parametrize("method", ["GET", "POST"])
@pytest.mark.parametrize("fault", [Fault.RESET, Fault.CLOSE, Fault.LATE_RESET])
def test_request_that_live_targets_lose_again_and_again_is_not_held(fault, method):
    async def scenario():
        targets = [FaultyTarget(f"d{index}") for index in range(3)]
        async with run_site(hosts=2) as site:
            for target in targets:
                await target.start()
                site.register_target(target, "desk", "north")
            await site.wait_until(lambda: len(get_targets(site)) == 3)
            for target in targets:
                target.begin(lambda: fault)
            fields = {"data": None} if method == "GET" else {}
            for number in range(20):
                async with site.call(
                    "/look/lost", number, number % 2, method=method, **fields
                ) as answer:
                    await answer.read()
            for host in site.hosts:
                assert host.parts.runs.crashes.is_empty
            for target in targets:
                target.stop()

    run_scenario(scenario())
