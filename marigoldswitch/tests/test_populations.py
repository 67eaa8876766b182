"""Hosts that share a bound are counted, also while they are not heard."""

from marigoldswitch.core.ids import DataCentre, HostId
from marigoldswitch.core.populations import (
    MEMBER_SECONDS,
    STOPPED_SECONDS,
    Population,
)
from marigoldswitch.tests.fleet import Fleet

NORTH, SOUTH = DataCentre("north"), DataCentre("south")


def build_population(now=0.0):
    population = Population(HostId("a"), NORTH)
    population.note_member(HostId("b"), NORTH, now)
    population.note_member(HostId("c"), SOUTH, now)
    return population


def test_silent_host_counts_for_long():
    population = build_population()
    population.expire(MEMBER_SECONDS - 0.1)
    assert population.count() == 3
    population.expire(MEMBER_SECONDS + 0.1)
    assert population.count() == 1


def test_host_that_announces_its_stop_counts_a_while_longer():
    population = build_population()
    population.note_member(HostId("b"), NORTH, 1.0, leaving=True)
    population.expire(STOPPED_SECONDS)
    assert population.count() == 3
    population.expire(1.0 + STOPPED_SECONDS + 0.1)
    assert population.count() == 2


def test_relay_of_another_data_centre_knows_how_many_hosts_it_has():
    population = build_population()
    population.note_reported(SOUTH, 30, 1.0)
    assert population.count_by_centre() == {NORTH: 2, SOUTH: 30}


def test_relay_that_knows_fewer_hosts_lowers_their_number_only_after_long():
    population = build_population()
    population.note_reported(SOUTH, 30, 1.0)
    for now in (2.0, MEMBER_SECONDS + 0.9):
        population.note_reported(SOUTH, 25, now)
        population.expire(now)
        assert population.count_by_centre()[SOUTH] == 30
    population.expire(MEMBER_SECONDS + 1.1)
    assert population.count_by_centre()[SOUTH] == 25


def test_report_does_not_hide_a_host_of_the_same_data_centre():
    population = build_population()
    population.note_reported(NORTH, 1, 1.0)
    assert population.count_by_centre()[NORTH] == 2


def test_all_hosts_count_the_same_in_a_partition_and_after_kills():
    fleet = Fleet(1, (8, 9, 2))
    assert {host.spread.roster.count_members() for host in fleet.hosts.values()} == {19}
    fleet.split(fleet.list_centre(0))
    killed = fleet.list_centre(1)[:4]
    fleet.kill(killed)
    fleet.run(20.0, {})
    assert {host.spread.roster.count_members() for host in fleet.hosts.values()} == {19}


def test_host_that_is_added_is_counted_by_all():
    fleet = Fleet(1, (8, 8))
    fleet.add(0, 1)
    fleet.run(5.0, {})
    assert {host.spread.roster.count_members() for host in fleet.hosts.values()} == {17}
