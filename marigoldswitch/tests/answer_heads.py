"""Answers whose heads or framing break the grammar of RFC 9112, and unusual ones that
keep to it.

See :class:`RawAnswer` for what stands in for what.
"""

from msgspec import Struct

from marigoldswitch.tests.raw_targets import BODY, End, RawAnswer

OK = b"HTTP/1.1 200 OK\r\n%S"
LENGTH = b"Content-Length: %L\r\n"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"
CHUNK = b"%H\r\n%B\r\n"
LAST_CHUNK = b"0\r\n\r\n"


def _with_status_line(line):
    return line + b"\r\n%S" + LENGTH + b"\r\n%B"


def _with_field(line):
    return OK + line + b"\r\n" + LENGTH + b"\r\n%B"


def _with_framing(line, body=b"%B"):
    return OK + line + b"\r\n\r\n" + body


BROKEN_STATUS_LINES = {
    "status 000": b"HTTP/1.1 000 Nothing",
    "status 099": b"HTTP/1.1 099 Nothing",
    "status 600": b"HTTP/1.1 600 Nothing",
    "status 999": b"HTTP/1.1 999 Nothing",
    "status of two digits": b"HTTP/1.1 20 OK",
    "status of four digits": b"HTTP/1.1 2000 OK",
    "status with a sign": b"HTTP/1.1 +20 OK",
    "status with a letter": b"HTTP/1.1 2x0 OK",
    "no status": b"HTTP/1.1",
    "unasked change of protocol": b"HTTP/1.1 101 Switching Protocols",
    "major version 2": b"HTTP/2.0 200 OK",
    "major version 0": b"HTTP/0.9 200 OK",
    "no minor version": b"HTTP/1 200 OK",
    "minor version of two digits": b"HTTP/1.10 200 OK",
    "version of letters": b"HTTP/x.y 200 OK",
    "protocol in lower case": b"http/1.1 200 OK",
    "another protocol": b"RTSP/1.0 200 OK",
    "protocol of a radio": b"ICE/1.0 200 OK",
    "no protocol": b"200 OK",
    "control byte in the reason": b"HTTP/1.1 200 O\x01K",
    "null in the reason": b"HTTP/1.1 200 O\x00K",
    "delete in the reason": b"HTTP/1.1 200 O\x7fK",
    "bare CR in the reason": b"HTTP/1.1 200 O\rK",
    "empty line before": b"\r\nHTTP/1.1 200 OK",
    "blank before": b" HTTP/1.1 200 OK",
}
BROKEN_FIELDS = {
    "blank in a name": b"Na me: v",
    "tab in a name": b"Na\tme: v",
    "control byte in a name": b"Na\x01me: v",
    "null in a name": b"Na\x00me: v",
    "delete in a name": b"Na\x7fme: v",
    "bare CR in a name": b"Na\rme: v",
    "high byte in a name": b"Na\xe9me: v",
    "separator in a name": b"Na(me: v",
    "empty name": b": v",
    "no colon": b"Name",
    "blank before a colon": b"Name : v",
    "tab before a colon": b"Name\t: v",
    "blank before the colon of an option": b"Connection : close",
    "blank before the colon of a promise": b"Not-Executed : 1",
    "blank before a name": b" Name: v",
    "folded value": b"Name: v\r\n w",
    "value folded by a tab": b"Name: v\r\n\tw",
    "value folded at its begin": b"Name:\r\n v",
    "control byte in a value": b"Name: v\x01w",
    "null in a value": b"Name: v\x00w",
    "delete in a value": b"Name: v\x7fw",
    "escape in a value": b"Name: v\x1bw",
    "vertical tab in a value": b"Name: v\x0bw",
    "bare CR in a value": b"Name: v\rw",
    "bare CR at the end of a value": b"Name: v\r\r\nNext: w",
    "blank before the first field": b"",
}
BROKEN_FRAMING = {
    "length with a sign": b"Content-Length: +%L",
    "negative length": b"Content-Length: -%L",
    "hexadecimal length": b"Content-Length: 0xf",
    "empty length": b"Content-Length: ",
    "two words of length": b"Content-Length: 1 5",
    "length with a fraction": b"Content-Length: %L.0",
    "length beyond all bounds": b"Content-Length: 99999999999999999999999",
    "list of different lengths": b"Content-Length: %L, 3",
    "two different lengths": LENGTH + b"Content-Length: 3",
    "blank before the colon of a length": b"Content-Length : %L",
    "folded length": b"Content-Length:\r\n %L",
}
BROKEN_CODINGS = {
    "length and chunks": LENGTH + b"Transfer-Encoding: chunked",
    "chunks and length": b"Transfer-Encoding: chunked\r\nContent-Length: %L",
    "blank before the colon of a coding": b"Transfer-Encoding : chunked",
    "folded coding": b"Transfer-Encoding:\r\n chunked",
    "compressed chunks": b"Transfer-Encoding: gzip, chunked",
    "chunks twice": b"Transfer-Encoding: chunked, chunked",
    "two fields of chunks": (
        b"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked"
    ),
    "compressed last": b"Transfer-Encoding: chunked, gzip",
    "compressed, to the end": b"Transfer-Encoding: gzip",
    "unknown coding": b"Transfer-Encoding: xchunked",
    "unknown coding before chunks": b"Transfer-Encoding: x, chunked",
    "coding in quotes": b'Transfer-Encoding: "chunked"',
    "coding with a parameter": b"Transfer-Encoding: chunked;a=b",
    "control byte in a coding": b"Transfer-Encoding: \x0bchunked",
}
BROKEN_CHUNKS = {
    "size of letters": b"zz\r\n%B\r\n" + LAST_CHUNK,
    "size with a prefix": b"0x%H\r\n%B\r\n" + LAST_CHUNK,
    "size with a sign": b"+%H\r\n%B\r\n" + LAST_CHUNK,
    "negative size": b"-%H\r\n%B\r\n" + LAST_CHUNK,
    "empty size": b"\r\n%B\r\n" + LAST_CHUNK,
    "size beyond all bounds": b"fffffffffffffffff\r\n%B\r\n" + LAST_CHUNK,
    "blank before a size": b" %H\r\n%B\r\n" + LAST_CHUNK,
    "blank after a size": b"%H \r\n%B\r\n" + LAST_CHUNK,
    "bare LF after a size": b"%H\n%B\r\n" + LAST_CHUNK,
    "bare LF after data": b"%H\r\n%B\n" + LAST_CHUNK,
    "nothing after data": b"%H\r\n%B" + LAST_CHUNK,
    "size too large by one": b"10\r\n%B\r\n" + LAST_CHUNK,
    "size too small": b"3\r\n%B\r\n" + LAST_CHUNK,
    "control byte in an extension": b"%H;a\x01=b\r\n%B\r\n" + LAST_CHUNK,
    "bare LF after an extension": b"%H;a\n%B\r\n" + LAST_CHUNK,
    "bare CR in an extension": b"%H;a\rb\r\n%B\r\n" + LAST_CHUNK,
    "extension without a name": b"%H;\r\n%B\r\n" + LAST_CHUNK,
    "blank in a trailer's name": CHUNK + b"0\r\nT x: y\r\n\r\n",
    "blank before a trailer's colon": CHUNK + b"0\r\nT : y\r\n\r\n",
    "control byte in a trailer": CHUNK + b"0\r\nT: \x01\r\n\r\n",
    "null in a trailer": CHUNK + b"0\r\nT: \x00\r\n\r\n",
    "folded trailer": CHUNK + b"0\r\nT: x\r\n y\r\n\r\n",
    "trailer without a colon": CHUNK + b"0\r\nT\r\n\r\n",
}
TRUNCATED = {
    "end within the status line": b"HTTP/1.1 20",
    "end within the head": OK + LENGTH,
    "end within the body": OK + b"Content-Length: 20\r\n\r\n%B",
    "end before the last chunk": CHUNKED + CHUNK,
    "end within the last chunk": CHUNKED + CHUNK + b"0\r\n",
    "end within a chunk": CHUNKED + b"20\r\n%B",
}


def _list_broken():
    yield from ((k, _with_status_line(v)) for k, v in BROKEN_STATUS_LINES.items())
    yield from ((k, _with_field(v)) for k, v in BROKEN_FIELDS.items() if v)
    first = b"HTTP/1.1 200 OK\r\n Name: v\r\n%S" + LENGTH + b"\r\n%B"
    yield "blank before the first field", first
    yield from ((k, _with_framing(v)) for k, v in BROKEN_FRAMING.items())
    chunks = CHUNK + LAST_CHUNK
    yield from ((k, _with_framing(v, chunks)) for k, v in BROKEN_CODINGS.items())
    old = CHUNKED.replace(b"HTTP/1.1", b"HTTP/1.0")
    yield "chunks by HTTP/1.0", old + chunks
    yield from ((k, CHUNKED + v) for k, v in BROKEN_CHUNKS.items())
    hint = b"HTTP/1.1 103 Early Hints\r\nLink : x\r\n\r\n"
    yield "broken head before the answer", hint + OK + LENGTH + b"\r\n%B"
    hint = b"HTTP/1.1 103 Early Hints\r\nLink: \x01\r\n\r\n"
    yield "control byte before the answer", hint + OK + LENGTH + b"\r\n%B"


BROKEN = {name: RawAnswer(content) for name, content in _list_broken()}
"""Answers that are none, by name."""
BROKEN.update((k, RawAnswer(v, End.CLOSE)) for k, v in TRUNCATED.items())
BROKEN["compressed, to the end"] = RawAnswer(
    _with_framing(BROKEN_CODINGS["compressed, to the end"]), End.CLOSE
)


class Sound(Struct, frozen=True):
    """An answer that is served.

    :param status: that the caller gets.
    :param field: name and value of a field that the caller gets as they are.
    :param body: that the caller gets.
    """

    answer: RawAnswer
    status: int = 200
    field: tuple[str, bytes] | None = None
    body: bytes = BODY


def _keep_field(name, value, sent=None):
    line = name.encode() + b": " + (value if sent is None else sent)
    return Sound(RawAnswer(_with_field(line)), field=(name, value))


def _serve(content, end=End.KEEP, **fields):
    return Sound(RawAnswer(content, end), **fields)


SOUND = {
    "plain": _serve(OK + LENGTH + b"\r\n%B"),
    "empty reason": _serve(_with_status_line(b"HTTP/1.1 200 ")),
    "no reason": _serve(_with_status_line(b"HTTP/1.1 200")),
    "two blanks before the reason": _serve(_with_status_line(b"HTTP/1.1 200  OK")),
    "tab in the reason": _serve(_with_status_line(b"HTTP/1.1 200 O\tK")),
    "high bytes in the reason": _serve(
        _with_status_line(b"HTTP/1.1 200 \xe9t\xc3\xa9")
    ),
    "unknown status": _serve(_with_status_line(b"HTTP/1.1 299 Odd"), status=299),
    "highest status": _serve(_with_status_line(b"HTTP/1.1 499 Odd"), status=499),
    "no body": _serve(b"HTTP/1.1 204 None\r\n%S\r\n", status=204, body=b""),
    "length of no body": _serve(
        b"HTTP/1.1 204 None\r\n%SContent-Length: 0\r\n\r\n", status=204, body=b""
    ),
    "length of an unchanged body": _serve(
        b"HTTP/1.1 304 Same\r\n%SContent-Length: 9000000\r\n\r\n", status=304, body=b""
    ),
    "long unchanged body": _serve(
        b"HTTP/1.1 304 Same\r\n%SContent-Length: 90000000\r\n\r\n", status=304, body=b""
    ),
    "long body that is none": _serve(
        b"HTTP/1.1 204 None\r\n%SContent-Length: 90000000\r\n\r\n", status=204, body=b""
    ),
    "codings of an unchanged body": _serve(
        b"HTTP/1.1 304 Same\r\n%STransfer-Encoding: gzip, chunked\r\n\r\n",
        status=304,
        body=b"",
    ),
    "by HTTP/1.0": _serve(b"HTTP/1.0 200 OK\r\n%S" + LENGTH + b"\r\n%B"),
    "to the end": _serve(OK + b"\r\n%B", End.CLOSE),
    "to the end, by HTTP/1.0": _serve(b"HTTP/1.0 200 OK\r\n%S\r\n%B", End.CLOSE),
    "to the end, uncoded": _serve(
        OK + b"Transfer-Encoding: identity\r\n\r\n%B", End.CLOSE
    ),
    "all bytes of a name": _keep_field("!#$%&'*+-.^_`|~09azAZ", b"v"),
    "names in lower case": _serve(b"HTTP/1.1 200 OK\r\n%Scontent-length: %L\r\n\r\n%B"),
    "empty value": _keep_field("Name", b""),
    "no blank before a value": _serve(
        _with_field(b"Name:value"), field=("Name", b"value")
    ),
    "blanks around a value": _keep_field("Name", b"a b", b" \t a b \t "),
    "tab in a value": _keep_field("Name", b"a\tb"),
    "colon in a value": _keep_field("Name", b"a: b"),
    "text in UTF-8": _keep_field("Name", "é€".encode()),
    "high bytes in a value": _keep_field("Name", b"caf\xe9 \xff\x80"),
    "long value": _keep_field("Name", b"v" * 8000),
    "many fields": _serve(
        OK + b"".join(b"N%d: v\r\n" % i for i in range(100)) + LENGTH + b"\r\n%B"
    ),
    "repeated field": _serve(_with_field(b"Set-Cookie: a\r\nSet-Cookie: b")),
    "repeated type": _serve(_with_field(b"Content-Type: a/b\r\nContent-Type: a/b")),
    "odd time of idle connections": _serve(_with_field(b"Keep-Alive: timeout=x")),
    "connection option": _serve(_with_field(b"Connection: close, Name\r\nName: v")),
    "offer of a protocol": _serve(_with_field(b"Connection: Upgrade\r\nUpgrade: h2c")),
    "bare LF in the head": _serve((OK + LENGTH + b"\r\n").replace(b"\r", b"") + b"%B"),
    "blanks around a length": _serve(OK + b"Content-Length: \t %L \t\r\n\r\n%B"),
    "zeros before a length": _serve(OK + b"Content-Length: 000%L\r\n\r\n%B"),
    "length 0": _serve(OK + b"Content-Length: 0\r\n\r\n", body=b""),
    "chunks": _serve(CHUNKED + CHUNK + LAST_CHUNK),
    "chunks in capitals": _serve(
        OK + b"TRANSFER-ENCODING: CHUNKED\r\n\r\n" + CHUNK + LAST_CHUNK
    ),
    "chunks in an odd list": _serve(
        OK + b"Transfer-Encoding: , chunked\r\n\r\n" + CHUNK + LAST_CHUNK
    ),
    "zeros before sizes": _serve(CHUNKED + b"000" + CHUNK + b"00" + LAST_CHUNK),
    "size in capitals": _serve(CHUNKED + b"F\r\n%B\r\n" + LAST_CHUNK),
    "small chunks": _serve(
        CHUNKED + b"".join(b"1\r\n%c\r\n" % byte for byte in BODY) + LAST_CHUNK
    ),
    "extensions": _serve(CHUNKED + b'%H;a;b=c;d="e ;\\" f"\r\n%B\r\n0;g=h\r\n\r\n'),
    "trailers": _serve(CHUNKED + CHUNK + b"0\r\nT: x\r\nU:\r\n\r\n"),
    "no chunk": _serve(CHUNKED + LAST_CHUNK, body=b""),
    "heads before the answer": _serve(
        b"HTTP/1.1 100 Continue\r\n\r\n"
        + b"HTTP/1.1 103 Early Hints\r\nLink: </x>\r\nContent-Length: 3\r\n\r\n" * 2
        + OK
        + LENGTH
        + b"\r\n%B"
    ),
}
"""Unusual answers that are served, by name."""
