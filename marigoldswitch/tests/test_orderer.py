"""The orderer reassigns the layers of lost engines, but not of unreachable ones."""

import asyncio
from types import SimpleNamespace

import pytest

from marigoldswitch.core.catalogue import LayerRange, Target
from marigoldswitch.core.deputies import STORE_TIMEOUT_SECONDS, OutageView
from marigoldswitch.core.ids import DataCentre, HostId, ServiceName, TargetId
from marigoldswitch.core.models import Accelerator, ModelSpec
from marigoldswitch.core.registry import TargetRow
from marigoldswitch.core.routes import ClientLimits, RoutingTable, ServiceSpec
from marigoldswitch.core.suspects import Finding
from marigoldswitch.gateway.directory import Directory
from marigoldswitch.gateway.orderer import (
    REASSIGN_SECONDS,
    RETURN_SETTLE_SECONDS,
    SLOW_LOAD_SECONDS,
    LayerOrderer,
)
from marigoldswitch.gateway.ports import (
    EngineStatus,
    OrderReply,
    OrderResult,
    StoredConfiguration,
)

MODEL = ModelSpec(
    8,
    1000.0,
    0.01,
    1e-3,
    1e-5,
    1e-8,
    1e-5,
    1.0,
    4,
    accelerators={"card": Accelerator("card", 6000.0, 2.0, 2.0)},
)
SERVICE = ServiceName("model")
HOST = HostId("10.9.0.1:80")


class Engines:
    """Engines that accept each order and stay busy with it."""

    def __init__(self):
        self.orders = {}
        self.held = {}
        self.silent = set()

    async def read(self, address, timeout):
        if address in self.silent:
            return None
        return EngineStatus(self.held.get(address), address in self.orders, 0)

    async def place(self, address, layers, sequence):
        self.orders[address] = layers
        return OrderReply(OrderResult.BEGUN)


class Site:
    """Two data centres with four engines each, and the host that sends them orders."""

    def __init__(self):
        self.now = 100.0
        self.directory = Directory()
        services = {SERVICE: ServiceSpec(SERVICE, 0, MODEL)}
        table = RoutingTable(1, (), services, {}, ClientLimits())
        self.directory.adopt(StoredConfiguration(table, b""), "test")
        self.engines = Engines()
        self.outage = OutageView(HOST, 0.0, True, True, {})
        spread = SimpleNamespace(
            recent_layers={},
            send_urgent_digest=lambda: None,
            get_outage_view=lambda: self.outage,
        )
        self.contact = SimpleNamespace(is_lost=False)
        self.orderer = LayerOrderer(
            SimpleNamespace(monotonic=lambda: self.now),
            None,
            self.engines,
            self.directory,
            SimpleNamespace(
                forget=lambda name: None, note_status=lambda name, status: None
            ),
            spread,
            HOST,
            DataCentre("1"),
            "r",
            self.contact,
        )
        self.orderer.lease = SimpleNamespace(
            holds=True, fencing=1, may_order=lambda now: True
        )
        for centre in (1, 2):
            self.enter(centre, 1, (0, 4))
            self.enter(centre, 2, (4, 8))
            self.enter(centre, 3, (4, 8))
            self.enter(centre, 4, (4, 8))
        self.now += 10.0

    def enter(self, centre, number, held, revision=1):
        layers = LayerRange(*held) if held else None
        address = f"10.{centre}.0.{number}:80"
        self.engines.held[address] = layers
        target = Target(
            TargetId(f"{centre}-{number}"),
            SERVICE,
            DataCentre(str(centre)),
            address,
            96,
            layers,
            "card",
        )
        self.directory.registry.put(TargetRow(target, False, revision), self.now)

    def lose(self, centre, number):
        self.engines.silent.add(f"10.{centre}.0.{number}:80")
        name = TargetId(f"{centre}-{number}")
        self.directory.suspects.note(name, Finding.DEAD, self.now)

    def place(self):
        asyncio.run(self.orderer._apply_layouts())
        return self.engines.orders


@pytest.fixture
def site():
    site = Site()
    assert site.place() == {}
    return site


def test_layers_of_a_dead_engine_are_reassigned_before_its_row_expires(site):
    site.lose(1, 1)
    assert site.place() == {}
    site.now += REASSIGN_SECONDS
    orders = site.place()
    assert [item[:5] for item in orders] == ["10.1."]
    assert next(iter(orders.values())).first == 0


def test_layout_of_a_partitioned_data_centre_is_not_changed(site):
    site.lose(1, 1)
    site.lose(1, 2)
    site.lose(1, 3)
    site.now += REASSIGN_SECONDS
    assert site.place() == {}


def test_layout_is_not_changed_while_engines_return_after_a_partition(site):
    for number in (1, 2, 3, 4):
        site.directory.registry.remove(TargetId(f"1-{number}"), site.now)
    site.now += 1.0
    site.enter(1, 2, (4, 8), revision=5)
    site.enter(1, 3, (4, 8), revision=6)
    assert site.place() == {}
    site.now += RETURN_SETTLE_SECONDS / 2
    site.enter(1, 1, (0, 4), revision=7)
    site.now += RETURN_SETTLE_SECONDS
    assert site.place() == {}


def test_layers_that_load_slowly_are_assigned_to_another_engine(site):
    site.lose(1, 1)
    site.now += REASSIGN_SECONDS
    (first,) = site.place()
    site.now += SLOW_LOAD_SECONDS
    site.directory.suspects.note(TargetId("1-1"), Finding.DEAD, site.now - 0.1)
    site.now += REASSIGN_SECONDS
    orders = site.place()
    assert len(orders) == 2 and first in orders
    assert {item.first for item in orders.values()} == {0}


def test_deputy_sends_orders_only_to_engines_of_its_own_data_centre(site):
    site.orderer.lease = SimpleNamespace(
        holds=False, fencing=1, may_order=lambda now: False
    )
    site.outage = OutageView(HOST, STORE_TIMEOUT_SECONDS, False, False, {})
    site.lose(1, 1)
    site.lose(2, 1)
    site.now += REASSIGN_SECONDS
    asyncio.run(site.orderer.tick())
    assert {address[:5] for address in site.engines.orders} == {"10.1."}
    site.outage = OutageView(HOST, 0.0, True, True, {})
    site.orderer.lease.observe = lambda row, now: None
    site.orderer._lease_read_at = site.now
    site.orderer._spread.hears_orderer = True
    site.engines.orders.clear()
    asyncio.run(site.orderer.tick())
    assert site.engines.orders == {}


def test_orderer_that_reaches_no_target_gives_its_lease_up_and_takes_none(site):
    given_up = []
    site.orderer.lease.give_up = lambda: given_up.append(site.now)
    site.contact.is_lost = True
    site.lose(1, 1)
    site.now += REASSIGN_SECONDS
    asyncio.run(site.orderer.tick())
    site.orderer.lease.holds = False
    asyncio.run(site.orderer.tick())
    assert given_up == [site.now]
    assert site.engines.orders == {}
