"""Draining of hosts and targets: requests in flight end, callers see no failure."""

import asyncio
import random
import socket
import time

from marigoldswitch.standins.deployment import AMPLE_QUOTA, LOOPBACK, Deployment
from marigoldswitch.tests.helpers import run_async, run_deployment, wait_until
from marigoldswitch.tools.soak_load import Caller, EndKind

SETTINGS = {"drain": {"balancer_lag": 0.2}}


class Balancer:
    """Tracks the hosts ready at its last check, like the platform's balancer."""

    def __init__(self, deployment: Deployment) -> None:
        self.deployment = deployment
        self.ready: list[str] = []
        self.done = False

    async def run(self) -> None:
        while True:
            self.ready = [
                name
                for name, host in self.deployment.hosts.items()
                if host.parts.state.ready and host.parts.adoption.bundle
            ]
            await asyncio.sleep(0.05)


async def send_steadily(caller: Caller, balancer: Balancer, number: int, attempts):
    """Send requests one by one until the balancer is done; finish the open one."""
    generator = random.Random(number)
    count = 0
    while not balancer.done:
        count += 1
        host = generator.choice(balancer.ready)
        name = f"caller {number} request {count}"
        if number % 3:
            attempts.append(await caller.draft(host, name, 24, number % 2 == 0))
        else:
            attempts.append(await caller.book(host, name, name))


def test_rolling_restart_of_all_hosts_under_load_fails_no_request():
    async def play():
        async with run_deployment(settings=SETTINGS) as (deployment, session):
            caller = Caller(session, lambda h: deployment.get_address(h, "callers"))
            deployment.quota = AMPLE_QUOTA
            await deployment.roll_out(deployment.build_bundle(), seen=1)
            balancer = Balancer(deployment)
            watch = asyncio.create_task(balancer.run())
            await wait_until(lambda: len(balancer.ready) == 3)
            attempts = []
            load = [
                asyncio.create_task(send_steadily(caller, balancer, number, attempts))
                for number in range(12)
            ]
            for name, host in list(deployment.hosts.items()):
                await host.drain()
                await host.stop()
                del deployment.hosts[name]
                await deployment.start_host(name, deployment.host_centres[name])
                await deployment.wait_for_members()
                await wait_until(lambda name=name: name in balancer.ready)
            balancer.done = True
            await asyncio.gather(*load)
            watch.cancel()
            return attempts, deployment.services["desk-0"].ran

    attempts, ran = run_async(play())
    failed = [item for item in attempts if item.end is not EndKind.ANSWERED]
    assert not failed, str(failed[0].describe())
    assert len(attempts) > 100
    booked = {item.subject for item in attempts if item.kind == "booking"}
    assert ran == dict.fromkeys(booked, 1)


def test_draining_host_ends_its_streams_and_refuses_new_work_as_not_run():
    async def play():
        async with run_deployment(settings=SETTINGS) as (deployment, session):
            caller = Caller(session, lambda h: deployment.get_address(h, "callers"))
            host = deployment.hosts["host-0"]
            for engine in deployment.engines.values():
                engine.faults.stall = True
            held = asyncio.create_task(caller.draft("host-0", "held", 12))
            await wait_until(lambda: len(host.parts.front.held) == 1)
            draining = asyncio.create_task(host.drain())
            await wait_until(lambda: not host.parts.state.accepting)
            refused = await caller.draft("host-0", "late", 4)
            views = [other.parts.view for other in deployment.hosts.values()]
            await wait_until(lambda: all(v.members["host-0"].leaving for v in views))
            assert not draining.done()
            for engine in deployment.engines.values():
                engine.faults.stall = False
            await draining
            ran = {
                key[0] for engine in deployment.engines.values() for key in engine.ran
            }
            return await held, refused, ran

    held, refused, ran = run_async(play())
    assert held.end is EndKind.ANSWERED
    assert refused.error["kind"] == "draining"
    assert refused.error["outcome"] == "not_run"
    assert refused.error["advice"] == "retry_elsewhere"
    assert ran == {held.request}


def test_leaving_announced_by_a_target_reaches_all_hosts_and_can_be_withdrawn():
    async def play():
        async with run_deployment() as (deployment, session):
            caller = Caller(session, lambda h: deployment.get_address(h, "callers"))
            for replica in (0, 1):
                deployment.engines[f"engine-0-{replica}"].faults.leaving = replica == 0
            answered = [await caller.draft("host-1", f"{n}", 4) for n in range(12)]
            views = [host.parts.gossip for host in deployment.hosts.values()]
            await wait_until(
                lambda: all(item.leaving == {"engine-0-0"} for item in views)
            )
            before = len(deployment.journals["engine-0-0"].arrivals)
            for host in deployment.hosts:
                answered += [
                    await caller.draft(host, f"{host}{n}", 4) for n in range(6)
                ]
            after = len(deployment.journals["engine-0-0"].arrivals)
            deployment.engines["engine-0-0"].faults.leaving = False
            await wait_until(lambda: all(not item.leaving for item in views))
            return answered, before, after

    answered, before, after = run_async(play())
    assert {item.end for item in answered} == {EndKind.ANSWERED}
    assert before == after


def test_host_paused_over_the_balancers_lag_still_answers_what_had_arrived():
    async def play():
        async with run_deployment(settings=SETTINGS) as (deployment, _):
            host = deployment.hosts.pop("host-0")
            draining = asyncio.create_task(host.drain())
            await asyncio.sleep(0)
            address = (LOOPBACK, host.ports["callers"])
            with socket.create_connection(address, timeout=10.0) as connection:
                connection.sendall(b"POST /v1/x HTTP/1.1\r\nHost: x\r\n\r\n")
                time.sleep(2 * SETTINGS["drain"]["balancer_lag"])  # noqa: ASYNC251
                await draining
                await host.stop()
                return connection.recv(100)

    assert run_async(play()).startswith(b"HTTP/1.1 404")
