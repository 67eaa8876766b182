"""Plays of callers, hosts and engines, in virtual time, while capacity is short."""

import asyncio
import random
from collections import defaultdict
from types import SimpleNamespace

from marigoldswitch.core.admitting.elsewhere import WaitingElsewhere
from marigoldswitch.core.admitting.engine_refusals import EngineRefusals
from marigoldswitch.core.admitting.requesters import Requester
from marigoldswitch.core.catalogue import LayerRange, Target
from marigoldswitch.core.ids import AccountId, DataCentre, HostId, ServiceName, TargetId
from marigoldswitch.core.loads import Loads
from marigoldswitch.core.models import Accelerator, ModelSpec
from marigoldswitch.core.registry import TargetRow
from marigoldswitch.core.routes import Route, RouteKind
from marigoldswitch.core.suspects import Finding
from marigoldswitch.gateway.admission import Admission
from marigoldswitch.gateway.directory import Directory
from marigoldswitch.gateway.planner import ChainPlanner
from marigoldswitch.tests.helpers import run_virtually

HOME = DataCentre("north")
SERVICE = ServiceName("model")
MODEL = ModelSpec(
    layers=8,
    layer_mb=100.0,
    token_layer_mb=0.5,
    step_seconds=0.001,
    sequence_seconds=0.00001,
    context_seconds_per_token=0.00000001,
    prefill_seconds_per_token=0.00001,
    accelerators={"card": Accelerator("card", 13_000.0, 1.0, 1.0)},
)
TIMEOUT = 20.0
OBJECTIVE = 0.5
MAX_WAIT = 0.3
MAX_REFUSALS = 4
TOKENS = 450
RUN_SECONDS = 2.0
PAIRS = 3
"""Pairs of engines that hold the whole model; each runs 13 usual streams."""


class Call(SimpleNamespace):
    """A caller's request and what it got.

    :ivar arrivals: when it was sent.
    :ivar admitted: when it was admitted; ``None`` if it never was.
    :ivar told: the ``Retry-After`` values that it got.
    """


class Play:
    """Hosts of one data centre with the same engines.

    :param shared: whether the service is shared by priorities and accounts.
    """

    def __init__(self, time, seed=1, hosts=8, pairs=PAIRS, shared=True):
        self.time, self.rng = time, random.Random(seed)
        self.route = Route("r", "h", "/", RouteKind.STREAM, TIMEOUT, 1, ())
        self.service = SimpleNamespace(name=SERVICE, model=MODEL)
        self.held = defaultdict(int)
        """Memory in use on each engine, in tokens times layers."""
        self.dead = set()
        self.refusals = self.repeated = 0
        self.calls, self.tasks = [], []
        self.targets = [
            Target(
                TargetId(f"e{number}-{first}"),
                SERVICE,
                HOME,
                f"e{number}-{first}:80",
                96,
                LayerRange(first, first + 4),
                "card",
            )
            for number in range(pairs)
            for first in (0, 4)
        ]
        accelerator = MODEL.accelerators["card"]
        self.capacity = MODEL.measure_request_memory(accelerator, LayerRange(0, 4))
        self.hosts = [self.build_host(item, hosts, shared) for item in range(hosts)]

    def build_host(self, number, hosts, shared):
        directory, loads = Directory(), Loads(HOME)
        rows = [TargetRow(item, False, 1) for item in self.targets]
        directory.registry.replace_all(rows, 1, 0.0)
        planner = ChainPlanner(
            directory, loads, self.time, HOME, random.Random(self.rng.random())
        )
        planner.count_near = planner.count_hosts = lambda: hosts
        admission = Admission(planner, self.time, random.Random(self.rng.random()))
        if shared:
            admission._shared = frozenset({SERVICE})
        elsewhere = WaitingElsewhere(HOME, lambda: hosts, admission.count_own)
        admission.get_elsewhere = elsewhere.get
        return SimpleNamespace(
            name=HostId(str(number)),
            directory=directory,
            loads=loads,
            planner=planner,
            admission=admission,
            elsewhere=elsewhere,
            cut_off=False,
            asked=0,
        )

    async def exchange(self):
        """Exchange loads and what waits, as a full mesh does."""
        while True:
            await asyncio.sleep(0.1)
            now = self.time.monotonic()
            for host in self.hosts:
                host.loads.mark_reported()
                host.loads.expire(now)
                waiting = host.elsewhere.report_own(now)
                for other in self.hosts:
                    if other is host or other.cut_off != host.cut_off:
                        continue
                    other.loads.set_peer_usage(
                        host.name, HOME, dict(host.loads.own), now
                    )
                    other.elsewhere.set_peer_counts(host.name, HOME, waiting, now)

    def lose_engines(self, names):
        self.dead |= set(names)

    def send(self, retries=1, honours=True, **fields):
        call = Call(
            priority=1,
            account="a",
            tokens=TOKENS,
            run_seconds=RUN_SECONDS,
            is_resumed=False,
            is_sticky=False,
            arrivals=[],
            admitted=None,
            told=[],
            refused_after=[],
        )
        call.__dict__.update(fields)
        self.calls.append(call)
        self.tasks.append(asyncio.ensure_future(self.run_call(call, retries, honours)))
        return call

    async def run_call(self, call, retries, honours):
        begun = self.time.monotonic()
        for attempt in range(retries + 1):
            now = self.time.monotonic()
            call.arrivals.append(now)
            if attempt == 0 or not call.is_sticky:
                host = self.rng.choice(self.hosts)
            told = await self.run_at(host, call, begun)
            if told is None:
                return
            call.refused_after.append(self.time.monotonic() - now)
            call.told.append(told)
            left = begun + TIMEOUT - self.time.monotonic()
            if attempt < retries:
                await asyncio.sleep(min(told, left / 3.0) if honours else 0.02)

    async def run_at(self, host, call, begun):
        """Run a request at a host; return the ``Retry-After`` if it is refused."""
        now, admission = self.time.monotonic(), host.admission
        is_early = admission.note_return(self.service, lambda: id(call))
        host.asked += 1
        first = admission.first_arrivals.find(
            self.route, AccountId(call.account), begun + TIMEOUT - now, now
        )
        requester = Requester(
            AccountId(call.account),
            now if is_early else first,
            now,
            now + OBJECTIVE,
            begun + TIMEOUT,
            is_resumed=call.is_resumed,
            is_early=is_early,
        )
        refusals, refused = EngineRefusals(), {}
        for _ in range(MAX_REFUSALS):
            left = max(0.0, now + MAX_WAIT - self.time.monotonic())
            chain = await admission.acquire(
                self.service,
                call.tokens,
                call.priority,
                left,
                requester=requester,
                refusals=refusals,
            )
            if chain is None:
                break
            engine = await self.run_over(host, call, chain)
            if engine is None:
                return None
            at = self.time.monotonic()
            self.repeated += at - refused.get(engine, -1.0) < 0.05
            refused[engine] = at
            host.directory.suspects.note_refusal(engine, False, at)
            refusals.note(engine, host.loads.get(engine), at)
            admission.note_refused(self.service)
        seconds = admission.choose_retry_after(
            self.service, id(call), call.priority, requester, call.tokens
        )
        return self.rng.uniform(0.8, 2.4) if seconds is None else seconds

    async def run_over(self, host, call, chain):
        """Run a request over a chain; return the engine that refuses it, if any."""
        try:
            await asyncio.sleep(0.001)
            for stage in chain.stages:
                size = call.tokens * (stage.layers.end - stage.layers.first)
                if stage.target in self.dead:
                    at = self.time.monotonic()
                    host.directory.suspects.note(stage.target, Finding.DEAD, at)
                    return stage.target
                if self.held[stage.target] + size > self.capacity:
                    self.refusals += 1
                    return stage.target
            for stage in chain.stages:
                size = call.tokens * (stage.layers.end - stage.layers.first)
                self.held[stage.target] += size
            host.admission.note_accepted(self.service)
            call.admitted = self.time.monotonic()
            await asyncio.sleep(call.run_seconds)
            for stage in chain.stages:
                size = call.tokens * (stage.layers.end - stage.layers.first)
                self.held[stage.target] -= size
            return None
        finally:
            host.planner.release(chain.stages, call.tokens)

    async def offer(self, rate, seconds, draw, **fields):
        """Send requests at a mean rate; ``draw`` returns the fields of each."""
        end = self.time.monotonic() + seconds
        while self.time.monotonic() < end:
            await asyncio.sleep(self.rng.expovariate(rate))
            self.send(**fields, **draw(self.rng))

    async def finish(self):
        await asyncio.gather(*self.tasks)


def play(work, **fields):
    """Run a coroutine function with a play, and return the play."""

    async def run(time):
        result = Play(time, **fields)
        exchange = asyncio.ensure_future(result.exchange())
        await work(result)
        await result.finish()
        exchange.cancel()
        return result

    return run_virtually(run)


def is_served(call):
    return call.admitted is not None


def is_on_time(call):
    """Return whether the first event of an answer is in time after the last arrival."""
    return is_served(call) and call.admitted - call.arrivals[-1] <= MAX_WAIT + 0.02


def measure_share(calls, test=is_served):
    calls = list(calls)
    return sum(map(test, calls)) / len(calls)
