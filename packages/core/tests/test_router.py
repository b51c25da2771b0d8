"""One request's way through the decisions, with the real steering, admission and shares."""

import random
from datetime import timedelta

import pytest
from cardamomloft.core.admission import Admission
from cardamomloft.core.clock import ManualClock
from cardamomloft.core.document import Revision
from cardamomloft.core.model import Incarnation, Priority, Refusal, RefusalReason, Request
from cardamomloft.core.router import Dispatch, Dropped, Router, Waiting
from cardamomloft.core.shares import Shares
from cardamomloft.core.steering import Steering

REFUSED = Refusal(RefusalReason.UNREACHABLE)


def upstream(zone, slots=1, connections=90):
    return {"zone": zone, "address": "127.0.0.1:9000", "slots": slots, "connections": connections}


def document(upstreams, **tables):
    service = {"prefix": "/m", "deadline_ms": 1000, "max_deadline_ms": 5000}
    service |= {"shift_cap_percent_per_s": 100, "upstreams": upstreams}
    places = [{"region": "r1", "weight": 1}]
    rules = [{"name": "all", "when": {}, "then": {"places": places, "attempts": 3}}]
    return {
        "regions": {"r1": ["a", "b"]},
        "entries": {"e1": {"zone": "a"}},
        "services": {"menus": service},
        "clients": {"default": "r1"},
        "rules": rules,
        **tables,
    }


class Bench:
    def __init__(self, upstreams, max_queued=64):
        self.clock = ManualClock()
        self.shares = Shares(Incarnation("e1", "1"), self.clock)
        steering = Steering("a", "r1", self.clock, random.Random(1), self.shares.free)
        admission = Admission(self.clock, max_queued=max_queued)
        self.router = Router("a", "r1", self.clock, self.shares, steering, admission)
        self.number = 0
        self.configure(document(upstreams))

    def configure(self, doc):
        self.number += 1
        self.router.configure(Revision(self.number, doc), quarantine=False)

    def submit(self, priority=Priority.NORMAL, idempotent=True, seconds=2.0):
        deadline = self.clock.monotonic() + timedelta(seconds=seconds)
        req = Request("menus", "GET", "/m", None, None, {}, priority, idempotent, deadline)
        return self.router.submit(req._replace(headers={"x-deadline-ms": "1"}))

    def finish(self, dispatch):
        self.router.finish(dispatch, ok=True, latency=timedelta(milliseconds=5))

    def used(self):
        return {row.key: row.used for row in self.shares.rows() if row.used}


def test_a_request_takes_all_its_holds_or_none():
    bench = Bench({"m-1": upstream("a", slots=4, connections=1)})
    assert isinstance(bench.submit().ok, Dispatch)
    held = bench.used()
    assert held == {"slots/m-1": 1, "connections/m-1": 1}
    assert isinstance(bench.submit().ok, Waiting)
    assert bench.used() == held


def test_holds_are_released_exactly_once():
    bench = Bench({"m-1": upstream("a", slots=2)})
    first, second = bench.submit().ok, bench.submit().ok
    bench.finish(first)
    bench.finish(first)
    assert bench.used() == {"slots/m-1": 1, "connections/m-1": 1}
    assert [d.ticket.number for d in bench.router.in_flight()] == [second.ticket.number]
    assert isinstance(bench.submit().ok, Dispatch)
    assert isinstance(bench.submit().ok, Waiting)


def test_the_higher_priority_goes_first_and_equals_in_turn():
    bench = Bench({"m-1": upstream("a")})
    running = bench.submit().ok
    orders = [Priority.BULK, Priority.NORMAL, Priority.NORMAL, Priority.CRITICAL]
    queued = [bench.submit(p).ok.ticket.number for p in orders]
    served = []
    for _ in queued:
        bench.finish(running)
        (running,) = bench.router.pump()
        served.append(running.ticket.number)
    assert served == [queued[3], queued[1], queued[2], queued[0]]


def test_an_arrival_overtakes_only_lower_priorities():
    bench = Bench({"m-1": upstream("a", slots=2)})
    bench.submit()
    running = bench.submit().ok
    bench.submit(Priority.NORMAL)
    bench.finish(running)
    assert isinstance(bench.submit(Priority.NORMAL).ok, Waiting)
    assert isinstance(bench.submit(Priority.CRITICAL).ok, Dispatch)


def test_a_displaced_request_is_told_at_once_and_only_once():
    bench = Bench({"m-1": upstream("a")}, max_queued=1)
    running = bench.submit().ok
    bulk = bench.submit(Priority.BULK).ok.ticket
    critical = bench.submit(Priority.CRITICAL).ok.ticket
    (dropped,) = bench.router.pump()
    assert isinstance(dropped, Dropped) and dropped.ticket.number == bulk.number
    assert dropped.refusal.reason is RefusalReason.OVERLOAD
    bench.router.cancel(bulk.number)
    bench.finish(running)
    (dispatch,) = bench.router.pump()
    assert dispatch.ticket.number == critical.number
    assert bench.router.pump() == []


def test_a_queued_caller_that_leaves_takes_no_slot():
    bench = Bench({"m-1": upstream("a")})
    running = bench.submit().ok
    waiting = bench.submit().ok.ticket
    bench.router.cancel(waiting.number)
    bench.finish(running)
    assert bench.router.pump() == []
    assert bench.used() == {} and not bench.router.queued()


def test_a_queued_request_past_its_deadline_is_dropped_as_not_run():
    bench = Bench({"m-1": upstream("a")})
    bench.submit()
    waiting = bench.submit(seconds=0.5).ok.ticket
    bench.clock.advance(timedelta(seconds=0.6))
    (dropped,) = bench.router.pump()
    assert (dropped.ticket.number, dropped.refusal.reason) == (
        waiting.number,
        "cannot-finish-in-time",
    )


@pytest.mark.parametrize(
    ("idempotent", "not_run", "repeated"),
    [(True, False, True), (True, True, True), (False, True, True), (False, False, False)],
)
def test_only_what_is_idempotent_or_provably_not_run_is_repeated(idempotent, not_run, repeated):
    bench = Bench({"m-1": upstream("a"), "m-2": upstream("a")})
    first = bench.submit(idempotent=idempotent).ok
    bench.finish(first)
    again = bench.router.retry(first, not_run=not_run, refusal=REFUSED)
    assert again.is_ok() == repeated
    if repeated:
        assert again.ok.endpoint.name != first.endpoint.name
    else:
        assert again.error == REFUSED and bench.used() == {}


def test_retries_end_with_the_attempts_and_with_the_budget():
    bench = Bench({f"m-{n}": upstream("a") for n in range(6)})
    dispatch = bench.submit().ok
    for _ in range(2):
        bench.finish(dispatch)
        dispatch = bench.router.retry(dispatch, not_run=True, refusal=REFUSED).ok
    bench.finish(dispatch)
    assert bench.router.retry(dispatch, not_run=True, refusal=REFUSED).error == REFUSED
    granted = 0
    for _ in range(30):
        dispatch = bench.submit().ok
        bench.finish(dispatch)
        again = bench.router.retry(dispatch, not_run=True, refusal=REFUSED)
        granted += again.is_ok()
        if again.is_ok():
            bench.finish(again.ok)
    # Ten are saved up at the start, two of them spent above; each ten requests earn one.
    assert granted == 8 + 3


def test_a_drain_keeps_queued_requests_off_the_place_they_waited_for():
    upstreams = {"m-1": upstream("a"), "m-2": upstream("b")}
    bench = Bench(upstreams)
    running = [bench.submit().ok, bench.submit().ok]
    queued = [bench.submit().ok.ticket.number for _ in range(2)]
    since = bench.clock.utcnow().isoformat()
    bench.configure(document(upstreams, drains={"a": {"kind": "zone", "since": since}}))
    for dispatch in running:
        bench.finish(dispatch)
    out = bench.router.pump()
    bench.clock.advance(timedelta(seconds=1.2))
    for _ in range(4):
        for dispatch in bench.router.in_flight():
            bench.finish(dispatch)
        out += bench.router.pump()
    sent = [item for item in out if isinstance(item, Dispatch)]
    assert {dispatch.endpoint.zone for dispatch in sent} == {"b"}
    # What has to wait for the cap of the shift may be refused instead; none is left or told twice.
    refused = [item.refusal.reason for item in out if isinstance(item, Dropped)]
    assert set(refused) <= {RefusalReason.CAP}
    assert sorted(item.ticket.number for item in out) == queued


def test_a_service_that_is_taken_out_leaves_no_request_behind():
    bench = Bench({"m-1": upstream("a")})
    running = bench.submit().ok
    waiting = bench.submit().ok.ticket
    bare = document({})
    bare["services"] = {"other": {**bare["services"]["menus"], "prefix": "/o"}}
    bench.configure(bare)
    bench.finish(running)
    out = bench.router.pump()
    bench.clock.advance(timedelta(seconds=2))
    out += bench.router.pump()
    assert [(type(item), item.ticket.number) for item in out] == [(Dropped, waiting.number)]
    bench.router.report_demand()
    assert bench.used() == {}
