"""Silence of a stream is told from the gaps between its events.

Played at 195 hosts, each with a stream or two at a time: 30,487 probes for 6,912
streams on a calm day on which nothing failed. The head of an answer comes with its
first event, so that the first gap was 0.0 to 0.2 ms for 218 of 218 streams. It stood in
the mean of the gaps, and events that came each 80 ms were looked at as silence.
"""

import random

import pytest

from marigoldswitch.core.gaps import (
    FIRST_SECONDS,
    LEAST_SECONDS,
    MOST_SECONDS,
    HostGaps,
    StreamGaps,
)

EVENTS = 12


def count_looks(gaps, host=None):
    """Return how often a stream with these gaps is looked at."""
    stream = StreamGaps(host or HostGaps())
    now, looks, caution = 0.0, 0, 1.0
    for gap in gaps:
        if gap > stream.choose_patience(caution):
            looks += 1
            caution *= 1.4
        now += gap
        stream.note_event(now)
    return looks


@pytest.mark.parametrize("pace", [0.03, 0.08, 0.12, 0.2])
def test_events_that_come_as_usual_are_no_silence(pace):
    assert count_looks([0.0001] + [pace] * EVENTS) == 0


MOST_LOOKS = 0.13
"""Looks a stream that 0.3 probes a request allow, where six of ten requests are streams
and each look asks four engines."""


def test_hosts_with_few_streams_each_seldom_look():
    """Before: 1.69 looks a stream, after: 0.11."""
    source, looks, streams = random.Random(11), 0, 400
    host = HostGaps()
    for _ in range(streams):
        pace = source.choice((0.04, 0.08, 0.12))
        gaps = [pace * (1.0 + source.expovariate(4.0)) for _ in range(EVENTS)]
        looks += count_looks([0.0001, *gaps], host)
    assert looks <= MOST_LOOKS * streams


def test_silence_is_told_after_two_usual_gaps():
    stream = StreamGaps(HostGaps())
    for step in range(10):
        stream.note_event(0.08 * step)
    assert stream.choose_patience() == pytest.approx(0.16)


def test_stream_without_gaps_of_its_own_goes_by_those_of_others():
    host = HostGaps()
    known, fresh = StreamGaps(host), StreamGaps(host)
    for step in range(10):
        known.note_event(0.06 * step)
    assert fresh.choose_patience() == FIRST_SECONDS
    fresh.note_event(1.0)
    assert fresh.choose_patience() == pytest.approx(0.12)
    fresh.begin()
    assert fresh.choose_patience() == FIRST_SECONDS


def test_patience_has_bounds():
    quick, slow = StreamGaps(HostGaps()), StreamGaps(HostGaps())
    for step in range(10):
        quick.note_event(0.001 * step)
        slow.note_event(1.0 * step)
    assert quick.choose_patience() == LEAST_SECONDS
    assert slow.choose_patience() == MOST_SECONDS
    assert slow.choose_patience(4.0) == MOST_SECONDS
