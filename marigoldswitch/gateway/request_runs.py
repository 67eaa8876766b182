"""Runs requests on targets, or through another host if this one reaches none of
theirs."""

from aiohttp import web

from marigoldswitch.core.errors import ErrorKind
from marigoldswitch.gateway.exchanges import (
    AbortReason,
    AnswerAborted,
    ContactLost,
    Exchange,
    RequestRefused,
    RunParts,
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
        for run in self.list_streams(target):
            run.chain_monitor.request_check()

    def check_limited_streams(self, target: str) -> None:
        """Make the streams through a dead engine take their detours at once.

        Only those whose route limits the pauses of its streams; the others move away as
        they notice its silence.
        """
        for run in self.list_streams(target):
            if run.limits_pauses:
                run.chain_monitor.request_check()

    def list_streams(self, target: str) -> list[StreamRun]:
        """Return the running streams whose chain contains an engine."""
        return [
            run
            for run in self.streams
            if any(item.target == target for item in run.chain_monitor.stages)
        ]

    async def run(self, exchange: Exchange) -> web.StreamResponse:
        """Run a request on targets, or through another host if this one reaches none.

        :raises RequestRefused: if it fails before any part of an answer was sent.
        :raises AnswerAborted: if the answer had begun and was cut off.
        """
        stream = StreamRun(self._parts, exchange) if exchange.is_stream else None
        try:
            return await self._run_here(exchange, stream)
        except ContactLost:
            response = await self._run_elsewhere(exchange, stream)
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
            response = await self._run_elsewhere(exchange, stream)
            if response is None:
                raise
            return response

    async def _run_elsewhere(
        self, exchange: Exchange, stream: StreamRun | None
    ) -> web.StreamResponse | None:
        """Run a request through another host; return ``None`` if none takes it.

        What another host has sent here is not sent on.

        :param stream: its run here, if it runs as a stream.
        """
        if exchange.is_proxied:
            return None
        last_event = stream.chain_monitor.last_event if stream else None
        return await self._proxy.run(exchange, last_event)

    async def _run_here(
        self, exchange: Exchange, stream: StreamRun | None
    ) -> web.StreamResponse:
        """Run a request on targets that this host sends it to.

        :param stream: its run, if it runs as a stream.
        :raises ContactLost: if this host reaches no target.
        """
        service, parts = exchange.service, self._parts
        check_contact(parts, exchange)
        parts.directory.statements.limits.note_wanted(
            service.name, parts.clock.monotonic()
        )
        if stream is None:
            selector = self._selectors.get(service.name)
            return await PlainRun(parts, exchange, selector).run()
        self.streams.add(stream)
        try:
            return await stream.run()
        finally:
            self.streams.discard(stream)
