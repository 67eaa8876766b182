"""Admits model requests to chains of engines, in order, when they have room."""

import math
import random
from collections import Counter
from collections.abc import Callable, Hashable

from marigoldswitch.core.admitting.applicants import (
    Applicant,
    FirstArrivals,
    find_shared_services,
)
from marigoldswitch.core.admitting.elsewhere import WaitCount, WaitCounts, WaitKey
from marigoldswitch.core.admitting.engine_refusals import EngineRefusals
from marigoldswitch.core.admitting.feasibility import ChainForecaster, NoForecaster
from marigoldswitch.core.ids import ServiceName, TargetId
from marigoldswitch.core.ports import Clock
from marigoldswitch.core.routes import RoutingTable, ServiceSpec
from marigoldswitch.core.stages import Chain
from marigoldswitch.gateway.lines import ArrivalLine, ChainRequest
from marigoldswitch.gateway.planner import ChainPlanner
from marigoldswitch.gateway.shared_line import SharedLine, SharedPorts


class Admission:
    """Admits model requests to chains, with one line for each service.

    Services that several priorities or client accounts share have a
    :class:`SharedLine`, the others an :class:`ArrivalLine`.
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
        self._lines: dict[ServiceName, ArrivalLine | SharedLine] = {}
        self._shared: frozenset[str] = frozenset()

    def apply_table(self, table: RoutingTable) -> None:
        """Find out which services are shared by a new configuration."""
        self._shared = find_shared_services(table)

    def count_waiting(self) -> int:
        """Return the number of waiting requests, over all services."""
        return sum(len(item.waiters) for item in self._lines.values())

    def count_own(self, now: float) -> dict[WaitKey, WaitCount]:
        """Return what waits at this host for services that are shared."""
        counts: dict[WaitKey, WaitCount] = {}
        for line in self._lines.values():
            if isinstance(line, SharedLine) and line.waiters:
                counts |= line.count_waiting(now)
        return counts

    def count_by_priority(self) -> dict[tuple[str, int], int]:
        """Return the waiting requests by service and priority."""
        counts: Counter[tuple[str, int]] = Counter()
        for key, count in self.count_own(self._clock.monotonic()).items():
            counts[key.service, key.priority] += count.requests
        return counts

    def dismiss_waiting(self) -> None:
        """End the wait of all requests, as no engine can be reached."""
        for line in self._lines.values():
            line.dismiss()

    async def acquire(
        self,
        service: ServiceSpec,
        tokens: int,
        priority: int,
        max_wait: float,
        avoid: frozenset[TargetId] = frozenset(),
        is_new: bool = True,
        applicant: Applicant | None = None,
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
        :param applicant: whose request it is, where that counts.
        :param refusals: engines that have refused it.
        :param due: when it must have a chain to keep its longest pause, in monotonic
            seconds.
        """
        return await self._get_line(service).acquire(
            ChainRequest(
                tokens,
                priority,
                max_wait,
                avoid,
                is_new,
                applicant,
                refusals,
                due,
            )
        )

    def choose_retry_after(
        self,
        service: ServiceSpec,
        key: Hashable,
        priority: int,
        applicant: Applicant,
        tokens: int,
    ) -> float | None:
        """Return the seconds after which a refused caller should return.

        Returns ``None`` if the service isn't shared.

        :param key: identifies the request.
        """
        line = self._get_line(service)
        if not isinstance(line, SharedLine):
            return None
        return line.choose_retry_after(key, priority, applicant, tokens)

    def note_return(
        self, service: ServiceSpec, get_key: Callable[[], Hashable]
    ) -> bool:
        """Record an arrival; return whether its caller was told to come later.

        :param get_key: returns what identifies the request.
        """
        line = self._get_line(service)
        return isinstance(line, SharedLine) and line.note_return(get_key)

    def note_refused(self, service: ServiceSpec) -> None:
        """Record that an engine refused a request for want of room."""
        line = self._get_line(service)
        if isinstance(line, SharedLine):
            line.pace.note_refused(self._clock.monotonic())

    def note_accepted(self, service: ServiceSpec) -> None:
        """Record that an engine began to answer a request."""
        line = self._get_line(service)
        if isinstance(line, SharedLine):
            line.pace.note_accepted()

    def _get_line(self, service: ServiceSpec) -> ArrivalLine | SharedLine:
        """Return the line of a service.

        Its kind follows the configuration as soon as no request waits in it.
        """
        line, is_shared = self._lines.get(service.name), service.name in self._shared
        is_other = line is not None and isinstance(line, SharedLine) != is_shared
        if line is None or (is_other and not line.waiters):
            line = self._lines[service.name] = self._create_line(service, is_shared)
        line.service = service
        return line

    def _create_line(
        self, service: ServiceSpec, is_shared: bool
    ) -> ArrivalLine | SharedLine:
        if is_shared:
            return SharedLine(self._planner, self._clock, service, self._ports)
        return ArrivalLine(self._planner, self._clock, service)
