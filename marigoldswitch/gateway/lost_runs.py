"""Records runs of a request that broke off, as possible crashes of their engines."""

import structlog

from marigoldswitch.core.catalogue import Target
from marigoldswitch.core.stages import Stage
from marigoldswitch.gateway.broken_chains import ChainBroken
from marigoldswitch.gateway.detours import ChainMonitor
from marigoldswitch.gateway.exchanges import Exchange, RunParts

logger = structlog.get_logger(__name__)


async def record_lost_run(
    parts: RunParts,
    exchange: Exchange,
    monitor: ChainMonitor,
    first: Stage,
    broken: ChainBroken,
) -> None:
    """Log a lost run and report it as a possible crash of its first engine."""
    now = parts.clock.monotonic()
    budget = parts.retries.get(exchange.service.name)
    logger.info(
        "run_lost",
        request=exchange.call.id,
        fingerprint=exchange.fingerprint,
        parts=exchange.call.prompt_parts,
        target=first.target,
        had_event=monitor.has_delivered(first.target),
        after=exchange.last_event,
        why=str(broken),
        repeats=budget.retries.count(now),
        repeats_allowed=round(budget.get_limit(now), 1),
    )
    row = parts.directory.registry.rows.get(first.target)
    if row is None or broken.is_unbounded:
        return
    await monitor.note_cut_off(row.target)
    await _discount_run_if_ended(parts, exchange, row.target)


async def _discount_run_if_ended(
    parts: RunParts, exchange: Exchange, first: Target
) -> None:
    """Exempt a run from the route's limit on targets if its engine has ended.

    In a rollout, an engine cuts its streams off just before it closes its port. It is
    probed only if the request could not run again otherwise. A silent engine does not
    count: it may still run the request, which would then exceed the limit.
    """
    if exchange.may_run_again or not exchange.route.is_idempotent:
        return
    born = parts.directory.registry.get_born(first.id)
    if await parts.probes.has_ended(first, born):
        exchange.discounted_runs += 1
