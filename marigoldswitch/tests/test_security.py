"""TLS reloading, time limits of listeners, and malformed input from every side."""

import asyncio
import datetime
import ssl
from contextlib import suppress

import aiohttp
import pytest
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID
from hypothesis import given, strategies as st

from marigoldswitch.compose import compose_host
from marigoldswitch.core.leases import decode_lease
from marigoldswitch.core.ports import Row
from marigoldswitch.daemon import INVALID_SETTINGS_STATUS, serve
from marigoldswitch.documents import write_document
from marigoldswitch.drains import Drains
from marigoldswitch.engine_orders import parse_report
from marigoldswitch.packing import unpack_content
from marigoldswitch.records import decode_draft, decode_record
from marigoldswitch.settings import Settings
from marigoldswitch.tests.fakes import FakePlatform
from marigoldswitch.tests.helpers import run_async, run_deployment

LOOPBACK = "127.0.0.1"


def write_certificate(folder, name):
    """Write a self-signed certificate and its key; return the file names."""
    key = ec.generate_private_key(ec.SECP256R1())
    subject = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
    now = datetime.datetime.now(datetime.UTC)
    names = x509.SubjectAlternativeName([x509.DNSName("localhost")])
    certificate = (
        x509.CertificateBuilder()
        .subject_name(subject)
        .issuer_name(subject)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - datetime.timedelta(days=1))
        .not_valid_after(now + datetime.timedelta(days=1))
        .add_extension(names, critical=False)
        .sign(key, hashes.SHA256())
    )
    pem = serialization.Encoding.PEM
    files = folder / "certificate.pem", folder / "key.pem"
    files[0].write_bytes(certificate.public_bytes(pem))
    files[1].write_bytes(
        key.private_bytes(
            pem,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
    )
    return str(files[0]), str(files[1])


async def fetch_certificate_name(port):
    """Return the subject of the certificate that a listener presents."""
    context = ssl.create_default_context()
    context.check_hostname, context.verify_mode = False, ssl.CERT_NONE
    _, writer = await asyncio.open_connection(
        LOOPBACK, port, ssl=context, server_hostname="localhost"
    )
    der = writer.get_extra_info("ssl_object").getpeercert(binary_form=True)
    writer.close()
    return x509.load_der_x509_certificate(der).subject.rfc4514_string()


def build_settings(**sections):
    listen = dict.fromkeys(("callers", "peers", "gossip", "administration"), 0)
    content = {
        "host": "h",
        "data_centre": "hobart",
        "region": "tas",
        "listen": listen,
        "platform": {"address": "http://127.0.0.1:1"},
        "peers": {"secrets": ["s"]},
    }
    return Settings.model_validate(content | sections)


def test_certificates_reload_without_restart_and_only_as_valid_pairs(tmp_path):
    certificate, key = write_certificate(tmp_path, "one")
    tls = {
        f"{listener}_{name}": file
        for listener in ("callers", "administration")
        for name, file in (("certificate", certificate), ("key", key))
    }

    async def scenario():
        host = compose_host(build_settings(tls=tls))
        await host.start()
        ports = [host.ports["callers"], host.ports["administration"]]
        seen = [await fetch_certificate_name(port) for port in ports]
        watched = host.parts.tls.callers
        write_certificate(tmp_path, "two")
        (tmp_path / "key.pem").write_text("half written")
        seen += [watched.reload_if_changed(), await fetch_certificate_name(ports[0])]
        write_certificate(tmp_path, "three")
        seen += [watched.reload_if_changed(), await fetch_certificate_name(ports[0])]
        seen.append(watched.reload_if_changed())
        await host.stop()
        return seen

    assert run_async(scenario()) == [
        "CN=one",
        "CN=one",
        False,
        "CN=one",
        True,
        "CN=three",
        False,
    ]


def test_wrong_tls_files_are_named_before_the_start(tmp_path, capsys):
    tls = {"callers_certificate": str(tmp_path / "none.pem")}
    settings = build_settings(tls=tls).model_dump(mode="json")
    path = tmp_path / "settings.yaml"
    path.write_bytes(write_document(settings))
    assert serve(path, check=True) == INVALID_SETTINGS_STATUS
    error = capsys.readouterr().err
    assert "tls.callers_certificate" in error
    assert "none.pem" in error


@pytest.mark.parametrize(
    ("listener", "head"),
    [
        ("callers", b""),
        ("callers", b"POST /v1/brands/x HTTP/1.1\r\nHost: x\r\n"),
        ("administration", b"GET "),
        ("callers", b"GET /health/live HTTP/1.1\r\nHost: x\r\n\r\n"),
        ("callers", b"POST /v1/brands/a/applications/b/requests HTTP/1.1\r\n"
                    b"Host: x\r\nContent-Length: 100\r\n\r\nhalf"),
    ],
)  # fmt: skip
def test_slow_or_idle_connections_are_closed(listener, head):
    """Includes a connection that is idle after an answer and a body that never ends."""
    requests = {"head_seconds": 0.05, "body_seconds": 0.05}

    async def scenario():
        host = compose_host(build_settings(requests=requests))
        await host.start()
        reader, writer = await asyncio.open_connection(LOOPBACK, host.ports[listener])
        writer.write(head)
        with suppress(ConnectionError):
            await reader.read()
        writer.close()
        await host.stop()

    run_async(scenario(), 20.0)


def test_connection_that_awaits_slow_answer_stays_open():
    requests = {"head_seconds": 0.05}

    async def scenario():
        arguments = {"data_centres": ("hobart",), "settings": {"requests": requests}}
        async with run_deployment(**arguments) as (deployment, session):
            deployment.services["desk-0"].faults.delay = 0.4
            address = deployment.get_address("host-0", "callers")
            path = "/v1/brands/dollhouse/applications/bookings/requests"
            async with session.post(address + path, json={"input": {}}) as response:
                return response.status

    assert run_async(scenario()) == 200


MALFORMED_BYTES = st.binary(max_size=64)


@given(MALFORMED_BYTES)
def test_malformed_rows_and_answers_are_rejected(value):
    for decode in (decode_draft, decode_record, decode_lease):
        with pytest.raises(ValueError, match="."):
            decode(value)
    assert unpack_content(value, "0" * 64).is_err()


@given(
    st.recursive(
        st.none() | st.integers() | st.text(max_size=4),
        lambda inner: (
            st.lists(inner, max_size=4)
            | st.dictionaries(
                st.sampled_from(
                    ["load", "loaded", "running", "waiting", "desired", "x"]
                ),
                inner,
                max_size=4,
            )
        ),
    )
)
def test_malformed_engine_state_does_not_break_parsing(state):
    report = parse_report(state)
    assert report is None or isinstance(report.busy, int)


def test_malformed_drain_row_still_drains():
    async def scenario():
        platform = FakePlatform()
        drains = Drains(platform)
        platform.rows["drains", "e0"] = Row(b"\xc1", 1)
        assert await drains.refresh()
        return list(drains.drained)

    assert run_async(scenario()) == ["e0"]


@pytest.mark.parametrize(
    "junk",
    [
        b"\x00" * 4,
        b"\xff" * 64,
        b"GET / HTTP/1.1\r\n\r\n",
        (100).to_bytes(4, "big") + b"\x00" * 100,
    ],
)
def test_malformed_bytes_close_peer_connection(junk):
    async def scenario():
        host = compose_host(build_settings())
        await host.start()
        reader, writer = await asyncio.open_connection(LOOPBACK, host.ports["peers"])
        writer.write(junk)
        with suppress(ConnectionError):
            await reader.read()
        writer.close()
        counts = host.parts.network.counts
        await host.stop()
        return counts["garbage"], counts["received"]

    assert run_async(scenario(), 20.0) == (1, 0)


class _MalformedPlatform:
    """A platform that answers every request with malformed content."""

    def __init__(self, content):
        self.content = content

    async def handle(self, http):
        return aiohttp.web.Response(body=self.content)


@pytest.mark.parametrize(
    "content", [b"", b"[]", b"{}", b'{"row":1}', b'{"hosts":[{}]}', b'{"rows":[1]}']
)
def test_malformed_platform_reply_counts_as_no_answer(content):
    async def scenario():
        application = aiohttp.web.Application()
        application.router.add_route(
            "*", "/{tail:.*}", _MalformedPlatform(content).handle
        )
        runner = aiohttp.web.AppRunner(application)
        await runner.setup()
        await aiohttp.web.TCPSite(runner, LOOPBACK, 0).start()
        address = f"http://{LOOPBACK}:{runner.addresses[0][1]}"
        host = compose_host(build_settings(platform={"address": address}))
        await host.start()
        await host.parts.follower.poll_platform()
        await host.parts.orderer.tick()
        version = host.parts.adoption.version
        await host.stop()
        await runner.cleanup()
        return version

    assert run_async(scenario()) == 0
