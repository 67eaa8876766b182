"""Transfer of targets and configurations between hosts."""

import random
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
from marigoldswitch.core.registry import GRACE_SECONDS, TargetRow
from marigoldswitch.gateway.directory import Directory
from marigoldswitch.gateway.state_sync import StateSync

READER, IDLE = HostId("10.1.0.1:80"), HostId("10.1.0.2:80")


def build_row(name, revision):
    """Return the row of a plain target."""
    target = Target(TargetId(name), "desk", DataCentre("a"), f"{name}:80", 1)
    return TargetRow(target, False, revision)


def build_state_sync(sent, clock=None, current=False):
    """Return the state sync of a host that does not read the store."""
    network = SimpleNamespace(
        register=lambda kind, handler: None,
        send=lambda host, message: sent.append((host, message)),
    )
    feed = SimpleNamespace(revision=0, dependency=SimpleNamespace(is_lost=False))
    parts = SimpleNamespace(
        clock=clock,
        network=network,
        directory=Directory(),
        configuration=feed,
        targets=feed,
        source=random.Random(1),
    )
    return StateSync(parts, must_read=lambda: False, is_current=lambda: current)


def test_targets_are_requested_only_from_hosts_that_are_current():
    sent = []
    sync = build_state_sync(sent)
    for round_ in range(20):
        now = 0.5 * round_
        for host, reads in ((IDLE, False), (READER, True)):
            digest = LoadDigest(DataCentre("a"), 0, 14, current=reads)
            sync.request_missing(host, digest, now)
    assert {host for host, _ in sent} == {READER}
    assert sent[0] == (READER, FetchTargets(0))


def test_target_that_lapsed_in_an_outage_is_dropped_by_hosts_that_do_not_read():
    sent = []
    clock = SimpleNamespace(now=0.0, monotonic=lambda: clock.now)
    source, requester = (
        build_state_sync(sent, clock, current=True),
        build_state_sync(sent, clock),
    )
    rows = [build_row(name, revision) for revision, name in enumerate("ab", start=1)]
    known = source._parts.directory.registry
    known.note_outage(0.0)
    known.replace_all(rows, 2, 0.0)
    known.replace_all(rows[:1], 3, 0.1)
    source._send_targets(IDLE, FetchTargets(0))
    requester._handle_targets(READER, sent[-1][1])
    heard = requester._parts.directory.registry
    assert set(heard.targets) == {"a", "b"}
    clock.now = 0.1 + GRACE_SECONDS
    heard.expire(clock.now)
    assert set(heard.targets) == {"a"}


def test_large_configuration_is_sent_compressed_and_arrives_unchanged():
    sent, received = [], []
    source, requester = build_state_sync(sent), build_state_sync(sent)
    routes = [{"name": f"r-{index}", "prefix": f"/p{index}/"} for index in range(1400)]
    content = orjson.dumps({"routes": routes})
    table = SimpleNamespace(version=7, routes=routes)
    source._parts.directory.stored = SimpleNamespace(table=table, content=content)
    source._send_configuration(IDLE, FetchConfiguration(3))
    message = sent[-1][1]
    assert len(message.content) <= len(content) / 5
    requester._parts.feeds = SimpleNamespace(
        decode_configuration=lambda data: received.append(data) or Err("seen")
    )
    requester._handle_configuration(READER, message)
    assert received == [content]


def test_truncated_configuration_changes_nothing():
    requester = build_state_sync([])
    compressed = zlib.compress(b"{}" * 1000)
    requester._handle_configuration(READER, ConfigurationContent(7, compressed[:-3]))
    requester._handle_configuration(READER, ConfigurationContent(7, b"no zlib"))
    assert requester._parts.directory.stored is None
