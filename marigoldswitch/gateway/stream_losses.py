"""Reacts to the loss of an engine by one stream, for all streams of this host."""

from msgspec import Struct

from marigoldswitch.core.catalogue import Target
from marigoldswitch.core.ids import TargetId
from marigoldswitch.core.suspects import Finding
from marigoldswitch.gateway.exchanges import Exchange, RunParts
from marigoldswitch.gateway.interruption_log import InterruptionLog, LossKind
from marigoldswitch.gateway.upstream import NotSent


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
        self._newest: _Loss | None = None
        """The newest loss since the last chain was chosen."""

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
        self._newest = _Loss(target, now)
        self._parts.probes.check_in_background(target)
        self._interruptions.note_loss(kind, target.id, now)

    def note_broken_chain(self, first: TargetId) -> None:
        """Record that a chain broke, whose first engine may have been found dead."""
        self._failed_first_engines.add(first)
        now, directory = self._parts.clock.monotonic(), self._parts.directory
        row = directory.registry.rows.get(first)
        is_dead = directory.suspects.is_dead(first, now)
        if self._newest is None and row is not None and is_dead:
            self._newest = _Loss(row.target, now)

    async def list_avoided(self) -> frozenset[TargetId]:
        """Return the engines that the next chain should avoid.

        A stream whose first engine was lost avoids engines of its data centre that were
        not heard of since, if others have room: several engines are often lost at once.
        """
        exchange, parts = self._exchange, self._parts
        failed = frozenset(self._failed_first_engines)
        loss, self._newest = self._newest, None
        if loss is None or not self.limits_pause:
            return failed
        unheard = await parts.probes.find_unheard(loss.target, loss.noticed_at)
        avoided = failed | unheard
        if avoided == failed:
            return failed
        tokens = exchange.call.tokens
        chain = parts.planner.find(exchange.service, tokens, avoided, is_new=False)
        return avoided if chain is not None else failed

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
