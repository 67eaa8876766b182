"""Virtual time, jobs and service-time models of targets."""

from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from marigoldswitch.core.catalogue import Priority
from marigoldswitch.core.ids import DataCentre
from marigoldswitch.tools.bench.virtual import VirtualTime

MEAN_SECONDS = 2.0
"""Run time of a job of cost 1 on a target of speed 1."""
LINK_SECONDS = 0.0005
"""One-way seconds of a message inside a data centre."""
HOBART = DataCentre("hobart")
PLACES = (HOBART, DataCentre("launceston"), DataCentre("devonport"))
CACHED_PREFIXES = 4
"""Prefixes that a target's cache holds."""
CACHED_SHARE = 0.4
"""Share of a job's work that a cached prefix saves."""


class End(Enum):
    """How a job ended for its caller."""

    DONE = "done"
    REFUSED = "refused"
    LATE = "late"
    FAILED = "failed"
    HOST_LOST = "host_lost"
    """The entry host that held it was lost."""


@dataclass(slots=True, eq=False)
class Job:
    """One request.

    :param cost: what the router is told of its size.
    :param work: seconds that it really takes on a target of speed 1.
    :param deadline: instant.
    :param attempts: times that a front asked for a permit for it.
    :param sends: times that it was sent to a target.
    """

    number: int
    account: str
    priority: Priority
    kind: str
    cost: float
    work: float
    arrived: float
    deadline: float
    prefix: int | None = None
    attempts: int = 0
    sends: int = 0
    started: float | None = None
    ended: float | None = None
    end: End | None = None
    saved: bool = False


class TargetEnd(Enum):
    """What a target says of a job."""

    DONE = "done"
    REFUSED = "refused"
    LOST = "lost"


@dataclass(slots=True, eq=False)
class Stay:
    """One job on one target."""

    job: Job
    tell: Callable[[TargetEnd], None]
    running: bool = False
    over: bool = False


@dataclass(slots=True, eq=False)
class ModelTarget:
    """A target with slots and a queue of its own.

    :param speed: its true speed, which the router may not know.
    :param most_waiting: jobs that wait inside it; one more is refused.
    """

    name: str
    time: VirtualTime
    slots: int
    speed: float = 1.0
    most_waiting: int = 1_000_000
    data_centre: DataCentre = HOBART
    alive: bool = True
    refuses: bool = False
    running: int = 0
    work_done: float = 0.0
    waiting: deque[Stay] = field(default_factory=deque)
    stays: set[Stay] = field(default_factory=set)
    cache: OrderedDict[int, None] = field(default_factory=OrderedDict)

    def submit(self, job: Job, tell: Callable[[TargetEnd], None]) -> Stay:
        """Take a job; ``tell`` is called once with how it ended."""
        stay = Stay(job, tell)
        job.sends += 1
        if not self.alive:
            self.time.after(LINK_SECONDS, lambda: self._end(stay, TargetEnd.LOST))
        elif self.refuses or len(self.waiting) >= self.most_waiting + max(
            0, self.slots - self.running
        ):
            self.time.after(LINK_SECONDS, lambda: self._end(stay, TargetEnd.REFUSED))
        else:
            self.stays.add(stay)
            self.waiting.append(stay)
            self._start_waiting()
        return stay

    def cancel(self, stay: Stay) -> None:
        """Drop a job whose caller has gone."""
        if stay.over:
            return
        stay.over = True
        self._leave(stay)

    def die(self) -> None:
        """Lose everything that is here."""
        self.alive = False
        self.cache.clear()
        for stay in list(self.stays):
            self._end(stay, TargetEnd.LOST)

    def _start_waiting(self) -> None:
        while self.running < self.slots and self.waiting:
            stay = self.waiting.popleft()
            if stay.over:
                continue
            stay.running = True
            self.running += 1
            if stay.job.started is None:
                stay.job.started = self.time.now
            seconds = self._count_work(stay.job) / self.speed
            self.time.after(seconds, lambda s=stay: self._end(s, TargetEnd.DONE))  # type: ignore[misc]

    def _count_work(self, job: Job) -> float:
        if job.prefix is None:
            return job.work
        job.saved = job.prefix in self.cache
        self.cache[job.prefix] = None
        self.cache.move_to_end(job.prefix)
        if len(self.cache) > CACHED_PREFIXES:
            self.cache.popitem(last=False)
        return job.work * (1.0 - CACHED_SHARE) if job.saved else job.work

    def _end(self, stay: Stay, end: TargetEnd) -> None:
        if stay.over:
            return
        stay.over = True
        if end is TargetEnd.DONE:
            self.work_done += stay.job.work
        self._leave(stay)
        stay.tell(end)

    def _leave(self, stay: Stay) -> None:
        self.stays.discard(stay)
        if stay.running:
            self.running -= 1
            stay.running = False
            self._start_waiting()
