"""Assigns model layers to engines; only one host of a region does so at a time.

Any host can hold the lease, a row of the platform's table service, or act as a deputy
while the store is unavailable. The holder keeps no state that has to survive it: the
targets' rows record which layers engines hold. Each order carries the engine's own
order count, so that the engine rejects an order that arrives after a newer one.
"""

import asyncio
import secrets
from collections import Counter

import structlog
from msgspec import Struct
from result import Err, Ok

from marigoldswitch.core.catalogue import LayerRange, Target
from marigoldswitch.core.contact import TargetContact
from marigoldswitch.core.deputies import is_deputy
from marigoldswitch.core.engine_groups import fits_model
from marigoldswitch.core.ids import DataCentre, HostId, ServiceName, TargetId
from marigoldswitch.core.layer_cover import LayoutEngine
from marigoldswitch.core.layouts import plan_layout
from marigoldswitch.core.leases import LEASE_TABLE, Lease, LeaseTerms, encode_lease
from marigoldswitch.core.models import ModelSpec
from marigoldswitch.core.ports import Clock, StoreFault
from marigoldswitch.core.registry import Change
from marigoldswitch.core.routes import ServiceSpec
from marigoldswitch.gateway.directory import Directory
from marigoldswitch.gateway.ports import (
    EngineControl,
    EngineStatus,
    OrderResult,
    VersionedTable,
)
from marigoldswitch.gateway.probing import EngineProbes
from marigoldswitch.gateway.spread import DigestExchange

logger = structlog.get_logger(__name__)

LEASE_TERMS = LeaseTerms(duration=2.4, margin=0.4)
"""Renewed every 0.6 s, so that it survives three lost renewals. A longer lease leaves
layers uncovered for longer after its holder is lost. The margin is longer than a status
read and an order take."""
LEASE_GIVE_UP_SECONDS = 1.2
"""Time without a renewal after which a holder that can't read the lease gives it up and
tells its peers: two renewals have failed, and another host can take over at once."""
TICK_SECONDS = 0.25
IDLE_TICK_SECONDS = 1.0
"""Interval between ticks of a host that neither holds the lease nor reads the store."""
LEASE_READ_INTERVAL = 0.6
"""Minimum time between two lease reads of a host that does not hold the lease."""
SETTLE_SECONDS = 1.3
"""The first layout is planned once no engine has registered for this long, about one
heartbeat, because large engines must be placed first."""
STATUS_TIMEOUT = 0.3
FIRST_CHECK_SECONDS = 0.4
"""Time after an order before its first check; no layer can have loaded earlier."""
ORDER_ACCEPT_SECONDS = 1.5
"""Time after which an engine that is neither busy nor holds the ordered layers is taken
not to have accepted the order. Its status report lags by a few hundred milliseconds."""
REASSIGN_SECONDS = 0.2
"""Time after which the layers of an unresponsive engine are assigned to others. Its row
expires only after three heartbeats (3.6 s), in which its data centre has no chain. Two
tries of 60 ms in all have failed by then. A live engine that was briefly unreachable
keeps its layers, and the others release them again."""
PARTITION_SHARE = 0.5
"""Share of a data centre's engines that must be unresponsive before they count as
partitioned from this host instead of dead; orders would not reach them."""
SLOW_LOAD_SECONDS = 3.0
"""Time after which ordered layers that are still not loaded no longer count as held. A
step loads in 1.4 s, but the engine first waits for the streams that started on it.
Counting on such an engine once left a data centre without some layers for 10 s."""
RETURN_SETTLE_SECONDS = 0.4
"""Time after an engine that still holds layers returns during which the layout of its
data centre is not changed. The rows of all engines of a healed partition return within
half a second; layers that are missing until then are not lost."""
ORDER_EXPIRY_SECONDS = 20.0
"""Time after which a pending order is dropped; longer than loading a whole model."""


class PendingOrder(Struct, frozen=True):
    """An order whose completion is not confirmed yet."""

    layers: LayerRange
    sent_at: float


class LayerOrderer:
    """Holds or watches the lease; as holder or deputy, applies the planned layout."""

    def __init__(
        self,
        clock: Clock,
        table: VersionedTable,
        engines: EngineControl,
        directory: Directory,
        probes: EngineProbes,
        spread: DigestExchange,
        host: HostId,
        home: DataCentre,
        region: str,
        contact: TargetContact,
    ) -> None:
        self.lease = Lease(host, secrets.token_hex(4), LEASE_TERMS)
        self._clock = clock
        self._table = table
        self._engines = engines
        self._directory = directory
        self._probes = probes
        self._spread = spread
        self._home = home
        self._region = region
        self._contact = contact
        self._pending: dict[TargetId, PendingOrder] = {}
        self._changed_at = clock.monotonic()
        self._stable: dict[ServiceName, list[LayoutEngine]] = {}
        """Engine states for which the last plan required no change, by service."""
        self._returned_at: dict[DataCentre, float] = {}
        """When an engine that already held layers last joined each data centre."""
        self._partitioned: set[DataCentre] = set()
        """Data centres that are partitioned from this host."""
        self._lease_read_at = float("-inf")
        self._retired = False
        self._is_deputy = False
        """Whether this host sends orders without the lease during a store outage."""
        directory.registry.watch(self._note_change)

    async def run(self) -> None:
        """Maintain the lease and the layout until cancelled."""
        while True:
            is_active = self.lease.holds or self._spread.roster.must_read()
            await asyncio.sleep(TICK_SECONDS if is_active else IDLE_TICK_SECONDS)
            try:
                await self.tick()
            except Exception:
                logger.exception("orders_failed", region=self._region)

    async def tick(self) -> None:
        """Update the lease if due; if allowed to order, check and send orders."""
        if self._retired:
            return
        if self._contact.is_lost:
            self._give_up_orders()
            return
        self._update_deputy_role()
        if not self._is_deputy:
            await self._keep_lease()
        if self._may_order():
            await self._check_pending()
            await self._apply_layouts()

    def _give_up_orders(self) -> None:
        """Let another host order, as this one reaches no engine."""
        if self.lease.holds:
            logger.warning("lease_given_up", why="no target can be reached")
            self.lease.give_up()
        self._is_deputy = False
        self._pending.clear()

    def retire(self) -> None:
        """Stop ordering and give up the lease, so that another host can take over."""
        self._retired = True
        self._is_deputy = False
        self.lease.give_up()

    def _note_change(self, change: Change, target: Target) -> None:
        if change is Change.ADDED:
            self._changed_at = self._clock.monotonic()
            if target.layers is not None:
                self._returned_at[target.data_centre] = self._changed_at
        if change is Change.GONE:
            self._pending.pop(target.id, None)
            self._probes.forget(target.id)

    def _update_deputy_role(self) -> None:
        """Start or stop acting as a deputy, depending on the state of the store."""
        view = self._spread.get_outage_view()
        stands_in = not self.lease.holds and is_deputy(view)
        if stands_in == self._is_deputy:
            return
        self._is_deputy = stands_in
        self._pending.clear()
        logger.info(
            "deputy_began" if stands_in else "deputy_ended",
            lost=round(view.outage_seconds, 2),
            near=len(view.digest_ages),
            hears_reader=view.hears_reader,
            hears_holder=view.hears_holder,
        )

    def _may_order(self) -> bool:
        return self._is_deputy or self.lease.may_order(self._clock.monotonic())

    # The lease.

    async def _keep_lease(self) -> None:
        now = self._clock.monotonic()
        if not self.lease.holds:
            waits = (
                self._spread.hears_orderer
                or now - self._lease_read_at < LEASE_READ_INTERVAL
            )
            # A few hosts per data centre are enough, and every read is billed.
            waits = waits or not self._spread.roster.must_read()
            if waits or not await self._read_lease():
                return
        claim = self.lease.plan_write(self._clock.monotonic())
        if claim is None:
            return
        began = self._clock.monotonic()
        written = await self._table.write(
            LEASE_TABLE, self._region, encode_lease(claim.row), claim.expected_version
        )
        match written:
            case Ok(version):
                if not self.lease.holds:
                    logger.info("lease_taken", fencing=claim.row.fencing)
                self.lease.note_written(claim, began, self._clock.monotonic(), version)
            case Err(fault):
                logger.info("lease_not_written", why=fault.value)
                if fault is StoreFault.RESTORED:
                    # The row may have been another holder's, which has yet to notice.
                    self.lease.give_up()
                if not await self._read_lease():
                    return

    async def _read_lease(self) -> bool:
        """Read the lease's row and return whether that succeeded."""
        self._lease_read_at = self._clock.monotonic()
        held = self.lease.holds
        read = await self._table.read(LEASE_TABLE, self._region)
        if isinstance(read, Err):
            if (
                held
                and self.lease.get_renewal_age(self._clock.monotonic())
                > LEASE_GIVE_UP_SECONDS
            ):
                logger.warning("lease_given_up", why=read.err_value.value)
                self.lease.give_up()
            return False
        try:
            self.lease.observe(read.ok_value, self._clock.monotonic())
        except ValueError:
            logger.error("lease_unreadable", table=LEASE_TABLE, key=self._region)
            self.lease.give_up()
            return False
        if held and not self.lease.holds:
            logger.warning("lease_lost", holder=self.lease.holder)
            self._pending.clear()
        return True

    # The layout.

    async def _apply_layouts(self) -> None:
        table = self._directory.table
        if table is None:
            return
        for service in table.services.values():
            if service.model is not None:
                await self._apply_layout(service, service.model)

    async def _apply_layout(self, service: ServiceSpec, model: ModelSpec) -> None:
        targets = self._list_controlled(service.name)
        engines = [self._build_slot(item) for item in self._exclude_dead(targets)]
        if not self._is_settled(engines) or engines == self._stable.get(service.name):
            return
        if self._is_deputy and not fits_model(model, engines):
            # The model spans data centres, of which a deputy orders only its own.
            return
        wanted = plan_layout(model, engines)
        if not wanted:
            # Skip planning until an engine changes: it takes 16 ms with 600 engines.
            self._stable[service.name] = engines
        by_id = {item.id: item for item in targets}
        orders = [
            self._send(by_id[name], layers, model) for name, layers in wanted.items()
        ]
        await asyncio.gather(*orders)

    def _list_controlled(self, service: ServiceName) -> list[Target]:
        """Return the engines to which this host may send orders."""
        targets = self._directory.registry.list_targets(service)
        if not self._is_deputy:
            return targets
        return [item for item in targets if item.data_centre == self._home]

    def _exclude_dead(self, targets: list[Target]) -> list[Target]:
        """Return the targets without dead ones, but with those behind a partition."""
        now = self._clock.monotonic()
        suspects = self._directory.suspects
        dead = {
            item.id
            for item in targets
            if suspects.has_been_dead(item.id, REASSIGN_SECONDS, now)
        }
        totals = Counter(item.data_centre for item in targets)
        dead_counts = Counter(item.data_centre for item in targets if item.id in dead)
        cut = {
            centre
            for centre, number in dead_counts.items()
            if number > PARTITION_SHARE * totals[centre]
        }
        self._partitioned = cut
        return [
            item for item in targets if item.id not in dead or item.data_centre in cut
        ]

    def _build_slot(self, target: Target) -> LayoutEngine:
        pending = self._pending.get(target.id)
        now = self._clock.monotonic()
        layers = target.layers
        if pending is not None and now - pending.sent_at < SLOW_LOAD_SECONDS:
            layers = pending.layers
        returned = self._returned_at.get(target.data_centre, float("-inf"))
        is_unsettled = now - returned < RETURN_SETTLE_SECONDS
        return LayoutEngine(
            target.id,
            target.data_centre,
            target.accelerator,
            layers,
            is_busy=pending is not None
            or is_unsettled
            or target.data_centre in self._partitioned,
        )

    def _is_settled(self, engines: list[LayoutEngine]) -> bool:
        """Return whether the layout may be planned now."""
        if any(item.layers is not None for item in engines):
            return True
        return self._clock.monotonic() - self._changed_at >= SETTLE_SECONDS

    async def _send(self, target: Target, layers: LayerRange, model: ModelSpec) -> None:
        accelerator = model.accelerators.get(target.accelerator)
        if accelerator is None or not model.fits(accelerator, layers):
            logger.error("order_too_large", target=target.id, layers=_format(layers))
            return
        status = await self._engines.read(target.address, STATUS_TIMEOUT)
        if not isinstance(status, EngineStatus) or status.is_busy:
            return
        if self._has_restarted(target.id, status):
            return
        if status.layers == layers:
            self._note_done(target.id, layers, status)
            return
        if not self._may_order():
            logger.warning("order_held_back", target=target.id, why="lease")
            return
        sent = self._clock.monotonic()
        reply = await self._engines.place(target.address, layers, status.sequence)
        if reply.result is not OrderResult.CONFLICT:
            self._pending[target.id] = PendingOrder(layers, sent)
            if status.layers is not None and not layers.contains(status.layers):
                # It accepts no new requests for the layers that it gives up.
                self._note_layers(target.id, layers.intersect(status.layers))
        logger.info(
            "order_sent",
            target=target.id,
            address=target.address,
            layers=_format(layers),
            held=_format(status.layers),
            sequence=status.sequence,
            result=reply.result.value,
            fencing=self.lease.fencing,
            revision=self._directory.registry.revision,
        )

    async def _check_pending(self) -> None:
        now = self._clock.monotonic()
        due = [
            (name, order)
            for name, order in self._pending.items()
            if now - order.sent_at >= FIRST_CHECK_SECONDS
        ]
        await asyncio.gather(*(self._check_order(name, order) for name, order in due))

    async def _check_order(self, name: TargetId, order: PendingOrder) -> None:
        """Drop an order that was carried out, was not accepted or has expired."""
        target = self._directory.registry.targets.get(name)
        now = self._clock.monotonic()
        if target is None or now - order.sent_at > ORDER_EXPIRY_SECONDS:
            self._pending.pop(name, None)
            return
        status = await self._engines.read(target.address, STATUS_TIMEOUT)
        if not isinstance(status, EngineStatus) or self._has_restarted(name, status):
            return
        if status.layers == order.layers:
            self._note_done(name, order.layers, status)
        elif not status.is_busy and now - order.sent_at > ORDER_ACCEPT_SECONDS:
            logger.info("order_not_taken", target=name, layers=_format(order.layers))
            self._pending.pop(name, None)

    def _has_restarted(self, name: TargetId, status: EngineStatus) -> bool:
        """Return whether an engine has restarted, and record what it holds if so."""
        if status.born <= self._directory.registry.get_born(name):
            return False
        self._probes.note_status(name, status)
        return self._directory.registry.get_born(name) == status.born

    def _note_done(
        self, name: TargetId, layers: LayerRange, status: EngineStatus
    ) -> None:
        self._pending.pop(name, None)
        self._probes.note_status(name, status)
        self._note_layers(name, layers)

    def _note_layers(self, name: TargetId, layers: LayerRange | None) -> None:
        """Publish the layers of an engine to all hosts before its row shows them."""
        registry = self._directory.registry
        registry.note_layers(name, layers, registry.get_born(name))
        self._spread.recent_layers[name] = (self._clock.monotonic(), layers)
        self._spread.send_urgent_digest()


def _format(layers: LayerRange | None) -> list[int] | None:
    return [layers.first, layers.end] if layers else None
