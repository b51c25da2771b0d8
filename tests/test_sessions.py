"""Multi-party sessions whose transcripts are compared with snapshots.

Clocks are manual, random draws are seeded, and there are no sockets. Each session also asserts its
guarantee directly, so that an updated snapshot cannot hide a violation.
"""

import itertools
import json
import random
from collections import Counter
from datetime import UTC, datetime, timedelta

from cardamomloft.callers.body import RequestBody
from cardamomloft.callers.exchange import RequestHead
from cardamomloft.core.changes import (
    Attempt,
    Conflict,
    ReadCurrent,
    Recorded,
    Report,
    Swap,
    confirm_acceptance,
    next_record,
)
from cardamomloft.core.clock import ManualClock
from cardamomloft.core.ledger import KeptAnswer, Ledger
from cardamomloft.core.limits import Limit, LimitKind
from cardamomloft.core.loans import RENEWAL_BITS
from cardamomloft.core.membership import Membership
from cardamomloft.core.messages import (
    Digest,
    DocumentReply,
    DocumentRequest,
    LoanGrant,
    LoanRecall,
    LoanRequest,
    LoanReturn,
)
from cardamomloft.core.model import Incarnation, Priority, Request
from cardamomloft.core.operations import OperationIds
from cardamomloft.core.replication import Replica, pack
from cardamomloft.core.rules import RuleSet
from cardamomloft.core.shares import Shares
from cardamomloft.core.steering import Steering
from cardamomloft.entry.executor import FORWARDED_BY_HEADER, Executor
from cardamomloft.runtime.metrics import Metrics
from cardamomloft.upstreams.sends import UpstreamAnswer
from expression import Ok, Result
from twisted.internet.defer import Deferred, ensureDeferred, succeed

MS = timedelta(milliseconds=1)
SECOND = timedelta(seconds=1)


class Transcript:
    """The events seen by each party, one per line, with the virtual time in seconds."""

    def __init__(self, clock, *parties):
        self.clock = clock
        self._lines = {party: [] for party in parties}

    def add(self, party, text):
        at = self.clock.monotonic().total_seconds()
        self._lines[party].append(f"{at:7.2f}  {text}")

    def __str__(self):
        sections = ["\n".join([f"{party}:", *lines]) for party, lines in self._lines.items()]
        return "\n\n".join(sections) + "\n"


# Orders.


class FakeAnswerBody:
    def __init__(self, content):
        self.content = content

    def collect(self, limit):
        return succeed(Ok(self.content))


class NullFlow:
    def pause_body(self):
        pass

    def resume_body(self):
        pass


class OrderSession:
    """A caller, two entries with real executors, and a fake upstream."""

    def __init__(self):
        self.clock = ManualClock()
        self.record = Transcript(self.clock, "caller", "entry a", "entry b", "upstream")
        self.names, self.current, self.runs, self.starts = {}, {}, [], Counter()
        self.executors, self.members, self.ids = {}, {}, {}
        for seat in "ab":
            self.start(seat, f"{seat}1")

    def start(self, seat, incarnation):
        me = self.current[seat] = Incarnation(seat, incarnation)
        self.record.add(f"entry {seat}", f"starts as {me}")
        ids = self.ids[seat] = OperationIds(me, self.clock, seat.encode() * 32)
        member = self.members[seat] = Membership(me, self.clock)
        rows = {"a": {"zone": "z1"}, "b": {"zone": "z2"}}
        member.configure({"regions": {"r": ["z1", "z2"]}, "entries": rows})
        self.executors[seat] = Executor(
            me,
            self.clock,
            ids,
            Ledger(self.clock, max_operations=100, max_bytes=10_000_000),
            None,
            None,
            FakeUpstream(self, me),
            PeerLink(self, seat),
            Metrics(),
            {"a": "127.0.0.1:1", "b": "127.0.0.1:2"}.get,
            lambda process: member.incarnation_of(process.seat) == process,
            lambda failure: failure.raiseException(),
        )

    def advance(self, seconds):
        self.clock.advance(seconds * SECOND)

    def gossip(self):
        for seat, other in ("ab", "ba"):
            text, left = self.ids[seat].prefix()
            digest = Digest(1, 1, "ready", text, left // MS)
            self.members[other].on_digest(self.current[seat], digest)

    def look_up(self, seat, executor):
        text, left = self.members[seat].prefix_of(executor)
        self.record.add(f"entry {seat}", f"look-up -> executor {executor}, prefix {text}")
        seconds = left.total_seconds()
        self.record.add("caller", f"look-up at {seat} -> {executor}, {text}, {seconds:.2f} s left")
        return text

    def name(self, operation, name):
        self.names[operation] = name
        self.record.add("caller", f"makes {name}: {operation}")
        return operation

    def order(self, seat, operation, *, lost=False):
        """Send an order; with `lost`, the caller's connection is lost before the answer."""
        name = self.names[operation]
        self.record.add("caller", f"{name} to {seat}")
        headers, gone = (("idempotency-key", operation),), Deferred()
        deferred = self.receive(seat, "caller", headers, b"two patties", gone)

        def answered(answer):
            headers_by_name = {key.lower(): value for key, value in answer.headers}
            outcome = headers_by_name["cardamomloft-outcome"]
            self.record.add(f"entry {seat}", f"{name} -> caller: {answer.status} {outcome}")
            detail = answer.body.decode()
            if outcome != "complete":
                detail = json.loads(detail)["detail"]
            text = "the connection is lost" if lost else f"{answer.status} {outcome}: {detail}"
            self.record.add("caller", f"{name} at {seat}: {text}")
            outcomes.append(outcome)

        outcomes = []
        deferred.addCallback(answered)
        return outcomes

    def receive(self, seat, sender, headers, content, gone):
        operation = dict(headers)["idempotency-key"]
        self.record.add(f"entry {seat}", f"{self.names[operation]} <- {sender}")
        deadline = self.clock.monotonic() + 5 * SECOND
        req = Request(
            "pay", "POST", "/pay", None, None, {}, Priority.NORMAL, False, deadline, operation
        )
        head = RequestHead("POST", "/pay", "", headers, "127.0.0.1", len(content), False)
        body = RequestBody(len(content), NullFlow())
        body.data_received(content)
        body.end()
        return ensureDeferred(self.executors[seat].handle(req, head, body, gone))

    def finish(self):
        """Finish the oldest run; answer the process that started it if it still exists."""
        process, operation, response = self.runs.pop(0)
        self.record.add("upstream", f"{self.names[operation]} done: receipt")
        if self.current[process.seat] == process:
            answer = KeptAnswer(201, (("content-type", "text/plain"),), b"receipt")
            self.record.add(f"entry {process.seat}", f"{self.names[operation]} <- upstream: 201")
            response.callback(answer)
        else:
            self.record.add("upstream", f"{process} is gone; nobody takes the answer")


class FakeUpstream:
    """The upstream client of one process."""

    def __init__(self, session, process):
        self.session, self.process = session, process

    def collect(self, req, head, whole):
        name = self.session.names[req.operation]
        self.session.record.add(f"entry {self.process.seat}", f"{name} -> upstream")
        self.session.record.add("upstream", f"{name} from {self.process}: {whole.decode()}")
        self.session.starts[req.operation] += 1
        response = Deferred()
        self.session.runs.append((self.process, req.operation, response))
        return response


class PeerLink:
    """The peer connection of one entry to the other."""

    def __init__(self, session, seat):
        self.session, self.seat = session, seat

    def send(self, sent):
        session, seat = self.session, sent.endpoint.name.removeprefix("entry/")
        name = session.names[dict(sent.headers)["idempotency-key"]]
        assert dict(sent.headers)[FORWARDED_BY_HEADER] == self.seat
        session.record.add(f"entry {self.seat}", f"{name} -> entry {seat}")
        deferred = session.receive(seat, f"entry {self.seat}", sent.headers, sent.body, Deferred())

        def answered(answer):
            session.record.add(f"entry {seat}", f"{name} -> entry {self.seat}: {answer.status}")
            return Ok(
                UpstreamAnswer(
                    answer.status, answer.headers, None, False, FakeAnswerBody(answer.body)
                )
            )

        return deferred.addCallback(answered)


def test_session_of_an_order_whose_answer_is_lost_and_whose_executor_is_replaced(snapshot):
    session = OrderSession()
    session.gossip()
    session.advance(0.5)
    prefix = session.look_up("b", "a")
    first = session.name(f"{prefix}.first-order-00001", "order 1")
    second = session.name(f"{prefix}.second-order-0002", "order 2")

    session.advance(0.1)
    lost_answer = session.order("a", first, lost=True)
    session.advance(0.2)
    joined_answer = session.order("b", first)
    assert lost_answer == joined_answer == [], "the run has not ended"
    session.advance(0.3)
    session.finish()
    session.advance(0.5)
    retried_answer = session.order("b", first)
    assert lost_answer == joined_answer == retried_answer == ["complete"]

    session.advance(1)
    session.order("a", second, lost=True)
    session.advance(0.1)
    session.record.add("caller", "order 2 at a: the connection is lost")
    session.start("a", "a2")
    early = session.order("b", second)  # b does not know the new incarnation yet.
    session.advance(0.2)
    session.finish()
    session.gossip()
    after = [session.order(seat, order) for seat in "ab" for order in (first, second)]
    assert early == ["unknown"] and after == [["unknown"]] * 4

    session.advance(1)
    third = session.name(f"{session.look_up('b', 'a')}.third-order-00003", "order 3")
    response = session.order("b", third)
    session.advance(0.3)
    session.finish()
    assert response == ["complete"]

    assert session.starts == {first: 1, second: 1, third: 1} and not session.runs
    assert str(session.record) == snapshot


# Loans.

KEY = "slots/e"
SLOTS = 3
STEP = 50 * MS
RATES = {"a": 1.01, "b": 0.99, "c": 1.0}
LOAN_VERBS = {LoanGrant: "grant", LoanReturn: "return", LoanRecall: "recall"}


class Use:
    """A use of a slot, which the endpoint ends at its deadline even if the entry is paused."""

    def __init__(self, hold, until, clock):
        self.hold, self.until, self.clock = hold, until, clock

    @property
    def is_over(self):
        return self.clock.monotonic() >= self.until


class LoanCluster:
    """Three entries with one slot each and clock rates up to 2 % apart, and their endpoint."""

    def __init__(self):
        self.clock = ManualClock()
        self.record = Transcript(self.clock, *(f"entry {s}" for s in RATES), "endpoint")
        self.clocks = {seat: ManualClock() for seat in RATES}
        self.me = {seat: Incarnation(seat, "1") for seat in RATES}
        self.shares = {seat: Shares(self.me[seat], self.clocks[seat]) for seat in RATES}
        self.waiting, self.uses = [], {seat: [] for seat in RATES}
        self.demand, self.paused, self.lost = dict.fromkeys(RATES, 0), set(), []
        self.running, self.max_running, self.total, self.loans = "", 0, Counter(), {}
        limit = Limit(KEY, LimitKind.CONCURRENCY, SLOTS, tuple(RATES), 2 * SECOND)
        for shares in self.shares.values():
            shares.configure(1, {KEY: limit})
        for seat, other in itertools.permutations(RATES, 2):
            self.shares[other].on_digest(self.me[seat], Digest(1, 1, "ready", "", 0))

    def loan(self, borrower, number):
        """Return a short name of a loan: borrower, sequence number and renewal."""
        loan = number >> RENEWAL_BITS
        self.loans.setdefault(
            loan, f"{borrower}{sum(n[0] == borrower for n in self.loans.values())}"
        )
        return f"{self.loans[loan]}.{number & ((1 << RENEWAL_BITS) - 1)}"

    def describe_message(self, sender, to, message):
        if isinstance(message, LoanRequest):
            return f"request {self.loan(sender, message.number)} of {message.amount}"
        borrower = to if isinstance(message, LoanGrant | LoanRecall) else sender
        text = f"{LOAN_VERBS[type(message)]} {self.loan(borrower, message.number)}"
        if isinstance(message, LoanGrant):
            text = f"{text} of {message.amount} for {message.term_ms} ms"
            text = text if message.amount else f"denial {self.loan(borrower, message.number)}"
        return text

    def send(self, seat, outgoing):
        for out in outgoing:
            description = self.describe_message(seat, out.seat, out.message)
            self.record.add(f"entry {seat}", f"{description} -> {out.seat}")
            if (type(out.message), seat) in self.lost:
                self.lost.remove((type(out.message), seat))
                continue
            self.waiting.append((seat, out.seat, out.message))

    def deliver(self):
        arriving = [item for item in self.waiting if item[1] not in self.paused]
        self.waiting = [item for item in self.waiting if item[1] in self.paused]
        for sender, seat, message in arriving:
            self.record.add(
                f"entry {seat}", f"{self.describe_message(sender, seat, message)} <- {sender}"
            )
            self.send(seat, self.shares[seat].on_message(self.me[sender], message))

    def serve(self, seat):
        """End the expired uses, then begin new ones up to the demand and the free units."""
        clock, shares, uses = self.clocks[seat], self.shares[seat], self.uses[seat]
        for use in [use for use in uses if use.is_over]:
            uses.remove(use)
            shares.release(use.hold)
        while len(uses) < self.demand[seat]:
            until = clock.monotonic() + SECOND
            match shares.acquire(KEY, 1, until):
                case Result(tag="ok", ok=hold):
                    uses.append(Use(hold, until, clock))
                    self.total[seat] += 1
                case _:
                    break
        shares.want(KEY, self.demand[seat] - len(uses))

    def step(self):
        self.clock.advance(STEP)
        for seat, clock in self.clocks.items():
            clock.advance(STEP * RATES[seat])
        # Requests precede messages, as a resumed process may handle them in this order.
        for seat in [seat for seat in RATES if seat not in self.paused]:
            self.serve(seat)
            self.send(seat, self.shares[seat].tick())
        self.deliver()
        # An ended use may be replaced at once, so count only the uses that are running now.
        live = {s: sum(not use.is_over for use in uses) for s, uses in self.uses.items()}
        count = sum(live.values())
        running = f"{count} of {SLOTS} running: " + ", ".join(f"{s} {n}" for s, n in live.items())
        if running != self.running:
            self.record.add("endpoint", running)
        self.running, self.max_running = running, max(self.max_running, count)
        assert count <= SLOTS

    def run(self, until, **demand):
        for seat, wanted in demand.items():
            self.record.add(f"entry {seat}", f"its demand is {wanted}")
        self.demand.update(demand)
        while self.clock.monotonic() < until * SECOND:
            self.step()

    def pause(self, seat):
        self.record.add(f"entry {seat}", "is paused")
        self.paused.add(seat)

    def resume(self, seat):
        self.record.add(f"entry {seat}", "goes on")
        self.paused.remove(seat)

    def record_free_units(self):
        """Record and return the free units of each entry."""
        free = {seat: shares.free(KEY) for seat, shares in self.shares.items()}
        for seat, units in free.items():
            if seat not in self.paused:
                self.record.add(f"entry {seat}", f"free: {units}")
        return free


def test_session_of_loans_renewed_recalled_lost_and_outlived_by_a_pause(snapshot):
    cluster = LoanCluster()
    cluster.run(6, a=3)
    assert {"a0.2", "a1.2"} <= set(str(cluster.record).split()), "the loans were not renewed"
    assert cluster.total["a"] >= 14, "entry a did not get the whole limit"
    cluster.run(8, b=1)
    assert cluster.total["b"] >= 1, "a lender did not get its unit back"
    cluster.lost = [(LoanReturn, "a")]
    cluster.run(9, a=0, b=0)
    assert not cluster.lost and cluster.record_free_units() == {"a": 1, "b": 1, "c": 0}
    cluster.run(18)
    assert cluster.record_free_units() == {
        "a": 1,
        "b": 1,
        "c": 1,
    }, "the units of a lost return were not recovered"
    cluster.run(19, c=2)
    cluster.pause("c")
    cluster.run(22.6, a=1, b=1)
    assert not cluster.uses["b"], "a lender did not wait for the end of the term"
    cluster.resume("c")
    cluster.run(24)
    assert cluster.uses["b"], "a lender did not get its unit back"
    cluster.run(26, a=0, b=0)
    assert len(cluster.uses["c"]) == 2
    cluster.pause("c")
    cluster.run(36, a=1, b=1)
    assert cluster.uses["b"], "a lender did not get its unit back from a paused borrower"
    cluster.resume("c")
    cluster.run(38)
    assert {seat: len(uses) for seat, uses in cluster.uses.items()} == dict.fromkeys("abc", 1)
    cluster.run(40, a=0, b=0, c=0)
    assert cluster.record_free_units() == {"a": 1, "b": 1, "c": 1}
    assert cluster.max_running == SLOTS
    assert str(cluster.record) == snapshot


# Configuration changes.


class Store:
    """The configuration key; `history` holds all committed records."""

    def __init__(self, record):
        self.record, self.history = record, []

    def read(self, who):
        self.record.add("store", f"{who} reads revision {self.history[-1]['number']}")
        return self.history[-1], len(self.history)

    def swap(self, who, step):
        written = step.version == len(self.history)
        if written:
            self.history.append(step.record)
        number, result = step.record["number"], "written" if written else "refused"
        self.record.add(
            "store", f"{who} writes revision {number} on version {step.version}: {result}"
        )
        return written


class Operator:
    """One operator; `begin` builds a change on a read record, `take_next_step` advances it."""

    def __init__(self, name, store, record):
        self.name, self.store, self.record = name, store, record

    def note(self, text):
        self.record.add(self.name, text)

    def begin(self, change, current, version):
        document = {"entries": dict.fromkeys(SEATS, {}), "made by": change}
        number = current["number"] if current else 0
        self.note(f"builds {change} on revision {number}")
        made = next_record(current, document, self.name, "now", "why", change)
        self.attempt = Attempt(made, version)
        self.step = self.attempt.start()

    def take_next_step(self, *, lost=False):
        match self.step:
            case Swap():
                swapped = self.store.swap(self.name, self.step)
                if lost:
                    self.note("writes; the answer is lost")
                    self.step = self.attempt.on_swap_failed(ambiguous=True, detail="timeout")
                else:
                    self.note(f"writes; the answer is {'yes' if swapped else 'no'}")
                    self.step = self.attempt.on_swap(swapped)
            case ReadCurrent():
                self.step = self.attempt.on_current(*self.store.read(self.name))
        match self.step:
            case Recorded(made, superseded):
                later = ", and a later change replaced it" if superseded else ""
                self.note(f"recorded: revision {made['number']}, {made['change']}{later}")
            case Conflict(winner):
                self.note(f"conflict: {winner['who']} made revision {winner['number']} first")


SEATS = ("e1", "e2", "e3", "e4")


class ConfigurationCluster:
    """Four entries with a replica of the configuration each; messages take one `STEP`."""

    def __init__(self):
        self.clock = ManualClock()
        self.record = Transcript(self.clock, "ann", "ben", "store", *SEATS)
        self.store = Store(self.record)
        self.replicas, self.states, self.highest = {}, {}, dict.fromkeys(SEATS, 0)
        self.waiting, self.paused, self.steps = [], set(), 0
        for at, seat in enumerate(SEATS):
            self.replicas[seat] = Replica(
                Incarnation(seat, "1"),
                self.clock,
                random.Random(at),
                lambda number, seat=seat: self.describe(seat, number),
            )

    def describe(self, seat, number):
        state = "ready" if self.replicas[seat].ready else "starting"
        return Digest(number, number, state, "", 0)

    def read_store(self, seat):
        made, _ = self.store.read(seat)
        self.offer(seat, made)

    def offer(self, seat, made):
        self.replicas[seat].offer(made["number"], pack(made["document"]))
        self.record_state(seat)

    def send(self, seat, outgoing):
        for out in outgoing:
            match out.message:
                case DocumentReply(revision):
                    self.record.add(seat, f"sends revision {revision} to {out.seat}")
                case DocumentRequest():
                    self.record.add(seat, f"asks {out.seat}")
            self.waiting.append((seat, out.seat, out.message))

    def receive(self, sender, seat, message):
        replica, incarnation = self.replicas[seat], Incarnation(sender, "1")
        match message:
            case Digest():
                return replica.on_digest(incarnation, message)
            case DocumentRequest():
                return replica.on_document_request(incarnation, message)
        return replica.on_document_reply(incarnation, message)

    def record_state(self, seat):
        """Record the state of an entry if it has changed; its revision must never decrease."""
        replica = self.replicas[seat]
        assert replica.number >= self.highest[seat]
        self.highest[seat] = replica.number
        state = f"revision {replica.number}, {'serving' if replica.ready else 'not serving'}"
        if state != self.states.get(seat):
            self.record.add(seat, state)
        self.states[seat] = state

    def step(self):
        self.clock.advance(STEP)
        self.steps += 1
        awake = [seat for seat in SEATS if seat not in self.paused]
        arriving = [item for item in self.waiting if item[1] in awake]
        self.waiting = [item for item in self.waiting if item[1] not in awake]
        for seat in awake:
            self.record_state(seat)  # Before its tick, as a resumed process may get requests first.
        for sender, seat, message in arriving:
            self.send(seat, self.receive(sender, seat, message))
            self.record_state(seat)
        for at, seat in enumerate(awake):
            self.send(seat, self.replicas[seat].tick())
            if self.steps % 10 == 0:
                others = [other for other in SEATS if other != seat]
                to = others[(self.steps // 10 + at) % len(others)]
                self.waiting.append((seat, to, self.describe(seat, self.replicas[seat].number)))
            self.record_state(seat)

    def run(self, until):
        while self.clock.monotonic() < until * SECOND:
            self.step()

    def poll_acceptance(self, operator, number, first):
        """Query the revision of every entry; judge acceptance by this and the previous round."""
        second = {
            seat: Report("1", replica.number)
            for seat, replica in self.replicas.items()
            if seat not in self.paused
        }
        judged = confirm_acceptance(number, SEATS, first, second, ())
        reported = ", ".join(f"{seat} {report.revision}" for seat, report in second.items())
        lacking = f"not accepted, unconfirmed: {', '.join(judged.lacking)}"
        operator.note(f"asks all: {reported}; {'accepted' if judged.accepted else lacking}")
        return judged.accepted, second


def test_session_of_two_operators_a_lost_answer_and_a_paused_entry(snapshot):
    cluster = ConfigurationCluster()
    ann, ben = (Operator(name, cluster.store, cluster.record) for name in ("ann", "ben"))
    ann.begin("change 1", None, 0)
    ann.take_next_step()
    for seat in SEATS:
        cluster.read_store(seat)
    cluster.run(1)
    late_read, _ = cluster.store.read("e2")
    cluster.record.add("e4", "is paused")
    cluster.paused.add("e4")
    ann.begin("change 2", *cluster.store.read("ann"))
    ben.begin("change 3", *cluster.store.read("ben"))
    cluster.run(1.1)
    ann.take_next_step(lost=True)
    cluster.run(1.2)
    ben.take_next_step()
    ben.take_next_step()
    assert isinstance(ben.step, Conflict) and ben.step.winner["change"] == "change 2"
    cluster.run(1.3)
    ben.begin("change 4", *cluster.store.read("ben"))
    ben.take_next_step()
    assert isinstance(ben.step, Recorded)
    cluster.run(1.5)
    ann.take_next_step()
    assert isinstance(ann.step, Recorded) and ann.step.superseded
    assert [made["change"] for made in cluster.store.history] == [
        "change 1",
        "change 2",
        "change 4",
    ]

    cluster.read_store("e1")
    cluster.run(1.8)
    cluster.record.add("e2", "the store's answer of 1.00 comes")
    cluster.offer("e2", late_read)
    rounds = {}
    for second in (2, 3, 4):
        cluster.run(second)
        accepted, rounds = cluster.poll_acceptance(ben, 3, rounds)
        assert not accepted, "accepted while an entry may still serve an older revision"
    cluster.record.add("e4", "goes on")
    cluster.paused.remove("e4")
    late, judged = cluster.replicas["e4"], []
    assert not late.ready, "an entry serves its old revision after a pause"
    while not any(judged):
        for _ in range(6):
            cluster.step()
            assert late.number == 3 or not late.ready
        accepted, rounds = cluster.poll_acceptance(ben, 3, rounds)
        judged.append(accepted)
        assert cluster.clock.monotonic() < 8 * SECOND
    assert len(judged) > 1, "accepted after a single round in which all entries had the revision"
    assert {seat: replica.number for seat, replica in cluster.replicas.items()} == dict.fromkeys(
        SEATS, 3
    )
    cluster.run(8)
    assert all(replica.ready for replica in cluster.replicas.values())
    assert str(cluster.record) == snapshot


# Drains.

CAP = 0.1
RATE = 100


class Router:
    """The steering of one entry that receives `RATE` requests per second."""

    def __init__(self, name, zone, region, clock, record):
        self.name, self.zone, self.region, self.record = name, zone, region, record
        self.steering = Steering(zone, region, clock, random.Random(name))
        self.counts, self.seconds, self.requests = Counter(), [], 0

    def configure(self, revision, document):
        self.record.add(self.name, f"revision {revision} in force")
        self.rules = RuleSet(document)
        self.steering.configure(document)

    def request(self, clock):
        self.requests += 1
        deadline = clock.monotonic() + 5 * SECOND
        req = Request("menus", "GET", "/m", None, None, {}, Priority.NORMAL, True, deadline)
        directive = self.rules.match(req, self.zone, self.region).ok
        choice = self.steering.choose(req, directive).ok
        endpoint = choice.endpoints[0].name
        self.steering.on_started(endpoint)
        self.steering.on_finished(endpoint)
        self.steering.on_result(endpoint, True, 5 * MS)
        self.counts[choice.place] += 1
        if self.requests % 70 == 0:
            self.record.add(self.name, f"request {self.requests} -> {endpoint}")
        return choice.place

    def end_second(self):
        fractions = {zone: self.counts[zone] / RATE for zone in ("a1", "b1", "a2")}
        text = ", ".join(f"{zone} {fraction:.0%}" for zone, fraction in fractions.items())
        self.record.add(self.name, f"last second: {text}")
        assert sum(fractions.values()) == 1, "a request was sent to another place"
        self.seconds.append(fractions)
        self.counts.clear()


def make_document(drained_at=None):
    """Return a document: weight 3/4 on a1, half of it to move to b1; optionally a2 drained."""
    regions = {"r1": ["a1", "b1"], "r2": ["a2"]}
    upstreams = {
        f"{zone}-{number}": {"zone": zone, "address": "10.0.0.1:1", "slots": 4, "connections": 9}
        for zone in ("a1", "b1", "a2")
        for number in (0, 1)
    }
    service = {"prefix": "/m", "upstreams": upstreams, "shift_cap_percent_per_s": 100 * CAP}
    places = [{"zone": "a1", "weight": 3}, {"zone": "a2", "weight": 1}]
    move = {"service": "menus", "origin": "a1", "target": "b1", "percent": 50}
    move |= {"cap_percent_per_s": 40, "since": "2026-01-01T00:00:02+00:00"}
    document = {
        "regions": regions,
        "services": {"menus": service},
        "rules": [{"name": "all", "when": {}, "then": {"places": places}}],
        "moves": {"m": move},
    }
    if drained_at:
        document["drains"] = {"a2": {"kind": "zone", "since": drained_at.isoformat()}}
    return document


def test_session_of_an_announced_drain_during_a_move(snapshot):
    clock = ManualClock()
    record = Transcript(clock, "entry 1", "entry 2")
    routers = [
        Router("entry 1", "a1", "r1", clock, record),
        Router("entry 2", "a2", "r2", clock, record),
    ]
    drained_at = datetime(2026, 1, 1, 0, 0, 7, tzinfo=UTC)
    for router in routers:
        router.configure(1, make_document())
    drain_received = {3 * SECOND: routers[0], 3.4 * SECOND: routers[1]}
    while clock.monotonic() < 12 * SECOND:
        clock.advance(SECOND / RATE)
        if router := drain_received.get(clock.monotonic()):
            router.configure(2, make_document(drained_at))
        for router in routers:
            place = router.request(clock)
            assert (
                place != "a2" or clock.utcnow() < drained_at
            ), "a request was sent to a drained zone"
            if clock.monotonic() % SECOND == timedelta(0):
                router.end_second()
    for router in routers:
        for before, after in itertools.pairwise(router.seconds):
            gained = sum(max(0.0, after[zone] - before[zone]) for zone in after)
            # Counts are whole requests: each may be off by one at both ends of the second.
            assert gained <= CAP + 4 / RATE
        assert router.seconds[0] == {"a1": 0.75, "b1": 0.0, "a2": 0.25}
        assert router.seconds[-1]["a2"] == 0 and router.seconds[-1]["b1"] > 0.4
        assert router.steering.movements() == []
    assert str(record) == snapshot
