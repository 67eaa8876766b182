"""60 hosts meet a target that restarts: what its callers get, and how soon it is used.

One of four plain targets restarts while the others have half of their slots in use.
"""

from marigoldswitch.tests.ramp_play import NAMES, NEW, RESTART, WORK, Play

BOUND = 15.0 + 1.0
"""Longest ramp, and the time in which all hosts notice its end, in seconds."""


def is_healthy(name, now, served):
    return 1.0


def is_cold_at_first(name, now, served):
    """Eight times slower for its first 20 requests."""
    return 8.0 if name == NEW and now > RESTART and served <= 20 else 1.0


def is_cold_for_a_while(name, now, served):
    return 6.0 if name == NEW and RESTART < now < RESTART + 2.0 else 1.0


def is_slow(name, now, served):
    return 4.0 if name == NEW and now > RESTART else 1.0


def play(slowness, seconds=18.0, names=(NEW,), **options):
    played = Play(slowness, **options)
    played.run(RESTART)
    played.restart(2, names=names)
    played.run(RESTART + seconds)
    return played


def measure_full(played):
    return played.find_full_at() - RESTART


def count_late(played, seconds=3.0):
    """Return how many requests sent to the target soon after its start are slow."""
    times = played.list_seconds(RESTART, RESTART + seconds)
    return sum(item > 5.0 * WORK for item in times)


def test_healthy_target_carries_its_full_share_soon():
    played = play(is_healthy)
    assert measure_full(played) <= 6.0
    assert played.measure_p99(RESTART, RESTART + 5.0) < 3.0 * WORK


def test_target_that_is_cold_for_a_while_slows_down_fewer_callers():
    late = dict.fromkeys((False, True), 0)
    for paced in late:
        for seed in range(3):
            played = play(is_cold_for_a_while, 5.0, is_paced=paced, seed=seed)
            late[paced] += count_late(played)
    assert late[True] <= 0.5 * late[False]


def test_target_that_is_cold_at_first_is_not_flooded():
    """Without a ramp, requests queued behind the slow ones for up to a second."""
    played, flooded = play(is_cold_at_first), play(is_cold_at_first, is_paced=False)
    assert played.count_sent(1.0) <= 0.3 * flooded.count_sent(1.0)
    since, until = RESTART, RESTART + 3.0
    p99 = played.measure_p99(since, until)
    assert p99 <= 0.6 * flooded.measure_p99(since, until)
    assert measure_full(played) <= BOUND


def test_target_that_stays_slow_gets_less_and_its_ramp_ends():
    played, flooded = play(is_slow), play(is_slow, is_paced=False)
    assert count_late(played) <= 0.7 * count_late(flooded)
    assert measure_full(played) <= BOUND


def test_target_that_flaps_begins_anew_each_time():
    late = {}
    for paced in (False, True):
        played = Play(is_cold_at_first, is_paced=paced)
        for number in range(3):
            played.run(RESTART + 2.0 * number)
            played.restart(2 + number)
        played.run(RESTART + 6.0)
        late[paced] = count_late(played, 6.0)
    assert late[True] <= 0.4 * late[False]


def test_hosts_that_hear_nothing_of_each_other_do_not_flood_the_target():
    played = play(is_cold_at_first, is_heard=False)
    assert played.count_sent(3.0) <= 20
    assert measure_full(played) <= BOUND


def test_hosts_that_were_lost_do_not_stop_the_ramp():
    """The relay and half of the hosts are lost while they know the most."""
    played = Play(is_healthy)
    played.run(RESTART)
    played.restart(2)
    played.run(RESTART + 1.2)
    played.is_heard = False
    played.run(RESTART + 18.0)
    assert measure_full(played) <= BOUND


def test_start_of_half_of_the_targets_is_not_slowed_down():
    played = play(is_healthy, 3.0, names=NAMES[2:])
    assert all(share == 1.0 for _, share in played.shares)


def test_ramp_costs_callers_few_refusals():
    refusals = dict.fromkeys((False, True), 0)
    for paced in refusals:
        for seed in range(3):
            played = play(is_healthy, 4.0, is_paced=paced, seed=seed)
            refusals[paced] += played.count_refusals(RESTART)
    assert refusals[True] <= refusals[False] + 0.02 * 3 * 4 * 150
