"""The ends of chains that deliver no more of an answer."""

import structlog

from marigoldswitch.core.stages import Stage
from marigoldswitch.gateway.exchanges import Exchange, RunParts

logger = structlog.get_logger(__name__)


class ChainBroken(Exception):
    """The chain will deliver no more of the answer.

    :param is_unbounded: its first engine sent bytes without end, for which the request
        is not to blame.
    """

    def __init__(self, why: str, is_unbounded: bool = False) -> None:
        super().__init__(why)
        self.is_unbounded = is_unbounded


def log_lost_run(
    parts: RunParts,
    exchange: Exchange,
    first: Stage,
    broken: ChainBroken,
    had_event: bool,
    last_event: str | None,
) -> None:
    """Log a run that broke off.

    :param first: first stage of its chain.
    :param had_event: whether that had delivered an event.
    :param last_event: id of the last event that the caller has received, if any.
    """
    now = parts.clock.monotonic()
    budget = parts.retries.get(exchange.service.name)
    logger.info(
        "run_lost",
        request=exchange.call.id,
        fingerprint=exchange.fingerprint,
        parts=exchange.call.prompt_parts,
        target=first.target,
        had_event=had_event,
        after=last_event,
        why=str(broken),
        repeats=budget.retries.count(now),
        repeats_allowed=round(budget.get_limit(now), 1),
    )
