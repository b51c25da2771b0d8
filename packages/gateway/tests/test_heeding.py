"""Quarantine of requests that crash endpoints; leaving and Retry-After in answers."""

from collections import deque

import pytest
from cardamomloft.core.notices import CRASH_RETENTION, CrashUnderRequest, DatedNotice
from cardamomloft.core.quarantine import CRASHES_TO_QUARANTINE, RESTART_TIME
from cardamomloft_standins import gateway as kit
from cardamomloft_standins.forwarderharness import (
    CRASH,
    CUT_SHORT,
    MS,
    NOT_CONNECTED,
    RESET,
    SHED,
    ForwarderHarness,
    header,
)


def test_request_is_refused_after_it_crashed_three_endpoints():
    bench = ForwarderHarness(CRASH, endpoints=8)
    for sent in (2, 3):
        assert bench.answer().status == 502
        assert len(bench.client.sent) == sent
        bench.time.advance(RESTART_TIME)
    answer = bench.answer()
    assert answer.status == 503
    assert header(answer, "cardamomloft-reason") == "upstreams-crash-under-it"
    time_left = CRASH_RETENTION - 2 * RESTART_TIME
    assert float(header(answer, "retry-after")) == pytest.approx(time_left.total_seconds())
    assert len(bench.client.sent) == 3


def quarantined(*outcomes) -> ForwarderHarness:
    """Return a bench whose request has crashed three endpoints; further sends give `outcomes`."""
    bench = ForwarderHarness(CRASH, endpoints=8)
    for _ in range(2):
        bench.answer()
        bench.time.advance(RESTART_TIME)
    assert len(bench.forwarder.notice_handler.quarantined()) == 1
    bench.client.outcomes = deque(outcomes)
    return bench


def test_refusals_of_a_poison_request_do_not_raise_the_retry_after_of_others():
    bench = quarantined(SHED)
    for _ in range(40):
        assert bench.answer().status == 503
    assert float(header(bench.answer("/menus/8"), "retry-after")) < 1


@pytest.mark.parametrize(
    "change", [{"path": "/menus/8"}, {"body": b"?"}, {"caller": "app/2"}], ids=str
)
def test_request_with_another_path_body_or_caller_is_not_quarantined(change):
    bench = quarantined(kit.answer())
    assert bench.answer(**change).status == 200


def test_request_from_another_address_is_quarantined_as_well():
    assert quarantined(kit.answer()).answer(address="10.9.0.1").status == 503


@pytest.mark.parametrize("answer", [kit.answer(), kit.answer(404, b"none"), kit.answer(500, b"")])
def test_answer_to_a_request_clears_its_earlier_crashes(answer):
    bench = ForwarderHarness(CRASH, CRASH, answer, CRASH, CRASH, kit.answer(), endpoints=8)
    for _ in range(3):
        bench.answer()
        bench.time.advance(RESTART_TIME)
    assert bench.forwarder.notice_handler.quarantined() == []
    assert bench.answer().status == 200


def learn_of_crashes(bench, fingerprint) -> None:
    """Apply notices of other gateways of three crashes under a request just now."""
    handler = bench.forwarder.notice_handler
    for number in range(CRASHES_TO_QUARANTINE):
        notice = CrashUnderRequest(fingerprint, f"i-{number}", 0, 1)
        handler.apply(DatedNotice(notice, bench.time.clock.monotonic()))


@pytest.mark.parametrize("answered", [True, False])
def test_request_that_was_answered_here_is_not_quarantined_for_lost_connections_elsewhere(answered):
    """Guards against quarantines of harmless requests while links of other gateways are reset."""
    fingerprint = quarantined(kit.answer()).forwarder.notice_handler.quarantined()[0]
    bench = ForwarderHarness(kit.answer(), endpoints=8)
    if answered:
        assert bench.answer().status == 200
    learn_of_crashes(bench, fingerprint)
    assert bench.answer().status == (200 if answered else 503)
    assert bool(bench.forwarder.notice_handler.quarantined()) is not answered


@pytest.mark.parametrize("outcome", [RESET, NOT_CONNECTED, SHED, CUT_SHORT])
def test_other_failures_are_not_counted_as_crashes(outcome):
    bench = ForwarderHarness(outcome, endpoints=8)
    for _ in range(10):
        bench.answer()
        bench.time.advance(RESTART_TIME)
    assert bench.forwarder.notice_handler.quarantined() == []


@pytest.mark.parametrize("status", [200, 404, 500])
def test_endpoint_that_reports_leaving_gets_no_further_requests(status):
    bench = ForwarderHarness(kit.answer(status, b"last", x_leaving="1"), kit.answer(), endpoints=2)
    bench.answer()
    leaving = bench.client.sent[0].endpoint.name
    for _ in range(5):
        assert bench.answer().status == 200
    assert leaving not in [req.endpoint.name for req in bench.client.sent[1:]]


def test_leaving_reported_in_a_refusal_is_applied():
    shed = kit.answer(503, b"", not_run=True, x_leaving="1")
    bench = ForwarderHarness(shed, kit.answer(), endpoints=2)
    assert bench.answer().status == 200
    leaving = bench.client.sent[0].endpoint.name
    assert leaving not in [up.id for up in bench.table.of_service("menus")]


@pytest.mark.parametrize("status", [200, 404, 500, 503])
def test_rate_limit_is_read_from_each_answer_of_the_endpoint(status):
    bench = ForwarderHarness(kit.answer(status, b"", x_rate_limit="0.5"), endpoints=1)
    bench.answer()
    assert bench.answer().status == 503
    assert len(bench.client.sent) == 1


@pytest.mark.parametrize("stated", ["", "-1", "many", "1e3", "nan"])
def test_malformed_rate_limit_is_ignored(stated):
    bench = ForwarderHarness(kit.answer(x_rate_limit=stated), endpoints=1)
    assert [bench.answer().status for _ in range(3)] == [200, 200, 200]


def test_rate_limit_of_another_endpoint_at_the_address_is_ignored():
    misdirected = kit.answer(421, b"", not_run=True, x_rate_limit="0.5")
    bench = ForwarderHarness(misdirected, kit.answer())
    published = []
    bench.forwarder.notice_handler.publish = published.extend
    bench.answer()
    assert published == []


def test_leaving_reported_by_another_endpoint_at_the_address_is_ignored():
    bench = ForwarderHarness(kit.answer(421, b"", not_run=True, x_leaving="1"), kit.answer())
    published = []
    bench.forwarder.notice_handler.publish = published.extend
    bench.answer()
    assert published == []


@pytest.mark.parametrize("marked", [True, False])
def test_endpoint_is_paused_for_its_retry_after(marked):
    shed = kit.answer(503, b"", not_run=marked, retry_after="2.5")
    bench = ForwarderHarness(shed, kit.answer(), endpoints=2)
    bench.answer()
    paused = bench.client.sent[0].endpoint.name
    bench.client.sent.clear()
    for _ in range(24):
        bench.time.advance(100 * MS)
        assert bench.answer().status == 200
    assert paused not in [req.endpoint.name for req in bench.client.sent]
    bench.time.advance(200 * MS)
    bench.answer()
    assert bench.client.sent[-1].endpoint.name == paused


def test_retry_after_is_the_first_end_of_a_pause_if_all_endpoints_are_paused():
    shed = kit.answer(503, b"", not_run=True, retry_after="2.5")
    bench = ForwarderHarness(shed, endpoints=2)
    assert bench.answer().status == 503
    assert len(bench.client.sent) == 2
    bench.time.advance(500 * MS)
    answer = bench.answer()
    assert answer.status == 503
    assert float(header(answer, "retry-after")) == pytest.approx(2.0, abs=0.02)
    assert len(bench.client.sent) == 2


def test_retry_after_of_a_successful_answer_does_not_pause_the_endpoint():
    bench = ForwarderHarness(kit.answer(200, retry_after="2.5"), endpoints=1)
    for _ in range(2):
        assert bench.answer().status == 200
