"""Permits: the dispatchers that this host runs, and the front's way to any of them."""

import asyncio
import itertools
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

import structlog
from result import Err, Ok, Result

from marigoldswitch.core import dispatcher as core
from marigoldswitch.core.catalogue import Bundle, Service, Target
from marigoldswitch.core.errors import ErrorKind, Fault
from marigoldswitch.core.ids import (
    DataCentre,
    HostId,
    PermitId,
    RequestId,
    ServiceName,
    TargetId,
)
from marigoldswitch.core.messages import (
    Ask,
    Cancel,
    Deny,
    Grant,
    HandOver,
    HeldPermit,
    Holdings,
    Message,
    Queued,
    Release,
    Resync,
    TargetReport,
)
from marigoldswitch.core.ownership import choose_owner
from marigoldswitch.core.pool import TargetPool
from marigoldswitch.core.ports import Clock
from marigoldswitch.members import MemberView
from marigoldswitch.peers import PeerNetwork

logger = structlog.get_logger(__name__)

TICK_SECONDS = 0.05
LOCAL_PREFIX = "local-"
"""Begins the permits that a front gave itself while no dispatcher answered."""


@dataclass(slots=True)
class _Pending:
    ask: Ask
    owner: HostId
    future: asyncio.Future[Grant | Deny]
    heard: asyncio.Event = field(default_factory=asyncio.Event)


class Dispatching:
    """Runs the dispatchers of this host and acquires permits for its front."""

    def __init__(
        self,
        clock: Clock,
        network: PeerNetwork,
        view: MemberView,
        ask_timeout: float,
    ) -> None:
        self.held: dict[PermitId, Grant] = {}
        self._clock = clock
        self._network = network
        self._view = view
        self._ask_timeout = ask_timeout
        self._own = view.own
        self._bundle: Bundle | None = None
        self._leaving: frozenset[TargetId] = frozenset()
        self._owned: dict[ServiceName, core.Dispatcher] = {}
        self._local: dict[ServiceName, core.Dispatcher] = {}
        self._pending: dict[tuple[RequestId, int], _Pending] = {}
        self._numbers = itertools.count(1)
        self._members: set[HostId] = set(view.members)
        self._leaving_listeners: list[Callable[[TargetId], None]] = []
        view.watch(self._follow_members)
        self._register()

    def _register(self) -> None:
        handlers: dict[type[Message], Callable[..., None]] = {
            Ask: lambda sender, message: self._take(message.service, message),
            Cancel: lambda sender, message: self._take(message.service, message),
            Release: lambda sender, message: self._take(message.service, message),
            Holdings: lambda sender, message: self._take(message.service, message),
            Queued: self._hear,
            Grant: self._hear,
            Deny: self._hear,
            Resync: self._tell_holdings,
            HandOver: self._follow_hand_over,
        }
        for kind, handler in handlers.items():
            self._network.register(kind, handler)

    async def run(self) -> None:
        """Let time pass for the dispatchers until cancelled."""
        while True:
            await asyncio.sleep(TICK_SECONDS)
            for dispatcher in [*self._owned.values(), *self._local.values()]:
                self._feed(dispatcher, core.Tick())

    def use_bundle(self, bundle: Bundle) -> None:
        """Take the services and targets of a bundle."""
        self._bundle = bundle
        self._refresh_targets()
        self._claim_services()

    def use_leaving(self, leaving: frozenset[TargetId]) -> None:
        """Take the set of targets that may get no new work."""
        if leaving != self._leaving:
            self._leaving = leaving
            self._refresh_targets()

    def count_permits(self) -> int:
        """Return the permits out of the dispatchers of this host."""
        dispatchers = [*self._owned.values(), *self._local.values()]
        return sum(len(item.permits) for item in dispatchers)

    def watch_leaving(self, listener: Callable[[TargetId], None]) -> None:
        """Call ``listener`` with each target that answers that it is leaving."""
        self._leaving_listeners.append(listener)

    async def acquire(self, ask: Ask) -> Result[Grant, Fault]:
        """Get a permit, from the dispatcher or, where none answers, from this host."""
        deadline = self._clock.monotonic() + ask.remaining
        owner = self._choose_owner(ask.service)
        if owner is None:
            return Err(Fault(ErrorKind.NO_TARGET, "no dispatcher"))
        pending = _Pending(ask, owner, asyncio.get_running_loop().create_future())
        key = (ask.request, ask.attempt)
        self._pending[key] = pending
        try:
            self._network.send(owner, ask)
            if not await self._await_word(pending):
                self._decide_locally(pending)
            return await self._await_permit(pending, deadline)
        except asyncio.CancelledError:
            self._give_up(pending)
            raise
        finally:
            self._pending.pop(key, None)

    def release(
        self, grant: Grant, seconds: float, reports: tuple[TargetReport, ...]
    ) -> None:
        """Give a permit back."""
        for report in reports:
            if report.leaving:
                for listener in self._leaving_listeners:
                    listener(report.target)
        if self.held.pop(grant.permit, None) is None:
            return
        message = Release(grant.permit, grant.service, self._own.host, seconds, reports)
        if grant.permit.startswith(LOCAL_PREFIX):
            self._feed(self._local[grant.service], message)
        else:
            self._network.send(grant.dispatcher, message)

    async def _await_word(self, pending: _Pending) -> bool:
        try:
            await asyncio.wait_for(pending.heard.wait(), self._ask_timeout)
        except TimeoutError:
            return False
        return True

    async def _await_permit(
        self, pending: _Pending, deadline: float
    ) -> Result[Grant, Fault]:
        left = max(0.0, deadline - self._clock.monotonic())
        try:
            answer = await asyncio.wait_for(pending.future, left)
        except TimeoutError:
            self._give_up(pending)
            return Err(Fault(ErrorKind.DEADLINE_IN_QUEUE, "no permit in time"))
        match answer:
            case Grant():
                return Ok(answer)
            case Deny(kind=kind, retry_after=retry_after):
                return Err(Fault(kind, "denied by the dispatcher", retry_after))

    def _give_up(self, pending: _Pending) -> None:
        ask = pending.ask
        cancel = Cancel(ask.request, ask.attempt, ask.service, self._own.host)
        self._network.send(pending.owner, cancel)
        if ask.service in self._local:
            self._feed(self._local[ask.service], cancel)
        if pending.future.done() and not pending.future.cancelled():
            answer = pending.future.result()
            if isinstance(answer, Grant):
                self.release(answer, 0.0, ())

    def _decide_locally(self, pending: _Pending) -> None:
        ask = pending.ask
        logger.warning(
            "dispatcher_silent",
            request=ask.request,
            service=ask.service,
            dispatcher=pending.owner,
            setting="peers.ask_timeout",
        )
        local = self._local.get(ask.service)
        if local is None:
            service = self._find_service(ask.service)
            if service is None:
                return
            local = self._local[ask.service] = self._build(service, LOCAL_PREFIX)
        self._feed(local, ask)

    def _hear(self, sender: HostId, message: Queued | Grant | Deny) -> None:
        pending = self._pending.get((message.request, message.attempt))
        if isinstance(message, Grant):
            self.held[message.permit] = message
            if pending is None or pending.future.done():
                self.release(message, 0.0, ())
                return
        if pending is None:
            return
        pending.heard.set()
        if not isinstance(message, Queued) and not pending.future.done():
            pending.future.set_result(message)

    def _take(
        self, service: ServiceName, message: Ask | Cancel | Release | Holdings
    ) -> None:
        dispatcher = self._owned.get(service)
        if dispatcher is None:
            found = self._find_service(service)
            if found is None or not isinstance(message, Ask):
                return
            dispatcher = self._own_service(found)
        self._feed(dispatcher, message)

    def _feed(self, dispatcher: core.Dispatcher, event: core.Event) -> None:
        for action in dispatcher.handle(event, self._clock.monotonic()):
            match action:
                case core.Send(host=host, message=message):
                    self._network.send(host, message)
                case core.Decision():
                    _log_decision(dispatcher, action)

    def _tell_holdings(self, sender: HostId, message: Resync) -> None:
        held = tuple(
            HeldPermit(grant.permit, grant.request, grant.targets)
            for grant in self.held.values()
            if grant.service == message.service
        )
        waiting = []
        for pending in self._pending.values():
            if pending.ask.service == message.service and not pending.future.done():
                pending.owner = message.dispatcher
                waiting.append(pending.ask)
        self._network.send(
            message.dispatcher,
            Holdings(
                message.service,
                message.data_centre,
                self._own.host,
                held,
                tuple(waiting),
            ),
        )

    def _follow_hand_over(self, sender: HostId, message: HandOver) -> None:
        self._ask_again(sender)

    def _follow_members(self) -> None:
        members = set(self._view.members)
        for host in self._members - members:
            for dispatcher in self._owned.values():
                self._feed(dispatcher, core.HostLost(host))
            self._ask_again(host)
        self._members = members
        self._claim_services()

    def _ask_again(self, lost: HostId) -> None:
        """Ask the new dispatcher for what the lost one had not granted."""
        for pending in list(self._pending.values()):
            if pending.owner == lost and not pending.future.done():
                owner = self._choose_owner(pending.ask.service)
                if owner is not None and owner != lost:
                    pending.owner = owner
                    self._network.send(owner, pending.ask)

    def _claim_services(self) -> None:
        if self._bundle is None:
            return
        for service in self._bundle.services.values():
            owner = self._choose_owner(service.name)
            if owner == self._own.host and service.name not in self._owned:
                self._own_service(service)

    def _own_service(self, service: Service) -> core.Dispatcher:
        dispatcher = self._owned[service.name] = self._build(service, "")
        resync = Resync(service.name, self._own.data_centre, self._own.host)
        for host in self._view.list_hosts(self._own.data_centre):
            if host != self._own.host:
                self._network.send(host, resync)
        return dispatcher

    def _build(self, service: Service, prefix: str) -> core.Dispatcher:
        assert self._bundle is not None
        dispatcher = core.Dispatcher(
            self._own.host,
            service,
            self._own.data_centre,
            TargetPool(service, self._bundle.link_seconds),
            partial(self._name_permit, prefix),
        )
        self._feed(dispatcher, self._list_targets(service.name))
        return dispatcher

    def _name_permit(self, prefix: str) -> PermitId:
        return PermitId(f"{prefix}{self._own.host}-{next(self._numbers)}")

    def _refresh_targets(self) -> None:
        for dispatcher in [*self._owned.values(), *self._local.values()]:
            self._feed(dispatcher, self._list_targets(dispatcher.service.name))

    def _list_targets(self, service: ServiceName) -> core.TargetsChanged:
        targets: list[Target] = []
        if self._bundle is not None:
            targets = self._bundle.list_targets(service)
        return core.TargetsChanged(tuple(targets), self._leaving)

    def _find_service(self, service: ServiceName) -> Service | None:
        return self._bundle.services.get(service) if self._bundle else None

    def _choose_owner(self, service: ServiceName) -> HostId | None:
        data_centre: DataCentre = self._own.data_centre
        return choose_owner(service, data_centre, self._view.list_hosts(data_centre))


def _log_decision(dispatcher: core.Dispatcher, decision: core.Decision) -> None:
    route = decision.route
    logger.info(
        "routing_decision",
        request=decision.request,
        service=dispatcher.service.name,
        decision=decision.what,
        targets=route.targets if route else (),
        cost=round(route.cost, 4) if route else None,
        weighed=decision.weighed,
        waiting=decision.waiting,
    )
