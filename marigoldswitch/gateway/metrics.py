"""Request metrics of a gateway, kept in the metrics registry of its host."""

from collections import Counter
from collections.abc import Callable

from marigoldswitch.core.ids import ServiceName
from marigoldswitch.metrics import Metrics


class GatewayMetrics:
    """Records how requests end. Recording never blocks."""

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        self._ramping_services: set[ServiceName] = set()
        """Services that have had a target on a ramp."""

    def set_ramping(self, count: Callable[[], Counter[ServiceName]]) -> None:
        """Set the number of targets on a ramp.

        :param count: returns it by service.
        """
        counts = count()
        self._ramping_services |= set(counts)
        for service in self._ramping_services:
            self._metrics.targets_ramping.set({"service": service}, counts[service])

    def count_end(self, service: str, end: str, seconds: float | None) -> None:
        """Count one request that has ended.

        :param service: name of its service; empty if it was refused on arrival.
        :param end: error kind if the host refused the request, else ``passed``, even if
            the answer was broken off.
        :param seconds: from its arrival to its end; ``None`` if it was refused on
            arrival.
        """
        self._metrics.requests.inc({"service": service, "end": end})
        if seconds is not None:
            self._metrics.request_seconds.observe({"service": service}, seconds)
