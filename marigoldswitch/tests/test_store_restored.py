"""The store is restored from an older copy: versions go back and writes are lost."""

import asyncio

import pytest
from hypothesis import given, strategies as st

from marigoldswitch.core.catalogue import LayerRange, Target
from marigoldswitch.core.gateway_messages import GatewayMessage, LoadDigest
from marigoldswitch.core.ids import DataCentre, TargetId
from marigoldswitch.core.ports import StoreFault
from marigoldswitch.core.registry import (
    RESTORE_GRACE_SECONDS,
    Change,
    TargetRegistry,
    TargetRow,
)
from marigoldswitch.core.revisions import get_era, get_version, make_revision
from marigoldswitch.gateway.connections import SHORT_IDLE_SECONDS, open_session
from marigoldswitch.gateway.ports import FeedFault
from marigoldswitch.platform.store import PlatformStore
from marigoldswitch.standins.platform_engines import EngineStandin
from marigoldswitch.standins.platform_store import StoreStandin
from marigoldswitch.tests.gateway_site import (
    DATA_CENTRES,
    build_configuration,
    get_targets,
    run_scenario,
    run_site,
)
from marigoldswitch.wire import MessageCodec


def build_row(name, era, version, leaving=False, born=1, layers=(0, 8), address=None):
    span = LayerRange(*layers) if layers else None
    target_address = address or f"{name}:1"
    target = Target(name, "model", "north", target_address, 96, span, "card")
    return TargetRow(target, leaving, make_revision(era, version), born)


def build_registry(*rows, era=1, version=50):
    registry = TargetRegistry()
    registry.replace_all(rows, make_revision(era, version), 0.0)
    return registry


# Revisions.


@given(st.integers(0, 2**19 - 2), st.integers(0, 2**43))
def test_revision_keeps_era_and_version(era, version):
    revision = make_revision(era, version)
    assert (get_era(revision), get_version(revision)) == (era, version)
    assert make_revision(era + 1, 0) > revision


@given(st.integers(0, 2**60), st.integers(0, 2**43))
def test_revision_of_any_era_fits_into_a_message(era, version):
    revision = make_revision(era, version)
    codec = MessageCodec(GatewayMessage)
    digest = LoadDigest(DataCentre("north"), 1, revision)
    assert codec.decode(codec.encode(digest)).unwrap().revision == revision


def test_revision_without_an_era_equals_the_version():
    assert make_revision(0, 17) == 17


# Registry of targets.


def test_target_missing_from_the_copy_is_kept_for_the_grace_period():
    registry = build_registry(build_row("a", 1, 40), build_row("b", 1, 45))
    registry.replace_all([build_row("a", 2, 30)], make_revision(2, 31), 100.0)
    registry.expire(100.0 + RESTORE_GRACE_SECONDS - 0.1)
    assert set(registry.targets) == {"a", "b"}
    registry.expire(100.0 + RESTORE_GRACE_SECONDS)
    assert set(registry.targets) == {"a"}


def test_target_that_rewrites_its_row_stays():
    registry = build_registry(build_row("a", 1, 40))
    registry.replace_all([], make_revision(2, 30), 100.0)
    registry.put(build_row("a", 2, 31), 101.0)
    registry.expire(200.0)
    assert set(registry.targets) == {"a"}


def test_leaving_target_is_not_revived_by_its_old_row():
    registry = build_registry(build_row("a", 1, 40, leaving=True))
    registry.replace_all([build_row("a", 2, 30)], make_revision(2, 31), 100.0)
    assert not registry.targets
    registry.put(build_row("a", 2, 32), 101.0)
    assert not registry.targets


def test_ended_target_is_not_revived_by_its_old_row():
    registry = build_registry(build_row("a", 1, 40), build_row("b", 1, 41))
    registry.remove("a", 10.0)
    changes = []
    registry.watch(lambda change, target: changes.append((change, target.id)))
    copy = [build_row("a", 2, 30), build_row("b", 2, 30)]
    registry.replace_all(copy, make_revision(2, 31), 100.0)
    assert set(registry.targets) == {"b"}
    assert changes == [(Change.NOT_TAKEN_BACK, "a")]


def test_target_dropped_by_mistake_returns_when_it_rewrites_its_row():
    registry = build_registry(build_row("a", 1, 40))
    registry.remove("a", 10.0)
    registry.replace_all([build_row("a", 2, 30)], make_revision(2, 31), 100.0)
    registry.put(build_row("a", 2, 32), 101.0)
    assert set(registry.targets) == {"a"}


def test_restarted_target_ignores_the_row_of_its_earlier_start():
    registry = build_registry(build_row("a", 1, 40, born=7, layers=None))
    copy = [build_row("a", 2, 30, born=3, layers=(0, 8))]
    registry.replace_all(copy, make_revision(2, 31), 100.0)
    assert registry.get_born("a") == 7
    assert registry.targets["a"].layers is None
    registry.put(build_row("a", 2, 35, born=9, layers=None), 101.0)
    assert registry.get_born("a") == 9


def test_layers_of_a_target_are_kept_until_it_rewrites_its_row():
    registry = build_registry(build_row("a", 1, 40, layers=(4, 8)))
    copy = [build_row("a", 2, 30, layers=(0, 4))]
    registry.replace_all(copy, make_revision(2, 31), 100.0)
    assert registry.targets["a"].layers == LayerRange(4, 8)
    registry.put(build_row("a", 2, 33, layers=(0, 2)), 101.0)
    assert registry.targets["a"].layers == LayerRange(0, 2)


def test_old_row_does_not_take_the_address_of_a_later_target():
    registry = build_registry(build_row("new", 1, 40, address="x:1"))
    copy = [build_row("old", 2, 30, address="x:1")]
    registry.replace_all(copy, make_revision(2, 31), 100.0)
    assert set(registry.targets) == {"new"}


def test_two_restores_drop_no_target_that_rewrites_its_row():
    registry = build_registry(build_row("a", 1, 40))
    for era in (2, 3):
        registry.replace_all([], make_revision(era, 30), 100.0 + era)
    registry.put(build_row("a", 3, 31), 104.0)
    registry.expire(200.0)
    assert set(registry.targets) == {"a"}


NAMES = "abc"
STEPS = st.lists(
    st.tuples(
        st.sampled_from(["write", "leave", "end", "copy", "restore", "read"]),
        st.sampled_from(NAMES),
    ),
    max_size=40,
)


@given(STEPS)
def test_registry_matches_the_live_targets_after_they_rewrite_their_rows(steps):
    """Targets write, leave and end; the store is copied, restored and read."""
    version, era, now = 10, 1, 0.0
    state = dict.fromkeys(NAMES, "live")
    store, copy = {}, ({}, version)
    registry = TargetRegistry()

    def write(name):
        nonlocal version
        version += 1
        store[name] = (version, state[name] == "leaving")

    def read():
        rows = [
            build_row(name, era, at, leaving) for name, (at, leaving) in store.items()
        ]
        registry.replace_all(rows, make_revision(era, version), now)

    for name in NAMES:
        write(name)
    read()
    seen_leaving = set()
    for step, name in steps:
        now += 1.0
        match step:
            case "write" if state[name] != "gone":
                write(name)
            case "leave" if state[name] == "live":
                state[name] = "leaving"
                write(name)
            case "end" if state[name] == "leaving":
                state[name] = "gone"
                version += 1
                store.pop(name, None)
            case "copy":
                copy = (dict(store), version)
            case "restore":
                store, version = dict(copy[0]), copy[1]
                era += 1
            case "read":
                read()
                seen_leaving |= {
                    item
                    for item in NAMES
                    if registry.rows.get(item, build_row("x", 0, 0)).leaving
                }
        assert not seen_leaving & set(registry.targets)
    for name in NAMES:
        if state[name] == "gone":
            store.pop(name, None)
        else:
            write(name)
    read()
    registry.expire(now + 60.0)
    live = {name for name in NAMES if state[name] == "live"}
    assert set(registry.targets) == live


# Client of the store.


async def open_store():
    standin = StoreStandin()
    await standin.start()
    session = open_session(SHORT_IDLE_SECONDS)
    return standin, session, PlatformStore(session, standin.address)


def run_with_store(scenario):
    async def run_scenario():
        standin, session, store = await open_store()
        try:
            await scenario(standin, store)
        finally:
            await session.close()
            await standin.stop()

    asyncio.run(run_scenario())


def write_target(standin, name):
    fields = {
        "service": "model",
        "address": "127.0.0.1:9",
        "zone": "north",
        "version": "v1",
        "slots": 1,
        "phase": "ready",
        "cold_remaining_ms": 0,
        "sequence": 1,
    }
    standin.put("servers", name, fields)


def test_restore_is_detected_when_new_versions_exceed_the_known_one():
    async def scenario(standin, store):
        write_target(standin, "a")
        standin.take_snapshot()
        write_target(standin, "b")
        seen = (await store.wait_targets(0, 0.0)).unwrap()
        standin.restore()
        for name in "cde":
            write_target(standin, name)
        later = await store.wait_targets(seen.revision, 0.0)
        assert later.err() is FeedFault.HISTORY_GONE
        whole = (await store.wait_targets(0, 0.0)).unwrap()
        assert {item.target.id for item in whole.rows} == set("acde")
        assert whole.revision > seen.revision

    run_with_store(scenario)


def test_feed_from_a_version_beyond_the_newest_reports_history_gone():
    async def scenario(standin, store):
        standin.take_snapshot()
        write_target(standin, "a")
        seen = (await store.wait_targets(0, 0.0)).unwrap()
        standin.restore()
        later = await store.wait_targets(seen.revision, 0.0)
        assert later.err() is FeedFault.HISTORY_GONE

    run_with_store(scenario)


def test_guard_matching_a_reused_version_is_reported_as_restored():
    async def scenario(standin, store):
        standin.take_snapshot()
        version = (await store.write("leases", "isle", b"first", 0)).unwrap()
        standin.restore()
        other = (await store.write("leases", "isle", b"rival", 0)).unwrap()
        assert get_version(other) == get_version(version)
        again = await store.write("leases", "isle", b"first again", version)
        assert again.err() is StoreFault.RESTORED

    run_with_store(scenario)


def test_unreadable_era_is_ignored():
    async def scenario(standin, store):
        write_target(standin, "a")
        seen = (await store.wait_targets(0, 0.0)).unwrap()
        standin.era = "no number"
        write_target(standin, "b")
        later = (await store.wait_targets(seen.revision, 0.0)).unwrap()
        assert [item.target.id for item in later.rows] == ["b"]

    run_with_store(scenario)


def test_store_without_era_header_is_read_normally():
    async def scenario(standin, store):
        standin.era = None
        write_target(standin, "a")
        seen = (await store.wait_targets(0, 0.0)).unwrap()
        assert get_era(seen.revision) == 0
        write_target(standin, "b")
        later = (await store.wait_targets(seen.revision, 0.0)).unwrap()
        assert [item.target.id for item in later.rows] == ["b"]

    run_with_store(scenario)


# Whole hosts.


def _has_lost_store(host):
    return host.parts.targets.dependency.is_lost


def _list_names(host):
    return set(host.parts.runs.directory.registry.targets)


@pytest.mark.parametrize("is_noticed", [True, False])
def test_hosts_agree_with_the_store_after_it_came_back_from_an_older_copy(is_noticed):
    async def scenario():
        async with run_site(hosts=3, desks=2) as site:
            store, hosts = site.store, site.hosts
            await site.wait_until(
                lambda: all(len(_list_names(host)) == 2 for host in hosts)
            )
            store.take_snapshot()
            lost = await site.add_engine("lost", DATA_CENTRES[0], (0, 8))
            await site.wait_until(
                lambda: all("lost" in _list_names(host) for host in hosts)
            )
            store.put("op", "config", build_configuration(version=5))
            await site.wait_until(
                lambda: all(host.parts.runs.directory.version == 5 for host in hosts)
            )
            fresh = EngineStandin("fresh", site.engines)
            fresh.held = (0, 8)
            await fresh.start()
            store.refuse = 503 if is_noticed else None
            if is_noticed:
                await site.wait_until(
                    lambda: all(_has_lost_store(host) for host in hosts)
                )
            store.restore()
            site.register_target(fresh, "model", DATA_CENTRES[1])
            for desk, centre in zip(site.desks, DATA_CENTRES, strict=True):
                site.register_target(desk, "desk", centre)
            site.register_target(lost, "model", DATA_CENTRES[0])
            for number in range(20):
                store.put("other", "row", number)
            store.refuse = None
            names = {"d0", "d1", "lost", "fresh"}
            await site.wait_until(
                lambda: all(_list_names(host) == names for host in hosts)
            )
            assert all(host.parts.runs.directory.version == 5 for host in hosts)
            store.put("op", "config", build_configuration(version=6))
            await site.wait_until(
                lambda: all(host.parts.runs.directory.version == 6 for host in hosts)
            )
            await fresh.stop()
            store.delete("servers", "fresh")
            await site.wait_until(
                lambda: all("fresh" not in _list_names(h) for h in hosts)
            )
            own = [host.settings.identity.host for host in hosts]
            await site.wait_until(
                lambda: all(store.read("hosts", name) for name in own)
            )
            assert len(get_targets(site)) == 3

    run_scenario(scenario())


def test_lapsed_target_that_restarts_at_a_taken_address_is_dropped_once():
    registry = build_registry(
        build_row("b", 1, 5, address="10.1.0.9:80"),
        build_row("a", 1, 5, address="10.1.0.9:80"),
    )
    registry.replace_all([], make_revision(2, 50), 10.0)
    registry.note_layers(TargetId("a"), None, born=2)
    registry.note_layers(TargetId("b"), None, born=2)
    registry.expire(10.0 + RESTORE_GRACE_SECONDS)
    assert set(registry.rows) == {"a"}
