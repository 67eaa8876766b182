"""Metrics of one host, by aioprometheus.

Labels are services, ways to end and kinds of counts, never client accounts, targets or
requests: their number stays in the hundreds at 18 services.
"""

import collections
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import aioprometheus
from aiohttp import web
from aioprometheus import Counter, Gauge, Histogram
from aioprometheus.renderer import render

PREFIX = "marigoldswitch_"
FIRST_EVENT_BUCKETS = (0.01, 0.03, 0.1, 0.3, 0.83, 2.0, 5.0, 15.0, 60.0)
"""Seconds; 0.83 is the bound on the first token that users have set."""


@dataclass(frozen=True, slots=True)
class MetricRow:
    """One metric, for the registry and for the documentation.

    :param name: without the prefix that all share.
    :param kind: class of the metric.
    :param labels: names of its labels.
    :param meaning: what it tells, with its unit.
    :param action: when an operator acts, and how.
    """

    name: str
    kind: type[Counter] | type[Gauge] | type[Histogram]
    labels: tuple[str, ...]
    meaning: str
    action: str


ROWS = (
    MetricRow(
        "requests_total",
        Counter,
        ("service", "end"),
        "Requests that ended: answered, refused (not run) or failed.",
        "Failed above 1 % for 5 minutes: see the log's `fault` lines. Refused above "
        "5 %: see operations/overload.",
    ),
    MetricRow(
        "faults_total",
        Counter,
        ("service", "kind"),
        "Requests that ended without their answer, by error kind.",
        "Read the kind's row in errors; `outcome_unknown` needs a person to look at "
        "the booking.",
    ),
    MetricRow(
        "tokens_total",
        Counter,
        ("service",),
        "Tokens sent to callers.",
        "A sudden fall with requests held: look at the engines.",
    ),
    MetricRow(
        "requests_held",
        Gauge,
        (),
        "Requests that the host holds now.",
        "Near `requests.held`: add hosts or raise the setting.",
    ),
    MetricRow(
        "first_event_seconds",
        Histogram,
        ("service",),
        "Seconds from a request's arrival to the first event of its answer.",
        "95 in 100 above 0.83 s: see queue waits, then limits of targets.",
    ),
    MetricRow(
        "promises_broken_total",
        Counter,
        (),
        "Promises found broken inside the program.",
        "Any: file a fault with the log's `promise_broken` line.",
    ),
    MetricRow(
        "bundle_version",
        Gauge,
        (),
        "Version of the bundle in force on this host.",
        "Hosts differ for more than 8 s: see operations/platform-outage.",
    ),
    MetricRow(
        "members",
        Gauge,
        ("data_centre",),
        "Live hosts that this host sees.",
        "Fewer than the host list says: look at the network between data centres.",
    ),
    MetricRow(
        "gossip",
        Gauge,
        ("what",),
        "Datagrams and events of membership since the start: sent, sent_bytes, "
        "received, unauthenticated, garbage, oversized, wrong_address, "
        "duplicate_name, suspected, refuted, found_dead, pauses, syncs.",
        "Unauthenticated or garbage grows: a wrong shared key or a stranger on the "
        "port. duplicate_name grows: two hosts have one name. pauses grows: the host "
        "stalls.",
    ),
    MetricRow(
        "peer_messages",
        Gauge,
        ("what",),
        "Messages between hosts since the start: sent, received, dropped, garbage.",
        "Garbage grows: a wrong shared key or a stranger on the port.",
    ),
    MetricRow(
        "permits_held",
        Gauge,
        ("service",),
        "Permits that this host's requests hold.",
        "Held while `requests_held` is 0: file a fault.",
    ),
    MetricRow(
        "queue_waiting",
        Gauge,
        ("service",),
        "Requests that wait at the dispatchers on this host.",
        "Grows without end: the service is over its bound, add targets.",
    ),
    MetricRow(
        "targets_usable",
        Gauge,
        ("service",),
        "Targets that the dispatchers on this host may use.",
        "Below the service's floor: look at ejected and leaving targets in "
        "`marigoldctl status`.",
    ),
)


class Metrics:
    """The metrics of one host, in a registry of its own."""

    def __init__(self) -> None:
        self._registry = aioprometheus.Registry()
        self._sources: list[Callable[[], None]] = []
        self._new_tokens: collections.Counter[str] = collections.Counter()
        made: dict[str, Any] = {row.name: self._make(row) for row in ROWS}
        self.requests: Counter = made["requests_total"]
        self.faults: Counter = made["faults_total"]
        self.tokens: Counter = made["tokens_total"]
        self.held: Gauge = made["requests_held"]
        self.first_event: Histogram = made["first_event_seconds"]
        self.breaches: Counter = made["promises_broken_total"]
        self.bundle: Gauge = made["bundle_version"]
        self.members: Gauge = made["members"]
        self.peer_messages: Gauge = made["peer_messages"]
        self.gossip: Gauge = made["gossip"]
        self.permits: Gauge = made["permits_held"]
        self.waiting: Gauge = made["queue_waiting"]
        self.usable: Gauge = made["targets_usable"]

    def add_source(self, source: Callable[[], None]) -> None:
        """Call ``source`` before each reading, to set what only then is needed."""
        self._sources.append(source)

    def count_token(self, service: str) -> None:
        """Count one token; cheap, since it is called for each of them."""
        self._new_tokens[service] += 1

    async def show(self, http: web.Request) -> web.Response:
        """Answer ``/metrics``."""
        for source in self._sources:
            source()
        self._add_tokens()
        content, headers = render(self._registry, http.headers.getall("Accept", []))
        return web.Response(body=content, headers=headers)

    def _add_tokens(self) -> None:
        for service, count in self._new_tokens.items():
            self.tokens.add({"service": service}, count)
        self._new_tokens.clear()

    def _make(self, row: MetricRow) -> Counter | Gauge | Histogram:
        name = PREFIX + row.name
        if row.kind is Histogram:
            buckets = list(FIRST_EVENT_BUCKETS)
            return Histogram(
                name, row.meaning, buckets=buckets, registry=self._registry
            )
        return row.kind(name, row.meaning, registry=self._registry)
