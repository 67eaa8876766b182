"""Requests that have begun end as they began, whatever leaves the configuration."""

import asyncio
from itertools import count

import pytest
from msgspec.structs import replace

from marigoldswitch.tests.gateway_site import (
    build_configuration,
    list_event_ids,
    run_scenario,
    run_site,
)

EVENTS = 150
CHANGE_SECONDS = 0.05
DESK_SECONDS = 1.2


def drop_routes(document):
    document["routes"] = []


def drop_one_route(document):
    del document["routes"][0]


def drop_accounts(document):
    document["tenants"] = [
        {"name": "other", "api_keys": ["key-of-another"], "priority": 1}
    ]


def drop_key(document):
    document["tenants"][0]["api_keys"] = ["key-of-another"]


def drop_all_keys(document):
    document["tenants"][0]["api_keys"] = []


def drop_services(document):
    document["services"] = []


def drop_services_and_routes(document):
    document["services"], document["routes"] = [], []


def rename_services(document):
    for item in document["services"]:
        item["name"] += "-new"
    for route in document["routes"]:
        route["service"] += "-new"


def tighten_routes(document):
    for route in document["routes"]:
        route |= {"timeout_ms": 1, "max_attempts": 1, "target_gap_ms": 1, "priority": 9}


def tighten_limits(document):
    document["limits"] = {"max_body_bytes": 1, "idle_timeout_ms": 1}


def change_kinds(document):
    for route in document["routes"]:
        route["route_type"] = "unsafe"
        route.pop("resumable", None)


CHANGES = (
    drop_routes,
    drop_one_route,
    drop_accounts,
    drop_key,
    drop_all_keys,
    drop_services,
    drop_services_and_routes,
    rename_services,
    tighten_routes,
    tighten_limits,
    change_kinds,
)


class Changer:
    """Writes configurations in quick succession, with and without a change.

    The hosts' settings are applied anew in between, as after SIGHUP.
    """

    def __init__(self, site):
        self._site = site
        self._versions = count(2)

    def write(self, change=None):
        """Write the next configuration; return its version."""
        document = build_configuration(next(self._versions))
        if change is not None:
            change(document)
        self._site.store.put("op", "config", document)
        return document["version"]

    async def put_in_force(self, change=None):
        """Write the next configuration and wait until all hosts have it."""
        version = self.write(change)
        hosts = [host.parts.runs.directory for host in self._site.hosts]
        await self._site.wait_until(
            lambda: all(item.version >= version for item in hosts)
        )

    async def run(self, change):
        """Write the changed and the first configuration in turn until cancelled."""
        for number in count():
            self.write(change if number % 2 == 0 else None)
            for host in self._site.hosts:
                share = 0.1 + 0.1 * (number % 3)
                host.apply_settings(replace(host.settings, retry_share=share))
            await asyncio.sleep(CHANGE_SECONDS)


async def begin_requests(site):
    """Begin a stream and plain requests, and return them and their answers."""
    stream = await site.call("/draft/", 1)
    assert stream.status == 200
    begun = await stream.content.readuntil(b"id: 3\n")
    plain = [
        asyncio.create_task(read_answer(site, path, number))
        for number, path in enumerate(("/once/", "/look/"), start=2)
    ]
    ids = {"try-2", "try-3"}
    await site.wait_until(lambda: ids <= {name for x in site.desks for name in x.runs})
    return stream, begun, plain


async def read_answer(site, path, number, host=0):
    async with site.call(path, number, host) as answer:
        return answer.status, await answer.read()


async def prepare(site):
    engine = await site.add_engine("x", "north", (0, 8))
    engine.events = EVENTS
    for desk in site.desks:
        desk.seconds = DESK_SECONDS
    registries = [host.parts.runs.directory.registry for host in site.hosts]
    await site.wait_until(lambda: all("x" in item.targets for item in registries))


async def check_whole(stream, begun, plain):
    body = begun + await stream.read()
    assert list_event_ids(body) == list(range(1, EVENTS + 1))
    for number, item in enumerate(plain, start=2):
        status, answer = await item
        assert status == 200
        assert answer.endswith(f" ran try-{number}".encode())


@pytest.mark.parametrize("change", CHANGES)
def test_running_requests_end_whole_when_their_configuration_is_replaced(change):
    async def scenario():
        async with run_site(desks=2, hosts=2) as site:
            await prepare(site)
            running = await begin_requests(site)
            await Changer(site).put_in_force(change)
            await check_whole(*running)

    run_scenario(scenario())


@pytest.mark.parametrize("change", CHANGES)
def test_running_requests_end_whole_during_a_series_of_changes(change):
    async def scenario():
        async with run_site(desks=2, hosts=2) as site:
            await prepare(site)
            running = await begin_requests(site)
            changing = asyncio.create_task(Changer(site).run(change))
            await check_whole(*running)
            changing.cancel()

    run_scenario(scenario())


def remove_rows(site):
    for name in ("x", *(desk.name for desk in site.desks)):
        site.store.delete("servers", name)


def drain_rows(site):
    for engine in site.engines.engines.values():
        if engine.name == "x":
            site.register_target(engine, "model", "north", "draining")
    for desk in site.desks:
        site.register_target(desk, "desk", "north", "draining")


def give_addresses_to_another_service(site):
    document = build_configuration(9)
    document["services"].append({"name": "other"})
    site.store.put("op", "config", document)
    remove_rows(site)
    for desk in site.desks:
        site.register_target(desk, "other", "north", name=f"{desk.name}-other")


@pytest.mark.parametrize("engines", [1, 2])
@pytest.mark.parametrize(
    "leave", [remove_rows, drain_rows, give_addresses_to_another_service]
)
def test_running_requests_end_whole_when_their_targets_leave(leave, engines):
    async def scenario():
        async with run_site(desks=2, hosts=2) as site:
            await prepare(site)
            running = await begin_requests(site)
            if engines == 2:
                spare = await site.add_engine("y", "north", (0, 8))
                spare.events = EVENTS
                await site.wait_for_layout()
            leave(site)
            await check_whole(*running)

    run_scenario(scenario())


@pytest.mark.parametrize("change", CHANGES)
def test_requests_that_wait_for_an_engine_are_answered_during_changes(change):
    async def scenario():
        async with run_site(desks=1, hosts=2) as site:
            changing = asyncio.create_task(Changer(site).run(change))
            calls = []
            for number in range(24):
                path = ("/draft/", "/once/")[number % 2]
                calls.append(
                    asyncio.create_task(read_answer(site, path, number, number % 2))
                )
                await asyncio.sleep(CHANGE_SECONDS / 3)
            await site.add_engine("x", "north", (0, 8))
            statuses = {(await call)[0] for call in calls}
            changing.cancel()
            assert 200 in statuses
            # With a time limit of 1 ms, requests end at their deadline.
            late = {504} if change is tighten_routes else set()
            assert statuses <= {200, 401, 404, 413, 503} | late

    run_scenario(scenario())


def test_request_whose_body_comes_during_changes_is_answered():
    async def scenario():
        async with run_site(desks=1) as site:

            async def send_slowly():
                for _ in range(8):
                    yield b"{}"
                    await asyncio.sleep(CHANGE_SECONDS)

            changing = asyncio.create_task(Changer(site).run(drop_services_and_routes))
            for number in range(4):
                async with site.call("/once/", number, data=send_slowly()) as answer:
                    assert answer.status in (200, 404)
                    await answer.read()
            changing.cancel()

    run_scenario(scenario())
