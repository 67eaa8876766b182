"""Settings are reloaded when their file changes; an invalid file changes nothing."""

import asyncio
import os
import subprocess
import sys
from types import SimpleNamespace

import pytest

from marigoldswitch.gateway.exchanges import RETRY_MARGIN_FACTOR
from marigoldswitch.platform.daemon import SettingsReloader
from marigoldswitch.platform.settings import read_settings
from marigoldswitch.tests.gateway_site import run_site
from marigoldswitch.tests.helpers import run_async
from marigoldswitch.tests.test_platform_settings import FIELDS, write


def build_reloader(path):
    applied = []
    host = SimpleNamespace(apply_settings=applied.append)
    return SettingsReloader(path, "10.200.1.7:8223", host), applied


def test_changed_file_is_reloaded_without_a_signal(tmp_path, monkeypatch):
    monkeypatch.setattr("marigoldswitch.platform.daemon.SETTINGS_POLL_SECONDS", 0.0)
    path = write(tmp_path, FIELDS)
    reloader, applied = build_reloader(path)

    async def scenario():
        watch = asyncio.create_task(reloader.watch())
        write(tmp_path, {**FIELDS, "bounds": {"grace_s": 5}})
        os.utime(path, ns=(1, 1))
        while not applied:
            await asyncio.sleep(0)
        watch.cancel()

    run_async(scenario())
    assert applied[0].stop_seconds == 5.0


def test_invalid_file_leaves_the_settings_unchanged(tmp_path):
    path = write(tmp_path, FIELDS)
    reloader, applied = build_reloader(path)
    path.write_bytes(b"{")
    reloader.reload()
    path.unlink()
    reloader.reload()
    assert applied == []
    write(tmp_path, FIELDS)
    reloader.reload()
    assert len(applied) == 1


def test_file_is_watched_on_after_an_error(tmp_path, monkeypatch):
    monkeypatch.setattr("marigoldswitch.platform.daemon.SETTINGS_POLL_SECONDS", 0.0)
    path = write(tmp_path, FIELDS)
    reloader, applied = build_reloader(path)

    def refuse(settings):
        applied.append(settings)
        if len(applied) == 1:
            raise RuntimeError("no such bound")

    reloader._host.apply_settings = refuse

    async def scenario():
        watch = asyncio.create_task(reloader.watch())
        for number in (1, 2):
            os.utime(path, ns=(number, number))
            while len(applied) < number and not watch.done():
                await asyncio.sleep(0)
        assert not watch.done()
        watch.cancel()

    run_async(scenario())
    assert len(applied) == 2


def test_host_uses_new_bounds_and_keeps_its_addresses(tmp_path):
    changed = {**FIELDS, "bounds": {"grace_s": 5, "retry_allowance": 50}}
    fresh, _ = read_settings(write(tmp_path, changed)).unwrap()

    async def scenario():
        async with run_site(hosts=1) as site:
            host = site.hosts[0]
            before = host.settings
            host.apply_settings(fresh)
            assert host.settings.addresses == before.addresses
            assert host.settings.stop_seconds == 5.0
            budget = host.parts.runs.retries.get("desk")
            hosts = host.parts.spread.roster.count_members()
            allowed = RETRY_MARGIN_FACTOR * 50
            assert budget.get_own_part(0.0) * hosts == pytest.approx(allowed)
            assert "10.2.0.29:8229" in host.parts.spread.roster.peers

    run_async(scenario())


LIST_DATA_CLASSES = """
import sys
import marigoldswitch.platform.daemon
print(*(
    f"{name}.{item.__name__}"
    for name, module in list(sys.modules.items()) if name.startswith("marigoldswitch")
    for item in vars(module).values()
    if isinstance(item, type) and item.__module__ == name
    and "__dataclass_fields__" in vars(item)
))
"""


def test_start_builds_few_data_classes():
    """Each one is compiled anew at every start, in 1 to 2 ms of processor time.

    Before, there were 107 of them, a fifth of the processor time of a start. On days
    on which 89 hosts start three times, starts were half of all processor time.
    """
    listed = subprocess.run(
        [sys.executable, "-c", LIST_DATA_CLASSES],
        check=True,
        capture_output=True,
        text=True,
    )
    assert len(listed.stdout.split()) <= 5, listed.stdout
