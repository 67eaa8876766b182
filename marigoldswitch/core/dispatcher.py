"""Dispatcher of one pool: one queue, permits for the targets of the pool.

Load it answers: many fronts that each see only their own share. Without one place that
counts, fronts pile work on targets that look idle to each of them, and waits grow by an
order of magnitude near saturation.
"""

from collections.abc import Callable
from dataclasses import dataclass, field, replace

from marigoldswitch.core.admission import Admission, Refusal, build_refusal
from marigoldswitch.core.catalogue import Service
from marigoldswitch.core.errors import ErrorKind
from marigoldswitch.core.estimates import WorkEstimates
from marigoldswitch.core.events import (
    Action,
    Close,
    Decision,
    Event,
    HostLost,
    Rebuild,
    Send,
    TargetsChanged,
    TargetsListed,
    Tick,
)
from marigoldswitch.core.ids import DataCentre, HostId, PermitId
from marigoldswitch.core.messages import (
    Ask,
    Cancel,
    Deny,
    Grant,
    Holdings,
    PermitCheck,
    PermitsUnknown,
    Queued,
    Release,
)
from marigoldswitch.core.occupancy import Occupancy, Permit
from marigoldswitch.core.parking import Parking
from marigoldswitch.core.pool import TargetPool
from marigoldswitch.core.queueing import FairQueue, WaitingRequest
from marigoldswitch.core.rebuilding import Rebuilding
from marigoldswitch.core.routing import Route

CHECK_SECONDS = 5.0
"""Age of a permit at which its front is asked whether it still holds it, and time
between two such questions; a lost release costs a slot for at most so long."""
TAIL_SECONDS = 0.25
"""Time between two looks at the last request of each account's queue."""
AVOID_SECONDS = 0.5
"""Time for which a request keeps waiting for a target that has not failed it yet."""
AVOID_TRIES = 8
"""Requests with targets to avoid that are tried after one event; keeps the cost of an
event the same however many such requests wait."""
NO_TARGET_SECONDS = 2.0
"""Time for which requests wait for a pool without any usable target; covers a
restart."""


@dataclass(slots=True)
class Dispatcher:
    """Grants permits; deterministic: an event and an instant in, actions out.

    :param host: the host that it runs on.
    :param data_centre: where its pool is.
    :param next_permit: gives a new permit id.
    :param refuses: whether it turns away what it will not serve in time; a front's own
        dispatcher doesn't, since another dispatcher may serve it yet.
    """

    host: HostId
    service: Service
    data_centre: DataCentre
    pool: TargetPool
    next_permit: Callable[[], PermitId]
    refuses: bool = True
    waiting: FairQueue = field(default_factory=FairQueue)
    out: Occupancy = field(init=False)
    estimates: WorkEstimates = field(init=False)
    admission: Admission = field(init=False)
    parked: Parking = field(default_factory=Parking)
    _full: bool = False
    _rebuild: Rebuilding = field(default_factory=Rebuilding)
    _tails_at: float = 0.0
    _checked_at: float = 0.0
    _targetless_since: float | None = None

    def __post_init__(self) -> None:
        self.out = Occupancy(self.pool)
        self.estimates = WorkEstimates(self.service.mean_seconds)
        self.admission = Admission(self.waiting, self.out, self.estimates)

    @property
    def permits(self) -> dict[PermitId, Permit]:
        """Return the permits that are out."""
        return self.out.permits

    @property
    def is_idle(self) -> bool:
        """Tell whether nothing waits and no permit is out."""
        return not (len(self.out) or len(self.waiting) or len(self.parked))

    def handle(self, event: Event, now: float) -> list[Action]:
        """Take one event and return what to do.

        :param now: monotonic seconds.
        """
        actions: list[Action] = []
        match event:
            case Ask():
                return self._take_ask(event, now)
            case Cancel():
                self._take_cancel(event)
            case Release():
                self._take_release(event, now)
            case Holdings():
                actions += self._take_holdings(event, now)
            case PermitsUnknown():
                self._take_unknown(event)
            case HostLost(host=host):
                self._drop_host(host)
            case TargetsChanged(targets=targets, leaving=leaving):
                held = self.out.count_targets()
                self.pool.replace_targets(targets, leaving, held)
                self._measure()
            case TargetsListed(names=names):
                self.pool.use_list(names)
            case Rebuild(fronts=fronts):
                self._rebuild = Rebuilding(fronts, now)
            case Close():
                return self._close()
            case Tick():
                actions += self._pass_time(now)
        actions += self._grant_waiting(now)
        return actions

    # Asks.

    def _take_ask(self, ask: Ask, now: float) -> list[Action]:
        """Answer an ask with a grant, a refusal or a place in the queue.

        Asking again changes nothing: the answer is sent once more.
        """
        held = self.out.find(ask.request, ask.attempt)
        if held is not None:
            return [Send(ask.front, self._build_grant(held))]
        if self._holds_ask(ask):
            return [Send(ask.front, Queued(ask.request, ask.attempt))]
        self.estimates.note_cost(ask.cost)
        if self.refuses:
            refusal = self.admission.judge(
                ask, now, not self._rebuild.is_on(now), self._full
            )
            if refusal is not None:
                return self._deny(refusal)
        self._let_wait(ask, now)
        actions = self._grant_waiting(now)
        if self._holds_ask(ask):
            actions.append(Send(ask.front, Queued(ask.request, ask.attempt)))
        return actions

    def _holds_ask(self, ask: Ask) -> bool:
        key = (ask.request, ask.attempt)
        return key in self.waiting or key in self.parked

    def _let_wait(self, ask: Ask, now: float) -> None:
        deadline = now + ask.remaining
        item = WaitingRequest(
            ask,
            arrived=now,
            deadline=deadline,
            latest=deadline - self.estimates.get_typical_run(ask.cost),
            long=self.estimates.is_long(ask.cost),
        )
        self.waiting.push(item)

    def _deny(self, refusal: Refusal) -> list[Action]:
        ask = refusal.ask
        deny = Deny(
            ask.request, ask.attempt, refusal.kind, refusal.retry_after, refusal.wait
        )
        return [
            Send(ask.front, deny),
            Decision(ask.request, refusal.kind.value, waiting=len(self.waiting)),
        ]

    def _take_cancel(self, cancel: Cancel) -> None:
        """Forget an ask, or free the permit that was granted to it meanwhile."""
        key = (cancel.request, cancel.attempt)
        self.waiting.remove(key)
        self.parked.remove(key)
        held = self.out.find(*key)
        if held is not None and held.front == cancel.front:
            self._free(held.id)

    # Permits.

    def _free(self, name: PermitId) -> Permit | None:
        permit = self.out.free(name)
        if permit is not None:
            self._full = False
        return permit

    def _take_release(self, release: Release, now: float) -> None:
        permit = self._free(release.permit)
        if permit is not None and not permit.learned:
            self._note_run(permit, release, now)
        self.pool.take_reports(release.reports, now)

    def _note_run(self, permit: Permit, release: Release, now: float) -> None:
        bad = any(item.refused or item.failed for item in release.reports)
        if release.reports and not bad:
            self.estimates.note_run(permit.cost, release.seconds)
            self.pool.note_run(permit.targets, release.seconds, permit.cost, now)
        else:
            self.estimates.note_broken_run(permit.cost, now - permit.granted)

    def _take_holdings(self, holdings: Holdings, now: float) -> list[Action]:
        for held in holdings.held:
            known = held.permit in self.out.permits
            if known or not any(name in self.pool.states for name in held.targets):
                continue
            self.out.add(
                Permit(
                    held.permit,
                    holdings.front,
                    held.request,
                    held.attempt,
                    held.targets,
                    granted=now,
                    checked=now,
                    learned=True,
                )
            )
        self._rebuild.hear(holdings.front)
        self._full = False
        actions: list[Action] = []
        for ask in holdings.waiting:
            actions += self._take_ask(ask, now)
        return actions

    def _take_unknown(self, event: PermitsUnknown) -> None:
        """Free permits that their front doesn't hold: lost on the way."""
        for name in event.permits:
            permit = self.out.permits.get(name)
            if permit is not None and permit.front == event.front:
                self._free(name)

    def _drop_host(self, host: HostId) -> None:
        self.waiting.remove_front(host)
        self.parked.remove_all(host)
        for permit in self.out.list_front(host):
            self._free(permit.id)
        self._rebuild.hear(host)

    def _close(self) -> list[Action]:
        items = [self.waiting.remove(key) for key in list(self.waiting)]
        actions: list[Action] = []
        for item in [*items, *self.parked.remove_all()]:
            assert item is not None
            refusal = build_refusal(
                item.ask, ErrorKind.NO_TARGET, NO_TARGET_SECONDS, NO_TARGET_SECONDS
            )
            actions += self._deny(refusal)
        return actions

    # Time.

    def _measure(self) -> None:
        """Take in that targets, limits or leaving marks may have changed."""
        self.admission.slots = self.out.measure_capacity()
        self._full = False

    def _pass_time(self, now: float) -> list[Action]:
        self.pool.refresh(now)
        self._measure()
        actions: list[Action] = []
        expired = [*self.waiting.pop_expired(now), *self.parked.pop_expired(now)]
        for item in expired:
            wait = self.admission.estimate_wait(item.ask, now, self._full)
            refusal = build_refusal(
                item.ask, ErrorKind.DEADLINE_IN_QUEUE, wait, retry_after=wait
            )
            actions += self._deny(refusal)
        if now - self._tails_at >= TAIL_SECONDS:
            self.estimates.pass_time(now - self._tails_at)
            self._tails_at = now
            self.pool.probe_limits()
            if self.refuses:
                actions += self._refuse_hopeless(now)
        if now - self._checked_at >= CHECK_SECONDS / 4:
            self._checked_at = now
            actions += self._check_permits(now)
        return actions

    def _refuse_hopeless(self, now: float) -> list[Action]:
        actions: list[Action] = []
        for refusal in self.admission.list_hopeless(now, self._full):
            actions += self._deny(refusal)
        return actions + self._refuse_targetless(now)

    def _refuse_targetless(self, now: float) -> list[Action]:
        """Refuse what waits for a pool that has had no usable target for a while."""
        if self.admission.slots > 0.0 or not len(self.waiting):
            self._targetless_since = None
        elif self._targetless_since is None:
            self._targetless_since = now
        elif now - self._targetless_since >= NO_TARGET_SECONDS:
            return self._close()
        return []

    def _check_permits(self, now: float) -> list[Action]:
        """Ask fronts whether they still hold the permits that are long out."""
        due = self.out.list_unchecked(now, CHECK_SECONDS)
        name, place = self.service.name, self.data_centre
        return [
            Send(front, PermitCheck(name, place, self.host, tuple(permits)))
            for front, permits in due.items()
        ]

    # Grants.

    def _grant_waiting(self, now: float) -> list[Action]:
        """Grant in the queue's order until the pool is full."""
        actions: list[Action] = []
        if self._full or not self._may_grant(now):
            return actions
        if len(self.parked):
            actions += self._grant_parked(now)
        while len(self.waiting) and self._may_grant(now):
            item = self.waiting.peek(self.admission.allows_long())
            if item is None:
                break
            route = self.pool.choose(item.ask, now)
            if route is not None:
                self.waiting.take(item, now)
                actions += self._grant(item, route, now)
            elif self._choose_any(item, now) is None:
                self._full = True
                break
            else:
                self.waiting.take(item, now)
                self.parked.add(item, now + AVOID_SECONDS)
        return actions

    def _grant_parked(self, now: float) -> list[Action]:
        actions: list[Action] = []
        for parked in self.parked.rotate(AVOID_TRIES):
            if not self._may_grant(now):
                break
            route = self.pool.choose(parked.item.ask, now)
            if route is None and parked.until <= now:
                route = self._choose_any(parked.item, now)
            if route is not None:
                self.parked.remove(parked.item.key)
                actions += self._grant(parked.item, route, now)
        return actions

    def _choose_any(self, item: WaitingRequest, now: float) -> Route | None:
        """Return a route through any target, also those to avoid."""
        if not item.ask.avoid:
            return None
        return self.pool.choose(replace(item.ask, avoid=()), now)

    def _may_grant(self, now: float) -> bool:
        """Tell whether one more permit may go out."""
        share = self._rebuild.get_share(now)
        return share == 1.0 or len(self.out) < int(share * self.admission.slots)

    def _grant(self, item: WaitingRequest, route: Route, now: float) -> list[Action]:
        ask = item.ask
        self.out.check_limits(route.targets)
        permit = Permit(
            self.next_permit(),
            ask.front,
            ask.request,
            ask.attempt,
            route.targets,
            granted=now,
            checked=now,
            cost=ask.cost,
            long=item.long,
        )
        self.out.add(permit)
        weighed, waiting = len(self.pool.states), len(self.waiting)
        return [
            Send(ask.front, self._build_grant(permit)),
            Decision(ask.request, "granted", route, weighed, waiting),
        ]

    def _build_grant(self, permit: Permit) -> Grant:
        return Grant(
            permit.request,
            permit.attempt,
            permit.id,
            self.service.name,
            self.host,
            permit.targets,
            self.data_centre,
        )
