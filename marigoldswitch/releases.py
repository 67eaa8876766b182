"""Life cycle of bundles in the platform: draft, reviewed, signed off, accepted."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace
from enum import Enum

from result import Err, Ok, Result

from marigoldswitch.bundles import parse_canonical
from marigoldswitch.core.adoption import ACCEPTED_KEY, BUNDLE_TABLE
from marigoldswitch.core.ids import BundleVersion, Digest
from marigoldswitch.core.ports import (
    ObjectStore,
    Put,
    StoreFault,
    TableService,
)
from marigoldswitch.core.upgrades import find_upgrade_faults
from marigoldswitch.packing import digest_content, pack_content, unpack_content
from marigoldswitch.records import (
    DRAFT_TABLE,
    HISTORY_TABLE,
    RELEASED_TABLE,
    AcceptedRecord,
    Draft,
    DraftState,
    decode_draft,
    decode_record,
    encode_draft,
    encode_record,
    find_record_fault,
)
from marigoldswitch.settings import OperatorSettings
from marigoldswitch.signatures import Endorsement, find_endorsement_fault


class ReleaseFault(Enum):
    """Why an operator's step was not taken."""

    INVALID = "invalid"
    UNKNOWN_DRAFT = "unknown_draft"
    WRONG_STATE = "wrong_state"
    SAME_OPERATOR = "same_operator"
    SIGNATURE = "signature"
    UNSAFE = "unsafe"
    """It would leave too little in service while engines follow it."""
    CONFLICT = "conflict"
    PLATFORM = "platform"
    """Certainly not done."""
    UNSETTLED = "unsettled"
    """It may have been done or may yet be; the same step may be taken again."""


@dataclass(frozen=True, slots=True)
class Refusal:
    """A step that was not taken, with what an operator should know."""

    fault: ReleaseFault
    lines: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class _StoredDraft:
    """A draft with the versions of its rows; 0 where there is no row.

    :param version: of the row among the open drafts.
    :param released: of the row among those that have been in force.
    """

    draft: Draft
    version: int
    released: int


BLOCK_DIGITS = 2
HISTORY_BLOCK = 10**BLOCK_DIGITS
"""Versions whose rows are read by one scan, so that no read grows with the history."""


def format_history_key(version: BundleVersion) -> str:
    """Return the key of a version's row; keys sort as their versions do."""
    return f"{version:012d}"


def _blame_platform(fault: StoreFault) -> Refusal:
    match fault:
        case StoreFault.CONFLICT:
            lines = ("another operator was faster; look again and decide again",)
            return Refusal(ReleaseFault.CONFLICT, lines)
        case StoreFault.UNAVAILABLE:
            lines = ("the platform's service is out; nothing was done",)
            return Refusal(ReleaseFault.PLATFORM, lines)
        case StoreFault.UNKNOWN:
            lines = ("the platform's answer was lost; take the same step again",)
            return Refusal(ReleaseFault.UNSETTLED, lines)


class Releases:
    """Takes bundles through their life cycle.

    :param operators: whose signatures count.
    """

    def __init__(
        self,
        table: TableService,
        objects: ObjectStore,
        operators: Mapping[str, OperatorSettings],
    ) -> None:
        self._table = table
        self._objects = objects
        self._operators = operators
        self._listeners: list[Callable[[AcceptedRecord, bytes], None]] = []

    async def submit(
        self, content: bytes, endorsement: Endorsement, why: str = ""
    ) -> Result[Draft, Refusal]:
        """Check a bundle and keep it as a draft.

        :param content: its canonical form.
        """
        match parse_canonical(content, BundleVersion(0)):
            case Err(lines):
                return Err(Refusal(ReleaseFault.INVALID, tuple(lines)))
        digest = digest_content(content)
        fault = self._find_fault(digest, endorsement)
        if fault is not None:
            return Err(fault)
        stored = await self._objects.put(f"bundle/{digest}", pack_content(content))
        if isinstance(stored, Err):
            return Err(_blame_platform(stored.err_value))
        found = await self._find(digest)
        if isinstance(found, Err):
            return Err(found.err_value)
        kept = found.ok_value
        renewable = kept is None or kept.draft.accepted
        if kept is not None and not renewable and self._still_counts(kept.draft):
            return _answer_repeat(kept.draft, endorsement)
        draft = Draft(digest, (endorsement,), why=why)
        return await self._write(draft, expect=kept.version if kept else 0)

    async def review(
        self, digest: Digest, endorsement: Endorsement
    ) -> Result[Draft, Refusal]:
        """Mark a draft as reviewed."""
        return await self._advance(digest, DraftState.DRAFT, endorsement)

    async def sign_off(
        self, digest: Digest, endorsement: Endorsement
    ) -> Result[Draft, Refusal]:
        """Sign a reviewed draft off; not by the one who submitted it."""
        return await self._advance(digest, DraftState.REVIEWED, endorsement)

    async def accept(
        self,
        digest: Digest,
        seen: BundleVersion,
        endorsement: Endorsement,
        why: str = "",
    ) -> Result[AcceptedRecord, Refusal]:
        """Put a signed-off bundle in force, or go back to one that was.

        :param seen: the version in force that the operator decided upon.
        """
        fault = self._find_fault(digest, endorsement)
        if fault is not None:
            return Err(fault)
        read = await self._read(digest)
        if isinstance(read, Err):
            return Err(read.err_value)
        draft = read.ok_value.draft
        if draft.state not in (DraftState.SIGNED_OFF, DraftState.ACCEPTED):
            return Err(_describe_state(draft))
        version = BundleVersion(seen + 1)
        steps = (*draft.endorsements, endorsement)
        record = AcceptedRecord(version, digest, steps, why)
        reason = find_record_fault(record, self._operators)
        if reason is not None:
            return Err(Refusal(ReleaseFault.SIGNATURE, (reason,)))
        packed = await self._fetch_whole(digest)
        if isinstance(packed, Err):
            return Err(packed.err_value)
        refusal = await self._check_upgrade(record)
        if refusal is not None:
            return Err(refusal)
        accepted = await self._write_record(record, read.ok_value)
        if isinstance(accepted, Ok):
            for listener in self._listeners:
                listener(record, packed.ok_value)
        return accepted

    def watch_accepted(self, listener: Callable[[AcceptedRecord, bytes], None]) -> None:
        """Call ``listener`` with each bundle accepted here and its packed content."""
        self._listeners.append(listener)

    async def read_accepted(self) -> Result[AcceptedRecord | None, StoreFault]:
        """Return the record in force."""
        return await self._read_record(BUNDLE_TABLE, ACCEPTED_KEY)

    async def fetch(self, digest: Digest) -> Result[bytes | None, StoreFault]:
        """Return a bundle's content, packed."""
        return await self._objects.get(f"bundle/{digest}")

    async def fetch_content(self, digest: Digest) -> Result[bytes | None, StoreFault]:
        """Return a bundle's canonical form; a damaged object counts as missing."""
        packed = await self.fetch(digest)
        if isinstance(packed, Err) or packed.ok_value is None:
            return packed
        return Ok(unpack_content(packed.ok_value, digest).ok())

    async def list_history(
        self, count: int
    ) -> Result[list[AcceptedRecord], StoreFault]:
        """Return the records of the newest versions, the newest first."""
        accepted = await self.read_accepted()
        if isinstance(accepted, Err):
            return Err(accepted.err_value)
        newest = accepted.ok_value.version if accepted.ok_value else 0
        found: list[AcceptedRecord] = []
        block = newest // HISTORY_BLOCK
        while block >= 0 and len(found) < count:
            read = await self._list_block(block)
            if isinstance(read, Err):
                return Err(read.err_value)
            found += sorted(read.ok_value, key=lambda item: -item.version)
            block -= 1
        return Ok(found[:count])

    async def list_drafts(self) -> Result[list[Draft], StoreFault]:
        """Return the drafts that have not been in force."""
        rows = await self._table.scan(DRAFT_TABLE, "")
        if isinstance(rows, Err):
            return Err(rows.err_value)
        try:
            return Ok([decode_draft(row.value) for row in rows.ok_value.values()])
        except ValueError:
            return Err(StoreFault.UNAVAILABLE)

    async def _list_block(self, block: int) -> Result[list[AcceptedRecord], StoreFault]:
        first = format_history_key(BundleVersion(block * HISTORY_BLOCK))
        rows = await self._table.scan(HISTORY_TABLE, first[:-BLOCK_DIGITS])
        if isinstance(rows, Err):
            return Err(rows.err_value)
        try:
            return Ok([decode_record(row.value) for row in rows.ok_value.values()])
        except ValueError:
            return Err(StoreFault.UNAVAILABLE)

    async def _fetch_whole(self, digest: Digest) -> Result[bytes, Refusal]:
        """Return a draft's packed content; it must be there before it is accepted."""
        packed = await self.fetch(digest)
        if isinstance(packed, Err):
            return Err(_blame_platform(packed.err_value))
        content = packed.ok_value
        if content is None or isinstance(unpack_content(content, digest), Err):
            lines = ("its content is missing or damaged; submit it again",)
            return Err(Refusal(ReleaseFault.INVALID, lines))
        return Ok(content)

    async def _check_upgrade(self, record: AcceptedRecord) -> Refusal | None:
        """Tell why a bundle may not follow the one in force; ``None`` where it may."""
        read = await self.read_accepted()
        if isinstance(read, Err):
            return _blame_platform(read.err_value)
        old = read.ok_value
        if old is None or old.version != record.version - 1:
            return None
        bundles = []
        for item in (old, record):
            content = await self.fetch_content(item.digest)
            if isinstance(content, Err) or content.ok_value is None:
                return _blame_platform(StoreFault.UNAVAILABLE)
            bundles.append(parse_canonical(content.ok_value, item.version))
        match bundles:
            case [Ok(before), Ok(after)]:
                faults = find_upgrade_faults(before, after)
                return Refusal(ReleaseFault.UNSAFE, tuple(faults)) if faults else None
            case [Ok(), Err(lines)]:
                return Refusal(ReleaseFault.INVALID, tuple(lines))
        return None

    async def _write_record(
        self, record: AcceptedRecord, kept: _StoredDraft
    ) -> Result[AcceptedRecord, Refusal]:
        """Move the row in force, the history and the draft's row, or none of them."""
        value = encode_record(record)
        history = format_history_key(record.version)
        puts = [
            Put(BUNDLE_TABLE, ACCEPTED_KEY, value, expect=record.version - 1),
            Put(HISTORY_TABLE, history, value, expect=0),
        ]
        if kept.version:
            draft = encode_draft(kept.draft)
            puts += [
                Put(DRAFT_TABLE, record.digest, None, kept.version),
                Put(RELEASED_TABLE, record.digest, draft, kept.released),
            ]
        written = await self._table.transact(puts)
        if isinstance(written, Ok):
            return Ok(record)
        return await self._settle(record, written.err_value)

    async def _settle(
        self, record: AcceptedRecord, fault: StoreFault
    ) -> Result[AcceptedRecord, Refusal]:
        """Settle a write that met a conflict or whose answer was lost.

        The history is asked, not the row in force: that may have moved on since.
        """
        if fault is StoreFault.UNAVAILABLE:
            return Err(_blame_platform(fault))
        key = format_history_key(record.version)
        now = await self._read_record(HISTORY_TABLE, key)
        if isinstance(now, Err):
            return Err(_blame_platform(StoreFault.UNKNOWN))
        winner = now.ok_value
        if winner == record:
            return Ok(record)
        if winner is not None:
            operator = winner.endorsements[-1].operator
            lines = (
                f"{operator} was faster: version {winner.version} is {winner.digest}",
                "look at it and decide again",
            )
            return Err(Refusal(ReleaseFault.CONFLICT, lines))
        if fault is StoreFault.UNKNOWN:
            return Err(_blame_platform(fault))
        return await self._explain_conflict(record)

    async def _explain_conflict(
        self, record: AcceptedRecord
    ) -> Result[AcceptedRecord, Refusal]:
        accepted = await self.read_accepted()
        version = 0
        if isinstance(accepted, Ok) and accepted.ok_value is not None:
            version = accepted.ok_value.version
        lines = (
            f"version {version} is in force, you saw {record.version - 1}",
            "look at it and decide again",
        )
        return Err(Refusal(ReleaseFault.CONFLICT, lines))

    async def _read_record(
        self, table: str, key: str
    ) -> Result[AcceptedRecord | None, StoreFault]:
        row = await self._table.read(table, key)
        if isinstance(row, Err):
            return Err(row.err_value)
        try:
            return Ok(decode_record(row.ok_value.value) if row.ok_value else None)
        except ValueError:
            return Err(StoreFault.UNAVAILABLE)

    async def _advance(
        self, digest: Digest, before: DraftState, endorsement: Endorsement
    ) -> Result[Draft, Refusal]:
        fault = self._find_fault(digest, endorsement)
        if fault is not None:
            return Err(fault)
        read = await self._read(digest)
        if isinstance(read, Err):
            return Err(read.err_value)
        draft = read.ok_value.draft
        if endorsement in draft.endorsements:
            return Ok(draft)
        if draft.state is not before:
            return Err(_describe_state(draft))
        signing = before is DraftState.REVIEWED
        if signing and endorsement.operator == draft.submitter:
            lines = ("another operator than the submitter must sign off",)
            return Err(Refusal(ReleaseFault.SAME_OPERATOR, lines))
        advanced = replace(draft, endorsements=(*draft.endorsements, endorsement))
        return await self._write(advanced, expect=read.ok_value.version)

    def _find_fault(self, digest: Digest, endorsement: Endorsement) -> Refusal | None:
        reason = find_endorsement_fault(endorsement, self._operators)
        if reason is None and endorsement.digest != digest:
            reason = f"{endorsement.digest} was signed, not {digest}"
        return Refusal(ReleaseFault.SIGNATURE, (reason,)) if reason else None

    def _still_counts(self, draft: Draft) -> bool:
        """Tell whether all of a draft's operators are still in the settings."""
        return all(
            find_endorsement_fault(item, self._operators) is None
            for item in draft.endorsements
        )

    async def _find(self, digest: Digest) -> Result[_StoredDraft | None, Refusal]:
        """Look among the open drafts first: a renewed draft goes before a released."""
        rows = []
        for table in (DRAFT_TABLE, RELEASED_TABLE):
            read = await self._table.read(table, digest)
            if isinstance(read, Err):
                return Err(_blame_platform(read.err_value))
            rows.append(read.ok_value)
        draft_row, released_row = rows
        row = draft_row or released_row
        if row is None:
            return Ok(None)
        try:
            draft = decode_draft(row.value)
        except ValueError as error:
            return Err(Refusal(ReleaseFault.WRONG_STATE, (f"its row: {error}",)))
        return Ok(
            _StoredDraft(
                replace(draft, accepted=draft_row is None),
                draft_row.version if draft_row else 0,
                released_row.version if released_row else 0,
            )
        )

    async def _read(self, digest: Digest) -> Result[_StoredDraft, Refusal]:
        found = await self._find(digest)
        if isinstance(found, Err):
            return Err(found.err_value)
        if found.ok_value is None:
            return Err(Refusal(ReleaseFault.UNKNOWN_DRAFT, (f"no draft {digest}",)))
        return Ok(found.ok_value)

    async def _write(self, draft: Draft, expect: int) -> Result[Draft, Refusal]:
        put = Put(DRAFT_TABLE, draft.digest, encode_draft(draft), expect)
        written = await self._table.transact([put])
        if isinstance(written, Ok):
            return Ok(draft)
        if written.err_value is StoreFault.UNKNOWN:
            now = await self._find(draft.digest)
            if isinstance(now, Ok) and now.ok_value and now.ok_value.draft == draft:
                return Ok(draft)
        return Err(_blame_platform(written.err_value))


def _answer_repeat(draft: Draft, endorsement: Endorsement) -> Result[Draft, Refusal]:
    if draft.submitter == endorsement.operator:
        return Ok(draft)
    lines = (f"{draft.submitter} submitted it; it is {draft.state.value}",)
    return Err(Refusal(ReleaseFault.WRONG_STATE, lines))


def _describe_state(draft: Draft) -> Refusal:
    lines = (f"the draft is in state {draft.state.value}",)
    return Refusal(ReleaseFault.WRONG_STATE, lines)
