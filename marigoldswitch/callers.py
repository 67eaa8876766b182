"""The callers' interface: HTTP by aiohttp."""

import asyncio
import hashlib
import math
import secrets
from collections.abc import Awaitable, Callable
from typing import Any

import orjson
import structlog
import xxhash
from aiohttp import web
from pydantic import BaseModel, ConfigDict, Field, ValidationError
from result import Err, Ok, Result

from marigoldswitch.claiming import Claims
from marigoldswitch.core.adoption import Adoption
from marigoldswitch.core.catalogue import Account, Bundle, ServiceKind
from marigoldswitch.core.errors import ErrorKind, Fault
from marigoldswitch.core.ids import (
    ApplicationName,
    BrandName,
    Digest,
    IdempotencyKey,
    RequestId,
)
from marigoldswitch.core.ports import Clock
from marigoldswitch.core.requests import Answer, End, Request, Token
from marigoldswitch.fronts import Front
from marigoldswitch.metrics import Metrics
from marigoldswitch.observers import CallerGone
from marigoldswitch.runs import Event
from marigoldswitch.settings import RequestSettings

logger = structlog.get_logger(__name__)

LONGEST_KEY = 200
PREFIX_CHARACTERS = 256
"""Characters of a prompt that stand for its cached prefix."""
EVENT_STREAM = "text/event-stream"


class RequestBody(BaseModel):
    """What a caller sends."""

    model_config = ConfigDict(extra="forbid", strict=True)

    input: dict[str, Any]
    stream: bool = False
    max_tokens: int | None = Field(None, ge=1, le=100_000)


def format_fault(fault: Fault) -> dict[str, Any]:
    """Return a fault as callers see it."""
    return {
        "error": {
            "kind": fault.kind.value,
            "outcome": fault.row.outcome.value,
            "advice": fault.row.advice.value,
            "message": fault.row.meaning,
            "detail": fault.detail,
            "retry_after": fault.wait,
        }
    }


def build_fault_response(fault: Fault) -> web.Response:
    """Return the HTTP response to a fault."""
    headers = {}
    if fault.wait is not None:
        headers["Retry-After"] = str(max(0, math.ceil(fault.wait)))
    return web.Response(
        status=fault.row.status,
        body=orjson.dumps(format_fault(fault)),
        content_type="application/json",
        headers=headers,
    )


@web.middleware
async def _answer_errors(
    http: web.Request,
    handler: Callable[[web.Request], Awaitable[web.StreamResponse]],
) -> web.StreamResponse:
    """Answer what aiohttp itself refuses in the words of the error table."""
    try:
        return await handler(http)
    except web.HTTPRequestEntityTooLarge:
        return build_fault_response(Fault(ErrorKind.TOO_LARGE))
    except web.HTTPMethodNotAllowed as error:
        return build_fault_response(Fault(ErrorKind.MALFORMED, str(error.reason)))
    except web.HTTPNotFound:
        return build_fault_response(Fault(ErrorKind.UNKNOWN_ROUTE))


class CallerInterface:
    """Checks requests, runs them and writes their answers."""

    def __init__(
        self,
        clock: Clock,
        settings: RequestSettings,
        adoption: Adoption,
        front: Front,
        claims: Claims,
        metrics: Metrics,
        is_ready: Callable[[], bool],
        accepts: Callable[[], bool],
    ) -> None:
        self._clock = clock
        self._settings = settings
        self._adoption = adoption
        self._front = front
        self._claims = claims
        self._metrics = metrics
        self._is_ready = is_ready
        self._accepts = accepts
        self._owners: dict[RequestId, Account] = {}

    def build_application(self) -> web.Application:
        """Return the HTTP application."""
        application = web.Application(
            client_max_size=self._settings.body_bytes,
            middlewares=[_answer_errors],  # type: ignore[list-item]
        )
        router = application.router
        path = "/v1/brands/{brand}/applications/{application}/requests"
        router.add_post(path, self._submit)
        router.add_delete("/v1/requests/{request}", self._cancel)
        router.add_get("/v1/answers/{key}", self._fetch_answer)
        router.add_get("/health/live", self._show_live)
        router.add_get("/health/ready", self._show_ready)
        router.add_get("/metrics", self._metrics.show)
        return application

    async def _submit(self, http: web.Request) -> web.StreamResponse:
        if not self._accepts():
            return build_fault_response(Fault(ErrorKind.DRAINING))
        checked = await self._check(http)
        if isinstance(checked, Err):
            return build_fault_response(checked.err_value)
        request, bundle, account, streams = checked.ok_value
        self._owners[request.id] = account
        try:
            if streams:
                return await self._stream(http, request, bundle)
            return await self._collect(request, bundle)
        finally:
            del self._owners[request.id]

    async def _collect(self, request: Request, bundle: Bundle) -> web.Response:
        events: list[Event] = []

        async def emit(event: Event) -> None:
            events.append(event)

        await self._run_task(self._front.run(request, bundle, emit))
        match events[-1] if events else Fault(ErrorKind.CANCELLED):
            case Fault() as fault:
                return build_fault_response(fault)
            case End() as end:
                body = _format_answer(request, events, end)
                return web.Response(
                    body=orjson.dumps(body), content_type="application/json"
                )
            case event:
                raise AssertionError(f"answer ended in {event}")

    async def _stream(
        self, http: web.Request, request: Request, bundle: Bundle
    ) -> web.StreamResponse:
        response = web.StreamResponse(
            headers={"Content-Type": EVENT_STREAM, "X-Request-Id": request.id}
        )
        refusal: list[Fault] = []

        async def emit(event: Event) -> None:
            if not response.prepared:
                if isinstance(event, Fault):
                    refusal.append(event)
                    return
                await response.prepare(http)
            await response.write(_format_event(event))

        try:
            await self._run_task(self._front.run(request, bundle, emit))
        except CallerGone:
            logger.info("caller_gone", request=request.id)
            return response
        if refusal:
            return build_fault_response(refusal[0])
        if not response.prepared:
            return build_fault_response(Fault(ErrorKind.CANCELLED))
        await response.write_eof()
        return response

    async def _run_task(self, work: Any) -> None:
        """Run a request in a task of its own, which a caller can cancel by its id."""
        task = asyncio.ensure_future(work)
        try:
            await asyncio.wait([task])
        except asyncio.CancelledError:
            task.cancel()
            await asyncio.wait([task])
            raise
        if not task.cancelled():
            task.result()

    async def _cancel(self, http: web.Request) -> web.Response:
        account = self._authenticate(http)
        if isinstance(account, Err):
            return build_fault_response(account.err_value)
        request = RequestId(http.match_info["request"])
        if self._owners.get(request) != account.ok_value:
            return build_fault_response(Fault(ErrorKind.UNKNOWN_ROUTE, "not held here"))
        return web.json_response({"cancelled": self._front.cancel(request)})

    async def _fetch_answer(self, http: web.Request) -> web.Response:
        account = self._authenticate(http)
        if isinstance(account, Err):
            return build_fault_response(account.err_value)
        key = IdempotencyKey(http.match_info["key"])
        match await self._claims.fetch(account.ok_value.id, key):
            case Err(fault):
                return build_fault_response(fault)
            case Ok(answer):
                body = b'{"answer":' + answer + b"}"
                return web.Response(body=body, content_type="application/json")

    async def _show_live(self, http: web.Request) -> web.Response:
        return web.json_response({"live": True})

    async def _show_ready(self, http: web.Request) -> web.Response:
        ready = self._is_ready()
        status = 200 if ready else 503
        return web.json_response({"ready": ready}, status=status)

    def _authenticate(self, http: web.Request) -> Result[Account, Fault]:
        bundle = self._adoption.bundle
        if bundle is None:
            return Err(Fault(ErrorKind.NO_BUNDLE))
        scheme, _, key = http.headers.get("Authorization", "").partition(" ")
        if scheme.lower() != "bearer" or not key:
            return Err(Fault(ErrorKind.UNAUTHENTICATED, "no bearer key"))
        digest = hashlib.sha256(key.strip().encode("utf-8", "replace")).hexdigest()
        # What the look-up's time may tell is how far the SHA-256 of a guess agrees with
        # a stored digest; nobody can choose a key for the digest that it shall have.
        found = bundle.accounts_by_key.get(Digest(digest))
        if found is None:
            return Err(Fault(ErrorKind.UNAUTHENTICATED))
        return Ok(found)

    async def _check(
        self, http: web.Request
    ) -> Result[tuple[Request, Bundle, Account, bool], Fault]:
        """Check a request whole before anything is done for it."""
        authenticated = self._authenticate(http)
        if isinstance(authenticated, Err):
            return Err(authenticated.err_value)
        account = authenticated.ok_value
        bundle = self._adoption.bundle
        assert bundle is not None
        brand = BrandName(http.match_info["brand"])
        application = ApplicationName(http.match_info["application"])
        pipeline_name = bundle.applications.get((brand, application))
        if pipeline_name is None:
            return Err(Fault(ErrorKind.UNKNOWN_ROUTE))
        if brand not in account.brands:
            return Err(Fault(ErrorKind.FORBIDDEN, "another brand"))
        body = _parse_body(await http.read())
        deadline = self._parse_deadline(http)
        key = _parse_key(http)
        for part in (body, deadline, key):
            if isinstance(part, Err):
                return Err(part.err_value)
        content = body.unwrap()
        pipeline = bundle.pipelines[pipeline_name]
        service = bundle.services[pipeline.service]
        if content.stream and service.kind is ServiceKind.PLAIN:
            return Err(Fault(ErrorKind.MALFORMED, "this application does not stream"))
        if service.kind is ServiceKind.MODEL and not isinstance(
            content.input.get("prompt"), str
        ):
            return Err(Fault(ErrorKind.MALFORMED, "input.prompt must be a string"))
        max_tokens = min(content.max_tokens or pipeline.max_tokens, pipeline.max_tokens)
        request = Request(
            id=RequestId(secrets.token_hex(12)),
            account=account.id,
            service=service.name,
            priority=account.priority,
            weight=account.weight,
            cost=_estimate_cost(service.kind, max_tokens, pipeline.max_tokens),
            deadline=deadline.unwrap(),
            idempotent=service.idempotent,
            body=content.input,
            body_digest=_digest_body(brand, application, content),
            bundle=bundle.version,
            key=key.unwrap(),
            prefix=_hash_prefix(content),
            max_tokens=max_tokens if service.kind is ServiceKind.MODEL else 0,
        )
        return Ok((request, bundle, account, content.stream))

    def _parse_deadline(self, http: web.Request) -> Result[float, Fault]:
        text = http.headers.get("Request-Timeout")
        seconds = self._settings.deadline
        if text is not None:
            try:
                seconds = float(text)
            except ValueError:
                return Err(Fault(ErrorKind.MALFORMED, "Request-Timeout is no number"))
        if not 0.0 < seconds <= self._settings.longest_deadline:
            longest = self._settings.longest_deadline
            detail = f"Request-Timeout must be above 0 and at most {longest} seconds"
            return Err(Fault(ErrorKind.MALFORMED, detail))
        return Ok(self._clock.monotonic() + seconds)


def _parse_body(content: bytes) -> Result[RequestBody, Fault]:
    try:
        return Ok(RequestBody.model_validate(orjson.loads(content)))
    except orjson.JSONDecodeError:
        return Err(Fault(ErrorKind.MALFORMED, "the body is no JSON"))
    except ValidationError as error:
        first = error.errors()[0]
        where = ".".join(str(part) for part in first["loc"]) or "body"
        return Err(Fault(ErrorKind.MALFORMED, f"{where}: {first['msg']}"))


def _parse_key(http: web.Request) -> Result[IdempotencyKey | None, Fault]:
    key = http.headers.get("Idempotency-Key")
    if key is None:
        return Ok(None)
    if not 0 < len(key) <= LONGEST_KEY or not key.isprintable():
        detail = f"Idempotency-Key must be 1 to {LONGEST_KEY} printable characters"
        return Err(Fault(ErrorKind.MALFORMED, detail))
    return Ok(IdempotencyKey(key))


def _estimate_cost(kind: ServiceKind, tokens: int, usual: int) -> float:
    return 1.0 if kind is ServiceKind.PLAIN else tokens / usual


def _digest_body(
    brand: BrandName, application: ApplicationName, content: RequestBody
) -> Digest:
    whole = [brand, application, content.input, content.max_tokens]
    canonical = orjson.dumps(whole, option=orjson.OPT_SORT_KEYS)
    return Digest(hashlib.sha256(canonical).hexdigest())


def _hash_prefix(content: RequestBody) -> int | None:
    prompt = content.input.get("prompt")
    if not isinstance(prompt, str):
        return None
    return xxhash.xxh3_64_intdigest(prompt[:PREFIX_CHARACTERS].encode())


def _format_answer(request: Request, events: list[Event], end: End) -> dict[str, Any]:
    answer: Any = "".join(item.text for item in events if isinstance(item, Token))
    if isinstance(events[0], Answer):
        answer = events[0].body
    return {
        "request": request.id,
        "answer": answer,
        "tokens": end.tokens,
        "checksum": end.checksum,
    }


def _format_event(event: Event) -> bytes:
    match event:
        case Token(position=position, text=text):
            name, body = "token", {"position": position, "text": text}
        case End(tokens=tokens, checksum=checksum):
            name, body = "end", {"tokens": tokens, "checksum": checksum}
        case Answer(body=content):
            name, body = "answer", {"answer": content}
        case Fault():
            name, body = "error", format_fault(event)["error"]
    return b"event: " + name.encode() + b"\ndata: " + orjson.dumps(body) + b"\n\n"
