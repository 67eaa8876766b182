"""In-memory platform with outages and lost answers, and operators that sign steps."""

import hashlib
from dataclasses import dataclass, field

from result import Err, Ok

from marigoldswitch.bundles import read_bundle
from marigoldswitch.core.ids import OperatorId
from marigoldswitch.core.ports import Row, StoreFault
from marigoldswitch.settings import OperatorSettings
from marigoldswitch.signatures import (
    Step,
    format_public_key,
    make_private_key,
    sign_step,
)

ROLES = ("viewer", "reviewer", "releaser")


@dataclass
class FakePlatform:
    """Table service, object store and host list in memory.

    :param is_unavailable: whether every call fails as unavailable.
    :param lost_answers: number of next transactions that take effect but whose answer
        is lost.
    :param lost_transactions: number of next transactions that are lost without effect;
        the fault is the same as with ``lost_answers``.
    """

    rows: dict = field(default_factory=dict)
    objects: dict = field(default_factory=dict)
    hosts: list = field(default_factory=list)
    is_unavailable: bool = False
    lost_answers: int = 0
    lost_transactions: int = 0
    reads: int = 0
    writes: int = 0

    async def read(self, table, key):
        self.reads += 1
        if self.is_unavailable:
            return Err(StoreFault.UNAVAILABLE)
        return Ok(self.rows.get((table, key)))

    async def scan(self, table, prefix):
        self.reads += 1
        if self.is_unavailable:
            return Err(StoreFault.UNAVAILABLE)
        return Ok(
            {
                key: row
                for (name, key), row in self.rows.items()
                if name == table and key.startswith(prefix)
            }
        )

    async def transact(self, puts):
        self.writes += 1
        if self.is_unavailable:
            return Err(StoreFault.UNAVAILABLE)
        if self.lost_transactions:
            self.lost_transactions -= 1
            return Err(StoreFault.UNKNOWN)
        for put in puts:
            row = self.rows.get((put.table, put.key))
            if (row.version if row else 0) != put.expected_version:
                return Err(StoreFault.CONFLICT)
        for put in puts:
            if put.value is None:
                del self.rows[put.table, put.key]
            else:
                self.rows[put.table, put.key] = Row(put.value, put.expected_version + 1)
        if self.lost_answers:
            self.lost_answers -= 1
            return Err(StoreFault.UNKNOWN)
        return Ok(None)

    async def get(self, key):
        self.reads += 1
        if self.is_unavailable:
            return Err(StoreFault.UNAVAILABLE)
        return Ok(self.objects.get(key))

    async def put(self, key, content):
        if self.is_unavailable:
            return Err(StoreFault.UNAVAILABLE)
        self.objects[key] = content
        return Ok(None)

    async def fetch(self):
        self.reads += 1
        return (
            Err(StoreFault.UNAVAILABLE) if self.is_unavailable else Ok(list(self.hosts))
        )


@dataclass
class FakeOperator:
    """An operator with a bearer key and a signing key."""

    name: str
    signer: object = field(default_factory=make_private_key)

    @property
    def settings(self):
        digest = hashlib.sha256(self.name.encode()).hexdigest()
        public = format_public_key(self.signer)
        return OperatorSettings(key_digest=digest, roles=ROLES, public_key=public)

    def sign(self, step: Step, digest, version):
        return sign_step(self.signer, step, digest, version, OperatorId(self.name))


async def release_bundle(releases, content, ana, ben, seen=0):
    """Submit, review, sign off and accept a bundle.

    :param seen: version in force that the operators have seen.
    """
    draft = await releases.submit(content, ana.sign(Step.SUBMIT, digest(content), seen))
    assert draft.is_ok(), draft
    return await review_and_accept(releases, digest(content), ana, ben, seen)


async def review_and_accept(releases, name, ana, ben, seen):
    review = await releases.review(name, ana.sign(Step.REVIEW, name, seen))
    assert review.is_ok(), review
    signed = await releases.sign_off(name, ben.sign(Step.SIGN_OFF, name, seen))
    assert signed.is_ok(), signed
    return await releases.accept(name, seen, ben.sign(Step.ACCEPT, name, seen + 1))


def digest(content):
    return hashlib.sha256(content).hexdigest()


def build_content(mark=""):
    """Return a minimal bundle in canonical form; each mark gives a different one."""
    yaml = f"""
brands: {{dollhouse: {{applications: {{bookings: bookings}}}}}}
pipelines:
  bookings: {{service: bookings}}
  "p{mark}": {{service: bookings}}
services: {{bookings: {{kind: plain, idempotent: false}}}}
accounts: {{family: {{brands: [dollhouse], key_digests: ['{"0" * 64}']}}}}
targets:
  desk-0: {{service: bookings, data_centre: hobart, address: "http://127.0.0.1:1"}}
""".encode()
    return read_bundle(yaml, "f").unwrap().content
