"""Each target has one home pool, pools serve whole requests, and all hosts agree."""

import pytest
from hypothesis import given, strategies as st

from marigoldswitch.core.catalogue import Bundle
from marigoldswitch.core.chains import can_serve
from marigoldswitch.core.errors import ErrorKind
from marigoldswitch.core.messages import Deny
from marigoldswitch.core.ownership import PoolKey, Topology, assign_home_pools
from marigoldswitch.core.shares import split_slots
from marigoldswitch.core.spill import SpillPlan, plan_spill
from marigoldswitch.tests.helpers import BOOKINGS, DRAFTING, build_target

PLACES = ("hobart", "launceston", "devonport")
LINKS = {
    (one, other): 0.001 * (1 + abs(a - b))
    for a, one in enumerate(PLACES)
    for b, other in enumerate(PLACES)
    if a != b
}


def build_topology(targets, hosts, services=(BOOKINGS, DRAFTING)):
    bundle = Bundle(
        1, "", {}, {}, {s.name: s for s in services}, {},
        {target.id: target for target in targets}, LINKS,
    )  # fmt: skip
    return Topology(bundle, hosts)


@given(
    st.lists(
        st.tuples(
            st.sampled_from(PLACES), st.sampled_from([(0, 6), (6, 12), (0, 12), (4, 6)])
        ),
        max_size=9,
    ),
    st.randoms(),
)
def test_every_target_has_one_home_that_serves_where_any_can(items, chance):
    targets = [
        build_target(f"t{n}", layers, data_centre=place)
        for n, (place, layers) in enumerate(items)
    ]
    homes = assign_home_pools(DRAFTING, targets, LINKS)
    shuffled = list(targets)
    chance.shuffle(shuffled)
    assert assign_home_pools(DRAFTING, shuffled, LINKS) == homes
    assert set(homes) == {target.id for target in targets}
    pools = {
        home: [target for target in targets if homes[target.id] == home]
        for home in homes.values()
    }
    alone = {
        place
        for place in PLACES
        if can_serve(DRAFTING, [t for t in targets if t.data_centre == place])
    }
    assert set(pools) == alone or (not alone and len(pools) <= 1)
    assert all(can_serve(DRAFTING, pools[home]) for home in alone)


def test_pool_without_a_host_of_its_own_is_dispatched_from_the_nearest():
    target = build_target("a", data_centre="launceston")
    hosts = {"host-0": "hobart", "host-1": "devonport", "host-2": "launceston"}
    topology = build_topology([target], hosts)
    key = PoolKey(BOOKINGS.name, "launceston")
    assert topology.get_dispatcher(key) == "host-2"
    del hosts["host-2"]
    assert build_topology([target], hosts).get_dispatcher(key) == "host-1"
    assert build_topology([target], {}).get_dispatcher(key) is None


def test_own_pool_is_asked_first_and_one_cut_off_last():
    targets = [build_target(place, data_centre=place) for place in PLACES]
    hosts = {"host-0": "hobart", "host-1": "devonport"}
    topology = build_topology(targets, hosts)
    order = topology.order_pools(BOOKINGS.name, "hobart", "r")
    assert [key.data_centre for key in order] == ["hobart", "devonport", "launceston"]
    plan = plan_spill(topology, BOOKINGS.name, "hobart", "r")
    assert plan.home.data_centre == "hobart"
    assert plan.other.data_centre == "devonport"
    assert plan_spill(topology, "nothing", "hobart", "r") is None


def test_spill_is_for_waits_that_another_pool_beats():
    home, other = PoolKey("s", "hobart"), PoolKey("s", "devonport")
    plan = SpillPlan(home, other, link=0.1)
    waits = Deny("r", 1, ErrorKind.SATURATED, 1.0, 3.0)
    assert plan.first_patience == pytest.approx(0.45)
    assert plan.may_spill(waits)
    assert plan.get_second_patience(waits) == pytest.approx(2.8)
    assert plan.may_return(waits, left=4.0)
    assert not plan.may_return(waits, left=2.0)
    assert not plan.may_spill(Deny("r", 1, ErrorKind.DEADLINE_IN_QUEUE, 1.0, 3.0))
    alone = SpillPlan(home)
    assert alone.first_patience is None
    assert not alone.may_spill(waits)


@given(
    st.lists(st.integers(1, 20), min_size=1, max_size=5),
    st.integers(1, 12),
)
def test_parts_of_all_hosts_add_up_to_the_slots(slots, count):
    hosts = [f"host-{n:02d}" for n in range(count)]
    targets = [build_target(f"t{n}", slots=size) for n, size in enumerate(slots)]
    total = dict.fromkeys((target.id for target in targets), 0)
    for host in hosts:
        for part in split_slots(targets, hosts, host):
            assert part.slots > 0
            total[part.id] += part.slots
    assert list(total.values()) == slots
