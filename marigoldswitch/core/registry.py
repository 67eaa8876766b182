"""Registry of the known targets, fed from the rows of the store.

The feed lags and is interrupted at times. During a store outage, entries expire in the
store although their targets are alive; dropping them at once would empty the pools when
the store returns. Such entries are kept for a grace period after the feed is back and
dropped if they have not reappeared by then.
"""

from collections.abc import Callable, Iterable, Mapping
from enum import Enum

from msgspec import Struct
from msgspec.structs import replace

from marigoldswitch.core.catalogue import LayerRange, Target
from marigoldswitch.core.ids import ServiceName, TargetId
from marigoldswitch.core.revisions import get_era

GRACE_SECONDS = 1.3
"""Grace period for an entry that lapsed during an outage. Targets rewrite their entries
within 2 s of the store's return; the period starts at the first read that misses the
entry. It stays below 2 s, the time for which a leaving target may still get work."""
RESTORE_GRACE_SECONDS = 2.2
"""Grace period after the store was restored from an older copy. Targets rewrite their
entries as after an outage, but the first read may come immediately."""
RECENT_OUTAGE_SECONDS = 3.0
"""Time after a feed failure in which removed rows are treated as lapsed."""


ENDING_SECONDS = 0.75
"""Time after which work in flight is moved away from a leaving target. The target
serves for little more than 2 s; half of its streams end by themselves within this
delay, and the others need the rest to move one after the other."""


class Change(Enum):
    """Kind of change to a target, as passed to listeners."""

    ADDED = "added"
    UPDATED = "updated"
    LEAVING = "leaving"
    GONE = "gone"
    NOT_TAKEN_BACK = "not_taken_back"
    """A restored store shows the row of a target that has left or ended; ignored."""


class TargetRow(Struct, frozen=True):
    """A target as described by its row in the store.

    :param leaving: whether the target has announced that it is shutting down.
    :param revision: revision of the row; a higher one is newer.
    :param born: when the target started, in ms since 1970; 0 if unknown. A target that
        restarts under the same id has lost everything that it held.
    :param cold_seconds: how much longer it stays slow after its start, as it has stated
        in this row.
    """

    target: Target
    leaving: bool
    revision: int
    born: int = 0
    cold_seconds: float = 0.0


class StoreRestored(Struct, frozen=True):
    """Event: the store was restored from an older copy.

    :param revision: newest revision of the store when the restore was detected.
    :param previous_revision: newest revision known until then.
    """

    revision: int
    previous_revision: int


MAX_DROPPED = 1000
"""Dropped targets to remember, far more than can end within the age of a copy."""

Listener = Callable[[Change, Target], None]


class TargetRegistry:
    """The known targets by id, and which of them are leaving."""

    def __init__(self) -> None:
        self.targets: dict[TargetId, Target] = {}
        """Targets that may get new work."""
        self.revision = 0
        """Revision up to which the targets are known."""
        self._rows: dict[TargetId, TargetRow] = {}
        self._by_address: dict[str, TargetId] = {}
        self._lapsed: dict[TargetId, float] = {}
        self._leaving: dict[TargetId, float] = {}
        """When each leaving target was first seen leaving."""
        self._stated_leaving: dict[TargetId, int] = {}
        """Targets that have said themselves that they leave, and when these started;
        the oldest first. Rows that still call them ready don't take that back."""
        self.knows_service: Callable[[ServiceName], bool] = lambda _: True
        """Returns whether the configuration has a service of this name."""
        self._feed_failed_at: float | None = None
        self._restored_revision = 0
        """Newest revision at the last restore: rows up to it may be from the copy; 0 if
        the store was never restored."""
        self._dropped: dict[TargetId, _DroppedTarget] = {}
        """The most recently dropped targets, oldest first."""
        self._listeners: list[Listener] = []
        self._restored_at = float("-inf")
        """When the last restore of the store was detected."""
        self._restore_listeners: list[Callable[[StoreRestored], None]] = []

    def watch(self, listener: Listener) -> None:
        """Call ``listener`` after each change of a target."""
        self._listeners.append(listener)

    def watch_restores(self, listener: Callable[[StoreRestored], None]) -> None:
        """Call ``listener`` each time the store was restored from an older copy."""
        self._restore_listeners.append(listener)

    @property
    def rows(self) -> Mapping[TargetId, TargetRow]:
        """Return all rows, including those of leaving targets."""
        return self._rows

    @property
    def lapsed(self) -> tuple[TargetId, ...]:
        """Return the targets whose rows are missing and within the grace period."""
        return tuple(self._lapsed)

    def list_targets(self, service: ServiceName) -> list[Target]:
        """Return the targets of a service that may get new work."""
        return [item for item in self.targets.values() if item.service == service]

    def list_leaving(self, service: ServiceName, since: float) -> list[Target]:
        """Return the targets of a service that began to leave after ``since``."""
        return [
            row.target
            for name, row in self._rows.items()
            if self._leaving.get(name, float("-inf")) > since
            and row.target.service == service
        ]

    def note_leaving(self, name: TargetId, now: float, born: int = 0) -> bool:
        """Record that a target has said itself that it leaves.

        It holds until the target restarts, whatever its row says.

        :param born: when that target started, in ms since 1970; 0 if unknown.
        :return: whether this was not known yet.
        """
        row = self._rows.get(name)
        if row is None or name in self._stated_leaving or 0 < born < row.born:
            return False
        self._stated_leaving[name] = row.born
        if len(self._stated_leaving) > MAX_DROPPED:
            del self._stated_leaving[next(iter(self._stated_leaving))]
        self.put(row, now)
        return True

    def list_stated_leaving(self) -> list[TargetRow]:
        """Return the rows of targets that have said themselves that they leave."""
        return [self._rows[name] for name in self._stated_leaving if name in self._rows]

    def is_ending(self, name: TargetId, now: float) -> bool:
        """Return whether work in flight must move away from a target.

        True if the target is unknown or has been leaving for ``ENDING_SECONDS``.
        """
        if name not in self._rows:
            return True
        since = self._leaving.get(name)
        return since is not None and now - since >= ENDING_SECONDS

    def note_outage(self, now: float) -> None:
        """Record that the feed failed at ``now``."""
        self._feed_failed_at = now

    def replace_all(
        self,
        rows: Iterable[TargetRow],
        revision: int,
        now: float,
        is_authoritative: bool = False,
    ) -> None:
        """Replace all rows by a complete list; rows missing from it count as removed.

        :param is_authoritative: whether the list comes from a host with a working feed,
            so that missing targets are dropped without a grace period.
        """
        if get_era(revision) > get_era(self.revision) and self.revision:
            self._note_restore(revision, now)
        names = set()
        for row in rows:
            names.add(row.target.id)
            self.put(row, now)
        for name in [name for name in self._rows if name not in names]:
            if is_authoritative:
                self._drop(name)
            else:
                self.remove(name, now)
        self.revision = max(self.revision, revision)

    def put(self, row: TargetRow, now: float) -> None:
        """Add or update a target from a row; an outdated row is ignored."""
        name = row.target.id
        known = self._rows.get(name)
        is_of_other_writer = known is not None and _is_of_other_writer(row, known)
        if known is not None and _is_older(row, known):
            return
        if known is not None and is_of_other_writer:
            row = self._keep_start(row, known)
        row = self._keep_leaving(row)
        if self._restored_revision:
            reconciled = self._reconcile(row, known)
            if reconciled is None:
                return
            row = reconciled
        if is_of_other_writer:
            self._leaving.pop(name, None)
        elif known is not None and row.born > known.born > 0:
            self._drop(name)
            known = None
        self._lapsed.pop(name, None)
        self._dropped.pop(name, None)
        self.revision = max(self.revision, row.revision)
        self._rows[name] = row
        self._claim_address(row)
        if row.leaving:
            self._leaving.setdefault(name, now)
            if self.targets.pop(name, None) is not None or known is None:
                self._notify(Change.LEAVING, row.target)
            return
        changed = self.targets.get(name) != row.target
        self.targets[name] = row.target
        if known is None:
            self._notify(Change.ADDED, row.target)
        elif changed:
            self._notify(Change.UPDATED, row.target)

    def _keep_start(self, row: TargetRow, known: TargetRow) -> TargetRow:
        """Return a row that another writer has put in the place of a target's own.

        If its service is unknown, it says nothing of the target's start and leaving.
        """
        is_overwritten = self.knows_service(
            known.target.service
        ) and not self.knows_service(row.target.service)
        if not is_overwritten:
            return row
        return replace(row, born=known.born, leaving=known.leaving)

    def _keep_leaving(self, row: TargetRow) -> TargetRow:
        """Return a row as leaving if its target has said so since it started."""
        born = self._stated_leaving.get(row.target.id)
        if born is None:
            return row
        if row.born > born > 0:
            del self._stated_leaving[row.target.id]
            return row
        return replace(row, leaving=True)

    def _note_restore(self, revision: int, now: float) -> None:
        """Record that the store was restored from an older copy.

        Rows missing from the copy may soon be rewritten, so their targets lapse instead
        of being dropped.
        """
        restored = StoreRestored(revision, self.revision)
        self._restored_revision, self._restored_at = revision, now
        self._feed_failed_at = now
        for listener in self._restore_listeners:
            listener(restored)

    def _reconcile(self, row: TargetRow, known: TargetRow | None) -> TargetRow | None:
        """Merge a row with what is known, after the store was restored from a copy.

        Rows from the copy are outdated: they don't revive a target that has left or
        ended since the copy was made, and what is known of a live target stands until
        the target rewrites its row.

        :return: the row to store, or ``None`` to ignore the row.
        """
        name = row.target.id
        is_from_copy = row.revision <= self._restored_revision
        if known is None:
            dropped = self._dropped.get(name)
            if dropped is None or row.born > dropped.born > 0:
                return None if is_from_copy and self._is_address_taken(row) else row
            if is_from_copy or dropped.was_leaving:
                self._notify(Change.NOT_TAKEN_BACK, row.target)
                return None
            return row
        if row.born > known.born > 0:
            return row
        if _is_of_other_writer(row, known) and not is_from_copy:
            return row
        leaving = known.leaving or row.leaving
        if is_from_copy:
            return replace(known, revision=row.revision, leaving=leaving)
        return replace(row, leaving=leaving)

    def _is_address_taken(self, row: TargetRow) -> bool:
        """Return whether another target is known at the row's address."""
        return self.has_successor(row.target)

    def remove(self, name: TargetId, now: float) -> None:
        """Handle a removed row: drop its target, or let it lapse during an outage."""
        if name not in self._rows or name in self._lapsed:
            return
        failed_at = self._feed_failed_at
        if failed_at is not None and now - failed_at < RECENT_OUTAGE_SECONDS:
            self.lapse(name, now)
            return
        self._drop(name)

    def lapse(self, name: TargetId, now: float) -> None:
        """Mark a target's row as missing and start its grace period."""
        if name in self._rows:
            is_after_restore = now - self._restored_at < RECENT_OUTAGE_SECONDS
            grace_seconds = RESTORE_GRACE_SECONDS if is_after_restore else GRACE_SECONDS
            self._lapsed[name] = now + grace_seconds

    def expire(self, now: float) -> None:
        """Drop the lapsed targets whose grace period has ended."""
        for name in [name for name, end in self._lapsed.items() if end <= now]:
            self._drop(name)

    def note_layers(
        self, name: TargetId, layers: LayerRange | None, born: int = 0
    ) -> None:
        """Record the layers that an engine holds before its row shows them.

        :param born: when that engine started, in ms since 1970; 0 if unknown.
        """
        row = self._rows.get(name)
        if row is None or 0 < born < row.born:
            return
        if born > row.born > 0:
            self._replace_restarted(row, layers, born)
            return
        if row.target.layers == layers:
            return
        target = replace(row.target, layers=layers)
        self._rows[name] = replace(row, target=target)
        if name in self.targets:
            self.targets[name] = target
            self._notify(Change.UPDATED, target)

    def list_engines(self) -> list[Target]:
        """Return the targets that run layers of a model, including leaving ones."""
        return [row.target for row in self._rows.values() if row.target.accelerator]

    def list_engines_or_all(self) -> list[Target]:
        """Return the engines, or all targets where there are none."""
        return self.list_engines() or list(self.targets.values())

    def get_born(self, name: TargetId) -> int:
        """Return when a target started, in ms since 1970; 0 if unknown."""
        row = self._rows.get(name)
        return row.born if row is not None else 0

    def has_successor(self, target: Target) -> bool:
        """Return whether another target has taken the place of one at its address."""
        return self._by_address.get(target.address, target.id) != target.id

    def _replace_restarted(
        self, row: TargetRow, layers: LayerRange | None, born: int
    ) -> None:
        """Drop a target that has restarted and add it again with its new layers."""
        leaving_since = self._leaving.get(row.target.id)
        stated = self._stated_leaving.pop(row.target.id, None)
        self._drop(row.target.id)
        target = replace(row.target, layers=layers)
        leaving = row.leaving and stated is None
        restarted = replace(row, target=target, born=born, leaving=leaving)
        self.put(restarted, leaving_since if leaving_since is not None else 0.0)

    def claim_addresses(self) -> None:
        """Drop the targets that have been replaced at their addresses.

        To be called when a configuration comes into force, as it may name services of
        known rows.
        """
        for row in sorted(self._rows.values(), key=lambda item: item.revision):
            if row.target.id in self._rows:
                self._claim_address(row)

    def _claim_address(self, row: TargetRow) -> None:
        """Replace the target at a row's address by that of the row.

        A target of an unknown service must not displace one at its address.
        """
        if self.knows_service(row.target.service):
            self._replace_predecessor(row)
            self._by_address[row.target.address] = row.target.id

    def _replace_predecessor(self, row: TargetRow) -> None:
        """Drop the target at the row's address if older: a restart has replaced it."""
        old = self._by_address.get(row.target.address)
        if old is None or old == row.target.id or old not in self._rows:
            return
        if self._rows[old].revision < row.revision:
            self._drop(old)

    def _drop(self, name: TargetId) -> None:
        row = self._rows.pop(name)
        self._lapsed.pop(name, None)
        if not row.born:
            self._stated_leaving.pop(name, None)
        self._dropped[name] = _DroppedTarget(row.born, row.leaving)
        if len(self._dropped) > MAX_DROPPED:
            del self._dropped[next(iter(self._dropped))]
        self._leaving.pop(name, None)
        self.targets.pop(name, None)
        if self._by_address.get(row.target.address) == name:
            del self._by_address[row.target.address]
        self._notify(Change.GONE, row.target)

    def _notify(self, change: Change, target: Target) -> None:
        for listener in self._listeners:
            listener(change, target)


class _DroppedTarget(Struct, frozen=True):
    """What is remembered of a dropped target."""

    born: int
    was_leaving: bool


def _is_older(row: TargetRow, known: TargetRow) -> bool:
    """Return whether a row is older than the known one.

    A row of an earlier start is older whatever its revision, as it may arrive late.
    Starts that different writers state don't compare.
    """
    if _is_of_other_writer(row, known):
        return row.revision < known.revision
    if row.born and known.born and row.born != known.born:
        return row.born < known.born
    return row.revision < known.revision


def _is_of_other_writer(row: TargetRow, known: TargetRow) -> bool:
    """Return whether two rows under one id come from different writers.

    A target never changes its service.
    """
    return row.target.service != known.target.service
