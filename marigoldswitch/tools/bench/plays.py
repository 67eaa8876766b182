"""The plays: who asks for what when, and what fails meanwhile."""

import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field, replace
from enum import Enum

from marigoldswitch.core.catalogue import Priority
from marigoldswitch.tools.bench.world import MEAN_SECONDS, Job

SPREAD = 0.5
"""Sigma of the log-normal work."""
LONG_COST = 30.0
ACCOUNTS = 10
REFUSAL_SECONDS = 10.0
"""Time for which targets refuse or fail in the plays of those names."""


class Trouble(Enum):
    """What fails during a play."""

    NONE = "none"
    TARGET_LOST = "target_lost"
    TARGETS_REFUSE = "targets_refuse"
    TARGETS_FAIL = "targets_fail"
    DISPATCHER_LOST = "dispatcher_lost"
    HOSTS_LOST = "hosts_lost"
    SPLIT = "split"


@dataclass(frozen=True, slots=True)
class Play:
    """One play.

    :param load: offered work over the work that the targets can do.
    :param burst: factor on the load for five seconds in the middle.
    :param shares: what part of the load each account offers.
    :param prefixes: number of prefixes that four fifths of the jobs share.
    :param slow: targets that are four times slower than the router is told.
    :param long_share: share of jobs that are long.
    :param true_slots: slots that targets really have, over what the bundle says.
    :param poison: share of jobs that break off on every target, soon after the start.
    :param classes: accounts are of high, normal and low priority in turn.
    :param places: data centres that hosts and targets are in.
    """

    name: str
    load: float
    seconds: float = 60.0
    warm: float = 10.0
    deadline: float = 20.0
    burst: float = 1.0
    shares: tuple[float, ...] = (1.0,) * ACCOUNTS
    prefixes: int = 0
    slow: int = 0
    long_share: float = 0.0
    trouble: Trouble = Trouble.NONE
    true_slots: float = 1.0
    targets: int = 30
    slots: int = 8
    hosts: int = 8
    places: int = 1
    classes: bool = False
    poison: float = 0.0

    @property
    def capacity(self) -> float:
        """Return seconds of work a second that the targets can do."""
        fast = self.targets - self.slow + self.slow * 0.25
        return fast * int(self.slots * self.true_slots)

    @property
    def end(self) -> float:
        """Return the instant after which nothing arrives."""
        return self.warm + self.seconds

    @property
    def trouble_at(self) -> float:
        """Return the instant at which something fails."""
        return self.warm + self.seconds / 3

    def measure_capacity(self, now: float) -> float:
        """Return seconds of work a second that targets can do at an instant."""
        since = now - self.trouble_at
        match self.trouble:
            case Trouble.TARGET_LOST if since >= 0.0:
                return self.capacity * (1.0 - 1.0 / self.targets)
            case Trouble.TARGETS_REFUSE if 0.0 <= since < REFUSAL_SECONDS:
                return self.capacity * (1.0 - (self.targets // 3) / self.targets)
            case Trouble.TARGETS_FAIL if 0.0 <= since < REFUSAL_SECONDS:
                return self.capacity * (1.0 - (self.targets * 2 // 3) / self.targets)
            case _:
                return self.capacity


def estimate_bound(play: Play, jobs: list[Job]) -> float:
    """Return the work that the targets could do within the deadlines.

    A fluid that takes what it can still end in time and loses nothing to the size of
    jobs; only what is done after the warm-up counts.
    """
    backlog, now, served = 0.0, 0.0, 0.0
    for job in jobs:
        done = min(backlog, play.measure_capacity(now) * (job.arrived - now))
        served += done if job.arrived > play.warm else 0.0
        backlog -= done
        now = job.arrived
        room = play.measure_capacity(now) * (job.deadline - now - job.work)
        if not job.poison and backlog + job.work <= room:
            backlog += job.work
    return served


HEAVY = (10.0,) + (1.0,) * (ACCOUNTS - 1)
FEW = (40.0, 40.0) + (2.5,) * (ACCOUNTS - 2)

PLAYS = (
    Play("load 0.8", 0.8),
    Play("load 0.92", 0.92, seconds=120.0),
    Play("load 1.0", 1.0),
    Play("load 1.5", 1.5),
    Play("load 3", 3.0),
    Play("load 10", 10.0, seconds=40.0),
    Play("burst", 0.7, burst=10.0),
    Play("heavy account", 2.0, shares=HEAVY),
    Play("few accounts", 1.2, shares=FEW),
    Play("classes", 1.5, classes=True),
    Play("few prefixes", 0.92, prefixes=5),
    Play("slow targets", 0.92, seconds=120.0, slow=3),
    Play("short only", 0.92, seconds=300.0, warm=100.0, deadline=30.0),
    Play("long work", 0.92, seconds=300.0, warm=100.0, deadline=30.0, long_share=0.05),
    Play("overstated slots", 0.92, true_slots=0.75),
    Play("targets refuse", 0.92, trouble=Trouble.TARGETS_REFUSE),
    Play("targets fail", 0.92, trouble=Trouble.TARGETS_FAIL),
    Play("poison", 0.8, poison=0.2),
    Play("target lost", 0.92, trouble=Trouble.TARGET_LOST),
    Play("dispatcher lost", 0.92, trouble=Trouble.DISPATCHER_LOST),
    Play("hosts lost", 0.92, trouble=Trouble.HOSTS_LOST),
    Play("split", 0.8, trouble=Trouble.SPLIT, places=3, hosts=9),
)


@dataclass(slots=True)
class Arrivals:
    """The jobs of one play, in the order of their arrival."""

    play: Play
    seed: int
    source: random.Random = field(init=False)

    def __post_init__(self) -> None:
        self.source = random.Random(self.seed)

    def __iter__(self) -> Iterator[Job]:
        """Return jobs until the play ends."""
        play, source = self.play, self.source
        mean = 1.0 + play.long_share * (LONG_COST - 1.0)
        rate = play.load * play.capacity / (MEAN_SECONDS * mean)
        now, number = 0.0, 0
        while now < play.end:
            burst = play.trouble_at <= now < play.trouble_at + 5.0
            now += source.expovariate(rate * (play.burst if burst else 1.0))
            yield self._draw(number, now)
            number += 1

    def _draw(self, number: int, now: float) -> Job:
        play, source = self.play, self.source
        long = source.random() < play.long_share
        cost = LONG_COST if long else 1.0
        account = source.choices(range(len(play.shares)), play.shares)[0]
        noise = source.lognormvariate(-SPREAD * SPREAD / 2, SPREAD)
        prefix = None
        if play.prefixes:
            common = source.random() < 0.8
            prefix = source.randrange(play.prefixes) if common else number + 1000
        priority = Priority(account % 3) if play.classes else Priority.NORMAL
        kind = "long" if long else "short"
        return Job(
            number,
            f"account-{account}",
            priority,
            priority.name.lower() if play.classes else kind,
            cost,
            cost * MEAN_SECONDS * noise,
            now,
            now + play.deadline * (10.0 if long else 1.0),
            prefix,
            poison=play.poison > 0.0 and source.random() < play.poison,
        )


def shorten(play: Play, factor: float) -> Play:
    """Return the same play in less time, for tests."""
    return replace(play, seconds=play.seconds * factor, warm=play.warm * factor)


def find_plays(chosen: Callable[[str], bool]) -> list[Play]:
    """Return the plays whose names are chosen."""
    return [play for play in PLAYS if chosen(play.name)]


def estimate_share(demands: list[float], room: float) -> list[float]:
    """Return the max-min fair shares of some room."""
    shares = [0.0] * len(demands)
    open_ones = sorted(range(len(demands)), key=lambda item: demands[item])
    while open_ones:
        equal = room / len(open_ones)
        first = open_ones.pop(0)
        shares[first] = min(demands[first], equal)
        room -= shares[first]
    return shares
