"""What an engine stand-in keeps: faults, streams, KV cache, prefix cache."""

import asyncio
import hashlib
import time
from collections import OrderedDict
from dataclasses import dataclass, field
from typing import Any

WORDS = (
    "bisque", "doll", "mended", "with", "care", "the", "left", "arm", "was", "reset",
    "and", "new", "glass", "eyes", "were", "fitted", "before", "a", "gentle", "clean",
)  # fmt: skip

MOST_KV = 256
"""Streams whose KV cache is kept after they have ended."""
MOST_PREFIXES = 64
MOST_EVENTS = 1000


@dataclass(slots=True)
class EngineFaults:
    """What goes wrong.

    :param slow: factor on the time of each step.
    :param stall: steps hang until it is taken back.
    :param refuse: new streams are refused as not run.
    :param dead: every connection breaks off and all streams are lost.
    :param die_at: the connection breaks off at this position, if any.
    :param link_delay: seconds that the link to the next stage adds.
    :param refuse_kv: KV cache is neither exported nor imported.
    :param swap_every: each token at a multiple of this position comes after the next
        one; 0 for never.
    :param duplicate_every: each token at a multiple of it is sent twice; 0 for never.
    :param load_lag: seconds for which a load report is repeated.
    :param event_lag: seconds by which cache events are late.
    :param event_gap: each event whose number is a multiple of it is lost; 0 for none.
    """

    slow: float = 1.0
    stall: bool = False
    refuse: bool = False
    dead: bool = False
    die_at: int | None = None
    leaving: bool = False
    link_delay: float = 0.0
    refuse_kv: bool = False
    swap_every: int = 0
    duplicate_every: int = 0
    load_lag: float = 0.05
    event_lag: float = 0.2
    event_gap: int = 0


@dataclass(slots=True)
class StreamState:
    """One stream at one stage.

    :param index: the stage's place in the chain.
    :param received: highest position that came to this stage, or -1.
    :param passed: highest position that it ran, or -1.
    :param late: a token that is held back to come out of order.
    :param next_fed: position that the first stage may go on with, not yet told.
    """

    order: dict[str, Any]
    index: int
    received: int = -1
    passed: int = -1
    cancelled: bool = False
    late: dict[str, Any] | None = None
    next_fed: int | None = None
    _events: list[dict[str, Any]] = field(default_factory=list)
    _over: bool = False
    _wake: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def key(self) -> tuple[str, int]:
        """Return the request and the epoch."""
        return self.order["request"], self.order["epoch"]

    @property
    def is_last(self) -> bool:
        """Tell whether this stage sends the tokens."""
        return self.index == len(self.order["chain"]) - 1

    @property
    def unsent(self) -> int:
        """Return the number of events that the reader has not taken."""
        return len(self._events)

    def emit(self, event: dict[str, Any]) -> None:
        """Queue an event for the reader."""
        self._events.append(event)
        self._wake.set()

    def flush(self) -> None:
        """Queue the token that was held back, if there is one."""
        if self.late is not None:
            late, self.late = self.late, None
            self.emit(late)

    def end(self) -> None:
        """Let the reader end after what is queued."""
        self._over = True
        self._wake.set()

    async def take_events(self) -> list[dict[str, Any]]:
        """Wait for events and return them; none when the stream was cancelled."""
        while not self._events and not self._over:
            self._wake.clear()
            await self._wake.wait()
        events, self._events = self._events, []
        return events


class KvMemory:
    """Positions whose KV cache is held, by request and epoch."""

    def __init__(self) -> None:
        self._positions: OrderedDict[tuple[str, int], int] = OrderedDict()

    def read(self, request: str, epoch: int) -> int | None:
        """Return the number of positions held for a stream, if any are."""
        return self._positions.get((request, epoch))

    def write(self, request: str, epoch: int, positions: int) -> None:
        """Hold the KV cache of a stream; the oldest one gives way."""
        self._positions[request, epoch] = positions
        self._positions.move_to_end((request, epoch))
        if len(self._positions) > MOST_KV:
            self._positions.popitem(last=False)


class PrefixCache:
    """Prompt prefixes that are cached, and the events that say so."""

    def __init__(self) -> None:
        self._prefixes: OrderedDict[int, None] = OrderedDict()
        self._events: list[tuple[float, dict[str, Any]]] = []
        self._number = 0

    def use(self, prefix: int | None) -> bool:
        """Tell whether a prefix is cached; it is from now on."""
        if prefix is None:
            return False
        known = prefix in self._prefixes
        self._prefixes[prefix] = None
        self._prefixes.move_to_end(prefix)
        if not known:
            self._note("stored", prefix)
        if len(self._prefixes) > MOST_PREFIXES:
            oldest, _ = self._prefixes.popitem(last=False)
            self._note("evicted", oldest)
        return known

    def list_events(self, after: int, lag: float, gap: int) -> dict[str, Any]:
        """Return the events above a number that are old enough to be told."""
        until = time.monotonic() - lag
        events = [
            event
            for instant, event in self._events
            if event["number"] > after
            and instant <= until
            and not (gap and event["number"] % gap == 0)
        ]
        return {"events": events}

    def _note(self, what: str, prefix: int) -> None:
        self._number += 1
        event = {"number": self._number, "event": what, "prefix": prefix}
        self._events.append((time.monotonic(), event))
        del self._events[:-MOST_EVENTS]


def choose_word(prompt: str, position: int) -> str:
    """Return the token at a position of the answer to a prompt."""
    seed = hashlib.sha256(f"{prompt}/{position}".encode()).digest()
    return WORDS[seed[0] % len(WORDS)] + " "
