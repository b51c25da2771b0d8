"""Requests that endpoints crash under, and what endpoints tell of themselves in answers."""

from collections import deque

import pytest
from cardamomloft.core.notices import CRASH_RETENTION
from cardamomloft.core.quarantine import RESTART_TIME
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


def test_a_request_is_sent_to_no_more_endpoints_after_three_have_crashed_under_it():
    bench = ForwarderHarness(CRASH, endpoints=8)
    for sent in (2, 3):
        assert bench.answer().status == 502
        assert len(bench.client.sent) == sent
        bench.time.advance(RESTART_TIME)
    answer = bench.answer()
    assert answer.status == 503
    assert header(answer, "cardamomloft-reason") == "upstreams-crash-under-it"
    left = CRASH_RETENTION - 2 * RESTART_TIME
    assert float(header(answer, "retry-after")) == pytest.approx(left.total_seconds())
    assert len(bench.client.sent) == 3


def quarantined(*outcomes) -> ForwarderHarness:
    """Return a bench where a request has met three crashes, and then `outcomes`."""
    bench = ForwarderHarness(CRASH, endpoints=8)
    for _ in range(2):
        bench.answer()
        bench.time.advance(RESTART_TIME)
    assert len(bench.forwarder.notice_handler.quarantined()) == 1
    bench.client.outcomes = deque(outcomes)
    return bench


def test_refusing_a_poison_request_makes_no_other_caller_wait_longer():
    bench = quarantined(SHED)
    for _ in range(40):
        assert bench.answer().status == 503
    assert float(header(bench.answer("/menus/8"), "retry-after")) < 1


@pytest.mark.parametrize(
    "other", [{"path": "/menus/8"}, {"body": b"?"}, {"caller": "app/2"}], ids=str
)
def test_another_path_body_or_caller_is_another_request(other):
    bench = quarantined(kit.answer())
    assert bench.answer(**other).status == 200


def test_a_caller_that_comes_by_another_network_is_known_all_the_same():
    assert quarantined(kit.answer()).answer(address="10.9.0.1").status == 503


@pytest.mark.parametrize("answered", [kit.answer(), kit.answer(404, b"none"), kit.answer(500, b"")])
def test_a_request_that_got_an_answer_is_not_the_cause_of_crashes_before(answered):
    bench = ForwarderHarness(CRASH, CRASH, answered, CRASH, CRASH, kit.answer(), endpoints=8)
    for _ in range(3):
        bench.answer()
        bench.time.advance(RESTART_TIME)
    assert bench.forwarder.notice_handler.quarantined() == []
    assert bench.answer().status == 200


@pytest.mark.parametrize("outcome", [RESET, NOT_CONNECTED, SHED, CUT_SHORT])
def test_what_is_no_crash_is_never_taken_for_one(outcome):
    bench = ForwarderHarness(outcome, endpoints=8)
    for _ in range(10):
        bench.answer()
        bench.time.advance(RESTART_TIME)
    assert bench.forwarder.notice_handler.quarantined() == []


@pytest.mark.parametrize("status", [200, 404, 500])
def test_an_endpoint_whose_answer_says_that_it_leaves_gets_nothing_more(status):
    bench = ForwarderHarness(kit.answer(status, b"last", x_leaving="1"), kit.answer(), endpoints=2)
    bench.answer()
    leaving = bench.client.sent[0].endpoint.name
    for _ in range(5):
        assert bench.answer().status == 200
    assert leaving not in [req.endpoint.name for req in bench.client.sent[1:]]


def test_a_refusal_that_says_that_its_endpoint_leaves_counts_as_well():
    shed = kit.answer(503, b"", not_run=True, x_leaving="1")
    bench = ForwarderHarness(shed, kit.answer(), endpoints=2)
    assert bench.answer().status == 200
    leaving = bench.client.sent[0].endpoint.name
    assert leaving not in [up.id for up in bench.table.of_service("menus")]


def test_what_another_endpoint_at_the_address_says_of_its_leaving_does_not_count():
    bench = ForwarderHarness(kit.answer(421, b"", not_run=True, x_leaving="1"), kit.answer())
    told = []
    bench.forwarder.notice_handler.publish = told.extend
    bench.answer()
    assert told == []


@pytest.mark.parametrize("marked", [True, False])
def test_an_endpoint_that_wants_nothing_for_a_time_gets_nothing_for_so_long(marked):
    shed = kit.answer(503, b"", not_run=marked, retry_after="2.5")
    bench = ForwarderHarness(shed, kit.answer(), endpoints=2)
    bench.answer()
    full = bench.client.sent[0].endpoint.name
    bench.client.sent.clear()
    for _ in range(24):
        bench.time.advance(100 * MS)
        assert bench.answer().status == 200
    assert full not in [req.endpoint.name for req in bench.client.sent]
    bench.time.advance(200 * MS)
    bench.answer()
    assert bench.client.sent[-1].endpoint.name == full


def test_when_all_want_nothing_callers_are_told_when_the_first_wants_something_again():
    shed = kit.answer(503, b"", not_run=True, retry_after="2.5")
    bench = ForwarderHarness(shed, endpoints=2)
    assert bench.answer().status == 503
    assert len(bench.client.sent) == 2
    bench.time.advance(500 * MS)
    answer = bench.answer()
    assert answer.status == 503
    assert float(header(answer, "retry-after")) == pytest.approx(2.0, abs=0.02)
    assert len(bench.client.sent) == 2


def test_a_time_in_any_other_answer_is_the_callers_matter():
    bench = ForwarderHarness(kit.answer(200, retry_after="2.5"), endpoints=1)
    for _ in range(2):
        assert bench.answer().status == 200
