"""Play of hosts that choose plain targets by loads of different age.

A target runs as many requests at once as it has slots, and refuses more. Running
requests slow each other down beyond half of the slots.
"""

import heapq
import itertools
import random
from collections import Counter, defaultdict
from types import SimpleNamespace

from marigoldswitch.core.catalogue import Load, Target
from marigoldswitch.core.ids import DataCentre, ServiceName, TargetId
from marigoldswitch.core.loads import Loads, Usage
from marigoldswitch.core.selection import PlainSelector

SLOTS = 6
WORK_SECONDS = 0.069
HOME_SECONDS, FAR_SECONDS = 0.2, 1.5
PLACES = ("a", "a", "b", "c")
ARRIVALS = {"a": 0.33, "b": 0.38, "c": 0.29}
"""Share of the arrivals by data centre."""


class PlainPlay:
    """Hosts that send to the targets of one plain service.

    :param rate: requests a second.
    :param slow: factor on the work of single targets, by name.
    :param reports: whether targets report their load.
    """

    def __init__(self, rate, hosts=22, slow=None, reports=True, seed=1):
        self.rng = random.Random(seed)
        self.rate, self.reports = rate, reports
        self.slow = slow or {}
        self.targets = [
            Target(
                TargetId(f"t{number}"), ServiceName("s"), DataCentre(centre),
                f"t{number}:80", SLOTS,
            )
            for number, centre in enumerate(PLACES)
        ]  # fmt: skip
        self.hosts = defaultdict(list)
        for centre in ARRIVALS:
            for _ in range(hosts):
                source = random.Random(self.rng.random())
                selector = PlainSelector(DataCentre(centre), source)
                selector.count_hosts = lambda: 3 * hosts
                loads = Loads(DataCentre(centre))
                self.hosts[centre].append(
                    SimpleNamespace(selector=selector, loads=loads)
                )
        self.running, self.peaks = Counter(), Counter()
        self.sent, self.got = 0, Counter()
        self.refused_at, self.far = Counter(), 0
        self.seconds = []
        self.now = 0.0
        self._events = []
        self._numbers = itertools.count()

    def run(self, seconds, rate=None):
        """Play some seconds."""
        rate = rate or self.rate
        end = self.now + seconds
        arrival = self.now + self.rng.expovariate(rate)
        while True:
            report = self._next_report()
            event = self._events[0][0] if self._events else end
            self.now = min(arrival, report, event, end)
            if self.now >= end:
                return
            if self.now == event:
                _, _, host, target, began = heapq.heappop(self._events)
                self._finish(host, target, began)
            elif self.now == report:
                self._report()
            else:
                self._arrive()
                arrival = self.now + self.rng.expovariate(rate)

    def _next_report(self):
        return (int(self.now / HOME_SECONDS + 1e-6) + 1) * HOME_SECONDS

    def _report(self):
        far = round(self.now / HOME_SECONDS) % round(FAR_SECONDS / HOME_SECONDS) == 0
        for centre, hosts in self.hosts.items():
            total = defaultdict(Usage)
            for host in hosts:
                host.loads.mark_reported()
                for name, usage in host.loads.own.items():
                    total[name] = total[name].plus(usage)
            for other, receivers in self.hosts.items():
                if other == centre or far:
                    for host in receivers:
                        host.loads.set_centre_usage(
                            DataCentre(centre), dict(total), self.now
                        )

    def _arrive(self):
        centre = self.rng.choices(list(ARRIVALS), list(ARRIVALS.values()))[0]
        host = self.rng.choice(self.hosts[centre])
        target = host.selector.choose(self.targets, host.loads, set(), self.now)
        self.sent += 1
        if self.running[target.id] >= SLOTS:
            self.refused_at[target.id] += 1
            host.selector.note_refusal(target.id, self.now)
            self._note_load(host, target)
            return
        self.far += target.data_centre != centre
        self.got[target.id] += 1
        self.running[target.id] += 1
        host.loads.hold(target.id, Usage(1, 0))
        crowding = max(1.0, self.running[target.id] / (SLOTS / 2))
        work = WORK_SECONDS * self.slow.get(target.id, 1.0) * crowding
        work *= self.rng.uniform(0.5, 1.5)
        entry = self.now + work, next(self._numbers), host, target, self.now
        heapq.heappush(self._events, entry)

    def _finish(self, host, target, began):
        self._note_load(host, target)
        self.running[target.id] -= 1
        host.loads.release(target.id, Usage(1, 0))
        host.selector.note_answer(target.id, self.now - began, self.now)
        self.seconds.append(self.now - began)

    def _note_load(self, host, target):
        if self.reports:
            load = Load(self.running[target.id], 0)
            host.selector.note_load(target.id, load, self.now)

    @property
    def refused_share(self):
        """Return the share of requests that a target refused."""
        return sum(self.refused_at.values()) / self.sent

    def get_percentile(self, share):
        """Return a percentile of the answer times, in seconds."""
        return sorted(self.seconds)[int(share * (len(self.seconds) - 1))]
