"""Asks for chains for one request, and chooses when its caller may return."""

import math
from collections.abc import Sequence

import structlog
from msgspec.structs import replace

from marigoldswitch.core import resumption
from marigoldswitch.core.admitting.engine_refusals import EngineRefusals
from marigoldswitch.core.admitting.requesters import (
    NO_ACCOUNT,
    Requester,
)
from marigoldswitch.core.catalogue import Target
from marigoldswitch.core.ids import TargetId
from marigoldswitch.core.loads import Usage
from marigoldswitch.core.stages import (
    Chain,
    Stage,
    describe_stages,
    find_refusing_stage,
)
from marigoldswitch.core.suspects import Finding
from marigoldswitch.gateway.exchanges import Exchange, RunParts
from marigoldswitch.gateway.forecast_checks import (
    ForecastCheck,
    describe_choice,
    start_check,
)

logger = structlog.get_logger(__name__)

MAX_WAIT_SHARE = 0.6
"""Fraction of the route's latency target that a request may wait for a chain with room.
The engines need the rest to read its prompt."""
RESUME_SECONDS = 0.2
"""Time that a stream which has begun needs from getting a new chain to its next event.
It waits for a chain until its caller would leave before that event: aborting it loses
what the caller has received."""
RETRY_AFTER_SECONDS = (0.8, 2.4)
"""Range of the delay after which a caller is told to retry, for services that no other
priority or account shares: engines that take over layers need at least 1.4 s to load
them. A random delay spreads the retries."""


class ChainWait:
    """The requests for chains of one caller's request.

    :ivar check: of the newest chain's forecast.
    """

    def __init__(self, parts: RunParts, exchange: Exchange) -> None:
        self._parts = parts
        self._exchange = exchange
        self.check: ForecastCheck | None = None
        self._refusals = EngineRefusals()
        self._requester: Requester | None = None

    async def acquire(
        self,
        avoid: frozenset[TargetId],
        after: str | None,
        pause_left: float,
        longest_wait: float = math.inf,
    ) -> Chain | None:
        """Wait for a chain with room and return it, or ``None`` if there is none.

        :param avoid: targets that have just failed the request.
        :param after: id of the last event that the caller has received.
        :param pause_left: seconds left of the longest pause of a stream that has begun.
        :param longest_wait: bound on the wait, in seconds.
        """
        exchange, parts = self._exchange, self._parts
        now = parts.clock.monotonic()
        chain = await parts.admission.acquire(
            exchange.service,
            exchange.call.tokens,
            exchange.priority,
            min(longest_wait, self._compute_max_wait(now)),
            avoid,
            exchange.response is None,
            self._describe_requester(),
            self._refusals,
            now + pause_left - resumption.RESUME_SECONDS,
        )
        self.check = start_check(parts, exchange, chain)
        logger.info(
            "chain_chosen" if chain else "chain_missing",
            request=exchange.call.id,
            service=exchange.service.name,
            stages=describe_stages(chain.stages) if chain else None,
            waited=round(parts.clock.monotonic() - now, 4),
            waiting=parts.admission.count_waiting(),
            revision=parts.directory.registry.revision,
            after=after,
            **describe_choice(parts, exchange, self.check, chain is not None),
        )
        return chain

    def exclude_refusing_engine(
        self, stages: Sequence[Stage], at_fault: str | None
    ) -> Target | None:
        """Exclude an engine that refused, for longer if it surely had room.

        :param stages: the chain, whose load is still counted.
        :param at_fault: ``IP:port`` of the engine that refused, if known.
        :return: the engine, if it surely had room.
        """
        exchange, parts = self._exchange, self._parts
        now, stage = parts.clock.monotonic(), find_refusing_stage(stages, at_fault)
        had_room = parts.planner.had_room(exchange.service, stage, exchange.call.tokens)
        finding = parts.directory.suspects.note_refusal(stage.target, had_room, now)
        usage: Usage = parts.loads.get(stage.target)
        self._refusals.note(stage.target, usage, now)
        if finding is Finding.REFUSED:
            parts.admission.note_refused(exchange.service)
        logger.info(
            "engine_refused",
            request=exchange.call.id,
            target=stage.target,
            address=stage.address,
            held=usage.requests,
            finding=finding.value,
        )
        row = parts.directory.registry.rows.get(stage.target)
        return row.target if row and finding is Finding.CLOSED else None

    def choose_retry_after(self) -> float:
        """Return the seconds after which the caller of a refused request may return."""
        exchange, parts = self._exchange, self._parts
        seconds = parts.admission.choose_retry_after(
            exchange.service,
            exchange.fingerprint,
            exchange.priority,
            self._describe_requester(),
            exchange.call.tokens,
        )
        if seconds is None:
            return parts.source.uniform(*RETRY_AFTER_SECONDS)
        return seconds

    def _describe_requester(self) -> Requester:
        """Return whose request it is, as seen at its first ask here."""
        if self._requester is not None:
            return self._requester
        exchange, admission = self._exchange, self._parts.admission
        call, arrived = exchange.call, exchange.arrived
        is_early = admission.note_return(exchange.service, lambda: exchange.fingerprint)
        first = admission.first_arrivals.find(
            exchange.route, exchange.account or NO_ACCOUNT, call.timeout, arrived
        )
        requester = Requester(
            exchange.account or NO_ACCOUNT,
            arrived if is_early else first,
            arrived,
            arrived + exchange.route.latency_target,
            exchange.deadline,
            call.answer_tokens,
            call.last_event is not None,
            is_early,
            request=call.id,
        )
        self._requester = replace(requester, is_first_ask=False)
        return requester

    def _compute_max_wait(self, now: float) -> float:
        """Return the seconds that the request may wait for a chain with room."""
        exchange = self._exchange
        route = exchange.route
        if exchange.response is None:
            waited = now - exchange.arrived
            return max(0.0, MAX_WAIT_SHARE * route.latency_target - waited)
        silence = now - (exchange.last_event_at or exchange.arrived)
        return max(0.0, route.caller_patience - RESUME_SECONDS - silence)
