"""The grammar of the heads of HTTP/1.x answers (RFC 9112 and RFC 9110).

A head is either valid, and can be read in one way only, or malformed. A malformed answer says
nothing about its request: the server may have run it.
"""

import re
import typing as t

MAX_ANSWER_HEAD_BYTES = 64 * 1024
"""Bytes of an answer's head, and of interim answers before it, beyond which it is malformed."""

MAX_EXCERPT_BYTES = 60
"""Bytes of a malformed line that are quoted in a message."""

_SWITCHING_PROTOCOLS = 101

_START = b"HTTP/1."
_STATUS_LINE = re.compile(rb"HTTP/1\.([0-9]) ([1-5][0-9]{2})(?: [\t\x20-\x7e\x80-\xff]*)?")
# The value has no control bytes but tabs. Folded lines are obsolete and read in different ways.
_FIELD = re.compile(rb"([!#$%&'*+\-.^_`|~0-9A-Za-z]+):([\t\x20-\x7e\x80-\xff]*)")
_LENGTH = re.compile(rb"[0-9]{1,18}")

_TRANSFER_ENCODING = b"transfer-encoding"
_CONTENT_LENGTH = b"content-length"
_FRAMING = frozenset({_TRANSFER_ENCODING, _CONTENT_LENGTH})
_OPTIONAL_WHITESPACE = b" \t"


class MalformedAnswerError(Exception):
    """The bytes of a server are not a valid answer."""


class Field(t.NamedTuple):
    """A field of a head; `name` is lower-case, and `value` has no white space around it."""

    name: bytes
    value: bytes


class AnswerReader:
    """Reads one answer, and holds it back until its head is known to be valid.

    Load: a server in trouble that sends bytes which are no answer, slowly, or without end.

    Attributes
    ----------
    has_head
        Whether the head of the final answer is complete.
    """

    def __init__(self) -> None:
        self.has_head = False
        self._buffer = bytearray()
        self._line_start = 0
        self._searched = 0
        self._interim_bytes = 0
        self._status_line = b""
        self._minor_version = b""
        self._status = 0
        self._framing: list[Field] = []

    def feed(self, data: bytes) -> bytes:
        """Return what may be parsed after more `data`.

        That is nothing until the head is complete, then the whole head without interim answers, and
        what follows it.

        Raises
        ------
        MalformedAnswerError
            If the data can't be continued to a valid answer.
        """
        if self.has_head:
            return data
        self._buffer += data
        while not self.has_head and self._next_line():
            pass
        if self.has_head:
            return self._take()
        self._check_incomplete()
        return b""

    def _next_line(self) -> bool:
        """Read one line; return whether it was complete."""
        end = self._buffer.find(b"\n", self._searched)
        if end < 0:
            self._searched = len(self._buffer)
            return False
        line = bytes(self._buffer[self._line_start : end]).removesuffix(b"\r")
        self._line_start = self._searched = end + 1
        self._check_size(self._line_start)
        if not self._status_line:
            self._read_status_line(line)
        elif line:
            self._read_field(line)
        else:
            self._end_head()
        return True

    def _read_status_line(self, line: bytes) -> None:
        match = _STATUS_LINE.fullmatch(line)
        if match is None:
            raise MalformedAnswerError(f"malformed status line {_excerpt(line)}")
        self._status_line = line
        self._minor_version, self._status = match[1], int(match[2])

    def _read_field(self, line: bytes) -> None:
        try:
            field = read_field(line)
        except MalformedAnswerError as exc:
            raise self._malformed(str(exc)) from exc
        if field.name in _FRAMING:
            self._framing.append(field)

    def _end_head(self) -> None:
        if self._status == _SWITCHING_PROTOCOLS:
            raise self._malformed("switch to a protocol that was not requested")
        problem = _framing_problem(self._minor_version, self._framing)
        if problem:
            raise self._malformed(problem)
        if self._status < 200:
            self._interim_bytes += self._line_start
            del self._buffer[: self._line_start]
            self._line_start = self._searched = 0
            self._status_line = b""
            self._framing = []
        else:
            self.has_head = True

    def _check_incomplete(self) -> None:
        if not self._status_line and not _START.startswith(self._buffer[: len(_START)]):
            raise MalformedAnswerError(f"malformed status line {_excerpt(bytes(self._buffer))}")
        self._check_size(len(self._buffer))

    def _check_size(self, size: int) -> None:
        if self._interim_bytes + size > MAX_ANSWER_HEAD_BYTES:
            raise self._malformed(f"head of an answer beyond {MAX_ANSWER_HEAD_BYTES} bytes")

    def _malformed(self, problem: str) -> MalformedAnswerError:
        return MalformedAnswerError(f"{problem}, status line {_excerpt(self._status_line)}")

    def _take(self) -> bytes:
        data = bytes(self._buffer)
        self._buffer.clear()
        return data


def read_field(line: bytes) -> Field:
    """Return the field of a line of a head or a trailer, which has no line ending.

    Raises
    ------
    MalformedAnswerError
        If the line is not a field. The message does not quote the value, which may be confidential.
    """
    match = _FIELD.fullmatch(line)
    if match is None:
        name, colon, _ = line.partition(b":")
        raise MalformedAnswerError(f"malformed field {_excerpt(name + colon)}")
    return Field(match[1].lower(), match[2].strip(_OPTIONAL_WHITESPACE))


def _framing_problem(minor_version: bytes, fields: list[Field]) -> str:
    """Return why the end of the body can't be told in one way, or an empty string."""
    codings = [value.lower() for name, value in fields if name == _TRANSFER_ENCODING]
    lengths = [value for name, value in fields if name == _CONTENT_LENGTH]
    if codings and minor_version == b"0":
        return "transfer encoding in HTTP/1.0"
    if codings and lengths:
        return "both a length and a transfer encoding"
    if codings and codings != [b"chunked"]:
        return f"transfer encoding {_excerpt(b', '.join(codings))}"
    if lengths and not _is_one_length(lengths):
        return f"content length {_excerpt(b', '.join(lengths))}"
    return ""


def _is_one_length(values: list[bytes]) -> bool:
    """Return whether values, each a list perhaps, state the same length."""
    stated = [item.strip(_OPTIONAL_WHITESPACE) for value in values for item in value.split(b",")]
    return all(map(_LENGTH.fullmatch, stated)) and len(set(map(int, stated))) == 1


def _excerpt(line: bytes) -> str:
    """Return the beginning of a line in printable ASCII."""
    shown = line[:MAX_EXCERPT_BYTES]
    return f"{shown!r}{'...' if len(line) > len(shown) else ''}"
