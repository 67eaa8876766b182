"""Plays the loss of engines through which streams run, without a network.

The hosts are planners with views of each other's loads that are up to 0.2 s old.
Engines do prefill in the order in which it reaches them.
"""

import heapq
import random
from collections import defaultdict
from types import SimpleNamespace

from msgspec import Struct

from marigoldswitch.clocks import ManualClock
from marigoldswitch.core.catalogue import LayerRange, Target
from marigoldswitch.core.ids import DataCentre, HostId, ServiceName, TargetId
from marigoldswitch.core.loads import Loads, Usage
from marigoldswitch.core.models import Accelerator, ModelSpec
from marigoldswitch.core.registry import TargetRow
from marigoldswitch.core.resumption import is_quicker_elsewhere
from marigoldswitch.core.stages import Stage
from marigoldswitch.core.suspects import Finding
from marigoldswitch.gateway.directory import Directory
from marigoldswitch.gateway.planner import ChainPlanner

HOME = DataCentre("north")
FAR = (DataCentre("east"), DataCentre("south"))
FAR_USAGE = Usage(36, 36 * 900 * 8, 4)
"""Usage of each engine of other data centres, as the hosts there report it."""
SERVICE = ServiceName("model")
HOSTS = 22
STREAMS = 124
"""Streams of one data centre; some forty run through each of its 34 engines."""
TOKENS = 900
"""Expected length of a context, prompt and answer."""
CONTEXT = 860
"""Tokens of a context when an engine is lost."""
NOTICED = (0.08, 0.12)
"""Seconds until the loss of a later engine is noticed by silence."""
RESET_NOTICED = 0.004
"""Seconds until the loss of a first engine is noticed: its connection is reset."""
ORDER_SECONDS = 0.002
EVENT_GAP = 0.045
PAUSE_LIMIT = 0.25
ARRIVALS = 20
"""New requests of the data centre while its streams are resumed."""
ARRIVAL_SECONDS = 0.3
DECODE_SECONDS = 0.02
"""Time of the decode steps until the first event after the prefill."""
CHUNKS = 2
"""Chunks in which an engine processes a context."""
DECODE_STEP = 0.0016
"""Seconds of the decode step of other requests that follows each chunk."""
MODEL = ModelSpec(
    layers=80,
    layer_mb=1750.0,
    token_layer_mb=0.004,
    step_seconds=0.00085,
    sequence_seconds=0.00000424,
    context_seconds_per_token=0.0000000057,
    prefill_seconds_per_token=1.0 / 353_000.0,
    crossing_seconds_per_token=32_800.0 * 8.0 / 3.44e9,
    accelerators={
        "l4": Accelerator("l4", 21_600.0, 16.0, 8.2),
        "t4": Accelerator("t4", 14_400.0, 15.0, 15.0),
    },
)


class RunningStream(Struct):
    """A stream of one host.

    :param silence: seconds since its last event when engines are lost.
    """

    host: int
    stages: tuple[Stage, ...]
    silence: float


def build_targets(centre):
    """Return 34 engines, half of them l4 with 10 layers and half t4 with 7."""
    targets = []
    for kind, size, count in (("l4", 10, 17), ("t4", 7, 17)):
        for number in range(count):
            first = number * size % 80
            if kind == "t4" and number >= 12:
                first = (number - 12) * 16 + 3
            elif first + size > 80:
                first = 80 - size
            targets.append(
                Target(
                    TargetId(f"{centre}-{kind}-{number}"),
                    SERVICE,
                    centre,
                    f"{centre}-{kind}-{number}:80",
                    96,
                    LayerRange(first, first + size),
                    kind,
                )
            )
    return targets


class LossPlay:
    """Hosts and engines of one data centre, with streams on them.

    :param is_planned: whether hosts plan for the pauses of streams; otherwise they
        choose replacements by decode steps alone.
    """

    def __init__(self, is_planned, seed):
        self.is_planned = is_planned
        self.resumed_elsewhere = 0
        self.rng = random.Random(seed)
        self.clock = ManualClock(10.0)
        self.service = SimpleNamespace(name=SERVICE, model=MODEL)
        self.targets = build_targets(HOME)
        far = [item for name in FAR for item in build_targets(name)]
        self.planners, self.loads, self.directories = [], [], []
        self.seconds_per_layer = {
            item.id: CONTEXT
            * MODEL.prefill_seconds_per_token
            * MODEL.accelerators[item.accelerator].prefill_factor
            / MODEL.layers
            for item in self.targets + far
        }
        for number in range(HOSTS):
            directory, loads = Directory(), Loads(HOME)
            rows = [TargetRow(item, False, 1) for item in self.targets + far]
            directory.registry.replace_all(rows, 1, 0.0)
            table = SimpleNamespace(
                services={SERVICE: self.service},
                services_with_gap_limit={SERVICE} if is_planned else set(),
            )
            directory.stored = SimpleNamespace(table=table)
            planner = ChainPlanner(
                directory, loads, self.clock, HOME, random.Random(seed * 997 + number)
            )
            planner.count_near = planner.count_hosts = lambda: HOSTS
            directory.suspects.add_dead_listener(planner.plan_loss)
            for name in FAR:
                usages = {
                    item.id: FAR_USAGE for item in far if item.data_centre == name
                }
                loads.set_centre_usage(name, usages, self.clock.now)
            self.planners.append(planner)
            self.loads.append(loads)
            self.directories.append(directory)
        self.streams = [self._start(number) for number in range(STREAMS)]

    def _start(self, number):
        if number % 6 == 0:
            self.tell()
        self.clock.now += 0.03
        host = number % HOSTS
        silence = self.rng.uniform(0.0, EVENT_GAP)
        return RunningStream(host, self._begin(host), silence)

    def tell(self):
        """Exchange the loads of all hosts."""
        for number, loads in enumerate(self.loads):
            loads.mark_reported()
            for other in self.loads:
                if other is not loads:
                    other.set_peer_usage(
                        HostId(str(number)), HOME, dict(loads.own), self.clock.now
                    )

    def slow_down(self, factor, names):
        """Make engines slow, which their reports show."""
        for name in names:
            self.seconds_per_layer[name] *= factor
            for planner in self.planners:
                planner.slowness[name] = factor

    def lose(self, lost):
        """End some engines, and begin new requests meanwhile.

        :return: pauses of the streams through them, and times to the first events of
            the new requests.
        """
        self.clock.now += 1.0
        began = self.clock.now
        work = [
            (self.rng.uniform(0.0, ARRIVAL_SECONDS), number, None)
            for number in range(ARRIVALS)
        ]
        for stream in self.streams:
            if not any(item.target in lost for item in stream.stages):
                continue
            delay = self.rng.uniform(*NOTICED)
            if stream.stages[0].target in lost:
                delay = RESET_NOTICED
            work.append((delay, len(work), stream))
        work.sort(key=lambda item: item[:2])
        orders = []
        for delay, number, stream in work:
            self.clock.now = began + delay
            host = number % HOSTS if stream is None else stream.host
            for name in sorted(lost):
                suspects = self.directories[host].suspects
                suspects.note(name, Finding.DEAD, self.clock.now)
            if stream is None:
                stages = self._begin(host)
            else:
                stages = self._continue(stream, lost, stream.silence + delay)
            orders.append((self.clock.now + ORDER_SECONDS, stages))
        ends = self._run_prefill(orders)
        pauses, first_events = [], []
        for (delay, _, stream), end in zip(work, ends, strict=True):
            if stream is None:
                first_events.append(end + DECODE_SECONDS - began - delay)
                continue
            pauses.append(stream.silence + end + DECODE_SECONDS - began)
        return pauses, first_events

    def _begin(self, host, is_new=True):
        """Give a request a whole chain; return its stages."""
        chain = self.planners[host].find(self.service, TOKENS, is_new=is_new)
        assert chain is not None
        self.planners[host].take(self.service, chain, TOKENS)
        return chain.stages

    def _continue(self, stream, lost, silence):
        """Give a stream other engines; return the stages that do prefill."""
        planner, old = self.planners[stream.host], stream.stages
        gone = {item.target for item in old if item.target in lost}
        detour = None
        if old[0].target not in lost:
            detour = planner.find_detour(self.service, TOKENS, old, gone)
            left = PAUSE_LIMIT - silence
            if self.is_planned and is_quicker_elsewhere(detour.cost, left):
                detour = None
                self.resumed_elsewhere += 1
        if detour is None:
            stream.stages = self._begin(stream.host, is_new=False)
            planner.release(old, TOKENS)
            return stream.stages
        planner.hold(detour.stages, TOKENS)
        planner.release(old, TOKENS)
        stream.stages = detour.stages
        return [item for item in detour.stages if item not in old]

    def _run_prefill(self, orders):
        """Return when the contexts of some streams have been processed.

        Each engine does one chunk after the other, in the order of their arrival.

        :param orders: time and stages of the prefill of each stream.
        """
        ends, free_at = [0.0] * len(orders), defaultdict(float)
        queue = [
            (ready, chunk, number, 0)
            for number, (ready, _) in enumerate(orders)
            for chunk in range(CHUNKS)
        ]
        heapq.heapify(queue)
        while queue:
            ready, chunk, number, index = heapq.heappop(queue)
            stages = orders[number][1]
            stage = stages[index]
            layers = stage.layers.end - stage.layers.first
            seconds = layers * self.seconds_per_layer[stage.target] / CHUNKS
            end = max(ready, free_at[stage.target]) + seconds
            free_at[stage.target] = end + DECODE_STEP
            if index + 1 < len(stages):
                heapq.heappush(queue, (end, chunk, number, index + 1))
            else:
                ends[number] = max(ends[number], end)
        return ends


def play_losses(is_planned, choose_lost, seeds=6, slow=()):
    """Play some losses.

    :param choose_lost: returns the engines to lose, given those of the data centre and
        random numbers.
    :param slow: engines that do prefill four times as slowly.
    :return: all pauses, all times to first events of new requests, and the share of
        interrupted streams that left a detour for another data centre.
    """
    pauses, first_events, elsewhere = [], [], 0
    for seed in range(seeds):
        play = LossPlay(is_planned, seed)
        play.slow_down(4.0, slow)
        names = sorted(item.id for item in play.targets)
        lost = set(choose_lost(names, random.Random(seed + 7)))
        more_pauses, more_first_events = play.lose(lost)
        pauses += more_pauses
        first_events += more_first_events
        elsewhere += play.resumed_elsewhere
    return pauses, first_events, elsewhere / max(1, len(pauses))


def measure_share(times, limit):
    """Return the share of times within a limit."""
    return sum(item <= limit for item in times) / len(times)
