"""Requests the status of engines and finds the cause when one does not answer.

If an engine is silent, other engines are probed as controls: their answers show whether
the engine, the path to its data centre or this host is at fault.
"""

import asyncio
import math
from collections.abc import Callable, Coroutine
from typing import Any, Generic, TypeVar

from marigoldswitch.core.catalogue import Target
from marigoldswitch.core.contact import TargetContact
from marigoldswitch.core.ids import DataCentre, TargetId
from marigoldswitch.core.interruptions import EndVerdict
from marigoldswitch.core.local_health import Cause, LocalHealth
from marigoldswitch.core.ports import Clock
from marigoldswitch.gateway.directory import Directory
from marigoldswitch.gateway.ports import (
    EngineAnswer,
    EngineControl,
    EngineGone,
    EngineSilent,
    EngineStatus,
    EngineWithoutReport,
)
from marigoldswitch.gateway.service_contacts import ServiceContacts
from marigoldswitch.gateway.witnesses import Witnesses

TRY_TIMEOUTS = (0.025, 0.035)
"""Timeouts of the first two tries, in seconds. Live engines answer in 2 to 6 ms, and
waiting requests are late after 200 ms. A link that loses 3 % of its packets fails one
try in 16 and both in 250."""
HOST_PAUSE_SECONDS = 0.04
"""Tries that end this much later than they should were delayed by a pause of this host
and say nothing about the engine."""
LAST_TRY_TIMEOUT = 0.15
"""Timeout of the third try, in seconds. It is made if no other engine in the data
centre has answered or if this host was paused. A relay's link of 20 Mbit/s needs 85 ms
to pass on a new configuration. With the first two tries, a partitioned data centre is
detected after 0.21 s."""
MIN_ASK_INTERVAL = 0.03
MAX_ASK_INTERVAL = 0.25
"""First and longest interval of questions to other targets while nobody can tell if
a target has ended."""


AnswerT = TypeVar("AnswerT")


class EngineStatusReader:
    """Requests the status of engines until they answer or their silence is explained.

    :param get_last_event_time: returns when an event last arrived through an engine, in
        monotonic seconds.
    :ivar health: recent answers, by which the cause of a silence is determined.
    """

    def __init__(
        self,
        engines: EngineControl,
        directory: Directory,
        clock: Clock,
        contact: TargetContact,
        services: ServiceContacts,
        witnesses: Witnesses,
        get_last_event_time: Callable[[TargetId], float],
    ) -> None:
        self.health = LocalHealth()
        self._engines = engines
        self._directory = directory
        self._clock = clock
        self._contact = contact
        self._services = services
        self._witnesses = witnesses
        self._get_last_event_time = get_last_event_time
        self._control_probes: dict[DataCentre, asyncio.Future[Any]] = {}
        """Running probes of control engines, at most one for each data centre."""

    async def read_status(self, target: Target) -> EngineStatus | Cause:
        """Return the status of an engine, or the cause of its silence.

        Takes up to 0.06 s if others in its data centre answer meanwhile, else up to
        0.21 s.
        """
        began = self._clock.monotonic()
        tries: _ConcurrentTries[EngineAnswer] = _ConcurrentTries()
        try:
            answer = await self._try_up_to_three_times(target, began, tries)
        finally:
            tries.cancel_pending()
        match answer:
            case EngineStatus():
                return answer
            case EngineGone():
                return Cause.GONE
        now = self._clock.monotonic()
        return self.health.explain_silence(target.data_centre, began, now)

    async def _try_up_to_three_times(
        self, target: Target, began: float, tries: "_ConcurrentTries[EngineAnswer]"
    ) -> EngineAnswer | None:
        """Return the first answer to up to three tries; earlier tries keep running.

        On a link that is congested for 0.1 s the first tries are answered late. If they
        were cancelled, each new one would queue behind all waiting traffic and need an
        extra round trip for a new connection.
        """
        left = sum(TRY_TIMEOUTS) + LAST_TRY_TIMEOUT
        answer = await tries.run(self._try(target, left), TRY_TIMEOUTS[0])
        if answer is None:
            self._probe_controls(target, began)
            left -= TRY_TIMEOUTS[0]
            answer = await tries.run(self._try(target, left), TRY_TIMEOUTS[1])
        if answer is None and not self._is_explained(target, began):
            last = self._try(target, LAST_TRY_TIMEOUT)
            answer = await tries.run(last, LAST_TRY_TIMEOUT)
        return answer

    async def read_status_once(self, target: Target) -> EngineStatus | None:
        """Return the status of an engine that was silent before, with a single try."""
        answer = await self._try(target, sum(TRY_TIMEOUTS))
        return answer if isinstance(answer, EngineStatus) else None

    async def judge_end(self, target: Target, born: int) -> EndVerdict:
        """Return whether the process of a target has certainly ended.

        It has if another process answers at its port, such as a later start of the
        engine, or if the port is closed and another target takes a connection between
        two refusals: this host is not cut off then. Silence proves nothing.

        :param born: start of the process, in ms since 1970; 0 or less if unknown.
        """
        verdict = EndVerdict.SILENT
        for seconds in TRY_TIMEOUTS:
            verdict = await self._probe_end(target, born, seconds)
            if verdict is EndVerdict.DOUBTED:
                verdict = await self._confirm_refusal(target, born, 0.0)
            if verdict is not EndVerdict.SILENT:
                return verdict
            # It may have closed its streams but not its port yet.
            await asyncio.sleep(seconds)
        return verdict

    async def settle_end(
        self, target: Target, born: int, lost_at: float, until: float
    ) -> EndVerdict:
        """Return what becomes known of a target whose end is in doubt.

        :param lost_at: when it broke requests off, in monotonic seconds.
        :param until: when to give up.
        """
        verdict, interval = EndVerdict.DOUBTED, MIN_ASK_INTERVAL
        while verdict is EndVerdict.DOUBTED and self._clock.monotonic() < until:
            verdict = await self._confirm_refusal(target, born, interval, lost_at)
            interval = min(2.0 * interval, MAX_ASK_INTERVAL)
        return verdict

    async def _confirm_refusal(
        self, target: Target, born: int, seconds: float, lost_at: float = math.inf
    ) -> EndVerdict:
        """Return what a target that has refused a connection does once another one has
        taken one.

        :param seconds: how long to wait for that.
        :param lost_at: when the target broke requests off, if it may have been back
            since.
        """
        if self._directory.registry.has_successor(target):
            return EndVerdict.ENDED
        refused_at = self._clock.monotonic()
        if not await self._witnesses.wait(target, refused_at, seconds):
            return EndVerdict.DOUBTED
        verdict = await self._probe_end(target, born, sum(TRY_TIMEOUTS))
        if verdict is not EndVerdict.DOUBTED:
            return verdict
        if self._witnesses.get_accepted_at(target.id) > lost_at:
            # It was back in between, so that this is another end.
            return EndVerdict.ANSWERED
        return EndVerdict.ENDED

    async def _probe_end(self, target: Target, born: int, seconds: float) -> EndVerdict:
        """Return what one probe shows; a closed port alone leaves the end in doubt."""
        asked = self._clock.monotonic()
        has_ended = False
        match await self._engines.read(target.address, seconds):
            case EngineGone():
                now = self._clock.monotonic()
                self._note_silence(target, asked, now, is_refused=True)
                return EndVerdict.DOUBTED
            case EngineWithoutReport(has_reports):
                has_ended = bool(target.accelerator) and not has_reports
            case EngineStatus(born=found):
                has_ended = found > born > 0
            case _:
                return EndVerdict.SILENT
        return EndVerdict.ENDED if has_ended else EndVerdict.ANSWERED

    def _note_silence(
        self, target: Target, began: float, now: float, is_refused: bool
    ) -> None:
        self._contact.note_silence(target.id, began, now, is_refused)
        self._services.note_silence(target, began, now, is_refused)

    def _is_explained(self, target: Target, began: float) -> bool:
        """Return whether two tries are enough to consider an engine dead."""
        now = self._clock.monotonic()
        was_paused = now - began > sum(TRY_TIMEOUTS) + HOST_PAUSE_SECONDS
        cause = self.health.explain_silence(target.data_centre, began, now)
        return cause is Cause.TARGET and not was_paused

    async def _try(
        self, target: Target, seconds: float
    ) -> EngineStatus | EngineGone | None:
        asked = self._clock.monotonic()
        answer = await self._engines.read(target.address, seconds)
        now = self._clock.monotonic()
        if isinstance(answer, EngineSilent):
            return None
        if answer is None or isinstance(answer, EngineGone):
            self._note_silence(target, asked, now, answer is not None)
        if answer is not None:
            self.health.note_answer(target.data_centre, asked, now)
        return (
            _interpret(target, answer)
            if isinstance(answer, EngineWithoutReport)
            else answer
        )

    def _probe_controls(self, target: Target, since: float) -> None:
        """Probe other engines to find out whether this host gets answers at all.

        Chooses one engine in the same data centre and one elsewhere, each the one with
        the most recent event.
        """
        home = target.data_centre
        if self.health.has_answered(home, since):
            return
        others = self._list_control_candidates(target)
        near = [item for item in others if item.data_centre == home]
        far = [item for item in others if item.data_centre != home]
        for among in (near, far):
            if among:
                self._start_control_probe(max(among, key=self._rank_by_last_event))

    def _list_control_candidates(self, target: Target) -> list[Target]:
        """Return the other engines that are not known to be dead."""
        suspects, now = self._directory.suspects, self._clock.monotonic()
        return [
            item
            for item in self._directory.registry.list_engines()
            if item.id != target.id and not suspects.is_dead(item.id, now)
        ]

    def _rank_by_last_event(self, target: Target) -> tuple[float, TargetId]:
        return self._get_last_event_time(target.id), target.id

    def _start_control_probe(self, control: Target) -> None:
        centre = control.data_centre
        if centre not in self._control_probes:
            work = self._try(control, TRY_TIMEOUTS[1] + LAST_TRY_TIMEOUT)
            task = asyncio.ensure_future(work)
            self._control_probes[centre] = task
            task.add_done_callback(lambda _: self._control_probes.pop(centre))


class _ConcurrentTries(Generic[AnswerT]):
    """Tries for one answer; earlier ones keep running beside later ones."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Future[AnswerT | None]] = set()

    async def run(
        self, work: Coroutine[Any, Any, AnswerT | None], seconds: float
    ) -> AnswerT | None:
        """Start one more try and return the first answer of any, or ``None``.

        Returns early if all tries have ended without an answer.

        :param work: the try.
        :param seconds: how long to wait for an answer.
        """
        self._tasks.add(asyncio.ensure_future(work))
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        while self._tasks and (left := until - loop.time()) > 0.0:
            done, self._tasks = await asyncio.wait(
                self._tasks, timeout=left, return_when=asyncio.FIRST_COMPLETED
            )
            for task in done:
                if (answer := task.result()) is not None:
                    return answer
        return None

    def cancel_pending(self) -> None:
        """Cancel the tries that are still running."""
        for task in self._tasks:
            task.cancel()


def build_default_status(target: Target) -> EngineStatus:
    """Return the status to assume for a live target that sent no report."""
    return EngineStatus(target.layers, False, 0)


def _interpret(
    target: Target, answer: EngineWithoutReport
) -> EngineStatus | EngineGone:
    """Return what an answer without a report implies about a target.

    Addresses are reused: an engine whose address now answers with 404 has ended and
    must not count as alive.
    """
    if target.accelerator and not answer.has_reports:
        return EngineGone()
    return build_default_status(target)
