"""Interfaces and types that a platform adapter provides to the gateway.

They are independent of the names used by the platform's protocol.
"""

from collections.abc import Sequence
from enum import Enum
from typing import Protocol

from msgspec import Struct
from multidict import CIMultiDict, CIMultiDictProxy
from result import Result

from marigoldswitch.core.catalogue import LayerRange, Load
from marigoldswitch.core.ids import AccountId, PromptPartId, RequestId, TargetId
from marigoldswitch.core.ports import Row, StoreFault
from marigoldswitch.core.registry import TargetRow
from marigoldswitch.core.routes import RoutingTable
from marigoldswitch.core.stages import Stage


class Call(Struct, frozen=True):
    """A caller's decoded request.

    :param id: unique id of this attempt of the caller; never reused.
    :param path: path and query, as received.
    :param api_key: API key that identifies the caller's client account, if given.
    :param timeout: seconds that the caller waits for the answer, if given.
    :param last_event: id of the last stream event that the caller has received.
    :param prompt_tokens: tokens of the prompt; 0 if unknown.
    :param answer_tokens: estimated tokens of the answer.
    :param headers: headers to forward.
    :param prompt_parts: parts of the prompt, in order; empty if the caller names none.
    """

    id: RequestId
    method: str
    host: str
    path: str
    api_key: str | None
    timeout: float | None
    last_event: str | None
    prompt_tokens: int
    answer_tokens: int
    headers: CIMultiDict[str]
    prompt_parts: tuple[PromptPartId, ...] = ()

    @property
    def tokens(self) -> int:
        """Return the expected context length of the request, in tokens."""
        return self.prompt_tokens + self.answer_tokens


class ForwardOptions(Struct, frozen=True):
    """Parameters with which a request is forwarded to a target.

    :param timeout: seconds that the target may take.
    :param account: client account of the caller, if it gave a key.
    :param priority: rank of the request; 0 is the highest.
    :param chain: the engines that run a model request, in order.
    :param last_event: id of the last event received, after which the stream resumes.
    """

    target: TargetId
    timeout: float
    account: AccountId | None
    priority: int
    chain: Sequence[Stage] = ()
    last_event: str | None = None


class ReplyFacts(Struct, frozen=True):
    """Facts from the head of a target's answer.

    :param request: id of the answered request, if given.
    :param not_run: the target guarantees that the request has not run.
    :param wrong_target: another target uses the address now.
    :param is_signed: the answer carries the signature header of a target's own answers.
    :param is_encoded: the body is encoded, so the answer is not the target's own.
    :param at_fault: ``IP:port`` of the engine of the chain that caused a failure.
    :param load: load that the target reports, if any.
    :param rate_limit: requests a second that the target takes from all hosts together,
        if it states a limit.
    :param is_limit_unreadable: it states a limit that can't be read.
    :param pause: seconds for which the target wants no requests of this host, if it has
        refused this one and says so.
    :param is_leaving: the target says that it is shutting down.
    """

    request: RequestId | None
    not_run: bool
    wrong_target: bool
    is_signed: bool
    is_encoded: bool
    at_fault: str | None
    load: Load | None
    rate_limit: float | None = None
    pause: float | None = None
    is_leaving: bool = False
    is_limit_unreadable: bool = False


class CallCodec(Protocol):
    """Translates heads of requests and answers for the platform's protocol."""

    def read_call(
        self, method: str, path: str, headers: CIMultiDictProxy[str]
    ) -> Result[Call, str]:
        """Decode a caller's request, or return what is wrong with it."""
        ...

    def write_caller_headers(
        self, call: Call, timeout: float, last_event: str | None
    ) -> CIMultiDict[str]:
        """Return the headers with which another host gets a caller's request.

        :param timeout: seconds left for the answer.
        :param last_event: id of the last event that the caller has received.
        """
        ...

    def write_headers(self, call: Call, sending: ForwardOptions) -> CIMultiDict[str]:
        """Return the headers with which a request goes to a target."""
        ...

    def read_reply(self, status: int, headers: CIMultiDictProxy[str]) -> ReplyFacts:
        """Decode the head of a target's answer."""
        ...

    def write_reply(self, headers: CIMultiDictProxy[str]) -> CIMultiDict[str]:
        """Return the headers of a target's answer that go to the caller."""
        ...

    def write_refusal(
        self, call: Call | None, retry_after: float | None
    ) -> CIMultiDict[str]:
        """Return the headers of an error answer that this host writes itself.

        :param call: the refused request, if it could be decoded.
        :param retry_after: seconds after which the caller may retry, if known.
        """
        ...


class StalledRequest(Struct, frozen=True):
    """A request on an engine that is blocked by another engine of its chain.

    :param address: ``IP:port`` of the blocking engine.
    """

    request: RequestId
    address: str


class EngineStatus(Struct, frozen=True):
    """State that an engine reports, delayed by a few hundred milliseconds.

    :param layers: the layers that it holds, if any.
    :param is_busy: it is carrying out an order.
    :param sequence: number of orders that it has begun since it started.
    :param slowness: its step time relative to the usual one.
    :param stalled: requests whose chain begins here and that wait for another engine.
    :param born: when it started, in ms since 1970; 0 if not reported.
    """

    layers: LayerRange | None
    is_busy: bool
    sequence: int
    slowness: float = 1.0
    stalled: tuple[StalledRequest, ...] = ()
    born: int = 0


class OrderResult(Enum):
    """How an engine responded to an order."""

    BEGUN = "begun"
    DONE = "done"
    CONFLICT = "conflict"
    """The order does not match the engine's state and had no effect."""
    ABSENT = "absent"
    """The engine does not have the request that the order concerns."""
    UNKNOWN = "unknown"
    """No usable answer: the order may have been accepted or may still take effect."""


class OrderReply(Struct, frozen=True):
    """The answer to an order.

    :param at_fault: ``IP:port`` of the engine that prevents the order, if any.
    """

    result: OrderResult
    at_fault: str | None = None


class EngineGone(Struct, frozen=True):
    """Nothing listens at an engine's address any more; its process has ended."""


class EngineSilent(Struct, frozen=True):
    """A new connection to an engine was opened, and brought no answer in time.

    The engine may be paused, but this host reaches it.
    """


class EngineWithoutReport(Struct, frozen=True):
    """A process has answered without a status report; nothing else is known of it.

    :param has_reports: whether it supports reports; without them it is no engine.
    """

    has_reports: bool = True


EngineAnswer = EngineStatus | EngineGone | EngineWithoutReport


class EngineControl(Protocol):
    """Reads the status of engines and sends them orders."""

    async def read(
        self, address: str, timeout: float, new_connection: bool = False
    ) -> EngineAnswer | EngineSilent | None:
        """Return an engine's answer to a status request, or ``None`` if there is none.

        :param address: ``IP:port`` of the engine.
        :param timeout: in seconds.
        :param new_connection: use a new connection, not a pooled one.
        """
        ...

    async def place(
        self, address: str, layers: LayerRange, sequence: int
    ) -> OrderReply:
        """Order an engine to hold a range of layers.

        :param sequence: number of orders that it must have begun so far; otherwise it
            rejects this one.
        """
        ...

    async def reroute(
        self, address: str, request: RequestId, chain: Sequence[Stage]
    ) -> OrderReply:
        """Order the first engine of a request to continue it over another chain."""
        ...


class StoredConfiguration(Struct, frozen=True):
    """A configuration, decoded and as stored by the platform.

    :param content: the stored bytes, to be passed on to hosts that lack them.
    """

    table: RoutingTable
    content: bytes


class TargetChanges(Struct, frozen=True):
    """Changed rows of targets.

    :param rows: rows that were written.
    :param removed: targets whose rows were deleted.
    :param revision: revision of the store up to which the changes are complete.
    :param is_full_list: ``rows`` is the complete list instead of changes.
    """

    rows: Sequence[TargetRow]
    removed: Sequence[TargetId]
    revision: int
    is_full_list: bool = False


class FeedFault(Enum):
    """Why a read of a feed failed."""

    UNAVAILABLE = "unavailable"
    HISTORY_GONE = "history_gone"
    MALFORMED = "malformed"
    """The store's answer can't be read."""
    UNREADABLE = "unreadable"
    """The store answers, and the newest configuration that it holds can't be read."""


class PlatformFeeds(Protocol):
    """Feeds of the platform's configuration and targets."""

    async def wait_configuration(
        self, revision: int, seconds: float
    ) -> Result[tuple[StoredConfiguration | None, int], FeedFault]:
        """Wait for a configuration newer than a revision.

        :param revision: last known revision; 0 to read the configuration at once.
        :param seconds: longest time to wait.
        :return: the configuration, or ``None`` if there is no newer one, and the
            revision to wait from next.
        """
        ...

    async def wait_targets(
        self, revision: int, seconds: float
    ) -> Result[TargetChanges, FeedFault]:
        """Wait for changes of the targets after a revision.

        :param revision: last known revision; 0 to read all targets at once.
        :param seconds: longest time to wait.
        """
        ...

    def decode_configuration(self, content: bytes) -> Result[StoredConfiguration, str]:
        """Decode a configuration that a peer has passed on, or return what is wrong."""
        ...


class VersionedTable(Protocol):
    """Table service with conditional writes of single rows."""

    async def read(self, table: str, key: str) -> Result[Row | None, StoreFault]:
        """Return one row, or ``None`` if it does not exist."""
        ...

    async def write(
        self, table: str, key: str, value: bytes, expect: int
    ) -> Result[int, StoreFault]:
        """Write a row if its version is as expected; return its new version.

        :param expect: version that the row must have; 0 if it must not exist.
        """
        ...


class HostRecord(Struct, frozen=True):
    """The row by which other hosts find a gateway host in the store.

    :param address: ``IP:port`` of its peer listener, which is also its id.
    :param strength: strength of its link; 0 if unknown.
    """

    address: str
    data_centre: str
    strength: int = 0


class HostDirectory(Protocol):
    """Rows of the store by which gateway hosts find each other."""

    async def register(self, record: HostRecord) -> Result[None, StoreFault]:
        """Write this host's row."""
        ...

    async def deregister(self, record: HostRecord) -> Result[None, StoreFault]:
        """Delete a host's row."""
        ...

    async def list_hosts(self) -> Result[Sequence[HostRecord], StoreFault]:
        """Return all rows."""
        ...


class Identity(Struct, frozen=True):
    """Identity of this host.

    :param host: ``IP:port`` of its peer listener.
    :param strength: strength of its link, as announced to other hosts.
    """

    host: str
    name: str
    data_centre: str
    region: str
    strength: int = 0


class Addresses(Struct, frozen=True):
    """Listening addresses of this host, as ``IP:port``.

    :param proxied: for callers' requests that come by way of other hosts.
    """

    callers: str
    readiness: str
    peers: str
    metrics: str = ""
    proxied: str = ""


class HostSettings(Struct, frozen=True):
    """Settings of one host, as given by its platform.

    :param seeds: peer listeners of some hosts; they may be out of date.
    :param stop_seconds: time from the stop signal until the process is killed.
    :param retry_allowance: retries a second that all hosts together may always send to
        a service.
    :param retry_share: further retries that they may send, as a share of requests.
    :param link_bytes: capacity of this host's link, in bytes a second.
    :param touch_seconds: time without failures after which a host must have applied
        what the store holds.
    :param leaving_seconds: time from the store's record that a target leaves until no
        request may reach it.
    :param is_first_start: no process of this host has run before.
    :param configuration_seconds: time from the store's record of a configuration until
        it must be in force.
    :param store_reads: reads a second that the store allows all hosts together.
    :param memory_bytes: memory that the process may use, with what waits unread in its
        sockets.
    :param descriptors: descriptors that the process may open.
    """

    identity: Identity
    addresses: Addresses
    seeds: tuple[str, ...] = ()
    stop_seconds: float = 8.0
    retry_allowance: float = 5.0
    retry_share: float = 0.1
    link_bytes: float = 125e6
    touch_seconds: float = 3.0
    leaving_seconds: float = 2.0
    is_first_start: bool = False
    configuration_seconds: float = 2.0
    store_reads: float = 2000.0
    memory_bytes: float = 256 * 1024 * 1024
    descriptors: int = 4096
