"""Headers of requests and answers, translated in both directions."""

import pytest
from multidict import CIMultiDict, CIMultiDictProxy
from result import Err

from marigoldswitch.core.catalogue import LayerRange, Load
from marigoldswitch.core.ids import AccountId, TargetId
from marigoldswitch.core.stages import Stage
from marigoldswitch.gateway.ports import ForwardOptions
from marigoldswitch.platform.headers import HeaderCodec

CODEC = HeaderCodec()
HEADERS = {
    "Host": "drafts.example",
    "Attempt-Id": "9c41",
    "Model": "m1",
    "Token-Usage": "1460,80",
    "Length-Hint": "33",
    "Prefix-Hash": "5c1e07a2:800,91bd3f06:410",
    "Deadline-Ms": "20000",
    "Authorization": "Token secret",
    "Connection": "keep-alive, X-Only-Here",
    "X-Only-Here": "1",
    "Keep-Alive": "timeout=5",
    "Tenant": "forged",
    "Expect-Replica": "forged",
    "Hop-Count": "forged",
    "Request-Priority": "0",
    "X-Other": "kept",
}


def read(headers):
    return CODEC.read_call("POST", "/a?b=1", CIMultiDictProxy(CIMultiDict(headers)))


def write(call, **fields):
    sending = ForwardOptions(TargetId("i-7"), 1.5, AccountId("workshop"), 1, **fields)
    return CODEC.write_headers(call, sending)


def test_call_headers_are_decoded():
    call = read(HEADERS).unwrap()
    assert (call.id, call.host, call.path) == ("9c41", "drafts.example", "/a?b=1")
    assert call.api_key == "secret"
    assert call.timeout == 20.0
    assert (call.prompt_tokens, call.answer_tokens) == (1460, 33)
    assert call.prompt_parts == ("5c1e07a2", "91bd3f06")


@pytest.mark.parametrize(
    ("text", "parts"),
    [
        ("", ()),
        (",, :5", ()),
        ("5C1E:800 , x", ("5c1e", "x")),
        (",".join(f"{number:x}:1" for number in range(100)), 64),
    ],
)
def test_parts_of_a_prompt_are_read_and_never_refused(text, parts):
    call = read(HEADERS | {"Prefix-Hash": text}).unwrap()
    assert parts in (call.prompt_parts, len(call.prompt_parts))
    assert write(call)["Prefix-Hash"] == text


def test_forged_headers_are_replaced_or_dropped():
    headers = write(read(HEADERS).unwrap())
    assert headers["Deadline-Ms"] == "1500"
    assert headers.getall("Tenant") == ["workshop"]
    assert headers.getall("Expect-Replica") == ["i-7"]
    assert headers["X-Other"] == "kept"
    assert headers["Prefix-Hash"] == HEADERS["Prefix-Hash"]
    for name in ("Authorization", "Connection", "X-Only-Here", "Keep-Alive"):
        assert name not in headers
    assert "Hop-Count" not in headers


def test_account_of_a_caller_without_a_key_is_not_passed_on():
    sending = ForwardOptions(TargetId("i-7"), 1.5, None, 1)
    assert "Tenant" not in CODEC.write_headers(read(HEADERS).unwrap(), sending)


def test_chain_and_last_event_are_sent():
    chain = (
        Stage(TargetId("i-7"), "10.1.64.9:8080", LayerRange(0, 20)),
        Stage(TargetId("i-8"), "10.2.64.3:8080", LayerRange(20, 80)),
    )
    headers = write(read(HEADERS).unwrap(), chain=chain, last_event="12")
    assert headers["Hop-Count"] == "10.1.64.9:8080=0-20,10.2.64.3:8080=20-80"
    assert headers["Last-Event-Id"] == "12"
    assert headers["Request-Priority"] == "1"


@pytest.mark.parametrize(
    "headers", [{"Deadline-Ms": "x"}, {"Deadline-Ms": "-1"}, {"Token-Usage": "many"}]
)
def test_malformed_headers_are_refused(headers):
    assert isinstance(read({**HEADERS, **headers}), Err)


def read_reply(status, headers):
    return CODEC.read_reply(status, CIMultiDictProxy(CIMultiDict(headers)))


def test_reply_says_whether_the_request_has_run():
    full = read_reply(503, {"Not-Executed": "1", "At-Server": "10.1.0.1:80"})
    assert full.not_run and not full.wrong_target
    assert full.at_fault == "10.1.0.1:80"
    other = read_reply(421, {"Replica-Id": "i-9"})
    assert other.not_run and other.wrong_target
    assert not read_reply(503, {}).not_run
    assert read_reply(503, {"Not-Executed": "1", "Retry-After": "3"}).pause == 3.0
    assert read_reply(200, {"Retry-After": "3"}).pause is None


def test_reply_headers_are_decoded():
    facts = read_reply(200, {"Attempt-Id": "9c41", "Replica-Signature": "3e1b"})
    assert facts.is_signed and facts.request == "9c41"
    assert not read_reply(200, {}).is_signed
    assert read_reply(200, {"Content-Encoding": "gzip"}).is_encoded
    assert read_reply(200, {"Replica-Load": "3,1,8"}).load == Load(3, 1)


def test_refusal_sets_retry_after_and_attempt_id():
    headers = CODEC.write_refusal(read(HEADERS).unwrap(), 0.25)
    assert headers["Retry-After"] == "0.25"
    assert headers["Attempt-Id"] == "9c41"


def test_another_host_reads_a_callers_request_as_this_one_has():
    call = read(HEADERS).unwrap()
    headers = CODEC.write_caller_headers(call, 1.5, "12")
    again = read(headers).unwrap()
    assert (again.id, again.host, again.api_key) == ("9c41", "drafts.example", "secret")
    assert (again.timeout, again.last_event) == (1.5, "12")
    assert again.tokens == call.tokens
    assert dict(again.headers) == dict(call.headers)
    assert "Tenant" not in headers and "Hop-Count" not in headers
