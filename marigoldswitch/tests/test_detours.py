"""A silent chain is looked at where no other stream has shown that its engines live."""

import asyncio
from types import SimpleNamespace

import pytest

from marigoldswitch.core.catalogue import LayerRange
from marigoldswitch.core.ids import TargetId
from marigoldswitch.core.stages import Stage
from marigoldswitch.core.suspects import Finding
from marigoldswitch.gateway.detours import ChainBroken, ChainMonitor
from marigoldswitch.gateway.directory import Directory
from marigoldswitch.gateway.exchanges import Exchange
from marigoldswitch.gateway.ports import EngineStatus, OrderReply, OrderResult
from marigoldswitch.gateway.probing import EngineProbes

STAGES = tuple(
    Stage(TargetId(f"e{index}"), f"e{index}:80", LayerRange(4 * index, 4 * index + 4))
    for index in range(3)
)
NAMES = [item.target for item in STAGES]


class Chain:
    """A chain of three engines whose probes are counted."""

    async def _note_cut_off(self, request, target):
        """Nothing is learnt here of requests that end engines."""

    def __init__(self):
        self.now = 100.0
        self.probed = []
        self.dead = set()
        self.directory = Directory()
        for stage in STAGES:
            target = SimpleNamespace(
                id=stage.target,
                address=stage.address,
                layers=stage.layers,
                data_centre="north",
                accelerator="card",
            )
            self.directory.registry._rows[stage.target] = SimpleNamespace(
                target=target, born=0
            )
        clock = SimpleNamespace(monotonic=lambda: self.now)
        self.detour = None
        planner = SimpleNamespace(
            slowness={},
            find_detour=lambda *_: self.detour,
            find=lambda *_, **__: None,
            hold=lambda *_: None,
            release=lambda *_: None,
        )
        self.probes = EngineProbes(self, self.directory, planner, clock)
        self.budget = SimpleNamespace(has_room=lambda now: True)
        parts = SimpleNamespace(
            clock=clock,
            probes=self.probes,
            directory=self.directory,
            planner=planner,
            retries=SimpleNamespace(get=lambda service: self.budget),
            crashes=SimpleNamespace(is_empty=True, note_cut_off=self._note_cut_off),
            engines=self,
        )
        call = SimpleNamespace(id="r", path="/", last_event=None, tokens=1)
        route = SimpleNamespace(most_targets=2, is_idempotent=True)
        service = SimpleNamespace(name="m")
        self.exchange = Exchange(
            None, call, b"", route, service, None, 1, self.now, self.now + 20.0, ran=1
        )
        self.watch = ChainMonitor(parts, self.exchange)
        self.watch.start_chain(STAGES)
        self.watch._silent_since = self.watch._progress_at = self.now

    async def read(self, address, seconds):
        name = address.partition(":")[0]
        self.probed.append(name)
        layers = next(item.layers for item in STAGES if item.target == name)
        await asyncio.sleep(0)
        if name in self.dead:
            self.now += seconds
            return None
        return EngineStatus(layers, False, 0)

    async def reroute(self, address, request, stages):
        return OrderReply(OrderResult.BEGUN)

    def look(self, after=0.0):
        self.now += after
        self.probed = []
        asyncio.run(self.watch._check_chain())
        return self.probed


def test_chain_that_nobody_else_uses_is_looked_at_whole():
    assert Chain().look(after=0.1) == NAMES


def test_engines_that_others_have_just_heard_of_are_not_probed():
    chain = Chain()
    chain.now += 0.08
    chain.probes.note_alive(NAMES[:2])
    assert chain.look(after=0.02) == NAMES[2:]


def test_engine_that_died_as_the_silence_began_is_probed_at_once():
    chain = Chain()
    chain.probes.note_alive(NAMES)
    chain.dead.add(NAMES[1])
    assert NAMES[1] in chain.look(after=0.1)
    assert chain.directory.suspects.is_dead(NAMES[1], chain.now)


def test_first_engine_is_asked_whom_it_waits_for_when_the_silence_lasts():
    chain = Chain()
    for _ in range(2):
        chain.now += 0.1
        chain.probes.note_alive(NAMES)
        probed = chain.look()
    assert probed == NAMES[:1]


def test_chain_with_a_dead_first_engine_is_broken():
    chain = Chain()
    chain.directory.suspects.note(NAMES[0], Finding.DEAD, chain.now)
    with pytest.raises(ChainBroken):
        chain.look(after=0.1)


def test_request_that_may_not_be_repeated_waits_for_its_silent_first_engine():
    chain = Chain()
    chain.exchange.route.is_idempotent = False
    chain.dead.add(NAMES[0])
    chain.look(after=0.1)
    asyncio.run(chain.watch._handle_check_request())


def test_chain_that_lives_and_brings_nothing_is_left_for_another():
    chain = Chain()
    chain.look(after=0.5)
    with pytest.raises(ChainBroken):
        chain.look(after=0.25)
    assert chain.directory.suspects.is_out(NAMES[0], chain.now)
    assert not chain.directory.suspects.is_dead(NAMES[0], chain.now)


def test_stream_under_way_waits_longer():
    chain = Chain()
    chain.watch.last_event = "3"
    chain.look(after=1.1)
    with pytest.raises(ChainBroken):
        chain.look(after=0.2)


@pytest.mark.parametrize("why", ["ran twice", "runs once only", "no budget"])
def test_silent_chain_is_kept_where_the_request_may_not_be_sent_again(why):
    chain = Chain()
    match why:
        case "ran twice":
            chain.exchange.ran = 2
        case "runs once only":
            chain.exchange.route.is_idempotent = False
        case "no budget":
            chain.budget.has_room = lambda now: False
    chain.look(after=1.5)


def test_chain_that_has_just_been_mended_gets_its_time():
    chain = Chain()
    chain.dead.add(NAMES[1])
    chain.detour = SimpleNamespace(stages=(STAGES[0], STAGES[2]))
    chain.look(after=0.8)
    assert chain.watch.stages == chain.detour.stages
    chain.look(after=0.6)
    with pytest.raises(ChainBroken):
        chain.look(after=0.2)
