"""What engines offer for a request, by the loads and statements known to this host."""

import math
from collections.abc import Callable, Sequence

from marigoldswitch.core.catalogue import Target
from marigoldswitch.core.ids import DataCentre, TargetId
from marigoldswitch.core.loads import Loads
from marigoldswitch.core.models import ModelSpec
from marigoldswitch.core.pace_finding.sharing import TargetRoom
from marigoldswitch.core.ports import Clock
from marigoldswitch.core.routes import ServiceSpec
from marigoldswitch.core.stages import (
    BACKLOG_COST_FACTOR,
    StageOffer,
    choose_offered_layers,
    compute_begin_cost,
)
from marigoldswitch.gateway.directory import Directory
from marigoldswitch.gateway.prefill_work import PrefillWork

LEAVING_USE_SECONDS = 0.8
"""Time for which a leaving engine may still get requests if its data centre has no
chain without it. It serves for 2 s after the store records that it leaves, which this
host learns up to half a second later; a new holder of its layers needs 1.5 s."""
STREAM_SECONDS = 2.0
"""Least time for which most streams run."""


class EngineOffers:
    """Builds the offers of engines, among which chains are searched.

    :param home: data centre of this host.
    :param slowness: step time relative to the usual one, for engines known to be slow.
    """

    def __init__(
        self,
        directory: Directory,
        loads: Loads,
        clock: Clock,
        home: DataCentre,
        slowness: dict[TargetId, float],
        prefill: PrefillWork,
    ) -> None:
        self.count_near: Callable[[], int] = lambda: 1
        """Returns the number of live hosts in this data centre, including this one."""
        self._directory = directory
        self._loads = loads
        self._clock = clock
        self._home = home
        self._slowness = slowness
        self._prefill = prefill

    def list_usable(
        self,
        service: ServiceSpec,
        model: ModelSpec,
        tokens: int,
        is_paced: bool = True,
    ) -> list[StageOffer]:
        """Return what the engines of a service offer for a request.

        :param is_paced: whether engines on a ramp offer only what their share allows.
        """
        now = self._clock.monotonic()
        suspects = self._directory.suspects
        targets = [
            target
            for target in self._directory.registry.list_targets(service.name)
            if not suspects.is_excluded(target.id, now)
        ]
        offers = self.build(targets, model, tokens, is_paced)
        if not is_paced or not self._directory.ramps.is_active:
            return offers
        return [item for item in offers if self._may_send(item, now)]

    def _may_send(self, offer: StageOffer, now: float) -> bool:
        """Return whether the pace of an engine allows one more stream now."""
        taken = (offer.layers.end - offer.layers.first) * offer.share_per_layer
        streams = 1.0 / taken if taken > 0.0 else float("inf")
        ramps = self._directory.ramps
        room = TargetRoom(
            # The offer is for the share alone.
            streams / ramps.get_share(offer.target, now),
            self._loads.get(offer.target).requests,
            STREAM_SECONDS,
            offer.data_centre == self._home,
        )
        return ramps.may_send(offer.target, room, now)

    def list_leaving(
        self, service: ServiceSpec, model: ModelSpec, tokens: int
    ) -> list[StageOffer]:
        """Return the offers of engines that have just begun to leave."""
        now = self._clock.monotonic()
        registry, suspects = self._directory.registry, self._directory.suspects
        targets = [
            target
            for target in registry.list_leaving(service.name, now - LEAVING_USE_SECONDS)
            if not suspects.is_excluded(target.id, now)
        ]
        return self.build(targets, model, tokens)

    def list_failing(
        self, service: ServiceSpec, model: ModelSpec, tokens: int
    ) -> list[StageOffer]:
        """Return the offers of engines that are excluded but may be a last resort.

        If all connections of a host are reset, or an engine that is needed refuses, no
        other engines may be left.
        """
        now = self._clock.monotonic()
        suspects = self._directory.suspects
        targets = [
            target
            for target in self._directory.registry.list_targets(service.name)
            if suspects.is_last_resort(target.id, now)
        ]
        return self.build(targets, model, tokens)

    def build(
        self,
        targets: Sequence[Target],
        model: ModelSpec,
        tokens: int,
        is_paced: bool = True,
    ) -> list[StageOffer]:
        """Return what some engines offer for a request; those that offer nothing are
        left out.

        :param tokens: context tokens to reserve memory for.
        :param is_paced: whether engines on a ramp offer only what their share allows.
        """
        peers = self.count_near() - 1
        blocked = self._directory.statements.list_blocked(self._clock.monotonic())
        offers = (
            self._build_offer(
                target, model, tokens, peers, target.id not in blocked, is_paced
            )
            for target in targets
        )
        return [item for item in offers if item is not None]

    def _build_offer(
        self,
        target: Target,
        model: ModelSpec,
        tokens: int,
        peers: int,
        may_begin: bool,
        is_paced: bool,
    ) -> StageOffer | None:
        """Return an engine's offer, or ``None`` if it can run no part of a request.

        :param peers: number of other hosts in this data centre, which are expected to
            choose engines as this host does.
        :param may_begin: whether it takes a request of this host now.
        :param is_paced: whether an engine on a ramp offers only what its share allows.
        """
        accelerator = model.accelerators.get(target.accelerator)
        layers = target.layers
        if accelerator is None or layers is None:
            return None
        capacity = model.measure_request_memory(accelerator, layers)
        if capacity <= 0.0:
            return None
        usage = self._loads.get(target.id)
        share = 1.0
        if is_paced:
            share = self._directory.ramps.get_share(target.id, self._clock.monotonic())
        capacity *= share
        slots = math.ceil(share * target.slots)
        offered = choose_offered_layers(layers, usage.begun, slots, may_begin)
        if offered is None:
            return None
        context = usage.memory / (layers.end - layers.first)
        slowness = self._slowness.get(target.id, 1.0)
        seconds = model.estimate_layer_seconds(accelerator, usage.requests, context)
        backlog = self._prefill.get_seconds(target.id)
        return StageOffer(
            target.id,
            target.address,
            target.data_centre,
            offered,
            seconds * slowness * (2.0 - share),
            usage.memory / capacity,
            tokens / capacity,
            self._loads.get_unreported_memory(target.id) * peers / capacity,
            compute_begin_cost(usage.begun, slots, model.step_seconds),
            slowness * model.estimate_prefill_seconds(accelerator, tokens),
            backlog,
            math.ceil(tokens / model.prefill_chunk),
            entry_cost=BACKLOG_COST_FACTOR * backlog,
        )
