"""Checks and decoding of the platform's settings file."""

import orjson
import pytest
from result import Err

from marigoldswitch.platform.settings import read_settings

FIELDS = {
    "node_name": "edge-north-1",
    "ip": "10.1.0.40",
    "zone": "north",
    "region": "isle",
    "listen": {
        "frontend": "10.1.0.40:8227",
        "ready": "10.1.0.40:8220",
        "control_plane": "10.1.0.40:8229",
    },
    "port_range": [7340, 7355],
    "seeds": ["10.1.0.40:8229", "10.2.0.29:8229"],
    "bounds": {"grace_s": 9, "retry_allowance": 200, "budget_window_s": 10},
    "platform": {"address": "10.200.1.7:8223"},
    "something_new": 1,
}


def write(tmp_path, fields):
    path = tmp_path / "boot.json"
    path.write_bytes(orjson.dumps(fields))
    return path


def test_settings_of_a_host(tmp_path):
    settings, store = read_settings(write(tmp_path, FIELDS)).unwrap()
    assert store == "10.200.1.7:8223"
    assert settings.identity.host == "10.1.0.40:8229"
    assert settings.identity.data_centre == "north"
    assert settings.addresses.callers == "10.1.0.40:8227"
    assert settings.seeds == ("10.2.0.29:8229",)
    assert settings.stop_seconds == 9.0
    assert settings.retry_allowance == 20.0


@pytest.mark.parametrize(
    ("ports", "address"),
    [([7340, 7355], "10.1.0.40:7341"), ([7340, 7341], ""), ([7340], "")],
)
def test_requests_of_other_hosts_have_a_port_of_their_own(tmp_path, ports, address):
    fields = FIELDS | {"port_range": ports}
    settings, _ = read_settings(write(tmp_path, fields)).unwrap()
    assert settings.addresses.proxied == address


@pytest.mark.parametrize(
    ("limits", "link_bytes"),
    [({"link_mbps": 20.0}, 2.5e6), ({"link_mbps": "fast"}, 125e6), (None, 125e6)],
)
def test_link_speed_is_read_or_has_a_default(tmp_path, limits, link_bytes):
    settings, _ = read_settings(write(tmp_path, FIELDS | {"limits": limits})).unwrap()
    assert settings.link_bytes == link_bytes


@pytest.mark.parametrize(
    ("change", "name"),
    [
        ({"zone": ""}, "zone"),
        ({"listen": {"frontend": "10.1.0.40"}}, "listen.frontend"),
        ({"platform": None}, "platform"),
        ({"port_range": "7340"}, "port_range"),
    ],
)
def test_faults_name_the_field(tmp_path, change, name):
    read = read_settings(write(tmp_path, {**FIELDS, **change}))
    assert isinstance(read, Err)
    assert f"{name}: must be" in read.err_value


def test_missing_or_malformed_file_is_reported(tmp_path):
    path = tmp_path / "none.json"
    assert str(path) in read_settings(path).err_value
    path.write_bytes(b"{")
    assert "no JSON" in read_settings(path).err_value


def test_first_start_of_the_system_is_told_from_later_ones(tmp_path):
    for bootstrap in (True, False, None, "true"):
        fields = {**FIELDS, "bootstrap": bootstrap}
        settings, _ = read_settings(write(tmp_path, fields)).unwrap()
        assert settings.is_first_start == (bootstrap is True)


@pytest.mark.parametrize(
    "changes",
    [
        {"bounds": {"grace_s": "soon"}},
        {"bounds": {"grace_s": [9]}},
        {"bounds": [9]},
        {"bounds": {"retry_allowance": {}}},
        {"bounds": {"retry_allowance": 200, "budget_window_s": "ten"}},
        {"bounds": {"retry_budget_ratio": None}},
        {"seeds": 7},
        {"port_range": []},
        {"port_range": [7340, True]},
        {"listen": {**FIELDS["listen"], "control_plane": 8229}},
    ],
)
def test_settings_of_a_wrong_type_are_refused(tmp_path, changes):
    assert isinstance(read_settings(write(tmp_path, {**FIELDS, **changes})), Err)
