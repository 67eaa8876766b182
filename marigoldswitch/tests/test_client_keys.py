"""Callers need a key as long as the configuration names client accounts."""

import orjson
import pytest
from structlog.testing import capture_logs

from marigoldswitch.gateway.client_keys import ClientKeys
from marigoldswitch.gateway.metrics import GatewayMetrics
from marigoldswitch.metrics import Metrics
from marigoldswitch.platform.configuration import decode_configuration
from marigoldswitch.tests.gateway_site import (
    ACCOUNT,
    KEY,
    build_configuration,
    run_scenario,
    run_site,
)

UNKNOWN_KEY = "key-that-nobody-holds"
NO_KEYS = [{"name": ACCOUNT, "api_keys": []}]
PATHS = (("/once/", "POST"), ("/look/", "GET"))


def build_document(version, tenants):
    """Return a configuration whose last route is public."""
    document = build_configuration(version)
    document["tenants"] = tenants
    public = {**document["routes"][-1], "prefix": "/public/", "public": True}
    document["routes"].append(public)
    return document


def decode(document):
    return decode_configuration(orjson.dumps(document))


# Guards against a check of keys that ends when the last key is taken away.
@pytest.mark.parametrize(
    "tenants",
    [
        NO_KEYS,
        [{"name": "a", "api_keys": []}, {"name": "b", "api_keys": []}],
        [{"name": ACCOUNT}],
        [{"name": ACCOUNT, "api_keys": None}],
        [],
        None,
    ],
)
def test_accounts_without_any_key_leave_the_check_of_keys_on(tenants):
    table = decode(build_document(2, tenants)).unwrap().table
    assert table.needs_keys
    assert not table.accounts


def test_configuration_that_names_no_accounts_needs_no_keys():
    document = build_configuration(2)
    del document["tenants"]
    assert not decode(document).unwrap().table.needs_keys


# Guards against keys that are made of values of another type, which can be guessed.
@pytest.mark.parametrize(
    "tenants",
    [
        {},
        0,
        False,
        "",
        [{"name": ACCOUNT, "api_keys": [None]}],
        [{"name": ACCOUNT, "api_keys": [True]}],
        [{"name": ACCOUNT, "api_keys": [1]}],
        [{"name": ACCOUNT, "api_keys": [[]]}],
        [{"name": ACCOUNT, "api_keys": KEY}],
        [{"name": ACCOUNT, "api_keys": {KEY: 1}}],
        [{"name": ACCOUNT, "api_keys": ""}],
        [{"name": None, "api_keys": [KEY]}],
        [{"api_keys": [KEY]}],
        [None],
    ],
)
def test_accounts_and_keys_of_the_wrong_type_are_refused(tenants):
    assert decode(build_document(2, tenants)).is_err()


def test_error_on_a_key_does_not_show_it():
    keys = [KEY, [KEY]]
    document = build_document(2, [{"name": ACCOUNT, "api_keys": keys}])
    assert KEY not in decode(document).unwrap_err()


OTHER = {"name": "other", "api_keys": ["key-of-another"]}


def apply_versions(*tenants_by_version):
    """Return the metrics and the log lines of versions, one after the other."""
    metrics = Metrics()
    keys = ClientKeys(GatewayMetrics(metrics))
    with capture_logs() as lines:
        for version, tenants in enumerate(tenants_by_version, 1):
            document = build_document(version, tenants)
            if tenants is None:
                del document["tenants"]
            keys.apply_table(decode(document).unwrap().table)
    return metrics, lines


def test_version_that_takes_the_last_key_away_is_logged_and_counted():
    held = [{"name": ACCOUNT, "api_keys": [KEY]}]
    metrics, lines = apply_versions(held, held, NO_KEYS)
    assert [line["version"] for line in lines] == [1, 3]
    last = lines[-1]
    assert last["event"] == "client_keys_changed" and last["log_level"] == "warning"
    assert (last["removed"], last["added"], last["held"]) == (1, 0, 0)
    assert last["needs_keys"] and last["without_keys"] == (ACCOUNT,)
    assert KEY not in str(lines)
    assert metrics.client_keys_removed.get({}) == 1
    assert metrics.accounts_without_keys.get({}) == 1
    assert metrics.keys_needed.get({}) == 1


@pytest.mark.parametrize("tenants", [[], NO_KEYS])
def test_version_that_lets_nobody_in_is_logged_as_a_warning(tenants):
    _, lines = apply_versions([OTHER], tenants)
    assert lines[-1]["log_level"] == "warning"


def test_keys_that_come_and_go_are_counted_for_each_version():
    held = [{"name": ACCOUNT, "api_keys": [KEY, "second"]}, OTHER]
    fewer = [{"name": ACCOUNT, "api_keys": [KEY]}, {**OTHER, "api_keys": []}]
    metrics, lines = apply_versions(held, fewer, held)
    assert [(line["removed"], line["added"]) for line in lines] == [
        (0, 3),
        (2, 0),
        (0, 2),
    ]
    levels = [line["log_level"] for line in lines]
    assert levels == ["info", "warning", "info"]
    assert metrics.client_keys_removed.get({}) == 2
    assert metrics.accounts_without_keys.get({}) == 0


def test_version_that_names_no_accounts_any_more_is_logged_as_a_warning():
    metrics, lines = apply_versions([OTHER], None)
    assert lines[-1]["log_level"] == "warning" and not lines[-1]["needs_keys"]
    assert metrics.keys_needed.get({}) == 0
    assert metrics.client_keys_removed.get({}) == 1


class Callers:
    """Sends requests with and without keys to all hosts of a site."""

    def __init__(self, site):
        self._site = site
        self._count = 0

    async def put_in_force(self, document):
        """Write a configuration and wait until all hosts have it."""
        self._site.store.put("op", "config", document)
        hosts = [host.parts.runs.directory for host in self._site.hosts]
        await self._site.wait_until(
            lambda: all(item.version == document["version"] for item in hosts)
        )

    async def ask(self, path, method, authorization, host):
        """Return the status of one request."""
        self._count += 1
        headers = {"Authorization": authorization}
        async with self._site.call(
            path, self._count, host, method=method, headers=headers
        ) as answer:
            await answer.read()
            return answer.status

    async def ask_all(self, key):
        """Return the statuses of requests with a key to all routes that need one."""
        return {
            await self.ask(path, method, f"Token {key}", host)
            for host in range(len(self._site.hosts))
            for path, method in PATHS
        }

    def count_runs(self):
        """Return the requests that targets have run."""
        return sum(sum(desk.runs.values()) for desk in self._site.desks)


async def read_metrics(site, host):
    """Return the lines of a host's metrics."""
    ready = site.hosts[host].settings.addresses.readiness
    async with site.client.get(f"http://{ready}/metrics") as answer:
        return (await answer.text()).splitlines()


async def check_closed(callers):
    """Assert that no key opens a route that needs one, and that public ones serve."""
    runs = callers.count_runs()
    for key in (KEY, UNKNOWN_KEY, "", "None"):
        assert await callers.ask_all(key) == {401}
    assert callers.count_runs() == runs
    assert await callers.ask("/public/", "GET", f"Token {KEY}", 0) == 200


def test_no_key_opens_a_route_once_the_last_one_is_taken_away():
    async def scenario():
        async with run_site(desks=2, hosts=2) as site:
            callers = Callers(site)
            assert await callers.ask_all(KEY) == {200}
            for version, tenants in ((2, NO_KEYS), (3, []), (4, None)):
                await callers.put_in_force(build_document(version, tenants))
                await check_closed(callers)
            for host in range(2):
                lines = await read_metrics(site, host)
                assert "marigoldswitch_client_keys_removed_total 1" in lines

    run_scenario(scenario())


def test_key_that_is_given_back_opens_its_routes_again():
    async def scenario():
        async with run_site(desks=2, hosts=2) as site:
            callers = Callers(site)
            await callers.put_in_force(build_document(2, NO_KEYS))
            await check_closed(callers)
            await callers.put_in_force(build_configuration(3))
            assert await callers.ask_all(KEY) == {200}
            assert await callers.ask_all(UNKNOWN_KEY) == {401}

    run_scenario(scenario())


def test_host_that_starts_without_any_key_lets_no_caller_in():
    async def scenario():
        async with run_site(desks=2, hosts=1) as site:
            callers = Callers(site)
            await callers.put_in_force(build_document(2, NO_KEYS))
            await site.add_host("late", "south")
            await site.wait_until(lambda: all(host.is_ready for host in site.hosts))
            await check_closed(callers)

    run_scenario(scenario())


def test_host_that_gets_its_version_from_a_peer_lets_no_caller_in():
    async def scenario():
        async with run_site(desks=2, hosts=1) as site:
            callers = Callers(site)
            await callers.put_in_force(build_document(2, NO_KEYS))
            site.store.silent = True
            peer = site.hosts[0].settings.addresses.peers
            late = await site.add_host("late", "south", seeds=(peer,))
            directory = late.parts.runs.directory
            await site.wait_until(lambda: directory.version == 2)
            await site.wait_until(lambda: late.is_ready)
            await check_closed(callers)

    run_scenario(scenario())


# Guards against a host that serves nobody, or anybody, after a version it can't read.
def test_version_with_unreadable_keys_leaves_the_one_before_in_force():
    async def scenario():
        async with run_site(desks=2, hosts=2) as site:
            callers = Callers(site)
            unreadable = build_document(2, [{"name": ACCOUNT, "api_keys": [None]}])
            site.store.put("op", "config", unreadable)
            late = await site.add_host("late", "south")
            await site.wait_until(lambda: late.is_ready)
            assert await callers.ask_all(KEY) == {200}
            assert await callers.ask_all("None") == {401}
            assert await callers.ask_all(UNKNOWN_KEY) == {401}
            await callers.put_in_force(build_document(3, NO_KEYS))
            await check_closed(callers)

    run_scenario(scenario())
