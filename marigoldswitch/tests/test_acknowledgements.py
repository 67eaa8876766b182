"""When a connection to another host is given up."""

from hypothesis import given, strategies as st

from marigoldswitch.core.acknowledgements import (
    ACK_TIMEOUT_SECONDS,
    CONFIRM_SECONDS,
    AcknowledgementWatch,
)

LIMIT = ACK_TIMEOUT_SECONDS + CONFIRM_SECONDS


def run_checks(watch, now, until, buffered=0):
    """Check as often as the watch asks; return when it gave up, or ``None``."""
    while now <= until:
        wait = watch.check(buffered, now)
        if wait is None:
            return now
        now += wait
    return None


def test_connection_without_progress_is_given_up_at_the_second_check():
    watch = AcknowledgementWatch()
    watch.note_sent(100, 5.0)
    assert watch.check(0, 6.0) == ACK_TIMEOUT_SECONDS - 1.0
    assert watch.check(0, 5.0 + ACK_TIMEOUT_SECONDS) == CONFIRM_SECONDS
    assert watch.check(0, 5.0 + LIMIT) is None
    assert watch.measure_silence(5.0 + LIMIT) == LIMIT


def test_progress_between_the_two_checks_keeps_the_connection():
    watch = AcknowledgementWatch()
    watch.note_sent(100, 0.0)
    assert watch.check(0, 60.0) == CONFIRM_SECONDS
    assert watch.note_acknowledged(99, 60.1)
    assert watch.check(0, 60.0 + CONFIRM_SECONDS) > CONFIRM_SECONDS


def test_more_messages_are_no_progress():
    watch = AcknowledgementWatch()
    now = 0.0
    while watch.check(0, now) is not None:
        watch.note_sent(100, now)
        now += 0.2
        assert now < 2 * LIMIT


def test_silence_begins_with_the_first_unacknowledged_byte():
    watch = AcknowledgementWatch()
    watch.note_sent(100, 0.0)
    watch.note_acknowledged(100, 0.5)
    watch.note_sent(100, 60.0)
    assert watch.check(0, 61.0) == ACK_TIMEOUT_SECONDS - 1.0


def test_impossible_and_repeated_acknowledgements_are_no_progress():
    watch = AcknowledgementWatch()
    watch.note_sent(100, 0.0)
    assert watch.note_acknowledged(50, 1.0)
    assert not any(watch.note_acknowledged(total, 1.5) for total in (0, 50, 101, 2**64))
    assert watch.acknowledged == 50
    assert watch.measure_silence(2.0) == 1.0


def test_large_frame_to_an_older_version_counts_while_it_is_flushed():
    watch = AcknowledgementWatch()
    watch.note_sent(1000, 0.0)
    for second in range(1, 10):
        assert watch.check(1000 - 100 * second, float(second)) == ACK_TIMEOUT_SECONDS
    assert run_checks(watch, 10.0, 60.0) == 9.0 + LIMIT


def test_flushing_does_not_count_after_an_acknowledgement():
    watch = AcknowledgementWatch()
    watch.note_sent(1000, 0.0)
    watch.note_acknowledged(1, 0.0)
    assert watch.check(800, ACK_TIMEOUT_SECONDS) == CONFIRM_SECONDS
    assert watch.check(600, LIMIT) is None


DELAYS = st.floats(0.01, ACK_TIMEOUT_SECONDS - 0.01)


@given(st.lists(st.tuples(DELAYS, st.integers(1, 10**6)), max_size=30))
def test_receiver_that_acknowledges_in_time_is_never_given_up(messages):
    watch = AcknowledgementWatch()
    now = 0.0
    for delay, size in messages:
        watch.note_sent(size, now)
        assert run_checks(watch, now, now + delay) is None
        now += delay
        watch.note_acknowledged(watch.acknowledged + (size + 1) // 2, now)


@given(st.lists(st.floats(0.0, 1.0), max_size=30), st.integers(0, 99))
def test_silent_receiver_is_given_up_in_bounded_time(pauses, acknowledged):
    watch = AcknowledgementWatch()
    watch.note_sent(100, 0.0)
    watch.note_acknowledged(acknowledged, 0.0)
    now = 0.0
    for pause in pauses:
        now += pause
        watch.note_sent(1, now)
    wait = watch.check(0, LIMIT)
    assert wait == CONFIRM_SECONDS
    assert watch.check(0, LIMIT + wait) is None
