"""The store's client: rows of hosts, and answers that can't be read."""

import asyncio

import msgpack
import orjson
import pytest

from marigoldswitch.core.ports import StoreFault
from marigoldswitch.gateway.connections import SHORT_IDLE_SECONDS, open_session
from marigoldswitch.gateway.ports import FeedFault, HostRecord
from marigoldswitch.platform.store import PlatformStore, _decode_host
from marigoldswitch.standins.platform_store import StoreStandin
from marigoldswitch.tests.gateway_site import build_configuration
from marigoldswitch.tests.helpers import capture_all_logs
from marigoldswitch.tests.test_store_restored import run_with_store, write_target

RECORD = HostRecord("10.0.0.1:8229", "north", 23)


def test_entered_host_is_listed():
    async def scenario():
        standin = StoreStandin()
        await standin.start()
        session = open_session(SHORT_IDLE_SECONDS)
        store = PlatformStore(session, standin.address)
        # A call times out after 0.6 s; hosts retry it as well.
        for _ in range(5):
            if (await store.register(RECORD)).is_ok():
                break
        listed = await store.list_hosts()
        await session.close()
        await standin.stop()
        return listed.ok_value

    assert asyncio.run(scenario()) == [RECORD]


def test_row_with_only_a_data_centre_is_decoded():
    row = msgpack.packb("north")
    assert _decode_host("10.0.0.1:8229", row) == HostRecord("10.0.0.1:8229", "north")


@pytest.mark.parametrize("value", [7, ["north"], ["north", "strong"], None])
def test_malformed_host_row_is_refused(value):
    with pytest.raises((ValueError, TypeError)):
        _decode_host("10.0.0.1:8229", msgpack.packb(value))


async def answer(read):
    """Return what a read returns, tried again where the store is slow to answer."""
    for _ in range(5):
        result = await read()
        if result.err() is not FeedFault.UNAVAILABLE:
            break
    return result


UNREADABLE_BODIES = [
    b"{",
    b"[]",
    b"7",
    b"null",
    b'{"rows": []}',
    b'{"rows": [], "row_version": "7"}',
    b'{"rows": [], "row_version": -1}',
    b'{"row_version": 7}',
    b'{"rows": {}, "row_version": 7}',
    b'{"rows": [], "row_version": 7, "has_more": true}',
    b'{"rows": [{"key": 7}], "row_version": 7, "has_more": true}',
]


@pytest.mark.parametrize("body", UNREADABLE_BODIES)
def test_unreadable_answer_to_a_read_of_a_table_is_reported(body):
    async def scenario(standin, store):
        standin.bodies["/rows-get"] = body
        configuration = await answer(lambda: store.wait_configuration(0, 0.0))
        assert configuration.err() is FeedFault.MALFORMED
        targets = await answer(lambda: store.wait_targets(0, 0.0))
        assert targets.err() is FeedFault.MALFORMED
        assert (await store.list_hosts()).err() is StoreFault.UNAVAILABLE

    run_with_store(scenario)


@pytest.mark.parametrize("body", UNREADABLE_BODIES[:9])
def test_unreadable_answer_to_other_calls_is_reported(body):
    async def scenario(standin, store):
        for path in ("/rows-get", "/rows-feed", "/rows-tx"):
            standin.bodies[path] = body
        configuration = await answer(lambda: store.wait_configuration(3, 0.0))
        assert configuration.err() is FeedFault.MALFORMED
        targets = await answer(lambda: store.wait_targets(3, 0.0))
        assert targets.err() is FeedFault.MALFORMED
        assert (await store.read("leases", "isle")).err() is StoreFault.UNKNOWN
        if b'row_version": 7' not in body:
            written = await store.write("leases", "isle", b"", 0)
            assert written.err() is StoreFault.UNKNOWN

    run_with_store(scenario)


UNREADABLE_ROWS = [
    {"key": "bad", "row_version": 5},
    {"key": "bad", "row_version": 5, "value": None},
    {"key": "bad", "row_version": 5, "value": "abc"},
    {"key": "bad", "row_version": 5, "value": "\u00e9"},
    {"key": "bad", "value": "e30="},
    {"key": "bad", "row_version": "5", "value": "e30="},
]


@pytest.mark.parametrize("path", ["/rows-get", "/rows-feed"])
@pytest.mark.parametrize("row", [*UNREADABLE_ROWS, {"key": 7}, {}, [], 7, None])
def test_unreadable_row_of_another_writer_does_not_hide_the_others(path, row):
    async def scenario(standin, store):
        write_target(standin, "good")
        good = standin._rows["servers", "", "good"]
        body = {"rows": [row, good, row], "row_version": 9, "has_more": False}
        standin.bodies[path] = orjson.dumps(body)
        revision = 0 if path == "/rows-get" else (1 << 44) + 1
        changes = (await answer(lambda: store.wait_targets(revision, 0.0))).unwrap()
        assert [item.target.id for item in changes.rows] == ["good"]
        is_named = isinstance(row, dict) and row.get("key") == "bad"
        assert changes.removed == (["bad"] if is_named else [])

    run_with_store(scenario)


@pytest.mark.parametrize("row", UNREADABLE_ROWS)
def test_unreadable_configuration_is_reported_and_logged_once(row):
    async def scenario(standin, store):
        body = {"rows": [{**row, "key": "config"}], "row_version": 9}
        standin.bodies["/rows-get"] = orjson.dumps(body)
        with capture_all_logs() as logs:
            for _ in range(3):
                read = await answer(lambda: store.wait_configuration(0, 0.0))
                assert read.err() is FeedFault.UNREADABLE
        events = [line["event"] for line in logs]
        assert events.count("configuration_unreadable") == 1
        standin.bodies.clear()
        standin.put("op", "config", build_configuration(3))
        stored, _ = (await answer(lambda: store.wait_configuration(0, 0.0))).unwrap()
        assert stored.table.version == 3

    run_with_store(scenario)


def test_unreadable_row_of_a_lease_is_reported():
    async def scenario(standin, store):
        row = {"key": "isle", "row_version": 5, "value": "abc"}
        body = {"rows": [row], "row_version": 9}
        standin.bodies["/rows-get"] = orjson.dumps(body)
        assert (await store.read("leases", "isle")).err() is StoreFault.UNKNOWN

    run_with_store(scenario)


def test_begin_and_end_of_refusals_are_logged_once():
    async def scenario(standin, store):
        await answer(lambda: store.wait_targets(0, 0.0))
        with capture_all_logs() as logs:
            standin.refuse = 503
            for _ in range(3):
                await store.wait_targets(0, 0.0)
            standin.refuse = None
            await answer(lambda: store.wait_targets(0, 0.0))
        failed, answered = (
            [line for line in logs if line["event"] == event]
            for event in ("store_call_failed", "store_call_answered")
        )
        refused = [line for line in failed if line["kind"] != "timeout"]
        assert [line["kind"] for line in refused] == ["refused with 503"]
        assert refused[0]["table"] == "servers"
        assert refused[0]["log_level"] == "warning"
        assert answered[-1]["failed_before"] == "refused with 503"

    run_with_store(scenario)
