"""Client of the administration interface, used by the operator tool and the demo."""

from typing import Any

import aiohttp
import orjson
from result import Err, Ok, Result

TIMEOUT = aiohttp.ClientTimeout(total=10.0)


class AdminClient:
    """Calls one host's administration interface as one operator.

    :param address: ``http://IP:port``.
    :param key: the operator's bearer key.
    """

    def __init__(self, session: aiohttp.ClientSession, address: str, key: str) -> None:
        self._session = session
        self._address = address.rstrip("/")
        self._headers = {"Authorization": f"Bearer {key}"}

    async def submit(self, content: bytes) -> Result[dict[str, Any], list[str]]:
        """Submit a bundle as a draft."""
        return await self._call("POST", "/v1/bundles", content)

    async def review(self, digest: str) -> Result[dict[str, Any], list[str]]:
        """Mark a draft as reviewed."""
        return await self._call("POST", f"/v1/bundles/{digest}/review")

    async def sign_off(self, digest: str) -> Result[dict[str, Any], list[str]]:
        """Sign a reviewed draft off."""
        return await self._call("POST", f"/v1/bundles/{digest}/sign-off")

    async def accept(self, digest: str, seen: int) -> Result[dict[str, Any], list[str]]:
        """Put a signed-off bundle in force."""
        path = f"/v1/bundles/{digest}/accept?seen={seen}"
        return await self._call("POST", path)

    async def show_status(self) -> Result[dict[str, Any], list[str]]:
        """Return the status of the host."""
        return await self._call("GET", "/v1/status")

    async def _call(
        self, method: str, path: str, content: bytes | None = None
    ) -> Result[dict[str, Any], list[str]]:
        try:
            async with self._session.request(
                method,
                self._address + path,
                data=content,
                headers=self._headers,
                timeout=TIMEOUT,
            ) as response:
                body = await response.read()
        except (aiohttp.ClientError, TimeoutError) as error:
            return Err([f"{self._address}: {type(error).__name__}"])
        try:
            answer = orjson.loads(body)
        except orjson.JSONDecodeError:
            return Err([f"{self._address}: status {response.status}, no JSON"])
        if response.status != 200:
            return Err([str(answer.get("error", "")), *answer.get("lines", [])])
        return Ok(answer)
