"""Reacts to the loss of an engine by one stream, for all streams of this host."""

from msgspec import Struct

from marigoldswitch.core.catalogue import Target
from marigoldswitch.core.ids import TargetId
from marigoldswitch.core.suspects import Finding
from marigoldswitch.gateway.exchanges import Exchange, RunParts
from marigoldswitch.gateway.interruption_log import InterruptionLog, LossKind
from marigoldswitch.gateway.upstream import NotSent

SHARED_LOSS_SECONDS = 1.0
"""Time after a loss in which engines that were not heard of since are avoided; probes
have shown by then which of them are dead."""
MAX_LOSSES = 4


class _Loss(Struct, frozen=True):
    """An engine that a stream has probably lost.

    :param noticed_at: monotonic seconds.
    """

    target: Target
    noticed_at: float


class StreamLosses:
    """The engines that one stream has lost, and those that may share their loss."""

    def __init__(
        self, parts: RunParts, exchange: Exchange, interruptions: InterruptionLog
    ) -> None:
        self._parts = parts
        self._exchange = exchange
        self._interruptions = interruptions
        self._failed_first_engines: set[TargetId] = set()
        """First engines of broken chains; later chains avoid them."""
        self._losses: list[_Loss] = []
        """The losses that the next chain should allow for."""

    @property
    def limits_pause(self) -> bool:
        """Return whether the stream has begun and its pauses are limited."""
        exchange = self._exchange
        return exchange.response is not None and exchange.route.max_event_gap > 0.0

    def note(self, kind: LossKind, target: Target) -> None:
        """Probe an engine that may be lost, and record that it interrupts the stream.

        All streams through it move away as soon as it is found dead.
        """
        if self._exchange.route.max_event_gap <= 0.0:
            return
        now = self._parts.clock.monotonic()
        self._add(target, now)
        self._parts.probes.check_in_background(target)
        self._interruptions.note_loss(kind, target.id, now)

    def note_broken_chain(self, first: TargetId) -> None:
        """Record that a chain broke, whose first engine may have been found dead."""
        self._failed_first_engines.add(first)
        now, directory = self._parts.clock.monotonic(), self._parts.directory
        row = directory.registry.rows.get(first)
        is_dead = directory.suspects.is_dead(first, now)
        if row is not None and is_dead:
            self._add(row.target, now)

    def note_recovered(self, first: TargetId) -> None:
        """Record that a chain that was taken for broken goes on."""
        self._failed_first_engines.discard(first)

    def _add(self, target: Target, now: float) -> None:
        """Remember a loss, once for each engine, and the newest few."""
        if all(item.target.id != target.id for item in self._losses):
            self._losses = [*self._losses[1 - MAX_LOSSES :], _Loss(target, now)]

    @property
    def failed_first_engines(self) -> frozenset[TargetId]:
        """Return the first engines of broken chains."""
        return frozenset(self._failed_first_engines)

    async def list_avoided(self) -> frozenset[TargetId]:
        """Return the engines that the next chain should avoid.

        Several engines are often lost at once. A stream whose first engine was lost
        avoids those of its data centre that were not heard of since, if others have
        room, such as those of another data centre. Otherwise it waits until those that
        live have answered.
        """
        parts = self._parts
        failed = frozenset(self._failed_first_engines)
        now = parts.clock.monotonic()
        if not self.limits_pause or not self._losses:
            return failed
        self._losses = [
            item for item in self._losses if now - item.noticed_at < SHARED_LOSS_SECONDS
        ]
        for loss in self._losses:
            failed |= parts.probes.list_unheard(loss.target, loss.noticed_at)
        if self._has_chain(failed):
            return failed
        failed = frozenset(self._failed_first_engines)
        for loss in self._losses:
            failed |= await parts.probes.find_unheard(loss.target, loss.noticed_at)
        if self._has_chain(failed):
            return failed
        return frozenset(self._failed_first_engines)

    def _has_chain(self, avoided: frozenset[TargetId]) -> bool:
        exchange, planner = self._exchange, self._parts.planner
        tokens = exchange.call.tokens
        return planner.find(exchange.service, tokens, avoided, False) is not None

    def suspect_unreachable(self, target: Target, not_sent: NotSent) -> None:
        """Avoid an engine that could not be connected to.

        It is marked dead only if it refused the connection. Otherwise it is probed
        first: the SYN may have been lost, and marking an engine dead makes all streams
        through it move away.
        """
        parts = self._parts
        now = parts.clock.monotonic()
        if not_sent.is_connection_refused:
            parts.directory.suspects.note(target.id, Finding.DEAD, now)
            return
        parts.directory.suspects.note(target.id, Finding.REFUSED, now)
        parts.probes.check_in_background(target)
