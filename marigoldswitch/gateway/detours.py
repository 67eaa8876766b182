"""Monitors the chain of one request and reroutes it around engines that fail.

An engine may die, leave or be given other layers while dozens of streams pass through
it. Engines themselves notice only after 2 s, when callers have left. A host notices
sooner: it probes the engines of a stream that falls silent. A detour replaces the lost
engines in the chain; the others keep what they have read of the request.
"""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable, Coroutine, Iterable
from typing import Any, TypeVar

import aiohttp
import structlog

from marigoldswitch.core.catalogue import Target
from marigoldswitch.core.gaps import MAX_TIMEOUT, StreamGaps
from marigoldswitch.core.ids import TargetId
from marigoldswitch.core.stages import Stage
from marigoldswitch.gateway.broken_chains import (
    ChainBroken,
    ChainGivenUp,
    ChainLeft,
)
from marigoldswitch.gateway.detour_orders import (
    DetourLate,
    DetourOrders,
    is_lost,
    suspect_blocking_engine,
    suspect_unresponsive_engine,
)
from marigoldswitch.gateway.exchanges import (
    Exchange,
    RunParts,
    find_hold,
    note_answering,
    note_cut_off,
)
from marigoldswitch.gateway.interruption_log import InterruptionLog, LossKind

FIRST_EVENT_TIMEOUT = 0.7
"""Seconds without a first event after which a request moves to another chain although
all engines of its chain answer probes: some accept requests and never answer. Nearly
all first events arrive sooner, and callers stay for 2 s, long enough for a second
chain."""
PROMPT_SHARE = 0.5
"""A first event within this fraction of ``FIRST_EVENT_TIMEOUT`` shows that this host is
not what delays answers."""
NEXT_EVENT_TIMEOUT = 1.2
"""The same between two events. It is longer because an engine that is out of memory
reads the prompt again, and moving to another chain would lose that work."""
LIVENESS_WINDOW_SHARE = 0.5
"""Final fraction of a silence in which an event of any stream through an engine proves
it alive, so that it isn't probed: one that died as the silence began delivers none.
Otherwise all streams through one slow engine would probe their whole chains."""
BACKOFF_FACTOR = 1.4
MAX_BACKOFF = 4.0
"""Each check multiplies the silence that later checks wait for, up to the maximum, as
each costs the engines probes and a slow chain would be checked again and again."""
ANSWERING_DELIVERIES = 2
"""Deliveries of events from which an engine has got past the begin of an answer."""

logger = structlog.get_logger(__name__)

T = TypeVar("T")


def _ignore(why: ChainBroken) -> None:
    """Do nothing."""


class ChainMonitor:
    """Monitors one chain of a request.

    It doesn't end the answer where what it finds out may be wrong. It reports that the
    chain should be replaced, goes on to check it, and reports again while that holds.

    :param interruptions: of the stream, over all its chains.
    :param report: called with the reason why the chain should be replaced, a
        :class:`ChainGivenUp`, or must not go on.
    :ivar stages: stages of the chain; empty between two chains.
    """

    def __init__(
        self,
        parts: RunParts,
        exchange: Exchange,
        interruptions: InterruptionLog | None = None,
        report: Callable[[ChainBroken], None] = _ignore,
    ) -> None:
        self.stages: tuple[Stage, ...] = ()
        self._report = report
        self._parts = parts
        self._exchange = exchange
        self._wake = asyncio.Event()
        self._is_check_requested = False
        self._timer: asyncio.TimerHandle | None = None
        self._gaps = StreamGaps(parts.probes.gaps)
        self._backoff = 1.0
        self._checks_since_event = 0
        """Checks of the chain since its last event."""
        self._delivering_stages: tuple[Stage, ...] = ()
        """The stages that delivered the last event."""
        self._deliveries = 0
        """Times that this chain has delivered events."""
        self._is_left = False
        """Whether a retry has been spent to leave this chain for a quicker one."""
        self._recorded_ends: set[TargetId] = set()
        """Engines of this chain whose end has been recorded as a possible crash."""
        self.interruptions = interruptions or start_interruption_log(parts, exchange)
        self._detours = DetourOrders(parts, exchange, self.interruptions)
        self._started_at = 0.0
        """When the request was given this chain."""
        self._progress_at = 0.0
        """When the chain last delivered events, was given work or was rerouted."""
        self._silent_since = 0.0
        """When it last delivered events or was given work, or the last check ended."""
        self._silence_limit = self._choose_silence_limit()
        """Seconds of silence after which the chain is checked."""

    @property
    def limits_pauses(self) -> bool:
        """Return whether the route limits the pauses of the stream."""
        return self._exchange.route.max_event_gap > 0.0

    def start_chain(self, stages: tuple[Stage, ...]) -> None:
        """Begin to monitor a chain whose load the planner already counts."""
        self.stages = stages
        self._started_at = self._parts.clock.monotonic()
        self._delivering_stages = ()
        self._deliveries = 0
        self._is_left = False
        self._recorded_ends.clear()
        self._gaps.reset()

    def release_chain(self) -> None:
        """Stop counting the load of the chain, and drop it."""
        self._parts.planner.release(self.stages, self._exchange.call.tokens)
        self.stages = ()

    def has_delivered(self, target: TargetId) -> bool:
        """Return whether this chain has delivered an event through an engine."""
        return any(item.target == target for item in self._delivering_stages)

    @property
    def is_answering(self) -> bool:
        """Return whether this chain has got past the begin of the answer."""
        return self._deliveries >= ANSWERING_DELIVERIES

    async def note_cut_off(self, target: Target) -> None:
        """Record that an engine of the chain has cut the request off."""
        await note_cut_off(
            self._parts,
            self._exchange,
            target,
            self._started_at,
            self.has_delivered(target.id),
            self.is_answering,
        )

    def request_check(self) -> None:
        """Check the chain at once, as one of its engines is dead or leaving."""
        self._is_check_requested = True
        self._wake.set()

    def note_event(self) -> None:
        """Record that events have arrived, and update the usual gap between them."""
        now = self._parts.clock.monotonic()
        if not self._delivering_stages:
            service, took = self._exchange.service.name, now - self._started_at
            self._parts.directory.ramps.note_first_event(service, self.stages, took)
            if took <= PROMPT_SHARE * FIRST_EVENT_TIMEOUT:
                self._parts.probes.note_prompt_answer()
        self._progress_at = now
        self._delivering_stages = self.stages
        self._deliveries += 1
        if self._deliveries == ANSWERING_DELIVERIES:
            note_answering(self._parts, self._exchange)
        self._gaps.note_event(self._progress_at)
        self.interruptions.note_event(now)
        self._checks_since_event = 0
        self._parts.probes.note_alive(item.target for item in self.stages)
        self._restart_silence()

    async def run_monitored(self, work: Coroutine[Any, Any, T]) -> T:
        """Await work that depends on the chain, and monitor the chain meanwhile."""
        async with self.monitor():
            return await work

    @contextlib.asynccontextmanager
    async def monitor(
        self, response: aiohttp.ClientResponse | None = None
    ) -> AsyncIterator[None]:
        """Monitor the chain while the body of the ``with`` block waits for its answer.

        One task serves the whole stream and sleeps through usual gaps: waiting for two
        tasks at each event took half of the CPU time of an event.
        """
        self._restart_silence()
        self._progress_at = self._silent_since
        monitor = asyncio.create_task(self._monitor_chain())
        try:
            yield
        finally:
            self._stop_monitoring(monitor)

    def _restart_silence(self) -> None:
        """Measure the silence of the chain from now on."""
        self._silent_since = self._parts.clock.monotonic()
        self._silence_limit = self._choose_silence_limit()
        self._set_timer(self._silence_limit)

    def _set_timer(self, seconds: float) -> None:
        """Wake the monitor task only when the silence has lasted too long.

        A task that slept through each gap and then read the clock woke the host more
        often than events did.
        """
        self._stop_timer()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(seconds, self._wake.set)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()

    def _stop_monitoring(self, monitor: asyncio.Future[None]) -> None:
        monitor.cancel()
        self._stop_timer()

    async def _monitor_chain(self) -> None:
        """Check the chain when it is silent for too long or a check is requested."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            if self._is_check_requested:
                self._is_check_requested = False
                await self._check_and_report(self._handle_check_request())
            silence = self._parts.clock.monotonic() - self._silent_since
            if silence >= self._silence_limit:
                await self._check_and_report(self._check_chain())
                self._silent_since = self._parts.clock.monotonic()
                self._silence_limit = min(MAX_TIMEOUT, 2.0 * self._silence_limit)
                self._backoff = min(MAX_BACKOFF, BACKOFF_FACTOR * self._backoff)
                silence = 0.0
            self._set_timer(self._silence_limit - silence)

    async def _check_and_report(self, check: Coroutine[Any, Any, None]) -> None:
        """Run a check, and report that the chain should be replaced if it says so."""
        try:
            await check
        except ChainBroken as broken:
            self._report(broken)
        except Exception:
            # The answer may still come, and later checks may work.
            logger.exception("chain_check_failed", request=self._exchange.call.id)

    def _choose_silence_limit(self) -> float:
        longest_pause = self._exchange.route.max_event_gap
        return self._gaps.get_timeout(self._backoff, longest_pause)

    async def _handle_check_request(self) -> None:
        """Replace the engines of the chain that are dead or leaving.

        :raises ChainGivenUp: if the chain is to be given up.
        """
        parts = self._parts
        now = parts.clock.monotonic()
        if parts.directory.suspects.is_dead(self.stages[0].target, now):
            self._break_if_idempotent("its first engine is dead")
        await self._replace_lost_stages()

    def _break_if_idempotent(self, why: str) -> None:
        """Give up a chain whose first engine is dead if the request is idempotent.

        Any other request waits: its answer may still arrive, and would certainly be
        lost otherwise.

        :raises ChainGivenUp: if the request is idempotent.
        """
        if self._exchange.route.is_idempotent:
            self._note_loss([self.stages[0].target])
            raise ChainGivenUp(why)

    async def _replace_lost_stages(self) -> None:
        """Replace the stages that are dead or leaving by a detour.

        :raises ChainGivenUp: if a dead stage can't be replaced and another chain has
            room, or if the request is held off.
        """
        exchange, parts = self._exchange, self._parts
        lost = {item.target for item in self.stages[1:] if is_lost(parts, item)}
        if not lost:
            return
        self._note_loss(lost)
        await self._record_engine_ends(lost)
        if await self._take_detour(lost) or not exchange.may_run_again:
            return
        now, suspects = parts.clock.monotonic(), parts.directory.suspects
        if not any(suspects.is_dead(item.target, now) for item in self.stages[1:]):
            return
        tokens = exchange.call.tokens
        if parts.planner.find(exchange.service, tokens, is_new=False) is not None:
            raise ChainGivenUp("no detour around a dead engine")

    def _note_loss(self, lost: Iterable[TargetId]) -> None:
        """Record that dead engines interrupt the stream."""
        now, suspects = self._parts.clock.monotonic(), self._parts.directory.suspects
        for name in lost:
            if suspects.is_dead(name, now):
                self.interruptions.note_loss(LossKind.SILENCE, name, now)

    async def _record_engine_ends(self, lost: set[TargetId]) -> None:
        """Record dead later engines as possible crashes caused by the request.

        :raises ChainBroken: if the request is held off and has ended one of them: it
            would end the engine again when that is back.
        """
        exchange, parts = self._exchange, self._parts
        now = parts.clock.monotonic()
        for name in lost - self._recorded_ends:
            row = parts.directory.registry.rows.get(name)
            if row is not None and parts.directory.suspects.is_dead(name, now):
                self._recorded_ends.add(name)
                await self.note_cut_off(row.target)
        if find_hold(parts, exchange) is None:
            return
        if any(parts.crashes.has_ended(name) for name in lost):
            raise ChainBroken("the request is held off, as it ends engines")
        raise ChainGivenUp("the request is held off, and an engine is silent")

    async def _check_chain(self) -> None:
        """Probe the engines of a silent chain, and replace those that are lost.

        :raises ChainGivenUp: if the chain is to be given up.
        """
        parts = self._parts
        rows = parts.directory.registry.rows
        stages = self.stages
        now = parts.clock.monotonic()
        since = now - LIVENESS_WINDOW_SHARE * (now - self._silent_since)
        to_probe = [
            item
            for index, item in enumerate(stages)
            # The first engine also reports which engine it waits for.
            if (index == 0 and self._checks_since_event)
            or not parts.probes.is_alive(item.target, since)
        ]
        self._checks_since_event += 1
        known = [rows[item.target].target for item in to_probe if item.target in rows]
        checks = (parts.probes.check(item) for item in known)
        statuses = dict(
            zip((item.id for item in known), await asyncio.gather(*checks), strict=True)
        )
        if parts.contact.is_lost:
            self._break_if_idempotent("this host reaches no target")
        if stages[0] in to_probe:
            first_status = statuses.get(stages[0].target)
            if stages[0].target not in rows:
                self._break_if_idempotent("its first engine is no longer registered")
            elif first_status is None:
                self._break_if_idempotent("its first engine does not answer")
            else:
                suspect_blocking_engine(
                    parts, self._exchange.call.id, stages, first_status
                )
        await self._replace_lost_stages()
        self._break_if_stalled()

    def _break_if_stalled(self) -> None:
        """Give up a chain that delivers no events although its engines are alive.

        :raises ChainGivenUp: if it has been silent for too long and the request may be
            sent again.
        """
        exchange, parts = self._exchange, self._parts
        now = parts.clock.monotonic()
        has_begun = exchange.last_event is not None
        timeout = NEXT_EVENT_TIMEOUT if has_begun else FIRST_EVENT_TIMEOUT
        if now - self._progress_at < timeout:
            return
        if not exchange.may_run_again:
            return
        if not parts.retries.get(exchange.service.name).has_room(now):
            return
        first = self.stages[0]
        suspect_unresponsive_engine(
            parts, exchange, first, self._started_at, self.has_delivered(first.target)
        )
        raise ChainGivenUp("its engines live and bring nothing")

    async def _take_detour(self, lost: set[TargetId]) -> bool:
        """Order a detour around lost engines; return whether the first one took it.

        :raises ChainLeft: if the request is to be resumed over another chain.
        """
        try:
            stages = await self._detours.take(
                self.stages,
                lost,
                self._exchange.last_event,
                # The quicker chain may fail: later checks take the late detour.
                may_leave=not self._is_left,
            )
        except DetourLate as late:
            self._is_left = True
            raise ChainLeft("its detour would be late") from late
        if stages is None:
            return False
        self.stages = stages
        # The new engines read the prompt first, so the timeout restarts.
        self._progress_at = self._parts.clock.monotonic()
        return True


def start_interruption_log(parts: RunParts, exchange: Exchange) -> InterruptionLog:
    """Return a log of the interruptions of a stream."""
    limit = exchange.route.max_event_gap
    return InterruptionLog(exchange.call.id, limit, parts.record_pause)
