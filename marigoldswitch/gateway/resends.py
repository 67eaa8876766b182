"""Guards resending of requests whose reused connection to a target broke at once.

Such a connection was most likely closed or forgotten by the target, so the request is
sent to it again on a new one. A target that ends the new one as well is failing:
without the guard it would get a request twice for each connection that was kept.
"""

import asyncio

from marigoldswitch.core.ids import TargetId

VERDICT_SECONDS = 0.1
"""Time that a request waits for the first resending to a target. A failing target ends
it sooner."""


class ResendGuard:
    """Remembers which targets have lost a request that was sent on a new connection."""

    def __init__(self) -> None:
        self._failing: set[TargetId] = set()
        self._verdicts: dict[TargetId, asyncio.Future[None]] = {}
        """For each target that is resent to, a future that its next result ends."""

    def note_answered(self, target: TargetId) -> None:
        """Record that a target has answered a request."""
        self._failing.discard(target)
        self._end_wait(target)

    def note_lost(self, target: TargetId) -> None:
        """Record that a target has lost a request on a new connection."""
        self._failing.add(target)
        self._end_wait(target)

    def forget(self, target: TargetId) -> None:
        """Discard all state of a target that is gone."""
        self.note_answered(target)

    async def may_resend(self, target: TargetId) -> bool:
        """Return whether a target may be resent a request on a new connection.

        The first request tries; others wait for its result, for at most
        ``VERDICT_SECONDS``.
        """
        verdict = self._verdicts.get(target)
        if verdict is not None:
            await asyncio.wait({verdict}, timeout=VERDICT_SECONDS)
        if target in self._failing:
            return False
        if target not in self._verdicts:
            loop = asyncio.get_running_loop()
            self._verdicts[target] = loop.create_future()
        return True

    def _end_wait(self, target: TargetId) -> None:
        verdict = self._verdicts.pop(target, None)
        if verdict is not None:
            verdict.set_result(None)
