"""Runs on plain services, with a claim where the request is non-idempotent."""

import hashlib

import orjson
from result import Err, Ok, Result

from marigoldswitch.claiming import Held, StoredAnswer
from marigoldswitch.core.delivery import Miss
from marigoldswitch.core.errors import Fault
from marigoldswitch.core.ids import Digest
from marigoldswitch.core.messages import Grant, TargetReport
from marigoldswitch.core.requests import Answer, End
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

    async def drive(self) -> None:
        """Run the request to its one end and emit the whole answer."""
        match await self._answer():
            case Ok(answer):
                self.life.advance("answer")
                await self.emit(answer)
                await self.emit(End(0, digest_answer(answer)))
            case Err(fault):
                await self._end_claim(fault)
                await self.end_with(fault)

    async def _answer(self) -> Result[Answer, Fault]:
        while True:
            permit = await self.acquire()
            if isinstance(permit, Err):
                return permit
            grant = permit.ok_value
            claimed = await self._claim()
            if claimed is not None:
                self.release(grant, 0.0)
                return claimed
            answer = await self._call_once(grant)
            if isinstance(answer, Ok):
                if self.held is not None:
                    content = encode_answer(answer.ok_value)
                    await self.parts.claims.finish(self.held, content)
                return Ok(answer.ok_value)
            fault = self.judge(answer.err_value)
            if fault is not None:
                return Err(fault)

    async def _claim(self) -> Result[Answer, Fault] | None:
        """Claim the request; return its end where it ran or runs elsewhere."""
        key = self.request.key
        if key is None or self.request.idempotent:
            return None
        if self.held is None:
            taken = await self.parts.claims.take(self.request, key)
            match taken:
                case Err(fault):
                    return Err(fault)
                case Ok(StoredAnswer(answer=answer)):
                    return Ok(Answer(orjson.loads(answer)))
                case Ok(Held() as held):
                    self.held = held
        self.life.advance("claim")
        return None

    async def _end_claim(self, fault: Fault) -> None:
        if self.held is None:
            return
        if fault.not_run:
            await self.parts.claims.forfeit(self.held)
        else:
            await self.parts.claims.give_up(self.held)

    async def _call_once(self, grant: Grant) -> Result[Answer, Miss]:
        target = self.find_targets(grant)[0]
        self.life.advance("dispatch")
        self.life.note_delivery()
        began = self.parts.clock.monotonic()
        result = await self.parts.plain.call(target, self.request, self.left)
        seconds = self.parts.clock.monotonic() - began
        match result:
            case Ok((answer, load)):
                self.release(
                    grant, seconds, TargetReport(target.id, seconds, load=load)
                )
                return Ok(answer)
            case Err(miss):
                self.release(grant, seconds, describe_miss(target, miss))
                return Err(miss)
