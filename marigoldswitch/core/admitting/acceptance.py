"""Pace at which requests are admitted while engines refuse them.

After a start of all hosts at once, hosts don't know what the others send. Without a
pace, each sends all that wait to the same engines, which refuse most of it, and each
refusal costs a retry of the budget that all hosts share.
"""

FIRST_GAP_SECONDS = 0.01
"""Pause before the next admission after two refusals in a row; a few decode steps."""
MAX_GAP_SECONDS = 0.16
"""Longest pause; engines that refuse are left out for 0.15 s."""
FREE_REFUSALS = 1
"""Refusals in a row that change nothing: the load of one engine is often misjudged."""


class AcceptancePace:
    """Spaces admissions out while engines refuse for want of room."""

    def __init__(self) -> None:
        self._refusals = 0
        self._blocked_until = float("-inf")

    def note_refused(self, now: float) -> None:
        """Record that an engine refused a request for want of room.

        :param now: monotonic seconds.
        """
        self._refusals += 1
        doublings = self._refusals - FREE_REFUSALS - 1
        if doublings >= 0:
            gap = min(MAX_GAP_SECONDS, FIRST_GAP_SECONDS * 2.0 ** min(doublings, 8))
            self._blocked_until = now + gap

    def note_accepted(self) -> None:
        """Record that an engine began to answer a request."""
        self._refusals = 0

    def is_blocked(self, now: float) -> bool:
        """Return whether the next request has to wait."""
        return now < self._blocked_until

    def note_admitted(self, now: float) -> None:
        """Start the next pause while refusals last."""
        doublings = self._refusals - FREE_REFUSALS - 1
        if doublings >= 0:
            gap = min(MAX_GAP_SECONDS, FIRST_GAP_SECONDS * 2.0 ** min(doublings, 8))
            self._blocked_until = now + gap
