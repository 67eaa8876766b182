"""Which requests end the targets that run them, judged by the ends that hosts see.

Load it answers: a request that ends each target which begins to run it. Sent again like
any other, it ends every target of a service, and each end cuts off all streams that
pass through the target. One that has most likely ended two targets is held off, before
anyone else pays for a third.

A target that ends cuts off many requests at once. Those to which it had not brought a
word are the likely ones, and among them those that were there at an earlier end. What
is known of an end adds up over all hosts, and each end counts once. A request that runs
to its end is cleared.
"""

import zlib
from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from marigoldswitch.core.fingerprints import Fingerprint
from marigoldswitch.core.gateway_messages import CrashNote, EndNote
from marigoldswitch.core.ids import AccountId, TargetId

UNKNOWN_CAUSE = 0.25
"""Weight of all other causes of an end, where that of one request which had no word of
the target is 1."""
SERVED_WEIGHT = 0.01
"""Weight of a request to which the target had brought something."""
SUSPECT_WEIGHT = 100.0
"""What a request weighs more for each end that it is to blame for."""
HELD_BLAME = 1.3
"""Ends for which a request is to blame from which it is held off. One end by itself may
have any cause."""
HELD_ENDS = 4
"""The same for ends that nothing explains better, whatever the blame for each."""
TOLD_BLAME = 25
"""Hundredths of an end from which other hosts are told."""
END_SECONDS = 600.0
"""Time for which an end counts: requests that are sent again come sooner."""
HOLD_SECONDS = 86_400.0
"""Time for which a request is held off."""
MOST_RECORDS = 512
"""Requests of which ends are known: a hundred or so pass through a target."""
MOST_OF_ACCOUNT = 128
"""The same for one client account, so that none can push out what is known of others'
requests."""
MOST_TOLD = 64
"""Requests told of in one message; each takes some 50 bytes."""


@dataclass(frozen=True, slots=True)
class TargetStart:
    """A target from one of its starts to its end.

    :param born: when it started, in ms since 1970; 0 where it is not known.
    """

    target: TargetId
    born: int


@dataclass(frozen=True, slots=True)
class CutRequest:
    """A request that a target ran when it ended.

    :param had_event: the target had brought something of its answer.
    """

    fingerprint: Fingerprint
    account: AccountId | None
    had_event: bool


@dataclass(frozen=True, slots=True)
class Hold:
    """Why a request is held off.

    :param left: seconds until it may run again.
    :param ends: the targets that it ended, and how long ago in seconds.
    """

    left: float
    ends: tuple[tuple[TargetId, float], ...]


@dataclass(slots=True)
class _End:
    """An end of a target.

    :ivar blame: of the request for it, in hundredths.
    """

    at: float
    blame: int


@dataclass(slots=True)
class _Record:
    account: AccountId | None
    ends: dict[TargetStart, _End] = field(default_factory=dict)
    cleared: float = float("-inf")
    """When it last ran to its end."""
    held: float = float("-inf")
    """The last end for which it was held off."""

    @property
    def is_held(self) -> bool:
        return self.held > self.cleared

    @property
    def is_told(self) -> bool:
        """Tell whether other hosts must know of it."""
        if self.is_held or self.cleared > float("-inf"):
            return True
        return any(item.blame >= TOLD_BLAME for item in self.ends.values())

    @property
    def changed(self) -> float:
        """Return when anything was last learnt of it."""
        ends = [item.at for item in self.ends.values()]
        return max([self.cleared, self.held, *ends])


class CrashLedger:
    """The ends of targets by request, as far as this host knows."""

    def __init__(self) -> None:
        self._records: dict[Fingerprint, _Record] = {}
        self._blames: dict[TargetStart, dict[Fingerprint, int]] = {}
        """For each end, how much each request is to blame, in hundredths."""
        self._news: dict[Fingerprint, None] = {}
        """Requests of which something was learnt that others have not been told."""
        self._checksum: int | None = 0
        """``None`` until it is worked out again."""

    def __len__(self) -> int:
        return len(self._records)

    # What this host sees.

    def knows(self, fingerprint: Fingerprint) -> bool:
        """Tell whether a request was running at the end of a target."""
        return fingerprint in self._records

    def find_hold(self, fingerprint: Fingerprint, now: float) -> Hold | None:
        """Return why a request must not run now, or ``None`` if it may."""
        record = self._records.get(fingerprint)
        if record is None or not record.is_held:
            return None
        left = record.held + HOLD_SECONDS - now
        if left <= 0.0:
            return None
        ends = ((item.target, now - end.at) for item, end in record.ends.items())
        return Hold(left, tuple(ends))

    def note_end(
        self, start: TargetStart, cut: Sequence[CutRequest], now: float
    ) -> None:
        """Learn which requests a target ran when it ended; may be told again."""
        self._checksum = None
        self.expire(now)
        weights: dict[Fingerprint, float] = {}
        for item in cut:
            weight = self._weigh(item, start)
            weights[item.fingerprint] = max(weight, weights.get(item.fingerprint, 0.0))
        total = UNKNOWN_CAUSE + sum(weights.values())
        for item in cut:
            blame = round(100 * weights[item.fingerprint] / total)
            self._put_end(item.fingerprint, item.account, start, _End(now, blame))
        for item in cut:
            self._judge(item.fingerprint)

    def note_served(self, fingerprint: Fingerprint, now: float) -> bool:
        """Learn that a request has run to its end; tell whether it was suspect."""
        record = self._records.get(fingerprint)
        if record is None:
            return False
        self._checksum = None
        if not record.is_told:
            self._drop(fingerprint)
            return False
        was_suspect = bool(record.ends)
        self._clear(fingerprint, now)
        if was_suspect:
            self._news[fingerprint] = None
        return was_suspect

    def expire(self, now: float) -> None:
        """Forget what is too old to count."""
        for name, record in list(self._records.items()):
            if record.is_held and now - record.held < HOLD_SECONDS:
                continue
            if now - record.changed >= END_SECONDS:
                self._checksum = None
                self._drop(name)

    # What hosts tell each other.

    def list_notes(self, now: float) -> tuple[CrashNote, ...]:
        """Return what a host that knows nothing must be told, the newest first."""
        told = [
            (name, record) for name, record in self._records.items() if record.is_told
        ]
        told.sort(key=lambda item: (item[1].is_held, item[1].changed), reverse=True)
        return tuple(
            _write_note(name, record, now) for name, record in told[:MOST_TOLD]
        )

    @property
    def has_urgent_news(self) -> bool:
        """Tell whether others don't know yet that a request is held off."""
        return any(
            name in self._records and self._records[name].is_held for name in self._news
        )

    def take_news(self, now: float) -> tuple[CrashNote, ...]:
        """Return what was learnt since the last time and others must know."""
        records = {
            name: self._records[name]
            for name in self._news
            if name in self._records and self._records[name].is_told
        }
        names = sorted(records, key=lambda name: not records[name].is_held)[:MOST_TOLD]
        self._news = dict.fromkeys(name for name in records if name not in names)
        return tuple(_write_note(name, records[name], now) for name in names)

    def merge(self, notes: Iterable[CrashNote], now: float) -> None:
        """Take what another host knows."""
        self._checksum = None
        self.expire(now)
        for note in notes:
            self._take_note(note, now)

    @property
    def checksum(self) -> int:
        """Return a number that two hosts share if they know the same; 0 for nothing."""
        if self._checksum is None:
            self._checksum = self._sum_up()
        return self._checksum

    def _sum_up(self) -> int:
        told = sorted(
            (
                name,
                record.is_held,
                sorted((item.target, item.born) for item in record.ends),
            )
            for name, record in self._records.items()
            if record.is_told
        )
        return zlib.crc32(repr(told).encode()) if told else 0

    # Parts of these.

    def _weigh(self, item: CutRequest, start: TargetStart) -> float:
        if item.had_event:
            return SERVED_WEIGHT
        record = self._records.get(item.fingerprint)
        if record is None:
            return 1.0
        blame = self._sum_blame(record, start)
        return 1.0 + SUSPECT_WEIGHT * blame

    def _sum_blame(self, record: _Record, apart: TargetStart | None = None) -> float:
        """Return the ends for which a request is to blame.

        Each end counts once for all requests together: hosts judge by their own, and a
        target that ends cuts off those of several hosts.

        :param apart: an end that is left out.
        """
        return sum(
            end.blame / max(100, sum(self._blames[start].values()))
            for start, end in record.ends.items()
            if start != apart
        )

    def _judge(self, fingerprint: Fingerprint) -> None:
        """Hold a request off if it is to blame for too many ends."""
        record = self._records.get(fingerprint)
        if record is None or len(record.ends) < 2:
            return
        unexplained = sum(
            2 * end.blame >= max(self._blames[start].values())
            for start, end in record.ends.items()
        )
        if self._sum_blame(record) < HELD_BLAME and unexplained < HELD_ENDS:
            return
        if not record.is_held:
            self._news[fingerprint] = None
        record.held = max(item.at for item in record.ends.values())

    def _put_end(
        self,
        fingerprint: Fingerprint,
        account: AccountId | None,
        start: TargetStart,
        end: _End,
    ) -> None:
        record = self._records.get(fingerprint)
        if record is None:
            self._make_room(account)
            record = self._records[fingerprint] = _Record(account)
        if end.at <= record.cleared:
            return
        known = record.ends.get(start)
        if known is not None:
            end = _End(max(known.at, end.at), end.blame)
        if end.blame >= TOLD_BLAME and (known is None or known.blame != end.blame):
            self._news[fingerprint] = None
        record.ends[start] = end
        self._blames.setdefault(start, {})[fingerprint] = end.blame

    def _take_note(self, note: CrashNote, now: float) -> None:
        name = note.fingerprint
        record = self._records.get(name)
        if record is None:
            self._make_room(note.account)
            record = self._records[name] = _Record(note.account)
        was_held, had_ends = record.is_held, bool(record.ends)
        if note.cleared >= 0.0:
            self._clear(name, now - note.cleared)
        if had_ends and not record.ends:
            self._news[name] = None
        for item in note.ends:
            start = TargetStart(item.target, item.born)
            known = record.ends.get(start)
            blame = max(item.blame, known.blame if known else 0)
            self._put_end(name, note.account, start, _End(now - item.age, blame))
        if note.held >= 0.0 and now - note.held > record.cleared:
            record.held = max(record.held, now - note.held)
        if record.is_held and not was_held:
            self._news[name] = None
        self._judge(name)

    def _clear(self, fingerprint: Fingerprint, at: float) -> None:
        """Forget the ends before a moment at which a request ran well."""
        record = self._records[fingerprint]
        record.cleared = max(record.cleared, at)
        for start, end in list(record.ends.items()):
            if end.at <= at:
                del record.ends[start]
                self._forget_blame(start, fingerprint)

    def _forget_blame(self, start: TargetStart, fingerprint: Fingerprint) -> None:
        blames = self._blames[start]
        del blames[fingerprint]
        if not blames:
            del self._blames[start]

    def _make_room(self, account: AccountId | None) -> None:
        """Drop the least of the account's records, or of the fullest account."""
        counts = Counter(item.account for item in self._records.values())
        if counts[account] < MOST_OF_ACCOUNT:
            if len(self._records) < MOST_RECORDS:
                return
            account = counts.most_common(1)[0][0]
        names = [
            name for name, item in self._records.items() if item.account == account
        ]
        self._drop(min(names, key=self._rank))

    def _rank(self, fingerprint: Fingerprint) -> tuple[bool, float, float]:
        record = self._records[fingerprint]
        return record.is_held, self._sum_blame(record), record.changed

    def _drop(self, fingerprint: Fingerprint) -> None:
        for start in self._records.pop(fingerprint).ends:
            self._forget_blame(start, fingerprint)


def _write_note(fingerprint: Fingerprint, record: _Record, now: float) -> CrashNote:
    ends = tuple(
        EndNote(start.target, start.born, round(now - end.at, 2), end.blame)
        for start, end in record.ends.items()
    )
    held = now - record.held if record.is_held else -1.0
    cleared = now - record.cleared if record.cleared > float("-inf") else -1.0
    return CrashNote(
        fingerprint, record.account, ends, round(held, 2), round(cleared, 2)
    )
