"""Permits: how the front of this host gets them and gives them back."""

import asyncio
import math
from collections.abc import Callable
from dataclasses import replace

import structlog
from result import Err, Ok, Result

from marigoldswitch.core.catalogue import Bundle
from marigoldswitch.core.errors import ErrorKind, Fault
from marigoldswitch.core.ids import DataCentre, HostId, PermitId, TargetId
from marigoldswitch.core.messages import (
    Ask,
    Cancel,
    Deny,
    Grant,
    HandOver,
    HeldPermit,
    Holdings,
    Message,
    PermitCheck,
    PermitsUnknown,
    Queued,
    Release,
    Resync,
    TargetReport,
)
from marigoldswitch.core.ownership import PoolKey, Topology
from marigoldswitch.core.ports import Clock
from marigoldswitch.core.silence import SilenceWatch
from marigoldswitch.core.spill import SpillPlan, plan_spill
from marigoldswitch.dispatchers import DispatcherBuilder, DispatcherSet
from marigoldswitch.local import LocalPermits, is_local
from marigoldswitch.members import MemberView
from marigoldswitch.peers import PeerNetwork
from marigoldswitch.pending import PendingAsk, PendingAsks
from marigoldswitch.quotas import QuotaSharing

logger = structlog.get_logger(__name__)

TICK_SECONDS = 0.05
DEPARTED_SECONDS = 60.0
"""Time for which a host that handed over dispatches nothing in our view; by then it is
gone, or membership shows it as leaving, or it has come back."""
LATE_RETRY_SECONDS = 1.0
"""Time after which to come back where no dispatcher has said when."""


class Dispatching:
    """Runs the dispatchers of this host and acquires permits for its front.

    :param ask_timeout: seconds without a word after which a dispatcher is silent.
    :param quotas: charges client accounts; without it, nothing is charged.
    """

    def __init__(
        self,
        clock: Clock,
        network: PeerNetwork,
        view: MemberView,
        ask_timeout: float,
        quotas: QuotaSharing | None = None,
    ) -> None:
        self.held: dict[PermitId, Grant] = {}
        self._counted: dict[PermitId, set[HostId]] = {}
        """Dispatchers that count a permit beside the one that granted it."""
        self._quotas = quotas
        self._clock = clock
        self._network = network
        self._view = view
        self._own = view.own.host
        self._bundle: Bundle | None = None
        self._topology: Topology | None = None
        self._departed: dict[HostId, float] = {}
        builder = DispatcherBuilder(self._own, clock, network.send)
        self.dispatchers = DispatcherSet(builder, network, view)
        self._watch = SilenceWatch(ask_timeout)
        self._pending = PendingAsks(clock, network, self._watch, ask_timeout)
        self._local = LocalPermits(builder, self._own)
        self._leaving_listeners: list[Callable[[TargetId], None]] = []
        view.watch(self._refresh)
        self._register()

    def _register(self) -> None:
        handlers: dict[type[Message], Callable[..., None]] = {
            Queued: self._hear_queued,
            Grant: self._hear_grant,
            Deny: self._hear_deny,
            PermitCheck: self._check_permits,
            Resync: self._tell_holdings,
            HandOver: self._follow_hand_over,
        }
        for kind, handler in handlers.items():
            self._network.register(kind, handler)

    async def run(self) -> None:
        """Let time pass for the dispatchers until cancelled."""
        while True:
            await asyncio.sleep(TICK_SECONDS)
            self.tick()

    def tick(self) -> None:
        """Let time pass."""
        self.dispatchers.tick()
        self._local.tick()
        for host in self._watch.list_silent(self._clock.monotonic()):
            self._replace_silent(host)
        self._pending.ask_again()
        if self._quotas is not None:
            self._quotas.tick()

    def use_bundle(self, bundle: Bundle) -> None:
        """Take the services and targets of a bundle."""
        self._bundle = bundle
        if self._quotas is not None:
            self._quotas.use_bundle(bundle)
        self._refresh()

    def use_leaving(self, leaving: frozenset[TargetId]) -> None:
        """Take the set of targets that may get no new work."""
        self.dispatchers.use_leaving(leaving)
        self._local.use_leaving(leaving)

    def count_permits(self) -> int:
        """Return the permits out of the dispatchers of this host."""
        dispatchers = [
            *self.dispatchers.owned.values(),
            *self._local.dispatchers.values(),
        ]
        return sum(len(item.permits) for item in dispatchers)

    def use_list(self, names: frozenset[TargetId]) -> None:
        """Take the targets that the host list names."""
        self.dispatchers.use_list(names)

    def watch_leaving(self, listener: Callable[[TargetId], None]) -> None:
        """Call ``listener`` with each target that answers that it is leaving."""
        self._leaving_listeners.append(listener)

    def hand_over(self) -> None:
        """Give the pools of this host to others, before a planned stop.

        Nothing is lost: fronts ask the new dispatchers, which ask them what they hold.
        """
        self._departed[self._own] = float("inf")
        self._refresh()

    async def acquire(self, ask: Ask) -> Result[Grant, Fault]:
        """Get a permit, from a dispatcher or, where none answers, from this host.

        The first attempt of a request is charged to the quota of its account.
        """
        if self._quotas is not None and ask.attempt == 1:
            fault = self._quotas.admit(ask.account)
            if fault is not None:
                return Err(fault)
        topology = self._topology
        if topology is None:
            return Err(Fault(ErrorKind.NO_BUNDLE))
        plan = plan_spill(topology, ask.service, ask.data_centre, ask.request)
        if plan is None:
            return Err(Fault(ErrorKind.NO_TARGET, "the service has no target"))
        match await self._ask_pools(ask, plan):
            case Grant() as grant:
                return Ok(grant)
            case Deny(kind=kind, retry_after=retry_after):
                seconds = float(math.ceil(retry_after))
                return Err(Fault(kind, "refused by the dispatcher", seconds))

    def release(
        self, grant: Grant, seconds: float, reports: tuple[TargetReport, ...]
    ) -> None:
        """Give a permit back."""
        for report in reports:
            if report.leaving:
                for listener in self._leaving_listeners:
                    listener(report.target)
        counting = self._counted.pop(grant.permit, set())
        if self.held.pop(grant.permit, None) is None:
            return
        message = Release(
            grant.permit, grant.service, self._own, seconds, reports, grant.pool
        )
        self._local.release(message)
        if not is_local(grant.permit):
            counting.add(grant.dispatcher)
        for host in counting:
            self._network.send(host, message)

    # Asks.

    async def _ask_pools(self, ask: Ask, plan: SpillPlan) -> Grant | Deny:
        """Ask at home, then once elsewhere if the wait at home is long."""
        deadline = self._clock.monotonic() + ask.remaining
        home = await self._ask_pool(ask, plan.home, plan.first_patience, deadline)
        if isinstance(home, Grant) or plan.other is None or not plan.may_spill(home):
            return home
        patience = plan.get_second_patience(home)
        other = await self._ask_pool(ask, plan.other, patience, deadline)
        left = deadline - self._clock.monotonic()
        if isinstance(other, Grant) or not plan.may_return(home, left):
            return other if isinstance(other, Grant) else home
        return await self._ask_pool(ask, plan.home, None, deadline)

    async def _ask_pool(
        self, ask: Ask, pool: PoolKey, patience: float | None, deadline: float
    ) -> Grant | Deny:
        assert self._topology is not None
        owner = self._topology.get_dispatcher(pool) or self._own
        ask = replace(ask, pool=pool.data_centre, patience=patience)
        pending = self._pending.open(ask, owner, deadline)
        if owner in self._watch.silent:
            self._ask_locally(pending)
        left = max(0.0, deadline - self._clock.monotonic())
        try:
            return await asyncio.wait_for(pending.answer, left)
        except TimeoutError:
            kind = ErrorKind.DEADLINE_IN_QUEUE
            return Deny(ask.request, ask.attempt, kind, LATE_RETRY_SECONDS)
        except asyncio.CancelledError:
            self._return_grant(pending)
            raise
        finally:
            self._close(pending)

    def _return_grant(self, pending: PendingAsk) -> None:
        """Give a permit back that came in the moment the caller hung up."""
        if pending.grant is not None:
            self.release(pending.grant, 0.0, ())

    def _close(self, pending: PendingAsk) -> None:
        """Cancel an ask wherever it has not been answered."""
        self._pending.close(pending)
        grant = pending.grant
        if pending.local and not (grant is not None and is_local(grant.permit)):
            ask = pending.ask
            cancel = Cancel(ask.request, ask.attempt, ask.service, self._own, ask.pool)
            self._local.cancel(cancel)

    def _ask_locally(self, pending: PendingAsk) -> None:
        if pending.local or self._topology is None:
            return
        holdings = self._build_holdings(pending.pool, ())
        left = max(0.0, pending.deadline - self._clock.monotonic())
        ask = replace(pending.ask, remaining=left)
        pending.local = self._local.ask(ask, self._topology, holdings)

    def _replace_silent(self, host: HostId) -> None:
        """Decide here what waits at a dispatcher that does not answer."""
        waiting = self._pending.list_at(host)
        logger.warning(
            "dispatcher_silent",
            dispatcher=host,
            waiting=len(waiting),
            setting="peers.ask_timeout",
        )
        for pending in waiting:
            self._ask_locally(pending)

    # Messages.

    def _hear(self, sender: HostId) -> None:
        if self._watch.hear(sender, self._clock.monotonic()):
            logger.info("dispatcher_answers", dispatcher=sender)
            self._tell_local_holdings(sender)

    def _hear_queued(self, sender: HostId, message: Queued) -> None:
        self._hear(sender)
        pending = self._pending.find(message.request, message.attempt)
        if pending is not None and pending.owner == sender:
            pending.queued = True

    def _hear_grant(self, sender: HostId, grant: Grant) -> None:
        self._hear(sender)
        if grant.permit in self.held:
            return
        self.held[grant.permit] = grant
        pending = self._pending.find(grant.request, grant.attempt)
        if pending is None:
            self.release(grant, 0.0, ())
        else:
            pending.answer.set_result(grant)
            if is_local(grant.permit) and pending.owner not in self._watch.silent:
                self._tell_local_holdings(pending.owner)

    def _hear_deny(self, sender: HostId, deny: Deny) -> None:
        self._hear(sender)
        pending = self._pending.find(deny.request, deny.attempt)
        if pending is not None and pending.owner == sender:
            pending.answer.set_result(deny)

    def _check_permits(self, sender: HostId, check: PermitCheck) -> None:
        self._hear(sender)
        unknown = tuple(name for name in check.permits if name not in self.held)
        if unknown:
            reply = PermitsUnknown(check.service, check.pool, self._own, unknown)
            self._network.send(sender, reply)

    def _tell_holdings(self, sender: HostId, message: Resync) -> None:
        """Tell a new dispatcher what this host holds and waits for."""
        self._hear(sender)
        pool = PoolKey(message.service, message.data_centre)
        waiting: list[Ask] = []
        owner = self._topology.get_dispatcher(pool) if self._topology else None
        if owner in (None, sender):
            now = self._clock.monotonic()
            for pending in self._pending:
                if pending.pool == pool:
                    pending.owner = sender
                    left = max(0.0, pending.deadline - now)
                    waiting.append(replace(pending.ask, remaining=left))
        self._send_holdings(sender, self._build_holdings(pool, tuple(waiting)))

    def _tell_local_holdings(self, host: HostId) -> None:
        """Tell a dispatcher that was silent what has been granted without it."""
        pools = {
            PoolKey(grant.service, grant.pool)
            for grant in self.held.values()
            if is_local(grant.permit)
        }
        for pool in pools:
            if self._topology and self._topology.get_dispatcher(pool) == host:
                self._send_holdings(host, self._build_holdings(pool, ()))

    def _build_holdings(self, pool: PoolKey, waiting: tuple[Ask, ...]) -> Holdings:
        held = tuple(
            HeldPermit(grant.permit, grant.request, grant.targets, grant.attempt)
            for grant in self.held.values()
            if grant.service == pool.service
        )
        return Holdings(pool.service, pool.data_centre, self._own, held, waiting)

    def _send_holdings(self, host: HostId, holdings: Holdings) -> None:
        for held in holdings.held:
            self._counted.setdefault(held.permit, set()).add(host)
        self._network.send(host, holdings)

    # Hosts.

    def _follow_hand_over(self, sender: HostId, message: HandOver) -> None:
        self._departed[sender] = self._clock.monotonic() + DEPARTED_SECONDS
        self._refresh()

    def _refresh(self) -> None:
        """Take in a new bundle or new hosts."""
        if self._bundle is None:
            return
        topology = self._topology = Topology(self._bundle, self._list_hosts())
        if self._own in self._departed:
            self.dispatchers.hand_over(topology)
        self.dispatchers.use_topology(topology)
        self._local.use_topology(topology)
        for pending in list(self._pending):
            self._follow_owner(pending, topology)

    def _follow_owner(self, pending: PendingAsk, topology: Topology) -> None:
        """Ask the dispatcher that a pool has now."""
        owner = topology.get_dispatcher(pending.pool)
        if owner is None:
            ask, kind = pending.ask, ErrorKind.NO_TARGET
            deny = Deny(ask.request, ask.attempt, kind, LATE_RETRY_SECONDS)
            pending.answer.set_result(deny)
        elif owner != pending.owner:
            self._pending.move(pending, owner)

    def _list_hosts(self) -> dict[HostId, DataCentre]:
        """Return the hosts that may dispatch; all of them where none may."""
        now = self._clock.monotonic()
        members = self._view.members
        self._departed = {
            host: until
            for host, until in self._departed.items()
            if until > now and host in members
        }
        places = {member.data_centre for member in members.values()}
        able = {
            host: place
            for place in places
            for host in self._view.list_hosts(place)
            if host not in self._departed
        }
        everyone = {host: member.data_centre for host, member in members.items()}
        return able or everyone
