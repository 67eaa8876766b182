"""Tests of the platform stand-in: its host list is stale while it lags."""

from marigoldswitch.tests.helpers import run_async, run_deployment, wait_until


def test_host_list_lags_and_hosts_act_on_it_once_it_is_shown():
    async def play():
        async with run_deployment(data_centres=("hobart", "hobart")) as (deployment, _):
            follower = deployment.hosts["host-0"].parts.follower
            gossip = [host.parts.gossip for host in deployment.hosts.values()]
            await follower.poll_platform()
            deployment.platform.faults.host_lag = 1000.0
            deployment.platform.hosts["engine-0-0"]["leaving"] = True
            for _ in range(3):
                await follower.poll_platform()
            before = [set(item.leaving) for item in gossip]
            deployment.platform.faults.host_lag = 0.0
            await follower.poll_platform()
            await wait_until(lambda: all("engine-0-0" in g.leaving for g in gossip))
            return before

    assert run_async(play()) == [set(), set()]
