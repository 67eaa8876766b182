"""Rate limits that targets state of themselves in their answers.

A limit holds until an answer without one. Answers arrive out of order: one to a request
that was sent before the limit was last heard may be older than the limit and does not
end it.
"""

from msgspec import Struct

from marigoldswitch.core.ids import TargetId

MIN_RATE = 0.1
"""Lowest rate in force, in requests a second. A target that gets nothing says nothing,
so that the end of its limit would never be heard."""


ENDED_SECONDS = 5.0
"""Time for which the end of a limit is remembered, so that all hosts hear of it."""
CLOCK_SLACK_SECONDS = 0.25
"""Age by which a peer's word must be newer to replace what is known: ages grow by the
time on the way, and two hosts would else replace each other's word for ever."""


RATE_DIGITS = 5
"""Significant digits of a limit. Messages between hosts carry numbers in four bytes;
one that came back with other last digits would count as another limit."""


class StatedLimit(Struct, frozen=True):
    """A limit that a target has stated, or the end of one.

    :param rate: requests a second from all hosts together; ``None`` once it has ended.
    :param heard_at: when an answer last said so, in monotonic seconds.
    """

    rate: float | None
    heard_at: float


class StatedLimits:
    """The limits of targets, as last stated."""

    def __init__(self) -> None:
        self._known: dict[TargetId, StatedLimit] = {}

    def get_rate(self, target: TargetId) -> float | None:
        """Return the limit of a target in requests a second, if it has one."""
        known = self._known.get(target)
        return known.rate if known is not None else None

    def note_answer(
        self, target: TargetId, rate: float | None, sent_at: float, now: float
    ) -> bool:
        """Update the limit of a target from one of its answers.

        :param rate: limit that the answer states, if any.
        :param sent_at: when the answered request was sent, in monotonic seconds.
        :return: whether the limit has changed.
        """
        known = self._known.get(target)
        if rate is not None:
            rate = round_rate(max(MIN_RATE, rate))
        elif known is None or sent_at < known.heard_at:
            return False
        self._known[target] = StatedLimit(rate, now)
        return known is None or known.rate != rate

    def merge(self, target: TargetId, heard: StatedLimit) -> bool:
        """Adopt what a peer has heard if it is newer; return whether it is.

        What says the same as is known never renews it.
        """
        rate = None if heard.rate is None else round_rate(heard.rate)
        heard = StatedLimit(rate, heard.heard_at)
        known = self._known.get(target)
        if known is None:
            is_newer = heard.rate is not None
        else:
            is_newer = (
                heard.rate != known.rate
                and heard.heard_at > known.heard_at + CLOCK_SLACK_SECONDS
            )
        if is_newer:
            self._known[target] = heard
        return is_newer

    def list_known(self, now: float) -> dict[TargetId, StatedLimit]:
        """Return the limits in force and those that have lately ended."""
        ended = [
            target
            for target, item in self._known.items()
            if item.rate is None and now - item.heard_at > ENDED_SECONDS
        ]
        for target in ended:
            del self._known[target]
        return dict(self._known)

    def list_limited(self) -> list[TargetId]:
        """Return the targets with a limit in force."""
        return [name for name, item in self._known.items() if item.rate is not None]

    def forget(self, target: TargetId) -> None:
        """Forget the limit of a target that is gone or has restarted."""
        self._known.pop(target, None)


def round_rate(rate: float) -> float:
    """Return a limit with the digits that hosts compare."""
    return float(f"{rate:.{RATE_DIGITS}g}")
