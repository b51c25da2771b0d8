"""The assembled entry on a fake clock: starts, outages, stops and status pages."""

import json
import random
import re
from collections import Counter
from datetime import timedelta
from pathlib import Path

import pytest
from cardamomloft.callers.exchange import RequestHead
from cardamomloft.core.changes import canonical, next_record
from cardamomloft.core.clock import ManualClock
from cardamomloft.core.membership import VmRow
from cardamomloft.core.messages import Digest, DocumentReply, DocumentRequest
from cardamomloft.core.model import Incarnation, Refusal, RefusalReason
from cardamomloft.core.replication import pack
from cardamomloft.entry.adapters import Adapters
from cardamomloft.entry.node import EntryNode
from cardamomloft.store.failures import StoreFailure
from cardamomloft.store.keyvalue import Record
from expression import Error, Ok
from twisted.internet.defer import Deferred, succeed
from twisted.internet.task import Clock
from twisted.python.failure import Failure

UNAVAILABLE = Error(StoreFailure(False, "unavailable"))
OPERATING_PAGE = Path(__file__).parents[3] / "docs" / "operating.md"
SETTINGS = {
    "seat": "e1",
    "zone": "a",
    "callers": "127.0.0.1:7101",
    "peers": "127.0.0.1:7201",
    "operators": "127.0.0.1:7301",
    "store": "http://127.0.0.1:8500",
    "vms": "http://127.0.0.1:8501",
}


def document(entries=("e1",), **tables):
    def entry(number):
        ports = {"callers": 71, "peers": 72, "operators": 73}
        return {"zone": "a"} | {k: f"127.0.0.1:{p}0{number}" for k, p in ports.items()}

    row = {"zone": "a", "address": "127.0.0.1:9000", "slots": 4, "connections": 90}
    service = {"prefix": "/m", "deadline_ms": 1000, "max_deadline_ms": 2000}
    service["upstreams"] = {"m-1": row}
    places = [{"region": "r1", "weight": 1}]
    return {
        "format": 1,
        "deployment": "trial",
        "regions": {"r1": ["a"]},
        "entries": {seat: entry(seat[1:]) for seat in entries},
        "services": {"menus": service},
        "clients": {"default": "r1"},
        "rules": [{"name": "all", "when": {}, "then": {"places": places}}],
        **tables,
    }


class FakeStore:
    def __init__(self):
        self.unavailable = False
        self.values = {}
        self.calls = Counter()

    def put(self, key, value):
        version = self.values[key].version if key in self.values else 0
        self.values[key] = Record(value, version + 1)

    def record(self, number, doc):
        row = next_record(None, doc, "ann", "now", "why", f"c{number}", above=number - 1)
        self.put("config/current", canonical(row))

    def get(self, key):
        self.calls["get"] += 1
        return succeed(UNAVAILABLE if self.unavailable else Ok(self.values.get(key)))

    def compare_and_swap(self, key, value, version):
        if self.unavailable:
            return succeed(UNAVAILABLE)
        swapped = version == (self.values[key].version if key in self.values else 0)
        if swapped:
            self.put(key, value)
        return succeed(Ok(swapped))

    def watch(self, key, index, wait):
        return Deferred()

    def create_lease(self, ttl):
        return succeed(UNAVAILABLE if self.unavailable else Ok("lease"))

    def release(self, lease):
        return succeed(Ok(None))


class FakePeers:
    def __init__(self):
        self.sent = []
        self.counters = Counter()
        self.closed = False
        self.denied = 0

    def send(self, address, message, to=None):
        self.sent.append((address, message))

    def close(self):
        self.closed = True


class FakeVms:
    def __init__(self):
        self.rows = None

    def fetch(self):
        return succeed(Error("unavailable") if self.rows is None else Ok(self.rows))


class FakeClient:
    def __init__(self):
        self.passing = succeed(None)

    def poll(self, endpoint):
        return succeed(Error("no report"))

    async def passed_on(self):
        await self.passing


class Bench:
    """A node with fake adapters and peers; `start` opens no sockets."""

    def __init__(self, store=None, **settings):
        self.clock, self.reactor = ManualClock(), Clock()
        self.store = store or FakeStore()
        cfg = {**SETTINGS, **settings}
        self.vms = FakeVms()
        adapters = Adapters(self.store, self.vms, FakeClient())
        self.node = node = EntryNode(self.reactor, cfg, self.clock, random.Random(1), adapters)
        node.peers = self.peers = FakePeers()
        self.ended = []
        node.stopped.addCallbacks(self.ended.append, lambda f: self.ended.append(f.type))

    def start(self):
        coroutine = self.node._begin()
        Deferred.fromCoroutine(coroutine).addErrback(self.node._on_fault)
        self.pass_time(0.1)
        return self

    def pass_time(self, seconds):
        for _ in range(round(seconds * 40)):
            self.clock.advance(timedelta(milliseconds=25))
            self.reactor.advance(0.025)

    def owned(self):
        return sum(row.own for row in self.node.shares.rows() if row.key == "slots/m-1")

    def receive(self, message, seat="e2", number="1"):
        self.node._on_message(Incarnation(seat, number), message)

    def digest(self, revision, state="ready"):
        return Digest(revision, revision, state, "", 0)

    def seat_row(self):
        return json.loads(self.store.values["seat/e1"].value)

    def refusal_reason(self, path="/m/1"):
        head = RequestHead("GET", path, "", (), "127.0.0.1", 0, False)
        answers = []
        self.node.handle(head, None, Deferred()).addCallback(answers.append)
        return {k.lower(): v for k, v in answers[0].headers}["cardamomloft-reason"]


@pytest.fixture
def store():
    store = FakeStore()
    store.record(3, document())
    return store


def test_the_first_incarnation_is_recorded_and_owns_its_shares(store):
    bench = Bench(store).start()
    assert bench.node.ready() and bench.owned() == 4
    assert not bench.seat_row()["stopped"]


def test_after_a_crash_shares_are_quarantined_until_the_predecessor_has_ended(store):
    Bench(store).start()
    bench = Bench(store).start()
    assert bench.node.ready() and bench.owned() == 0
    bench.pass_time(3)
    assert bench.owned() == 0
    bench.pass_time(10)
    assert bench.owned() == 4


def test_no_share_is_owned_before_the_incarnation_is_recorded(store):
    """Otherwise its successor would not wait for its uses and loans to end."""
    bench = Bench(store)
    compare_and_swap = store.compare_and_swap
    store.compare_and_swap = lambda *args: succeed(UNAVAILABLE)
    bench.start()
    bench.pass_time(30)
    assert bench.node.router.revision == 3 and not bench.node.seat.recorded
    assert bench.owned() == 0
    store.compare_and_swap = compare_and_swap
    bench.pass_time(30)
    assert bench.node.seat.recorded and bench.owned() == 4
    assert bench.node.ready()


def test_without_a_configuration_every_request_is_refused(store):
    store.unavailable = True
    bench = Bench(store).start()
    assert not bench.node.ready()
    assert bench.refusal_reason() == RefusalReason.NOT_READY
    assert isinstance(bench.node.lookup("127.0.0.1"), Refusal)
    store.unavailable = False
    bench.pass_time(2)
    assert bench.node.ready() and not isinstance(bench.node.lookup("127.0.0.1"), Refusal)


def test_with_the_store_unavailable_the_configuration_comes_from_a_peer(store):
    store.unavailable = True
    bench = Bench(store, peer_seeds=["127.0.0.1:7202"]).start()
    requests = [m for address, m in bench.peers.sent if address == "127.0.0.1:7202"]
    assert any(isinstance(message, DocumentRequest) for message in requests)
    bench.receive(bench.digest(3))
    bench.receive(DocumentReply(3, pack(document(("e1", "e2")))))
    bench.pass_time(1)
    bench.receive(bench.digest(3))
    bench.pass_time(1)
    assert bench.node.status_page.status()["revision"] == 3 and bench.node.ready()
    assert bench.owned() == 0


def test_an_older_revision_is_never_put_in_force(store):
    bench = Bench(store).start()
    older = document(deployment="older")
    bench.receive(DocumentReply(2, pack(older)))
    store.record(2, older)
    Deferred.fromCoroutine(bench.node._read_configuration())
    bench.pass_time(1)
    assert bench.node.router.revision == 3
    assert bench.node.router.document["deployment"] == "trial"


def test_two_documents_with_one_revision_number_end_the_process(store):
    bench = Bench(store).start()
    store.record(3, document(deployment="other"))
    Deferred.fromCoroutine(bench.node._read_configuration()).addErrback(bench.node._on_fault)
    bench.pass_time(1)
    assert bench.ended == [AssertionError]
    assert bench.node.router.document["deployment"] == "trial"


def test_after_a_pause_nothing_is_served_until_a_peer_confirms(store):
    store.record(4, document(("e1", "e2")))
    bench = Bench(store).start()
    bench.receive(bench.digest(4))
    assert bench.node.ready()
    bench.clock.advance(timedelta(seconds=30))
    bench.reactor.advance(0.025)
    assert bench.refusal_reason() == RefusalReason.NOT_READY
    assert isinstance(bench.node.lookup("127.0.0.1"), Refusal)
    bench.peers.sent.clear()
    bench.node._send_digests()
    assert {m.state for _, m in bench.peers.sent if isinstance(m, Digest)} == {"starting"}
    bench.pass_time(0.5)
    bench.receive(bench.digest(4))
    bench.pass_time(0.1)
    assert bench.node.ready()


def test_a_planned_stop_leaves_look_ups_first_and_is_recorded_as_clean(store):
    store.record(4, document(("e1", "e2")))
    bench = Bench(store).start()
    bench.receive(bench.digest(4))
    bench.node.stop()
    bench.pass_time(0.1)
    assert bench.node.lifecycle.state() == "leaving" and not bench.node.ready()
    assert bench.node.lifecycle.admits()
    assert [m.state for _, m in bench.peers.sent if isinstance(m, Digest)][-1] == "leaving"
    assert "e1" not in [entry["name"] for entry in bench.node.lookup("127.0.0.1")["entries"]]
    bench.pass_time(8)
    assert bench.ended == [None] and bench.peers.closed
    assert bench.seat_row()["stopped"]
    assert bench.refusal_reason() == RefusalReason.STOPPING


def test_a_planned_stop_waits_for_requests_in_flight(store):
    bench = Bench(store).start()
    bench.node.app.in_flight = 1
    bench.node.stop()
    bench.pass_time(60)
    assert bench.ended == [] and bench.node.lifecycle.state() == "closing"
    assert not bench.seat_row()["stopped"]
    bench.node.app._request_finished()
    bench.pass_time(5)
    assert bench.ended == [None] and bench.seat_row()["stopped"]


def test_a_stop_waits_for_acknowledged_bodies_that_are_being_passed_on(store):
    """Guards against processes that end with the rest of an acknowledged upload in memory."""
    bench = Bench(store).start()
    passing = bench.node.client.passing = Deferred()
    bench.node.stop()
    bench.pass_time(10)
    assert bench.ended == []
    passing.callback(None)
    bench.pass_time(5)
    assert bench.ended == [None]


def test_a_stop_waits_for_operations_of_disconnected_callers(store):
    bench = Bench(store).start()
    bench.node.executor.running = 1
    bench.node.stop()
    bench.pass_time(10)
    assert bench.ended == []
    bench.node.executor.running = 0
    bench.pass_time(5)
    assert bench.ended == [None]


def test_a_stop_at_its_hard_limit_is_not_recorded_as_clean(store):
    bench = Bench(store, hard_stop_ms=5000).start()
    bench.node.app.in_flight = 1
    bench.node.stop()
    bench.pass_time(6)
    assert bench.ended == [None] and not bench.seat_row()["stopped"]


def test_a_stop_ends_with_the_store_unavailable(store):
    bench = Bench(store).start()
    store.unavailable = True
    bench.node.stop()
    bench.pass_time(10)
    assert bench.ended == [None] and not bench.seat_row()["stopped"]


def test_a_stop_without_a_configuration_ends(store):
    store.unavailable = True
    bench = Bench(store).start()
    bench.node.stop()
    bench.pass_time(10)
    assert bench.ended == [None]


def test_an_unavailable_vm_list_marks_no_entry_as_gone(store):
    store.record(4, document(("e1", "e2")))
    bench = Bench(store).start()
    bench.receive(bench.digest(4))
    vms = bench.vms
    vms.rows = [VmRow(seat, "live", bench.clock.utcnow()) for seat in ("e1", "e2")]
    bench.pass_time(3)
    vms.rows = None
    bench.pass_time(60)
    assert bench.node.membership.gone_seats() == frozenset()
    assert bench.node.metrics.counters["vm-list-failures"] > 10
    assert bench.node.status_page.status()["vms_age_ms"] > 50_000


def test_an_exception_in_a_tick_is_counted_and_the_ticks_continue(store):
    bench = Bench(store).start()
    tick, bench.node.router.steering.tick = bench.node.router.steering.tick, lambda: 1 / 0
    bench.pass_time(0.5)
    assert bench.node.metrics.counters["faults"] >= 4 and bench.ended == []
    bench.node.router.steering.tick = tick
    before = bench.node.metrics.counters["faults"]
    bench.pass_time(0.2)
    assert bench.node.metrics.counters["faults"] == before


def test_a_broken_invariant_ends_the_process(store):
    bench = Bench(store).start()

    def broken():
        raise AssertionError("a contradiction")

    bench.node.router.steering.tick = broken
    bench.pass_time(0.2)
    assert bench.ended == [AssertionError]


def test_a_broken_invariant_during_a_stop_ends_the_process_once(store):
    bench = Bench(store).start()
    bench.node.stop()
    bench.pass_time(0.1)
    bench.node._on_fault(Failure(AssertionError("a contradiction")))
    bench.pass_time(10)
    assert bench.ended == [AssertionError] and not bench.seat_row()["stopped"]


def drain_row(bench, name):
    rows = bench.node.status_page.status()["drains"]
    return next(row for row in rows if row["name"] == name)


def test_a_drained_entry_is_done_only_without_requests_in_flight(store):
    drains = {seat: {"kind": "entry", "since": "2026-01-01T00:00:00Z"} for seat in ("e1", "e2")}
    store.record(4, document(("e1", "e2"), drains=drains))
    bench = Bench(store).start()
    bench.receive(bench.digest(4))
    bench.node.app.in_flight = 2
    own, other = drain_row(bench, "e1"), drain_row(bench, "e2")
    assert (own["kind"], own["in_flight"], own["done"]) == ("entry", 2, False)
    # The end of its requests is unknown; 0 would be shown as an expected drain time of zero.
    assert own["expected_end_ms"] != 0
    assert (other["in_flight"], other["done"]) == (0, True)
    bench.node.app.in_flight = 0
    assert drain_row(bench, "e1")["done"]
    assert bench.node.ready()


def test_a_drained_entry_is_not_named_to_callers(store):
    drains = {"e1": {"kind": "entry", "since": "2026-01-01T00:00:00Z"}}
    store.record(4, document(("e1", "e2"), drains=drains))
    bench = Bench(store).start()
    bench.receive(bench.digest(4))
    bench.vms.rows = [VmRow(seat, "live", bench.clock.utcnow()) for seat in ("e1", "e2")]
    bench.pass_time(3)
    bench.receive(bench.digest(4))
    assert [entry["name"] for entry in bench.node.lookup("127.0.0.1")["entries"]] == ["e2"]


def test_the_names_on_the_operating_page_are_those_of_the_metrics_page(store):
    bench = Bench(store).start()
    for reason in RefusalReason:
        bench.node.metrics.count(f"refused.{reason}")
    bench.node.metrics.count("unknown")
    shown = set(re.findall(r"^(\w+)", bench.node.status_page.metrics_text(), re.MULTILINE))
    named = set(re.findall(r"cardamomloft_\w+", OPERATING_PAGE.read_text(encoding="utf-8")))
    assert named and named <= shown
