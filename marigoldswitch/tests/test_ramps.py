"""Ramps of targets: how they start, what feeds and ends them, and what they limit."""

import random
from types import SimpleNamespace

import msgspec
import pytest

from marigoldswitch.clocks import ManualClock
from marigoldswitch.core.catalogue import LayerRange, Load, Target
from marigoldswitch.core.gateway_messages import LoadDigest
from marigoldswitch.core.ids import DataCentre, ServiceName, TargetId
from marigoldswitch.core.loads import Loads
from marigoldswitch.core.models import Accelerator, ModelSpec
from marigoldswitch.core.pace_finding.records import RampCount, RampNote
from marigoldswitch.core.registry import TargetRow
from marigoldswitch.core.send_limits import SendLimits
from marigoldswitch.core.suspects import Finding
from marigoldswitch.gateway.directory import Directory
from marigoldswitch.gateway.message_counts import decode_ramps
from marigoldswitch.gateway.planner import ChainPlanner
from marigoldswitch.gateway.statements import TargetStatements
from marigoldswitch.tests.fleet import Fleet

HOME, FAR = DataCentre("north"), DataCentre("south")
SERVICE = ServiceName("model")
TOKENS = 400
MODEL = ModelSpec(
    layers=8,
    layer_mb=100.0,
    token_layer_mb=0.05,
    step_seconds=0.001,
    sequence_seconds=0.00001,
    context_seconds_per_token=0.00000001,
    prefill_seconds_per_token=0.00001,
    accelerators={"quick": Accelerator("quick", 6_400.0, 1.0, 1.0)},
)
SPEC = SimpleNamespace(name=SERVICE, model=MODEL)


def build_row(name, first, end, born=1, centre=HOME, cold_seconds=0.0):
    layers = LayerRange(first, end) if end else None
    target = Target(TargetId(name), SERVICE, centre, f"{name}:80", 96, layers, "quick")
    return TargetRow(target, False, born, born, cold_seconds)


ROWS = [
    build_row(f"{part}{number}", *layers)
    for part, layers in (("a", (0, 4)), ("b", (4, 8)))
    for number in range(4)
]


class Host:
    """One host of a data centre, with its planner."""

    def __init__(self, hosts=1, number=0, rows=ROWS):
        self.clock = ManualClock()
        source = random.Random(number)
        limits = SendLimits(HOME, lambda: hosts, source)
        self.directory = Directory(TargetStatements(limits), source)
        self.registry, self.ramps = self.directory.registry, self.directory.ramps
        self.loads = self.ramps.loads = Loads(HOME)
        self.ramps.get_table = lambda: SimpleNamespace(services={SERVICE: SPEC})
        self.planner = ChainPlanner(
            self.directory, self.loads, self.clock, HOME, source
        )
        self.planner.count_near = self.planner.count_hosts = lambda: hosts
        self.registry.replace_all(rows, 1, 0.0)
        self.directory.has_targets = True

    def put(self, *rows):
        for row in rows:
            self.registry.put(row, self.clock.now)

    def get_share(self, name):
        return self.ramps.get_share(TargetId(name), self.clock.now)

    def answer(self, name, is_good=True, count=20):
        for _ in range(count):
            self.ramps.note_answer(TargetId(name), is_good, self.clock.now)

    def run(self, seconds, name=None):
        """Advance the clock; a target answers well meanwhile, if one is named."""
        for _ in range(round(seconds / 0.1)):
            self.clock.now += 0.1
            if name:
                self.answer(name, count=10)
            self.ramps.advance(self.clock.now)


def test_restarted_engine_begins_with_a_small_share_and_reaches_the_full_one():
    host = Host()
    host.put(build_row("a0", 0, 4, born=2))
    assert host.get_share("a0") == pytest.approx(0.1)
    host.run(3.0, "a0")
    assert host.get_share("a0") == 1.0


def test_ramp_ends_within_its_bound_without_any_answer():
    host = Host()
    host.put(build_row("a0", 0, 4, born=2))
    host.run(14.0)
    assert host.get_share("a0") < 1.0
    host.run(1.5)
    assert host.get_share("a0") == 1.0


def test_bad_answers_hold_the_share_down():
    host = Host()
    host.put(build_row("a0", 0, 4, born=2))
    host.run(1.3, "a0")
    raised = host.get_share("a0")
    host.answer("a0", is_good=False)
    host.run(0.7)
    assert host.get_share("a0") < raised / 1.5


def test_refusal_of_an_engine_counts_as_a_bad_answer():
    host = Host()
    host.put(build_row("a0", 0, 4, born=2))
    host.get_share("a0")
    host.directory.suspects.note_refusal(TargetId("a0"), False, 0.0)
    assert host.ramps.finder.count_own()["a0"].bad == 1


def test_late_first_events_count_against_the_engine_on_a_ramp():
    host = Host()
    usual = [SimpleNamespace(target=TargetId(name)) for name in ("a1", "b1")]
    for _ in range(20):
        host.ramps.note_first_event(SERVICE, usual, 0.06)
    host.put(build_row("a0", 0, 4, born=2))
    host.get_share("a0")
    chain = [SimpleNamespace(target=TargetId(name)) for name in ("a0", "b1")]
    host.ramps.note_first_event(SERVICE, chain, 0.07)
    host.ramps.note_first_event(SERVICE, chain, 0.4)
    own = host.ramps.finder.count_own()["a0"]
    assert (own.good, own.bad) == (1, 1)


def test_requests_that_wait_at_a_target_count_against_it():
    host = Host()
    host.put(build_row("a0", 0, 4, born=2))
    host.get_share("a0")
    host.ramps.note_report(TargetId("a0"), Load(6, 3), 0.0)
    assert host.ramps.finder.count_own()["a0"].bad == 1


def test_target_stays_limited_while_it_says_that_it_is_cold():
    host = Host()
    host.put(build_row("a0", 0, 4, born=2, cold_seconds=5.0))
    host.run(4.5, "a0")
    assert host.get_share("a0") <= 0.3
    host.run(3.0, "a0")
    assert host.get_share("a0") == 1.0


def test_engine_that_is_known_to_be_slow_is_not_given_more_for_its_answers():
    host = Host()
    host.ramps.slowness = {TargetId("a0"): 3.0}
    host.put(build_row("a0", 0, 4, born=2))
    host.run(3.0, "a0")
    assert host.get_share("a0") < 0.2


def test_start_of_half_of_a_data_centre_begins_no_ramp():
    """A partition that heals, a release or a loss of power starts many at once."""
    host = Host()
    host.put(*(build_row(f"a{number}", 0, 4, born=2) for number in range(4)))
    assert [host.get_share(f"a{number}") for number in range(4)] == [1.0] * 4


def test_ramps_end_when_a_release_reaches_half_of_the_engines():
    host = Host()
    for number in range(4):
        host.put(build_row(f"a{number}", 0, 4, born=2))
        host.run(1.0)
    assert not host.ramps.finder.ramping


def test_targets_that_a_host_finds_at_its_own_start_are_not_limited():
    host = Host(rows=[])
    host.directory.has_targets = False
    host.put(*ROWS)
    assert host.get_share("a0") == 1.0


def test_row_that_lapses_and_returns_is_no_start():
    host = Host()
    host.registry._drop(TargetId("a0"))
    host.put(build_row("a0", 0, 4, born=1))
    assert host.get_share("a0") == 1.0


def test_only_holder_of_layers_is_not_limited():
    """The recovery of lost layers must not wait for the ramp of their new holder."""
    host = Host(rows=ROWS[1:4] + ROWS[4:] + [build_row("c", 0, 8, centre=FAR)])
    host.put(build_row("d", 0, 0, born=2))
    host.run(2.0)
    for number in range(1, 4):
        host.directory.suspects.note(TargetId(f"a{number}"), Finding.DEAD, 2.0)
    host.registry.note_layers(TargetId("d"), LayerRange(0, 4), 2)
    assert host.get_share("d") == 1.0


def test_ramp_ends_where_the_rest_is_nearly_full():
    host = Host()
    host.put(build_row("a0", 0, 4, born=2))
    host.run(0.2)
    assert host.get_share("a0") < 1.0
    memory = MODEL.measure_request_memory(MODEL.accelerators["quick"], LayerRange(0, 4))
    streams = int(0.94 * memory / (4 * TOKENS))
    chains = [ROWS[number].target for number in (1, 2, 3)]
    for target in chains:
        stage = SimpleNamespace(target=target.id, layers=target.layers)
        for _ in range(streams):
            host.planner.hold([stage], TOKENS)
    host.run(6.0)
    assert host.get_share("a0") == 1.0


def test_engine_found_dead_and_back_is_limited_but_not_one_that_refused():
    host = Host()
    host.directory.suspects.note(TargetId("a0"), Finding.REFUSED, 0.0)
    host.run(1.0)
    assert host.get_share("a0") == 1.0
    host.directory.suspects.note(TargetId("a0"), Finding.DEAD, 1.0)
    host.directory.suspects.clear(TargetId("a0"))
    host.ramps.note_back(TargetId("a0"), 1.5)
    assert host.get_share("a0") == pytest.approx(0.1)


def test_engine_that_flaps_gains_by_steps():
    host = Host()
    for start in (2, 3):
        host.put(build_row("a0", 0, 4, born=start))
        host.run(2.0, "a0")
    assert 0.2 < host.get_share("a0") < 0.5


def test_hosts_do_not_flood_an_engine_before_they_hear_of_each_other():
    """30 hosts each see an idle engine. They choose before the next digest."""

    def count_streams(is_limited):
        used = 0
        for number in range(30):
            host = Host(30, number)
            if is_limited:
                host.put(build_row("a0", 0, 4, born=2))
            for _ in range(20):
                host.directory.statements.limits.note_wanted(SERVICE, 0.0)
            for row in ROWS[1:]:
                stage = SimpleNamespace(target=row.target.id, layers=row.target.layers)
                for _ in range(20):
                    host.planner.hold([stage], TOKENS)
            chain = host.planner.find(SPEC, TOKENS)
            used += any(item.target == "a0" for item in chain.stages)
        return used

    free, limited = count_streams(False), count_streams(True)
    assert free >= 20
    assert limited <= 8


def test_chain_is_found_over_an_engine_on_a_ramp_where_no_other_has_room():
    host = Host(60)
    host.put(build_row("a0", 0, 4, born=2))
    for number in range(1, 4):
        host.directory.suspects.note(TargetId(f"a{number}"), Finding.REFUSED, 0.0)
    chain = host.planner.find(SPEC, TOKENS)
    assert chain.stages[0].target == "a0"


@pytest.mark.parametrize("sizes", [(3, 3), (12, 12)])
def test_hosts_of_all_data_centres_hear_of_the_answers(sizes):
    """Hosts in a full mesh, and hosts that report to relays."""
    fleet = Fleet(1, sizes)
    hosts = list(fleet.hosts.values())
    directories = [host.spread._parts.directory for host in hosts]
    for directory in directories:
        directory.registry.replace_all(ROWS, 1, fleet.clock.now)
        directory.has_targets = True
        directory.registry.put(build_row("a0", 0, 4, born=2), fleet.clock.now)
    fleet.run(0.4, {})
    for directory in directories:
        directory.ramps.note_answer(TargetId("a0"), False, fleet.clock.now)
    fleet.run(3.5, {})
    now = fleet.clock.now
    counts = [item.ramps.counts.sum_target(TargetId("a0"), now) for item in directories]
    assert {item.bad for item in counts} == {sum(sizes)}
    assert {item.ramping for item in counts} == {sum(sizes)}


def test_counts_of_an_earlier_start_are_ignored():
    notes = [RampNote(TargetId("a0"), born, RampCount(good=born)) for born in (1, 2)]
    assert decode_ramps(notes, lambda _: 2) == {"a0": RampCount(good=2)}


def test_host_of_an_earlier_version_understands_a_digest_with_ramps():
    """It decodes only the fields that it knows, by their position."""
    digest = LoadDigest(HOME, 1, 2, ramps=(RampNote(TargetId("a0"), 2, RampCount()),))
    fields = msgspec.to_builtins(digest)
    assert list(fields)[-1] == "ramps"
    del fields["ramps"]
    assert msgspec.convert(fields, LoadDigest).ramps is None
