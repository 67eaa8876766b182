"""Hosts whose messages to each other are lost, beside a store that answers all."""

import pytest

from marigoldswitch.core.gateway_messages import ConfigurationContent, TargetsContent
from marigoldswitch.tests.gateway_site import (
    build_configuration,
    run_scenario,
    run_site,
)
from marigoldswitch.tests.helpers import wait_until

HOSTS = 18
"""Hosts of two data centres, each with relays and hosts that don't read the store."""
CONTENTS = (ConfigurationContent, TargetsContent)


def lose_messages(host, is_lost):
    """Drop what a host sends, if ``is_lost`` says so of the receiver and message."""
    network = host.parts.network
    send = network.send

    def send_unless_lost(to, message):
        if not is_lost(to, message):
            send(to, message)

    network.send = send_unless_lost


async def find_idle_host(site):
    """Return a host that leaves reading the store to others.

    A host that ends to read finishes the read under way: a change ends it.
    """
    await wait_until(lambda: list_idle(site))
    site.store.put("op", "config", build_configuration(version=2))
    site.register_target(site.desks[1], "desk", "south", name="another")
    await wait_until(lambda: all(knows(host, 2, "another") for host in site.hosts))
    await wait_until(lambda: list_idle(site))
    return list_idle(site)[0]


def list_idle(site):
    return [host for host in site.hosts if not host.parts.reading.is_active]


def knows(host, version, target):
    directory = host.parts.runs.directory
    return directory.version == version and target in directory.registry.rows


@pytest.mark.parametrize("lost", ["requests", "copies"])
def test_host_whose_messages_to_its_relays_are_lost_is_not_left_behind(lost):
    async def scenario():
        async with run_site(desks=2, hosts=HOSTS) as site:
            host = await find_idle_host(site)
            name = host.parts.network.host
            if lost == "requests":
                lose_messages(host, lambda to, message: True)
            else:
                for other in site.hosts:
                    lose_messages(
                        other,
                        lambda to, message: (
                            to == name and isinstance(message, CONTENTS)
                        ),
                    )
            site.store.put("op", "config", build_configuration(version=3))
            site.register_target(site.desks[0], "desk", "north", phase="draining")
            directory = host.parts.runs.directory
            await wait_until(lambda: directory.version == 3)
            leaving = site.desks[0].name
            await wait_until(lambda: directory.registry.rows[leaving].leaving)

    run_scenario(scenario())


def test_host_whose_digests_fail_still_reads_the_store():
    def fail():
        raise ValueError("not expected")

    async def scenario():
        async with run_site() as site:
            host = site.hosts[0]
            host.parts.spread.tick = fail
            host.parts.reading._switches.configuration.clear()
            await wait_until(lambda: host.parts.reading.is_active)
            site.store.put("op", "config", build_configuration(version=2))
            await wait_until(lambda: host.parts.runs.directory.version == 2)
            switch = host.parts.reading._switches.configuration
            await wait_until(switch.is_set)

    run_scenario(scenario())
