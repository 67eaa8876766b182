"""Dispatcher of one service in one data centre: one queue, permits for its targets.

Load it answers: many fronts that each see only their own share. Without one place that
counts, fronts pile work on targets that look idle to each of them, and waits grow by an
order of magnitude near saturation.
"""

from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from marigoldswitch.core.catalogue import Service, Target
from marigoldswitch.core.errors import ErrorKind
from marigoldswitch.core.ids import DataCentre, HostId, PermitId, RequestId, TargetId
from marigoldswitch.core.messages import (
    Ask,
    Cancel,
    Deny,
    Grant,
    Holdings,
    Queued,
    Release,
)
from marigoldswitch.core.pool import TargetPool
from marigoldswitch.core.routing import Route


@dataclass(frozen=True, slots=True)
class HostLost:
    """Membership says that a host is gone."""

    host: HostId


@dataclass(frozen=True, slots=True)
class TargetsChanged:
    """The targets of the service, from the bundle and the host list.

    :param leaving: those that may get no new work.
    """

    targets: tuple[Target, ...]
    leaving: frozenset[TargetId]


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed."""


Event = Ask | Cancel | Release | Holdings | HostLost | TargetsChanged | Tick


@dataclass(frozen=True, slots=True)
class Send:
    """Send a message to a host."""

    host: HostId
    message: Grant | Deny | Queued


@dataclass(frozen=True, slots=True)
class Decision:
    """What was decided for a request, for the log.

    :param weighed: targets that were weighed.
    """

    request: RequestId
    what: str
    route: Route | None = None
    weighed: int = 0
    waiting: int = 0


Action = Send | Decision


@dataclass(slots=True)
class _Waiting:
    ask: Ask
    arrived: float
    deadline: float


@dataclass(slots=True)
class _Permit:
    front: HostId
    targets: tuple[TargetId, ...]
    granted: float = 0.0


@dataclass(slots=True)
class Dispatcher:
    """Grants permits; deterministic: an event and an instant in, actions out.

    :param host: the host that it runs on.
    :param next_permit: gives a new permit id.
    """

    host: HostId
    service: Service
    data_centre: DataCentre
    pool: TargetPool
    next_permit: Callable[[], PermitId]
    waiting: dict[tuple[RequestId, int], _Waiting] = field(default_factory=dict)
    permits: dict[PermitId, _Permit] = field(default_factory=dict)

    def handle(self, event: Event, now: float) -> list[Action]:
        """Take one event and return what to do.

        :param now: monotonic seconds.
        """
        actions: list[Action] = []
        match event:
            case Ask():
                actions += self._take_ask(event, now)
            case Cancel(request=request, attempt=attempt):
                self.waiting.pop((request, attempt), None)
            case Release():
                self._take_release(event, now)
            case Holdings():
                actions += self._take_holdings(event, now)
            case HostLost(host=host):
                self._drop_host(host)
            case TargetsChanged(targets=targets, leaving=leaving):
                self._change_targets(targets, leaving)
            case Tick():
                pass
        actions += self._expire(now)
        actions += self._grant_waiting(now)
        return actions

    def _take_ask(self, ask: Ask, now: float) -> list[Action]:
        key = (ask.request, ask.attempt)
        self.waiting[key] = _Waiting(ask, now, now + ask.remaining)
        return [Send(ask.front, Queued(ask.request, ask.attempt))]

    def _take_release(self, release: Release, now: float) -> None:
        permit = self.permits.pop(release.permit, None)
        if permit is not None:
            self.pool.free(permit.targets)
        for report in release.reports:
            self.pool.take_report(report, now)

    def _take_holdings(self, holdings: Holdings, now: float) -> list[Action]:
        for held in holdings.held:
            if held.permit not in self.permits:
                self.permits[held.permit] = _Permit(holdings.front, held.targets, now)
                self.pool.hold(held.targets)
        actions: list[Action] = []
        for ask in holdings.waiting:
            if (ask.request, ask.attempt) not in self.waiting:
                actions += self._take_ask(ask, now)
        return actions

    def _drop_host(self, host: HostId) -> None:
        for key in [k for k, item in self.waiting.items() if item.ask.front == host]:
            del self.waiting[key]
        for permit in [k for k, item in self.permits.items() if item.front == host]:
            self.pool.free(self.permits.pop(permit).targets)

    def _change_targets(
        self, targets: Iterable[Target], leaving: frozenset[TargetId]
    ) -> None:
        held = Counter(
            target for permit in self.permits.values() for target in permit.targets
        )
        self.pool.replace_targets(targets, leaving, held)

    def _expire(self, now: float) -> list[Action]:
        actions: list[Action] = []
        for key, item in list(self.waiting.items()):
            if item.deadline <= now:
                del self.waiting[key]
                actions += self._deny(item.ask, ErrorKind.DEADLINE_IN_QUEUE, 1.0)
        return actions

    def _deny(self, ask: Ask, kind: ErrorKind, retry_after: float) -> list[Action]:
        return [
            Send(ask.front, Deny(ask.request, ask.attempt, kind, retry_after)),
            Decision(ask.request, kind.value, waiting=len(self.waiting)),
        ]

    def _grant_waiting(self, now: float) -> list[Action]:
        actions: list[Action] = []
        ordered = sorted(
            self.waiting.items(),
            key=lambda item: (item[1].ask.priority, item[1].arrived),
        )
        for key, item in ordered:
            route = self.pool.choose(item.ask, now)
            if route is None:
                continue
            del self.waiting[key]
            actions += self._grant(item.ask, route, now)
        return actions

    def _grant(self, ask: Ask, route: Route, now: float) -> list[Action]:
        permit = self.next_permit()
        self.permits[permit] = _Permit(ask.front, route.targets, now)
        self.pool.hold(route.targets)
        grant = Grant(
            ask.request,
            ask.attempt,
            permit,
            self.service.name,
            self.host,
            route.targets,
        )
        return [
            Send(ask.front, grant),
            Decision(
                ask.request, "granted", route, len(self.pool.states), len(self.waiting)
            ),
        ]
