"""Reading YAML from outside: bounded in size, depth and number of parts.

Aliases are refused, since a few lines of them stand for gigabytes, and so is a key
that comes twice, since all but its last value would be lost without a word.
"""

from collections.abc import Hashable
from typing import Any

import yaml
from result import Err, Ok, Result

MOST_BYTES = 4 * 1024 * 1024
"""Largest document; ten times the bundle of 400 hosts, 600 targets, 420 accounts."""
MOST_NODES = 200_000
DEEPEST = 24
LONGEST_SCALAR = 4000
"""Characters of one value; below the length at which Python refuses whole numbers."""

_YAML_FAULTS = (
    yaml.YAMLError,
    ValueError,
    TypeError,
    AttributeError,
    LookupError,
    ArithmeticError,
    RecursionError,
)
"""What the library raises; explicit tags on unfit values raise any of these."""


class _Loader(yaml.CSafeLoader):
    """Loader that remembers keys that came twice."""

    def __init__(self, stream: bytes) -> None:
        super().__init__(stream)
        self.twice: list[str] = []

    def construct_mapping(
        self, node: yaml.MappingNode, deep: bool = False
    ) -> dict[Hashable, Any]:
        """Return a mapping; note the keys that came twice."""
        seen: set[str] = set()
        for key, _ in node.value:
            if not isinstance(key, yaml.ScalarNode):
                continue
            if key.value in seen:
                line = key.start_mark.line + 1
                self.twice.append(f"line {line}: key {key.value!r} comes twice")
            seen.add(key.value)
        return super().construct_mapping(node, deep)


def read_document(content: bytes, source: str) -> Result[Any, list[str]]:
    """Return what a YAML document holds, or one line for each fault.

    :param source: file name, for messages.
    """
    if len(content) > MOST_BYTES:
        return Err([f"{source}: {len(content)} bytes; at most {MOST_BYTES} are read"])
    try:
        excess = _find_excess(content)
        if excess:
            return Err([f"{source}: {excess}"])
        loader = _Loader(content)
        try:
            value = loader.get_single_data()
        finally:
            loader.dispose()
    except _YAML_FAULTS as error:
        reason = " ".join(str(error).split())[:300]
        return Err([f"{source}: no YAML: {reason}"])
    if loader.twice:
        return Err([f"{source}: {fault}" for fault in loader.twice])
    return Ok(value)


def _find_excess(content: bytes) -> str | None:
    """Tell what makes a document too large to be built, without building it."""
    depth = 0
    for count, event in enumerate(yaml.parse(content, Loader=yaml.CSafeLoader)):
        line = event.start_mark.line + 1 if event.start_mark else 0
        if isinstance(event, yaml.AliasEvent):
            return f"line {line}: aliases are not read; write the value out"
        if isinstance(event, yaml.CollectionStartEvent):
            depth += 1
        elif isinstance(event, yaml.CollectionEndEvent):
            depth -= 1
        elif isinstance(event, yaml.ScalarEvent) and len(event.value) > LONGEST_SCALAR:
            return f"line {line}: a value longer than {LONGEST_SCALAR} characters"
        if depth > DEEPEST:
            return f"line {line}: nested deeper than {DEEPEST}"
        if count > MOST_NODES:
            return f"line {line}: more than {MOST_NODES} values"
    return None
