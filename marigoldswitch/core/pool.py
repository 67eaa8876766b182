"""The targets that one dispatcher grants permits for."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from marigoldswitch.core.catalogue import Service, Target
from marigoldswitch.core.ids import DataCentre, TargetId
from marigoldswitch.core.messages import Ask, TargetReport
from marigoldswitch.core.routing import Route, choose_route
from marigoldswitch.core.targets import TargetState


@dataclass(slots=True)
class TargetPool:
    """Counts what is out on each target and chooses where a request goes.

    :param links: one-way seconds between data centres.
    """

    service: Service
    links: Mapping[tuple[DataCentre, DataCentre], float]
    states: dict[TargetId, TargetState] = field(default_factory=dict)

    def replace_targets(
        self,
        targets: Iterable[Target],
        leaving: frozenset[TargetId],
        held: Mapping[TargetId, int],
    ) -> None:
        """Take the targets of a new bundle or host list.

        :param leaving: those that may get no new work.
        :param held: permits out on each target.
        """
        fresh: dict[TargetId, TargetState] = {}
        for target in targets:
            state = self.states.get(target.id)
            if state is None:
                state = TargetState(target, float(target.slots))
                state.held = held.get(target.id, 0)
            state.use_target(target)
            state.leaving = target.id in leaving
            fresh[target.id] = state
        self.states = fresh

    def choose(self, ask: Ask, now: float) -> Route | None:
        """Return the best route with room for a request, if there is one."""
        return choose_route(
            self.service,
            self.states.values(),
            ask.data_centre,
            self.links,
            ask.avoid,
        )

    def hold(self, targets: Iterable[TargetId]) -> None:
        """Count one more permit out on each target."""
        for target in targets:
            if target in self.states:
                self.states[target].held += 1

    def free(self, targets: Iterable[TargetId]) -> None:
        """Count one permit fewer out on each target."""
        for target in targets:
            if target in self.states:
                self.states[target].held -= 1

    def take_report(self, report: TargetReport, now: float) -> None:
        """Learn from how a target behaved."""
        state = self.states.get(report.target)
        if state is None:
            return
        state.learn(report, now)
        state.load = report.load or state.load
        state.leaving = state.leaving or report.leaving
