"""Rate limits that targets state in their answers: order, changes and bad values."""

import pytest
from hypothesis import given, strategies as st
from msgspec.structs import replace
from multidict import CIMultiDict, CIMultiDictProxy

from marigoldswitch.core.gateway_messages import GatewayMessage, LoadDigest
from marigoldswitch.core.ids import DataCentre, TargetId
from marigoldswitch.core.stated_limits import MIN_RATE, StatedLimits
from marigoldswitch.gateway.directory import Directory
from marigoldswitch.gateway.message_counts import decode_limit, encode_limits
from marigoldswitch.gateway.ports import ReplyFacts
from marigoldswitch.platform.headers import HeaderCodec
from marigoldswitch.wire import MessageCodec

TARGET = TargetId("i-1")


def read_limit(*values):
    headers = CIMultiDict([("Server-Limit", value) for value in values])
    facts = HeaderCodec().read_reply(200, CIMultiDictProxy(headers))
    assert facts.is_limit_unreadable == (facts.rate_limit is None and bool(values))
    return facts.rate_limit


@given(st.floats(MIN_RATE, 1e6))
def test_limit_that_has_travelled_between_hosts_is_still_the_same(rate):
    codec = MessageCodec(GatewayMessage)
    here, there = StatedLimits(), StatedLimits()
    here.note_answer(TARGET, rate, 1.0, 1.0)
    there.note_answer(TARGET, rate, 1.0, 1.0)
    here.note_answer(TARGET, rate, 3.0, 3.0)
    notes = encode_limits(here.list_known(3.0), 3.0)
    digest = LoadDigest(DataCentre("north"), 0, 0, limits=notes)
    (note,) = codec.decode(codec.encode(digest)).unwrap().limits
    assert not there.merge(TARGET, decode_limit(note, 3.0))
    assert there.list_known(3.0)[TARGET].heard_at == 1.0
    assert not there.note_answer(TARGET, rate, 4.0, 4.0)


def test_limit_holds_until_an_answer_without_one():
    limits = StatedLimits()
    assert limits.note_answer(TARGET, 2.3, 1.0, 1.1)
    assert not limits.note_answer(TARGET, 2.3, 1.2, 1.3)
    assert limits.get_rate(TARGET) == 2.3
    assert limits.note_answer(TARGET, 4.0, 1.4, 1.5)
    assert limits.note_answer(TARGET, None, 1.6, 1.7)
    assert limits.get_rate(TARGET) is None


def test_older_answer_that_comes_late_does_not_end_a_limit():
    limits = StatedLimits()
    limits.note_answer(TARGET, 2.3, 1.0, 1.1)
    assert not limits.note_answer(TARGET, None, 1.05, 1.5)
    assert limits.get_rate(TARGET) == 2.3


def test_target_that_has_restarted_begins_without_a_limit():
    limits = StatedLimits()
    limits.note_answer(TARGET, 2.3, 1.0, 1.1)
    limits.forget(TARGET)
    assert limits.get_rate(TARGET) is None


def test_limit_of_zero_leaves_room_to_hear_of_its_end():
    limits = StatedLimits()
    limits.note_answer(TARGET, 0.0, 1.0, 1.1)
    assert limits.get_rate(TARGET) == MIN_RATE


@pytest.mark.parametrize(
    ("values", "rate"),
    [
        ((), None),
        (("2.5",), 2.5),
        (("3", "1.5"), 1.5),
        (("3", "soon"), 3.0),
        *(((text,), None) for text in ("", "-1", "nan", "inf", "1e999", "2,5")),
        (("Thu, 03 Dec 2026 15:00:00 GMT",), None),
    ],
)
def test_rate_limit_of_an_answer_is_a_finite_number(values, rate):
    assert read_limit(*values) == rate


def test_limit_that_can_not_be_read_changes_nothing():
    statements = Directory().statements
    facts = ReplyFacts(None, False, False, True, False, None, None, rate_limit=2.0)
    statements.note_answer(TARGET, facts, 1.0, 1.1)
    facts = replace(facts, rate_limit=None, is_limit_unreadable=True)
    statements.note_answer(TARGET, facts, 2.0, 2.1)
    assert statements.limits.stated.get_rate(TARGET) == 2.0


@pytest.mark.parametrize(
    "changes",
    [{"is_signed": False}, {"wrong_target": True, "not_run": True}],
    ids=["unsigned", "of another target"],
)
def test_answer_that_is_not_the_target_s_own_states_nothing(changes):
    statements = Directory().statements
    facts = ReplyFacts(
        None,
        False,
        False,
        True,
        False,
        None,
        None,
        rate_limit=2.0,
        pause=3.0,
        is_leaving=True,
    )
    statements.note_answer(TARGET, replace(facts, **changes), 1.0, 1.1)
    assert statements.limits.stated.get_rate(TARGET) is None
    assert statements.pauses.get_left(TARGET, 1.2) == 0.0
