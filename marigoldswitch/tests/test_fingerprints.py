"""Equal requests have equal fingerprints, different requests different ones."""

import contextlib

import aiohttp
import pytest

from marigoldswitch.core.fingerprints import fingerprint_request
from marigoldswitch.tests.gateway_site import run_scenario, run_site


def test_equal_requests_have_the_same_fingerprint():
    once, again = (fingerprint_request("a", "/draft/1?x=2", b"text") for _ in "12")
    assert once == again


@pytest.mark.parametrize(
    ("account", "path", "body"),
    [
        ("b", "/draft/1", b"text"),
        (None, "/draft/1", b"text"),
        ("a", "/draft/2", b"text"),
        ("a", "/draft/1", b"other"),
        ("a/", "draft/1", b"text"),
        ("a", "/draft/1t", b"ext"),
    ],
)
def test_other_account_path_or_body_changes_the_fingerprint(account, path, body):
    assert fingerprint_request(account, path, body) != fingerprint_request(
        "a", "/draft/1", b"text"
    )


def test_lost_run_is_logged_with_fingerprint_and_retry_counts(log_lines):
    async def scenario():
        async with run_site(hosts=1) as site:
            for name in "xy":
                engine = await site.add_engine(name, "north", (0, 8))
                engine.cut_after = 3
            rows = site.hosts[0].parts.runs.directory.registry.rows
            await site.wait_until(lambda: len(rows) == 2)
            async with site.call("/draft/1", 1, data=b"text") as answer:
                with contextlib.suppress(aiohttp.ClientError):
                    await answer.read()
            lost = [item for item in log_lines if item["event"] == "run_lost"]
            assert lost
            assert lost[0]["fingerprint"] == fingerprint_request(
                "workshop", "/draft/1", b"text"
            )
            assert lost[0]["had_event"] is True
            assert lost[0]["repeats"] <= lost[0]["repeats_allowed"]

    run_scenario(scenario())
