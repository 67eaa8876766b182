"""Takes callers' requests over HTTP and runs each to its end."""

import asyncio
from collections.abc import Awaitable, Callable

import orjson
import structlog
from aiohttp import web
from result import Err, Ok

from marigoldswitch.core.errors import ErrorKind, Fault
from marigoldswitch.core.routes import (
    ClientLimits,
    Route,
    RoutedAccount,
    RouteKind,
    RoutingTable,
)
from marigoldswitch.gateway.exchanges import (
    BrokenOff,
    CallerGone,
    Exchange,
    Refused,
    RunParts,
    abort,
    check_hold,
    describe_timeout,
)
from marigoldswitch.gateway.metrics import GatewayMetrics
from marigoldswitch.gateway.plain import PlainRun, PlainSelectors
from marigoldswitch.gateway.ports import Call
from marigoldswitch.gateway.streams import StreamRun

logger = structlog.get_logger(__name__)

BODY_SECONDS = 10.0
"""Longest time for a request's body; callers on the usual links take milliseconds."""

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


class Front:
    """Runs callers' requests; each gets exactly one end."""

    def __init__(self, parts: RunParts, metrics: GatewayMetrics) -> None:
        self.streams: set[StreamRun] = set()
        self._parts = parts
        self._metrics = metrics
        self._selectors = PlainSelectors(parts)
        self._connections: set[object] = set()
        """Connections with a request under way; each has one at a time."""
        self._idle = asyncio.Event()
        self._idle.set()

    @property
    def busy(self) -> int:
        """Return the requests under way."""
        return len(self._connections)

    def is_busy(self, connection: object) -> bool:
        """Tell whether a request is under way on a connection."""
        return connection in self._connections

    async def wait_idle(self) -> None:
        """Wait until no request is under way."""
        await self._idle.wait()

    def alarm_streams(self, target: str) -> None:
        """Have all streams through an engine look after their chains."""
        for run in self.list_streams(target):
            run.chain.alarm()

    def list_streams(self, target: str) -> list[StreamRun]:
        """Return the streams through an engine."""
        return [
            run
            for run in self.streams
            if any(item.target == target for item in run.chain.stages)
        ]

    async def handle(self, http: web.BaseRequest) -> web.StreamResponse:
        """Answer one request."""
        self._connections.add(http.protocol)
        self._idle.clear()
        try:
            response = await self._answer(http)
        finally:
            self._connections.discard(http.protocol)
            if not self._connections:
                self._idle.set()
        if self._parts.state.draining and not response.prepared:
            response.force_close()
        return response

    async def _answer(self, http: web.BaseRequest) -> web.StreamResponse:
        arrived = self._parts.clock.monotonic()
        match self._parts.codec.read_call(http.method, http.raw_path, http.headers):
            case Err(why):
                return self._refuse(None, Fault(ErrorKind.MALFORMED, why))
            case Ok(call):
                pass
        exchange: Exchange | None = None
        try:
            exchange = await self._open(http, call, arrived)
            return await self._run(exchange)
        except Refused as refused:
            return self._end_refused(call, exchange, refused.fault)
        except BrokenOff as broken:
            assert exchange is not None and exchange.response is not None
            self._log_end(exchange, f"broken off: {broken}")
            return exchange.response
        except CallerGone:
            assert exchange is not None and exchange.response is not None
            self._log_end(exchange, "caller gone")
            return exchange.response
        except asyncio.CancelledError:
            if exchange is not None:
                self._log_end(exchange, "caller gone")
            raise
        except Exception:
            logger.exception("internal_fault", request=call.id)
            if exchange is None or exchange.response is None:
                fault = Fault(ErrorKind.INTERNAL)
                return self._end_refused(call, exchange, fault)
            abort(exchange)
            self._log_end(exchange, "broken off: internal fault")
            return exchange.response

    async def _open(
        self, http: web.BaseRequest, call: Call, arrived: float
    ) -> Exchange:
        """Decide on a request by the configuration in force.

        :raises Refused: if it has no place in it.
        """
        table = self._parts.directory.table
        # Read before any answer: bytes left unread would reset the connection under it.
        body = await self._read_body(http, table.limits if table else ClientLimits())
        if not self._parts.state.accepting:
            raise Refused(Fault(ErrorKind.DRAINING))
        if table is None:
            raise Refused(Fault(ErrorKind.NO_BUNDLE, "", 1.0))
        route = table.find_route(call.host, call.path.partition("?")[0])
        if route is None:
            raise Refused(Fault(ErrorKind.UNKNOWN_ROUTE))
        account = _find_account(table, route, call)
        service_name = route.choose_service(self._parts.source)
        service = table.services.get(service_name)
        if service is None:
            raise Refused(Fault(ErrorKind.NO_TARGET, "the service is not configured"))
        wait = route.timeout if call.wait is None else min(call.wait, route.timeout)
        priority = route.priority
        if account is not None and account.priority is not None:
            priority = account.priority
        exchange = Exchange(
            http,
            call,
            body,
            route,
            service,
            account.id if account else None,
            priority,
            arrived,
            arrived + wait,
        )
        check_hold(self._parts, exchange)
        return exchange

    async def _read_body(self, http: web.BaseRequest, limits: ClientLimits) -> bytes:
        if not http.can_read_body:
            return b""
        try:
            async with asyncio.timeout(BODY_SECONDS):
                body = await http.content.read(limits.body_bytes + 1)
                while not http.content.at_eof():
                    more = await http.content.read(limits.body_bytes)
                    body += more
                    if len(body) > limits.body_bytes:
                        raise Refused(Fault(ErrorKind.TOO_LARGE))
        except TimeoutError:
            raise Refused(
                Fault(ErrorKind.MALFORMED, "the body came too slowly")
            ) from None
        except web.RequestPayloadError as error:
            raise Refused(Fault(ErrorKind.MALFORMED, str(error))) from error
        if len(body) > limits.body_bytes:
            raise Refused(Fault(ErrorKind.TOO_LARGE))
        return body

    async def _run(self, exchange: Exchange) -> web.StreamResponse:
        """Run a request; its caller has a final answer at its deadline.

        :raises Refused: if no answer of a target has begun.
        """
        left = exchange.deadline - self._parts.clock.monotonic()
        try:
            async with asyncio.timeout(max(0.0, left)):
                response = await self._drive(exchange)
        except TimeoutError:
            if exchange.response is None:
                raise Refused(describe_timeout(exchange)) from None
            abort(exchange)
            raise BrokenOff("its time was up") from None
        self._log_end(exchange, f"answered {response.status}")
        return response

    async def _drive(self, exchange: Exchange) -> web.StreamResponse:
        is_model = exchange.service.model is not None
        if not is_model and exchange.route.kind is not RouteKind.STREAM:
            selector = self._selectors.get(exchange.service.name)
            return await PlainRun(self._parts, exchange, selector).drive()
        run = StreamRun(self._parts, exchange)
        self.streams.add(run)
        try:
            return await run.drive()
        finally:
            self.streams.discard(run)

    # Ends.

    def _end_refused(
        self, call: Call, exchange: Exchange | None, fault: Fault
    ) -> web.StreamResponse:
        if exchange is not None:
            self._log_end(exchange, f"{fault.kind.value}: {fault.detail}", fault)
        else:
            self._metrics.count_end("", fault.kind.value, None)
            logger.info(
                "request_refused",
                request=call.id,
                kind=fault.kind.value,
                host_name=call.host,
                path=call.path,
                version=self._parts.directory.version,
            )
        return self._refuse(call, fault)

    def _refuse(self, call: Call | None, fault: Fault) -> web.StreamResponse:
        """Return an answer of our own."""
        row = fault.row
        body = orjson.dumps({"error": fault.kind.value, "message": row.meaning})
        headers = self._parts.codec.write_refusal(call, fault.wait)
        return web.Response(
            status=row.status,
            headers=headers,
            body=body,
            content_type="application/json",
        )

    def _log_end(
        self, exchange: Exchange, end: str, fault: Fault | None = None
    ) -> None:
        took = self._parts.clock.monotonic() - exchange.arrived
        name = str(exchange.service.name)
        self._metrics.count_end(name, fault.kind.value if fault else "passed", took)
        logger.info(
            "request_ended",
            request=exchange.call.id,
            route=exchange.route.name,
            service=name,
            account=exchange.account,
            end=end,
            retry_after=fault.wait if fault else None,
            took=round(took, 4),
            first_event=_round(exchange.first_event),
            longest_gap=_round(exchange.longest_gap),
            sent=exchange.sent,
            tried=exchange.trail,
            version=self._parts.directory.version,
        )


def _round(seconds: float | None) -> float | None:
    return None if seconds is None else round(seconds, 4)


def _find_account(
    table: RoutingTable, route: Route, call: Call
) -> RoutedAccount | None:
    """Return the client account of a caller; ``None`` where no key is needed.

    :raises Refused: if a key is needed and not known.
    """
    account = table.accounts.get(call.key) if call.key else None
    if account is None and table.needs_keys and not route.is_public:
        raise Refused(Fault(ErrorKind.UNAUTHENTICATED))
    return account
