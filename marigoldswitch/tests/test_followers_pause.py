"""While the store turns all away, hosts that are not the first try seldom."""

import random

import pytest

from marigoldswitch.gateway.followers import (
    FAILURES_IN_OUTAGE,
    OUTAGE_RETRY_SECONDS,
    RETRY_SECONDS,
    Dependency,
    choose_waits,
)

PATIENCE = 9.0
SILENT_SECONDS = 0.5
"""Time beyond a read's wait after which its connection counts as silent."""
USED_SECONDS = 0.8
"""Time for which a target that leaves may still get work once it was seen to leave."""


def fail(times):
    dependency = Dependency("a feed")
    for _ in range(times):
        dependency.note_failure("unavailable")
    return dependency


def test_first_hosts_try_again_at_once_and_slower_in_a_lasting_outage():
    source = random.Random(1)
    assert RETRY_SECONDS <= fail(1).choose_pause(source) <= 1.5 * RETRY_SECONDS
    lasting = fail(FAILURES_IN_OUTAGE).choose_pause(source)
    assert OUTAGE_RETRY_SECONDS <= lasting <= 1.5 * OUTAGE_RETRY_SECONDS


def test_other_hosts_wait_longer_from_their_first_failure_on():
    source = random.Random(1)
    assert fail(1).choose_pause(source, PATIENCE) >= PATIENCE * RETRY_SECONDS


@pytest.mark.parametrize(("touch", "leaving"), [(3.0, 2.0), (4.0, 3.0), (5.0, 4.0)])
def test_reads_wait_as_long_as_the_bounds_of_a_deployment_allow(touch, leaving):
    """Before, each deployment was read as one of 3 s and 2 s is.

    A host that reads made 1.25 waiting reads a second in a calm time, now 0.74 where it
    may be 5 s behind.
    """
    waits = choose_waits(touch, leaving)
    new_way = RETRY_SECONDS * 1.5
    assert waits.news + SILENT_SECONDS + new_way <= touch
    assert waits.targets + SILENT_SECONDS + new_way + USED_SECONDS <= touch
    assert waits.pause + USED_SECONDS <= leaving / 2.0
    calls = 1.0 / waits.news + 1.0 / (waits.targets + waits.pause)
    assert calls <= 1.25 * 3.0 / touch + 0.01
