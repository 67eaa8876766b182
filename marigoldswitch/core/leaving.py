"""Which targets are leaving: a target leaves as soon as any source says so.

Each source keeps one mark a target, and only that source takes it back: an operator who
undoes a drain does not speak for a target that shuts down by itself. A mark carries a number, which rises with each
change, and a time after which it no longer holds, so that a mark that nobody takes back
ends by itself.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field, replace

import xxhash

from marigoldswitch.core.datagrams import MarkSource, TargetMark
from marigoldswitch.core.ids import TargetId

HOLDS_SECONDS = {
    MarkSource.HOST_LIST: 600.0,
    MarkSource.ANSWER: 60.0,
    MarkSource.ORDER: 24 * 3600.0,
}
"""Seconds that a mark holds. An answer's is renewed while the target says so when it is
asked, the host list's while the list says so; an order's waits for its operator."""

NEW_WORK_SECONDS = 3.0
"""Seconds after the first word of leaving after which no host sends new work."""


@dataclass(slots=True)
class _Held:
    mark: TargetMark
    until: float


@dataclass(slots=True)
class LeavingMarks:
    """The marks that this host knows; each call returns the marks to pass on.

    Numbers follow the wall clock, so that a host that has forgotten an old mark still
    numbers the next one above it.

    :param offset: seconds from the monotonic to the wall clock.
    """

    offset: float
    _held: dict[tuple[TargetId, MarkSource], _Held] = field(default_factory=dict)
    _listed: frozenset[TargetId] = frozenset()
    _drained: frozenset[TargetId] = frozenset()

    def list_leaving(self, now: float) -> frozenset[TargetId]:
        """Return the targets that may get no new work."""
        return frozenset(
            item.mark.target
            for item in self._held.values()
            if item.mark.leaving and item.until > now
        )

    def digest(self, now: float) -> int:
        """Return a digest of the marks that still hold, without their times."""
        digest = 0
        for item in self._held.values():
            if item.until > now:
                mark = item.mark
                name = f"{mark.target}/{mark.source}/{mark.number}/{mark.leaving}"
                digest ^= xxhash.xxh3_64_intdigest(name.encode())
        return digest

    def export(self, now: float) -> tuple[TargetMark, ...]:
        """Return the marks that still hold, for a host that knows none."""
        return tuple(
            replace(item.mark, remaining=item.until - now)
            for item in self._held.values()
            if item.until > now
        )

    def take_host_list(
        self, leaving: Iterable[TargetId], live: Iterable[TargetId], now: float
    ) -> list[TargetMark]:
        """Follow the host list.

        The list lags: that it shows a target as live takes a mark back only if this
        host has seen it show the target as leaving before.
        """
        leaving, live = frozenset(leaving), frozenset(live)
        fresh = []
        for target in leaving:
            held = self._held.get((target, MarkSource.HOST_LIST))
            half = HOLDS_SECONDS[MarkSource.HOST_LIST] / 2
            if held is None or not held.mark.leaving or held.until - now < half:
                fresh.append(self._set(target, MarkSource.HOST_LIST, True, now))
        for target in self._listed & live:
            held = self._held.get((target, MarkSource.HOST_LIST))
            if held is not None and held.mark.leaving:
                fresh.append(self._set(target, MarkSource.HOST_LIST, False, now))
        self._listed = leaving | (self._listed - live)
        return fresh

    def take_answer(self, target: TargetId, now: float) -> list[TargetMark]:
        """Note that a target has answered that it is leaving."""
        held = self._held.get((target, MarkSource.ANSWER))
        half = HOLDS_SECONDS[MarkSource.ANSWER] / 2
        if held is not None and held.mark.leaving and held.until - now > half:
            return []
        return [self._set(target, MarkSource.ANSWER, True, now)]

    def take_state(self, target: TargetId, now: float) -> list[TargetMark]:
        """Note that a target says that it is not leaving, or no longer."""
        held = self._held.get((target, MarkSource.ANSWER))
        if held is None or not held.mark.leaving:
            return []
        return [self._set(target, MarkSource.ANSWER, False, now)]

    def list_answered(self, now: float) -> list[TargetId]:
        """Return the targets that leave by their own word."""
        return [
            target
            for (target, source), item in self._held.items()
            if source is MarkSource.ANSWER and item.mark.leaving and item.until > now
        ]

    def take_order(
        self, target: TargetId, leaving: bool, now: float
    ) -> list[TargetMark]:
        """Note that an operator drains a target, or takes that back."""
        return [self._set(target, MarkSource.ORDER, leaving, now)]

    def take_drains(self, drained: frozenset[TargetId], now: float) -> list[TargetMark]:
        """Follow the drains that the platform keeps; each change is passed on once.

        :param drained: all targets that operators or engine orders have drained.
        """
        fresh = []
        for target in drained:
            held = self._held.get((target, MarkSource.ORDER))
            half = HOLDS_SECONDS[MarkSource.ORDER] / 2
            if held is None or not held.mark.leaving or held.until - now < half:
                fresh += self.take_order(target, True, now)
        for target in self._drained - drained:
            held = self._held.get((target, MarkSource.ORDER))
            if held is not None and held.mark.leaving:
                fresh += self.take_order(target, False, now)
        self._drained = drained
        return fresh

    def merge(self, marks: Iterable[TargetMark], now: float) -> list[TargetMark]:
        """Take marks from another host; return those that were new here."""
        fresh = []
        for mark in marks:
            held = self._held.get((mark.target, mark.source))
            if held and held.until > now and not _overrides(mark, held.mark):
                continue
            seconds = min(max(0.0, mark.remaining), HOLDS_SECONDS[mark.source])
            self._held[mark.target, mark.source] = _Held(mark, now + seconds)
            fresh.append(mark)
        return fresh

    def forget(self, now: float) -> None:
        """Drop the marks that no longer hold."""
        for key in [key for key, item in self._held.items() if item.until <= now]:
            del self._held[key]

    def _set(
        self, target: TargetId, source: MarkSource, leaving: bool, now: float
    ) -> TargetMark:
        held = self._held.get((target, source))
        wall = int((self.offset + now) * 1000)
        number = max(wall, 1 + (held.mark.number if held else 0))
        mark = TargetMark(target, source, number, leaving, HOLDS_SECONDS[source])
        self._held[target, source] = _Held(mark, now + mark.remaining)
        return mark


def _overrides(mark: TargetMark, other: TargetMark) -> bool:
    """Tell whether a mark holds against another; of two alike, leaving is safer."""
    return (mark.number, mark.leaving) > (other.number, other.leaving)
