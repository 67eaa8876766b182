"""A lender shares out no more than it has."""

import pytest
from hypothesis import given, strategies as st

from marigoldswitch.core.ids import HostId
from marigoldswitch.core.loan_shares import share_out, share_out_whole

AMOUNTS = st.lists(st.integers(0, 9_000), min_size=1, max_size=8)
A, B = HostId("a"), HostId("b")


@pytest.mark.parametrize("share", [share_out, share_out_whole])
@given(AMOUNTS, AMOUNTS, st.integers(-20_000, 20_000))
def test_no_more_is_lent_than_there_is_nor_than_is_asked_for(share, asked, held, free):
    hosts = [HostId(f"h{number}") for number in range(len(asked))]
    wanted = {host: amount / 1000 for host, amount in zip(hosts, asked, strict=True)}
    before = {host: held[n % len(held)] / 1000 for n, host in enumerate(hosts)}
    free /= 1000
    lent = share(wanted, before, free)
    assert set(lent) == set(wanted)
    assert all(-1e-9 <= lent[host] <= wanted[host] + 1e-9 for host in hosts)
    added = sum(max(0.0, lent[host] - before[host]) for host in hosts)
    assert added <= max(0.0, free) + 1e-9
    if free >= sum(wanted.values()):
        assert sum(lent.values()) >= sum(wanted.values()) - 1e-9


def test_too_little_is_shared_in_proportion_or_by_whole_uses():
    asked, held = {A: 3.0, B: 1.0}, {A: 0.0, B: 0.0}
    assert share_out(asked, held, 2.0) == {A: 1.5, B: 0.5}
    assert share_out_whole(asked, held, 2.0) == {A: 1.0, B: 1.0}
    assert share_out_whole({A: 0.5, B: 1.5}, held, 1.0) == {A: 0.5, B: 0.5}


def test_what_is_too_much_is_taken_back():
    asked, held = {A: 3.0, B: 1.0}, {A: 3.0, B: 1.0}
    assert share_out(asked, held, -2.0) == {A: 1.5, B: 0.5}
    assert share_out_whole(asked, held, -2.0) == {A: 1.0, B: 1.0}


def test_sharing_ends_where_a_fraction_is_lost_in_the_sum():
    """As fractions, 0.185 and 0.631 make more than 0.816."""
    assert share_out_whole({A: 0.816}, {A: 0.185}, 6.088) == {A: 0.816}
    asked, held = {A: 5.000000000000001, B: 5.0}, {A: 4.999999999999999, B: 5.0}
    assert share_out_whole(asked, held, 1.0) == {A: 5.0, B: 5.0}
    assert share_out_whole({A: 5.000000000000001}, {A: 5.0}, 1.0) == {A: 5.0}


@given(st.floats(0.0, 50.0), st.floats(0.0, 50.0), st.floats(-60.0, 60.0))
def test_sharing_ends_with_any_amounts(asked, held, free):
    lent = share_out_whole({A: asked, B: held}, {A: held, B: asked}, free)
    assert all(amount >= 0.0 for amount in lent.values())
