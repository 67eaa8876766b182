"""Hosts that send requests to plain targets, one of which restarts, without a network.

Hosts hear of each other's usage and ramps every ``EXCHANGE`` seconds, as by a relay.
Targets queue requests beyond their slots and refuse them beyond ``MAX_QUEUE``.
"""

import heapq
import itertools
import random
from collections import Counter

from marigoldswitch.core.catalogue import Target
from marigoldswitch.core.ids import DataCentre, HostId, ServiceName, TargetId
from marigoldswitch.core.loads import Loads, Usage
from marigoldswitch.core.registry import TargetRow
from marigoldswitch.core.selection import PlainSelector
from marigoldswitch.core.send_limits import SendLimits
from marigoldswitch.gateway.directory import Directory
from marigoldswitch.gateway.statements import TargetStatements

HOME = DataCentre("north")
SERVICE = ServiceName("plain")
EXCHANGE = 0.4
SLOTS = 6
WORK = 0.045
MAX_QUEUE = 12
NAMES = [TargetId(f"t{number}") for number in range(4)]
NEW = NAMES[-1]
RESTART = 10.0


def build_row(name, born, cold_seconds=0.0):
    target = Target(name, SERVICE, HOME, f"{name}:80", SLOTS)
    return TargetRow(target, False, born, born, cold_seconds)


class PlayHost:
    """One host: what it knows of the targets and of its peers."""

    def __init__(self, number, hosts, is_paced):
        self.name = HostId(f"h{number}")
        source = random.Random(number)
        limits = SendLimits(HOME, lambda: hosts, source)
        self.directory = Directory(TargetStatements(limits), source)
        self.ramps = self.directory.ramps
        self.loads = self.ramps.loads = Loads(HOME)
        pace = self.ramps if is_paced else None
        self.selector = PlainSelector(HOME, source, pace)
        self.selector.count_hosts = lambda: hosts
        rows = [build_row(name, 1) for name in NAMES]
        self.directory.registry.replace_all(rows, 1, 0.0)
        self.directory.has_targets = True

    def choose(self, now, tried):
        self.directory.statements.limits.note_wanted(SERVICE, now)
        targets = self.directory.registry.list_targets(SERVICE)
        return self.selector.choose(targets, self.loads, set(tried), now)


class Play:
    """Requests arrive at random hosts; ``slowness(target, now, served)`` is the factor
    on the work of a request that a target begins."""

    def __init__(
        self,
        slowness,
        hosts=60,
        rate=150.0,
        is_paced=True,
        is_heard=True,
        seed=7,
    ):
        self.now, self.slowness, self.is_heard = 0.0, slowness, is_heard
        self.hosts = [PlayHost(number, hosts, is_paced) for number in range(hosts)]
        self.source = random.Random(seed)
        self.rate = rate
        self.queues = {name: [] for name in NAMES}
        self.busy, self.served, self.epoch = Counter(), Counter(), Counter()
        self.records = []
        """Target, arrival, seconds, and whether it was refused, of each sending."""
        self.shares = []
        """Time, and the mean share of the restarted target over the hosts."""
        self._events, self._ids = [], itertools.count()
        self.at(0.0, self._arrive)
        self.at(EXCHANGE, self._exchange)

    def at(self, when, work, *args):
        heapq.heappush(self._events, (when, next(self._ids), work, args))

    def run(self, until):
        while self._events and self._events[0][0] <= until:
            self.now, _, work, args = heapq.heappop(self._events)
            work(*args)

    def restart(self, born, cold_seconds=0.0, names=(NEW,)):
        for name in names:
            self.queues[name], self.busy[name], self.served[name] = [], 0, 0
            self.epoch[name] += 1
            for host in self.hosts:
                row = build_row(name, born, cold_seconds)
                host.directory.registry.put(row, self.now)

    def _arrive(self):
        self.at(self.now + self.source.expovariate(self.rate), self._arrive)
        self._send(self.source.choice(self.hosts), self.now, ())

    def _send(self, host, arrived, tried):
        target = host.choose(self.now, tried)
        if target is None:
            return
        name = target.id
        if len(self.queues[name]) >= MAX_QUEUE:
            host.selector.note_refusal(name, self.now)
            self.records.append((name, arrived, 0.0, True))
            self._send(host, arrived, (*tried, name))
            return
        host.loads.hold(name, Usage(1))
        self.queues[name].append((host, arrived, self.now))
        self._begin(name)

    def _begin(self, name):
        while self.queues[name] and self.busy[name] < SLOTS:
            item = self.queues[name].pop(0)
            self.busy[name] += 1
            self.served[name] += 1
            factor = self.slowness(name, self.now, self.served[name])
            seconds = WORK * factor * self.source.uniform(0.7, 1.3)
            self.at(self.now + seconds, self._end, name, self.epoch[name], item)

    def _end(self, name, epoch, item):
        host, arrived, sent = item
        host.loads.release(name, Usage(1))
        if epoch != self.epoch[name]:
            host.selector.note_failure(name, self.now - sent, self.now)
            return
        self.busy[name] -= 1
        host.selector.note_answer(name, self.now - sent, self.now)
        self.records.append((name, arrived, self.now - arrived, False))
        self._begin(name)

    def _exchange(self):
        self.at(self.now + EXCHANGE, self._exchange)
        now = self.now
        for host in self.hosts[1:] if self.is_heard else ():
            counts = host.ramps.counts.count_own(now)
            self.hosts[0].loads.set_peer_usage(
                host.name, HOME, dict(host.loads.own), now
            )
            self.hosts[0].ramps.counts.set_peer_counts(host.name, HOME, counts, now)
        relay = self.hosts[0]
        group = relay.ramps.counts.sum_home(now)
        usages = relay.loads.sum_home_usage()
        for host in self.hosts:
            if self.is_heard and host is not relay:
                host.loads.set_centre_usage(HOME, usages, now)
                host.ramps.counts.set_centre_counts(HOME, group, now)
                host.loads.mark_reported()
            host.ramps.advance(now)
        shares = [host.ramps.get_share(NEW, now) for host in self.hosts]
        self.shares.append((now, sum(shares) / len(shares)))

    # What the play has shown.

    def list_seconds(self, since, until, name=NEW):
        """Return the times of the answers of a target to requests of a time."""
        return sorted(
            seconds
            for target, arrived, seconds, refused in self.records
            if target == name and not refused and since <= arrived < until
        )

    def measure_p99(self, since, until, name=NEW):
        seconds = self.list_seconds(since, until, name)
        return seconds[int(0.99 * len(seconds))]

    def count_refusals(self, since):
        return sum(
            refused for _, arrived, _, refused in self.records if arrived >= since
        )

    def count_sent(self, seconds):
        """Return the requests to the restarted target soon after its start."""
        return len(self.list_seconds(RESTART, RESTART + seconds))

    def find_full_at(self):
        """Return when the last host gives the restarted target its full share."""
        late = [now for now, share in self.shares if share < 1.0]
        return late[-1] + EXCHANGE if late else 0.0
