"""Callers of a randomised run: drafts, bookings and their repeats."""

import asyncio
import hashlib
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from random import Random
from typing import Any

import aiohttp
import orjson

from marigoldswitch.standins.engine_state import choose_word

LETTERS = "/v1/brands/dollhouse/applications/letters/requests"
BOOKINGS = "/v1/brands/dollhouse/applications/bookings/requests"
DEADLINE_SECONDS = 15.0
PATIENCE_SECONDS = 25.0
"""Seconds after which a caller counts its request as one without an end."""


class EndKind(Enum):
    """How a request ended as its caller saw it."""

    ANSWERED = "answered"
    REFUSED = "refused"
    FAILED = "failed"
    UNREACHABLE = "unreachable"
    """No connection to the host: not sent."""
    BROKEN = "broken"
    """The connection broke off."""
    ABANDONED = "abandoned"
    """The caller went away on purpose."""
    ENDLESS = "endless"
    UNREADABLE = "unreadable"


@dataclass(slots=True)
class Attempt:
    """One request as its caller saw it.

    :param subject: prompt of a draft, reference of a booking.
    :param key: idempotency key, if any.
    :param gaps: seconds between one event and the next, above a threshold, each with
        the instant when it began.
    """

    kind: str
    subject: str
    host: str
    began: float
    key: str | None = None
    tokens: int = 0
    request: str = ""
    ended: float = 0.0
    end: EndKind = EndKind.ENDLESS
    error: dict[str, Any] = field(default_factory=dict)
    answer: Any = None
    faults: list[str] = field(default_factory=list)
    gaps: list[tuple[float, float]] = field(default_factory=list)

    @property
    def not_run(self) -> bool:
        """Tell whether the caller may believe that it did not run."""
        if self.end is EndKind.REFUSED:
            return self.error.get("outcome") == "not_run"
        return self.end is EndKind.UNREACHABLE

    def describe(self) -> dict[str, Any]:
        """Return the attempt for a trace."""
        return {
            "kind": self.kind,
            "subject": self.subject,
            "host": self.host,
            "key": self.key,
            "request": self.request,
            "began": round(self.began, 3),
            "ended": round(self.ended, 3),
            "end": self.end.value,
            "error": self.error.get("kind"),
            "detail": self.error.get("detail"),
            "faults": self.faults,
        }


def build_text(prompt: str, tokens: int) -> str:
    """Return the text that an undisturbed run gives."""
    return "".join(choose_word(prompt, position) for position in range(tokens))


class Caller:
    """Sends requests and checks what comes back.

    :param find_address: gives the address of a host's listener for callers.
    """

    GAP_SECONDS = 0.1

    def __init__(
        self, session: aiohttp.ClientSession, find_address: Callable[[str], str]
    ) -> None:
        self._session = session
        self._find_address = find_address

    async def draft(
        self,
        host: str,
        prompt: str,
        tokens: int,
        stream: bool = True,
        leave_after: int | None = None,
    ) -> Attempt:
        """Ask for a draft.

        :param leave_after: tokens after which the caller goes away, if it does.
        """
        body = {"input": {"prompt": prompt}, "max_tokens": tokens, "stream": stream}
        attempt = Attempt("draft", prompt, host, time.monotonic(), tokens=tokens)
        await self._send(attempt, LETTERS, body, {}, leave_after)
        return attempt

    async def book(self, host: str, reference: str, key: str | None) -> Attempt:
        """Make a booking."""
        attempt = Attempt("booking", reference, host, time.monotonic(), key)
        headers = {"Idempotency-Key": key} if key else {}
        body = {"input": {"reference": reference}}
        await self._send(attempt, BOOKINGS, body, headers, None)
        return attempt

    async def _send(
        self,
        attempt: Attempt,
        path: str,
        body: dict[str, Any],
        headers: dict[str, str],
        leave_after: int | None,
    ) -> None:
        headers = headers | {"Request-Timeout": str(DEADLINE_SECONDS)}
        try:
            async with (
                asyncio.timeout(PATIENCE_SECONDS),
                self._session.post(
                    self._find_address(attempt.host) + path,
                    json=body,
                    headers=headers,
                ) as response,
            ):
                await self._read(attempt, response, leave_after)
        except (KeyError, aiohttp.ClientConnectorError):
            attempt.end = EndKind.UNREACHABLE
        except TimeoutError:
            attempt.end = EndKind.ENDLESS
        except (aiohttp.ClientError, ConnectionError):
            attempt.end = EndKind.BROKEN
        except (ValueError, LookupError, TypeError) as error:
            attempt.end = EndKind.UNREADABLE
            attempt.error = {"detail": repr(error)}
        attempt.ended = time.monotonic()

    async def _read(
        self,
        attempt: Attempt,
        response: aiohttp.ClientResponse,
        leave_after: int | None,
    ) -> None:
        if response.content_type == "text/event-stream":
            attempt.request = response.headers["X-Request-Id"]
            await self._read_events(attempt, response, leave_after)
            return
        body = orjson.loads(await response.read())
        if response.status != 200:
            _take_error(attempt, body["error"])
            return
        attempt.request = body["request"]
        attempt.answer = body["answer"]
        if attempt.kind == "draft":
            _check_text(attempt, body["answer"], body["tokens"], body["checksum"])
        attempt.end = EndKind.ANSWERED

    async def _read_events(
        self,
        attempt: Attempt,
        response: aiohttp.ClientResponse,
        leave_after: int | None,
    ) -> None:
        texts: list[str] = []
        name = ""
        last = time.monotonic()
        async for line in response.content:
            label, _, value = line.decode().rstrip("\n").partition(": ")
            if label == "event":
                name = value
            if label != "data":
                continue
            now = time.monotonic()
            if now - last > self.GAP_SECONDS:
                attempt.gaps.append((last, now - last))
            last = now
            data = orjson.loads(value)
            if attempt.end is not EndKind.ENDLESS:
                raise ValueError(f"{name} after the end")
            match name:
                case "token":
                    if data["position"] != len(texts):
                        raise ValueError(f"{data['position']} after {len(texts)}")
                    texts.append(data["text"])
                case "end":
                    text = "".join(texts)
                    _check_text(attempt, text, data["tokens"], data["checksum"])
                    attempt.end = EndKind.ANSWERED
                case "error":
                    _take_error(attempt, data)
            if leave_after is not None and len(texts) >= leave_after:
                attempt.end = EndKind.ABANDONED
                response.close()
                return
        if attempt.end is EndKind.ENDLESS:
            attempt.end = EndKind.BROKEN


def _take_error(attempt: Attempt, error: dict[str, Any]) -> None:
    attempt.error = error
    refused = error["outcome"] == "not_run"
    attempt.end = EndKind.REFUSED if refused else EndKind.FAILED


def _check_text(attempt: Attempt, text: str, tokens: int, checksum: str) -> None:
    expected = build_text(attempt.subject, attempt.tokens)
    if text != expected or tokens != attempt.tokens:
        raise ValueError(f"text {text!r} of {tokens} is not {expected!r}")
    if hashlib.sha256(expected.encode()).hexdigest() != checksum:
        raise ValueError("wrong checksum")


class Load:
    """A steady mixed load through the hosts that the balancer sees as ready.

    :param list_ready: gives the hosts that the balancer sends to.
    :param rate: requests a second.
    """

    BOOKING_SHARE = 0.3
    UNKEYED_SHARE = 0.1
    WHOLE_SHARE = 0.25
    ABANDON_SHARE = 0.04

    def __init__(
        self,
        caller: Caller,
        random: Random,
        list_ready: Callable[[], list[str]],
        rate: float,
    ) -> None:
        self.attempts: list[Attempt] = []
        self.running = False
        self._caller = caller
        self._random = random
        self._list_ready = list_ready
        self._rate = rate
        self._number = 0
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self, seconds: float) -> None:
        """Send for so long, then wait until every request has ended."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            task = asyncio.create_task(self._send_one())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(self._random.expovariate(self._rate))
        await asyncio.gather(*self._tasks)

    async def _send_one(self) -> None:
        self._number += 1
        number = self._number
        hosts = self._list_ready()
        if not hosts:
            return
        if self._random.random() < self.BOOKING_SHARE:
            await self._send_booking(number, hosts)
        else:
            await self._send_draft(number, hosts)

    async def _send_draft(self, number: int, hosts: list[str]) -> None:
        random = self._random
        tokens = random.choice((4, 8, 16, 48))
        leaves = random.random() < self.ABANDON_SHARE
        attempt = await self._caller.draft(
            random.choice(hosts),
            f"draft {number} {random.getrandbits(32)}",
            tokens,
            random.random() >= self.WHOLE_SHARE,
            random.randrange(1, tokens) if leaves else None,
        )
        self.attempts.append(attempt)

    async def _send_booking(self, number: int, hosts: list[str]) -> None:
        random = self._random
        reference = f"booking {number} {random.getrandbits(32)}"
        if random.random() < self.UNKEYED_SHARE:
            attempt = await self._caller.book(random.choice(hosts), reference, None)
            self.attempts.append(attempt)
            return
        repeats = random.choice((0, 0, 1, 2))
        await asyncio.gather(
            *(
                self._book_later(reference, random.choice(hosts), pause)
                for pause in (0.0, *(random.uniform(0, 0.5) for _ in range(repeats)))
            )
        )

    async def _book_later(self, reference: str, host: str, pause: float) -> None:
        await asyncio.sleep(pause)
        attempt = await self._caller.book(host, reference, reference)
        self.attempts.append(attempt)
