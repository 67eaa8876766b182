"""How fast each target really is, learned from the runs that went through it.

Load it answers: unlike accelerators and targets that grow slow. The speeds of a bundle
are guesses; a target that is four times slower than its kind takes work that the others
would end sooner, and every chain through it waits. A chain's time can't be read stage by
stage from outside, so the error of a chain's forecast is shared by its stages in
proportion; over many chains the slow stage stands out.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from marigoldswitch.core.catalogue import Service, Target
from marigoldswitch.core.ids import TargetId

WEIGHT = 0.1
"""Weight of one run: with log-normal work (sigma 0.5) the ratio is off by 12 % in one
standard deviation, far below the factors between kinds."""
KIND_WEIGHT = 0.05
FEWEST_RUNS = 5
"""Runs of its own before a target is no longer taken for a usual one of its kind."""
MOST_CHANGE = 10.0
"""Bound on what one odd run can say."""
IDLE_SECONDS = 30.0
FORGET_SHARE = 0.1
"""After so long without a run, a target's ratio moves back to its kind's by this share
at each look; else one that was slow once would never be tried again."""


@dataclass(slots=True)
class _Rate:
    target: Target
    prior: float
    ratio: float = 1.0
    runs: int = 0
    last: float = 0.0


class RunRates:
    """Expected seconds of one unit of work on each target."""

    def __init__(self, service: Service) -> None:
        self._service = service
        self._rates: dict[TargetId, _Rate] = {}
        self._kinds: dict[str, float] = {}

    def replace(self, targets: Sequence[Target]) -> None:
        """Take the targets; what is known of those that stay is kept."""
        fresh: dict[TargetId, _Rate] = {}
        for target in targets:
            rate = self._rates.get(target.id)
            prior = self._guess(target)
            if rate is None:
                rate = _Rate(target, prior)
            rate.target, rate.prior = target, prior
            fresh[target.id] = rate
        self._rates = fresh

    def get_seconds(self, name: TargetId) -> float:
        """Return the expected seconds of one unit of cost on an idle target."""
        rate = self._rates[name]
        return rate.prior * self._get_ratio(rate)

    def note_run(
        self, names: Sequence[TargetId], seconds: float, cost: float, now: float
    ) -> None:
        """Take one run that ended well.

        :param names: the target, or the stages of the chain.
        :param seconds: time for which it was held.
        """
        rates = [self._rates[name] for name in names if name in self._rates]
        if not rates or seconds <= 0.0 or cost <= 0.0:
            return
        forecast = sum(rate.prior * self._get_ratio(rate) for rate in rates)
        error = seconds / cost / forecast
        error = max(1.0 / MOST_CHANGE, min(MOST_CHANGE, error))
        for rate in rates:
            self._learn(rate, error, now)

    def forget_idle(self, now: float) -> None:
        """Let what is known of idle targets fade."""
        for rate in self._rates.values():
            if rate.runs and now - rate.last > IDLE_SECONDS:
                kind = self._kinds.get(rate.target.accelerator, 1.0)
                rate.ratio += FORGET_SHARE * (kind - rate.ratio)

    def _learn(self, rate: _Rate, error: float, now: float) -> None:
        kind = rate.target.accelerator
        usual = self._kinds.get(kind, 1.0)
        if not rate.runs:
            rate.ratio = usual
        rate.ratio *= 1.0 + WEIGHT * (error - 1.0)
        rate.runs += 1
        rate.last = now
        self._kinds[kind] = usual + KIND_WEIGHT * (usual * error - usual)

    def _get_ratio(self, rate: _Rate) -> float:
        if rate.runs >= FEWEST_RUNS:
            return rate.ratio
        return self._kinds.get(rate.target.accelerator, 1.0)

    def _guess(self, target: Target) -> float:
        span, layers = target.layers, self._service.layers
        part = (span.end - span.first) / layers if span and layers else 1.0
        return self._service.mean_seconds * part / target.speed
