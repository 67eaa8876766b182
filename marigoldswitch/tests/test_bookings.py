"""Bookings through running hosts, checked against the runs the service counted."""

import asyncio

import pytest

from marigoldswitch.core.claims import ClaimState, decode_claim
from marigoldswitch.core.errors import ErrorKind
from marigoldswitch.tests.helpers import (
    BOOKINGS_PATH,
    run_async,
    run_deployment,
    wait_until,
)

CLAIMS = {"owner_patience": 0.6, "late_answer": 5.0}
SETTINGS = {"claims": CLAIMS, "platform": {"timeout": 0.3}}


async def book(deployment, session, host, key="k", seconds="8", body=None):
    """Send a booking; return the status, and the answer or the error."""
    address = deployment.get_address(host, "callers") + BOOKINGS_PATH
    headers = {"Request-Timeout": seconds}
    if key:
        headers["Idempotency-Key"] = key
    body = body or {"input": {"reference": "pickup"}}
    async with session.post(address, json=body, headers=headers) as response:
        content = await response.json()
    return response.status, content.get("answer") or content["error"]


def count_runs(deployment):
    return sum(item.ran["pickup"] for item in deployment.services.values())


def run_scenario(work):
    async def run():
        async with run_deployment(settings=SETTINGS) as (deployment, session):
            return await work(deployment, session)

    return run_async(run())


def test_same_key_at_all_hosts_at_once_runs_once():
    async def work(deployment, session):
        deployment.services["desk-0"].faults.delay = 0.2
        hosts = [*deployment.hosts] * 4
        calls = [book(deployment, session, host) for host in hosts]
        return await asyncio.gather(*calls), count_runs(deployment)

    ends, runs = run_scenario(work)
    assert runs == 1
    assert ends == [(200, {"confirmed": "pickup", "by": "desk-0"})] * 12


def test_lost_reply_of_the_table_loses_no_booking():
    async def work(deployment, session):
        deployment.platform.faults.lose_answers = 2
        first = await book(deployment, session, "host-0")
        return first, await book(deployment, session, "host-2"), count_runs(deployment)

    first, again, runs = run_scenario(work)
    assert first[0] == again[0] == 200
    assert runs == 1


def test_table_outage_refuses_bookings_unsent_and_they_work_afterwards():
    async def work(deployment, session):
        deployment.platform.faults.out = True
        ends = [await book(deployment, session, "host-0") for _ in range(3)]
        refused = count_runs(deployment)
        deployment.platform.faults.out = False
        while (last := await book(deployment, session, "host-0"))[0] != 200:
            ends.append(last)
            await asyncio.sleep(0.05)
        return ends, refused, count_runs(deployment)

    ends, refused, runs = run_scenario(work)
    assert {end["kind"] for _, end in ends} == {"claims_unavailable"}
    assert {end["outcome"] for _, end in ends} == {"not_run"}
    assert (refused, runs) == (0, 1)


def test_answer_outlives_an_outage_of_the_table():
    async def work(deployment, session):
        desk = deployment.services["desk-0"]
        desk.faults.delay = 0.3
        call = asyncio.create_task(book(deployment, session, "host-0"))
        await wait_until(lambda: desk.running == 1)
        deployment.platform.faults.out = True
        first = await call
        again = await book(deployment, session, "host-0")
        deployment.platform.faults.out = False
        await deployment.hosts["host-0"].parts.claims.flush()
        stored = await book(deployment, session, "host-2")
        return first, again, stored, count_runs(deployment)

    first, again, stored, runs = run_scenario(work)
    assert first == again == stored == (200, {"confirmed": "pickup", "by": "desk-0"})
    assert runs == 1


def test_booking_continues_after_caller_disconnects():
    async def work(deployment, session):
        desk = deployment.services["desk-0"]
        desk.faults.delay = 0.3
        call = asyncio.create_task(book(deployment, session, "host-0"))
        await wait_until(lambda: desk.running == 1)
        call.cancel()
        again = await book(deployment, session, "host-1")
        front = deployment.hosts["host-0"].parts.front
        await wait_until(lambda: not front.held)
        return again, count_runs(deployment)

    again, runs = run_scenario(work)
    assert again == (200, {"confirmed": "pickup", "by": "desk-0"})
    assert runs == 1


def test_cancelling_a_booking_twice_does_not_abort_it():
    async def work(deployment, session):
        desk = deployment.services["desk-0"]
        desk.faults.delay = 0.3
        call = asyncio.create_task(book(deployment, session, "host-0"))
        await wait_until(lambda: desk.running == 1)
        front = deployment.hosts["host-0"].parts.front
        (request,) = front.held
        told = [front.cancel(request), front.cancel(request)]
        first = await call
        told.append(front.cancel(request))
        again = await book(deployment, session, "host-0")
        return told, first, again, count_runs(deployment)

    told, (_, error), again, runs = run_scenario(work)
    assert told == [True, True, False]
    assert (error["kind"], error["outcome"]) == ("cancelled", "may_have_run")
    assert again == (200, {"confirmed": "pickup", "by": "desk-0"})
    assert runs == 1


def test_late_answer_is_kept_for_the_resend():
    async def work(deployment, session):
        deployment.services["desk-0"].faults.delay = 0.6
        first = await book(deployment, session, "host-0", seconds="0.3")
        again = await book(deployment, session, "host-2")
        return first, again, count_runs(deployment)

    (status, error), again, runs = run_scenario(work)
    assert (status, error["outcome"]) == (504, "may_have_run")
    assert again == (200, {"confirmed": "pickup", "by": "desk-0"})
    assert runs == 1


def test_lost_answer_of_the_target_is_never_run_again():
    async def work(deployment, session):
        deployment.services["desk-0"].faults.lose_answers = 1
        ends = [await book(deployment, session, host) for host in deployment.hosts]
        return ends, count_runs(deployment)

    ends, runs = run_scenario(work)
    assert [error["outcome"] for _, error in ends] == ["may_have_run"] * 3
    assert ends[1][1]["kind"] == ends[2][1]["kind"] == "outcome_unknown"
    assert runs == 1


def test_owner_killed_after_dispatch_leaves_the_outcome_unknown():
    async def work(deployment, session):
        desk = deployment.services["desk-0"]
        desk.faults.delay = 0.3
        call = asyncio.create_task(book(deployment, session, "host-0"))
        await wait_until(lambda: desk.running == 1)
        await deployment.hosts.pop("host-0").kill()
        await asyncio.gather(call, return_exceptions=True)
        again = await book(deployment, session, "host-1")
        await wait_until(lambda: not desk.running)
        return again, count_runs(deployment)

    (_, error), runs = run_scenario(work)
    assert error["kind"] == "outcome_unknown"
    assert runs <= 1


@pytest.mark.parametrize("fault", ["refuse", "leaving"])
def test_refusal_by_the_target_frees_the_key(fault):
    async def work(deployment, session):
        desk = deployment.services["desk-0"]
        setattr(desk.faults, fault, True)
        first = await book(deployment, session, "host-0", seconds="0.5")
        refused = count_runs(deployment)
        desk.faults.refuse = desk.faults.leaving = False
        return first, refused

    (_, error), refused = run_scenario(work)
    assert error["outcome"] == "not_run"
    assert refused == 0


def test_large_answer_goes_through_the_object_store():
    async def work(deployment, session):
        settings = deployment.hosts["host-0"].parts.settings
        reference = "x" * settings.claims.inline_bytes
        body = {"input": {"reference": reference}}
        first = await book(deployment, session, "host-0", body=body)
        await deployment.hosts["host-0"].parts.claims.flush()
        again = await book(deployment, session, "host-1", body=body)
        objects = [item for item in deployment.platform.objects if "answers/" in item]
        return first, again, len(objects)

    first, again, objects = run_scenario(work)
    assert first == again
    assert objects == 1


def test_expired_claims_are_swept_and_younger_ones_kept():
    async def work(deployment, session):
        await book(deployment, session, "host-0")
        claims = deployment.hosts["host-0"].parts.claims
        await claims.flush()
        kept = await claims.sweep(["family"])
        claims._settings = claims._settings.model_copy(update={"keep": 1e-9})
        return kept, await claims.sweep(["family"])

    assert run_scenario(work) == (0, 1)


def test_burst_of_bookings_is_committed_in_groups():
    async def work(deployment, session):
        desk = deployment.services["desk-0"]
        desk.slots = 100
        before = deployment.platform.writes
        calls = [
            book(deployment, session, "host-0", str(n), "30", {"input": {}})
            for n in range(60)
        ]
        ends = await asyncio.gather(*calls)
        await deployment.hosts["host-0"].parts.claims.flush()
        return [status for status, _ in ends], deployment.platform.writes - before

    statuses, writes = run_scenario(work)
    assert statuses == [200] * 60
    assert writes <= 60


def test_answer_is_fetched_by_its_own_client_account_only():
    async def work(deployment, session):
        await book(deployment, session, "host-0")
        claims = deployment.hosts["host-1"].parts.claims
        own = await claims.fetch("family", "k")
        return own, await claims.fetch("another", "k")

    own, other = run_scenario(work)
    assert b"pickup" in own.unwrap()
    assert other.unwrap_err().kind is ErrorKind.NO_ANSWER


def test_booking_without_a_key_is_sent_once():
    async def work(deployment, session):
        deployment.services["desk-0"].faults.lose_answers = 1
        end = await book(deployment, session, "host-0", key=None)
        return end, count_runs(deployment)

    (_, error), runs = run_scenario(work)
    assert error["outcome"] == "may_have_run"
    assert runs == 1


def test_isolated_data_centre_never_runs_a_claimed_booking():
    async def work(deployment, session):
        desk = deployment.services["desk-0"]
        desk.faults.delay = 0.4
        call = asyncio.create_task(book(deployment, session, "host-0"))
        await wait_until(lambda: desk.running == 1)
        network = deployment.hosts["host-2"].parts.network
        network.cut |= {"host-0", "host-1"}
        cut = await book(deployment, session, "host-2")
        deployment.platform.faults.cut.add("host-2")
        alone = [await book(deployment, session, "host-2") for _ in range(2)]
        first = await call
        network.cut.clear()
        deployment.platform.faults.cut.clear()
        while (healed := await book(deployment, session, "host-2"))[0] == 503:
            await asyncio.sleep(0.05)
        return cut, alone, first, healed, count_runs(deployment)

    cut, alone, first, healed, runs = run_scenario(work)
    assert cut[0] in {200, 409}
    assert {error["kind"] for _, error in alone} <= {
        "claims_unavailable",
        "outcome_unknown",
    }
    assert first[0] == healed[0] == 200
    assert runs == 1


def test_answer_whose_claim_ends_while_it_is_fetched_is_found():
    async def work(deployment, session):
        claims = deployment.hosts["host-0"].parts.claims
        desk = deployment.services["desk-0"]
        desk.faults.delay = 0.2
        call = asyncio.create_task(book(deployment, session, "host-0"))
        await wait_until(lambda: desk.running == 1)
        old = await claims._table.read("claims", "6:family/k")
        await call
        await claims.flush()
        table = claims._table
        reads = iter([old])

        class LateTable:
            async def read(self, name, key):
                return next(reads, None) or await table.read(name, key)

        claims._table = LateTable()
        found = await claims.fetch("family", "k")
        claims._table = table
        return old.unwrap(), found

    old, found = run_scenario(work)
    assert decode_claim(old.value).state is ClaimState.HELD
    assert b"pickup" in found.unwrap()
