"""When a host reads the store because its peers don't bring what it holds."""

import pytest
from hypothesis import given, strategies as st

from marigoldswitch.core.lags import (
    READ_ON_SECONDS,
    START_SECONDS,
    Lag,
    choose_patience,
    choose_retry_factor,
)

BOUND = 2.0
TICK = 0.2
"""Longest time between two checks of a host, in seconds."""
READ_SECONDS = 0.25
"""Time that a read of the store takes, slow as it may be."""


def build_lag(jitter=0.0, bound=BOUND):
    lag = Lag(choose_patience(bound, jitter))
    lag.confirm(0.0)
    return lag


@pytest.mark.parametrize("bound", [1.2, 2.0, 3.0, 8.0])
@pytest.mark.parametrize("jitter", [0.0, 1.0])
def test_announced_state_that_is_missing_is_read_within_the_bound(bound, jitter):
    lag = build_lag(jitter, bound)
    lag.note_announced(2, known=1, is_current=True, now=0.0)
    assert not lag.must_read(1, 0.2)
    assert lag.must_read(1, bound - TICK - READ_SECONDS)


@pytest.mark.parametrize("bound", [2.0, 3.0, 8.0])
def test_host_that_hears_no_current_peer_reads_within_the_bound(bound):
    lag = build_lag(jitter=1.0, bound=bound)
    lag.note_announced(1, known=1, is_current=False, now=0.5)
    assert lag.must_read(1, bound - TICK - READ_SECONDS)


def test_host_whose_peers_bring_all_in_time_never_reads():
    lag = build_lag()
    for number in range(1, 200):
        now = 0.1 * number
        lag.note_announced(number, number - 1, is_current=True, now=now)
        lag.note_announced(number, number, is_current=True, now=now + 0.05)
        assert not lag.must_read(number, now + 0.05)


def test_series_of_changes_counts_from_the_oldest_that_is_missing():
    lag = build_lag()
    for number in range(2, 200):
        lag.note_announced(number, 1, is_current=True, now=0.01 * number)
    assert lag.measure_missing(1, 2.0) == pytest.approx(1.98)
    assert lag.measure_missing(2, 2.0) == pytest.approx(1.97)


def test_stale_peer_does_not_hide_that_state_is_missing():
    lag = build_lag()
    lag.note_announced(2, known=1, is_current=True, now=0.0)
    lag.note_announced(1, known=1, is_current=False, now=0.9)
    assert lag.must_read(1, 1.0)


def test_host_reads_on_for_a_while_after_it_was_left_behind():
    lag = build_lag()
    lag.note_announced(2, known=1, is_current=True, now=0.0)
    assert lag.must_read(1, 1.5)
    lag.confirm(1.6)
    assert lag.must_read(2, 1.6)
    lag.confirm(1.5 + READ_ON_SECONDS)
    assert not lag.must_read(2, 1.5 + READ_ON_SECONDS)


def test_starting_host_gives_its_peers_time():
    lag = Lag(choose_patience(BOUND, 0.0))
    assert not lag.must_read(0, 10.0)
    assert not lag.must_read(0, 10.0 + START_SECONDS)
    assert lag.must_read(0, 10.0 + START_SECONDS + BOUND)


@given(
    st.lists(
        st.tuples(st.integers(1, 9), st.booleans(), st.floats(0.0, 0.5)), max_size=40
    ),
    st.floats(0.0, 1.0),
)
def test_state_is_never_missing_for_the_bound_without_a_read(events, jitter):
    """Whatever peers announce, a host that lacks it reads before the bound."""
    lag, now, heard = build_lag(jitter), 0.0, {}
    for number, is_current, pause in events:
        now += pause
        lag.note_announced(number, 1, is_current, now)
        if number > 1:
            heard.setdefault(number, now)
        oldest = min(heard.values(), default=now)
        if now - oldest >= BOUND - TICK - READ_SECONDS:
            assert lag.must_read(1, now)


@pytest.mark.parametrize("hosts", [3, 89, 300, 400, 1000])
def test_retries_of_all_hosts_stay_within_the_rate_of_the_store(hosts):
    pause = 0.25 * choose_retry_factor(hosts, 2000.0, 0.25)
    assert pause >= 0.25
    assert 2 * hosts / pause <= 2000.0


def test_late_digest_does_not_undo_a_newer_one():
    lag = build_lag()
    lag.note_announced(1, known=1, is_current=True, now=5.0)
    lag.note_announced(1, known=1, is_current=True, now=3.0)
    assert not lag.must_read(1, 5.5)


def test_number_that_no_peer_repeats_is_forgotten():
    lag = build_lag()
    lag.note_announced(24, known=1, is_current=True, now=0.0)
    assert lag.must_read(1, 1.5)
    for tick in range(1, 60):
        lag.note_announced(1, known=1, is_current=True, now=0.5 * tick)
    assert not lag.must_read(1, 29.6)
    assert not lag.is_missing(1, 29.6)


def test_short_bound_leaves_peers_some_time():
    patience = choose_patience(-0.3, 0.0)
    assert patience.missing > 0.0
