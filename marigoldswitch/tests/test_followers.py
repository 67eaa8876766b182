"""Followers of the store's feeds and other background tasks go on after errors."""

import asyncio
import random
from types import SimpleNamespace

import pytest
from result import Err, Ok

from marigoldswitch.core.revisions import make_revision
from marigoldswitch.gateway.directory import Directory
from marigoldswitch.gateway.followers import (
    RETRY_SECONDS,
    ConfigurationFollower,
    TargetFollower,
    choose_waits,
)
from marigoldswitch.gateway.hosts import run_despite_errors
from marigoldswitch.gateway.ports import FeedFault, TargetChanges
from marigoldswitch.tests.gateway_site import (
    build_configuration,
    run_scenario,
    run_site,
)
from marigoldswitch.tests.helpers import capture_all_logs, run_virtually
from marigoldswitch.tests.test_store_restored import build_row

WAITS = choose_waits(3.0, 2.0)
PLAY_SECONDS = 10.0
MAX_CALLS = PLAY_SECONDS / RETRY_SECONDS
STORED = SimpleNamespace(table=SimpleNamespace(version=1, routes=()))


class FailingFeeds:
    """Feeds whose reads fail for some seconds, and then bring what the store holds."""

    def __init__(self, clock, fail, seconds):
        self.clock, self.fail, self.seconds = clock, fail, seconds
        self.calls = 0

    async def read(self, revision, seconds, news, nothing):
        self.calls += 1
        if self.clock.monotonic() < self.seconds:
            return self.fail()
        if revision:
            await asyncio.sleep(seconds)
            return Ok(nothing)
        return Ok(news)

    async def wait_configuration(self, revision, seconds):
        return await self.read(revision, seconds, (STORED, 1), (None, 1))

    async def wait_targets(self, revision, seconds):
        newest = make_revision(1, 1)
        news = TargetChanges([build_row("a", 1, 1)], [], newest, True)
        return await self.read(revision, seconds, news, TargetChanges([], [], newest))


def raise_error():
    raise KeyError("row_version")


def report_malformed():
    return Err(FeedFault.MALFORMED)


def play_follower(build, fail, seconds):
    """Return a follower, its directory, its feeds and the lines logged."""

    async def play(clock):
        feeds, directory = FailingFeeds(clock, fail, seconds), Directory()
        reading = asyncio.Event()
        reading.set()
        follower = build(feeds, directory, clock, reading)
        task = asyncio.create_task(follower.run())
        await asyncio.sleep(PLAY_SECONDS)
        assert not task.done()
        task.cancel()
        return follower, directory, feeds

    with capture_all_logs() as logs:
        return *run_virtually(play), logs


def build_configuration_follower(feeds, directory, clock, reading):
    return ConfigurationFollower(feeds, directory, random.Random(1), reading, WAITS)


def build_target_follower(feeds, directory, clock, reading):
    return TargetFollower(feeds, directory, clock, random.Random(1), reading, WAITS)


FOLLOWERS = pytest.mark.parametrize(
    "build", [build_configuration_follower, build_target_follower]
)
FAULTS = pytest.mark.parametrize("fail", [raise_error, report_malformed])


@FOLLOWERS
@FAULTS
def test_follower_reads_on_after_a_failed_read(build, fail):
    follower, directory, _, logs = play_follower(build, fail, 2.0)
    assert not follower.dependency.is_lost
    assert directory.stored is STORED or set(directory.registry.targets) == {"a"}
    if fail is raise_error:
        assert any(line["event"] == "follower_failed" for line in logs)


@FOLLOWERS
@FAULTS
def test_follower_of_reads_that_all_fail_pauses_and_says_that_it_has_no_store(
    build, fail
):
    follower, _, feeds, _ = play_follower(build, fail, PLAY_SECONDS)
    assert follower.dependency.is_lost
    assert 3 <= feeds.calls <= MAX_CALLS


def test_changes_are_read_again_after_an_error_while_they_were_applied():
    async def play(clock):
        feeds, directory = FailingFeeds(clock, raise_error, 0.0), Directory()
        errors = [RuntimeError("listener")]

        def fail_once(change, target):
            if errors:
                raise errors.pop()

        directory.registry.watch(fail_once)
        reading = asyncio.Event()
        reading.set()
        follower = build_target_follower(feeds, directory, clock, reading)
        task = asyncio.create_task(follower.run())
        await asyncio.sleep(PLAY_SECONDS)
        task.cancel()
        return directory

    directory = run_virtually(play)
    assert directory.has_targets
    assert set(directory.registry.targets) == {"a"}


def test_background_task_is_started_again_after_an_error():
    runs = []

    async def work():
        runs.append(None)
        if len(runs) < 3:
            raise RuntimeError("work")

    with capture_all_logs() as logs:
        run_virtually(lambda clock: run_despite_errors(work))
    assert len(runs) == 3
    assert [line["event"] for line in logs] == ["task_failed"] * 2


def test_host_reads_the_store_again_after_an_answer_that_it_could_not_read():
    async def scenario():
        async with run_site(hosts=1) as site:
            host = site.hosts[0].parts
            for path in ("/rows-feed", "/rows-get"):
                site.store.bodies[path] = b"[]"
            for follower in (host.configuration, host.targets):
                await site.wait_until(lambda item=follower: item.dependency.is_lost)
            site.store.bodies.clear()
            site.store.put("op", "config", build_configuration(version=4))
            await site.wait_until(lambda: host.runs.directory.version == 4)

    run_scenario(scenario())


def test_store_counts_as_answering_while_its_newest_version_is_unreadable(log_lines):
    async def scenario():
        async with run_site(hosts=1) as site:
            host = site.hosts[0].parts
            await site.wait_until(lambda: host.spread._is_current)
            site.store.put("op", "config", {"version": 4})
            await site.wait_until(
                lambda: any(
                    line["event"] == "configuration_unreadable" for line in log_lines
                )
            )
            assert not host.configuration.dependency.is_lost
            assert host.spread._is_current
            site.store.put("op", "config", build_configuration(version=5))
            await site.wait_until(lambda: host.runs.directory.version == 5)

    run_scenario(scenario())


class ScriptedTargets:
    """A feed of targets that brings the next of some answers at each read."""

    def __init__(self, *answers):
        self.answers = list(answers)

    async def wait_targets(self, revision, seconds):
        return self.answers.pop(0)


def poll_all(feeds, directory, before_last):
    """Poll a follower until its feed has no more answers."""

    async def play(clock):
        follower = build_target_follower(feeds, directory, clock, asyncio.Event())
        while feeds.answers:
            if len(feeds.answers) == 1:
                before_last()
            await follower.poll_once()
        return follower

    return run_virtually(play)


def list_changes(version, names, removed=(), is_whole=False):
    rows = [build_row(name, 1, version) for name in names]
    return Ok(TargetChanges(rows, removed, make_revision(1, version), is_whole))


def take_from_peer(directory, version, names):
    rows = [build_row(name, 1, version) for name in names]
    directory.registry.replace_all(
        rows, make_revision(1, version), 0.0, is_authoritative=True
    )


@pytest.mark.parametrize("is_whole", [True, False])
def test_late_answer_does_not_undo_what_peers_have_brought_meanwhile(is_whole):
    directory = Directory()
    late = list_changes(5, ["gone", "old"], ["new"], is_whole)
    feeds = ScriptedTargets(list_changes(3, ["gone"], [], True), late)
    follower = poll_all(
        feeds, directory, lambda: take_from_peer(directory, 8, ["old", "new"])
    )
    assert set(directory.registry.targets) == {"old", "new"}
    assert not follower.dependency.is_lost
    feeds.answers.append(list_changes(9, ["newer"], ["old"]))
    run_virtually(lambda clock: follower.poll_once())
    assert set(directory.registry.targets) == {"new", "newer"}


def test_late_first_answer_does_not_undo_what_peers_have_brought_meanwhile():
    directory = Directory()
    feeds = ScriptedTargets(list_changes(5, ["gone"], [], True))
    poll_all(feeds, directory, lambda: take_from_peer(directory, 8, ["new"]))
    assert set(directory.registry.targets) == {"new"}


def test_list_of_a_store_without_eras_is_applied_after_its_versions_went_back():
    directory = Directory()

    def build_list(version, names):
        rows = [build_row(name, 0, version) for name in names]
        return Ok(TargetChanges(rows, [], version, True))

    gone = Err(FeedFault.HISTORY_GONE)
    feeds = ScriptedTargets(build_list(9, ["a", "b"]), gone, build_list(4, ["c"]))
    poll_all(feeds, directory, lambda: None)
    assert set(directory.registry.targets) == {"c"}
