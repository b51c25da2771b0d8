"""Answers larger than a gateway buffers, with and without a stated length."""

import contextlib
import http.client

import pytest
from cardamomloft_standins import endpoints, processes
from cardamomloft_standins.linkfleet import IDEMPOTENT, LARGE_BODY, ONCE, LinkFleet

CHUNK = 50_000
CUT_SHORT, STATED, CHUNKED = "/cut-short", "/stated", "/chunked"


def answer_large(endpoint, handler):
    handler.send_response(200)
    if handler.path.endswith(STATED):
        handler.send_header("Content-Length", str(len(LARGE_BODY)))
        handler.end_headers()
        handler.wfile.write(LARGE_BODY)
        return
    handler.send_header("Transfer-Encoding", "chunked")
    handler.end_headers()
    for start in range(0, len(LARGE_BODY), CHUNK):
        part = LARGE_BODY[start : start + CHUNK]
        handler.wfile.write(b"%x\r\n%b\r\n" % (len(part), part))
    if handler.path.endswith(CUT_SHORT):
        handler.close_connection = True
    else:
        handler.wfile.write(b"0\r\n\r\n")


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    with contextlib.ExitStack() as stack:
        fleet = LinkFleet(stack, tmp_path_factory.mktemp("fleet"), 1, 0, answer_large)
        assert processes.eventually(fleet.has_converged, 60)
        yield fleet


@pytest.mark.parametrize("form", [STATED, CHUNKED])
@pytest.mark.parametrize("prefix", [IDEMPOTENT, ONCE])
def test_answer_larger_than_the_buffer_is_passed_on_whole_whatever_its_form(fleet, prefix, form):
    answer = endpoints.send_request(fleet.settings[0]["callers"], prefix + form)
    assert (answer.status, len(answer.body)) == (200, len(LARGE_BODY))
    assert answer.body == LARGE_BODY
    assert fleet.runs()[prefix + form] == 1


def test_answer_larger_than_the_buffer_that_ends_early_does_not_look_complete(fleet):
    with pytest.raises((http.client.IncompleteRead, ConnectionError)):
        endpoints.send_request(fleet.settings[0]["callers"], ONCE + CUT_SHORT)
