"""What all kinds of runs share: one request, its permits, its retries, its end."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

import structlog
from result import Err, Ok, Result

from marigoldswitch.backends import PlainClient
from marigoldswitch.chains import ChainClient
from marigoldswitch.claiming import Claims
from marigoldswitch.core.catalogue import Bundle, Target
from marigoldswitch.core.delivery import Delivery, Miss
from marigoldswitch.core.diagnosis import can_serve
from marigoldswitch.core.errors import Advice, ErrorKind, Fault
from marigoldswitch.core.ids import TargetId
from marigoldswitch.core.lifecycle import Lifecycle
from marigoldswitch.core.messages import Ask, Grant, TargetReport
from marigoldswitch.core.ports import Clock
from marigoldswitch.core.requests import Answer, End, Request, Token
from marigoldswitch.core.retries import GiveUp, HostRetries, Missed, Retry, is_not_run
from marigoldswitch.dispatching import Dispatching
from marigoldswitch.members import Member
from marigoldswitch.metrics import Metrics
from marigoldswitch.settings import StreamSettings

logger = structlog.get_logger(__name__)

Event = Token | Answer | End | Fault
Emit = Callable[[Event], Awaitable[None]]
"""Takes the events of one answer; it waits while the caller reads slowly."""


@dataclass(frozen=True, slots=True)
class Parts:
    """What a run works with."""

    clock: Clock
    own: Member
    dispatching: Dispatching
    claims: Claims
    plain: PlainClient
    chains: ChainClient
    streams: StreamSettings = StreamSettings()
    retries: HostRetries = field(default_factory=lambda: HostRetries(random.Random()))


class Run:
    """One request; subclasses say how its kind of service is called.

    :param bundle: the bundle that the request began with and keeps.
    :param emit: takes the answer.
    """

    def __init__(
        self, parts: Parts, request: Request, bundle: Bundle, emit: Emit
    ) -> None:
        self.parts = parts
        self.request = request
        self.bundle = bundle
        self.emit = emit
        self.service = bundle.services[request.service]
        self.life = Lifecycle(request.id, request.idempotent)
        self.attempt = 0
        self.avoid: tuple[TargetId, ...] = ()
        """Targets that have failed or refused this request."""
        self.unknown: tuple[TargetId, ...] = ()
        """Targets that a newer bundle has and this request's does not."""
        self.recoveries = 0
        """Attempts that do not count: the answer had begun, or nothing was sent."""
        self.pause = 0.0
        """Seconds to wait before the next attempt."""
        self.keep: tuple[TargetId, ...] = ()
        """Targets of a broken chain that survive."""
        self.remainder: asyncio.Task[Any] | None = None
        """Work that goes on after the request's end, such as awaiting a late answer."""

    async def drive(self) -> None:
        """Run the request to its one end and emit the whole answer."""
        raise NotImplementedError

    @property
    def left(self) -> float:
        """Return the seconds until the deadline."""
        return max(0.0, self.request.deadline - self.parts.clock.monotonic())

    def find_targets(self, grant: Grant) -> tuple[Target, ...]:
        """Return the targets of a grant."""
        return tuple(self.bundle.targets[name] for name in grant.targets)

    async def acquire(self) -> Result[Grant, Fault]:
        """Get a permit for the next attempt."""
        if self.pause > 0.0:
            await asyncio.sleep(self.pause)
        self.life.advance("queue")
        grant = await self._ask_for_known()
        if isinstance(grant, Ok):
            self.life.advance("permit")
            return grant
        if self.life.deliveries and grant.err_value.not_run:
            detail = f"lost, then {grant.err_value.kind.value}"
            return Err(Fault(ErrorKind.TARGET_LOST, detail))
        return grant

    async def _ask_for_known(self) -> Result[Grant, Fault]:
        """Ask until the targets are ones that the request's own bundle names.

        A dispatcher may be a bundle ahead of a request that began before it.
        """
        while True:
            self.attempt += 1
            asked = await self.parts.dispatching.acquire(self._build_ask())
            if isinstance(asked, Err):
                return asked
            named = asked.ok_value.targets
            unknown = tuple(item for item in named if item not in self.bundle.targets)
            if not unknown:
                return asked
            self.release(asked.ok_value, 0.0)
            self.unknown += unknown
            self.recoveries += 1

    def release(self, grant: Grant, seconds: float, *reports: TargetReport) -> None:
        """Give a permit back with what was seen of the targets."""
        if reports and all(_is_success(item) for item in reports):
            now = self.parts.clock.monotonic()
            self.parts.retries.get(self.service.name).note_success(now)
        self.parts.dispatching.release(grant, seconds, reports)

    def judge(self, miss: Miss) -> Fault | None:
        """Return how the request ends after a miss, or ``None`` to try again."""
        trusts = self.service.trusts_not_run
        if is_not_run(miss, trusts):
            self.life.retract_delivery()
        choice = self._choose_retry(miss)
        if isinstance(choice, Retry):
            self.pause = choice.pause
            return None
        if not self.life.deliveries:
            return _describe_unrun(miss, choice)
        if self.left <= 0.0:
            return Fault(ErrorKind.DEADLINE_EXCEEDED, miss.detail)
        return Fault(ErrorKind.TARGET_LOST, miss.detail)

    def shun(self, targets: tuple[TargetId, ...]) -> None:
        """Avoid targets from now on, as long as others can do the work.

        Those that failed longest ago are tried again first.
        """
        self.avoid = tuple(item for item in self.avoid if item not in targets) + targets
        known = self.bundle.list_targets(self.service.name)
        while self.avoid:
            others = [item for item in known if item.id not in self.avoid]
            if can_serve(self.service, others):
                return
            self.avoid = self.avoid[1:]

    @property
    def _tries(self) -> int:
        """Return the number of attempts that count, from 1."""
        return self.attempt - self.recoveries

    def _choose_retry(self, miss: Miss) -> Retry | GiveUp:
        missed = Missed(
            miss,
            self.request.idempotent,
            self.service.trusts_not_run,
            self._tries,
            self.left,
        )
        now = self.parts.clock.monotonic()
        choice = self.parts.retries.get(self.service.name).decide(missed, now)
        logger.info(
            "retry_decision",
            request=self.request.id,
            attempt=self.attempt,
            missed=miss.detail,
            decision="retry" if isinstance(choice, Retry) else choice.reason,
        )
        return choice

    async def end_with(self, fault: Fault) -> None:
        """End the request without its whole answer."""
        await self.emit(self.life.end_with(fault))

    def count_into(self, metrics: Metrics) -> None:
        """Add what was seen of the targets to the host's metrics."""

    def abandon(self) -> None:
        """Settle what the request holds when it is broken off from outside."""

    def _build_ask(self) -> Ask:
        request = self.request
        return Ask(
            request=request.id,
            attempt=self.attempt,
            front=self.parts.own.host,
            data_centre=self.parts.own.data_centre,
            service=request.service,
            account=request.account,
            priority=request.priority,
            weight=request.weight,
            cost=request.cost,
            remaining=self.left,
            prefix=request.prefix,
            avoid=self.avoid + self.unknown,
            keep=self.keep,
        )


def _is_success(report: TargetReport) -> bool:
    return report.seconds >= 0.0 and not report.refused and not report.failed


def describe_miss(target: Target, miss: Miss) -> TargetReport:
    """Return what a miss says of a target."""
    refused = miss.delivery is Delivery.REFUSED
    failed = not refused and not miss.deadline
    return TargetReport(target.id, -1.0, refused, failed, miss.leaving, miss.load)


def _describe_unrun(miss: Miss, choice: GiveUp) -> Fault:
    detail = f"{miss.detail}; no retry: {choice.reason}"
    if miss.advice is Advice.STOP:
        return Fault(ErrorKind.TARGET_STOP, detail)
    kind = ErrorKind.TARGET_REFUSED
    if miss.delivery is Delivery.NOT_DELIVERED:
        kind = ErrorKind.NOT_DELIVERED
    return Fault(kind, detail, choice.retry_after)
