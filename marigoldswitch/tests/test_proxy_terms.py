"""The headers that hosts add for each other."""

import pytest
from multidict import CIMultiDict, CIMultiDictProxy

from marigoldswitch.gateway.proxy_terms import (
    ProxyTerms,
    drop_own_headers,
    read_terms,
)


def build_headers(**fields):
    names = {name.replace("_", "-"): value for name, value in fields.items()}
    return CIMultiDictProxy(CIMultiDict(names))


@pytest.mark.parametrize(
    ("fields", "terms"),
    [
        ({"Proxy_Version": "7", "Proxy_Runs": "1"}, ProxyTerms(7, 1)),
        ({"Proxy_Version": "7"}, None),
        ({"Proxy_Version": "7", "Proxy_Runs": "-1"}, None),
        ({"Proxy_Version": "x", "Proxy_Runs": "1"}, None),
        ({}, None),
    ],
)
def test_terms_that_cannot_be_read_are_none(fields, terms):
    assert read_terms(build_headers(**fields)) == terms


def test_headers_between_hosts_are_dropped_and_others_kept():
    headers = build_headers(Proxy_Version="7", Proxy_Runs="1", X_Own="kept")
    assert dict(drop_own_headers(headers)) == {"X-Own": "kept"}
