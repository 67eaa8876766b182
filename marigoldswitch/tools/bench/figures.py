"""Runs one play under one policy and reckons what callers got."""

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from statistics import fmean, pstdev
from typing import Any

import numpy

from marigoldswitch.tools.bench.baselines import BASELINES, Policy
from marigoldswitch.tools.bench.plays import (
    REFUSAL_SECONDS,
    Arrivals,
    Play,
    Trouble,
    estimate_bound,
    estimate_share,
)
from marigoldswitch.tools.bench.router import Ideas, Router
from marigoldswitch.tools.bench.virtual import VirtualTime
from marigoldswitch.tools.bench.world import PLACES, End, Job, ModelTarget

PERCENTILES = (50, 95, 99, 100)


@dataclass(slots=True)
class Figures:
    """What callers got in one run.

    :param goodput: work finished inside its deadline, over the bound.
    :param waits: percentiles of the seconds until a slot took it, by kind.
    :param accounts: 99th percentile of that wait, by client account.
    :param jain: fairness of served work over max-min fair shares.
    :param attempts: sends to a target for each request that reached one.
    :param refused_at: median share of its deadline that a refused job had spent.
    """

    goodput: float
    waits: dict[str, dict[int, float]]
    accounts: dict[str, float]
    jain: float
    attempts: float
    done: int
    refused: int
    late: int
    failed: int
    host_lost: int
    refused_at: float
    hottest: float
    extra: dict[str, float] = field(default_factory=dict)


def run_play(play: Play, policy: str, seed: int, ideas: Ideas | None = None) -> Figures:
    """Run one play once.

    :param policy: name of a baseline, or ``marigoldswitch``.
    """
    time = VirtualTime()
    source = random.Random(seed + 1)
    targets = _build_targets(play, time)
    taker: Policy
    if policy == Router.name:
        taker = Router(play, time, targets, source, ideas or Ideas())
    else:
        taker = BASELINES[policy](play, time, targets, source)
    jobs: list[Job] = []
    _arrive_next(time, iter(Arrivals(play, seed)), taker, jobs)
    time.after(play.trouble_at, lambda: _make_trouble(play, taker, targets))
    time.run(play.end)
    time.close()
    return _reckon(play, jobs, targets)


def _build_targets(play: Play, time: VirtualTime) -> list[ModelTarget]:
    slots = int(play.slots * play.true_slots)
    bound = 1_000_000 if play.true_slots == 1.0 else 1
    return [
        ModelTarget(
            f"target-{number}",
            time,
            slots,
            0.25 if number < play.slow else 1.0,
            bound,
            PLACES[number % play.places],
        )
        for number in range(play.targets)
    ]


def _arrive_next(
    time: VirtualTime, arrivals: Any, policy: Policy, jobs: list[Job]
) -> None:
    job = next(arrivals, None)
    if job is None:
        return

    def expire() -> None:
        if job.end is None:
            policy.abandon(job)

    def arrive() -> None:
        jobs.append(job)
        policy.arrive(job)
        time.after(job.deadline - time.now, expire)
        _arrive_next(time, arrivals, policy, jobs)

    time.after(job.arrived - time.now, arrive)


def _make_trouble(play: Play, policy: Policy, targets: list[ModelTarget]) -> None:
    match play.trouble:
        case Trouble.TARGET_LOST:
            targets[-1].die()
        case Trouble.TARGETS_REFUSE:
            hit = targets[: len(targets) // 3]
            for target in hit:
                target.refuses = True

            def heal() -> None:
                for target in hit:
                    target.refuses = False

            policy.time.after(REFUSAL_SECONDS, heal)
        case Trouble.TARGETS_FAIL:
            hit = targets[: len(targets) * 2 // 3]
            for target in hit:
                target.die()

            def revive() -> None:
                for target in hit:
                    target.alive = True

            policy.time.after(REFUSAL_SECONDS, revive)
        case Trouble.DISPATCHER_LOST if isinstance(policy, Router):
            policy.lose_dispatcher()
        case Trouble.HOSTS_LOST if isinstance(policy, Router):
            policy.lose_hosts(policy.play.hosts // 3)
        case Trouble.SPLIT if isinstance(policy, Router):
            policy.split()
        case _:
            pass


def _reckon(play: Play, jobs: list[Job], targets: list[ModelTarget]) -> Figures:
    counted = [job for job in jobs if job.arrived >= play.warm]
    ended = [job for job in jobs if job.ended is not None and job.ended >= play.warm]
    done = [job for job in ended if job.end is End.DONE]
    served = sum(job.work for job in done)
    bound = estimate_bound(play, jobs)
    refused = [job for job in ended if job.end is End.REFUSED]
    spent = [
        ((job.ended or 0.0) - job.arrived) / (job.deadline - job.arrived)
        for job in refused
    ]
    sent = [job for job in ended if job.sends]
    loads = [target.work_done for target in targets]
    return Figures(
        goodput=served / bound,
        waits=_reckon_waits(counted),
        accounts=_reckon_accounts(counted),
        jain=_reckon_jain(play, jobs, done, bound),
        attempts=fmean([job.sends for job in sent]) if sent else 0.0,
        done=len(done),
        refused=len(refused),
        late=sum(job.end is End.LATE for job in ended),
        failed=sum(job.end is End.FAILED for job in ended),
        host_lost=sum(job.end is End.HOST_LOST for job in ended),
        refused_at=float(numpy.median(spent)) if spent else 0.0,
        hottest=max(loads) / max(1e-9, fmean(loads)),
    )


def _reckon_waits(jobs: Iterable[Job]) -> dict[str, dict[int, float]]:
    waits: dict[str, list[float]] = {}
    for job in jobs:
        if job.started is not None:
            waits.setdefault(job.kind, []).append(job.started - job.arrived)
    return {
        kind: {p: float(numpy.percentile(values, p)) for p in PERCENTILES}
        for kind, values in sorted(waits.items())
    }


def _reckon_accounts(jobs: Iterable[Job]) -> dict[str, float]:
    waits: dict[str, list[float]] = {}
    for job in jobs:
        if job.started is not None:
            waits.setdefault(job.account, []).append(job.started - job.arrived)
    return {
        name: float(numpy.percentile(values, 99))
        for name, values in sorted(waits.items())
    }


def _reckon_jain(play: Play, jobs: list[Job], done: list[Job], bound: float) -> float:
    names = sorted({job.account for job in jobs})
    demands = [
        sum(job.work for job in jobs if job.account == n and job.arrived >= play.warm)
        for n in names
    ]
    fair = estimate_share(demands, bound)
    got = [sum(job.work for job in done if job.account == name) for name in names]
    ratios = [one / max(1e-9, other) for one, other in zip(got, fair, strict=True)]
    squares = sum(item * item for item in ratios)
    return sum(ratios) ** 2 / (len(ratios) * squares) if squares else 0.0


def spread(values: Iterable[float]) -> tuple[float, float]:
    """Return the mean and the standard deviation over seeds."""
    listed = list(values)
    return fmean(listed), pstdev(listed)


Chooser = Callable[[str], bool]
