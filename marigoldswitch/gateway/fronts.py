"""HTTP frontend of a gateway host: takes callers' requests and runs each to its end."""

import asyncio
import io
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

import orjson
import structlog
from aiohttp import web
from result import Err, Ok

from marigoldswitch.core.errors import ErrorKind, Fault
from marigoldswitch.core.routes import (
    ClientLimits,
    Route,
    RoutedAccount,
    RoutingTable,
)
from marigoldswitch.gateway.caller_connections import CallerConnection
from marigoldswitch.gateway.caller_writes import abort, begin
from marigoldswitch.gateway.exchanges import (
    AbortReason,
    AnswerAborted,
    CallerDisconnected,
    Exchange,
    RequestRefused,
    RunParts,
    build_crowded,
    check_hold,
    describe_timeout,
    has_not_run,
)
from marigoldswitch.gateway.metrics import GatewayMetrics
from marigoldswitch.gateway.ports import Call
from marigoldswitch.gateway.proxy_terms import (
    DECLINED_HEADER,
    ProxyTerms,
    drop_own_headers,
)
from marigoldswitch.gateway.request_runs import RequestRuns

logger = structlog.get_logger(__name__)

DECLINED_KINDS = frozenset(
    {ErrorKind.UNREACHABLE, ErrorKind.DRAINING, ErrorKind.NO_BUNDLE}
)
"""Faults of this host that another one may not have."""
BODY_TIMEOUT_SECONDS = 10.0
"""Longest time to receive a request body. On usual links it takes milliseconds."""

NO_MEMORY = "no memory for the request"

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


class Frontend:
    """Handles callers' requests; each one ends exactly once."""

    def __init__(
        self, parts: RunParts, metrics: GatewayMetrics, runs: RequestRuns
    ) -> None:
        self._parts = parts
        self._metrics = metrics
        self._runs = runs
        self._running = 0
        self._limits: set[asyncio.Timeout] = set()
        """Time limits of the requests that are being read or run."""

    @property
    def running_requests(self) -> int:
        """Return the number of running requests."""
        return self._running

    def end_requests(self) -> None:
        """Have all requests end now, as the host stops.

        Those whose answer has not begun are answered.
        """
        now = asyncio.get_running_loop().time()
        for limit in self._limits:
            if not limit.expired():
                limit.reschedule(now)

    async def handle(
        self, http: web.BaseRequest, terms: ProxyTerms | None = None
    ) -> web.StreamResponse:
        """Answer one request.

        While the host is draining, or its listener has no room for new connections, the
        connection is closed after an answer whose head has not been sent yet.

        :param terms: those of the host that has sent it; ``None`` if its caller has.
        """
        self._running += 1
        try:
            response = await self._answer(http, terms)
        finally:
            self._running -= 1
        self._let_leave(http, response)
        return response

    def _let_leave(self, http: web.BaseRequest, response: web.StreamResponse) -> None:
        """Close a connection after its answer, if it has to leave."""
        connection = http.protocol
        must_leave = self._parts.state.draining or (
            isinstance(connection, CallerConnection) and connection.is_crowded
        )
        if must_leave and not response.prepared:
            response.force_close()

    async def _answer(
        self, http: web.BaseRequest, terms: ProxyTerms | None
    ) -> web.StreamResponse:
        arrived = self._parts.clock.monotonic()
        headers = http.headers if terms is None else drop_own_headers(http.headers)
        match self._parts.codec.read_call(http.method, http.raw_path, headers):
            case Err(why):
                fault = Fault(ErrorKind.MALFORMED, why)
                self._metrics.count_end("", fault.kind.value, None)
                logger.info("request_malformed", why=why, path=http.path)
                return self._build_refusal(None, fault)
            case Ok(call):
                pass
        exchange: Exchange | None = None
        try:
            exchange = await self._create_exchange(http, call, arrived, terms)
            return await self._run(exchange)
        except RequestRefused as refused:
            is_proxied = terms is not None
            return self._finish_refused(call, exchange, refused.fault, is_proxied)
        except AnswerAborted as broken:
            assert exchange is not None and exchange.response is not None
            abort(exchange)
            self._record_abort(exchange, broken.reason)
            self._record_end(exchange, f"broken off: {broken}")
            return exchange.response
        except CallerDisconnected:
            assert exchange is not None and exchange.response is not None
            self._record_end(exchange, "caller gone")
            return exchange.response
        except asyncio.CancelledError:
            if exchange is not None:
                self._record_end(exchange, "caller gone")
            raise
        except Exception:
            logger.exception("internal_fault", request=call.id)
            if exchange is None or exchange.response is None:
                fault = Fault(ErrorKind.INTERNAL)
                return self._finish_refused(call, exchange, fault)
            abort(exchange)
            self._record_abort(exchange, AbortReason.INTERNAL)
            self._record_end(exchange, "broken off: internal fault")
            return exchange.response
        finally:
            if exchange is not None:
                # What still refers to the exchange may stay for long.
                exchange.body = b""

    async def _create_exchange(
        self,
        http: web.BaseRequest,
        call: Call,
        arrived: float,
        terms: ProxyTerms | None,
    ) -> Exchange:
        """Read a request's body and look up its route, client account and service.

        :param arrived: when the request head had been read, in monotonic seconds.
        :param terms: those of the host that has sent it; ``None`` if its caller has.
        :raises RequestRefused: if the host takes no requests, the body is not
            acceptable, the current configuration does not allow the request, or it is
            held off.
        """
        table = self._parts.directory.table
        # The body is read even for a request that is refused: closing a connection with
        # unread bytes resets it, and the caller may lose the answer.
        body = await self._read_body(http, table.limits if table else ClientLimits())
        if not self._parts.state.accepting:
            raise RequestRefused(Fault(ErrorKind.DRAINING))
        if table is None:
            raise RequestRefused(Fault(ErrorKind.NO_BUNDLE, "", 1.0))
        route = table.find_route(call.host, call.path.partition("?")[0])
        if route is None:
            raise RequestRefused(Fault(ErrorKind.UNKNOWN_ROUTE))
        account = _find_account(table, route, call)
        service_name = route.choose_service(self._parts.source)
        service = table.services.get(service_name) if service_name else None
        if service is None:
            raise RequestRefused(
                Fault(ErrorKind.NO_TARGET, "the service is not configured")
            )
        wait = (
            route.timeout if call.timeout is None else min(call.timeout, route.timeout)
        )
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
            send_count=terms.runs if terms else 0,
            run_count=terms.runs if terms else 0,
            is_proxied=terms is not None,
            runs_elsewhere=terms.runs if terms else 0,
            version=table.version,
            last_event=call.last_event,
        )
        check_hold(self._parts, exchange)
        return exchange

    async def _read_body(self, http: web.BaseRequest, limits: ClientLimits) -> bytes:
        """Return a request's body once it is complete.

        :raises RequestRefused: if it is too large, doesn't arrive in time, or has to
            give way as the memory for clients is full.
        """
        if not http.can_read_body:
            return b""
        connection = http.protocol
        assert isinstance(connection, CallerConnection)
        # Closed at the end, as the traceback of a failure may keep it for long.
        with io.BytesIO() as parts:
            try:
                async with self._limit(BODY_TIMEOUT_SECONDS) as limit:
                    connection.receive_limit = limit
                    while not http.content.at_eof():
                        parts.write(await http.content.readany())
                        if parts.tell() > limits.body_bytes:
                            raise RequestRefused(Fault(ErrorKind.TOO_LARGE))
                        if not connection.hold_body(parts.tell()):
                            raise RequestRefused(build_crowded(self._parts, NO_MEMORY))
            except TimeoutError:
                if connection.has_given_way:
                    raise RequestRefused(
                        build_crowded(self._parts, NO_MEMORY)
                    ) from None
                if not self._parts.state.accepting:
                    raise RequestRefused(Fault(ErrorKind.DRAINING)) from None
                raise RequestRefused(
                    Fault(
                        ErrorKind.MALFORMED, "the request body was not received in time"
                    )
                ) from None
            except web.RequestPayloadError as error:
                raise RequestRefused(Fault(ErrorKind.MALFORMED, str(error))) from error
            except RuntimeError as error:
                # Reading fails like this once the connection is closed.
                raise RequestRefused(Fault(ErrorKind.MALFORMED, str(error))) from error
            finally:
                connection.end_receiving()
            return parts.getvalue()

    async def _run(self, exchange: Exchange) -> web.StreamResponse:
        """Run a request until its deadline at the latest.

        :raises RequestRefused: if it fails before any part of an answer was sent.
        :raises AnswerAborted: if the answer had begun and was cut off.
        """
        remaining = exchange.deadline - self._parts.clock.monotonic()
        try:
            async with self._limit(max(0.0, remaining)):
                response = await self._runs.run(exchange)
                if not response.prepared:
                    self._let_leave(exchange.http, response)
                    await begin(exchange, response)
        except TimeoutError:
            if exchange.response is None:
                raise RequestRefused(self._describe_timeout(exchange)) from None
            raise AnswerAborted(AbortReason.TIME_UP, "its time was up") from None
        self._record_end(exchange, f"answered {response.status}")
        return response

    @asynccontextmanager
    async def _limit(self, seconds: float) -> AsyncIterator[asyncio.Timeout]:
        """Limit the time of a block; :meth:`end_requests` ends it at once.

        :raises TimeoutError: if the time is up.
        """
        async with asyncio.timeout(seconds) as limit:
            self._limits.add(limit)
            try:
                yield limit
            finally:
                self._limits.discard(limit)

    def _describe_timeout(self, exchange: Exchange) -> Fault:
        """Return the fault of a request that has ended at its deadline or at a stop."""
        if self._parts.clock.monotonic() >= exchange.deadline:
            return describe_timeout(exchange)
        if has_not_run(exchange):
            return Fault(ErrorKind.DRAINING)
        return Fault(
            ErrorKind.DEADLINE_EXCEEDED,
            "the host stopped before the target had finished",
        )

    # Recording how requests end.

    def _finish_refused(
        self,
        call: Call,
        exchange: Exchange | None,
        fault: Fault,
        is_proxied: bool = False,
    ) -> web.StreamResponse:
        """Record a refused request and return its error answer.

        :param exchange: ``None`` if :meth:`_create_exchange` refused it.
        :param is_proxied: another host has sent it here.
        """
        if exchange is not None:
            self._record_end(exchange, f"{fault.kind.value}: {fault.detail}", fault)
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
        response = self._build_refusal(call, fault)
        if is_proxied and fault.kind in DECLINED_KINDS:
            response.headers[DECLINED_HEADER] = fault.kind.value
        return response

    def _build_refusal(self, call: Call | None, fault: Fault) -> web.StreamResponse:
        """Return an error answer made by this host.

        :param call: ``None`` if the request could not be decoded.
        """
        row = fault.row
        body = orjson.dumps({"error": fault.kind.value, "message": row.meaning})
        headers = self._parts.codec.write_refusal(call, fault.retry_delay)
        return web.Response(
            status=row.status,
            headers=headers,
            body=body,
            content_type="application/json",
        )

    def _record_abort(self, exchange: Exchange, reason: AbortReason) -> None:
        """Log and count an answer that this host has broken off."""
        parts, now = self._parts, self._parts.clock.monotonic()
        service, last = exchange.service.name, exchange.last_event_at
        self._metrics.count_abort(reason)
        budget = parts.retries.get(service)
        logger.warning(
            "answer_aborted",
            request=exchange.call.id,
            service=service,
            reason=reason.value,
            silent=None if last is None else round(now - last, 4),
            runs=exchange.run_count,
            contact=parts.contact.state.value,
            retries=budget.retries.count(now),
            retries_allowed=round(budget.get_limit(now, use_reserve=True), 1),
            waiting=parts.admission.count_waiting(),
            draining=parts.state.draining,
            version_on_arrival=exchange.version,
            version=parts.directory.version,
        )

    def _record_end(
        self, exchange: Exchange, end: str, fault: Fault | None = None
    ) -> None:
        """Log and count the end of a request.

        :param end: how it ended, for the log line.
        :param fault: the error that the caller was answered with, if any.
        """
        elapsed = self._parts.clock.monotonic() - exchange.arrived
        name = str(exchange.service.name)
        if not exchange.is_proxied:
            kind = fault.kind.value if fault else "passed"
            self._metrics.count_end(name, kind, elapsed)
        logger.info(
            "request_ended",
            request=exchange.call.id,
            route=exchange.route.name,
            service=name,
            account=exchange.account,
            end=end,
            retry_after=fault.retry_delay if fault else None,
            took=round(elapsed, 4),
            first_event=_round(exchange.first_event),
            longest_gap=_round(exchange.longest_gap),
            sent=exchange.send_count,
            tried=exchange.attempt_log,
            proxied=exchange.is_proxied,
            version=self._parts.directory.version,
        )


def _round(seconds: float | None) -> float | None:
    return None if seconds is None else round(seconds, 4)


def _find_account(
    table: RoutingTable, route: Route, call: Call
) -> RoutedAccount | None:
    """Return the client account of a caller's key.

    Returns ``None`` for a missing or unknown key where the route needs none.

    :raises RequestRefused: if the route needs a key and the caller's is missing or
        unknown.
    """
    account = table.accounts.get(call.api_key) if call.api_key else None
    if account is None and table.needs_keys and not route.is_public:
        raise RequestRefused(Fault(ErrorKind.UNAUTHENTICATED))
    return account
