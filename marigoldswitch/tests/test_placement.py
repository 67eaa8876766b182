"""Placement steps and the lease of the host that may send orders."""

import pytest
from hypothesis import settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from marigoldswitch.clocks import ManualClock
from marigoldswitch.core.adoption import Adoption
from marigoldswitch.core.catalogue import (
    Bundle,
    Service,
    ServiceKind,
)
from marigoldswitch.core.chains import count_chains
from marigoldswitch.core.ids import Region
from marigoldswitch.core.leases import (
    Lease,
    LeaseTerms,
    LeaseWrite,
    decode_lease,
    encode_lease,
)
from marigoldswitch.core.leaving import LeavingMarks
from marigoldswitch.core.placement import (
    DrainMark,
    EndDraining,
    EngineReport,
    LoadBudget,
    MarkDraining,
    PlacementLimits,
    Reason,
    SendOrder,
    Wait,
    get_desired_placement,
    plan_placement,
)
from marigoldswitch.core.ports import Row
from marigoldswitch.core.upgrades import find_upgrade_faults
from marigoldswitch.drains import Drains
from marigoldswitch.engine_orders import OrderEnd
from marigoldswitch.engine_watch import READS_PER_ROUND
from marigoldswitch.orderers import OrdererPorts, OrderSwitch, PlacementOrderer
from marigoldswitch.settings import OrderSettings
from marigoldswitch.tests.fakes import FakePlatform
from marigoldswitch.tests.helpers import build_target

TAS = Region("tas")
LAYERS = 12
HALVES = ((0, 6), (6, 12))
THIRDS = ((0, 4), (4, 8), (8, 12))
TERMS = LeaseTerms(10.0, 3.0)


def build_bundle(version=1, adapters=(), replicas=3, floor=1, ranges=HALVES):
    service = Service(
        "drafting",
        ServiceKind.MODEL,
        True,
        layers=LAYERS,
        model="letters",
        version="1",
        floor=floor,
        adapters=adapters,
    )
    targets = {}
    for index, layers in enumerate(ranges):
        for replica in range(replicas):
            name = f"e{index}-{replica}"
            targets[name] = build_target(name, layers)
    return Bundle(version, f"d{version}", {}, {}, {"drafting": service}, {}, targets)


def hold(bundle, name, **changes):
    target = bundle.targets[name]
    placement = get_desired_placement(bundle.services["drafting"], target)
    report = EngineReport(placement, placement, 0)
    fields = {"wanted": report.wanted, "loaded": report.loaded, "busy": 0} | changes
    return EngineReport(**fields)


def plan(bundle, reports, drains=None, budget=None, now=0.0, changes=2):
    limits = PlacementLimits(changes, settle_seconds=8.0)
    budget = budget or LoadBudget(99)
    return plan_placement(bundle, TAS, reports, drains or {}, limits, budget, now)


def test_nothing_is_done_where_all_is_as_wanted():
    bundle = build_bundle()
    assert plan(bundle, {name: hold(bundle, name) for name in bundle.targets}) == []


def test_few_targets_change_at_once_and_the_floor_is_kept():
    old, new = build_bundle(), build_bundle(2, adapters=("quotes",))
    reports = {name: hold(old, name) for name in old.targets}
    steps = plan(new, reports)
    assert [type(item) for item in steps] == [MarkDraining] * 2 + [Wait] * 4
    assert {item.reason for item in steps[2:]} == {Reason.CHANGES}
    tight = build_bundle(2, adapters=("quotes",), replicas=1)
    reports = {name: hold(old, name) for name in tight.targets}
    assert {item.reason for item in plan(tight, reports)} == {Reason.FLOOR}


def test_target_is_ordered_only_when_drained_settled_and_idle():
    old, new = build_bundle(), build_bundle(2, adapters=("quotes",))
    reports = {name: hold(old, name) for name in old.targets}

    def plan_first(report, age):
        drains = {"e0-0": DrainMark(True, age), "e0-1": DrainMark(True, 0.0)}
        return plan(new, reports | {"e0-0": report}, drains)[0]

    wanted = get_desired_placement(new.services["drafting"], new.targets["e0-0"])
    assert plan_first(hold(old, "e0-0"), 7.9).reason is Reason.SETTLING
    assert plan_first(hold(old, "e0-0", busy=1), 8.0).reason is Reason.BUSY
    assert plan_first(hold(old, "e0-0"), 8.0) == SendOrder("e0-0", wanted)
    loading = hold(old, "e0-0", wanted=wanted, loaded=None)
    assert plan_first(loading, 9.0).reason is Reason.LOADING
    assert plan_first(hold(new, "e0-0"), 9.0) == EndDraining("e0-0")


def test_weight_store_gets_no_more_loads_than_its_rate():
    old, new = build_bundle(), build_bundle(2, adapters=("quotes",))
    reports = {name: hold(old, name) for name in old.targets}
    drains = {name: DrainMark(True, 9.0) for name in ("e0-0", "e0-1", "e0-2")}
    budget = LoadBudget(2)
    kinds = [type(item) for item in plan(new, reports, drains, budget, 0.0)][:3]
    assert kinds == [SendOrder, SendOrder, Wait]
    assert plan(new, reports, drains, budget, 59.0)[0].reason is Reason.WEIGHT_STORE
    assert isinstance(plan(new, reports, drains, budget, 60.0)[0], SendOrder)


def test_engine_that_does_not_answer_is_left_alone():
    old, new = build_bundle(), build_bundle(2, adapters=("quotes",))
    reports = {name: hold(old, name) for name in old.targets if name != "e0-0"}
    assert plan(new, reports)[0] == Wait("e0-0", Reason.UNREACHABLE)


def test_bundle_that_takes_too_much_out_at_once_is_unsafe():
    old = build_bundle(floor=2)
    assert find_upgrade_faults(old, build_bundle(2, floor=2)) == []
    recut = build_bundle(2, floor=2, ranges=((0, 4), (4, 12)))
    assert "only 0 whole chain(s)" in find_upgrade_faults(old, recut)[0]
    fewer = build_bundle(2, floor=2, replicas=1)
    assert "only 1 whole chain(s)" in find_upgrade_faults(old, fewer)[0]


def test_lease_is_taken_over_only_after_it_was_not_renewed():
    one, two = Lease("h1", "a", TERMS), Lease("h2", "b", TERMS)
    one.observe(None, 0.0)
    first = one.plan_write(0.0)
    assert first.row.fencing == 1
    one.note_written(first, 0.0, 0.1)
    row = Row(encode_lease(first.row), 1)
    two.observe(row, 5.0)
    assert two.plan_write(14.9) is None
    assert not one.may_order(2.9)
    assert one.may_order(3.2)
    assert not one.may_order(7.0), "a margin before its end it stops"
    second = two.plan_write(15.0)
    assert second == LeaseWrite(second.row, 1)
    assert second.row.fencing == 2
    two.note_written(second, 15.0, 15.1)
    assert not two.may_order(18.0)
    assert two.may_order(18.1)
    one.observe(Row(encode_lease(second.row), 2), 16.0)
    assert not one.holds


@pytest.mark.parametrize("value", [b"", b"\xc1", b"\x93\x01\x02\x03", b"\x90"])
def test_row_that_is_no_lease_is_refused(value):
    with pytest.raises(ValueError, match="no "):
        decode_lease(value)


def test_row_that_is_no_lease_stops_orders_and_nothing_else():
    world = TwoHolders()
    world.start()
    holder = world.holders[0]
    run_ticks(world, holder, 5)
    assert holder.orderer.lease.may_order(world.clock.monotonic())
    row = world.platform.rows["leases", TAS]
    world.platform.rows["leases", TAS] = Row(b"junk", row.version + 1)
    run_ticks(world, holder, 20)
    assert not holder.orderer.lease.holds
    assert world.platform.rows["leases", TAS].value == b"junk"


class FakeEngine:
    """An engine that stays in loading until the test ends the load."""

    def __init__(self, placement, checks):
        self.wanted = self.loaded = placement
        self.checks = checks
        self.fencing = 0
        self.busy = 0
        self.cut_off = 0

    def take(self, placement, fencing):
        if self.checks and fencing < self.fencing:
            return OrderEnd.OLD_NUMBER
        self.fencing = max(self.fencing, fencing)
        if placement != self.wanted:
            self.cut_off += self.busy
            self.wanted, self.loaded = placement, None
        return OrderEnd.TAKEN


class Pause:
    """Yields to the state machine: the other holder may run before this one resumes."""

    def __await__(self):
        yield


class FakeEngines:
    """Sends orders that arrive after a pause and whose answers may be lost."""

    def __init__(self, world, holder):
        self.world = world
        self.holder = holder
        self.engines = world.engines
        self.lost = world.lost
        self.in_flight = 0

    async def read_all(self, targets):
        await Pause()
        return {
            target.id: EngineReport(
                item.wanted,
                item.loaded,
                item.busy,
                item.fencing if item.checks else None,
            )
            for target in targets
            for item in [self.engines[target.id]]
        }

    async def send(self, target, placement, fencing):
        row = decode_lease(self.world.platform.rows["leases", TAS].value)
        assert row.fencing == fencing, "sent without the lease"
        assert self.world.numbers.setdefault(fencing, self.holder) is self.holder
        self.in_flight += 1
        await Pause()
        self.in_flight -= 1
        end = self.engines[target.id].take(placement, fencing)
        if self.lost:
            self.lost.pop()
            return OrderEnd.UNKNOWN
        return end


class SlowPlatform(FakePlatform):
    """Pauses before each call takes effect, and also after a transaction."""

    async def read(self, table, key):
        await Pause()
        return await super().read(table, key)

    async def scan(self, table, prefix):
        await Pause()
        return await super().scan(table, prefix)

    asked = ()

    async def transact(self, puts):
        self.asked = puts
        await Pause()
        result = await super().transact(puts)
        await Pause()
        return result


class Holder:
    """One host's orderer, advanced from pause to pause."""

    def __init__(self, world, name):
        self.adoption = Adoption()
        drains = Drains(world.platform)
        self.engines = FakeEngines(world, self)
        ports = OrdererPorts(
            world.clock,
            world.platform,
            self.engines,
            drains,
            OrderSwitch(world.platform),
            self.adoption,
        )
        self.orderer = PlacementOrderer(ports, name, TAS, OrderSettings(loads=1000))
        self.work = None

    def step(self):
        """Run until the next pause; return whether a tick has ended."""
        if self.work is None:
            self.work = self.orderer.tick()
        try:
            self.work.send(None)
        except StopIteration:
            self.work = None
            return True
        return False

    def kill(self):
        if self.work is not None:
            self.work.close()


class TwoHolders(RuleBasedStateMachine):
    """Two hosts that may both believe they hold the lease and may pause anywhere."""

    checks = True

    @initialize()
    def start(self):
        self.clock = ManualClock()
        self.platform = SlowPlatform()
        self.lost = []
        self.numbers = {}
        """The holder that used each fencing number."""
        self.bundle = self.build(1)
        service = self.bundle.services["drafting"]
        self.engines = {
            name: FakeEngine(get_desired_placement(service, target), self.checks)
            for name, target in self.bundle.targets.items()
        }
        self.holders = [Holder(self, "h0"), Holder(self, "h1")]
        for holder in self.holders:
            holder.adoption.adopt(self.bundle)
        self.starts = 2
        self.healed = None

    def build(self, version):
        """Return a bundle for which the floor and the limit of changes both matter."""
        return build_bundle(version, (f"a{version}",), floor=2, ranges=THIRDS)

    @rule(which=st.integers(0, 1), ticks=st.integers(8, 14), steps=st.integers(1, 14))
    def stand_still(self, which, ticks, steps):
        """Pause a host within a tick while the other one runs."""
        run_ticks(self, self.holders[which], ticks)
        self.run(which, steps)
        run_ticks(self, self.holders[1 - which], 15)
        self.run(which, 20)

    @rule(which=st.integers(0, 1), count=st.integers(1, 40))
    def run(self, which, count):
        for _ in range(count):
            self.holders[which].step()

    @rule(which=st.integers(0, 1), ticks=st.integers(1, 15))
    def work(self, which, ticks):
        """Let one host run undisturbed, so that examples reach later stages."""
        run_ticks(self, self.holders[which], ticks)

    @rule(seconds=st.sampled_from([0.1, 1.0, 2.0, 4.0, 8.0, 11.0]))
    def wait(self, seconds):
        self.clock.advance(seconds)

    @rule(which=st.integers(0, 1))
    def kill(self, which):
        self.holders[which].kill()
        self.holders[which] = Holder(self, f"h{self.starts}")
        self.starts += 1
        self.holders[which].adoption.adopt(self.bundle)

    @precondition(lambda self: self.bundle.version < 6)
    @rule(which=st.integers(0, 1))
    def change_bundle(self, which):
        """Publish a new bundle that only one host knows at first."""
        version = self.bundle.version + 1
        self.bundle = self.build(version)
        self.holders[which].adoption.adopt(self.bundle)

    @rule(which=st.integers(0, 1))
    def adopt(self, which):
        self.holders[which].adoption.adopt(self.bundle)

    @rule()
    def lose_order_answer(self):
        self.lost.append(1)

    @rule()
    def lose_store_answer(self):
        self.platform.lost_answers = 1

    @rule(name=st.sampled_from([f"e{n % 3}-{n // 3}" for n in range(9)]))
    def end_load(self, name):
        self.engines[name].loaded = self.engines[name].wanted

    @rule()
    def send_requests(self):
        for name, engine in self.engines.items():
            if ("drains", name) not in self.platform.rows:
                engine.busy = 1

    @rule()
    def end_requests(self):
        for engine in self.engines.values():
            engine.busy = 0

    def count_changing(self):
        return sum(table == "drains" for table, _ in self.platform.rows)

    @invariant()
    def few_change_and_the_floor_is_kept(self):
        if not hasattr(self, "platform"):
            return
        assert self.count_changing() <= 2
        if not self.checks:
            return
        serving = [
            item.loaded.layers
            for name, item in self.engines.items()
            if item.loaded and ("drains", name) not in self.platform.rows
        ]
        assert count_chains(serving, LAYERS) >= 2
        assert all(item.cut_off == 0 for item in self.engines.values())

    def heal(self):
        """Run one holder undisturbed; return the seconds to reach the desired state."""
        holder = Holder(self, "last")
        holder.adoption.adopt(self.bundle)
        self.platform.lost_answers, self.lost[:] = 0, []
        service = self.bundle.services["drafting"]
        began = self.clock.monotonic()
        while self.clock.monotonic() - began < 600.0:
            while not holder.step():
                pass
            for item in self.engines.values():
                item.busy, item.loaded = 0, item.wanted
            right = all(
                self.engines[name].loaded == get_desired_placement(service, target)
                for name, target in self.bundle.targets.items()
            )
            if right and self.count_changing() == 0:
                return self.clock.monotonic() - began
            self.clock.advance(1.0)
        raise AssertionError("not healed in 600 s")

    def teardown(self):
        if not hasattr(self, "platform"):
            return
        for holder in self.holders:
            holder.kill()
        self.healed = self.heal()


def test_paused_holder_cannot_drain_after_its_lease_has_passed_on():
    world = TwoHolders()
    world.start()
    old, new = world.holders
    for _ in range(5):
        run_tick(old)
        world.clock.advance(1.0)
    world.change_bundle(0)
    world.adopt(1)
    while not any(put.table == "drains" for put in world.platform.asked):
        old.step()
    assert world.count_changing() == 0
    while ("drains", "e0-2") not in world.platform.rows:
        run_tick(new)
        world.clock.advance(1.0)
        for engine in world.engines.values():
            engine.loaded = engine.wanted
    assert new.orderer.lease.holds
    run_tick(old)
    assert ("drains", "e0-0") not in world.platform.rows
    run_tick(old)
    assert not old.orderer.lease.holds
    world.teardown()


@pytest.mark.parametrize("checks", [True, False])
def test_late_order_is_refused_or_corrected(checks):
    """A holder pauses with an order in flight; its successor finishes a change."""
    world = TwoHolders()
    world.checks = checks
    world.start()
    old, new = world.holders
    run_ticks(world, old, 5)
    world.change_bundle(0)
    while not old.engines.in_flight:
        if old.step():
            world.clock.advance(1.0)
    world.change_bundle(1)
    wanted = world.bundle
    run_ticks(world, new, 90)
    right = get_desired_placement(wanted.services["drafting"], wanted.targets["e0-0"])
    assert {item.loaded.adapters for item in world.engines.values()} == {("a3",)}
    while old.engines.in_flight:
        old.step()
    engine = world.engines["e0-0"]
    assert (engine.wanted == right) == checks
    began = world.clock.monotonic()
    while engine.loaded != right or ("drains", "e0-0") in world.platform.rows:
        run_ticks(world, new, 1)
    lasted = world.clock.monotonic() - began
    settle, tick = OrderSettings().settle, OrderSettings().tick
    assert lasted <= (0.0 if checks else settle + 3 * tick)


def test_late_order_cannot_reach_an_engine_whose_drain_has_ended():
    """Guards against a successor that ends a drain before it raises the fencing number.

    The engine would still accept a late order of the previous holder.
    """
    world = TwoHolders()
    world.start()
    world.change_bundle(1)
    world.send_requests()
    world.stand_still(0, 8, 1)
    world.stand_still(0, 8, 1)
    world.end_requests()
    world.stand_still(1, 11, 7)
    world.few_change_and_the_floor_is_kept()
    world.teardown()


class ManyEngines(TwoHolders):
    """Runs thirty engines for each layer range."""

    def build(self, version):
        return build_bundle(version, (f"a{version}",), replicas=30, floor=2)


def test_many_engines_are_read_by_turns_until_something_is_to_be_done():
    world = ManyEngines()
    world.start()
    holder = world.holders[0]
    reads = []
    read_all = holder.engines.read_all

    async def count(targets):
        reads.append([target.id for target in targets])
        return await read_all(targets)

    holder.engines.read_all = count
    run_ticks(world, holder, 12)
    reads.clear()
    run_ticks(world, holder, 12)
    assert {len(names) for names in reads} == {READS_PER_ROUND}
    assert {name for names in reads for name in names} == set(world.engines)
    wrong = world.engines["e1-29"]
    wrong.loaded = wrong.wanted = hold(build_bundle(9, replicas=30), "e1-29").loaded
    reads.clear()
    while ("drains", "e1-29") not in world.platform.rows:
        assert len(reads) <= 2 * len(world.engines) / READS_PER_ROUND
        run_ticks(world, holder, 1)
    assert len(reads[-1]) == len(world.engines), "planned on what was just read"
    run_ticks(world, holder, 30)
    assert ("drains", "e1-29") not in world.platform.rows
    assert {item.loaded.adapters for item in world.engines.values()} == {("a1",)}
    world.teardown()


def run_ticks(world, holder, count):
    """Run a holder for ``count`` ticks of one second; loads end within one."""
    for _ in range(count):
        run_tick(holder)
        world.clock.advance(1.0)
        for engine in world.engines.values():
            engine.loaded = engine.wanted


def run_tick(holder):
    while not holder.step():
        pass


class TwoHoldersIgnored(TwoHolders):
    """Uses engines that ignore fencing numbers: late orders are corrected later."""

    checks = False


for machine in (TwoHolders, TwoHoldersIgnored):
    machine.TestCase.settings = settings(
        max_examples=60, stateful_step_count=40, deadline=None
    )
TestTwoHolders = TwoHolders.TestCase
TestTwoHoldersIgnored = TwoHoldersIgnored.TestCase


def test_drains_become_marks_once_and_are_taken_back():
    marks, other = LeavingMarks(0.0), LeavingMarks(0.0)
    first = marks.apply_drains(frozenset({"e0"}), 1.0)
    assert [(mark.target, mark.leaving) for mark in first] == [("e0", True)]
    other.merge(first, 1.0)
    assert marks.apply_drains(frozenset({"e0"}), 2.0) == []
    assert other.apply_drains(frozenset({"e0"}), 2.0) == [], "heard of by gossip"
    assert marks.list_leaving(7200.0) == {"e0"}, "it outlasts an outage"
    back = marks.apply_drains(frozenset(), 7201.0)
    assert [mark.leaving for mark in back] == [False]
    other.merge(back, 7201.0)
    assert not other.list_leaving(7201.0)
    assert other.apply_drains(frozenset(), 7202.0) == []
