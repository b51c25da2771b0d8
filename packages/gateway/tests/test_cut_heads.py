"""An answer whose endpoint stops inside its head reaches no caller as an answer of the endpoint.

A caller must not get a status of such an answer with a body that its framing calls whole.
"""

import contextlib
import itertools
import time

import pytest
from cardamomloft_standins import processes, rawanswers
from cardamomloft_standins.rawanswers import CLOSE, KEEP, RESET, RawReply, Script

from .test_broken_answers import (
    OK,
    ROUTE_NAMES,
    ROUTES,
    SAFE,
    UNSAFE,
    Fleet,
    head_of,
    is_failure,
)

UPLOAD = 3_000_000
ID = b"X-Request-Id: {id}\r\n"
HEADS = {
    "length last": b"HTTP/1.1 200 OK\r\n" + ID + b"Content-Length: 2\r\n\r\n",
    "length first": b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n" + ID + b"\r\n",
    "no body": b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n" + ID + b"\r\n",
    "status 204": b"HTTP/1.1 204 No Content\r\n" + ID + b"\r\n",
    "chunks": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + ID + b"\r\n",
    "no framing": b"HTTP/1.1 200 OK\r\n" + ID + b"X: y\r\n\r\n",
    "close": b"HTTP/1.1 200 OK\r\nConnection: close\r\n" + ID + b"\r\n",
    "HTTP/1.0": b"HTTP/1.0 200 OK\r\n" + ID + b"\r\n",
    "after an interim answer": b"HTTP/1.1 103 Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
    "line feeds": b"HTTP/1.1 200 OK\nContent-Length: 0\nX: y\n\n",
    "error": b"HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n" + ID + b"\r\n",
}
ENDS = {"close": (CLOSE, 0.0), "reset": (RESET, 0.0), "late close": (CLOSE, 0.05)}
REFUSALS = 200
"""Most refusals of one request, at intervals, while the gateway waits for its endpoint."""

_names = (f"cut-{number}" for number in itertools.count(1))


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    with contextlib.ExitStack() as stack:
        yield Fleet(stack, tmp_path_factory.mktemp("gateways"))


def ask(fleet: Fleet, number: int, script: Script, prefix: str, method: str, size=0) -> RawReply:
    """Return the answer to a request that the endpoint got and answered by `script`."""
    for _ in range(REFUSALS):
        path = f"{prefix}{next(_names)}"
        fleet.endpoint.scripts[path] = script
        with fleet.connect(number) as conn:
            head = head_of(path, method, f"Content-Length: {size}" if size else "")
            if size:
                reply = rawanswers.exchange_upload(conn, head, size, chunked=False, pause=0)
            else:
                conn.sendall(head)
                reply = rawanswers.read_reply(conn)
        if path in fleet.endpoint.requests:
            return reply
        assert reply.status == b"503", reply.data[:300]
        time.sleep(0.05)
    raise AssertionError("no request was sent")


def cuts(head: bytes) -> list[bytes]:
    """Return all beginnings of a head that don't reach its end."""
    return [head[:size] for size in range(len(head))]


@pytest.mark.parametrize("number", ROUTES, ids=ROUTE_NAMES)
@pytest.mark.parametrize("end", ENDS)
@pytest.mark.parametrize("form", HEADS)
def test_head_that_is_cut_anywhere_becomes_a_failure(fleet, form, end, number):
    """Guards against answers with an empty or short body whose head never arrived whole."""
    kind, pause = ENDS[end]
    step = 1 if end == "close" else 7
    wrong = {}
    for begun in cuts(HEADS[form])[::step]:
        reply = ask(fleet, number, Script(begun, pause=pause, end=kind), SAFE, "GET")
        if not is_failure(reply):
            wrong[begun] = reply.data[:200]
    assert not wrong


@pytest.mark.parametrize("number", ROUTES, ids=ROUTE_NAMES)
@pytest.mark.parametrize(("prefix", "method", "size"), [(SAFE, "HEAD", 0), (UNSAFE, "GET", 0)])
def test_cut_head_of_other_requests_becomes_a_failure(fleet, number, prefix, method, size):
    wrong = {}
    for begun in cuts(HEADS["length last"])[::5]:
        reply = ask(fleet, number, Script(begun), prefix, method, size)
        if reply.status not in (b"502", b"504"):
            wrong[begun] = reply.data[:200]
    assert not wrong


@pytest.mark.parametrize("number", ROUTES, ids=ROUTE_NAMES)
@pytest.mark.parametrize("after", [None, 50_000], ids=["read whole", "answered early"])
def test_cut_head_of_an_upload_becomes_a_failure(fleet, number, after):
    wrong = {}
    for begun, end in itertools.product(cuts(HEADS["length last"])[::9], (CLOSE, RESET)):
        script = Script(begun, after=after, end=end)
        reply = ask(fleet, number, script, UNSAFE, "POST", UPLOAD)
        if reply.data and not is_failure(reply):
            wrong[begun, end] = reply.data[:200]
    assert not wrong


@pytest.mark.parametrize("number", ROUTES, ids=ROUTE_NAMES)
def test_cut_head_on_a_kept_connection_becomes_a_failure(fleet, number):
    wrong, kept = {}, 0
    all_cuts = cuts(HEADS["no body"])[::3]
    for begun in all_cuts:
        assert processes.eventually(
            lambda: ask(fleet, number, Script(OK, end=KEEP), SAFE, "GET").status == b"200", 10
        )
        reply = ask(fleet, number, Script(begun), SAFE, "GET")
        if not is_failure(reply):
            wrong[begun] = reply.data[:200]
        kept += fleet.endpoint.requests[-1] in fleet.endpoint.kept
    assert not wrong
    assert kept >= len(all_cuts) / 2


def test_endpoint_of_cut_heads_is_used_again(fleet):
    assert processes.eventually(
        lambda: ask(fleet, 0, Script(OK, end=KEEP), SAFE, "GET").status == b"200", 10
    )
