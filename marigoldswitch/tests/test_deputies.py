"""One host orders engines while the store is unavailable, and none while it answers."""

import asyncio

import pytest
from hypothesis import given, strategies as st

from marigoldswitch.core.deputies import (
    HOST_TIMEOUT_SECONDS,
    STORE_TIMEOUT_SECONDS,
    OutageView,
    is_deputy,
)
from marigoldswitch.core.ids import HostId
from marigoldswitch.tests.gateway_site import run_site

HOSTS = [HostId(f"10.1.0.{number}:80") for number in range(10, 16)]


def build_view(own, others, outage=10.0, reader=False, holder=False, age=0.1):
    ages = {host: age for host in others if host != own}
    return OutageView(own, outage, reader, holder, ages)


@given(st.sets(st.sampled_from(HOSTS), min_size=1))
def test_hosts_that_hear_each_other_have_one_deputy(hosts):
    deputies = [host for host in hosts if is_deputy(build_view(host, hosts))]
    assert deputies == [min(hosts)]


@pytest.mark.parametrize(
    "view",
    [
        build_view(HOSTS[0], HOSTS, outage=0.0),
        build_view(HOSTS[0], HOSTS, outage=STORE_TIMEOUT_SECONDS / 2),
        build_view(HOSTS[0], HOSTS, reader=True),
        build_view(HOSTS[0], HOSTS, holder=True),
        build_view(HOSTS[1], HOSTS),
        build_view(HOSTS[0], HOSTS, age=HOST_TIMEOUT_SECONDS),
    ],
    ids=["answers", "short", "reader", "holder", "not the first", "alone"],
)
def test_no_deputy(view):
    assert not is_deputy(view)


def test_hole_is_closed_during_a_store_outage():
    async def scenario():
        async with run_site(hosts=2) as site:
            await site.add_engine("x", "north", (0, 4))
            lost = await site.add_engine("y", "north", (4, 8))
            fresh = await site.add_engine("z", "north", (0, 4))
            orderers = [host.parts.orderer for host in site.hosts]
            await site.wait_until(lambda: any(item.lease.holds for item in orderers))
            await site.store.stop()
            await lost.stop()
            for host in site.hosts:
                target = host.parts.runs.directory.registry.targets[lost.name]
                host.parts.runs.probes.check_in_background(target)
            await site.wait_until(
                lambda: any(
                    item.held and item.held[1] == 8
                    for item in site.engines.engines.values()
                    if item is not lost
                )
            )
            assert fresh.alive

    asyncio.run(scenario())
