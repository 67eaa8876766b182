"""Plain requests for which a second sending is due while the first is under way."""

import asyncio

import pytest

from marigoldswitch.core.contact import TargetContact
from marigoldswitch.tests.gateway_site import run_scenario, run_site


@pytest.mark.parametrize("hosts", [1, 3])
def test_sending_under_way_is_kept_when_the_host_takes_itself_for_cut_off(
    hosts, monkeypatch
):
    async def scenario():
        async with run_site(desks=2, hosts=hosts) as site:
            for desk in site.desks:
                desk.seconds = 0.6

            async def call():
                async with site.call("/look/", 1, method="GET") as answer:
                    return answer.status

            running = asyncio.create_task(call())
            await site.wait_until(lambda: any(desk.arrivals for desk in site.desks))
            # Longer than the hedge delay, in which the contact is looked at again.
            monkeypatch.setattr(TargetContact, "is_lost", property(lambda _: True))
            assert await running == 200

    run_scenario(scenario())
