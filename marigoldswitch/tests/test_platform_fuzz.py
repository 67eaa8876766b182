"""Input from outside never raises an exception: it is decoded or refused."""

import orjson
from hypothesis import given, strategies as st
from multidict import CIMultiDict, CIMultiDictProxy
from result import Err, Ok

from marigoldswitch.platform.configuration import decode_configuration, decode_target
from marigoldswitch.platform.engines import decode_report
from marigoldswitch.platform.headers import HeaderCodec
from marigoldswitch.platform.settings import list_faults
from marigoldswitch.tests.gateway_site import build_configuration

CODEC = HeaderCodec()
HEADER_NAMES = (
    "Host",
    "Attempt-Id",
    "Deadline-Ms",
    "Token-Usage",
    "Length-Hint",
    "Authorization",
    "Last-Event-Id",
    "Connection",
    "Replica-Load",
    "Not-Executed",
    "At-Server",
    "Content-Encoding",
)
HEADER_VALUES = st.one_of(
    st.text(st.characters(min_codepoint=32, max_codepoint=255), max_size=20),
    st.sampled_from(["nan", "inf", "-1", "1e999", "1,2", "²,3", "Token ", "0" * 5000]),
)
HEADERS = st.lists(st.tuples(st.sampled_from(HEADER_NAMES), HEADER_VALUES), max_size=8)
JSON_VALUES = st.recursive(
    st.one_of(
        st.none(),
        st.booleans(),
        st.integers(-(2**53), 2**53),
        st.floats(allow_nan=False, allow_infinity=False),
        st.text(max_size=8),
    ),
    lambda inner: st.one_of(
        st.lists(inner, max_size=3), st.dictionaries(st.text(max_size=8), inner)
    ),
    max_leaves=8,
)


@given(HEADERS)
def test_any_head_of_a_request(headers):
    read = CODEC.read_call("POST", "/", CIMultiDictProxy(CIMultiDict(headers)))
    assert isinstance(read, Ok | Err)


@given(st.integers(100, 599), HEADERS)
def test_any_head_of_an_answer(status, headers):
    facts = CODEC.read_reply(status, CIMultiDictProxy(CIMultiDict(headers)))
    assert facts.not_run == ("Not-Executed" in dict(headers) or status == 421)


@given(st.data())
def test_any_field_of_a_configuration_may_be_anything(data):
    document = build_configuration()
    part = data.draw(
        st.sampled_from(
            [
                document,
                document["routes"][0],
                document["services"][0],
                document["services"][0]["engine"],
                document["services"][0]["engine"]["kinds"][0],
                document["tenants"][0],
                document["limits"],
            ]
        )
    )
    part[data.draw(st.sampled_from(sorted(part)))] = data.draw(JSON_VALUES)
    assert isinstance(decode_configuration(orjson.dumps(document)), Ok | Err)


@given(st.binary(max_size=40))
def test_any_bytes_as_a_configuration_or_a_row(content):
    assert isinstance(decode_configuration(content), Ok | Err)
    assert isinstance(decode_target("i-1", content, 1), Ok | Err)


@given(
    st.dictionaries(
        st.sampled_from(["service", "address", "zone", "layers"]), JSON_VALUES
    )
)
def test_any_row_of_a_target(fields):
    row = {"service": "s", "address": "a:1", "zone": "z", **fields}
    assert isinstance(decode_target("i-1", orjson.dumps(row), 1), Ok | Err)


@given(JSON_VALUES)
def test_any_settings(fields):
    assert list_faults(fields) or isinstance(fields, dict)


REPORT_KEYS = ["layers", "busy", "sequence", "pace", "stalled"]


@given(
    st.one_of(JSON_VALUES, st.dictionaries(st.sampled_from(REPORT_KEYS), JSON_VALUES))
)
def test_any_report_of_an_engine(fields):
    status = decode_report(orjson.dumps(fields))
    assert status is None or status.slowness > 0.0
