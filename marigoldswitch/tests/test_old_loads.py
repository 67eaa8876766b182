"""Many hosts with outdated load data seldom overfill an engine's memory."""

import heapq
import random
from collections import Counter

import pytest

from marigoldswitch.core.ids import DataCentre, TargetId
from marigoldswitch.core.layer_cover import LayoutEngine
from marigoldswitch.core.layouts import plan_layout
from marigoldswitch.core.loads import NO_USAGE, Usage
from marigoldswitch.core.models import Accelerator, ModelSpec
from marigoldswitch.core.paths import choose_jitter, find_single_centre_chain
from marigoldswitch.core.stages import StageOffer

HOME = DataCentre("hobart")
KINDS = {
    "large": Accelerator("large", 72_000.0, 2.4, 3.2),
    "middle": Accelerator("middle", 43_200.0, 5.6, 2.7),
    "small": Accelerator("small", 21_600.0, 16.0, 8.2),
}
MODEL = ModelSpec(
    80, 1750.0, 0.01475, 1.02e-3, 9.2e-6, 1.2e-8, 6.1e-6, accelerators=KINDS
)
COUNTS = {"large": 2, "middle": 15, "small": 12}
HOSTS = 30
SUM_PERIOD = 0.2
"""Seconds between two publications of the total load of all hosts."""


def count_layers(layers):
    return layers.end - layers.first


class DataCentreSimulation:
    """Simulates hosts that choose engines of one data centre with outdated load data.

    Each host knows the last published totals and its own requests since then.

    :param lost: number of engines that are missing.
    """

    def __init__(self, seed, lost=0):
        self.source = random.Random(seed)
        engines = [
            LayoutEngine(TargetId(f"{kind}-{index}"), HOME, kind, None)
            for kind, count in COUNTS.items()
            for index in range(count)
        ]
        held = plan_layout(MODEL, engines)
        kept = self.source.sample(engines, len(engines) - lost)
        self.engines = {item.target: item for item in kept if item.target in held}
        self.layers = {name: held[name] for name in self.engines}
        self.capacity = {
            name: MODEL.measure_request_memory(KINDS[item.accelerator], held[name])
            for name, item in self.engines.items()
        }
        self.usage = Counter()
        self.requests = Counter()
        self.published = {}
        self.unpublished = {}
        self.completions = []
        self.counts = Counter()

    def run(self, rate, seconds):
        """Send requests at random times; return the share that finds no memory.

        :param rate: requests a second.
        """
        now = publish_at = 0.0
        while now < seconds:
            now += self.source.expovariate(rate)
            while self.completions and self.completions[0][0] <= now:
                self.complete_next()
            if now >= publish_at:
                publish_at = now + SUM_PERIOD
                self.publish_loads()
            self.send(now, self.source.randrange(HOSTS))
        return self.counts["overfilled"] / self.counts["sent"]

    def publish_loads(self):
        self.published = {
            name: Usage(self.requests[name], self.usage[name]) for name in self.engines
        }
        self.unpublished = {}

    def send(self, now, host):
        tokens = 200 + int(min(3000, self.source.lognormvariate(6.6, 0.6)))
        offers = [self.offer(name, host, tokens) for name in self.engines]
        jitter = choose_jitter(HOSTS)
        chain = find_single_centre_chain(
            offers, MODEL.layers, HOME, self.source, jitter
        )
        self.counts["sent"] += 1
        if chain is None:
            self.counts["refused"] += 1
            return
        taken = {
            item.target: tokens * count_layers(item.layers) for item in chain.stages
        }
        for name, memory in taken.items():
            known = self.unpublished.get((host, name), NO_USAGE)
            self.unpublished[host, name] = known.plus(Usage(1, memory))
        if any(self.usage[name] + taken[name] > self.capacity[name] for name in taken):
            self.counts["overfilled"] += 1
            return
        steps = sum(
            self.step_seconds(item.target) * count_layers(item.layers)
            for item in chain.stages
        )
        took = 0.1 + steps * self.source.lognormvariate(5.2, 0.6)
        for name, memory in taken.items():
            self.usage[name] += memory
            self.requests[name] += 1
        heapq.heappush(self.completions, (now + took, sorted(taken.items())))

    def complete_next(self):
        _, taken = heapq.heappop(self.completions)
        for name, memory in taken:
            self.usage[name] -= memory
            self.requests[name] -= 1

    def step_seconds(self, name):
        kind = KINDS[self.engines[name].accelerator]
        context = self.usage[name] / count_layers(self.layers[name])
        return MODEL.estimate_layer_seconds(kind, self.requests[name], context)

    def offer(self, name, host, tokens):
        known = self.published[name].plus(self.unpublished.get((host, name), NO_USAGE))
        kind = KINDS[self.engines[name].accelerator]
        capacity = self.capacity[name]
        return StageOffer(
            name,
            f"{name}:80",
            HOME,
            self.layers[name],
            MODEL.estimate_layer_seconds(
                kind, known.requests, known.memory / count_layers(self.layers[name])
            ),
            known.memory / capacity,
            tokens / capacity,
        )


@pytest.mark.parametrize("seed", range(1, 5))
def test_usual_traffic_of_thirty_hosts_seldom_overfills_an_engine(seed):
    assert DataCentreSimulation(seed).run(rate=55.0, seconds=6.0) <= 0.02


def test_traffic_after_the_loss_of_engines_mostly_finds_memory():
    simulations = [DataCentreSimulation(seed, lost=5) for seed in range(1, 7)]
    shares = [item.run(rate=55.0, seconds=6.0) for item in simulations]
    assert sum(shares) / len(shares) <= 0.03
    assert sum(item.counts["refused"] for item in simulations) <= 20
