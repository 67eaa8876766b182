"""Chooses the hosts to which a host that reaches no target sends its requests."""

import random
from collections.abc import Collection

from msgspec import Struct

from marigoldswitch.core.ids import DataCentre, HostId
from marigoldswitch.core.ports import Clock
from marigoldswitch.gateway.roster import FORGET_SECONDS, SILENT_SECONDS, Roster

DECLINED_SECONDS = 1.0
"""Time for which a host that has declined a request or can't be reached is avoided."""
NAMED_SECONDS = 20.0
"""Time for which a host counts as live that is known from a relay's list only; such
lists come every 15 s."""
LOCAL_TRIES = 2
"""Hosts of this data centre that a request is sent to before those of others."""


class ProxyHost(Struct, frozen=True):
    """Another host that may run requests of this one.

    :param address: ``IP:port`` at which it takes them.
    """

    host: HostId
    address: str


class ProxyHosts:
    """The hosts that may run requests of this one.

    :param home: data centre of this host.
    :param port: of this host's own listener for requests of others, which is assumed of
        hosts that have not named theirs.
    """

    def __init__(
        self,
        roster: Roster,
        home: DataCentre,
        port: int,
        clock: Clock,
        source: random.Random,
    ) -> None:
        self._roster = roster
        self._home = home
        self._port = port
        self._clock = clock
        self._source = source
        self._avoided: dict[HostId, float] = {}
        """Hosts that are avoided, and until when."""

    def choose(self, tried: Collection[HostId]) -> ProxyHost | None:
        """Return a host to send a request to, or ``None`` if there is none left.

        :param tried: hosts that the request has been sent to.
        """
        local = self._list_candidates(is_local=True, tried=tried)
        remote = self._list_candidates(is_local=False, tried=tried)
        prefers_local = local and (len(tried) < LOCAL_TRIES or not remote)
        candidates = local if prefers_local else remote
        if not candidates:
            return None
        host = self._source.choice(candidates)
        port = self._roster.peers[host].proxy_port or self._port
        return ProxyHost(host, f"{host.rpartition(':')[0]}:{port}")

    def note_declined(self, host: HostId) -> None:
        """Avoid a host for a while."""
        now = self._clock.monotonic()
        self._avoided = {name: at for name, at in self._avoided.items() if now < at}
        self._avoided[host] = now + DECLINED_SECONDS

    def _list_candidates(
        self, is_local: bool, tried: Collection[HostId]
    ) -> list[HostId]:
        now, peers = self._clock.monotonic(), self._roster.peers
        return [
            host
            for host, item in peers.items()
            if (item.data_centre == self._home) is is_local
            and not (item.leaving or item.is_cut_off or host in tried)
            and now >= self._avoided.get(host, now)
            and self._is_live(host, is_local, now)
        ]

    def _is_live(self, host: HostId, is_local: bool, now: float) -> bool:
        peer = self._roster.peers[host]
        if self._roster.is_mesh:
            return now - peer.heard_at < SILENT_SECONDS
        named_at = max(peer.heard_at, peer.mentioned_at)
        return now - named_at < (NAMED_SECONDS if is_local else FORGET_SECONDS)
