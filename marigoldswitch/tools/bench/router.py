"""The router's own core, driven on virtual time: fronts, a dispatcher, retries."""

import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass

from marigoldswitch.core.catalogue import Service, ServiceKind, Target
from marigoldswitch.core.delivery import Delivery, Miss
from marigoldswitch.core.dispatcher import (
    Decision,
    Dispatcher,
    Event,
    HostLost,
    Send,
    TargetsChanged,
    Tick,
)
from marigoldswitch.core.errors import Advice
from marigoldswitch.core.ids import (
    AccountId,
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
    HeldPermit,
    Holdings,
    Load,
    Queued,
    Release,
    TargetReport,
)
from marigoldswitch.core.pool import TargetPool
from marigoldswitch.core.retries import GiveUp, Missed, Retry, ServiceRetries
from marigoldswitch.tools.bench.baselines import Policy
from marigoldswitch.tools.bench.plays import Play
from marigoldswitch.tools.bench.world import (
    LINK_SECONDS,
    MEAN_SECONDS,
    End,
    Job,
    ModelTarget,
    Stay,
    TargetEnd,
    VirtualTime,
)

SERVICE = Service(
    ServiceName("drafting"), ServiceKind.PLAIN, True, mean_seconds=MEAN_SECONDS
)
HOBART = DataCentre("hobart")
TICK_SECONDS = 0.05
ASK_TIMEOUT = 0.5
"""Seconds without a word after which a front decides alone, as in the daemon."""
DETECTION_SECONDS = 2.0
"""Seconds until membership sees that a host is gone."""


@dataclass(frozen=True, slots=True)
class Ideas:
    """Ideas of the paper that a run leaves out or adds, to compare.

    :param retries: shared budget, advice and pauses; else three attempts at once.
    """

    retries: bool = True


@dataclass(slots=True, eq=False)
class Held:
    """A job as its front sees it."""

    job: Job
    front: HostId
    avoid: tuple[TargetId, ...] = ()
    owner: HostId | None = None
    heard: bool = False
    grant: Grant | None = None
    sent: float = 0.0
    stay: Stay | None = None


class Router(Policy):
    """Fronts that ask a dispatcher for permits, as the daemon does."""

    name = "marigoldswitch"

    def __init__(
        self,
        play: Play,
        time: VirtualTime,
        targets: list[ModelTarget],
        source: random.Random,
        ideas: Ideas = Ideas(),  # noqa: B008
    ) -> None:
        super().__init__(play, time, targets, source)
        self.ideas = ideas
        self.by_name = {target.name: target for target in targets}
        self.hosts = [HostId(f"host-{number}") for number in range(play.hosts)]
        self.retries = {
            host: ServiceRetries(random.Random(source.random())) for host in self.hosts
        }
        self.held: dict[RequestId, Held] = {}
        self.numbers = itertools.count()
        self.owner: HostId | None = self.hosts[0]
        self.dispatchers = {self.hosts[0]: self._build(self.hosts[0], play.hosts)}
        self.decisions = 0
        self._tick()

    def arrive(self, job: Job) -> None:
        """Ask for a permit for a job."""
        front = self.hosts[job.number % len(self.hosts)]
        held = Held(job, front)
        self.held[RequestId(str(job.number))] = held
        self._ask(held)

    def abandon(self, job: Job) -> None:
        """Cancel a job and give its permit back."""
        held = self.held.pop(RequestId(str(job.number)), None)
        self.end(job, End.LATE)
        if held is None:
            return
        if held.grant is not None:
            self._leave_target(held)
        elif held.owner is not None:
            message = Cancel(
                RequestId(str(job.number)), job.attempts, SERVICE.name, held.front
            )
            self._send(held.owner, message)

    def lose_dispatcher(self) -> None:
        """Stop the host that dispatches; a new one is found after a while."""
        lost = self.owner
        assert lost is not None
        del self.dispatchers[lost]
        self._drop_front(lost)
        self.time.after(DETECTION_SECONDS, lambda: self._take_over(lost))

    def lose_hosts(self, lost: list[HostId]) -> None:
        """Stop hosts that do not dispatch."""
        for host in lost:
            self._drop_front(host)

            def detect(host: HostId = host) -> None:
                for name in list(self.dispatchers):
                    self._feed(name, HostLost(host))

            self.time.after(DETECTION_SECONDS, detect)

    def _drop_front(self, host: HostId) -> None:
        self.hosts = [item for item in self.hosts if item != host]
        for request, held in list(self.held.items()):
            if held.front == host:
                del self.held[request]
                if held.stay is not None and held.grant is not None:
                    self.by_name[held.grant.targets[0]].cancel(held.stay)
                self.end(held.job, End.FAILED)

    def _take_over(self, lost: HostId) -> None:
        owner = self.owner = self.hosts[0]
        local = self.dispatchers.pop(owner, None)
        self.dispatchers[owner] = self._build(owner, len(self.hosts))
        del local
        for host in self.hosts:
            mine = [item for item in self.held.values() if item.front == host]
            granted = tuple(
                HeldPermit(item.grant.permit, item.grant.request, item.grant.targets)
                for item in mine
                if item.grant is not None
            )
            waiting = tuple(self._describe(item) for item in mine if not item.grant)
            for item in mine:
                if item.grant is None:
                    item.owner = owner
            message = Holdings(SERVICE.name, HOBART, host, granted, waiting)
            self._send(owner, message)

    def _build(self, host: HostId, hosts: int) -> Dispatcher:
        dispatcher = Dispatcher(
            host,
            SERVICE,
            HOBART,
            TargetPool(SERVICE, {}),
            lambda: PermitId(str(next(self.numbers))),
        )
        targets = tuple(
            Target(
                TargetId(item.name),
                SERVICE.name,
                HOBART,
                "",
                max(1, self.play.slots // (1 if hosts else 1)),
            )
            for item in self.targets
        )
        dispatcher.handle(TargetsChanged(targets, frozenset()), self.time.now)
        return dispatcher

    def _tick(self) -> None:
        for host in list(self.dispatchers):
            self._feed(host, Tick())
        self.time.after(TICK_SECONDS, self._tick)

    def _describe(self, held: Held) -> Ask:
        job = held.job
        return Ask(
            RequestId(str(job.number)),
            job.attempts,
            held.front,
            HOBART,
            SERVICE.name,
            AccountId(job.account),
            job.priority,
            1.0,
            job.cost,
            job.deadline - self.time.now,
            job.prefix,
            held.avoid,
        )

    def _ask(self, held: Held) -> None:
        job = held.job
        if job.end is not None:
            return
        job.attempts += 1
        held.grant, held.stay, held.heard = None, None, False
        held.owner = self.owner
        assert held.owner is not None
        self._send(held.owner, self._describe(held))
        attempt = job.attempts

        def check() -> None:
            if held.heard or held.job.attempts != attempt or job.end is not None:
                return
            if held.owner in self.dispatchers:
                return
            self._decide_locally(held)

        self.time.after(ASK_TIMEOUT, check)

    def _decide_locally(self, held: Held) -> None:
        """Let the front choose alone, as no dispatcher answers."""
        front = held.front
        if front not in self.dispatchers:
            self.dispatchers[front] = self._build(front, len(self.hosts))
        held.owner = front
        self._feed(front, self._describe(held))

    def _send(self, host: HostId, message: Event) -> None:
        self.time.after(LINK_SECONDS, lambda: self._feed(host, message))

    def _feed(self, host: HostId, event: Event) -> None:
        dispatcher = self.dispatchers.get(host)
        if dispatcher is None:
            return
        for action in dispatcher.handle(event, self.time.now):
            match action:
                case Send(message=message):
                    self._reply(message)
                case Decision():
                    self.decisions += 1

    def _reply(self, message: object) -> None:
        def hear() -> None:
            match message:
                case Grant():
                    self._use_grant(message)
                case Deny():
                    held = self.held.get(message.request)
                    if held and held.job.attempts == message.attempt:
                        del self.held[message.request]
                        self.end(held.job, End.REFUSED)
                case Queued():
                    held = self.held.get(message.request)
                    if held and held.job.attempts == message.attempt:
                        held.heard = True

        self.time.after(LINK_SECONDS, hear)

    def _use_grant(self, grant: Grant) -> None:
        held = self.held.get(grant.request)
        if held is None or held.job.attempts != grant.attempt or held.grant is not None:
            front = held.front if held else self.hosts[0]
            self._send(
                grant.dispatcher, Release(grant.permit, SERVICE.name, front, 0.0, ())
            )
            return
        held.grant, held.heard, held.sent = grant, True, self.time.now
        held.avoid += grant.targets
        target = self.by_name[grant.targets[0]]

        def deliver() -> None:
            if held.job.end is None and held.grant is grant:
                held.stay = target.submit(held.job, self._listen(held, grant, target))

        self.time.after(LINK_SECONDS, deliver)

    def _listen(
        self, held: Held, grant: Grant, target: ModelTarget
    ) -> Callable[[TargetEnd], None]:
        def hear(end: TargetEnd) -> None:
            load = Load(target.running, len(target.waiting))
            seconds = self.time.now - held.sent
            name = grant.targets[0]
            match end:
                case TargetEnd.DONE:
                    report = TargetReport(name, seconds, load=load)
                case TargetEnd.REFUSED:
                    report = TargetReport(name, -1.0, refused=True, load=load)
                case TargetEnd.LOST:
                    report = TargetReport(name, -1.0, failed=True)
            self._release(held, grant, report)
            if held.job.end is not None:
                return
            if end is TargetEnd.DONE:
                del self.held[grant.request]
                self.retries[held.front].note_success(self.time.now)
                self.end(held.job, End.DONE)
            else:
                self._retry(held, end)

        return hear

    def _retry(self, held: Held, end: TargetEnd) -> None:
        job = held.job
        if end is TargetEnd.REFUSED:
            miss = Miss(Delivery.REFUSED, "busy", Advice.RETRY_ELSEWHERE)
        else:
            miss = Miss(Delivery.MAY_HAVE_RUN, "lost")
        left = job.deadline - self.time.now
        missed = Missed(miss, True, True, job.attempts, left)
        choice: Retry | GiveUp
        if self.ideas.retries:
            choice = self.retries[held.front].decide(missed, self.time.now)
        else:
            choice = Retry(0.0) if job.attempts < 3 else GiveUp("attempts")
        match choice:
            case Retry(pause=pause):
                self.time.after(pause, lambda: self._ask(held))
            case GiveUp():
                del self.held[RequestId(str(job.number))]
                refused = end is TargetEnd.REFUSED
                self.end(job, End.REFUSED if refused else End.FAILED)

    def _leave_target(self, held: Held) -> None:
        grant = held.grant
        assert grant is not None
        if held.stay is not None:
            self.by_name[grant.targets[0]].cancel(held.stay)
        self._release(held, grant)

    def _release(self, held: Held, grant: Grant, *reports: TargetReport) -> None:
        seconds = self.time.now - held.sent
        message = Release(grant.permit, SERVICE.name, held.front, seconds, reports)
        self._send(grant.dispatcher, message)
