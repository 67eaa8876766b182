"""Hosts that follow the platform's store, in virtual time, with faults.

Followers, state sync, rosters and the digest exchange are those of the gateway; the
store and the network between the hosts are in memory. Each step checks what every host
has in force.
"""

import asyncio
import logging
import random

import structlog
from msgspec import Struct

from marigoldswitch.core.gateway_messages import (
    ConfigurationContent,
    FetchConfiguration,
    FetchTargets,
    TargetsContent,
)
from marigoldswitch.core.ids import TargetId
from marigoldswitch.core.loans import LoanBook
from marigoldswitch.core.registry import GRACE_SECONDS
from marigoldswitch.gateway.directory import Directory
from marigoldswitch.gateway.followers import (
    ConfigurationFollower,
    TargetFollower,
    choose_waits,
)
from marigoldswitch.gateway.hosts import REGISTER_RETRY_SECONDS
from marigoldswitch.gateway.ports import Addresses, HostRecord, HostSettings, Identity
from marigoldswitch.gateway.store_reading import ReadSwitches, StoreReading
from marigoldswitch.tests.feed_store import (
    CONFIGURATION,
    START,
    TARGETS,
    FeedStore,
    HostFeeds,
)
from marigoldswitch.tests.fleet import LATENCY, DigestFleet, DigestHost
from marigoldswitch.tools.bench.virtual import VirtualTime

STEP = 0.02
SEEDS = 3
"""Hosts whose addresses are in the settings of all others."""
CONFIGURATION_SECONDS = 2.0
"""Within which a configuration must be in force on each host."""
LEAVING_SECONDS = 2.0
"""After which a leaving target must get no more work."""
REUSE_SECONDS = 0.8
"""Time for which an engine stays in use after it was seen to leave."""
CONTACT_SECONDS = 3.0
"""Time without failures after which a host must have applied what the store holds."""
READS_PER_SECOND = 2000
"""Calls of all hosts together that the store allows."""
COPIES = (ConfigurationContent, TargetsContent)
REQUESTS = (FetchConfiguration, FetchTargets)


class FeedHost(DigestHost):
    """One process of a host that follows the store.

    :ivar troubled_at: when it was last frozen, started, or without answers of the
        store.
    """

    def __init__(self, fleet, name, centre):
        self.clock, self.name = fleet.clock, name
        self.troubled_at = self.clock.now
        self.directory = Directory()
        switches = ReadSwitches(asyncio.Event(), asyncio.Event())
        settings = HostSettings(
            Identity(name, name, centre, "region"),
            Addresses("", "", name),
            touch_seconds=CONTACT_SECONDS,
            leaving_seconds=LEAVING_SECONDS,
        )
        waits = choose_waits(settings.touch_seconds, settings.leaving_seconds)
        source = random.Random(f"{fleet.seed}{name}{self.clock.now}")
        feeds = HostFeeds(fleet.store, self)
        self.configuration = ConfigurationFollower(
            feeds, self.directory, source, switches.configuration, waits
        )
        self.targets = TargetFollower(
            feeds, self.directory, self.clock, source, switches.targets, waits
        )
        super().__init__(
            fleet,
            name,
            centre,
            source,
            LoanBook(source.getrandbits(32)),
            directory=self.directory,
            feeds=feeds,
            configuration=self.configuration,
            targets=self.targets,
        )
        self.next_tick += source.uniform(0.0, self.spread.tick_seconds)
        roster = self.spread.roster
        self.spread.sync.use_bounds(
            fleet.configuration_seconds, LEAVING_SECONDS - REUSE_SECONDS
        )
        self.reading = StoreReading(
            self.clock, roster, self.spread.sync, switches, READS_PER_SECOND
        )
        followers = (self.configuration, self.targets)
        for follower in followers:
            follower.get_backoff_factor = self.reading.choose_backoff_factor
        self.targets.get_pause_factor = roster.choose_pause_factor
        for seed in fleet.list_seeds():
            self.spread.add_peer(HostRecord(seed, ""))
        self.spread.announce()
        self._tasks = [
            fleet.clock.loop.create_task(work)
            for work in (*(item.run() for item in followers), self._register(fleet))
        ]

    def tick(self):
        super().tick()
        self._update_reading()
        for task in self._tasks:
            if task.done():
                task.result()

    def kill(self):
        for task in self._tasks:
            task.cancel()

    async def thaw(self):
        """Wait while the process is frozen."""
        while self.frozen_until > self.clock.now:
            await asyncio.sleep(self.frozen_until - self.clock.now)

    async def _register(self, fleet):
        """Write this host's row and meet the others, as ``GatewayHost`` does."""
        while not await fleet.store.register(self.name):
            await asyncio.sleep(REGISTER_RETRY_SECONDS)
        await self.thaw()
        self.meet(fleet.places)
        self._update_reading()

    def _update_reading(self):
        """Start or stop reading the store, as ``GatewayHost`` does after each tick."""
        self.directory.registry.expire(self.clock.monotonic())
        self.reading.update()


class Disturbance(Struct):
    """What the network does to some messages for a while.

    :param senders: hosts whose messages are concerned; ``None`` for all.
    :param receivers: hosts that the messages are for; ``None`` for all.
    :param kinds: types of the messages; empty for all.
    :param until: when it ends.
    :param late: seconds by which they are late at most; 0 if they are lost.
    """

    senders: frozenset | None
    receivers: frozenset | None
    kinds: tuple
    until: float
    late: float = 0.0

    def concerns(self, sender, to, message):
        return (
            (self.senders is None or sender in self.senders)
            and (self.receivers is None or to in self.receivers)
            and (not self.kinds or isinstance(message, self.kinds))
        )


class FeedFleet(DigestFleet):
    """Hosts that follow the store, while network, hosts and store have faults.

    A host has each configuration in force within ``configuration_seconds``, and has
    marked a target that leaves ``REUSE_SECONDS`` before it must get no more work.
    Excused are only hosts that within the last ``CONTACT_SECONDS`` were started or
    frozen, or got no answers of the store because it refused them or their calls hung.
    What happens to messages or to other hosts excuses nobody. Where a row has vanished
    before such a host saw its target leave, it has ``GRACE_SECONDS`` more.

    :param configuration_seconds: within which a configuration must be in force.
    :ivar violations: what hosts did not keep to.
    :ivar faults: the faults so far, to be printed.
    """

    step_seconds = STEP

    def __init__(self, seed, sizes, configuration_seconds=CONFIGURATION_SECONDS):
        self.configuration_seconds = configuration_seconds
        super().__init__(seed, sizes, VirtualTime())
        self.store = FeedStore(self.clock)
        self.violations, self.faults = [], []
        self.disturbances = []
        self._seen = {}
        """What each process had last in force, to tell whether it goes back."""
        self._blamed = set()
        self._log_configuration = structlog.get_config()

    def __enter__(self):
        """Start all hosts at once, without their logs; they meet and read."""
        structlog.configure(
            wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL)
        )
        for number in range(10):
            self.store.put_target(TargetId(f"t-{number}"))
        for name in self.places:
            self.start(name)
        self.run(CONTACT_SECONDS + 0.2)
        return self

    def __exit__(self, *_):
        self.clock.close()
        structlog.configure(**self._log_configuration)

    # Course of events.

    def list_seeds(self):
        return list(self.places)[:SEEDS]

    def start(self, name):
        """Start the process of a host, of which the others know or hear later."""
        self.hosts[name] = FeedHost(self, name, self.places[name])

    def kill(self, names):
        self._note_fault("kill", names)
        for name in names:
            if name in self.hosts:
                self.hosts[name].kill()
        super().kill(names)

    def run(self, seconds):
        self.clock.loop.run_until_complete(self._run(seconds))

    async def _run(self, seconds):
        end = self.clock.now + seconds - STEP / 2
        while self.clock.now < end:
            await asyncio.sleep(STEP)
            self.disturbances = [
                item for item in self.disturbances if item.until > self.clock.now
            ]
            self.step()
            self._check()

    def change(self):
        """Write a configuration, let one target leave and add another."""
        self.store.write_configuration()
        self.store.let_leave(self.store.list_ready()[0])
        self.store.put_target(TargetId(f"t-{self.store.revision}"))

    def remove_left(self):
        """Remove the rows of targets that have ended after they left."""
        for name in self._find_due(TARGETS, LEAVING_SECONDS):
            if name in self.store.rows:
                self.store.remove_target(name)

    # Faults; without a duration they last for good.

    def lose(self, senders=None, receivers=None, kinds=(), seconds=float("inf")):
        """Lose what some hosts send to others, in this direction only."""
        self._disturb(senders, receivers, kinds, seconds, 0.0)

    def delay_messages(self, late, senders=None, receivers=None, seconds=float("inf")):
        """Deliver messages late by up to some seconds."""
        self._disturb(senders, receivers, (), seconds, late)

    def _disturb(self, senders, receivers, kinds, seconds, late):
        what = f"{late or 'lost'} {[kind.__name__ for kind in kinds]} for {seconds}"
        self._note_fault(what, senders, receivers)
        self.disturbances.append(
            Disturbance(
                None if senders is None else frozenset(senders),
                None if receivers is None else frozenset(receivers),
                kinds,
                self.clock.now + seconds,
                late,
            )
        )

    def _note_fault(self, what, *hosts):
        self.faults.append(f"{self.clock.now:.2f}: {what} {hosts}")

    def freeze(self, names, seconds=float("inf")):
        self._note_fault(f"freeze for {seconds}", names)
        for name in names:
            if name in self.hosts:
                host = self.hosts[name]
                host.frozen_until = max(host.frozen_until, self.clock.now + seconds)

    def refuse(self, names, seconds=float("inf")):
        """Have the store refuse the calls of some hosts."""
        self._note_fault(f"refuse for {seconds}", names)
        self.store.refused_until |= dict.fromkeys(names, self.clock.now + seconds)

    def hang(self, names, seconds=float("inf")):
        """Leave the calls of some hosts to the store without an answer."""
        self._note_fault(f"hang for {seconds}", names)
        self.store.hung_until |= dict.fromkeys(names, self.clock.now + seconds)

    def send(self, sender, to, message):
        late = [0.0]
        for item in self.disturbances:
            if item.concerns(sender.name, to, message):
                if not item.late:
                    return
                late.append(self.rng.uniform(0.0, item.late))
        self._push(self.clock.now + LATENCY + max(late), sender.name, to, message)

    # Who reads the store.

    def list_readers(self, centre):
        """Return the first hosts by rank of a data centre, which read for all."""
        return sorted(self.list_centre(centre))[:3]

    def list_others(self, centre):
        return sorted(self.list_centre(centre))[3:]

    def list_callers(self, since):
        """Return the hosts that have read the store after some instant."""
        return {
            call.host
            for call in self.store.calls
            if call.at > since and call.kind != START
        }

    # Checks.

    def is_excused(self, host, seconds=CONTACT_SECONDS):
        return self.clock.now - host.troubled_at < seconds

    def _check(self):
        now = self.clock.now
        due_configuration = self._find_due(CONFIGURATION, self.configuration_seconds)
        version = due_configuration[-1] if due_configuration else 0
        gone = set(self._find_due(TARGETS, LEAVING_SECONDS - REUSE_SECONDS))
        for host in self.hosts.values():
            if host.frozen_until > now or not self.store.answers(host.name):
                host.troubled_at = now
            self._check_order(host)
            if self.is_excused(host):
                continue
            if not host.directory.is_complete:
                self._blame(host, "is not ready")
            if host.directory.version < version:
                self._blame(host, f"has no configuration {version}")
            used = gone & host.directory.registry.targets.keys()
            if self.is_excused(host, CONTACT_SECONDS + GRACE_SECONDS):
                used &= self.store.rows.keys()
            for name in sorted(used):
                self._blame(host, f"uses {name}, which leaves")

    def _check_order(self, host):
        """Check that nothing which a process has in force is older than before."""
        registry = host.directory.registry
        present = (host.directory.version, registry.revision, len(registry.targets))
        version, revision, number, left = self._seen.get(host, (0, 0, 0, set()))
        if present == (version, revision, number):
            return
        if present < (version, 0, 0) or registry.revision < revision:
            self._blame(host, f"went back to {present[:2]}")
        for name in sorted(left & registry.targets.keys()):
            self._blame(host, f"took {name} back")
        left |= {name for name, row in registry.rows.items() if row.leaving}
        self._seen[host] = (*present, left)

    def _find_due(self, kind, seconds):
        """Return the changes of a kind that all hosts must know by now."""
        latest = self.clock.now - seconds - STEP / 2
        return [
            item.key
            for item in self.store.writes
            if item.kind == kind and item.at <= latest
        ]

    def _blame(self, host, what):
        """Record a violation, once for each process and thing."""
        if (host, what) not in self._blamed:
            self._blamed.add((host, what))
            self.violations.append(f"{self.clock.now:.2f}: {host.name} {what}")
