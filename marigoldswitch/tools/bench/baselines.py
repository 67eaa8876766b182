"""Policies to compare with; each chooses at once and the target queues."""

import random
from collections import Counter, deque
from collections.abc import Callable, Mapping

from marigoldswitch.tools.bench.plays import Play
from marigoldswitch.tools.bench.world import (
    LINK_SECONDS,
    End,
    Job,
    ModelTarget,
    Stay,
    TargetEnd,
    VirtualTime,
)

REPORT_SECONDS = 0.5
"""Age at which load reports are renewed."""
MOST_ATTEMPTS = 3


class Policy:
    """Takes jobs and sees to it that each ends."""

    name = ""

    def __init__(
        self,
        play: Play,
        time: VirtualTime,
        targets: list[ModelTarget],
        source: random.Random,
    ) -> None:
        self.play = play
        self.time = time
        self.targets = targets
        self.source = source

    def arrive(self, job: Job) -> None:
        """Take a job."""
        raise NotImplementedError

    def abandon(self, job: Job) -> None:
        """Drop a job whose caller has given up."""
        raise NotImplementedError

    def end(self, job: Job, end: End) -> None:
        """Give a job its one end."""
        assert job.end is None, job
        job.end = end
        job.ended = self.time.now


class Spread(Policy):
    """A front chooses a target at once; subclasses say which."""

    def __init__(
        self,
        play: Play,
        time: VirtualTime,
        targets: list[ModelTarget],
        source: random.Random,
    ) -> None:
        super().__init__(play, time, targets, source)
        self.stays: dict[int, tuple[ModelTarget, Stay]] = {}
        self.fronts = [Counter[str]() for _ in range(play.hosts)]
        self.next = 0

    def choose(self, front: Counter[str]) -> ModelTarget:
        """Return the target for the next job of a front."""
        raise NotImplementedError

    def arrive(self, job: Job) -> None:
        """Send a job to a target; a missed one goes elsewhere at once."""
        job.attempts += 1
        front = self.fronts[job.number % len(self.fronts)]
        target = self.choose(front)
        front[target.name] += 1

        def hear(end: TargetEnd) -> None:
            front[target.name] -= 1
            self.stays.pop(job.number, None)
            if job.end is not None:
                return
            if end is TargetEnd.DONE:
                self.end(job, End.DONE)
            elif job.attempts < MOST_ATTEMPTS:
                self.arrive(job)
            else:
                self.end(job, End.FAILED)

        def deliver() -> None:
            if job.end is None:
                self.stays[job.number] = (target, target.submit(job, hear))

        self.time.after(LINK_SECONDS, deliver)

    def abandon(self, job: Job) -> None:
        """Cancel it on its target."""
        held = self.stays.pop(job.number, None)
        if held is not None:
            target, stay = held
            target.cancel(stay)
            self.fronts[job.number % len(self.fronts)][target.name] -= 1
        self.end(job, End.LATE)


class RandomChoice(Spread):
    """Any target."""

    name = "random"

    def choose(self, front: Counter[str]) -> ModelTarget:
        """Return any target."""
        return self.source.choice(self.targets)


class RoundRobin(Spread):
    """Each front goes round."""

    name = "round robin"

    def choose(self, front: Counter[str]) -> ModelTarget:
        """Return the next target."""
        front["turn"] += 1
        place = front["turn"] + self.fronts.index(front) * 7
        return self.targets[place % len(self.targets)]


class TwoOwnCounts(Spread):
    """The better of two by what this front itself has out."""

    name = "two choices, own counts"

    def choose(self, front: Counter[str]) -> ModelTarget:
        """Return the one with fewer of this front's jobs."""
        pair = self.source.sample(self.targets, 2)
        return min(pair, key=lambda item: front[item.name] / item.slots)


class TwoReports(Spread):
    """The better of two by load reports that lag."""

    name = "two choices, lagging reports"

    def __init__(
        self,
        play: Play,
        time: VirtualTime,
        targets: list[ModelTarget],
        source: random.Random,
    ) -> None:
        super().__init__(play, time, targets, source)
        self.reports: Counter[str] = Counter()
        self._renew()

    def _renew(self) -> None:
        for target in self.targets:
            self.reports[target.name] = target.running + len(target.waiting)
        self.time.after(REPORT_SECONDS, self._renew)

    def choose(self, front: Counter[str]) -> ModelTarget:
        """Return the one that last reported less."""
        pair = self.source.sample(self.targets, 2)
        return min(pair, key=lambda item: self.reports[item.name] / item.slots)


class SingleQueue(Policy):
    """The bound: one queue that sees everything at no cost, fastest target first."""

    name = "ideal single queue"

    def __init__(
        self,
        play: Play,
        time: VirtualTime,
        targets: list[ModelTarget],
        source: random.Random,
    ) -> None:
        super().__init__(play, time, targets, source)
        self.queue: deque[Job] = deque()
        self.stays: dict[int, tuple[ModelTarget, Stay]] = {}

    def arrive(self, job: Job) -> None:
        """Queue a job."""
        self.queue.append(job)
        self._start()

    def abandon(self, job: Job) -> None:
        """Drop a job."""
        held = self.stays.pop(job.number, None)
        if held is not None:
            held[0].cancel(held[1])
        self.end(job, End.LATE)
        self._start()

    def _start(self) -> None:
        while self.queue:
            usable = [
                item
                for item in self.targets
                if item.alive and not item.refuses and item.running < item.slots
            ]
            if not usable:
                return
            job = self.queue.popleft()
            if job.end is not None:
                continue
            target = max(usable, key=lambda item: item.speed)
            job.attempts += 1
            self._run(job, target)

    def _run(self, job: Job, target: ModelTarget) -> None:
        def hear(end: TargetEnd) -> None:
            self.stays.pop(job.number, None)
            if end is TargetEnd.DONE:
                self.end(job, End.DONE)
            else:
                self.queue.appendleft(job)
            self.time.after(0.0, self._start)

        self.stays[job.number] = (target, target.submit(job, hear))


Build = Callable[[Play, VirtualTime, list[ModelTarget], random.Random], Policy]

BASELINES: Mapping[str, Build] = {
    policy.name: policy
    for policy in (RandomChoice, RoundRobin, TwoOwnCounts, TwoReports, SingleQueue)
}
