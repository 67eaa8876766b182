"""The deploy file names existing modules; its build uses the pinned versions."""

import importlib
import tomllib
from pathlib import Path

ROOT = Path(__file__).parents[2]


def read_pins(name):
    lines = (ROOT / "requirements" / name).read_text(encoding="utf-8").splitlines()
    return dict(line.split("==") for line in lines if line)


def test_platform_is_built_from_the_versions_that_are_tested():
    locked = read_pins("lock.txt")
    for name, version in read_pins("platform.txt").items():
        assert locked[name] == version


def test_roles_run_programs_that_there_are():
    deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text("utf-8"))
    assert "requirements/platform.txt" in deploy["build"]
    for role in deploy["roles"].values():
        program, option, module = role["run"].split()
        assert (program, option) == ("python3", "-m")
        assert callable(importlib.import_module(module).main)
