"""A new configuration takes away the last key of the only tenant.

Asks with that key and with one that no configuration ever held, before and after.
"""

import asyncio
import os
import time
from pathlib import Path
from typing import Any

from review.rig.deployment import (
    BOUNDS,
    BROKEN,
    COULD_NOT_RUN,
    HELD,
    Deployment,
    build_configuration,
    build_route,
    play_case,
)

HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
FOLDER = Path(__file__).resolve().parent
HELD_KEY = "n2ctnfzs989anu6wsjnb"
UNHELD_KEY = "zq7nobodyeverheldthis"
ASKS = 20
"""Requests with each key, before and after the change."""
MARGIN_SECONDS = 0.5
"""Time beyond ``config_apply_ms`` before the first request that is judged."""
SERVED_SHARE = 0.9
"""Share of the proper requests that must be served for the play to tell anything."""


def build(version: int, keys: list[str]) -> dict[str, Any]:
    """Return the configuration with one tenant that has these keys."""
    routes = [
        build_route("dropoff", "/dropoff/", "unsafe", "desk"),
        build_route("pickup", "/pickup/", "safe", "desk"),
    ]
    tenants = [{"name": "hule930", "api_keys": keys, "priority": 1}]
    return build_configuration(version, routes, ["desk"], tenants)


async def ask_all(rig: Deployment, key: str, label: str) -> list[int]:
    """Send requests with a key to all hosts in turn; return the statuses."""
    statuses = []
    for number in range(ASKS):
        host = rig.hosts[number % len(rig.hosts)]
        method, path, body = "GET", f"/pickup/{number}/2f", None
        if number % 4 < 2:
            method, path, body = "POST", "/dropoff/2f", f"booking {number}".encode()
        status = await rig.ask(host, method, path, key, body=body, label=label)
        statuses.append(status)
        await asyncio.sleep(0.02)
    return statuses


def list_runs(rig: Deployment, label: str) -> list[dict[str, Any]]:
    """Return the runs of the requests with a label."""
    attempts = {
        line["attempt"] for line in rig.record.lines if line.get("label") == label
    }
    return [
        run
        for replica in rig.replicas
        for run in replica.runs
        if run["attempt"] in attempts
    ]


async def play() -> int:
    """Play the case; return the exit status."""
    async with Deployment(("recife-a", "recife-b")) as rig:
        rig.store.put("op", "config", build(3, [HELD_KEY]))
        for number in range(3):
            await rig.add_replica(f"i-{number}desk", "desk", 0.02)
        await rig.start_hosts()
        before = await ask_all(rig, HELD_KEY, "held key, before")
        unheld_before = await ask_all(rig, UNHELD_KEY, "unheld key, before")
        rig.store.put("op", "config", build(8, [] if HAS_TROUBLE else [HELD_KEY]))
        acknowledged = time.monotonic()
        rig.record.note("configuration 8 acknowledged", takes_key=HAS_TROUBLE)
        apply_seconds = BOUNDS["config_apply_ms"] / 1000
        await asyncio.sleep(apply_seconds + MARGIN_SECONDS)
        waited = time.monotonic() - acknowledged
        after = await ask_all(rig, HELD_KEY, "held key, after")
        unheld_after = await ask_all(rig, UNHELD_KEY, "unheld key, after")
    dropped = list_runs(rig, "held key, after") if HAS_TROUBLE else []
    unheld = [
        *list_runs(rig, "unheld key, before"),
        *list_runs(rig, "unheld key, after"),
    ]
    rig.note_runs()
    summary = [
        f"the tenant's last key is taken away: {HAS_TROUBLE}",
        f"first request after the acknowledgement: {waited:.2f} s",
        f"statuses with the held key: {set(before)} before, {set(after)} after",
        f"with one never held: {set(unheld_before)} before, {set(unheld_after)} after",
        f"ROUTE: runs with a key that no configuration ever held: {len(unheld)}",
        f"CONFIG: runs with a dropped key, later than allowed: {len(dropped)}",
        f"of both, without a tenant: {count_without_tenant(dropped + unheld)}",
    ]
    rig.record.write(FOLDER / "record.txt", summary)
    print("\n".join(summary))
    if before.count(200) < SERVED_SHARE * ASKS:
        return COULD_NOT_RUN
    return BROKEN if unheld or dropped else HELD


def count_without_tenant(runs: list[dict[str, Any]]) -> int:
    """Return the number of runs without a ``Tenant`` header."""
    return sum(run["tenant"] is None for run in runs)


if __name__ == "__main__":
    play_case(play)
