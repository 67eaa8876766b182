"""Selects the target of a plain service for each request.

A target may be slow or fail part of its requests while its health checks succeed. With
equal shares of the load, an equal share of the callers would suffer. Instead a request
goes to the target with the lowest expected time, by its running requests and recent
answer times. A slow target gets few requests until its measurements, which lose weight
with age, are back to normal. So does one that is nearly full, before it refuses any.
The costs have a random part, which grows with the number of hosts: they see the same
loads and must not all choose the same target.
"""

import math
import random
from collections.abc import Callable, Iterable
from typing import Protocol

from msgspec import Struct

from marigoldswitch.core.catalogue import Load, Target
from marigoldswitch.core.ids import DataCentre, TargetId
from marigoldswitch.core.loads import Loads
from marigoldswitch.core.outliers import Health, OutlierDetector
from marigoldswitch.core.pace_finding.sharing import TargetRoom
from marigoldswitch.core.target_use import TargetUse

INITIAL_SECONDS = 0.03
"""Answer time assumed for a target that has not answered yet."""
SAMPLE_WEIGHT = 0.25
"""Weight of the newest answer in a target's moving average: about four slow answers
show."""
DECAY_SECONDS = 4.0
"""Time in which a target's deviation from the typical answer time decays by two thirds,
so that a slow target is tried again every few seconds."""
REMOTE_COST_FACTOR = 1.1
"""Factor on the cost of a target in another data centre: requests stay local while
loads are similar, as each crossing to another data centre has its cost."""
SHARED_REMOTE_COST_FACTOR = 1.5
"""The same where costs have a large random part, which hides a smaller factor."""
MIN_SHARED_TARGETS = 3
"""Targets from which the requests of all hosts are spread by estimated use. With two,
each is the only way out of the other."""
BASE_JITTER = 0.05
JITTER_PER_HOST = 0.05
MAX_JITTER = 3.0
"""Largest random part of a cost, as a share of it. At 66 hosts that is as good as a
choice at random among targets of like cost."""
EXTRA_SLOWNESS_POWER = 0.5
"""Power of the answer time by which a slow target's cost rises once more: its requests
also stay longer, and occupy its slots beyond what old counts show."""
MIN_FREE_SHARE = 0.1
"""Share of a target's slots that counts as free at least, in the cost of a full one."""
FAILURE_WEIGHT = 4.0
"""Relative extra cost of a target that always fails: one that fails half of its
requests counts as three times as slow."""


SLOW_ANSWER_FACTOR = 2.5
SLOW_ANSWER_MARGIN = 0.01
"""Factor on the usual answer time, and seconds added to it, beyond which an answer of a
target on a ramp counts as slow. Requests differ by about as much."""


class TargetPace(Protocol):
    """Limits the load of targets that have started or recovered."""

    def may_send(self, target: TargetId, room: TargetRoom, now: float) -> bool:
        """Return whether this host may send a target one more request now."""
        ...

    def note_answer(self, target: TargetId, is_good: bool, now: float) -> None:
        """Record how a request at a target ended."""
        ...

    def note_back(self, target: TargetId, now: float) -> None:
        """Record that a target has recovered from failures."""
        ...

    def note_lost(self, target: TargetId, now: float) -> None:
        """Record that a target is out of use for its failures."""
        ...


class _TargetStats(Struct):
    """Moving averages of one target's answer time and failure rate."""

    mean_seconds: float = INITIAL_SECONDS
    failure_rate: float = 0.0
    updated_at: float = 0.0


class PlainSelector:
    """Chooses among the targets of one plain service.

    :param home: data centre of this host.
    :param pace: limits the load of targets that have started or recovered.
    """

    def __init__(
        self,
        home: DataCentre,
        rng: random.Random,
        pace: TargetPace | None = None,
    ) -> None:
        self._pace = pace
        self.outliers = OutlierDetector()
        self.count_hosts: Callable[[], int] = lambda: 1
        """Returns the number of hosts that send to the same targets."""
        self._use = TargetUse()
        self._home = home
        self._rng = rng
        self._stats: dict[TargetId, _TargetStats] = {}

    def choose(
        self,
        targets: Iterable[Target],
        loads: Loads,
        excluded: set[TargetId],
        now: float,
    ) -> Target | None:
        """Return the target with the lowest cost, or ``None`` if all are excluded.

        Ejected targets are chosen only if no other is left.

        :param excluded: targets that this request has been sent to, and those that
            take no request now.
        """
        known = {item.id: item for item in targets}
        if set(self._stats) != set(known):
            self._set_targets(set(known))
        self.outliers.start_due_probes(now)
        untried = [item for name, item in known.items() if name not in excluded]
        healthy = [
            item
            for item in untried
            if self.outliers.get_health(item.id) is not Health.EJECTED
        ]
        candidates = self._list_within_pace(healthy or untried, loads, now)
        if not candidates:
            return None
        if len(known) < MIN_SHARED_TARGETS:
            return min(candidates, key=lambda item: self._cost(item, loads, now))
        jitter = min(
            MAX_JITTER, BASE_JITTER + JITTER_PER_HOST * (self.count_hosts() - 1)
        )
        return min(
            candidates, key=lambda item: self._shared_cost(item, loads, now, jitter)
        )

    def _list_within_pace(
        self, targets: list[Target], loads: Loads, now: float
    ) -> list[Target]:
        """Return the targets that may get one more request; all, if none may."""
        pace = self._pace
        if pace is None:
            return targets
        open_targets = [
            item
            for item in targets
            if pace.may_send(
                item.id,
                TargetRoom(
                    item.slots,
                    loads.get(item.id).requests,
                    self.estimate_seconds(item.id, now),
                ),
                now,
            )
        ]
        return open_targets or targets

    def estimate_seconds(self, target: TargetId, now: float) -> float:
        """Return the expected answer time of a target, in seconds."""
        stats = self._stats.get(target)
        if stats is None:
            return INITIAL_SECONDS
        typical = self._typical_seconds()
        return typical + (stats.mean_seconds - typical) * _decay(stats, now)

    def note_answer(self, target: TargetId, seconds: float, now: float) -> None:
        """Record an answer of a target."""
        if target in self._stats:
            is_slow = self._is_slow(target, seconds)
            self._update_stats(target, seconds, 0.0, now)
            has_recovered = self.outliers.note_success(target, now)
            if self._pace is not None:
                if has_recovered and not self.outliers.is_refusing(target):
                    self._pace.note_back(target, now)
                self._pace.note_answer(target, not is_slow, now)

    def note_failure(self, target: TargetId, seconds: float, now: float) -> None:
        """Record a request that failed at a target."""
        if target in self._stats:
            self._update_stats(target, seconds, 1.0, now)
            self.outliers.update_streak_limit()
            self._note_miss(target, self.outliers.note_failure(target, 1.0, now), now)

    def note_unbounded(self, target: TargetId, seconds: float, now: float) -> None:
        """Record a request that a target answered with bytes without end."""
        if target in self._stats:
            self._update_stats(target, seconds, 1.0, now)
            self.outliers.update_streak_limit()
            self._note_miss(target, self.outliers.note_unbounded(target, now), now)

    def note_load(self, target: TargetId, load: Load, now: float) -> None:
        """Record the load that a target has stated with an answer."""
        if target in self._stats:
            self._use.note_report(target, load, now)

    def note_refusal(self, target: TargetId, now: float) -> None:
        """Record that a target refused a request for lack of room."""
        if target in self._stats:
            self._note_miss(target, self.outliers.note_refusal(target, now), now)

    def _note_miss(self, target: TargetId, is_ejected: bool, now: float) -> None:
        if self._pace is None:
            return
        self._pace.note_answer(target, False, now)
        if is_ejected and not self.outliers.is_refusing(target):
            self._pace.note_lost(target, now)

    def _is_slow(self, target: TargetId, seconds: float) -> bool:
        """Return whether an answer took long compared with those of other targets."""
        others = sorted(
            item.mean_seconds
            for name, item in self._stats.items()
            if name != target and item.updated_at > 0.0
        )
        if not others:
            return False
        usual = others[(len(others) - 1) // 2]
        return seconds > SLOW_ANSWER_FACTOR * usual + SLOW_ANSWER_MARGIN

    def _update_stats(
        self, target: TargetId, seconds: float, failed: float, now: float
    ) -> None:
        stats = self._stats[target]
        stats.mean_seconds = self.estimate_seconds(target, now)
        stats.mean_seconds += SAMPLE_WEIGHT * (seconds - stats.mean_seconds)
        stats.failure_rate *= _decay(stats, now)
        stats.failure_rate += SAMPLE_WEIGHT * (failed - stats.failure_rate)
        stats.updated_at = now

    def _typical_seconds(self) -> float:
        """Return the mean answer time of the faster half of the targets."""
        means = sorted(item.mean_seconds for item in self._stats.values())
        half = means[: max(1, len(means) // 2)]
        return sum(half) / len(half)

    def _cost(self, target: Target, loads: Loads, now: float) -> float:
        cost = self._estimate_cost(target, loads.get(target.id).requests, now)
        if target.data_centre != self._home:
            cost *= REMOTE_COST_FACTOR
        return cost * (1.0 + BASE_JITTER * self._rng.random())

    def _shared_cost(
        self, target: Target, loads: Loads, now: float, jitter: float
    ) -> float:
        """Return the cost of a target that many hosts send to.

        :param jitter: largest random part, as a share of it.
        """
        requests = self._use.estimate(target.id, loads, now)
        cost = self._estimate_cost(target, requests, now)
        cost *= self.estimate_seconds(target.id, now) ** EXTRA_SLOWNESS_POWER
        if target.slots > 0:
            cost /= max(MIN_FREE_SHARE, 1.0 - requests / target.slots)
        if target.data_centre != self._home:
            cost *= SHARED_REMOTE_COST_FACTOR
        return cost * (1.0 + jitter * self._rng.random())

    def _estimate_cost(self, target: Target, requests: float, now: float) -> float:
        """Return the expected seconds of one more request, raised by failures."""
        cost = self.estimate_seconds(target.id, now) * (1.0 + requests)
        stats = self._stats[target.id]
        return cost * (1.0 + FAILURE_WEIGHT * stats.failure_rate * _decay(stats, now))

    def _set_targets(self, names: set[TargetId]) -> None:
        self.outliers.set_targets(names)
        self._use.keep(names)
        self._stats = {
            name: self._stats.get(name) or _TargetStats() for name in sorted(names)
        }


def _decay(stats: _TargetStats, now: float) -> float:
    """Return the weight of a target's measurements, from 1 down to 0 with their age."""
    return math.exp(-max(0.0, now - stats.updated_at) / DECAY_SECONDS)
