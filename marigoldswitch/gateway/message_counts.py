"""Converts counts and limits to and from the messages between hosts."""

from collections.abc import Callable, Iterable, Mapping

from marigoldswitch.core.admitting.elsewhere import WaitCount, WaitCounts, WaitKey
from marigoldswitch.core.gateway_messages import (
    LimitNote,
    SendNote,
    TargetUsage,
    WaitingNote,
)
from marigoldswitch.core.ids import TargetId
from marigoldswitch.core.loads import Usage
from marigoldswitch.core.loans import MILLISECONDS_PER_SECOND
from marigoldswitch.core.pace_finding.records import RampCount, RampNote
from marigoldswitch.core.send_limits import SendCount
from marigoldswitch.core.stated_limits import StatedLimit


def encode_usages(held: Mapping[TargetId, Usage]) -> tuple[TargetUsage, ...]:
    """Return the usages of targets that are in use."""
    return tuple(
        TargetUsage(name, usage.requests, usage.memory, usage.begun)
        for name, usage in sorted(held.items())
        if usage.requests or usage.memory
    )


def decode_usages(usages: Iterable[TargetUsage]) -> dict[TargetId, Usage]:
    """Return usages by target."""
    return {
        item.target: Usage(item.requests, item.memory, item.begun) for item in usages
    }


def encode_sends(counts: Mapping[TargetId, SendCount]) -> tuple[SendNote, ...]:
    """Return the counts of targets that have any."""
    return tuple(
        SendNote(target, item.sent, item.recent, item.wanted, item.settled)
        for target, item in sorted(counts.items())
        if item.sent or item.wanted or item.settled
    )


def decode_sends(notes: Iterable[SendNote]) -> dict[TargetId, SendCount]:
    """Return counts by target."""
    return {
        item.target: SendCount(item.sent, item.recent, item.wanted, item.settled)
        for item in notes
    }


def encode_waiting(counts: WaitCounts) -> tuple[WaitingNote, ...]:
    """Return what waits, by service, priority and account."""
    return tuple(
        WaitingNote(
            key.service,
            key.priority,
            key.account,
            item.requests,
            item.tokens,
            round(item.oldest * MILLISECONDS_PER_SECOND),
        )
        for key, item in sorted(counts.items(), key=lambda pair: _rank(pair[0]))
    )


def _rank(key: WaitKey) -> tuple[str, int, str]:
    return key.service, key.priority, key.account


def decode_waiting(notes: Iterable[WaitingNote]) -> dict[WaitKey, WaitCount]:
    """Return what waits, by service, priority and account."""
    return {
        WaitKey(item.service, item.priority, item.account): WaitCount(
            item.requests, item.tokens, item.oldest_ms / MILLISECONDS_PER_SECOND
        )
        for item in notes
    }


def encode_ramps(
    counts: Mapping[TargetId, RampCount], get_born: Callable[[TargetId], int]
) -> tuple[RampNote, ...]:
    """Return the counts of targets on a ramp.

    :param get_born: returns when a target started, in ms since 1970; 0 if unknown.
    """
    return tuple(
        RampNote(target, get_born(target), count)
        for target, count in sorted(counts.items())
    )


def decode_ramps(
    notes: Iterable[RampNote], get_born: Callable[[TargetId], int]
) -> dict[TargetId, RampCount]:
    """Return counts by target, without those of another start of their target."""
    return {
        item.target: item.count for item in notes if item.born == get_born(item.target)
    }


def encode_limits(
    limits: Mapping[TargetId, StatedLimit], now: float
) -> tuple[LimitNote, ...]:
    """Return the stated limits with their ages.

    :param now: monotonic time, in seconds.
    """
    return tuple(
        LimitNote(target, item.rate or 0.0, round(now - item.heard_at, 2))
        for target, item in sorted(limits.items())
    )


def decode_limit(note: LimitNote, now: float) -> StatedLimit:
    """Return the limit that a peer knows of."""
    return StatedLimit(note.rate or None, now - max(0.0, note.age))
