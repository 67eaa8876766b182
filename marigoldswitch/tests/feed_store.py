"""The platform's store in memory, with the faults that its feeds may have."""

import asyncio
from collections import deque

import orjson
from msgspec import Struct
from msgspec.structs import replace
from result import Err, Ok

from marigoldswitch.core.catalogue import Target
from marigoldswitch.core.ids import DataCentre, ServiceName, TargetId
from marigoldswitch.core.registry import TargetRow
from marigoldswitch.core.routes import ClientLimits, RoutingTable
from marigoldswitch.gateway.ports import (
    FeedFault,
    StoredConfiguration,
    TargetChanges,
)
from marigoldswitch.platform.store import CALL_TIMEOUT_SECONDS, FEED_SLACK_SECONDS

STORE_LATENCY = 0.01
CONFIGURATION, TARGETS, START = "configuration", "targets", "start"
"""Kinds of calls."""


class Call(Struct, frozen=True):
    """A call of a host to the store."""

    at: float
    host: str
    kind: str


class Write(Struct, frozen=True):
    """A change that hosts must apply within a bound.

    :param key: version of the configuration, or name of a target that leaves.
    """

    at: float
    kind: str
    key: int | str


def build_configuration(version):
    table = RoutingTable(version, (), {}, {}, ClientLimits())
    return StoredConfiguration(table, orjson.dumps({"version": version}))


class FeedStore:
    """One history of configurations and targets, read by long polls.

    :ivar calls: all calls so far, also those that fail.
    :ivar rows: the rows of the targets.
    :ivar writes: the changes that hosts must apply, the oldest first.
    :ivar refused_until: instant until which the calls of a host fail.
    :ivar hung_until: instant until which the calls of a host, open ones too, get no
        answer and end at their time limit.
    """

    def __init__(self, clock):
        self.calls, self.writes = [], []
        self.refused_until, self.hung_until = {}, {}
        self.revision = 0
        self._clock = clock
        self._configuration = None
        self.rows = {}
        self._newest = {CONFIGURATION: 0, TARGETS: 0}
        self._changed = []
        """Revision and name of each change of a target."""
        self._history_from = 0
        self._written = asyncio.Event()
        self.write_configuration()

    # Changes.

    def write_configuration(self):
        version = self._configuration.table.version + 1 if self._configuration else 1
        self._note_write(CONFIGURATION)
        self._configuration = build_configuration(version)
        self.writes.append(Write(self._clock.now, CONFIGURATION, version))

    def put_target(self, name):
        self._note_write(TARGETS, name)
        target = Target(
            name, ServiceName("desk"), DataCentre("dc-0"), f"{name}:80", slots=1
        )
        self.rows[name] = TargetRow(target, False, self.revision)

    def let_leave(self, name):
        """Record that a target leaves."""
        self._note_write(TARGETS, name)
        row = self.rows[name]
        self.rows[name] = replace(row, leaving=True, revision=self.revision)
        self.writes.append(Write(self._clock.now, TARGETS, name))

    def remove_target(self, name):
        self._note_write(TARGETS, name)
        del self.rows[name]

    def list_ready(self):
        return [name for name, row in self.rows.items() if not row.leaving]

    def drop_history(self):
        """Forget which changes were made; hosts must read all rows again."""
        self._history_from = self.revision + 1
        self._notify()

    def _note_write(self, kind, name=None):
        self.revision += 1
        self._newest[kind] = self.revision
        if name is not None:
            self._changed.append((self.revision, name))
        self._notify()

    def _notify(self):
        self._written.set()
        self._written = asyncio.Event()

    # Calls.

    def note_call(self, host, kind):
        self.calls.append(Call(self._clock.now, host, kind))

    def answers(self, host):
        """Return whether a host that calls now gets an answer."""
        now = self._clock.now
        until = max(self.refused_until.get(host, now), self.hung_until.get(host, now))
        return until <= now

    async def register(self, host):
        """Write the row of a host and list the others; return whether it worked."""
        for _ in range(2):
            self.note_call(host, START)
            await asyncio.sleep(STORE_LATENCY)
        return self.answers(host)

    async def read(self, host, kind, revision, seconds):
        """Answer a call to a feed.

        :param revision: last known one; 0 to read all rows at once.
        :param seconds: longest time to wait for a change.
        """
        self.note_call(host, kind)
        begun = self._clock.now
        limit = seconds + FEED_SLACK_SECONDS if revision else CALL_TIMEOUT_SECONDS
        await asyncio.sleep(STORE_LATENCY)
        if self._is_refused(host):
            return Err(FeedFault.UNAVAILABLE)
        if revision:
            await self._wait_change(kind, revision, begun + seconds)
        if self.hung_until.get(host, begun) > begun:
            await asyncio.sleep(begun + limit - self._clock.now)
            return Err(FeedFault.UNAVAILABLE)
        if self._is_refused(host):
            return Err(FeedFault.UNAVAILABLE)
        if 0 < revision < self._history_from:
            return Err(FeedFault.HISTORY_GONE)
        if kind == CONFIGURATION:
            is_new = self._newest[kind] > revision
            return Ok((self._configuration if is_new else None, self.revision))
        return Ok(self._list_changes(revision))

    def _is_refused(self, host):
        return self.refused_until.get(host, 0.0) > self._clock.now

    async def _wait_change(self, kind, revision, until):
        while max(self._newest[kind], self._history_from - 1) <= revision:
            try:
                async with asyncio.timeout(until - self._clock.now):
                    await self._written.wait()
            except TimeoutError:
                return

    def _list_changes(self, revision):
        if revision == 0:
            return TargetChanges([*self.rows.values()], [], self.revision, True)
        names = dict.fromkeys(name for at, name in self._changed if at > revision)
        rows = [self.rows[name] for name in names if name in self.rows]
        removed = [TargetId(name) for name in names if name not in self.rows]
        return TargetChanges(rows, removed, self.revision)

    # What came of it.

    def count_busiest_second(self):
        """Return the most calls of all hosts together in any second."""
        most, window = 0, deque()
        for call in self.calls:
            window.append(call.at)
            while window[0] <= call.at - 1.0:
                window.popleft()
            most = max(most, len(window))
        return most


class HostFeeds:
    """The feeds as one host reads them; a frozen process neither calls nor hears."""

    def __init__(self, store, host):
        self._store, self._host = store, host

    async def wait_configuration(self, revision, seconds):
        return await self._read(CONFIGURATION, revision, seconds)

    async def wait_targets(self, revision, seconds):
        return await self._read(TARGETS, revision, seconds)

    def decode_configuration(self, content):
        return Ok(build_configuration(orjson.loads(content)["version"]))

    async def _read(self, kind, revision, seconds):
        await self._host.thaw()
        read = await self._store.read(self._host.name, kind, revision, seconds)
        await self._host.thaw()
        return read
