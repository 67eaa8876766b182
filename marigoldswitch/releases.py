"""Life cycle of bundles in the platform: draft, reviewed, signed off, accepted."""

from dataclasses import dataclass, replace
from enum import Enum

import msgpack
from result import Err, Ok, Result

from marigoldswitch.bundles import digest_content, parse_bundle
from marigoldswitch.core.adoption import ACCEPTED_KEY, BUNDLE_TABLE
from marigoldswitch.core.ids import BundleVersion, Digest, OperatorId
from marigoldswitch.core.ports import (
    ObjectStore,
    Put,
    StoreFault,
    TableService,
)

DRAFT_TABLE = "drafts"


class DraftState(Enum):
    """How far a bundle has come."""

    DRAFT = "draft"
    REVIEWED = "reviewed"
    SIGNED_OFF = "signed_off"
    ACCEPTED = "accepted"


class ReleaseFault(Enum):
    """Why an operator's step was not taken."""

    INVALID = "invalid"
    UNKNOWN_DRAFT = "unknown_draft"
    WRONG_STATE = "wrong_state"
    SAME_OPERATOR = "same_operator"
    CONFLICT = "conflict"
    PLATFORM = "platform"


@dataclass(frozen=True, slots=True)
class Refusal:
    """A step that was not taken, with what an operator should know."""

    fault: ReleaseFault
    lines: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Draft:
    """A bundle on its way."""

    digest: Digest
    state: DraftState
    submitter: OperatorId
    reviewer: OperatorId | None = None
    releaser: OperatorId | None = None


@dataclass(frozen=True, slots=True)
class AcceptedRecord:
    """The row that says which bundle is in force."""

    version: BundleVersion
    digest: Digest
    releaser: OperatorId


def encode_record(record: AcceptedRecord) -> bytes:
    """Return the record as a row's value."""
    return msgpack.packb([record.version, record.digest, record.releaser])


def decode_record(value: bytes) -> AcceptedRecord:
    """Return the record that a row holds.

    :raises ValueError: if the value is no record.
    """
    version, digest, releaser = msgpack.unpackb(value)
    return AcceptedRecord(version, digest, releaser)


def _encode_draft(draft: Draft) -> bytes:
    return msgpack.packb(
        [
            draft.digest,
            draft.state.value,
            draft.submitter,
            draft.reviewer,
            draft.releaser,
        ]
    )


def _decode_draft(value: bytes) -> Draft:
    digest, state, submitter, reviewer, releaser = msgpack.unpackb(value)
    return Draft(digest, DraftState(state), submitter, reviewer, releaser)


def _blame_platform(fault: StoreFault) -> Refusal:
    if fault is StoreFault.CONFLICT:
        return Refusal(ReleaseFault.CONFLICT, ("another operator was faster",))
    return Refusal(ReleaseFault.PLATFORM, (f"the platform's service: {fault.value}",))


class Releases:
    """Takes bundles through their life cycle."""

    def __init__(self, table: TableService, objects: ObjectStore) -> None:
        self._table = table
        self._objects = objects

    async def submit(
        self, content: bytes, operator: OperatorId
    ) -> Result[Draft, Refusal]:
        """Check a bundle and keep it as a draft."""
        match parse_bundle(content, BundleVersion(0)):
            case Err(lines):
                return Err(Refusal(ReleaseFault.INVALID, tuple(lines)))
        digest = digest_content(content)
        stored = await self._objects.put(f"bundle/{digest}", content)
        if isinstance(stored, Err):
            return Err(_blame_platform(stored.err_value))
        draft = Draft(digest, DraftState.DRAFT, operator)
        return await self._write(draft, expect=0)

    async def review(
        self, digest: Digest, operator: OperatorId
    ) -> Result[Draft, Refusal]:
        """Mark a draft as reviewed."""
        return await self._advance(
            digest, DraftState.DRAFT, DraftState.REVIEWED, reviewer=operator
        )

    async def sign_off(
        self, digest: Digest, operator: OperatorId
    ) -> Result[Draft, Refusal]:
        """Sign a reviewed draft off; not by the one who submitted it."""
        return await self._advance(
            digest, DraftState.REVIEWED, DraftState.SIGNED_OFF, releaser=operator
        )

    async def accept(
        self, digest: Digest, seen: BundleVersion, operator: OperatorId
    ) -> Result[AcceptedRecord, Refusal]:
        """Put a signed-off bundle in force.

        :param seen: the version in force that the operator decided upon.
        """
        draft = await self._read(digest)
        if isinstance(draft, Err):
            return Err(draft.err_value)
        found, _ = draft.ok_value
        if found.state is not DraftState.SIGNED_OFF:
            return Err(_describe_state(found))
        record = AcceptedRecord(BundleVersion(seen + 1), digest, operator)
        put = Put(BUNDLE_TABLE, ACCEPTED_KEY, encode_record(record), expect=seen)
        written = await self._table.transact([put])
        if isinstance(written, Ok):
            return Ok(record)
        return await self._read_back(record, written.err_value)

    async def read_accepted(self) -> Result[AcceptedRecord | None, StoreFault]:
        """Return the record in force."""
        row = await self._table.read(BUNDLE_TABLE, ACCEPTED_KEY)
        return row.map(lambda found: decode_record(found.value) if found else None)

    async def fetch(self, digest: Digest) -> Result[bytes | None, StoreFault]:
        """Return a bundle's content."""
        return await self._objects.get(f"bundle/{digest}")

    async def _read_back(
        self, record: AcceptedRecord, fault: StoreFault
    ) -> Result[AcceptedRecord, Refusal]:
        """Settle a write whose answer was lost."""
        if fault is StoreFault.UNAVAILABLE:
            return Err(_blame_platform(fault))
        now = await self.read_accepted()
        if isinstance(now, Err):
            return Err(_blame_platform(fault))
        if now.ok_value == record:
            return Ok(record)
        version = now.ok_value.version if now.ok_value else 0
        lines = (f"version {version} is in force; look at it and decide again",)
        return Err(Refusal(ReleaseFault.CONFLICT, lines))

    async def _advance(
        self,
        digest: Digest,
        before: DraftState,
        after: DraftState,
        reviewer: OperatorId | None = None,
        releaser: OperatorId | None = None,
    ) -> Result[Draft, Refusal]:
        read = await self._read(digest)
        if isinstance(read, Err):
            return Err(read.err_value)
        draft, version = read.ok_value
        if draft.state is not before:
            return Err(_describe_state(draft))
        if releaser is not None and releaser == draft.submitter:
            lines = ("another operator than the submitter must sign off",)
            return Err(Refusal(ReleaseFault.SAME_OPERATOR, lines))
        advanced = replace(
            draft,
            state=after,
            reviewer=reviewer or draft.reviewer,
            releaser=releaser or draft.releaser,
        )
        return await self._write(advanced, expect=version)

    async def _read(self, digest: Digest) -> Result[tuple[Draft, int], Refusal]:
        row = await self._table.read(DRAFT_TABLE, digest)
        if isinstance(row, Err):
            return Err(_blame_platform(row.err_value))
        if row.ok_value is None:
            return Err(Refusal(ReleaseFault.UNKNOWN_DRAFT, (f"no draft {digest}",)))
        return Ok((_decode_draft(row.ok_value.value), row.ok_value.version))

    async def _write(self, draft: Draft, expect: int) -> Result[Draft, Refusal]:
        put = Put(DRAFT_TABLE, draft.digest, _encode_draft(draft), expect)
        written = await self._table.transact([put])
        if isinstance(written, Err):
            return Err(_blame_platform(written.err_value))
        return Ok(draft)


def _describe_state(draft: Draft) -> Refusal:
    lines = (f"the draft is in state {draft.state.value}",)
    return Refusal(ReleaseFault.WRONG_STATE, lines)
