"""Asks targets for reports when this host doubts that it reaches any of them."""

import asyncio
import random
from collections.abc import Callable, Sequence

from marigoldswitch.core.catalogue import Target
from marigoldswitch.core.contact import ContactChange, ContactState, TargetContact
from marigoldswitch.core.ids import DataCentre
from marigoldswitch.core.ports import Clock
from marigoldswitch.gateway.ports import EngineControl, EngineGone

PROBE_TIMEOUT_SECONDS = 0.2
"""Time for an answer on a new connection. Live targets take a few milliseconds, but
this host's link may be full for some 0.1 s."""
PROBE_INTERVAL_SECONDS = 0.4
"""Pause between two rounds while this host is cut off."""
HOST_PAUSE_SECONDS = 0.04
"""A round that takes this much longer than it should met a pause of this host. Targets
that were silent meanwhile may have answered; refusals count."""
NEAR_TARGETS = 2
FAR_TARGETS = 1
"""Targets asked in a round, of this host's data centre and of others. A host may reach
only its own data centre, and some targets there may have ended."""
MORE_TARGETS = 2
"""Further targets of each of the two that are asked to settle a doubt. Half of the
targets may be paused at once; those that this host reaches are hardly all of them."""


class ContactProber:
    """Settles a doubt at once, and finds out when a cut has ended.

    :param list_targets: returns the targets that the contact is to.
    """

    def __init__(
        self,
        engines: EngineControl,
        list_targets: Callable[[], Sequence[Target]],
        contact: TargetContact,
        clock: Clock,
        home: DataCentre,
        source: random.Random,
    ) -> None:
        self._engines = engines
        self._list_targets = list_targets
        self._contact = contact
        self._clock = clock
        self._home = home
        self._source = source
        self._round: asyncio.Task[None] | None = None
        contact.watch(self._handle_change)

    def tick(self) -> None:
        """Start a round if this host is cut off and none is under way."""
        if self._contact.state is not ContactState.REACHED and self._round is None:
            self._round = asyncio.create_task(self._run_rounds())

    def _handle_change(self, change: ContactChange) -> None:
        if change.state is ContactState.DOUBTED:
            self.tick()

    async def _run_rounds(self) -> None:
        """Ask targets until one answers."""
        try:
            while self._contact.state is not ContactState.REACHED:
                await self._ask()
                if self._contact.is_lost:
                    await asyncio.sleep(PROBE_INTERVAL_SECONDS)
        finally:
            self._round = None

    async def _ask(self) -> None:
        asked_at = self._clock.monotonic()
        targets = self._choose_targets()
        reads = [
            self._engines.read(item.address, PROBE_TIMEOUT_SECONDS, new_connection=True)
            for item in targets
        ]
        answers = await asyncio.gather(*reads)
        now = self._clock.monotonic()
        is_late = now - asked_at > PROBE_TIMEOUT_SECONDS + HOST_PAUSE_SECONDS
        if any(item and not isinstance(item, EngineGone) for item in answers):
            self._contact.note_answer(now)
        elif not is_late or all(answers):
            names = [item.id for item in targets]
            answered = zip(names, answers, strict=True)
            refused = {name for name, item in answered if item is not None}
            self._contact.settle_doubt(names, asked_at, now, refused)

    def _choose_targets(self) -> list[Target]:
        """Return targets to ask, drawn from those not yet tried in vain, if any."""
        known = self._list_targets()
        near = [item for item in known if item.data_centre == self._home]
        far = [item for item in known if item.data_centre != self._home]
        more = 0 if self._contact.is_lost else MORE_TARGETS
        return [
            *self._draw(near, NEAR_TARGETS + more),
            *self._draw(far, FAR_TARGETS + more),
        ]

    def _draw(self, targets: Sequence[Target], count: int) -> list[Target]:
        fresh = [item for item in targets if not self._contact.is_silent(item.id)]
        chosen = fresh if len(fresh) >= count else targets
        return self._source.sample(chosen, min(count, len(chosen)))
