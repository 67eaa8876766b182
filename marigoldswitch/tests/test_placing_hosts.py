"""Hosts place streams of an uneven service over data centres, and learn from them."""

from marigoldswitch.core.ids import DataCentre, ServiceName
from marigoldswitch.tests.gateway_site import (
    ALL_EVENTS,
    build_configuration,
    check_layers,
    get_targets,
    list_event_ids,
    run_scenario,
    run_site,
)
from marigoldswitch.tests.helpers import capture_all_logs

SERVICE = ServiceName("model")
FAR = DataCentre("south")


def build_uneven_configuration():
    configuration = build_configuration(version=2)
    fast = {"name": "fast", "size_mb": 13_000.0, "pace": 0.4, "read_factor": 0.4}
    configuration["services"][0]["engine"]["kinds"].append(fast)
    return configuration


async def read_stream(site, number):
    async with site.call("/draft/", number) as answer:
        assert answer.status == 200
        assert list_event_ids(await answer.read()) == ALL_EVENTS


def test_streams_that_are_placed_elsewhere_are_whole_and_correct_the_forecast():
    async def scenario():
        async with run_site(engines=4, hosts=2) as site:
            site.store.put("op", "config", build_uneven_configuration())
            runs = site.hosts[0].parts.runs
            await site.wait_until(lambda: runs.directory.version == 2)
            await site.wait_for_layout()
            placing = runs.planner.placing
            await site.wait_until(
                lambda: runs.loads.get_other_centres().keys() == {FAR}
            )
            with capture_all_logs() as lines:
                await read_stream(site, 1)
                placing._shares[SERVICE].shares = {FAR: 1.0}
                await read_stream(site, 2)
            chosen = [item for item in lines if item["event"] == "chain_chosen"]
            assert [item["forecast_first"] > 0.0 for item in chosen] == [True, True]
            targets = get_targets(site)
            centres = [
                targets[item["stages"][0].partition("@")[0]].data_centre
                for item in chosen
            ]
            assert centres == ["north", "south"]
            assert placing.moved == {SERVICE: 1}
            ratios = runs.planner.forecaster.corrections.get(
                "card", runs.clock.monotonic()
            )
            assert ratios.first_event != 1.0
            check_layers(site)
            address = site.hosts[0].parts.settings.addresses.readiness
            async with site.client.get(f"http://{address}/metrics") as answer:
                text = await answer.text()
            assert 'marigoldswitch_moved_requests{service="model"} 1' in text

    run_scenario(scenario())
