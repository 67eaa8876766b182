"""A small arrival loop that drives dispatchers on a virtual clock."""

import heapq
import itertools
import random
from collections import Counter, defaultdict
from dataclasses import dataclass

from marigoldswitch.core.dispatcher import Dispatcher, Send, TargetsChanged, Tick
from marigoldswitch.core.messages import Deny, Grant, Release, TargetReport
from marigoldswitch.core.pool import TargetPool
from marigoldswitch.tests.helpers import BOOKINGS, HOBART, build_ask, build_target

TICK = 0.05


@dataclass(slots=True)
class Life:
    """What happened to one request; times in seconds, None where it did not."""

    ask: object
    arrived: float
    granted: float | None = None
    ended: float | None = None
    refused: float | None = None
    retry_after: float = 0.0

    @property
    def in_time(self):
        return (
            self.ended is not None and self.ended <= self.arrived + self.ask.remaining
        )


class Play:
    """Dispatchers over one set of targets; each ask goes to one of them in turn.

    :param mean: mean run time of one unit of cost, in seconds.
    :param sigma: of the log-normal run times.
    """

    def __init__(self, targets=10, slots=4, mean=0.2, sigma=0.5, dispatchers=1, seed=1):
        self.chance = random.Random(seed)
        self.mean, self.sigma = mean, sigma
        self.slots = targets * slots
        self.now = 0.0
        self.lives = {}
        self.busy = Counter()
        self.most_busy = 0
        self._slots_each = slots
        self._events = []
        self._order = itertools.count()
        self._targets = tuple(
            build_target(f"t{number}", slots=slots) for number in range(targets)
        )
        self.dispatchers = [self._build(number) for number in range(dispatchers)]
        self._push(TICK, None, "tick")

    @property
    def bound(self):
        """Return the units of cost a second that the targets can do."""
        return self.slots / self.mean

    def offer(self, rate, seconds, start=0.0, **changes):
        """Let requests arrive at random, ``rate`` a second."""
        now = start + self.chance.expovariate(rate)
        while now < start + seconds:
            name = f"r{next(self._order)}"
            self._push(now, build_ask(name, **changes), "ask")
            now += self.chance.expovariate(rate)

    def offer_one(self, at, **changes):
        """Let one request arrive."""
        name = f"r{next(self._order)}"
        self._push(at, build_ask(name, **changes), "ask")
        return name

    def run(self, until):
        while self._events and self._events[0][0] <= until:
            self.now, _, event, what = heapq.heappop(self._events)
            getattr(self, f"_on_{what}")(event)
        self.now = until
        return self

    def list_lives(self, **wanted):
        """Return requests whose ask has certain values."""
        return [
            life
            for life in self.lives.values()
            if all(getattr(life.ask, key) == value for key, value in wanted.items())
        ]

    def count_goodput(self, start, end):
        """Return the cost a second that ended in time, over the bound."""
        done = sum(
            life.ask.cost
            for life in self.lives.values()
            if life.in_time and start <= life.ended < end
        )
        return done / (end - start) / self.bound

    def count_by_account(self, start, end):
        """Return the cost that ended in time, by account."""
        found = defaultdict(float)
        for life in self.lives.values():
            if life.in_time and start <= life.ended < end:
                found[life.ask.account] += life.ask.cost
        return found

    def _build(self, number):
        numbers = itertools.count()
        dispatcher = Dispatcher(
            f"host-{number}",
            BOOKINGS,
            HOBART,
            TargetPool(BOOKINGS, {}),
            lambda: f"p{number}-{next(numbers)}",
        )
        dispatcher.handle(TargetsChanged(self._targets, frozenset()), 0.0)
        return dispatcher

    def _push(self, now, event, what):
        heapq.heappush(self._events, (now, next(self._order), event, what))

    def _on_tick(self, _):
        for dispatcher in self.dispatchers:
            self._feed(dispatcher, Tick())
        self._push(self.now + TICK, None, "tick")

    def _on_ask(self, ask):
        self.lives[ask.request] = Life(ask, self.now)
        number = len(self.lives) % len(self.dispatchers)
        self._feed(self.dispatchers[number], ask)

    def _on_release(self, item):
        dispatcher, grant, seconds = item
        self.busy[grant.targets[0]] -= 1
        self.lives[grant.request].ended = self.now
        report = TargetReport(grant.targets[0], seconds)
        release = Release(grant.permit, BOOKINGS.name, "host-0", seconds, (report,))
        self._feed(dispatcher, release)

    def _feed(self, dispatcher, event):
        for action in dispatcher.handle(event, self.now):
            if not isinstance(action, Send):
                continue
            match action.message:
                case Grant() as grant:
                    self._start(dispatcher, grant)
                case Deny(request=request, retry_after=retry_after):
                    life = self.lives[request]
                    assert life.granted is None
                    assert life.refused is None
                    life.refused, life.retry_after = self.now, retry_after

    def _start(self, dispatcher, grant):
        """Run a request; a target that holds too many runs each more slowly."""
        life = self.lives[grant.request]
        assert life.granted is None
        assert life.refused is None
        life.granted = self.now
        name = grant.targets[0]
        self.busy[name] += 1
        self.most_busy = max(self.most_busy, self.busy[name])
        crowd = max(1.0, self.busy[name] / self._slots_each)
        mean_log = -(self.sigma**2) / 2.0
        factor = self.chance.lognormvariate(mean_log, self.sigma)
        seconds = life.ask.cost * self.mean * factor * crowd
        self._push(self.now + seconds, (dispatcher, grant, seconds), "release")


def get_quantile(values, level):
    """Return a quantile; infinite where there are no values."""
    ordered = sorted(values)
    return ordered[int(level * (len(ordered) - 1))] if ordered else float("inf")


def measure_fairness(values):
    """Return Jain's index."""
    values = list(values)
    return sum(values) ** 2 / (len(values) * sum(item * item for item in values))
