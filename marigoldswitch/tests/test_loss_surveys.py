"""What a host finds out about other engines when it has lost one."""

import asyncio

import pytest

from marigoldswitch.core.ids import TargetId
from marigoldswitch.tests.test_probing import Engines, run_virtually


def get_target(engines, name):
    return engines.directory.registry.rows[TargetId(name)].target


def test_engines_lost_together_are_found_and_the_others_are_heard():
    async def play(clock):
        engines = Engines(clock)
        engines.gone = {"near-0"}
        engines.silent = {"near-1"}
        since = clock.monotonic()
        unheard = await engines.probes.find_unheard(
            get_target(engines, "near-0"), since
        )
        assert unheard == {"near-1"}
        assert clock.monotonic() - since < 0.02
        assert not any(name.startswith("far") for name in engines.reads)

    run_virtually(play)


@pytest.mark.parametrize("is_silent", [False, True])
def test_reset_by_an_engine_that_is_not_known_dead_probes_no_others(is_silent):
    async def play(clock):
        engines = Engines(clock)
        engines.silent = {"near-0"} if is_silent else set()
        target = get_target(engines, "near-0")
        assert not await engines.probes.find_unheard(target, clock.monotonic())
        assert set(engines.reads) == {"near-0"}

    run_virtually(play)


def test_second_loss_at_the_same_moment_causes_no_second_survey():
    async def play(clock):
        engines = Engines(clock)
        engines.gone = {"near-0", "near-1"}
        for name in ("near-0", "near-1"):
            target = get_target(engines, name)
            await engines.probes.find_unheard(target, clock.monotonic())
        assert all(engines.reads.count(item) <= 1 for item in ("near-2", "near-3"))

    run_virtually(play)


@pytest.mark.parametrize("delivers", [False, True])
def test_engine_that_delivers_events_is_not_dead_although_its_probe_is_lost(delivers):
    async def play(clock):
        engines = Engines(clock)
        engines.silent = {"near-0"}
        check = asyncio.ensure_future(engines.check("near-0"))
        await asyncio.sleep(0.03)
        if delivers:
            engines.probes.note_alive([TargetId("near-0")])
        await check
        assert engines.list_dead() == ([] if delivers else ["near-0"])

    run_virtually(play)
