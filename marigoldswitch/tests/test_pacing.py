"""A relay distributes a configuration without filling its link.

If 24 hosts ask at the same time and get their copies at once (6,062 bytes each at 20
Mbit/s), no other frame can leave for 58 ms, twice as long as the first try of a probe
may take. With pacing no frame waits longer than one copy takes, 2.4 ms, and the last
host has its copy after 0.12 s.
"""

import pytest

from marigoldswitch.clocks import ManualClock
from marigoldswitch.core.pacing import SIZE_CLASSES, Pacer

LINK = 2_500_000.0
COPY = 6_062
HOSTS = 24
PROBE_SECONDS = 0.025
APPLY_SECONDS = 3.0
"""Time within which a configuration must be in force, even on the slowest links."""


def send_all(size, hosts=HOSTS, link=LINK):
    """Return the departure times of frames that are due at the same time."""
    pacer = Pacer(link, ManualClock(100.0))
    return [pacer.reserve(size) for _ in range(hosts)]


def measure_longest_wait(departures, size, link=LINK):
    """Return the longest time that a small frame may wait for the link."""
    free_at = longest = 0.0
    for departure in departures:
        free_at = max(free_at, departure) + size / link
        longest = max(longest, free_at - departure)
    return longest


def test_probe_waits_for_at_most_one_copy():
    at_once = measure_longest_wait([0.0] * HOSTS, COPY)
    assert at_once > 2 * PROBE_SECONDS
    paced = measure_longest_wait(send_all(COPY), COPY)
    assert paced == pytest.approx(COPY / LINK)
    assert paced < PROBE_SECONDS / 2


def test_last_host_gets_its_copy_in_time_on_the_slowest_link():
    size = 20_000
    departures = send_all(size, 28, link=1_250_000.0)
    assert departures[-1] + size / 1_250_000.0 < APPLY_SECONDS / 2


def test_large_frames_are_paced_and_small_ones_are_not():
    clock = ManualClock(5.0)
    pacer = Pacer(LINK, clock)
    assert pacer.reserve(COPY) == 0.0
    assert pacer.reserve(SIZE_CLASSES[-1][0] - 1) == 0.0
    assert pacer.reserve(COPY) > 0.0
    clock.advance(1.0)
    assert pacer.reserve(COPY) == 0.0


def test_load_summaries_do_not_wait_for_configurations():
    pacer = Pacer(LINK, ManualClock(100.0))
    for _ in range(HOSTS):
        pacer.reserve(25_000)
    sums = [pacer.reserve(1_900) for _ in range(29)]
    assert sums[0] == 0.0
    assert sums[-1] < 0.1
