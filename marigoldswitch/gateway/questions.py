"""Asks engines what they are doing, and others beside those that are silent."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, Generic, TypeVar

from marigoldswitch.core.catalogue import Target
from marigoldswitch.core.ids import DataCentre, TargetId
from marigoldswitch.core.local_health import Cause, LocalHealth
from marigoldswitch.core.ports import Clock
from marigoldswitch.gateway.directory import Directory
from marigoldswitch.gateway.ports import (
    EngineAnswer,
    EngineControl,
    EngineGone,
    EngineMute,
    EngineStatus,
)

TRY_TIMEOUTS = (0.025, 0.035)
"""Longest time for the answers to two tries: live engines take 2 to 6 ms,
and what waits is late after 200 ms. A link that loses 3 % of its packets fails one try
in 16 and both in 250."""
HOST_PAUSE_SECONDS = 0.04
"""A try that ends this much later than it should was held up by a pause of this host;
it says nothing of the engine."""
LAST_TRY_TIMEOUT = 0.15
"""Longest time for the last try, made where nobody else has answered this host either:
a link of 20 Mbit/s needs 85 ms for what a relay sends when a configuration is new. With
the first two tries a data centre that is cut off is found out after 0.21 s."""


AnswerT = TypeVar("AnswerT")


class EngineStatusReader:
    """Asks engines until they answer or their silence is explained.

    :param get_last_event_time: when an engine has last shown that it lives.
    """

    def __init__(
        self,
        engines: EngineControl,
        directory: Directory,
        clock: Clock,
        get_last_event_time: Callable[[TargetId], float],
    ) -> None:
        self.health = LocalHealth()
        self._engines = engines
        self._directory = directory
        self._clock = clock
        self._get_last_event_time = get_last_event_time
        self._control_probes: dict[DataCentre, asyncio.Future[Any]] = {}
        """Questions to engines that tell of this host, one a data centre at a time."""

    async def read_status(self, target: Target) -> EngineStatus | Cause:
        """Return what an engine says, or to what its silence is put down.

        Takes up to 0.06 s where others have answered meanwhile, else up to 0.21 s.
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
        """Return the answer to any of up to three tries, none of which is given up.

        On a link that is full for 0.1 s the first ones are answered late: given up,
        each next one begins anew behind all that waits, on a new connection, which has
        the way to go twice.
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
        """Return what an engine says that has been silent before."""
        answer = await self._try(target, sum(TRY_TIMEOUTS))
        return answer if isinstance(answer, EngineStatus) else None

    async def has_ended(self, target: Target, born: int) -> bool:
        """Tell whether the process of a target has certainly ended.

        Its port is closed, or a later start answers there. Silence proves nothing.

        :param born: when it started, in ms since 1970; 0 where it is not known.
        """
        for seconds in TRY_TIMEOUTS:
            match await self._engines.read(target.address, seconds):
                case EngineGone():
                    return True
                case EngineMute(has_reports):
                    return bool(target.accelerator) and not has_reports
                case EngineStatus(born=found):
                    return found > born > 0
            # It may have cut its streams off and not closed its port yet.
            await asyncio.sleep(seconds)
        return False

    def _is_explained(self, target: Target, began: float) -> bool:
        """Tell whether two tries are enough to call an engine dead."""
        now = self._clock.monotonic()
        was_paused = now - began > sum(TRY_TIMEOUTS) + HOST_PAUSE_SECONDS
        cause = self.health.explain_silence(target.data_centre, began, now)
        return cause is Cause.TARGET and not was_paused

    async def _try(
        self, target: Target, seconds: float
    ) -> EngineStatus | EngineGone | None:
        asked = self._clock.monotonic()
        answer = await self._engines.read(target.address, seconds)
        if answer is not None:
            now = self._clock.monotonic()
            self.health.note_answer(target.data_centre, asked, now)
        return _interpret_missing_report(target, answer) if isinstance(answer, EngineMute) else answer

    def _probe_controls(self, target: Target, since: float) -> None:
        """Find out whether this host gets any answers in time.

        Asks one engine of the same data centre and one of another, those that have
        shown themselves last.
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
        """Return the other engines of which nothing bad is known."""
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
    """Tries to get one answer; each goes on beside those that follow."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Future[AnswerT | None]] = set()

    async def run(
        self, work: Coroutine[Any, Any, AnswerT | None], seconds: float
    ) -> AnswerT | None:
        """Begin one more; return the answer of any that comes within some time.

        Returns at once where all have ended without one.
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
        """Give up those that still wait."""
        for task in self._tasks:
            task.cancel()


def build_default_status(target: Target) -> EngineStatus:
    """Return the status of a target that lives and of which no more is known."""
    return EngineStatus(target.layers, False, 0)


def _interpret_missing_report(target: Target, answer: EngineMute) -> EngineStatus | EngineGone:
    """Return what an answer that is no report says of a target.

    Addresses are used again: a 404 for an ended engine had it taken for alive.
    """
    if target.accelerator and not answer.has_reports:
        return EngineGone()
    return build_default_status(target)
