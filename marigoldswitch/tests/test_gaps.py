"""Timeouts of streams follow the gaps between their events.

The head of an answer arrives with its first event. If the time between the two, 0.0 to
0.2 ms, counts as a gap, it lowers the mean so far that events 80 ms apart are taken for
silence, and hosts with a stream or two at a time probe their engines without need.
"""

import random

import pytest

from marigoldswitch.core.gaps import (
    FIRST_EVENT_TIMEOUT,
    MAX_TIMEOUT,
    MIN_TIMEOUT,
    HostGaps,
    StreamGaps,
)

EVENTS = 12


def count_probes(gaps, host=None):
    """Return how often the chain of a stream with these gaps is probed."""
    stream = StreamGaps(host or HostGaps())
    now, probes, backoff = 0.0, 0, 1.0
    for gap in gaps:
        if gap > stream.get_timeout(backoff):
            probes += 1
            backoff *= 1.4
        now += gap
        stream.note_event(now)
    return probes


@pytest.mark.parametrize("pace", [0.03, 0.08, 0.12, 0.2])
def test_events_at_a_regular_pace_cause_no_probes(pace):
    assert count_probes([0.0001] + [pace] * EVENTS) == 0


MAX_PROBES_PER_STREAM = 0.13
"""Probes of the chain. Corresponds to 0.3 engine probes per request, where six of ten
requests are streams and each probe of a chain asks four engines."""


def test_hosts_with_few_streams_rarely_probe():
    """Expected are 0.11 probes a stream; with less accurate timeouts it was 1.69."""
    source, probes, streams = random.Random(11), 0, 400
    host = HostGaps()
    for _ in range(streams):
        pace = source.choice((0.04, 0.08, 0.12))
        gaps = [pace * (1.0 + source.expovariate(4.0)) for _ in range(EVENTS)]
        probes += count_probes([0.0001, *gaps], host)
    assert probes <= MAX_PROBES_PER_STREAM * streams


def test_timeout_is_two_mean_gaps_at_a_regular_pace():
    stream = StreamGaps(HostGaps())
    for step in range(10):
        stream.note_event(0.08 * step)
    assert stream.get_timeout() == pytest.approx(0.16)


def test_stream_without_gaps_of_its_own_uses_those_of_the_host():
    host = HostGaps()
    known, fresh = StreamGaps(host), StreamGaps(host)
    for step in range(10):
        known.note_event(0.06 * step)
    assert fresh.get_timeout() == FIRST_EVENT_TIMEOUT
    fresh.note_event(1.0)
    assert fresh.get_timeout() == pytest.approx(0.12)
    fresh.reset()
    assert fresh.get_timeout() == FIRST_EVENT_TIMEOUT


def test_timeout_has_bounds():
    quick, slow = StreamGaps(HostGaps()), StreamGaps(HostGaps())
    for step in range(10):
        quick.note_event(0.001 * step)
        slow.note_event(1.0 * step)
    assert quick.get_timeout() == MIN_TIMEOUT
    assert slow.get_timeout() == MAX_TIMEOUT
    assert slow.get_timeout(4.0) == MAX_TIMEOUT


def play_probes(longest_pause, streams=300):
    """Return how often chains at the pace of a loaded fleet are probed."""
    source, host, probes = random.Random(3), HostGaps(), 0
    for _ in range(streams):
        stream, now, backoff = StreamGaps(host), 0.0, 1.0
        pace = source.choice((0.03, 0.045, 0.06, 0.08))
        for _ in range(60):
            gap = pace * (1.0 + source.expovariate(4.0))
            if gap > stream.get_timeout(backoff, longest_pause):
                probes += 1
                backoff = min(4.0, 1.4 * backoff)
            now += gap
            stream.note_event(now)
    return probes


def test_limit_on_pauses_causes_at_most_a_fifth_more_probes():
    """A limit of two mean gaps leaves too little of 0.25 s for the replacement."""
    probes = play_probes(0.0)
    assert probes > 50
    assert play_probes(0.25) <= 1.2 * probes
    # One of three routes allows only 0.2 s.
    assert 2 * play_probes(0.25) + play_probes(0.2) <= 1.2 * 3 * probes


def test_silence_is_noticed_sooner_if_the_longest_pause_is_short():
    stream = StreamGaps(HostGaps())
    for step in range(20):
        stream.note_event(0.08 * step)
    assert stream.get_timeout() == pytest.approx(0.16)
    assert stream.get_timeout(longest_pause=0.25) == pytest.approx(0.14)
    assert stream.get_timeout(longest_pause=2.0) == pytest.approx(0.16)
