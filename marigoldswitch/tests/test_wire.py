"""Messages survive encoding and decoding; malformed bytes yield an error."""

from hypothesis import given, strategies as st
from result import Err, Ok

from marigoldswitch.core import messages
from marigoldswitch.core.catalogue import Load
from marigoldswitch.core.errors import ErrorKind
from marigoldswitch.tests.helpers import build_ask
from marigoldswitch.wire import MessageCodec

CODEC = MessageCodec(messages.Message)

SAMPLES = [
    build_ask("r", avoid=("a", "b")),
    messages.Deny("r", 1, ErrorKind.SATURATED, 1.5),
    messages.Grant("r", 1, "p", "drafting", "host-0", ("a", "b")),
    messages.Release(
        "p",
        "drafting",
        "host-0",
        1.0,
        (messages.TargetReport("a", 0.5, load=Load(1, 2)),),
    ),
    messages.Holdings(
        "drafting",
        "hobart",
        "host-0",
        (messages.HeldPermit("p", "r", ("a",)),),
        (build_ask("q"),),
    ),
    messages.BundleContent(3, b"record", b"content"),
]


def test_decoding_restores_each_message():
    for message in SAMPLES:
        assert CODEC.decode(CODEC.encode(message)) == Ok(message)


@given(st.binary(max_size=200))
def test_malformed_bytes_are_an_error(data):
    assert isinstance(CODEC.decode(data), Err)


@given(st.integers(0, len(SAMPLES) - 1), st.integers(0, 400), st.integers(0, 255))
def test_damaged_messages_never_raise(index, place, value):
    data = bytearray(CODEC.encode(SAMPLES[index]))
    data[place % len(data)] = value
    CODEC.decode(bytes(data))
