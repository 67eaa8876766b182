"""Play of hosts in three data centres that choose chains by loads of different age.

Engines and demand are those of a deployment with 7 a100s, 44 l4 and 48 t4. A request is
in time if its engines have room and its times by their true loads are within its needs.
"""

import heapq
import itertools
import random
from collections import Counter, defaultdict
from types import SimpleNamespace

from msgspec import Struct
from msgspec.structs import replace

from marigoldswitch.clocks import ManualClock
from marigoldswitch.core.catalogue import LayerRange, Target
from marigoldswitch.core.forecasts import (
    ForecastState,
    RequestSize,
    StageLoad,
    forecast_chain,
)
from marigoldswitch.core.ids import DataCentre, ServiceName, TargetId
from marigoldswitch.core.loads import Loads, Usage
from marigoldswitch.core.models import Accelerator, ModelSpec
from marigoldswitch.core.registry import TargetRow
from marigoldswitch.core.routes import Route, RouteKind, RoutingTable, WeightedService
from marigoldswitch.gateway.directory import Directory
from marigoldswitch.gateway.planner import ChainPlanner
from marigoldswitch.gateway.ports import StoredConfiguration

CENTRES = tuple(DataCentre(name) for name in "abc")
SERVICE = ServiceName("model")
PROMPT, ANSWER = 772, 138
TICK = 0.1
HOME_SECONDS, FAR_SECONDS = 0.2, 1.5
LAYERS_HELD = {"a100s": 17, "l4": 10, "t4": 7}
ENGINES = {
    "a": {"a100s": 4, "l4": 16, "t4": 17},
    "b": {"a100s": 3, "l4": 16, "t4": 16},
    "c": {"a100s": 0, "l4": 12, "t4": 15},
}
DEMAND = {"a": 68.0, "b": 78.3, "c": 60.6}
MODEL = ModelSpec(
    layers=80,
    layer_mb=1_750.0,
    token_layer_mb=0.0045,
    step_seconds=0.00085,
    sequence_seconds=0.00000424,
    context_seconds_per_token=0.0000000057,
    prefill_seconds_per_token=1.0 / 353_000.0,
    crossing_seconds_per_token=0.00008,
    accelerators={
        "a100s": Accelerator("a100s", 36_000.0, 3.1, 3.2),
        "l4": Accelerator("l4", 21_600.0, 16.0, 8.2),
        "t4": Accelerator("t4", 14_400.0, 15.0, 15.0),
    },
    event_tokens=2,
)
NEEDS = {0: (0.5, 0.25), 1: (0.5, 0.2), 2: (1.0, 0.25)}
"""Longest times to the first event and between events, by priority."""


def build_engines(engines):
    """Return targets whose layers cover the model in each data centre."""
    for centre, kinds in engines.items():
        first = 0
        # Small and large engines take turns, so that each part of the layers has both.
        drawn = [kind for kind, count in kinds.items() for _ in range(count)]
        random.Random(1).shuffle(drawn)
        for number, kind in enumerate(drawn):
            end = min(80, first + LAYERS_HELD[kind])
            begin = max(0, end - LAYERS_HELD[kind])
            name = f"{centre}{number}-{kind}"
            yield Target(
                TargetId(name),
                SERVICE,
                DataCentre(centre),
                f"{name}:80",
                96,
                LayerRange(begin, end),
                kind,
            )
            first = 0 if end == 80 else end


class Outcome(Struct):
    """What the requests of one data centre and priority got."""

    sent: int = 0
    in_time: int = 0
    refused: int = 0
    moved: int = 0
    stages: int = 0
    interrupted: int = 0


class Play:
    """Hosts, engines and streams.

    :param lost_reports: share of the load reports that don't arrive.
    """

    def __init__(
        self, hosts=8, engines=None, demand=None, placed=True, lost_reports=0.0, seed=1
    ):
        self.clock = ManualClock()
        self.rng = random.Random(seed)
        self.demand = demand or DEMAND
        self.targets = list(build_engines(engines or ENGINES))
        self.by_name = {item.id: item for item in self.targets}
        self.service = SimpleNamespace(name=SERVICE, model=MODEL)
        kinds = {"l4": MODEL.accelerators["l4"], "t4": MODEL.accelerators["t4"]}
        self.similar_service = SimpleNamespace(
            name=SERVICE, model=replace(MODEL, accelerators=kinds)
        )
        """The service, if its engines were about equally fast."""
        self.lost_reports = lost_reports
        self.hosts = defaultdict(list)
        for centre in CENTRES:
            for _ in range(hosts):
                self.hosts[centre].append(self._build_host(centre, hosts, placed))
        self.true = defaultdict(Usage)
        self.ends = []
        self.outcomes = defaultdict(Outcome)
        self.shares = []
        """Share that each data centre moves, at each second."""
        self.first_engines = Counter()
        self._numbers = itertools.count()
        self.cut = frozenset()
        """Data centres whose reports arrive nowhere else."""

    def _build_host(self, centre, hosts, placed):
        directory, loads = Directory(), Loads(centre)
        rows = [TargetRow(item, False, 1) for item in self.targets]
        directory.registry.replace_all(rows, 1, 0.0)
        directory.stored = StoredConfiguration(self._build_table(), b"")
        source = random.Random(self.rng.random())
        planner = ChainPlanner(directory, loads, self.clock, centre, source)
        planner.count_near = lambda: hosts
        planner.count_hosts = lambda: 3 * hosts
        if not placed:
            planner.placing.is_active = lambda _: False
        return SimpleNamespace(planner=planner, loads=loads, directory=directory)

    def _build_table(self):
        routes = tuple(
            Route(
                f"r{rank}", "h", f"/{rank}", RouteKind.STREAM, 20.0, rank,
                (WeightedService(SERVICE, 1.0),), 2, True, True, gap, first,
            )
            for rank, (first, gap) in NEEDS.items()
        )  # fmt: skip
        return RoutingTable(1, routes, {}, {}, None)

    def run(self, seconds):
        """Play some seconds."""
        for _ in range(round(seconds / TICK)):
            self._tick()

    def lose(self, names):
        """End some engines; their streams are interrupted and count to their end."""
        self.targets = [item for item in self.targets if item.id not in names]
        rows = [TargetRow(item, False, 2) for item in self.targets]
        revision = next(self._numbers) + 2
        for hosts in self.hosts.values():
            for host in hosts:
                registry = host.directory.registry
                registry.replace_all(rows, revision, self.clock.monotonic())
        for *_, stages, _, outcome in self.ends:
            outcome.interrupted += any(item.target in names for item in stages)

    def _tick(self):
        now = self.clock.monotonic()
        number = round(now / TICK)
        while self.ends and self.ends[0][0] <= now:
            _, _, host, stages, tokens, _ = heapq.heappop(self.ends)
            host.planner.release(stages, tokens)
            self._count(stages, tokens, -1)
        if number % round(HOME_SECONDS / TICK) == 0:
            self._report(far=False)
        if number % round(FAR_SECONDS / TICK) == 0:
            self._report(far=True)
        if number % round(1.0 / TICK) == 0:
            self.shares.append({name: self.get_share(name) for name in CENTRES})
        for centre in CENTRES:
            rate = self.demand[centre] * TICK
            for _ in range(self._draw_count(rate)):
                self._arrive(centre, now)
        self.clock.advance(TICK)

    def _draw_count(self, mean):
        return sum(self.rng.random() < mean / 40 for _ in range(40))

    def get_share(self, centre):
        """Return the mean share that hosts of a data centre move."""
        hosts = self.hosts[centre]
        moved = [item.planner.placing.get_moved_share(SERVICE) for item in hosts]
        return sum(moved) / len(moved)

    def _report(self, far):
        """Tell the loads of each data centre to its hosts, or to those of others."""
        now = self.clock.monotonic()
        for centre, hosts in self.hosts.items():
            total = defaultdict(Usage)
            for host in hosts:
                for name, usage in host.loads.own.items():
                    total[name] = total[name].plus(usage)
                if not far:
                    host.loads.mark_reported()
            for other, receivers in self.hosts.items():
                if (other != centre) is not far or far and centre in self.cut:
                    continue
                for host in receivers:
                    host.loads.expire(now)
                    if self.rng.random() >= self.lost_reports:
                        host.loads.set_centre_usage(centre, dict(total), now)

    def _arrive(self, centre, now):
        host = self.rng.choice(self.hosts[centre])
        priority = self.rng.choice(list(NEEDS))
        tokens = int((PROMPT + ANSWER) * self.rng.uniform(0.6, 1.4))
        outcome = self.outcomes[centre, priority]
        outcome.sent += 1
        chain = host.planner.find(self.service, tokens, priority=priority)
        if chain is None or not self._has_room(chain.stages, tokens):
            outcome.refused += 1
            return
        outcome.moved += self.by_name[chain.stages[0].target].data_centre != centre
        outcome.stages += len(chain.stages)
        self.first_engines[chain.stages[0].target] += 1
        forecast = self._forecast(chain, tokens)
        first, gap = NEEDS[priority]
        outcome.in_time += forecast.first_event <= first and forecast.event_gap <= gap
        host.planner.take(self.service, chain, tokens)
        self._count(chain.stages, tokens, 1)
        length = forecast.first_event + forecast.event_gap * ANSWER / MODEL.event_tokens
        entry = now + length, next(self._numbers), host, chain.stages, tokens, outcome
        heapq.heappush(self.ends, entry)

    def _has_room(self, stages, tokens):
        return all(
            self.measure_fill(item.target)
            + tokens * (item.layers.end - item.layers.first)
            / self._measure_capacity(item.target)
            <= 1.0
            for item in stages
        )  # fmt: skip

    def _measure_capacity(self, name):
        target = self.by_name[name]
        accelerator = MODEL.accelerators[target.accelerator]
        return MODEL.measure_request_memory(accelerator, target.layers)

    def measure_fill(self, name):
        """Return the true share of an engine's memory in use."""
        return self.true[name].memory / self._measure_capacity(name)

    def _forecast(self, chain, tokens):
        """Return what the chain gives by the true loads of its engines."""
        stages = []
        for item in chain.stages:
            target, usage = self.by_name[item.target], self.true[item.target]
            held = target.layers.end - target.layers.first
            layers = item.layers.end - item.layers.first
            accelerator = MODEL.accelerators[target.accelerator]
            context = usage.memory / held
            stages.append(
                StageLoad(item.target, accelerator, layers, usage.requests, context)
            )
        size = RequestSize(int(0.85 * tokens), tokens)
        return forecast_chain(stages, size, ForecastState(MODEL, chain.crossings))

    def _count(self, stages, tokens, sign):
        for item in stages:
            memory = sign * tokens * (item.layers.end - item.layers.first)
            usage = Usage(sign, memory, sign * (item.layers.first == 0))
            self.true[item.target] = self.true[item.target].plus(usage)

    def get_centre_shares(self, field="in_time"):
        """Return the share of a data centre's requests that have an outcome."""
        return {
            centre: sum(getattr(o, field) for (c, _), o in self.outcomes.items()
                        if c == centre)
            / max(1, sum(o.sent for (c, _), o in self.outcomes.items() if c == centre))
            for centre in CENTRES
        }  # fmt: skip
