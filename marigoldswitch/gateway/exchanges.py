"""One caller's request on its way through this host, and how it may end."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

import structlog
from aiohttp import web

from marigoldswitch.core.catalogue import Target
from marigoldswitch.core.crashes import CutRequest, Hold
from marigoldswitch.core.errors import ErrorKind, Fault
from marigoldswitch.core.fingerprints import Fingerprint, fingerprint_request
from marigoldswitch.core.ids import AccountId, ServiceName
from marigoldswitch.core.loads import Loads
from marigoldswitch.core.ports import Clock
from marigoldswitch.core.retries import RetryBudget
from marigoldswitch.core.routes import Route, ServiceSpec
from marigoldswitch.gateway.admission import Admission
from marigoldswitch.gateway.connections import may_keep_connections
from marigoldswitch.gateway.crashes import CrashWatch
from marigoldswitch.gateway.directory import Directory
from marigoldswitch.gateway.planner import ChainPlanner
from marigoldswitch.gateway.ports import Call, CallCodec, EngineControl
from marigoldswitch.gateway.probing import EngineProbes
from marigoldswitch.gateway.upstream import Upstream

logger = structlog.get_logger(__name__)


@dataclass(slots=True)
class Exchange:
    """A request with what was decided about it on arrival.

    :param http: the server's side of it.
    :param arrived: when its head had come, in monotonic seconds.
    :param deadline: when its caller must have a final answer.
    :param priority: rank; 0 comes first.
    :param sent: times that it may have reached a target.
    :param ran: those of them in which it may have run.
    :param excused: runs at targets that have ended since, or that got it once more on
        a new connection; they don't count against the targets that the route allows,
        but the request has run.
    """

    http: web.BaseRequest
    call: Call
    body: bytes
    route: Route
    service: ServiceSpec
    account: AccountId | None
    priority: int
    arrived: float
    deadline: float
    sent: int = 0
    ran: int = 0
    excused: int = 0
    response: web.StreamResponse | None = None
    """The answer to the caller, once it has begun."""
    first_event: float | None = None
    """Seconds from its arrival to the first event passed on."""
    longest_gap: float = 0.0
    """Longest pause between two events passed on, in seconds."""
    trail: list[str] = field(default_factory=list)
    """What was tried, for the log line of the end."""
    _fingerprint: Fingerprint | None = None

    @property
    def fingerprint(self) -> Fingerprint:
        """Return what this request has in common with others that are the same."""
        if self._fingerprint is None:
            self._fingerprint = fingerprint_request(
                self.account, self.call.path, self.body
            )
        return self._fingerprint

    @property
    def may_run_again(self) -> bool:
        """Tell whether the route allows one more run, apart from what repeats cost."""
        if not self.route.is_idempotent:
            return self.ran == 0
        return self.ran - self.excused < self.route.most_targets


class Refused(Exception):
    """The request ends with an answer of our own, before any byte of another."""

    def __init__(self, fault: Fault) -> None:
        super().__init__(fault.kind.value, fault.detail)
        self.fault = fault


class BrokenOff(Exception):
    """An answer that had begun was broken off; nothing more can be said."""


class CallerGone(Exception):
    """The caller has closed its connection."""


CAUTION = 0.8
"""Share of the repeats allowed to all hosts that they give out to fresh requests: each
counts its own, and one that was cut off takes the others for gone."""
RESERVE = 0.95 / CAUTION - 1.0
"""Repeats beyond these, over them, for answers that have begun."""


class Retries:
    """The budgets of repeats, by service; the hosts share what they may send.

    :param allowance: repeats a second that all hosts together may always send.
    :param share: repeats beyond these, over successes.
    :param count_hosts: gives the number of live hosts.
    """

    def __init__(
        self, allowance: float, share: float, count_hosts: Callable[[], int]
    ) -> None:
        self._count_hosts = count_hosts
        self._budgets: dict[ServiceName, RetryBudget] = {}
        self.use_terms(allowance, share)

    def use_terms(self, allowance: float, share: float) -> None:
        """Take other bounds; what has been spent already still counts."""
        self._allowance = CAUTION * allowance
        self._share = CAUTION * share
        for budget in self._budgets.values():
            budget.share = self._share

    def get(self, service: ServiceName) -> RetryBudget:
        """Return what all requests of a service share."""
        budget = self._budgets.get(service)
        if budget is None:
            budget = RetryBudget(share=self._share, reserve=RESERVE)
            self._budgets[service] = budget
        budget.floor = self._allowance / max(1, self._count_hosts())
        return budget


@dataclass(slots=True)
class HostState:
    """What the listeners ask about this host.

    :param draining: it is shutting down: connections end with the answer on them.
    :param accepting: new requests are still taken.
    """

    draining: bool = False
    accepting: bool = True


@dataclass(slots=True)
class RunParts:
    """What runs of requests work with."""

    state: HostState

    clock: Clock
    codec: CallCodec
    upstream: Upstream
    engines: EngineControl
    directory: Directory
    loads: Loads
    planner: ChainPlanner
    admission: Admission
    probes: EngineProbes
    crashes: CrashWatch
    retries: Retries
    source: random.Random
    home: str


def needs_own_connection(parts: RunParts, exchange: Exchange) -> bool:
    """Tell whether a request may not go over a kept connection.

    One that may run once can't tell there whether it has; and targets that take few
    connections have no room for those that rest.
    """
    most = exchange.service.most_connections
    if not may_keep_connections(most, parts.planner.count_hosts()):
        return True
    return not exchange.route.is_idempotent


def may_resend(parts: RunParts, exchange: Exchange) -> bool:
    """Tell whether a request may go to its target once more, on a new connection.

    If so, it is counted. Where a kept connection breaks at once, the target has most
    likely closed or forgotten it. Taken for a failure, it left out an engine that was
    well, and took one of the two targets on which a request may run.
    """
    budget = parts.retries.get(exchange.service.name)
    if not budget.spend_reserve(parts.clock.monotonic()):
        return False
    exchange.ran += 1
    exchange.excused += 1
    return True


def find_hold(parts: RunParts, exchange: Exchange) -> Hold | None:
    """Return why a request is held off; ``None`` if it may run."""
    if parts.crashes.is_empty:
        return None
    return parts.crashes.find_hold(exchange.fingerprint)


def check_hold(parts: RunParts, exchange: Exchange) -> None:
    """Let a request run, unless it is held off because it ends targets.

    :raises Refused: if it is; "not run" is said only where it has not.
    """
    hold = find_hold(parts, exchange)
    if hold is None:
        return
    logger.warning(
        "request_held_off",
        request=exchange.call.id,
        fingerprint=exchange.fingerprint,
        account=exchange.account,
        ends=[[name, round(age, 1)] for name, age in hold.ends],
        seconds_left=round(hold.left),
    )
    kind = ErrorKind.TARGET_LOST if exchange.ran else ErrorKind.ENDS_TARGETS
    raise Refused(Fault(kind, "held off: it ends targets", hold.left))


async def note_cut_off(
    parts: RunParts, exchange: Exchange, target: Target, had_event: bool
) -> None:
    """Learn that a target broke a request off, perhaps by its end."""
    cut = CutRequest(exchange.fingerprint, exchange.account, had_event)
    await parts.crashes.note_cut_off(cut, target)


def note_served(parts: RunParts, exchange: Exchange) -> None:
    """Learn that a request has run to its end, and its service with it."""
    now = parts.clock.monotonic()
    parts.retries.get(exchange.service.name).note_success(now)
    if not parts.crashes.is_empty:
        parts.crashes.note_served(exchange.fingerprint)


def may_claim_not_run(exchange: Exchange) -> bool:
    """Tell whether the request has certainly not run."""
    return exchange.ran == 0


def describe_timeout(exchange: Exchange) -> Fault:
    """Return the answer to a request whose time is up."""
    if may_claim_not_run(exchange):
        return Fault(ErrorKind.SATURATED, "no room before the deadline", 0.0)
    return Fault(ErrorKind.DEADLINE_EXCEEDED, "the target took too long")


def abort(exchange: Exchange) -> None:
    """Break off an answer that has begun, so that it can't look complete."""
    transport = exchange.http.transport
    if transport is not None:
        transport.abort()


async def write(exchange: Exchange, content: bytes) -> None:
    """Send bytes of an answer that has begun.

    :raises CallerGone: if the caller has closed its connection.
    """
    assert exchange.response is not None
    try:
        await exchange.response.write(content)
    except (ConnectionError, RuntimeError) as error:
        raise CallerGone(str(error)) from error
