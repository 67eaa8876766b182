"""Request metrics of a gateway, kept in the metrics registry of its host."""

from collections import Counter
from collections.abc import Callable, Mapping

from marigoldswitch.core.ids import ServiceName
from marigoldswitch.core.interruptions import EndVerdict
from marigoldswitch.gateway.exchanges import AbortReason
from marigoldswitch.gateway.interruption_log import LossKind
from marigoldswitch.gateway.placing import Placing
from marigoldswitch.metrics import Metrics


class GatewayMetrics:
    """Records how requests end. Recording never blocks."""

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        self._shown: set[tuple[str, int]] = set()
        """Services and priorities whose gauge has been set."""
        self._ramping_services: set[ServiceName] = set()
        """Services that have had a target on a ramp."""

    def watch_placing(self, placing: Placing) -> None:
        """Set the gauges of placing before each scrape."""

        def collect() -> None:
            for service, share in placing.list_shares().items():
                self._metrics.moved_share.set({"service": service}, share)
                moved = placing.moved.get(service, 0)
                self._metrics.moved_requests.set({"service": service}, moved)

        self._metrics.add_collector(collect)

    def set_ramping(self, count: Callable[[], Counter[ServiceName]]) -> None:
        """Set the number of targets on a ramp.

        :param count: returns it by service.
        """
        counts = count()
        self._ramping_services |= set(counts)
        for service in self._ramping_services:
            self._metrics.targets_ramping.set({"service": service}, counts[service])

    def set_client_keys(
        self, needs_keys: bool, without_keys: int, removed: int
    ) -> None:
        """Record the keys of the configuration that comes into force.

        :param without_keys: number of client accounts that hold no key.
        :param removed: number of keys that it takes away.
        """
        self._metrics.keys_needed.set({}, int(needs_keys))
        self._metrics.accounts_without_keys.set({}, without_keys)
        self._metrics.client_keys_removed.add({}, removed)

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

    def count_abort(self, reason: AbortReason) -> None:
        """Count one answer that this host has broken off."""
        self._metrics.answers_aborted.inc({"reason": reason.value})

    def count_sending(self, service: ServiceName) -> None:
        """Count one request that was written to a connection to a target."""
        self._metrics.requests_sent.inc({"service": service})

    def count_retry(self, service: ServiceName, is_granted: bool) -> None:
        """Count one decision on a retry."""
        decision = "granted" if is_granted else "denied"
        self._metrics.retries.inc({"service": service, "decision": decision})

    def count_verdict(self, service: ServiceName, verdict: EndVerdict) -> None:
        """Count one verdict on a target that broke requests off."""
        labels = {"service": service, "verdict": verdict.value}
        self._metrics.end_verdicts.inc(labels)

    def count_unbounded(self, reader: str) -> None:
        """Count one answer that exceeded a bound.

        :param reader: what read it.
        """
        self._metrics.answers_unbounded.inc({"reader": reader})

    def count_pause(self, kind: LossKind, is_kept: bool, seconds: float) -> None:
        """Count one interruption of a stream whose route limits its pauses.

        :param is_kept: whether the pause stayed within the limit.
        :param seconds: from its last event to the next one.
        """
        kept = "yes" if is_kept else "no"
        self._metrics.interruptions.inc({"kind": kind.value, "kept": kept})
        self._metrics.pause_seconds.observe({"kind": kind.value}, seconds)

    def watch_waiting(
        self, count_waiting: Callable[[], Mapping[tuple[str, int], int]]
    ) -> None:
        """Set the gauge of waiting requests at each scrape.

        :param count_waiting: returns the waiting requests by service and priority.
        """

        def collect() -> None:
            counts = count_waiting()
            self._shown.update(counts)
            for service, priority in self._shown:
                labels = {"service": service, "priority": str(priority)}
                count = counts.get((service, priority), 0)
                self._metrics.requests_waiting.set(labels, count)

        self._metrics.add_collector(collect)

    def count_admission_refusal(self, service: str, why: str) -> None:
        """Count a request that was refused for want of capacity."""
        self._metrics.admission_refusals.inc({"service": service, "why": why})
