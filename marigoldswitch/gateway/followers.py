"""Long polling of the store's feeds of the configuration and the targets."""

import asyncio
import random
from collections.abc import Callable

import structlog
from msgspec import Struct
from result import Err, Ok

from marigoldswitch.core.ports import Clock
from marigoldswitch.gateway.directory import Directory
from marigoldswitch.gateway.ports import FeedFault, PlatformFeeds, TargetChanges

logger = structlog.get_logger(__name__)

CONFIGURATION_WAIT_SHARE = 0.65
"""Time that a read waits for a configuration, as a share of the time after trouble
within which a host must be up to date again. A silent connection is noticed half a
second after the wait, and a reconnection must fit in too. Reads are paid for, so they
are as rare as that time allows."""
TARGETS_WAIT_SHARE = 0.4
"""The same for the targets. It is shorter because a leaving engine stays in use for up
to 0.8 s after it was seen to leave, which must fit in as well."""
RETRY_SHARE = 0.5
"""Longest pause after a failed read, as a share of the time after trouble within which
a host must be up to date again: it may hear none of those that retry sooner."""
READ_PAUSE_SHARE = 0.075
"""Pause between two reads of the targets, as a share of the time after which a leaving
target must get no more work. Changes that come in series, as at a start, are then read
together."""


RETRY_SECONDS = 0.25
"""Pause after a failed read, in seconds. Up to half as much is added at random, so that
hosts don't all return to a recovering store at once."""
OUTAGE_RETRY_SECONDS = 0.6
"""The same once ``FAILURES_IN_OUTAGE`` reads in a row have failed. It is longer because
refused calls, too, are paid for and limited."""
FAILURES_IN_OUTAGE = 3


class Waits(Struct, frozen=True):
    """How long reads of the store wait, in seconds.

    :param configuration: for a newer configuration.
    :param targets: for changes of the targets.
    :param pause: between two reads of the targets, and after one that has brought a
        configuration.
    :param retry: longest pause after a failed read.
    """

    configuration: float
    targets: float
    pause: float
    retry: float = float("inf")


def choose_waits(touch_seconds: float, leaving_seconds: float) -> Waits:
    """Return the longest waits that the bounds of a deployment allow.

    :param touch_seconds: after trouble, within which a host must be up to date again.
    :param leaving_seconds: after which a leaving target must get no more work.
    """
    return Waits(
        CONFIGURATION_WAIT_SHARE * touch_seconds,
        TARGETS_WAIT_SHARE * touch_seconds,
        READ_PAUSE_SHARE * leaving_seconds,
        RETRY_SHARE * touch_seconds,
    )


class Dependency:
    """Tracks whether the store answers one kind of read, and logs when that changes.

    :param name: of the kind of read, for the log.
    :ivar failures: number of failed reads since the last that was answered.
    :ivar is_proven: a read has been answered since this host began to read.
    """

    def __init__(self, name: str) -> None:
        self.failures = 0
        self.is_proven = False
        self._name = name

    @property
    def is_lost(self) -> bool:
        """Return whether the last read failed, or none has been answered yet."""
        return self.failures > 0 or not self.is_proven

    def note_success(self) -> None:
        """Record that a read was answered."""
        if self.failures:
            logger.info("dependency_back", what=self._name, failures=self.failures)
        self.failures, self.is_proven = 0, True

    def note_failure(self, why: str) -> None:
        """Record that a read failed.

        :param why: the fault, for the log.
        """
        if self.failures == 0:
            logger.warning("dependency_lost", what=self._name, why=why)
        self.failures += 1

    def choose_pause(self, source: random.Random, backoff_factor: float = 1.0) -> float:
        """Return the seconds until the next read.

        :param source: of the random part.
        :param backoff_factor: by which a host waits longer that is not among the first
            readers.
        """
        is_outage = self.failures >= FAILURES_IN_OUTAGE
        pause = OUTAGE_RETRY_SECONDS if is_outage else RETRY_SECONDS
        return backoff_factor * pause * (1.0 + 0.5 * source.random())


def limit_pause(pause: float, longest: float, spent: float) -> float:
    """Return the pause after a failed read; all values are in seconds.

    A read that got no answer for long has been a pause in itself.

    :param longest: pause that is allowed.
    :param spent: time that the read took.
    """
    waited = max(0.0, spent - OUTAGE_RETRY_SECONDS)
    return max(RETRY_SECONDS, min(pause, longest) - waited)


class ConfigurationFollower:
    """Puts each new configuration of the store in force.

    :param reading: set while this host must read the store itself.
    :ivar get_backoff_factor: returns the factor by which this host waits longer after
        a number of failed reads in a row.
    :ivar waits: how long its reads wait.
    """

    def __init__(
        self,
        feeds: PlatformFeeds,
        directory: Directory,
        source: random.Random,
        reading: asyncio.Event,
        waits: Waits,
    ) -> None:
        self.dependency = Dependency("configuration feed")
        self.waits = waits
        self._reading = reading
        self.get_backoff_factor: Callable[[int], float] = lambda failures: 1.0
        self._feeds = feeds
        self._directory = directory
        self._source = source
        self._revision = 0

    async def run(self) -> None:
        """Follow the feed until cancelled."""
        while True:
            if not self._reading.is_set():
                self.dependency.is_proven = False
            await self._reading.wait()
            began = asyncio.get_running_loop().time()
            try:
                await self.poll_once()
            except Exception:
                logger.exception("follower_failed", what="configuration feed")
                await self._pause_after("error", began)

    async def poll_once(self) -> None:
        """Wait for a newer configuration once, and put it in force."""
        began = asyncio.get_running_loop().time()
        # The first read isn't to wait: it shows whether the store answers.
        wait = self.waits.configuration if self.dependency.is_proven else 0.0
        read = await self._feeds.wait_configuration(self._revision, wait)
        match read:
            case Ok((stored, revision)):
                if stored is not None:
                    self._directory.adopt(stored, "store")
                self.dependency.note_success()
                self._revision = max(revision, self._revision)
                if stored is not None:
                    # Each read returns the whole configuration. Without a pause, a
                    # series of changes would fill a small host's link for seconds.
                    await asyncio.sleep(self.waits.pause)
            case Err(FeedFault.HISTORY_GONE):
                logger.info("history_gone", what="configuration feed")
                self._revision = 0
            case Err(FeedFault.UNREADABLE):
                # The store answers. If it counted as lost, no host would know what it
                # holds, and all would read.
                self.dependency.note_success()
                await asyncio.sleep(self._choose_unreadable_pause())
            case Err(fault):
                await self._pause_after(fault.value, began)

    def _choose_unreadable_pause(self) -> float:
        """Return the seconds until a version that can't be read is read again."""
        return OUTAGE_RETRY_SECONDS * (1.0 + 0.5 * self._source.random())

    async def _pause_after(self, why: str, began: float) -> None:
        """Record that a read failed, and wait until the next one.

        :param began: when it began, in seconds of the event loop's clock.
        """
        self.dependency.note_failure(why)
        backoff_factor = self.get_backoff_factor(self.dependency.failures)
        pause = self.dependency.choose_pause(self._source, backoff_factor)
        spent = asyncio.get_running_loop().time() - began
        await asyncio.sleep(limit_pause(pause, self.waits.retry, spent))


class TargetFollower:
    """Keeps the registry of targets up to date with the store.

    :param reading: set while this host must read the store itself.
    :ivar get_backoff_factor: returns the factor by which this host waits longer after
        a number of failed reads in a row.
    :ivar get_pause_factor: returns the factor by which it pauses longer between reads.
    :ivar waits: how long its reads wait.
    """

    def __init__(
        self,
        feeds: PlatformFeeds,
        directory: Directory,
        clock: Clock,
        source: random.Random,
        reading: asyncio.Event,
        waits: Waits,
    ) -> None:
        self.dependency = Dependency("targets feed")
        self.waits = waits
        self._reading = reading
        self.get_backoff_factor: Callable[[int], float] = lambda failures: 1.0
        self.get_pause_factor: Callable[[], float] = lambda: 1.0
        self._answered_at = clock.monotonic()
        self._feeds = feeds
        self._directory = directory
        self._clock = clock
        self._source = source
        self._revision = 0
        self._applied_revision = 0
        """Revision of the registry that the store's answers have led to."""

    async def run(self) -> None:
        """Follow the feed until cancelled."""
        while True:
            if not self._reading.is_set():
                self.dependency.is_proven = False
            await self._reading.wait()
            began = asyncio.get_running_loop().time()
            try:
                await self.poll_once()
            except Exception:
                logger.exception("follower_failed", what="targets feed")
                self.dependency.note_failure("error")
            spent = asyncio.get_running_loop().time() - began
            await asyncio.sleep(self._choose_pause(spent))

    async def poll_once(self) -> None:
        """Wait for changes of the targets once, and apply them."""
        wait = self.waits.targets if self.dependency.is_proven else 0.0
        read = await self._feeds.wait_targets(self._revision, wait)
        now = self._clock.monotonic()
        registry = self._directory.registry
        match read:
            case Ok(changes):
                # A late answer may be older than what peers have brought meanwhile.
                if max(changes.revision, self._applied_revision) >= registry.revision:
                    apply_changes(self._directory, changes, now)
                    self._applied_revision = registry.revision
                self.dependency.note_success()
                self._answered_at = now
                self._revision = changes.revision
            case Err(FeedFault.HISTORY_GONE):
                logger.info("history_gone", what="targets feed")
                if self._revision:
                    self.dependency.note_success()
                self._revision = 0
                self._applied_revision = registry.revision
            case Err(fault):
                registry.note_outage(now)
                self.dependency.note_failure(fault.value)
        registry.expire(now)

    @property
    def revision(self) -> int:
        """Return the store's revision up to which this host has read; 0 for none."""
        return self._revision

    def measure_outage(self) -> float:
        """Return the seconds since the store last answered; 0 while it does."""
        if not self.dependency.failures:
            return 0.0
        return self._clock.monotonic() - self._answered_at

    def _choose_pause(self, spent: float) -> float:
        """Return the pause after a read, in seconds.

        :param spent: time that the read took.
        """
        if self.dependency.is_lost:
            backoff_factor = self.get_backoff_factor(self.dependency.failures)
            pause = self.dependency.choose_pause(self._source, backoff_factor)
            return limit_pause(pause, self.waits.retry, spent)
        return self.waits.pause * self.get_pause_factor() if self._revision else 0.0


def apply_changes(directory: Directory, changes: TargetChanges, now: float) -> None:
    """Apply changes from the store to the registry of targets.

    :param now: monotonic time in seconds.
    """
    registry = directory.registry
    if changes.is_full_list:
        registry.replace_all(changes.rows, changes.revision, now)
        directory.has_targets = True
        return
    for row in changes.rows:
        registry.put(row, now)
    for name in changes.removed:
        registry.remove(name, now)
    if changes.rows or changes.removed:
        # Changes elsewhere in the store don't count, as peers would fetch for nothing.
        registry.revision = max(registry.revision, changes.revision)
