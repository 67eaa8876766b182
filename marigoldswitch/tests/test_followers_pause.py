"""While the store turns all away, hosts that are not the first try seldom."""

import random

from marigoldswitch.gateway.followers import (
    FAILURES_IN_OUTAGE,
    OUTAGE_RETRY_SECONDS,
    RETRY_SECONDS,
    Dependency,
)

PATIENCE = 9.0


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
