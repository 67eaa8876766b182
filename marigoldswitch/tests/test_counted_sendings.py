"""Every request that reaches a target once more is a retry that a host has granted.

Counted at the targets, over all ways in which hosts send a request again.
"""

import asyncio
import contextlib
import random
from collections import Counter

import aiohttp
import pytest
from msgspec import Struct

from marigoldswitch.core.retries import RetryBudget
from marigoldswitch.gateway import (
    connections,
    exchanges,
    plain,
    proxied_runs,
    streams,
)
from marigoldswitch.gateway.bounded_connections import BoundedConnector
from marigoldswitch.standins.platform_engines import EngineStandin
from marigoldswitch.tests.faulty_targets import Fault, FaultyTarget
from marigoldswitch.tests.gateway_site import (
    DATA_CENTRES,
    build_configuration,
    run_scenario,
    run_site,
)
from marigoldswitch.tests.path_cuts import CutMode, PathCut

HOSTS = 3
TARGETS = 6
FAULTY = 4
ENGINES = 4
ATTEMPTS = 4
METHODS = ("GET", "POST", "PUT", "DELETE")
ONCE = 1_000_000
"""Least number of a request that may run only once."""


class GrantCount:
    """Counts the retries that the budgets of all hosts grant."""

    def __init__(self, monkeypatch) -> None:
        self.granted = 0
        spend = RetryBudget.spend

        def spend_counted(budget, now, use_reserve=False):
            is_granted = spend(budget, now, use_reserve)
            self.granted += is_granted
            return is_granted

        monkeypatch.setattr(RetryBudget, "spend", spend_counted)


async def call_all(site, numbers, rounds):
    """Send requests of every kind to every host at once, some rounds of them."""

    async def call(path, host, method):
        number = next(numbers) + ONCE * (path == "/once/")
        fields = {"data": None} if method == "GET" else {}
        fields["allow_redirects"] = False
        async with site.call(path, number, host, method=method, **fields) as answer:
            await answer.read()

    for _ in range(rounds):
        await asyncio.gather(
            *(
                call(path, host, method)
                for path in ("/look/", "/once/")
                for host in range(HOSTS)
                for method in METHODS
            )
        )


async def play(faults, cuts=(), share=1.0, faulty=FAULTY, seed=0):
    """Play requests while targets have faults and hosts are cut off from the service.

    :param faults: of which each target draws one for each request.
    :param cuts: pairs of a host's index and how it is cut off.
    :param share: of the requests that meet a fault at a faulty target.
    :param faulty: number of targets that have faults.
    :return: what arrived at the targets and what they ran.
    """
    source, numbers = random.Random(seed), iter(range(ONCE))
    targets = [FaultyTarget(f"d{index}") for index in range(TARGETS)]

    def choose_fault():
        return source.choice(faults) if source.random() < share else None

    async with run_site(hosts=HOSTS) as site:
        site.store.put("op", "config", build_configuration(2, attempts=ATTEMPTS))
        for index, target in enumerate(targets):
            await target.start()
            site.register_target(target, "desk", DATA_CENTRES[index % 2])
        directories = [host.parts.runs.directory for host in site.hosts]
        await site.wait_until(
            lambda: all(
                len(item.registry.targets) == TARGETS and item.version == 2
                for item in directories
            )
        )
        await call_all(site, numbers, 10)
        for target in targets[:faulty]:
            target.begin(choose_fault)
        path_cuts = [(PathCut(site.hosts[index]), mode) for index, mode in cuts]
        for cut, mode in path_cuts:
            cut.begin(mode)
        await call_all(site, numbers, 10)
        for target in targets:
            target.stop()
    return Arrivals(
        sum((item.arrivals for item in targets), Counter()),
        sum((item.runs for item in targets), Counter()),
    )


class Arrivals(Struct):
    """How often each request arrived at targets and ran there, by attempt id."""

    arrived: Counter[str]
    ran: Counter[str]

    def count_repeats(self):
        """Return the arrivals beyond the first of each request."""
        return sum(self.arrived.values()) - len(self.arrived)

    def list_second_runs(self):
        """Return the requests that may run only once and have run more often."""
        once = (name for name in self.ran if int(name.removeprefix("try-")) >= ONCE)
        return [name for name in once if self.ran[name] > 1]


async def play_streams(fault, cuts=(), faulty=ENGINES // 2):
    """Play streams while some engines have a fault.

    :param fault: is called with each of these engines before every round.
    :param faulty: number of engines that have it.
    :param cuts: pairs of a host's index and how it is cut off from all engines.
    """
    numbers, arrivals = iter(range(ONCE)), Arrivals(Counter(), Counter())

    async def handle_counted(engine, http):
        if http.path == "/draft/":
            arrivals.arrived[http.headers["Attempt-Id"]] += 1
        return await handle(engine, http)

    async def call(site, host):
        async with site.call("/draft/", next(numbers), host) as answer:
            with contextlib.suppress(aiohttp.ClientError):
                await answer.read()

    async def call_some(site):
        calls = (call(site, host) for host in range(HOSTS) for _ in range(3))
        await asyncio.gather(*calls)

    handle = EngineStandin.handle
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(EngineStandin, "handle", handle_counted)
        async with run_site(engines=ENGINES, hosts=HOSTS) as site:
            await site.wait_for_layout()
            engines = list(site.engines.engines.values())
            for engine in engines:
                engine.events = 60
            for _ in range(3):
                await call_some(site)
            path_cuts = [(PathCut(site.hosts[index]), mode) for index, mode in cuts]
            for _ in range(6):
                for engine in engines[:faulty]:
                    await fault(engine)
                begun = asyncio.create_task(call_some(site))
                await asyncio.sleep(0.05)
                while path_cuts:
                    cut, mode = path_cuts.pop()
                    cut.begin(mode)
                await asyncio.gather(begun, call_some(site))
    return arrivals


async def reset_requests(engine):
    engine.resets = True


async def refuse_requests(engine):
    engine.refusals = 100


async def fail_requests(engine):
    engine.statuses = [500] * 100


async def cut_stream(engine):
    engine.cut_after = 5


async def cut_stream_late(engine):
    engine.cut_after = 50


async def forget_connections(engine):
    engine.drops_reused_connections = True


async def fall_silent(engine):
    engine.fall_silent(0.6)


async def crash(engine):
    await engine.stop()


STREAM_FAULTS = (
    reset_requests,
    refuse_requests,
    fail_requests,
    cut_stream,
    cut_stream_late,
    forget_connections,
    fall_silent,
    crash,
)


@pytest.fixture
def grants(monkeypatch):
    """Count the retries that the budgets of all hosts grant."""
    return GrantCount(monkeypatch)


def check(arrivals, grants):
    """Assert that repeats are granted, and that requests which may not run once."""
    assert arrivals.count_repeats() <= grants.granted
    assert not arrivals.list_second_runs()


def test_hosts_log_and_count_each_request_that_arrives(log_lines):
    async def scenario():
        arrivals = await play([Fault.RESET])
        written = [
            line["request"]
            for line in log_lines
            if line["event"] == "request_sent" and line["written"]
        ]
        assert Counter(written) == arrivals.arrived

    run_scenario(scenario())


@pytest.mark.parametrize("fault", list(Fault))
def test_no_request_arrives_again_without_a_granted_retry(fault, grants):
    async def scenario():
        check(await play([fault]), grants)

    run_scenario(scenario())


@pytest.mark.parametrize("mode", list(CutMode))
@pytest.mark.parametrize(
    "fault",
    [Fault.RESET, Fault.LATE_RESET, Fault.REFUSED, Fault.LATE_REFUSED, Fault.GONE],
)
def test_no_request_is_passed_on_after_a_sending_without_a_granted_retry(
    fault, mode, grants
):
    async def scenario():
        check(await play([fault], [(0, mode)]), grants)

    run_scenario(scenario())


@pytest.mark.parametrize("fault", [Fault.RESET, Fault.CLOSE, Fault.FORGOTTEN])
def test_no_request_arrives_again_without_a_granted_retry_if_connecting_times_out(
    fault, grants, monkeypatch
):
    """So it is at times under load, also for connections of the HTTP client's own."""
    source, create = random.Random(0), BoundedConnector._create_connection

    async def create_or_time_out(connector, *args, **fields):
        if source.random() < 0.1:
            raise aiohttp.ConnectionTimeoutError
        return await create(connector, *args, **fields)

    async def scenario():
        check(await play([fault]), grants)

    monkeypatch.setattr(BoundedConnector, "_create_connection", create_or_time_out)
    run_scenario(scenario())


@pytest.mark.parametrize("seed", range(8))
def test_no_request_arrives_again_without_a_granted_retry_in_mixtures(seed, grants):
    async def scenario():
        source = random.Random(seed)
        faults = source.sample(list(Fault), 4)
        cuts = [
            (index, source.choice(list(CutMode)))
            for index in source.sample(range(HOSTS), source.randrange(HOSTS))
        ]
        share = source.uniform(0.3, 1.0)
        check(await play(faults, cuts, share=share, seed=seed), grants)

    run_scenario(scenario())


@pytest.mark.parametrize("cuts", [(), ((0, CutMode.LIVE_ON),), ((0, CutMode.RESET),)])
@pytest.mark.parametrize("fault", STREAM_FAULTS)
def test_no_stream_is_begun_again_without_a_granted_retry(fault, cuts, grants):
    async def scenario():
        faulty = ENGINES if cuts else ENGINES // 2
        arrivals = await play_streams(fault, cuts, faulty)
        assert arrivals.count_repeats() <= grants.granted

    run_scenario(scenario())


@pytest.mark.parametrize(
    ("module", "fault", "cuts"),
    [
        (exchanges, Fault.FORGOTTEN, ()),
        (plain, Fault.RESET, ()),
        (plain, Fault.SLOW, ()),
        (proxied_runs, Fault.REFUSED, ((0, CutMode.RESET),)),
    ],
)
def test_check_notices_each_way_that_is_not_counted(
    module, fault, cuts, grants, monkeypatch
):
    monkeypatch.setattr(module, "spend_retry", lambda *_, **__: True)

    async def scenario():
        arrivals = await play([fault], cuts, faulty=TARGETS)
        assert arrivals.count_repeats() > grants.granted

    run_scenario(scenario())


def test_check_notices_requests_that_the_http_client_sends_again(grants, monkeypatch):
    monkeypatch.setattr(connections, "_trace_use", aiohttp.TraceConfig)

    async def scenario():
        arrivals = await play([Fault.RESET])
        assert arrivals.count_repeats() > grants.granted

    run_scenario(scenario())


@pytest.mark.parametrize("fault", [reset_requests, refuse_requests])
def test_check_notices_streams_that_are_not_counted(fault, grants, monkeypatch):
    monkeypatch.setattr(streams, "spend_retry", lambda *_, **__: True)

    async def scenario():
        arrivals = await play_streams(fault)
        assert arrivals.count_repeats() > grants.granted

    run_scenario(scenario())
