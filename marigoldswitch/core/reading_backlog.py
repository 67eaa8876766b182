"""Prefill work that engines have not done yet, as this host expects it.

When an engine is lost, all its streams have their contexts processed again by other
engines within some 0.2 s. Load reports are 0.2 to 0.5 s old and count memory, not
prefill, so all hosts would send their streams to the replacement that looks idle. The
backlog is raised when a loss is noticed, by the work of all hosts, and when this host
sends prompts, and falls as time passes.
"""

from marigoldswitch.core.ids import TargetId

MAX_BACKLOG_SECONDS = 2.0
"""Upper bound for one engine. Callers leave a stream after 2 s of silence, and their
work with them."""
MAX_ENGINES = 1024
"""Engines whose backlog is kept before those without any are forgotten."""


class ReadingBacklog:
    """Seconds of prefill that each engine has before it."""

    def __init__(self) -> None:
        self._idle_at: dict[TargetId, float] = {}
        """When each engine will have done its work, in monotonic seconds."""

    def get_seconds(self, target: TargetId, now: float) -> float:
        """Return the seconds until an engine has done its known prefill; 0 if unknown.

        :param now: monotonic seconds.
        """
        return max(0.0, self._idle_at.get(target, now) - now)

    def add(self, target: TargetId, seconds: float, now: float) -> None:
        """Add prefill that an engine has been or will be given.

        :param seconds: time that it needs for it at its usual speed.
        """
        if seconds <= 0.0:
            return
        total = min(MAX_BACKLOG_SECONDS, self.get_seconds(target, now) + seconds)
        if len(self._idle_at) >= MAX_ENGINES:
            busy = {name: at for name, at in self._idle_at.items() if at > now}
            self._idle_at = busy
        self._idle_at[target] = now + total

    def forget(self, target: TargetId) -> None:
        """Forget the work of an engine that has been lost or is gone."""
        self._idle_at.pop(target, None)
