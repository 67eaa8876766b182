"""Engines that have refused a request, until something has changed there.

An engine that has refused a request for want of room refuses it again while its load is
the same. Each such attempt costs a retry of the budget that all hosts share.
"""

from collections.abc import Callable

from msgspec import Struct

from marigoldswitch.core.ids import TargetId
from marigoldswitch.core.loads import Usage

UNCHANGED_SECONDS = 0.5
"""Time after which an engine counts as changed in any case: reports of other hosts'
requests are up to that old."""


class _Refusal(Struct, frozen=True):
    """A refusal at a monotonic time, with the engine's load as known then."""

    at: float
    usage: Usage


class EngineRefusals:
    """The engines that have refused one request."""

    def __init__(self) -> None:
        self._refusals: dict[TargetId, _Refusal] = {}

    def note(self, target: TargetId, usage: Usage, now: float) -> None:
        """Record a refusal.

        :param usage: load of the engine without this request.
        :param now: monotonic seconds.
        """
        self._refusals[target] = _Refusal(now, usage)

    def list_unchanged(
        self, get_usage: Callable[[TargetId], Usage], now: float
    ) -> frozenset[TargetId]:
        """Return the engines at which nothing is known to have changed since.

        :param get_usage: returns the current load of an engine.
        """
        if not self._refusals:
            return frozenset()
        return frozenset(
            target
            for target, item in self._refusals.items()
            if now - item.at < UNCHANGED_SECONDS
            and not has_freed_room(item.usage, get_usage(target))
        )


def has_freed_room(before: Usage, after: Usage) -> bool:
    """Return whether an engine has less to do in any respect."""
    return (
        after.requests < before.requests
        or after.memory < before.memory
        or after.begun < before.begun
    )
