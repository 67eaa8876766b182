"""Identification of requests that crash the targets they run on.

Retried like any other, such a request takes down all targets of a service, and each
crash interrupts every stream through the target. A request that has most likely crashed
two targets is therefore put on hold before it reaches a third.

A crash interrupts many requests at once. The likely causes are those that had received
no event from the target yet, above all those that were also running at an earlier
crash. Hosts exchange what they have seen; each crash counts once over all hosts. A
request that completes is cleared.
"""

import zlib
from collections import Counter
from collections.abc import Callable, Iterable, Sequence

from msgspec import Struct, field

from marigoldswitch.core.crash_messages import CrashNote, EndNote
from marigoldswitch.core.fingerprints import Fingerprint
from marigoldswitch.core.ids import AccountId
from marigoldswitch.core.interruptions import Hold, InterruptedRequest, TargetRun

OTHER_CAUSES_WEIGHT = 0.25
"""Weight of all other causes of a crash together; a request without an event and
without earlier crashes weighs 1."""
HAD_EVENT_WEIGHT = 0.01
"""Weight of a request that had already received an event from the target."""
PRIOR_BLAME_WEIGHT = 100.0
"""Added weight of a request for each earlier crash attributed to it."""
HOLD_MIN_BLAME = 1.3
"""Attributed crashes from which a request is put on hold; a single one may have any
cause."""
HOLD_MIN_CRASHES = 4
"""Crashes from which a request is put on hold however small its share of the blame, if
no other request's share in them is more than twice as large."""
SHARE_PERCENT = 25
"""Blame for one crash, in percent, from which other hosts are informed."""
EXPIRY_SECONDS = 600.0
"""Age at which a record is dropped, except during a hold; retries come sooner."""
HOLD_SECONDS = 86_400.0
"""Duration of a hold, from the latest crash."""
MAX_RECORDS = 512
"""Records kept; about a hundred requests pass through a target at once."""
MAX_PER_ACCOUNT = 128
"""Records per client account, so that no account can evict those of others."""
MAX_NOTES = 64
"""Requests in one message; each takes some 50 bytes."""


class _Crash(Struct):
    """One crash of a target, as recorded for one request.

    :ivar at: monotonic time, in seconds.
    :ivar percent: share of the blame that the request bears, in percent.
    """

    at: float
    percent: int


class _Record(Struct):
    """What is known of one request.

    :ivar cleared_at: when it last completed.
    :ivar held_at: latest crash that the hold rests on.
    """

    account: AccountId | None
    crashes: dict[TargetRun, _Crash] = field(default_factory=dict)
    cleared_at: float = float("-inf")
    held_at: float = float("-inf")

    @property
    def is_held(self) -> bool:
        return self.held_at > self.cleared_at

    @property
    def is_shared(self) -> bool:
        """Return whether other hosts need this record."""
        if self.is_held or self.cleared_at > float("-inf"):
            return True
        return any(item.percent >= SHARE_PERCENT for item in self.crashes.values())

    @property
    def changed_at(self) -> float:
        """Return the time of the latest information."""
        crashes = [item.at for item in self.crashes.values()]
        return max([self.cleared_at, self.held_at, *crashes])


class CrashLedger:
    """Crash history by request, as known to this host; times are monotonic seconds.

    :param is_explained: returns whether a crash is known to have another cause than a
        single request. It then says nothing about the requests that ran there.
    """

    def __init__(
        self, is_explained: Callable[[TargetRun], bool] = lambda _: False
    ) -> None:
        self._is_explained = is_explained
        self._records: dict[Fingerprint, _Record] = {}
        self._percents: dict[TargetRun, dict[Fingerprint, int]] = {}
        """Blame of each request for each crash, in percent."""
        self._unsent: dict[Fingerprint, None] = {}
        """Requests with changes that other hosts have not been sent."""
        self._checksum: int | None = 0
        """``None`` if it must be recomputed."""

    def __len__(self) -> int:
        return len(self._records)

    # Events observed by this host.

    def has_record(self, fingerprint: Fingerprint) -> bool:
        """Return whether there is a record of a request."""
        return fingerprint in self._records

    def find_hold(self, fingerprint: Fingerprint, now: float) -> Hold | None:
        """Return the hold on a request, or ``None`` if it may run."""
        record = self._records.get(fingerprint)
        if record is None or not record.is_held or not self._is_to_blame(record):
            return None
        left = record.held_at + HOLD_SECONDS - now
        if left <= 0.0:
            return None
        ends = ((run.target, now - crash.at) for run, crash in record.crashes.items())
        return Hold(left, tuple(ends))

    def list_held(self) -> frozenset[Fingerprint]:
        """Return the requests that were put on hold."""
        return frozenset(name for name, item in self._records.items() if item.is_held)

    def note_crash(
        self, run: TargetRun, requests: Sequence[InterruptedRequest], now: float
    ) -> None:
        """Record a crash and distribute the blame; may be repeated for the same crash.

        :param requests: all requests of this host that the target was running.
        """
        self._checksum = None
        self.expire(now)
        weights: dict[Fingerprint, float] = {}
        for item in requests:
            weight = self._compute_weight(item, run)
            weights[item.fingerprint] = max(weight, weights.get(item.fingerprint, 0.0))
        total = OTHER_CAUSES_WEIGHT + sum(weights.values())
        for item in requests:
            blame = round(100 * weights[item.fingerprint] / total)
            self._add_crash(item.fingerprint, item.account, run, _Crash(now, blame))
        for item in requests:
            self._hold_if_blamed(item.fingerprint)

    def note_completed(self, fingerprint: Fingerprint, now: float) -> bool:
        """Clear a request that has completed; return whether it was a shared
        suspect."""
        record = self._records.get(fingerprint)
        if record is None:
            return False
        self._checksum = None
        if not record.is_shared:
            self._remove_record(fingerprint)
            return False
        was_suspect = bool(record.crashes)
        self._clear_crashes(fingerprint, now)
        if was_suspect:
            self._unsent[fingerprint] = None
        return was_suspect

    def expire(self, now: float) -> None:
        """Drop records that are too old."""
        for name, record in list(self._records.items()):
            if record.is_held and now - record.held_at < HOLD_SECONDS:
                continue
            if now - record.changed_at >= EXPIRY_SECONDS:
                self._checksum = None
                self._remove_record(name)

    # Exchange with other hosts.

    def list_notes(self, now: float) -> tuple[CrashNote, ...]:
        """Return the notes for a host without any; holds first, then the newest."""
        shared = [
            (name, record) for name, record in self._records.items() if record.is_shared
        ]
        shared.sort(
            key=lambda item: (item[1].is_held, item[1].changed_at), reverse=True
        )
        return tuple(
            _build_note(name, record, now) for name, record in shared[:MAX_NOTES]
        )

    @property
    def has_unsent_hold(self) -> bool:
        """Return whether unsent changes concern a request on hold."""
        return any(
            name in self._records and self._records[name].is_held
            for name in self._unsent
        )

    def take_unsent_notes(self, now: float) -> tuple[CrashNote, ...]:
        """Return one message of unsent changes, holds first; the rest stays unsent."""
        records = {
            name: self._records[name]
            for name in self._unsent
            if name in self._records and self._records[name].is_shared
        }
        names = sorted(records, key=lambda name: not records[name].is_held)[:MAX_NOTES]
        self._unsent = dict.fromkeys(name for name in records if name not in names)
        return tuple(_build_note(name, records[name], now) for name in names)

    def merge(self, notes: Iterable[CrashNote], now: float) -> None:
        """Merge the notes of another host."""
        self._checksum = None
        self.expire(now)
        for note in notes:
            self._merge_note(note, now)

    @property
    def checksum(self) -> int:
        """Return a checksum of crashes and holds, to compare hosts; 0 if none.

        Numbers that hosts have given to runs without a stated start don't compare.
        """
        if self._checksum is None:
            self._checksum = self._compute_checksum()
        return self._checksum

    def _compute_checksum(self) -> int:
        shared = sorted(
            (
                name,
                record.is_held,
                sorted({(item.target, max(0, item.born)) for item in record.crashes}),
            )
            for name, record in self._records.items()
            if record.is_shared
        )
        return zlib.crc32(repr(shared).encode()) if shared else 0

    def _compute_weight(self, item: InterruptedRequest, run: TargetRun) -> float:
        if item.had_event:
            return HAD_EVENT_WEIGHT
        record = self._records.get(item.fingerprint)
        if record is None:
            return 1.0
        blame = self._sum_blame(record, run)
        return 1.0 + PRIOR_BLAME_WEIGHT * blame

    def _sum_blame(self, record: _Record, excluded: TargetRun | None = None) -> float:
        """Return the number of crashes attributed to a request, with fractions.

        All requests together are blamed at most once for a crash: a crash interrupts
        requests of several hosts, and each host spreads the blame over its own.

        :param excluded: a crash that is not counted.
        """
        return sum(
            crash.percent / max(100, sum(self._percents[run].values()))
            for run, crash in record.crashes.items()
            if run != excluded and not self._is_explained(run)
        )

    def _hold_if_blamed(self, fingerprint: Fingerprint) -> None:
        """Put a request on hold if too many crashes are attributed to it."""
        record = self._records.get(fingerprint)
        if record is None or not self._is_to_blame(record):
            return
        if not record.is_held:
            self._unsent[fingerprint] = None
        record.held_at = max(item.at for item in record.crashes.values())

    def _is_to_blame(self, record: _Record) -> bool:
        """Return whether enough crashes are attributed to a request."""
        crashes = {
            run: crash
            for run, crash in record.crashes.items()
            if not self._is_explained(run)
        }
        if len(crashes) < 2:
            return False
        likely_count = sum(
            2 * crash.percent >= max(self._percents[run].values())
            for run, crash in crashes.items()
        )
        return (
            self._sum_blame(record) >= HOLD_MIN_BLAME
            or likely_count >= HOLD_MIN_CRASHES
        )

    def _add_crash(
        self,
        fingerprint: Fingerprint,
        account: AccountId | None,
        run: TargetRun,
        crash: _Crash,
    ) -> None:
        record = self._records.get(fingerprint)
        if record is None:
            self._make_room(account)
            record = self._records[fingerprint] = _Record(account)
        if crash.at <= record.cleared_at:
            return
        known = record.crashes.get(run)
        if known is not None:
            crash = _Crash(max(known.at, crash.at), crash.percent)
        if crash.percent >= SHARE_PERCENT and (
            known is None or known.percent != crash.percent
        ):
            self._unsent[fingerprint] = None
        record.crashes[run] = crash
        self._percents.setdefault(run, {})[fingerprint] = crash.percent

    def _merge_note(self, note: CrashNote, now: float) -> None:
        name = note.fingerprint
        record = self._records.get(name)
        if record is None:
            self._make_room(note.account)
            record = self._records[name] = _Record(note.account)
        was_held, had_crashes = record.is_held, bool(record.crashes)
        if note.cleared >= 0.0:
            self._clear_crashes(name, now - note.cleared)
        if had_crashes and not record.crashes:
            self._unsent[name] = None
        for item in note.ends:
            run = TargetRun(item.target, item.born)
            known = record.crashes.get(run)
            blame = max(item.blame, known.percent if known else 0)
            self._add_crash(name, note.account, run, _Crash(now - item.age, blame))
        if note.held >= 0.0 and now - note.held > record.cleared_at:
            record.held_at = max(record.held_at, now - note.held)
        if record.is_held and not was_held:
            self._unsent[name] = None
        self._hold_if_blamed(name)

    def _clear_crashes(self, fingerprint: Fingerprint, at: float) -> None:
        """Remove the crashes up to a moment at which a request completed."""
        record = self._records[fingerprint]
        record.cleared_at = max(record.cleared_at, at)
        for run, crash in list(record.crashes.items()):
            if crash.at <= at:
                del record.crashes[run]
                self._remove_blame(run, fingerprint)

    def _remove_blame(self, run: TargetRun, fingerprint: Fingerprint) -> None:
        blames = self._percents[run]
        del blames[fingerprint]
        if not blames:
            del self._percents[run]

    def _make_room(self, account: AccountId | None) -> None:
        """Evict a record of the account, or of the largest one, if a limit is hit."""
        counts = Counter(item.account for item in self._records.values())
        if counts[account] < MAX_PER_ACCOUNT:
            if len(self._records) < MAX_RECORDS:
                return
            account = counts.most_common(1)[0][0]
        names = [
            name for name, item in self._records.items() if item.account == account
        ]
        self._remove_record(min(names, key=self._get_eviction_rank))

    def _get_eviction_rank(self, fingerprint: Fingerprint) -> tuple[bool, float, float]:
        record = self._records[fingerprint]
        return record.is_held, self._sum_blame(record), record.changed_at

    def _remove_record(self, fingerprint: Fingerprint) -> None:
        for run in self._records.pop(fingerprint).crashes:
            self._remove_blame(run, fingerprint)


def _build_note(fingerprint: Fingerprint, record: _Record, now: float) -> CrashNote:
    ends = tuple(
        EndNote(run.target, run.born, round(now - crash.at, 2), crash.percent)
        for run, crash in record.crashes.items()
    )
    held = now - record.held_at if record.is_held else -1.0
    cleared = now - record.cleared_at if record.cleared_at > float("-inf") else -1.0
    return CrashNote(
        fingerprint, record.account, ends, round(held, 2), round(cleared, 2)
    )
