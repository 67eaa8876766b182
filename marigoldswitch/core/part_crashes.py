"""Identification of parts of prompts that crash the targets which answer them.

Requests that are all different may share a part that crashes each target which begins
to answer. Held off one by one, each of them crashes targets before it is known. So
crashes are counted by part as well, over all hosts and requests.

A part is cleared by any answer that goes on past its begin: most parts of a request
that crashes targets, such as common instructions, are in many sound requests too. A
crash is evidence against a part only if no other part explains it better, and only in
rounds: targets that are lost together interrupt many requests at once, but then the
requests that are sent afterwards are answered.
"""

import zlib
from collections import Counter, OrderedDict
from collections.abc import Container, Iterable, Sequence

from marigoldswitch.core.crash_notes import PartEndNote, PartNote
from marigoldswitch.core.crashes import EXPIRY_SECONDS, HOLD_SECONDS, Hold
from marigoldswitch.core.ids import AccountId, ServiceName
from marigoldswitch.core.interruptions import (
    InterruptedRequest,
    PromptPart,
    TargetRun,
)
from marigoldswitch.core.part_suspects import (
    MAX_FOREMOST_CRASHES,
    PartCrash,
    PartSuspect,
    list_rounds,
)

HOLD_MIN_CRASHES = 3
"""Crashes from which a part is put on hold."""
HOLD_MIN_REQUESTS = 2
"""Different requests among them; one alone is held off by itself."""
HOLD_MIN_ROUNDS = 2
"""Rounds among them, in each of which a request was sent after the earlier crashes."""
HOLD_MIN_ROUNDS_PROVEN = 4
"""The same for a part that has lately been answered: what began to crash targets is
then most likely something else."""
PROVEN_SECONDS = 600.0
"""Time for which an answer makes a part a proven one."""
FIRST_TRIAL_SECONDS = 600.0
"""Time from the last crash until one request with a part on hold may run on trial."""
FIRST_TRIAL_SECONDS_ALONE = 5.0
"""The same if no other requests were answered between the crashes: targets may have
crashed on any request, and that may have been mended."""
TRIAL_FACTOR = 8.0
"""Each trial that crashes its target makes the time to the next one longer by this. A
part gets three in a day."""
MAX_ANSWERED_PARTS = 4096
"""Parts for which the last answer is kept; a few hundred are in use at a time."""
MAX_SUSPECTS = 512
MAX_SUSPECTS_PER_ACCOUNT = 128
"""Suspects that requests of one account have added, so that no account can evict those
of others."""
MAX_CRASHES = 32
"""Crashes kept for a part: the earliest ones and the last."""
MAX_PART_NOTES = 32
"""Parts in one message; each takes some 100 bytes and 60 more for each crash."""
AGE_ERROR_SECONDS = 0.05
"""Error of the ages in notes, by which an answer may have come after a crash that seems
later."""
SHORT_FINGERPRINT_LENGTH = 8
"""Characters of a fingerprint by which requests at crashes are told apart."""


class PartLedger:
    """Crashes by part of prompts, as known to this host; times are monotonic
    seconds."""

    def __init__(self) -> None:
        self._suspects: dict[PromptPart, PartSuspect] = {}
        self._answered_at: OrderedDict[PromptPart, float] = OrderedDict()
        """When each part was last answered, least recent first."""
        self._holds: dict[PromptPart, frozenset[PromptPart]] = {}
        """Parts on hold, each in the group that it can't be told apart from: only
        requests with all of the group are held off."""
        self._explained: set[TargetRun] = set()
        """Runs of targets whose crash a part on hold explains."""
        self._unsent: dict[PromptPart, set[TargetRun]] = {}
        """Parts with changes that other hosts have not been sent, and the crashes among
        these changes."""
        self._tried_at: dict[PromptPart, float] = {}
        """When a request with each part was last let run on trial by this host."""

    @property
    def is_empty(self) -> bool:
        """Return whether no part is suspected."""
        return not self._suspects

    @property
    def held_parts(self) -> frozenset[PromptPart]:
        """Return the parts on hold."""
        return frozenset(self._holds)

    def explains(self, run: TargetRun) -> bool:
        """Return whether a part on hold explains a crash."""
        return run in self._explained

    def find_hold(
        self, parts: Sequence[PromptPart], account: AccountId | None, now: float
    ) -> Hold | None:
        """Return the hold on a request by the parts of its prompt, if any.

        A hold is for all accounts if requests of two have been at the crashes; one
        alone can't have the requests of others held off.
        """
        for part in parts:
            group = self._holds.get(part)
            if group is None or not group.issubset(parts):
                continue
            crashes = self._suspects[part].crashes
            accounts = {item.account for item in crashes.values()}
            left = self._suspects[part].last_crash_at + HOLD_SECONDS - now
            if left > 0.0 and (account in accounts or len(accounts) > 1):
                ends = ((run.target, now - item.at) for run, item in crashes.items())
                return Hold(left, tuple(ends), part)
        return None

    def may_try(self, part: PromptPart, now: float) -> bool:
        """Return whether one request with a part on hold may run on trial.

        To be asked of one host only. The trial counts as begun.
        """
        suspect = self._suspects[part]
        delay = FIRST_TRIAL_SECONDS_ALONE
        if suspect.has_control:
            delay = FIRST_TRIAL_SECONDS
        due = float("inf")
        for at in sorted(item.at for item in suspect.crashes.values()):
            if at >= due:
                delay *= TRIAL_FACTOR
            due = at + delay
        if now < max(due, self._tried_at.get(part, float("-inf")) + delay):
            return False
        self._tried_at[part] = now
        return True

    def note_crash(
        self, run: TargetRun, requests: Iterable[InterruptedRequest], now: float
    ) -> None:
        """Record a crash; may be repeated for the same one."""
        for request in requests:
            crash = PartCrash(
                now,
                request.sent_at,
                request.fingerprint[:SHORT_FINGERPRINT_LENGTH],
                request.account,
            )
            for part in request.parts:
                self._add_crash(part, run, crash, is_shared=False)
        self._update_holds(now)

    def note_answered(
        self, service: ServiceName, parts: Sequence[PromptPart], now: float
    ) -> bool:
        """Clear the parts of a request whose answer goes on; return whether one was
        suspected."""
        for part, suspect in self._suspects.items():
            if part.service == service and part not in parts:
                suspect.recent_answers += 1
        was_suspected = [self._set_answered(part, now) for part in parts]
        if any(was_suspected):
            self._update_holds(now)
        return any(was_suspected)

    def expire(self, now: float) -> None:
        """Drop suspicions that are too old."""
        expired = [
            part
            for part, item in self._suspects.items()
            if now - item.last_crash_at
            >= (HOLD_SECONDS if part in self._holds else EXPIRY_SECONDS)
        ]
        for part in expired:
            del self._suspects[part]
        if expired:
            self._update_holds(now)

    # Exchange with other hosts.

    @property
    def checksum(self) -> int:
        """Return a checksum of the parts on hold, to compare hosts; 0 if none.

        Mere suspicions need not be the same on all hosts, as they soon end.
        """
        return zlib.crc32(repr(sorted(self._holds)).encode()) if self._holds else 0

    @property
    def has_urgent_notes(self) -> bool:
        """Return whether unsent changes concern a part that may soon be on hold.

        Others can wait, as the loss of a rack leaves hundreds of suspects.
        """
        return any(
            part in self._suspects and part not in self._answered_at
            for part in self._unsent
        )

    def list_notes(self, now: float) -> tuple[PartNote, ...]:
        """Return notes on the parts on hold, for a host that lacks them."""
        return tuple(
            self._build_note(part, self._suspects[part].list_foremost(), now)
            for part in sorted(self._holds)[:MAX_PART_NOTES]
        )

    def take_unsent_notes(self, now: float) -> tuple[PartNote, ...]:
        """Return one message of unsent changes, those with most crashes first."""
        ordered = sorted(self._unsent, key=self._count_crashes, reverse=True)
        unsent = self._unsent
        self._unsent = {part: unsent[part] for part in ordered[MAX_PART_NOTES:]}
        return tuple(
            self._build_note(part, unsent[part], now)
            for part in ordered[:MAX_PART_NOTES]
        )

    def merge(
        self, notes: Iterable[PartNote], now: float, passes_on: bool = True
    ) -> None:
        """Merge the notes of another host.

        A later answer that the other host does not know of is told in any case.

        :param passes_on: whether this host passes on what is new to it.
        """
        unsent = {part: set(runs) for part, runs in self._unsent.items()}
        refuted = self._merge_all(notes, now)
        if not passes_on:
            self._unsent = unsent
        for part in refuted:
            self._unsent.setdefault(part, set())
        self._update_holds(now)

    def _merge_all(self, notes: Iterable[PartNote], now: float) -> list[PromptPart]:
        """Merge notes, and return the parts of which this host knows a later answer."""
        refuted = []
        for note in notes:
            part = PromptPart(note.service, note.part)
            was_proven = part in self._answered_at
            if note.answered >= 0.0:
                answered_at = now - note.answered
                self._set_answered(part, answered_at, AGE_ERROR_SECONDS)
                if not was_proven and part in self._suspects:
                    self._unsent.setdefault(part, set())
            for item in note.ends:
                run = TargetRun(item.target, item.born)
                crash = PartCrash(
                    now - item.age, now - item.sent, item.request, item.account
                )
                if self._is_refuted(part, crash):
                    refuted.append(part)
                else:
                    self._add_crash(part, run, crash, is_shared=True)
                    if part in self._answered_at and note.answered < 0.0:
                        refuted.append(part)
        return refuted

    def _is_refuted(self, part: PromptPart, crash: PartCrash) -> bool:
        """Return whether a part was answered after a crash that another host tells."""
        return crash.at <= self._get_answered_at(part) + AGE_ERROR_SECONDS

    def _build_note(
        self, part: PromptPart, runs: Container[TargetRun], now: float
    ) -> PartNote:
        """Return a note on a part, with those of its crashes that are in ``runs``."""
        suspect = self._suspects.get(part)
        crashes: dict[TargetRun, PartCrash] = {}
        if suspect is not None:
            suspect.is_shared = True
            crashes = suspect.crashes
        ends = tuple(
            PartEndNote(
                run.target,
                run.born,
                round(now - item.at, 2),
                round(now - item.sent_at, 2),
                item.request,
                item.account,
            )
            for run, item in crashes.items()
            if run in runs
        )
        answered_at = self._answered_at.get(part)
        answered = -1.0 if answered_at is None else round(now - answered_at, 2)
        return PartNote(part.service, part.id, ends, answered)

    # Evidence.

    def _get_answered_at(self, part: PromptPart) -> float:
        return self._answered_at.get(part, float("-inf"))

    def _count_crashes(self, part: PromptPart) -> int:
        suspect = self._suspects.get(part)
        return len(suspect.crashes) if suspect else 0

    def _set_answered(self, part: PromptPart, at: float, error: float = 0.0) -> bool:
        """Record an answer; return whether it clears the part of a crash.

        :param error: seconds by which the answer may have been later.
        """
        self._answered_at[part] = max(at, self._get_answered_at(part))
        self._answered_at.move_to_end(part)
        if len(self._answered_at) > MAX_ANSWERED_PARTS:
            self._answered_at.popitem(last=False)
        suspect = self._suspects.get(part)
        if suspect is None or all(
            item.at > at + error for item in suspect.crashes.values()
        ):
            return False
        suspect.crashes = {
            run: item for run, item in suspect.crashes.items() if item.at > at + error
        }
        if not suspect.crashes:
            del self._suspects[part]
            self._unsent.pop(part, None)
        if suspect.is_shared:
            self._unsent.setdefault(part, set())
        return True

    def _add_crash(
        self, part: PromptPart, run: TargetRun, crash: PartCrash, is_shared: bool
    ) -> None:
        """Record a crash since the last answer.

        :param is_shared: another host has told of it.
        """
        if crash.at <= self._get_answered_at(part):
            return
        suspect = self._suspects.get(part)
        if suspect is None:
            self._make_room(crash.account)
            suspect = self._suspects[part] = PartSuspect(crash.account, is_shared)
        crashes = suspect.crashes
        if run in crashes:
            return
        if len(crashes) >= MAX_CRASHES:
            latest = max(crashes, key=lambda item: crashes[item].at)
            if crash.at <= crashes[latest].at:
                return
            del crashes[latest]
        suspect.add_crash(run, crash)
        if len(suspect.crashes) <= MAX_FOREMOST_CRASHES or part in self._holds:
            self._unsent.setdefault(part, set()).add(run)

    def _make_room(self, account: AccountId | None) -> None:
        """Evict a suspect of the account, or of the largest one, if a limit is hit."""
        counts = Counter(item.added_by for item in self._suspects.values())
        if counts[account] < MAX_SUSPECTS_PER_ACCOUNT:
            if len(self._suspects) < MAX_SUSPECTS:
                return
            account = counts.most_common(1)[0][0]
        parts = [
            part for part, item in self._suspects.items() if item.added_by == account
        ]
        del self._suspects[min(parts, key=self._get_eviction_rank)]

    def _get_eviction_rank(self, part: PromptPart) -> tuple[bool, int, float]:
        suspect = self._suspects[part]
        return part in self._holds, len(suspect.crashes), suspect.last_crash_at

    # Holds, which follow from the crashes and answers alone.

    def _update_holds(self, now: float) -> None:
        """Put the parts on hold that explain the crashes.

        The one that explains most comes first; its crashes say nothing about others.
        """
        self._explained.clear()
        left = sorted(
            (
                part
                for part, item in self._suspects.items()
                if len(item.crashes) >= HOLD_MIN_CRASHES
            ),
            key=lambda part: (
                self._is_proven(part, now),
                -self._count_crashes(part),
                part,
            ),
        )
        self._holds = {}
        self._tried_at = {
            part: at for part, at in self._tried_at.items() if part in self._suspects
        }
        for part in left:
            if part in self._holds or not self._is_to_blame(part, now):
                continue
            group = self._list_inseparable(part, left, now)
            self._holds.update(dict.fromkeys(group, group))
            self._explained.update(self._suspects[part].crashes)

    def _is_proven(self, part: PromptPart, now: float) -> bool:
        return now - self._get_answered_at(part) < PROVEN_SECONDS

    def _is_to_blame(self, part: PromptPart, now: float) -> bool:
        """Return whether the crashes that nothing else explains are enough."""
        crashes = [
            item
            for run, item in self._suspects[part].crashes.items()
            if run not in self._explained
        ]
        if len(crashes) < HOLD_MIN_CRASHES:
            return False
        if len({item.request for item in crashes}) < HOLD_MIN_REQUESTS:
            return False
        rounds = len(list_rounds(crashes))
        if not self._is_proven(part, now):
            return rounds >= HOLD_MIN_ROUNDS
        return rounds >= HOLD_MIN_ROUNDS_PROVEN and self._suspects[part].has_control

    def _list_inseparable(
        self, part: PromptPart, parts: Iterable[PromptPart], now: float
    ) -> frozenset[PromptPart]:
        """Return a part with those that were in the same requests at its crashes."""
        requests, is_proven = self._get_requests(part), self._is_proven(part, now)
        return frozenset(
            item
            for item in parts
            if self._get_requests(item) == requests
            and self._is_proven(item, now) == is_proven
        )

    def _get_requests(self, part: PromptPart) -> dict[TargetRun, str]:
        return {run: item.request for run, item in self._suspects[part].crashes.items()}
