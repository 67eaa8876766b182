"""Chains begin only at engines with a free slot.

Guards against overloading the first engine of chains. An engine with the first layers
on the fastest accelerator and free memory kept attracting new chains: 120 streams for
96 slots. Requests without a slot wait there unnoticed. 158 streams were given up after
0.7 s ("its engines live and bring nothing"), which uses up one of the two targets that
a stream may run on, and 378 of 2,065 requests of the data centre were late.
"""

import asyncio
import random
from collections import Counter
from types import SimpleNamespace

from marigoldswitch.clocks import ManualClock
from marigoldswitch.core.catalogue import LayerRange, Target
from marigoldswitch.core.ids import DataCentre, HostId, ServiceName, TargetId
from marigoldswitch.core.loads import Loads
from marigoldswitch.core.models import Accelerator, ModelSpec
from marigoldswitch.core.registry import TargetRow
from marigoldswitch.core.stages import choose_offered_layers
from marigoldswitch.core.suspects import Finding
from marigoldswitch.gateway.admission import Admission
from marigoldswitch.gateway.directory import Directory
from marigoldswitch.gateway.planner import ChainPlanner

HOME = DataCentre("north")
SERVICE = ServiceName("model")
SLOTS = 96
HOSTS = 6
ARRIVALS = 6
"""Requests of a data centre between two load digests: 25 a second, every 0.25 s."""
TOKENS = 400
MODEL = ModelSpec(
    layers=8,
    layer_mb=100.0,
    token_layer_mb=0.01,
    step_seconds=0.001,
    sequence_seconds=0.00001,
    context_seconds_per_token=0.00000001,
    prefill_seconds_per_token=0.00001,
    accelerators={
        "quick": Accelerator("quick", 13_000.0, 1.0, 1.0),
        "slow": Accelerator("slow", 13_000.0, 6.0, 6.0),
    },
)


def build_target(name, accelerator, layers):
    return Target(
        TargetId(name),
        SERVICE,
        HOME,
        f"{name}:80",
        SLOTS,
        LayerRange(*layers),
        accelerator,
    )


TARGETS = (
    build_target("first-quick", "quick", (0, 4)),
    build_target("first-slow", "slow", (0, 4)),
    build_target("last", "quick", (4, 8)),
)


class Centre:
    """Hosts that choose chains by the loads that they last told each other."""

    def __init__(self):
        self.clock = ManualClock()
        self.service = SimpleNamespace(name=SERVICE, model=MODEL)
        self.planners = []
        self.loads = []
        for number in range(HOSTS):
            directory, loads = Directory(), Loads(HOME)
            rows = [TargetRow(item, False, 1) for item in TARGETS]
            directory.registry.replace_all(rows, 1, 0.0)
            source = random.Random(number)
            planner = ChainPlanner(directory, loads, self.clock, HOME, source)
            planner.count_near = planner.count_hosts = lambda: HOSTS
            self.planners.append(planner)
            self.loads.append(loads)

    def tell(self):
        """Exchange the loads of all hosts."""
        for number, loads in enumerate(self.loads):
            loads.mark_reported()
            for other in self.loads:
                if other is not loads:
                    other.set_peer_usage(
                        HostId(str(number)), HOME, dict(loads.own), 0.0
                    )

    def choose(self, number):
        """Choose a chain at one host and count its load there."""
        planner = self.planners[number % HOSTS]
        chain = planner.find(self.service, TOKENS)
        if chain is not None:
            planner.hold(chain.stages, TOKENS)
        return chain


def test_no_engine_begins_more_streams_than_it_has_slots():
    centre, firsts = Centre(), Counter()
    for number in range(160):
        if number % ARRIVALS == 0:
            centre.tell()
        chain = centre.choose(number)
        assert chain is not None
        firsts[chain.stages[0].target] += 1
        layers = [item.layers for item in chain.stages]
        assert layers[0].first == 0 and layers[-1].end == MODEL.layers
        assert all(a.end == b.first for a, b in zip(layers, layers[1:], strict=False))
    assert max(firsts.values()) <= SLOTS
    assert set(firsts) == {"first-quick", "first-slow"}


def test_chains_begin_at_several_engines_before_the_quickest_is_full():
    """One quick engine with the first layers began 141 of 170 streams of a data centre.

    Those behind its slots brought nothing for 0.7 s, and all of them would have been
    lost with it. Before, the quick engine here began 86 streams before the slow one
    began any.
    """
    centre, firsts = Centre(), Counter()
    for number in range(80):
        if number % ARRIVALS == 0:
            centre.tell()
        firsts[centre.choose(number).stages[0].target] += 1
    assert firsts["first-quick"] > firsts["first-slow"] >= 10


def test_engine_without_a_slot_still_runs_later_layers():
    assert choose_offered_layers(LayerRange(0, 4), SLOTS, SLOTS) == LayerRange(1, 4)
    assert choose_offered_layers(LayerRange(4, 8), SLOTS, SLOTS) == LayerRange(4, 8)
    assert choose_offered_layers(LayerRange(0, 1), SLOTS, SLOTS) is None
    assert choose_offered_layers(LayerRange(0, 4), 10, SLOTS) == LayerRange(0, 4)


def test_engine_without_a_known_slot_count_is_not_limited():
    assert choose_offered_layers(LayerRange(0, 4), 1_000, 0) == LayerRange(0, 4)


def test_failing_engine_is_not_reused_for_the_request_that_it_failed():
    centre = Centre()
    planner = centre.planners[0]
    suspects = planner._directory.suspects
    for name in ("first-quick", "first-slow"):
        suspects.note(TargetId(name), Finding.FAILED, 0.0)
    failed = frozenset({TargetId("first-quick")})
    chain = planner.find(centre.service, TOKENS, failed)
    assert chain.stages[0].target == "first-slow"
    failed |= {TargetId("first-slow")}
    assert planner.find(centre.service, TOKENS, failed) is None


def test_engines_that_all_ask_for_a_pause_begin_no_chain_even_as_a_last_resort():
    centre = Centre()
    planner = centre.planners[0]
    directory = planner._directory
    for name in ("first-quick", "first-slow"):
        directory.statements.pauses.note(TargetId(name), 3.0, 0.0)
        directory.suspects.note(TargetId(name), Finding.FAILED, 0.0)
    assert planner.find(centre.service, TOKENS) is None
    assert planner.get_shortest_pause(centre.service) == 3.0
    admission = Admission(planner, centre.clock)
    # It would never end otherwise, as the clock stands still.
    chain = asyncio.run(admission.acquire(centre.service, TOKENS, 0, 2.0))
    assert chain is None
    assert admission.count_waiting() == 0


def test_engine_at_its_limit_still_runs_later_stages_of_detours():
    centre = Centre()
    planner = centre.planners[0]
    limits = planner._directory.statements.limits
    limits.stated.note_answer(TargetId("first-quick"), 0.3, 0.0, 0.0)
    begun = Counter()
    for _ in range(20):
        chain = planner.find(centre.service, TOKENS)
        planner.take(centre.service, chain, TOKENS)
        begun[chain.stages[0].target] += 1
    assert begun["first-quick"] <= 2
    offers = planner.offers.build(TARGETS, MODEL, TOKENS)
    assert [item.layers for item in offers if item.target == "first-quick"] == [
        LayerRange(1, 4)
    ]
