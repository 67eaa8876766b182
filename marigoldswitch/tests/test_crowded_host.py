"""Callers of a host to which the load balancer brings most new connections."""

import asyncio
import random

import aiohttp
import pytest

from marigoldswitch.tests.gateway_site import (
    ALL_EVENTS,
    list_event_ids,
    run_scenario,
    run_site,
)

HOSTS = 4
MIN_SHARE = 3 / 4
"""Least share of first tries that are served, of that before."""
PATHS = (("/draft/", "POST"), ("/look/", "GET"), ("/once/", "POST"))


class Callers:
    """Sends requests, each over a connection of its own.

    :ivar served: whether each request was served at the first try.
    """

    def __init__(self, site, seed):
        self.served = []
        self._site = site
        self._source = random.Random(seed)
        self._count = 0

    async def send(self, count, crowded_share):
        """Send requests at the same moment.

        :param crowded_share: share of them that go to the first host.
        """
        await asyncio.gather(*(self._call(crowded_share) for _ in range(count)))

    async def _call(self, crowded_share):
        self._count += 1
        path, method = self._source.choice(PATHS)
        is_crowded = self._source.random() < crowded_share
        host = 0 if is_crowded else self._source.randrange(HOSTS)
        fields = {"data": None} if method == "GET" else {}
        try:
            async with self._site.call(
                path, self._count, host, method=method, **fields
            ) as answer:
                body = await answer.read()
        except aiohttp.ClientError:
            self.served.append(False)
            return
        is_whole = path != "/draft/" or list_event_ids(body) == ALL_EVENTS
        self.served.append(answer.status == 200 and is_whole)


@pytest.mark.parametrize("seed", range(2))
def test_host_that_gets_most_new_connections_serves_as_before(seed):
    async def scenario():
        async with run_site(engines=8, desks=6, hosts=HOSTS) as site:
            await site.wait_for_layout()
            await site.client.close()
            connector = aiohttp.TCPConnector(limit=0, force_close=True)
            site.client = aiohttp.ClientSession(connector=connector)
            callers = Callers(site, seed)
            for _ in range(20):
                await callers.send(8, crowded_share=0.0)
            before = sum(callers.served) / len(callers.served)
            callers.served.clear()
            for _ in range(30):
                await callers.send(8, crowded_share=0.9)
            share = sum(callers.served) / len(callers.served)
            assert share >= MIN_SHARE * before

    run_scenario(scenario())
