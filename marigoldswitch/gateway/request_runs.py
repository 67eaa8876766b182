"""Runs requests on targets, or through another host if this one reaches none of
theirs."""

from aiohttp import web

from marigoldswitch.core.errors import ErrorKind
from marigoldswitch.gateway.attempts import Claimant, SoleAttempt
from marigoldswitch.gateway.detours import ChainMonitor
from marigoldswitch.gateway.exchanges import (
    AbortReason,
    AnswerAborted,
    ContactLost,
    Exchange,
    RequestRefused,
    RunParts,
    build_crowded,
    check_contact,
)
from marigoldswitch.gateway.plain import PlainRun
from marigoldswitch.gateway.plain_selectors import PlainSelectors
from marigoldswitch.gateway.proxying import PeerProxy
from marigoldswitch.gateway.streams import StreamRun

PROXIED_KINDS = frozenset({ErrorKind.NO_TARGET, ErrorKind.NOT_DELIVERED})
"""Faults with which a request is sent through another host if this one could not
connect to targets."""


class RequestRuns:
    """Runs requests to their ends.

    :ivar streams: running requests that are handled as streams.
    """

    def __init__(self, parts: RunParts, proxy: PeerProxy) -> None:
        self.streams: set[StreamRun] = set()
        self._parts = parts
        self._proxy = proxy
        self._selectors = PlainSelectors(parts)

    def recheck_streams(self, target: str) -> None:
        """Make every stream through an engine check its chain at once."""
        for monitor in self.list_monitors(target):
            monitor.request_check()

    def check_limited_streams(self, target: str) -> None:
        """Make the streams through a dead engine take their detours at once.

        Only those whose route limits the pauses of its streams; the others move away as
        they notice its silence.
        """
        for monitor in self.list_monitors(target):
            if monitor.limits_pauses:
                monitor.request_check()

    def list_monitors(self, target: str) -> list[ChainMonitor]:
        """Return the monitors of the chains in use that contain an engine."""
        return [
            monitor
            for run in self.streams
            for monitor in run.list_monitors()
            if any(item.target == target for item in monitor.stages)
        ]

    async def run(self, exchange: Exchange) -> web.StreamResponse:
        """Run a request on targets, or through another host if this one reaches none.

        :raises RequestRefused: if it fails before any part of an answer was sent.
        :raises AnswerAborted: if the answer had begun and was cut off.
        """
        intake, size = self._parts.intake, len(exchange.body)
        if not intake.may_run(size):
            detail = "no sockets for the request"
            raise RequestRefused(build_crowded(self._parts, detail))
        with intake.run(size):
            return await self._run(exchange)

    async def _run(self, exchange: Exchange) -> web.StreamResponse:
        try:
            return await self._run_here(exchange)
        except ContactLost:
            response = await self._run_elsewhere(exchange, SoleAttempt())
            if response is not None:
                return response
            detail = "no other host takes the request"
            if exchange.response is not None:
                raise AnswerAborted(AbortReason.NO_HOST, detail) from None
            raise RequestRefused(self._proxy.build_fault(exchange, detail)) from None
        except RequestRefused as refused:
            may_run_elsewhere = (
                refused.fault.kind in PROXIED_KINDS and exchange.connect_failures > 0
            )
            has_run = exchange.run_count > exchange.runs_elsewhere
            if not may_run_elsewhere or has_run or exchange.response is not None:
                raise
            if exchange.is_proxied:
                detail = refused.fault.detail
                raise RequestRefused(
                    self._proxy.build_fault(exchange, detail)
                ) from None
            response = await self._run_elsewhere(exchange, SoleAttempt())
            if response is None:
                raise
            return response

    async def _run_elsewhere(
        self, exchange: Exchange, claimant: Claimant
    ) -> web.StreamResponse | None:
        """Run a request through another host; return ``None`` if none takes it.

        What another host has sent here is not sent on.

        :param claimant: the attempt that this belongs to.
        """
        if exchange.is_proxied:
            return None
        return await self._proxy.run(exchange, claimant)

    async def _run_here(self, exchange: Exchange) -> web.StreamResponse:
        """Run a request on targets that this host sends it to.

        :raises ContactLost: if this host reaches no target.
        """
        service, parts = exchange.service, self._parts
        check_contact(parts, exchange)
        parts.directory.statements.limits.note_wanted(
            service.name, parts.clock.monotonic()
        )
        if not exchange.is_stream:
            selector = self._selectors.get(service.name)
            return await PlainRun(parts, exchange, selector).run()
        stream = StreamRun(parts, exchange, self._run_elsewhere)
        self.streams.add(stream)
        try:
            return await stream.run()
        finally:
            self.streams.discard(stream)
