"""Takes callers' requests that other hosts send here, or declines them at once."""

import asyncio
import contextlib
from http import HTTPStatus

import structlog
from aiohttp import web

from marigoldswitch.core.errors import ErrorKind
from marigoldswitch.gateway.exchanges import RunParts
from marigoldswitch.gateway.fronts import BODY_TIMEOUT_SECONDS, Frontend
from marigoldswitch.gateway.proxy_terms import (
    DECLINED_HEADER,
    ProxyTerms,
    read_terms,
)

logger = structlog.get_logger(__name__)

MAX_PROXIED_REQUESTS = 256
"""Requests of other hosts that may run at once. Each takes some kilobytes."""


class ProxyListener:
    """Handles requests of other hosts' callers as those of callers of this host."""

    def __init__(self, parts: RunParts, front: Frontend) -> None:
        self._parts = parts
        self._front = front
        self._running = 0

    async def handle(self, http: web.BaseRequest) -> web.StreamResponse:
        """Answer one request, or decline it."""
        terms = read_terms(http.headers)
        why = self._find_reason_to_decline(terms)
        if why or terms is None:
            logger.info("proxying_declined", why=why, running=self._running)
            await _skip_body(http)
            headers = {DECLINED_HEADER: why}
            return web.Response(status=HTTPStatus.SERVICE_UNAVAILABLE, headers=headers)
        self._running += 1
        try:
            return await self._front.handle(http, terms)
        finally:
            self._running -= 1

    def _find_reason_to_decline(self, terms: ProxyTerms | None) -> str:
        """Return why a request is not taken; empty if it is."""
        parts = self._parts
        if terms is None:
            return "malformed"
        if parts.state.draining:
            return ErrorKind.DRAINING.value
        if parts.contact.is_lost:
            return ErrorKind.UNREACHABLE.value
        if not parts.directory.is_complete or parts.directory.version < terms.version:
            return ErrorKind.NO_BUNDLE.value
        if self._running >= MAX_PROXIED_REQUESTS:
            return ErrorKind.SATURATED.value
        return ""


async def _skip_body(http: web.BaseRequest) -> None:
    """Read a request's body: a connection with unread bytes is reset when it is closed,
    and the answer may be lost.
    """
    with contextlib.suppress(TimeoutError, web.RequestPayloadError):
        async with asyncio.timeout(BODY_TIMEOUT_SECONDS):
            while not http.content.at_eof():
                await http.content.readany()
