"""A request takes the route of its host name with the longest matching prefix."""

import random

import pytest

from marigoldswitch.core.ids import ServiceName
from marigoldswitch.core.routes import (
    ClientLimits,
    Route,
    RouteKind,
    RoutingTable,
    WeightedService,
)


def build_route(prefix, host="drafts.example", services=(("a", 1.0),), **fields):
    shares = tuple(WeightedService(ServiceName(name), part) for name, part in services)
    return Route(prefix, host, prefix, RouteKind.STREAM, 20.0, 1, shares, **fields)


def build_table(*routes):
    return RoutingTable(1, routes, {}, {}, ClientLimits())


@pytest.mark.parametrize(
    ("path", "prefix"),
    [
        ("/a/x", "/a/"),
        ("/a/b/x", "/a/b/"),
        ("/a/b/", "/a/b/"),
        ("/a/b", "/a/"),
        ("/A/b/", None),
        ("/ab/", None),
    ],
)
def test_longest_prefix_wins(path, prefix):
    table = build_table(build_route("/a/"), build_route("/a/b/"))
    route = table.find_route("drafts.example", path)
    assert (route.prefix if route else None) == prefix


@pytest.mark.parametrize("host", ["DRAFTS.example", "drafts.example:8227"])
def test_host_is_matched_without_case_and_port(host):
    assert build_table(build_route("/")).find_route(host, "/x") is not None


def test_routes_of_other_hosts_do_not_match():
    assert build_table(build_route("/")).find_route("other.example", "/x") is None


def test_shares_follow_weights():
    route = build_route("/", services=(("a", 90.0), ("b", 10.0)))
    source = random.Random(1)
    drawn = [route.choose_service(source) for _ in range(2000)]
    assert 0.07 < drawn.count("b") / len(drawn) < 0.13


@pytest.mark.parametrize(
    ("kind", "resumable", "idempotent"),
    [
        (RouteKind.IDEMPOTENT, False, True),
        (RouteKind.NON_IDEMPOTENT, True, False),
        (RouteKind.STREAM, False, False),
        (RouteKind.STREAM, True, True),
    ],
)
def test_streams_are_idempotent_only_if_resumable(kind, resumable, idempotent):
    shares = (WeightedService(ServiceName("a"), 1.0),)
    route = Route("r", "h", "/", kind, 1.0, 0, shares, is_resumable=resumable)
    assert route.is_idempotent is idempotent
