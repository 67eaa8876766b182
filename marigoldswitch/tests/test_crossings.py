"""Hosts together use only a share of the link between data centres."""

from marigoldswitch.core.crossings import (
    BURST_SECONDS,
    LINK_SHARE,
    OVERDRAFT_SECONDS,
    CrossingBudget,
)


def test_hosts_together_stay_below_their_share():
    hosts, seconds = 7, 0.03
    budgets = [CrossingBudget() for _ in range(hosts)]
    taken = 0.0
    for step in range(10_000):
        for budget in budgets:
            if budget.try_spend(seconds, hosts, step / 100.0):
                taken += seconds
    assert taken <= LINK_SHARE * 100.0 + hosts * BURST_SECONDS + 0.01
    assert taken >= 0.9 * LINK_SHARE * 100.0


def test_chain_without_crossings_is_free():
    budget = CrossingBudget()
    while budget.try_spend(0.05, 1, 0.0):
        pass
    assert budget.try_spend(0.0, 1, 0.0)


def test_running_streams_get_a_crossing_when_new_requests_take_all():
    """New requests take every crossing, as during a release of new engines.

    While eight engines are replaced, no data centre has a whole model. Streams that
    lost an engine waited for a crossing behind new requests and were closed after 1.0 s
    with ``broken off: no chain with room``, although all 33 engines had room.
    """
    budget, hosts, seconds = CrossingBudget(), 8, 0.03
    streams, moved = 6, []
    for step in range(500):
        now = step / 50.0
        while budget.try_spend(seconds, hosts, now):
            pass
        if step % 50 == 49 and streams:
            streams -= 1
            moved.append(budget.try_spend(seconds, hosts, now, is_new=False))
    assert all(moved)


def test_overdraft_of_running_streams_is_repaid_by_new_requests():
    budget, hosts, seconds = CrossingBudget(), 8, 0.03
    taken = 0.0
    for step in range(10_000):
        now = step / 100.0
        for is_new in (True, False):
            if budget.try_spend(seconds, hosts, now, is_new):
                taken += seconds
    most = LINK_SHARE * 100.0 / hosts + BURST_SECONDS + OVERDRAFT_SECONDS
    assert taken <= most + 0.01


def test_chain_without_crossings_is_free_while_overdrawn():
    budget = CrossingBudget()
    while budget.try_spend(0.05, 1, 0.0, is_new=False):
        pass
    assert budget.available_seconds < 0.0
    assert budget.try_spend(0.0, 1, 0.0)
