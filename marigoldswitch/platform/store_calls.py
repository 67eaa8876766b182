"""HTTP calls to the platform's store, and the rows in its answers."""

import asyncio
import base64
from enum import Enum
from typing import Any

import aiohttp
import orjson
import structlog
from msgspec import Struct
from result import Err, Ok, Result

from marigoldswitch.core.revisions import get_era, make_revision
from marigoldswitch.gateway.bounded_reads import (
    AnswerUnbounded,
    Reader,
    ReadGuard,
    read_whole,
)

logger = structlog.get_logger(__name__)

CALL_TIMEOUT_SECONDS = 0.6
"""Timeout of a call for a single row, and time after which a connection to the store
counts as dead. The store takes about 4 ms, a slow one up to 60 times as long."""

HTTP_OK = 200
HTTP_GONE = 410
HTTP_PRECONDITION_FAILED = 412
EXPECTED_STATUSES = frozenset({HTTP_OK, HTTP_GONE, HTTP_PRECONDITION_FAILED})
"""Statuses of a store that works."""
ERA_HEADER = "Store-Era"

Fields = dict[str, Any]


class CallFault(Enum):
    """Why a call has brought no usable answer."""

    TIMEOUT = "timeout"
    UNREACHABLE = "unreachable"
    MALFORMED = "malformed"


class StoredRow(Struct, frozen=True):
    """A row of the store.

    :param value: ``None`` if the row was deleted or can't be read.
    :param fault: what is wrong with it, if it can't be read.
    """

    key: str
    revision: int
    value: bytes | None
    is_deleted: bool = False
    fault: str = ""


class StoreAnswer(Struct, frozen=True):
    """An answer of the store; of one with another status than 200, only the status.

    :param revision: the store's newest revision.
    :param has_more: whether the table has further rows.
    """

    status: int
    revision: int = 0
    rows: tuple[StoredRow, ...] = ()
    has_more: bool = False

    def is_restored_since(self, revision: int) -> bool:
        """Return whether the store was restored from a copy after a revision."""
        return get_era(self.revision) != get_era(revision)


class StoreCalls:
    """Makes the calls, and logs when the store begins or ceases to answer them."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        address: str,
        guard: ReadGuard | None = None,
    ) -> None:
        self._guard = guard or ReadGuard()
        self._session = session
        self._base = f"http://{address}"
        self._era = 0
        """The latest valid one that an answer stated."""
        self._failing: dict[tuple[str, str], str] = {}
        """How calls fail now, by path and table."""

    async def get(
        self, path: str, query: dict[str, str], timeout: float = CALL_TIMEOUT_SECONDS
    ) -> Result[StoreAnswer, CallFault]:
        """Read rows.

        :param timeout: in seconds.
        """
        return await self._call("GET", path, query["table"], query, None, timeout)

    async def post(
        self, path: str, table: str, body: Fields
    ) -> Result[StoreAnswer, CallFault]:
        """Write or delete rows.

        :param table: of the rows, for the log.
        """
        content = orjson.dumps(body)
        return await self._call("POST", path, table, {}, content, CALL_TIMEOUT_SECONDS)

    async def _call(
        self,
        method: str,
        path: str,
        table: str,
        query: dict[str, str],
        body: bytes | None,
        timeout: float,
    ) -> Result[StoreAnswer, CallFault]:
        """Make a call and return its answer, whatever the status."""
        headers = {"Content-Type": "application/json"} if body else None
        loop = asyncio.get_running_loop()
        began = loop.time()
        try:
            async with self._session.request(
                method,
                self._base + path,
                params=query,
                data=body,
                headers=headers,
                timeout=aiohttp.ClientTimeout(
                    total=timeout, sock_connect=CALL_TIMEOUT_SECONDS
                ),
            ) as response:
                content = await read_whole(
                    response, self._guard.bounds, "store_bytes", counts_silence=True
                )
                era = self._update_era(response.headers.get(ERA_HEADER))
            answer = _read_answer(response.status, content, era, method == "GET")
            fault, why = None, ""
        except TimeoutError as error:
            fault, why = CallFault.TIMEOUT, repr(error)
        except AnswerUnbounded as error:
            self._guard.note(self._base, Reader.STORE, error.excess)
            fault, why = CallFault.MALFORMED, repr(error)
        except (aiohttp.ClientError, OSError) as error:
            fault, why = CallFault.UNREACHABLE, repr(error)
        except ValueError as error:
            fault, why = CallFault.MALFORMED, repr(error)
        if fault is not None:
            self._note_outcome(path, table, fault.value, loop.time() - began, why)
            return Err(fault)
        is_refused = answer.status not in EXPECTED_STATUSES
        kind = f"refused with {answer.status}" if is_refused else ""
        self._note_outcome(path, table, kind, loop.time() - began, why)
        return Ok(answer)

    def _note_outcome(
        self, path: str, table: str, kind: str, seconds: float, why: str
    ) -> None:
        """Log a change in how calls end.

        :param kind: how this one has failed; empty if it was answered.
        :param seconds: that it took.
        """
        before = self._failing.get((path, table), "")
        if kind == before:
            return
        details = {"path": path, "table": table, "seconds": round(seconds, 3)}
        if kind:
            self._failing[path, table] = kind
            logger.warning("store_call_failed", **details, kind=kind, why=why)
        else:
            del self._failing[path, table]
            logger.info("store_call_answered", **details, failed_before=before)

    def _update_era(self, text: str | None) -> int:
        """Note the era that an answer states, if it is valid; return the latest one."""
        if text is not None and text.isdecimal():
            self._era = int(text)
        elif text is not None:
            logger.warning("era_unreadable", text=text, taken=self._era)
        return self._era


def _read_answer(status: int, content: bytes, era: int, has_rows: bool) -> StoreAnswer:
    """Decode an answer.

    :raises ValueError: if it can't be read as a whole; single rows may be unreadable.
    """
    if status != HTTP_OK:
        return StoreAnswer(status)
    fields = orjson.loads(content)
    if not isinstance(fields, dict):
        raise ValueError("not a JSON object")
    revision = _read_revision(fields, era)
    rows = _read_rows(fields.get("rows"), era) if has_rows else ()
    return StoreAnswer(status, revision, rows, bool(fields.get("has_more")))


def _read_rows(rows: Any, era: int) -> tuple[StoredRow, ...]:
    """Decode the rows of an answer; those without a key are left out.

    :raises ValueError: if they are no list.
    """
    if not isinstance(rows, list):
        raise ValueError("rows are no list")
    read = []
    for row in rows:
        if isinstance(row, dict) and isinstance(row.get("key"), str):
            read.append(_read_row(row, era))
        else:
            logger.warning("row_without_key", row=repr(row)[:100])
    return tuple(read)


def _read_row(row: Fields, era: int) -> StoredRow:
    key, revision = row["key"], 0
    try:
        revision = _read_revision(row, era)
        if row.get("deleted"):
            return StoredRow(key, revision, None, is_deleted=True)
        return StoredRow(key, revision, base64.b64decode(row["value"]))
    except (KeyError, ValueError, TypeError) as error:
        fault = f"{type(error).__name__}: {error}"
        return StoredRow(key, revision, None, fault=fault)


def _read_revision(fields: Fields, era: int) -> int:
    """Return the revision of a row or an answer.

    :raises ValueError: if its version is missing or no whole number of at least 0.
    """
    version = fields.get("row_version")
    if type(version) is not int or version < 0:
        raise ValueError(f"row_version is {version!r}")
    return make_revision(era, version)
