"""Reads of a slow store succeed, and reads that are lost don't hold up later ones."""

import asyncio
import random

import pytest
from result import Err, Ok

from marigoldswitch.gateway.directory import Directory
from marigoldswitch.gateway.followers import (
    ConfigurationFollower,
    TargetFollower,
    choose_waits,
)
from marigoldswitch.gateway.ports import FeedFault
from marigoldswitch.platform.store import PlatformStore
from marigoldswitch.platform.store_calls import (
    CALL_TIMEOUT_SECONDS,
    CallFault,
    StoreAnswer,
    StoredRow,
)
from marigoldswitch.platform.store_reads import (
    KEPT_ANSWER_SECONDS,
    KEPT_READ_SECONDS,
    PatientReads,
    RowsRead,
)
from marigoldswitch.tests.gateway_site import (
    build_configuration,
    run_scenario,
    run_site,
)
from marigoldswitch.tests.helpers import capture_all_logs, run_virtually

PAUSE_SECONDS = 0.3
LOST = float("inf")
"""Time after which a lost read is answered."""
UNAVAILABLE = Err(FeedFault.UNAVAILABLE)


class Table:
    """A table whose reads are answered after given times each.

    :ivar begun: number of reads begun.
    :ivar running: number of reads under way.
    """

    def __init__(self, *seconds, pages=1):
        self.seconds, self.pages = list(seconds), pages
        self.begun = self.running = self.most_running = 0

    async def work(self, note_progress):
        number = self.begun
        self.begun += 1
        self.running += 1
        self.most_running = max(self.most_running, self.running)
        try:
            for _ in range(self.pages):
                seconds = self.seconds[min(number, len(self.seconds) - 1)]
                await asyncio.sleep(min(seconds, 3600.0))
                note_progress()
            return Ok(RowsRead((), number + 1))
        finally:
            self.running -= 1


async def try_until_answered(reads, table, pause=PAUSE_SECONDS, since=0, tries=20):
    """Return the number of tries that a read takes, and its answer."""
    for number in range(1, tries + 1):
        result = await reads.read("servers", since, table.work, CALL_TIMEOUT_SECONDS)
        if result.is_ok():
            return number, result.ok_value.revision
        assert result == UNAVAILABLE
        await asyncio.sleep(pause)
    raise AssertionError("no answer")


@pytest.mark.parametrize("seconds", [0.7, 1.0, 2.0, 4.5])
@pytest.mark.parametrize("pause", [0.3, 0.9, 8.0])
def test_read_of_a_slow_store_succeeds(seconds, pause):
    async def play(clock):
        table = Table(seconds)
        await try_until_answered(PatientReads(), table, pause)
        assert clock.monotonic() <= seconds + CALL_TIMEOUT_SECONDS + pause
        await asyncio.sleep(0.01)
        assert table.running == 0

    run_virtually(play)


def test_late_answer_is_taken_up_without_another_call():
    async def play(clock):
        table = Table(0.7)
        assert await try_until_answered(PatientReads(), table) == (2, 1)
        assert table.begun == 1

    run_virtually(play)


def test_lost_read_does_not_hold_up_the_next_one():
    async def play(clock):
        table = Table(LOST, 0.01)
        assert await try_until_answered(PatientReads(), table) == (2, 2)
        assert clock.monotonic() <= CALL_TIMEOUT_SECONDS + PAUSE_SECONDS + 0.1
        await asyncio.sleep(0.01)
        assert table.running == 0

    run_virtually(play)


@pytest.mark.parametrize("lost", [1, 2, 3, 4])
def test_lost_reads_do_not_hold_up_a_slow_one(lost):
    async def play(clock):
        table = Table(*[LOST] * lost, 0.7)
        tries, revision = await try_until_answered(PatientReads(), table)
        assert (tries, revision) == (lost + 2, lost + 1)

    run_virtually(play)


def test_reads_under_way_are_bounded_in_an_outage():
    async def play(clock):
        reads, table = PatientReads(), Table(LOST)
        for _ in range(50):
            result = await reads.read("servers", 0, table.work, CALL_TIMEOUT_SECONDS)
            assert result == UNAVAILABLE
            await asyncio.sleep(PAUSE_SECONDS)
            assert table.running <= 2
        assert table.begun == 50
        assert table.most_running <= 3
        await reads.close()
        await asyncio.sleep(0.01)
        assert table.running == 0

    run_virtually(play)


def test_failed_read_is_reported_at_once_and_leaves_the_silent_one_waiting():
    async def refuse(note_progress):
        return UNAVAILABLE

    async def play(clock):
        reads, table = PatientReads(), Table(2.0)
        for work in (table.work, refuse):
            result = await reads.read("servers", 0, work, CALL_TIMEOUT_SECONDS)
            assert result == UNAVAILABLE
        assert clock.monotonic() == pytest.approx(CALL_TIMEOUT_SECONDS)
        assert await try_until_answered(reads, Table(LOST)) == (2, 1)

    run_virtually(play)


@pytest.mark.parametrize(("seconds", "most_tries"), [(0.5, 1), (0.7, 25), (2.0, 60)])
def test_pages_of_a_large_table_count_as_signs_of_life(seconds, most_tries):
    async def play(clock):
        table = Table(seconds, pages=20)
        await try_until_answered(PatientReads(), table, tries=most_tries)
        assert table.begun <= most_tries
        assert clock.monotonic() <= 20 * seconds + CALL_TIMEOUT_SECONDS + PAUSE_SECONDS

    run_virtually(play)


def test_read_of_another_revision_is_not_taken_up():
    async def play(clock):
        reads, table = PatientReads(), Table(0.7)
        await reads.read("servers", 3, table.work, CALL_TIMEOUT_SECONDS)
        assert await try_until_answered(reads, Table(0.01), since=4) == (1, 1)
        await asyncio.sleep(0.01)
        assert table.running == 0

    run_virtually(play)


@pytest.mark.parametrize(
    ("seconds", "pause"),
    [(0.7, KEPT_ANSWER_SECONDS + 1.0), (LOST, KEPT_READ_SECONDS + 1.0)],
)
def test_read_is_not_kept_for_ever(seconds, pause):
    async def play(clock):
        reads, table = PatientReads(), Table(seconds)
        await reads.read("servers", 0, table.work, CALL_TIMEOUT_SECONDS)
        await asyncio.sleep(pause)
        assert await try_until_answered(reads, Table(0.01)) == (1, 1)
        await asyncio.sleep(0.01)
        assert table.running == 0

    run_virtually(play)


def test_error_of_a_read_is_raised():
    async def fail(note_progress):
        raise KeyError("rows")

    async def play(clock):
        with pytest.raises(KeyError):
            await PatientReads().read("servers", 0, fail, CALL_TIMEOUT_SECONDS)

    run_virtually(play)


def test_cancelled_caller_leaves_no_read_behind():
    async def play(clock):
        table = Table(LOST)
        work = PatientReads().read("servers", 0, table.work, CALL_TIMEOUT_SECONDS)
        task = asyncio.create_task(work)
        await asyncio.sleep(0.1)
        task.cancel()
        await asyncio.sleep(0.1)
        assert (table.begun, table.running) == (1, 0)

    run_virtually(play)


def test_slow_store_is_logged_once_until_it_is_fast_again():
    async def play(clock):
        reads = PatientReads()
        for seconds in (0.7, 0.7, 0.01, 0.7):
            await try_until_answered(reads, Table(seconds))

    with capture_all_logs() as logs:
        run_virtually(play)
    expected = ["store_read_silent", "store_read_late"] * 2
    assert [line["event"] for line in logs] == expected
    assert {line["table"] for line in logs} == {"servers"}


class SilentCalls:
    """Calls to a store that gets none of them until some time, and then is slow.

    :ivar made: number of calls.
    """

    def __init__(self, clock, returns_at, seconds):
        self.clock, self.returns_at, self.seconds = clock, returns_at, seconds
        self.made = 0

    async def get(self, path, query, timeout=CALL_TIMEOUT_SECONDS):
        self.made += 1
        is_lost = self.clock.monotonic() < self.returns_at
        waits = int(query.get("wait_ms", "0")) / 1000.0
        seconds = LOST if is_lost else waits + self.seconds
        await asyncio.sleep(min(seconds, timeout))
        if seconds > timeout:
            return Err(CallFault.TIMEOUT)
        return Ok(StoreAnswer(200, 5, (StoredRow("a", 5, b"{}"),)))


def play_outage(returns_at, seconds, play_seconds):
    """Return the calls made and when a host that starts in an outage has targets."""

    async def play(clock):
        calls = SilentCalls(clock, returns_at, seconds)
        store = PlatformStore(None, "")
        store._calls = calls
        directory, reading = Directory(), asyncio.Event()
        reading.set()
        waits = choose_waits(3.0, 2.0)
        follower = TargetFollower(
            store, directory, clock, random.Random(1), reading, waits
        )
        task = asyncio.create_task(follower.run())
        while not directory.has_targets and clock.monotonic() < play_seconds:
            await asyncio.sleep(0.01)
        task.cancel()
        return calls.made, clock.monotonic()

    return run_virtually(play)


@pytest.mark.parametrize("seconds", [0.004, 0.24])
def test_host_has_targets_within_two_seconds_of_the_end_of_an_outage(seconds):
    for tenths in range(10, 100, 3):
        _, known_at = play_outage(tenths / 10.0, seconds, 20.0)
        assert known_at <= tenths / 10.0 + 2.0


def test_host_has_targets_soon_after_an_outage_that_leaves_the_store_slow():
    for tenths in range(10, 100, 3):
        _, known_at = play_outage(tenths / 10.0, 0.7, 20.0)
        assert known_at <= tenths / 10.0 + 3.0


def test_calls_in_an_outage_are_no_more_than_the_pauses_allow():
    made, _ = play_outage(LOST, 0.0, 60.0)
    shortest_round = CALL_TIMEOUT_SECONDS + 0.6
    assert made <= 60.0 / shortest_round + 2


def test_host_of_a_store_with_slow_whole_reads_becomes_ready_and_follows_changes():
    async def scenario():
        async with run_site() as site:
            site.store.delays["/rows-get"] = 0.7
            host = await site.add_host("late", "north")
            await site.wait_until(lambda: host.is_ready)
            directory = host.parts.runs.directory
            site.store.refuse = 503
            for follower in (host.parts.configuration, host.parts.targets):
                await site.wait_until(lambda item=follower: item.dependency.is_lost)
            desk = await site.add_engine("x", "north", (0, 8))
            site.store.put("op", "config", build_configuration(version=4))
            site.store.compact()
            site.store.refuse = None
            await site.wait_until(lambda: directory.version == 4)
            await site.wait_until(lambda: "x" in directory.registry.targets)
            site.register_target(desk, "model", "north", phase="draining")
            await site.wait_until(lambda: "x" not in directory.registry.targets)

    run_scenario(scenario())


@pytest.mark.parametrize("follower_type", [ConfigurationFollower, TargetFollower])
def test_slow_feed_without_news_is_answered(follower_type):
    async def play(clock):
        calls = SilentCalls(clock, 0.0, 0.7)
        store = PlatformStore(None, "")
        store._calls = calls
        read = {
            ConfigurationFollower: store.wait_configuration,
            TargetFollower: store.wait_targets,
        }[follower_type]
        waits = choose_waits(3.0, 2.0)
        seconds = min(waits.configuration, waits.targets)
        assert (await read(4, seconds)).err() is FeedFault.UNAVAILABLE
        await asyncio.sleep(PAUSE_SECONDS)
        assert (await read(4, seconds)).is_ok()
        assert calls.made == 1

    run_virtually(play)


def test_changes_reach_a_host_whose_feeds_are_slow():
    async def scenario():
        async with run_site(desks=1) as site:
            directory = site.hosts[0].parts.runs.directory
            await site.wait_until(lambda: "d0" in directory.registry.targets)
            site.store.delays["/rows-feed"] = 0.7
            for version in (4, 5, 6):
                site.store.put("op", "config", build_configuration(version))
                await site.wait_until(lambda item=version: directory.version == item)
            site.register_target(site.desks[0], "desk", "north", phase="draining")
            await site.wait_until(lambda: not directory.registry.targets)

    run_scenario(scenario())
