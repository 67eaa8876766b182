"""A host sums its own usage and that of its peers, and drops outdated reports."""

import pytest

from marigoldswitch.core.ids import DataCentre, HostId, TargetId
from marigoldswitch.core.loads import NO_USAGE, STALE_SECONDS, Loads, Usage

TARGET = TargetId("i-1")
PEER = HostId("10.1.0.2:80")
HOME = DataCentre("north")
FAR = DataCentre("south")


def test_own_and_peer_usage_add_up():
    loads = Loads(HOME)
    loads.hold(TARGET, Usage(1, 900))
    loads.set_peer_usage(PEER, HOME, {TARGET: Usage(2, 1800)}, 0.0)
    assert loads.get(TARGET) == Usage(3, 2700)


def test_peer_usage_replaces_its_previous_report():
    loads = Loads(HOME)
    loads.set_peer_usage(PEER, HOME, {TARGET: Usage(2, 1800)}, 0.0)
    loads.set_peer_usage(PEER, HOME, {}, 0.1)
    assert loads.get(TARGET) == NO_USAGE


def test_silent_peer_is_forgotten():
    loads = Loads(HOME)
    loads.set_peer_usage(PEER, HOME, {TARGET: Usage(2, 1800)}, 0.0)
    loads.expire(STALE_SECONDS + 0.1)
    assert loads.get(TARGET) == NO_USAGE


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


def test_unreported_memory_is_counted_until_it_is_reported():
    loads = Loads(HOME)
    loads.hold(TARGET, Usage(1, 900))
    assert loads.get_unreported_memory(TARGET) == 900
    loads.mark_reported()
    assert loads.get_unreported_memory(TARGET) == 0
    assert loads.get(TARGET) == Usage(1, 900)


def test_total_of_a_relay_overrides_the_reports_of_its_hosts():
    loads = Loads(HOME)
    loads.set_peer_usage(PEER, HOME, {TARGET: Usage(2, 1800)}, 0.0)
    loads.set_centre_usage(HOME, {TARGET: Usage(5, 4500)}, 0.1)
    assert loads.get(TARGET) == Usage(5, 4500)


def test_own_part_of_a_total_counts_once():
    loads = Loads(HOME)
    loads.hold(TARGET, Usage(1, 900))
    loads.mark_reported()
    loads.set_centre_usage(HOME, {TARGET: Usage(5, 4500)}, 0.1)
    assert loads.get(TARGET) == Usage(5, 4500)
    loads.hold(TARGET, Usage(1, 700))
    assert loads.get(TARGET) == Usage(6, 5200)


def test_outdated_total_does_not_give_negative_usage():
    loads = Loads(HOME)
    loads.hold(TARGET, Usage(1, 900))
    loads.mark_reported()
    loads.set_centre_usage(HOME, {TARGET: Usage(0, 0)}, 0.1)
    assert loads.get(TARGET) == Usage(1, 900)


def test_relay_totals_its_own_data_centre_and_forwards_the_others():
    loads = Loads(HOME)
    loads.hold(TARGET, Usage(1, 900))
    loads.set_peer_usage(PEER, HOME, {TARGET: Usage(2, 1800)}, 0.0)
    loads.set_peer_usage(HostId("10.2.0.1:80"), FAR, {TARGET: Usage(7, 1)}, 0.0)
    assert loads.sum_home_usage() == {TARGET: Usage(3, 2700)}
    assert loads.get_other_centres() == {FAR: {TARGET: Usage(7, 1)}}
    loads.set_centre_usage(FAR, {TARGET: Usage(9, 2)}, 0.1)
    assert loads.get_other_centres() == {FAR: {TARGET: Usage(9, 2)}}
    assert loads.get(TARGET) == Usage(12, 2702)


def test_reports_of_hosts_count_again_after_their_relay_falls_silent():
    loads = Loads(HOME)
    loads.set_centre_usage(HOME, {TARGET: Usage(5, 4500)}, 0.0)
    loads.set_peer_usage(PEER, HOME, {TARGET: Usage(2, 1800)}, STALE_SECONDS)
    loads.expire(STALE_SECONDS + 0.1)
    assert loads.get(TARGET) == Usage(2, 1800)


def test_peer_reports_are_summed_on_read_and_not_on_arrival(monkeypatch):
    """Guards against summing all reports again with each one that arrives.

    A relay of thirty hosts receives 150 reports a second and reads loads a few times.
    Summing on arrival took an eighth of its processor time, growing with the number of
    hosts times engines.
    """
    loads, sums = Loads(HOME), []
    sum_others = loads._sum_others
    monkeypatch.setattr(loads, "_sum_others", lambda: sums.append(1) or sum_others())
    for number in range(150):
        loads.set_peer_usage(
            HostId(f"10.1.0.{number}:80"), HOME, {TARGET: Usage(1, 10)}, 0.0
        )
    for _ in range(90):
        assert loads.get(TARGET) == Usage(150, 1500)
    assert len(sums) == 1
