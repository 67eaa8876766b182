"""Orderer: the holder of the region's lease brings engines to the bundle's placement.

Any host may be the holder. It keeps nothing of its own: the drains are rows of the
table service, the engines say what they hold, the bundle says what they should.
"""

import asyncio
import secrets
from collections.abc import Callable, Mapping
from dataclasses import dataclass

import msgpack
import structlog
from result import Err, Ok, Result

from marigoldswitch.core.adoption import Adoption
from marigoldswitch.core.catalogue import Bundle, Target
from marigoldswitch.core.ids import FencingNumber, HostId, OperatorId, Region, TargetId
from marigoldswitch.core.leases import LEASE_TABLE, Lease, LeaseTerms, encode_lease
from marigoldswitch.core.placement import (
    DrainMark,
    EndDraining,
    EngineReport,
    LoadBudget,
    MarkDraining,
    Placement,
    PlacementLimits,
    PlacementStep,
    SendOrder,
    Wait,
    list_ordered,
    plan_placement,
)
from marigoldswitch.core.ports import Clock, Put, StoreFault, TableService
from marigoldswitch.drains import Drain, Drains
from marigoldswitch.engine_orders import EngineOrders, OrderEnd
from marigoldswitch.settings import OrderSettings

logger = structlog.get_logger(__name__)

ORDERS = "orders"
"""Who drains a target for an order."""
SWITCH_TABLE = "order_switches"


class OrderSwitch:
    """Whether orders of a region are paused: a row of the table service."""

    def __init__(self, table: TableService) -> None:
        self._table = table

    async def set_paused(
        self, region: Region, paused: bool, operator: OperatorId
    ) -> Result[None, StoreFault]:
        """Pause or resume orders; setting what is set changes nothing."""
        row = await self._table.read(SWITCH_TABLE, region)
        if isinstance(row, Err):
            return Err(row.err_value)
        if await self.is_paused(region) == Ok(paused):
            return Ok(None)
        value = bytes(msgpack.packb([paused, operator]))
        expect = row.ok_value.version if row.ok_value else 0
        written = await self._table.transact([Put(SWITCH_TABLE, region, value, expect)])
        if isinstance(written, Err) and await self.is_paused(region) == Ok(paused):
            return Ok(None)
        return written

    async def is_paused(self, region: Region) -> Result[bool, StoreFault]:
        """Tell whether orders are paused; a row that can't be read pauses them."""
        row = await self._table.read(SWITCH_TABLE, region)
        if isinstance(row, Err):
            return Err(row.err_value)
        if row.ok_value is None:
            return Ok(False)
        try:
            paused, _ = msgpack.unpackb(row.ok_value.value)
        except (ValueError, TypeError, msgpack.UnpackException):
            return Ok(True)
        return Ok(paused is not False)


@dataclass(frozen=True, slots=True)
class OrdererPorts:
    """What an orderer acts upon."""

    clock: Clock
    table: TableService
    engines: EngineOrders
    drains: Drains
    switch: OrderSwitch
    adoption: Adoption


class Orderer:
    """Holds or watches the region's lease and reconciles while it holds it."""

    def __init__(
        self,
        ports: OrdererPorts,
        host: HostId,
        region: Region,
        settings: OrderSettings,
    ) -> None:
        self.lease = Lease(
            host, secrets.token_hex(4), LeaseTerms(settings.lease, settings.margin)
        )
        self._ports = ports
        self._region = region
        self._settings = settings
        self._limits = PlacementLimits(settings.changes, settings.settle)
        self._budget = LoadBudget(settings.loads)
        self._drained_at: dict[TargetId, float] = {}
        self._told: dict[TargetId, PlacementStep] = {}

    async def run(self, is_candidate: Callable[[], bool]) -> None:
        """Reconcile again and again until cancelled.

        :param is_candidate: whether this host may take the lease now; with few
            candidates the row is read by few.
        """
        while True:
            try:
                if self.lease.holds or is_candidate():
                    await self.tick()
            except Exception:
                logger.exception("orders_failed", region=self._region)
            await asyncio.sleep(self._settings.tick)

    async def tick(self) -> None:
        """Look at the lease once and, as its holder, take the next steps."""
        if not self._settings.enabled:
            return
        await self._keep_lease()
        if not self._may_order():
            return
        bundle = self._ports.adoption.bundle
        paused = await self._ports.switch.is_paused(self._region)
        if bundle is None or paused != Ok(False):
            return
        if not await self._ports.drains.look():
            return
        reports = await self._read_engines(bundle)
        await self._fence_engines(bundle, reports)
        steps = plan_placement(
            bundle,
            self._region,
            reports,
            self._date_drains(),
            self._limits,
            self._budget,
            self._ports.clock.monotonic(),
        )
        for step in steps:
            await self._take_step(bundle, step)

    def _may_order(self) -> bool:
        return self.lease.may_order(self._ports.clock.monotonic())

    async def _keep_lease(self) -> None:
        clock, table = self._ports.clock, self._ports.table
        read = await table.read(LEASE_TABLE, self._region)
        if isinstance(read, Err):
            return
        held = self.lease.holds
        try:
            self.lease.see(read.ok_value, clock.monotonic())
        except ValueError:
            logger.error("lease_unreadable", region=self._region, table=LEASE_TABLE)
            self.lease.give_up()
            return
        if held and not self.lease.holds:
            logger.warning("lease_lost", region=self._region, holder=self.lease.holder)
        began = clock.monotonic()
        claim = self.lease.plan_claim(began)
        if claim is None:
            return
        value = encode_lease(claim.row)
        put = Put(LEASE_TABLE, self._region, value, claim.expect)
        written = await table.transact([put])
        if isinstance(written, Err):
            # A lost answer is settled by the next look, which reads the row back.
            return
        if not self.lease.holds:
            fencing = claim.row.fencing
            logger.info("lease_taken", region=self._region, fencing=fencing)
        self.lease.note_written(claim, began, clock.monotonic())

    async def _read_engines(self, bundle: Bundle) -> dict[TargetId, EngineReport]:
        targets = list_ordered(bundle, self._region)
        return await self._ports.engines.read_all(targets)

    async def _fence_engines(
        self, bundle: Bundle, reports: dict[TargetId, EngineReport]
    ) -> None:
        """Order engines that have not seen this holder's number to stay as they are.

        Until an engine has seen it, an order of an earlier holder that is still on its
        way would be taken. Such an engine is left out of this tick's plan, so that no
        drain ends and nothing else is drained on its account before.
        """
        for target, report in list(reports.items()):
            service = bundle.services[bundle.targets[target].service]
            if not service.checks_fencing or not report.is_behind(self.lease.fencing):
                continue
            placement = report.wanted or report.loaded
            if placement is not None:
                del reports[target]
                await self._send_order(bundle.targets[target], placement)

    def _date_drains(self) -> dict[TargetId, DrainMark]:
        now = self._ports.clock.monotonic()
        marked = self._ports.drains.marked
        self._drained_at = {
            target: self._drained_at.get(target, now) for target in marked
        }
        return {
            target: DrainMark(drain.by == ORDERS, now - self._drained_at[target])
            for target, drain in marked.items()
        }

    async def _take_step(self, bundle: Bundle, step: PlacementStep) -> None:
        self._log_step(step)
        match step:
            case MarkDraining(target):
                await self._change_drain(target, f"placement of {bundle.version}")
            case EndDraining(target):
                await self._change_drain(target, None)
            case SendOrder(target, placement):
                await self._send_order(bundle.targets[target], placement)
            case Wait():
                pass

    async def _change_drain(self, target: TargetId, why: str | None) -> None:
        """Write or delete a drain together with the lease's row.

        The table service itself thus refuses the change of a holder that was paused
        and has lost its lease.
        """
        clock = self._ports.clock
        began = clock.monotonic()
        claim = self.lease.plan_renewal()
        if claim is None:
            return
        value = encode_lease(claim.row)
        guard = [Put(LEASE_TABLE, self._region, value, claim.expect)]
        changed: Result[Drain, StoreFault] | Result[Drain | None, StoreFault]
        if why is None:
            changed = await self._ports.drains.remove(target, guard)
        else:
            drain = Drain(target, ORDERS, why)
            changed = await self._ports.drains.add(drain, guard)
        if isinstance(changed, Ok):
            self.lease.note_written(claim, began, clock.monotonic())
        else:
            self.lease.distrust()

    async def _send_order(self, target: Target, placement: Placement) -> None:
        """Send one order; the lease is checked with nothing between it and the send."""
        if not self._may_order():
            logger.warning("order_held_back", target=target.id, why="lease")
            return
        fencing = self.lease.fencing
        end = await self._ports.engines.send(target, placement, fencing)
        logger.info(
            "order_sent",
            target=target.id,
            placement=placement,
            fencing=fencing,
            end=end.value,
        )
        if end is OrderEnd.OLD_NUMBER:
            logger.warning("order_refused_as_old", target=target.id, fencing=fencing)

    def _log_step(self, step: PlacementStep) -> None:
        """Log each decision once, not at every tick."""
        if self._told.get(step.target) == step:
            return
        self._told[step.target] = step
        reason = step.reason.value if isinstance(step, Wait) else ""
        logger.info(
            "placement_decision",
            region=self._region,
            target=step.target,
            decision=type(step).__name__,
            reason=reason,
        )


def describe_lease(orderer: Orderer) -> Mapping[str, object]:
    """Return what an operator sees of the lease."""
    lease = orderer.lease
    fencing: FencingNumber = lease.fencing
    return {"holds": lease.holds, "holder": lease.holder, "fencing": fencing}
