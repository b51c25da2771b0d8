"""Requests that a gateway sends through another one: what both state, and who may run them."""

from datetime import timedelta

import pytest
from cardamomloft.callers.body import RequestBody
from cardamomloft.callers.exchange import RequestHead
from cardamomloft.core.connectivity.cutoff import CutOffEntries
from cardamomloft.core.entrytable import EntryTable
from cardamomloft.core.model import Refusal
from cardamomloft.core.registrations import EntryRecord
from cardamomloft.core.routes import RoutePlan
from cardamomloft.gateway.calls import RequestReader
from cardamomloft.gateway.peerproxy import listener
from cardamomloft.gateway.peerproxy.client import PeerProxy, ProxiedCall
from cardamomloft.gateway.peerproxy.header import (
    PROXY_HEADER,
    ProxyHeader,
    read_proxy_header,
    without_proxy_header,
)
from cardamomloft.gateway.peerproxy.silence import PROBE_TIMEOUT, SILENCE_TIME
from cardamomloft.gateway.peerproxy.versions import PeerVersions
from cardamomloft.runtime.metrics import Metrics
from cardamomloft.upstreams.sends import SendFailure
from cardamomloft_standins import gateway as kit
from cardamomloft_standins.gatewayharness import GatewayHarness
from expression import Error, Ok
from twisted.internet.defer import Deferred, ensureDeferred
from twisted.internet.task import Clock

MS = kit.MS
OWN = EntryRecord("e-0", "10.0.0.10:80", "a", "east")
NOT_CONNECTED = Error(SendFailure(True, "refused", unreachable=True))
LIMIT_REACHED = Error(SendFailure(True, "limit of requests in flight reached"))
LOST = Error(SendFailure(False, "lost", cut=True))
LATE = Error(SendFailure(False, "deadline passed"))
SERVED = kit.answer(200, b"menu", cardamomloft_outcome="complete", x_stamp="1")
HOMES = frozenset({"west"})


def refused(reason: str, status: int = 503):
    headers = {"cardamomloft_outcome": "refused", "cardamomloft_reason": reason}
    return kit.answer(status, b"{}", retry_after="0.7", **headers)


def head(path="/menus/7", *headers) -> RequestHead:
    pairs = (("host", "a.example"), ("x-request-id", "id-1"), ("x-object", "17"), *headers)
    return RequestHead("GET", path, "", pairs, "10.0.0.9", 0, False)


class Run:
    """A gateway without links, and the answers of the others in order."""

    def __init__(self, *outcomes, rules=(kit.RULE, kit.ORDERS), helpers=4) -> None:
        self.time = kit.Time(Clock())
        self.clock = self.time.clock
        self.pushed, self.asked = [], []
        self.entries = EntryTable(OWN, timedelta(seconds=1))
        for number in range(1, helpers + 1):
            region = "west" if number == helpers else "east"
            address = f"10.0.0.{number}"
            record = EntryRecord(f"e-{number}", f"{address}:80", "b", region)
            proxied = record._replace(proxy=f"{address}:81", proxy_token=f"secret-{number}")
            self.entries.add(proxied, 0 * MS)
        self.proxy = PeerProxy(
            self.time.reactor,
            self.clock,
            kit.rng(),
            OWN,
            self.entries,
            CutOffEntries(),
            kit.HEADERS,
            PeerVersions(self.clock, lambda: 3, self.pushed.append, self.asked.append),
            Metrics(),
        )
        self.client = self.proxy._client = kit.FakeClient(*outcomes)
        self.reader = RequestReader(kit.plan(3, rules), kit.HEADERS, kit.rng())

    def start(self, path="/menus/7", **state):
        """Send a request, and return the Deferred of its outcome."""
        request_head = head(path, (PROXY_HEADER, "of the caller"))
        call = self.reader.read(request_head, self.clock.monotonic())
        values = {"deliveries": 0, "may_have_run": False, "counted": True, **state}
        req = ProxiedCall(call, request_head, b"body", **values)
        return ensureDeferred(self.proxy.send(req))

    def send(self, path="/menus/7", **state):
        results = []
        self.start(path, **state).addCallback(results.append)
        return results[0]

    def peers(self) -> list[str]:
        return [req.endpoint.name for req in self.client.sent]

    def header(self, at: int = 0) -> ProxyHeader:
        values = [value for name, value in self.client.sent[at].headers if name == PROXY_HEADER]
        assert len(values) == 1
        return read_proxy_header(head("/", (PROXY_HEADER, values[0])))


def test_answer_of_another_gateway_is_returned_whole():
    run = Run(SERVED)
    outcome = run.send()
    assert (outcome.answer.status, outcome.answer.body) == (200, b"menu")
    assert ("x-stamp", "1") in outcome.answer.headers
    sent = run.client.sent[0]
    assert (sent.path, sent.body, sent.request_id) == ("/menus/7", b"body", "id-1")
    assert sent.timeout == kit.RULE.timeout


def test_request_states_the_secret_of_the_gateway_that_gets_it_and_what_was_done_before():
    run = Run(SERVED)
    run.send(deliveries=1, may_have_run=True, counted=True)
    number = run.peers()[0].removeprefix("e-")
    expected = ProxyHeader(f"secret-{number}", "e-0", "10.0.0.9", "menus", 3, 1, True)
    assert run.header() == expected


@pytest.mark.parametrize("reason", ["entry-not-ready", "entry-is-stopping", "not-a-peer"])
def test_gateway_that_cannot_help_is_replaced_by_another_and_left_alone(reason):
    run = Run(refused(reason), SERVED)
    assert run.send("/orders/1").answer.status == 200
    first, second = run.peers()
    assert first != second
    run.send()
    assert first not in run.peers()[2:]


def test_refusal_for_lack_of_capacity_is_passed_on_with_its_retry_after():
    run = Run(refused("overloaded"))
    outcome = run.send("/orders/1")
    assert outcome.refused
    assert not outcome.may_have_run
    assert ("retry-after", "0.7") in outcome.answer.headers
    assert len(run.peers()) == 1


def test_request_that_must_not_run_twice_is_not_repeated_after_a_lost_connection():
    run = Run(LOST, SERVED)
    outcome = run.send("/orders/1")
    assert outcome.answer is None
    assert outcome.may_have_run
    assert len(run.peers()) == 1


def test_request_that_may_run_twice_is_repeated_within_its_attempts():
    run = Run(LOST, SERVED)
    assert run.send().answer.status == 200
    assert run.header(1).deliveries == 1
    run = Run(LOST, LOST, SERVED)
    assert run.send().may_have_run
    assert len(run.peers()) == kit.RULE.attempts


def test_request_that_no_gateway_got_was_not_run():
    run = Run(NOT_CONNECTED)
    outcome = run.send("/orders/1")
    assert outcome.answer is None
    assert not outcome.may_have_run
    assert len(set(run.peers())) == 4


def test_request_that_may_have_run_before_is_not_refused_as_not_run():
    outcome = Run(NOT_CONNECTED).send(deliveries=1, may_have_run=True)
    assert outcome.may_have_run


def test_request_whose_caller_has_left_is_sent_through_no_further_gateway():
    run = Run(None, SERVED)
    outcomes = []
    sent = run.start().addCallback(outcomes.append)
    sent.cancel()
    assert len(run.peers()) == 1
    assert run.client.cancelled == 1
    assert outcomes[0].answer is None
    assert outcomes[0].may_have_run


def test_slow_endpoint_is_not_held_against_the_gateway_that_asked_it():
    run = Run(LATE, SERVED, helpers=1)
    run.send("/orders/1")
    assert run.send("/orders/2").answer.status == 200


@pytest.mark.parametrize("outcome", [LOST, LATE], ids=["lost", "late"])
def test_request_that_a_gateway_has_sent_on_is_not_held_against_its_service(outcome):
    run = Run(outcome)
    run.send("/orders/1")
    call = run.reader.read(head(), run.clock.monotonic())
    assert run.proxy.may_reach(call)


def test_service_that_no_gateway_can_reach_is_not_asked_for_again_at_once():
    run = Run(refused("upstream-unreachable"))
    run.send()
    assert not run.proxy.may_reach(run.reader.read(head(), run.clock.monotonic()))


def test_answer_that_no_gateway_made_is_not_passed_on():
    outcome = Run(kit.answer(200, b"other")).send("/orders/1")
    assert outcome.answer is None
    assert outcome.may_have_run


def test_truncated_answer_is_not_passed_on():
    outcome = Run(kit.answer(200, "cut short", cardamomloft_outcome="complete")).send("/orders/1")
    assert outcome.answer is None
    assert outcome.may_have_run


def test_body_of_a_request_with_homes_is_sent_only_there():
    rules = (kit.RULE._replace(homes=HOMES), kit.ORDERS._replace(homes=frozenset({"south"})))
    run = Run(SERVED, rules=rules)
    assert run.send().answer.status == 200
    assert run.peers() == ["e-4"]
    assert run.send("/orders/1").answer is None
    assert run.peers() == ["e-4"]


# Helpers that do not answer.


def accepts(connected: bool, after: timedelta):
    """Return a probe of helpers, and the addresses that it is asked to probe."""
    probed = []

    def probe(reactor, address, timeout):
        probed.append(address)
        result = Deferred()
        reactor.callLater(min(after, timeout).total_seconds(), result.callback, connected)
        return result

    return probe, probed


def run_with_probes(*outcomes, connected=False, after=PROBE_TIMEOUT, **options):
    run = Run(*outcomes, **options)
    run.proxy.silence._probe, run.probed = accepts(connected, after)
    return run


def test_request_is_sent_through_a_second_gateway_beside_a_silent_one():
    run = run_with_probes(None, SERVED)
    outcomes = []
    run.start().addCallback(outcomes.append)
    run.time.advance(SILENCE_TIME)
    assert len(run.peers()) == 1
    run.time.advance(PROBE_TIMEOUT + 50 * MS)
    assert outcomes[0].answer.status == 200
    first, second = run.peers()
    assert first != second
    assert run.header(1).deliveries == 1
    # Only an answer ends the hop to the silent gateway.
    assert run.client.cancelled == 1


def test_answer_of_a_gateway_that_was_silent_counts_if_the_other_does_not_help():
    for other in (refused("overloaded"), refused("shed"), LATE):
        run = run_with_probes(None, other)
        waiting = run.client.pending
        outcomes = []
        run.start().addCallback(outcomes.append)
        run.time.advance(SILENCE_TIME + PROBE_TIMEOUT + 50 * MS)
        assert len(run.peers()) == 2
        assert not outcomes
        waiting[0].callback(SERVED)
        assert outcomes[0].answer.status == 200


def test_error_of_an_endpoint_ends_no_other_hop_and_counts_only_without_a_good_answer():
    for last, status in ((SERVED, 200), (LATE, 500)):
        run = run_with_probes(None, kit.answer(500, b"failed", cardamomloft_outcome="complete"))
        outcomes = []
        run.start().addCallback(outcomes.append)
        run.time.advance(SILENCE_TIME + PROBE_TIMEOUT + 50 * MS)
        assert len(run.peers()) == 2
        assert not run.client.cancelled
        run.client.pending[0].callback(last)
        assert outcomes[0].answer.status == status


def test_request_that_must_not_run_twice_stays_at_a_silent_gateway():
    run = run_with_probes(None, SERVED)
    outcomes = []
    run.start("/orders/1").addCallback(outcomes.append)
    run.time.advance(5 * (SILENCE_TIME + PROBE_TIMEOUT))
    assert len(run.peers()) == 1
    assert not run.client.cancelled
    run.client.pending[0].callback(SERVED)
    assert outcomes[0].answer.status == 200


@pytest.mark.parametrize(("connected", "after"), [(True, 20 * MS), (False, 20 * MS)])
def test_gateway_that_accepts_or_refuses_connections_is_waited_for(connected, after):
    run = run_with_probes(None, SERVED, connected=connected, after=after)
    run.start()
    run.time.advance(5 * SILENCE_TIME)
    assert len(run.peers()) == 1


def test_gateway_that_has_answered_others_is_not_probed():
    run = run_with_probes(None, helpers=1)
    for _ in range(8):
        run.start()
        run.time.advance(SILENCE_TIME / 2)
        run.client.pending[-1].callback(SERVED)
    assert not run.probed


def test_requests_at_a_gateway_share_its_probes():
    run = run_with_probes(None, helpers=1)
    for _ in range(8):
        run.start()
    run.time.advance(SILENCE_TIME + PROBE_TIMEOUT)
    assert len(run.probed) == 1


def test_silent_gateway_gets_no_further_request_for_a_second():
    run = run_with_probes(None)
    run.start("/orders/1")
    run.time.advance(SILENCE_TIME + PROBE_TIMEOUT + 50 * MS)
    run.start("/orders/2")
    run.start("/orders/3")
    assert run.peers()[0] not in run.peers()[1:]


def test_no_second_gateway_is_asked_beyond_the_attempts():
    run = run_with_probes(None)
    run.start(deliveries=1)
    run.time.advance(5 * (SILENCE_TIME + PROBE_TIMEOUT))
    assert len(run.peers()) == kit.RULE.attempts - 1


# The gateway that is asked.


class Asked:
    """A gateway that gets requests of others."""

    def __init__(self, plan: RoutePlan | None = None) -> None:
        listing = kit.listing(kit.registration(1))
        self.run = GatewayHarness(kit.FakeControl(Ok(listing)))
        if plan is not None:
            self.run.gateway.plan.replace(plan)
        self.listener = self.run.gateway.fallback.listener

    def ask(self, path="/menus/7", *, result=None, **changes):
        token = self.listener._token
        header = ProxyHeader(token, "e-0", "10.0.0.9", "menus", 1, 0, False)
        header = header._replace(**changes)
        request_head = head(path, (PROXY_HEADER, header.encode()))
        self.left: Deferred[None] = Deferred()
        results = []
        answered = self.listener.handle(request_head, RequestBody(0, self), self.left)
        answered.addBoth(results.append)
        return results[0] if results else None

    @property
    def sent(self):
        return self.run.client.sent


def reason_of(answer) -> str:
    return dict(answer.headers).get("Cardamomloft-Reason", "")


def test_endpoint_gets_the_request_of_another_gateway_without_its_header():
    asked = Asked()
    assert asked.ask().status == 200
    assert PROXY_HEADER not in dict(asked.sent[0].headers)


@pytest.mark.parametrize(
    ("changes", "reason"),
    [
        ({"token": "wrong"}, "not-a-peer"),
        ({"token": ""}, "not-a-peer"),
        ({"configuration": 2}, "entry-not-ready"),
    ],
)
def test_request_is_refused_and_nothing_sent(changes, reason):
    asked = Asked()
    assert reason_of(asked.ask(**changes)) == reason
    assert not asked.sent


def test_requests_of_others_are_refused_beyond_a_number_and_a_size():
    asked = Asked()
    asked.listener.app.in_flight = listener.MAX_IN_FLIGHT + 1
    assert reason_of(asked.ask()) == "entry-busy"
    asked.listener.app.in_flight = 0
    asked.listener._body_bytes = listener.MAX_BODY_BYTES + 1
    assert reason_of(asked.ask()) == "entry-busy"
    assert not asked.sent


def test_header_that_is_missing_malformed_or_repeated_is_refused():
    for pairs in ([], [(PROXY_HEADER, "nonsense")], [(PROXY_HEADER, "token=a")] * 2):
        assert isinstance(read_proxy_header(head("/", *pairs)), Refusal)
    stripped = without_proxy_header(head("/", (PROXY_HEADER, "x"), ("x-other", "y")))
    assert dict(stripped.headers)["x-other"] == "y"
    assert PROXY_HEADER not in dict(stripped.headers)


def test_request_is_refused_outside_of_its_home_regions():
    asked = Asked(kit.plan(2, [kit.RULE._replace(homes=HOMES)]))
    assert reason_of(asked.ask(configuration=2)) == "entry-not-ready"
    assert not asked.sent


def test_gateway_without_links_of_its_own_refuses_and_asks_no_third_one():
    asked = Asked()
    record = EntryRecord("e-9", "10.0.0.9:80", "a", "east", "", "10.0.0.9:81", "secret")
    asked.run.gateway.entries.add(record, 0 * MS)
    asked.run.client.outcomes[0] = NOT_CONNECTED
    answer = asked.ask("/orders/1")
    assert reason_of(answer) == "upstream-unreachable"
    assert len(asked.sent) == 1
    assert not asked.run.gateway.metrics.counters["proxied.sent"]


def test_request_is_not_sent_through_another_gateway_because_an_endpoint_is_at_its_limit():
    asked = Asked()
    record = EntryRecord("e-9", "10.0.0.9:80", "a", "east", "", "10.0.0.9:81", "secret")
    asked.run.gateway.entries.add(record, 0 * MS)
    asked.run.client.outcomes[0] = LIMIT_REACHED
    assert asked.run.send_request().status == 503
    assert not asked.run.gateway.metrics.counters["proxied.sent"]


def test_stopping_gateway_serves_until_it_closes():
    asked = Asked()
    asked.run.gateway.stop()
    asked.run.time.advance(20 * MS)
    assert asked.ask().status == 200
    asked.run.time.advance(4000 * MS)
    assert reason_of(asked.ask()) == "entry-is-stopping"


def test_request_counts_once_for_the_retry_budget_and_a_repeat_is_charged():
    asked = Asked()
    budget = asked.run.gateway._budgets.of_service("menus")
    asked.ask()
    assert len(budget._requests) == 1
    asked.ask(counted=True)
    assert len(budget._requests) == 1
    assert not budget._retries
    asked.run.time.advance(10_000 * MS)
    asked.ask(deliveries=1, counted=True)
    assert len(budget._retries) == 1


def test_endpoint_is_released_when_the_asking_gateway_leaves():
    asked = Asked()
    asked.run.client.outcomes[0] = None
    assert asked.ask() is None
    asked.left.callback(None)
    assert asked.run.client.cancelled == 1


def test_cut_off_gateway_is_not_asked_and_not_named():
    asked = Asked()
    gateway = asked.run.gateway
    gateway.fallback.links._reachability.end_probe(0 * MS, connected=False)
    gateway.fallback.report()
    assert gateway.notice_handler.cut_off.names() == {"e-1"}
    assert reason_of(asked.ask()) == "upstream-unreachable"
    assert not asked.sent
