"""Rows that hosts write about themselves in the platform's store."""

import asyncio

import msgpack
import pytest

from marigoldswitch.gateway.connections import SHORT_IDLE_SECONDS, open_session
from marigoldswitch.gateway.ports import HostRecord
from marigoldswitch.platform.store import PlatformStore, _decode_host
from marigoldswitch.standins.platform_store import StoreStandin

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
