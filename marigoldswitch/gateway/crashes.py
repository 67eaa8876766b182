"""Finds out which requests end the targets that run them, and holds these off."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

import structlog

from marigoldswitch.core.catalogue import Target
from marigoldswitch.core.crashes import CrashLedger, CutRequest, Hold, TargetStart
from marigoldswitch.core.fingerprints import Fingerprint
from marigoldswitch.core.gateway_messages import CrashNote
from marigoldswitch.core.ports import Clock
from marigoldswitch.gateway.directory import Directory
from marigoldswitch.gateway.probing import EngineProbes

logger = structlog.get_logger(__name__)

VERDICT_SECONDS = 0.06
"""Longest time that a request waits until the end of its target is confirmed; a closed
port says so within a few milliseconds."""
SETTLE_SECONDS = 0.005
"""Time in which all requests that a target has cut off are heard of."""
MAX_LOGGED_FINGERPRINTS = 8
"""Fingerprints in a log line."""
LATE_REPORT_SECONDS = 1.0
"""Time after an end in which further requests may be found to have been cut off."""


@dataclass(slots=True)
class _Interruption:
    """The requests of this host that one target has cut off."""

    requests: list[CutRequest] = field(default_factory=list)
    verdict: asyncio.Task[bool] | None = None
    """Whether the target has ended."""

    @property
    def is_confirmed(self) -> bool:
        """Tell whether the target is known to have ended."""
        return self._has_verdict(True)

    @property
    def is_refuted(self) -> bool:
        """Tell whether the target was found alive."""
        return self._has_verdict(False)

    def _has_verdict(self, has_ended: bool) -> bool:
        verdict = self.verdict
        return verdict is not None and verdict.done() and verdict.result() is has_ended


class CrashWatch:
    """What this host knows of requests that end targets.

    :ivar send_notes: called with what other hosts must be told at once.
    """

    def __init__(
        self, clock: Clock, directory: Directory, probes: EngineProbes
    ) -> None:
        self.send_notes: Callable[[tuple[CrashNote, ...]], None] = lambda _: None
        self._clock = clock
        self._directory = directory
        self._probes = probes
        self._ledger = CrashLedger()
        self._interruptions: dict[TargetStart, _Interruption] = {}

    @property
    def checksum(self) -> int:
        """Return a number that tells whether another host knows the same."""
        return self._ledger.checksum

    @property
    def is_empty(self) -> bool:
        """Tell whether nothing is known of any request."""
        return not len(self._ledger)

    def find_hold(self, fingerprint: Fingerprint) -> Hold | None:
        """Return why a request must not run now, or ``None`` if it may."""
        return self._ledger.find_hold(fingerprint, self._clock.monotonic())

    async def note_cut_off(self, request: CutRequest, target: Target) -> None:
        """Learn that a target broke a request off, perhaps by its end.

        Returns when that is judged, where the request may be what ended the target.
        """
        row = self._directory.registry.rows.get(target.id)
        if row is None or row.leaving:
            return
        start = TargetStart(target.id, row.born)
        interruption = self._get_interruption(start)
        interruption.requests.append(request)
        if interruption.verdict is None:
            interruption.verdict = asyncio.create_task(
                self._confirm_end(start, target, interruption)
            )
        elif interruption.is_confirmed:
            self._note_end(start, interruption)
        if not request.had_event or self._ledger.knows(request.fingerprint):
            await asyncio.wait({interruption.verdict}, timeout=VERDICT_SECONDS)

    def _get_interruption(self, start: TargetStart) -> _Interruption:
        """Return what a target has cut off lately; anew if it was found alive since."""
        interruption = self._interruptions.get(start)
        if interruption is None or interruption.is_refuted:
            interruption = self._interruptions[start] = _Interruption()
            loop = asyncio.get_running_loop()
            loop.call_later(
                LATE_REPORT_SECONDS, self._forget_interruption, start, interruption
            )
        return interruption

    def _forget_interruption(
        self, start: TargetStart, interruption: _Interruption
    ) -> None:
        if self._interruptions.get(start) is interruption:
            del self._interruptions[start]

    def note_served(self, fingerprint: Fingerprint) -> None:
        """Learn that a request has run to its end."""
        if self._ledger.note_served(fingerprint, self._clock.monotonic()):
            logger.info("suspicion_cleared", fingerprint=fingerprint)

    def list_notes(self) -> tuple[CrashNote, ...]:
        """Return what a host that knows nothing must be told."""
        return self._ledger.list_notes(self._clock.monotonic())

    def merge_notes(self, notes: tuple[CrashNote, ...]) -> None:
        """Take what another host knows, and tell others what of it is new."""
        self._ledger.merge(notes, self._clock.monotonic())
        self._send_if_urgent()

    def send_pending_notes(self) -> None:
        """Tell other hosts what was learnt since the last time, if anything."""
        notes = self._ledger.take_news(self._clock.monotonic())
        if notes:
            self.send_notes(notes)

    def _send_if_urgent(self) -> None:
        """Tell at once of a request that is held off.

        What is merely suspected waits and goes together: a rack that ends leaves
        hundreds of suspects.
        """
        if self._ledger.has_urgent_news:
            self.send_pending_notes()

    async def _confirm_end(
        self, start: TargetStart, target: Target, interruption: _Interruption
    ) -> bool:
        """Tell whether a target has ended; if so, learn who was there.

        A reset connection, a cut link or a slow target is no end.
        """
        if not await self._probes.has_ended(target, start.born):
            return False
        await asyncio.sleep(SETTLE_SECONDS)
        self._note_end(start, interruption)
        logger.info(
            "target_ended",
            target=start.target,
            born=start.born,
            requests=len(interruption.requests),
            without_event=[
                item.fingerprint for item in interruption.requests if not item.had_event
            ][:MAX_LOGGED_FINGERPRINTS],
        )
        return True

    def _note_end(self, start: TargetStart, interruption: _Interruption) -> None:
        self._ledger.note_end(start, interruption.requests, self._clock.monotonic())
        self._send_if_urgent()
