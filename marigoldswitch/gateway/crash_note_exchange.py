"""Exchange of notes between hosts on the requests that crash targets."""

from collections.abc import Callable

from marigoldswitch.core.crash_notes import CrashNotes
from marigoldswitch.core.ids import HostId
from marigoldswitch.core.ports import Clock
from marigoldswitch.gateway.crashes import CrashWatch
from marigoldswitch.gateway.roster import Roster
from marigoldswitch.peers import PeerNetwork

NOTES_SECONDS = 0.3
"""Interval of messages on requests that are suspected of crashing targets."""
RESYNC_SECONDS = 1.5
"""Minimum time between two full lists of notes to a host whose notes differ: it was
cut off, or has just started."""


class CrashNoteExchange:
    """Sends new notes along with digests, and all notes to hosts whose notes differ."""

    def __init__(
        self, clock: Clock, network: PeerNetwork, crashes: CrashWatch, roster: Roster
    ) -> None:
        self._clock = clock
        self._network = network
        self._crashes = crashes
        self._roster = roster
        self._sent_at = float("-inf")
        self._resynced_at: dict[HostId, float] = {}
        """When each host with different notes was last sent all notes."""
        handle_notes: Callable[..., None] = self._handle_notes
        network.register(CrashNotes, handle_notes)
        crashes.send_notes = self._broadcast

    def tick(self) -> None:
        """Send the notes that are new since the last time, if that is due."""
        now = self._clock.monotonic()
        if self._resynced_at:
            self._resynced_at = {
                host: at
                for host, at in self._resynced_at.items()
                if now - at < RESYNC_SECONDS
            }
        if now - self._sent_at >= NOTES_SECONDS:
            self._sent_at = now
            self._crashes.send_pending_notes()

    def resync_if_different(self, sender: HostId, checksum: int) -> None:
        """Send a host all notes if its checksum differs from this host's."""
        if checksum == self._crashes.checksum or not self._crashes.checksum:
            return
        now = self._clock.monotonic()
        if now - self._resynced_at.get(sender, float("-inf")) < RESYNC_SECONDS:
            return
        self._resynced_at[sender] = now
        self._network.send(sender, self._crashes.list_notes())

    def _broadcast(self, notes: CrashNotes) -> None:
        """Send notes to other hosts, each of which forwards what is new to it."""
        for host in (
            *self._roster.choose_local_recipients(),
            *self._roster.choose_remote_recipients(),
        ):
            self._network.send(host, notes)

    def _handle_notes(self, sender: HostId, message: CrashNotes) -> None:
        passes_on = self._roster.is_mesh or self._roster.is_relay
        self._crashes.merge_notes(message, passes_on)
