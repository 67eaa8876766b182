"""A host's row in the store, by which the others find it."""

from marigoldswitch.tests.gateway_site import run_scenario, run_site

SILENT_HOST = "127.0.0.1:9"
"""Address that the settings name and at which no host is heard."""


def test_host_whose_row_cannot_be_written_still_knows_the_others():
    async def scenario():
        async with run_site(hosts=1) as site:
            site.store.refused_paths.add("/rows-tx")
            late = await site.add_host("late", "north")
            roster = late.parts.spread.roster
            await site.wait_until(lambda: roster.count_known_members() == 2)
            site.store.refused_paths.clear()
            row = late.parts.settings.identity.host
            await site.wait_until(lambda: site.store.read("hosts", row) is not None)

    run_scenario(scenario())


def test_host_that_finds_no_rows_of_others_owns_no_retries_until_it_knows_them():
    async def scenario():
        async with run_site(hosts=0) as site:
            first = await site.add_host("first", "north", seeds=(SILENT_HOST,))
            roster, clock = first.parts.spread.roster, first.parts.runs.clock
            budget = first.parts.runs.retries.get("desk")
            await site.wait_until(lambda: roster.has_host_list)
            assert roster.count_known_members() is None
            assert budget.get_limit(clock.monotonic()) == 0.0
            await site.add_host("second", "north")
            await site.wait_until(lambda: roster.count_known_members() == 2)
            assert budget.get_limit(clock.monotonic()) > 0.0

    run_scenario(scenario())


def test_only_host_has_the_whole_allowance_of_retries():
    async def scenario():
        async with run_site(hosts=1) as site:
            (host,) = site.hosts
            await site.wait_until(
                lambda: host.parts.spread.roster.count_known_members() == 1
            )

    run_scenario(scenario())


def test_row_is_written_though_its_first_write_failed_and_no_others_are_listed():
    """Hosts that start together would wait for each other's rows otherwise."""

    async def scenario():
        async with run_site(hosts=0) as site:
            site.store.refused_paths.add("/rows-tx")
            host = await site.add_host("first", "north", seeds=(SILENT_HOST,))
            await site.wait_until(lambda: host.parts.spread.roster.has_host_list)
            site.store.refused_paths.clear()
            row = host.parts.settings.identity.host
            await site.wait_until(lambda: site.store.read("hosts", row) is not None)

    run_scenario(scenario())
