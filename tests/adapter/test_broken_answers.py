"""Callers of the platform's gateways get no broken answer of an endpoint."""

import contextlib
import itertools

import pytest
from cardamomloft_standins import rawanswers
from cardamomloft_standins.rawanswers import CLOSE, KEEP, RESET, Script

from .platformfleet import KINDS, SIGNED, PlatformFleet, head_of

OK = b"HTTP/1.1 200 OK\r\n" + SIGNED + b"Content-Length: 2\r\n\r\nok"
EARLY = b"HTTP/1.1 200 OK\r\n" + SIGNED + b"\r\n"
UNSIGNED = SIGNED.partition(b"\r\n")[0] + b"\r\n"

BOTH = pytest.mark.parametrize("number", [0, 1], ids=["direct", "through another gateway"])

_names = (f"broken-{number}" for number in itertools.count(1))


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    with contextlib.ExitStack() as stack:
        yield PlatformFleet(stack, tmp_path_factory.mktemp("platform"), Script(OK, end=KEEP))


def ask(fleet, number, kind, script, method="GET"):
    path = f"/{kind}/{next(_names)}"
    fleet.endpoint.scripts[path] = script
    with fleet.connect(number) as conn:
        conn.sendall(head_of(path, method))
        reply = rawanswers.read_reply(conn)
    assert fleet.endpoint.requests.count(path) == 1
    return reply


def is_failure(reply):
    return reply.status in (b"502", b"504") and reply.complete


@BOTH
@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("status", [b"000", b"2", b"600", b"+200"])
def test_answer_without_a_valid_status_becomes_a_failure(fleet, status, kind, number):
    assert is_failure(ask(fleet, number, kind, Script(OK.replace(b"200", status, 1))))


@BOTH
@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("field", [b"", b"X-Cardamomloft-Server-Stamp:\r\n"])
@pytest.mark.parametrize("status", [b"200", b"201", b"204"])
def test_success_without_its_signature_becomes_a_failure(fleet, status, field, kind, number):
    data = OK.replace(b"200", status, 1).replace(SIGNED, UNSIGNED + field)
    assert is_failure(ask(fleet, number, kind, Script(data)))


@BOTH
@pytest.mark.parametrize("status", [b"200", b"299", b"302", b"404", b"500"])
def test_other_answers_keep_their_status_and_signature(fleet, status, number):
    signed = ask(fleet, number, "unsafe", Script(OK.replace(b"200", status, 1)))
    assert (signed.status, signed.complete) == (status, True)
    assert signed.field("X-Cardamomloft-Server-Stamp") == "3e1b.07"
    if not status.startswith(b"2"):
        data = OK.replace(b"200", status, 1).replace(SIGNED, UNSIGNED)
        assert ask(fleet, number, "unsafe", Script(data)).status == status


@BOTH
@pytest.mark.parametrize("part", [5, 300_000])
def test_answer_that_ends_with_its_connection_is_complete(fleet, part, number):
    reply = ask(fleet, number, "unsafe", Script(EARLY + b"x" * part))
    assert reply.complete and reply.data.count(b"x") >= part


@BOTH
@pytest.mark.parametrize("part", [5, 300_000])
def test_answer_without_a_length_that_is_reset_is_not_complete(fleet, part, number):
    reply = ask(fleet, number, "unsafe", Script(EARLY + b"x" * part, end=RESET))
    assert is_failure(reply) or not reply.complete


@BOTH
@pytest.mark.parametrize("end", [RESET, CLOSE])
@pytest.mark.parametrize("part", [5, 300_000])
@pytest.mark.parametrize("wait", [0.0, 1.0], ids=["at once", "later"])
@pytest.mark.parametrize(
    ("size", "pause"),
    [(900_000, 0), (20_000_000, 0), (2_000_000, 0.1)],
    ids=["small", "large", "slow"],
)
@pytest.mark.parametrize("chunked", [False, True], ids=["length", "chunks"])
@pytest.mark.parametrize("kind", KINDS)
def test_early_answer_that_is_reset_is_not_complete(
    fleet, kind, chunked, size, pause, wait, part, end, number
):
    path = f"/{kind}/{next(_names)}"
    script = Script(EARLY + b"x" * part, after=50_000, pause=wait, end=end)
    fleet.endpoint.scripts[path] = script
    framing = "Transfer-Encoding: chunked" if chunked else f"Content-Length: {size}"
    with fleet.connect(number) as conn:
        head = head_of(path, "POST", framing)
        reply = rawanswers.exchange_upload(conn, head, size, chunked=chunked, pause=pause)
    assert fleet.endpoint.requests.count(path) == 1
    assert is_failure(reply) or not reply.complete, reply.data[:300]
