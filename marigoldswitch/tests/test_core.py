"""The core imports no module that does I/O or reads a clock."""

import ast
from pathlib import Path

import marigoldswitch.core

FORBIDDEN = {
    "aiohttp",
    "asyncio",
    "io",
    "os",
    "pathlib",
    "select",
    "socket",
    "ssl",
    "subprocess",
    "threading",
    "time",
}


def list_imports(path: Path) -> set[str]:
    names = set()
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.Import):
            names |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom):
            names.add(node.module or "")
    return names


def test_core_does_no_input_or_output():
    modules = sorted(Path(marigoldswitch.core.__file__).parent.glob("*.py"))
    assert len(modules) > 5
    for path in modules:
        imports = list_imports(path)
        assert not {name.partition(".")[0] for name in imports} & FORBIDDEN, path
        own = {name for name in imports if name.startswith("marigoldswitch")}
        assert all(name.startswith("marigoldswitch.core") for name in own), path
