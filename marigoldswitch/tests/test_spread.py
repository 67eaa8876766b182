"""A relay tells the other hosts what is news to them, and loads only as a sum."""

import random
from collections import Counter
from types import SimpleNamespace

from marigoldswitch.core.gateway_messages import LoadDigest, LoadSummary
from marigoldswitch.core.ids import DataCentre, HostId, TargetId
from marigoldswitch.core.loads import Loads, Usage
from marigoldswitch.gateway.directory import Directory
from marigoldswitch.gateway.spread import Spread

HOME = DataCentre("north")
HOSTS = [HostId(f"10.1.0.{number}:80") for number in range(10, 20)]
TARGET = TargetId("i-1")


class Relay:
    """The first of ten hosts of a data centre, with what it sends."""

    def __init__(self):
        self.now = 0.0
        self.sent = []
        self.loads = Loads(HOME)
        clock = SimpleNamespace(monotonic=lambda: self.now)
        network = SimpleNamespace(
            register=lambda kind, handler: None,
            send=lambda host, message: self.sent.append((host, message)),
        )
        in_touch = SimpleNamespace(dependency=SimpleNamespace(is_lost=False))
        self.directory = Directory()
        parts = SimpleNamespace(
            clock=clock,
            network=network,
            directory=self.directory,
            loads=self.loads,
            planner=SimpleNamespace(slowness={}),
            probes=None,
            feeds=None,
            configuration=in_touch,
            targets=in_touch,
            identity=SimpleNamespace(host=HOSTS[0], data_centre=HOME),
            source=random.Random(1),
        )
        self.spread = Spread(parts)

    def play(self, seconds):
        """Tick for a while, as loads come and go; return what was sent to whom."""
        self.sent = []
        for _ in range(round(seconds / 0.1)):
            self.now += 0.1
            for host in HOSTS[1:]:
                self.spread._take_digest(host, LoadDigest(HOME, 0, 0))
            self.loads.hold(TARGET, Usage(1, 10))
            self.spread.tick()
        return Counter((host, type(message)) for host, message in self.sent)


def test_hosts_that_add_nothing_up_get_sums_and_few_digests():
    relay = Relay()
    relay.play(0.5)
    sent = relay.play(2.0)
    assert sent[HOSTS[9], LoadDigest] <= 6
    assert 9 <= sent[HOSTS[9], LoadSummary] <= 11
    assert sent[HOSTS[1], LoadDigest] >= 9


def test_sum_holds_what_the_relay_itself_holds_and_no_digest_to_others_does():
    relay = Relay()
    relay.play(1.0)
    to_other = [message for host, message in relay.sent if host == HOSTS[9]]
    sums = [item for item in to_other if isinstance(item, LoadSummary)]
    assert sums[-1].usages[0].usages[0].requests >= 8
    assert all(not item.usages for item in to_other if isinstance(item, LoadDigest))


def test_news_goes_to_all_at_once():
    relay = Relay()
    relay.play(1.0)
    relay.directory.registry.revision = 7
    sent = relay.play(0.2)
    assert all(sent[host, LoadDigest] >= 1 for host in HOSTS[1:])


def test_work_of_a_digest_does_not_grow_with_the_square_of_the_hosts(monkeypatch):
    """Who relays is asked once a digest, not once for each host that gets it.

    Under a profiler a relay of thirty hosts listed its peers 400 times a second, 6 % of
    its processor time.
    """

    def count_lists(hosts):
        relay = Relay()
        for number in range(hosts):
            host = HostId(f"10.1.1.{number}:80")
            relay.spread._take_digest(host, LoadDigest(HOME, 0, 0))
        lists = []
        list_ages = relay.spread.roster.list_ages
        monkeypatch.setattr(
            relay.spread.roster, "list_ages", lambda: lists.append(1) or list_ages()
        )
        relay.now += 1.0
        relay.spread.tick()
        return len(lists)

    assert count_lists(40) == count_lists(10)
