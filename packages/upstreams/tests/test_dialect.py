"""Dialects: header names, definite refusals, connection reuse and bodies ended by a close."""

import socket
from datetime import timedelta

import pytest
from cardamomloft.core.model import Endpoint
from cardamomloft.upstreams.client import UpstreamClient
from cardamomloft.upstreams.connections import (
    IDLE_FRACTION,
    IDLE_TIMEOUT_S,
    USER_TIMEOUT,
    UpstreamConnection,
    usable_idle_s,
)
from cardamomloft.upstreams.dialect import (
    Dialect,
    parse_header_load,
    parse_retry_after,
    states_work_time,
)
from cardamomloft.upstreams.sends import EndedBy, UpstreamRequest
from twisted.internet.error import ConnectionDone, ConnectionLost
from twisted.internet.testing import MemoryReactorClock, StringTransport
from twisted.python.failure import Failure

ENDPOINT = Endpoint("u1", "menus", "kingston-a", "kingston", "127.0.0.1:8001", 4, 360)
OTHER = Dialect(
    request_id="x-attempt",
    deadline_ms="x-left",
    not_run="x-never",
    refusal_statuses=frozenset({429, 503}),
    misdirected=421,
    expected="x-life",
    close_ends_body=True,
    reuse_always=True,
)


class Harness:
    def __init__(self, dialect=OTHER):
        self.reactor = MemoryReactorClock()
        self.client = UpstreamClient(self.reactor, dialect=dialect)

    def send(self, request_id="r1", idempotent=False):
        headers = (("host", "shop"), ("x-attempt", "forged"), ("x-life", "forged"), ("x-a", "1"))
        second = timedelta(seconds=1)
        req = UpstreamRequest(
            ENDPOINT, "GET", "/", headers, None, second, request_id, idempotent, "life-7"
        )
        return self.client.send(req)

    def connect(self):
        protocol = self.reactor.tcpClients[-1][2].buildProtocol(None)
        transport = StringTransport()
        protocol.makeConnection(transport)
        return protocol, transport

    def answered(self, raw, **options):
        """Send a request, answer it with `raw` and return the result."""
        result = self.send(**options)
        protocol, _ = self.connect()
        protocol.dataReceived(raw)
        return result.result, protocol


def test_headers_of_the_dialect_are_set_and_those_of_the_caller_are_replaced():
    harness = Harness()
    harness.send()
    _, transport = harness.connect()
    head = transport.value().decode().lower()
    for line in ("x-attempt: r1", "x-left: 1000", "x-life: life-7", "x-a: 1", "host: shop"):
        assert f"\r\n{line}\r\n" in head
    assert "forged" not in head


@pytest.mark.parametrize(
    ("status", "headers", "not_run"),
    [
        (503, "X-Never: 1\r\n", True),
        (429, "X-Never: 1\r\n", True),
        (421, "", True),
        (503, "", False),
        (500, "X-Never: 1\r\n", False),
        (200, "X-Never: 1\r\n", False),
        (503, "X-Not-Run: 1\r\n", False),
    ],
)
def test_only_a_definite_refusal_is_not_run(status, headers, not_run):
    raw = f"HTTP/1.1 {status} X\r\nContent-Length: 0\r\n{headers}\r\n".encode()
    outcome, _ = Harness().answered(raw)
    assert outcome.ok.not_run is not_run


def test_an_answer_with_another_request_id_may_have_run():
    raw = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Attempt: r0\r\n\r\n"
    outcome, _ = Harness().answered(raw)
    assert not outcome.error.not_run


@pytest.mark.parametrize(
    ("dialect", "reason", "complete"),
    [(OTHER, ConnectionDone(), True), (OTHER, ConnectionLost(), False)]
    + [(Dialect(), ConnectionDone(), False)],
)
def test_a_body_without_a_length_is_complete_only_if_its_connection_is_closed_cleanly(
    dialect, reason, complete
):
    outcome, protocol = Harness(dialect).answered(b"HTTP/1.1 200 OK\r\n\r\nabc")
    collected = outcome.ok.body.collect(100)
    protocol.connectionLost(Failure(reason))
    assert collected.result.is_ok() is complete


@pytest.mark.parametrize(("dialect", "connections"), [(OTHER, 1), (Dialect(), 2)])
def test_a_non_idempotent_request_reuses_a_connection_only_if_the_dialect_allows_it(
    dialect, connections
):
    harness = Harness(dialect)
    outcome, _ = harness.answered(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
    outcome.ok.body.collect(10)
    harness.send("r2")
    assert len(harness.reactor.tcpClients) == connections


def test_a_connection_with_unsolicited_data_is_not_reused():
    harness = Harness()
    extra = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
    outcome, protocol = harness.answered(extra)
    outcome.ok.body.collect(10)
    protocol.dataReceived(extra)
    harness.send("r2")
    assert len(harness.reactor.tcpClients) == 2


@pytest.mark.parametrize(
    ("granted", "seconds"),
    [
        (b"timeout=10", 10 * IDLE_FRACTION),
        (b"max=5, timeout=2", 2 * IDLE_FRACTION),
        (b"x", IDLE_TIMEOUT_S),
    ],
)
def test_the_idle_timeout_is_a_fraction_of_what_the_server_grants(granted, seconds):
    assert usable_idle_s(granted) == pytest.approx(seconds)


def test_an_idle_connection_is_closed_before_its_server_would_close_it():
    harness = Harness()
    outcome, _ = harness.answered(
        b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nKeep-Alive: timeout=1\r\n\r\n"
    )
    outcome.ok.body.collect(10)
    harness.reactor.advance(IDLE_FRACTION)
    harness.send("r2")
    assert len(harness.reactor.tcpClients) == 2


def test_kernel_closes_no_connection_before_the_deadline_of_any_request():
    with socket.create_server(("127.0.0.1", 0)) as listener:
        with socket.create_connection(listener.getsockname()) as handle:
            transport = StringTransport()
            transport.getHandle = lambda: handle
            UpstreamConnection(lambda conn: None).makeConnection(transport)
            option = handle.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
    assert option == USER_TIMEOUT / timedelta(milliseconds=1)
    assert option >= 600_000


def test_a_load_report_in_a_header_is_parsed_strictly():
    assert parse_header_load("3,0,8") == (3, 0, 8, 100)
    assert parse_header_load("3,0,8,250") == (3, 0, 8, 250)
    assert parse_header_load(None) is None
    assert parse_header_load("3, 0, 8") is None
    assert parse_header_load("3,0") is None
    assert parse_header_load("3,0,8,") is None
    assert parse_header_load("3,0,8,fast") is None
    assert parse_header_load("3,0,8x") is None


def test_work_time_of_zero_counts_as_not_stated():
    assert parse_header_load("3,0,8,0") == (3, 0, 8, 100)
    assert not states_work_time("3,0,8,0")
    assert states_work_time("3,0,8,1")


def test_figures_that_later_endpoints_add_to_a_load_report_are_ignored():
    # Rejecting a report with more figures would leave an entry without any load of the endpoint.
    assert parse_header_load("3,0,8,250,7") == (3, 0, 8, 250)
    assert parse_header_load("3,0,8,250,a b,7") == (3, 0, 8, 250)


@pytest.mark.parametrize(
    ("text", "seconds"), [("2", 2), ("0.25", 0.25), ("0", 0), ("999999999", 3600)]
)
def test_retry_after_is_parsed_and_bounded(text, seconds):
    assert parse_retry_after(text) == timedelta(seconds=seconds)


@pytest.mark.parametrize(
    "text", [None, "", "-1", "1e9", "nan", "1 s", "Wed, 21 Oct 2026 07:28:00 GMT", "\u0663"]
)
def test_a_malformed_retry_after_is_ignored(text):
    assert parse_retry_after(text) is None


@pytest.mark.parametrize(
    ("status", "field", "is_taken"),
    [
        (200, "X-Sig: s1\r\n", True),
        (200, "", False),
        (200, "X-Sig:\r\n", False),
        (299, "", False),
        (302, "", True),
        (404, "", True),
        (500, "", True),
    ],
)
def test_only_a_success_needs_the_signature_of_its_endpoint(status, field, is_taken):
    raw = f"HTTP/1.1 {status} X\r\nContent-Length: 0\r\n{field}\r\n".encode()
    outcome, _ = Harness(OTHER._replace(signature="x-sig")).answered(raw)
    assert outcome.is_ok() is is_taken
    assert is_taken or (outcome.error.ended_by, outcome.error.not_run) == (EndedBy.MALFORMED, False)
    assert Harness().answered(raw)[0].is_ok()
