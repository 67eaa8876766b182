"""Fingerprints that identify a request when it is sent again."""

import hashlib
from typing import NewType

from marigoldswitch.core.ids import AccountId

Fingerprint = NewType("Fingerprint", str)
"""Hexadecimal hash of a request's account, path and body, the same on all hosts."""

FINGERPRINT_BYTES = 12
"""Length of the hash: long enough that a billion requests don't collide by chance."""


def fingerprint_request(
    account: AccountId | None, path: str, body: bytes
) -> Fingerprint:
    """Return the fingerprint of a request.

    The hash is cryptographic, so that a caller can't craft a request with the
    fingerprint of another account's request.

    :param account: client account, or ``None`` if the request has none.
    :param path: path with its query.
    """
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for part in ((account or "").encode(), path.encode()):
        digest.update(len(part).to_bytes(4, "big") + part)
    digest.update(body)
    return Fingerprint(digest.hexdigest())
