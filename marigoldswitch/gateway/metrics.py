"""Metrics of a gateway, in the registry that all metrics of a host share."""

from marigoldswitch.metrics import Metrics


class GatewayMetrics:
    """Counts the ends of requests; a counter never waits for anything."""

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics

    def count_end(self, service: str, end: str, seconds: float | None) -> None:
        """Count one request.

        :param end: ``passed`` for a target's answer, else an error kind.
        :param seconds: from its arrival to its end, where it was opened at all.
        """
        self._metrics.requests.inc({"service": service, "end": end})
        if seconds is not None:
            self._metrics.request_seconds.observe({"service": service}, seconds)
