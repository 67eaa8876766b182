"""Places model requests over the data centres by the forecasts of their chains."""

import random
from collections.abc import Callable, Sequence

import structlog
from msgspec.structs import replace

from marigoldswitch.core.catalogue import LayerRange, Target
from marigoldswitch.core.centre_shares import (
    FULL_LOSS,
    CentreShares,
    LatencyNeeds,
    ShareChange,
    rate_chain,
)
from marigoldswitch.core.ids import DataCentre, ServiceName
from marigoldswitch.core.loads import Loads
from marigoldswitch.core.models import ModelSpec
from marigoldswitch.core.path_search import HOP_COST
from marigoldswitch.core.paths import FILL_LIMITS, find_chain
from marigoldswitch.core.ports import Clock
from marigoldswitch.core.routes import RoutingTable, ServiceSpec
from marigoldswitch.core.stages import Chain, StageOffer
from marigoldswitch.gateway.directory import Directory
from marigoldswitch.gateway.forecaster import Forecaster

logger = structlog.get_logger(__name__)

UNEVEN_FACTOR = 4.0
"""Ratio between the step times of a service's engines from which it is placed by
forecasts."""
RISKY_HOP_COST = 0.001
"""Seconds that a stage adds to the cost of a token where placing is active. Ten slow
stages cost as much as 6 ms or a third of a token's time on slow engines; each is one
more engine whose end interrupts the stream."""
URGENT_RESERVE = 0.2
"""Share of the memory of fast engines that is left to the most urgent requests, and to
large ones, while other engines have room."""
LARGE_FACTOR = 1.5
"""A request counts as large from this multiple of the mean size."""
SIZE_WEIGHT = 0.02
"""Weight of a request in the mean size."""
LOGGED_CHANGE = 0.05
"""Change of a share that is logged."""


class _Unevenness:
    """Which accelerators a service's engines have, by the targets of one revision.

    :ivar is_active: whether the service is placed by forecasts.
    :ivar fast: accelerator kinds that are much faster than the slowest.
    """

    def __init__(self, model: ModelSpec, targets: Sequence[Target]) -> None:
        factors = {name: item.step_factor for name, item in model.accelerators.items()}
        slowest = max(factors.values(), default=0.0)
        centres = {item.data_centre for item in targets if item.layers is not None}
        self.fast = frozenset(
            name for name, item in factors.items() if item * UNEVEN_FACTOR <= slowest
        )
        self.is_active = bool(self.fast) and len(centres) > 1


class Placing:
    """Chooses the data centre of each request.

    :param home: data centre of this host.
    """

    def __init__(
        self,
        directory: Directory,
        loads: Loads,
        clock: Clock,
        home: DataCentre,
        source: random.Random,
        forecaster: Forecaster,
    ) -> None:
        self.moved: dict[ServiceName, int] = {}
        """Requests placed in another data centre than their own."""
        self._directory = directory
        self._loads = loads
        self._clock = clock
        self._home = home
        self._source = source
        self._forecaster = forecaster
        self._shares: dict[ServiceName, CentreShares] = {}
        self._logged: dict[tuple[ServiceName, DataCentre], float] = {}
        self._unevenness: dict[ServiceName, tuple[int, ModelSpec, _Unevenness]] = {}
        self._needs: tuple[int, dict[tuple[ServiceName, int], LatencyNeeds]] = (-1, {})
        self._mean_tokens = 0.0

    def is_active(self, service: ServiceSpec) -> bool:
        """Return whether a service's requests are placed by forecasts."""
        return service.model is not None and self._survey(service).is_active

    def choose_hop_cost(self, service: ServiceSpec) -> float:
        """Return the cost of a stage, in seconds for each token."""
        return RISKY_HOP_COST if self.is_active(service) else HOP_COST

    def get_moved_share(self, service: ServiceName) -> float:
        """Return the share of a service's requests that goes to other data centres."""
        shares = self._shares.get(service)
        return sum(shares.shares.values()) if shares is not None else 0.0

    def list_shares(self) -> dict[ServiceName, float]:
        """Return the share of requests that goes elsewhere, for each placed service."""
        return {name: self.get_moved_share(name) for name in self._shares}

    def find(
        self,
        service: ServiceSpec,
        offers: Sequence[StageOffer],
        tokens: int,
        priority: int,
        jitters: tuple[float, float],
    ) -> Chain | None:
        """Return a chain in the data centre that was drawn for a new request.

        Returns ``None`` if there is none with ample room, or if the request is to get
        any chain at home.

        :param priority: rank of the request; 0 comes first.
        :param jitters: for engines at home and elsewhere; see
            :func:`~marigoldswitch.core.paths.choose_jitter`.
        """
        model, home, rng = service.model, self._home, self._source
        if model is None:
            return None
        reserved = self._reserve_fast(service, offers, tokens, priority)
        usable = offers if reserved is None else reserved
        span = LayerRange(0, model.layers)

        def find_in(centre: DataCentre) -> Chain | None:
            return find_chain(
                [item for item in usable if item.data_centre == centre],
                span,
                rng,
                jitter=jitters[centre != home],
                max_fill=FILL_LIMITS[0],
                allow_partial=False,
                hop_cost=RISKY_HOP_COST,
            )

        self._compare_if_due(service, tokens, find_in)
        known = self._loads.get_other_centres().keys()
        centre = self._get_shares(service).choose(known)
        if centre == home and reserved is None:
            return None
        chain = find_in(centre)
        if chain is not None:
            self.note_choice(service, chain, tokens, is_drawn=True)
        return chain

    def _compare_if_due(
        self,
        service: ServiceSpec,
        tokens: int,
        find_there: Callable[[DataCentre], Chain | None],
    ) -> None:
        """Compare another data centre with home, if one is due.

        :param find_there: returns a chain with ample room that lies there.
        """
        shares, now = self._get_shares(service), self._clock.monotonic()
        known = self._loads.get_other_centres().keys()
        centre = shares.choose_compared(known, now)
        if centre is None:
            return
        chain = find_there(centre)
        rating = FULL_LOSS
        if chain is not None:
            rating = self._rate(service, chain, tokens)
        change = shares.compare(centre, rating, now)
        if change is not None:
            self._log_change(service.name, change)

    def note_choice(
        self, service: ServiceSpec, chain: Chain | None, tokens: int, is_drawn: bool
    ) -> None:
        """Record what a request gets.

        :param chain: ``None`` if no data centre has a chain with room.
        :param is_drawn: its data centre was drawn; else it is the next one with room.
        """
        shares, now = self._get_shares(service), self._clock.monotonic()
        if chain is None or chain.crossings > 0:
            shares.note(self._home, FULL_LOSS, now)
            return
        row = self._directory.registry.rows.get(chain.stages[0].target)
        centre = row.target.data_centre if row is not None else self._home
        shares.note(centre, self._rate(service, chain, tokens), now)
        if centre != self._home:
            self.moved[service.name] = self.moved.get(service.name, 0) + 1
            if not is_drawn:
                shares.note(self._home, FULL_LOSS, now)

    def _reserve_fast(
        self,
        service: ServiceSpec,
        offers: Sequence[StageOffer],
        tokens: int,
        priority: int,
    ) -> list[StageOffer] | None:
        """Return the offers with a reserve on fast engines, or ``None`` without one.

        Urgent requests and large ones may use all of the memory.

        :param priority: rank of the request; 0 comes first.
        """
        self._mean_tokens = self._mean_tokens or float(tokens)
        self._mean_tokens += SIZE_WEIGHT * (tokens - self._mean_tokens)
        if tokens >= LARGE_FACTOR * self._mean_tokens:
            return None
        if priority <= self._find_highest_priority(service.name):
            return None
        fast, rows = self._survey(service).fast, self._directory.registry.rows
        return [
            replace(item, used_share=item.used_share + URGENT_RESERVE)
            if item.target in rows and rows[item.target].target.accelerator in fast
            else item
            for item in offers
        ]

    def _rate(self, service: ServiceSpec, chain: Chain, tokens: int) -> float:
        forecast = self._forecaster.forecast(
            service, chain.stages, tokens, crossings=chain.crossings
        )
        fill = self._forecaster.measure_fill(service, chain.stages)
        needs = self._find_needs(service.name)
        return rate_chain(forecast, len(chain.stages), fill, needs)

    def _survey(self, service: ServiceSpec) -> _Unevenness:
        """Return the service's accelerators, surveyed again if the targets change."""
        assert service.model is not None
        registry = self._directory.registry
        known = self._unevenness.get(service.name)
        if known is not None:
            revision, model, unevenness = known
            if revision == registry.revision and model is service.model:
                return unevenness
        targets = registry.list_targets(service.name)
        unevenness = _Unevenness(service.model, targets)
        self._unevenness[service.name] = registry.revision, service.model, unevenness
        return unevenness

    def _get_shares(self, service: ServiceSpec) -> CentreShares:
        shares = self._shares.get(service.name)
        if shares is None:
            shares = CentreShares(self._home, self._source)
            self._shares[service.name] = shares
        return shares

    def _find_highest_priority(self, service: ServiceName) -> int:
        """Return the rank of the most urgent routes of a service."""
        needs = self._list_needs()
        ranks = [priority for name, priority in needs if name == service]
        return min(ranks, default=0)

    def _find_needs(self, service: ServiceName) -> LatencyNeeds:
        """Return the times that the most urgent routes of a service ask for."""
        rank = self._find_highest_priority(service)
        return self._list_needs().get((service, rank), LatencyNeeds())

    def _list_needs(self) -> dict[tuple[ServiceName, int], LatencyNeeds]:
        """Return the strictest needs for each service and priority."""
        table = self._directory.table
        if table is None:
            return {}
        if self._needs[0] != table.version:
            self._needs = table.version, _collect_needs(table)
        return self._needs[1]

    def _log_change(self, service: ServiceName, change: ShareChange) -> None:
        key = service, change.centre
        logged = self._logged.get(key, 0.0)
        ends = change.after == 0.0 and logged > 0.0
        if abs(change.after - logged) < LOGGED_CHANGE and not ends:
            return
        self._logged[key] = change.after
        logger.info(
            "centre_share_changed",
            service=service,
            centre=change.centre,
            share=round(change.after, 3),
            previous=round(logged, 3),
            home_loss=round(change.home_loss, 4),
            other_loss=round(change.other_loss, 4),
            home_age=round(change.home_age, 3),
        )


def _collect_needs(
    table: RoutingTable,
) -> dict[tuple[ServiceName, int], LatencyNeeds]:
    needs: dict[tuple[ServiceName, int], LatencyNeeds] = {}
    for route in table.routes:
        for item in route.services:
            key = item.service, route.priority
            known = needs.get(key)
            first, gap = route.latency_target, route.max_event_gap
            if known is not None:
                first = min(first, known.first_event)
                gap = min(gap or known.event_gap, known.event_gap or gap)
            needs[key] = LatencyNeeds(first, gap)
    return needs
