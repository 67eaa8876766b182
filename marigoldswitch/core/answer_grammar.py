"""Grammar of HTTP answers (RFC 9112), checked as their bytes arrive.

HTTP parsers are lenient towards servers. A router must not be: what it takes for an
answer, its callers may read in another way.
"""

import re
from enum import Enum

from msgspec import Struct

SWITCHING_PROTOCOLS = 101
FIRST_FINAL_STATUS = 200
EMPTY_STATUSES = frozenset({204, 304})
MAX_LINE_BYTES = 2**20
"""Longest line of a chunk or trailer, as its begin is kept until its end comes."""

_TOKEN = rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]++"
_TEXT = rb"[\t\x20-\x7e\x80-\xff]*+"
_FIELD_LINE = _TOKEN + rb":" + _TEXT + rb"\r?\n"
_QUOTED = rb'"(?:[\t\x20\x21\x23-\x5b\x5d-\x7e\x80-\xff]|\\[\t\x20-\x7e\x80-\xff])*+"'
_EXTENSION = (
    rb"[ \t]*+;[ \t]*+" + _TOKEN + rb"(?:[ \t]*+=[ \t]*+(?:" + _TOKEN + b"|" + _QUOTED
) + rb"))?+"

HEAD_END = re.compile(rb"\n\r?\n")
HEAD = re.compile(
    rb"HTTP/1\.([0-9]) ([1-5][0-9]{2})(?: " + _TEXT + rb")?\r?\n"
    rb"(?:" + _FIELD_LINE + rb")*+\r?\n"
)
"""A head. The end of a line may be a bare LF, and the blank before an empty reason may
be missing: recipients may accept both (sections 2.2 and 4)."""
FIELD_LINE = re.compile(_FIELD_LINE)
FRAMING_FIELD = re.compile(
    rb"\n(?:(content-length)|transfer-encoding):([^\r\n]*)", re.IGNORECASE
)
CHUNK_LINE = re.compile(rb"([0-9A-Fa-f]++)(?:" + _EXTENSION + rb")*+\r\n")
LINE_ENDS = frozenset({b"\r\n", b"\n"})


class GrammarFault(ValueError):
    """Bytes that are no answer."""


class Framing(Enum):
    """How the end of a body is found."""

    NO_BODY = "no body"
    LENGTH = "length"
    CHUNKS = "chunks"
    CLOSE = "close of the connection"


class AnswerHead(Struct, frozen=True):
    """The head of an answer."""

    status: int
    framing: Framing


def read_head(content: bytes, has_body: bool) -> AnswerHead:
    """Read a head.

    :param content: with the empty line at its end.
    :param has_body: whether the method of the request allows a body.
    :raises GrammarFault: if it is none.
    """
    found = HEAD.fullmatch(content)
    if found is None:
        raise GrammarFault(_describe_fault(content))
    status = int(found[2])
    if status == SWITCHING_PROTOCOLS:
        raise GrammarFault("change of protocol that was not asked for")
    if not has_body or status < FIRST_FINAL_STATUS or status in EMPTY_STATUSES:
        # What it states of a body is true of another answer (section 6.1).
        return AnswerHead(status, Framing.NO_BODY)
    fields = FRAMING_FIELD.findall(content)
    codings = [value for length, value in fields if not length]
    framing = Framing.LENGTH if fields else Framing.CLOSE
    if codings:
        if len(codings) < len(fields):
            raise GrammarFault("both a length and a transfer coding")
        framing = _read_codings(b",".join(codings), is_old=found[1] == b"0")
    return AnswerHead(status, framing)


def _read_codings(value: bytes, is_old: bool) -> Framing:
    """Return the framing by the transfer codings of an answer.

    :param is_old: whether it is one by HTTP/1.0, which has none.
    :raises GrammarFault: if a body in them can't be read.
    """
    names = [item.strip(b" \t").lower() for item in value.split(b",")]
    names = [item for item in names if item not in (b"", b"identity")]
    if names == [b"chunked"] and not is_old:
        return Framing.CHUNKS
    if names:
        raise GrammarFault(f"transfer coding {value!r}")
    return Framing.CLOSE


def _describe_fault(content: bytes) -> str:
    """Return a description of the first line of a head that breaks the grammar."""
    first, *lines = content.splitlines(keepends=True)
    if HEAD.fullmatch(first + b"\r\n") is None:
        return f"status line {first[:100]!r}"
    faulty = (item for item in lines if FIELD_LINE.fullmatch(item) is None)
    return f"field line {next(faulty, b'')[:100]!r}"


class _Part(Enum):
    """What comes next in a body in chunks."""

    SIZE = "size"
    DATA = "data"
    DATA_END = "end of data"
    TRAILER = "trailer"
    NOTHING = "nothing"


class ChunkScanner:
    """Checks a body in chunks."""

    def __init__(self) -> None:
        self._part = _Part.SIZE
        self._left = 0
        """Bytes of the chunk that have not come yet."""
        self._line = b""
        """Begin of a line that is not complete."""

    def feed(self, data: bytes) -> None:
        """Check the next bytes.

        :raises GrammarFault: if they break the grammar.
        """
        position = 0
        while position < len(data) and self._part is not _Part.NOTHING:
            if self._part is _Part.DATA:
                size = min(self._left, len(data) - position)
                position, self._left = position + size, self._left - size
                if not self._left:
                    self._part = _Part.DATA_END
                continue
            end = data.find(b"\n", position) + 1
            self._line += data[position : end or len(data)]
            if len(self._line) > MAX_LINE_BYTES:
                raise GrammarFault(f"line of more than {MAX_LINE_BYTES} bytes")
            if not end:
                return
            line, self._line = self._line, b""
            self._part = self._read_line(line)
            position = end

    def _read_line(self, line: bytes) -> _Part:
        """Read a line; return what comes after it."""
        match self._part:
            case _Part.SIZE:
                found = CHUNK_LINE.fullmatch(line)
                if found is not None:
                    self._left = int(found[1], 16)
                    return _Part.DATA if self._left else _Part.TRAILER
            case _Part.DATA_END:
                if line == b"\r\n":
                    return _Part.SIZE
            case _:
                if line in LINE_ENDS:
                    return _Part.NOTHING
                if FIELD_LINE.fullmatch(line) is not None:
                    return _Part.TRAILER
        raise GrammarFault(f"{self._part.value} of a chunk {line[:100]!r}")


class AnswerScanner:
    """Checks one answer, with the informational heads before it.

    :param has_body: whether the method of the request allows a body.
    :ivar head: of the answer; ``None`` until it is complete.
    """

    def __init__(self, has_body: bool) -> None:
        self.head: AnswerHead | None = None
        self._has_body = has_body
        self._begin = bytearray()
        """Begin of a head that is not complete."""
        self._searched = 0
        """Bytes of it in which its end does not begin."""
        self._chunks: ChunkScanner | None = None

    def feed(self, data: bytes) -> None:
        """Check the next bytes.

        :raises GrammarFault: if they break the grammar.
        """
        if self.head is None:
            data = self._read_heads(data)
        if self._chunks is not None:
            self._chunks.feed(data)

    def _read_heads(self, data: bytes) -> bytes:
        """Read heads up to that of the answer; return the bytes after it."""
        if self._begin:
            self._begin += data
            found = HEAD_END.search(self._begin, self._searched)
            if found is None:
                self._searched = max(0, len(self._begin) - 2)
                return b""
            data = bytes(self._begin)
            self._begin.clear()
        position, searched, self._searched = 0, self._searched, 0
        while found := HEAD_END.search(data, max(position, searched)):
            head = read_head(data[position : found.end()], self._has_body)
            position = found.end()
            if head.status >= FIRST_FINAL_STATUS:
                self.head = head
                if head.framing is Framing.CHUNKS:
                    self._chunks = ChunkScanner()
                return data[position:]
        self._begin += data[position:]
        return b""
