"""What a line of a shared service refuses at once, and which engines it leaves out.

Guards against requests that wait although nothing can serve them in time, and against
sending a request to an engine that has just refused it.
"""

from marigoldswitch.core.admitting.elsewhere import WaitCount, WaitKey
from marigoldswitch.core.admitting.engine_refusals import EngineRefusals
from marigoldswitch.core.admitting.feasibility import UnknownForecast
from marigoldswitch.core.admitting.requesters import Requester
from marigoldswitch.core.ids import AccountId, DataCentre, HostId, TargetId
from marigoldswitch.core.suspects import Finding
from marigoldswitch.gateway.shared_queues import UNCOVERED_SECONDS
from marigoldswitch.tests.admission_plays import MAX_WAIT, SERVICE, TOKENS, play

HOME = DataCentre("north")
ONE_PAIR = {"hosts": 1, "pairs": 1}


async def acquire(site, tokens=TOKENS, priority=1, left=20.0, refusals=None):
    """Ask the first host for a chain; return it and the seconds that this took."""
    now = site.time.monotonic()
    requester = Requester(AccountId("a"), now, now, now + 0.5, now + left)
    chain = await site.hosts[0].admission.acquire(
        site.service,
        tokens,
        priority,
        MAX_WAIT,
        requester=requester,
        refusals=refusals,
    )
    return chain, site.time.monotonic() - now


def run(work, **fields):
    """Run a coroutine function with a play; return its result and why was refused."""
    results, refusals = [], []

    async def keep(site):
        for host in site.hosts:
            host.admission.count_refusal = lambda _, why: refusals.append(why)
        results.append(await work(site))

    play(keep, **fields)
    return results[0], refusals


def test_request_is_hopeless_at_once_if_the_forecast_misses_its_deadline():
    class SlowForecaster:
        def forecast(self, service, chain, tokens):
            return UnknownForecast(30.0, 0.0)

    async def ask(site):
        site.hosts[0].admission._ports.forecaster = SlowForecaster()
        return await acquire(site)

    (chain, seconds), refusals = run(ask, **ONE_PAIR)
    assert chain is None and seconds == 0.0
    assert refusals == ["hopeless"]


def test_missing_layers_refuse_at_once_after_a_short_time():
    async def ask(site):
        suspects = site.hosts[0].directory.suspects
        for _ in range(30):
            now = site.time.monotonic()
            suspects.note(TargetId("e0-4"), Finding.DEAD, now)
            await acquire(site)
        return await acquire(site)

    (chain, seconds), _ = run(ask, **ONE_PAIR)
    assert chain is None and seconds == 0.0
    assert UNCOVERED_SECONDS <= MAX_WAIT


def test_engine_that_has_refused_the_request_is_left_out_until_its_load_falls():
    async def ask(site):
        host, refusals = site.hosts[0], EngineRefusals()
        held = [(await acquire(site))[0] for _ in range(8)]
        for first in (0, 4):
            target = TargetId(f"e0-{first}")
            refusals.note(target, host.loads.get(target), site.time.monotonic())
        others = [await acquire(site, refusals=refusals) for _ in range(3)]
        for chain in held:
            host.planner.release(chain.stages, TOKENS)
        again = [await acquire(site, refusals=refusals) for _ in range(8)]
        return others, again

    (others, again), _ = run(ask, hosts=1, pairs=2)

    def use_first_pair(chains):
        return [
            any(stage.target.startswith("e0") for stage in chain.stages)
            for chain, _ in chains
        ]

    assert not any(use_first_pair(others))
    assert any(use_first_pair(again))


def test_less_urgent_request_leaves_room_while_more_urgent_ones_wait_elsewhere():
    waiting = {WaitKey(SERVICE, 0, AccountId("b")): WaitCount(1, TOKENS, 0.1)}

    async def ask(site):
        host = site.hosts[0]
        host.elsewhere.set_peer_counts(
            HostId("other"), HOME, waiting, site.time.monotonic()
        )
        return [await acquire(site, priority=item) for item in (0, 1)]

    ((urgent, at_once), (other, later)), _ = run(ask, **ONE_PAIR)
    assert urgent is not None and at_once == 0.0
    assert other is not None and 0.0 < later <= 0.5 * MAX_WAIT
