"""Client of the platform's store: rows, feeds of them, and the rows of our own."""

import base64
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

import aiohttp
import msgpack
import orjson
import structlog
from result import Err, Ok, Result

from marigoldswitch.core.ids import TargetId
from marigoldswitch.core.ports import Row, StoreFault
from marigoldswitch.core.registry import TargetRow
from marigoldswitch.core.revisions import get_era, get_version, make_revision
from marigoldswitch.gateway.ports import (
    FeedFault,
    HostRecord,
    StoredConfiguration,
    TargetChanges,
)
from marigoldswitch.platform.configuration import decode_configuration, decode_target

logger = structlog.get_logger(__name__)

CALL_SECONDS = 0.6
"""Longest time for a call: the store takes some 4 ms, a slow one up to 60 times that;
what takes longer is as good as lost for beliefs that must hold within 2 s."""
WAIT_SLACK_SECONDS = 0.5
"""Time beyond the one that a feed may wait."""
PAGE_ROWS = 500
"""Rows of one answer, as many as the store gives."""
OPERATOR_TABLE = "op"
CONFIGURATION_KEY = "config"
TARGETS_TABLE = "servers"
HOSTS_TABLE = "hosts"

HTTP_OK = 200
HTTP_GONE = 410
HTTP_CONFLICT = 412
NOT_DONE = frozenset({429, 503})
ERA_HEADER = "Store-Era"

Fields = dict[str, Any]


@dataclass(frozen=True, slots=True)
class StoreAnswer:
    """An answer of the store.

    :param era: how often the store has come back from an older copy; 0 where it does
        not say.
    """

    status: int
    fields: Fields
    era: int

    @property
    def revision(self) -> int:
        """Return the store's newest place."""
        return make_revision(self.era, int(self.fields["row_version"]))

    def is_later(self, revision: int) -> bool:
        """Tell whether the store has come back from a copy since a place."""
        return get_era(self.revision) != get_era(revision)


class PlatformStore:
    """Speaks the store's calls; keeps nothing but connections."""

    def __init__(self, session: aiohttp.ClientSession, address: str) -> None:
        self._session = session
        self._base = f"http://{address}"
        self._era = 0
        """The one last told."""

    # Feeds.

    async def wait_configuration(
        self, revision: int, seconds: float
    ) -> Result[tuple[StoredConfiguration | None, int], FeedFault]:
        """Return the configuration once it is newer than a revision."""
        if revision == 0:
            answer = await self._get_rows(OPERATOR_TABLE)
        else:
            answer = await self._feed(OPERATOR_TABLE, revision, seconds)
        if isinstance(answer, Err):
            return answer
        rows, newest = answer.ok_value
        for row in reversed(rows):
            if row["key"] != CONFIGURATION_KEY or row.get("deleted"):
                continue
            match decode_configuration(_read_value(row)):
                case Ok(stored):
                    return Ok((stored, newest))
                case Err(why):
                    logger.error("configuration_unreadable", why=why)
                    return Err(FeedFault.MALFORMED)
        return Ok((None, newest))

    def decode_configuration(self, content: bytes) -> Result[StoredConfiguration, str]:
        """Return a configuration that a peer has passed on."""
        return decode_configuration(content)

    async def wait_targets(
        self, revision: int, seconds: float
    ) -> Result[TargetChanges, FeedFault]:
        """Return what has changed of the targets since a revision, or after a time."""
        whole = revision == 0
        if whole:
            answer = await self._get_rows(TARGETS_TABLE)
        else:
            answer = await self._feed(TARGETS_TABLE, revision, seconds)
        if isinstance(answer, Err):
            return answer
        rows, newest = answer.ok_value
        latest: dict[str, Fields] = {row["key"]: row for row in rows}
        found, removed = [], []
        for key, row in latest.items():
            if row.get("deleted"):
                removed.append(TargetId(key))
                continue
            match _decode_target(key, row):
                case Ok(target):
                    found.append(target)
                case Err(why):
                    # Of another writer: it names no target, also not the one that
                    # the row named before.
                    logger.warning("target_unreadable", target=key, why=why)
                    removed.append(TargetId(key))
        return Ok(TargetChanges(found, removed, newest, whole))

    # Single rows.

    async def read(self, table: str, key: str) -> Result[Row | None, StoreFault]:
        """Return one row, or ``None`` where there is none."""
        query = {"table": table, "part": "", "from": key, "limit": "1"}
        answer = await self._call("GET", "/rows-get", query)
        if isinstance(answer, Err):
            return answer
        found = answer.ok_value
        if found.status != HTTP_OK:
            return Err(_judge(found.status))
        for row in found.fields["rows"]:
            if row["key"] == key:
                return Ok(Row(_read_value(row), _read_revision(row, found.era)))
        return Ok(None)

    async def write(
        self, table: str, key: str, value: bytes, expect: int
    ) -> Result[int, StoreFault]:
        """Write a row that has a version still and return its new one."""
        version = get_version(expect)
        guard = [{"table": table, "part": "", "key": key, "row_version": version}]
        written = await self._transact(guard, [_write_row(table, key, value)], [])
        if expect and written.is_ok() and get_era(written.unwrap()) != get_era(expect):
            # Versions are given out again: the guard held by chance.
            return Err(StoreFault.RESTORED)
        return written

    async def enter(self, record: HostRecord) -> Result[None, StoreFault]:
        """Write this host's row."""
        value = bytes(msgpack.packb([record.data_centre, record.strength]))
        put = _write_row(HOSTS_TABLE, record.address, value)
        written = await self._transact([], [put], [])
        return Err(written.err_value) if isinstance(written, Err) else Ok(None)

    async def leave(self, record: HostRecord) -> Result[None, StoreFault]:
        """Delete a host's row."""
        name = {"table": HOSTS_TABLE, "part": "", "key": record.address}
        written = await self._transact([], [], [name])
        return Err(written.err_value) if isinstance(written, Err) else Ok(None)

    async def list_hosts(self) -> Result[Sequence[HostRecord], StoreFault]:
        """Return the rows of all hosts."""
        answer = await self._get_rows(HOSTS_TABLE)
        if isinstance(answer, Err):
            return Err(StoreFault.UNAVAILABLE)
        records = []
        for row in answer.ok_value[0]:
            try:
                records.append(_decode_host(row["key"], _read_value(row)))
            except (ValueError, TypeError, msgpack.UnpackException) as error:
                logger.error("host_unreadable", host=row["key"], why=str(error))
        return Ok(records)

    # Calls.

    async def _get_rows(
        self, table: str
    ) -> Result[tuple[list[Fields], int], FeedFault]:
        """Return all rows of a table, and the version up to which they are complete."""
        rows: list[Fields] = []
        revision = 0
        begin = ""
        while True:
            query = {"table": table, "part": "", "limit": str(PAGE_ROWS)}
            if begin:
                query["from"] = begin
            answer = await self._call("GET", "/rows-get", query)
            if isinstance(answer, Err) or answer.ok_value.status != HTTP_OK:
                return Err(FeedFault.UNAVAILABLE)
            page = answer.ok_value
            # The first page is the oldest: what came since, the feed tells.
            revision = revision or page.revision
            if page.is_later(revision):
                return Err(FeedFault.HISTORY_GONE)
            rows += _stamp(page)
            if not page.fields.get("has_more"):
                return Ok((rows, revision))
            begin = rows[-1]["key"] + "\0"

    async def _feed(
        self, table: str, revision: int, seconds: float
    ) -> Result[tuple[list[Fields], int], FeedFault]:
        query = {
            "table": table,
            "since_rev": str(get_version(revision)),
            "wait_ms": str(int(seconds * 1000)),
        }
        limit = seconds + WAIT_SLACK_SECONDS
        answer = await self._call("GET", "/rows-feed", query, limit=limit)
        if isinstance(answer, Err):
            return Err(FeedFault.UNAVAILABLE)
        found = answer.ok_value
        if found.status == HTTP_GONE:
            return Err(FeedFault.HISTORY_GONE)
        if found.status != HTTP_OK:
            return Err(FeedFault.UNAVAILABLE)
        if found.is_later(revision):
            # Its versions have passed the one asked for once more: what was written
            # between is not in this answer.
            return Err(FeedFault.HISTORY_GONE)
        return Ok((_stamp(found), found.revision))

    async def _transact(
        self, guard: list[Fields], puts: list[Fields], removed: list[Fields]
    ) -> Result[int, StoreFault]:
        body = {"expected_rev": guard, "puts": puts, "remove": removed}
        answer = await self._call("POST", "/rows-tx", {}, orjson.dumps(body))
        if isinstance(answer, Err):
            return answer
        found = answer.ok_value
        if found.status != HTTP_OK:
            return Err(_judge(found.status))
        return Ok(found.revision)

    async def _call(
        self,
        method: str,
        path: str,
        query: dict[str, str],
        body: bytes | None = None,
        limit: float = CALL_SECONDS,
    ) -> Result[StoreAnswer, StoreFault]:
        """Make a call and return its answer."""
        headers = {"Content-Type": "application/json"} if body else None
        try:
            async with self._session.request(
                method,
                self._base + path,
                params=query,
                data=body,
                headers=headers,
                timeout=aiohttp.ClientTimeout(total=limit, sock_connect=CALL_SECONDS),
            ) as response:
                content = await response.read()
                era = self._read_era(response.headers.get(ERA_HEADER))
                fields = orjson.loads(content) if response.status == HTTP_OK else {}
                return Ok(StoreAnswer(response.status, fields, era))
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError) as error:
            logger.debug("store_call_failed", path=path, why=repr(error))
            return Err(StoreFault.UNKNOWN)

    def _read_era(self, text: str | None) -> int:
        """Return the era that an answer tells; the last one where it tells none."""
        if text is not None and text.isdecimal():
            self._era = int(text)
        elif text is not None:
            logger.warning("era_unreadable", text=text, taken=self._era)
        return self._era


def _decode_host(address: str, value: bytes) -> HostRecord:
    """Return what a host's row says; hosts of before wrote their data centre alone.

    :raises ValueError: if it is no row of a host.
    """
    fields = msgpack.unpackb(value)
    if isinstance(fields, str):
        return HostRecord(address, fields)
    centre, strength = fields
    return HostRecord(address, str(centre), int(strength))


def _judge(status: int) -> StoreFault:
    if status == HTTP_CONFLICT:
        return StoreFault.CONFLICT
    return StoreFault.UNAVAILABLE if status in NOT_DONE else StoreFault.UNKNOWN


def _decode_target(key: str, row: Fields) -> Result[TargetRow, str]:
    try:
        return decode_target(key, _read_value(row), int(row["revision"]))
    except (ValueError, TypeError) as error:
        return Err(f"{type(error).__name__}: {error}")


def _read_revision(row: Fields, era: int) -> int:
    return make_revision(era, int(row["row_version"]))


def _stamp(answer: StoreAnswer) -> list[Fields]:
    """Return the rows of an answer, each with its place in the store's history."""
    return [
        {**row, "revision": _read_revision(row, answer.era)}
        for row in answer.fields["rows"]
    ]


def _read_value(row: Fields) -> bytes:
    return base64.b64decode(row["value"])


def _write_row(table: str, key: str, value: bytes) -> Fields:
    encoded = base64.b64encode(value).decode()
    return {"table": table, "part": "", "key": key, "value": encoded}
