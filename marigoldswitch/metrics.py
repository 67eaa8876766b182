"""Metrics of one host, by aioprometheus."""

import aioprometheus
from aiohttp import web
from aioprometheus import Counter, Gauge, Histogram
from aioprometheus.renderer import render

FIRST_TOKEN_BUCKETS = (0.01, 0.03, 0.1, 0.3, 0.83, 2.0, 5.0, 15.0, 60.0)
"""Seconds; 0.83 is the letter's bound on the first token."""


class Metrics:
    """The metrics of one host, each in a registry of its own host."""

    def __init__(self) -> None:
        registry = self._registry = aioprometheus.Registry()
        self.requests = Counter(
            "marigoldswitch_requests_total",
            "Requests that ended, by service and by how they ended.",
            registry=registry,
        )
        self.tokens = Counter(
            "marigoldswitch_tokens_total",
            "Tokens sent to callers, by service.",
            registry=registry,
        )
        self.held = Gauge(
            "marigoldswitch_requests_held", "Requests held now.", registry=registry
        )
        self.first_event = Histogram(
            "marigoldswitch_first_event_seconds",
            "Seconds from a request's arrival to the first event of its answer.",
            buckets=list(FIRST_TOKEN_BUCKETS),
            registry=registry,
        )
        self.breaches = Counter(
            "marigoldswitch_promises_broken_total",
            "Promises found broken inside the program; must stay 0.",
            registry=registry,
        )
        self.internal = Counter(
            "marigoldswitch_internal_faults_total",
            "Requests that ended because of a fault of the router's own.",
            registry=registry,
        )
        self.bundle = Gauge(
            "marigoldswitch_bundle_version",
            "Version of the bundle in force on this host.",
            registry=registry,
        )

    async def show(self, http: web.Request) -> web.Response:
        """Answer ``/metrics``."""
        content, headers = render(self._registry, http.headers.getall("Accept", []))
        return web.Response(body=content, headers=headers)
