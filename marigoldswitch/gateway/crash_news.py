"""Tells the other hosts which requests end targets, and takes what they know."""

from collections.abc import Callable

from marigoldswitch.core.gateway_messages import CrashNote, CrashNotes
from marigoldswitch.core.ids import HostId
from marigoldswitch.core.ports import Clock
from marigoldswitch.gateway.crashes import CrashWatch
from marigoldswitch.gateway.roster import Roster
from marigoldswitch.peers import PeerNetwork

NEWS_SECONDS = 0.3
"""Seconds between two messages of requests that are suspected of ending targets."""
CRASHES_SECONDS = 1.5
"""Least time between two messages to a host that knows something else of requests that
end targets: it was cut off, or has just started."""


class CrashNews:
    """Sends what is new along the ways of digests, and the whole to who lacks it."""

    def __init__(
        self, clock: Clock, network: PeerNetwork, crashes: CrashWatch, roster: Roster
    ) -> None:
        self._clock = clock
        self._network = network
        self._crashes = crashes
        self._roster = roster
        self._told_at = float("-inf")
        self._compared: dict[HostId, float] = {}
        """When each host that knew something else was last told."""
        take: Callable[..., None] = self._take
        network.register(CrashNotes, take)
        crashes.tell = self._tell

    def tick(self) -> None:
        """Tell what was learnt since the last time, if that is due."""
        now = self._clock.monotonic()
        if self._compared:
            self._compared = {
                host: at
                for host, at in self._compared.items()
                if now - at < CRASHES_SECONDS
            }
        if now - self._told_at >= NEWS_SECONDS:
            self._told_at = now
            self._crashes.tell_news()

    def compare(self, sender: HostId, checksum: int) -> None:
        """Tell a host what this one knows if it knows something else."""
        if checksum == self._crashes.checksum or not self._crashes.checksum:
            return
        now = self._clock.monotonic()
        if now - self._compared.get(sender, float("-inf")) < CRASHES_SECONDS:
            return
        self._compared[sender] = now
        self._network.send(sender, CrashNotes(self._crashes.list_notes()))

    def _tell(self, notes: tuple[CrashNote, ...]) -> None:
        """Tell others, each of whom tells on what is new to it."""
        for host in (*self._roster.choose_near(), *self._roster.choose_far()):
            self._network.send(host, CrashNotes(notes))

    def _take(self, sender: HostId, news: CrashNotes) -> None:
        self._crashes.take_notes(news.notes)
