"""Dispatching across hosts: pools, dispatcher failure, lost messages, spill."""

import asyncio

import pytest

from marigoldswitch.core.errors import ErrorKind
from marigoldswitch.core.messages import Ask, Grant, Queued, Release
from marigoldswitch.tests.helpers import build_target, run_async
from marigoldswitch.tests.mesh import Mesh, drop_first, list_grants

THREE_HOSTS = {"host-0": "hobart", "host-1": "hobart", "host-2": "hobart"}
LINKS = {
    ("hobart", "launceston"): 0.0005,
    ("launceston", "hobart"): 0.0005,
}


def build_targets(count, place="hobart", slots=2):
    return [
        build_target(f"{place}-{n}", data_centre=place, slots=slots)
        for n in range(count)
    ]


async def start_asks(mesh, host, count, prefix="f"):
    asks = [mesh.ask(host, f"{prefix}{n}", remaining=30.0) for n in range(count)]
    await mesh.run(0.05)
    return asks


def find_front(mesh, pool="hobart"):
    """Return a host of the pool's data centre that is not its dispatcher."""
    owner = mesh.find_owner(pool)
    return next(name for name in mesh.hosts if name != owner)


def test_each_target_is_granted_by_one_dispatcher_only():
    async def scenario():
        places = THREE_HOSTS | {"host-3": "launceston"}
        targets = build_targets(2) + build_targets(2, "launceston")
        mesh = Mesh(places, targets, LINKS)
        asks = [
            mesh.ask(host, f"{host}-{n}", remaining=0.5)
            for n in range(10)
            for host in ("host-0", "host-3")
        ]
        await mesh.run(0.2)
        out = mesh.count_held()
        await mesh.finish(asks)
        return out, mesh.count_held()

    out, after = run_async(scenario())
    assert out == dict.fromkeys(out, 2)
    assert len(out) == 4
    assert not after


@pytest.mark.parametrize("known_at", [0.1, 5.0])
def test_loss_of_the_dispatcher_adds_less_than_a_second_and_fails_nothing(known_at):
    async def scenario():
        mesh = Mesh(THREE_HOSTS, build_targets(6))
        front = find_front(mesh)
        holding = await start_asks(mesh, front, 12)
        waiting = await start_asks(mesh, front, 3, "w")
        assert len(list_grants(holding)) == 12
        assert not list_grants(waiting)
        owner = mesh.find_owner("hobart")
        mesh.isolated.add(owner)
        for ask in holding:
            mesh.release(front, ask.result().ok_value)
        began = mesh.clock.now
        late = mesh.ask(front, "late")
        lost = False
        while not all(ask.done() for ask in [*waiting, late]):
            await mesh.run(0.05)
            if not lost and mesh.clock.now - began >= known_at:
                lost = True
                mesh.remove_member(owner)
        seconds = mesh.clock.now - began
        out = mesh.count_held()
        granted = len(list_grants([*waiting, late]))
        mesh.remove_member(owner)
        await mesh.run(1.0)
        counted = len(mesh.get_dispatcher("hobart").permits)
        await mesh.finish([])
        await mesh.run(1.0)
        return granted, seconds, out, counted, mesh.get_dispatcher("hobart").permits

    granted, seconds, out, counted, left = run_async(scenario())
    assert granted == 4
    assert seconds < 1.0
    assert all(count <= 2 for count in out.values())
    assert counted == 4
    assert not left


def test_local_choices_of_all_hosts_stay_within_the_limits():
    async def scenario():
        mesh = Mesh(THREE_HOSTS, build_targets(6))
        owner = mesh.find_owner("hobart")
        mesh.isolated.add(owner)
        asks = [
            mesh.ask(host, f"{host}-{n}")
            for host in THREE_HOSTS
            if host != owner
            for n in range(20)
        ]
        await mesh.run(1.0)
        out = mesh.count_held()
        mesh.remove_member(owner)
        await mesh.finish(asks)
        return out, list_grants(asks)

    out, grants = run_async(scenario())
    assert sum(out.values()) == 12  # All slots: the lost host gets no share.
    assert all(count <= 2 for count in out.values())
    assert len(grants) == 40


def test_late_grant_that_crosses_the_local_one_is_given_back():
    async def scenario():
        mesh = Mesh(THREE_HOSTS, build_targets(6))
        owner, front = mesh.find_owner("hobart"), find_front(mesh)
        mesh.drop = lambda sender, host, message: sender == owner
        ask = mesh.ask(front, "r")
        await mesh.run(0.8)
        local = ask.result().ok_value
        assert len(mesh.get_dispatcher("hobart").permits) == 0
        mesh.drop = lambda sender, host, message: False
        second = mesh.ask(front, "s")
        await mesh.run(1.0)
        counted = set(mesh.get_dispatcher("hobart").permits)
        held = set(mesh.hosts[front].held)
        await mesh.finish([second])
        await mesh.run(1.0)
        return local, held, counted, mesh.get_dispatcher("hobart").permits

    local, held, counted, left = run_async(scenario())
    assert local.permit in held
    assert counted == held
    assert not left


@pytest.mark.parametrize("kind", [Ask, Grant, Queued, Release])
def test_lost_messages_leak_no_permit_and_lose_no_request(kind):
    async def scenario():
        mesh = Mesh(THREE_HOSTS, build_targets(1))
        front = find_front(mesh)
        mesh.drop = drop_first(kind, 2)
        asks = await start_asks(mesh, front, 4)
        await mesh.finish(asks)
        await mesh.run(15.0)
        return list_grants(asks), mesh.get_dispatcher("hobart").permits

    grants, left = run_async(scenario())
    assert len(grants) == 4
    assert not left


def test_planned_stop_hands_over_without_a_wait_or_a_loss():
    async def scenario():
        mesh = Mesh(THREE_HOSTS, build_targets(2))
        owner, front = mesh.find_owner("hobart"), find_front(mesh)
        holding = await start_asks(mesh, front, 4)
        waiting = await start_asks(mesh, front, 3, "w") + await start_asks(
            mesh, owner, 1, "o"
        )
        mesh.hosts[owner].hand_over()
        await mesh.run(0.1)
        new_owner = mesh.find_owner("hobart")
        counted = len(mesh.get_dispatcher("hobart").permits)
        queued = len(mesh.get_dispatcher("hobart").waiting)
        after = [len(mesh.hosts[owner].dispatchers.owned), mesh.count_held()]
        mesh.release(front, holding[0].result().ok_value)
        await mesh.run(0.05)
        first = len(list_grants(waiting))
        await mesh.finish(waiting)
        left = mesh.get_dispatcher("hobart").permits
        return (
            owner,
            new_owner,
            counted,
            queued,
            after,
            first,
            list_grants(waiting),
            left,
        )

    owner, new_owner, counted, queued, after, first, grants, left = run_async(
        scenario()
    )
    assert new_owner != owner
    assert (counted, queued, first) == (4, 4, 1)
    assert after == [0, {"hobart-0": 2, "hobart-1": 2}]
    assert len(grants) == 4
    assert not left


def test_host_that_joins_and_takes_a_pool_over_counts_what_is_held():
    async def scenario():
        mesh = Mesh({"host-0": "hobart"}, build_targets(2))
        holding = await start_asks(mesh, "host-0", 4)
        waiting = await start_asks(mesh, "host-0", 2, "w")
        for number in range(1, 6):
            mesh.add_host(f"host-{number}", "hobart")
            mesh.hosts[f"host-{number}"].use_bundle(mesh.hosts["host-0"]._bundle)
        await mesh.run(1.0)
        owner = mesh.find_owner("hobart")
        counted = len(mesh.get_dispatcher("hobart").permits)
        out = mesh.count_held()
        await mesh.finish([*holding, *waiting])
        return owner, counted, out, list_grants(waiting)

    owner, counted, out, grants = run_async(scenario())
    assert owner != "host-0"
    assert counted == 4
    assert set(out.values()) == {2}
    assert len(grants) == 2


def test_service_that_vanishes_ends_its_requests_and_leaks_nothing():
    async def scenario():
        mesh = Mesh(THREE_HOSTS, build_targets(1))
        front = find_front(mesh)
        holding = await start_asks(mesh, front, 2)
        waiting = await start_asks(mesh, front, 2, "w")
        mesh.use_bundle([], {}, ())
        await mesh.run(0.1)
        kinds = [ask.result().err_value.kind for ask in waiting]
        for ask in holding:
            mesh.release(front, ask.result().ok_value)
        await mesh.run(0.1)
        owned = [len(host.dispatchers.owned) for host in mesh.hosts.values()]
        return kinds, owned, mesh.count_held()

    kinds, owned, out = run_async(scenario())
    assert kinds == [ErrorKind.NO_TARGET] * 2
    assert owned == [0, 0, 0]
    assert not out


def test_full_pool_spills_to_the_other_data_centre_and_a_cut_off_one_goes_on():
    async def scenario():
        places = {"host-0": "hobart", "host-1": "launceston"}
        targets = build_targets(1) + build_targets(1, "launceston")
        mesh = Mesh(places, targets, LINKS)
        asks = await start_asks(mesh, "host-0", 4)
        spilled = mesh.count_held()
        await mesh.finish(asks)
        mesh.isolated.add("host-1")
        mesh.remove_member("host-1")
        alone = await start_asks(mesh, "host-0", 2, "a")
        return spilled, mesh.count_held(), list_grants(alone)

    spilled, out, alone = run_async(scenario())
    assert spilled["hobart-0"] == 2
    assert out == {"hobart-0": 2}
    assert len(alone) == 2


def test_cancelled_request_leaves_the_queue():
    async def scenario():
        mesh = Mesh(THREE_HOSTS, build_targets(1))
        front = find_front(mesh)
        await start_asks(mesh, front, 2)
        waiting = await start_asks(mesh, front, 1, "w")
        waiting[0].cancel()
        await asyncio.gather(*waiting, return_exceptions=True)
        await mesh.run(0.1)
        return len(mesh.get_dispatcher("hobart").waiting)

    assert run_async(scenario()) == 0
