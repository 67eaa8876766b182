"""Tells whether two requests are the same one, sent again."""

import hashlib
from typing import NewType

from marigoldswitch.core.ids import AccountId

Fingerprint = NewType("Fingerprint", str)
"""Hexadecimal hash of what a request asks for and who asks, the same on all hosts."""

FINGERPRINT_BYTES = 12
"""Length of the hash: among a billion requests none has that of another by chance."""


def fingerprint_request(
    account: AccountId | None, path: str, body: bytes
) -> Fingerprint:
    """Return the fingerprint of a request.

    A cryptographic hash: with another one a caller could write a request that has the
    fingerprint of somebody else's.

    :param path: with its query.
    """
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for part in ((account or "").encode(), path.encode()):
        digest.update(len(part).to_bytes(4, "big") + part)
    digest.update(body)
    return Fingerprint(digest.hexdigest())
