"""Slow start of the targets that this host sends requests to."""

import random
from collections import Counter
from collections.abc import Callable, Iterable, Mapping, Sequence

import structlog
from msgspec import Struct

from marigoldswitch.core.catalogue import Load, Target
from marigoldswitch.core.ids import ServiceName, TargetId
from marigoldswitch.core.loads import Loads
from marigoldswitch.core.models import ModelSpec
from marigoldswitch.core.pace_finding.finder import PaceFinder
from marigoldswitch.core.pace_finding.records import (
    PoolState,
    RampChange,
    RampStep,
    StartKind,
)
from marigoldswitch.core.pace_finding.sharing import (
    RampCounts,
    RampGate,
    TargetRoom,
)
from marigoldswitch.core.paths import FILL_LIMITS
from marigoldswitch.core.registry import Change, TargetRegistry, TargetRow
from marigoldswitch.core.routes import RoutingTable
from marigoldswitch.core.send_limits import SendLimits
from marigoldswitch.core.stages import Stage
from marigoldswitch.core.suspects import Finding, Suspects

logger = structlog.get_logger(__name__)

MAX_CHANGE_LINES = 10
"""Lines ``ramp_changed`` of one ramp. The share of a healthy target changes four or
five times; one that is slow now and then would fill the log."""
SLOW_START_FACTOR = 2.5
"""Time to a stream's first event, relative to the usual one, from which it counts
against an engine on a ramp. Prompts differ in length by about as much."""
SLOW_START_MARGIN = 0.02
"""Seconds added to that: noise where streams begin within milliseconds."""
USUAL_WEIGHT = 0.05
"""Weight of the newest stream in the usual time to the first event."""
MIN_USUAL_SAMPLES = 5
"""Streams from which the usual time is used."""
USABLE_FILL = FILL_LIMITS[1]
"""Part of the engines' memory beyond which chains leave their data centre."""
USABLE_SLOTS = 0.8
"""Part of the slots of plain targets beyond which requests queue now and then, as hosts
hear of each other's requests only after some 0.3 s."""
MAX_KNOWN_STARTS = 2000
"""Targets of which the last start is remembered, several times those of a
deployment."""


class _UsualTime(Struct):
    """Moving average of the time to the first event, of one service in seconds."""

    mean: float = 0.0
    samples: int = 0

    def add(self, seconds: float) -> None:
        """Add one stream."""
        self.samples += 1
        weight = max(USUAL_WEIGHT, 1.0 / self.samples)
        self.mean += weight * (seconds - self.mean)

    def is_slow(self, seconds: float) -> bool:
        """Return whether a stream has begun late compared with others."""
        limit = SLOW_START_FACTOR * self.mean + SLOW_START_MARGIN
        return self.samples >= MIN_USUAL_SAMPLES and seconds > limit


class TargetRamps:
    """Ramps of new and recovered targets, with what this host knows of them.

    :param limits: counts the requests that could be sent to targets.
    :param rng: draws which requests are let through to targets on a ramp.
    :ivar gate: lets requests through to targets on a ramp.
    :ivar counts: what all hosts have counted of them.
    :ivar loads: usage of each target; ``None`` where it is not tracked.
    """

    def __init__(
        self,
        registry: TargetRegistry,
        suspects: Suspects,
        limits: SendLimits,
        rng: random.Random,
    ) -> None:
        self._registry = registry
        self._suspects = suspects
        self._limits = limits
        self.finder = PaceFinder()
        self.counts = RampCounts(
            limits.home, lambda: limits.count_hosts(), self.finder, self._count_wanted
        )
        self.gate = RampGate(self.finder, self.counts, rng)
        self.loads: Loads | None = None
        self.get_table: Callable[[], RoutingTable | None] = lambda: None
        """Returns the configuration in force."""
        self.knows_all: Callable[[], bool] = lambda: False
        """Returns whether this host has had a complete list of the targets."""
        self._born: dict[TargetId, int] = {}
        """The last known start of each target, in ms since 1970."""
        self._change_lines: Counter[TargetId] = Counter()
        self._usual: dict[ServiceName, _UsualTime] = {}
        self._cold_rows: dict[TargetId, int] = {}
        """Revision of the row of each target on a ramp whose time of being cold is
        known."""
        self._has_starts = False
        """Whether targets have started since the ramps were last advanced."""
        self._advanced_at = 0.0
        self._dead: set[TargetId] = set()
        """Targets without a report of their own that were found dead."""
        self.slowness: Mapping[TargetId, float] = {}
        """Step time relative to the usual one, for engines known to be slow."""
        registry.watch(self._note_change)
        suspects.add_listener(Finding.DEAD, self._note_dead)
        for finding in (Finding.REFUSED, Finding.CLOSED, Finding.FAILED):
            suspects.add_listener(finding, self._note_excluded)

    def get_share(self, target: TargetId, now: float) -> float:
        """Return the share of its capacity that a target may use, within (0, 1]."""
        if not self.finder.is_limited(target):
            return 1.0
        if self._has_starts:
            # Targets that start together are judged together.
            self.advance(now)
        return self.finder.get_share(target, now)

    @property
    def is_active(self) -> bool:
        """Return whether some target is on a ramp, or may be about to start one."""
        return bool(self.finder.ramping or self.finder.pending)

    def may_send(self, target: TargetId, room: TargetRoom, now: float) -> bool:
        """Return whether this host may send a target one more request now."""
        if self.get_share(target, now) >= 1.0:
            return True
        return self.gate.may_send(target, room, now)

    def count_ramping(self) -> Counter[ServiceName]:
        """Return the number of targets on a ramp, by service."""
        rows = self._registry.rows
        return Counter(
            rows[name].target.service for name in self.finder.ramping if name in rows
        )

    # What happens at targets.

    def note_back(self, target: TargetId, now: float) -> None:
        """Record that a target that was found dead, or was ejected, serves again."""
        self._dead.discard(target)
        row = self._registry.rows.get(target)
        if row is not None:
            self._start(row.target, StartKind.RECOVERED, now)

    def note_lost(self, target: TargetId, now: float) -> None:
        """End the ramp of a target that was found dead or is ejected."""
        self._log(self.finder.remove(target, now))
        self._forget(target)

    def note_answer(self, target: TargetId, is_good: bool, now: float) -> None:
        """Record how a request at a target ended.

        :param is_good: it was answered in time; ``False`` also for a refusal.
        """
        if is_good and target in self._dead:
            self.note_back(target, now)
        self.finder.note_answer(target, is_good)

    def note_report(self, target: TargetId, load: Load, now: float) -> None:
        """Record the load that a target has reported with an answer.

        Requests that wait there show that hosts together have sent too many.
        """
        if not self.finder.is_limited(target):
            return
        self.gate.note_report(target, load.running + load.waiting, now)
        if load.waiting > 0:
            self.finder.note_answer(target, False)

    def note_first_event(
        self, service: ServiceName, stages: Sequence[Stage], seconds: float
    ) -> None:
        """Record that a stream has begun over a chain.

        :param seconds: since the chain was chosen.
        """
        ramping = [
            item.target for item in stages if self.finder.is_limited(item.target)
        ]
        usual = self._usual.setdefault(service, _UsualTime())
        if not ramping:
            usual.add(seconds)
            return
        is_good = not usual.is_slow(seconds)
        for name in ramping:
            self.finder.note_answer(name, is_good)

    def _note_dead(self, target: TargetId) -> None:
        row = self._registry.rows.get(target)
        if row is not None and not row.target.accelerator:
            self._dead.add(target)
        self.note_lost(target, self._advanced_at)

    def _note_excluded(self, target: TargetId) -> None:
        self.finder.note_answer(target, False)

    def _note_change(self, change: Change, target: Target) -> None:
        if change is Change.ADDED:
            self._note_added(self._registry.rows[target.id])
        elif change in (Change.GONE, Change.LEAVING):
            self._dead.discard(target.id)
            self.note_lost(target.id, self._advanced_at)
        elif change is Change.UPDATED and self.finder.is_limited(target.id):
            self._has_starts = True

    def _note_added(self, row: TargetRow) -> None:
        """Start the ramp of a target that has appeared or restarted.

        A target that was known before with the same start had only lost its row. All
        that a host finds at its own start are taken to serve already.
        """
        name, born = row.target.id, row.born
        known = self._born.pop(name, None)
        self._born[name] = born
        if len(self._born) > MAX_KNOWN_STARTS:
            del self._born[next(iter(self._born))]
        if not self.knows_all() or (known is not None and born == known > 0):
            return
        kind = StartKind.NEW if known is None else StartKind.RESTARTED
        self._start(row.target, kind, None, row.cold_seconds)

    def _start(
        self,
        target: Target,
        kind: StartKind,
        now: float | None,
        cold_seconds: float = 0.0,
    ) -> None:
        self._forget(target.id)
        pool = _name_pool(target)
        self.finder.start(target.id, pool, kind, target.slots, now, cold_seconds)
        self._has_starts = True

    def _forget(self, target: TargetId) -> None:
        self.gate.forget(target)
        self._change_lines.pop(target, None)
        self._cold_rows.pop(target, None)

    # Time.

    def advance(self, now: float) -> None:
        """Start, change and end the ramps that are due."""
        self._advanced_at = now
        self._has_starts = False
        if not self.finder.ramping and not self.finder.pending:
            self.finder.advance(now, lambda _: None)
            return
        for name in self.finder.ramping:
            row = self._registry.rows.get(name)
            if row is not None:
                known = self._cold_rows.setdefault(name, row.revision)
                if row.revision != known:
                    self._cold_rows[name] = row.revision
                    self.finder.note_cold(name, row.cold_seconds, now)
            if name in self.slowness:
                self.finder.hold(name, now)
        changes = self.finder.advance(
            now,
            lambda name: self._describe_pool(name, now),
            lambda name: self.counts.sum_target(name, now),
        )
        for change in changes:
            self._log(change)

    def _describe_pool(self, name: TargetId, now: float) -> PoolState | None:
        target = self._registry.targets.get(name)
        if target is None or (target.accelerator and target.layers is None):
            return None
        pool = _name_pool(target)
        live = [
            item
            for item in self._registry.list_targets(target.service)
            if _name_pool(item) == pool
            and not self._suspects.is_dead(item.id, now)
            and (not item.accelerator or item.layers is not None)
        ]
        rest = [item for item in live if item.id != name]
        own_use = self._measure_use(target)
        if not target.accelerator:
            uses = [self._measure_use(item) for item in rest]
            rest_use = sum(uses) / len(uses) if uses else 1.0
            return PoolState(len(live), rest_use, not rest, own_use)
        use = self._measure_layers_use(target, rest)
        is_needed = use is None
        return PoolState(len(live), use or 0.0, is_needed, own_use)

    def _measure_layers_use(
        self, target: Target, rest: Iterable[Target]
    ) -> float | None:
        """Return the used part of the other holders of an engine's layers.

        That of the layer with the least room counts.

        :return: ``None`` if some layer has no other holder.
        """
        assert target.layers is not None
        holders = [
            (item.layers, self._measure_use(item))
            for item in rest
            if item.layers is not None
        ]
        worst = 0.0
        for layer in range(target.layers.first, target.layers.end):
            uses = [use for held, use in holders if held.first <= layer < held.end]
            if not uses:
                return None
            worst = max(worst, sum(uses) / len(uses))
        return worst

    def _measure_use(self, target: Target) -> float:
        """Return the used part of a target's capacity, by all known hosts."""
        if self.loads is None:
            return 0.0
        usage = self.loads.get(target.id)
        model = self._find_model(target.service)
        if model is None or target.layers is None:
            return usage.requests / max(1.0, USABLE_SLOTS * target.slots)
        accelerator = model.accelerators.get(target.accelerator)
        if accelerator is None:
            return 0.0
        capacity = model.measure_request_memory(accelerator, target.layers)
        usable = USABLE_FILL * capacity
        return usage.memory / usable if usable > 0.0 else 1.0

    def _find_model(self, service: ServiceName) -> ModelSpec | None:
        table = self.get_table()
        spec = table.services.get(service) if table is not None else None
        return spec.model if spec is not None else None

    def _count_wanted(self, target: TargetId, now: float) -> int:
        row = self._registry.rows.get(target)
        if row is None:
            return 0
        return self._limits.count_wanted(row.target.service, now)

    # The log.

    def _log(self, change: RampChange | None) -> None:
        if change is None:
            return
        if change.step is RampStep.CHANGED:
            self._change_lines[change.target] += 1
            if self._change_lines[change.target] > MAX_CHANGE_LINES:
                return
        row = self._registry.rows.get(change.target)
        known = self.counts.sum_all(self._advanced_at)
        logger.info(
            f"ramp_{change.step.value}",
            target=change.target,
            service=row.target.service if row else None,
            born=row.born if row else 0,
            kind=change.kind.value,
            why=change.reason.value,
            share=round(change.share, 3),
            previous=round(change.previous, 3),
            seconds=round(change.seconds, 2),
            good=change.count.good,
            bad=change.count.bad,
            hosts_heard=known.hosts,
            hosts=self._limits.count_hosts(),
        )


def _name_pool(target: Target) -> str:
    """Return the name of the targets that can take each other's load.

    Chains stay inside a data centre; requests of plain services go to all of them.
    """
    if target.accelerator:
        return f"{target.service}/{target.data_centre}"
    return str(target.service)
