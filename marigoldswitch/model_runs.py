"""Runs on chains of engines; each token goes through the ledger to the caller."""

import asyncio
import hashlib

import structlog
from result import Err, Result

from marigoldswitch.chains import (
    ChainOrder,
    EventStream,
    Opened,
    StageEvent,
    StageFailed,
    StreamEnd,
)
from marigoldswitch.core.catalogue import Bundle, Target
from marigoldswitch.core.delivery import Delivery, Miss
from marigoldswitch.core.diagnosis import find_suspects
from marigoldswitch.core.errors import ErrorKind, Fault
from marigoldswitch.core.ids import Digest, Epoch, TargetId
from marigoldswitch.core.ledger import Ledger, StageToken
from marigoldswitch.core.lifecycle import Stage
from marigoldswitch.core.messages import Grant, TargetReport
from marigoldswitch.core.progress import Progress
from marigoldswitch.core.requests import End, Request, Token
from marigoldswitch.metrics import Metrics
from marigoldswitch.runs import Emit, Parts, Run, describe_miss

logger = structlog.get_logger(__name__)

MOST_RECOVERIES = 16
"""Chains that one answer may lose in mid-stream. It is far above the attempts of a
request that has not begun, since breaking off loses what the caller already has."""
LONGEST_PAUSE = 0.25
"""Seconds before the next chain where the last one brought no token or none is to be
had."""


def digest_text(parts: list[str]) -> Digest:
    """Return the checksum of a streamed answer: SHA-256 of its text."""
    return Digest(hashlib.sha256("".join(parts).encode()).hexdigest())


class ModelRun(Run):
    """One request to a model service; a broken chain is replaced by a new one."""

    open_chain: tuple[Target, ...] = ()
    """The chain that is in use."""
    chain: tuple[Target, ...] = ()
    """The chain that broke last, whose KV cache may still be had."""
    _answering: frozenset[TargetId] = frozenset()
    """Stages of it that answered after the break."""
    _broken = 0
    """Chains that this request lost."""

    def __init__(
        self, parts: Parts, request: Request, bundle: Bundle, emit: Emit
    ) -> None:
        super().__init__(parts, request, bundle, emit)
        streams = parts.streams
        self.ledger = Ledger(self.service.layers)
        self.progress = Progress(
            streams.first_token, streams.stall_factor, streams.stall_floor
        )

    async def drive(self) -> None:
        """Run the request to its one end and emit the whole answer."""
        while True:
            permit = await self.acquire()
            if isinstance(permit, Err):
                if await self._may_ask_again(permit.err_value):
                    continue
                await self.end_with(permit.err_value)
                return
            had = self.ledger.next_position
            miss = await self._stream_once(permit.ok_value)
            if miss is None or self._is_complete:
                await self._end_answered()
                return
            if self._may_recover(miss):
                self.recoveries += 1
                self.pause = 0.0
                if self.ledger.next_position == had:
                    self.pause = min(LONGEST_PAUSE, self.left)
                continue
            fault = self.judge(miss)
            if fault is not None:
                await self.end_with(fault)
                return

    def count_into(self, metrics: Metrics) -> None:
        """Count the broken chains and the tokens that came astray."""
        labels = {"service": str(self.service.name)}
        strays = {"dropped": self.ledger.dropped, "reordered": self.ledger.reordered}
        metrics.chains_broken.add(labels, self._broken)
        for what, count in strays.items():
            metrics.stray_tokens.add({**labels, "what": what}, count)

    async def _end_answered(self) -> None:
        self.life.advance("answer")
        tokens = self.ledger.delivered
        await self.emit(End(len(tokens), digest_text(tokens)))

    async def _may_ask_again(self, fault: Fault) -> bool:
        """Wait for another ask, if an answer that has begun is without a chain."""
        begun = self.ledger.next_position > 0
        lasts = self.recoveries < MOST_RECOVERIES and self.left > LONGEST_PAUSE
        if not begun or not lasts or fault.kind is ErrorKind.DEADLINE_IN_QUEUE:
            return False
        self.recoveries += 1
        await asyncio.sleep(min(LONGEST_PAUSE, fault.wait or LONGEST_PAUSE))
        return True

    def _may_recover(self, miss: Miss) -> bool:
        """Tell whether an answer that has begun goes on over another chain."""
        begun = self.ledger.next_position > 0 and self.request.idempotent
        return begun and not miss.deadline and self.recoveries < MOST_RECOVERIES

    async def _stream_once(self, grant: Grant) -> Miss | None:
        """Stream over one chain; return how it broke, if it did."""
        chain = self.open_chain = self.find_targets(grant)
        resume = self.ledger.epoch
        epoch = self.ledger.open_epoch()
        self.progress.begin()
        order = ChainOrder(
            self.request,
            epoch,
            chain,
            tuple(self.ledger.delivered),
            resume,
            self.service.model,
            self.service.version,
        )
        self.life.advance("dispatch")
        self.life.note_delivery()
        began = self.parts.clock.monotonic()
        miss: Miss | None = Miss(Delivery.MAY_HAVE_RUN, "broken off", deadline=True)
        suspects: tuple[TargetId, ...] = ()
        try:
            miss = await self._run_chain(order)
            if miss is not None:
                suspects = await self._find_suspects(miss, chain, epoch)
        finally:
            seconds = self.parts.clock.monotonic() - began
            reports = [_describe_stage(target, miss, suspects) for target in chain]
            self.release(grant, seconds, *reports)
            if miss is not None:
                self.parts.chains.cancel(chain, self.request.id, epoch)
        if miss is not None:
            self._note_break(miss, chain, suspects)
        return miss

    async def _run_chain(self, order: ChainOrder) -> Miss | None:
        try:
            async with asyncio.timeout(self.left):
                await self._move_kv(order.chain, order.resume)
                async with self.parts.chains.open(order) as opened:
                    if isinstance(opened, Err):
                        return opened.err_value
                    return await self._relay(opened.ok_value)
        except TimeoutError:
            return Miss(Delivery.MAY_HAVE_RUN, "deadline", deadline=True)

    async def _relay(self, stream: EventStream) -> Miss | None:
        """Pass tokens on to the caller until the stream ends or breaks."""
        heard = self.parts.clock.monotonic()
        while True:
            read = await self._read(stream, heard)
            if isinstance(read, Miss):
                return read
            if isinstance(read, Err):
                return read.err_value
            had = self.ledger.next_position
            for event in read.ok_value:
                miss = await self._take(event)
                if miss is not None:
                    return miss
                if isinstance(event, StreamEnd):
                    return None
            if self.ledger.next_position > had or _has_opened(read.ok_value):
                heard = self.parts.clock.monotonic()

    async def _read(
        self, stream: EventStream, heard: float
    ) -> Result[list[StageEvent], Miss] | Miss:
        """Wait for the next events, but not for stages that are gone or stalled.

        :param heard: instant of the last progress, monotonic seconds.
        """
        waited = self.parts.clock.monotonic() - heard
        if waited < self.progress.doubt < self.progress.patience:
            try:
                async with asyncio.timeout(self.progress.doubt - waited):
                    return await stream.read()
            except TimeoutError:
                if await self._misses_stage(self.progress.patience):
                    return Miss(Delivery.MAY_HAVE_RUN, "a stage is gone")
        waited = self.parts.clock.monotonic() - heard
        try:
            async with asyncio.timeout(max(0.0, self.progress.patience - waited)):
                return await stream.read()
        except TimeoutError:
            return Miss(Delivery.MAY_HAVE_RUN, "stalled")

    async def _misses_stage(self, seconds: float) -> bool:
        """Tell whether some stage of the open chain does not answer any more."""
        epoch = self.ledger.epoch
        chains = self.parts.chains
        found = await chains.inspect(self.open_chain, self.request.id, epoch, seconds)
        return None in found

    async def _take(self, event: StageEvent) -> Miss | None:
        """Pass on what an event brings; return how the chain broke, if it did."""
        match event:
            case StageToken():
                await self._deliver(event)
                if self.ledger.is_stuck:
                    return Miss(Delivery.MAY_HAVE_RUN, "a token is missing")
            case StageFailed(target=target):
                detail = "a stage cannot be reached"
                return Miss(Delivery.MAY_HAVE_RUN, detail, target=target)
            case StreamEnd(tokens=tokens):
                if tokens is not None and self.ledger.next_position < tokens:
                    return Miss(Delivery.MAY_HAVE_RUN, "tokens are missing at the end")
        return None

    async def _deliver(self, token: StageToken) -> None:
        ready = self.ledger.admit(token)
        if not ready:
            return
        if self.life.stage is Stage.DISPATCHED:
            self.life.advance("stream")
        self.progress.note(self.parts.clock.monotonic(), len(ready))
        for item in ready:
            await self.emit(Token(item.position, item.text))

    @property
    def _is_complete(self) -> bool:
        """Tell whether the caller has every token, whatever became of the chain."""
        return self.ledger.next_position >= self.request.max_tokens > 0

    async def _find_suspects(
        self, miss: Miss, chain: tuple[Target, ...], epoch: Epoch
    ) -> tuple[TargetId, ...]:
        """Return the stages that the next chain should leave out."""
        names = [target.id for target in chain]
        if miss.deadline:
            return ()
        if miss.delivery is Delivery.REFUSED:
            self._answering = frozenset(names)
            return (miss.target,) if miss.target else ()
        statuses = await self.parts.chains.inspect(chain, self.request.id, epoch)
        pairs = list(zip(names, statuses, strict=True))
        self._answering = frozenset(name for name, status in pairs if status)
        if miss.target is None:
            return find_suspects(names, statuses)
        return tuple(
            name for name, status in pairs if status is None or name == miss.target
        )

    def _note_break(
        self, miss: Miss, chain: tuple[Target, ...], suspects: tuple[TargetId, ...]
    ) -> None:
        self._broken += 1
        self.chain = chain
        self.keep = tuple(item.id for item in chain if item.id not in suspects)
        self.shun(suspects)
        logger.info(
            "chain_broken",
            request=self.request.id,
            epoch=self.ledger.epoch,
            detail=miss.detail,
            suspects=suspects,
            delivered=self.ledger.next_position,
        )

    async def _move_kv(self, chain: tuple[Target, ...], epoch: Epoch) -> None:
        """Bring the KV cache of replaced stages that still answer to the new ones."""
        if not self.ledger.next_position:
            return
        old = {item.layers: item for item in self.chain if item.id in self._answering}
        known = {item.id for item in self.chain}
        moves = [
            self.parts.chains.move_kv(old[to.layers], to, self.request.id, epoch)
            for to in chain
            if to.id not in known and to.layers in old
        ]
        await asyncio.gather(*moves)


def _has_opened(events: list[StageEvent]) -> bool:
    return any(isinstance(event, Opened) for event in events)


def _describe_stage(
    target: Target, miss: Miss | None, suspects: tuple[TargetId, ...]
) -> TargetReport:
    if miss is None:
        return TargetReport(target.id, 0.0)
    if target.id not in suspects:
        return TargetReport(target.id, -1.0)
    return describe_miss(target, miss)
