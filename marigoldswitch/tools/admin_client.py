"""Client of the administration interface, used by the operator tool and the demo."""

from dataclasses import dataclass
from typing import Any
from urllib.parse import quote

import aiohttp
import orjson
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey
from result import Err, Ok, Result

from marigoldswitch.bundles import digest_content
from marigoldswitch.core.ids import BundleVersion, Digest, OperatorId
from marigoldswitch.signatures import Step, sign_step

TIMEOUT = aiohttp.ClientTimeout(total=10.0)


@dataclass(frozen=True, slots=True)
class CallFault:
    """Why a call gave no answer.

    :param status: HTTP status; 0 where none came.
    """

    status: int
    lines: tuple[str, ...]


Reply = Result[dict[str, Any], CallFault]


class AdminClient:
    """Calls one host's administration interface as one operator.

    :param address: ``http://IP:port``.
    :param key: the operator's bearer key.
    :param signer: the operator's private key, for the steps of a bundle.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        address: str,
        key: str,
        signer: Ed25519PrivateKey | None = None,
    ) -> None:
        self._session = session
        self._address = address.rstrip("/")
        self._headers = {"Authorization": f"Bearer {key}"}
        self._signer = signer

    async def submit(self, content: bytes, why: str) -> Reply:
        """Submit a bundle as a draft."""
        try:
            text = content.decode()
        except UnicodeDecodeError:
            return Err(CallFault(0, ("the bundle is no UTF-8 text",)))
        digest = digest_content(content)
        extra = {"content": text}
        return await self._take_step(Step.SUBMIT, digest, None, why, extra)

    async def review(self, digest: str, why: str) -> Reply:
        """Mark a draft as reviewed."""
        return await self._take_step(Step.REVIEW, digest, None, why)

    async def sign_off(self, digest: str, why: str) -> Reply:
        """Sign a reviewed draft off."""
        return await self._take_step(Step.SIGN_OFF, digest, None, why)

    async def accept(self, digest: str, seen: int, why: str) -> Reply:
        """Put a signed-off bundle in force.

        :param seen: version in force that the operator decided upon.
        """
        return await self._take_step(Step.ACCEPT, digest, seen, why)

    async def show_operator(self) -> Reply:
        """Return the operator's name and roles, and the version in force."""
        return await self.get("/v1/whoami")

    async def show_content(self, digest: str) -> Reply:
        """Return the content of a bundle."""
        return await self.get(f"/v1/bundles/{quote(digest, safe='')}")

    async def list_drafts(self) -> Reply:
        """Return the open drafts."""
        return await self.get("/v1/bundles")

    async def list_history(self, count: int) -> Reply:
        """Return the newest versions."""
        return await self.get(f"/v1/history?count={count}")

    async def show_status(self) -> Reply:
        """Return the status of all hosts."""
        return await self.get("/v1/status")

    async def explain(self, request: str) -> Reply:
        """Return the decision trail of a request."""
        return await self.get(f"/v1/explain/{quote(request, safe='')}")

    async def list_drains(self) -> Reply:
        """Return the drained targets."""
        return await self.get("/v1/drains")

    async def drain(self, target: str, why: str) -> Reply:
        """Let a target get no new work."""
        path = f"/v1/drains/{quote(target, safe='')}"
        return await self._call("POST", path, {"why": why})

    async def undrain(self, target: str, why: str) -> Reply:
        """Let a drained target get work again."""
        path = f"/v1/drains/{quote(target, safe='')}"
        return await self._call("DELETE", path, {"why": why})

    async def switch_orders(self, region: str, paused: bool, why: str) -> Reply:
        """Pause or resume the engine orders of a region."""
        end = "pause" if paused else "resume"
        path = f"/v1/orders/{quote(region, safe='')}/{end}"
        return await self._call("POST", path, {"why": why})

    async def get(self, path: str) -> Reply:
        """Return what a path shows."""
        return await self._call("GET", path)

    async def _take_step(
        self,
        step: Step,
        digest: str,
        seen: int | None,
        why: str,
        extra: dict[str, Any] | None = None,
    ) -> Reply:
        """Sign a step as the operator that the host knows by the bearer key."""
        if self._signer is None:
            return Err(CallFault(0, ("a private key is needed to sign this step",)))
        operator = await self.show_operator()
        if isinstance(operator, Err):
            return operator
        known = operator.ok_value
        seen = known["version"] if seen is None else seen
        version = seen + 1 if step is Step.ACCEPT else seen
        endorsement = sign_step(
            self._signer,
            step,
            Digest(digest),
            BundleVersion(version),
            OperatorId(known["operator"]),
        )
        body = {"seen": seen, "signature": endorsement.signature.hex(), "why": why}
        path = "/v1/bundles"
        if step is not Step.SUBMIT:
            path += f"/{quote(digest, safe='')}/{step.value}"
        return await self._call("POST", path, body | (extra or {}))

    async def _call(
        self, method: str, path: str, body: dict[str, Any] | None = None
    ) -> Reply:
        try:
            async with self._session.request(
                method,
                self._address + path,
                data=None if body is None else orjson.dumps(body),
                headers=self._headers,
                timeout=TIMEOUT,
            ) as response:
                content = await response.read()
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            reason = f"{self._address}: {type(error).__name__}: {error}"
            return Err(CallFault(0, (reason,)))
        try:
            answer = orjson.loads(content)
        except orjson.JSONDecodeError:
            reason = f"{self._address}: status {response.status}, no JSON"
            return Err(CallFault(response.status, (reason,)))
        if response.status != 200:
            lines = (str(answer.get("error", "")), *answer.get("lines", []))
            return Err(CallFault(response.status, lines))
        return Ok(answer)
