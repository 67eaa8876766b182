"""Checks of silent chains: which engines are probed, and when a chain is given up."""

import asyncio
import random
from types import SimpleNamespace

import pytest

from marigoldswitch.core.catalogue import LayerRange
from marigoldswitch.core.contact import TargetContact
from marigoldswitch.core.ids import TargetId
from marigoldswitch.core.stages import Stage
from marigoldswitch.core.suspects import Finding
from marigoldswitch.gateway.broken_chains import ChainBroken, ChainLeft
from marigoldswitch.gateway.detours import ChainMonitor
from marigoldswitch.gateway.directory import Directory
from marigoldswitch.gateway.exchanges import Exchange
from marigoldswitch.gateway.interruption_log import InterruptionLog, ignore_pause
from marigoldswitch.gateway.ports import EngineStatus, OrderReply, OrderResult
from marigoldswitch.gateway.probing import EngineProbes
from marigoldswitch.gateway.service_contacts import ServiceContacts
from marigoldswitch.gateway.witnesses import Witnesses

STAGES = tuple(
    Stage(TargetId(f"e{index}"), f"e{index}:80", LayerRange(4 * index, 4 * index + 4))
    for index in range(3)
)
NAMES = [item.target for item in STAGES]


class MonitoredChain:
    """A monitored chain of three engines that records which of them are probed."""

    async def _note_cut_off(self, request, target, _):
        """Ignore the cut-off request: these tests don't cover crashes."""

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
            has_chain_elsewhere=lambda *_: self.has_room_elsewhere,
            hold=lambda *_: None,
            release=lambda *_: None,
            had_room=lambda *_: self.had_room,
        )
        self.had_room = True
        self.has_room_elsewhere = True
        contact = TargetContact(0.0)
        self.probes = EngineProbes(
            self,
            self.directory,
            planner,
            clock,
            contact,
            ServiceContacts(clock),
            Witnesses(self, self.directory, clock, random.Random(1)),
        )
        self.budget = SimpleNamespace(
            has_room=lambda now: True,
            spend=lambda now, use_reserve: True,
            retries=SimpleNamespace(count=lambda now: 0),
        )
        parts = SimpleNamespace(
            clock=clock,
            probes=self.probes,
            directory=self.directory,
            planner=planner,
            retries=SimpleNamespace(
                get=lambda service: self.budget,
                describe=lambda *_: {},
                count_decision=lambda *_: None,
            ),
            crashes=SimpleNamespace(is_empty=True, note_cut_off=self._note_cut_off),
            engines=self,
            contact=contact,
            record_pause=ignore_pause,
        )
        call = SimpleNamespace(
            id="r", path="/", last_event=None, tokens=1, prompt_parts=()
        )
        route = SimpleNamespace(max_targets=2, is_idempotent=True, max_event_gap=0.0)
        service = SimpleNamespace(name="m")
        self.exchange = Exchange(
            None,
            call,
            b"",
            route,
            service,
            None,
            1,
            self.now,
            self.now + 20.0,
            run_count=1,
        )
        self.monitor = ChainMonitor(parts, self.exchange)
        self.monitor.start_chain(STAGES)
        self.monitor._silent_since = self.monitor._progress_at = self.now

    async def read(self, address, seconds, new_connection=False):
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

    def check(self, after=0.0):
        self.now += after
        self.probed = []
        asyncio.run(self.monitor._check_chain())
        return self.probed


def test_all_engines_of_a_silent_chain_are_probed_if_no_other_stream_uses_them():
    assert MonitoredChain().check(after=0.1) == NAMES


def test_engines_that_just_delivered_events_of_other_streams_are_not_probed():
    chain = MonitoredChain()
    chain.now += 0.08
    chain.probes.note_alive(NAMES[:2])
    assert chain.check(after=0.02) == NAMES[2:]


def test_engine_that_died_as_the_silence_began_is_probed_at_the_first_check():
    chain = MonitoredChain()
    chain.probes.note_alive(NAMES)
    chain.dead.add(NAMES[1])
    assert NAMES[1] in chain.check(after=0.1)
    assert chain.directory.suspects.is_dead(NAMES[1], chain.now)


def test_first_engine_is_probed_again_if_the_silence_lasts():
    chain = MonitoredChain()
    for _ in range(2):
        chain.now += 0.1
        chain.probes.note_alive(NAMES)
        probed = chain.check()
    assert probed == NAMES[:1]


def test_chain_with_a_dead_first_engine_is_broken():
    chain = MonitoredChain()
    chain.directory.suspects.note(NAMES[0], Finding.DEAD, chain.now)
    with pytest.raises(ChainBroken):
        chain.check(after=0.1)


def test_request_that_may_not_be_repeated_waits_for_its_silent_first_engine():
    chain = MonitoredChain()
    chain.exchange.route.is_idempotent = False
    chain.dead.add(NAMES[0])
    chain.check(after=0.1)
    asyncio.run(chain.monitor._handle_check_request())


def test_chain_that_is_alive_but_sends_no_first_event_is_abandoned():
    chain = MonitoredChain()
    chain.check(after=0.5)
    with pytest.raises(ChainBroken):
        chain.check(after=0.25)
    assert chain.directory.suspects.is_excluded(NAMES[0], chain.now)
    assert not chain.directory.suspects.is_dead(NAMES[0], chain.now)


def list_closed_engines(chain):
    return [name for name, _ in chain.directory.suspects.list_closed(chain.now)]


def test_first_engine_that_answers_nothing_is_reported_to_all_hosts():
    """An engine whose reports are good answered no request for 10 s.

    Each of 30 hosts found that out by late requests of its own: 97 of 100 late ones.
    """
    chain = MonitoredChain()
    chain.check(after=0.5)
    chain.probes.note_prompt_answer()
    with pytest.raises(ChainBroken):
        chain.check(after=0.25)
    assert list_closed_engines(chain) == NAMES[:1]


@pytest.mark.parametrize("why", ["no room", "has delivered", "all are late"])
def test_first_engine_that_may_be_busy_is_excluded_only_briefly(why):
    """So it is if no other chain of the host was quick: the host itself may be slow."""
    chain = MonitoredChain()
    chain.check(after=0.5)
    if why != "all are late":
        chain.probes.note_prompt_answer()
    if why == "has delivered":
        chain.monitor._delivering_stages = STAGES
    chain.had_room = why != "no room"
    with pytest.raises(ChainBroken):
        chain.check(after=0.25)
    assert chain.directory.suspects.is_excluded(NAMES[0], chain.now)
    assert list_closed_engines(chain) == []


@pytest.mark.parametrize(("seconds", "is_prompt"), [(0.3, True), (0.5, False)])
def test_first_event_in_good_time_shows_that_the_host_is_quick(seconds, is_prompt):
    chain = MonitoredChain()
    since = chain.now

    async def scenario():
        chain.now += seconds
        chain.monitor.note_event()
        chain.monitor._stop_timer()

    asyncio.run(scenario())
    assert chain.probes.has_prompt_answer(since) == is_prompt


def test_stream_that_has_begun_waits_longer():
    chain = MonitoredChain()
    chain.exchange.last_event = "3"
    chain.check(after=1.1)
    with pytest.raises(ChainBroken):
        chain.check(after=0.2)


@pytest.mark.parametrize("why", ["ran twice", "runs once only", "no budget"])
def test_silent_chain_is_kept_if_the_request_may_not_be_sent_again(why):
    chain = MonitoredChain()
    match why:
        case "ran twice":
            chain.exchange.run_count = 2
        case "runs once only":
            chain.exchange.route.is_idempotent = False
        case "no budget":
            chain.budget.has_room = lambda now: False
    chain.check(after=1.5)


def test_timeout_restarts_after_a_detour():
    chain = MonitoredChain()
    chain.dead.add(NAMES[1])
    chain.detour = SimpleNamespace(stages=(STAGES[0], STAGES[2]), cost=0.0)
    chain.check(after=0.8)
    assert chain.monitor.stages == chain.detour.stages
    chain.check(after=0.6)
    with pytest.raises(ChainBroken):
        chain.check(after=0.2)


def lose_a_later_engine(chain, ready_in=0.3):
    """Let a stream whose pauses may last 0.25 s notice a loss after 0.08 s."""
    chain.exchange.route.max_event_gap = 0.25
    chain.monitor.interruptions = chain.monitor._detours._interruptions = (
        InterruptionLog("r", 0.25)
    )
    chain.monitor.interruptions.note_event(chain.now)
    chain.exchange.last_event = "3"
    chain.dead.add(NAMES[1])
    chain.directory.suspects.note(NAMES[1], Finding.DEAD, chain.now)
    chain.detour = SimpleNamespace(stages=(STAGES[0], STAGES[2]), cost=ready_in)
    chain.now += 0.08
    asyncio.run(chain.monitor._handle_check_request())


def test_stream_leaves_a_detour_that_would_be_late():
    """Replacements with a queue of contexts took 0.13 to 0.2 s after the order."""
    chain = MonitoredChain()
    with pytest.raises(ChainLeft):
        lose_a_later_engine(chain)


@pytest.mark.parametrize(
    "why", ["in time", "no budget", "taken by others", "ran twice", "nowhere else"]
)
def test_stream_takes_a_late_detour_if_it_has_no_other_chain(why):
    chain = MonitoredChain()
    match why:
        case "no budget":
            chain.budget.has_room = lambda now: False
        case "taken by others":
            chain.budget.spend = lambda now, use_reserve: False
        case "ran twice":
            chain.exchange.run_count = 2
        case "nowhere else":
            chain.has_room_elsewhere = False
    lose_a_later_engine(chain, 0.05 if why == "in time" else 0.3)
    assert chain.monitor.stages == chain.detour.stages


def test_stream_that_waits_for_another_chain_takes_the_late_detour_as_well():
    """Each later check spent one more retry and sent nothing for it."""
    chain = MonitoredChain()
    spent = []
    chain.budget.spend = lambda now, use_reserve: spent.append(now) or True
    with pytest.raises(ChainLeft):
        lose_a_later_engine(chain)
    chain.now += 0.02
    asyncio.run(chain.monitor._handle_check_request())
    assert chain.monitor.stages == chain.detour.stages
    assert len(spent) == 1
