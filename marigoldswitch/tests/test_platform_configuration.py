"""Decoding of the operator's configuration and of the targets' rows."""

import orjson
import pytest
from result import Err

from marigoldswitch.core.catalogue import LayerRange
from marigoldswitch.core.routes import ClientLimits, RouteKind
from marigoldswitch.platform.configuration import (
    REQUIRED_ROW_FIELDS,
    decode_configuration,
    decode_target,
)
from marigoldswitch.tests.gateway_site import KEY, build_configuration

ROW = {
    "service": "model",
    "address": "10.1.0.9:8080",
    "zone": "north",
    "version": "v1",
    "slots": 96,
    "phase": "ready",
    "cold_remaining_ms": 0,
    "sequence": 3,
    "route_type": "l4",
    "layers": {"from": 8, "target": 16},
}


def decode(document):
    return decode_configuration(orjson.dumps(document))


def test_configuration_fields_are_decoded():
    table = decode(build_configuration(7)).unwrap().table
    assert table.version == 7
    kinds = {route.prefix: route.kind for route in table.routes}
    assert kinds == {
        "/draft/": RouteKind.STREAM,
        "/once/": RouteKind.NON_IDEMPOTENT,
        "/look/": RouteKind.IDEMPOTENT,
    }
    assert table.routes[0].timeout == 5.0
    assert table.routes[0].max_event_gap == 0.2
    assert table.accounts[KEY].id == "workshop"
    model = table.services["model"].model
    assert model.layers == 8
    assert model.token_layer_mb == pytest.approx(0.1)
    assert model.crossing_seconds_per_token == pytest.approx(1000 * 8 / 18e9)
    assert table.services["desk"].model is None


def test_route_leaves_out_services_of_zero_weight():
    document = build_configuration()
    route = document["routes"][1]
    del route["service"]
    route["backends"] = [
        {"service": "desk", "weight": 90},
        {"service": "old", "weight": 0},
    ]
    found = decode(document).unwrap().table.routes[1]
    assert [item.service for item in found.services] == ["desk"]


# Guards against a version that no host puts in force, and no log line tells why.
@pytest.mark.parametrize("version", [0, -1, None, True, 7.5, "7", []])
def test_version_that_is_no_whole_number_above_zero_is_refused(version):
    assert decode(build_configuration(version)).is_err()


# Guards against zeros that raise an error instead of being refused.
@pytest.mark.parametrize("name", ["layers", "read_per_s"])
def test_engine_with_a_value_of_zero_is_refused(name):
    document = build_configuration()
    document["services"][0]["engine"][name] = 0
    assert decode(document).is_err()


LIMITS = ("max_header_bytes", "max_body_bytes", "header_timeout_ms", "idle_timeout_ms")


# Guards against a negative limit, which let bodies of any size in.
@pytest.mark.parametrize("name", LIMITS)
@pytest.mark.parametrize("value", [-1, -5.5, None, "", "1", True, [], {}])
def test_limit_that_is_no_number_is_refused(name, value):
    document = build_configuration()
    document["limits"] = {name: value}
    assert decode(document).is_err()


@pytest.mark.parametrize("limits", [[], "", 0, False, [1]])
def test_limits_that_are_no_object_are_refused(limits):
    assert decode({**build_configuration(), "limits": limits}).is_err()


@pytest.mark.parametrize("limits", [None, {}])
def test_missing_limits_have_their_defaults(limits):
    table = decode({**build_configuration(), "limits": limits}).unwrap().table
    assert table.limits == ClientLimits()


def test_limit_of_zero_bytes_allows_no_body():
    document = {**build_configuration(), "limits": {"max_body_bytes": 0}}
    assert decode(document).unwrap().table.limits.body_bytes == 0


@pytest.mark.parametrize("weight", [-1, None, "", "0", True])
def test_weight_that_is_no_number_is_refused(weight):
    document = build_configuration()
    document["routes"][1]["backends"] = [{"service": "desk", "weight": weight}]
    assert decode(document).is_err()


@pytest.mark.parametrize(
    "content", [b"", b"[]", b"{}", b'{"version": "x", "routes": [], "services": []}']
)
def test_malformed_configuration_is_refused(content):
    assert isinstance(decode_configuration(content), Err)


# Guards against routes that "false" opens to all callers or lets run twice.
@pytest.mark.parametrize("name", ["public", "resumable"])
@pytest.mark.parametrize("value", ["false", "no", "", 0, 1, 0.0, [], {}])
def test_flag_of_another_type_is_refused(name, value):
    document = build_configuration()
    document["routes"][0][name] = value
    assert decode(document).is_err()


@pytest.mark.parametrize("fields", [{}, {"public": None, "resumable": None}])
def test_missing_flag_is_not_set(fields):
    document = build_configuration()
    document["routes"][1] |= fields
    route = decode(document).unwrap().table.routes[1]
    assert not route.is_public and not route.is_resumable


# Guards against routes that take the requests of all paths, or of no host name.
@pytest.mark.parametrize(
    ("name", "value"),
    [
        ("prefix", ""),
        ("prefix", None),
        ("prefix", "/a"),
        ("prefix", "a/"),
        ("prefix", ["/"]),
        ("host", ""),
        ("host", None),
    ],
)
def test_route_without_a_host_or_a_whole_prefix_is_refused(name, value):
    document = build_configuration()
    document["routes"][0][name] = value
    assert decode(document).is_err()


def test_prefix_of_a_single_slash_is_whole():
    document = build_configuration()
    document["routes"][0]["prefix"] = "/"
    assert decode(document).unwrap().table.routes[0].prefix == "/"


def test_row_of_an_engine():
    row = decode_target("i-1", orjson.dumps(ROW), 12).unwrap()
    assert row.target.accelerator == "l4"
    assert row.target.layers == LayerRange(8, 16)
    assert not row.leaving and row.revision == 12


def test_row_of_a_leaving_empty_engine():
    fields = {**ROW, "phase": "draining", "layers": None}
    row = decode_target("i-1", orjson.dumps(fields), 12).unwrap()
    assert row.leaving and row.target.layers is None


def test_malformed_row_is_refused():
    assert isinstance(decode_target("i-1", b'{"zone": 1}', 1), Err)


def test_row_says_when_its_target_started():
    fields = {**ROW, "born": 1_796_000_000_123}
    assert (
        decode_target("i-1", orjson.dumps(fields), 12).unwrap().born == fields["born"]
    )
    assert decode_target("i-1", orjson.dumps(ROW), 12).unwrap().born == 0


@pytest.mark.parametrize(
    ("stated", "seconds"), [(2500, 2.5), (2500.0, 2.5), (-1, 0.0), (0, 0.0)]
)
def test_time_for_which_a_target_stays_cold_is_decoded(stated, seconds):
    content = orjson.dumps({**ROW, "cold_remaining_ms": stated})
    assert decode_target("i-1", content, 12).unwrap().cold_seconds == seconds


@pytest.mark.parametrize(
    "name", [*sorted(REQUIRED_ROW_FIELDS), "born", "layers", "route_type"]
)
@pytest.mark.parametrize("value", [True, 1.5, ["x"], {"from": "0", "target": 8}, "?"])
def test_row_with_a_field_of_the_wrong_type_is_refused(name, value):
    if name in ("service", "zone", "version", "route_type") and value == "?":
        return
    fields = {**ROW, name: value}
    if name == "cold_remaining_ms" and value == 1.5:
        return
    assert isinstance(decode_target("i-1", orjson.dumps(fields), 12), Err)


@pytest.mark.parametrize("name", sorted(REQUIRED_ROW_FIELDS))
def test_row_without_a_required_field_is_refused(name):
    fields = {key: value for key, value in ROW.items() if key != name}
    assert isinstance(decode_target("i-1", orjson.dumps(fields), 12), Err)


@pytest.mark.parametrize(
    "change",
    [
        {"phase": "resting"},
        {"address": "10.1.0.9"},
        {"address": "host.example:80"},
        {"address": "10.1.0.9:0"},
        {"address": "10.1.0.9:٣"},
        {"born": -1},
        {"layers": {"from": 8, "target": None}},
        {"layers": {"from": -1, "target": 4}},
    ],
)
def test_row_with_an_invalid_value_is_refused(change):
    assert isinstance(decode_target("i-1", orjson.dumps({**ROW, **change}), 12), Err)
