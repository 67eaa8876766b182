"""Hosts keep connections to targets only where these have room for all of them."""

import asyncio

from marigoldswitch.gateway.plain import may_keep_connections
from marigoldswitch.tests.gateway_site import build_configuration, run_site


def test_many_hosts_do_not_fill_a_small_target_with_idle_connections():
    assert may_keep_connections(0, 1000)
    assert may_keep_connections(100, 8)
    assert may_keep_connections(590, 89)
    assert not may_keep_connections(110, 76)


def test_request_to_a_small_target_closes_its_connection():
    async def scenario(most):
        configuration = build_configuration()
        configuration["services"][1]["max_conns"] = most
        async with run_site(desks=1, hosts=1) as site:
            site.store.put("op", "config", {**configuration, "version": 2})
            directory = site.hosts[0].parts.runs.directory
            await site.wait(lambda: directory.version == 2)
            async with site.call("/look/", 1, method="GET", data=None) as answer:
                assert answer.status == 200
            upstream = site.hosts[0].parts.runs.upstream
            connections = upstream._connections
            sessions = (connections._short, connections._long, connections.once)
            pool = [key for item in sessions for key in item.connector._conns]
            return any(key.port == int(site.desks[0].address[10:]) for key in pool)

    assert asyncio.run(scenario(100))
    assert not asyncio.run(scenario(3))
