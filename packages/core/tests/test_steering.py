"""Choices during drains, failovers, rule edits, restarts, spill-over and false reports."""

import itertools
import random
from datetime import timedelta

import pytest
from cardamomloft.core import hints
from cardamomloft.core.clock import ManualClock
from cardamomloft.core.hints import LoadReport
from cardamomloft.core.model import Priority, RefusalReason, Request
from cardamomloft.core.rules import RuleSet
from cardamomloft.core.steering import Steering
from expression import Result

STEP = timedelta(milliseconds=10)
LATENCY = timedelta(milliseconds=5)


def seconds(value):
    return timedelta(seconds=value)


def document(places, per_zone=2, cap=20.0, **extra):
    regions = {"r1": ["a1", "b1"], "r2": ["a2", "b2"]}
    upstreams = {
        f"{zone}-{number}": {
            "zone": zone,
            "address": f"10.0.0.1:{8000 + number}",
            "slots": 4,
            "connections": 100,
        }
        for zone in itertools.chain(*regions.values())
        for number in range(per_zone)
    }
    service = {"prefix": "/m", "upstreams": upstreams, "shift_cap_percent_per_s": cap}
    rules = extra.pop("rules", None) or [{"name": "all", "when": {}, "then": then(places)}]
    return {"regions": regions, "services": {"menus": service}, "rules": rules} | extra


def then(places, spill=()):
    rows = [{"region" if n[0] == "r" else "zone": n, "weight": w} for n, w in places.items()]
    return {"places": rows, "spill": list(spill)}


class Bench:
    """A steering with a manual clock; `dead` endpoints fail, and `full` limits have no room."""

    def __init__(self, doc, clock=None):
        self.clock = clock or ManualClock()
        self.dead, self.full = set(), set()
        self.steering = Steering(
            "a1", "r1", self.clock, random.Random(1), lambda key: 0 if key in self.full else 4
        )
        self.configure(doc)

    def configure(self, doc):
        self.rules = RuleSet(doc)
        self.steering.configure(doc)

    def request(self, priority=Priority.NORMAL, idempotent=True, path="/m"):
        deadline = self.clock.monotonic() + seconds(5)
        return Request("menus", "GET", path, None, None, {}, priority, idempotent, deadline)

    def choose(self, req=None, **kwargs):
        req = req or self.request()
        directive = self.rules.match(req, "a1", "r1").ok
        return self.steering.choose(req, directive, **kwargs)

    def send(self, req=None):
        """Choose, run the request at once, and return its place or the refusal."""
        match self.choose(req):
            case Result(tag="ok", ok=choice):
                name = choice.endpoints[0].name
                self.steering.on_started(name)
                self.steering.on_finished(name)
                self.steering.on_result(name, name not in self.dead, LATENCY)
                return choice.place
            case Result(error=refusal):
                return refusal

    def run(self, duration, req=None):
        """Send a request every 10 ms; return the time and the outcome of each."""
        sent = []
        for _ in range(duration // STEP):
            self.clock.advance(STEP)
            sent.append((self.clock.monotonic(), self.send(req)))
        return sent

    def drain(self, kind, after=0.0):
        return {"kind": kind, "since": (self.clock.utcnow() + seconds(after)).isoformat()}


def share(sent, place):
    return sum(outcome == place for _, outcome in sent) / len(sent)


def check_growth(sent, place, cap, before):
    """Fail if a place got more requests than the cap on its fraction allows."""
    begin, count, allowed = sent[0][0], 0, 0.0
    for at, outcome in sent:
        count += outcome == place
        allowed += min(1.0, before + cap * (at - begin + STEP).total_seconds())
        assert count <= allowed + 2


def test_drain_admits_no_new_requests_and_refuses_what_exceeds_the_cap():
    bench = Bench(document({"a1": 1, "a2": 1}))
    assert share(bench.run(seconds(2)), "a1") == 0.5
    bench.configure(document({"a1": 1, "a2": 1}, drains={"a1": bench.drain("zone")}))
    bench.steering.on_started("a1-0")
    sent = bench.run(seconds(3.5))
    check_growth(sent, "a2", 0.2, 0.5)
    assert share(sent, "a1") == 0
    refused = [(at, r) for at, r in sent if r != "a2"]
    assert {r.reason for _, r in refused} == {RefusalReason.CAP}
    assert refused[-1][0] <= min(at + r.retry_after for at, r in refused) + STEP
    (row,) = bench.steering.drains()
    assert (row.zone, row.traffic, row.in_flight) == ("a1", 0, 1)
    assert row.ends_in == LATENCY


def test_announced_drain_refuses_no_request():
    bench = Bench(document({"a1": 1, "a2": 1}))
    drains = {"r1": bench.drain("region", after=20)}
    bench.configure(document({"a1": 1, "a2": 1}, drains=drains))
    sent = bench.run(seconds(30))
    assert all(outcome in ("a1", "a2") for _, outcome in sent)
    check_growth(sent[1500:], "a2", 0.2, 0.5)
    assert share(sent[:1500], "a1") == 0.5
    assert all(outcome == "a2" for at, outcome in sent if at >= seconds(20))


def test_dead_place_fails_over_within_the_cap_and_recovers_after_a_probe():
    bench = Bench(document({"a1": 1, "a2": 1}))
    bench.run(seconds(1))
    bench.dead = {"a1-0", "a1-1"}
    sent = bench.run(seconds(5))
    check_growth(sent, "a2", 0.2, 0.5)
    found = next(i for i, (_, r) in enumerate(sent) if r not in ("a1", "a2"))
    assert found < 30
    assert share(sent[found:], "a1") < 0.02
    assert share(sent[400:], "a2") > 0.98
    bench.dead = set()
    sent = bench.run(seconds(15))
    assert all(outcome in ("a1", "a2") for _, outcome in sent)
    check_growth([row for row in sent if row[0] > seconds(6)], "a1", 0.2, 0.0)
    assert share(sent[-200:], "a1") == pytest.approx(0.5, abs=0.01)


def test_non_idempotent_requests_probe_a_dead_place_only_without_others():
    bench = Bench(document({"a1": 1, "a2": 1}))
    bench.dead = {"a1-0", "a1-1"}
    bench.run(seconds(0.5))
    unsafe = bench.request(idempotent=False)
    sent = bench.run(seconds(4), unsafe)
    assert share(sent, "a1") == 0
    assert share(bench.run(seconds(4), unsafe), "a1") > 0


def test_drain_failover_and_move_share_one_cap():
    zones = {"a1": 1, "b1": 1, "a2": 2}
    bench = Bench(document(zones, cap=10.0))
    bench.run(seconds(1))
    bench.dead = {"a1-0", "a1-1"}
    sent = bench.run(seconds(1))
    move = {
        "service": "menus",
        "origin": "a2",
        "target": "b2",
        "percent": 50,
        "cap_percent_per_s": 100,
        "since": bench.clock.utcnow().isoformat(),
    }
    drains = {"b1": bench.drain("zone")}
    bench.configure(document(zones, cap=10.0, drains=drains, moves={"m": move}))
    sent += bench.run(seconds(9))
    gained = share(sent[:400], "a2") + share(sent[:400], "b2") - 0.5
    assert 0.1 < gained <= 0.2
    for place, before in (("a2", 0.5), ("b2", 0.0)):
        check_growth(sent, place, 0.1, before)
    assert share(sent[-100:], "a2") == share(sent[-100:], "b2") == 0.5


def test_critical_requests_get_the_failover_capacity_first():
    bench = Bench(document({"a1": 3, "a2": 1}, cap=5.0, drains={}))
    bench.configure(document({"a1": 3, "a2": 1}, cap=5.0, drains={"a1": bench.drain("zone")}))
    rng, passed = random.Random(3), {priority: [] for priority in Priority}
    for _ in range(1000):
        bench.clock.advance(timedelta(milliseconds=1))
        priority = rng.choices(list(Priority), [1, 2, 7])[0]
        passed[priority].append(bench.send(bench.request(priority)) == "a2")
    rates = [sum(rows) / len(rows) for rows in passed.values()]
    assert rates[0] > 0.9
    assert rates[2] < 0.15


def rule_rows(*rows):
    return [{"name": n, "when": w, "then": then(p)} for n, w, p in rows]


@pytest.mark.parametrize("used", [0, 1, 2])
def test_rule_edit_shifts_traffic_within_the_cap_for_every_rule(used):
    before = rule_rows(("hot", {"path": "/m/hot"}, {"a1": 1}), ("all", {}, {"b1": 1}))
    after = rule_rows(
        ("hot", {"path": "/m/hot"}, {"b1": 1}), ("new", {}, {"a2": 1}), ("all", {}, {"b1": 1})
    )
    bench = Bench(document({}, rules=before))
    hot, other = bench.request(path="/m/hot/1"), bench.request(path="/m/cold")
    for req in (hot, other)[:used]:
        bench.run(seconds(0.5), req)
    bench.configure(document({}, rules=after))
    sent_to_hot, sent_to_other = [], []
    for _ in range(700):
        bench.clock.advance(STEP)
        sent_to_hot.append((bench.clock.monotonic(), bench.send(hot)))
        sent_to_other.append((bench.clock.monotonic(), bench.send(other)))
    check_growth(sent_to_hot, "b1", 0.2, 0.0)
    check_growth(sent_to_other, "a2", 0.2, 0.0)
    assert all(outcome in ("a1", "b1") for _, outcome in sent_to_hot)
    assert share(sent_to_other[:250], "b1") > 0.7
    assert share(sent_to_hot[-100:], "b1") == share(sent_to_other[-100:], "a2") == 1
    assert bench.steering.movements() == []


@pytest.mark.parametrize("age", [2, 60])
def test_restart_during_a_shift_is_not_ahead_of_other_entries(age):
    clock = ManualClock()
    row = {"service": "menus", "origin": "a1", "target": "a2", "percent": 100}
    row |= {"cap_percent_per_s": 10, "since": clock.utcnow().isoformat()}
    doc = document(
        {"a1": 1}, moves={"m": row}, drains={"b1": {"kind": "zone"} | {"since": row["since"]}}
    )
    running = Bench(document({"a1": 1}), clock)
    running.send()
    running.configure(doc)
    early = running.run(seconds(age))
    restarted = Bench(doc, clock)
    check_growth(early, "a2", 0.1, 0.0)
    old, new = [], []
    for _ in range(100):
        clock.advance(STEP)
        old.append((clock.monotonic(), running.send()))
        new.append((clock.monotonic(), restarted.send()))
    assert share(new, "a2") <= share(old, "a2")
    assert share(new, "a2") == (1.0 if age == 60 else pytest.approx(0.25, abs=0.06))


def test_overflow_keeps_to_the_cap_and_the_spill_limit():
    doc = document({}, rules=[{"name": "all", "when": {}, "then": then({"a1": 1}, ["r2"])}])
    bench = Bench(doc)
    bench.full = {"slots/a1-0", "slots/a1-1"}
    choices = []
    for _ in range(300):
        bench.clock.advance(STEP)
        choices.append(bench.choose().ok)
    away = [choice for choice in choices if choice.place != "a1"]
    assert 0.2 * 0.9 < len(away) / 300 < 0.3 + 1 / 300
    assert {choice.spill_key for choice in away} == {"spill/menus/r2"}
    assert {c.spill_key for c in choices if c.place == "a1"} == {None}
    doc["services"]["menus"]["spill_percent"] = 0
    bench = Bench(doc)
    bench.full = {"slots/a1-0", "slots/a1-1"}
    assert share(bench.run(seconds(3)), "a1") == 1


@pytest.mark.parametrize("places", [{"a1": 1}, {"a2": 1, "b2": 0}])
def test_few_requests_wait_at_a_place_without_a_share(places):
    bench = Bench(document({}, rules=[{"name": "all", "when": {}, "then": then(places, ["r2"])}]))
    bench.full = {f"slots/{zone}-{n}" for zone in ("a1", "a2") for n in (0, 1)}
    bench.full |= {"spill/menus/r2", "slots/b2-0"}
    bench.run(seconds(6))
    sent = bench.run(seconds(3))
    assert 0.09 < share(sent, "a2") < 0.2


def test_queued_request_keeps_its_place_until_the_place_closes():
    bench = Bench(document({"a1": 1, "a2": 1}, cap=100.0))
    assert {bench.choose(place="a2").ok.place for _ in range(5)} == {"a2"}
    bench.configure(document({"a1": 1, "a2": 1}, cap=100.0, drains={"a2": bench.drain("zone")}))
    bench.run(seconds(1))
    assert bench.choose(place="a2").ok.place == "a1"
    bench.configure(document({"a1": 1, "a2": 1}, cap=100.0))
    bench.run(seconds(1))
    bench.dead = {"a2-0", "a2-1"}
    bench.run(seconds(0.8))
    assert bench.choose(place="a2").ok.place == "a1"


def test_drain_with_too_short_notice_for_its_cap_begins_on_time():
    bench = Bench(document({"a1": 1, "a2": 1}, cap=1.0))
    drains = {"a1": bench.drain("zone", after=2.005)}
    bench.configure(document({"a1": 1, "a2": 1}, cap=1.0, drains=drains))
    sent = bench.run(seconds(4))
    assert share(sent[:200], "a1") > 0.45
    assert share(sent[200:], "a1") == 0
    assert sum(isinstance(outcome, str) for _, outcome in sent[200:]) < 115


def report(bench, state, running=0):
    return LoadReport(running, 4, state, bench.clock.monotonic())


def used_endpoints(bench, rounds=100):
    used = set()
    for _ in range(rounds):
        bench.clock.advance(STEP)
        used.update(endpoint.name for endpoint in bench.choose().ok.endpoints)
    return used


def report_draining(bench, zone="a1", count=4):
    for number in range(count):
        bench.steering.on_report(f"{zone}-{number}", report(bench, "draining"))


def check_bound(used, zone="a1", count=4):
    """Fail if more than half of a zone's endpoints were excluded."""
    assert sum(f"{zone}-{number}" in used for number in range(count)) >= count / 2


def test_false_drain_reports_cannot_empty_a_zone():
    bench = Bench(document({"a1": 1}, per_zone=4))
    report_draining(bench)
    used = used_endpoints(bench)
    check_bound(used)
    assert len(used) == 2
    for name in used:
        bench.steering.on_result(name, True, LATENCY)
    bench.clock.advance(seconds(6))
    assert len(used_endpoints(bench)) == 4


def test_check_bound_detects_unbounded_ejection(monkeypatch):
    monkeypatch.setattr(hints, "MAX_EJECTED_FRACTION", 1.0)
    bench = Bench(document({"a1": 1}, per_zone=4))
    report_draining(bench)
    with pytest.raises(AssertionError):
        check_bound(used_endpoints(bench))


def test_leaving_endpoint_gets_no_requests_once_confirmed():
    bench = Bench(document({"a1": 1}, per_zone=4))
    report_draining(bench)
    kept, _ = used_endpoints(bench)
    bench.steering.on_shed(kept)
    bench.clock.advance(seconds(2))
    report_draining(bench)
    assert kept not in used_endpoints(bench)
    bench.clock.advance(seconds(10))
    bench.steering.on_leaving(["a1-3"])
    assert used_endpoints(bench) == {"a1-0", "a1-1", "a1-2"}


def test_lost_and_expired_reports_are_ignored():
    bench = Bench(document({"a1": 1}))
    bench.steering.on_report("a1-0", report(bench, "ready", running=4))
    assert {bench.choose().ok.endpoints[0].name for _ in range(6)} == {"a1-1"}
    for _ in range(100):
        bench.clock.advance(seconds(0.1))
        bench.steering.on_report_lost("a1-0")
        bench.steering.on_report_lost("a1-1")
    assert {bench.choose().ok.endpoints[0].name for _ in range(6)} == {"a1-0", "a1-1"}


def test_all_of_many_endpoints_are_used_and_a_free_one_is_found():
    bench = Bench(document({"a1": 1}, per_zone=40))
    assert len({bench.choose().ok.endpoints[0].name for _ in range(40)}) == 40
    bench.full = {f"slots/a1-{number}" for number in range(40) if number != 7}
    assert {bench.choose().ok.endpoints[0].name for _ in range(40)} == {"a1-7"}


@pytest.mark.parametrize("overflow_before", [(), ("a2",)])
def test_overflow_demand_does_not_jump_to_the_target_of_a_move(overflow_before):
    """Unmet overflow demand must not accumulate and go to a new zone at once."""
    rules = [{"name": "all", "when": {}, "then": then({"a1": 1}, spill=["r2"])}]
    if not overflow_before:
        rules[0]["then"]["spill"] = []
    bench = Bench(document({}, cap=10.0, rules=rules))
    bench.full = {"slots/a1-0", "slots/a1-1"}
    for zone in {"b1", "a2", "b2"} - set(overflow_before):
        bench.full |= {f"slots/{zone}-0", f"slots/{zone}-1"}
    bench.run(seconds(5))
    bench.full -= {"slots/b1-0", "slots/b1-1"}
    since = bench.clock.utcnow().isoformat()
    move = {"service": "menus", "origin": "a1", "target": "b1", "percent": 60, "since": since}
    rows = {"m": {**move, "cap_percent_per_s": 10.0}}
    bench.configure(document({}, cap=10.0, rules=rules, moves=rows))
    sent = bench.run(seconds(4))
    check_growth(sent, "b1", 0.1, 0.0)
    assert share(sent, "b1") > 0.1
