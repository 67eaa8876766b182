"""Hosts together give out only a part of the pipe between data centres."""

from marigoldswitch.core.crossings import BURST_SECONDS, SHARE, CrossingBudget


def test_hosts_together_stay_below_their_share():
    hosts, seconds = 7, 0.03
    budgets = [CrossingBudget() for _ in range(hosts)]
    taken = 0.0
    for step in range(10_000):
        for budget in budgets:
            if budget.take(seconds, hosts, step / 100.0):
                taken += seconds
    assert taken <= SHARE * 100.0 + hosts * BURST_SECONDS + 0.01
    assert taken >= 0.9 * SHARE * 100.0


def test_chain_without_crossings_is_free():
    budget = CrossingBudget()
    while budget.take(0.05, 1, 0.0):
        pass
    assert budget.take(0.0, 1, 0.0)
