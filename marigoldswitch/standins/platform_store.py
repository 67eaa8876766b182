"""Stand-in for the store of the users' platform: rows, change feeds and faults."""

import asyncio
import base64
from dataclasses import dataclass
from typing import Any

import orjson
from aiohttp import web

Fields = dict[str, Any]
RowKey = tuple[str, str, str]
"""Table, part and key."""


@dataclass(frozen=True, slots=True)
class _Snapshot:
    rows: dict[RowKey, Fields]
    history: list[Fields]
    version: int


class StoreStandin:
    """Keeps rows in memory and answers the store's calls.

    :ivar refuse: HTTP status with which every call is refused, if any.
    :ivar refused_paths: paths whose calls are refused with 503.
    :ivar silent: calls get no answer.
    :ivar lose_write_answers: writes take effect but get no answer.
    :ivar delays: seconds by which answers are late, by path.
    :ivar bodies: bodies of the answers to calls that are not carried out, by path.
    :ivar calls: paths of all calls received.
    :ivar era: value of the ``Store-Era`` header; ``None`` for a store without eras.
    """

    def __init__(self) -> None:
        self.address = ""
        self.refuse: int | None = None
        self.refused_paths: set[str] = set()
        self.silent = False
        self.lose_write_answers = False
        self.delays: dict[str, float] = {}
        self.bodies: dict[str, bytes] = {}
        self.calls: list[str] = []
        self.era: int | None = 1
        self._snapshot: _Snapshot | None = None
        self._rows: dict[RowKey, Fields] = {}
        self._history: list[Fields] = []
        self._oldest_version = 0
        self._version = 1
        self._changed = asyncio.Event()
        self._runner: web.AppRunner | None = None

    async def start(self) -> None:
        """Listen on a port chosen by the kernel."""
        application = web.Application()
        application.on_response_prepare.append(self._add_era_header)
        application.on_response_prepare.append(self._delay)
        application.router.add_post("/rows-tx", self._transact)
        application.router.add_get("/rows-get", self._get)
        application.router.add_get("/rows-feed", self._feed)
        self._runner = web.AppRunner(application, shutdown_timeout=0.1)
        await self._runner.setup()
        site = web.TCPSite(self._runner, "127.0.0.1", 0)
        await site.start()
        self.address = f"127.0.0.1:{self._runner.addresses[0][1]}"

    async def stop(self) -> None:
        """Stop listening."""
        assert self._runner is not None
        await self._runner.cleanup()

    def put(self, table: str, key: str, value: Any) -> int:
        """Write a JSON row, as the operator or a target would; return its version."""
        return self.put_bytes(table, key, orjson.dumps(value))

    def put_bytes(self, table: str, key: str, value: bytes) -> int:
        """Write a row of arbitrary bytes, as another writer may; return its version."""
        self._write(table, "", key, base64.b64encode(value).decode())
        return self._version

    def delete(self, table: str, key: str) -> None:
        """Delete a row."""
        self._delete(table, "", key)

    def read(self, table: str, key: str) -> bytes | None:
        """Return the value of a row, or ``None``."""
        row = self._rows.get((table, "", key))
        return base64.b64decode(row["value"]) if row else None

    def compact(self) -> None:
        """Discard the history; feeds from an older version are then answered 410."""
        self._history.clear()
        self._oldest_version = self._version

    def take_snapshot(self) -> None:
        """Take a snapshot for :meth:`restore`."""
        self._snapshot = _Snapshot(dict(self._rows), list(self._history), self._version)

    def restore(self) -> None:
        """Restore the snapshot, losing all later writes, and begin a new era."""
        assert self._snapshot is not None
        self._rows, self._history = (
            dict(self._snapshot.rows),
            list(self._snapshot.history),
        )
        self._version = self._snapshot.version
        self.era = (self.era or 0) + 1
        self._changed.set()
        self._changed = asyncio.Event()

    async def _add_era_header(
        self, http: web.Request, answer: web.StreamResponse
    ) -> None:
        if self.era is not None:
            answer.headers["Store-Era"] = str(self.era)

    async def _delay(self, http: web.Request, answer: web.StreamResponse) -> None:
        await asyncio.sleep(self.delays.get(http.path, 0.0))

    def _write(self, table: str, part: str, key: str, value: str) -> None:
        self._version += 1
        row = {
            "table": table,
            "part": part,
            "key": key,
            "value": value,
            "row_version": self._version,
        }
        self._rows[table, part, key] = row
        self._append_history(row)

    def _delete(self, table: str, part: str, key: str) -> None:
        if self._rows.pop((table, part, key), None) is None:
            return
        self._version += 1
        self._append_history(
            {
                "table": table,
                "part": part,
                "key": key,
                "deleted": True,
                "row_version": self._version,
            }
        )

    def _append_history(self, row: Fields) -> None:
        self._history.append(row)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _apply_faults(self, http: web.Request) -> web.Response | None:
        """Record a call and apply the set faults; return the refusal, if any."""
        self.calls.append(http.path)
        if self.silent:
            await asyncio.sleep(3600)
        if http.path in self.refused_paths:
            return web.Response(status=503)
        if self.refuse is not None:
            return web.Response(status=self.refuse)
        if http.path in self.bodies:
            return web.Response(body=self.bodies[http.path])
        return None

    async def _transact(self, http: web.Request) -> web.Response:
        refusal = await self._apply_faults(http)
        if refusal is not None:
            return refusal
        body = orjson.loads(await http.read())
        for expectation in body["expected_rev"]:
            row = self._rows.get(_get_key(expectation))
            if (row["row_version"] if row else 0) != expectation["row_version"]:
                return _answer({"rows": [row] if row else []}, self._version, 412)
        for put in body["puts"]:
            self._write(*_get_key(put), put["value"])
        for removal in body["remove"]:
            self._delete(*_get_key(removal))
        if self.lose_write_answers:
            await asyncio.sleep(3600)
        return _answer({}, self._version)

    async def _get(self, http: web.Request) -> web.Response:
        refusal = await self._apply_faults(http)
        if refusal is not None:
            return refusal
        query = http.query
        names = sorted(
            name
            for name in self._rows
            if name[:2] == (query["table"], query.get("part", ""))
            and name[2] >= query.get("from", "")
        )
        limit = int(query.get("limit", "500"))
        rows = [self._rows[name] for name in names[:limit]]
        fields = {"rows": rows, "has_more": len(names) > limit}
        return _answer(fields, self._version)

    async def _feed(self, http: web.Request) -> web.Response:
        refusal = await self._apply_faults(http)
        if refusal is not None:
            return refusal
        table, since = http.query["table"], int(http.query["since_rev"])
        if since < self._oldest_version or since > self._version:
            return web.Response(status=410)
        loop = asyncio.get_running_loop()
        end = loop.time() + int(http.query.get("wait_ms", "0")) / 1000.0
        while not (rows := self._list_changes(table, since)) and loop.time() < end:
            changed = asyncio.ensure_future(self._changed.wait())
            await asyncio.wait({changed}, timeout=end - loop.time())
            changed.cancel()
        if since < self._oldest_version:
            return web.Response(status=410)
        return _answer({"rows": rows}, self._version)

    def _list_changes(self, table: str, since: int) -> list[Fields]:
        return [
            row
            for row in self._history
            if row["table"] == table and row["row_version"] > since
        ]


def _get_key(fields: Fields) -> RowKey:
    return fields["table"], fields.get("part", ""), fields["key"]


def _answer(fields: Fields, version: int, status: int = 200) -> web.Response:
    body = orjson.dumps({**fields, "row_version": version, "now_ms": 0})
    return web.Response(status=status, body=body, content_type="application/json")
