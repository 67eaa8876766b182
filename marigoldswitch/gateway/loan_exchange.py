"""Exchange of loans between hosts that are short of retries and hosts that are not."""

from collections.abc import Callable

from marigoldswitch.core.gateway_messages import LoanNotes
from marigoldswitch.core.ids import HostId
from marigoldswitch.core.loans import LoanBook, Neighbours
from marigoldswitch.core.ports import Clock
from marigoldswitch.gateway.roster import Roster
from marigoldswitch.gateway.send_log import TICK_SECONDS
from marigoldswitch.peers import PeerNetwork

INTERVAL_SECONDS = 0.2
"""Interval of messages while a host is short of retries."""


class LoanExchange:
    """Sends and receives loans; sends nothing while no host is short."""

    def __init__(
        self, clock: Clock, network: PeerNetwork, loans: LoanBook, roster: Roster
    ) -> None:
        self._clock = clock
        self._network = network
        self._loans = loans
        self._roster = roster
        self._sent_at = float("-inf")
        handle_notes: Callable[..., None] = self._handle_notes
        network.register(LoanNotes, handle_notes)

    def tick(self) -> None:
        """Send the messages that are due."""
        now = self._clock.monotonic()
        if now - self._sent_at < INTERVAL_SECONDS - TICK_SECONDS / 2:
            return
        self._sent_at = now
        neighbours = self._choose_neighbours()
        for host, notes in self._loans.write_notes(neighbours, now).items():
            self._network.send(host, notes)

    def _choose_neighbours(self) -> Neighbours:
        roster = self._roster
        if roster.is_lead:
            return Neighbours(
                roster.list_local(), roster.choose_remote_leads(), is_relay=True
            )
        return Neighbours(roster.relays[:1])

    def _handle_notes(self, sender: HostId, notes: LoanNotes) -> None:
        near = self._roster.is_near(sender)
        self._loans.take_notes(sender, notes, near, self._clock.monotonic())
