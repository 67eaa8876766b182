"""Requests whose targets fall silent at one step, go on, and never end."""

import asyncio

import aiohttp
import pytest

from marigoldswitch.standins.platform_engines import Step, read_path
from marigoldswitch.tests.gateway_site import (
    ALL_EVENTS,
    build_configuration,
    list_event_ids,
    run_scenario,
    run_site,
)

SILENCE = 1.2
PATHS = {
    "stream": "/draft/",
    "one-time-stream": "/single/",
    "one-time": "/once/",
    "repeatable": "/look/",
}
ONE_TIME = ("one-time-stream", "one-time")
STREAMS = ("stream", "one-time-stream")
BESIDE = ("nothing", "configurations", "drain", "no_room", "no_retry")
CASES = [
    (kind, silent, beside)
    for kind in PATHS
    for silent in ("first", "later", "half", "all")
    for beside in BESIDE
    if kind in STREAMS or silent != "later"
]
ENDLESS_REFUSALS = 1_000_000
CONFIGURATION_PAUSE = 0.1


def build_steps_configuration(version):
    """Return a configuration that has a stream that may run once only as well."""
    configuration = build_configuration(version)
    stream = configuration["routes"][0]
    single = {**stream, "name": "/single/", "prefix": "/single/", "resumable": False}
    configuration["routes"].append(single)
    return configuration


class SilentSite:
    """A site on which one request gets targets that fall silent at a step."""

    def __init__(self, site, kind, silent, beside):
        self.site, self.kind = site, kind
        self._silent, self._beside = silent, beside
        self._version = 2
        self.targets = []

    async def prepare(self, step):
        """Start the targets and let them fall silent at a step."""
        site = self.site
        if self.kind in STREAMS:
            for name, held in (("a", (0, 4)), ("b", (4, 8))):
                for number in (0, 1):
                    engine = await site.add_engine(f"{name}{number}", "north", held)
                    self.targets.append(engine)
        else:
            self.targets = site.desks
        site.store.put("op", "config", build_steps_configuration(self._version))
        await site.wait_until(
            lambda: all(
                host.parts.runs.directory.version == self._version
                and len(host.parts.runs.directory.registry.targets) == len(self.targets)
                for host in site.hosts
            )
        )
        await site.wait_for_layout()
        silent_at = {step: SILENCE}
        for target in self.targets:
            target.silent_at, target.choose_silent = silent_at, self._choose_silent
        if self._beside == "no_retry":
            for host in site.hosts:
                host.parts.runs.retries.update_limits(0.0, 0.0)

    def _choose_silent(self, target, http):
        used = [target]
        if self.kind in STREAMS:
            path = read_path(http.headers["Hop-Count"])
            used = [self.site.engines.engines[address] for address, _, _ in path]
        if self._beside == "no_room":
            for item in self.targets:
                item.refusals = 0 if item in used else ENDLESS_REFUSALS
        others = [item for item in self.targets if item not in used]
        match self._silent:
            case "first":
                return used[:1]
            case "later":
                return used[1:]
            case "half":
                return [*used, *others][: len(self.targets) // 2]
        return self.targets

    async def disturb(self):
        """Do what is done beside the silence, once it has begun."""
        site = self.site
        await site.wait_until(
            lambda: any(not item.awake.is_set() for item in self.targets)
        )
        if self._beside == "drain":
            await site.hosts[0].drain()
        while self._beside == "configurations":
            self._version += 1
            site.store.put("op", "config", build_steps_configuration(self._version))
            if all(item.awake.is_set() for item in self.targets):
                return
            await asyncio.sleep(CONFIGURATION_PAUSE)

    async def call(self):
        """Send the request; return what is wrong with its end, if anything is."""
        method = "GET" if self.kind == "repeatable" else "POST"
        try:
            async with self.site.call(PATHS[self.kind], 1, method=method) as answer:
                body = await answer.read()
        except aiohttp.ClientPayloadError:
            return "broken off"
        except aiohttp.ClientError as error:
            return type(error).__name__
        if answer.status != 200:
            return f"{answer.status} {body.decode()}"
        if self.kind in STREAMS and list_event_ids(body) != ALL_EVENTS:
            return f"events {list_event_ids(body)}"
        return None

    def count_runs(self):
        """Return how often the request has run."""
        return sum(item.runs["try-1"] for item in self.targets)


@pytest.mark.parametrize(("kind", "silent", "beside"), CASES)
def test_no_request_is_given_up_because_its_targets_are_silent(kind, silent, beside):
    failures = {}

    async def play(step):
        desks = 0 if kind in STREAMS else 4
        hosts = 2 if silent == "all" else 1
        async with run_site(desks=desks, hosts=hosts) as site:
            play = SilentSite(site, kind, silent, beside)
            await play.prepare(step)
            disturbance = asyncio.create_task(play.disturb())
            failure = await play.call()
            await disturbance
            if kind in ONE_TIME and play.count_runs() > 1:
                failure = f"{play.count_runs()} runs, {failure}"
            if failure is not None:
                failures[step.value] = failure

    async def scenario():
        await asyncio.gather(*(play(step) for step in Step if applies(kind, step)))
        assert failures == {}

    run_scenario(scenario())


def applies(kind, step):
    """Return whether an answer of a kind has a step."""
    return kind in STREAMS or step is not Step.BETWEEN
