"""Client of the platform's store: change feeds, single rows, and the hosts' rows."""

import base64
from collections.abc import Callable, Sequence
from typing import Any

import aiohttp
import msgpack
import structlog
from result import Err, Ok, Result

from marigoldswitch.core.ids import TargetId
from marigoldswitch.core.ports import Row, StoreFault
from marigoldswitch.core.registry import TargetRow
from marigoldswitch.core.revisions import get_era, get_version
from marigoldswitch.gateway.bounded_reads import ReadGuard
from marigoldswitch.gateway.ports import (
    FeedFault,
    HostRecord,
    StoredConfiguration,
    TargetChanges,
)
from marigoldswitch.platform.configuration import decode_configuration, decode_target
from marigoldswitch.platform.store_calls import (
    CALL_TIMEOUT_SECONDS,
    HTTP_GONE,
    HTTP_OK,
    HTTP_PRECONDITION_FAILED,
    CallFault,
    StoreCalls,
    StoredRow,
)
from marigoldswitch.platform.store_reads import (
    KEPT_READ_SECONDS,
    PatientReads,
    ReadResult,
    RowsRead,
)

logger = structlog.get_logger(__name__)

FEED_SLACK_SECONDS = 0.5
"""Time that a read of a feed may take beyond the wait that it asks for."""
PAGE_ROWS = 500
"""Rows per page, the most that the store returns."""
OPERATOR_TABLE = "op"
CONFIGURATION_KEY = "config"
TARGETS_TABLE = "servers"
HOSTS_TABLE = "hosts"
NOT_EXECUTED_STATUSES = frozenset({429, 503})
"""Statuses with which the store refuses a call without executing it."""

Fields = dict[str, Any]


class PlatformStore:
    """HTTP client of the store; caches no rows.

    Implements ``PlatformFeeds``, ``VersionedTable`` and ``HostDirectory``.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        address: str,
        guard: ReadGuard | None = None,
    ) -> None:
        self._calls = StoreCalls(session, address, guard)
        self._reads = PatientReads()
        self._unreadable_row: StoredRow | None = None
        """The last configuration that could not be read; logged once."""

    async def close(self) -> None:
        """Cancel the reads under way."""
        await self._reads.close()

    # Feeds.

    async def wait_configuration(
        self, revision: int, seconds: float
    ) -> Result[tuple[StoredConfiguration | None, int], FeedFault]:
        """Wait for a configuration newer than a revision, for some seconds at most.

        :param revision: 0 to read it at once.
        :return: the configuration if there is a new one, and the newest revision.
        """
        if revision == 0:
            answer = await self._get_rows(OPERATOR_TABLE)
        else:
            answer = await self._read_feed(OPERATOR_TABLE, revision, seconds)
        if isinstance(answer, Err):
            return answer
        rows, newest = answer.ok_value.rows, answer.ok_value.revision
        for row in reversed(rows):
            if row.key != CONFIGURATION_KEY or row.is_deleted:
                continue
            match _decode_configuration(row):
                case Ok(stored):
                    return Ok((stored, newest))
                case Err(why):
                    if row != self._unreadable_row:
                        self._unreadable_row = row
                        logger.error("configuration_unreadable", why=why)
                    return Err(FeedFault.UNREADABLE)
        return Ok((None, newest))

    def decode_configuration(self, content: bytes) -> Result[StoredConfiguration, str]:
        """Decode a configuration received from a peer."""
        return decode_configuration(content)

    async def wait_targets(
        self, revision: int, seconds: float
    ) -> Result[TargetChanges, FeedFault]:
        """Wait for changes of targets after a revision, for some seconds at most.

        :param revision: 0 to read all targets at once.
        """
        is_whole = revision == 0
        if is_whole:
            answer = await self._get_rows(TARGETS_TABLE)
        else:
            answer = await self._read_feed(TARGETS_TABLE, revision, seconds)
        if isinstance(answer, Err):
            return answer
        rows, newest = answer.ok_value.rows, answer.ok_value.revision
        latest = {row.key: row for row in rows}
        targets, removed = [], []
        for key, row in latest.items():
            if row.is_deleted:
                removed.append(TargetId(key))
                continue
            match _decode_target(row):
                case Ok(target):
                    targets.append(target)
                case Err(why):
                    # Another program wrote it. The target that the row described
                    # before, if any, counts as removed.
                    logger.warning("target_unreadable", target=key, why=why)
                    removed.append(TargetId(key))
        return Ok(TargetChanges(targets, removed, newest, is_whole))

    # Single rows.

    async def read(self, table: str, key: str) -> Result[Row | None, StoreFault]:
        """Return one row, or ``None`` if it does not exist."""
        query = {"table": table, "part": "", "from": key, "limit": "1"}
        answer = await self._calls.get("/rows-get", query)
        if isinstance(answer, Err):
            return Err(StoreFault.UNKNOWN)
        if answer.ok_value.status != HTTP_OK:
            return Err(_classify_status(answer.ok_value.status))
        for row in answer.ok_value.rows:
            if row.key != key:
                continue
            if row.value is None:
                logger.error("row_unreadable", table=table, key=key, why=row.fault)
                return Err(StoreFault.UNKNOWN)
            return Ok(Row(row.value, row.revision))
        return Ok(None)

    async def write(
        self, table: str, key: str, value: bytes, expect: int
    ) -> Result[int, StoreFault]:
        """Write a row if its version is unchanged; return the new revision.

        :param expect: revision at which it was read; 0 if it must not exist.
        """
        version = get_version(expect)
        preconditions = [
            {"table": table, "part": "", "key": key, "row_version": version}
        ]
        puts = [_encode_row(table, key, value)]
        written = await self._transact(table, preconditions, puts, [])
        if expect and written.is_ok() and get_era(written.unwrap()) != get_era(expect):
            # A restored store reuses versions: the precondition held by chance.
            return Err(StoreFault.RESTORED)
        return written

    async def register(self, record: HostRecord) -> Result[None, StoreFault]:
        """Write this host's row."""
        value = bytes(msgpack.packb([record.data_centre, record.strength]))
        put = _encode_row(HOSTS_TABLE, record.address, value)
        written = await self._transact(HOSTS_TABLE, [], [put], [])
        return Err(written.err_value) if isinstance(written, Err) else Ok(None)

    async def deregister(self, record: HostRecord) -> Result[None, StoreFault]:
        """Delete a host's row."""
        row_key = {"table": HOSTS_TABLE, "part": "", "key": record.address}
        written = await self._transact(HOSTS_TABLE, [], [], [row_key])
        return Err(written.err_value) if isinstance(written, Err) else Ok(None)

    async def list_hosts(self) -> Result[Sequence[HostRecord], StoreFault]:
        """Return the rows of all hosts."""
        answer = await self._get_rows(HOSTS_TABLE)
        if isinstance(answer, Err):
            return Err(StoreFault.UNAVAILABLE)
        records = []
        for row in answer.ok_value.rows:
            try:
                if row.value is None:
                    raise ValueError(row.fault)
                records.append(_decode_host(row.key, row.value))
            except (ValueError, TypeError, msgpack.UnpackException) as error:
                logger.error("host_unreadable", host=row.key, why=str(error))
        return Ok(records)

    # Calls.

    async def _get_rows(self, table: str) -> ReadResult:
        """Return all rows of a table."""

        async def work(note_progress: Callable[[], None]) -> ReadResult:
            return await self._get_pages(table, note_progress)

        return await self._reads.read(table, 0, work, CALL_TIMEOUT_SECONDS)

    async def _get_pages(
        self, table: str, note_progress: Callable[[], None]
    ) -> ReadResult:
        """Return all rows of a table, read page by page."""
        rows: tuple[StoredRow, ...] = ()
        revision = 0
        first_key = ""
        while True:
            query = {"table": table, "part": "", "limit": str(PAGE_ROWS)}
            if first_key:
                query["from"] = first_key
            answer = await self._calls.get("/rows-get", query, KEPT_READ_SECONDS)
            if isinstance(answer, Err):
                return Err(_classify_fault(answer.err_value))
            page = answer.ok_value
            if page.status != HTTP_OK:
                return Err(FeedFault.UNAVAILABLE)
            note_progress()
            # That of the first page: the feed brings all changes made since then.
            revision = revision or page.revision
            if page.is_restored_since(revision):
                return Err(FeedFault.HISTORY_GONE)
            rows += page.rows
            if not page.has_more:
                return Ok(RowsRead(rows, revision))
            if not page.rows or page.rows[-1].key < first_key:
                logger.error("page_unreadable", table=table, first_key=first_key)
                return Err(FeedFault.MALFORMED)
            first_key = page.rows[-1].key + "\0"

    async def _read_feed(self, table: str, revision: int, seconds: float) -> ReadResult:
        """Return the rows changed after a revision."""

        async def work(_: Callable[[], None]) -> ReadResult:
            return await self._get_changes(table, revision, seconds)

        timeout = seconds + FEED_SLACK_SECONDS
        return await self._reads.read(table, revision, work, timeout)

    async def _get_changes(
        self, table: str, revision: int, seconds: float
    ) -> ReadResult:
        """Return the rows changed after a revision, waiting for some if there are none.

        :param seconds: longest time to wait.
        """
        query = {
            "table": table,
            "since_rev": str(get_version(revision)),
            "wait_ms": str(int(seconds * 1000)),
        }
        timeout = seconds + KEPT_READ_SECONDS
        answer = await self._calls.get("/rows-feed", query, timeout)
        if isinstance(answer, Err):
            return Err(_classify_fault(answer.err_value))
        response = answer.ok_value
        if response.status == HTTP_GONE:
            return Err(FeedFault.HISTORY_GONE)
        if response.status != HTTP_OK:
            return Err(FeedFault.UNAVAILABLE)
        if response.is_restored_since(revision):
            # The restored store has reached the requested version again. Changes made
            # on the way there are missing from this answer.
            return Err(FeedFault.HISTORY_GONE)
        return Ok(RowsRead(response.rows, response.revision))

    async def _transact(
        self,
        table: str,
        preconditions: list[Fields],
        puts: list[Fields],
        removals: list[Fields],
    ) -> Result[int, StoreFault]:
        """Write and delete rows of a table together, if all preconditions hold.

        :return: the new revision.
        """
        body = {"expected_rev": preconditions, "puts": puts, "remove": removals}
        answer = await self._calls.post("/rows-tx", table, body)
        if isinstance(answer, Err):
            return Err(StoreFault.UNKNOWN)
        response = answer.ok_value
        if response.status != HTTP_OK:
            return Err(_classify_status(response.status))
        return Ok(response.revision)


def _decode_host(address: str, value: bytes) -> HostRecord:
    """Decode a host's row, also in the older format that has only the data centre.

    :raises ValueError: if the row is malformed; also ``TypeError``.
    """
    fields = msgpack.unpackb(value)
    if isinstance(fields, str):
        return HostRecord(address, fields)
    centre, strength = fields
    return HostRecord(address, str(centre), int(strength))


def _classify_status(status: int) -> StoreFault:
    """Return the fault that a status other than 200 stands for."""
    if status == HTTP_PRECONDITION_FAILED:
        return StoreFault.CONFLICT
    return (
        StoreFault.UNAVAILABLE
        if status in NOT_EXECUTED_STATUSES
        else StoreFault.UNKNOWN
    )


def _classify_fault(fault: CallFault) -> FeedFault:
    """Return the fault of a feed that a call without a usable answer stands for."""
    is_malformed = fault is CallFault.MALFORMED
    return FeedFault.MALFORMED if is_malformed else FeedFault.UNAVAILABLE


def _decode_configuration(row: StoredRow) -> Result[StoredConfiguration, str]:
    return decode_configuration(row.value) if row.value is not None else Err(row.fault)


def _decode_target(row: StoredRow) -> Result[TargetRow, str]:
    if row.value is None:
        return Err(row.fault)
    return decode_target(row.key, row.value, row.revision)


def _encode_row(table: str, key: str, value: bytes) -> Fields:
    encoded = base64.b64encode(value).decode()
    return {"table": table, "part": "", "key": key, "value": encoded}
