"""Hosts of several data centres on one simulated clock, with messages in memory.

The hosts' own digest exchange, rosters and retry budgets run. Callers, targets and the
platform's store are left out here; ``feed_fleet`` adds a store that hosts read.
"""

import heapq
import itertools
import random
from collections import deque
from types import SimpleNamespace

from marigoldswitch.clocks import ManualClock
from marigoldswitch.core.ids import DataCentre, HostId, ServiceName
from marigoldswitch.core.loads import Loads
from marigoldswitch.core.loans import LoanBook
from marigoldswitch.core.retries import BUDGET_WINDOW
from marigoldswitch.core.retry_pool import START_SECONDS
from marigoldswitch.core.send_limits import SendLimits
from marigoldswitch.gateway.directory import Directory
from marigoldswitch.gateway.exchanges import RetryBudgets
from marigoldswitch.gateway.ports import HostRecord
from marigoldswitch.gateway.spread import DigestExchange
from marigoldswitch.gateway.statements import TargetStatements

SERVICE = ServiceName("drafts")
STEP = 0.05
LATENCY = 0.01


class DigestHost:
    """One process of a host that exchanges digests.

    :param feeds: what it reads of the store; by default it reads nothing.
    :ivar handlers: what handles each kind of message.
    :ivar frozen_until: the process stands still until then.
    """

    def __init__(self, fleet, name, centre, source, loans, **feeds):
        self.name, self.centre = name, centre
        self.handlers = {}
        self.frozen_until = 0.0
        self.next_tick = fleet.clock.now
        feed = SimpleNamespace(revision=0, dependency=SimpleNamespace(is_lost=False))
        limits = SendLimits(centre, lambda: self.spread.roster.count_members(), source)
        parts = {
            "directory": Directory(TargetStatements(limits), source),
            "feeds": None,
            "configuration": feed,
            "targets": feed,
        }
        self.spread = DigestExchange(
            SimpleNamespace(
                clock=fleet.clock,
                network=SimpleNamespace(
                    register=self.handlers.__setitem__,
                    send=lambda to, message: fleet.send(self, to, message),
                ),
                loads=Loads(centre),
                loans=loans,
                planner=SimpleNamespace(slowness={}),
                probes=SimpleNamespace(check_in_background=lambda _: None),
                crashes=SimpleNamespace(checksum=0, send_pending_notes=lambda: None),
                identity=SimpleNamespace(host=name, data_centre=centre, strength=0),
                contact=SimpleNamespace(is_lost=False),
                services=SimpleNamespace(is_doubted=lambda _: False),
                proxy_port=0,
                source=source,
                **parts | feeds,
            )
        )

    def tick(self):
        self.spread.tick()

    def meet(self, names):
        """List other hosts, as the store does to a host that starts."""
        for name, centre in names.items():
            self.spread.add_peer(HostRecord(name, centre))
        self.spread.roster.has_host_list = True
        self.spread.roster.knows_members = True
        self.spread.announce()


class FleetHost(DigestHost):
    """One process of a host that spends retries."""

    def __init__(self, fleet, name, centre, is_first_start):
        source = random.Random(f"{fleet.seed}{name}{fleet.clock.now}")
        now = fleet.clock.now
        owns_from = 0.0 if is_first_start else now + START_SECONDS
        loans = LoanBook(source.getrandbits(32), owns_from)
        self.budgets = RetryBudgets(
            fleet.allowance,
            fleet.share,
            loans,
            lambda: self.spread.roster.count_known_members(),
            source,
        )
        super().__init__(fleet, name, centre, source, loans)


class DigestFleet:
    """Hosts that come, go and hear each other.

    :param sizes: number of hosts of each data centre.
    :param clock: has ``now`` and ``monotonic``, in seconds.
    """

    step_seconds = STEP

    def __init__(self, seed, sizes, clock):
        self.seed = seed
        self.rng = random.Random(seed)
        self.clock = clock
        self.hosts, self.places = {}, {}
        self.groups = {}
        """Side of a network partition on which each host is; by default 0."""
        self.delay = 0.0
        """Seconds by which messages are late at most, beyond the latency."""
        self._queue, self._numbers = [], itertools.count()
        for centre, size in enumerate(sizes):
            for number in range(size):
                name = HostId(f"10.{centre}.0.{number:03d}:80")
                self.places[name] = DataCentre(f"dc-{centre}")

    # Course of events.

    def kill(self, names):
        """End the processes of some hosts without notice."""
        for name in list(names):
            self.hosts.pop(name, None)

    def add(self, centre, number):
        """Add a host that nobody knows."""
        name = HostId(f"10.{centre}.1.{number:03d}:80")
        self.places[name] = DataCentre(f"dc-{centre}")
        self.start(name)
        return name

    def split(self, *sides):
        """Partition the network; hosts that no side names stay together."""
        self.groups = {
            name: number for number, side in enumerate(sides, 1) for name in side
        }

    def heal(self):
        self.groups = {}

    def list_centre(self, number):
        return [name for name in self.places if self.places[name] == f"dc-{number}"]

    def send(self, sender, to, message):
        late = self.rng.uniform(0.0, self.delay)
        self._push(self.clock.now + LATENCY + late, sender.name, to, message)

    def passes(self, sender, to, message):
        """Return whether the network delivers a message."""
        return self.groups.get(sender) == self.groups.get(to)

    def step(self):
        """Deliver the messages that are due and run all hosts that are not frozen."""
        self._deliver()
        for host in list(self.hosts.values()):
            if host.frozen_until <= self.clock.now:
                self.run_host(host)

    def run_host(self, host):
        if host.next_tick <= self.clock.now:
            host.tick()
            tick_seconds = host.spread.tick_seconds
            host.next_tick = self.clock.now + tick_seconds - self.step_seconds / 10

    def _push(self, at, sender, to, message):
        heapq.heappush(self._queue, (at, next(self._numbers), sender, to, message))

    def _deliver(self):
        while self._queue and self._queue[0][0] <= self.clock.now:
            _, _, sender, to, message = heapq.heappop(self._queue)
            host = self.hosts.get(to)
            if host is None or not self.passes(sender, to, message):
                continue
            if host.frozen_until > self.clock.now:
                late = host.frozen_until + self.step_seconds / 2
                self._push(late, sender, to, message)
                continue
            host.handlers[type(message)](sender, message)


class Fleet(DigestFleet):
    """Hosts that come, go and hear each other, and spend retries.

    :param sizes: number of hosts of each data centre.
    :param allowance: retries a second that all hosts together may send.
    :param share: further retries, as a fraction of successful requests.
    :param begun: fraction of the retries that are for answers that have begun.
    """

    def __init__(self, seed, sizes=(8, 8, 8), allowance=36.2, share=0.0, begun=0.5):
        super().__init__(seed, sizes, ManualClock(100.0))
        self.allowance, self.share, self.begun = allowance, share, begun
        self.spent = []
        self.wanted = 0
        self._demand = {}
        for name in self.places:
            self.start(name, is_first_start=True)
        for host in self.hosts.values():
            host.meet(self.places)
        self.run(3.0, {})

    # Course of events.

    def start(self, name, is_first_start=False):
        """Start the process of a host; it meets the others unless all start at once."""
        self.hosts[name] = FleetHost(self, name, self.places[name], is_first_start)
        if not is_first_start:
            self.hosts[name].meet(self.places)

    def run(self, seconds, demand):
        """Run for some seconds.

        :param demand: retries a second that each host wants, by its name.
        :return: how many were sent.
        """
        before, end = len(self.spent), self.clock.now + seconds - STEP / 2
        self._demand = demand
        while self.clock.now < end:
            self.clock.advance(STEP)
            self.step()
        return len(self.spent) - before

    def run_host(self, host):
        super().run_host(host)
        rate = self._demand.get(host.name, 0.0)
        for _ in range(self._draw(rate * STEP)):
            self._retry(host)

    def run_with_all(self, seconds, rate=8.0):
        """Run for some seconds, with the same demand at each host."""
        return self.run(seconds, dict.fromkeys(self.places, rate))

    def serve(self, number):
        """Count requests that hosts at random have served."""
        for host in self.rng.choices(list(self.hosts.values()), k=number):
            host.budgets.get(SERVICE).note_success(self.clock.now)

    def _retry(self, host):
        now = self.clock.now
        budget = host.budgets.get(SERVICE)
        self.wanted += 1
        use_reserve = self.rng.random() < self.begun
        if budget.spend(now, use_reserve):
            self.spent.append(now)

    def _draw(self, mean):
        whole = int(mean)
        return whole + (self.rng.random() < mean - whole)

    # What came of it.

    def get_allowed(self):
        """Return the retries that all hosts may send in any window."""
        return self.allowance * BUDGET_WINDOW

    def count_worst_window(self, since=0.0):
        """Return the most retries in a window of the budget that ends after a time."""
        worst, window = 0, deque()
        for at in self.spent:
            window.append(at)
            while window[0] <= at - BUDGET_WINDOW:
                window.popleft()
            if at >= since:
                worst = max(worst, len(window))
        return worst
