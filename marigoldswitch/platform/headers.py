"""Translates headers of the platform's callers and targets to the gateway's types."""

from collections.abc import Sequence

from multidict import CIMultiDict, CIMultiDictProxy
from result import Err, Ok, Result

from marigoldswitch.core.catalogue import Load
from marigoldswitch.core.ids import PromptPartId, RequestId
from marigoldswitch.core.retry_after import parse_retry_after
from marigoldswitch.core.stages import Stage
from marigoldswitch.gateway.ports import Call, ForwardOptions, ReplyFacts

ATTEMPT_ID = "Attempt-Id"
"""Id of one attempt of the caller; the gateway's own retries share it."""
DEADLINE = "Deadline-Ms"
"""Milliseconds left, counted from the moment of sending; not a point in time."""
MODEL = "Model"
TOKENS = "Token-Usage"
"""Tokens of the prompt and most tokens of the answer. Despite its name the header comes
with the request, before any token is used."""
PREFIX = "Prefix-Hash"
"""Parts of the prompt in order, as ``id:tokens`` with hexadecimal ids, separated by
commas."""
LENGTH_HINT = "Length-Hint"
"""Length of the answer that the caller expects, in tokens."""
LAST_EVENT_ID = "Last-Event-Id"
SIGNATURE = "Replica-Signature"
EXPECT_TARGET = "Expect-Replica"
TARGET_LOAD = "Replica-Load"
RATE_LIMIT = "Server-Limit"
"""Requests a second that a target takes from all hosts together."""
LEAVING = "Server-Leaving"
ACCOUNT = "Tenant"
PRIORITY = "Request-Priority"
CHAIN = "Hop-Count"
"""The stages of the chain, despite its name not their number."""
NOT_RUN = "Not-Executed"
AT_FAULT = "At-Server"
"""``IP:port`` of the engine that caused a refusal."""
AUTHORIZATION = "Authorization"
KEY_SCHEME = "token"
RETRY_AFTER = "Retry-After"

HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
"""Headers that apply to a single connection (RFC 9110, section 7.6.1)."""
UNFORWARDED_HEADERS = frozenset(
    name.lower()
    for name in (
        DEADLINE,
        LAST_EVENT_ID,
        EXPECT_TARGET,
        ACCOUNT,
        PRIORITY,
        CHAIN,
        AUTHORIZATION,
        "Content-Length",
        "Expect",
    )
)
"""Headers of a caller that are never forwarded as received. The gateway writes some of
them itself, so that callers cannot forge them."""
MILLISECONDS_PER_SECOND = 1000.0
LOWEST_PRIORITY = 9
MAX_PROMPT_PARTS = 64
"""Parts that are read of a prompt, as its caller may name any number."""
HTTP_MISDIRECTED_REQUEST = 421
HTTP_SERVICE_UNAVAILABLE = 503


class HeaderCodec:
    """Translates headers of requests and answers; implements ``CallCodec``."""

    def read_call(
        self, method: str, path: str, headers: CIMultiDictProxy[str]
    ) -> Result[Call, str]:
        """Decode a caller's request, or return what is wrong with it."""
        host = headers.get("Host", "")
        request = headers.get(ATTEMPT_ID, "")
        if not request:
            # Targets refuse it, and their answers could not be told from others.
            return Err(f"{ATTEMPT_ID} is missing")
        try:
            wait = _read_deadline(headers.get(DEADLINE))
            prompt_tokens, answer_tokens = _read_tokens(headers)
        except ValueError as error:
            return Err(str(error))
        return Ok(
            Call(
                RequestId(request),
                method,
                host,
                path,
                _read_key(headers.get(AUTHORIZATION)),
                wait,
                headers.get(LAST_EVENT_ID),
                prompt_tokens,
                answer_tokens,
                _copy_end_to_end(headers, UNFORWARDED_HEADERS),
                _read_prompt_parts(headers.getall(PREFIX, ())),
            )
        )

    def write_caller_headers(
        self, call: Call, timeout: float, last_event: str | None
    ) -> CIMultiDict[str]:
        """Return the headers with which another host gets a caller's request.

        :param timeout: seconds left for the answer.
        :param last_event: id of the last event that the caller has received.
        """
        headers = CIMultiDict(call.headers)
        headers[DEADLINE] = _write_deadline(timeout)
        if call.api_key is not None:
            headers[AUTHORIZATION] = f"{KEY_SCHEME} {call.api_key}"
        if last_event is not None:
            headers[LAST_EVENT_ID] = last_event
        return headers

    def write_headers(self, call: Call, sending: ForwardOptions) -> CIMultiDict[str]:
        """Return the headers of a request that is sent to a target."""
        headers = CIMultiDict(call.headers)
        headers[DEADLINE] = _write_deadline(sending.timeout)
        headers[EXPECT_TARGET] = sending.target
        if sending.account is not None:
            headers[ACCOUNT] = sending.account
        if sending.last_event is not None:
            headers[LAST_EVENT_ID] = sending.last_event
        if sending.chain:
            headers[CHAIN] = write_chain(sending.chain)
            headers[PRIORITY] = str(min(LOWEST_PRIORITY, max(0, sending.priority)))
        return headers

    def read_reply(self, status: int, headers: CIMultiDictProxy[str]) -> ReplyFacts:
        """Decode the status and the headers of a target's answer."""
        request = headers.get(ATTEMPT_ID)
        misdirected = status == HTTP_MISDIRECTED_REQUEST
        rate_limit = _read_rate_limit(headers.getall(RATE_LIMIT, ()))
        return ReplyFacts(
            RequestId(request) if request is not None else None,
            NOT_RUN in headers or misdirected,
            misdirected and AT_FAULT not in headers,
            SIGNATURE in headers,
            headers.get("Content-Encoding", "identity") != "identity",
            headers.get(AT_FAULT),
            _read_load(headers.get(TARGET_LOAD)),
            rate_limit,
            _read_pause(status, headers.getall(RETRY_AFTER, ())),
            headers.get(LEAVING, "").strip() == "1",
            rate_limit is None and RATE_LIMIT in headers,
        )

    def write_reply(self, headers: CIMultiDictProxy[str]) -> CIMultiDict[str]:
        """Return the headers of a target's answer that are forwarded to the caller."""
        return _copy_end_to_end(
            headers, frozenset({"content-length", TARGET_LOAD.lower()})
        )

    def write_refusal(
        self, call: Call | None, retry_after: float | None
    ) -> CIMultiDict[str]:
        """Return the headers of a refusal by the gateway itself.

        :param call: ``None`` if the request could not be decoded.
        :param retry_after: seconds after which the caller may try again, if known.
        """
        headers: CIMultiDict[str] = CIMultiDict()
        if call is not None and call.id:
            headers[ATTEMPT_ID] = call.id
        if retry_after is not None:
            headers[RETRY_AFTER] = f"{retry_after:.2f}"
        return headers


def write_chain(chain: Sequence[Stage]) -> str:
    """Encode a chain for engines: ``IP:port=first-end``, separated by commas."""
    return ",".join(
        f"{item.address}={item.layers.first}-{item.layers.end}" for item in chain
    )


def _copy_end_to_end(
    headers: CIMultiDictProxy[str], also_excluded: frozenset[str]
) -> CIMultiDict[str]:
    """Return the end-to-end headers, less some others.

    :param also_excluded: names in lower case.
    """
    connection_options = {
        name.strip().lower()
        for value in headers.getall("Connection", ())
        for name in value.split(",")
    }
    excluded = HOP_BY_HOP | connection_options | also_excluded
    return CIMultiDict(
        (name, value) for name, value in headers.items() if name.lower() not in excluded
    )


def _read_deadline(text: str | None) -> float | None:
    """Return the seconds that a caller waits, if it says so.

    :raises ValueError: if it is not a finite number of at least 0.
    """
    if text is None:
        return None
    try:
        wait = float(text) / MILLISECONDS_PER_SECOND
    except ValueError:
        raise ValueError(f"{DEADLINE} is not a number") from None
    if not 0.0 <= wait < float("inf"):
        raise ValueError(f"{DEADLINE} is out of range")
    return wait


def _write_deadline(seconds: float) -> str:
    return str(max(1, int(seconds * MILLISECONDS_PER_SECOND)))


def _read_tokens(headers: CIMultiDictProxy[str]) -> tuple[int, int]:
    """Return the tokens of the prompt and the expected ones of the answer.

    :return: zeros if the caller does not say.
    :raises ValueError: if the header is malformed.
    """
    text = headers.get(TOKENS)
    if text is None:
        return 0, 0
    prompt, _, most_answer = text.partition(",")
    if not prompt.strip().isdigit() or not most_answer.strip().isdigit():
        raise ValueError(f"{TOKENS} is not two numbers")
    expected = int(most_answer)
    hint = headers.get(LENGTH_HINT, "").strip()
    if hint.isdigit():
        expected = min(expected, int(hint))
    return int(prompt), expected


def _read_prompt_parts(values: Sequence[str]) -> tuple[PromptPartId, ...]:
    """Return the ids of a prompt's parts; entries without one are ignored."""
    entries = ",".join(values).split(",")
    names = (item.partition(":")[0].strip().lower() for item in entries)
    return tuple(PromptPartId(item) for item in names if item)[:MAX_PROMPT_PARTS]


def _read_key(text: str | None) -> str | None:
    """Return the key of an ``Authorization`` header of the scheme ``token``."""
    if text is None:
        return None
    scheme, _, key = text.strip().partition(" ")
    return key.strip() if scheme.lower() == KEY_SCHEME else None


def _read_rate_limit(values: Sequence[str]) -> float | None:
    """Return the lowest rate that an answer states, in requests a second, if any.

    Values that are no finite number of at least 0 are ignored.
    """
    rates = (_read_rate(text) for text in values)
    return min((rate for rate in rates if rate is not None), default=None)


def _read_rate(text: str) -> float | None:
    try:
        rate = float(text)
    except ValueError:
        return None
    return rate if 0.0 <= rate < float("inf") else None


def _read_pause(status: int, values: Sequence[str]) -> float | None:
    """Return the longest time that a refusal asks for, in seconds, if any."""
    if status != HTTP_SERVICE_UNAVAILABLE:
        return None
    pauses = (parse_retry_after(text) for text in values)
    return max((seconds for seconds in pauses if seconds is not None), default=None)


def _read_load(text: str | None) -> Load | None:
    """Return the running and waiting requests that a target states, if well-formed."""
    parts = (text or "").split(",")
    if len(parts) < 2 or not all(item.strip().isdigit() for item in parts[:2]):
        return None
    return Load(int(parts[0]), int(parts[1]))
