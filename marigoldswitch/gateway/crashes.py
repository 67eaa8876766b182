"""Detects the requests that crash the targets running them, and puts them on hold."""

import asyncio
from collections import Counter
from collections.abc import Callable

import structlog
from msgspec import Struct, field

from marigoldswitch.core.catalogue import Target
from marigoldswitch.core.crashes import CrashLedger, Hold, InterruptedRequest, TargetRun
from marigoldswitch.core.fingerprints import Fingerprint
from marigoldswitch.core.gateway_messages import CrashNote
from marigoldswitch.core.ids import PromptPartId
from marigoldswitch.core.ports import Clock
from marigoldswitch.gateway.directory import Directory
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
LATE_REPORT_SECONDS = 1.0
"""Time from the first report in which further requests may report that the target
interrupted them."""


class _Interruption(Struct):
    """The requests of this host that one target has broken off.

    :ivar verdict: finds out whether the target has ended.
    """

    requests: list[InterruptedRequest] = field(default_factory=list)
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
        return verdict is not None and verdict.done() and verdict.result() is has_ended


class CrashWatch:
    """Records the ends of targets and the requests that they ran.

    :ivar send_notes: sends notes to other hosts.
    """

    def __init__(
        self, clock: Clock, directory: Directory, probes: EngineProbes
    ) -> None:
        self.send_notes: Callable[[tuple[CrashNote, ...]], None] = lambda _: None
        self._clock = clock
        self._directory = directory
        self._probes = probes
        self._ledger = CrashLedger()
        self._interruptions: dict[TargetRun, _Interruption] = {}

    @property
    def checksum(self) -> int:
        """Return a checksum of the notes, equal on hosts that have the same ones."""
        return self._ledger.checksum

    @property
    def is_empty(self) -> bool:
        """Return whether there is no record of any request."""
        return not len(self._ledger)

    def find_hold(self, fingerprint: Fingerprint) -> Hold | None:
        """Return the hold on a request, or ``None`` if it may run."""
        return self._ledger.find_hold(fingerprint, self._clock.monotonic())

    async def note_cut_off(self, request: InterruptedRequest, target: Target) -> None:
        """Record that a target broke a request off, perhaps because it ended.

        If the request may be the cause, this waits for the verdict on the target, for
        at most ``VERDICT_SECONDS``.
        """
        row = self._directory.registry.rows.get(target.id)
        if row is None or row.leaving:
            return
        start = TargetRun(target.id, row.born)
        interruption = self._get_interruption(start)
        interruption.requests.append(request)
        if interruption.verdict is None:
            interruption.verdict = asyncio.create_task(
                self._confirm_end(start, target, interruption)
            )
        elif interruption.is_confirmed:
            self._note_end(start, interruption)
        if not request.had_event or self._ledger.has_record(request.fingerprint):
            await asyncio.wait({interruption.verdict}, timeout=VERDICT_SECONDS)

    def _get_interruption(self, start: TargetRun) -> _Interruption:
        """Return a target's current interruption, a new one if it was found alive."""
        interruption = self._interruptions.get(start)
        if interruption is None or interruption.is_refuted:
            interruption = self._interruptions[start] = _Interruption()
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
        if self._ledger.note_completed(fingerprint, self._clock.monotonic()):
            logger.info("suspicion_cleared", fingerprint=fingerprint)

    def list_notes(self) -> tuple[CrashNote, ...]:
        """Return all notes that a host without any must get."""
        return self._ledger.list_notes(self._clock.monotonic())

    def merge_notes(self, notes: tuple[CrashNote, ...]) -> None:
        """Merge notes of another host, and forward new holds at once."""
        self._ledger.merge(notes, self._clock.monotonic())
        self._send_if_urgent()

    def send_pending_notes(self) -> None:
        """Send other hosts the notes that are new since the last time, if any."""
        notes = self._ledger.take_unsent_notes(self._clock.monotonic())
        if notes:
            self.send_notes(notes)

    def _send_if_urgent(self) -> None:
        """Send pending notes at once if a request was put on hold.

        Notes on mere suspects wait and go together, as the loss of a rack leaves
        hundreds of them.
        """
        if self._ledger.has_unsent_hold:
            self.send_pending_notes()

    async def _confirm_end(
        self, start: TargetRun, target: Target, interruption: _Interruption
    ) -> bool:
        """Return whether a target has ended; if so, record the requests that it ran.

        A reset connection, a cut link or a slow target is not an end.
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
            parts=_count_parts(interruption.requests),
        )
        return True

    def _note_end(self, start: TargetRun, interruption: _Interruption) -> None:
        self._ledger.note_crash(start, interruption.requests, self._clock.monotonic())
        self._send_if_urgent()


def _count_parts(requests: list[InterruptedRequest]) -> list[tuple[PromptPartId, int]]:
    """Return the parts of requests without an event, the most frequent ones first."""
    counts = Counter(
        part for item in requests if not item.had_event for part in item.parts
    )
    return counts.most_common(MAX_LOGGED_PARTS)
