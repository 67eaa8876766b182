"""Probes engines that appear silent, with one shared probe for all waiting requests."""

import asyncio
from collections.abc import Coroutine, Iterable
from typing import Any

import structlog

from marigoldswitch.core.catalogue import Target
from marigoldswitch.core.contact import TargetContact
from marigoldswitch.core.gaps import HostGaps
from marigoldswitch.core.ids import DataCentre, TargetId
from marigoldswitch.core.interruptions import EndVerdict
from marigoldswitch.core.local_health import Cause
from marigoldswitch.core.ports import Clock
from marigoldswitch.core.suspects import Finding
from marigoldswitch.gateway.directory import Directory
from marigoldswitch.gateway.planner import ChainPlanner
from marigoldswitch.gateway.ports import EngineControl, EngineStatus
from marigoldswitch.gateway.questions import EngineStatusReader, build_default_status
from marigoldswitch.gateway.service_contacts import ServiceContacts
from marigoldswitch.gateway.witnesses import Witnesses

logger = structlog.get_logger(__name__)

STATUS_CACHE_SECONDS = 0.1
"""Time for which a status is reused for other requests. Dozens of streams pass through
an engine and notice its silence at the same time."""
RECHECK_INTERVAL = 0.6
"""Minimum time between two probes of an engine that was found dead. Shorter than its
exclusion, so that no request has to find out whether it is alive."""
NEVER = float("-inf")
SLOW_FACTOR = 1.3
"""Slowness from which an engine counts as slow; lower values are noise."""

CONFIRM_SECONDS = 0.02
"""Time to wait for the probe of an engine that reset a stream. The closed port of one
that has ended answers within 1 ms, unless this host is busy."""
SURVEY_SECONDS = 0.01
"""Time to wait for probes after a loss; live engines answer in 2 to 6 ms. A stream that
is sent to a lost engine instead is refused in about 2 ms, but each refusal costs a
retry, and three quarters of all chains contain one of four lost engines."""
LATE_EVENT_SECONDS = 0.02
"""Time after which events of an engine that has ended no longer arrive. One that
delivers later events than that after a probe began is alive, although the probe was
lost: all its streams would move away from it."""
SURVEY_INTERVAL = 0.3
"""Minimum time between two surveys of a data centre; one loss is noticed within it."""


class EngineProbes:
    """Probes suspected engines and caches their status for a short time."""

    def __init__(
        self,
        engines: EngineControl,
        directory: Directory,
        planner: ChainPlanner,
        clock: Clock,
        contact: TargetContact,
        services: ServiceContacts,
        witnesses: Witnesses,
    ) -> None:
        self._contact = contact
        self._witnesses = witnesses
        self._directory = directory
        self._planner = planner
        self._clock = clock
        self._status_reader = EngineStatusReader(
            engines,
            directory,
            clock,
            contact,
            services,
            witnesses,
            self._get_last_event_time,
        )
        self.gaps = HostGaps()
        """Gaps between the events of all streams, used to detect silence."""
        self._recheck_count = 0
        """Rechecks of silent data centres; rotates through their engines."""
        self._running_probes: dict[TargetId, asyncio.Task[EngineStatus | None]] = {}
        self._background_checks: dict[
            TargetId, asyncio.Future[EngineStatus | None]
        ] = {}
        self._cached_statuses: dict[TargetId, tuple[float, EngineStatus | None]] = {}
        self._probed_at: dict[TargetId, float] = {}
        """When each engine was last probed."""
        self._last_event_at: dict[TargetId, float] = {}
        """When an event last arrived over a chain through each engine."""
        self._surveyed_at: dict[DataCentre, float] = {}
        """When the engines of each data centre were last probed after a loss."""
        self._prompt_answer_at = NEVER
        """When a chain of this host last delivered its first event in good time."""

    def note_alive(self, targets: Iterable[TargetId]) -> None:
        """Record that an event has just arrived over these engines."""
        now = self._clock.monotonic()
        for name in targets:
            self._last_event_at[name] = now

    def note_prompt_answer(self) -> None:
        """Record that a chain has just delivered its first event in good time."""
        self._prompt_answer_at = self._clock.monotonic()

    def has_prompt_answer(self, since: float) -> bool:
        """Return whether any chain delivered its first event in good time since a
        moment.

        Otherwise this host itself may be what makes answers late.
        """
        return self._prompt_answer_at > since

    def is_alive(self, target: TargetId, since: float) -> bool:
        """Return whether an event has arrived through an engine since a moment.

        :param since: in monotonic seconds.
        """
        return self._get_last_event_time(target) > since

    def has_served(self, target: TargetId) -> bool:
        """Return whether an event has ever arrived through an engine."""
        return target in self._last_event_at

    def _get_last_event_time(self, target: TargetId) -> float:
        return self._last_event_at.get(target, NEVER)

    async def check(self, target: Target) -> EngineStatus | None:
        """Return the status of an engine, or ``None`` if it is dead.

        A silent engine is marked dead unless the silence may be due to this host.
        """
        now = self._clock.monotonic()
        if self._directory.suspects.is_dead(target.id, now):
            return None
        seen = self._cached_statuses.get(target.id)
        if seen is not None and now - seen[0] < STATUS_CACHE_SECONDS:
            return seen[1]
        return await asyncio.shield(self._get_or_start_probe(target))

    async def has_ended(self, target: Target, born: int) -> bool:
        """Return whether the process of a target has certainly ended.

        :param born: start of the process, in ms since 1970; 0 or less if unknown.
        """
        return await self.judge_end(target, born) is EndVerdict.ENDED

    async def judge_end(self, target: Target, born: int) -> EndVerdict:
        """Return what a probe finds out about a target that broke a request off.

        :param born: start of the process, in ms since 1970; 0 or less if unknown.
        """
        return await self._status_reader.judge_end(target, born)

    def get_accepted_at(self, target: TargetId) -> float:
        """Return when the last connection was begun that a target has taken.

        In monotonic seconds; minus infinity if none is known.
        """
        return self._witnesses.get_accepted_at(target)

    async def settle_end(
        self, target: Target, born: int, lost_at: float, until: float
    ) -> EndVerdict:
        """Return what becomes known of a target whose end is in doubt.

        :param born: start of the process, in ms since 1970; 0 or less if unknown.
        :param lost_at: when it broke requests off, in monotonic seconds.
        :param until: when to give up.
        """
        return await self._status_reader.settle_end(target, born, lost_at, until)

    def _get_or_start_probe(self, target: Target) -> asyncio.Task[EngineStatus | None]:
        task = self._running_probes.get(target.id)
        return task or self._start_task(target, self._probe(target))

    def _start_task(
        self, target: Target, work: Coroutine[Any, Any, EngineStatus | None]
    ) -> asyncio.Task[EngineStatus | None]:
        task = asyncio.create_task(work)
        self._running_probes[target.id] = task
        task.add_done_callback(lambda _: self._running_probes.pop(target.id, None))
        return task

    def recheck_dead(self) -> None:
        """Probe the engines that were found dead and are due for a recheck.

        None is probed while this host is cut off: the findings lapse by themselves. One
        probe stands for all engines of a silent data centre. Otherwise a partition
        would cost a probe for each pair of host and engine in every round.
        """
        if self._contact.is_lost:
            return
        now = self._clock.monotonic()
        due: dict[DataCentre, list[Target]] = {}
        lost: dict[DataCentre, list[Target]] = {}
        for name in self._directory.suspects.list_dead(now):
            row = self._directory.registry.rows.get(name)
            if row is None or not row.target.accelerator:
                continue
            target = row.target
            lost.setdefault(target.data_centre, []).append(target)
            if self._is_due(name, now):
                due.setdefault(target.data_centre, []).append(target)
        for centre, engines in due.items():
            if self._is_centre_silent(centre, now - 2.0 * RECHECK_INTERVAL):
                # Rotate: an engine that is gone for good says nothing of the others.
                self._recheck_count += 1
                chosen = engines[self._recheck_count % len(engines)]
                self._start_recheck(chosen, lost[centre])
                continue
            for item in engines:
                self._start_recheck(item, [item])

    def _is_centre_silent(self, centre: DataCentre, since: float) -> bool:
        """Return whether no engine of a data centre was heard since a moment."""
        if self._status_reader.health.has_answered(centre, since):
            return False
        return not any(
            self.is_alive(item.id, since)
            for item in self._directory.registry.list_engines()
            if item.data_centre == centre
        )

    def _is_due(self, target: TargetId, now: float) -> bool:
        looked = self._probed_at.setdefault(target, now)
        return now - looked >= RECHECK_INTERVAL

    def _start_recheck(self, target: Target, group: list[Target]) -> None:
        """Probe one engine on behalf of a group, unless it is already being probed."""
        if target.id in self._running_probes:
            return
        now = self._clock.monotonic()
        for item in group:
            self._probed_at[item.id] = now
        self._start_task(target, self._recheck(target, group))

    async def _recheck(
        self, target: Target, group: list[Target]
    ) -> EngineStatus | None:
        """Probe an engine once; if it answers, probe the rest of its group as well."""
        status = await self._status_reader.read_status_once(target)
        now = self._clock.monotonic()
        if status is None:
            for item in group:
                self._directory.suspects.note(item.id, Finding.DEAD, now)
            return None
        self._record_status(target, status, now)
        for item in group:
            if item is not target:
                self._start_recheck(item, [item])
        return status

    def check_in_background(self, target: Target) -> None:
        """Probe an engine that a peer reports as silent, without waiting for it."""
        if target.id not in self._background_checks:
            task = asyncio.ensure_future(self.check(target))
            self._background_checks[target.id] = task
            task.add_done_callback(
                lambda _: self._background_checks.pop(target.id, None)
            )

    def list_unheard(self, lost: Target, since: float) -> frozenset[TargetId]:
        """Return the engines of a lost one's data centre that were not heard of since.

        :param since: in monotonic seconds.
        """
        return frozenset(
            item.id
            for item in self._directory.registry.list_engines()
            if item.data_centre == lost.data_centre
            and not self._was_heard(item.id, since)
        )

    async def find_unheard(self, lost: Target, since: float) -> frozenset[TargetId]:
        """Return engines that may have been lost together with another one.

        If that one is found dead, the engines of its data centre that were not heard of
        since are probed. Returns those that have not answered after ``SURVEY_SECONDS``;
        none if the engine is not dead.

        :param since: when its loss was noticed, in monotonic seconds.
        """
        suspects = self._directory.suspects
        self.check_in_background(lost)
        await asyncio.wait([self._background_checks[lost.id]], timeout=CONFIRM_SECONDS)
        now = self._clock.monotonic()
        if not suspects.is_dead(lost.id, now):
            return frozenset()
        engines = [
            item
            for item in self._directory.registry.list_engines()
            if item.data_centre == lost.data_centre
            and not suspects.is_excluded(item.id, now)
            and not self._was_heard(item.id, since)
        ]
        if now - self._surveyed_at.get(lost.data_centre, NEVER) >= SURVEY_INTERVAL:
            self._surveyed_at[lost.data_centre] = now
            for item in engines:
                self.check_in_background(item)
        checks = [
            self._background_checks[item.id]
            for item in engines
            if item.id in self._background_checks
        ]
        if checks:
            await asyncio.wait(checks, timeout=SURVEY_SECONDS)
        unheard = frozenset(
            item.id for item in engines if not self._was_heard(item.id, since)
        )
        logger.info(
            "loss_surveyed",
            target=lost.id,
            asked=len(engines),
            unheard=len(unheard),
            took=round(self._clock.monotonic() - now, 4),
        )
        return unheard

    def _was_heard(self, target: TargetId, since: float) -> bool:
        """Return whether an engine has delivered an event or answered a probe."""
        seen = self._cached_statuses.get(target)
        has_answered = seen is not None and seen[0] >= since and seen[1] is not None
        return has_answered or self.is_alive(target, since)

    def forget(self, target: TargetId) -> None:
        """Discard all state of an engine that is gone."""
        self._cached_statuses.pop(target, None)
        self._last_event_at.pop(target, None)
        self._probed_at.pop(target, None)
        self._planner.slowness.pop(target, None)

    async def _probe(self, target: Target) -> EngineStatus | None:
        began = self._clock.monotonic()
        answer = await self._status_reader.read_status(target)
        now = self._clock.monotonic()
        if isinstance(answer, EngineStatus):
            self._record_status(target, answer, now)
            return answer
        took = round(now - began, 4)
        has_delivered = self.is_alive(target.id, began + LATE_EVENT_SECONDS)
        if answer is Cause.HOST or (answer is not Cause.GONE and has_delivered):
            logger.info("probe_inconclusive", target=target.id, took=took)
            return build_default_status(target)
        logger.warning(
            "engine_silent",
            target=target.id,
            address=target.address,
            took=took,
            cause=answer.value,
        )
        self._mark_dead(target, now)
        if answer is Cause.PATH:
            self._mark_centre_dead(target.data_centre, began, now)
        return None

    def _mark_dead(self, target: Target, now: float) -> None:
        self._probed_at[target.id] = now
        self._cached_statuses[target.id] = (now, None)
        self._directory.suspects.note(target.id, Finding.DEAD, now)

    def _mark_centre_dead(self, centre: DataCentre, since: float, now: float) -> None:
        """Mark all engines of a data centre dead that were not heard since a moment.

        Detected one by one, each engine behind a partition would cost the requests sent
        to it 0.25 s for a connection or a first event. This way all are known to be
        unreachable 0.21 s after the first probe began.
        """
        silent = [
            item
            for item in self._directory.registry.list_engines()
            if item.data_centre == centre and not self.is_alive(item.id, since)
        ]
        logger.warning("data_centre_silent", centre=centre, engines=len(silent))
        for item in silent:
            self._mark_dead(item, now)

    def _record_status(self, target: Target, status: EngineStatus, now: float) -> None:
        self._probed_at[target.id] = now
        self._cached_statuses[target.id] = (now, status)
        if self._directory.suspects.is_dead(target.id, now):
            logger.info("engine_back", target=target.id, address=target.address)
            self._directory.suspects.clear(target.id)
            self._directory.ramps.note_back(target.id, now)
        self.note_status(target.id, status)

    def note_status(self, target: TargetId, status: EngineStatus) -> None:
        """Update the registry and the planner from an engine's status."""
        registry = self._directory.registry
        if status.born > registry.get_born(target) > 0:
            logger.info("engine_restarted", target=target, born=status.born)
            registry.note_layers(target, status.layers, status.born)
        if status.slowness >= SLOW_FACTOR:
            self._planner.slowness[target] = status.slowness
        else:
            self._planner.slowness.pop(target, None)
