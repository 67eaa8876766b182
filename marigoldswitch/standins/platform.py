"""Stand-in for the platform: table service, object store and host list.

It keeps everything in memory and can be told to be out, slow or forgetful of answers.
"""

import asyncio
from dataclasses import dataclass, field
from typing import Any

import orjson
from aiohttp import web

from marigoldswitch.stores import decode_bytes, encode_bytes


@dataclass(slots=True)
class PlatformFaults:
    """What goes wrong.

    :param out: every call is answered 503 without effect.
    :param delay: seconds before each call takes effect.
    :param lose_answers: number of coming writes whose answer is lost after the effect.
    :param cut: peers that cannot reach the platform, by the host they name.
    """

    out: bool = False
    delay: float = 0.0
    lose_answers: int = 0
    cut: set[str] = field(default_factory=set)


class Platform:
    """The stand-in's state and its HTTP application."""

    def __init__(self) -> None:
        self.rows: dict[tuple[str, str], tuple[bytes, int]] = {}
        self.objects: dict[str, bytes] = {}
        self.hosts: dict[str, dict[str, Any]] = {}
        self.faults = PlatformFaults()
        self.reads = 0
        self.writes = 0

    def build_application(self) -> web.Application:
        """Return the HTTP application."""
        application = web.Application(client_max_size=64 * 1024 * 1024)
        application.router.add_post("/table/read", self._serve(self._read))
        application.router.add_post("/table/scan", self._serve(self._scan))
        application.router.add_post("/table/transact", self._serve(self._transact))
        application.router.add_post("/objects/get", self._serve(self._get))
        application.router.add_post("/objects/put", self._serve(self._put))
        application.router.add_post("/hosts", self._serve(self._list_hosts))
        application.router.add_post("/control/faults", self._set_faults)
        application.router.add_post("/control/hosts", self._set_hosts)
        return application

    def add_host(self, host: str, role: str, data_centre: str, address: str) -> None:
        """Put a machine on the host list."""
        self.hosts[host] = {
            "id": host,
            "role": role,
            "data_centre": data_centre,
            "address": address,
            "leaving": False,
        }

    def _serve(self, operate: Any) -> Any:
        async def handle(http: web.Request) -> web.StreamResponse:
            body = orjson.loads(await http.read())
            if self.faults.out or http.headers.get("X-Host", "") in self.faults.cut:
                return web.json_response({"error": "out"}, status=503)
            if self.faults.delay:
                await asyncio.sleep(self.faults.delay)
            status, answer, wrote = operate(body)
            if wrote and self.faults.lose_answers > 0:
                self.faults.lose_answers -= 1
                if http.transport is not None:
                    http.transport.close()
            return web.Response(body=orjson.dumps(answer), status=status)

        return handle

    def _read(self, body: dict[str, Any]) -> tuple[int, dict[str, Any], bool]:
        self.reads += 1
        row = self.rows.get((body["table"], body["key"]))
        return 200, {"row": _format_row(row)}, False

    def _scan(self, body: dict[str, Any]) -> tuple[int, dict[str, Any], bool]:
        self.reads += 1
        found = {
            key: _format_row(row)
            for (table, key), row in self.rows.items()
            if table == body["table"] and key.startswith(body["prefix"])
        }
        return 200, {"rows": found}, False

    def _transact(self, body: dict[str, Any]) -> tuple[int, dict[str, Any], bool]:
        self.writes += 1
        for put in body["puts"]:
            _, version = self.rows.get((put["table"], put["key"]), (b"", 0))
            if version != put["expect"]:
                return 409, {"conflict": put["key"]}, False
        for put in body["puts"]:
            place = (put["table"], put["key"])
            if put["value"] is None:
                self.rows.pop(place, None)
            else:
                self.rows[place] = (decode_bytes(put["value"]), put["expect"] + 1)
        return 200, {}, True

    def _get(self, body: dict[str, Any]) -> tuple[int, dict[str, Any], bool]:
        self.reads += 1
        content = self.objects.get(body["key"])
        encoded = None if content is None else encode_bytes(content)
        return 200, {"content": encoded}, False

    def _put(self, body: dict[str, Any]) -> tuple[int, dict[str, Any], bool]:
        self.writes += 1
        self.objects[body["key"]] = decode_bytes(body["content"])
        return 200, {}, True

    def _list_hosts(self, body: dict[str, Any]) -> tuple[int, dict[str, Any], bool]:
        self.reads += 1
        return 200, {"hosts": list(self.hosts.values())}, False

    async def _set_faults(self, http: web.Request) -> web.Response:
        for name, value in (await http.json()).items():
            setattr(self.faults, name, set(value) if name == "cut" else value)
        return web.json_response({})

    async def _set_hosts(self, http: web.Request) -> web.Response:
        for item in await http.json():
            self.hosts[item["id"]] = item
        return web.json_response({})


def _format_row(row: tuple[bytes, int] | None) -> dict[str, Any] | None:
    return None if row is None else {"value": encode_bytes(row[0]), "version": row[1]}
