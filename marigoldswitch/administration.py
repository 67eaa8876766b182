"""The operators' interface: HTTP by aiohttp, on a listener of its own."""

import hashlib
import hmac
from collections.abc import Callable, Mapping
from typing import Any

import orjson
import structlog
from aiohttp import web
from result import Err, Ok, Result

from marigoldswitch.core.ids import BundleVersion, Digest, OperatorId
from marigoldswitch.releases import Draft, Refusal, ReleaseFault, Releases
from marigoldswitch.settings import OperatorSettings

logger = structlog.get_logger(__name__)

STATUS: Mapping[ReleaseFault, int] = {
    ReleaseFault.INVALID: 422,
    ReleaseFault.UNKNOWN_DRAFT: 404,
    ReleaseFault.WRONG_STATE: 409,
    ReleaseFault.SAME_OPERATOR: 403,
    ReleaseFault.CONFLICT: 409,
    ReleaseFault.PLATFORM: 503,
}


class Administration:
    """Checks who an operator is and does what the operator asks."""

    def __init__(
        self,
        operators: Mapping[str, OperatorSettings],
        releases: Releases,
        show_status: Callable[[], dict[str, Any]],
    ) -> None:
        self._operators = operators
        self._releases = releases
        self._show = show_status

    def build_application(self) -> web.Application:
        """Return the HTTP application."""
        application = web.Application(client_max_size=8 * 1024 * 1024)
        router = application.router
        router.add_post("/v1/bundles", self._submit)
        router.add_post("/v1/bundles/{digest}/review", self._review)
        router.add_post("/v1/bundles/{digest}/sign-off", self._sign_off)
        router.add_post("/v1/bundles/{digest}/accept", self._accept)
        router.add_get("/v1/status", self._show_status)
        return application

    async def _submit(self, http: web.Request) -> web.Response:
        operator = self._authorise(http, "reviewer")
        if isinstance(operator, web.Response):
            return operator
        return _answer(await self._releases.submit(await http.read(), operator))

    async def _review(self, http: web.Request) -> web.Response:
        operator = self._authorise(http, "reviewer")
        if isinstance(operator, web.Response):
            return operator
        digest = Digest(http.match_info["digest"])
        return _answer(await self._releases.review(digest, operator))

    async def _sign_off(self, http: web.Request) -> web.Response:
        operator = self._authorise(http, "releaser")
        if isinstance(operator, web.Response):
            return operator
        digest = Digest(http.match_info["digest"])
        return _answer(await self._releases.sign_off(digest, operator))

    async def _accept(self, http: web.Request) -> web.Response:
        operator = self._authorise(http, "releaser")
        if isinstance(operator, web.Response):
            return operator
        digest = Digest(http.match_info["digest"])
        seen = BundleVersion(int(http.query.get("seen", "0")))
        accepted = await self._releases.accept(digest, seen, operator)
        return _answer(accepted)

    async def _show_status(self, http: web.Request) -> web.Response:
        operator = self._authorise(http, "viewer")
        if isinstance(operator, web.Response):
            return operator
        return web.json_response(self._show(), dumps=_dump)

    def _authorise(self, http: web.Request, role: str) -> OperatorId | web.Response:
        key = http.headers.get("Authorization", "").removeprefix("Bearer ").strip()
        digest = hashlib.sha256(key.encode("utf-8", "replace")).hexdigest()
        found: str | None = None
        for name, operator in self._operators.items():
            if hmac.compare_digest(operator.key_digest, digest):
                found = name
        if found is None:
            return web.json_response({"error": "unknown operator key"}, status=401)
        if role not in self._operators[found].roles:
            body = {"error": f"operator {found} lacks the role {role}"}
            return web.json_response(body, status=403)
        logger.info("operator_call", operator=found, path=http.path)
        return OperatorId(found)


def _answer(result: Result[Any, Refusal]) -> web.Response:
    match result:
        case Ok(value):
            body = {name: getattr(value, name) for name in value.__slots__}
            if isinstance(value, Draft):
                body["state"] = value.state.value
            return web.json_response(body)
        case Err(refusal):
            body = {"error": refusal.fault.value, "lines": list(refusal.lines)}
            return web.json_response(body, status=STATUS[refusal.fault])


def _dump(value: object) -> str:
    return orjson.dumps(value).decode()
