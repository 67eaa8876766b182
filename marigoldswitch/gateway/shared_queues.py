"""Requests that wait for a chain of a service whose routes differ in priority."""

import random
from collections.abc import Callable, Hashable

import structlog
from msgspec import Struct

from marigoldswitch.core.admitting.acceptance import AcceptancePace
from marigoldswitch.core.admitting.elsewhere import (
    WaitCount,
    WaitCounts,
    WaitKey,
    must_hold_back,
)
from marigoldswitch.core.admitting.engine_refusals import EngineRefusals
from marigoldswitch.core.admitting.feasibility import (
    ChainForecaster,
    Feasibility,
    assess,
)
from marigoldswitch.core.admitting.floors import FLOOR_SHARE
from marigoldswitch.core.admitting.requesters import Requester, describe_unknown
from marigoldswitch.core.admitting.reserve import (
    UrgentArrivals,
    compute_reserved_tokens,
)
from marigoldswitch.core.admitting.returns import ReturnSchedule
from marigoldswitch.core.admitting.shared_queue import SharedQueue, SharedTicket
from marigoldswitch.core.ports import Clock
from marigoldswitch.core.routes import ServiceSpec
from marigoldswitch.core.stages import Chain
from marigoldswitch.gateway.planner import ChainPlanner
from marigoldswitch.gateway.service_queues import (
    MAX_FAILED_TRIES,
    ChainRequest,
    ServiceQueue,
)

logger = structlog.get_logger(__name__)

SHORT_SECONDS = 5.0
"""Time for which capacity counts as short after a request found none."""
UNCOVERED_SECONDS = 0.3
"""Time for which engines must lack layers before requests are refused at once. Until
then this host may only not have heard of a change of layers yet."""
START_SECONDS = 3.0
"""Time after the start of a process in which callers resume streams that ended with an
earlier one."""
RESUMING_SECONDS = 0.5
"""Time after the last resumed request for which more are expected after a start."""
START_HELD_SHARE = 0.3
"""Part of their allowed wait for which new requests leave room to resumed ones then."""
RECHECK_TOLERANCE = 1.25
"""A waiting request is refused early only if its wait is estimated to be longer than
this multiple of what it may still wait, so that noise doesn't remove those that fit."""


class SharedPorts(Struct):
    """What a shared queue asks of the rest of the host.

    :param forecaster: forecasts what requests get.
    :param source: random numbers.
    :param get_elsewhere: returns what waits at other hosts, at a monotonic time.
    :param count_refusal: counts a refused request by service and reason.
    """

    forecaster: ChainForecaster
    source: random.Random
    get_elsewhere: Callable[[float], WaitCounts]
    count_refusal: Callable[[str, str], None]


class SharedServiceQueue(ServiceQueue[SharedTicket]):
    """Orders requests by urgency, then fairly over accounts."""

    def __init__(
        self,
        planner: ChainPlanner,
        clock: Clock,
        service: ServiceSpec,
        ports: SharedPorts,
    ) -> None:
        super().__init__(planner, clock, service)
        self.pace = AcceptancePace()
        self._ports = ports
        self._queue = SharedQueue()
        self._returns = ReturnSchedule(ports.source)
        self._arrivals = UrgentArrivals()
        self._refusals: dict[int, EngineRefusals] = {}
        self._arrived: dict[int, float] = {}
        """When each waiting request began to wait, in monotonic seconds."""
        self._hopeless: set[int] = set()
        """Requests that have been found hopeless and are being refused."""
        self._short_until = float("-inf")
        self._uncovered_since: float | None = None
        self._uncovered_seen_at = float("-inf")
        """Since when the engines are known to lack layers, in monotonic seconds."""
        self._started = clock.monotonic()
        self._resumed_at = float("-inf")
        """When a resumed request last arrived, in monotonic seconds."""

    async def acquire(self, request: ChainRequest) -> Chain | None:
        """Reserve room for a request; see :meth:`Admission.acquire`."""
        queue, now = self._queue, self._clock.monotonic()
        requester = request.requester or describe_unknown(now, now + request.max_wait)
        ticket = queue.make_ticket(
            request.priority,
            request.tokens,
            request.avoid,
            request.is_new,
            requester,
            now + request.max_wait,
            request.due,
        )
        if requester.is_resumed:
            self._resumed_at = now
        if requester.is_first_ask and requester.is_retry:
            queue.charge_retry(ticket)
        elif requester.is_first_ask:
            queue.shares.note_arrived(ticket.groups, now)
            self._arrivals.note(request.priority, now)
        if request.refusals is not None:
            self._refusals[ticket.number] = request.refusals
        try:
            return await self._admit_or_wait(ticket, request.max_wait, now)
        finally:
            self._refusals.pop(ticket.number, None)
            self._hopeless.discard(ticket.number)

    async def _admit_or_wait(
        self, ticket: SharedTicket, max_wait: float, now: float
    ) -> Chain | None:
        queue = self._queue
        if queue.is_first(ticket) and not self._must_leave(ticket, now, 0.0):
            chain = self._try_admit(ticket, now)
            if chain is not None:
                return chain
        self._short_until = now + SHORT_SECONDS
        place, estimate = queue.count_ahead(ticket), self._estimate_wait(ticket, now)
        wait = max(estimate, self._planner.get_shortest_pause(self.service))
        is_early = ticket.requester.is_early and not ticket.goes_before_new
        if is_early or wait > max_wait or self._is_hopeless(ticket, now):
            outcome = "too_early" if is_early else "too_long"
            if ticket.number in self._hopeless:
                outcome = "hopeless"
            self._log_wait(ticket, now, place, wait, outcome)
            return None
        chain = await self._wait(ticket, max_wait)
        outcome = "admitted" if chain is not None else "timed_out"
        if ticket.number in self._hopeless:
            outcome = "hopeless"
        self._log_wait(ticket, now, place, wait, outcome)
        return chain

    def choose_retry_after(
        self, key: Hashable, priority: int, requester: Requester, tokens: int
    ) -> float:
        """Return the seconds after which a refused caller should return.

        :param key: identifies the request.
        """
        now = self._clock.monotonic()
        ticket = self._queue.make_ticket(
            priority, tokens, frozenset(), True, requester, now
        )
        ahead = self._queue.count_ahead(ticket)
        # After a start, admissions tell how empty engines were, not how fast room is
        # freed.
        rate = min(self._queue.get_rate(now), self._planner.get_end_rate())
        urgent = self._arrivals.get_rate_above(priority, now)
        rate = max(rate - urgent, FLOOR_SHARE * rate)
        if not self._planner.may_cover(self.service):
            rate = 0.0
        left = requester.deadline_at - now
        account = requester.account
        seconds = self._returns.book(key, priority, account, ahead, rate, left, now)
        return max(seconds, self._planner.get_shortest_pause(self.service))

    def note_return(self, get_key: Callable[[], Hashable]) -> bool:
        """Record an arrival; return whether its caller was told to come later.

        :param get_key: returns what identifies the request; called only if any caller
            was told to return.
        """
        if not len(self._returns):
            return False
        return self._returns.take(get_key(), self._clock.monotonic())

    def count_waiting(self, now: float) -> dict[WaitKey, WaitCount]:
        """Return what waits here, by priority and account."""
        counts: dict[WaitKey, WaitCount] = {}
        for ticket in self._queue.tickets:
            key = WaitKey(self.service.name, ticket.priority, ticket.account)
            waited = now - self._arrived[ticket.number]
            one = WaitCount(1, ticket.tokens, waited)
            known = counts.get(key)
            counts[key] = one if known is None else known.plus(one)
        return counts

    def _add(self, ticket: SharedTicket) -> None:
        now = self._clock.monotonic()
        self._arrived[ticket.number] = now
        self._queue.add(ticket, now)

    def _remove(self, ticket: SharedTicket) -> None:
        self._arrived.pop(ticket.number, None)
        self._queue.remove(ticket)

    def _admit_waiting(self) -> None:
        now = self._clock.monotonic()
        self._refuse_hopeless(now)
        tried: set[int] = set()
        late: list[SharedTicket] = []
        while len(tried) < MAX_FAILED_TRIES:
            ticket = self._find_next(tried, now)
            if ticket is None:
                break
            if self._must_leave(ticket, now, self._get_held_share(ticket, now)):
                tried.add(ticket.number)
                continue
            chain = self._try_admit(ticket, now, late)
            if chain is None:
                tried.add(ticket.number)
            else:
                self._grant(ticket, chain)
        for ticket in late:
            # Nothing that would be on time has taken the room.
            chain = self._try_admit(ticket, now)
            if chain is not None:
                self._grant(ticket, chain)

    def _grant(self, ticket: SharedTicket, chain: Chain) -> None:
        self._arrived.pop(ticket.number, None)
        self.waiters[ticket.number].set_result(chain)

    def _find_next(self, tried: set[int], now: float) -> SharedTicket | None:
        """Return the next request to try, leaving out those tried before."""
        for ticket in self._queue.list_candidates(now):
            waiter = self.waiters.get(ticket.number)
            if ticket.number in tried or waiter is None or waiter.done():
                continue
            return ticket
        return None

    def _try_admit(
        self, ticket: SharedTicket, now: float, late: list[SharedTicket] | None = None
    ) -> Chain | None:
        """Reserve room on a chain, or return ``None`` if no chain has room.

        :param late: receives the request if it would be late; it is then not admitted.
        """
        planner, avoid = self._planner, ticket.avoid
        refusals = self._refusals.get(ticket.number)
        if refusals is not None:
            avoid |= refusals.list_unchanged(planner.get_usage, now)
        reserved = self._compute_reserve(ticket, now)
        chain = planner.find(
            self.service,
            ticket.tokens,
            avoid,
            ticket.is_new,
            ticket.priority,
            reserved,
        )
        if chain is None:
            return None
        if ticket.is_new:
            forecast = self._ports.forecaster.forecast(
                self.service, chain, ticket.tokens
            )
            match assess(ticket.requester, forecast, now):
                case Feasibility.HOPELESS:
                    self._hopeless.add(ticket.number)
                    return None
                case Feasibility.LATE if late is not None:
                    late.append(ticket)
                    return None
        planner.take(self.service, chain, ticket.tokens)
        self._queue.note_admitted(ticket, now)
        self.pace.note_admitted(now)
        return chain

    def _must_leave(self, ticket: SharedTicket, now: float, held_share: float) -> bool:
        """Return whether a request must leave capacity to others for now."""
        if ticket.goes_before_new:
            return False
        if self.pace.is_blocked(now):
            return True
        if self._is_after_start(now) and held_share < START_HELD_SHARE:
            return True
        elsewhere = self._ports.get_elsewhere(now)
        if not elsewhere or self._queue.is_below_floor(ticket, now):
            return False
        name = self.service.name
        return must_hold_back(name, ticket.priority, elsewhere, held_share)

    def _estimate_wait(self, ticket: SharedTicket, now: float) -> float:
        """Return the expected wait in seconds; 0 where there is no rate for it."""
        if self._queue.get_rate(now) <= 0.0 and self._must_leave(ticket, now, 0.0):
            return 0.0
        return self._queue.estimate_wait(ticket, now)

    def _is_after_start(self, now: float) -> bool:
        """Return whether the streams of an earlier process still return here."""
        is_new = now < self._started + START_SECONDS
        return is_new and now < self._resumed_at + RESUMING_SECONDS

    def _get_held_share(self, ticket: SharedTicket, now: float) -> float:
        """Return the part of its allowed wait that a request has waited."""
        began = self._arrived[ticket.number]
        allowed = ticket.latest - began
        return (now - began) / allowed if allowed > 0.0 else 1.0

    def _compute_reserve(self, ticket: SharedTicket, now: float) -> int:
        """Return the tokens to leave free for more urgent requests to come."""
        if now >= self._short_until or ticket.goes_before_new:
            return 0
        rate = self._arrivals.get_rate_above(ticket.priority, now)
        if rate <= 0.0 or self._queue.is_below_floor(ticket, now):
            return 0
        hosts = max(1, self._planner.count_hosts())
        admitted = self._queue.get_rate(now)
        if admitted <= 0.0:
            return 0
        run_seconds = self._planner.count_begun() / admitted
        parallel = self._planner.measure_parallelism(self.service)
        return compute_reserved_tokens(
            rate * hosts, run_seconds, ticket.tokens, parallel
        )

    def _is_hopeless(self, ticket: SharedTicket, now: float) -> bool:
        """Return whether a request has no chance; such requests are remembered."""
        if ticket.number in self._hopeless:
            return True
        if ticket.goes_before_new:
            return False
        if now > ticket.requester.deadline_at or self._lacks_layers(now):
            self._hopeless.add(ticket.number)
            return True
        return False

    def _lacks_layers(self, now: float) -> bool:
        """Return whether the engines have lacked layers for some time."""
        if self._planner.may_cover(self.service):
            self._uncovered_since = None
            return False
        is_stale = now - self._uncovered_seen_at > UNCOVERED_SECONDS
        if self._uncovered_since is None or is_stale:
            self._uncovered_since = now
        self._uncovered_seen_at = now
        return now - self._uncovered_since >= UNCOVERED_SECONDS

    def _refuse_hopeless(self, now: float) -> None:
        """Refuse the waiting requests that have become hopeless."""
        covers = not self._lacks_layers(now)
        for ticket in self._queue.tickets:
            if ticket.goes_before_new and ticket.number not in self._hopeless:
                continue
            wait = self._estimate_wait(ticket, now)
            left = ticket.latest - now
            if (
                covers
                and ticket.number not in self._hopeless
                and wait <= left * RECHECK_TOLERANCE
            ):
                continue
            self._hopeless.add(ticket.number)
            waiter = self.waiters.get(ticket.number)
            if waiter is not None and not waiter.done():
                waiter.set_result(None)

    def _log_wait(
        self, ticket: SharedTicket, began: float, place: int, wait: float, outcome: str
    ) -> None:
        now = self._clock.monotonic()
        elsewhere = self._ports.get_elsewhere(now)
        if outcome != "admitted":
            self._ports.count_refusal(self.service.name, outcome)
        same = [item for item in elsewhere if item.service == self.service.name]
        logger.info(
            "request_waited",
            request=ticket.requester.request,
            service=self.service.name,
            priority=ticket.priority,
            account=ticket.account,
            outcome=outcome,
            waited=round(now - began, 4),
            place=place,
            estimate=round(wait, 3),
            rate=round(self._queue.get_rate(now), 1),
            waiting=len(self._queue),
            elsewhere=sum(elsewhere[key].requests for key in same),
            elsewhere_first=min((key.priority for key in same), default=None),
            below_floor=self._queue.is_below_floor(ticket, now),
        )
