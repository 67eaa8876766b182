"""Claims of this host: carries out the steps of the claim protocol."""

import asyncio
import secrets
from collections.abc import Callable, Coroutine, Iterable
from typing import Any, TypeVar

import structlog
from result import Err, Ok, Result

from marigoldswitch.answers import AnswerStore
from marigoldswitch.claim_steps import Steps
from marigoldswitch.core.claim_protocol import (
    Effect,
    Ended,
    Free,
    Held,
    Met,
    Question,
    Read,
    Told,
    Wait,
    Write,
    finish_claim,
    follow_claim,
    judge_claim,
    take_claim,
)
from marigoldswitch.core.claims import (
    CLAIM_TABLE,
    Claim,
    ClaimState,
    OwnerState,
    build_claim_key,
    decode_claim,
)
from marigoldswitch.core.errors import ErrorKind, Fault
from marigoldswitch.core.ids import AccountId, HostId, IdempotencyKey, Incarnation
from marigoldswitch.core.messages import ClaimQuestion, ClaimReply, Message
from marigoldswitch.core.own_claims import OwnClaims
from marigoldswitch.core.ports import Clock, ObjectStore, Put, TableService
from marigoldswitch.core.requests import Request
from marigoldswitch.group_commit import GroupCommit
from marigoldswitch.peers import PeerNetwork
from marigoldswitch.settings import ClaimSettings

logger = structlog.get_logger(__name__)

ASK_SECONDS = 0.5
"""Seconds to wait for an owner's reply before asking again."""
LARGEST_REPLY = 64 * 1024
"""Bytes of the largest answer that goes to another host with a reply."""

T = TypeVar("T")


class Claims:
    """Takes, follows and finishes the claims of one host.

    :param incarnation: tells this start of the host from every other one.
    """

    def __init__(
        self,
        table: TableService,
        objects: ObjectStore,
        network: PeerNetwork,
        clock: Clock,
        settings: ClaimSettings,
        incarnation: Incarnation,
    ) -> None:
        self.own = OwnClaims()
        self.commits = GroupCommit(table, clock, settings.interval, settings.batch)
        self.answers = AnswerStore(objects, settings.inline_bytes)
        self.late_answer = settings.late_answer
        self.kept_bytes = 0
        """Bytes of answers that the platform does not have yet."""
        self._table = table
        self._network = network
        self._clock = clock
        self._settings = settings
        self._incarnation = incarnation
        self._stopped = False
        self._waiting: dict[str, list[asyncio.Future[Told]]] = {}
        self._finishing: set[asyncio.Task[None]] = set()
        handlers: dict[type[Message], Callable[..., None]] = {
            ClaimQuestion: self._reply,
            ClaimReply: self._hear,
        }
        for kind, handler in handlers.items():
            network.register(kind, handler)

    async def take(
        self, request: Request, key: IdempotencyKey, free: Free | None, seconds: float
    ) -> Held | Met | Ended | Fault:
        """Claim a request, or learn what came of it before.

        :param free: a claim that may be taken over.
        :param seconds: longest wait.
        """
        if not self.commits.may_try():
            return Fault(ErrorKind.CLAIMS_UNAVAILABLE, "the table service is out")
        if self.kept_bytes > self._settings.kept_bytes:
            logger.warning("answers_kept_in_memory", setting="claims.kept_bytes")
            return Fault(ErrorKind.CLAIMS_UNAVAILABLE, "too many answers not stored")
        row = build_claim_key(request.account, key)
        claim = self._build_claim(request)
        steps = Steps(take_claim(self.own, row, claim, free))
        taken: Held | Met | Ended | Fault | None = None
        try:
            async with asyncio.timeout(seconds):
                taken = await self._carry_out(steps, request.account, key)
                return taken
        except TimeoutError:
            return Fault(ErrorKind.DEADLINE_IN_QUEUE, "while the claim was written")
        finally:
            if not isinstance(taken, Held) and steps.may_land:
                self._spawn(self._write_end(row, claim.forfeit(), None))

    async def follow(
        self, request: Request, key: IdempotencyKey, met: Met
    ) -> Free | Ended | Fault:
        """Wait for the end of a claim of another submission."""
        steps = follow_claim(
            met,
            self._build_claim(request),
            self._clock.monotonic,
            request.deadline,
            self._settings.owner_patience,
        )
        return await self._carry_out(Steps(steps), request.account, key)

    async def look(
        self, request: Request, key: IdempotencyKey
    ) -> Met | Ended | Fault | None:
        """Return what came of a key before, where that can be learned."""
        row = build_claim_key(request.account, key)
        if self.commits.is_out:
            return None
        found = await self._table.read(CLAIM_TABLE, row)
        if isinstance(found, Err) or found.ok_value is None:
            return None
        claim = decode_claim(found.ok_value.value)
        if self.own.is_forfeited(claim.nonce):
            return None
        end = judge_claim(
            row, claim, found.ok_value.version, self._build_claim(request)
        )
        return None if isinstance(end, Free) else end

    def find_own(self, request: Request, key: IdempotencyKey) -> Met | Fault | None:
        """Return the claim that this host already holds for the same request."""
        row = build_claim_key(request.account, key)
        found = self.own.find(row)
        if found is None:
            return None
        if found.digest != request.body_digest:
            return Fault(ErrorKind.KEY_REUSED)
        return Met(row, self._build_claim(request, found.nonce), 0)

    def end(self, held: Held, answer: bytes) -> None:
        """Keep an answer and store it, however long the platform takes."""
        self.own.end(held.claim.nonce, answer)
        self.kept_bytes += len(answer)
        self._spawn(self._store_answer(held, answer))

    def give_up(self, held: Held) -> None:
        """Record that a request was sent and its outcome is not known."""
        self.own.forget(held.claim.nonce)
        self._spawn(self._write_end(held.row, held.claim.give_up(), held.version))

    def forfeit(self, held: Held) -> None:
        """Give up a claim that was never sent."""
        self.own.forfeit(held.claim.nonce)
        self._spawn(self._write_end(held.row, held.claim.forfeit(), held.version))

    async def fetch(
        self, account: AccountId, key: IdempotencyKey
    ) -> Result[bytes, Fault]:
        """Return the stored answer of a finished request of a client account."""
        row = await self._table.read(CLAIM_TABLE, build_claim_key(account, key))
        own = self.own.find(build_claim_key(account, key))
        if own is not None and own.answer:
            return Ok(own.answer)
        if isinstance(row, Err):
            return Err(Fault(ErrorKind.ANSWER_UNAVAILABLE, "table service is out"))
        if row.ok_value is None:
            return Err(Fault(ErrorKind.NO_ANSWER))
        claim = decode_claim(row.ok_value.value)
        match claim.state:
            case ClaimState.DONE:
                return await self.answers.read(claim)
            case ClaimState.FORFEITED:
                return Err(Fault(ErrorKind.NO_ANSWER))
            case ClaimState.UNKNOWN:
                return Err(Fault(ErrorKind.OUTCOME_UNKNOWN, "no answer came"))
            case ClaimState.HELD:
                return await self._fetch_from_owner(claim, account, key)

    async def flush(self) -> None:
        """Wait until all ends are written."""
        while self._finishing:
            await asyncio.wait(set(self._finishing))

    async def stop(self) -> None:
        """Break off what is under way; nothing is written any more."""
        self._stopped = True
        tasks = set(self._finishing)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self.commits.stop()

    async def sweep(self, accounts: Iterable[AccountId]) -> int:
        """Delete the expired claims of some client accounts; return how many."""
        deleted = 0
        for account in accounts:
            prefix = build_claim_key(account, IdempotencyKey(""))
            rows = await self._table.scan(CLAIM_TABLE, prefix)
            if isinstance(rows, Err):
                continue
            for key, row in rows.ok_value.items():
                claim = decode_claim(row.value)
                if claim.is_expired(self._clock.wall(), self._settings.keep):
                    put = Put(CLAIM_TABLE, key, None, row.version)
                    deleted += await self.commits.write(put) is None
        return deleted

    async def run(
        self,
        accounts: Callable[[], Iterable[AccountId]],
        is_sweeper: Callable[[], bool],
    ) -> None:
        """Delete expired claims now and then until cancelled."""
        while True:
            await asyncio.sleep(self._settings.sweep)
            if is_sweeper():
                deleted = await self.sweep(accounts())
                logger.info("claims_swept", deleted=deleted)

    def _build_claim(self, request: Request, nonce: str = "") -> Claim:
        return Claim(
            self._network.host,
            self._incarnation,
            nonce or secrets.token_hex(8),
            request.body_digest,
            ClaimState.HELD,
            taken=self._clock.wall(),
        )

    async def _carry_out(
        self, steps: "Steps[T]", account: AccountId, key: IdempotencyKey
    ) -> T:
        try:
            effect = steps.resume()
            while not steps.over:
                effect = steps.resume(await self._perform(effect, account, key))
            return steps.result
        finally:
            steps.close()

    async def _perform(
        self, effect: Effect | None, account: AccountId, key: IdempotencyKey
    ) -> Any:
        match effect:
            case Write(put=put):
                return await self.commits.write(put)
            case Read(row=row):
                read = await self._table.read(CLAIM_TABLE, row)
                return read.ok_value if isinstance(read, Ok) else read.err_value
            case Wait(seconds=seconds):
                await asyncio.sleep(seconds)
                return None
            case Question(owner=owner, nonce=nonce):
                return await self._ask(owner, nonce, account, key)
            case None:
                return None

    async def _ask(
        self, owner: HostId, nonce: str, account: AccountId, key: IdempotencyKey
    ) -> Told | None:
        if owner == self._network.host:
            return Told(*self.own.tell(nonce))
        reply: asyncio.Future[Told] = asyncio.get_running_loop().create_future()
        self._waiting.setdefault(nonce, []).append(reply)
        question = ClaimQuestion(account, key, nonce, self._network.host)
        self._network.send(owner, question)
        try:
            async with asyncio.timeout(ASK_SECONDS):
                return await reply
        except TimeoutError:
            return None
        finally:
            self._waiting[nonce].remove(reply)
            if not self._waiting[nonce]:
                del self._waiting[nonce]

    def _reply(self, sender: HostId, question: ClaimQuestion) -> None:
        state, answer = self.own.tell(question.nonce)
        if len(answer) > LARGEST_REPLY:
            answer = b""
        reply = ClaimReply(question.nonce, state.value, answer)
        self._network.send(question.asker, reply)

    def _hear(self, sender: HostId, reply: ClaimReply) -> None:
        told = Told(OwnerState(reply.state), reply.answer)
        for waiting in self._waiting.get(reply.nonce, []):
            if not waiting.done():
                waiting.set_result(told)

    async def _fetch_from_owner(
        self, claim: Claim, account: AccountId, key: IdempotencyKey
    ) -> Result[bytes, Fault]:
        match await self._ask(claim.owner, claim.nonce, account, key):
            case Told(state=OwnerState.ENDED, answer=answer) if answer:
                return Ok(answer)
            case Told(state=OwnerState.RUNNING | OwnerState.ENDED):
                return Err(Fault(ErrorKind.ANSWER_UNAVAILABLE, "not finished yet"))
            case Told(state=OwnerState.FORFEITED):
                return Err(Fault(ErrorKind.NO_ANSWER))
        return Err(Fault(ErrorKind.OUTCOME_UNKNOWN, "its owner says nothing"))

    async def _store_answer(self, held: Held, answer: bytes) -> None:
        """Store an answer, then mark its claim done."""
        try:
            ended = await self.answers.store(held.claim, answer)
            await self._write_end(held.row, ended, held.version)
        finally:
            self.kept_bytes -= len(answer)
            self.own.forget(held.claim.nonce)

    async def _write_end(self, row: str, ended: Claim, version: int | None) -> None:
        steps = Steps(finish_claim(row, ended, version))
        account, key = AccountId(""), IdempotencyKey("")
        stands = await self._carry_out(steps, account, key)
        if not stands and ended.state is not ClaimState.FORFEITED:
            logger.error("claim_end_lost", nonce=ended.nonce, state=ended.state.value)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        if self._stopped:
            work.close()
            return
        task = asyncio.create_task(work)
        self._finishing.add(task)
        task.add_done_callback(self._finishing.discard)
