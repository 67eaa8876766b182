"""Pauses between reads of the store, in an outage and between changes."""

import asyncio
import random
from types import SimpleNamespace

import pytest
from result import Ok

from marigoldswitch.core.relays import STANDBY_PAUSE_FACTOR
from marigoldswitch.gateway.directory import Directory
from marigoldswitch.gateway.followers import (
    FAILURES_IN_OUTAGE,
    OUTAGE_RETRY_SECONDS,
    RETRY_SECONDS,
    ConfigurationFollower,
    Dependency,
    TargetFollower,
    choose_waits,
    limit_pause,
)
from marigoldswitch.gateway.ports import TargetChanges
from marigoldswitch.tests.helpers import run_virtually

BACKOFF_FACTOR = 9.0
SILENCE_SECONDS = 0.5
"""Time beyond a read's wait after which its connection counts as silent."""
LEAVING_USE_SECONDS = 0.8
"""Time for which a leaving target may still get work after it was seen to leave."""


def build_lost_dependency(times):
    dependency = Dependency("a feed")
    for _ in range(times):
        dependency.note_failure("unavailable")
    return dependency


def test_first_hosts_retry_soon_and_more_slowly_in_a_lasting_outage():
    source = random.Random(1)
    assert (
        RETRY_SECONDS
        <= build_lost_dependency(1).choose_pause(source)
        <= 1.5 * RETRY_SECONDS
    )
    outage_pause = build_lost_dependency(FAILURES_IN_OUTAGE).choose_pause(source)
    assert OUTAGE_RETRY_SECONDS <= outage_pause <= 1.5 * OUTAGE_RETRY_SECONDS


def test_other_hosts_wait_longer_from_the_first_failure():
    source = random.Random(1)
    assert (
        build_lost_dependency(1).choose_pause(source, BACKOFF_FACTOR)
        >= BACKOFF_FACTOR * RETRY_SECONDS
    )


@pytest.mark.parametrize(("touch", "leaving"), [(3.0, 2.0), (4.0, 3.0), (5.0, 4.0)])
def test_reads_wait_as_long_as_the_bounds_of_a_deployment_allow(touch, leaving):
    """Reads are paid for, so they are as rare as the bounds of a deployment allow.

    With bounds of 3 s and 2 s a reader makes 1.25 reads a second without changes; where
    it may be 5 s behind, 0.74.
    """
    waits = choose_waits(touch, leaving)
    reconnect_seconds = RETRY_SECONDS * 1.5
    assert waits.configuration + SILENCE_SECONDS + reconnect_seconds <= touch
    assert (
        waits.targets + SILENCE_SECONDS + reconnect_seconds + LEAVING_USE_SECONDS
        <= touch
    )
    assert waits.pause + LEAVING_USE_SECONDS <= leaving / 2.0
    reads_per_second = 1.0 / waits.configuration + 1.0 / (waits.targets + waits.pause)
    assert reads_per_second <= 1.25 * 3.0 / touch + 0.01


LINK_BYTES_PER_SECOND = 1.25e6
"""Rate of a link of 10 Mbit/s."""
CONFIGURATION_BYTES = 69_000
"""Size of an answer of the store with a configuration, at a site of 69 hosts."""


class StandInStore:
    """A store that has a new configuration every 0.08 s for two seconds."""

    def __init__(self, clock):
        self.clock = clock
        self.reads = []

    async def wait_configuration(self, revision, seconds):
        newest = min(25, int(self.clock.monotonic() / 0.08))
        while newest <= revision:
            await asyncio.sleep(0.01)
            newest = min(25, int(self.clock.monotonic() / 0.08))
        self.reads.append(self.clock.monotonic())
        return Ok((SimpleNamespace(version=newest), newest))


def test_configurations_that_come_in_series_do_not_fill_a_small_link():
    """Guards against a read for each of 25 configurations in 2 s.

    These take 0.86 MB/s of a link of 1.25 MB/s. Answers of targets wait behind them, so
    that live engines look silent.
    """

    async def play(clock):
        store, adopted = StandInStore(clock), []
        directory = SimpleNamespace(
            adopt=lambda stored, source: adopted.append(stored.version)
        )
        follower = ConfigurationFollower(
            store, directory, random.Random(1), asyncio.Event(), choose_waits(4.0, 3.0)
        )
        while not adopted or adopted[-1] < 25:
            await follower.poll_once()
        rate = len(store.reads) * CONFIGURATION_BYTES / 2.0
        assert rate <= 0.4 * LINK_BYTES_PER_SECOND
        assert clock.monotonic() <= 2.0 + 0.5
        assert store.reads[0] <= 0.1

    run_virtually(play)


class ChangingTargets:
    """A store in which some target changes every 0.1 s."""

    def __init__(self, clock):
        self.clock = clock
        self.reads = 0

    async def wait_targets(self, revision, seconds):
        while int(self.clock.monotonic() / 0.1) <= revision:
            await asyncio.sleep(0.01)
        self.reads += 1
        return Ok(TargetChanges((), (), int(self.clock.monotonic() / 0.1)))


def count_reads(factors, leaving):
    """Return the reads of a data centre's readers in 20 s in which targets change.

    :param factors: factor on the pause of each reader.
    """

    async def play(clock):
        store = ChangingTargets(clock)
        reading = asyncio.Event()
        reading.set()
        tasks = []
        for factor in factors:
            directory = Directory()
            follower = TargetFollower(
                store,
                directory,
                clock,
                random.Random(1),
                reading,
                choose_waits(4.0, leaving),
            )
            follower.get_pause_factor = lambda factor=factor: factor
            tasks.append(asyncio.create_task(follower.run()))
        await asyncio.sleep(20.0)
        for task in tasks:
            task.cancel()
        counted.append(store.reads)

    counted = []
    run_virtually(play)
    return counted[0]


@pytest.mark.parametrize("leaving", [2.0, 3.0, 4.0])
def test_standby_readers_read_changes_less_often(leaving):
    """Guards against three readers that each read all changes.

    That were 201 to 399 reads in 20 s; now it is 113 to 223.
    """
    before = count_reads([1.0, 1.0, 1.0], leaving)
    assert count_reads([1.0, 3.0, 3.0], leaving) <= 0.7 * before
    pause = STANDBY_PAUSE_FACTOR * choose_waits(4.0, leaving).pause
    assert pause + LEAVING_USE_SECONDS <= 0.75 * leaving


@pytest.mark.parametrize("touch", [3.0, 4.0, 5.0])
@pytest.mark.parametrize("kind", ["configuration", "targets"])
def test_host_that_hears_no_peer_is_back_in_time_after_an_outage(touch, kind):
    waits = choose_waits(touch, 2.0)
    in_outage = 1.5 * BACKOFF_FACTOR * OUTAGE_RETRY_SECONDS
    refused = limit_pause(in_outage, waits.retry, spent=0.0)
    hung = getattr(waits, kind) + SILENCE_SECONDS
    assert refused <= touch
    assert hung + limit_pause(in_outage, waits.retry, spent=hung) <= touch
