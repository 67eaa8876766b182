"""Slow start: finds the pace at which a new or recovered target takes load.

Addressed load: a target that appears, restarts or recovers looks idle to all hosts at
once. Caches are empty and weights are not loaded yet, and 32 to 66 hosts that each send
a few requests flood it. It becomes slow or fails, loses its load again, and so on.

Such a target begins with a small share of its capacity, over all hosts together. The
share doubles with each round of good answers, falls by half where answers are slow,
lost or refused, and then grows by a fixed step. A lower bound that rises with time
bounds the ramp where few answers come. There is no ramp where the rest of the pool
could not carry the load meanwhile.
"""

from collections.abc import Callable

from msgspec import Struct
from msgspec.structs import replace

from marigoldswitch.core.ids import TargetId
from marigoldswitch.core.pace_finding.ramp import MAX_COLD_SECONDS, Ramp, Verdict
from marigoldswitch.core.pace_finding.records import (
    PaceSettings,
    PoolState,
    RampChange,
    RampCount,
    RampReason,
    RampStep,
    StartKind,
)

FLAP_SECONDS = 60.0
"""Time after the start of a ramp within which another start of the same target counts
as flapping, so that its share grows by steps from the beginning."""
START_WINDOW_SECONDS = 10.0
"""Time within which starts in a pool count as one event: a release replaces the targets
of a service one after the other."""
MAX_STARTING_SHARE = 0.5
"""Part of a pool that starts at once from which there is no ramp, as the others can't
take the load of those."""
MAX_REST_USE = 1.0
"""Used part of the usable capacity of the rest of the pool from which there is no ramp.
A lower bound ends ramps of cold targets by chance, which floods them."""
FULL_REPORT_SECONDS = 3.0
"""Time for which a host reports that it has ended a ramp at the full share. The hosts
of all data centres hear of it within that time."""


class _Start(Struct, frozen=True):
    """A start that has not been decided on yet.

    :param at: when it was noticed, in monotonic seconds; ``None`` for the time of the
        decision.
    """

    pool: str
    kind: StartKind
    slots: int
    cold_seconds: float
    at: float | None


class PaceFinder:
    """The ramps of all targets, as one host sees them.

    Without peers, the sums over all hosts are this host's own counts.
    """

    def __init__(self, settings: PaceSettings | None = None) -> None:
        self._settings = settings or PaceSettings()
        self._pending: dict[TargetId, _Start] = {}
        self._ramps: dict[TargetId, Ramp] = {}
        self._own: dict[TargetId, RampCount] = {}
        """Answers at this host, by target on a ramp or with one that has just ended."""
        self._full_at: dict[TargetId, float] = {}
        """When ramps have ended at the full share."""
        self._starts: dict[TargetId, tuple[str, float]] = {}
        """The pool of each target that has started, and when."""

    @property
    def pending(self) -> frozenset[TargetId]:
        """Return the targets whose start has not been decided on yet."""
        return frozenset(self._pending)

    @property
    def ramping(self) -> frozenset[TargetId]:
        """Return the targets on a ramp."""
        return frozenset(self._ramps)

    def is_limited(self, target: TargetId) -> bool:
        """Return whether a target is on a ramp, or may be about to start one."""
        return target in self._ramps or target in self._pending

    def get_share(self, target: TargetId, now: float) -> float:
        """Return the share of its capacity that a target may use, within (0, 1].

        It holds for all hosts together.
        """
        ramp = self._ramps.get(target)
        if ramp is None:
            return self._settings.initial_share if target in self._pending else 1.0
        return ramp.get_share(now)

    def is_trusted(self, target: TargetId) -> bool:
        """Return whether answers have shown that a target on a ramp does well."""
        ramp = self._ramps.get(target)
        return ramp is not None and ramp.is_trusted

    def count_own(self) -> dict[TargetId, RampCount]:
        """Return the counts of this host, by target on a ramp."""
        return dict(self._own)

    # What happens at targets.

    def start(
        self,
        target: TargetId,
        pool: str,
        kind: StartKind,
        slots: int,
        now: float | None,
        cold_seconds: float = 0.0,
    ) -> None:
        """Record that a target has started; :meth:`advance` decides on its ramp.

        A ramp that it has already is replaced.

        :param pool: name shared by the targets that can take each other's load.
        :param slots: number of requests that it runs at once.
        :param now: monotonic seconds; ``None`` for the time of the decision.
        :param cold_seconds: for which the target says that it stays slow.
        """
        self._ramps.pop(target, None)
        self._own.pop(target, None)
        self._full_at.pop(target, None)
        self._pending[target] = _Start(pool, kind, slots, cold_seconds, now)

    def remove(self, target: TargetId, now: float) -> RampChange | None:
        """End the ramp of a target that has ended, if it has one."""
        self._pending.pop(target, None)
        self._full_at.pop(target, None)
        if target not in self._ramps:
            self._own.pop(target, None)
            return None
        change = self._end(target, RampReason.GONE, now)
        self._own.pop(target, None)
        return change

    def note_answer(self, target: TargetId, is_good: bool) -> None:
        """Record how a request at a target ended.

        :param is_good: it was answered in time; ``False`` also for a refusal.
        """
        own = self._own.get(target)
        if own is not None:
            more = RampCount(good=1) if is_good else RampCount(bad=1)
            self._own[target] = own.plus(more)

    def note_cold(self, target: TargetId, seconds: float, now: float) -> None:
        """Record for how much longer a target on a ramp says that it stays slow."""
        ramp = self._ramps.get(target)
        if ramp is not None:
            ramp.note_cold(seconds, now)

    def hold(self, target: TargetId, now: float) -> None:
        """Keep the share of a target that is known to be slow, but for the bound."""
        ramp = self._ramps.get(target)
        if ramp is not None:
            ramp.hold(now)

    # Time.

    def advance(
        self,
        now: float,
        describe_pool: Callable[[TargetId], PoolState | None],
        sum_up: Callable[[TargetId], RampCount] | None = None,
    ) -> list[RampChange]:
        """Decide on starts, and change and end ramps that are due.

        :param describe_pool: returns the pool of a target; ``None`` while the target
            takes no requests, such as an engine without layers.
        :param sum_up: returns what all known hosts have counted, with this one; by
            default this host's own counts.
        """
        changes = self._decide_starts(now, describe_pool)
        for target in list(self._ramps):
            reason = self._find_end(target, describe_pool(target), now)
            if reason is not None:
                changes.append(self._end(target, reason, now))
                continue
            own = self._own[target]
            change = self._advance_ramp(target, sum_up(target) if sum_up else own, now)
            if change is not None:
                changes.append(change)
        for target, at in list(self._full_at.items()):
            if now - at >= FULL_REPORT_SECONDS:
                del self._full_at[target]
                self._own.pop(target, None)
        return changes

    def _decide_starts(
        self, now: float, describe_pool: Callable[[TargetId], PoolState | None]
    ) -> list[RampChange]:
        since = now - max(START_WINDOW_SECONDS, FLAP_SECONDS)
        self._starts = {
            name: item for name, item in self._starts.items() if item[1] > since
        }
        due: list[tuple[TargetId, _Start, PoolState, bool]] = []
        for target, start in list(self._pending.items()):
            state = describe_pool(target)
            if state is None:
                continue
            del self._pending[target]
            is_flapping = target in self._starts
            self._starts[target] = (start.pool, now)
            due.append((target, start, state, is_flapping))
        return [self._decide(*item, now) for item in due]

    def _decide(
        self,
        target: TargetId,
        start: _Start,
        state: PoolState,
        is_flapping: bool,
        now: float,
    ) -> RampChange:
        """Start the ramp of a target, unless the pool can't do without it."""
        began = now if start.at is None else start.at
        reason = self._find_objection(start.pool, state, now)
        if reason is not None:
            return RampChange(
                target, RampStep.OMITTED, reason, start.kind, 1.0, 1.0, now - began
            )
        cold_until = began + min(start.cold_seconds, MAX_COLD_SECONDS)
        ramp = self._ramps[target] = Ramp(
            self._settings,
            start.pool,
            start.kind,
            start.slots,
            began,
            0.0,
            cold_until,
            now,
            not is_flapping,
            now,
            min(state.rest_use, MAX_REST_USE / 2.0),
        )
        ramp.share = ramp.initial_share
        if start.kind is StartKind.RECOVERED:
            # Hosts that did not lose it use it already.
            ramp.share = min(1.0, max(ramp.share, state.own_use))
        self._own[target] = RampCount(ramping=1)
        return RampChange(
            target,
            RampStep.STARTED,
            RampReason.START,
            start.kind,
            ramp.share,
            1.0,
            now - began,
        )

    def _find_objection(
        self, pool: str, state: PoolState, now: float
    ) -> RampReason | None:
        """Return why a target of a pool may be on no ramp, if it may not."""
        since = now - START_WINDOW_SECONDS
        starting = {
            name
            for name, (its_pool, at) in self._starts.items()
            if its_pool == pool and (at > since or name in self._ramps)
        }
        if len(starting) >= MAX_STARTING_SHARE * state.live:
            return RampReason.POOL_STARTS
        if state.is_needed:
            return RampReason.ONLY_HOLDER
        if state.rest_use >= MAX_REST_USE:
            return RampReason.REST_FULL
        return None

    def _find_end(
        self, target: TargetId, state: PoolState | None, now: float
    ) -> RampReason | None:
        ramp = self._ramps[target]
        if state is None:
            return RampReason.GONE
        if self.get_share(target, now) >= 1.0:
            return RampReason.FULL if ramp.share >= 1.0 else RampReason.BOUND
        rest_use = ramp.average_rest_use(state.rest_use, now)
        state = replace(state, rest_use=rest_use)
        return self._find_objection(ramp.pool, state, now)

    def _advance_ramp(
        self, target: TargetId, total: RampCount, now: float
    ) -> RampChange | None:
        """Change a share by the answers since it last changed, if there are enough."""
        ramp = self._ramps[target]
        ramp.add_total(total)
        if total.full > total.ramping:
            return self._end(target, RampReason.PEERS_FULL, now)
        verdict = ramp.judge_round(now)
        if verdict is Verdict.UNKNOWN:
            return None
        previous, count = ramp.get_share(now), ramp.round
        ramp.apply(verdict, now)
        share = ramp.get_share(now)
        if share >= 1.0:
            return self._end(target, RampReason.FULL, now, previous, count)
        if share == previous:
            return None
        is_good = verdict is Verdict.GOOD
        reason = RampReason.ANSWERS_GOOD if is_good else RampReason.ANSWERS_BAD
        seconds = now - ramp.started_at
        return RampChange(
            target, RampStep.CHANGED, reason, ramp.kind, share, previous, seconds, count
        )

    def _end(
        self,
        target: TargetId,
        reason: RampReason,
        now: float,
        previous: float | None = None,
        count: RampCount | None = None,
    ) -> RampChange:
        ramp = self._ramps.pop(target)
        own = self._own[target]
        self._own[target] = RampCount(own.good, own.bad, own.wanted, full=1)
        self._full_at[target] = now
        return RampChange(
            target,
            RampStep.ENDED,
            reason,
            ramp.kind,
            1.0,
            ramp.get_share(now) if previous is None else previous,
            now - ramp.started_at,
            ramp.round if count is None else count,
        )
