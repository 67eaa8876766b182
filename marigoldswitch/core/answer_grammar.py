"""Grammar of HTTP answers (RFC 9112), checked as their bytes arrive.

HTTP parsers are lenient towards servers. A router must not be: what it takes for an
answer, its callers may read in another way.
"""

import re

from msgspec import Struct

SWITCHING_PROTOCOLS = 101
FIRST_FINAL_STATUS = 200

_TOKEN = rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]++"
_TEXT = rb"[\t\x20-\x7e\x80-\xff]*+"
_FIELD_LINE = _TOKEN + rb":" + _TEXT + rb"\r?\n"

HEAD_END = re.compile(rb"\n\r?\n")
HEAD = re.compile(
    rb"HTTP/1\.[0-9] ([1-5][0-9]{2})(?: " + _TEXT + rb")?\r?\n"
    rb"(?:" + _FIELD_LINE + rb")*+\r?\n"
)
"""A head. The end of a line may be a bare LF, and the blank before an empty reason may
be missing: recipients may accept both (sections 2.2 and 4)."""
FIELD_LINE = re.compile(_FIELD_LINE)


class GrammarFault(ValueError):
    """Bytes that are no answer."""


class AnswerHead(Struct, frozen=True):
    """The head of an answer."""

    status: int


def read_head(content: bytes) -> AnswerHead:
    """Read a head.

    :raises GrammarFault: if it is none.
    """
    found = HEAD.fullmatch(content)
    if found is None:
        raise GrammarFault(_describe_fault(content))
    status = int(found[1])
    if status == SWITCHING_PROTOCOLS:
        raise GrammarFault("change of protocol that was not asked for")
    return AnswerHead(status)


def _describe_fault(content: bytes) -> str:
    """Return a description of the first line of a head that breaks the grammar."""
    first, *lines = content.splitlines(keepends=True)
    if HEAD.fullmatch(first + b"\r\n") is None:
        return f"status line {first[:100]!r}"
    faulty = (item for item in lines if FIELD_LINE.fullmatch(item) is None)
    return f"field line {next(faulty, b'')[:100]!r}"


class AnswerScanner:
    """Checks one answer, with the informational heads before it.

    :ivar head: of the answer; ``None`` until it is complete.
    """

    def __init__(self) -> None:
        self.head: AnswerHead | None = None
        self._begin = bytearray()
        """Begin of a head that is not complete."""
        self._searched = 0
        """Bytes of it in which its end does not begin."""

    def feed(self, data: bytes) -> None:
        """Check the next bytes.

        :raises GrammarFault: if they break the grammar.
        """
        if self.head is not None:
            return
        if self._begin:
            self._begin += data
            found = HEAD_END.search(self._begin, self._searched)
            if found is None:
                self._searched = max(0, len(self._begin) - 2)
                return
            data = bytes(self._begin)
            self._begin.clear()
        position, searched, self._searched = 0, self._searched, 0
        while found := HEAD_END.search(data, max(position, searched)):
            head = read_head(data[position : found.end()])
            position = found.end()
            if head.status >= FIRST_FINAL_STATUS:
                self.head = head
                return
        self._begin += data[position:]
