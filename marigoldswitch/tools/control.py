"""The operators' tool ``marigoldctl``.

It reads ``MARIGOLDCTL_KEY`` (bearer key), ``MARIGOLDCTL_ADDRESS`` (one host's
administration listener), ``MARIGOLDCTL_SIGNING_KEY`` (PEM file of the private key, for
the steps of a bundle) and ``MARIGOLDCTL_CA_FILE`` (authorities, for an https address).
"""

import hashlib
import os
import secrets
import sys
from pathlib import Path

import defopt
import orjson
from result import Err, Ok, Result

from marigoldswitch.bundles import CheckedBundle, read_bundle
from marigoldswitch.core.upgrades import find_upgrade_faults
from marigoldswitch.documents import write_document
from marigoldswitch.signatures import (
    format_private_key,
    format_public_key,
    make_private_key,
)
from marigoldswitch.tools import formats
from marigoldswitch.tools.calls import Exit, ask, call, complain, read_file
from marigoldswitch.tools.differences import list_differences

PRIVATE_MODE = 0o600


def check(bundle: Path) -> int:
    """Check a bundle without sending it anywhere.

    :param bundle: YAML file.
    """
    read = _read_bundle(bundle)
    if isinstance(read, Err):
        return read.err_value
    parsed = read.ok_value.bundle
    print(
        f"{bundle}: fine: {len(parsed.services)} services, "
        f"{len(parsed.targets)} targets, {len(parsed.accounts)} client accounts"
    )
    return Exit.DONE


def diff(bundle: Path, *, against: str = "") -> int:
    """Show what a bundle would change.

    :param bundle: YAML file.
    :param against: digest or YAML file to compare with; the version in force by
        default.
    """
    new = _read_bundle(bundle)
    if isinstance(new, Err):
        return new.err_value
    old = _read_base(against)
    if isinstance(old, Err):
        return old.err_value
    if old.ok_value is None:
        print("no bundle has been accepted yet")
        return Exit.DONE
    documents = [orjson.loads(item.content) for item in (old.ok_value, new.ok_value)]
    print("\n".join(list_differences(*documents)) or "no difference")
    faults = find_upgrade_faults(old.ok_value.bundle, new.ok_value.bundle)
    return complain("\n".join(faults), Exit.REFUSED) if faults else Exit.DONE


def show(digest: str) -> int:
    """Print a bundle as YAML, to review it; its comments are with its author.

    :param digest: digest of the bundle.
    """
    match ask(lambda client: client.show_content(digest)):
        case Err(status):
            return status
        case Ok(answer):
            print(write_document(orjson.loads(answer["content"])).decode(), end="")
    return Exit.DONE


def submit(bundle: Path, *, why: str, json: bool = False) -> int:
    """Submit a bundle as a draft.

    :param bundle: YAML file.
    :param why: reason of the change, for the log and the history.
    :param json: print the answer as JSON.
    """
    read = _read_bundle(bundle)
    if isinstance(read, Err):
        return read.err_value
    content = read.ok_value.content
    return call(lambda client: client.submit(content, why), formats.format_fields, json)


def review(digest: str, *, why: str, json: bool = False) -> int:
    """Mark a draft as reviewed.

    :param digest: digest of the draft.
    :param why: what you found, for the log.
    :param json: print the answer as JSON.
    """
    return call(lambda client: client.review(digest, why), formats.format_fields, json)


def sign_off(digest: str, *, why: str, json: bool = False) -> int:
    """Sign a reviewed draft off; another operator than its submitter must do it.

    :param digest: digest of the draft.
    :param why: reason, for the log.
    :param json: print the answer as JSON.
    """
    return call(
        lambda client: client.sign_off(digest, why), formats.format_fields, json
    )


def accept(digest: str, *, seen: int, why: str, json: bool = False) -> int:
    """Put a signed-off bundle in force, or go back to one that was.

    :param digest: digest of the draft.
    :param seen: version that was in force when you decided.
    :param why: reason of the change, for the log and the history.
    :param json: print the answer as JSON.
    """
    return call(
        lambda client: client.accept(digest, seen, why), formats.format_fields, json
    )


def drafts(*, json: bool = False) -> int:
    """List the open drafts.

    :param json: print the answer as JSON.
    """
    return call(lambda client: client.list_drafts(), formats.format_drafts, json)


def history(*, count: int = 20, json: bool = False) -> int:
    """List the newest versions.

    :param count: how many.
    :param json: print the answer as JSON.
    """
    return call(lambda client: client.list_history(count), formats.format_history, json)


def status(*, json: bool = False) -> int:
    """Show hosts, versions in force, dispatchers, targets and their limits.

    :param json: print the answer as JSON.
    """
    return call(lambda client: client.show_status(), formats.format_status, json)


def explain(request: str, *, json: bool = False) -> int:
    """Show what was decided for a request, and why.

    :param request: id of the request, from its answer or its X-Request-Id.
    :param json: print the answer as JSON.
    """
    return call(lambda client: client.explain(request), formats.format_trail, json)


def drain(target: str, *, why: str, json: bool = False) -> int:
    """Let a target get no new work.

    :param target: id of the target.
    :param why: reason, for the log and for others.
    :param json: print the answer as JSON.
    """
    return call(lambda client: client.drain(target, why), formats.format_fields, json)


def undrain(target: str, *, why: str, json: bool = False) -> int:
    """Let a drained target get work again.

    :param target: id of the target.
    :param why: reason, for the log.
    :param json: print the answer as JSON.
    """
    return call(lambda client: client.undrain(target, why), formats.format_fields, json)


def drains(*, json: bool = False) -> int:
    """List the drained targets.

    :param json: print the answer as JSON.
    """
    return call(lambda client: client.list_drains(), formats.format_drains, json)


def pause_orders(region: str, *, why: str, json: bool = False) -> int:
    """Send engines of a region no more orders.

    :param region: name of the region.
    :param why: reason, for the log.
    :param json: print the answer as JSON.
    """
    return _switch_orders(region, True, why, json)


def resume_orders(region: str, *, why: str, json: bool = False) -> int:
    """Send engines of a region orders again.

    :param region: name of the region.
    :param why: reason, for the log.
    :param json: print the answer as JSON.
    """
    return _switch_orders(region, False, why, json)


def keygen(private_key: Path) -> int:
    """Make an operator's bearer key and signing key.

    The private key goes into a file that only you can read; the rest is printed: the
    bearer key for you, the two lines below it for the settings of every host.

    :param private_key: file to write the private key to; it must not exist.
    """
    signer = make_private_key()
    try:
        flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL
        with os.fdopen(os.open(private_key, flags, PRIVATE_MODE), "wb") as file:
            file.write(format_private_key(signer))
    except OSError as error:
        return complain(f"{private_key}: {error.strerror}", Exit.MISTAKE)
    key = secrets.token_urlsafe(32)
    print(f"key: {key}")
    print(f"key_digest: {hashlib.sha256(key.encode()).hexdigest()}")
    print(f"public_key: {format_public_key(signer)}")
    return Exit.DONE


def _switch_orders(region: str, paused: bool, why: str, json: bool) -> int:
    return call(
        lambda client: client.switch_orders(region, paused, why),
        formats.format_fields,
        json,
    )


def _read_bundle(path: Path) -> Result[CheckedBundle, Exit]:
    """Read and check a file; print its faults."""
    content = read_file(path)
    if isinstance(content, Err):
        return Err(complain(content.err_value, Exit.MISTAKE))
    return _check_content(content.ok_value, str(path))


def _check_content(content: bytes, source: str) -> Result[CheckedBundle, Exit]:
    checked = read_bundle(content, source)
    return checked.map_err(lambda lines: complain("\n".join(lines), Exit.REFUSED))


def _read_base(against: str) -> Result[CheckedBundle | None, Exit]:
    """Return what a bundle is compared with; ``None`` where nothing is in force."""
    if against and Path(against).exists():
        return _read_bundle(Path(against)).map(lambda item: item)
    digest = against
    if not digest:
        newest = ask(lambda client: client.list_history(1))
        if isinstance(newest, Err):
            return Err(newest.err_value)
        versions = newest.ok_value["versions"]
        if not versions:
            return Ok(None)
        digest = versions[0]["digest"]
    found = ask(lambda client: client.show_content(digest))
    if isinstance(found, Err):
        return Err(found.err_value)
    content = str(found.ok_value["content"]).encode()
    return _check_content(content, digest).map(lambda item: item)


def main() -> None:
    """Entry point."""
    commands = [
        check,
        diff,
        show,
        submit,
        review,
        sign_off,
        accept,
        drafts,
        history,
        status,
        explain,
        drain,
        undrain,
        drains,
        pause_orders,
        resume_orders,
        keygen,
    ]
    sys.exit(defopt.run(commands))


if __name__ == "__main__":
    main()
