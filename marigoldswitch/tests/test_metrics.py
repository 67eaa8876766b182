"""Every metric is documented, and the examples name only existing metrics."""

import json
import re
from pathlib import Path

import yaml

from marigoldswitch.metrics import PREFIX, ROWS
from marigoldswitch.tests.helpers import LETTERS_PATH, run_async, run_deployment
from marigoldswitch.tools.pages import format_metrics_page

ROOT = Path(__file__).parents[2]
NAMES = {PREFIX + row.name for row in ROWS}


def list_names(text: str) -> set[str]:
    found = re.findall(r"marigoldswitch_\w+", text)
    return {name.removesuffix("_bucket") for name in found}


def test_page_lists_every_metric():
    page = (ROOT / "docs" / "metrics.md").read_text(encoding="utf-8")
    assert page == format_metrics_page()


def test_examples_name_only_metrics_there_are():
    rules = (ROOT / "examples" / "alerts.yaml").read_text(encoding="utf-8")
    board = (ROOT / "examples" / "dashboard.json").read_text(encoding="utf-8")
    assert yaml.safe_load(rules)["groups"]
    assert json.loads(board)["panels"]
    for text in (rules, board):
        assert list_names(text) <= NAMES


def test_gauges_are_set_when_they_are_read():
    async def play():
        async with run_deployment() as (deployment, session):
            address = deployment.get_address("host-0", "callers")
            body = {"input": {"prompt": "x"}, "max_tokens": 2}
            await (await session.post(address + LETTERS_PATH, json=body)).read()
            async with session.get(address + "/metrics") as response:
                text = await response.text()
            owned = [
                key.service
                for key in deployment.hosts[
                    "host-0"
                ].parts.dispatching.dispatchers.owned
            ]
        return text, owned

    text, owned = run_async(play())
    for service, count in (("drafting", 6), ("bookings", 1)):
        expected = count if service in owned else 0
        name = f'{PREFIX}targets_usable{{service="{service}"}}'
        assert f"{name} {expected}" in text
        assert f'{PREFIX}queue_waiting{{service="{service}"}} 0' in text
    assert 'marigoldswitch_members{data_centre="hobart"} 2' in text
    assert 'marigoldswitch_permits_held{service="drafting"} 0' in text
    assert list_names(text) <= NAMES | {name + "_sum" for name in NAMES} | {
        name + "_count" for name in NAMES
    }


def test_leaving_and_ejected_targets_are_not_usable():
    async def play():
        async with run_deployment(data_centres=("hobart",)) as (deployment, session):
            parts = deployment.hosts["host-0"].parts
            (drafting,) = (
                item
                for key, item in parts.dispatching.dispatchers.owned.items()
                if key.service == "drafting"
            )
            drafting.pool.states["engine-0-0"].leaving = True
            drafting.pool.outliers.excluded.add("engine-1-0")
            address = deployment.get_address("host-0", "callers")
            async with session.get(address + "/metrics") as response:
                return await response.text()

    assert f'{PREFIX}targets_usable{{service="drafting"}} 4' in run_async(play())
