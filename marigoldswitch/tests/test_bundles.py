"""Validation of bundles: all faults are reported at once, and no input crashes it."""

from pathlib import Path

import pytest
import yaml
from hypothesis import given, strategies as st
from result import Err, Ok

from marigoldswitch.bundles import parse_bundle
from marigoldswitch.core.catalogue import LayerRange, ServiceKind
from marigoldswitch.core.chains import count_chains, find_uncovered_layer
from marigoldswitch.documents import MAX_BYTES, read_document, write_document
from marigoldswitch.settings import parse_settings
from marigoldswitch.tests.fakes import build_content

EXAMPLES = Path(__file__).parents[2] / "examples"


@pytest.mark.parametrize(
    ("name", "model", "data_centres"),
    [
        ("hollowbrook", "drafting", {"hobart", "launceston", "devonport"}),
        ("muebla", "redactor", {"scl-quilicura", "scl-pudahuel", "scl-maipu"}),
    ],
)
def test_examples_are_valid(name, model, data_centres):
    bundle = parse_bundle((EXAMPLES / f"{name}.yaml").read_bytes(), 1).unwrap()
    services = {service.kind: service.name for service in bundle.services.values()}
    assert services[ServiceKind.MODEL] == model
    assert len(bundle.list_targets(model)) == 30
    assert len(bundle.list_targets(services[ServiceKind.PLAIN])) == 3
    assert {item.data_centre for item in bundle.targets.values()} == data_centres
    assert len(bundle.accounts) == 10


def change(**sections):
    document = yaml.safe_load(build_content())
    for section, value in sections.items():
        document[section] = document.get(section, {}) | value
    return parse_bundle(write_document(document), 1, "b.yaml")


def test_all_faults_of_all_parts_are_named_at_once():
    target = {"data_centre": "hobart", "address": "http://127.0.0.1:2"}
    account = {"brands": ["dollhouse"], "key_digests": ["0" * 64]}
    result = change(
        brands={"new": {"applications": {"letters": "nowhere"}}},
        pipelines={"drafts": {"service": "nothing"}},
        services={
            "drafting": {"kind": "model", "idempotent": True, "layers": 9},
            "odd": {"kind": "plain", "idempotent": "perhaps"},
        },
        accounts={
            "twin": account | {"weight": 0},
            "greedy": account | {"rate": 1000},
            "stray": account | {"brands": ["else"], "key_digests": ["1" * 64]},
        },
        targets={
            "e0": target | {"service": "drafting", "layers": [0, 4]},
            "e1": target | {"service": "drafting", "layers": [5, 9]},
            "e2": target | {"service": "odd", "address": "http://127.0.0.1:3"},
        },
    )
    lines = "\n".join(result.unwrap_err())
    for expected in (
        "b.yaml: brands.new.applications.letters: no pipeline 'nowhere'",
        "b.yaml: pipelines.drafts.service: no service 'nothing'",
        "b.yaml: services.odd.idempotent",
        "b.yaml: accounts.twin.weight (is 0)",
        "b.yaml: accounts.greedy.key_digests: family has that key too",
        "b.yaml: accounts.greedy.rate: 1000 requests a second",
        "b.yaml: accounts.stray.brands: no brand 'else'",
        "b.yaml: targets.e1.address: e0 has that address too",
        "b.yaml: services.drafting: the targets' layer ranges leave a gap in [0, 9), "
        "from layer 4 on",
    ):
        assert expected in lines, lines
    assert "'odd'" not in lines, "a name with a wrong part is still known"


@pytest.mark.parametrize(
    ("content", "expected"),
    [
        (b"a: 1\na: 2\nb: {c: 1, c: 2}", ["line 2: key 'a'", "line 3: key 'c'"]),
        (b"a: &x [1, 1]\nb: [*x, *x]", ["aliases"]),
        (b"[" * 50_000, ["nest"]),
        (b"[" * 30 + b"]" * 30, ["nested deeper"]),
        (b"a: " + b"9" * 5000, ["longer than"]),
        (b"x" * (MAX_BYTES + 1), ["bytes"]),
        (b"[]", ["a bundle is a mapping, not list"]),
        (b"", ["a bundle is a mapping, not NoneType"]),
        (b"\xff\xfe\x00", ["no YAML"]),
        (b"!!timestamp x", ["no YAML"]),
        (b"!!bool perhaps", ["no YAML"]),
        (b"!!python/object/apply:os.getcwd []", ["no YAML"]),
        (b"links: 0x" + b"f" * 3900, ["a number of 15600 bits"]),
    ],
)
def test_malicious_documents_are_refused(content, expected):
    lines = "\n".join(parse_bundle(content, 1).unwrap_err())
    assert all(part in lines for part in expected), lines


@pytest.mark.parametrize(
    "field",
    [
        {"slots": 10**30},
        {"slots": 0},
        {"speed": float("inf")},
        {"speed": float("nan")},
        {"layers": [0, 10**9]},
    ],
)
def test_numbers_without_bound_are_refused(field):
    target = {
        "service": "bookings",
        "data_centre": "x",
        "address": "http://127.0.0.1:2",
    }
    result = change(targets={"extra": target | field})
    assert "targets.extra." in "\n".join(result.unwrap_err())


VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=4) | st.integers(), inner, max_size=3)
    ),
    max_leaves=12,
)


@given(st.binary(max_size=200) | st.text(max_size=200).map(str.encode))
def test_any_bytes_give_a_result(content):
    assert isinstance(read_document(content, "f"), Ok | Err)
    assert isinstance(parse_bundle(content, 1), Err)


@given(
    st.sampled_from(
        ["brands", "pipelines", "services", "accounts", "targets", "links", "regions"]
    ),
    st.text(max_size=4),
    VALUES,
)
def test_any_part_gives_a_result(section, name, value):
    for damaged in ({section: value}, {section: {name: value}}):
        document = yaml.safe_load(build_content()) | damaged
        content = write_document(document)
        assert isinstance(parse_bundle(content, 1), Ok | Err)
    assert isinstance(parse_settings("f", {section: value}), Err)


@given(st.integers(0, 400), st.integers(0, 255))
def test_damaged_bundles_never_raise(place, value):
    content = bytearray(build_content())
    content[place % len(content)] = value
    parse_bundle(bytes(content), 1)


RANGES = st.lists(
    st.tuples(st.integers(0, 5), st.integers(1, 6)).filter(lambda x: x[0] < x[1]),
    max_size=8,
)


@given(RANGES)
def test_chain_count_matches_exhaustive_search(pairs):
    ranges = [LayerRange(*pair) for pair in pairs]

    def count_most_chains(left: list[tuple[int, int]]) -> int:
        best = 0
        for chain in list_chains(left, 0):
            rest = list(left)
            for item in chain:
                rest.remove(item)
            best = max(best, 1 + count_most_chains(rest))
        return best

    def list_chains(left, start):
        if start == 6:
            yield ()
            return
        for item in set(left):
            if item[0] == start:
                rest = list(left)
                rest.remove(item)
                for chain in list_chains(rest, item[1]):
                    yield (item, *chain)

    assert count_chains(ranges, 6) == count_most_chains(pairs)
    assert (find_uncovered_layer(ranges, 6) is None) == (count_chains(ranges, 6) > 0)
