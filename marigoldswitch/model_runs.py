"""Runs on chains of engines; each token goes through the ledger to the caller."""

import asyncio
import hashlib
from collections.abc import AsyncIterator

from result import Err, Ok, Result

from marigoldswitch.backends import ChainOrder, StageEvent, StreamEnd
from marigoldswitch.core.catalogue import Target
from marigoldswitch.core.delivery import Delivery, Miss
from marigoldswitch.core.errors import Advice
from marigoldswitch.core.ids import Digest
from marigoldswitch.core.ledger import Ledger, StageToken
from marigoldswitch.core.messages import Grant, TargetReport
from marigoldswitch.core.requests import End, Token
from marigoldswitch.runs import Run, describe_miss


def digest_text(parts: list[str]) -> Digest:
    """Return the checksum of a streamed answer: SHA-256 of its text."""
    return Digest(hashlib.sha256("".join(parts).encode()).hexdigest())


class ModelRun(Run):
    """One request to a model service; a broken chain is replaced by a new one."""

    async def drive(self) -> None:
        """Run the request to its one end and emit the whole answer."""
        ledger = Ledger(self.service.layers)
        while True:
            permit = await self.acquire()
            if isinstance(permit, Err):
                await self.end_with(permit.err_value)
                return
            miss = await self._stream_once(permit.ok_value, ledger)
            if miss is None:
                self.life.advance("answer")
                end = End(ledger.next_position, digest_text(ledger.delivered))
                await self.emit(end)
                return
            fault = self.judge(miss)
            if fault is not None:
                await self.end_with(fault)
                return

    async def _stream_once(self, grant: Grant, ledger: Ledger) -> Miss | None:
        """Stream over one chain; return how it broke, if it did."""
        chain = self.find_targets(grant)
        epoch = ledger.open_epoch()
        service = self.bundle.services[self.request.service]
        order = ChainOrder(
            self.request,
            epoch,
            chain,
            tuple(ledger.delivered),
            service.model,
            service.version,
        )
        self.life.advance("dispatch")
        self.life.note_delivery()
        began = self.parts.clock.monotonic()
        miss: Miss | None = Miss(Delivery.MAY_HAVE_RUN, "broken off")
        try:
            async with asyncio.timeout(self.left):
                async with self.parts.chains.open(order) as opened:
                    match opened:
                        case Err(found):
                            miss = found
                        case Ok(events):
                            miss = await self._relay(events, ledger)
        except TimeoutError:
            miss = Miss(Delivery.MAY_HAVE_RUN, "deadline", Advice.STOP)
        finally:
            seconds = self.parts.clock.monotonic() - began
            reports = [_describe_stage(target, miss) for target in chain]
            self.release(grant, seconds, *reports)
            if miss is not None:
                await self.parts.chains.cancel(chain, self.request.id, epoch)
        return miss

    async def _relay(
        self, events: AsyncIterator[Result[StageEvent, Miss]], ledger: Ledger
    ) -> Miss | None:
        first = True
        async for event in events:
            match event:
                case Err(miss):
                    return miss
                case Ok(StageToken() as token) if ledger.admit(token):
                    if first:
                        self.life.advance("stream")
                        first = False
                    await self.emit(Token(token.position, token.text))
                case Ok(StreamEnd()):
                    return None
                case Ok():
                    pass
        return Miss(Delivery.MAY_HAVE_RUN, "stream ended without its end event")


def _describe_stage(target: Target, miss: Miss | None) -> TargetReport:
    if miss is None:
        return TargetReport(target.id, 0.0)
    return describe_miss(target, miss)
