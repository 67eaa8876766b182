"""Claims of this host in the table service."""

import secrets
from dataclasses import dataclass

import structlog
from result import Err, Ok, Result

from marigoldswitch.core.claims import (
    CLAIM_TABLE,
    Claim,
    ClaimState,
    build_claim_key,
    decode_claim,
    encode_claim,
)
from marigoldswitch.core.errors import ErrorKind, Fault
from marigoldswitch.core.ids import AccountId, HostId, IdempotencyKey, Incarnation
from marigoldswitch.core.ports import Put, StoreFault, TableService
from marigoldswitch.core.requests import Request

logger = structlog.get_logger(__name__)


@dataclass(frozen=True, slots=True)
class Held:
    """This host may send the request, once."""

    row: str
    claim: Claim


@dataclass(frozen=True, slots=True)
class StoredAnswer:
    """The request ran before; this is its answer."""

    answer: bytes


class Claims:
    """Takes and finishes claims."""

    def __init__(
        self, table: TableService, host: HostId, incarnation: Incarnation
    ) -> None:
        self._table = table
        self._host = host
        self._incarnation = incarnation

    async def take(
        self, request: Request, key: IdempotencyKey
    ) -> Result[Held | StoredAnswer, Fault]:
        """Claim a request, or learn how it ended before."""
        row = build_claim_key(request.account, key)
        claim = Claim(
            self._host,
            self._incarnation,
            secrets.token_hex(8),
            request.body_digest,
            ClaimState.HELD,
        )
        put = Put(CLAIM_TABLE, row, encode_claim(claim), expect=0)
        written = await self._table.transact([put])
        match written:
            case Ok():
                return Ok(Held(row, claim))
            case Err(StoreFault.UNAVAILABLE):
                return Err(Fault(ErrorKind.CLAIMS_UNAVAILABLE, "table service is out"))
        return await self._settle(Held(row, claim))

    async def finish(self, held: Held, answer: bytes) -> bool:
        """Store the answer of a claimed request; tell whether it is kept."""
        return await self._rewrite(held, held.claim.finish(answer, stored=False))

    async def give_up(self, held: Held) -> bool:
        """Record that the outcome of a claimed request is unknown."""
        return await self._rewrite(held, held.claim.give_up())

    async def forfeit(self, held: Held) -> bool:
        """Delete the claim of a request that was never sent."""
        put = Put(CLAIM_TABLE, held.row, None, expect=1)
        return isinstance(await self._table.transact([put]), Ok)

    async def look_up(
        self, account: AccountId, key: IdempotencyKey
    ) -> Result[StoredAnswer, Fault]:
        """Return the stored answer of a finished request."""
        row = await self._table.read(CLAIM_TABLE, build_claim_key(account, key))
        if isinstance(row, Err):
            return Err(Fault(ErrorKind.CLAIMS_UNAVAILABLE, "table service is out"))
        if row.ok_value is None:
            return Err(Fault(ErrorKind.NO_ANSWER))
        return _read_end(decode_claim(row.ok_value.value))

    async def _settle(self, held: Held) -> Result[Held | StoredAnswer, Fault]:
        read = await self._table.read(CLAIM_TABLE, held.row)
        if isinstance(read, Err) or read.ok_value is None:
            return Err(Fault(ErrorKind.CLAIMS_UNAVAILABLE, "claim cannot be settled"))
        found = decode_claim(read.ok_value.value)
        if found.nonce == held.claim.nonce:
            return Ok(held)
        if found.body_digest != held.claim.body_digest:
            return Err(Fault(ErrorKind.KEY_REUSED))
        return _read_end(found).map(lambda item: item)

    async def _rewrite(self, held: Held, claim: Claim) -> bool:
        put = Put(CLAIM_TABLE, held.row, encode_claim(claim), expect=1)
        written = await self._table.transact([put])
        if isinstance(written, Err):
            logger.warning("claim_not_finished", fault=written.err_value.value)
        return isinstance(written, Ok)


def _read_end(claim: Claim) -> Result[StoredAnswer, Fault]:
    match claim.state:
        case ClaimState.DONE:
            return Ok(StoredAnswer(claim.answer))
        case ClaimState.HELD | ClaimState.UNKNOWN:
            return Err(Fault(ErrorKind.OUTCOME_UNKNOWN, "claimed before, no answer"))
