"""Which targets are asked when a host doubts that it reaches any."""

import asyncio
import random
import time
from types import SimpleNamespace

import pytest

from marigoldswitch.core.contact import ContactState, TargetContact
from marigoldswitch.core.ids import DataCentre, TargetId
from marigoldswitch.gateway.contact_probing import ContactProber
from marigoldswitch.gateway.ports import EngineGone, EngineSilent, EngineWithoutReport
from marigoldswitch.tests.gateway_site import get_targets, run_scenario, run_site
from marigoldswitch.tests.helpers import run_virtually
from marigoldswitch.tests.quiet_desks import QuietDesk

HOME = DataCentre("near")
CENTRES = (HOME, DataCentre("far"), DataCentre("farther"))


class Targets:
    """Nine engines in three data centres, as one host reaches them.

    :ivar reads: the addresses that were asked, in order.
    :ivar delay: seconds after which they answer.
    """

    def __init__(self, clock, seed):
        self.clock = clock
        self.answers = {}
        self.reads = []
        self.delay = 0.0
        self.names = [
            TargetId(f"{centre}-{number}") for centre in CENTRES for number in range(3)
        ]
        engines = [
            SimpleNamespace(id=name, address=name, data_centre=name.partition("-")[0])
            for name in self.names
        ]
        self.contact = TargetContact(clock.monotonic())
        self.prober = ContactProber(
            self,
            lambda: engines,
            self.contact,
            clock,
            HOME,
            random.Random(seed),
        )

    async def read(self, address, timeout, new_connection):
        assert new_connection
        self.reads.append(address)
        answer = self.answers.get(address)
        if answer is None or self.delay > timeout:
            await asyncio.sleep(timeout)
            return None
        await asyncio.sleep(self.delay)
        return answer

    def miss(self, *names):
        now = self.clock.monotonic()
        for name in names:
            self.contact.note_silence(TargetId(name), now - 0.1, now)


@pytest.mark.parametrize("seed", range(20))
def test_host_that_reaches_only_its_own_data_centre_is_not_cut_off(seed):
    async def play(clock):
        targets = Targets(clock, seed)
        await asyncio.sleep(1.0)
        # One of its own data centre is dead.
        for name in ("near-1", "near-2"):
            targets.answers[name] = EngineWithoutReport()
        states = []
        targets.contact.watch(lambda change: states.append(change.state))
        for _ in range(5):
            targets.miss("far-0", "farther-1", "far-2")
            await asyncio.sleep(0.5)
        assert ContactState.LOST not in states
        assert targets.contact.state is ContactState.REACHED

    run_virtually(play)


@pytest.mark.parametrize("answer", [None, EngineGone()])
def test_host_that_reaches_nothing_is_cut_off_at_once_and_back_with_an_answer(answer):
    async def play(clock):
        targets = Targets(clock, 1)
        targets.answers = dict.fromkeys(targets.names, answer)
        await asyncio.sleep(1.0)
        targets.miss("near-0", "far-0")
        await asyncio.sleep(0.25)
        assert targets.contact.is_lost
        await asyncio.sleep(2.0)
        assert targets.contact.is_lost
        targets.answers = dict.fromkeys(targets.names, EngineWithoutReport())
        await asyncio.sleep(0.7)
        assert targets.contact.state is ContactState.REACHED
        targets.reads.clear()
        targets.prober.tick()
        await asyncio.sleep(1.0)
        assert targets.reads == []

    run_virtually(play)


@pytest.mark.parametrize("seed", range(20))
def test_host_half_of_whose_targets_are_silent_is_not_cut_off(seed):
    async def play(clock):
        targets, rng = Targets(clock, seed), random.Random(seed)
        states = []
        targets.contact.watch(lambda change: states.append(change.state))
        for _ in range(20):
            await asyncio.sleep(1.0)
            silent = rng.sample(targets.names, len(targets.names) // 2)
            targets.answers = {
                name: EngineWithoutReport()
                for name in targets.names
                if name not in silent
            }
            targets.miss(*silent)
        assert ContactState.DOUBTED in states
        assert ContactState.LOST not in states

    run_virtually(play)


def test_host_whose_targets_take_connections_and_are_silent_is_not_cut_off():
    async def play(clock):
        targets = Targets(clock, 1)
        targets.answers = dict.fromkeys(targets.names, EngineSilent())
        await asyncio.sleep(1.0)
        states = []
        targets.contact.watch(lambda change: states.append(change.state))
        targets.miss("near-0", "far-0")
        await asyncio.sleep(1.0)
        assert states == [ContactState.DOUBTED, ContactState.REACHED]

    run_virtually(play)


def test_host_whose_link_is_full_for_a_moment_is_not_cut_off():
    """A relay's link takes 85 ms to pass on a configuration."""

    async def play(clock):
        targets = Targets(clock, 1)
        targets.answers = dict.fromkeys(targets.names, EngineWithoutReport())
        targets.delay = 0.15
        await asyncio.sleep(1.0)
        states = []
        targets.contact.watch(lambda change: states.append(change.state))
        targets.miss("near-0", "far-0")
        await asyncio.sleep(1.0)
        assert states == [ContactState.DOUBTED, ContactState.REACHED]

    run_virtually(play)


@pytest.mark.parametrize("turns", range(6))
def test_host_that_stood_still_while_it_asked_is_not_cut_off(turns):
    async def scenario():
        async with run_site(hosts=1) as site:
            for number in range(4):
                desk = QuietDesk(f"q{number}")
                desk.awake.clear()
                await desk.start()
                site.register_target(desk, "desk", "north")
            await site.wait_until(lambda: len(get_targets(site)) == 4)
            runs, states = site.hosts[0].parts.runs, []
            runs.contact.watch(lambda change: states.append(change.state))
            now = runs.clock.monotonic()
            for name in ("q0", "q1"):
                runs.contact.note_silence(TargetId(name), now - 0.001, now)
            for _ in range(turns):
                await asyncio.sleep(0)
            time.sleep(0.3)  # noqa: ASYNC251
            await site.wait_until(lambda: len(states) > 1)
            assert states == [ContactState.DOUBTED, ContactState.REACHED]

    run_scenario(scenario())
