"""Discrete-event simulation of requests, dispatchers and targets."""

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
class RequestRecord:
    """Course of one request.

    Instants are in seconds of simulated time, ``None`` if the event did not occur.
    """

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


class Simulation:
    """Dispatchers that share one set of targets and take the requests in turn.

    :param targets: number of targets.
    :param slots: slots of each target.
    :param mean: mean run time of one unit of cost, in seconds.
    :param sigma: sigma of the log-normal run times.
    :param dispatchers: number of dispatchers.
    """

    def __init__(self, targets=10, slots=4, mean=0.2, sigma=0.5, dispatchers=1, seed=1):
        self.rng = random.Random(seed)
        self.mean, self.sigma = mean, sigma
        self.slots = targets * slots
        self.now = 0.0
        self.records = {}
        self.running = Counter()
        self.max_running = 0
        self._slots_per_target = slots
        self._events = []
        self._order = itertools.count()
        self._targets = tuple(
            build_target(f"t{number}", slots=slots) for number in range(targets)
        )
        self.dispatchers = [self._build(number) for number in range(dispatchers)]
        self._schedule(TICK, None, "tick")

    @property
    def capacity(self):
        """Return the units of cost per second that the targets can serve."""
        return self.slots / self.mean

    def offer(self, rate, seconds, start=0.0, **changes):
        """Schedule requests with Poisson arrivals.

        :param rate: mean number of requests per second.
        :param seconds: duration of the arrivals.
        :param changes: values of the ask that differ from the defaults.
        """
        instant = start + self.rng.expovariate(rate)
        while instant < start + seconds:
            name = f"r{next(self._order)}"
            self._schedule(instant, build_ask(name, **changes), "ask")
            instant += self.rng.expovariate(rate)

    def offer_one(self, at, **changes):
        """Schedule one request and return its id."""
        name = f"r{next(self._order)}"
        self._schedule(at, build_ask(name, **changes), "ask")
        return name

    def run(self, until):
        while self._events and self._events[0][0] <= until:
            self.now, _, event, kind = heapq.heappop(self._events)
            getattr(self, f"_on_{kind}")(event)
        self.now = until
        return self

    def list_records(self, **wanted):
        """Return the requests whose ask has the given field values."""
        return [
            record
            for record in self.records.values()
            if all(getattr(record.ask, key) == value for key, value in wanted.items())
        ]

    def measure_goodput(self, start, end):
        """Return the cost per second finished in time, relative to the capacity."""
        done = sum(
            record.ask.cost
            for record in self.records.values()
            if record.in_time and start <= record.ended < end
        )
        return done / (end - start) / self.capacity

    def sum_served_cost(self, start, end):
        """Return the cost finished in time, by account."""
        found = defaultdict(float)
        for record in self.records.values():
            if record.in_time and start <= record.ended < end:
                found[record.ask.account] += record.ask.cost
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

    def _schedule(self, instant, event, kind):
        heapq.heappush(self._events, (instant, next(self._order), event, kind))

    def _on_tick(self, _):
        for dispatcher in self.dispatchers:
            self._handle(dispatcher, Tick())
        self._schedule(self.now + TICK, None, "tick")

    def _on_ask(self, ask):
        self.records[ask.request] = RequestRecord(ask, self.now)
        number = len(self.records) % len(self.dispatchers)
        self._handle(self.dispatchers[number], ask)

    def _on_release(self, item):
        dispatcher, grant, seconds = item
        self.running[grant.targets[0]] -= 1
        self.records[grant.request].ended = self.now
        report = TargetReport(grant.targets[0], seconds)
        release = Release(grant.permit, BOOKINGS.name, "host-0", seconds, (report,))
        self._handle(dispatcher, release)

    def _handle(self, dispatcher, event):
        for action in dispatcher.handle(event, self.now):
            if not isinstance(action, Send):
                continue
            match action.message:
                case Grant() as grant:
                    self._start(dispatcher, grant)
                case Deny(request=request, retry_after=retry_after):
                    record = self.records[request]
                    assert record.granted is None
                    assert record.refused is None
                    record.refused, record.retry_after = self.now, retry_after

    def _start(self, dispatcher, grant):
        """Run a request, slowed in proportion if its target exceeds its slots."""
        record = self.records[grant.request]
        assert record.granted is None
        assert record.refused is None
        record.granted = self.now
        name = grant.targets[0]
        self.running[name] += 1
        self.max_running = max(self.max_running, self.running[name])
        slowdown = max(1.0, self.running[name] / self._slots_per_target)
        mean_log = -(self.sigma**2) / 2.0
        factor = self.rng.lognormvariate(mean_log, self.sigma)
        seconds = record.ask.cost * self.mean * factor * slowdown
        self._schedule(self.now + seconds, (dispatcher, grant, seconds), "release")


def get_quantile(values, level):
    """Return a quantile of the values, or infinity if there are none."""
    ordered = sorted(values)
    return ordered[int(level * (len(ordered) - 1))] if ordered else float("inf")


def compute_jain_index(values):
    """Return Jain's fairness index."""
    values = list(values)
    return sum(values) ** 2 / (len(values) * sum(item * item for item in values))
