"""Routes cover every layer, in order, with targets that have room."""

from hypothesis import given, strategies as st

from marigoldswitch.core.catalogue import LayerRange
from marigoldswitch.core.ledger import covers_in_order
from marigoldswitch.core.routing import choose_route
from marigoldswitch.tests.helpers import BOOKINGS, DRAFTING, HOBART, build_state


def choose(service, states, **changes):
    return choose_route(service, states, HOBART, {}, **changes)


def test_idle_target_is_preferred():
    states = [build_state("a", held=1), build_state("b")]
    assert choose(BOOKINGS, states).targets == ("b",)


def test_full_leaving_and_avoided_targets_are_not_used():
    full, leaving = build_state("a", held=2), build_state("b")
    leaving.leaving = True
    states = [full, leaving, build_state("c")]
    assert choose(BOOKINGS, states, avoid={"c"}) is None


def test_unequal_layer_ranges_may_be_chained():
    states = [
        build_state("a", (0, 6)),
        build_state("b", (0, 4), held=1),
        build_state("c", (6, 12)),
        build_state("d", (4, 12), speed=0.1),
    ]
    assert choose(DRAFTING, states).targets == ("a", "c")


@given(
    st.lists(
        st.tuples(st.integers(0, 11), st.integers(1, 12), st.integers(0, 2)),
        max_size=12,
    )
)
def test_any_chain_covers_the_layers_in_order(items):
    states = [
        build_state(f"t{n}", (first, min(12, first + size)), held)
        for n, (first, size, held) in enumerate(items)
    ]
    route = choose(DRAFTING, states)
    by_name = {state.target.id: state for state in states}
    if route is None:
        assert not has_chain([s.target.layers for s in states if s.has_room])
        return
    assert covers_in_order([by_name[name].target.layers for name in route.targets], 12)
    assert all(by_name[name].has_room for name in route.targets)


def has_chain(ranges: list[LayerRange]) -> bool:
    reached = {0}
    for item in sorted(ranges, key=lambda item: item.first):
        if item.first in reached:
            reached.add(item.end)
    return 12 in reached
