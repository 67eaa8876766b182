"""Sets the gauges of a host when its metrics are read."""

from collections import Counter

from marigoldswitch.claiming import Claims
from marigoldswitch.core.adoption import Adoption
from marigoldswitch.dispatching import Dispatching
from marigoldswitch.gossip import Gossip
from marigoldswitch.members import MemberView
from marigoldswitch.metrics import Metrics
from marigoldswitch.peers import PeerNetwork


class Gauges:
    """Reads the parts of a host into its metrics."""

    def __init__(
        self,
        metrics: Metrics,
        adoption: Adoption,
        view: MemberView,
        network: PeerNetwork,
        dispatching: Dispatching,
        claims: Claims,
        gossip: Gossip,
    ) -> None:
        self._metrics = metrics
        self._adoption = adoption
        self._view = view
        self._network = network
        self._dispatching = dispatching
        self._claims = claims
        self._gossip = gossip

    def read(self) -> None:
        """Set every gauge."""
        self._metrics.bundle.set({}, self._adoption.version)
        self._metrics.claims_open.set({}, len(self._claims.own))
        self._metrics.answers_unstored.set({}, self._claims.kept_bytes)
        self._read_members()
        for what, count in self._network.counts.items():
            self._metrics.peer_messages.set({"what": what}, count)
        for what, count in self._gossip.count_all().items():
            self._metrics.gossip.set({"what": what}, count)
        self._read_permits()
        self._read_dispatchers()
        self._read_queues()

    def _read_members(self) -> None:
        members = self._view.members.values()
        by_data_centre = Counter(str(member.data_centre) for member in members)
        for data_centre, count in by_data_centre.items():
            self._metrics.members.set({"data_centre": data_centre}, count)

    def _read_permits(self) -> None:
        held = Counter(grant.service for grant in self._dispatching.held.values())
        services = self._adoption.bundle.services if self._adoption.bundle else {}
        for service in services:
            self._metrics.permits.set({"service": str(service)}, held[service])

    def _read_queues(self) -> None:
        waiting: Counter[str] = Counter()
        usable: Counter[str] = Counter()
        for key, dispatcher in self._dispatching.dispatchers.owned.items():
            waiting[key.service] += len(dispatcher.waiting)
            states = dispatcher.pool.states.values()
            usable[key.service] += sum(not state.leaving for state in states)
        services = self._adoption.bundle.services if self._adoption.bundle else {}
        for service in services:
            self._metrics.waiting.set({"service": str(service)}, waiting[service])
            self._metrics.usable.set({"service": str(service)}, usable[service])

    def _read_dispatchers(self) -> None:
        waiting: Counter[str] = Counter()
        usable: Counter[str] = Counter()
        services = self._adoption.bundle.services if self._adoption.bundle else {}
        for dispatcher in self._dispatching.dispatchers.owned.values():
            name = str(dispatcher.service.name)
            waiting[name] += len(dispatcher.waiting) + len(dispatcher.parked)
            usable[name] += sum(
                not state.leaving for state in dispatcher.pool.states.values()
            )
        for service in services:
            self._metrics.waiting.set({"service": str(service)}, waiting[str(service)])
            self._metrics.usable.set({"service": str(service)}, usable[str(service)])
