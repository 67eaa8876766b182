"""A large configuration is in force in time at hosts that can't read the store.

Guards against repeated requests for a configuration whose copies still wait on the
sender's link. Hosts that ask again every 0.4 s get several copies each: 237 copies of
253 KB to 89 hosts, over links of 20 Mbit/s. A host then has it in force up to 5.3 s
after it was written, where 3 s are allowed, and callers on new routes get 404 until
then. The log shows 16 ``configuration_told`` within 10 ms at a host whose link needs
1.6 s for them, and ``configuration_adopted`` 2.4 to 5.2 s later.
"""

import asyncio
import random
from collections import Counter
from types import SimpleNamespace

import orjson
import pytest
from result import Err

from marigoldswitch.core.gateway_messages import (
    ConfigurationContent,
    FetchConfiguration,
    LoadDigest,
)
from marigoldswitch.core.ids import DataCentre, HostId
from marigoldswitch.core.pacing import Pacer
from marigoldswitch.gateway.directory import Directory
from marigoldswitch.gateway.state_sync import StateSync
from marigoldswitch.tests.helpers import run_virtually

HOME = DataCentre("a")
SOURCE_HOST = HostId("10.1.0.1:80")
HOSTS = [HostId(f"10.1.0.{number}:80") for number in range(2, 30)]
IN_FORCE_SECONDS = 3.0
"""Time within which a configuration must be in force."""
STORE_READ_SECONDS = 0.5
"""Part of this for the read by the first host of a data centre: the answer to a waiting
read takes 0.1 s, after a retry 0.5 s."""
DIGEST_SECONDS = 0.2


def build_content(routes):
    """Return a configuration with realistic routes."""
    rows = [
        {
            "name": f"r-{index * 7919 % 99991:05x}",
            "host": f"h{index % 17}.example",
            "prefix": f"/p{index * 104729 % 999983:06x}/",
            "route_type": "safe",
            "timeout_ms": 1514 + index % 7,
            "target_latency_ms": 202,
            "priority": 2,
            "service": f"s{index % 2}",
            "max_attempts": 2,
        }
        for index in range(routes)
    ]
    return orjson.dumps({"version": 7, "routes": rows})


class Site:
    """One host that has the configuration, and 28 that request it over its link.

    :param link_rate: of the link, in bytes a second.
    :ivar received_at: when each host first received the configuration.
    :ivar copies: number of copies sent to each host.
    """

    def __init__(self, clock, link_rate):
        self.clock, self.link_rate = clock, link_rate
        self.link_free_at = 0.0
        self.received_at = {}
        self.copies = Counter()
        self.pacer = Pacer(link_rate, clock)
        self.syncs = {host: self._build(host) for host in (SOURCE_HOST, *HOSTS)}

    def _build(self, host):
        network = SimpleNamespace(
            register=lambda kind, handler: None,
            send=lambda to, message: self._send(host, to, message),
        )
        feed = SimpleNamespace(revision=0, dependency=SimpleNamespace(is_lost=False))
        parts = SimpleNamespace(
            clock=self.clock,
            network=network,
            directory=Directory(),
            configuration=feed,
            targets=feed,
            source=random.Random(1),
            feeds=SimpleNamespace(
                decode_configuration=lambda data: self._record_receipt(host, data)
            ),
        )
        return StateSync(parts, lambda: False, lambda: True)

    def _record_receipt(self, host, data):
        self.received_at.setdefault(host, self.clock.monotonic())
        table = SimpleNamespace(version=7, routes=())
        self.syncs[host]._parts.directory.stored = SimpleNamespace(table=table)
        return Err("noted")

    def _send(self, sender, to, message):
        loop = asyncio.get_running_loop()
        match message:
            case FetchConfiguration():
                loop.call_later(
                    0.001, self.syncs[to]._send_configuration, sender, message
                )
            case ConfigurationContent(content=content):
                self.copies[to] += 1
                delay = self.pacer.reserve(len(content))
                loop.call_later(delay, self._transmit, to, message)

    def _transmit(self, to, message):
        """Queue a copy on the sender's link."""
        now = self.clock.monotonic()
        self.link_free_at = (
            max(self.link_free_at, now) + len(message.content) / self.link_rate
        )
        take = self.syncs[to]._handle_configuration
        loop = asyncio.get_running_loop()
        loop.call_later(self.link_free_at - now, take, SOURCE_HOST, message)

    def publish(self, content):
        table = SimpleNamespace(version=7, routes=())
        stored = SimpleNamespace(table=table, content=content)
        self.syncs[SOURCE_HOST]._parts.directory.stored = stored

    async def send_digests(self, seconds):
        """Send the source host's digest to all hosts at each interval."""
        digest = LoadDigest(HOME, 7, 0)
        for _ in range(round(seconds / DIGEST_SECONDS)):
            for host in HOSTS:
                self.syncs[host].request_missing(
                    SOURCE_HOST, digest, self.clock.monotonic()
                )
            await asyncio.sleep(DIGEST_SECONDS)


@pytest.mark.parametrize("routes", [1_040, 1_800])
@pytest.mark.parametrize("link", [1_250_000.0, 2_500_000.0])
def test_all_hosts_have_a_large_configuration_in_time_and_once(routes, link):
    async def play(clock):
        site = Site(clock, link)
        site.publish(build_content(routes))
        await site.send_digests(IN_FORCE_SECONDS)
        assert set(site.received_at) == set(HOSTS)
        assert max(site.received_at.values()) <= IN_FORCE_SECONDS - STORE_READ_SECONDS
        if link == 2_500_000.0:
            assert set(site.copies.values()) == {1}

    run_virtually(play)
