"""Targets stop getting work as soon as they leave, and survive a store outage."""

import pytest
from hypothesis import given, strategies as st

from marigoldswitch.core.catalogue import LayerRange, Target
from marigoldswitch.core.ids import DataCentre, ServiceName, TargetId
from marigoldswitch.core.registry import (
    ENDING_SECONDS,
    GRACE_SECONDS,
    Change,
    TargetRegistry,
    TargetRow,
)
from marigoldswitch.core.revisions import make_revision
from marigoldswitch.core.routes import ClientLimits, RoutingTable, ServiceSpec
from marigoldswitch.gateway.directory import Directory
from marigoldswitch.gateway.ports import StoredConfiguration

NAME = TargetId("i-1")


def build_row(
    name="i-1",
    revision=1,
    leaving=False,
    address="10.1.0.1:80",
    born=0,
    layers=None,
    service="s",
):
    target = Target(
        TargetId(name), ServiceName(service), DataCentre("a"), address, 4, layers
    )
    return TargetRow(target, leaving, revision, born)


def watch(registry):
    seen = []
    registry.watch(lambda change, target: seen.append((change, target.id)))
    return seen


def test_leaving_target_gets_no_new_work():
    registry = TargetRegistry()
    seen = watch(registry)
    registry.put(build_row(), 0.0)
    registry.put(build_row(revision=2, leaving=True), 1.0)
    assert not registry.targets
    assert seen == [(Change.ADDED, NAME), (Change.LEAVING, NAME)]


def test_work_in_flight_stays_a_while_at_a_leaving_target():
    registry = TargetRegistry()
    registry.put(build_row(), 0.0)
    assert not registry.is_ending(NAME, 0.5)
    registry.put(build_row(revision=2, leaving=True), 1.0)
    assert not registry.is_ending(NAME, 1.0 + ENDING_SECONDS / 2)
    assert registry.is_ending(NAME, 1.0 + ENDING_SECONDS)


def test_older_row_changes_nothing():
    registry = TargetRegistry()
    registry.put(build_row(revision=5, leaving=True), 0.0)
    registry.put(build_row(revision=4), 0.1)
    assert not registry.targets


def test_removed_row_is_dropped_at_once_without_an_outage():
    registry = TargetRegistry()
    registry.put(build_row(), 0.0)
    registry.remove(NAME, 10.0)
    assert not registry.rows


def test_row_that_lapsed_in_an_outage_may_come_back():
    registry = TargetRegistry()
    registry.put(build_row(), 0.0)
    registry.note_outage(10.0)
    registry.remove(NAME, 10.5)
    registry.expire(10.6)
    assert NAME in registry.targets
    registry.put(build_row(revision=2), 11.0)
    registry.expire(20.0)
    assert NAME in registry.targets


def test_row_that_stays_away_after_an_outage_is_gone():
    registry = TargetRegistry()
    registry.put(build_row(), 0.0)
    registry.note_outage(10.0)
    registry.remove(NAME, 10.5)
    registry.expire(10.5 + GRACE_SECONDS)
    assert not registry.rows


def test_authoritative_list_drops_missing_targets_at_once():
    registry = TargetRegistry()
    registry.put(build_row(), 0.0)
    registry.note_outage(10.0)
    registry.replace_all([], 7, 10.1, is_authoritative=True)
    assert not registry.rows


def test_newer_target_replaces_the_one_at_its_address():
    registry = TargetRegistry()
    registry.put(build_row(), 0.0)
    registry.put(build_row("i-2", revision=2), 1.0)
    assert list(registry.targets) == ["i-2"]
    assert list(registry.rows) == ["i-2"]


def test_observed_layers_take_effect_before_the_row_changes():
    registry = TargetRegistry()
    registry.put(build_row(), 0.0)
    registry.note_layers(NAME, LayerRange(0, 8))
    assert registry.targets[NAME].layers == LayerRange(0, 8)


@given(
    st.lists(
        st.tuples(
            st.sampled_from(["i-1", "i-2"]), st.sampled_from(["put", "leave", "drop"])
        ),
        max_size=20,
    )
)
def test_usable_targets_are_known_and_not_leaving(steps):
    registry = TargetRegistry()
    for number, (name, step) in enumerate(steps, 1):
        now = float(number)
        if step == "drop":
            registry.remove(TargetId(name), now)
        else:
            address = f"10.1.0.{name[-1]}:80"
            registry.put(build_row(name, number, step == "leave", address), now)
        for target in registry.targets:
            assert not registry.rows[target].leaving


HELD = LayerRange(0, 8)


def test_restarted_target_is_treated_as_a_new_one():
    registry = TargetRegistry()
    registry.put(build_row(revision=4, born=1000, layers=HELD), 0.0)
    registry.lapse(NAME, 0.5)
    seen = watch(registry)
    registry.put(build_row(revision=5, born=2000), 1.0)
    assert seen == [(Change.GONE, NAME), (Change.ADDED, NAME)]
    assert registry.targets[NAME].layers is None
    registry.expire(0.5 + GRACE_SECONDS)
    assert NAME in registry.targets


def test_late_news_of_an_earlier_start_is_ignored():
    registry = TargetRegistry()
    registry.put(build_row(revision=5, born=2000), 0.0)
    seen = watch(registry)
    registry.put(build_row(revision=9, born=1000, layers=HELD, leaving=True), 1.0)
    registry.note_layers(NAME, HELD, 1000)
    assert seen == []
    assert registry.targets[NAME].layers is None


def test_restart_is_learned_from_a_report_before_the_row():
    registry = TargetRegistry()
    registry.put(build_row(revision=4, born=1000, layers=HELD), 0.0)
    seen = watch(registry)
    registry.note_layers(NAME, None, 2000)
    assert seen == [(Change.GONE, NAME), (Change.ADDED, NAME)]
    registry.put(build_row(revision=6, born=1000, layers=HELD), 1.0)
    assert registry.targets[NAME].layers is None


def test_restarted_leaving_target_gets_no_work_until_its_row_is_updated():
    registry = TargetRegistry()
    registry.put(build_row(revision=4, born=1000, leaving=True), 0.0)
    registry.note_layers(NAME, None, 2000)
    assert not registry.targets
    registry.put(build_row(revision=5, born=2000), 1.0)
    assert NAME in registry.targets


def test_row_of_an_unknown_service_does_not_take_the_address_of_a_target():
    registry = TargetRegistry()
    registry.knows_service = lambda name: name == "s"
    registry.put(build_row(revision=1), 0.0)
    registry.put(build_row("other", 2, service="elsewhere"), 1.0)
    assert NAME in registry.targets
    registry.remove(TargetId("other"), 2.0)
    registry.put(build_row("i-2", 3), 3.0)
    assert set(registry.targets) == {"i-2"}


def build_directory(*services):
    """Return a directory and a function that puts services in force."""
    directory = Directory()

    def name_services(version, *names):
        specs = {ServiceName(name): ServiceSpec(ServiceName(name)) for name in names}
        table = RoutingTable(version, (), specs, {}, ClientLimits())
        directory.adopt(StoredConfiguration(table, b""), "test")

    if services:
        name_services(1, *services)
    return directory, name_services


# Guards against targets that a starting host loses to entries of an unnamed service.
def test_row_of_an_unnamed_service_displaces_nothing_before_a_configuration_is_known():
    directory, name_services = build_directory()
    registry = directory.registry
    rows = [build_row("i-1", 1), build_row("other", 2, service="elsewhere")]
    registry.replace_all(rows, 2, 0.0)
    name_services(1, "s")
    assert [item.id for item in registry.list_targets(ServiceName("s"))] == ["i-1"]


def test_successor_at_an_address_displaces_the_older_target_once_services_are_known():
    directory, name_services = build_directory()
    rows = [build_row("i-2", 5), build_row("i-1", 1), build_row("i-3", 9, address="b")]
    directory.registry.replace_all(rows, 9, 0.0)
    name_services(1, "s")
    assert set(directory.registry.targets) == {"i-2", "i-3"}
    directory.registry.put(build_row("i-4", 10), 1.0)
    assert set(directory.registry.targets) == {"i-4", "i-3"}


def test_row_of_a_service_that_is_named_later_takes_its_address_then():
    directory, name_services = build_directory("s")
    registry = directory.registry
    registry.put(build_row("i-1", 1), 0.0)
    registry.put(build_row("i-2", 2, service="t"), 1.0)
    assert "i-1" in registry.targets
    name_services(2, "s", "t")
    assert set(registry.targets) == {"i-2"}


# Guards against a target that an entry of another writer under its id keeps out.
@pytest.mark.parametrize("leaving", [False, True])
@pytest.mark.parametrize("restored", [False, True])
def test_target_whose_entry_was_overwritten_by_an_unnamed_service_comes_back(
    leaving, restored
):
    directory, _ = build_directory("s")
    registry = directory.registry
    registry.put(build_row("i-1", 1, born=1000), 0.0)
    if restored:
        registry.replace_all([build_row("i-1", 1, born=1000)], make_revision(1, 1), 0.5)
    last = registry.revision
    foreign = build_row("i-1", last + 1, leaving, service="elsewhere", born=9000)
    registry.put(foreign, 1.0)
    assert not registry.list_targets(ServiceName("s"))
    registry.put(build_row("i-1", last + 2, born=1000), 2.0)
    assert [item.id for item in registry.list_targets(ServiceName("s"))] == ["i-1"]
    assert not registry.is_ending(NAME, 9.0)
    registry.put(build_row("i-1", last + 3, born=900), 3.0)
    assert registry.rows[NAME].born == 1000


def test_entry_of_an_unnamed_service_does_not_undo_what_a_target_has_said():
    directory, _ = build_directory("s")
    registry = directory.registry
    registry.put(build_row("i-1", 1, born=1000), 0.0)
    assert registry.note_leaving(NAME, 0.5, born=1000)
    registry.put(build_row("i-1", 2, service="elsewhere", born=9000), 1.0)
    registry.put(build_row("i-1", 3, born=1000), 2.0)
    assert not registry.targets


def test_older_entry_of_an_unnamed_service_changes_nothing():
    directory, _ = build_directory("s")
    registry = directory.registry
    registry.put(build_row("i-1", 5, born=1000), 0.0)
    registry.put(build_row("i-1", 4, service="elsewhere", born=9000), 1.0)
    assert registry.rows[NAME].revision == 5


ROWS = st.builds(
    lambda born, revision, leaving, layers: build_row(
        revision=revision, leaving=leaving, born=1000 * born, layers=layers
    ),
    st.integers(1, 4),
    st.integers(1, 40),
    st.booleans(),
    st.sampled_from([None, HELD]),
)


@given(st.lists(ROWS, min_size=1, max_size=8))
def test_latest_start_wins_in_any_order_of_rows(rows):
    registry = TargetRegistry()
    for now, row in enumerate(rows):
        registry.put(row, float(now))
    assert registry.rows[NAME].born == max(row.born for row in rows)
    last = [row for row in rows if row.born == registry.rows[NAME].born]
    assert registry.rows[NAME].revision == max(row.revision for row in last)


def test_target_that_says_it_leaves_is_not_taken_back_by_later_rows():
    registry = TargetRegistry()
    registry.put(build_row("x", revision=1, born=5), 0.0)
    changes = watch(registry)
    assert registry.note_leaving(TargetId("x"), 1.0)
    assert not registry.note_leaving(TargetId("x"), 1.5)
    assert changes == [(Change.LEAVING, "x")]
    registry.put(build_row("x", revision=2, born=5), 2.0)
    registry.replace_all([build_row("x", revision=3, born=5)], 3, 3.0)
    assert not registry.targets
    registry.remove(TargetId("x"), 4.0)
    registry.put(build_row("x", revision=5, born=5), 5.0)
    assert not registry.targets
    registry.put(build_row("x", revision=6, born=9), 6.0)
    assert list(registry.targets) == ["x"]


def test_target_that_has_restarted_since_it_said_that_it_leaves_stays():
    registry = TargetRegistry()
    registry.put(build_row("x", revision=1, born=9), 0.0)
    assert not registry.note_leaving(TargetId("x"), 1.0, born=5)
    assert list(registry.targets) == ["x"]
    assert registry.note_leaving(TargetId("x"), 1.0, born=9)
    registry.note_layers(TargetId("x"), None, born=11)
    assert list(registry.targets) == ["x"]
    assert registry.list_stated_leaving() == []
