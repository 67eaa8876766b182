"""Retry budgets: the hosts share the retries allowed for a service."""

import random
from types import SimpleNamespace

from structlog.testing import capture_logs

from marigoldswitch.core.ids import ServiceName
from marigoldswitch.core.loans import LoanBook
from marigoldswitch.gateway.exchanges import RetryBudgets, spend_retry

SERVICE = ServiceName("drafts")


def build_budgets(allowance, count_hosts):
    """Return the budgets of a host that hears nothing of the others' retries."""
    return RetryBudgets(allowance, 0.2, LoanBook(1), count_hosts, random.Random(1))


def test_retries_of_all_hosts_stay_within_the_allowance():
    hosts, allowance, window = 7, 19.8, 10.0
    budgets = [build_budgets(allowance, lambda: hosts) for _ in range(hosts)]
    spent = 0
    for step in range(1000):
        for retries in budgets:
            spent += retries.get(SERVICE).spend(step / 100.0)
    assert 0.7 * allowance * window < spent <= allowance * window


def test_reserve_for_answers_that_have_begun_stays_within_the_allowance():
    """Every host spends all the retries it gets for 40 s, as when engines keep ending.

    No window of 10 s may hold more than the allowance.
    """
    hosts, allowance, window = 7, 19.8, 10.0
    budgets = [build_budgets(allowance, lambda: hosts) for _ in range(hosts)]
    fresh, begun = [], []
    for step in range(400):
        now = step / 10.0
        for retries in budgets:
            budget = retries.get(SERVICE)
            fresh += [now] * sum(budget.spend(now) for _ in range(5))
            begun += [now] * sum(budget.spend(now, use_reserve=True) for _ in range(20))
    assert begun
    for end in range(100, 400):
        spent = [at for at in fresh + begun if end / 10 - window < at <= end / 10]
        assert len(spent) <= allowance * window


def test_allowance_is_divided_among_the_hosts():
    hosts = [1]
    budget = build_budgets(10.0, lambda: hosts[0]).get(SERVICE)
    alone = budget.get_own_part(0.0)
    hosts[0] = 4
    assert budget.get_own_part(0.0) == alone / 4


def test_host_that_does_not_know_the_others_sends_no_retries():
    assert not build_budgets(10.0, lambda: None).get(SERVICE).spend(0.0)


def test_each_decision_on_a_retry_is_logged_with_what_it_is_derived_from():
    parts = SimpleNamespace(
        clock=SimpleNamespace(monotonic=lambda: 5.0),
        retries=build_budgets(0.125, lambda: 1),
    )
    exchange = SimpleNamespace(
        call=SimpleNamespace(id="r1"), service=SimpleNamespace(name=SERVICE)
    )
    with capture_logs() as lines:
        assert spend_retry(parts, exchange)
        assert not spend_retry(parts, exchange)
    assert [line["event"] for line in lines] == ["retry_granted", "retry_denied"]
    assert all(line["request"] == "r1" for line in lines)
    assert [line["spent"] for line in lines] == [1, 1]
    assert all({"limit", "hosts", "reserve"} <= line.keys() for line in lines)
