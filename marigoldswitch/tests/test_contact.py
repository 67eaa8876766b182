"""Detection of a host that reaches no target."""

from hypothesis import given, strategies as st

from marigoldswitch.core.contact import (
    MIN_SILENT_TARGETS,
    RELAPSE_SECONDS,
    TargetContact,
)
from marigoldswitch.core.ids import TargetId


def build_contact(targets=10):
    changes = []
    contact = TargetContact(lambda: targets, 0.0)
    contact.watch(lambda change: changes.append(change.is_lost))
    return contact, changes


def note_silences(contact, count, began, now, first=0):
    for number in range(first, first + count):
        contact.note_silence(TargetId(f"t{number}"), began, now)


def test_contact_is_lost_when_several_targets_are_tried_in_vain():
    contact, changes = build_contact()
    note_silences(contact, MIN_SILENT_TARGETS - 1, 1.0, 1.25)
    assert not contact.is_lost
    note_silences(contact, MIN_SILENT_TARGETS, 1.0, 1.25)
    assert contact.is_lost
    assert changes == [True]


def test_many_failures_at_one_target_are_no_loss_of_contact():
    contact, _ = build_contact()
    for _ in range(100):
        note_silences(contact, 1, 1.0, 1.25)
    assert not contact.is_lost


def test_attempts_that_began_before_the_last_answer_do_not_count():
    contact, _ = build_contact()
    contact.note_answer(1.1)
    note_silences(contact, 10, 1.0, 1.25)
    assert not contact.is_lost


def test_answer_ends_the_loss_and_one_failure_soon_after_begins_it_again():
    contact, changes = build_contact()
    note_silences(contact, 5, 1.0, 1.25)
    contact.note_answer(4.0)
    assert not contact.is_lost
    note_silences(contact, 1, 4.1, 4.35)
    assert contact.is_lost
    contact.note_answer(5.0)
    later = 5.0 + RELAPSE_SECONDS
    note_silences(contact, 1, later, later + 0.25)
    assert changes == [True, False, True, False]


def test_host_with_few_targets_has_lost_contact_if_none_answers():
    contact, _ = build_contact(targets=2)
    note_silences(contact, 2, 1.0, 1.25)
    assert contact.is_lost


@given(
    st.lists(
        st.tuples(
            st.sampled_from(["answer", "silence"]),
            st.integers(0, 4),
            st.floats(0.0, 2.0),
            st.floats(0.01, 1.0),
        ),
        max_size=40,
    )
)
def test_contact_is_lost_only_if_no_target_answered_during_the_attempts(steps):
    contact, now, answered = TargetContact(lambda: 5, 0.0), 0.0, 0.0
    for kind, number, took, pause in steps:
        now += pause
        if kind == "answer":
            contact.note_answer(now)
            answered = now
            assert not contact.is_lost
            continue
        was_lost = contact.is_lost
        began = now - took
        contact.note_silence(TargetId(str(number)), began, now)
        if contact.is_lost and not was_lost:
            assert began > answered
