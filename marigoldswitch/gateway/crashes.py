"""Detects the requests that crash the targets running them, and puts them on hold."""

import asyncio
import contextlib
from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from typing import TypeVar

import structlog
from msgspec import Struct, field
from msgspec.structs import replace

from marigoldswitch.core.catalogue import Target
from marigoldswitch.core.crash_messages import CrashNotes, EndNote, PartEndNote
from marigoldswitch.core.crashes import CrashLedger
from marigoldswitch.core.fingerprints import Fingerprint
from marigoldswitch.core.ids import AccountId, PromptPartId, ServiceName, TargetId
from marigoldswitch.core.interruptions import (
    EndVerdict,
    Hold,
    InterruptedRequest,
    PromptPart,
    TargetRun,
)
from marigoldswitch.core.part_crashes import PartLedger
from marigoldswitch.core.ports import Clock
from marigoldswitch.core.target_runs import TargetRuns
from marigoldswitch.gateway.directory import Directory
from marigoldswitch.gateway.guard_connections import GuardConnections
from marigoldswitch.gateway.probing import EngineProbes

logger = structlog.get_logger(__name__)

VERDICT_SECONDS = 0.06
"""Maximum time that a request waits for the verdict on its target's end; a closed port
shows it within a few milliseconds."""
SETTLE_SECONDS = 0.005
"""Time after the end of a target in which all interrupted requests report it."""
MAX_LOGGED_FINGERPRINTS = 8
"""Maximum number of fingerprints in a log line."""
MAX_LOGGED_PARTS = 8
"""Maximum number of parts of prompts in a log line."""
URGENT_SECONDS = 0.1
"""Least time between two messages on parts of prompts that may soon be on hold."""
DOUBT_SECONDS = 5.0
"""Time for which a closed port is kept as evidence that can't be judged yet: longer
than hosts and targets of a site take to be back."""
MAX_DOUBTED = 16
"""Targets whose ends are kept in doubt at a time. A cut takes many at once; a service
of more is hardly ended whole by one request."""
MAX_LOST = 512
LOST_SECONDS = 60.0
"""Number of lost requests that are remembered, and for how long since the first loss.
Callers repeat them sooner."""
LATE_REPORT_SECONDS = 1.0
"""Time from the first report in which further requests may report that the target
interrupted them."""


EndT = TypeVar("EndT", EndNote, PartEndNote)


class _Interruption(Struct, eq=False):
    """The requests of this host that one target has broken off.

    :ivar lost_at: when it did, in monotonic seconds.
    :ivar guards: connections that were opened before one of the requests was sent.
    :ivar is_doubted: the port is closed, but that may be due to this host.
    :ivar is_proven: set once another host has found that the target has ended.
    :ivar verdict: finds out whether the target has ended.
    """

    run: TargetRun
    lost_at: float
    requests: list[InterruptedRequest] = field(default_factory=list)
    guards: GuardConnections | None = None
    is_doubted: bool = False
    is_proven: asyncio.Event = field(default_factory=asyncio.Event)
    verdict: asyncio.Task[bool] | None = None

    @property
    def is_confirmed(self) -> bool:
        """Return whether the target is known to have ended."""
        return self._has_verdict(True)

    @property
    def is_refuted(self) -> bool:
        """Return whether the target was found alive."""
        return self._has_verdict(False)

    def _has_verdict(self, has_ended: bool) -> bool:
        verdict = self.verdict
        if verdict is None or not verdict.done() or verdict.cancelled():
            return False
        return verdict.result() is has_ended


class _Losses(Struct):
    """How often a request was lost.

    :ivar since: when it was first lost, in monotonic seconds.
    """

    since: float
    count: int = 0


class CrashWatch:
    """Records the ends of targets and the requests that they ran.

    :ivar send_notes: sends notes to other hosts.
    :ivar count_verdict: called with each verdict on a target that broke requests off.
    :ivar may_decide_trials: returns whether this host is the only one that now lets
        requests run on trial.
    """

    def __init__(
        self, clock: Clock, directory: Directory, probes: EngineProbes
    ) -> None:
        self.send_notes: Callable[[CrashNotes], None] = lambda _: None
        self.count_verdict: Callable[[ServiceName, EndVerdict], None] = lambda _, __: (
            None
        )
        self.may_decide_trials: Callable[[], bool] = lambda: False
        self._clock = clock
        self._directory = directory
        self._probes = probes
        self._parts = PartLedger()
        self._ledger = CrashLedger(self._parts.explains)
        self._runs = TargetRuns()
        self._interruptions: dict[TargetRun, _Interruption] = {}
        self._lost: dict[Fingerprint, _Losses] = {}
        """Requests that plain targets have lost without an end that is known, in the
        order in which they were lost first."""
        self._undecided: set[_Interruption] = set()
        """Those without a verdict yet."""
        self._urgent_sent_at = float("-inf")
        self._logged_holds: frozenset[PromptPart] = frozenset()
        self._logged_requests: frozenset[Fingerprint] = frozenset()

    @property
    def checksum(self) -> int:
        """Return a checksum of the notes, equal on hosts that have the same ones."""
        return self._ledger.checksum ^ self._parts.checksum

    @property
    def is_empty(self) -> bool:
        """Return whether no request or part of a prompt is suspected."""
        return not len(self._ledger) and self._parts.is_empty

    @property
    def has_lost_requests(self) -> bool:
        """Return whether targets have lost requests that have not run since.

        Otherwise no fingerprint of a request is needed.
        """
        self._expire_lost()
        return bool(self._lost or self._undecided) or not self.is_empty

    def stop(self) -> None:
        """Give up the verdicts that are still open."""
        for item in self._undecided:
            if item.verdict is not None:
                item.verdict.cancel()

    def find_hold(self, fingerprint: Fingerprint) -> Hold | None:
        """Return the hold on a request, or ``None`` if it may run."""
        return self._ledger.find_hold(fingerprint, self._clock.monotonic())

    def find_part_hold(
        self, parts: Sequence[PromptPart], account: AccountId | None
    ) -> Hold | None:
        """Return the hold on requests of an account with these parts, if any."""
        return self._parts.find_hold(parts, account, self._clock.monotonic())

    def begin_trial(self, hold: Hold) -> bool:
        """Return whether a request may run although it is on hold, as a trial."""
        if hold.part is None or not self.may_decide_trials():
            return False
        return self._parts.may_try(hold.part, self._clock.monotonic())

    def is_suspect(self, fingerprint: Fingerprint) -> bool:
        """Return whether a request was lost lately, without having run since."""
        return fingerprint in self._lost or self._ledger.has_record(fingerprint)

    def is_lost_again(self, fingerprint: Fingerprint) -> bool:
        """Return whether that happened more than once, for reasons unknown so far."""
        losses = self._lost.get(fingerprint)
        return losses is not None and losses.count > 1

    async def note_cut_off(
        self,
        request: InterruptedRequest,
        target: Target,
        guards: GuardConnections | None = None,
    ) -> None:
        """Record that a target broke a request off, perhaps because it ended.

        If the request may be the cause, this waits for the verdict on the target, for
        at most ``VERDICT_SECONDS``.

        :param guards: connections that were opened before the request was sent.
        """
        row = self._directory.registry.rows.get(target.id)
        if row is None or row.leaving:
            return
        start = self._identify_run(target.id, row.born)
        interruption = self._get_interruption(start)
        interruption.requests.append(request)
        if guards is not None:
            interruption.guards = guards
        if interruption.verdict is None:
            interruption.verdict = asyncio.create_task(
                self._confirm_end(start, target, interruption)
            )
            self._undecided.add(interruption)
        elif interruption.is_confirmed:
            self._note_end(start, interruption.requests, interruption.lost_at)
        if not request.had_event or self._ledger.has_record(request.fingerprint):
            await asyncio.wait({interruption.verdict}, timeout=VERDICT_SECONDS)

    def has_ended(self, target: TargetId) -> bool:
        """Return whether a target that broke requests off is known to have ended."""
        return any(
            start.target == target and item.is_confirmed
            for start, item in self._interruptions.items()
        )

    def _identify_run(self, target: TargetId, born: int) -> TargetRun:
        """Return the run of a target that has just broken a request off."""
        now = self._clock.monotonic()
        if not born:
            self._runs.expire(now)
            born = -round(self._clock.wall() * 1000)
        alive_at = self._probes.get_accepted_at(target)
        return self._runs.identify(TargetRun(target, born), now, alive_at)

    def _get_interruption(self, start: TargetRun) -> _Interruption:
        """Return a target's current interruption, a new one if it was found alive."""
        interruption = self._interruptions.get(start)
        if interruption is None or interruption.is_refuted:
            interruption = _Interruption(start, self._clock.monotonic())
            self._interruptions[start] = interruption
            loop = asyncio.get_running_loop()
            loop.call_later(
                LATE_REPORT_SECONDS, self._forget_interruption, start, interruption
            )
        return interruption

    def _forget_interruption(
        self, start: TargetRun, interruption: _Interruption
    ) -> None:
        if self._interruptions.get(start) is interruption:
            del self._interruptions[start]

    def note_served(self, fingerprint: Fingerprint) -> None:
        """Record that a request has run to completion, which clears it of suspicion."""
        for item in self._undecided:
            item.requests = [
                request
                for request in item.requests
                if request.fingerprint != fingerprint
            ]
        self._lost.pop(fingerprint, None)
        if self._ledger.note_completed(fingerprint, self._clock.monotonic()):
            logger.info("suspicion_cleared", fingerprint=fingerprint)

    def note_answering(self, service: ServiceName, parts: Sequence[PromptPart]) -> None:
        """Record that a target answers a request with these parts, which clears
        them."""
        if self._parts.note_answered(service, parts, self._clock.monotonic()):
            logger.info("parts_cleared", parts=[item.id for item in parts])
            self._log_changed_holds()

    def list_notes(self) -> CrashNotes:
        """Return all notes that a host without any must get."""
        now = self._clock.monotonic()
        return CrashNotes(self._ledger.list_notes(now), self._parts.list_notes(now))

    def merge_notes(self, notes: CrashNotes, passes_on: bool = True) -> None:
        """Merge notes of another host, and forward new holds at once.

        :param passes_on: whether this host passes on news on parts of prompts.
        """
        now = self._clock.monotonic()
        self._parts.expire(now)
        self._runs.expire(now)
        parts = [
            replace(item, ends=self._identify_ends(item.ends, now))
            for item in notes.parts
        ]
        self._parts.merge(parts, now, passes_on)
        suspects = [
            replace(item, ends=self._identify_ends(item.ends, now))
            for item in notes.notes
        ]
        self._ledger.merge(suspects, now)
        self._log_changed_holds()
        self._send_if_urgent()

    def _identify_ends(self, ends: Iterable[EndT], now: float) -> tuple[EndT, ...]:
        """Return ends that another host has found, with the runs of targets as this
        host knows them."""
        known = []
        for item in ends:
            run = TargetRun(item.target, item.born)
            run = self._runs.identify(run, now - item.age)
            self._note_proof(run)
            known.append(replace(item, born=run.born))
        return tuple(known)

    def _note_proof(self, run: TargetRun) -> None:
        """Record that another host has found that a target has ended."""
        for item in self._undecided:
            if item.run == run:
                item.is_proven.set()

    def send_pending_notes(self) -> None:
        """Send other hosts the notes that are new since the last time, if any."""
        now = self._clock.monotonic()
        self._urgent_sent_at = now
        notes = CrashNotes(
            self._ledger.take_unsent_notes(now), self._parts.take_unsent_notes(now)
        )
        if notes.notes or notes.parts:
            self.send_notes(notes)

    def _send_if_urgent(self) -> None:
        """Send pending notes at once if a request was put on hold, or soon if a part of
        a prompt may be.

        Notes on mere suspects wait and go together, as the loss of a rack leaves
        hundreds of them.
        """
        is_due = self._clock.monotonic() - self._urgent_sent_at >= URGENT_SECONDS
        if self._ledger.has_unsent_hold or (is_due and self._parts.has_urgent_notes):
            self.send_pending_notes()

    def _log_changed_holds(self) -> None:
        """Log the requests that were put on hold, and the parts of prompts that were
        put on hold or taken off it."""
        self._log_held_requests()
        held, known = self._parts.held_parts, self._logged_holds
        self._logged_holds = held
        for part in held - known:
            logger.warning("part_on_hold", service=part.service, part=part.id)
        for part in known - held:
            logger.info("part_released", service=part.service, part=part.id)

    async def _confirm_end(
        self, start: TargetRun, target: Target, interruption: _Interruption
    ) -> bool:
        """Return whether a target has ended; if so, record the requests that it ran.

        A reset connection, a cut link or a slow target is not an end.
        """
        try:
            verdict = await self._judge_end(start, target, interruption)
        finally:
            self._undecided.discard(interruption)
        if verdict is not EndVerdict.ENDED:
            logger.info(
                "target_not_ended",
                target=start.target,
                verdict=verdict.value,
                requests=len(interruption.requests),
            )
            if not target.accelerator:
                self._note_lost(interruption.requests)
            return False
        self._note_end(start, interruption.requests, interruption.lost_at)
        if interruption.guards is not None:
            # Targets that are back at once don't slow the request down.
            self.send_pending_notes()
        logger.info(
            "target_ended",
            target=start.target,
            born=start.born,
            requests=len(interruption.requests),
            without_event=[
                item.fingerprint for item in interruption.requests if not item.had_event
            ][:MAX_LOGGED_FINGERPRINTS],
            parts=_count_parts(interruption.requests),
        )
        return True

    async def _judge_end(
        self, start: TargetRun, target: Target, interruption: _Interruption
    ) -> EndVerdict:
        """Return the verdict on a target, which may take ``DOUBT_SECONDS``."""
        verdict = await self._probes.judge_end(target, start.born)
        if verdict is not EndVerdict.ENDED and interruption.guards is not None:
            is_refused = verdict is EndVerdict.DOUBTED
            if await interruption.guards.has_target_ended(is_refused):
                verdict = EndVerdict.ENDED
        self.count_verdict(target.service, verdict)
        if verdict is EndVerdict.DOUBTED and self._count_doubted() < MAX_DOUBTED:
            interruption.is_doubted = True
            logger.info("end_doubted", target=start.target, born=start.born)
            until = interruption.lost_at + DOUBT_SECONDS
            verdict = await self._probes.settle_end(
                target, start.born, interruption.lost_at, until
            )
            if verdict is not EndVerdict.ENDED:
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(until - self._clock.monotonic()):
                        await interruption.is_proven.wait()
                        verdict = EndVerdict.ENDED
            self.count_verdict(target.service, verdict)
        if verdict is EndVerdict.ENDED:
            await asyncio.sleep(SETTLE_SECONDS)
        return verdict

    def _note_lost(self, requests: list[InterruptedRequest]) -> None:
        """Record requests that a target has lost, perhaps without an end of it."""
        now = self._clock.monotonic()
        for item in requests:
            if not item.had_event:
                losses = self._lost.setdefault(item.fingerprint, _Losses(now))
                losses.count += 1
        while len(self._lost) > MAX_LOST:
            del self._lost[next(iter(self._lost))]

    def _expire_lost(self) -> None:
        now = self._clock.monotonic()
        while self._lost:
            oldest = next(iter(self._lost))
            if now - self._lost[oldest].since < LOST_SECONDS:
                return
            del self._lost[oldest]

    def _count_doubted(self) -> int:
        return sum(item.is_doubted for item in self._undecided)

    def _note_end(
        self, start: TargetRun, requests: list[InterruptedRequest], at: float
    ) -> None:
        """Record the end of a target and the requests that it ran.

        :param at: when it ended, in monotonic seconds.
        """
        self._parts.expire(at)
        self._parts.note_crash(start, requests, at)
        self._ledger.note_crash(start, requests, at)
        self._log_changed_holds()
        self._send_if_urgent()

    def _log_held_requests(self) -> None:
        """Log the requests that were put on hold since the last time."""
        held, known = self._ledger.list_held(), self._logged_requests
        self._logged_requests = held
        for fingerprint in held - known:
            hold = self.find_hold(fingerprint)
            if hold is not None:
                logger.warning(
                    "request_on_hold",
                    fingerprint=fingerprint,
                    ends=[(name, round(age, 2)) for name, age in hold.ends],
                )


def _count_parts(requests: list[InterruptedRequest]) -> list[tuple[PromptPartId, int]]:
    """Return the parts of requests without an event, the most frequent ones first."""
    counts = Counter(
        part.id for item in requests if not item.had_event for part in item.parts
    )
    return counts.most_common(MAX_LOGGED_PARTS)
