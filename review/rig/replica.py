"""Stand-in for one replica of a plain service, run as a process of its own.

It speaks the part of the protocol that a sound replica of a plain service needs:
``Expect-Replica``, ``Attempt-Id``, ``Replica-Signature``, the health check, and a
refusal with ``Not-Executed`` beyond its slots. Each run goes to standard output as one
JSON line before it begins.
"""

import asyncio
import json
import sys
import time

from aiohttp import web


class Replica:
    """One incarnation of a replica.

    :param name: its id.
    :param work_seconds: time that a request takes.
    :param slots: requests that it runs at once; beyond that it refuses.
    """

    def __init__(self, name: str, work_seconds: float, slots: int) -> None:
        self._name = name
        self._work_seconds = work_seconds
        self._slots = slots
        self._running = 0

    async def handle(self, http: web.BaseRequest) -> web.StreamResponse:
        """Answer one request."""
        body = await http.read()
        if http.path == "/healthz":
            return web.Response(headers={"Replica-Id": self._name})
        if http.path == "/report":
            return web.Response(status=404)
        attempt = http.headers.get("Attempt-Id", "")
        if not attempt:
            return self._refuse(attempt, 400)
        if http.headers.get("Expect-Replica", self._name) != self._name:
            return self._refuse(attempt, 421)
        if self._running >= self._slots:
            return self._refuse(attempt, 503)
        return await self._run(http, attempt, body)

    async def _run(
        self, http: web.BaseRequest, attempt: str, body: bytes
    ) -> web.StreamResponse:
        run = {
            "at": time.monotonic(),
            "replica": self._name,
            "attempt": attempt,
            "method": http.method,
            "path": http.raw_path,
            "tenant": http.headers.get("Tenant"),
            "shown_key": "Authorization" in http.headers,
        }
        print(json.dumps(run), flush=True)
        self._running += 1
        try:
            await asyncio.sleep(self._work_seconds)
        finally:
            self._running -= 1
        headers = {
            "Attempt-Id": attempt,
            "Replica-Signature": f"signed-by-{self._name}",
            "Replica-Load": f"{self._running},0,{self._slots}",
        }
        answer = f"{self._name} ran {attempt} with {len(body)} bytes".encode()
        return web.Response(headers=headers, body=answer)

    def _refuse(self, attempt: str, status: int) -> web.Response:
        headers = {
            "Attempt-Id": attempt,
            "Not-Executed": "1",
            "Replica-Id": self._name,
        }
        return web.Response(status=status, headers=headers)


async def main() -> None:
    """Serve until the process is killed."""
    name, address, work_seconds, slots = sys.argv[1:]
    host, _, port = address.rpartition(":")
    replica = Replica(name, float(work_seconds), int(slots))
    server = web.Server(replica.handle, handler_cancellation=True, access_log=None)
    runner = web.ServerRunner(server)
    await runner.setup()
    await web.TCPSite(runner, host, int(port), reuse_address=True).start()
    print(json.dumps({"ready": name}), flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main())
