"""Orders detours around lost engines for one request."""

from collections.abc import Sequence

import structlog

from marigoldswitch.core.ids import RequestId, TargetId
from marigoldswitch.core.resumption import is_quicker_elsewhere
from marigoldswitch.core.stages import (
    Chain,
    Stage,
    describe_stages,
    find_refusing_stage,
)
from marigoldswitch.core.suspects import Finding
from marigoldswitch.gateway.exchanges import Exchange, RunParts, spend_retry
from marigoldswitch.gateway.interruption_log import InterruptionLog
from marigoldswitch.gateway.ports import EngineStatus, OrderReply, OrderResult

logger = structlog.get_logger(__name__)

MAX_DETOUR_ATTEMPTS = 3
"""Chains tried for one detour; each attempt avoids the engine that refused the last."""


class DetourLate(Exception):
    """A detour would take longer than the pause allows; another chain may not."""


class DetourOrders:
    """Finds detours for one request and orders them at its first engine."""

    def __init__(
        self, parts: RunParts, exchange: Exchange, interruptions: InterruptionLog
    ) -> None:
        self._parts = parts
        self._exchange = exchange
        self._interruptions = interruptions

    async def take(
        self,
        stages: tuple[Stage, ...],
        lost: set[TargetId],
        after: str | None,
        may_leave: bool = True,
    ) -> tuple[Stage, ...] | None:
        """Order a detour; return the stages that the first engine has accepted.

        :param stages: the current chain.
        :param lost: engines to replace.
        :param after: id of the last event that the caller has received.
        :param may_leave: a late detour may be refused for a whole new chain.
        :raises DetourLate: if the request had better be resumed over a whole new chain.
        """
        exchange, parts = self._exchange, self._parts
        tokens = exchange.call.tokens
        for _ in range(MAX_DETOUR_ATTEMPTS):
            chain = parts.planner.find_detour(exchange.service, tokens, stages, lost)
            now = parts.clock.monotonic()
            if chain is None:
                logger.info("detour_missing", request=exchange.call.id)
                return None
            self._interruptions.note_chain(now)
            is_dead = parts.directory.suspects.is_dead
            if may_leave and any(is_dead(name, now) for name in lost):
                self._check_time(chain, now)
            reply = await self._order(chain, stages)
            now = parts.clock.monotonic()
            self._interruptions.note_order_answered(now)
            logger.info(
                "detour_ordered",
                request=exchange.call.id,
                stages=describe_stages(chain.stages),
                replaced=describe_stages(stages),
                result=reply.result.value,
                at_fault=reply.at_fault,
                after=after,
            )
            match reply.result:
                case OrderResult.BEGUN | OrderResult.DONE:
                    return chain.stages
                case OrderResult.CONFLICT if reply.at_fault:
                    stage = find_refusing_stage(chain.stages, reply.at_fault)
                    self._probe_if_it_had_room(stage)
                    parts.directory.suspects.note(stage.target, Finding.REFUSED, now)
                    lost = lost | {stage.target}
                case OrderResult.UNKNOWN:
                    self._probe(stages[0].target)
                    return None
                case _:
                    return None
        return None

    def _check_time(self, chain: Chain, now: float) -> None:
        """Check whether a detour is ready within what is left of the longest pause.

        Only the engines that hold the lost layers can take a detour. Where they have
        more to do than the pause allows, those streams that would be late continue in
        another data centre, if a retry is left for that.

        :raises DetourLate: if it is not ready in time, and a whole chain may be; a
            retry has then been spent.
        """
        exchange, parts = self._exchange, self._parts
        left = self._interruptions.get_seconds_left(now)
        if not is_quicker_elsewhere(chain.cost, left):
            return
        if not exchange.may_run_again or not exchange.route.is_idempotent:
            return
        if not parts.retries.get(exchange.service.name).has_room(now):
            return
        if not parts.planner.has_chain_elsewhere(
            exchange.service, exchange.call.tokens, chain.stages[0].target
        ):
            return
        # Spent here: many streams of a lost engine come to this point at once, and
        # those that get no retry take their detours.
        if not spend_retry(parts, exchange, use_reserve=True):
            return
        logger.info(
            "detour_late",
            request=exchange.call.id,
            ready_in=round(chain.cost, 4),
            left=round(left, 4),
        )
        raise DetourLate

    def _probe_if_it_had_room(self, stage: Stage) -> None:
        """Probe an engine that refuses although it had room: it may be lost, too."""
        exchange, parts = self._exchange, self._parts
        if exchange.route.max_event_gap <= 0.0:
            return
        if parts.planner.had_room(exchange.service, stage, exchange.call.tokens):
            self._probe(stage.target)

    def _probe(self, name: TargetId) -> None:
        row = self._parts.directory.registry.rows.get(name)
        if row is not None and self._exchange.route.max_event_gap > 0.0:
            self._parts.probes.check_in_background(row.target)

    async def _order(self, chain: Chain, stages: tuple[Stage, ...]) -> OrderReply:
        """Order one detour, and count its load before the engine has taken it.

        Thirty streams that lose an engine at once all read their prompts again: without
        that load counted, they would all choose the same replacement.
        """
        parts, tokens = self._parts, self._exchange.call.tokens
        parts.planner.hold(chain.stages, tokens)
        released = chain.stages
        try:
            reply = await parts.engines.reroute(
                chain.stages[0].address, self._exchange.call.id, chain.stages
            )
            if reply.result in (OrderResult.BEGUN, OrderResult.DONE):
                released = stages
        finally:
            parts.planner.release(released, tokens)
        return reply


def is_lost(parts: RunParts, stage: Stage) -> bool:
    """Return whether the engine of a stage is dead, ending, or giving up its layers.

    An engine that is ordered to hold other layers first waits for its streams: while
    they stayed, one took over 8 s to begin loading layers that were missing.
    """
    directory, now = parts.directory, parts.clock.monotonic()
    if directory.suspects.is_dead(stage.target, now):
        return True
    if directory.registry.is_ending(stage.target, now):
        return True
    held = directory.registry.rows[stage.target].target.layers
    return held is None or not held.contains(stage.layers)


def suspect_blocking_engine(
    parts: RunParts,
    request: RequestId,
    stages: Sequence[Stage],
    first_status: EngineStatus,
) -> None:
    """Mark the engine dead that the first engine reports it is waiting for."""
    now = parts.clock.monotonic()
    for item in first_status.stalled:
        if item.request != request:
            continue
        for stage in stages[1:]:
            if stage.address == item.address:
                parts.directory.suspects.note(stage.target, Finding.DEAD, now)


def suspect_unresponsive_engine(
    parts: RunParts,
    exchange: Exchange,
    first: Stage,
    started_at: float,
    has_delivered: bool,
) -> None:
    """Exclude the first engine of a chain that has been silent for too long.

    Its reports may be good although it answers no request. If it surely had room, this
    chain has delivered nothing, and others of this host were quick meanwhile, all hosts
    are told: each would otherwise find out by a late request of its own.

    :param started_at: when the request was given the chain, in monotonic seconds.
    """
    now = parts.clock.monotonic()
    is_closed = (
        not has_delivered
        and parts.probes.has_prompt_answer(started_at)
        and parts.planner.had_room(exchange.service, first, exchange.call.tokens)
    )
    parts.directory.suspects.note_refusal(first.target, is_closed, now)
