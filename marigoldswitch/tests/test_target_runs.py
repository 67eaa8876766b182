"""Which start of a target has ended, where it states none."""

import pytest

from marigoldswitch.core.ids import TargetId
from marigoldswitch.core.interruptions import InterruptedRequest, TargetRun
from marigoldswitch.core.target_runs import MAX_RUNS, SAME_END_SECONDS, TargetRuns
from marigoldswitch.tests.crash_network import SimulatedNetwork

TARGET = TargetId("desk-1")


def number(index):
    return TargetRun(TARGET, -index)


def test_end_that_two_hosts_number_differently_is_one():
    runs = TargetRuns()
    assert runs.identify(number(1), 10.0) == number(1)
    assert runs.identify(number(2), 10.0 + SAME_END_SECONDS / 2) == number(1)
    assert runs.identify(number(2), 99.0) == number(1)


def test_series_of_ends_does_not_merge_into_one():
    runs = TargetRuns()
    step = SAME_END_SECONDS / 3
    known = {runs.identify(number(index), index * step) for index in range(1, 13)}
    assert len(known) == 4


def test_target_that_was_alive_in_between_has_ended_twice():
    runs = TargetRuns()
    assert runs.identify(number(1), 10.0) == number(1)
    assert runs.identify(number(2), 10.3, alive_at=10.2) == number(2)
    assert runs.identify(number(3), 10.31, alive_at=10.2) == number(2)


def test_stated_starts_are_kept():
    runs = TargetRuns()
    stated = [TargetRun(TARGET, born) for born in (5, 6)]
    assert [runs.identify(item, 1.0) for item in stated] == stated


def test_memory_of_ends_is_bounded():
    runs = TargetRuns()
    for index in range(1, 10 * MAX_RUNS):
        runs.identify(number(index), 10.0 * index)
    assert len(runs._ended[TARGET]) == MAX_RUNS
    runs.expire(1e9)
    assert not runs._ended


@pytest.mark.parametrize("ends", [1, 2])
def test_request_is_held_for_two_ends_of_one_target_and_not_for_one_told_twice(ends):
    network = SimulatedNetwork(2)
    first, second = network.names[0][0], network.names[1][0]
    cut = [InterruptedRequest("bad", None, False)]
    for end in range(ends):
        for index, host in enumerate((first, second)):
            run = TargetRun(TARGET, -1000 * end - index - 1)
            network.report_interruptions(host, run, cut)
        network.run_for(2.0)
    held = len(network.names) - len(network.list_without_hold())
    assert held == (len(network.names) if ends == 2 else 0)
