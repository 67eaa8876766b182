"""Detection of a host that reaches no target."""

from hypothesis import given, strategies as st

from marigoldswitch.core.contact import (
    DOUBTED_TARGETS,
    LOST_TARGETS,
    RELAPSE_SECONDS,
    SILENCE_SECONDS,
    ContactState,
    TargetContact,
)
from marigoldswitch.core.ids import TargetId


def build_contact():
    states = []
    contact = TargetContact(0.0)
    contact.watch(lambda change: states.append(change.state))
    return contact, states


def note_silences(contact, count, began, now):
    for number in range(count):
        contact.note_silence(TargetId(f"t{number}"), began, now)


ASKED = (TargetId("asked-1"), TargetId("asked-2"))


def lose(contact, now):
    note_silences(contact, DOUBTED_TARGETS, now - 0.25, now)
    contact.settle_doubt(ASKED, now, now + 0.06)


def test_contact_is_doubted_when_several_targets_are_tried_in_vain():
    contact, _ = build_contact()
    note_silences(contact, DOUBTED_TARGETS - 1, 1.0, 1.25)
    assert contact.state is ContactState.REACHED
    note_silences(contact, DOUBTED_TARGETS, 1.0, 1.25)
    assert contact.state is ContactState.DOUBTED


def test_doubted_contact_is_lost_if_the_targets_asked_are_silent_too():
    contact, states = build_contact()
    lose(contact, 1.25)
    assert states == [ContactState.DOUBTED, ContactState.LOST]


def test_doubted_contact_is_kept_if_a_target_answers():
    contact, _ = build_contact()
    note_silences(contact, 5, 1.0, 1.25)
    contact.note_answer(1.26)
    contact.settle_doubt(ASKED, 1.25, 1.31)
    assert contact.state is ContactState.REACHED


def refuse(contact, now):
    """Let connections to enough targets be refused."""
    for number in range(DOUBTED_TARGETS):
        contact.note_silence(TargetId(f"t{number}"), now - 0.01, now, is_refused=True)
    contact.settle_doubt(ASKED, now, now + 0.06, refused=ASKED)


def test_contact_is_kept_if_bytes_arrive_while_targets_are_silent():
    contact, states = build_contact()
    note_silences(contact, 5, 1.0, 1.25)
    contact.note_traffic(1.3)
    contact.settle_doubt(ASKED, 1.25, 1.45)
    assert states == [ContactState.DOUBTED, ContactState.REACHED]


def test_silences_before_the_last_bytes_are_no_reason_to_doubt():
    contact, states = build_contact()
    contact.note_silence(TargetId("a"), 1.0, 1.2)
    contact.note_traffic(1.21)
    contact.note_silence(TargetId("b"), 1.05, 1.25)
    assert not states


def test_loss_for_silences_ends_as_bytes_arrive():
    contact, _ = build_contact()
    lose(contact, 1.25)
    assert contact.is_lost
    contact.note_traffic(1.5)
    assert contact.state is ContactState.REACHED


def test_contact_is_lost_if_connections_are_refused_though_open_ones_live_on():
    contact, _ = build_contact()
    contact.note_traffic(1.24)
    refuse(contact, 1.25)
    assert contact.is_lost
    contact.note_traffic(1.4)
    assert contact.is_lost


def test_many_failures_at_one_target_are_no_reason_to_doubt():
    contact, states = build_contact()
    for _ in range(100):
        note_silences(contact, DOUBTED_TARGETS - 1, 1.0, 1.25)
    assert not states


def test_failures_that_are_spread_over_a_long_time_are_no_reason_to_doubt():
    contact, states = build_contact()
    for number in range(20):
        now = 1.0 + number * SILENCE_SECONDS
        contact.note_silence(TargetId(f"t{number}"), now - 0.25, now)
    assert not states


def test_attempts_that_began_before_the_last_answer_do_not_count():
    contact, states = build_contact()
    contact.note_answer(1.1)
    note_silences(contact, 10, 1.0, 1.25)
    assert not states


def test_answer_ends_the_loss_and_one_failure_soon_after_is_reason_to_doubt():
    contact, states = build_contact()
    lose(contact, 1.25)
    contact.note_answer(4.0)
    note_silences(contact, 1, 4.1, 4.35)
    assert contact.state is ContactState.DOUBTED
    contact.note_answer(5.0)
    later = 4.0 + RELAPSE_SECONDS
    note_silences(contact, 1, later, later + 0.25)
    assert states[-1] is ContactState.REACHED


def test_host_with_few_targets_does_not_take_their_end_for_a_cut():
    contact, states = build_contact()
    names = [TargetId(f"t{number}") for number in range(LOST_TARGETS - 1)]
    for second in range(1, 20):
        note_silences(contact, len(names), second, second + 0.25)
        contact.settle_doubt(names, second + 0.25, second + 0.31)
        assert contact.state is ContactState.REACHED
    assert ContactState.LOST not in states


@given(
    st.lists(
        st.tuples(
            st.sampled_from(["answer", "silence", "confirm"]),
            st.integers(0, 4),
            st.floats(0.0, 2.0),
            st.floats(0.01, 1.0),
        ),
        max_size=40,
    )
)
def test_contact_is_lost_only_if_no_target_answered_during_the_attempts(steps):
    contact, now, answered = TargetContact(0.0), 0.0, 0.0
    for kind, number, took, pause in steps:
        now += pause
        began, before = now - took, contact.state
        match kind:
            case "answer":
                contact.note_answer(now)
                answered = now
                assert contact.state is ContactState.REACHED
            case "silence":
                contact.note_silence(TargetId(str(number)), began, now)
                assert not contact.is_lost or before is ContactState.LOST
            case "confirm":
                contact.settle_doubt(ASKED, began, now)
                if contact.is_lost and before is not ContactState.LOST:
                    assert before is ContactState.DOUBTED and began > answered
