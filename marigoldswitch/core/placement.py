"""Placement: from what the bundle wants and what engines say to drains and orders.

The load it answers: changes of models and layer ranges while requests run. Without it
a change would cut off requests in flight, or take so many targets at once that the
rest can't carry the load, or overrun the weight store so that all loads are slow.
Orders name the state wanted, so that the same order twice changes nothing.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from enum import Enum

from marigoldswitch.core.catalogue import (
    Bundle,
    LayerRange,
    Service,
    ServiceKind,
    Target,
    TargetRole,
)
from marigoldswitch.core.chains import count_chains
from marigoldswitch.core.ids import Region, TargetId


@dataclass(frozen=True, slots=True)
class Placement:
    """What an engine holds, or is to hold."""

    model: str
    version: str
    role: TargetRole
    layers: LayerRange
    adapters: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class EngineReport:
    """What an engine said of itself.

    :param wanted: what its last order asked for, if it ever had one.
    :param loaded: what it holds now, if it has finished loading.
    :param busy: requests that it runs or that wait inside it.
    """

    wanted: Placement | None
    loaded: Placement | None
    busy: int


@dataclass(frozen=True, slots=True)
class DrainMark:
    """A drain as the hosts see it.

    :param ours: set by orders, not by an operator.
    :param age: seconds since this holder first saw it.
    """

    ours: bool
    age: float


@dataclass(frozen=True, slots=True)
class PlacementLimits:
    """How fast placement may change.

    :param changes: most targets of one service that change at once.
    :param settle: seconds after a drain until all hosts have seen it.
    """

    changes: int
    settle: float


class Reason(Enum):
    """Why a target is left as it is for now."""

    UNREACHABLE = "unreachable"
    LOADING = "loading"
    BUSY = "busy"
    SETTLING = "settling"
    CHANGES = "changes"
    FLOOR = "floor"
    WEIGHT_STORE = "weight_store"


@dataclass(frozen=True, slots=True)
class MarkDraining:
    """Let a target get no new work."""

    target: TargetId


@dataclass(frozen=True, slots=True)
class SendOrder:
    """Order an engine to hold something."""

    target: TargetId
    placement: Placement


@dataclass(frozen=True, slots=True)
class EndDraining:
    """Let a target get work again; it enters by slow start."""

    target: TargetId


@dataclass(frozen=True, slots=True)
class Wait:
    """Leave a target as it is for now."""

    target: TargetId
    reason: Reason


PlacementStep = MarkDraining | SendOrder | EndDraining | Wait


class LoadBudget:
    """Spreads loads of weights over time, at the weight store's rate.

    :param loads: most loads begun in ``period`` seconds.
    """

    def __init__(self, loads: int, period: float = 60.0) -> None:
        self._loads = loads
        self._period = period
        self._begun: list[float] = []

    def take(self, now: float) -> bool:
        """Begin one load if the rate allows it; tell whether it does."""
        self._begun = [item for item in self._begun if now - item < self._period]
        if len(self._begun) >= self._loads:
            return False
        self._begun.append(now)
        return True


def want_placement(service: Service, target: Target) -> Placement | None:
    """Return what a target is to hold; nothing for plain services."""
    if service.kind is not ServiceKind.MODEL or target.layers is None:
        return None
    return Placement(
        service.model, service.version, target.role, target.layers, service.adapters
    )


def plan_placement(
    bundle: Bundle,
    region: Region,
    reports: Mapping[TargetId, EngineReport],
    drains: Mapping[TargetId, DrainMark],
    limits: PlacementLimits,
    budget: LoadBudget,
    now: float,
) -> list[PlacementStep]:
    """Return the next steps toward the placement that the bundle wants.

    :param reports: what the engines said; those that did not answer are absent.
    :param drains: targets that get no new work.
    """
    steps: list[PlacementStep] = []
    for service in bundle.services.values():
        if service.kind is ServiceKind.MODEL:
            targets = [
                item
                for item in bundle.list_targets(service.name)
                if bundle.is_in_region(item.data_centre, region)
            ]
            plan = _ServicePlan(service, targets, reports, drains, limits, budget)
            steps += plan.list_steps(now)
    steps += [
        EndDraining(target)
        for target, drain in drains.items()
        if drain.ours and target not in bundle.targets
    ]
    return steps


class _ServicePlan:
    """The steps of one service."""

    def __init__(
        self,
        service: Service,
        targets: Sequence[Target],
        reports: Mapping[TargetId, EngineReport],
        drains: Mapping[TargetId, DrainMark],
        limits: PlacementLimits,
        budget: LoadBudget,
    ) -> None:
        self._service = service
        self._targets = targets
        self._reports = reports
        self._drains = drains
        self._limits = limits
        self._budget = budget
        self._changing = {
            item.id for item in targets if item.id in drains and drains[item.id].ours
        }

    def list_steps(self, now: float) -> list[PlacementStep]:
        """Return a step for each target that isn't as wanted, in order of ids."""
        steps = []
        for target in self._targets:
            step = self._plan_target(target, now)
            if step is not None:
                steps.append(step)
        return steps

    def _plan_target(self, target: Target, now: float) -> PlacementStep | None:
        placement = want_placement(self._service, target)
        report = self._reports.get(target.id)
        drain = self._drains.get(target.id)
        if placement is None:
            return None
        if report is None:
            return Wait(target.id, Reason.UNREACHABLE)
        if report.loaded == placement and report.wanted in (None, placement):
            return EndDraining(target.id) if drain and drain.ours else None
        if report.wanted == placement:
            return Wait(target.id, Reason.LOADING)
        if drain is None:
            return self._plan_drain(target)
        return self._plan_order(target, placement, report, drain, now)

    def _plan_drain(self, target: Target) -> PlacementStep:
        if len(self._changing) >= self._limits.changes:
            return Wait(target.id, Reason.CHANGES)
        if self._serves_now(target) and not self._can_spare(target):
            return Wait(target.id, Reason.FLOOR)
        self._changing.add(target.id)
        return MarkDraining(target.id)

    def _plan_order(
        self,
        target: Target,
        placement: Placement,
        report: EngineReport,
        drain: DrainMark,
        now: float,
    ) -> PlacementStep:
        if drain.age < self._limits.settle:
            return Wait(target.id, Reason.SETTLING)
        if report.busy:
            return Wait(target.id, Reason.BUSY)
        if not self._budget.take(now):
            return Wait(target.id, Reason.WEIGHT_STORE)
        return SendOrder(target.id, placement)

    def _serves_now(self, target: Target) -> bool:
        """Tell whether a target counts toward the floor as it is."""
        report = self._reports.get(target.id)
        if report is None or report.loaded is None or target.id in self._drains:
            return False
        loaded = report.loaded
        return loaded.model == self._service.model and target.id not in self._changing

    def _can_spare(self, target: Target) -> bool:
        """Tell whether the floor still holds without a target."""
        ranges = [
            report.loaded.layers
            for item in self._targets
            if item.id != target.id
            and self._serves_now(item)
            and (report := self._reports[item.id]).loaded is not None
        ]
        return count_chains(ranges, self._service.layers) >= self._service.floor


def list_ordered(bundle: Bundle, region: Region) -> list[Target]:
    """Return the targets of a region that take orders."""
    return [
        target
        for target in bundle.targets.values()
        if bundle.services[target.service].kind is ServiceKind.MODEL
        and bundle.is_in_region(target.data_centre, region)
    ]
