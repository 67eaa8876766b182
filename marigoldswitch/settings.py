"""Settings of the daemon: one table of defaults, checked whole at the start."""

from pathlib import Path
from textwrap import shorten
from typing import Annotated, Any

from pydantic import BaseModel, ConfigDict, Field, ValidationError
from result import Err, Ok, Result

from marigoldswitch.documents import read_document

LONGEST_SHOWN = 80
"""Characters of a wrong value that a message repeats."""

Port = Annotated[int, Field(ge=0, le=65535)]
Seconds = Annotated[float, Field(gt=0)]


class Section(BaseModel):
    """A group of settings; unknown names are faults."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class ListenSettings(Section):
    """Where the daemon listens; port 0 takes one from the kernel."""

    address: str = Field("127.0.0.1", description="IP number to listen on.")
    advertise: str = Field(
        "",
        description="IP number that other hosts reach this one by, where it is not "
        "``listen.address``.",
    )
    callers: Port = Field(8400, description="HTTP port for callers.")
    peers: Port = Field(8401, description="TCP port for streams from other hosts.")
    gossip: Port = Field(8402, description="UDP port for membership.")
    administration: Port = Field(8403, description="HTTP port for operators.")


class PlatformSettings(Section):
    """The platform's service."""

    address: str = Field(description="Base address, ``http://IP:port``.")
    timeout: Seconds = Field(
        1.0,
        description="Longest wait for one answer, in seconds; a platform that is "
        "slower counts as out, so that callers are not held up.",
    )
    poll: Seconds = Field(
        2.0,
        description="Seconds between two looks at the accepted bundle and the host "
        "list of the one host of each data centre that polls for the others.",
    )
    poll_others: Seconds = Field(
        5.0,
        description="Seconds between two looks of all other hosts; they hear of a new "
        "bundle from their peers, and by this look alone it is still in force within "
        "8 s. It keeps 400 hosts under 300 reads a second.",
    )
    ca_file: str = Field(
        "",
        description="PEM file of the authorities that sign the platform's certificate, "
        "for an ``https`` address; empty takes the machine's own.",
    )
    certificate: str = Field(
        "", description="PEM file of the certificate shown to the platform, if any."
    )
    private_key: str = Field(
        "", description="PEM file of that certificate's private key."
    )


class PeerSettings(Section):
    """The other hosts."""

    seeds: tuple[str, ...] = Field(
        (),
        description="Peers to join by, each ``IP:port`` of a gossip listener; used "
        "beside the host list.",
    )
    secrets: tuple[str, ...] = Field(
        min_length=1,
        description="Shared keys that authenticate messages between hosts; the first "
        "signs, all are accepted, so that keys can be changed one by one.",
    )
    probe_period: Seconds = Field(
        0.5,
        description="Seconds between two probes of other hosts; a lost host is found "
        "in about six periods. The same on all hosts.",
    )
    ask_timeout: Seconds = Field(
        0.5,
        description="Seconds without a word from the dispatcher after which a front "
        "decides alone; longer than a pause of the interpreter, shorter than a wait "
        "that a caller notices.",
    )


class RequestSettings(Section):
    """Bounds on requests from callers."""

    body_bytes: int = Field(
        256 * 1024, gt=0, description="Largest body of a request, in bytes."
    )
    header_bytes: int = Field(
        8190, gt=0, description="Largest header line of a request, in bytes."
    )
    head_seconds: Seconds = Field(
        20.0,
        description="Longest wait on a connection for a request's head, the first or "
        "the next; longer than a balancer keeps idle connections costs sockets only.",
    )
    body_seconds: Seconds = Field(
        20.0, description="Longest wait for a request's body once its head is there."
    )
    deadline: Seconds = Field(
        60.0, description="Deadline of a request that names none, in seconds."
    )
    longest_deadline: Seconds = Field(
        900.0, description="Longest deadline that a caller may name, in seconds."
    )
    slow_caller: Seconds = Field(
        30.0,
        description="Seconds that one event may wait for a caller that does not read; "
        "then the caller counts as gone and its work is cancelled.",
    )
    held: int = Field(
        2000,
        gt=0,
        description="Most requests that the host holds at once; bounds its memory.",
    )


class ClaimSettings(Section):
    """Claims of non-idempotent requests in the table service."""

    interval: Seconds = Field(
        0.02,
        description="Least seconds between the starts of two group commits of a host; "
        "50 writes a second a host keep 8 hosts within the several hundred that the "
        "platform takes.",
    )
    batch: int = Field(64, gt=0, description="Most claims written in one group commit.")
    owner_patience: Seconds = Field(
        3.0,
        description="Seconds without a word from the owner of a claim after which the "
        "outcome is said to be unknown; longer than a pause of the interpreter and the "
        "detection of a failed host.",
    )
    late_answer: float = Field(
        30.0,
        ge=0,
        description="Seconds past a caller's deadline for which a target's answer to a "
        "non-idempotent request is still awaited, so that a resend can have it.",
    )
    inline_bytes: int = Field(
        16 * 1024,
        ge=0,
        description="Largest answer kept in the claim's row, in bytes; a larger one "
        "goes to the object store.",
    )
    kept_bytes: int = Field(
        32 * 1024 * 1024,
        gt=0,
        description="Most bytes of answers that wait in memory for the platform; above "
        "it non-idempotent requests are refused unsent.",
    )
    keep: Seconds = Field(
        86400.0,
        description="Seconds for which a key and its answer are kept; a key used again "
        "later is a new request. Far longer than the longest deadline.",
    )
    sweep: Seconds = Field(
        600.0, description="Seconds between two searches for expired claims."
    )


class StreamSettings(Section):
    """When a stream over a chain of engines counts as stalled."""

    first_token: Seconds = Field(
        5.0,
        description="Longest wait for the first token of a chain, in seconds; the "
        "letter's bound is 0.83 s for 95 in 100, so a healthy chain stays far below.",
    )
    stall_factor: float = Field(
        10.0,
        gt=1,
        description="Usual gaps between tokens without a token after which a stream is "
        "taken for stalled and a new chain is asked for.",
    )
    stall_floor: Seconds = Field(
        0.5,
        description="Seconds that a stream may be without a token in any case; above a "
        "pause of an engine's batch, below what a reader notices as a break.",
    )


class DrainSettings(Section):
    """The planned stop of a host."""

    balancer_lag: float = Field(
        3.0,
        ge=0,
        description="Seconds for which new requests are still accepted after readiness "
        "has failed; the time the balancer needs to look away.",
    )
    longest: Seconds = Field(
        900.0,
        description="Seconds after which a stop no longer waits for requests in "
        "flight; not shorter than the longest deadline.",
    )


class OperatorSettings(Section):
    """One operator."""

    key_digest: str = Field(
        pattern=r"^[0-9a-f]{64}$", description="SHA-256 of the operator's bearer key."
    )
    roles: tuple[str, ...] = Field(
        ("viewer",), description="Any of ``viewer``, ``reviewer``, ``releaser``."
    )
    public_key: str = Field(
        "",
        pattern=r"^([0-9a-f]{64})?$",
        description="The operator's Ed25519 public key, as hexadecimal; without one "
        "the operator can look but not take a bundle any step further.",
    )


class TlsSettings(Section):
    """TLS for callers and operators; files are read again when they change."""

    callers_certificate: str = Field(
        "", description="PEM file of the callers' listener; empty means plain HTTP."
    )
    callers_key: str = Field("", description="PEM file of its private key.")
    administration_certificate: str = Field(
        "", description="PEM file of the operators' listener; empty means plain HTTP."
    )
    administration_key: str = Field("", description="PEM file of its private key.")
    reload: Seconds = Field(
        10.0, description="Seconds between two looks at whether the files changed."
    )


class OrderSettings(Section):
    """Engine orders: which the holder of the region's lease sends."""

    enabled: bool = Field(True, description="Whether this host may hold the lease.")
    tick: Seconds = Field(
        1.0, description="Seconds between two looks at the lease and the engines."
    )
    lease: Seconds = Field(
        10.0,
        description="Seconds without a change of the lease's row after which another "
        "host may take it.",
    )
    margin: Seconds = Field(
        3.0,
        description="Seconds before the end of its lease in which a holder sends no "
        "order, and for which a new holder waits; longer than an order's timeout.",
    )
    changes: int = Field(
        2, ge=1, description="Most targets of one service that change at once."
    )
    settle: Seconds = Field(
        8.0,
        description="Seconds after a target is marked as draining before it counts as "
        "idle; all hosts have seen the mark by then.",
    )
    loads: int = Field(
        6,
        ge=1,
        description="Most loads of weights begun in a minute in a region; the weight "
        "store's rate.",
    )


class LogSettings(Section):
    """Logs."""

    level: str = Field(
        "info",
        pattern="^(debug|info|warning|error)$",
        description="Least level written: debug, info, warning or error.",
    )


class Settings(Section):
    """All settings of one daemon."""

    host: str = Field(min_length=1, description="Name of this host, its own alone.")
    data_centre: str = Field(min_length=1, description="Data centre that it is in.")
    region: str = Field(min_length=1, description="Region that it is in.")
    listen: ListenSettings = Field(default_factory=ListenSettings)
    platform: PlatformSettings
    peers: PeerSettings
    requests: RequestSettings = Field(default_factory=RequestSettings)
    claims: ClaimSettings = Field(default_factory=ClaimSettings)
    streams: StreamSettings = Field(default_factory=StreamSettings)
    drain: DrainSettings = Field(default_factory=DrainSettings)
    operators: dict[str, OperatorSettings] = Field(
        default_factory=dict,
        description="Operators by name; each has ``key_digest`` (SHA-256 of the bearer "
        "key), ``roles`` (any of viewer, reviewer, releaser) and ``public_key``.",
    )
    tls: TlsSettings = Field(default_factory=TlsSettings)
    orders: OrderSettings = Field(default_factory=OrderSettings)
    logs: LogSettings = Field(default_factory=LogSettings)


def describe_faults(source: str, error: ValidationError) -> list[str]:
    """Return one line for each fault: file, key, value, what is allowed."""
    lines = []
    for fault in error.errors():
        key = ".".join(str(part) for part in fault["loc"])
        value = "" if fault["type"] == "missing" else f" (is {_show(fault['input'])})"
        lines.append(f"{source}: {key}{value}: {fault['msg']}")
    return lines


def _show(value: Any) -> str:
    """Return a value from outside, short enough for a message."""
    if isinstance(value, int) and value.bit_length() > 64:
        return f"a number of {value.bit_length()} bits"
    return shorten(repr(value), LONGEST_SHOWN, placeholder="...")


def parse_settings(source: str, content: Any) -> Result[Settings, list[str]]:
    """Check settings as a whole.

    :param source: file name, for messages.
    :param content: what the YAML holds.
    """
    try:
        return Ok(Settings.model_validate(content))
    except ValidationError as error:
        return Err(describe_faults(source, error))


def read_settings(path: Path) -> Result[Settings, list[str]]:
    """Read settings from a YAML file and check them as a whole."""
    try:
        content = path.read_bytes()
    except OSError as error:
        return Err([f"{path}: {error.strerror}"])
    document = read_document(content, str(path))
    if isinstance(document, Err):
        return Err(document.err_value)
    return parse_settings(str(path), document.ok_value)
