"""When this host reads the store itself instead of relying on its peers."""

import asyncio

import structlog
from msgspec import Struct

from marigoldswitch.core.lags import choose_retry_factor
from marigoldswitch.core.ports import Clock
from marigoldswitch.gateway.followers import RETRY_SECONDS
from marigoldswitch.gateway.roster import Roster
from marigoldswitch.gateway.state_sync import StateSync

logger = structlog.get_logger(__name__)


class ReadSwitches(Struct, frozen=True):
    """Set while this host reads a kind of state from the store."""

    configuration: asyncio.Event
    targets: asyncio.Event


class StoreReading:
    """Starts and stops this host's reads of the store.

    A host reads if it is one of the readers of its data centre, and also for as long as
    its peers don't bring it what the store holds.

    :param reads_per_second: reads that the store allows all hosts together.
    """

    def __init__(
        self,
        clock: Clock,
        roster: Roster,
        sync: StateSync,
        switches: ReadSwitches,
        reads_per_second: float,
    ) -> None:
        self._clock = clock
        self._roster = roster
        self._sync = sync
        self._switches = switches
        self._reads = reads_per_second

    @property
    def is_active(self) -> bool:
        """Return whether this host reads anything from the store."""
        return self._switches.configuration.is_set() or self._switches.targets.is_set()

    def choose_backoff_factor(self, failures: int) -> float:
        """Return the factor by which this host waits longer after a failed read.

        It is small after a single failure, and for as long as a peer has newer state:
        then the store answers others.

        :param failures: reads of this kind that have failed in a row.
        """
        factor = self._roster.choose_backoff_factor()
        is_missing = self._sync.is_missing(self._clock.monotonic())
        if failures > 1 and not is_missing:
            return factor
        hosts = self._roster.count_members()
        return min(factor, choose_retry_factor(hosts, self._reads, RETRY_SECONDS))

    def update(self) -> None:
        """Start or stop the reads, as the hosts' roster and the lag require."""
        now = self._clock.monotonic()
        is_reader = self._roster.must_read()
        if is_reader:
            self._sync.note_own_reads(now)
        for what, switch, is_left_behind in (
            (
                "configuration",
                self._switches.configuration,
                self._sync.must_read_configuration(now),
            ),
            ("targets", self._switches.targets, self._sync.must_read_targets(now)),
        ):
            must_read = is_reader or is_left_behind
            if must_read == switch.is_set():
                continue
            if must_read:
                switch.set()
            else:
                switch.clear()
            logger.info(
                "store_reading_changed",
                what=what,
                reads=must_read,
                is_reader=is_reader,
                left_behind=is_left_behind,
            )
