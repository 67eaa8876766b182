"""Stand-in for a plain service, such as a booking desk.

Each call is recorded, so that tests can count how often a request ran.
"""

import asyncio
from collections import Counter
from dataclasses import dataclass
from typing import Any

import orjson
from aiohttp import web


@dataclass(slots=True)
class ServiceFaults:
    """What goes wrong.

    :param delay: seconds that a call takes.
    :param refuse: calls are refused as not run.
    :param lose_answers: number of coming calls that run but whose answer is lost.
    """

    delay: float = 0.0
    refuse: bool = False
    lose_answers: int = 0
    leaving: bool = False


class PlainService:
    """One replica's state and its HTTP application."""

    def __init__(self, name: str, slots: int = 8) -> None:
        self.name = name
        self.slots = slots
        self.faults = ServiceFaults()
        self.ran: Counter[str] = Counter()
        """Times that each body was run, by its ``reference``."""
        self.running = 0

    def build_application(self) -> web.Application:
        """Return the HTTP application."""
        application = web.Application()
        application.router.add_post("/v1/calls", self._call)
        application.router.add_get("/v1/state", self._show_state)
        application.router.add_post("/control/faults", self._set_faults)
        application.router.add_get("/control/record", self._show_record)
        return application

    @property
    def load(self) -> dict[str, int]:
        """Return what the service says of its load."""
        return {
            "running": min(self.running, self.slots),
            "waiting": max(0, self.running - self.slots),
        }

    async def _call(self, http: web.Request) -> web.StreamResponse:
        order = await http.json(loads=orjson.loads)
        if self.faults.refuse or self.faults.leaving:
            return web.json_response(
                {
                    "not_run": True,
                    "advice": "retry_elsewhere",
                    "leaving": self.faults.leaving,
                },
                status=503,
            )
        self.running += 1
        try:
            await asyncio.sleep(self.faults.delay)
            reference = str(order["input"].get("reference", order["request"]))
            self.ran[reference] += 1
        finally:
            self.running -= 1
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            if http.transport is not None:
                http.transport.abort()
        answer = {"confirmed": reference, "by": self.name}
        return web.json_response({"answer": answer, "load": self.load})

    async def _show_state(self, http: web.Request) -> web.Response:
        state: dict[str, Any] = {"name": self.name, "load": self.load}
        return web.json_response(state | {"leaving": self.faults.leaving})

    async def _show_record(self, http: web.Request) -> web.Response:
        return web.json_response({"ran": self.ran})

    async def _set_faults(self, http: web.Request) -> web.Response:
        for name, value in (await http.json()).items():
            setattr(self.faults, name, value)
        return web.json_response({})
