"""Tells the other hosts which requests end targets, and takes what they know."""

from collections.abc import Callable

from marigoldswitch.core.gateway_messages import CrashNote, CrashNotes
from marigoldswitch.core.ids import HostId
from marigoldswitch.core.ports import Clock
from marigoldswitch.gateway.crashes import CrashWatch
from marigoldswitch.gateway.roster import Roster
from marigoldswitch.peers import PeerNetwork

NOTES_SECONDS = 0.3
"""Seconds between two messages of requests that are suspected of ending targets."""
RESYNC_SECONDS = 1.5
"""Least time between two messages to a host that knows something else of requests that
end targets: it was cut off, or has just started."""


class CrashNoteExchange:
    """Sends what is new along the ways of digests, and the whole to who lacks it."""

    def __init__(
        self, clock: Clock, network: PeerNetwork, crashes: CrashWatch, roster: Roster
    ) -> None:
        self._clock = clock
        self._network = network
        self._crashes = crashes
        self._roster = roster
        self._sent_at = float("-inf")
        self._resynced_at: dict[HostId, float] = {}
        """When each host that knew something else was last told."""
        handle_notes: Callable[..., None] = self._handle_notes
        network.register(CrashNotes, handle_notes)
        crashes.send_notes = self._broadcast

    def tick(self) -> None:
        """Tell what was learnt since the last time, if that is due."""
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
        """Tell a host what this one knows if it knows something else."""
        if checksum == self._crashes.checksum or not self._crashes.checksum:
            return
        now = self._clock.monotonic()
        if now - self._resynced_at.get(sender, float("-inf")) < RESYNC_SECONDS:
            return
        self._resynced_at[sender] = now
        self._network.send(sender, CrashNotes(self._crashes.list_notes()))

    def _broadcast(self, notes: tuple[CrashNote, ...]) -> None:
        """Tell others, each of whom tells on what is new to it."""
        for host in (
            *self._roster.choose_local_recipients(),
            *self._roster.choose_remote_recipients(),
        ):
            self._network.send(host, CrashNotes(notes))

    def _handle_notes(self, sender: HostId, message: CrashNotes) -> None:
        self._crashes.merge_notes(message.notes)
