"""What the gateway needs of a platform, as types and interfaces.

An adapter implements these; nothing here knows a name of the platform's protocol.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from multidict import CIMultiDict, CIMultiDictProxy
from result import Result

from marigoldswitch.core.catalogue import LayerRange, Load
from marigoldswitch.core.ids import AccountId, RequestId, TargetId
from marigoldswitch.core.ports import Row, StoreFault
from marigoldswitch.core.registry import TargetRow
from marigoldswitch.core.routes import RoutingTable
from marigoldswitch.core.stages import Stage


@dataclass(frozen=True, slots=True)
class Call:
    """A caller's request, decoded.

    :param id: names this attempt of the caller; never used again.
    :param path: path and query, as they came.
    :param key: what the caller showed to say whose client account it is.
    :param wait: seconds that the caller waits for the answer, if it said so.
    :param last_event: id of the last event that the caller has of a stream.
    :param prompt_tokens: tokens of the prompt; 0 where unknown.
    :param answer_tokens: tokens of the answer, as far as can be told.
    :param headers: those to pass on.
    """

    id: RequestId
    method: str
    host: str
    path: str
    key: str | None
    wait: float | None
    last_event: str | None
    prompt_tokens: int
    answer_tokens: int
    headers: CIMultiDict[str]

    @property
    def tokens(self) -> int:
        """Return the context that the request is expected to reach."""
        return self.prompt_tokens + self.answer_tokens


@dataclass(frozen=True, slots=True)
class Sending:
    """How a request is sent to a target.

    :param left: seconds that the target may take.
    :param account: client account of the caller, if it showed a key.
    :param priority: rank of the request; 0 comes first.
    :param chain: the engines it passes through, for a model request.
    :param last_event: id of the last event received, to go on after it.
    """

    target: TargetId
    left: float
    account: AccountId | None
    priority: int
    chain: Sequence[Stage] = ()
    last_event: str | None = None


@dataclass(frozen=True, slots=True)
class ReplyFacts:
    """What the head of a target's answer says.

    :param request: the request that it answers, if it names one.
    :param not_run: the target promises that the request has not run.
    :param wrong_target: another target has the address now.
    :param is_signed: it bears the mark of a target's own answer.
    :param is_encoded: its body is encoded, so that it is not the target's.
    :param at_fault: ``IP:port`` of the engine of the chain that is to blame, if any.
    :param load: what the target says of its load.
    """

    request: RequestId | None
    not_run: bool
    wrong_target: bool
    is_signed: bool
    is_encoded: bool
    at_fault: str | None
    load: Load | None


class CallCodec(Protocol):
    """Translates heads of requests and answers."""

    def read_call(
        self, method: str, path: str, headers: CIMultiDictProxy[str]
    ) -> Result[Call, str]:
        """Return a caller's request, or what is wrong with it."""
        ...

    def write_headers(self, call: Call, sending: Sending) -> CIMultiDict[str]:
        """Return the headers with which a request goes to a target."""
        ...

    def read_reply(self, status: int, headers: CIMultiDictProxy[str]) -> ReplyFacts:
        """Return what the head of a target's answer says."""
        ...

    def write_reply(self, headers: CIMultiDictProxy[str]) -> CIMultiDict[str]:
        """Return the headers of a target's answer that go to the caller."""
        ...

    def write_refusal(self, call: Call | None, wait: float | None) -> CIMultiDict[str]:
        """Return the headers of an answer of our own."""
        ...


@dataclass(frozen=True, slots=True)
class StalledRequest:
    """A request that an engine holds and that waits for another engine.

    :param address: ``IP:port`` of that engine.
    """

    request: RequestId
    address: str


@dataclass(frozen=True, slots=True)
class EngineStatus:
    """What an engine says of itself, some hundred milliseconds late.

    :param layers: those that it holds.
    :param is_busy: it carries out an order.
    :param sequence: orders that it has begun since it started.
    :param slowness: its time for a step over the usual one.
    :param stalled: requests that it received first and that wait for another engine.
    :param born: when it started, in ms since 1970; 0 where it does not say.
    """

    layers: LayerRange | None
    is_busy: bool
    sequence: int
    slowness: float = 1.0
    stalled: tuple[StalledRequest, ...] = ()
    born: int = 0


class OrderResult(Enum):
    """How an engine took an order."""

    BEGUN = "begun"
    DONE = "done"
    CONFLICT = "conflict"
    """It does not fit the engine's state; nothing was done."""
    ABSENT = "absent"
    """The request that it concerns is not there."""
    UNKNOWN = "unknown"
    """No answer: it may have been taken, or may be carried out later."""


@dataclass(frozen=True, slots=True)
class OrderReply:
    """The answer to an order.

    :param at_fault: ``IP:port`` of the engine that stands in its way, if any.
    """

    result: OrderResult
    at_fault: str | None = None


@dataclass(frozen=True, slots=True)
class EngineGone:
    """Nothing listens at an engine's address any more: its process has ended."""


@dataclass(frozen=True, slots=True)
class EngineMute:
    """A target has answered, and not with a report: it lives, no more is known.

    :param has_reports: whether it knows the call; what does not is no engine.
    """

    has_reports: bool = True


EngineAnswer = EngineStatus | EngineGone | EngineMute


class EngineControl(Protocol):
    """Reads engines and gives them orders."""

    async def read(self, address: str, timeout: float) -> EngineAnswer | None:
        """Return what an engine says of itself, or ``None`` without an answer."""
        ...

    async def place(
        self, address: str, layers: LayerRange, sequence: int
    ) -> OrderReply:
        """Order an engine to hold some layers.

        :param sequence: orders that it must have begun before.
        """
        ...

    async def reroute(
        self, address: str, request: RequestId, chain: Sequence[Stage]
    ) -> OrderReply:
        """Order the first engine of a request to go on over another chain."""
        ...


@dataclass(frozen=True, slots=True)
class StoredConfiguration:
    """The newest configuration as the platform holds it.

    :param content: as it is stored, to be passed on to hosts that lack it.
    """

    table: RoutingTable
    content: bytes


@dataclass(frozen=True, slots=True)
class TargetChanges:
    """Rows of targets.

    :param rows: those written.
    :param removed: targets whose row is gone.
    :param revision: version up to which this is complete.
    :param is_whole: ``rows`` are all there are.
    """

    rows: Sequence[TargetRow]
    removed: Sequence[TargetId]
    revision: int
    is_whole: bool = False


class FeedFault(Enum):
    """Why a feed brought nothing."""

    UNAVAILABLE = "unavailable"
    HISTORY_GONE = "history_gone"
    MALFORMED = "malformed"


class PlatformFeeds(Protocol):
    """The platform's news: the configuration and the targets."""

    async def wait_configuration(
        self, revision: int, seconds: float
    ) -> Result[tuple[StoredConfiguration | None, int], FeedFault]:
        """Return the configuration once it is newer than a revision, or after a time.

        :param revision: 0 to read it at once.
        """
        ...

    async def wait_targets(
        self, revision: int, seconds: float
    ) -> Result[TargetChanges, FeedFault]:
        """Return what has changed of the targets since a revision, or after a time.

        :param revision: 0 to read them all at once.
        """
        ...

    def decode_configuration(self, content: bytes) -> Result[StoredConfiguration, str]:
        """Return a configuration that a peer has passed on."""
        ...


class VersionedTable(Protocol):
    """Single rows of the table service, written under a condition."""

    async def read(self, table: str, key: str) -> Result[Row | None, StoreFault]:
        """Return one row, or ``None`` where there is none."""
        ...

    async def write(
        self, table: str, key: str, value: bytes, expect: int
    ) -> Result[int, StoreFault]:
        """Write a row that has a version still and return its new one.

        :param expect: 0 where the row must not exist.
        """
        ...


@dataclass(frozen=True, slots=True)
class HostRecord:
    """A host of ours, as the others find it in the store.

    :param address: ``IP:port`` of its peer listener, which is also its id.
    :param strength: of its link; 0 where it is not known.
    """

    address: str
    data_centre: str
    strength: int = 0


class HostDirectory(Protocol):
    """The rows by which hosts find each other."""

    async def enter(self, record: HostRecord) -> Result[None, StoreFault]:
        """Write this host's row."""
        ...

    async def leave(self, record: HostRecord) -> Result[None, StoreFault]:
        """Delete a host's row."""
        ...

    async def list_hosts(self) -> Result[Sequence[HostRecord], StoreFault]:
        """Return all rows."""
        ...


@dataclass(frozen=True, slots=True)
class Identity:
    """Who this host is.

    :param host: address of its peer listener.
    :param strength: of its link, as other hosts are told.
    """

    host: str
    name: str
    data_centre: str
    region: str
    strength: int = 0


@dataclass(frozen=True, slots=True)
class Addresses:
    """Where this host listens, as ``IP:port``."""

    callers: str
    readiness: str
    peers: str
    metrics: str = ""


@dataclass(frozen=True, slots=True)
class HostSettings:
    """What one host is told by its platform.

    :param seeds: peer listeners of some hosts; they may be old.
    :param stop_seconds: from the signal to stop until the process is killed.
    :param retry_allowance: repeats a second that all hosts together may always send to
        a service.
    :param retry_share: repeats that they may send beyond these, over requests.
    :param link_bytes: bytes a second that its own link carries.
    :param touch_seconds: without trouble after which what the store says must be in
        force at a host in time.
    :param leaving_seconds: from the store's word that a target leaves until no work may
        reach it.
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
