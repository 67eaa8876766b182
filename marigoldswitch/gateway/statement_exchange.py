"""Exchange of what targets state of themselves, between the hosts that hear it."""

import structlog

from marigoldswitch.core.gateway_messages import LeavingNote, LimitNote, LoadDigest
from marigoldswitch.core.ids import HostId
from marigoldswitch.gateway.directory import Directory
from marigoldswitch.gateway.message_counts import decode_limit, encode_limits

logger = structlog.get_logger(__name__)


class StatementExchange:
    """Tells peers what targets have stated, and adopts what peers have heard later."""

    def __init__(self, directory: Directory) -> None:
        self._registry = directory.registry
        self._limits = directory.statements.limits.stated

    def encode_limits(self, now: float) -> tuple[LimitNote, ...]:
        """Return the limits that this host knows of."""
        return encode_limits(self._limits.list_known(now), now)

    def encode_leaving(self) -> tuple[LeavingNote, ...]:
        """Return the targets that have said that they leave."""
        return tuple(
            LeavingNote(row.target.id, row.born)
            for row in self._registry.list_stated_leaving()
        )

    def take_digest(self, sender: HostId, digest: LoadDigest, now: float) -> None:
        """Adopt what a peer has heard of the targets that this host knows."""
        for limit in digest.limits:
            if limit.target not in self._registry.rows:
                continue
            if self._limits.merge(limit.target, decode_limit(limit, now)):
                logger.info(
                    "target_limit_told",
                    target=limit.target,
                    rate=limit.rate or None,
                    age=limit.age,
                    sender=sender,
                )
        for leaving in digest.leaving_targets:
            if self._registry.note_leaving(leaving.target, now, leaving.born):
                logger.info("target_leaving_told", target=leaving.target, sender=sender)
