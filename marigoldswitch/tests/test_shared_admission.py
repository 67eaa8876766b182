"""Hosts that share engines with too little room, on loopback addresses.

Guards against urgent callers that are refused while others are served, refused callers
without a time to return at, and hosts that wait for what a lost host has reported.
"""

import asyncio
import time

from marigoldswitch.core.admitting.elsewhere import WaitCount, WaitKey
from marigoldswitch.core.ids import AccountId, DataCentre, HostId, ServiceName
from marigoldswitch.tests.gateway_site import (
    DATA_CENTRES,
    KEY,
    build_configuration,
    run_scenario,
    run_site,
)

OTHER_KEY = "key-of-a-shop"
EVENTS = 60
"""Events of a stream, which makes it take about half a second."""
FILL_REQUESTS = 50
"""First requests, most of which find room; they aren't counted."""
URGENT = WaitKey(ServiceName("model"), 0, AccountId("other"))


def build_shared_configuration():
    """Return a configuration whose engines have room for few streams."""
    configuration = build_configuration(version=2)
    routes = configuration["routes"]
    routes[0]["priority"] = 2
    routes.append({**routes[0], "name": "urgent", "prefix": "/urgent/", "priority": 0})
    configuration["services"][0]["engine"]["kv_bytes"] = 8_000_000
    configuration["tenants"] = [
        {"name": "workshop", "api_keys": [KEY]},
        {"name": "shop", "api_keys": [OTHER_KEY]},
    ]
    return configuration


async def share(site):
    """Put the configuration in force everywhere."""
    site.store.put("op", "config", build_shared_configuration())
    await site.wait_for_layout()
    await site.wait_until(
        lambda: all(host.parts.runs.directory.version == 2 for host in site.hosts)
    )
    for engine, centre in zip(
        site.engines.engines.values(), DATA_CENTRES, strict=False
    ):
        engine.events = EVENTS
        # The store's rows name the layers, for hosts that start later.
        site.register_target(engine, "model", centre)


class Caller:
    """Sends requests to hosts in turn and returns once as told."""

    def __init__(self, site, hosts):
        self.site, self.hosts = site, hosts
        self.numbers = iter(range(100_000))
        self.first = {"/draft/": [], "/urgent/": []}
        """Status of each first try."""
        self.refused_after = []
        self.returned = []
        """Status of each second try."""

    async def try_once(self, path, left):
        number = next(self.numbers)
        key = KEY if number % 2 else OTHER_KEY
        headers = {
            "Authorization": f"Token {key}",
            "Deadline-Ms": str(round(left * 1000)),
        }
        host = self.hosts[number % len(self.hosts)]
        began = time.monotonic()
        async with self.site.call(path, number, host, headers=headers) as answer:
            if answer.status != 200:
                self.refused_after.append(time.monotonic() - began)
            await answer.read()
            return answer.status, answer.headers.get("Retry-After")

    async def call(self, path, number):
        status, told = await self.try_once(path, 5.0)
        if number >= FILL_REQUESTS:
            self.first[path].append(status)
        if status == 200:
            return
        assert status == 503 and told is not None
        seconds = float(told)
        assert 0.0 < seconds <= 5.0 / 3.0
        await asyncio.sleep(seconds)
        status, _ = await self.try_once(path, 5.0 - seconds)
        self.returned.append(status)

    async def send(self, count, pause):
        tasks = []
        for number in range(count):
            path = "/urgent/" if number % 3 == 0 else "/draft/"
            tasks.append(asyncio.ensure_future(self.call(path, number)))
            await asyncio.sleep(pause)
        await asyncio.gather(*tasks)

    def get_share(self, path):
        answers = self.first[path]
        return answers.count(200) / len(answers)


def test_urgent_callers_are_served_first_in_a_burst_at_three_hosts():
    async def scenario():
        async with run_site(engines=2, hosts=3) as site:
            await share(site)
            caller = Caller(site, range(3))
            await caller.send(200, 0.02)
            assert caller.refused_after, "nothing was short"
            assert caller.get_share("/urgent/") > caller.get_share("/draft/")
            assert max(caller.refused_after) < 0.6
            assert all(
                host.parts.runs.admission.count_waiting() == 0 for host in site.hosts
            )
            assert not any(host.parts.runs.loads.own for host in site.hosts)

    run_scenario(scenario())


def test_loss_of_a_host_in_a_burst_leaves_the_others_serving():
    async def scenario():
        async with run_site(engines=2, hosts=3) as site:
            await share(site)
            caller = Caller(site, range(2))
            burst = asyncio.ensure_future(caller.send(200, 0.02))
            await asyncio.sleep(0.5)
            await site.hosts.pop().stop()
            await burst
            assert caller.get_share("/urgent/") > caller.get_share("/draft/")

    run_scenario(scenario())


def test_report_of_a_lost_host_expires_and_holds_requests_back_briefly():
    async def scenario():
        async with run_site(engines=2, hosts=1) as site:
            await share(site)
            waiting = site.hosts[0].parts.spread.counts.waiting
            now = site.hosts[0].parts.runs.clock.monotonic()
            waits = {URGENT: WaitCount(3, 300, 0.1)}
            waiting.set_peer_counts(HostId("gone"), DataCentre("north"), waits, now)
            caller = Caller(site, [0])
            began = time.monotonic()
            await caller.try_once("/draft/", 5.0)
            assert not caller.refused_after
            await asyncio.sleep(max(0.0, 2.1 - (time.monotonic() - began)))
            assert waiting.get(site.hosts[0].parts.runs.clock.monotonic()) == {}

    run_scenario(scenario())


def test_new_host_serves_and_hears_what_waits_elsewhere():
    async def scenario():
        async with run_site(engines=2, hosts=2) as site:
            await share(site)
            seed = site.hosts[0].settings.identity.host
            host = await site.add_host("h2", "north", (seed,))
            await site.wait_until(lambda: host.is_ready)
            await site.wait_for_layout()
            old = site.hosts[0].parts.runs
            waits = {URGENT: WaitCount(1, 100, 0.1)}
            own = site.hosts[0].parts.spread.counts.waiting
            own._count_own = lambda now: waits
            heard = host.parts.spread.counts.waiting
            clock = host.parts.runs.clock
            await site.wait_until(lambda: URGENT in heard.get(clock.monotonic()))
            own._count_own = old.admission.count_own
            await site.wait_until(lambda: not heard.get(clock.monotonic()))
            caller = Caller(site, [2])
            assert (await caller.try_once("/urgent/", 5.0))[0] == 200

    run_scenario(scenario())
