"""A relay passes a configuration on without filling its link.

Before, 24 hosts that asked in the same tenth of a second got their copies at once: no
other frame could leave for 58 ms (24 copies of 6,062 bytes at 20 Mbit/s), twice as long
as the first try of a probe may take. Paced, none waits longer than one copy takes, 2.4
ms, and the last host has its own after 0.12 s. Log lines that showed it:
``configuration_told``, 24 within 30 ms.
"""

import pytest

from marigoldswitch.clocks import ManualClock
from marigoldswitch.core.pacing import LANES, Pacer

LINK = 2_500_000.0
COPY = 6_062
HOSTS = 24
PROBE_SECONDS = 0.025
APPLY_SECONDS = 3.0
"""In which a configuration must be in force on the sites with such links."""


def send_all(size, hosts=HOSTS, link=LINK):
    """Return when each of some frames that are due together leaves."""
    pacer = Pacer(link, ManualClock(100.0))
    return [pacer.reserve(size) for _ in range(hosts)]


def measure_longest_wait(departures, size, link=LINK):
    """Return the longest time that a small frame may wait for the link."""
    free_at = longest = 0.0
    for departure in departures:
        free_at = max(free_at, departure) + size / link
        longest = max(longest, free_at - departure)
    return longest


def test_probe_never_waits_for_more_than_one_copy():
    at_once = measure_longest_wait([0.0] * HOSTS, COPY)
    assert at_once > 2 * PROBE_SECONDS
    paced = measure_longest_wait(send_all(COPY), COPY)
    assert paced == pytest.approx(COPY / LINK)
    assert paced < PROBE_SECONDS / 2


def test_last_host_has_its_copy_in_time_on_the_slowest_link():
    size = 20_000
    departures = send_all(size, 28, link=1_250_000.0)
    assert departures[-1] + size / 1_250_000.0 < APPLY_SECONDS / 2


def test_pace_is_kept_over_moments_and_small_frames_pass():
    clock = ManualClock(5.0)
    pacer = Pacer(LINK, clock)
    assert pacer.reserve(COPY) == 0.0
    assert pacer.reserve(LANES[-1][0] - 1) == 0.0
    assert pacer.reserve(COPY) > 0.0
    clock.advance(1.0)
    assert pacer.reserve(COPY) == 0.0


def test_sums_of_loads_wait_for_no_configuration():
    pacer = Pacer(LINK, ManualClock(100.0))
    for _ in range(HOSTS):
        pacer.reserve(25_000)
    sums = [pacer.reserve(1_900) for _ in range(29)]
    assert sums[0] == 0.0
    assert sums[-1] < 0.1
