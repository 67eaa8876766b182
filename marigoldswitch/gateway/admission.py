"""Admits model requests to chains of engines, in order, when they have room."""

import math
import random
from collections import Counter
from collections.abc import Callable, Hashable

from marigoldswitch.core.admitting.elsewhere import WaitCount, WaitCounts, WaitKey
from marigoldswitch.core.admitting.engine_refusals import EngineRefusals
from marigoldswitch.core.admitting.feasibility import ChainForecaster, NoForecaster
from marigoldswitch.core.admitting.requesters import (
    FirstArrivals,
    Requester,
    find_shared_services,
)
from marigoldswitch.core.ids import ServiceName, TargetId
from marigoldswitch.core.ports import Clock
from marigoldswitch.core.routes import RoutingTable, ServiceSpec
from marigoldswitch.core.stages import Chain
from marigoldswitch.gateway.planner import ChainPlanner
from marigoldswitch.gateway.service_queues import ArrivalQueue, ChainRequest
from marigoldswitch.gateway.shared_queues import SharedPorts, SharedServiceQueue


class Admission:
    """Admits model requests to chains, with one queue for each service.

    Services whose routes differ in priority have a
    :class:`SharedServiceQueue`, the others an :class:`ArrivalQueue`.
    """

    def __init__(
        self,
        planner: ChainPlanner,
        clock: Clock,
        source: random.Random | None = None,
        forecaster: ChainForecaster | None = None,
    ) -> None:
        self.first_arrivals = FirstArrivals()
        self.get_elsewhere: Callable[[float], WaitCounts] = lambda now: {}
        """Returns what waits at other hosts, at a monotonic time."""
        self.count_refusal: Callable[[str, str], None] = lambda service, why: None
        """Counts a refused request by service and reason."""
        self._planner = planner
        self._clock = clock
        self._ports = SharedPorts(
            forecaster or NoForecaster(),
            source or random.Random(),
            lambda now: self.get_elsewhere(now),
            lambda service, why: self.count_refusal(service, why),
        )
        self._queues: dict[ServiceName, ArrivalQueue | SharedServiceQueue] = {}
        self._shared: frozenset[str] = frozenset()

    def apply_table(self, table: RoutingTable) -> None:
        """Find out which services are shared by a new configuration."""
        self._shared = find_shared_services(table)

    def count_waiting(self) -> int:
        """Return the number of waiting requests, over all services."""
        return sum(len(item.waiters) for item in self._queues.values())

    def count_own(self, now: float) -> dict[WaitKey, WaitCount]:
        """Return what waits at this host for services that are shared."""
        counts: dict[WaitKey, WaitCount] = {}
        for queue in self._queues.values():
            if isinstance(queue, SharedServiceQueue) and queue.waiters:
                counts |= queue.count_waiting(now)
        return counts

    def count_by_priority(self) -> dict[tuple[str, int], int]:
        """Return the waiting requests by service and priority."""
        counts: Counter[tuple[str, int]] = Counter()
        for key, count in self.count_own(self._clock.monotonic()).items():
            counts[key.service, key.priority] += count.requests
        return counts

    def dismiss_waiting(self) -> None:
        """End the wait of all requests, as no engine can be reached."""
        for queue in self._queues.values():
            queue.dismiss()

    async def acquire(
        self,
        service: ServiceSpec,
        tokens: int,
        priority: int,
        max_wait: float,
        avoid: frozenset[TargetId] = frozenset(),
        is_new: bool = True,
        requester: Requester | None = None,
        refusals: EngineRefusals | None = None,
        due: float = math.inf,
    ) -> Chain | None:
        """Reserve room for a request on a chain and return the chain.

        Returns ``None`` if no chain has room in time or the wait is ended, and at once
        if the expected wait is longer than the request may wait, in the queue or for
        engines that pause. The room is freed by :meth:`ChainPlanner.release`.

        :param tokens: context that the request is expected to reach.
        :param priority: rank; 0 comes first.
        :param max_wait: longest wait in seconds.
        :param avoid: targets that have just failed the request.
        :param is_new: its caller has received no part of an answer yet.
        :param requester: whose request it is, where that counts.
        :param refusals: engines that have refused it.
        :param due: when it must have a chain to keep its longest pause, in monotonic
            seconds.
        """
        return await self._get_queue(service).acquire(
            ChainRequest(
                tokens,
                priority,
                max_wait,
                avoid,
                is_new,
                requester,
                refusals,
                due,
            )
        )

    def choose_retry_after(
        self,
        service: ServiceSpec,
        key: Hashable,
        priority: int,
        requester: Requester,
        tokens: int,
    ) -> float | None:
        """Return the seconds after which a refused caller should return.

        Returns ``None`` if the service isn't shared.

        :param key: identifies the request.
        """
        queue = self._get_queue(service)
        if not isinstance(queue, SharedServiceQueue):
            return None
        return queue.choose_retry_after(key, priority, requester, tokens)

    def note_return(
        self, service: ServiceSpec, get_key: Callable[[], Hashable]
    ) -> bool:
        """Record an arrival; return whether its caller was told to come later.

        :param get_key: returns what identifies the request.
        """
        queue = self._get_queue(service)
        return isinstance(queue, SharedServiceQueue) and queue.note_return(get_key)

    def note_refused(self, service: ServiceSpec) -> None:
        """Record that an engine refused a request for want of room."""
        queue = self._get_queue(service)
        if isinstance(queue, SharedServiceQueue):
            queue.pace.note_refused(self._clock.monotonic())

    def note_accepted(self, service: ServiceSpec) -> None:
        """Record that an engine began to answer a request."""
        queue = self._get_queue(service)
        if isinstance(queue, SharedServiceQueue):
            queue.pace.note_accepted()

    def _get_queue(self, service: ServiceSpec) -> ArrivalQueue | SharedServiceQueue:
        """Return the queue of a service.

        Its kind follows the configuration as soon as no request waits in it.
        """
        queue, is_shared = self._queues.get(service.name), service.name in self._shared
        is_other = (
            queue is not None and isinstance(queue, SharedServiceQueue) != is_shared
        )
        if queue is None or (is_other and not queue.waiters):
            queue = self._queues[service.name] = self._create_queue(service, is_shared)
        queue.service = service
        return queue

    def _create_queue(
        self, service: ServiceSpec, is_shared: bool
    ) -> ArrivalQueue | SharedServiceQueue:
        if is_shared:
            return SharedServiceQueue(self._planner, self._clock, service, self._ports)
        return ArrivalQueue(self._planner, self._clock, service)
