"""Exchange of notes on requests that crash targets, on a virtual clock."""

import pytest

from marigoldswitch.core.crash_notes import CrashNotes
from marigoldswitch.core.interruptions import (
    InterruptedRequest,
    PromptPart,
    TargetRun,
)
from marigoldswitch.tests.crash_network import SimulatedNetwork


@pytest.mark.parametrize("hosts_per_centre", [3, 20])
def test_all_hosts_hold_a_request_that_two_hosts_saw_crash_targets(hosts_per_centre):
    hosts = SimulatedNetwork(hosts_per_centre)
    hosts.run_for(3.0)
    hosts.report_crash(hosts.names[1][0], 1)
    hosts.report_crash(hosts.names[-1][0], 2)
    hosts.run_for(1.0)
    assert not hosts.list_without_hold()


@pytest.mark.parametrize("hosts_per_centre", [3, 20])
def test_hosts_that_were_cut_off_or_restart_receive_the_hold(hosts_per_centre):
    hosts = SimulatedNetwork(hosts_per_centre)
    hosts.run_for(3.0)
    cut_off = [hosts.names[0][0], hosts.names[-1][0]]
    hosts.partitioned = set(cut_off)
    for number in (1, 2):
        hosts.report_crash(hosts.names[1][0], number)
    hosts.run_for(5.0)
    assert set(hosts.list_without_hold()) == set(cut_off)
    hosts.partitioned = set()
    restarted, centre = hosts.names[2]
    hosts.start_host(restarted, centre)
    hosts.run_for(3.0)
    assert not hosts.list_without_hold()


def test_no_crash_notes_are_sent_when_no_target_has_ended():
    hosts = SimulatedNetwork(5)
    hosts.run_for(5.0)
    assert hosts.sent[CrashNotes] == 0


@pytest.mark.parametrize("hosts_per_centre", [5, 20])
def test_no_more_notes_are_sent_once_all_hosts_have_the_same(hosts_per_centre):
    hosts = SimulatedNetwork(hosts_per_centre)
    hosts.run_for(3.0)
    for number in (1, 2):
        hosts.report_crash(hosts.names[1][0], number)
    hosts.run_for(5.0)
    hosts.sent.clear()
    hosts.run_for(5.0)
    assert hosts.sent[CrashNotes] == 0


@pytest.mark.parametrize("hosts_per_centre", [3, 20])
def test_notes_on_the_loss_of_a_rack_take_few_bytes(hosts_per_centre):
    """Thirty targets end, each with requests of a third of the hosts.

    A host may spend 2 KB/s on control traffic. A rack is lost every month or two, so
    the limit is what is allowed for a minute.
    """
    hosts = SimulatedNetwork(hosts_per_centre)
    hosts.run_for(3.0)
    for number in range(30):
        for index, (host, _) in enumerate(hosts.names):
            if (index + number) % 3 == 0:
                hosts.report_crash(host, number, f"r-{number}-{index}")
        hosts.run_for(0.1)
    hosts.run_for(5.0)
    assert sum(hosts.note_bytes.values()) <= len(hosts.names) * 60 * 2_000


@pytest.mark.parametrize("hosts_per_centre", [3, 20])
def test_notes_on_parts_of_prompts_after_the_loss_of_a_rack_take_few_bytes(
    hosts_per_centre,
):
    """The requests share some parts that have been answered and some that have not."""
    hosts = SimulatedNetwork(hosts_per_centre)
    common = PromptPart("model", "common")
    for watch in hosts.watches.values():
        watch.note_answering("model", (common,))
    hosts.run_for(3.0)
    for number in range(30):
        run = TargetRun(f"engine-{number}", 1)
        for index, (host, _) in enumerate(hosts.names):
            if (index + number) % 3 == 0:
                parts = (common, PromptPart("model", f"{(index + number) % 40:08x}"))
                cut = InterruptedRequest(
                    f"{number:04}{index:04}", "a", False, parts, hosts.now
                )
                hosts.report_interruptions(host, run, [cut])
        hosts.run_for(0.1)
    hosts.run_for(5.0)
    assert sum(hosts.note_bytes.values()) <= len(hosts.names) * 60 * 2_000
