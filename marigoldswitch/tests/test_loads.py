"""A host counts what it and its peers hold, and forgets peers that fall silent."""

import pytest

from marigoldswitch.core.ids import DataCentre, HostId, TargetId
from marigoldswitch.core.loads import NOTHING, STALE_SECONDS, Loads, Usage

TARGET = TargetId("i-1")
PEER = HostId("10.1.0.2:80")
HOME = DataCentre("north")
FAR = DataCentre("south")


def test_own_and_foreign_usage_add_up():
    loads = Loads(HOME)
    loads.hold(TARGET, Usage(1, 900))
    loads.hear(PEER, HOME, {TARGET: Usage(2, 1800)}, 0.0)
    assert loads.get(TARGET) == Usage(3, 2700)


def test_digest_replaces_the_one_before():
    loads = Loads(HOME)
    loads.hear(PEER, HOME, {TARGET: Usage(2, 1800)}, 0.0)
    loads.hear(PEER, HOME, {}, 0.1)
    assert loads.get(TARGET) == NOTHING


def test_silent_peer_is_forgotten():
    loads = Loads(HOME)
    loads.hear(PEER, HOME, {TARGET: Usage(2, 1800)}, 0.0)
    loads.expire(STALE_SECONDS + 0.1)
    assert loads.get(TARGET) == NOTHING


def test_released_requests_leave_nothing():
    loads = Loads(HOME)
    loads.hold(TARGET, Usage(1, 10))
    loads.hold(TargetId("i-2"), Usage(1, 10))
    loads.release(TARGET, Usage(1, 10))
    loads.release(TargetId("i-2"), Usage(1, 10))
    assert not loads.own


def test_more_is_never_released_than_was_held():
    loads = Loads(HOME)
    loads.hold(TARGET, Usage(1, 10))
    with pytest.raises(AssertionError):
        loads.release(TARGET, Usage(2, 10))


def test_what_peers_have_not_heard_of_is_counted_until_they_are_told():
    loads = Loads(HOME)
    loads.hold(TARGET, Usage(1, 900))
    assert loads.count_fresh(TARGET) == 900
    loads.note_told()
    assert loads.count_fresh(TARGET) == 0
    assert loads.get(TARGET) == Usage(1, 900)


def test_sum_of_a_relay_stands_in_place_of_what_its_hosts_tell():
    loads = Loads(HOME)
    loads.hear(PEER, HOME, {TARGET: Usage(2, 1800)}, 0.0)
    loads.hear_sum(HOME, {TARGET: Usage(5, 4500)}, 0.1)
    assert loads.get(TARGET) == Usage(5, 4500)


def test_own_part_of_a_sum_counts_once():
    loads = Loads(HOME)
    loads.hold(TARGET, Usage(1, 900))
    loads.note_told()
    loads.hear_sum(HOME, {TARGET: Usage(5, 4500)}, 0.1)
    assert loads.get(TARGET) == Usage(5, 4500)
    loads.hold(TARGET, Usage(1, 700))
    assert loads.get(TARGET) == Usage(6, 5200)


def test_sum_older_than_what_was_told_since_leaves_no_negative_part():
    loads = Loads(HOME)
    loads.hold(TARGET, Usage(1, 900))
    loads.note_told()
    loads.hear_sum(HOME, {TARGET: Usage(0, 0)}, 0.1)
    assert loads.get(TARGET) == Usage(1, 900)


def test_relay_sums_its_own_data_centre_and_passes_the_others_on():
    loads = Loads(HOME)
    loads.hold(TARGET, Usage(1, 900))
    loads.hear(PEER, HOME, {TARGET: Usage(2, 1800)}, 0.0)
    loads.hear(HostId("10.2.0.1:80"), FAR, {TARGET: Usage(7, 1)}, 0.0)
    assert loads.sum_home() == {TARGET: Usage(3, 2700)}
    assert loads.show_sums() == {FAR: {TARGET: Usage(7, 1)}}
    loads.hear_sum(FAR, {TARGET: Usage(9, 2)}, 0.1)
    assert loads.show_sums() == {FAR: {TARGET: Usage(9, 2)}}
    assert loads.get(TARGET) == Usage(12, 2702)


def test_relay_that_fell_silent_leaves_the_words_of_the_hosts():
    loads = Loads(HOME)
    loads.hear_sum(HOME, {TARGET: Usage(5, 4500)}, 0.0)
    loads.hear(PEER, HOME, {TARGET: Usage(2, 1800)}, STALE_SECONDS)
    loads.expire(STALE_SECONDS + 0.1)
    assert loads.get(TARGET) == Usage(2, 1800)


def test_words_of_peers_are_added_up_once_a_look_and_not_once_a_word(monkeypatch):
    """A relay of thirty hosts hears 150 words a second and looks at loads a few times.

    Each word was added up by itself: an eighth of a relay's processor time (0.9 of 7.3
    s in a day of 50 s, under a profiler), growing with hosts times engines.
    """
    loads, sums = Loads(HOME), []
    add_up = loads._add_up
    monkeypatch.setattr(loads, "_add_up", lambda: sums.append(1) or add_up())
    for number in range(150):
        loads.hear(HostId(f"10.1.0.{number}:80"), HOME, {TARGET: Usage(1, 10)}, 0.0)
    for _ in range(90):
        assert loads.get(TARGET) == Usage(150, 1500)
    assert len(sums) == 1
