"""Only one host orders at a time, also when the store is restored from a copy."""

import asyncio
from types import SimpleNamespace

from hypothesis import given, strategies as st
from result import Err, Ok

from marigoldswitch.core.ids import DataCentre, HostId
from marigoldswitch.core.leases import Lease, LeaseTerms, encode_lease
from marigoldswitch.core.ports import Row, StoreFault
from marigoldswitch.core.revisions import get_era, get_version, make_revision
from marigoldswitch.gateway.directory import Directory
from marigoldswitch.gateway.orderer import LayerOrderer

TERMS = LeaseTerms(2.4, 0.3)


def test_lease_missing_from_the_copy_is_not_taken_while_its_holder_may_act():
    holder = Lease(HostId("h0"), "1", TERMS)
    candidate = Lease(HostId("h1"), "2", TERMS)
    holder.observe(None, 0.0)
    claim = holder.plan_write(0.0)
    holder.note_written(claim, 0.0, 0.0, make_revision(1, 5))
    candidate.observe(Row(encode_lease(claim.row), make_revision(1, 5)), 0.5)
    candidate.observe(None, 1.0)
    assert candidate.plan_write(1.0) is None
    assert candidate.plan_write(1.0 + 2.3) is None
    assert not holder.may_order(1.0 + 2.4)
    assert candidate.plan_write(1.0 + 2.4) is not None


class RestoredTable:
    """Table with conditional writes that can be restored and can lose answers."""

    def __init__(self):
        self.era, self.version = 1, 1
        self.rows = {}
        self.loses_answers = False
        self._copy = ({}, 1)

    def copy(self):
        self._copy = (dict(self.rows), self.version)

    def restore(self):
        self.rows, self.version = dict(self._copy[0]), self._copy[1]
        self.era += 1

    async def read(self, table, key):
        if key not in self.rows:
            return Ok(None)
        value, version = self.rows[key]
        return Ok(Row(value, make_revision(self.era, version)))

    async def write(self, table, key, value, expect):
        version = self.rows[key][1] if key in self.rows else 0
        if version != get_version(expect):
            return Err(StoreFault.CONFLICT)
        self.version += 1
        self.rows[key] = (value, self.version)
        if self.loses_answers:
            return Err(StoreFault.UNKNOWN)
        if expect and get_era(expect) != self.era:
            return Err(StoreFault.RESTORED)
        return Ok(make_revision(self.era, self.version))


def build_orderer(name, table, clock):
    spread = SimpleNamespace(
        hears_orderer=False, roster=SimpleNamespace(must_read=lambda: True)
    )
    host, home = HostId(name), DataCentre("north")
    return LayerOrderer(
        clock,
        table,
        None,
        Directory(),
        None,
        spread,
        host,
        home,
        "isle",
        SimpleNamespace(is_lost=False),
    )


LEASE_STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("tick"), st.integers(0, 1)),
        st.tuples(st.just("wait"), st.floats(0.05, 3.0)),
        st.tuples(st.sampled_from(["copy", "restore", "lose", "answer"]), st.none()),
    ),
    max_size=80,
)


@given(LEASE_STEPS)
def test_two_hosts_never_order_at_once_across_restores(steps):
    """Two hosts tick at arbitrary times, may be paused, and answers may be lost.

    The copy contains the lease's row; without it, no host would know of a holder.
    """

    async def scenario():
        clock = SimpleNamespace(now=100.0)
        clock.monotonic = lambda: clock.now
        table = RestoredTable()
        orderers = [build_orderer(name, table, clock) for name in ("h0", "h1")]
        await orderers[0]._keep_lease()
        table.copy()
        for step, value in steps:
            match step:
                case "tick":
                    await orderers[value]._keep_lease()
                case "wait":
                    clock.now += value
                case "lose" | "answer":
                    table.loses_answers = step == "lose"
                case _:
                    getattr(table, step)()
            assert sum(item.lease.may_order(clock.now) for item in orderers) <= 1

    asyncio.run(scenario())


def test_lease_renewed_on_a_reused_version_is_given_up_for_a_full_term():
    async def scenario():
        clock = SimpleNamespace(now=100.0)
        clock.monotonic = lambda: clock.now
        table = RestoredTable()
        orderer = build_orderer("h0", table, clock)
        await orderer._keep_lease()
        table.copy()
        table.restore()
        clock.now += 1.0
        await orderer._keep_lease()
        assert not orderer.lease.may_order(clock.now)
        clock.now += 2.3
        await orderer._keep_lease()
        assert not orderer.lease.holds
        clock.now += 1.0
        await orderer._keep_lease()
        assert orderer.lease.holds

    asyncio.run(scenario())
