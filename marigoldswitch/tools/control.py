"""The operators' tool ``marigoldctl``."""

import asyncio
import hashlib
import os
import secrets
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import aiohttp
import defopt
import orjson
from result import Err, Ok, Result

from marigoldswitch.bundles import parse_bundle
from marigoldswitch.core.ids import BundleVersion
from marigoldswitch.tools.admin_client import AdminClient

KEY_VARIABLE = "MARIGOLDCTL_KEY"
ADDRESS_VARIABLE = "MARIGOLDCTL_ADDRESS"
DEFAULT_ADDRESS = "http://127.0.0.1:8403"
REFUSED_STATUS = 1
MISTAKE_STATUS = 2


def check(bundle: Path) -> int:
    """Check a bundle without sending it anywhere.

    :param bundle: YAML file.
    """
    content = _read_file(bundle)
    if content is None:
        return MISTAKE_STATUS
    match parse_bundle(content, BundleVersion(0), str(bundle)):
        case Err(lines):
            print("\n".join(lines), file=sys.stderr)
            return REFUSED_STATUS
        case Ok():
            print(f"{bundle}: fine")
    return 0


def submit(bundle: Path, *, json: bool = False) -> int:
    """Submit a bundle as a draft.

    :param bundle: YAML file.
    :param json: print the answer as JSON.
    """
    content = _read_file(bundle)
    if content is None:
        return MISTAKE_STATUS
    return _call(lambda client: client.submit(content), json)


def review(digest: str, *, json: bool = False) -> int:
    """Mark a draft as reviewed.

    :param digest: digest of the draft.
    :param json: print the answer as JSON.
    """
    return _call(lambda client: client.review(digest), json)


def sign_off(digest: str, *, json: bool = False) -> int:
    """Sign a reviewed draft off.

    :param digest: digest of the draft.
    :param json: print the answer as JSON.
    """
    return _call(lambda client: client.sign_off(digest), json)


def accept(digest: str, *, seen: int, json: bool = False) -> int:
    """Put a signed-off bundle in force.

    :param digest: digest of the draft.
    :param seen: version that was in force when you decided.
    :param json: print the answer as JSON.
    """
    return _call(lambda client: client.accept(digest, seen), json)


def status(*, json: bool = False) -> int:
    """Show the status of a host.

    :param json: print the answer as JSON.
    """
    return _call(lambda client: client.show_status(), json)


def keygen() -> int:
    """Make a bearer key and print it with its digest."""
    key = secrets.token_urlsafe(32)
    print(f"key: {key}")
    print(f"key_digest: {hashlib.sha256(key.encode()).hexdigest()}")
    return 0


def _read_file(path: Path) -> bytes | None:
    try:
        return path.read_bytes()
    except OSError as error:
        print(f"{path}: {error.strerror}", file=sys.stderr)
        return None


def _call(
    operate: Callable[[AdminClient], Awaitable[Result[dict[str, Any], list[str]]]],
    json: bool,
) -> int:
    key = os.environ.get(KEY_VARIABLE)
    if not key:
        print(f"set {KEY_VARIABLE} to your operator key", file=sys.stderr)
        return MISTAKE_STATUS
    address = os.environ.get(ADDRESS_VARIABLE, DEFAULT_ADDRESS)

    async def work() -> Result[dict[str, Any], list[str]]:
        async with aiohttp.ClientSession() as session:
            return await operate(AdminClient(session, address, key))

    match asyncio.run(work()):
        case Err(lines):
            print("\n".join(lines), file=sys.stderr)
            return REFUSED_STATUS
        case Ok(answer):
            _print_answer(answer, json)
    return 0


def _print_answer(answer: dict[str, Any], json: bool) -> None:
    if json:
        print(orjson.dumps(answer).decode())
        return
    for name, value in answer.items():
        print(f"{name}: {value}")


def main() -> None:
    """Entry point."""
    commands = [check, submit, review, sign_off, accept, status, keygen]
    sys.exit(defopt.run(commands))


if __name__ == "__main__":
    main()
