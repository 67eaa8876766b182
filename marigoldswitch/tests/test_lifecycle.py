"""Tests that a request ends exactly once and never as "not run" if it may have run."""

import pytest
from hypothesis import given, strategies as st

from marigoldswitch.core.errors import ErrorKind, Fault
from marigoldswitch.core.ids import RequestId
from marigoldswitch.core.ledger import InvariantViolation
from marigoldswitch.core.lifecycle import Lifecycle, RequestStage

TRIGGERS = ["queue", "permit", "claim", "dispatch", "stream", "answer"]


def dispatch(idempotent=True):
    life = Lifecycle(RequestId("r"), idempotent)
    for trigger in ("queue", "permit", "dispatch"):
        life.advance(trigger)
    life.note_delivery()
    return life


def test_answer_is_an_end():
    life = dispatch()
    life.advance("answer")
    assert life.stage is RequestStage.ANSWERED
    with pytest.raises(InvariantViolation):
        life.end_with_fault(Fault(ErrorKind.CANCELLED))


def test_delivered_request_is_never_reported_as_not_run():
    life = dispatch()
    with pytest.raises(InvariantViolation):
        life.end_with_fault(Fault(ErrorKind.SATURATED))


def test_non_idempotent_request_is_delivered_once():
    life = dispatch(idempotent=False)
    with pytest.raises(InvariantViolation):
        life.note_delivery()


@given(st.lists(st.sampled_from([*TRIGGERS, "refuse", "fail"]), max_size=30))
def test_no_step_follows_an_end(triggers):
    life = Lifecycle(RequestId("r"), True)
    ends = 0
    for trigger in triggers:
        ended = life.ended
        try:
            life.advance(trigger)
        except InvariantViolation:
            continue
        assert not ended
        ends += life.ended
    assert ends <= 1
