"""The operators' interface: HTTP by aiohttp, on a listener of its own."""

from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass
from typing import Annotated, Any

import orjson
import structlog
from aiohttp import web
from pydantic import BaseModel, ConfigDict, Field, ValidationError
from result import Err, Ok, Result

from marigoldswitch.bundles import digest_content
from marigoldswitch.core.adoption import Adoption
from marigoldswitch.core.ids import BundleVersion, Digest, Region, TargetId
from marigoldswitch.core.ports import StoreFault
from marigoldswitch.drains import Drain, Drains
from marigoldswitch.inquiries import Inquiries, Subject
from marigoldswitch.operators import Operator, OperatorDirectory
from marigoldswitch.orderers import OrderSwitch
from marigoldswitch.records import AcceptedRecord, Draft
from marigoldswitch.releases import Refusal, ReleaseFault, Releases
from marigoldswitch.settings import describe_faults
from marigoldswitch.signatures import Endorsement, Step

logger = structlog.get_logger(__name__)

LARGEST_BODY = 8 * 1024 * 1024
MOST_HISTORY = 1000
STATUS: Mapping[ReleaseFault, int] = {
    ReleaseFault.INVALID: 422,
    ReleaseFault.UNKNOWN_DRAFT: 404,
    ReleaseFault.WRONG_STATE: 409,
    ReleaseFault.SAME_OPERATOR: 403,
    ReleaseFault.SIGNATURE: 403,
    ReleaseFault.UNSAFE: 422,
    ReleaseFault.CONFLICT: 409,
    ReleaseFault.PLATFORM: 503,
    ReleaseFault.UNSETTLED: 503,
}

Why = Annotated[str, Field(min_length=1, max_length=500)]
Handler = Callable[[web.Request, Operator], Awaitable[web.Response]]


class _Body(BaseModel):
    model_config = ConfigDict(extra="forbid")


class ChangeBody(_Body):
    """Any change: why it is made."""

    why: Why


class StepBody(ChangeBody):
    """A step of a bundle.

    ``seen`` is the version in force that the operator saw.
    """

    seen: int = Field(ge=0, le=10**9)
    signature: str = Field(pattern="^[0-9a-f]{128}$")


class SubmitBody(StepBody):
    """A new bundle."""

    content: str


@dataclass(frozen=True, slots=True)
class AdministrationParts:
    """What operators act upon."""

    directory: OperatorDirectory
    releases: Releases
    adoption: Adoption
    drains: Drains
    orders: OrderSwitch
    inquiries: Inquiries


class Administration:
    """Checks who an operator is and does what the operator asks."""

    def __init__(self, parts: AdministrationParts) -> None:
        self._parts = parts

    def build_application(self) -> web.Application:
        """Return the HTTP application."""
        application = web.Application(
            client_max_size=LARGEST_BODY,
            middlewares=[_answer_errors],  # type: ignore[list-item]
        )
        bundle = "/v1/bundles/{digest}"
        for method, path, role, handler in (
            ("GET", "/v1/whoami", "viewer", self._show_operator),
            ("GET", "/v1/bundles", "viewer", self._list_drafts),
            ("GET", bundle, "viewer", self._show_content),
            ("GET", "/v1/history", "viewer", self._list_history),
            ("GET", "/v1/status", "viewer", self._show_status),
            ("GET", "/v1/explain/{request}", "viewer", self._explain),
            ("GET", "/v1/drains", "viewer", self._list_drains),
            ("POST", "/v1/bundles", "reviewer", self._submit),
            ("POST", f"{bundle}/review", "reviewer", self._review),
            ("POST", f"{bundle}/sign-off", "releaser", self._sign_off),
            ("POST", f"{bundle}/accept", "releaser", self._accept),
            ("POST", "/v1/drains/{target}", "releaser", self._drain),
            ("DELETE", "/v1/drains/{target}", "releaser", self._undrain),
            ("POST", "/v1/orders/{region}/pause", "releaser", self._pause),
            ("POST", "/v1/orders/{region}/resume", "releaser", self._resume),
        ):
            application.router.add_route(method, path, self._guard(role, handler))
        return application

    def _guard(
        self, role: str, handler: Handler
    ) -> Callable[[web.Request], Awaitable[web.Response]]:
        """Return a handler that first checks the operator's key and role."""

        async def handle(http: web.Request) -> web.Response:
            header = http.headers.get("Authorization", "")
            match self._parts.directory.authorise(header, role):
                case Err(refusal):
                    return _fail(refusal.status, refusal.reason)
                case Ok(operator):
                    return await handler(http, operator)

        return handle

    async def _show_operator(
        self, http: web.Request, operator: Operator
    ) -> web.Response:
        return _reply(
            {
                "operator": operator.id,
                "roles": operator.roles,
                "version": self._parts.adoption.version,
            }
        )

    async def _list_drafts(self, http: web.Request, operator: Operator) -> web.Response:
        match await self._parts.releases.list_drafts():
            case Err(fault):
                return _fail_platform(fault)
            case Ok(drafts):
                return _reply({"drafts": [_format_draft(item) for item in drafts]})

    async def _show_content(
        self, http: web.Request, operator: Operator
    ) -> web.Response:
        match await self._parts.releases.fetch(_take_digest(http)):
            case Err(fault):
                return _fail_platform(fault)
            case Ok(content):
                if content is None:
                    return _fail(404, "no bundle with this digest")
                return _reply({"content": content.decode()})

    async def _list_history(
        self, http: web.Request, operator: Operator
    ) -> web.Response:
        text = http.query.get("count", "20")
        if not (text.isascii() and text.isdigit() and 0 < int(text) <= MOST_HISTORY):
            return _fail(400, f"count must be 1 to {MOST_HISTORY}")
        match await self._parts.releases.list_history(int(text)):
            case Err(fault):
                return _fail_platform(fault)
            case Ok(records):
                return _reply({"versions": [_format_record(item) for item in records]})

    async def _show_status(self, http: web.Request, operator: Operator) -> web.Response:
        hosts = await self._parts.inquiries.ask_all(Subject.STATUS, "")
        return _reply({"hosts": hosts})

    async def _explain(self, http: web.Request, operator: Operator) -> web.Response:
        request = http.match_info["request"]
        answers = await self._parts.inquiries.ask_all(Subject.TRAIL, request)
        found = [item for answer in answers.values() for item in answer]
        if not found:
            return _fail(404, f"no host remembers request {request}")
        found.sort(key=lambda item: str(item.get("timestamp", "")))
        return _reply({"request": request, "trail": found, "asked": len(answers)})

    async def _list_drains(self, http: web.Request, operator: Operator) -> web.Response:
        if not await self._parts.drains.look():
            return _fail_platform(StoreFault.UNAVAILABLE)
        marked = self._parts.drains.marked.values()
        return _reply({"drains": [_format_drain(item) for item in marked]})

    async def _submit(self, http: web.Request, operator: Operator) -> web.Response:
        body = SubmitBody.model_validate_json(await http.read())
        content = body.content.encode()
        digest = digest_content(content)
        endorsement = _build_endorsement(Step.SUBMIT, digest, body.seen, operator, body)
        result = await self._parts.releases.submit(content, endorsement, body.why)
        return _answer("submit", digest, operator, body, result.map(_format_draft))

    async def _review(self, http: web.Request, operator: Operator) -> web.Response:
        digest, body = _take_digest(http), await _read_step(http)
        endorsement = _build_endorsement(Step.REVIEW, digest, body.seen, operator, body)
        result = await self._parts.releases.review(digest, endorsement)
        return _answer("review", digest, operator, body, result.map(_format_draft))

    async def _sign_off(self, http: web.Request, operator: Operator) -> web.Response:
        digest, body = _take_digest(http), await _read_step(http)
        step = Step.SIGN_OFF
        endorsement = _build_endorsement(step, digest, body.seen, operator, body)
        result = await self._parts.releases.sign_off(digest, endorsement)
        return _answer("sign-off", digest, operator, body, result.map(_format_draft))

    async def _accept(self, http: web.Request, operator: Operator) -> web.Response:
        digest, body = _take_digest(http), await _read_step(http)
        version = body.seen + 1
        endorsement = _build_endorsement(Step.ACCEPT, digest, version, operator, body)
        result = await self._parts.releases.accept(
            digest, BundleVersion(body.seen), endorsement, body.why
        )
        return _answer("accept", digest, operator, body, result.map(_format_record))

    async def _drain(self, http: web.Request, operator: Operator) -> web.Response:
        body = ChangeBody.model_validate_json(await http.read())
        target = TargetId(http.match_info["target"])
        bundle = self._parts.adoption.bundle
        if bundle is not None and target not in bundle.targets:
            return _fail(404, f"no target {target} in version {bundle.version}")
        drain = Drain(target, operator.id, body.why)
        added = await self._parts.drains.add(drain)
        return _answer_store("drain", target, operator, body, added.map(_format_drain))

    async def _undrain(self, http: web.Request, operator: Operator) -> web.Response:
        body = ChangeBody.model_validate_json(await http.read())
        target = TargetId(http.match_info["target"])
        removed = await self._parts.drains.remove(target)
        if removed == Ok(None):
            return _fail(404, f"target {target} is not drained")
        answer: Result[Any, StoreFault] = removed.map(lambda _: {"target": target})
        return _answer_store("undrain", target, operator, body, answer)

    async def _pause(self, http: web.Request, operator: Operator) -> web.Response:
        return await self._switch_orders(http, operator, paused=True)

    async def _resume(self, http: web.Request, operator: Operator) -> web.Response:
        return await self._switch_orders(http, operator, paused=False)

    async def _switch_orders(
        self, http: web.Request, operator: Operator, paused: bool
    ) -> web.Response:
        body = ChangeBody.model_validate_json(await http.read())
        region = Region(http.match_info["region"])
        written = await self._parts.orders.set_paused(region, paused, operator.id)
        answer = written.map(lambda _: {"region": region, "paused": paused})
        what = "pause_orders" if paused else "resume_orders"
        return _answer_store(what, region, operator, body, answer)


@web.middleware
async def _answer_errors(
    http: web.Request, handler: Callable[[web.Request], Awaitable[web.StreamResponse]]
) -> web.StreamResponse:
    """Answer bad input with what is wrong, and faults of our own without a trace."""
    try:
        return await handler(http)
    except ValidationError as error:
        return _fail(400, "the body is wrong", describe_faults("body", error))
    except web.HTTPException as error:
        return _fail(error.status, str(error.reason))
    except (ValueError, UnicodeError) as error:
        return _fail(400, str(error)[:200])
    except Exception:
        logger.exception("administration_failed", path=http.path)
        return _fail(500, "the router met a fault of its own; see its log")


async def _read_step(http: web.Request) -> StepBody:
    return StepBody.model_validate_json(await http.read())


def _take_digest(http: web.Request) -> Digest:
    digest = http.match_info["digest"]
    if len(digest) != 64 or not set(digest) <= set("0123456789abcdef"):
        raise ValueError("a digest has 64 hexadecimal digits")
    return Digest(digest)


def _build_endorsement(
    step: Step, digest: Digest, version: int, operator: Operator, body: StepBody
) -> Endorsement:
    signature = bytes.fromhex(body.signature)
    return Endorsement(step, digest, BundleVersion(version), operator.id, signature)


def _answer(
    what: str,
    subject: str,
    operator: Operator,
    body: ChangeBody,
    result: Result[dict[str, Any], Refusal],
) -> web.Response:
    end = "done" if isinstance(result, Ok) else result.err_value.fault.value
    _log_change(what, subject, operator, body, end)
    match result:
        case Ok(value):
            return _reply(value)
        case Err(refusal):
            return _fail(
                STATUS[refusal.fault], refusal.fault.value, list(refusal.lines)
            )


def _answer_store(
    what: str,
    subject: str,
    operator: Operator,
    body: ChangeBody,
    result: Result[dict[str, Any], StoreFault],
) -> web.Response:
    end = "done" if isinstance(result, Ok) else result.err_value.value
    _log_change(what, subject, operator, body, end)
    match result:
        case Ok(value):
            return _reply(value)
        case Err(fault):
            return _fail_platform(fault)


def _log_change(
    what: str, subject: str, operator: Operator, body: ChangeBody, end: str
) -> None:
    logger.info(
        "operator_change",
        what=what,
        subject=subject,
        operator=operator.id,
        why=body.why,
        end=end,
    )


def _format_draft(draft: Draft) -> dict[str, Any]:
    return {
        "digest": draft.digest,
        "state": draft.state.value,
        "why": draft.why,
        "steps": _format_steps(draft.endorsements),
    }


def _format_record(record: AcceptedRecord) -> dict[str, Any]:
    return {
        "version": record.version,
        "digest": record.digest,
        "why": record.why,
        "steps": _format_steps(record.endorsements),
    }


def _format_steps(endorsements: tuple[Endorsement, ...]) -> dict[str, str]:
    return {item.step.value: item.operator for item in endorsements}


def _format_drain(drain: Drain) -> dict[str, Any]:
    return {"target": drain.target, "by": drain.by, "why": drain.why}


def _reply(body: dict[str, Any]) -> web.Response:
    return web.Response(body=orjson.dumps(body), content_type="application/json")


def _fail(status: int, error: str, lines: list[str] | None = None) -> web.Response:
    body = orjson.dumps({"error": error, "lines": lines or []})
    return web.Response(body=body, status=status, content_type="application/json")


def _fail_platform(fault: StoreFault) -> web.Response:
    return _fail(503, f"the platform's service: {fault.value}")
