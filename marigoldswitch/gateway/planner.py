"""Chooses chains of engines for requests by the engine loads known to this host."""

import random
from collections.abc import Callable, Collection, Sequence

from marigoldswitch.core.catalogue import LayerRange
from marigoldswitch.core.crossings import CrossingBudget
from marigoldswitch.core.forecasts import ChainForecast
from marigoldswitch.core.ids import DataCentre, TargetId
from marigoldswitch.core.loads import Loads, Usage
from marigoldswitch.core.models import ModelSpec
from marigoldswitch.core.paths import (
    choose_jitter,
    covers_model,
    find_chain,
    find_single_centre_chain,
    repair_chain,
)
from marigoldswitch.core.ports import Clock
from marigoldswitch.core.resumption import can_resume, find_resumed_chain
from marigoldswitch.core.retries import SlidingWindowCounter
from marigoldswitch.core.routes import ServiceSpec
from marigoldswitch.core.stages import (
    Chain,
    Stage,
    StageOffer,
    count_crossings,
)
from marigoldswitch.core.waiting import RATE_WINDOW_SECONDS
from marigoldswitch.gateway.directory import Directory
from marigoldswitch.gateway.engine_offers import LEAVING_USE_SECONDS, EngineOffers
from marigoldswitch.gateway.forecaster import Forecaster
from marigoldswitch.gateway.placing import Placing
from marigoldswitch.gateway.prefill_work import PrefillWork

DEAD_BEYOND_DOUBT_SECONDS = 0.5
"""Time after which an engine that is excluded as dead isn't expected back: live ones
are probed again, and found alive, within it."""


class ChainPlanner:
    """Chooses chains and tracks the load that their requests put on engines.

    :param home: data centre of this host.
    :param source: random numbers for choosing among chains of similar cost.
    """

    def __init__(
        self,
        directory: Directory,
        loads: Loads,
        clock: Clock,
        home: DataCentre,
        source: random.Random,
    ) -> None:
        self.slowness: dict[TargetId, float] = {}
        """Step time relative to the usual one, for engines known to be slow."""
        self._directory = directory
        self._loads = loads
        self._clock = clock
        self._home = home
        self._source = source
        self.forecaster = Forecaster(directory, loads, clock, self.slowness)
        self.placing = Placing(directory, loads, clock, home, source, self.forecaster)
        self.prefill = PrefillWork(directory, loads, clock, source)
        self.forecaster.get_backlog = self.prefill.get_seconds
        self.offers = EngineOffers(
            directory, loads, clock, home, self.slowness, self.prefill
        )
        self.offers.count_near = lambda: self.count_near()
        self._crossing_budget = CrossingBudget()
        self._ended = SlidingWindowCounter(RATE_WINDOW_SECONDS, bucket=0.1)
        """Chains of this host that have ended."""
        self.count_hosts: Callable[[], int] = lambda: 1
        """Returns the number of hosts that share bounds, silent ones included."""
        self.count_near: Callable[[], int] = lambda: 1
        """Returns the number of live hosts in this data centre, including this one."""

    def find(
        self,
        service: ServiceSpec,
        tokens: int,
        avoid: frozenset[TargetId] = frozenset(),
        is_new: bool = True,
        priority: int = 0,
        reserve: int = 0,
    ) -> Chain | None:
        """Return a chain for a request, or ``None`` if there is no capacity.

        Prefers a chain inside this data centre, if necessary over engines that are
        leaving or have failed a request, to one that crosses data centres. A share of
        the new requests is placed in another one that serves them better.

        :param tokens: context tokens to reserve memory for.
        :param avoid: targets that have just failed this request.
        :param is_new: whether the caller has received no part of the answer yet.
        :param priority: rank of the request; 0 comes first.
        :param reserve: tokens to leave free for other requests.
        """
        model = service.model
        if model is None:
            return None
        jitter = choose_jitter(self.count_near())
        # Engines on a ramp are used in full where no chain has room without that.
        for is_paced in (True, False) if self._directory.ramps.is_active else (True,):
            offers = self.offers.list_usable(service, model, tokens + reserve, is_paced)
            offers = [item for item in offers if item.target not in avoid]
            chain = self._find_among(service, offers, tokens, is_new, priority, jitter)
            if chain is not None:
                return chain
        if reserve:
            # Last resorts are not for requests that only leave room to others.
            return None
        for list_fallback in (self.offers.list_leaving, self.offers.list_failing):
            more = list_fallback(service, model, tokens + reserve)
            more = [item for item in more if item.target not in avoid]
            if not more:
                continue
            offers += more
            near = find_single_centre_chain(
                offers, model.layers, self._home, self._source
            )
            if near is not None:
                return near
        wide = find_chain(offers, LayerRange(0, model.layers), self._source)
        if wide is None:
            return None
        seconds = _estimate_crossing_seconds(wide.crossings, model, tokens)
        hosts, now = self.count_hosts(), self._clock.monotonic()
        return (
            wide
            if self._crossing_budget.can_spend(seconds, hosts, now, is_new)
            else None
        )

    def _find_among(
        self,
        service: ServiceSpec,
        offers: Sequence[StageOffer],
        tokens: int,
        is_new: bool,
        priority: int,
        jitter: float,
    ) -> Chain | None:
        """Return a chain within one data centre over some offers, if there is one.

        :param jitter: largest random part of a cost in this data centre.
        """
        model = service.model
        assert model is not None
        if not is_new and self.prefill.limits_pauses(service.name):
            resumed = find_resumed_chain(offers, model.layers, self._source)
            if resumed is not None:
                return resumed
        is_placed = is_new and self.placing.is_active(service)
        if is_placed:
            far_jitter = choose_jitter(self.count_hosts())
            placed = self.placing.find(
                service, offers, tokens, priority, (jitter, far_jitter)
            )
            if placed is not None:
                return placed
        hop_cost = self.placing.choose_hop_cost(service)
        near = find_single_centre_chain(
            offers, model.layers, self._home, self._source, jitter, hop_cost
        )
        if is_placed:
            self.placing.note_choice(service, near, tokens, is_drawn=False)
        return near

    def forecast(
        self,
        service: ServiceSpec,
        chain: Chain,
        tokens: int,
        prompt: int | None = None,
    ) -> ChainForecast:
        """Return what a request would get on a chain now.

        :param tokens: expected context.
        :param prompt: tokens to be prefilled; by default most of the context.
        """
        return self.forecaster.forecast(
            service, chain.stages, tokens, prompt, chain.crossings
        )

    def get_shortest_pause(self, service: ServiceSpec) -> float:
        """Return the seconds for which every engine that begins chains wants none.

        0 if there is no such engine: one may take over the first layer at any moment.
        """
        now, pauses = self._clock.monotonic(), self._directory.statements.pauses
        return min(
            (
                pauses.get_left(item.id, now)
                for item in self._directory.registry.list_targets(service.name)
                if item.layers is not None and item.layers.first == 0
            ),
            default=0.0,
        )

    def take(self, service: ServiceSpec, chain: Chain, tokens: int) -> None:
        """Record that a request uses a chain, with its data centre crossings."""
        if service.model is not None:
            seconds = _estimate_crossing_seconds(chain.crossings, service.model, tokens)
            self._crossing_budget.spend(seconds)
        first, now = chain.stages[0].target, self._clock.monotonic()
        self._directory.statements.note_sent(first, now)
        self.prefill.note_sent(service, chain.stages, tokens)
        self.hold(chain.stages, tokens)

    def find_detour(
        self,
        service: ServiceSpec,
        tokens: int,
        stages: Sequence[Stage],
        lost: Collection[TargetId],
    ) -> Chain | None:
        """Return a chain without some engines for a running request, if there is one.

        The first stage is kept. So are the other stages that are not lost, if possible;
        otherwise all of them are replaced. Each is tried inside the data centre of the
        first stage, then across data centres.

        :param tokens: context tokens to reserve memory for.
        :param stages: the current chain.
        :param lost: engines to exclude.
        """
        model = service.model
        if model is None:
            return None
        centres = self._list_centres(stages)
        home = centres.get(stages[0].target)
        offers = self.offers.list_usable(service, model, tokens)
        old_crossings = count_crossings([centres[item.target] for item in stages])
        is_limited = self.prefill.limits_pauses(service.name)
        if is_limited:
            planned = self.prefill.continuations.find(
                stages,
                lost,
                {item.target: item for item in offers},
                centres,
                self._clock.monotonic(),
            )
            if planned is not None and planned.crossings <= old_crossings:
                return planned
            offers = [item.for_resuming() for item in offers]
        near = [item for item in offers if item.data_centre == home]
        rest = {item.target for item in stages[1:]}
        attempts = [(lost, near), (lost, offers), (rest, near), (rest, offers)]
        if self._directory.ramps.is_active:
            offers = self.offers.list_usable(service, model, tokens, is_paced=False)
            if is_limited:
                offers = [item.for_resuming() for item in offers]
            attempts[2:2] = [(lost, offers)]
            attempts.append((rest, offers))
        jitter = choose_jitter(self.count_near() if is_limited else 1)
        for excluded, candidates in attempts:
            chain = repair_chain(
                stages, excluded, candidates, centres, self._source, jitter
            )
            if chain is None:
                continue
            added_crossings = max(0, chain.crossings - old_crossings)
            seconds = _estimate_crossing_seconds(added_crossings, model, tokens)
            now = self._clock.monotonic()
            if self._crossing_budget.try_spend(seconds, self.count_hosts(), now):
                new = [item for item in chain.stages if item not in stages]
                self.prefill.note_sent(service, new, tokens)
                return chain
        return None

    def has_chain_elsewhere(
        self, service: ServiceSpec, tokens: int, first: TargetId
    ) -> bool:
        """Return whether another data centre has room for a whole chain.

        :param first: an engine of the data centre to leave.
        """
        row = self._directory.registry.rows.get(first)
        if service.model is None or row is None:
            return False
        offers = self.offers.list_usable(service, service.model, tokens)
        centre = row.target.data_centre
        elsewhere = [item for item in offers if item.data_centre != centre]
        return can_resume(elsewhere, service.model.layers)

    def plan_loss(self, lost: TargetId) -> None:
        """Plan how the streams of an engine that was found dead continue."""
        self.prefill.plan_loss(lost, self.offers.build)

    def _list_centres(self, stages: Sequence[Stage]) -> dict[TargetId, DataCentre]:
        """Return the data centre of each engine; unknown engines count as local."""
        rows = self._directory.registry.rows
        return {
            item.target: rows[item.target].target.data_centre
            if item.target in rows
            else self._home
            for item in stages
        }

    def describe_shortage(self, service: ServiceSpec, tokens: int) -> dict[str, object]:
        """Return log fields that tell whether layers, memory or crossings are short."""
        if service.model is None:
            return {}
        offers = self.offers.list_usable(service, service.model, tokens)
        ranges = [item.layers for item in offers]
        ranges_with_room = [item.layers for item in offers if item.has_room()]
        layers = service.model.layers
        return {
            "engines": len(offers),
            "covered": covers_model(ranges, layers),
            "covered_with_room": covers_model(ranges_with_room, layers),
            "with_room": len(ranges_with_room),
            "blocked": self._list_blocked(service),
            "crossing_seconds_left": round(self._crossing_budget.available_seconds, 3),
        }

    def _list_blocked(self, service: ServiceSpec) -> list[TargetId]:
        """Return the engines that take no request of this host now."""
        now = self._clock.monotonic()
        blocked = self._directory.statements.list_blocked(now)
        targets = self._directory.registry.list_targets(service.name)
        return [item.id for item in targets if item.id in blocked]

    def had_room(self, service: ServiceSpec, stage: Stage, tokens: int) -> bool:
        """Return whether an engine that did not take a request had ample room for it.

        :param stage: the stage that the engine was to run.
        :param tokens: context tokens of the request.
        """
        row = self._directory.registry.rows.get(stage.target)
        if service.model is None or row is None:
            return False
        offers = self.offers.build([row.target], service.model, tokens)
        return any(item.has_ample_room(stage.layers) for item in offers)

    def may_cover(self, service: ServiceSpec) -> bool:
        """Return whether the engines that may still serve hold all layers.

        Engines without room count, and those that were found dead only just now: they
        may have been taken for dead wrongly. Loading missing layers takes longer than
        any new request waits.
        """
        model, now = service.model, self._clock.monotonic()
        if model is None:
            return False
        registry, suspects = self._directory.registry, self._directory.suspects
        targets = [
            item
            for item in registry.list_targets(service.name)
            if not suspects.has_been_dead(item.id, DEAD_BEYOND_DOUBT_SECONDS, now)
        ]
        targets += registry.list_leaving(service.name, now - LEAVING_USE_SECONDS)
        ranges = [item.layers for item in targets if item.layers is not None]
        return covers_model(ranges, model.layers)

    def measure_parallelism(self, service: ServiceSpec) -> float:
        """Return how many engines hold each layer on average."""
        if service.model is None:
            return 0.0
        targets = self._directory.registry.list_targets(service.name)
        held = [item.layers for item in targets if item.layers is not None]
        return sum(item.end - item.first for item in held) / service.model.layers

    def count_begun(self) -> int:
        """Return the number of requests that this host runs on chains."""
        return sum(item.begun for item in self._loads.own.values())

    def get_end_rate(self) -> float:
        """Return how many chains of this host end a second."""
        return self._ended.count(self._clock.monotonic()) / RATE_WINDOW_SECONDS

    def get_usage(self, target: TargetId) -> Usage:
        """Return the load of an engine by the requests of all known hosts."""
        return self._loads.get(target)

    def hold(self, stages: Sequence[Stage], tokens: int) -> None:
        """Add a request to the load of its chain's engines."""
        for item in stages:
            self._loads.hold(item.target, _build_usage(item, tokens))

    def release(self, stages: Sequence[Stage], tokens: int) -> None:
        """Remove an ended request from the load of its chain's engines."""
        self._ended.add(self._clock.monotonic())
        for item in stages:
            self._loads.release(item.target, _build_usage(item, tokens))


def _estimate_crossing_seconds(crossings: int, model: ModelSpec, tokens: int) -> float:
    """Return the seconds for which a prompt occupies the link between data centres."""
    return crossings * tokens * model.crossing_seconds_per_token


def _build_usage(stage: Stage, tokens: int) -> Usage:
    """Return the usage that a request adds to the engine that runs a stage."""
    memory = tokens * (stage.layers.end - stage.layers.first)
    return Usage(1, memory, begun=int(stage.layers.first == 0))
