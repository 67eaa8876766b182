"""A host's row in the store, by which the others find it."""

from marigoldswitch.tests.gateway_site import run_scenario, run_site


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
