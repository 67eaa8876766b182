"""Hosts whose messages to each other are lost, beside a store that answers all."""

import pytest

from marigoldswitch.core.gateway_messages import ConfigurationContent, TargetsContent
from marigoldswitch.tests.gateway_site import (
    build_configuration,
    run_scenario,
    run_site,
)

HOSTS = 18
"""Hosts of two data centres, each with relays and hosts that don't read the store."""
READERS = 6
CONTENTS = (ConfigurationContent, TargetsContent)


def lose_messages(host, is_lost):
    """Drop what a host sends, if ``is_lost`` says so of the receiver and message."""
    network = host.parts.network
    send = network.send

    def send_unless_lost(to, message):
        if not is_lost(to, message):
            send(to, message)

    network.send = send_unless_lost


async def settle(site):
    """Wait until three hosts of each data centre read the store, and no other does.

    A host that ends to read finishes the read under way: a change ends it.
    """
    await site.wait_until(
        lambda: sum(host.parts.reading.is_active for host in site.hosts) <= READERS
    )
    site.store.put("op", "config", build_configuration(version=2))
    site.register_target(site.desks[1], "desk", "south", name="another")
    await site.wait_until(lambda: all(knows(host, 2, "another") for host in site.hosts))


def knows(host, version, target):
    directory = host.parts.runs.directory
    return directory.version == version and target in directory.registry.rows


@pytest.mark.parametrize("lost", ["requests", "copies"])
def test_host_whose_messages_to_its_relays_are_lost_is_not_left_behind(lost):
    async def scenario():
        async with run_site(desks=2, hosts=HOSTS) as site:
            await settle(site)
            host = next(host for host in site.hosts if not host.parts.reading.is_active)
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
            await site.wait_until(lambda: directory.version == 3)
            leaving = site.desks[0].name
            await site.wait_until(lambda: directory.registry.rows[leaving].leaving)

    run_scenario(scenario())
