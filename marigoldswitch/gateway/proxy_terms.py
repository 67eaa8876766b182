"""Headers that hosts add for each other to the requests that they proxy."""

from msgspec import Struct
from multidict import CIMultiDict, CIMultiDictProxy

VERSION_HEADER = "Proxy-Version"
"""Version of the configuration by which the sender has admitted the request."""
RUNS_HEADER = "Proxy-Runs"
"""Number of targets on which the request may have run."""
DECLINED_HEADER = "Proxy-Declined"
"""Why a host does not take the request of another one."""
OWN_HEADERS = (VERSION_HEADER, RUNS_HEADER, DECLINED_HEADER)


class ProxyTerms(Struct, frozen=True):
    """What a host says of a request that it sends to another one.

    :param version: of the configuration by which it was admitted.
    :param runs: number of targets on which it may have run.
    """

    version: int
    runs: int


def read_terms(headers: CIMultiDictProxy[str]) -> ProxyTerms | None:
    """Return the terms of a request of another host, ``None`` if they are malformed."""
    values = [headers.get(name, "") for name in (VERSION_HEADER, RUNS_HEADER)]
    if not all(item.isdecimal() for item in values):
        return None
    return ProxyTerms(int(values[0]), int(values[1]))


def drop_own_headers(headers: CIMultiDictProxy[str]) -> CIMultiDictProxy[str]:
    """Return headers without those that hosts add for each other."""
    kept: CIMultiDict[str] = CIMultiDict(headers)
    for name in OWN_HEADERS:
        kept.popall(name, None)
    return CIMultiDictProxy(kept)
