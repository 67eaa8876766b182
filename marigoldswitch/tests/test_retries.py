"""Retry decisions, and the retry budget that all requests share."""

import random

import pytest
from hypothesis import given, strategies as st

from marigoldswitch.core.delivery import Delivery, FailedAttempt
from marigoldswitch.core.errors import Advice
from marigoldswitch.core.retries import (
    BUDGET_FLOOR,
    BUDGET_SHARE,
    BUDGET_WINDOW,
    MAX_ATTEMPTS,
    GiveUp,
    Retry,
    RetryBudget,
    RetryContext,
    ServiceRetries,
)
from marigoldswitch.tests.helpers import BOOKINGS_PATH, run_async, run_deployment

BUSY = FailedAttempt(Delivery.REFUSED, "busy", Advice.RETRY_ELSEWHERE)


def decide(miss=BUSY, retries=None, now=0.0, **changes):
    fields = {"idempotent": True, "trusts_not_run": True, "attempt": 1, "left": 10.0}
    retries = retries or ServiceRetries(random.Random(1))
    return retries.decide(RetryContext(miss, **fields | changes), now)


@pytest.mark.parametrize("delivery", Delivery)
@pytest.mark.parametrize("idempotent", [True, False])
@pytest.mark.parametrize("trusts", [True, False])
def test_only_attempts_that_cannot_run_twice_are_retried(delivery, idempotent, trusts):
    choice = decide(
        FailedAttempt(delivery, "x"), idempotent=idempotent, trusts_not_run=trusts
    )
    certain = delivery is Delivery.NOT_DELIVERED or (
        delivery is Delivery.REFUSED and trusts
    )
    assert isinstance(choice, Retry) == (idempotent or certain)


def test_advice_to_stop_and_last_attempt_are_not_retried():
    assert isinstance(decide(FailedAttempt(Delivery.REFUSED, "x", Advice.STOP)), GiveUp)
    assert isinstance(decide(attempt=MAX_ATTEMPTS), GiveUp)


def test_short_retry_after_is_waited_out_and_long_one_is_passed_on():
    def later(seconds):
        return FailedAttempt(
            Delivery.REFUSED, "full", Advice.RETRY_LATER, retry_after=seconds
        )

    choice = decide(later(1.0))
    assert 1.0 <= choice.pause <= 2.0
    assert decide(later(30.0)) == GiveUp("pool saturated", 30.0)
    assert decide(later(1.0), left=0.5) == GiveUp("deadline", 1.0)


def test_one_busy_target_is_retried_elsewhere_at_once_but_saturated_pool_later():
    retries = ServiceRetries(random.Random(1))
    for number in range(100):
        retries.note_success(number / 100)
    assert decide(retries=retries, now=1.0).pause < 0.1
    retries = ServiceRetries(random.Random(1))
    for _ in range(30):
        retries.note_success(1.0)
    choices = [decide(retries=retries, now=1.0) for _ in range(40)]
    assert choices[0].pause < 0.1
    assert all(isinstance(item, GiveUp) or item.pause >= 1.0 for item in choices[35:])


@given(st.lists(st.tuples(st.booleans(), st.floats(0.0, 3.0)), max_size=300))
def test_retries_never_exceed_the_share_of_recent_successes(events):
    budget, now = RetryBudget(), 0.0
    successes, spent = [], []
    for success, step in events:
        now += step
        if success:
            budget.note_success(now)
            successes.append(now)
        elif budget.spend(now):
            spent.append(now)
        recent = [item for item in spent if item > now - BUDGET_WINDOW + 1.0]
        base = [item for item in successes if item > now - BUDGET_WINDOW - 1.0]
        bound = BUDGET_FLOOR * BUDGET_WINDOW + BUDGET_SHARE * len(base)
        earlier = BUDGET_SHARE * len(successes)
        assert len(recent) <= bound + earlier


def test_stream_recoveries_are_always_allowed_and_reduce_the_budget():
    budget = RetryBudget()
    for _ in range(int(BUDGET_FLOOR * BUDGET_WINDOW)):
        budget.spend_unbounded(1.0)
    assert not budget.spend(1.0)
    budget.spend_unbounded(1.0)
    assert budget.spend(2.0 + BUDGET_WINDOW)


def test_retries_of_a_dead_service_are_bounded():
    """A thousand requests a second all fail; retries stay at the floor."""
    retries = ServiceRetries(random.Random(1))
    lost = FailedAttempt(Delivery.MAY_HAVE_RUN, "lost")
    tried = sum(
        isinstance(decide(lost, retries, now=number / 1000), Retry)
        for number in range(20_000)
    )
    assert tried <= BUDGET_FLOOR * 30.0


def test_advice_of_a_target_reaches_the_caller():
    async def play():
        async with run_deployment(data_centres=("hobart",)) as (deployment, session):
            desk = deployment.services["desk-0"]
            desk.faults.refuse = True
            address = deployment.get_address("host-0", "callers") + BOOKINGS_PATH
            answers = []
            for advice, seconds in (("stop", None), ("retry_later", 30)):
                desk.faults.advice, desk.faults.retry_after = advice, seconds
                body = {"input": {"reference": advice}}
                async with session.post(address, json=body) as response:
                    error = (await response.json())["error"]
                    wait = response.headers.get("Retry-After")
                    answers.append((error["kind"], error["outcome"], wait))
            return answers, desk.ran

    answers, ran = run_async(play())
    assert answers == [
        ("target_stop", "not_run", None),
        ("target_refused", "not_run", "30"),
    ]
    assert not ran
