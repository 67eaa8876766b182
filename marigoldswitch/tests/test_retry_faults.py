"""Hosts together keep to the retry budget in partitions, kills and starts."""

import pytest

from marigoldswitch.tests.fleet import Fleet

SEEDS = range(3)


def check_budget(fleet):
    assert fleet.count_worst_window() <= fleet.get_allowed()


@pytest.mark.parametrize("seed", SEEDS)
def test_hosts_that_all_want_more_than_there_is_stay_within_the_budget(seed):
    fleet = Fleet(seed)
    for rate in (30.0, 2.0, 8.0):
        fleet.run_with_all(12.0, rate)
    check_budget(fleet)


@pytest.mark.parametrize("seed", SEEDS)
def test_hosts_of_a_partitioned_data_centre_do_not_spend_the_parts_of_the_others(seed):
    fleet = Fleet(seed)
    fleet.run_with_all(12.0)
    fleet.split(fleet.list_centre(0))
    fleet.run_with_all(6.0)
    fleet.heal()
    fleet.run_with_all(12.0)
    check_budget(fleet)


@pytest.mark.parametrize("seed", SEEDS)
def test_data_centres_that_are_all_partitioned_do_not_spend_the_allowance_each(seed):
    fleet = Fleet(seed)
    fleet.run_with_all(12.0)
    fleet.split(*(fleet.list_centre(number) for number in range(3)))
    fleet.run_with_all(15.0)
    check_budget(fleet)


@pytest.mark.parametrize("seed", SEEDS)
def test_hosts_that_are_partitioned_alone_do_not_spend_the_allowance_each(seed):
    fleet = Fleet(seed)
    fleet.run_with_all(12.0)
    fleet.split(*([name] for name in fleet.rng.sample(list(fleet.places), 8)))
    fleet.run_with_all(12.0)
    fleet.heal()
    fleet.run_with_all(12.0)
    check_budget(fleet)


@pytest.mark.parametrize("seed", SEEDS)
def test_data_centre_that_used_the_budget_before_a_partition_leaves_the_rest(seed):
    fleet = Fleet(seed)
    fleet.run(12.0, dict.fromkeys(fleet.list_centre(0), 30.0))
    fleet.split(fleet.list_centre(0))
    fleet.run_with_all(20.0)
    check_budget(fleet)


@pytest.mark.parametrize("seed", SEEDS)
def test_hosts_that_start_again_do_not_spend_what_their_processes_had_spent(seed):
    fleet = Fleet(seed)
    fleet.run_with_all(12.0)
    names = list(fleet.places)
    fleet.kill(names)
    fleet.run(0.7, {})
    for name in names:
        fleet.start(name)
    fleet.run_with_all(12.0)
    check_budget(fleet)


@pytest.mark.parametrize("seed", SEEDS)
def test_restarts_in_turn_do_not_make_hosts_forget_what_was_spent(seed):
    fleet = Fleet(seed)
    fleet.run_with_all(12.0)
    for name in list(fleet.places):
        fleet.kill([name])
        fleet.run_with_all(0.4)
        fleet.start(name)
    fleet.run_with_all(10.0)
    check_budget(fleet)


@pytest.mark.parametrize("seed", SEEDS)
def test_hosts_with_a_frozen_relay_do_not_spend_a_stale_part_again(seed):
    fleet = Fleet(seed)
    fleet.run_with_all(12.0, 2.0)
    for _ in range(4):
        for centre in range(3):
            relay = min(fleet.list_centre(centre))
            fleet.hosts[relay].frozen_until = fleet.clock.now + 3.5
        fleet.run_with_all(5.0, 30.0)
        fleet.run(7.0, {})
    check_budget(fleet)


@pytest.mark.parametrize("seed", SEEDS)
def test_late_messages_do_not_let_hosts_spend_the_same_part_twice(seed):
    fleet = Fleet(seed)
    fleet.delay = 2.0
    for _ in range(4):
        fleet.run_with_all(6.0, 30.0)
        fleet.run(6.0, {})
    check_budget(fleet)
