"""Crashes that are held against one part of prompts."""

from collections.abc import Iterable

from msgspec import Struct, field

from marigoldswitch.core.ids import AccountId
from marigoldswitch.core.interruptions import TargetRun

MIN_OTHER_ANSWERS = 3
"""Answers to requests without a part, between crashes with it, which show that targets
don't crash on any request."""
MAX_FOREMOST_CRASHES = 8
"""Crashes that other hosts are told of before a part is on hold, and by which a host
that lacks a hold is told of it."""


class PartCrash(Struct, frozen=True):
    """A crash of a target that had not answered a request with a part.

    :param at: monotonic time, in seconds.
    :param sent_at: when the request was sent to the target.
    :param request: begin of the fingerprint of one such request.
    :param account: client account of that request.
    """

    at: float
    sent_at: float
    request: str
    account: AccountId | None


class PartSuspect(Struct):
    """Crashes of targets with requests that have a part, since it was last answered.

    :ivar added_by: client account whose request has added it.
    :ivar is_shared: whether other hosts know of it.
    :ivar other_answers: answers at this host to other requests, between the crashes.
    :ivar recent_answers: the same since the last crash.
    """

    added_by: AccountId | None
    is_shared: bool
    crashes: dict[TargetRun, PartCrash] = field(default_factory=dict)
    other_answers: int = 0
    recent_answers: int = 0

    @property
    def has_control(self) -> bool:
        """Return whether other requests were answered while these crashed targets."""
        return self.other_answers >= MIN_OTHER_ANSWERS

    @property
    def last_crash_at(self) -> float:
        """Return when the last target crashed."""
        return max(item.at for item in self.crashes.values())

    def add_crash(self, run: TargetRun, crash: PartCrash) -> None:
        """Add a crash, and count the answers that came before it."""
        self.crashes[run] = crash
        self.other_answers += self.recent_answers
        self.recent_answers = 0

    def list_foremost(self) -> list[TargetRun]:
        """Return the crashes that are enough for a hold: the first of each account, one
        of each round, and then the earliest ones."""
        ordered = sorted(self.crashes.items(), key=lambda item: item[1].at)
        firsts = {item.account: item for _, item in reversed(ordered)}
        rounds = list_rounds(self.crashes.values())[: MAX_FOREMOST_CRASHES // 2]
        ordered.sort(key=lambda item: item[1] not in rounds)
        ordered.sort(key=lambda item: item[1] is not firsts[item[1].account])
        return [run for run, _ in ordered[:MAX_FOREMOST_CRASHES]]


def list_rounds(crashes: Iterable[PartCrash]) -> list[PartCrash]:
    """Return a series of crashes of which each was of a request that had been sent
    after the crash before."""
    rounds: list[PartCrash] = []
    for crash in sorted(crashes, key=lambda item: item.at):
        if not rounds or crash.sent_at >= rounds[-1].at:
            rounds.append(crash)
    return rounds
