"""Heads of answers: what is valid, what is malformed, and that pieces make no difference."""

import pytest
from cardamomloft.runtime.answers.grammar import (
    MAX_ANSWER_HEAD_BYTES,
    MAX_EXCERPT_BYTES,
    AnswerReader,
    Field,
    MalformedAnswerError,
    read_field,
)
from hypothesis import given
from hypothesis import strategies as st

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Load: 3,0,8\r\n\r\n"

MALFORMED = [
    *(
        OK.replace(b"200", code)
        for code in (b"000", b"099", b"600", b"999", b"20", b"2000", b"+20")
    ),
    *(
        OK.replace(b"HTTP/1.1", text)
        for text in (b"HTTP/2.0", b"HTTP/1.10", b"http/1.1", b" HTTP/1.1")
    ),
    OK.replace(b"OK", b"O\x00K"),
    OK.replace(b" 200", b"  200"),
    OK.replace(b"X-Load", b"X Load"),
    OK.replace(b"X-Load", b"X\x01Load"),
    OK.replace(b"X-Load", b"X-Load "),
    OK.replace(b"X-Load", b""),
    OK.replace(b"X-Load", b"\tX-Load"),
    OK.replace(b"X-Load:", b"X-Load"),
    *(OK.replace(b"3,0,8", b"3%b8" % byte) for byte in (b"\x00", b"\x01", b"\x0b", b"\r", b"\x7f")),
    *(OK.replace(b": 2", b": " + text) for text in (b"-2", b"2, 3", b"", b",", b"2_0", b"9" * 19)),
    OK.replace(b"X-Load", b"Content-Length"),
    OK.replace(b"X-Load: 3,0,8", b"Transfer-Encoding: chunked"),
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n",
    b"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
    b"HTTP/1.1 101 Switching\r\nUpgrade: x\r\n\r\n",
    b"HTTP/1.1 103 Hints\r\nA b: c\r\n\r\n" + OK,
    b"\r\n" + OK,
]


def read(*pieces):
    """Return what may be parsed of an answer that arrives in pieces."""
    reader = AnswerReader()
    return b"".join(reader.feed(piece) for piece in pieces)


def outcome(pieces):
    try:
        return read(*pieces)
    except MalformedAnswerError as exc:
        return str(exc)


@pytest.mark.parametrize("data", MALFORMED)
def test_malformed_head_is_never_passed_on(data):
    with pytest.raises(MalformedAnswerError):
        read(data + b"ok")
    passed = b""
    with pytest.raises(MalformedAnswerError):
        reader = AnswerReader()
        for byte in data:
            passed += reader.feed(bytes([byte]))
    assert passed == b""


@pytest.mark.parametrize(
    "data",
    [
        OK,
        OK.replace(b"\r\n", b"\n"),
        OK.replace(b" OK", b""),
        OK.replace(b"HTTP/1.1", b"HTTP/1.0"),
        OK.replace(b"200", b"599"),
        OK.replace(b"X-Load", b"content-LENGTH").replace(b"3,0,8", b"2 ,2"),
        OK.replace(b"3,0,8", b""),
        OK.replace(b"3,0,8", b"\xe9 \t x"),
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding:\t Chunked \r\n\r\n",
        b"HTTP/1.1 200 OK\r\n\r\n",
    ],
)
def test_valid_head_is_passed_on_once_it_is_complete(data):
    reader = AnswerReader()
    assert reader.feed(data[:-1]) == b"" and not reader.has_head
    assert reader.feed(data[-1:] + b"body") == data + b"body" and reader.has_head
    assert reader.feed(b"\x00") == b"\x00"


def test_interim_answers_are_left_out():
    assert read(b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nLink: x\r\n\r\n" + OK) == OK


@pytest.mark.parametrize(
    "more", [b"A: b\r\n", b"A: " + b"b" * 1000, b"HTTP/1.1 102 Wait\r\n\r\n"], ids=repr
)
def test_head_without_end_is_malformed(more):
    reader = AnswerReader()
    reader.feed(b"" if more.startswith(b"HTTP") else b"HTTP/1.1 200 OK\r\n")
    with pytest.raises(MalformedAnswerError, match="beyond"):
        for _ in range(MAX_ANSWER_HEAD_BYTES // len(more) + 1):
            reader.feed(more)


def test_bytes_that_are_no_status_line_are_malformed_before_their_line_ends():
    with pytest.raises(MalformedAnswerError, match="status line"):
        read(b"HTT", b"Q")


def test_message_quotes_no_control_bytes_and_no_value():
    line = b"Set-\x1bCookie: secret"
    with pytest.raises(MalformedAnswerError) as raised:
        read(b"HTTP/1.1 200 " + b"x" * 500 + b"\r\n" + line + b"\r\n\r\n")
    message = str(raised.value)
    assert "Set-" in message and "HTTP/1.1 200" in message and "secret" not in message
    assert message.isprintable() and len(message) < 4 * MAX_EXCERPT_BYTES


def test_field_has_a_lower_case_name_and_a_stripped_value():
    assert read_field(b"X-Load: \t3, 4 ") == Field(b"x-load", b"3, 4")


PIECES = st.lists(
    st.sampled_from(
        [b"HTTP/1.1 ", b"200", b"103", b"000", b"\r\n", b"\n", b"\r", b"Content-Length: 2", b":"]
    )
    | st.binary(max_size=3),
    max_size=12,
)


@given(PIECES, st.booleans())
def test_pieces_in_which_an_answer_arrives_make_no_difference(pieces, valid_start):
    data = (OK[:17] if valid_start else b"") + b"".join(pieces)
    whole, bytewise = outcome([data]), outcome([bytes([byte]) for byte in data])
    assert isinstance(whole, str) == isinstance(bytewise, str)
    assert isinstance(whole, str) or whole == bytewise
