"""Messages that were held up are known to be late."""

import pytest
from hypothesis import given, strategies as st

from marigoldswitch.core.ids import HostId
from marigoldswitch.core.lateness import Lateness

SENDER = HostId("10.1.0.1:80")
USUAL = 0.01
"""Seconds that a message takes if nothing holds it up."""


@given(st.floats(-1e6, 1e6), st.floats(0.0, 60.0))
def test_message_that_was_held_up_is_late_whatever_the_clocks_show(offset, late):
    lateness, sent_at = Lateness(), 2e6
    lateness.measure(SENDER, 1, sent_at, sent_at + offset + USUAL)
    now = sent_at + 1.0 + offset + USUAL + late
    measured = lateness.measure(SENDER, 1, sent_at + 1.0, now)
    assert measured == pytest.approx(late, abs=0.1)


def test_process_that_starts_anew_is_measured_anew():
    lateness = Lateness()
    lateness.measure(SENDER, 1, 1000.0, 50.0)
    assert lateness.measure(SENDER, 2, 3.0, 60.0) == 0.0


def test_clocks_that_drift_apart_do_not_make_messages_late():
    lateness = Lateness()
    for minute in range(1, 24 * 60):
        sent_at = 60.0 * minute
        assert lateness.measure(SENDER, 1, sent_at, sent_at * 1.0001) < 0.1


def test_host_of_an_older_version_is_never_late():
    assert Lateness().measure(SENDER, 0, 0.0, 1e6) == 0.0


def test_forgotten_hosts_are_not_kept():
    lateness = Lateness()
    lateness.measure(SENDER, 1, 1.0, 1.0)
    lateness.forget(set())
    assert not lateness._senders


def test_clock_that_stood_still_makes_messages_late_for_seconds_only():
    lateness = Lateness()
    for tick in range(100):
        lateness.measure(SENDER, 1, 100.0 + 0.5 * tick, 0.5 * tick)
    for tick in range(100, 200):
        late = lateness.measure(SENDER, 1, 100.0 + 0.5 * tick, 5.0 + 0.5 * tick)
        assert late == (0.0 if tick >= 120 else 5.0)


@given(st.floats(0.1, 120.0))
def test_messages_that_were_held_up_together_are_all_late(seconds):
    lateness, step = Lateness(), 0.5
    for tick in range(100):
        lateness.measure(SENDER, 1, 100.0 + step * tick, step * tick)
    thawed = 50.0 + seconds
    for tick in range(100, 100 + int(seconds / step)):
        late = lateness.measure(SENDER, 1, 100.0 + step * tick, thawed)
        assert late == pytest.approx(thawed - step * tick, abs=0.01)


def test_message_that_is_older_than_another_of_its_process_is_outdated():
    lateness = Lateness()
    lateness.measure(SENDER, 1, 10.0, 1.0)
    lateness.measure(SENDER, 1, 11.0, 2.0)
    assert lateness.measure(SENDER, 1, 10.5, 2.1) is None
