"""Which target of a plain service gets a request.

Load it answers: targets that turn slow or fail part of what they get while their own
health answers are good. Without it each gets an equal share, and an equal share of the
callers is late. The target that would take least time, by what it holds and how long
its latest answers took, gets the request; a slow one gets few until its times, which
count for less as they grow old, are in line again.
"""

import math
import random
from collections.abc import Iterable
from dataclasses import dataclass

from marigoldswitch.core.catalogue import Target
from marigoldswitch.core.ids import DataCentre, TargetId
from marigoldswitch.core.loads import Loads
from marigoldswitch.core.outliers import Health, OutlierWatch

FIRST_SECONDS = 0.03
"""Time of an answer that is assumed of a target that has not answered yet."""
SAMPLE_WEIGHT = 0.25
"""Weight of the newest answer in a target's mean time: four slow ones tell."""
FORGET_SECONDS = 4.0
"""Time in which an unusual mean loses two thirds of what is unusual in it, so that a
slow target is tried again every few seconds."""
FAR_FACTOR = 1.1
"""Cost of a target in another data centre: enough to stay near while loads are alike,
as each crossing has its price."""
FAILING_WEIGHT = 4.0
"""How much the failing share of a target adds to its cost: one that fails half of its
requests counts as three times as slow."""


@dataclass(slots=True)
class _Times:
    mean: float = FIRST_SECONDS
    failing: float = 0.0
    at: float = 0.0


class PlainSelector:
    """Chooses among the targets of one plain service."""

    def __init__(self, home: DataCentre, source: random.Random) -> None:
        self.outliers = OutlierWatch()
        self._home = home
        self._source = source
        self._times: dict[TargetId, _Times] = {}

    def choose(
        self,
        targets: Iterable[Target],
        loads: Loads,
        avoid: set[TargetId],
        now: float,
    ) -> Target | None:
        """Return the target to send to, or ``None`` where there is none.

        :param avoid: those that this request has been sent to.
        """
        known = {item.id: item for item in targets}
        if set(self._times) != set(known):
            self._replace(set(known))
        self.outliers.list_due(now)
        fresh = [item for name, item in known.items() if name not in avoid]
        healthy = [
            item
            for item in fresh
            if self.outliers.get_health(item.id) is not Health.EJECTED
        ]
        candidates = healthy or fresh
        if not candidates:
            return None
        return min(candidates, key=lambda item: self._cost(item, loads, now))

    def estimate(self, target: TargetId, now: float) -> float:
        """Return the seconds that an answer of a target is expected to take."""
        times = self._times.get(target)
        if times is None:
            return FIRST_SECONDS
        usual = self._usual()
        return usual + (times.mean - usual) * _age(times, now)

    def note_answer(self, target: TargetId, seconds: float, now: float) -> None:
        """Learn from an answer."""
        if target in self._times:
            self._learn(target, seconds, 0.0, now)
            self.outliers.note_success(target, now)

    def note_failure(self, target: TargetId, seconds: float, now: float) -> None:
        """Learn from a request that failed at a target."""
        if target in self._times:
            self._learn(target, seconds, 1.0, now)
            self.outliers.learn_usual()
            self.outliers.note_failure(target, 1.0, now)

    def note_refusal(self, target: TargetId, now: float) -> None:
        """Learn that a target had no room."""
        if target in self._times:
            self.outliers.note_refusal(target, now)

    def _learn(
        self, target: TargetId, seconds: float, failed: float, now: float
    ) -> None:
        times = self._times[target]
        times.mean = self.estimate(target, now)
        times.mean += SAMPLE_WEIGHT * (seconds - times.mean)
        times.failing *= _age(times, now)
        times.failing += SAMPLE_WEIGHT * (failed - times.failing)
        times.at = now

    def _usual(self) -> float:
        """Return the mean time of the better half of the targets."""
        means = sorted(item.mean for item in self._times.values())
        half = means[: max(1, len(means) // 2)]
        return sum(half) / len(half)

    def _cost(self, target: Target, loads: Loads, now: float) -> float:
        usage = loads.get(target.id)
        cost = self.estimate(target.id, now) * (1.0 + usage.requests)
        times = self._times[target.id]
        cost *= 1.0 + FAILING_WEIGHT * times.failing * _age(times, now)
        if target.data_centre != self._home:
            cost *= FAR_FACTOR
        return cost * (1.0 + 0.05 * self._source.random())

    def _replace(self, names: set[TargetId]) -> None:
        self.outliers.replace(names)
        self._times = {
            name: self._times.get(name) or _Times() for name in sorted(names)
        }


def _age(times: _Times, now: float) -> float:
    """Return how much a target's times still count, from 1 down to 0."""
    return math.exp(-max(0.0, now - times.at) / FORGET_SECONDS)
