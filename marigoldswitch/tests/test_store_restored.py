"""The store comes back from an older copy: versions go back, writes are lost."""

import asyncio

import pytest
from hypothesis import given, strategies as st

from marigoldswitch.core.catalogue import LayerRange, Target
from marigoldswitch.core.gateway_messages import GatewayMessage, LoadDigest
from marigoldswitch.core.ids import DataCentre
from marigoldswitch.core.ports import StoreFault
from marigoldswitch.core.registry import (
    COPY_RETURN_SECONDS,
    Change,
    TargetRegistry,
    TargetRow,
)
from marigoldswitch.core.revisions import get_era, get_version, make_revision
from marigoldswitch.gateway.connections import IDLE_SECONDS, open_session
from marigoldswitch.gateway.ports import FeedFault
from marigoldswitch.platform.store import PlatformStore
from marigoldswitch.standins.platform_engines import EngineStandin
from marigoldswitch.standins.platform_store import StoreStandin
from marigoldswitch.tests.gateway_site import (
    CENTRES,
    build_configuration,
    get_targets,
    run,
    run_site,
)
from marigoldswitch.wire import MessageCodec


def row(name, era, version, leaving=False, born=1, layers=(0, 8), address=None):
    span = LayerRange(*layers) if layers else None
    place = address or f"{name}:1"
    target = Target(name, "model", "north", place, 96, span, "card")
    return TargetRow(target, leaving, make_revision(era, version), born)


def build_registry(*rows, era=1, version=50):
    registry = TargetRegistry()
    registry.replace_all(rows, make_revision(era, version), 0.0)
    return registry


# Orders of versions.


@given(st.integers(0, 2**19 - 2), st.integers(0, 2**43))
def test_place_in_the_history_keeps_era_and_version(era, version):
    place = make_revision(era, version)
    assert (get_era(place), get_version(place)) == (era, version)
    assert make_revision(era + 1, 0) > place


@given(st.integers(0, 2**60), st.integers(0, 2**43))
def test_place_of_any_era_fits_into_a_message(era, version):
    place = make_revision(era, version)
    codec = MessageCodec(GatewayMessage)
    digest = LoadDigest(DataCentre("north"), 1, place)
    assert codec.decode(codec.encode(digest)).unwrap().revision == place


def test_store_without_eras_counts_as_ever():
    assert make_revision(0, 17) == 17


# Targets.


def test_target_that_the_copy_lacks_stays_until_it_can_have_written_again():
    registry = build_registry(row("a", 1, 40), row("b", 1, 45))
    registry.replace_all([row("a", 2, 30)], make_revision(2, 31), 100.0)
    registry.expire(100.0 + COPY_RETURN_SECONDS - 0.1)
    assert set(registry.targets) == {"a", "b"}
    registry.expire(100.0 + COPY_RETURN_SECONDS)
    assert set(registry.targets) == {"a"}


def test_target_that_has_written_again_stays():
    registry = build_registry(row("a", 1, 40))
    registry.replace_all([], make_revision(2, 30), 100.0)
    registry.put(row("a", 2, 31), 101.0)
    registry.expire(200.0)
    assert set(registry.targets) == {"a"}


def test_leaving_target_does_not_come_back_by_its_old_row():
    registry = build_registry(row("a", 1, 40, leaving=True))
    registry.replace_all([row("a", 2, 30)], make_revision(2, 31), 100.0)
    assert not registry.targets
    registry.put(row("a", 2, 32), 101.0)
    assert not registry.targets


def test_target_that_ended_does_not_come_back_by_its_old_row():
    registry = build_registry(row("a", 1, 40), row("b", 1, 41))
    registry.remove("a", 10.0)
    told = []
    registry.watch(lambda change, target: told.append((change, target.id)))
    copy = [row("a", 2, 30), row("b", 2, 30)]
    registry.replace_all(copy, make_revision(2, 31), 100.0)
    assert set(registry.targets) == {"b"}
    assert told == [(Change.NOT_TAKEN_BACK, "a")]


def test_target_dropped_by_mistake_comes_back_when_it_writes_again():
    registry = build_registry(row("a", 1, 40))
    registry.remove("a", 10.0)
    registry.replace_all([row("a", 2, 30)], make_revision(2, 31), 100.0)
    registry.put(row("a", 2, 32), 101.0)
    assert set(registry.targets) == {"a"}


def test_target_that_started_again_is_not_taken_for_its_former_self():
    registry = build_registry(row("a", 1, 40, born=7, layers=None))
    copy = [row("a", 2, 30, born=3, layers=(0, 8))]
    registry.replace_all(copy, make_revision(2, 31), 100.0)
    assert registry.get_born("a") == 7
    assert registry.targets["a"].layers is None
    registry.put(row("a", 2, 35, born=9, layers=None), 101.0)
    assert registry.get_born("a") == 9


def test_what_a_target_holds_stands_until_it_has_written_again():
    registry = build_registry(row("a", 1, 40, layers=(4, 8)))
    copy = [row("a", 2, 30, layers=(0, 4))]
    registry.replace_all(copy, make_revision(2, 31), 100.0)
    assert registry.targets["a"].layers == LayerRange(4, 8)
    registry.put(row("a", 2, 33, layers=(0, 2)), 101.0)
    assert registry.targets["a"].layers == LayerRange(0, 2)


def test_old_row_does_not_take_the_address_of_a_later_target():
    registry = build_registry(row("new", 1, 40, address="x:1"))
    copy = [row("old", 2, 30, address="x:1")]
    registry.replace_all(copy, make_revision(2, 31), 100.0)
    assert set(registry.targets) == {"new"}


def test_two_returns_in_a_row_drop_nobody_that_writes_again():
    registry = build_registry(row("a", 1, 40))
    for era in (2, 3):
        registry.replace_all([], make_revision(era, 30), 100.0 + era)
    registry.put(row("a", 3, 31), 104.0)
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
def test_registry_agrees_with_the_live_targets_after_they_have_written_again(steps):
    """A store, targets that write, leave and end, and a host that reads at times."""
    version, era, now = 10, 1, 0.0
    state = dict.fromkeys(NAMES, "live")
    store, copy = {}, ({}, version)
    registry = TargetRegistry()

    def write(name):
        nonlocal version
        version += 1
        store[name] = (version, state[name] == "leaving")

    def read():
        rows = [row(name, era, at, leaving) for name, (at, leaving) in store.items()]
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
                    if registry.rows.get(item, row("x", 0, 0)).leaving
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


# The adapter.


async def open_store():
    standin = StoreStandin()
    await standin.start()
    session = open_session(IDLE_SECONDS)
    return standin, session, PlatformStore(session, standin.address)


def play(scenario):
    async def whole():
        standin, session, store = await open_store()
        try:
            await scenario(standin, store)
        finally:
            await session.close()
            await standin.stop()

    asyncio.run(whole())


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


def test_feed_whose_versions_have_passed_the_ones_known_does_not_hide_a_return():
    async def scenario(standin, store):
        write_target(standin, "a")
        standin.copy()
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

    play(scenario)


def test_read_of_a_version_that_the_store_does_not_have_says_that_history_is_gone():
    async def scenario(standin, store):
        standin.copy()
        write_target(standin, "a")
        seen = (await store.wait_targets(0, 0.0)).unwrap()
        standin.restore()
        later = await store.wait_targets(seen.revision, 0.0)
        assert later.err() is FeedFault.HISTORY_GONE

    play(scenario)


def test_guard_that_holds_by_chance_after_a_return_is_told():
    async def scenario(standin, store):
        standin.copy()
        version = (await store.write("leases", "isle", b"first", 0)).unwrap()
        standin.restore()
        rival = (await store.write("leases", "isle", b"rival", 0)).unwrap()
        assert get_version(rival) == get_version(version)
        again = await store.write("leases", "isle", b"first again", version)
        assert again.err() is StoreFault.RESTORED

    play(scenario)


def test_era_that_can_not_be_read_changes_nothing():
    async def scenario(standin, store):
        write_target(standin, "a")
        seen = (await store.wait_targets(0, 0.0)).unwrap()
        standin.era = "no number"
        write_target(standin, "b")
        later = (await store.wait_targets(seen.revision, 0.0)).unwrap()
        assert [item.target.id for item in later.rows] == ["b"]

    play(scenario)


def test_store_that_tells_no_era_is_read_as_before():
    async def scenario(standin, store):
        standin.era = None
        write_target(standin, "a")
        seen = (await store.wait_targets(0, 0.0)).unwrap()
        assert get_era(seen.revision) == 0
        write_target(standin, "b")
        later = (await store.wait_targets(seen.revision, 0.0)).unwrap()
        assert [item.target.id for item in later.rows] == ["b"]

    play(scenario)


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
            await site.wait(lambda: all(len(_list_names(host)) == 2 for host in hosts))
            store.copy()
            lost = await site.add_engine("lost", CENTRES[0], (0, 8))
            await site.wait(lambda: all("lost" in _list_names(host) for host in hosts))
            store.put("op", "config", build_configuration(version=5))
            await site.wait(
                lambda: all(host.parts.runs.directory.version == 5 for host in hosts)
            )
            fresh = EngineStandin("fresh", site.engines)
            fresh.held = (0, 8)
            await fresh.start()
            store.refuse = 503 if is_noticed else None
            if is_noticed:
                await site.wait(lambda: all(_has_lost_store(host) for host in hosts))
            store.restore()
            site.enter(fresh, "model", CENTRES[1])
            for desk, centre in zip(site.desks, CENTRES, strict=True):
                site.enter(desk, "desk", centre)
            site.enter(lost, "model", CENTRES[0])
            for number in range(20):
                store.put("other", "row", number)
            store.refuse = None
            names = {"d0", "d1", "lost", "fresh"}
            await site.wait(lambda: all(_list_names(host) == names for host in hosts))
            assert all(host.parts.runs.directory.version == 5 for host in hosts)
            store.put("op", "config", build_configuration(version=6))
            await site.wait(
                lambda: all(host.parts.runs.directory.version == 6 for host in hosts)
            )
            await fresh.stop()
            store.drop("servers", "fresh")
            await site.wait(lambda: all("fresh" not in _list_names(h) for h in hosts))
            own = [host.settings.identity.host for host in hosts]
            await site.wait(lambda: all(store.read("hosts", name) for name in own))
            assert len(get_targets(site)) == 3

    run(scenario())
