"""A host counts what it and its peers hold, and forgets peers that fall silent."""

import pytest

from marigoldswitch.core.ids import HostId, TargetId
from marigoldswitch.core.loads import NOTHING, STALE_SECONDS, Loads, Usage

TARGET = TargetId("i-1")
PEER = HostId("10.1.0.2:80")


def test_own_and_foreign_usage_add_up():
    loads = Loads()
    loads.hold([TARGET], Usage(1, 900))
    loads.hear(PEER, {TARGET: Usage(2, 1800)}, 0.0)
    assert loads.get(TARGET) == Usage(3, 2700)


def test_digest_replaces_the_one_before():
    loads = Loads()
    loads.hear(PEER, {TARGET: Usage(2, 1800)}, 0.0)
    loads.hear(PEER, {}, 0.1)
    assert loads.get(TARGET) == NOTHING


def test_silent_peer_is_forgotten():
    loads = Loads()
    loads.hear(PEER, {TARGET: Usage(2, 1800)}, 0.0)
    loads.expire(STALE_SECONDS + 0.1)
    assert loads.get(TARGET) == NOTHING


def test_released_requests_leave_nothing():
    loads = Loads()
    loads.hold([TARGET, TargetId("i-2")], Usage(1, 10))
    loads.release([TARGET, TargetId("i-2")], Usage(1, 10))
    assert not loads.own


def test_more_is_never_released_than_was_held():
    loads = Loads()
    loads.hold([TARGET], Usage(1, 10))
    with pytest.raises(AssertionError):
        loads.release([TARGET], Usage(2, 10))


def test_what_peers_have_not_heard_of_is_counted_until_they_are_told():
    loads = Loads()
    loads.hold([TARGET], Usage(1, 900))
    assert loads.count_fresh(TARGET) == 900
    loads.note_told()
    assert loads.count_fresh(TARGET) == 0
    assert loads.get(TARGET) == Usage(1, 900)
