"""Hosts that the store answers are never left behind by the faults of others.

Many random plays by hand, here the seeds 100 to 199::

    python -c "from marigoldswitch.tests.test_left_behind import *; play(100, 200)"

The faults and violations of one seed::

    python -c "from marigoldswitch.tests.test_left_behind import *; tell(100)"
"""

import pytest

from marigoldswitch.tests.feed_fleet import (
    CONFIGURATION_SECONDS,
    CONTACT_SECONDS,
    COPIES,
    READS_PER_SECOND,
    REQUESTS,
    FeedFleet,
)
from marigoldswitch.tests.feed_plays import play_at_random

SIZES = ((10, 10), (8, 30), (3, 9, 8))
MANY = (30, 30, 30)
MOST = (60, 60, 60, 60, 60)
"""Hosts of each data centre."""
PHASES = (0.0, 0.33, 0.66, 0.99)
"""Seconds by which a fault begins later, and so at another time within a read."""


def play_changes(fleet, number=5, pause=2.57):
    """Change what the store holds some times, and wait until all must know it.

    The pause is no multiple of the times between digests and between reads.
    """
    for _ in range(number):
        fleet.change()
        fleet.run(pause)


def list_readers(fleet):
    return {name for centre in range(2) for name in fleet.list_readers(centre)}


def check(fleet):
    if fleet.violations:
        first = "\n".join(fleet.violations[:10])
        pytest.fail(f"{len(fleet.violations)} violations:\n{first}")
    assert fleet.store.count_busiest_second() <= READS_PER_SECOND


def play_seed(seed, **bounds):
    return play_at_random(seed, SIZES[seed % len(SIZES)], **bounds)


def play(first, end):
    """Run random plays and print how many violations each has, and the first ones."""
    for seed in range(first, end):
        fleet = play_seed(seed)
        print(seed, len(fleet.violations), *fleet.violations[:2], sep="  ", flush=True)


def tell(seed):
    """Print the faults and the violations of a random play."""
    fleet = play_seed(seed)
    print(*fleet.faults, "", *fleet.violations, sep="\n")


@pytest.fixture(name="fleet")
def run_fleet():
    with FeedFleet(1, SIZES[0]) as fleet:
        yield fleet


def test_hosts_without_faults_are_up_to_date_and_only_readers_read(fleet):
    started = fleet.clock.now
    play_changes(fleet)
    check(fleet)
    assert fleet.list_callers(started) <= list_readers(fleet)


def test_host_that_is_added_makes_no_call_after_its_start(fleet):
    fleet.add(0, 1)
    fleet.run(CONTACT_SECONDS)
    started = fleet.clock.now
    play_changes(fleet)
    check(fleet)
    assert fleet.list_callers(started) <= list_readers(fleet)


def test_hosts_that_were_cut_off_leave_the_store_to_the_readers_again(fleet):
    fleet.lose(senders=fleet.list_others(0), seconds=5.0)
    fleet.lose(receivers=fleet.list_others(1), seconds=5.0)
    play_changes(fleet)
    healed = fleet.clock.now
    play_changes(fleet)
    assert fleet.list_callers(healed) <= list_readers(fleet)


def test_host_whose_requests_are_lost_gets_the_configuration(fleet):
    fleet.lose(senders=fleet.list_others(0)[-1:], kinds=REQUESTS)
    play_changes(fleet)
    check(fleet)


def test_hosts_whose_copies_are_lost_get_the_configuration(fleet):
    fleet.lose(receivers=fleet.list_others(0), kinds=COPIES)
    play_changes(fleet)
    check(fleet)


def test_host_whose_messages_are_all_lost_gets_the_configuration(fleet):
    fleet.lose(senders=fleet.list_others(0)[:1])
    play_changes(fleet)
    check(fleet)


def test_hosts_that_hear_nothing_get_the_configuration(fleet):
    fleet.lose(receivers=fleet.list_others(0))
    play_changes(fleet)
    check(fleet)


def test_hosts_of_a_data_centre_that_hear_only_each_other_are_not_left_behind(fleet):
    """All that such a host hears is as old as what it has itself."""
    fleet.lose(senders=fleet.list_readers(0))
    play_changes(fleet)
    check(fleet)


@pytest.mark.parametrize("phase", PHASES)
def test_host_with_a_dead_connection_to_the_lead_relay_gets_the_configuration(
    fleet, phase
):
    fleet.run(phase)
    lead, other = fleet.list_readers(0)[0], fleet.list_others(0)[0]
    fleet.lose(senders=[other], receivers=[lead])
    play_changes(fleet)
    check(fleet)


@pytest.mark.parametrize("phase", PHASES)
def test_host_with_a_dead_connection_from_the_lead_relay_gets_the_configuration(
    fleet, phase
):
    fleet.run(phase)
    lead, other = fleet.list_readers(0)[0], fleet.list_others(0)[0]
    fleet.lose(senders=[lead], receivers=[other])
    play_changes(fleet)
    check(fleet)


def test_hosts_with_late_messages_get_the_configuration(fleet):
    fleet.delay_messages(2.0)
    play_changes(fleet)
    check(fleet)


@pytest.mark.parametrize("phase", PHASES)
@pytest.mark.parametrize("number", [1, 3])
def test_frozen_relays_leave_no_host_behind(fleet, number, phase):
    fleet.run(phase)
    fleet.freeze(fleet.list_readers(0)[:number])
    play_changes(fleet, 2)
    check(fleet)


@pytest.mark.parametrize("phase", PHASES)
@pytest.mark.parametrize("number", [1, 3])
def test_readers_with_hung_feeds_leave_no_host_behind(fleet, number, phase):
    fleet.run(phase)
    fleet.hang(fleet.list_readers(0)[:number])
    play_changes(fleet, 2)
    check(fleet)


@pytest.mark.parametrize("phase", PHASES)
def test_readers_that_the_store_refuses_leave_no_host_behind(fleet, phase):
    fleet.run(phase)
    fleet.refuse(fleet.list_readers(0))
    play_changes(fleet, 2)
    check(fleet)


@pytest.mark.parametrize("phase", PHASES)
def test_readers_that_are_killed_leave_no_host_behind(fleet, phase):
    fleet.run(phase)
    fleet.kill(fleet.list_readers(0))
    play_changes(fleet, 2)
    check(fleet)


def test_host_whose_messages_are_lost_from_its_start_becomes_ready(fleet):
    name = fleet.list_others(0)[0]
    fleet.lose(senders=[name])
    fleet.kill([name])
    fleet.run(1.0)
    fleet.start(name)
    play_changes(fleet)
    check(fleet)


def test_history_that_is_gone_leaves_no_host_behind(fleet):
    for _ in range(5):
        fleet.store.drop_history()
        play_changes(fleet, 1)
    check(fleet)


def test_calls_stay_within_the_rate_when_all_hosts_fall_behind():
    """The store changes ten times a second while no host gets what another has."""
    with FeedFleet(1, MOST) as fleet:
        fleet.lose(kinds=COPIES)
        for _ in range(10):
            fleet.change()
            fleet.run(0.1)
        fleet.run(CONFIGURATION_SECONDS)
    check(fleet)


def test_calls_stay_within_the_rate_while_the_store_refuses_all_hosts():
    with FeedFleet(1, MOST) as fleet:
        fleet.lose(kinds=COPIES)
        fleet.change()
        fleet.run(0.5)
        fleet.refuse(fleet.places)
        fleet.run(2.0)
    check(fleet)


def test_many_hosts_of_which_some_are_cut_off_are_all_up_to_date():
    with FeedFleet(1, MANY) as fleet:
        fleet.lose(senders=fleet.list_others(0)[::4])
        fleet.lose(receivers=fleet.list_others(1)[::4])
        play_changes(fleet)
    check(fleet)


@pytest.mark.parametrize("seed", range(9))
def test_random_faults_leave_no_host_behind(seed):
    check(play_seed(seed))


@pytest.mark.parametrize("seed", range(9, 12))
def test_random_faults_leave_no_host_behind_a_longer_bound(seed):
    check(play_seed(seed, configuration_seconds=3.0))


def test_random_faults_leave_none_of_many_hosts_behind():
    check(play_at_random(1, MANY, steps=12))


@pytest.mark.parametrize("phase", PHASES[:3])
def test_host_does_not_count_as_a_reader_before_the_store_has_answered_it(phase):
    """Each trio that took over claimed to be up to date until its own reads failed."""
    with FeedFleet(1, (16,)) as fleet:
        fleet.run(phase)
        hung = sorted(fleet.list_centre(0))[:12]
        fleet.hang(hung)
        for _ in range(300):
            fleet.run(0.02)
            claims = [
                host
                for host in fleet.hosts.values()
                if host.name in hung[3:] and host.spread._is_reader
            ]
            assert not claims
