"""Finds chains of engines for requests, with what this host knows of their loads."""

import random

from marigoldswitch.core.catalogue import Target
from marigoldswitch.core.ids import DataCentre, TargetId
from marigoldswitch.core.loads import Loads, Usage
from marigoldswitch.core.models import ModelSpec
from marigoldswitch.core.paths import Stage, StageOffer, find_chain
from marigoldswitch.core.ports import Clock
from marigoldswitch.core.routes import ServiceSpec
from marigoldswitch.gateway.directory import Directory


class ChainPlanner:
    """Chooses chains and counts what they hold."""

    def __init__(
        self,
        directory: Directory,
        loads: Loads,
        clock: Clock,
        home: DataCentre,
        source: random.Random,
    ) -> None:
        self.slowness: dict[TargetId, float] = {}
        """Time for a step over the usual one, of engines that are known to be slow."""
        self._directory = directory
        self._loads = loads
        self._clock = clock
        self._home = home
        self._source = source

    def find(self, service: ServiceSpec, tokens: int) -> list[Stage] | None:
        """Return the chain for a request, or ``None`` where there is no room."""
        model = service.model
        if model is None:
            return None
        offers = self._list_offers(service, model, tokens)
        return find_chain(offers, model.layers, self._home, self._source)

    def find_detour(
        self, service: ServiceSpec, tokens: int, chain: list[Stage]
    ) -> list[Stage] | None:
        """Return a chain with the same first stage for a request under way."""
        model = service.model
        first = self._directory.registry.rows.get(chain[0].target)
        if model is None or first is None:
            return None
        offer = self._offer(first.target, model, tokens)
        if offer is None:
            return None
        offers = self._list_offers(service, model, tokens)
        return find_chain(
            offers,
            model.layers,
            self._home,
            self._source,
            offer,
            chain[0].layers.end,
        )

    def hold(self, chain: list[Stage], tokens: int) -> None:
        """Count a request at the stages of its chain."""
        self._loads.hold((item.target for item in chain), Usage(1, tokens))

    def release(self, chain: list[Stage], tokens: int) -> None:
        """Count a request as ended."""
        self._loads.release((item.target for item in chain), Usage(1, tokens))

    def _list_offers(
        self, service: ServiceSpec, model: ModelSpec, tokens: int
    ) -> list[StageOffer]:
        now = self._clock.monotonic()
        suspects = self._directory.suspects
        offers = []
        for target in self._directory.registry.list_targets(service.name):
            if suspects.is_out(target.id, now):
                continue
            offer = self._offer(target, model, tokens)
            if offer is not None:
                offers.append(offer)
        return offers

    def _offer(
        self, target: Target, model: ModelSpec, tokens: int
    ) -> StageOffer | None:
        accelerator = model.accelerators.get(target.accelerator)
        layers = target.layers
        if accelerator is None or layers is None:
            return None
        room = model.count_tokens(accelerator, layers)
        if room <= 0.0:
            return None
        usage = self._loads.get(target.id)
        seconds = model.estimate_step(accelerator, usage.requests, usage.tokens)
        return StageOffer(
            target.id,
            target.address,
            target.data_centre,
            layers,
            seconds * self.slowness.get(target.id, 1.0),
            usage.tokens / room,
            tokens / room,
        )
