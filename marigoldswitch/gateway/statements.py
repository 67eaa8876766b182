"""What targets state of themselves in their answers.

It binds each sending of a request, unlike an exclusion, which is this host's own guess
and is set aside where no other target is left.
"""

from collections.abc import Callable, Iterable

import structlog

from marigoldswitch.core.ids import TargetId
from marigoldswitch.core.pauses import Pauses
from marigoldswitch.core.send_limits import SendLimits
from marigoldswitch.gateway.ports import ReplyFacts

logger = structlog.get_logger(__name__)


class TargetStatements:
    """Records what targets state, and tells what may be sent to them.

    :ivar limits: rate limits, which all hosts keep together.
    :ivar pauses: times without requests, which targets ask single hosts for.
    """

    def __init__(self, limits: SendLimits) -> None:
        self.limits = limits
        self.pauses = Pauses()
        self._unreadable: set[TargetId] = set()
        """Targets whose limits could not be read; logged once each."""
        self.report_leaving: Callable[[TargetId, float], bool] = lambda _, __: False
        """Called with each target that says that it leaves, and the time; returns
        whether that is new."""

    def may_send(self, target: TargetId, now: float) -> bool:
        """Return whether this host may send a target one more request."""
        if self.pauses.get_left(target, now) > 0.0:
            return False
        return self.limits.may_send(target, now)

    def list_blocked(self, now: float) -> frozenset[TargetId]:
        """Return the targets that this host may send no request now."""
        limited = [
            name
            for name in self.limits.stated.list_limited()
            if not self.limits.may_send(name, now)
        ]
        return frozenset(self.pauses.list_pausing(now)).union(limited)

    def note_sent(self, target: TargetId, now: float) -> None:
        """Count a request that is sent to a target."""
        self.limits.note_sent(target, now)

    def estimate_wait(self, targets: Iterable[TargetId], now: float) -> float:
        """Return the mean seconds until one of some targets takes a request.

        :param targets: none of which takes one now.
        """
        waits, rate = [], 0.0
        for target in targets:
            pause = self.pauses.get_left(target, now)
            if pause > 0.0:
                waits.append(pause)
            else:
                rate += 1.0 / self.limits.estimate_wait(target, now)
        if rate > 0.0:
            waits.append(1.0 / rate)
        return min(waits, default=0.0)

    def forget(self, target: TargetId) -> None:
        """Forget a target that is gone or has restarted."""
        self.limits.forget(target)
        self.pauses.forget(target)
        self._unreadable.discard(target)

    def note_answer(
        self, target: TargetId, facts: ReplyFacts, sent_at: float, now: float
    ) -> None:
        """Record what an answer states, if it is the target's own.

        :param sent_at: when the answered request was sent, in monotonic seconds.
        """
        is_own = facts.is_signed or facts.not_run
        if not is_own or facts.wrong_target:
            return
        self._note_limit(target, facts, sent_at, now)
        if facts.is_leaving and self.report_leaving(target, now):
            logger.info("target_leaving_stated", target=target, request=facts.request)
        if facts.pause is not None:
            left = self.pauses.get_left(target, now)
            self.pauses.note(target, facts.pause, now)
            logger.info(
                "target_pause_stated",
                target=target,
                request=facts.request,
                seconds=facts.pause,
                previous_left=round(left, 3),
            )

    def _note_limit(
        self, target: TargetId, facts: ReplyFacts, sent_at: float, now: float
    ) -> None:
        """Update the limit of a target; one that can't be read changes nothing."""
        if facts.is_limit_unreadable:
            if target not in self._unreadable:
                self._unreadable.add(target)
                logger.warning("target_limit_unreadable", target=target)
            return
        stated = self.limits.stated
        previous = stated.get_rate(target)
        if stated.note_answer(target, facts.rate_limit, sent_at, now):
            logger.info(
                "target_limit_stated",
                target=target,
                rate=stated.get_rate(target),
                previous=previous,
            )
