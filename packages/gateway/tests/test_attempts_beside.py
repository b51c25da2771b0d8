"""Attempts that are started beside those which seem to be in vain."""

import pytest
from cardamomloft.callers.exchange import Answer
from cardamomloft.gateway.peerproxy.client import ProxyOutcome
from cardamomloft.gateway.peerproxy.hops import Hop
from cardamomloft.upstreams.sends import SendFailure
from cardamomloft_standins import gateway as kit
from cardamomloft_standins.forwarderharness import NOT_CONNECTED, RESET, SHED, ForwarderHarness
from expression import Error
from twisted.internet.defer import Deferred

MS = kit.MS


class Run:
    """A request whose first attempt is not answered until the test does so."""

    def __init__(self, *later, path="/menus/7", **options) -> None:
        self.bench = ForwarderHarness(None, *later, **options)
        self.answers = []
        self.bench.start(path).addBoth(self.answers.append)
        self.first = self.bench.client.pending[0]

    @property
    def sent(self):
        return self.bench.client.sent

    def suspect(self, number=0):
        self.sent[number].on_suspected("the endpoint accepts no connections")

    @property
    def status(self):
        return self.answers[0].status if self.answers else None


def test_suspicion_does_not_end_a_request_that_was_sent():
    run = Run(SHED)
    run.suspect()
    assert run.bench.client.cancelled == 0
    assert not run.answers
    run.first.callback(kit.answer(207))
    assert run.status == 207


def test_other_endpoint_answers_beside_a_silent_one_whose_exchange_then_ends():
    run = Run(kit.answer(207))
    run.suspect()
    assert run.status == 207
    assert run.sent[0].endpoint.name != run.sent[1].endpoint.name
    assert run.bench.client.cancelled == 1


def test_first_answer_counts_and_the_other_attempt_is_cancelled():
    run = Run(None)
    run.suspect()
    assert len(run.sent) == 2
    run.first.callback(kit.answer(207))
    assert run.status == 207
    assert run.bench.client.cancelled == 1


@pytest.mark.parametrize("second", [SHED, NOT_CONNECTED, RESET, kit.answer(500)])
def test_failure_of_the_second_attempt_does_not_end_the_first(second):
    run = Run(second)
    run.suspect()
    assert not run.answers
    run.first.callback(kit.answer(207))
    assert run.status == 207


def test_second_attempt_goes_on_when_the_first_fails():
    run = Run(None)
    run.suspect()
    run.first.callback(RESET)
    assert not run.answers
    run.bench.client.pending[1].callback(kit.answer(207))
    assert run.status == 207
    assert len(run.sent) == 2


def test_last_outcome_counts_if_no_attempt_is_answered():
    run = Run(None)
    run.suspect()
    run.bench.client.pending[1].callback(SHED)
    run.first.callback(Error(SendFailure(False, "deadline passed")))
    assert run.status == 502


def test_request_that_must_not_run_twice_stays_where_it_is():
    run = Run(kit.answer(), path="/orders/1")
    assert run.sent[0].on_suspected is None


def test_second_attempt_counts_for_the_limit_of_attempts():
    run = Run(None)
    run.suspect(0)
    run.suspect(1)
    assert len(run.sent) == kit.RULE.attempts == 2
    assert not run.answers


def test_second_attempt_needs_the_retry_budget():
    run = Run(kit.answer(207), slack=0.0)
    run.suspect()
    assert len(run.sent) == 1
    run.first.callback(kit.answer(200))
    assert run.status == 200


def test_second_attempt_starts_at_a_later_suspicion_if_no_endpoint_had_room():
    run = Run(kit.answer(207), endpoints=2)
    other = next(up for up in run.bench.table.all() if up.id != run.sent[0].endpoint.name)
    other.paused_until = 500 * MS
    run.suspect()
    assert len(run.sent) == 1
    run.bench.time.advance(600 * MS)
    run.suspect()
    assert run.status == 207


def test_both_attempts_end_when_the_caller_leaves():
    run = Run(None)
    run.suspect()
    run.bench.gone.callback(None)
    assert run.bench.client.cancelled == 2
    assert run.bench.metrics.counters["caller-left"] == 1


def test_endpoint_is_not_blamed_for_an_attempt_that_another_one_superseded():
    run = Run(kit.answer(207))
    run.suspect()
    first = run.bench.table.get(run.sent[0].endpoint.name)
    assert (first.failures, first.in_flight) == (0, 0)


class LostLinks:
    """Links that work until the test says otherwise, without open connections."""

    down = False

    def may_send_any(self):
        return not self.down

    def may_send(self, address):
        return not self.down


class OtherGateways:
    """Other gateways, whose outcome is set by the test."""

    def __init__(self) -> None:
        self.calls = []
        self.outcome = Deferred()

    def may_reach(self, call):
        return True

    def send(self, req):
        self.calls.append(req)
        return self.outcome

    def end(self, answer, *, refused=False, outcome="served"):
        hops = [Hop("e-1", 10 * MS, outcome, "")]
        self.outcome.callback(ProxyOutcome(answer, refused, True, "", hops))


class LinksLost(Run):
    """A request whose first attempt is suspected because the links are down."""

    def __init__(self, *later) -> None:
        super().__init__(*later)
        self.others = OtherGateways()
        self.bench.forwarder.links = LostLinks()
        self.bench.forwarder.proxy = self.others
        self.bench.forwarder.links.down = True
        self.suspect()


def test_request_goes_through_another_gateway_beside_the_first_attempt():
    run = LinksLost(SHED)
    run.suspect()
    (call,) = run.others.calls
    assert call.may_have_run
    # The other gateway may send it to one endpoint.
    assert call.deliveries == kit.RULE.attempts - 1
    run.others.end(Answer(207, (), b"whole"))
    assert run.status == 207
    assert run.bench.client.cancelled == 1


@pytest.mark.parametrize("status", [500, 502])
def test_error_through_another_gateway_does_not_end_the_first_attempt(status):
    run = LinksLost(SHED)
    run.others.end(Answer(status, (), b"failed"))
    assert not run.answers
    run.first.callback(kit.answer(207))
    assert run.status == 207


@pytest.mark.parametrize("outcome", ["failed", "served"])
def test_request_that_another_gateway_may_have_run_is_not_refused_as_not_run(outcome):
    run = LinksLost(SHED)
    answer = None if outcome == "failed" else Answer(500, (), b"failed")
    run.others.end(answer, outcome=outcome)
    run.first.callback(SHED)
    assert run.status == 502


def test_request_that_was_refused_everywhere_is_refused():
    run = LinksLost(SHED)
    run.others.end(Answer(503, (), b""), refused=True, outcome="refused")
    run.bench.forwarder.links.down = False
    run.first.callback(SHED)
    assert run.status == 503


def test_endpoint_is_not_blamed_if_a_fault_ends_its_attempt():
    run = LinksLost(SHED)
    run.others.outcome.errback(ValueError("a fault"))
    first = run.bench.table.get(run.sent[0].endpoint.name)
    assert (first.failures, first.in_flight) == (0, 0)
    assert run.bench.client.cancelled == 1
    run.answers[0].trap(ValueError)
