"""Requests that no endpoint has when a gateway's stop ends are refused, not cut."""

from cardamomloft.callers.body import RequestBody
from cardamomloft.callers.exchange import RequestHead
from cardamomloft.gateway.peerproxy.client import UNSENT_TIME
from cardamomloft.runtime.stopplan import ANSWER_FRACTION, END_FRACTION
from cardamomloft.upstreams.sends import SendFailure
from cardamomloft_standins import gateway as kit
from cardamomloft_standins.gatewayharness import GatewayHarness
from expression import Error
from twisted.internet.defer import Deferred

from .test_peer_proxy import Run, reason_of, refused

MS = kit.MS
STOP_TIME = 6000 * MS


class _UnansweredClient(kit.FakeClient):
    """Leaves sends pending; they have no connection unless `connected` is set."""

    connected = False

    def abort_unsent(self, detail, addresses=None):
        if self.connected:
            return 0
        pending, self.pending = self.pending, []
        for deferred in pending:
            deferred.callback(Error(SendFailure(True, detail, unreachable=True)))
        return len(pending)


def _stopping() -> GatewayHarness:
    run = GatewayHarness()
    client = _UnansweredClient(None)
    run.client = run.gateway.forwarder.client = client
    # The request is passed to the gateway without a connection, which would count it.
    run.gateway.app.drained = Deferred
    run.gateway.stop()
    run.time.advance(2700 * MS)
    return run


def test_request_that_no_endpoint_has_near_the_end_of_a_stop_is_refused():
    """Guards against orders that a stopping gateway ends without an answer, never passed on."""
    run = _stopping()
    results = []
    head, body, left = _order()
    run.gateway.handle(head, body, left).addBoth(results.append)
    run.time.advance(STOP_TIME * ANSWER_FRACTION - 2700 * MS + 20 * MS)
    (answer,) = results
    assert answer.status == 503
    assert reason_of(answer) in ("entry-stopping", "upstream-unreachable")
    assert "Retry-After" in dict(answer.headers)


def test_request_that_an_endpoint_has_is_not_refused_at_the_end_of_a_stop():
    run = _stopping()
    run.client.connected = True
    results = []
    head, body, left = _order()
    run.gateway.handle(head, body, left).addBoth(results.append)
    run.time.advance(STOP_TIME * (END_FRACTION - 0.01) - 2700 * MS)
    assert results == []


def _order():
    headers = (("host", "a.example"), ("x-request-id", "id-1"), ("x-deadline-ms", "3000"))
    head = RequestHead("POST", "/orders/1", "", headers, "10.0.0.9", 0, False)
    return head, RequestBody(0, None), Deferred()


def test_no_further_gateway_is_asked_that_could_answer_too_late():
    run = Run(refused("upstream-unreachable"), kit.answer())
    run.proxy.stop_asking_at(run.clock.monotonic() + UNSENT_TIME)
    run.send("/orders/1")
    assert len(run.peers()) == 2
    run.time.advance(10 * MS)
    outcome = run.send("/orders/1")
    assert len(run.peers()) == 2
    assert outcome.refused
    assert not outcome.may_have_run


def test_gateway_that_does_not_stop_asks_others_at_any_time():
    run = Run(kit.answer())
    run.time.advance(60_000 * MS)
    run.send()
    assert run.peers()
    assert run.proxy.may_ask()


def test_request_that_is_read_between_a_late_signal_and_the_stop_is_refused():
    """Guards against 200 for a request that waited while the process stood still."""
    run = GatewayHarness()
    run.time.clock.advance(4000 * MS)
    signal = run.gateway.announce_stop()
    head, body, left = _order()
    results = []
    run.gateway.handle(head, body, left).addBoth(results.append)
    assert results[0].status == 503
    run.gateway.stop(signal)
    assert not run.client.sent
