"""Tracks the prefill that engines have before them, and plans that of lost engines."""

import random
from collections.abc import Callable, Sequence

import structlog

from marigoldswitch.core.catalogue import LayerRange, Target
from marigoldswitch.core.continuations import Continuations
from marigoldswitch.core.ids import ServiceName, TargetId
from marigoldswitch.core.loads import Loads
from marigoldswitch.core.models import ModelSpec
from marigoldswitch.core.ports import Clock
from marigoldswitch.core.reading_backlog import ReadingBacklog
from marigoldswitch.core.routes import ServiceSpec
from marigoldswitch.core.stages import Stage, StageOffer
from marigoldswitch.gateway.directory import Directory

logger = structlog.get_logger(__name__)

OfferBuilder = Callable[[Sequence[Target], ModelSpec, int], list[StageOffer]]
"""Builds the offers of engines for a request of some context tokens."""


class PrefillWork:
    """The prefill backlog of engines, and the plans for lost ones.

    Used only for services with a route that limits the pauses of its streams.
    """

    def __init__(
        self, directory: Directory, loads: Loads, clock: Clock, source: random.Random
    ) -> None:
        self.backlog = ReadingBacklog()
        self.continuations = Continuations(self.backlog, source)
        self._directory = directory
        self._loads = loads
        self._clock = clock

    def limits_pauses(self, service: ServiceName) -> bool:
        """Return whether a route of a service limits the pauses of its streams."""
        table = self._directory.table
        return table is not None and service in table.services_with_gap_limit

    def get_seconds(self, target: TargetId) -> float:
        """Return the seconds of prefill that an engine has before it."""
        return self.backlog.get_seconds(target, self._clock.monotonic())

    def note_sent(
        self, service: ServiceSpec, stages: Sequence[Stage], tokens: int
    ) -> None:
        """Add the prefill of a context to the backlog of the engines that do it."""
        if service.model is None or not self.limits_pauses(service.name):
            return
        now = self._clock.monotonic()
        for stage in stages:
            row = self._directory.registry.rows.get(stage.target)
            accelerator = (
                service.model.accelerators.get(row.target.accelerator) if row else None
            )
            if accelerator is not None:
                each = service.model.estimate_prefill_seconds(accelerator, tokens)
                layers = stage.layers.end - stage.layers.first
                self.backlog.add(stage.target, each * layers, now)

    def plan_loss(self, lost: TargetId, build_offers: OfferBuilder) -> None:
        """Plan the replacements of an engine that was found dead, if it had streams."""
        directory, now = self._directory, self._clock.monotonic()
        row = directory.registry.rows.get(lost)
        table = directory.table
        if row is None or table is None or not self.limits_pauses(row.target.service):
            return
        target, usage = row.target, self._loads.get(lost)
        service = table.services.get(target.service)
        if service is None or service.model is None or target.layers is None:
            return
        if usage.requests <= 0 or self.continuations.has_plan(lost, now):
            return
        held = target.layers.end - target.layers.first
        tokens = max(1, usage.memory // (usage.requests * held))
        candidates = [
            item
            for item in directory.registry.list_targets(target.service)
            if item.data_centre == target.data_centre
            and not directory.suspects.is_excluded(item.id, now)
        ]
        span = LayerRange(0, service.model.layers)
        offers = build_offers(candidates, service.model, tokens)
        parts = self.continuations.note_loss(
            lost, target.layers, usage, offers, span, now, lost in self._loads.own
        )
        logger.info(
            "continuations_planned",
            target=lost,
            streams=usage.requests,
            begun=usage.begun,
            tokens=tokens,
            parts=parts,
            engines=len(offers),
        )
