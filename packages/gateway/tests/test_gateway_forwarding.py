"""From a call to its answer: what is repeated, what is called not run, and what is not."""

from collections import deque

import pytest
from cardamomloft.callers.body import RequestBody
from cardamomloft.callers.exchange import RequestHead
from cardamomloft.core.budgets import ColdLimit, RetryBudget
from cardamomloft.core.notices import REQUEST_LIFE
from cardamomloft.core.quarantine import RESTART_TIME
from cardamomloft.core.selection import Preferences, Selector
from cardamomloft.core.upstreambook import UpstreamBook
from cardamomloft.gateway.calls import Reader
from cardamomloft.gateway.forwarding import Forwarder
from cardamomloft.gateway.noticing import Noticing
from cardamomloft.gateway.records import RequestLog
from cardamomloft.runtime.metrics import Metrics
from cardamomloft.upstreams.client import SendFailure
from cardamomloft_standins import gateway as kit
from expression import Error
from twisted.internet.defer import Deferred, ensureDeferred
from twisted.internet.task import Clock

MS = kit.MS
SHED = kit.answer(503, b"", not_run=True)
MISDIRECTED = kit.answer(421, b"", not_run=True)
NOT_CONNECTED = Error(SendFailure(True, "refused"))
RESET = Error(SendFailure(False, "reset"))
CRASH = Error(SendFailure(False, "closed", cut=True))
CUT_SHORT = kit.answer(200, "cut short after 3 bytes")


class Bench:
    """A forwarder between fakes."""

    def __init__(self, *outcomes, slack=1000.0, endpoints=4) -> None:
        self.time = kit.Time(Clock())
        self.client = kit.FakeClient(*outcomes)
        self.book = UpstreamBook({"a": "east"})
        for number in range(endpoints):
            self.book.register(kit.registration(number), 0 * MS)
        self.selector = Selector(self.book, "e-0", "a", ColdLimit(1.5, 5), Preferences())
        self.metrics = Metrics()
        budget = RetryBudget(0.0, slack, 10_000 * MS)
        self.forwarder = Forwarder(
            self.time.reactor,
            self.time.clock,
            kit.rng(),
            self.selector,
            self.book,
            self.client,
            lambda service: budget,
            self.metrics,
            RequestLog(lambda: 1),
            Noticing(self.time.clock, self.book, self.metrics),
        )

    def start(self, path="/menus/7", body=b"", whole=True, caller="app/1", address="10.0.0.9"):
        pairs = (
            ("host", "a.example"),
            ("x-request-id", "id-1"),
            ("x-object", "17"),
            ("user-agent", caller),
        )
        head = RequestHead("GET", path, "", pairs, address, len(body), False)
        call = Reader(kit.plan(), kit.HEADERS, kit.rng()).read(head, self.time.clock.monotonic())
        carried = RequestBody(len(body), self)
        if body:
            carried.data_received(body if whole else body[:1])
            if whole:
                carried.end()
        self.gone = Deferred()
        return ensureDeferred(self.forwarder.carry(call, head, carried, self.gone))

    def answer(self, *args, **kwargs):
        done = self.start(*args, **kwargs)
        result = []
        done.addBoth(result.append)
        assert result
        return result[0]

    def pause_body(self):
        pass

    def resume_body(self):
        pass


def _header(answer, name):
    return next((value for key, value in answer.headers if key.lower() == name), None)


def test_an_answer_is_passed_on_unchanged():
    bench = Bench(kit.answer(207, b"whole", x_stamp="s-1", connection="close"))
    answer = bench.answer()
    assert (answer.status, answer.body) == (207, b"whole")
    assert _header(answer, "x-stamp") == "s-1"
    assert _header(answer, "connection") is None


def test_the_endpoint_gets_the_request_as_it_was_and_the_time_left():
    bench = Bench(kit.answer())
    bench.answer("/orders/1", b"two boxes")
    (sent,) = bench.client.sent
    assert (sent.method, sent.path, sent.body) == ("GET", "/orders/1", b"two boxes")
    assert (sent.request_id, sent.timeout) == ("id-1", 1000 * MS)
    assert sent.expected == sent.endpoint.name
    assert not sent.idempotent


@pytest.mark.parametrize("path", ["/menus/7", "/orders/1"])
@pytest.mark.parametrize("first", [SHED, MISDIRECTED, NOT_CONNECTED])
def test_what_was_not_run_goes_to_another_endpoint(path, first):
    bench = Bench(first, kit.answer())
    assert bench.answer(path, b"two boxes").status == 200
    first_sent, second_sent = bench.client.sent
    assert first_sent.endpoint.name != second_sent.endpoint.name
    assert second_sent.body == b"two boxes"


@pytest.mark.parametrize("first", [RESET, CUT_SHORT])
def test_an_idempotent_request_is_repeated_after_a_failure(first):
    bench = Bench(first, kit.answer())
    assert bench.answer().status == 200
    assert len(bench.client.sent) == 2


@pytest.mark.parametrize("first", [RESET, CUT_SHORT])
def test_a_request_that_may_have_run_is_never_sent_again_nor_called_not_run(first):
    bench = Bench(first, kit.answer())
    answer = bench.answer("/orders/1")
    assert answer.status == 502
    assert _header(answer, "retry-after") is None
    assert len(bench.client.sent) == 1


def test_a_failure_after_a_refusal_is_not_called_not_run():
    bench = Bench(SHED, RESET)
    assert bench.answer("/orders/1").status == 502


def test_a_refusal_after_a_failure_is_not_called_not_run():
    bench = Bench(RESET, SHED)
    assert bench.answer().status == 502


def test_no_more_endpoints_get_it_than_the_rule_allows():
    bench = Bench(SHED)
    answer = bench.answer()
    assert answer.status == 503
    assert len(bench.client.sent) == kit.RULE.attempts


def test_connections_that_failed_do_not_count_as_attempts_but_are_bounded():
    bench = Bench(NOT_CONNECTED, endpoints=8)
    assert bench.answer().status == 503
    assert len(bench.client.sent) <= 4


def test_without_budget_nothing_is_repeated_after_an_arrival():
    bench = Bench(SHED, kit.answer(), slack=0)
    assert bench.answer().status == 503
    assert len(bench.client.sent) == 1


def test_a_failed_connection_needs_no_budget():
    bench = Bench(NOT_CONNECTED, kit.answer(), slack=0)
    assert bench.answer().status == 200


def test_refused_callers_are_told_when_to_come_back_in_fractions():
    waits = {float(_header(Bench(SHED).answer(), "retry-after")) for _ in range(3)}
    assert all(0.1 < wait < 1 for wait in waits)


@pytest.mark.parametrize(("load", "keeps"), [("1,0,4", True), ("4,3,4", False), ("3,1,4", False)])
def test_a_refusing_endpoint_keeps_its_keys_if_it_reports_a_free_slot(load, keeps):
    shed = kit.answer(503, b"", not_run=True, x_load=load)
    bench = Bench(shed, kit.answer())
    bench.answer()
    first, _ = bench.client.sent
    bench.answer()
    assert (bench.client.sent[2].endpoint == first.endpoint) == keeps


@pytest.mark.parametrize("status", [408, 421, 429, 503])
def test_a_refusal_without_its_mark_is_not_passed_on_as_not_run(status):
    """Callers would repeat an order that may have run."""
    bench = Bench(kit.answer(status, b"busy", x_stamp="s-1"))
    answer = bench.answer("/orders/1")
    assert answer.status == 502
    assert _header(answer, "x-stamp") is None
    assert len(bench.client.sent) == 1


def test_an_idempotent_request_refused_without_a_mark_goes_to_another():
    bench = Bench(kit.answer(503, b"busy"), kit.answer())
    assert bench.answer().status == 200


def test_a_body_that_does_not_come_in_time_is_refused_as_not_run():
    bench = Bench(kit.answer())
    results = []
    bench.start("/orders/1", b"two boxes", whole=False).addBoth(results.append)
    bench.time.advance(990 * MS)
    assert results == []
    bench.time.advance(20 * MS)
    assert results[0].status == 503
    assert bench.client.sent == []


def test_a_failed_endpoints_own_status_is_passed_on():
    bench = Bench(kit.answer(500, b"broken"))
    answer = bench.answer("/orders/1")
    assert (answer.status, answer.body) == (500, b"broken")
    assert len(bench.client.sent) == 1


def test_an_idempotent_request_that_an_endpoint_failed_goes_to_another():
    bench = Bench(kit.answer(500, b"broken"), kit.answer())
    assert bench.answer().status == 200
    assert len(bench.client.sent) == 2


@pytest.mark.parametrize("second", [SHED, RESET, NOT_CONNECTED])
def test_the_status_of_a_failed_endpoint_stands_if_nothing_better_comes(second):
    bench = Bench(kit.answer(500, b"broken"), second)
    answer = bench.answer()
    assert (answer.status, answer.body) == (500, b"broken")


def test_an_endpoint_that_fails_again_and_again_rests():
    bench = Bench(kit.answer(500, b"broken"), endpoints=1)
    for _ in range(2):
        bench.answer("/orders/1")
    (upstream,) = bench.book.of_service("menus")
    assert upstream.rest_until > bench.time.clock.monotonic()


def test_when_the_caller_leaves_its_work_is_given_up():
    bench = Bench(None)
    done = bench.start()
    bench.gone.callback(None)
    assert bench.client.cancelled == 1
    assert all(up.in_flight == 0 for up in bench.book.of_service("menus"))
    results = []
    done.addBoth(results.append)
    assert results
    assert len(bench.client.sent) == 1
    assert bench.metrics.counters["caller-left"] == 1
    assert not any(up.failures for up in bench.book.of_service("menus"))


def test_log_lines_of_a_request_say_where_it_went_and_by_what_knowledge():
    bench = Bench(SHED, RESET)
    lines = []
    bench.forwarder.records.write = lambda call, outcome, now, **fields: lines.append(fields)
    bench.answer("/orders/1")
    first, second = [note.fields() for note in lines[-1]["sends"]]
    assert (first["outcome"], first["detail"]) == ("refused", "status 503")
    assert (second["outcome"], second["detail"]) == ("failed", "reset")
    assert first["load"] == "0.0/4"
    assert first["report_age_ms"] is None


def test_a_misdirected_endpoint_gets_nothing_more():
    bench = Bench(MISDIRECTED, kit.answer())
    bench.answer()
    refused = bench.client.sent[0].endpoint.name
    assert refused not in [up.id for up in bench.book.of_service("menus")]


def test_a_load_report_is_kept_without_the_request_that_brought_it():
    bench = Bench(kit.answer(x_load="3,2,4"))
    bench.answer()
    name = bench.client.sent[0].endpoint.name
    report = bench.book.get(name).report
    assert (report.running, report.waiting, report.slots, report.own) == (3, 2, 4, 0)


@pytest.mark.parametrize("text", ["3,2", "a,b,c", "", "3,2,4,5"])
def test_an_odd_load_report_is_ignored(text):
    bench = Bench(kit.answer(x_load=text))
    assert bench.answer().status == 200
    assert bench.book.get(bench.client.sent[0].endpoint.name).report is None


def test_without_endpoints_it_is_refused_as_not_run():
    bench = Bench(kit.answer(), endpoints=0)
    assert bench.answer().status == 503
    assert bench.client.sent == []


def test_a_request_is_sent_to_no_more_endpoints_after_three_have_crashed_under_it():
    bench = Bench(CRASH, endpoints=8)
    for sent in (2, 3):
        assert bench.answer().status == 502
        assert len(bench.client.sent) == sent
        bench.time.advance(RESTART_TIME)
    answer = bench.answer()
    assert answer.status == 503
    assert _header(answer, "cardamomloft-reason") == "upstreams-crash-under-it"
    left = REQUEST_LIFE - 2 * RESTART_TIME
    assert float(_header(answer, "retry-after")) == pytest.approx(left.total_seconds())
    assert len(bench.client.sent) == 3


def quarantined(*outcomes) -> Bench:
    """Return a bench where a request has met three crashes, and then `outcomes`."""
    bench = Bench(CRASH, endpoints=8)
    for _ in range(2):
        bench.answer()
        bench.time.advance(RESTART_TIME)
    assert len(bench.forwarder.noticing.refused()) == 1
    bench.client.outcomes = deque(outcomes)
    return bench


def test_refusing_a_deadly_request_makes_no_other_caller_wait_longer():
    bench = quarantined(SHED)
    for _ in range(40):
        assert bench.answer().status == 503
    assert float(_header(bench.answer("/menus/8"), "retry-after")) < 1


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
    bench = Bench(CRASH, CRASH, answered, CRASH, CRASH, kit.answer(), endpoints=8)
    for _ in range(3):
        bench.answer()
        bench.time.advance(RESTART_TIME)
    assert bench.forwarder.noticing.refused() == []
    assert bench.answer().status == 200


@pytest.mark.parametrize("outcome", [RESET, NOT_CONNECTED, SHED, CUT_SHORT])
def test_what_is_no_crash_is_never_taken_for_one(outcome):
    bench = Bench(outcome, endpoints=8)
    for _ in range(10):
        bench.answer()
        bench.time.advance(RESTART_TIME)
    assert bench.forwarder.noticing.refused() == []


@pytest.mark.parametrize("status", [200, 404, 500])
def test_an_endpoint_whose_answer_says_that_it_leaves_gets_nothing_more(status):
    bench = Bench(kit.answer(status, b"last", x_leaving="1"), kit.answer(), endpoints=2)
    bench.answer()
    leaving = bench.client.sent[0].endpoint.name
    for _ in range(5):
        assert bench.answer().status == 200
    assert leaving not in [req.endpoint.name for req in bench.client.sent[1:]]


def test_a_refusal_that_says_that_its_endpoint_leaves_counts_as_well():
    shed = kit.answer(503, b"", not_run=True, x_leaving="1")
    bench = Bench(shed, kit.answer(), endpoints=2)
    assert bench.answer().status == 200
    leaving = bench.client.sent[0].endpoint.name
    assert leaving not in [up.id for up in bench.book.of_service("menus")]


def test_what_another_endpoint_at_the_address_says_of_its_leaving_does_not_count():
    bench = Bench(kit.answer(421, b"", not_run=True, x_leaving="1"), kit.answer())
    told = []
    bench.forwarder.noticing.tell = told.extend
    bench.answer()
    assert told == []


@pytest.mark.parametrize("marked", [True, False])
def test_an_endpoint_that_wants_nothing_for_a_time_gets_nothing_for_so_long(marked):
    shed = kit.answer(503, b"", not_run=marked, retry_after="2.5")
    bench = Bench(shed, kit.answer(), endpoints=2)
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
    bench = Bench(shed, endpoints=2)
    assert bench.answer().status == 503
    assert len(bench.client.sent) == 2
    bench.time.advance(500 * MS)
    answer = bench.answer()
    assert answer.status == 503
    assert float(_header(answer, "retry-after")) == pytest.approx(2.0, abs=0.02)
    assert len(bench.client.sent) == 2


def test_a_time_in_any_other_answer_is_the_callers_matter():
    bench = Bench(kit.answer(200, retry_after="2.5"), endpoints=1)
    for _ in range(2):
        assert bench.answer().status == 200
