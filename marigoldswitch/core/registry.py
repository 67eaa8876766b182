"""Which targets there are, from a feed of rows that lags and is at times cut off.

Load it answers: a store outage. Entries lapse while the store is away although their
targets live; were they dropped at once, its return would empty the pools. They are kept
for a moment after the feed is back and dropped if they have not come back by then.
"""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, replace
from enum import Enum

from marigoldswitch.core.catalogue import LayerRange, Target
from marigoldswitch.core.ids import ServiceName, TargetId
from marigoldswitch.core.revisions import get_era

RETURN_SECONDS = 1.3
"""How long an entry that lapsed during an outage may take to come back: targets write
theirs within 2 s of the store's return, counted here from the first look that saw it
gone; a leaving target may still get work for 2 s, so this stays below."""
COPY_RETURN_SECONDS = 2.2
"""The same where the store has come back from an older copy: targets write theirs again
as after an outage, and the first look may come at once."""
OUTAGE_SECONDS = 3.0
"""A feed that was cut off this short a time ago may still tell of lapses."""


ENDING_SECONDS = 0.75
"""Time after which work in flight is moved away from a leaving target: it serves for
2 s and little longer, half of the streams through it end before by themselves, and the
others need some time to move one after the other."""


class Change(Enum):
    """What happened to a target."""

    ADDED = "added"
    UPDATED = "updated"
    LEAVING = "leaving"
    GONE = "gone"
    NOT_TAKEN_BACK = "not_taken_back"
    """Its row is there again, from a copy of the store, after it has left or ended."""


@dataclass(frozen=True, slots=True)
class TargetRow:
    """A target as its row in the store has it.

    :param leaving: it has said that it is shutting down.
    :param revision: version of the row; the higher one is newer.
    :param born: when the target started, in ms since 1970; 0 where it does not say. One
        that starts again under its id holds nothing of what it held before.
    """

    target: Target
    leaving: bool
    revision: int
    born: int = 0


@dataclass(frozen=True, slots=True)
class StoreRestored:
    """The store has come back from an older copy.

    :param revision: its newest place when that was seen.
    :param before: the newest place known until then.
    """

    revision: int
    before: int


MOST_GONE = 1000
"""Dropped targets that are remembered, far more than end within the age of a copy."""

Listener = Callable[[Change, Target], None]


class TargetRegistry:
    """The targets by id, with who is leaving."""

    def __init__(self) -> None:
        self.targets: dict[TargetId, Target] = {}
        """Those that may get new work."""
        self.revision = 0
        """Version of the newest row seen."""
        self._rows: dict[TargetId, TargetRow] = {}
        self._by_address: dict[str, TargetId] = {}
        self._lapsed: dict[TargetId, float] = {}
        self._leaving: dict[TargetId, float] = {}
        """When each leaving target was seen to leave."""
        self.knows_service: Callable[[ServiceName], bool] = lambda _: True
        """Tells whether the configuration names a service."""
        self._broken_at: float | None = None
        self._era_begin = 0
        """Revision up to which rows may be from the copy that the store last came back
        from; 0 while it never has."""
        self._gone: dict[TargetId, _Gone] = {}
        """Targets that were dropped, the latest ones."""
        self._listeners: list[Listener] = []
        self._era_at = float("-inf")
        """When the store was seen to have come back from a copy."""
        self._era_listeners: list[Callable[[StoreRestored], None]] = []

    def watch(self, listener: Listener) -> None:
        """Call ``listener`` after each change of a target."""
        self._listeners.append(listener)

    def watch_eras(self, listener: Callable[[StoreRestored], None]) -> None:
        """Call ``listener`` each time the store has come back from an older copy."""
        self._era_listeners.append(listener)

    @property
    def rows(self) -> Mapping[TargetId, TargetRow]:
        """Return all rows, leaving targets among them."""
        return self._rows

    @property
    def lapsed(self) -> tuple[TargetId, ...]:
        """Return the targets whose rows are gone and may come back."""
        return tuple(self._lapsed)

    def list_targets(self, service: ServiceName) -> list[Target]:
        """Return the targets of a service that may get new work."""
        return [item for item in self.targets.values() if item.service == service]

    def list_leaving(self, service: ServiceName, since: float) -> list[Target]:
        """Return the targets of a service that were seen to leave after a moment."""
        return [
            row.target
            for name, row in self._rows.items()
            if self._leaving.get(name, float("-inf")) > since
            and row.target.service == service
        ]

    def is_ending(self, name: TargetId, now: float) -> bool:
        """Tell whether a target is gone, or has been leaving for a while."""
        if name not in self._rows:
            return True
        since = self._leaving.get(name)
        return since is not None and now - since >= ENDING_SECONDS

    def note_outage(self, now: float) -> None:
        """Learn that the feed was cut off just now."""
        self._broken_at = now

    def replace_all(
        self,
        rows: Iterable[TargetRow],
        revision: int,
        now: float,
        settled: bool = False,
    ) -> None:
        """Take a whole list of rows; those that it lacks have been removed.

        :param settled: the list is that of a host whose feed is not cut off, so that
            what it lacks is gone.
        """
        if get_era(revision) > get_era(self.revision) and self.revision:
            self._begin_era(revision, now)
        names = set()
        for row in rows:
            names.add(row.target.id)
            self.put(row, now)
        for name in [name for name in self._rows if name not in names]:
            if settled:
                self._lapsed.pop(name, None)
                self._drop(name)
            else:
                self.remove(name, now)
        self.revision = max(self.revision, revision)

    def put(self, row: TargetRow, now: float) -> None:
        """Take a row; an older one than that known changes nothing."""
        name = row.target.id
        known = self._rows.get(name)
        if known is not None and _is_older(row, known):
            return
        if self._era_begin:
            fresh = self._doubt(row, known)
            if fresh is None:
                return
            row = fresh
        if known is not None and row.born > known.born > 0:
            self._drop(name)
            known = None
        self._lapsed.pop(name, None)
        self._gone.pop(name, None)
        self.revision = max(self.revision, row.revision)
        self._rows[name] = row
        if self.knows_service(row.target.service):
            # Others name no target to use, nor do they take the address of one.
            self._replace_predecessor(row)
            self._by_address[row.target.address] = name
        if row.leaving:
            self._leaving.setdefault(name, now)
            if self.targets.pop(name, None) is not None or known is None:
                self._tell(Change.LEAVING, row.target)
            return
        changed = self.targets.get(name) != row.target
        self.targets[name] = row.target
        if known is None:
            self._tell(Change.ADDED, row.target)
        elif changed:
            self._tell(Change.UPDATED, row.target)

    def _begin_era(self, revision: int, now: float) -> None:
        """Learn that the store has come back from an older copy.

        What it lacks may be written again in a moment, so that it lapses only.
        """
        restored = StoreRestored(revision, self.revision)
        self._era_begin, self._era_at = revision, now
        self._broken_at = now
        for listener in self._era_listeners:
            listener(restored)

    def _doubt(self, row: TargetRow, known: TargetRow | None) -> TargetRow | None:
        """Return what to believe of a row after the store came back from a copy.

        Rows of the copy say less than what is known: a target that has left, or ended,
        since the copy was made does not come back by its old row, and what a live one
        holds stands until it has written again.
        """
        name = row.target.id
        is_copied = row.revision <= self._era_begin
        if known is None:
            gone = self._gone.get(name)
            if gone is None or row.born > gone.born > 0:
                return None if is_copied and self._is_taken(row) else row
            if is_copied or gone.was_leaving:
                self._tell(Change.NOT_TAKEN_BACK, row.target)
                return None
            return row
        if row.born > known.born > 0:
            return row
        leaving = known.leaving or row.leaving
        if is_copied:
            return replace(known, revision=row.revision, leaving=leaving)
        return replace(row, leaving=leaving)

    def _is_taken(self, row: TargetRow) -> bool:
        """Tell whether another target is known at the address of a row."""
        return self._by_address.get(row.target.address, row.target.id) != row.target.id

    def remove(self, name: TargetId, now: float) -> None:
        """Take the removal of a row."""
        if name not in self._rows or name in self._lapsed:
            return
        broken = self._broken_at
        if broken is not None and now - broken < OUTAGE_SECONDS:
            self.lapse(name, now)
            return
        self._drop(name)

    def lapse(self, name: TargetId, now: float) -> None:
        """Take the removal of a row that may come back for a moment."""
        if name in self._rows:
            is_copy = now - self._era_at < OUTAGE_SECONDS
            seconds = COPY_RETURN_SECONDS if is_copy else RETURN_SECONDS
            self._lapsed[name] = now + seconds

    def expire(self, now: float) -> None:
        """Drop entries that lapsed in an outage and have not come back."""
        for name in [name for name, end in self._lapsed.items() if end <= now]:
            del self._lapsed[name]
            self._drop(name)

    def note_layers(
        self, name: TargetId, layers: LayerRange | None, born: int = 0
    ) -> None:
        """Learn what an engine holds sooner than its row says so.

        :param born: when the engine that holds it started; 0 where that is not known.
        """
        row = self._rows.get(name)
        if row is None or 0 < born < row.born:
            return
        if born > row.born > 0:
            self._restart(row, layers, born)
            return
        if row.target.layers == layers:
            return
        target = replace(row.target, layers=layers)
        self._rows[name] = replace(row, target=target)
        if name in self.targets:
            self.targets[name] = target
            self._tell(Change.UPDATED, target)

    def list_engines(self) -> list[Target]:
        """Return the targets that run layers of a model, whatever their state."""
        return [row.target for row in self._rows.values() if row.target.accelerator]

    def get_born(self, name: TargetId) -> int:
        """Return when a target started, in ms since 1970; 0 where it is not known."""
        row = self._rows.get(name)
        return row.born if row is not None else 0

    def _restart(self, row: TargetRow, layers: LayerRange | None, born: int) -> None:
        """Take a target that has started again: what was known of it has ended."""
        leaving = self._leaving.get(row.target.id)
        self._drop(row.target.id)
        target = replace(row.target, layers=layers)
        fresh = replace(row, target=target, born=born)
        self.put(fresh, leaving if leaving is not None else 0.0)

    def _replace_predecessor(self, row: TargetRow) -> None:
        """Drop the target whose address a newer one has: it has been restarted."""
        old = self._by_address.get(row.target.address)
        if old is None or old == row.target.id or old not in self._rows:
            return
        if self._rows[old].revision < row.revision:
            self._lapsed.pop(old, None)
            self._drop(old)

    def _drop(self, name: TargetId) -> None:
        row = self._rows.pop(name)
        self._gone[name] = _Gone(row.born, row.leaving)
        if len(self._gone) > MOST_GONE:
            del self._gone[next(iter(self._gone))]
        self._leaving.pop(name, None)
        self.targets.pop(name, None)
        if self._by_address.get(row.target.address) == name:
            del self._by_address[row.target.address]
        self._tell(Change.GONE, row.target)

    def _tell(self, change: Change, target: Target) -> None:
        for listener in self._listeners:
            listener(change, target)


@dataclass(frozen=True, slots=True)
class _Gone:
    """A target that was dropped."""

    born: int
    was_leaving: bool


def _is_older(row: TargetRow, known: TargetRow) -> bool:
    """Tell whether a row says less than what is known.

    A row of an earlier start is older whatever its revision: it may come late.
    """
    if row.born and known.born and row.born != known.born:
        return row.born < known.born
    return row.revision < known.revision
