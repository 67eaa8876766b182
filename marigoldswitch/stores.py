"""Clients of the platform: table service, object store, host list."""

import base64
from collections.abc import Sequence
from typing import Any

import aiohttp
import orjson
from result import Err, Ok, Result

from marigoldswitch.core.ids import DataCentre
from marigoldswitch.core.ports import HostEntry, HostRole, Put, Row, StoreFault

CONFLICT_STATUS = 409


def encode_bytes(value: bytes) -> str:
    """Return bytes as text for JSON."""
    return base64.b64encode(value).decode("ascii")


def decode_bytes(value: str) -> bytes:
    """Return the bytes that :func:`encode_bytes` was given."""
    return base64.b64decode(value)


class PlatformClient:
    """All three services of the platform behind one address.

    :param host: name of this host, sent with each call.
    :param address: ``http://IP:port``.
    :param timeout: longest wait for one answer, in seconds.
    """

    def __init__(
        self, session: aiohttp.ClientSession, host: str, address: str, timeout: float
    ) -> None:
        self._session = session
        self._headers = {"X-Host": host}
        self._address = address
        self._timeout = aiohttp.ClientTimeout(total=timeout)

    async def read(self, table: str, key: str) -> Result[Row | None, StoreFault]:
        """Return one row, or ``None`` where there is none."""
        answer = await self._call("/table/read", {"table": table, "key": key})
        return answer.map(lambda body: _parse_row(body["row"]))

    async def scan(self, table: str, prefix: str) -> Result[dict[str, Row], StoreFault]:
        """Return the rows whose key begins with ``prefix``, by key."""
        answer = await self._call("/table/scan", {"table": table, "prefix": prefix})
        return answer.map(_parse_rows)

    async def transact(self, puts: Sequence[Put]) -> Result[None, StoreFault]:
        """Write all rows or none."""
        body = {
            "puts": [
                {
                    "table": put.table,
                    "key": put.key,
                    "value": None if put.value is None else encode_bytes(put.value),
                    "expect": put.expect,
                }
                for put in puts
            ]
        }
        answer = await self._call("/table/transact", body, writes=True)
        return answer.map(lambda _: None)

    async def get(self, key: str) -> Result[bytes | None, StoreFault]:
        """Return an object's content, or ``None`` where there is none."""
        answer = await self._call("/objects/get", {"key": key})
        return answer.map(
            lambda body: None if body["content"] is None
            else decode_bytes(body["content"])
        )  # fmt: skip

    async def put(self, key: str, content: bytes) -> Result[None, StoreFault]:
        """Store an object."""
        body = {"key": key, "content": encode_bytes(content)}
        answer = await self._call("/objects/put", body, writes=True)
        return answer.map(lambda _: None)

    async def fetch(self) -> Result[list[HostEntry], StoreFault]:
        """Return the host list."""
        answer = await self._call("/hosts", {})
        return answer.map(_parse_hosts)

    async def _call(
        self, path: str, body: dict[str, Any], writes: bool = False
    ) -> Result[dict[str, Any], StoreFault]:
        lost = StoreFault.UNKNOWN if writes else StoreFault.UNAVAILABLE
        try:
            async with self._session.post(
                self._address + path,
                data=orjson.dumps(body),
                headers=self._headers,
                timeout=self._timeout,
            ) as response:
                content = await response.read()
                if response.status == CONFLICT_STATUS:
                    return Err(StoreFault.CONFLICT)
                if response.status == 503:
                    return Err(StoreFault.UNAVAILABLE)
                if response.status != 200:
                    return Err(lost)
                return Ok(orjson.loads(content))
        except aiohttp.ClientConnectorError:
            return Err(StoreFault.UNAVAILABLE)
        except (TimeoutError, aiohttp.ClientError, ValueError):
            return Err(lost)


def _parse_row(row: dict[str, Any] | None) -> Row | None:
    if row is None:
        return None
    return Row(decode_bytes(row["value"]), row["version"])


def _parse_rows(body: dict[str, Any]) -> dict[str, Row]:
    return {
        key: Row(decode_bytes(row["value"]), row["version"])
        for key, row in body["rows"].items()
    }


def _parse_hosts(body: dict[str, Any]) -> list[HostEntry]:
    return [
        HostEntry(
            item["id"],
            HostRole(item["role"]),
            DataCentre(item["data_centre"]),
            item["address"],
            item["leaving"],
        )
        for item in body["hosts"]
    ]
