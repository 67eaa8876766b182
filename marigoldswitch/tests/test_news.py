"""News is asked of hosts that can tell it."""

import zlib
from types import SimpleNamespace

import orjson
from result import Err

from marigoldswitch.core.catalogue import Target
from marigoldswitch.core.gateway_messages import (
    ConfigurationContent,
    FetchConfiguration,
    FetchTargets,
    LoadDigest,
)
from marigoldswitch.core.ids import DataCentre, HostId, TargetId
from marigoldswitch.core.registry import RETURN_SECONDS, TargetRow
from marigoldswitch.gateway.directory import Directory
from marigoldswitch.gateway.news import News

READER, IDLE = HostId("10.1.0.1:80"), HostId("10.1.0.2:80")


def build_row(name, revision):
    """Return the row of a plain target."""
    target = Target(TargetId(name), "desk", DataCentre("a"), f"{name}:80", 1)
    return TargetRow(target, False, revision)


def build_news(sent, clock=None, current=False):
    """Return the news of a host that leaves reading to others."""
    network = SimpleNamespace(
        register=lambda kind, handler: None,
        send=lambda host, message: sent.append((host, message)),
    )
    in_touch = SimpleNamespace(dependency=SimpleNamespace(is_lost=False))
    parts = SimpleNamespace(
        clock=clock,
        network=network,
        directory=Directory(),
        configuration=in_touch,
        targets=in_touch,
    )
    return News(parts, must_read=lambda: False, is_current=lambda: current)


def test_targets_are_asked_of_hosts_that_read_whoever_speaks_first():
    sent = []
    news = build_news(sent)
    for round_ in range(20):
        now = 0.5 * round_
        for host, reads in ((IDLE, False), (READER, True)):
            digest = LoadDigest(DataCentre("a"), 0, 14, current=reads)
            news.ask(host, digest, now)
    assert {host for host, _ in sent} == {READER}
    assert sent[0] == (READER, FetchTargets(0))


def test_target_whose_row_lapsed_in_an_outage_ends_at_hosts_that_do_not_read():
    sent = []
    clock = SimpleNamespace(now=0.0, monotonic=lambda: clock.now)
    teller, asker = build_news(sent, clock, current=True), build_news(sent, clock)
    rows = [build_row(name, revision) for revision, name in enumerate("ab", start=1)]
    known = teller._parts.directory.registry
    known.note_outage(0.0)
    known.replace_all(rows, 2, 0.0)
    known.replace_all(rows[:1], 3, 0.1)
    teller._tell_targets(IDLE, FetchTargets(0))
    asker._take_targets(READER, sent[-1][1])
    heard = asker._parts.directory.registry
    assert set(heard.targets) == {"a", "b"}
    clock.now = 0.1 + RETURN_SECONDS
    heard.expire(clock.now)
    assert set(heard.targets) == {"a"}


def test_large_configuration_goes_to_peers_packed_and_comes_out_as_it_was():
    sent, taken = [], []
    teller, asker = build_news(sent), build_news(sent)
    routes = [{"name": f"r-{index}", "prefix": f"/p{index}/"} for index in range(1400)]
    content = orjson.dumps({"routes": routes})
    table = SimpleNamespace(version=7, routes=routes)
    teller._parts.directory.stored = SimpleNamespace(table=table, content=content)
    teller._tell_configuration(IDLE, FetchConfiguration(3))
    message = sent[-1][1]
    assert len(message.content) <= len(content) / 5
    asker._parts.feeds = SimpleNamespace(
        decode_configuration=lambda data: taken.append(data) or Err("seen")
    )
    asker._take_configuration(READER, message)
    assert taken == [content]


def test_configuration_that_is_cut_off_changes_nothing():
    asker = build_news([])
    packed = zlib.compress(b"{}" * 1000)
    asker._take_configuration(READER, ConfigurationContent(7, packed[:-3]))
    asker._take_configuration(READER, ConfigurationContent(7, b"no zlib"))
    assert asker._parts.directory.stored is None
