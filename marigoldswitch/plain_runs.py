"""Runs on plain services, with a claim where the request is non-idempotent."""

import asyncio
import hashlib
from dataclasses import replace

import orjson
from result import Err, Ok, Result

from marigoldswitch.core.claim_protocol import Ended, Free, Held, Met
from marigoldswitch.core.delivery import Delivery, Miss
from marigoldswitch.core.errors import ErrorKind, Fault
from marigoldswitch.core.ids import Digest, IdempotencyKey
from marigoldswitch.core.messages import Grant, TargetReport
from marigoldswitch.core.requests import Answer, End
from marigoldswitch.core.retries import is_not_run
from marigoldswitch.runs import Run, describe_miss


def encode_answer(answer: Answer) -> bytes:
    """Return a plain answer as canonical JSON."""
    return orjson.dumps(answer.body, option=orjson.OPT_SORT_KEYS)


def digest_answer(answer: Answer) -> Digest:
    """Return the checksum of a plain answer: SHA-256 of its canonical JSON."""
    return Digest(hashlib.sha256(encode_answer(answer)).hexdigest())


class PlainRun(Run):
    """One request to a plain service: permit, then claim, then dispatch."""

    held: Held | None = None
    _detached = False
    """Nobody waits any more for the call that is under way."""

    async def drive(self) -> None:
        """Run the request to its one end and emit the whole answer."""
        match await self._answer():
            case Ok(answer):
                self.life.advance("answer")
                await self.emit(answer)
                await self.emit(End(0, digest_answer(answer)))
            case Err(fault):
                self._forfeit_unsent()
                await self.end_with(fault)

    def abandon(self) -> None:
        """Forfeit the claim if nothing was sent; a call under way goes on."""
        self._detached = True
        self._forfeit_unsent()

    @property
    def _is_calling(self) -> bool:
        return self.remainder is not None and not self.remainder.done()

    @property
    def _key(self) -> IdempotencyKey | None:
        """Return the key under which the request is claimed, if it is."""
        return None if self.request.idempotent else self.request.key

    async def _answer(self) -> Result[Answer, Fault]:
        met: Met | Ended | Fault | None = None
        free: Free | None = None
        if self._key is not None:
            met = self.parts.claims.find_own(self.request, self._key)
        while True:
            if met is not None:
                followed = await self._follow(met)
                if not isinstance(followed, Free):
                    return followed
                met, free = None, followed
            permit = await self.acquire()
            if isinstance(permit, Err):
                return await self._refuse(permit.err_value)
            try:
                claimed = await self._claim(free)
                if claimed is not None:
                    met = claimed
                    continue
                answer = await self._call_once(permit.ok_value)
            finally:
                if not self._is_calling:
                    self.release(permit.ok_value, 0.0)
            if isinstance(answer, Ok):
                return Ok(answer.ok_value)
            self.shun(permit.ok_value.targets)
            fault = self.judge(answer.err_value)
            if fault is not None:
                return Err(fault)

    async def _follow(self, met: Met | Ended | Fault) -> Free | Result[Answer, Fault]:
        """Return what came of a claim that is not ours, once it has an end."""
        assert self._key is not None
        if isinstance(met, Met):
            end = await self.parts.claims.follow(self.request, self._key, met)
            if isinstance(end, Free):
                return end
            met = end
        if isinstance(met, Fault):
            return Err(met)
        answer = await self.parts.claims.read_answer(met)
        return answer.map(lambda content: Answer(orjson.loads(content)))

    async def _refuse(self, fault: Fault) -> Result[Answer, Fault]:
        """Refuse, unless the key is known to have run before."""
        if self._key is None or self.held is not None or not fault.not_run:
            return Err(fault)
        match await self.parts.claims.look(self.request, self._key):
            case Ended() as ended:
                answer = await self.parts.claims.read_answer(ended)
                return answer.map(lambda content: Answer(orjson.loads(content)))
            case Met():
                detail = f"it may run for an earlier submission; {fault.kind.value}"
                return Err(Fault(ErrorKind.OUTCOME_UNKNOWN, detail))
            case Fault() as found:
                return Err(found)
        return Err(fault)

    async def _claim(self, free: Free | None) -> Met | Ended | Fault | None:
        """Claim the request; return what stands against it, if anything does."""
        if self._key is None:
            return None
        if self.held is None:
            taken = await self.parts.claims.take(
                self.request, self._key, free, self.left
            )
            if not isinstance(taken, Held):
                return taken
            self.held = taken
        self.life.advance("claim")
        if self.left <= 0.0:
            return Fault(ErrorKind.DEADLINE_IN_QUEUE, "while the claim was written")
        return None

    def _forfeit_unsent(self) -> None:
        """Forfeit the claim unless it was sent; a call settles its own."""
        if self._is_calling or self.held is None:
            return
        held, self.held = self.held, None
        self.parts.claims.forfeit(held)

    async def _call_once(self, grant: Grant) -> Result[Answer, Miss]:
        """Send the request; a non-idempotent call outlives its caller and deadline."""
        self.life.advance("dispatch")
        self.life.note_delivery()
        if self.request.idempotent:
            return await self._call(grant, self.left)
        if self.held is not None:
            self.parts.claims.own.send(self.held.claim.nonce)
        call = asyncio.create_task(self._call_and_settle(grant))
        self.remainder = call
        done, _ = await asyncio.wait([call], timeout=self.left)
        if done:
            return call.result()
        self._detached = True
        return Err(Miss(Delivery.MAY_HAVE_RUN, "no answer before the deadline"))

    async def _call_and_settle(self, grant: Grant) -> Result[Answer, Miss]:
        """Call the target and settle the claim with what came of it."""
        claims, held = self.parts.claims, self.held
        result: Result[Answer, Miss] = Err(Miss(Delivery.MAY_HAVE_RUN, "broken off"))
        try:
            result = await self._call(grant, self.left + claims.late_answer)
        finally:
            self.release(grant, 0.0)
            if held is not None:
                self._settle(held, result)
        return result

    def _settle(self, held: Held, result: Result[Answer, Miss]) -> None:
        claims = self.parts.claims
        match result:
            case Ok(answer):
                self.held = None
                claims.end(held, encode_answer(answer))
            case Err(miss) if is_not_run(miss, self.service.trusts_not_run):
                claims.own.retract(held.claim.nonce)
                if self._detached:
                    self.held = None
                    claims.forfeit(held)
            case Err():
                self.held = None
                claims.give_up(held)

    async def _call(self, grant: Grant, seconds: float) -> Result[Answer, Miss]:
        target = self.find_targets(grant)[0]
        began = self.parts.clock.monotonic()
        result = await self.parts.plain.call(target, self.request, seconds)
        taken = self.parts.clock.monotonic() - began
        match result:
            case Ok((answer, load)):
                self.release(grant, taken, TargetReport(target.id, taken, load=load))
                return Ok(answer)
            case Err(miss):
                late = self.left <= 0.0 and miss.delivery is Delivery.MAY_HAVE_RUN
                miss = replace(miss, deadline=late)
                self.release(grant, taken, describe_miss(target, miss))
                return Err(miss)
