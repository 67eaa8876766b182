"""Request metrics of a gateway, kept in the metrics registry of its host."""

from marigoldswitch.gateway.interruption_log import LossKind
from marigoldswitch.metrics import Metrics


class GatewayMetrics:
    """Records how requests end. Recording never blocks."""

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics

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

    def count_pause(self, kind: LossKind, is_kept: bool, seconds: float) -> None:
        """Count one interruption of a stream whose route limits its pauses.

        :param is_kept: whether the pause stayed within the limit.
        :param seconds: from its last event to the next one.
        """
        kept = "yes" if is_kept else "no"
        self._metrics.interruptions.inc({"kind": kind.value, "kept": kept})
        self._metrics.pause_seconds.observe({"kind": kind.value}, seconds)
