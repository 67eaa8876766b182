"""Ends of targets that a host can't judge at once, without a network."""

import asyncio
from types import SimpleNamespace

import pytest

from marigoldswitch.core.crash_messages import CrashNote, CrashNotes, EndNote
from marigoldswitch.core.ids import TargetId
from marigoldswitch.core.interruptions import EndVerdict, InterruptedRequest
from marigoldswitch.core.registry import Change
from marigoldswitch.gateway.crashes import (
    DOUBT_SECONDS,
    LOST_SECONDS,
    MAX_DOUBTED,
    MAX_LOST,
    CrashWatch,
)
from marigoldswitch.gateway.directory import Directory
from marigoldswitch.gateway.ports import EngineGone, EngineWithoutReport
from marigoldswitch.gateway.witnesses import ASKED_PER_SIDE, Reach, Witnesses
from marigoldswitch.tests.crash_targets import build_target
from marigoldswitch.tests.helpers import run_virtually


class Doubts:
    """A crash watch whose probes doubt each end.

    :ivar verdict: what they find in the end, after ``seconds``.
    :ivar settling: number of targets whose end they wait to settle.
    """

    def __init__(self, clock, targets):
        self.verdict, self.seconds = EndVerdict.ANSWERED, 1.0
        self.settling = 0
        directory = Directory()
        self.targets = [build_target(f"d{index}") for index in range(targets)]
        for target in self.targets:
            row = SimpleNamespace(target=target, born=0, leaving=False)
            directory.registry._rows[target.id] = row
        wall = SimpleNamespace(monotonic=clock.monotonic, wall=clock.monotonic)
        self._clock = clock
        self.watch = CrashWatch(wall, directory, self)

    def get_accepted_at(self, _):
        return float("-inf")

    async def judge_end(self, *_):
        return EndVerdict.DOUBTED

    async def settle_end(self, *_):
        self.settling += 1
        await asyncio.sleep(self.seconds)
        return self.verdict

    async def lose(self, name, index=0):
        cut = InterruptedRequest(name, None, False)
        await self.watch.note_cut_off(cut, self.targets[index])

    def list_suspects(self):
        return [item.fingerprint for item in self.watch.list_notes().notes]


@pytest.mark.parametrize("verdict", EndVerdict)
def test_request_is_suspected_only_once_its_targets_end_is_settled(verdict):
    async def play(clock):
        doubts = Doubts(clock, 1)
        doubts.verdict = verdict
        await doubts.lose("bad")
        await asyncio.sleep(0.5)
        assert not doubts.list_suspects()
        await asyncio.sleep(DOUBT_SECONDS)
        assert doubts.list_suspects() == ["bad"] * (verdict is EndVerdict.ENDED)

    run_virtually(play)


def test_request_that_has_run_to_its_end_meanwhile_is_not_suspected():
    async def play(clock):
        doubts = Doubts(clock, 1)
        doubts.verdict = EndVerdict.ENDED
        await asyncio.gather(doubts.lose("bad"), doubts.lose("sound"))
        assert doubts.watch.has_lost_requests
        doubts.watch.note_served("sound")
        await asyncio.sleep(2.0)
        assert doubts.list_suspects() == ["bad"]

    run_virtually(play)


@pytest.mark.parametrize(("age", "is_same"), [(0.2, True), (3.0, False)])
def test_end_that_another_host_has_found_settles_the_doubt(age, is_same):
    async def play(clock):
        await asyncio.sleep(10.0)
        doubts = Doubts(clock, 1)
        await doubts.lose("bad")
        await asyncio.sleep(0.2)
        end = EndNote(TargetId("d0"), -7, age, 80)
        doubts.watch.merge_notes(CrashNotes((CrashNote("other", None, (end,)),)))
        await asyncio.sleep(2.0)
        assert ("bad" in doubts.list_suspects()) is is_same

    run_virtually(play)


def test_lost_requests_are_forgotten_and_bounded():
    async def play(clock):
        doubts = Doubts(clock, 1)
        for number in range(2 * MAX_LOST):
            doubts.watch._note_lost([InterruptedRequest(f"r{number}", None, False)])
        assert not doubts.watch.is_suspect("r0")
        assert doubts.watch.is_suspect(f"r{2 * MAX_LOST - 1}")
        assert doubts.watch.has_lost_requests
        await asyncio.sleep(LOST_SECONDS)
        assert not doubts.watch.has_lost_requests

    run_virtually(play)


def test_host_that_stops_gives_up_what_it_doubts():
    async def play(clock):
        doubts = Doubts(clock, 1)
        await doubts.lose("bad")
        doubts.watch.stop()
        await asyncio.sleep(0.1)
        assert len(asyncio.all_tasks()) == 1
        assert doubts.watch.is_empty and not doubts.watch.has_ended(TargetId("d0"))

    run_virtually(play)


def test_ends_in_doubt_are_bounded():
    async def play(clock):
        doubts = Doubts(clock, 3 * MAX_DOUBTED)
        indexes = range(len(doubts.targets))
        await asyncio.gather(*(doubts.lose(f"r{item}", item) for item in indexes))
        assert doubts.settling == MAX_DOUBTED
        await asyncio.sleep(DOUBT_SECONDS + 1.0)
        assert doubts.watch.is_empty

    run_virtually(play)


class Service:
    """Targets of one service, of which some take connections.

    :ivar open: addresses of these.
    :ivar asked: addresses that were asked, in order.
    """

    def __init__(self, clock, names):
        self.open = set()
        self.asked = []
        directory = Directory()
        self.registry = directory.registry
        self.targets = [build_target(name, centre=name[0]) for name in names]
        for target in self.targets:
            self.registry.targets[target.id] = target
            self.registry._rows[target.id] = SimpleNamespace(target=target)
        source = SimpleNamespace(sample=lambda items, count: list(items)[:count])
        self.witnesses = Witnesses(self, directory, clock, source)

    async def read(self, address, timeout, new_connection):
        assert new_connection
        self.asked.append(address)
        await asyncio.sleep(0.01)
        return EngineWithoutReport() if address in self.open else EngineGone()


NAMES = ("a1", "a2", "a3", "a4", "b1", "b2", "b3")


def test_targets_of_its_own_data_centre_and_of_others_are_asked_once_for_all():
    async def play(clock):
        service = Service(clock, NAMES)
        service.open = {"b1"}
        target = service.targets[0]
        waits = [service.witnesses.wait(target, 0.0, 0.0) for _ in range(10)]
        assert all(await asyncio.gather(*waits))
        assert sorted(service.asked) == ["a2", "a3", "b1", "b2"]
        assert len(service.asked) == 2 * ASKED_PER_SIDE

    run_virtually(play)


def test_connection_of_another_request_is_noticed_while_waiting():
    async def play(clock):
        service = Service(clock, NAMES)
        waiting = asyncio.create_task(
            service.witnesses.wait(service.targets[0], clock.monotonic(), 1.0)
        )
        await asyncio.sleep(0.5)
        service.witnesses.note_accepted(TargetId("a1"), clock.monotonic())
        await asyncio.sleep(0.1)
        assert not waiting.done()
        service.witnesses.note_accepted(TargetId("b3"), -1.0)
        await asyncio.sleep(0.1)
        assert not waiting.done()
        service.witnesses.note_accepted(TargetId("b3"), clock.monotonic())
        assert await waiting
        assert clock.monotonic() < 0.8

    run_virtually(play)


@pytest.mark.parametrize("is_refused", [True, False])
def test_only_target_of_a_service_is_judged_by_what_other_hosts_say(is_refused):
    async def play(clock):
        service = Service(clock, ["a1"])

        async def ask(*_):
            return is_refused

        service.witnesses.is_refused_everywhere = ask
        found = await service.witnesses.wait(service.targets[0], 0.0, 0.2)
        assert found is is_refused
        assert not service.asked

    run_virtually(play)


def test_other_hosts_learn_whether_a_target_takes_connections():
    async def play(clock):
        service = Service(clock, ["a1"])
        target, find_reach = service.targets[0], service.witnesses.find_reach
        assert await find_reach(target, 0.0) is Reach.REFUSED
        service.open = {"a1"}
        assert await find_reach(target, 0.0) is Reach.REFUSED
        assert await find_reach(target, clock.monotonic()) is Reach.REACHED
        service.open.clear()
        service.registry._notify(Change.GONE, target)
        assert await find_reach(target, 0.0) is Reach.REFUSED

    run_virtually(play)
