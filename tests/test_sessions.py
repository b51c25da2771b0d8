"""Whole sessions, recorded as each party saw them and kept as golden files.

All clocks are manual, nothing is drawn without a seed, and there are no sockets. Each session also
asserts its promise directly, so that a golden file made anew cannot hide that it was broken.
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
from cardamomloft.upstreams.client import UpstreamAnswer
from expression import Ok, Result
from twisted.internet.defer import Deferred, ensureDeferred, succeed

MS = timedelta(milliseconds=1)
SECOND = timedelta(seconds=1)


class Transcript:
    """What each party saw, line by line, with the virtual time in seconds."""

    def __init__(self, clock, *parties):
        self.clock = clock
        self._lines = {party: [] for party in parties}

    def saw(self, party, text):
        at = self.clock.monotonic().total_seconds()
        self._lines[party].append(f"{at:7.2f}  {text}")

    def __str__(self):
        parts = ["\n".join([f"{party}:", *lines]) for party, lines in self._lines.items()]
        return "\n\n".join(parts) + "\n"


# An order.


class Content:
    def __init__(self, content):
        self.content = content

    def collect(self, limit):
        return succeed(Ok(self.content))


class Flow:
    def pause_body(self):
        pass

    def resume_body(self):
        pass


class Shop:
    """A caller, two entries with real executors, and an upstream that runs what it is sent."""

    def __init__(self):
        self.clock = ManualClock()
        self.record = Transcript(self.clock, "caller", "entry a", "entry b", "upstream")
        self.names, self.current, self.runs, self.starts = {}, {}, [], Counter()
        self.executors, self.members, self.ids = {}, {}, {}
        for seat in "ab":
            self.start(seat, f"{seat}1")

    def start(self, seat, life):
        me = self.current[seat] = Incarnation(seat, life)
        self.record.saw(f"entry {seat}", f"starts as {me}")
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
            Upstream(self, me),
            Link(self, seat),
            Metrics(),
            {"a": "127.0.0.1:1", "b": "127.0.0.1:2"}.get,
            lambda process: member.incarnation_of(process.seat) == process,
            lambda failure: failure.raiseException(),
        )

    def wait(self, seconds):
        self.clock.advance(seconds * SECOND)

    def gossip(self):
        for seat, other in ("ab", "ba"):
            text, left = self.ids[seat].prefix()
            digest = Digest(1, 1, "ready", text, left // MS)
            self.members[other].on_digest(self.current[seat], digest)

    def look_up(self, seat, executor):
        text, left = self.members[seat].prefix_of(executor)
        self.record.saw(f"entry {seat}", f"look-up -> executor {executor}, prefix {text}")
        seconds = left.total_seconds()
        self.record.saw("caller", f"look-up at {seat} -> {executor}, {text}, {seconds:.2f} s left")
        return text

    def name(self, operation, name):
        self.names[operation] = name
        self.record.saw("caller", f"makes {name}: {operation}")
        return operation

    def order(self, seat, operation, *, lost=False):
        """Send an order; the caller gets no answer if `lost`."""
        name = self.names[operation]
        self.record.saw("caller", f"{name} to {seat}")
        headers, gone = (("idempotency-key", operation),), Deferred()
        asked = self.receive(seat, "caller", headers, b"two patties", gone)

        def answered(answer):
            words = {key.lower(): value for key, value in answer.headers}
            outcome = words["cardamomloft-outcome"]
            self.record.saw(f"entry {seat}", f"{name} -> caller: {answer.status} {outcome}")
            detail = answer.body.decode()
            if outcome != "complete":
                detail = json.loads(detail)["detail"]
            text = "the connection is lost" if lost else f"{answer.status} {outcome}: {detail}"
            self.record.saw("caller", f"{name} at {seat}: {text}")
            outcomes.append(outcome)

        outcomes = []
        asked.addCallback(answered)
        return outcomes

    def receive(self, seat, sender, headers, content, gone):
        operation = dict(headers)["idempotency-key"]
        self.record.saw(f"entry {seat}", f"{self.names[operation]} <- {sender}")
        deadline = self.clock.monotonic() + 5 * SECOND
        req = Request(
            "pay", "POST", "/pay", None, None, {}, Priority.NORMAL, False, deadline, operation
        )
        head = RequestHead("POST", "/pay", "", headers, "127.0.0.1", len(content), False)
        body = RequestBody(len(content), Flow())
        body.data_received(content)
        body.end()
        return ensureDeferred(self.executors[seat].handle(req, head, body, gone))

    def finish(self):
        """Let the oldest run end; only the process that began it hears of it, if it still is."""
        process, operation, told = self.runs.pop(0)
        self.record.saw("upstream", f"{self.names[operation]} done: receipt")
        if self.current[process.seat] == process:
            answer = KeptAnswer(201, (("content-type", "text/plain"),), b"receipt")
            self.record.saw(f"entry {process.seat}", f"{self.names[operation]} <- upstream: 201")
            told.callback(answer)
        else:
            self.record.saw("upstream", f"{process} is gone; nobody takes the answer")


class Upstream:
    """The way of one process to the upstream."""

    def __init__(self, shop, process):
        self.shop, self.process = shop, process

    def collect(self, req, head, whole):
        name = self.shop.names[req.operation]
        self.shop.record.saw(f"entry {self.process.seat}", f"{name} -> upstream")
        self.shop.record.saw("upstream", f"{name} from {self.process}: {whole.decode()}")
        self.shop.starts[req.operation] += 1
        told = Deferred()
        self.shop.runs.append((self.process, req.operation, told))
        return told


class Link:
    """The way of one entry to the other."""

    def __init__(self, shop, seat):
        self.shop, self.seat = shop, seat

    def send(self, sent):
        shop, seat = self.shop, sent.endpoint.name.removeprefix("entry/")
        name = shop.names[dict(sent.headers)["idempotency-key"]]
        assert dict(sent.headers)[FORWARDED_BY_HEADER] == self.seat
        shop.record.saw(f"entry {self.seat}", f"{name} -> entry {seat}")
        asked = shop.receive(seat, f"entry {self.seat}", sent.headers, sent.body, Deferred())

        def answered(answer):
            shop.record.saw(f"entry {seat}", f"{name} -> entry {self.seat}: {answer.status}")
            return Ok(
                UpstreamAnswer(answer.status, answer.headers, None, False, Content(answer.body))
            )

        return asked.addCallback(answered)


def test_session_of_an_order_whose_answer_is_lost_and_whose_executor_is_replaced(snapshot):
    shop = Shop()
    shop.gossip()
    shop.wait(0.5)
    prefix = shop.look_up("b", "a")
    first = shop.name(f"{prefix}.first-order-00001", "order 1")
    second = shop.name(f"{prefix}.second-order-0002", "order 2")

    shop.wait(0.1)
    unseen = shop.order("a", first, lost=True)
    shop.wait(0.2)
    joined = shop.order("b", first)
    assert unseen == joined == [], "the run has not ended"
    shop.wait(0.3)
    shop.finish()
    shop.wait(0.5)
    repeated = shop.order("b", first)
    assert unseen == joined == repeated == ["complete"]

    shop.wait(1)
    shop.order("a", second, lost=True)
    shop.wait(0.1)
    shop.record.saw("caller", "order 2 at a: the connection is lost")
    shop.start("a", "a2")
    early = shop.order("b", second)  # b has not heard of the new life yet
    shop.wait(0.2)
    shop.finish()
    shop.gossip()
    after = [shop.order(seat, order) for seat in "ab" for order in (first, second)]
    assert early == ["unknown"] and after == [["unknown"]] * 4

    shop.wait(1)
    third = shop.name(f"{shop.look_up('b', 'a')}.third-order-00003", "order 3")
    told = shop.order("b", third)
    shop.wait(0.3)
    shop.finish()
    assert told == ["complete"]

    assert shop.starts == {first: 1, second: 1, third: 1} and not shop.runs
    assert str(shop.record) == snapshot


# A loan.

KEY = "slots/e"
SLOTS = 3
STEP = 50 * MS
RATES = {"a": 1.01, "b": 0.99, "c": 1.0}
LOAN_WORDS = {LoanGrant: "grant", LoanReturn: "return", LoanRecall: "recall"}


class Use:
    """One use of a slot; the endpoint ends it by its deadline, whether or not its entry wakes."""

    def __init__(self, hold, until, clock):
        self.hold, self.until, self.clock = hold, until, clock

    @property
    def is_over(self):
        return self.clock.monotonic() >= self.until


class Lenders:
    """Three entries with one slot each, whose clocks differ by up to 2 %, and their endpoint."""

    def __init__(self):
        self.clock = ManualClock()
        self.record = Transcript(self.clock, *(f"entry {s}" for s in RATES), "endpoint")
        self.clocks = {seat: ManualClock() for seat in RATES}
        self.me = {seat: Incarnation(seat, "1") for seat in RATES}
        self.shares = {seat: Shares(self.me[seat], self.clocks[seat]) for seat in RATES}
        self.waiting, self.uses = [], {seat: [] for seat in RATES}
        self.demand, self.paused, self.lost = dict.fromkeys(RATES, 0), set(), []
        self.running, self.most, self.total, self.loans = "", 0, Counter(), {}
        limit = Limit(KEY, LimitKind.CONCURRENCY, SLOTS, tuple(RATES), 2 * SECOND)
        for shares in self.shares.values():
            shares.configure(1, {KEY: limit})
        for seat, other in itertools.permutations(RATES, 2):
            self.shares[other].on_digest(self.me[seat], Digest(1, 1, "ready", "", 0))

    def loan(self, borrower, number):
        """Name a loan by its borrower and turn, and its renewal, instead of its long number."""
        loan = number >> RENEWAL_BITS
        self.loans.setdefault(
            loan, f"{borrower}{sum(n[0] == borrower for n in self.loans.values())}"
        )
        return f"{self.loans[loan]}.{number & ((1 << RENEWAL_BITS) - 1)}"

    def words(self, sender, to, message):
        if isinstance(message, LoanRequest):
            return f"request {self.loan(sender, message.number)} of {message.amount}"
        borrower = to if isinstance(message, LoanGrant | LoanRecall) else sender
        text = f"{LOAN_WORDS[type(message)]} {self.loan(borrower, message.number)}"
        if isinstance(message, LoanGrant):
            text = f"{text} of {message.amount} for {message.term_ms} ms"
            text = text if message.amount else f"denial {self.loan(borrower, message.number)}"
        return text

    def send(self, seat, outgoing):
        for out in outgoing:
            words = self.words(seat, out.seat, out.message)
            self.record.saw(f"entry {seat}", f"{words} -> {out.seat}")
            if (type(out.message), seat) in self.lost:
                self.lost.remove((type(out.message), seat))
                continue
            self.waiting.append((seat, out.seat, out.message))

    def deliver(self):
        arriving = [item for item in self.waiting if item[1] not in self.paused]
        self.waiting = [item for item in self.waiting if item[1] in self.paused]
        for sender, seat, message in arriving:
            self.record.saw(f"entry {seat}", f"{self.words(sender, seat, message)} <- {sender}")
            self.send(seat, self.shares[seat].on_message(self.me[sender], message))

    def serve(self, seat):
        """End the uses that are over, and begin as many as are in demand and may begin."""
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
        # Requests come before messages: a process that goes on may take them in this order.
        for seat in [seat for seat in RATES if seat not in self.paused]:
            self.serve(seat)
            self.send(seat, self.shares[seat].tick())
        self.deliver()
        # A use that has ended may be followed by another at once, so the count is of the present.
        live = {s: sum(not use.is_over for use in uses) for s, uses in self.uses.items()}
        count = sum(live.values())
        running = f"{count} of {SLOTS} running: " + ", ".join(f"{s} {n}" for s, n in live.items())
        if running != self.running:
            self.record.saw("endpoint", running)
        self.running, self.most = running, max(self.most, count)
        assert count <= SLOTS

    def run(self, until, **demand):
        for seat, wanted in demand.items():
            self.record.saw(f"entry {seat}", f"its demand is {wanted}")
        self.demand.update(demand)
        while self.clock.monotonic() < until * SECOND:
            self.step()

    def pause(self, seat):
        self.record.saw(f"entry {seat}", "is paused")
        self.paused.add(seat)

    def resume(self, seat):
        self.record.saw(f"entry {seat}", "goes on")
        self.paused.remove(seat)

    def free(self):
        """Return what each entry may use now, and note it down."""
        free = {seat: shares.free(KEY) for seat, shares in self.shares.items()}
        for seat, units in free.items():
            if seat not in self.paused:
                self.record.saw(f"entry {seat}", f"free: {units}")
        return free


def test_session_of_loans_renewed_recalled_lost_and_outlived_by_a_pause(snapshot):
    fleet = Lenders()
    fleet.run(6, a=3)
    assert {"a0.2", "a1.2"} <= set(str(fleet.record).split()), "the loans were not renewed"
    assert fleet.total["a"] >= 14, "one entry has not got the whole limit"
    fleet.run(8, b=1)
    assert fleet.total["b"] >= 1, "a lender has not got its unit back"
    fleet.lost = [(LoanReturn, "a")]
    fleet.run(9, a=0, b=0)
    assert not fleet.lost and fleet.free() == {"a": 1, "b": 1, "c": 0}
    fleet.run(18)
    assert fleet.free() == {"a": 1, "b": 1, "c": 1}, "the lost return was not made up for"
    fleet.run(19, c=2)
    fleet.pause("c")
    fleet.run(22.6, a=1, b=1)
    assert not fleet.uses["b"], "a lender has not waited for the end of the term"
    fleet.resume("c")
    fleet.run(24)
    assert fleet.uses["b"], "a lender has not got its unit back"
    fleet.run(26, a=0, b=0)
    assert len(fleet.uses["c"]) == 2
    fleet.pause("c")
    fleet.run(36, a=1, b=1)
    assert fleet.uses["b"], "a lender has not got its unit back from a paused borrower"
    fleet.resume("c")
    fleet.run(38)
    assert {seat: len(uses) for seat, uses in fleet.uses.items()} == dict.fromkeys("abc", 1)
    fleet.run(40, a=0, b=0, c=0)
    assert fleet.free() == {"a": 1, "b": 1, "c": 1}
    assert fleet.most == SLOTS
    assert str(fleet.record) == snapshot


# A change of the configuration.


class Store:
    """The configuration key; `history` holds all that ever took effect."""

    def __init__(self, record):
        self.record, self.history = record, []

    def read(self, who):
        self.record.saw("store", f"{who} reads revision {self.history[-1]['number']}")
        return self.history[-1], len(self.history)

    def swap(self, who, step):
        written = step.version == len(self.history)
        if written:
            self.history.append(step.record)
        number, result = step.record["number"], "written" if written else "refused"
        self.record.saw(
            "store", f"{who} writes revision {number} on version {step.version}: {result}"
        )
        return written


class Operator:
    """One operator; `begin` builds a change on what was read, `go_on` takes its next step."""

    def __init__(self, name, store, record):
        self.name, self.store, self.record = name, store, record

    def note(self, text):
        self.record.saw(self.name, text)

    def begin(self, change, current, version):
        document = {"entries": dict.fromkeys(SEATS, {}), "made by": change}
        number = current["number"] if current else 0
        self.note(f"builds {change} on revision {number}")
        made = next_record(current, document, self.name, "now", "why", change)
        self.attempt = Attempt(made, version)
        self.step = self.attempt.start()

    def go_on(self, *, lost=False):
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


class Copies:
    """Four entries with a copy of the configuration each; messages take one step of 50 ms."""

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
        self.look(seat)

    def send(self, seat, outgoing):
        for out in outgoing:
            match out.message:
                case DocumentReply(revision):
                    self.record.saw(seat, f"sends revision {revision} to {out.seat}")
                case DocumentRequest():
                    self.record.saw(seat, f"asks {out.seat}")
            self.waiting.append((seat, out.seat, out.message))

    def receive(self, sender, seat, message):
        replica, life = self.replicas[seat], Incarnation(sender, "1")
        match message:
            case Digest():
                return replica.on_digest(life, message)
            case DocumentRequest():
                return replica.on_document_request(life, message)
        return replica.on_document_reply(life, message)

    def look(self, seat):
        """Note down what an entry has and serves if that has changed; it must never go back."""
        replica = self.replicas[seat]
        assert replica.number >= self.highest[seat]
        self.highest[seat] = replica.number
        state = f"revision {replica.number}, {'serving' if replica.ready else 'not serving'}"
        if state != self.states.get(seat):
            self.record.saw(seat, state)
        self.states[seat] = state

    def step(self):
        self.clock.advance(STEP)
        self.steps += 1
        awake = [seat for seat in SEATS if seat not in self.paused]
        arriving = [item for item in self.waiting if item[1] in awake]
        self.waiting = [item for item in self.waiting if item[1] not in awake]
        for seat in awake:
            self.look(seat)  # Before its tick: a paused process may get requests first.
        for sender, seat, message in arriving:
            self.send(seat, self.receive(sender, seat, message))
            self.look(seat)
        for at, seat in enumerate(awake):
            self.send(seat, self.replicas[seat].tick())
            if self.steps % 10 == 0:
                others = [other for other in SEATS if other != seat]
                to = others[(self.steps // 10 + at) % len(others)]
                self.waiting.append((seat, to, self.describe(seat, self.replicas[seat].number)))
            self.look(seat)

    def run(self, until):
        while self.clock.monotonic() < until * SECOND:
            self.step()

    def ask_all(self, operator, number, first):
        """Ask every entry what it has in force; judge by this round and the one before it."""
        second = {
            seat: Report("1", replica.number)
            for seat, replica in self.replicas.items()
            if seat not in self.paused
        }
        judged = confirm_acceptance(number, SEATS, first, second, ())
        heard = ", ".join(f"{seat} {report.revision}" for seat, report in second.items())
        lacking = f"not accepted, unconfirmed: {', '.join(judged.lacking)}"
        operator.note(f"asks all: {heard}; {'accepted' if judged.accepted else lacking}")
        return judged.accepted, second


def test_session_of_two_operators_a_lost_answer_and_a_paused_entry(snapshot):
    fleet = Copies()
    ann, ben = (Operator(name, fleet.store, fleet.record) for name in ("ann", "ben"))
    ann.begin("change 1", None, 0)
    ann.go_on()
    for seat in SEATS:
        fleet.read_store(seat)
    fleet.run(1)
    late_read, _ = fleet.store.read("e2")
    fleet.record.saw("e4", "is paused")
    fleet.paused.add("e4")
    ann.begin("change 2", *fleet.store.read("ann"))
    ben.begin("change 3", *fleet.store.read("ben"))
    fleet.run(1.1)
    ann.go_on(lost=True)
    fleet.run(1.2)
    ben.go_on()
    ben.go_on()
    assert isinstance(ben.step, Conflict) and ben.step.winner["change"] == "change 2"
    fleet.run(1.3)
    ben.begin("change 4", *fleet.store.read("ben"))
    ben.go_on()
    assert isinstance(ben.step, Recorded)
    fleet.run(1.5)
    ann.go_on()
    assert isinstance(ann.step, Recorded) and ann.step.superseded
    assert [made["change"] for made in fleet.store.history] == ["change 1", "change 2", "change 4"]

    fleet.read_store("e1")
    fleet.run(1.8)
    fleet.record.saw("e2", "the store's answer of 1.00 comes")
    fleet.offer("e2", late_read)
    rounds = {}
    for second in (2, 3, 4):
        fleet.run(second)
        accepted, rounds = fleet.ask_all(ben, 3, rounds)
        assert not accepted, "accepted while an entry may still serve what was before"
    fleet.record.saw("e4", "goes on")
    fleet.paused.remove("e4")
    late, judged = fleet.replicas["e4"], []
    assert not late.ready, "an entry serves what it had before its pause"
    while not any(judged):
        for _ in range(6):
            fleet.step()
            assert late.number == 3 or not late.ready
        accepted, rounds = fleet.ask_all(ben, 3, rounds)
        judged.append(accepted)
        assert fleet.clock.monotonic() < 8 * SECOND
    assert len(judged) > 1, "accepted after a single round in which all had it"
    assert {seat: replica.number for seat, replica in fleet.replicas.items()} == dict.fromkeys(
        SEATS, 3
    )
    fleet.run(8)
    assert all(replica.ready for replica in fleet.replicas.values())
    assert str(fleet.record) == snapshot


# A drain.

CAP = 0.1
RATE = 100


class Router:
    """Steering of one entry that gets `RATE` requests a second."""

    def __init__(self, name, zone, region, clock, record):
        self.name, self.zone, self.region, self.record = name, zone, region, record
        self.steering = Steering(zone, region, clock, random.Random(name))
        self.counts, self.seconds, self.requests = Counter(), [], 0

    def configure(self, revision, document):
        self.record.saw(self.name, f"revision {revision} in force")
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
            self.record.saw(self.name, f"request {self.requests} -> {endpoint}")
        return choice.place

    def end_second(self):
        parts = {zone: self.counts[zone] / RATE for zone in ("a1", "b1", "a2")}
        text = ", ".join(f"{zone} {part:.0%}" for zone, part in parts.items())
        self.record.saw(self.name, f"last second: {text}")
        assert sum(parts.values()) == 1, "a request went elsewhere"
        self.seconds.append(parts)
        self.counts.clear()


def plans(drained_at=None):
    """Return the document: three quarters to a1, half of that to move, and maybe a2's drain."""
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
        router.configure(1, plans())
    learns = {3 * SECOND: routers[0], 3.4 * SECOND: routers[1]}
    while clock.monotonic() < 12 * SECOND:
        clock.advance(SECOND / RATE)
        if router := learns.get(clock.monotonic()):
            router.configure(2, plans(drained_at))
        for router in routers:
            place = router.request(clock)
            assert place != "a2" or clock.utcnow() < drained_at, "new work for a drained zone"
            if clock.monotonic() % SECOND == timedelta(0):
                router.end_second()
    for router in routers:
        for before, after in itertools.pairwise(router.seconds):
            gained = sum(max(0.0, after[zone] - before[zone]) for zone in after)
            # Each count is within one request of its fractions' sum at both ends of each second.
            assert gained <= CAP + 4 / RATE
        assert router.seconds[0] == {"a1": 0.75, "b1": 0.0, "a2": 0.25}
        assert router.seconds[-1]["a2"] == 0 and router.seconds[-1]["b1"] > 0.4
        assert router.steering.movements() == []
    assert str(record) == snapshot
