"""Test fixture: a gateway host as a process of its own, and crowds of harmful clients.

The host's limits are lowered, so that a small crowd exceeds what an unbounded host
holds. Its memory is what the process uses and what waits unread in its sockets.
"""

import asyncio
import contextlib
import itertools
import os
import select
import signal
import socket
import subprocess
import sys
import threading
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

import aiohttp
import orjson
from aiohttp import web

from marigoldswitch.standins.platform_engines import PlainStandin
from marigoldswitch.standins.platform_store import StoreStandin

MEMORY_MB = 160
MAX_DESCRIPTORS = 360
FILE_DESCRIPTORS = 200
"""Part of the descriptors that is reserved for files; sockets share the others."""
BODY_BYTES = 1_000_000
"""Largest legal body."""
ANSWER_BYTES = 900_000
LONG_ANSWER_BYTES = 4_000_000
SLOW_SECONDS = 3.0
GRACE_SECONDS = 3
KEY = "key-of-a-workshop"
PIECE = bytes(50_000)
SAMPLE_SECONDS = 0.02
SETTLE_SECONDS = 1.0
"""Time without progress after which a crowd has sent what it can."""
MAX_GATHER_SECONDS = 12.0
RECONNECT_SECONDS = 0.25
MAX_TRIES = 60
TRY_SECONDS = 10.0
NOT_RUN = frozenset({408, 421, 429, 503})
"""Statuses that promise that a request has not run."""


class CrowdDesk(PlainStandin):
    """Target that keeps no bodies; the end of the path says how it answers."""

    async def handle(self, http: web.BaseRequest) -> web.StreamResponse:
        """Answer one request with the length of its body, or with a long body."""
        body = await http.read()
        refusal = self.check_head(http)
        if refusal is not None:
            return refusal
        self.runs[http.headers["Attempt-Id"]] += 1
        answer = str(len(body)).encode()
        match http.path.rpartition("/")[2]:
            case "slow":
                await asyncio.sleep(SLOW_SECONDS)
            case "large":
                answer = bytes(ANSWER_BYTES)
            case "long":
                answer = bytes(LONG_ANSWER_BYTES)
        return web.Response(headers=self.sign(http), body=answer)


@dataclass
class Peaks:
    """Most that a process has held at once, as sampled."""

    memory: int = 0
    unread: int = 0
    descriptors: int = 0
    sockets: int = 0


class Sampler:
    """Samples in a thread what a process holds."""

    def __init__(self, process: int, ip: str) -> None:
        self.peaks = Peaks()
        self._folder = Path(f"/proc/{process}")
        self._ip = socket.inet_aton(ip)[::-1].hex().upper()
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        self._thread.start()

    def stop(self) -> None:
        self._stopped.set()
        self._thread.join()

    def _run(self) -> None:
        while not self._stopped.wait(SAMPLE_SECONDS):
            with contextlib.suppress(OSError, ValueError):
                self._sample()

    def _sample(self) -> None:
        inodes, count = set(), 0
        for item in (self._folder / "fd").iterdir():
            count += 1
            with contextlib.suppress(OSError):
                name = os.readlink(item)
                if name.startswith("socket:["):
                    inodes.add(name[8:-1])
        unread = 0
        for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
            _, local, _, state, queues, _, _, _, _, inode, *_ = line.split()
            if state == "0A":
                continue
            is_unaccepted = inode == "0" and local.startswith(self._ip + ":")
            if is_unaccepted or inode in inodes:
                unread += int(queues.partition(":")[2], 16)
        peaks = self.peaks
        peaks.unread = max(peaks.unread, unread)
        peaks.memory = max(peaks.memory, self._read_status("VmRSS") + unread)
        peaks.memory = max(peaks.memory, self._read_status("VmHWM"))
        peaks.descriptors = max(peaks.descriptors, count)
        peaks.sockets = max(peaks.sockets, len(inodes))

    def _read_status(self, name: str) -> int:
        for line in (self._folder / "status").read_text().splitlines():
            if line.startswith(name + ":"):
                return int(line.split()[1]) * 1024
        raise ValueError(name)


class HostSite:
    """A host process on loopback, its store and its targets.

    :ivar refused: ids of the requests that were refused as not run.
    :ivar once: ids of the requests that may run only once.
    """

    def __init__(self, folder: Path) -> None:
        number = os.getpid()
        self.ip = f"127.{50 + number % 200}.{number // 200 % 250}.1"
        self.callers = (self.ip, 8227)
        self.readiness = (self.ip, 8220)
        self.peers = (self.ip, 8229)
        self.proxied = (self.ip, 7341)
        self.metrics = (self.ip, 7355)
        self.store = StoreStandin()
        self.desks = [CrowdDesk("d0"), CrowdDesk("d1")]
        self.refused: set[str] = set()
        self.once: set[str] = set()
        self._folder = folder
        self._numbers = itertools.count()

    async def start(self, is_configured: bool) -> None:
        await self.store.start()
        for desk in self.desks:
            await desk.start()
            row = {
                "service": "desk",
                "address": desk.address,
                "zone": "north",
                "version": "v1",
                "slots": 96,
                "phase": "ready",
                "cold_remaining_ms": 0,
                "sequence": 1,
                "route_type": "",
                "layers": None,
            }
            self.store.put("servers", desk.name, row)
        if is_configured:
            self.store.put("op", "config", self._build_configuration())
        path = self._folder / "settings.json"
        path.write_bytes(orjson.dumps(self._build_settings()))
        self._start_process(path)
        self.sampler = Sampler(self.process.pid, self.ip)
        await self._wait_until_listening(200 if is_configured else 503)
        self.sampler.start()

    def _start_process(self, settings_file: Path) -> None:
        with (self._folder / "host.log").open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "marigoldswitch.platform.daemon"],
                env={**os.environ, "MARIGOLDSWITCH_CONFIG": str(settings_file)},
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    async def stop(self) -> None:
        self.sampler.stop()
        self.process.kill()
        self.process.wait()
        for desk in self.desks:
            await desk.stop()
            desk.release()
        await self.store.stop()

    def _build_configuration(self):
        def route(prefix, kind):
            return {
                "name": prefix,
                "host": "drafts.example",
                "prefix": prefix,
                "route_type": kind,
                "timeout_ms": 8_000,
                "target_latency_ms": 500,
                "priority": 1,
                "service": "desk",
                "max_attempts": 2,
            }

        return {
            "version": 1,
            "routes": [route("/once/", "unsafe"), route("/look/", "safe")],
            "services": [{"name": "desk"}],
            "tenants": [{"name": "workshop", "api_keys": [KEY], "priority": 1}],
            "limits": {
                "max_body_bytes": BODY_BYTES,
                "max_header_bytes": 16_384,
                "header_timeout_ms": 3_000,
                "idle_timeout_ms": 15_000,
            },
        }

    def _build_settings(self):
        return {
            "node_name": "host-0",
            "ip": self.ip,
            "zone": "north",
            "region": "isle",
            "listen": {
                "frontend": "{}:{}".format(*self.callers),
                "ready": "{}:{}".format(*self.readiness),
                "control_plane": "{}:{}".format(*self.peers),
            },
            "port_range": [7340, 7355],
            "seeds": [],
            "bootstrap": True,
            "limits": {"memory_mb": MEMORY_MB, "max_fds": MAX_DESCRIPTORS},
            "bounds": {"grace_s": GRACE_SECONDS, "retry_allowance": 198},
            "platform": {"address": self.store.address},
        }

    async def _wait_until_listening(self, status: int) -> None:
        address = "http://{}:{}/readyz".format(*self.readiness)
        async with asyncio.timeout(60.0), aiohttp.ClientSession() as session:
            while True:
                with contextlib.suppress(aiohttp.ClientError):
                    async with session.get(address) as answer:
                        if answer.status == status:
                            return
                await asyncio.sleep(0.1)

    # An ordinary caller.

    def name_request(self) -> str:
        return f"try-{next(self._numbers)}"

    async def ask(self, size: int = 100, wanted: int = 200) -> None:
        """Send a request on new connections until it is answered as wanted.

        A caller comes back after a refusal or a lost connection, as clients do.

        :param size: of its body, in bytes.
        """
        ends: Counter[object] = Counter()
        for _ in range(MAX_TRIES):
            name, pause = self.name_request(), 0.1
            try:
                async with (
                    asyncio.timeout(TRY_SECONDS),
                    aiohttp.ClientSession() as session,
                    session.post(
                        "http://{}:{}/look/2f".format(*self.callers),
                        headers=build_headers(name),
                        data=bytes(size),
                    ) as answer,
                ):
                    body = await answer.read()
            except (aiohttp.ClientError, TimeoutError, OSError) as error:
                ends[type(error).__name__] += 1
                await asyncio.sleep(pause)
                continue
            ends[answer.status] += 1
            self.note_end(name, answer.status)
            if answer.status in {429, 503}:
                assert "Retry-After" in answer.headers
            if answer.status == wanted:
                assert wanted != 200 or body == str(size).encode()
                return
            pause = min(0.5, float(answer.headers.get("Retry-After", pause)))
            await asyncio.sleep(pause)
        raise AssertionError(f"no ordinary request got {wanted}: {ends}")

    async def ask_in_chunks(self, size: int, chunk: int) -> None:
        """Send a body in small chunks and expect its answer at the first try."""

        async def split():
            for _ in range(size // chunk):
                yield bytes(chunk)

        async with (
            aiohttp.ClientSession() as session,
            session.post(
                "http://{}:{}/look/2f".format(*self.callers),
                headers=build_headers(self.name_request()),
                data=split(),
            ) as answer,
        ):
            assert answer.status == 200
            assert await answer.read() == str(size).encode()

    async def read_slowly(self, end: str, size: int) -> None:
        """Read a long answer piece by piece and expect all of it."""
        loop, sock = asyncio.get_running_loop(), socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16_384)
        sock.setblocking(False)
        with sock:
            await loop.sock_connect(sock, self.callers)
            headers = build_headers(self.name_request()) | {"Connection": "close"}
            head = build_head("GET", f"/look/{end}", headers)
            await loop.sock_sendall(sock, head)
            received = b""
            while part := await loop.sock_recv(sock, 20_000):
                received += part
                await asyncio.sleep(0.02)
        head, _, body = received.partition(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 200")
        assert len(body) == size

    def note_end(self, name: str, status: int) -> None:
        if status in NOT_RUN:
            self.refused.add(name)

    # What must hold.

    def check(self) -> None:
        """Assert that the process lives within its limits and keeps its promises."""
        assert self.process.poll() is None, "the process has ended"
        self.check_bounds()

    def check_bounds(self) -> None:
        peaks = self.sampler.peaks
        assert peaks.memory <= MEMORY_MB * 1024 * 1024, peaks
        assert peaks.descriptors <= MAX_DESCRIPTORS, peaks
        assert peaks.sockets <= MAX_DESCRIPTORS - FILE_DESCRIPTORS, peaks
        runs = sum((desk.runs for desk in self.desks), Counter())
        assert not self.refused & set(runs), "ran though refused as not run"
        assert max(runs.values(), default=0) <= 2
        assert max((runs[name] for name in self.once), default=0) <= 1

    async def wait_until_ended(self) -> None:
        """Wait until a process that was told to stop has ended by itself."""
        async with asyncio.timeout(10.0 * GRACE_SECONDS):
            while self.process.poll() is None:
                await asyncio.sleep(0.05)
        assert self.process.returncode == 0

    def terminate(self) -> None:
        self.process.send_signal(signal.SIGTERM)


@contextlib.asynccontextmanager
async def run_host(folder: Path, is_configured: bool = True):
    """Run a host process, and end it at the end of the test."""
    site = HostSite(folder)
    try:
        await site.start(is_configured)
        yield site
    finally:
        await site.stop()


def build_headers(name: str, key: str = KEY) -> dict[str, str]:
    return {
        "Host": "drafts.example",
        "Attempt-Id": name,
        "Authorization": f"Token {key}",
        "Deadline-Ms": "7000",
    }


# Clients that don't behave.


def build_head(method: str, path: str, headers: dict[str, str]) -> bytes:
    lines = [f"{method} {path} HTTP/1.1", *(f"{k}: {v}" for k, v in headers.items())]
    return "\r\n".join([*lines, "", ""]).encode()


def split_body(size: int):
    """Yield the pieces of a body."""
    while size > 0:
        yield PIECE[: min(size, len(PIECE))]
        size -= len(PIECE)


@dataclass
class Member:
    """One connection of a crowd, which is opened again whenever the host closes it."""

    crowd: "Crowd"
    sock: socket.socket

    async def send(self, data: bytes) -> None:
        await asyncio.get_running_loop().sock_sendall(self.sock, data)
        self.crowd.sent += len(data)

    async def send_head(self, path="/look/2f", method="POST", **headers) -> str:
        """Send the head of a request; return the request's id."""
        name = self.crowd.site.name_request()
        fields = {
            **build_headers(name, self.crowd.key),
            **self.crowd.headers,
            **{k.replace("_", "-"): str(v) for k, v in headers.items()},
        }
        await self.send(build_head(method, path, fields))
        return name

    async def receive_status(self) -> int:
        """Read an answer up to its end; return its status."""
        data, loop = b"", asyncio.get_running_loop()
        while True:
            part = await loop.sock_recv(self.sock, 65_536)
            data += part
            head, found, rest = data.partition(b"\r\n\r\n")
            length = 0
            for line in head.split(b"\r\n"):
                if line.lower().startswith(b"content-length:"):
                    length = int(line.split(b":")[1])
            if found and len(rest) >= length:
                return int(head.split()[1])
            if not part:
                raise ConnectionResetError

    async def stay(self) -> None:
        """Keep the connection, reading nothing, until the host closes it."""
        poll = select.poll()
        poll.register(self.sock, select.POLLHUP | select.POLLERR | select.POLLRDHUP)
        while not poll.poll(0):
            await asyncio.sleep(RECONNECT_SECONDS)


@dataclass
class Crowd:
    """Clients that all do the same for as long as the crowd is there."""

    site: HostSite
    act: object
    count: int
    address: tuple[str, int]
    key: str = KEY
    headers: dict[str, str] = field(default_factory=dict)
    sent: int = 0

    async def _belong(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            sock = socket.socket()
            sock.setblocking(False)
            try:
                await loop.sock_connect(sock, self.address)
                await self.act(Member(self, sock))
            except OSError:
                pass
            finally:
                sock.close()
            await asyncio.sleep(RECONNECT_SECONDS)

    @contextlib.asynccontextmanager
    async def gather(self):
        """Run the crowd; it has sent what it can when the context is entered."""
        members = [asyncio.create_task(self._belong()) for _ in range(self.count)]
        try:
            await self._settle()
            yield
        finally:
            for member in members:
                member.cancel()
            await asyncio.gather(*members, return_exceptions=True)

    async def _settle(self) -> None:
        loop = asyncio.get_running_loop()
        last, last_at, end = 0, loop.time(), loop.time() + MAX_GATHER_SECONDS
        while loop.time() < min(end, last_at + SETTLE_SECONDS):
            await asyncio.sleep(0.1)
            if self.sent != last:
                last, last_at = self.sent, loop.time()


async def send_ahead(member: Member) -> None:
    """Send many requests ahead, each with a body, and read no answer."""
    for _ in range(200):
        await member.send_head("/look/slow", Content_Length=250_000)
        for piece in split_body(250_000):
            await member.send(piece)
    await member.stay()


async def send_short_ahead(member: Member) -> None:
    """Send thousands of small requests ahead and read no answer."""
    for _ in range(3_000):
        await member.send_head(method="GET")
    await member.stay()


async def send_whole(member: Member) -> None:
    """Send whole bodies of the largest size to a slow target, and read the answers."""
    while True:
        name = await member.send_head("/look/slow", Content_Length=BODY_BYTES)
        for piece in split_body(BODY_BYTES):
            await member.send(piece)
        member.crowd.site.note_end(name, await member.receive_status())


async def send_whole_once(member: Member) -> None:
    """Do the same with requests that may run only once."""
    while True:
        name = await member.send_head("/once/slow", Content_Length=BODY_BYTES)
        member.crowd.site.once.add(name)
        for piece in split_body(BODY_BYTES):
            await member.send(piece)
        member.crowd.site.note_end(name, await member.receive_status())


async def announce_body(member: Member) -> None:
    """Announce a body of the largest size and send none of it."""
    await member.send_head(Content_Length=BODY_BYTES)
    await member.stay()


async def stop_short(member: Member) -> None:
    """Send all but the last byte of a body, in pieces, and stay."""
    await member.send_head(Content_Length=BODY_BYTES)
    for piece in split_body(BODY_BYTES - 1):
        await member.send(piece)
        await asyncio.sleep(0.01)
    await member.stay()


async def stop_short_in_chunks(member: Member) -> None:
    """Do the same with a body in chunks."""
    await member.send_head(Transfer_Encoding="chunked")
    for piece in split_body(BODY_BYTES):
        await member.send(b"%x\r\n%b\r\n" % (len(piece), piece))
        await asyncio.sleep(0.01)
    await member.stay()


async def send_tiny_chunks(member: Member) -> None:
    """Send a body of a legal size in chunks of one byte."""
    await member.send_head(Transfer_Encoding="chunked")
    for _ in range(BODY_BYTES // 10_000):
        await member.send(b"1\r\nx\r\n" * 10_000)
    await member.stay()


async def send_trailers(member: Member) -> None:
    """Send long trailers that don't end."""
    await member.send_head(Transfer_Encoding="chunked")
    await member.send(b"1\r\nx\r\n0\r\n")
    for number in range(120):
        await member.send(b"Trail-%d: %b\r\n" % (number, PIECE.replace(b"\0", b"x")))
    await member.stay()


async def send_long_head(member: Member) -> None:
    """Send many long header lines, without the end of the head."""
    await member.send(b"GET /look/2f HTTP/1.1\r\nHost: drafts.example\r\n")
    for number in range(120):
        await member.send(b"Line-%d: %b\r\n" % (number, PIECE.replace(b"\0", b"x")))
    await member.stay()


async def begin_head(member: Member) -> None:
    """Send the beginning of a head, and stay."""
    await member.send(b"POST /look/2f HTTP/1.1\r\nHost: drafts")
    await member.stay()


async def say_nothing(member: Member) -> None:
    """Open a connection, and stay."""
    await member.stay()


async def upgrade(member: Member) -> None:
    """Ask for another protocol and go on sending."""
    await member.send_head("/look/slow", Connection="upgrade", Upgrade="websocket")
    for piece in split_body(BODY_BYTES):
        await member.send(piece)
    await member.stay()


async def leave_large_answers(member: Member) -> None:
    """Ask for large answers and read none."""
    for _ in range(20):
        await member.send_head("/look/large", method="GET")
    await member.stay()


async def leave_long_answers(member: Member) -> None:
    """Ask for answers that are longer than a host keeps, and read none."""
    for _ in range(20):
        await member.send_head("/look/long", method="GET")
    await member.stay()


async def leave_metrics(member: Member) -> None:
    """Ask for metrics ahead and read none."""
    for _ in range(400):
        await member.send(build_head("GET", "/metrics", {"Host": "x"}))
    await member.stay()


async def send_endless_body(member: Member) -> None:
    """Send a body without end."""
    await member.send_head(Transfer_Encoding="chunked")
    for _ in range(1_000):
        await member.send(b"%x\r\n%b\r\n" % (len(PIECE), PIECE))
    await member.stay()


async def send_nameless(member: Member) -> None:
    """Send malformed requests ahead, with bodies that stop short of their ends."""
    await member.send(
        b"POST /look/2f HTTP/1.1\r\nHost: drafts.example\r\n"
        b"Content-Length: %d\r\n\r\n" % BODY_BYTES
    )
    for piece in split_body(BODY_BYTES - 1):
        await member.send(piece)
    await member.stay()


async def stop_short_in_frame(member: Member) -> None:
    """Send a message between hosts without its end."""
    size = 8_000_000
    await member.send(size.to_bytes(4, "big"))
    for piece in split_body(size - 1):
        await member.send(piece)
    await member.stay()


async def send_wrong_frames(member: Member) -> None:
    """Send messages between hosts that no host has signed."""
    await member.send((500_000).to_bytes(4, "big"))
    for piece in split_body(500_000):
        await member.send(piece)
    await member.stay()
