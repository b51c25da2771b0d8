"""Whole sessions of the command, against a store, a VM list and entries held in memory."""

import contextlib
import io
import json
import shlex
from datetime import timedelta

import pytest
from cardamomloft.core.changes import decode_record, verify_chain
from cardamomloft.core.clock import ManualClock
from cardamomloft.core.membership import VmRow
from cardamomloft.operators import main, recording
from cardamomloft.operators.outcomes import ExitCode
from cardamomloft.operators.running import Streams
from cardamomloft.operators.session import Session
from cardamomloft.store.failures import StoreFailure
from cardamomloft.store.keyvalue import Record
from expression import Error, Ok
from twisted.internet.defer import Deferred, succeed

CURRENT = recording.CURRENT_KEY


class FakeStore:
    """Keys in memory; `faults` are (operation, key prefix, effect), each used once in order.

    Effects: "down" (a definite failure), "lost" (no answer and no write), "late" (no answer, but
    written). A callable runs before the operation, as another operator would, and may return one.
    """

    def __init__(self):
        self.values = {}
        self.version = 0
        self.faults = []
        self.writes = []

    def get(self, key):
        effect = self._effect("get", key)
        if effect is not None:
            return succeed(Error(StoreFailure(False, "store is down")))
        return succeed(Ok(self.values.get(key)))

    def compare_and_swap(self, key, value, version):
        effect = self._effect("swap", key)
        if effect == "down":
            return succeed(Error(StoreFailure(False, "store is down")))
        held = self.values.get(key)
        swapped = effect != "lost" and version == (held.version if held else 0)
        if swapped:
            self.put(key, value)
        if effect is not None:
            return succeed(Error(StoreFailure(True, "no answer")))
        return succeed(Ok(swapped))

    def put(self, key, value):
        self.version += 1
        self.writes.append(key)
        self.values[key] = Record(value, self.version)

    def _effect(self, operation, key):
        for fault in self.faults:
            if fault[0] == operation and key.startswith(fault[1]):
                self.faults.remove(fault)
                return fault[2]() if callable(fault[2]) else fault[2]
        return None


class World:
    """One deployment and the terminal of its operators."""

    def __init__(self, folder):
        self.folder = folder
        self.clock = ManualClock()
        self.store = FakeStore()
        self.vms = {}
        self.stuck = {}
        self.silent = set()
        self.drains = {}
        self.asked = []
        self.lives = {}
        self.on_asked = {}

    @property
    def current(self):
        held = self.store.values.get(CURRENT)
        return decode_record(held.value).default_value(None) if held else None

    def file(self, name, document):
        (self.folder / name).write_text(json.dumps(document))

    def status(self, address):
        seat = f"e{int(address.rpartition(':')[2]) % 100}"
        self.asked.append(seat)
        self.on_asked.pop((seat, self.asked.count(seat)), lambda: None)()
        if seat in self.silent:
            return succeed(Error("unreachable (TimeoutError)"))
        number = self.current["number"] if self.current else 0
        announced = self.current is not None and "drains" in self.current["document"]
        rows = self.drains.get(seat, []) if announced else []
        shown = rows.pop(0) if len(rows) > 1 else (rows or [[]])[0]
        status = make_status(seat, self.stuck.get(seat, number), shown)
        return succeed(Ok({**status, "incarnation": f"{seat}/{self.lives.get(seat, 1)}"}))

    def fetch(self):
        rows = [VmRow(name, state, self.clock.utcnow()) for name, state in self.vms.items()]
        return succeed(Ok(rows))

    def sleep(self, span):
        self.clock.advance(span)
        return succeed(None)

    def run(self, line, monkeypatch):
        """Run one command line; return its exit code and what it printed, problems included."""
        ended = []

        def execute(options, command):
            streams = Streams(options.json)
            known = tuple(options.entry or ())
            session = Session(self.store, self, self, self.clock, self.sleep, streams, "ann", known)
            finished = []
            Deferred.fromCoroutine(command(session)).addCallback(finished.append)
            ended.append(streams.finish(finished[0]))

        monkeypatch.setattr(main, "execute", execute)
        monkeypatch.chdir(self.folder)
        printed = io.StringIO()
        with contextlib.redirect_stdout(printed), contextlib.redirect_stderr(printed):
            main.bind(shlex.split(line))()
        return ended[0], printed.getvalue()


def make_status(seat, revision, drains):
    slots = {"slots_free": 2, "slots_total": 4, "in_flight": 2, "queued": 0}
    return {
        "seat": seat,
        "incarnation": f"{seat}/1",
        "zone": "north-a",
        "region": "north",
        "revision": revision,
        "settled": revision,
        "state": "ready",
        "ready": True,
        "services": {"menus": slots},
        "drains": drains,
        "limits": [],
        "vms_age_ms": 1500,
        "store_age_ms": 40.0,
    }


def make_document(**changes):
    def entry(number, zone):
        ports = {"callers": 71, "peers": 72, "operators": 73}
        addresses = {key: f"127.0.0.1:{port}0{number}" for key, port in ports.items()}
        return {"zone": zone, **addresses}

    def upstream(number, zone):
        address = f"127.0.0.1:900{number}"
        return {"zone": zone, "address": address, "slots": 4, "connections": 90}

    menus = {
        "prefix": "/menus",
        "deadline_ms": 800,
        "max_deadline_ms": 5000,
        "shift_cap_percent_per_s": 2,
        "upstreams": {"m-1": upstream(1, "north-a"), "m-2": upstream(2, "south-a")},
    }
    near = {"places": [{"region": "north", "weight": 3}, {"region": "south", "weight": 1}]}
    rules = [
        {"name": "no-bulk", "when": {"priority": "bulk"}, "then": {"refuse": "not at lunch"}},
        {"name": "menus", "when": {"service": "menus"}, "then": near},
    ]
    return {
        "format": 1,
        "deployment": "trial",
        "regions": {"north": ["north-a"], "south": ["south-a"]},
        "entries": {
            "e1": entry(1, "north-a"),
            "e2": entry(2, "north-a"),
            "e3": entry(3, "south-a"),
        },
        "services": {"menus": {**menus, **changes.pop("menus", {})}},
        "clients": {"default": "north"},
        "rules": rules,
        **changes,
    }


@pytest.fixture
def world(tmp_path):
    found = World(tmp_path)
    found.file("first.json", make_document())
    found.file("longer.json", make_document(menus={"deadline_ms": 900}))
    found.file("spill.json", make_document(menus={"spill_percent": 10}))
    return found


@pytest.fixture
def ctl(world, monkeypatch):
    return lambda line: world.run(line, monkeypatch)


@pytest.fixture
def started(world, ctl):
    assert ctl("apply first.json --why start --change c1")[0] is ExitCode.OK
    world.store.writes.clear()
    return world


def drain_rows(*steps):
    row = {"name": "north-a", "kind": "zone"}
    return [
        [{**row, "in_flight": running, "expected_end_ms": end, "done": running == 0}]
        for running, end in steps
    ]


def transcript(ctl, *lines):
    parts = []
    for line in lines:
        code, printed = ctl(line)
        parts.append(f"$ cardamomctl {line}\n{printed}[exit {int(code)}]\n")
    text = "\n".join(parts)
    assert all(len(row) <= 100 or row.startswith("$") for row in text.split("\n"))
    return text


def as_json(ctl, line):
    code, printed = ctl(f"{line} --json")
    return code, json.loads(printed[printed.index("{") :])


def trail(world):
    entries = []
    while held := world.store.values.get(f"audit/{len(entries) + 1}"):
        entries.append(held.value)
    return entries


def test_session_of_everyday_work(world, ctl, snapshot):
    wrong = make_document(menus={"deadline_ms": 0}, rule=[])
    world.file("wrong.json", wrong)
    running = ((3, 2600), (3, 2500), (1, 900), (0, None))
    world.drains = {"e1": drain_rows(*running), "e2": drain_rows((0, None))}
    world.drains["e3"] = drain_rows((0, None))
    assert snapshot == transcript(
        ctl,
        "check wrong.json",
        "check first.json",
        "status",
        "apply first.json --why 'first deployment' --change c1",
        "apply first.json --why 'again' --change c2",
        "plan longer.json",
        "apply longer.json --why 'slow menus' --change c3",
        "drain zone north-a --why 'power work' --change c4",
        "status",
        "drain zone north-a --why 'power work' --undo --change c5",
        "move menus north-a south-a --percent 50 --why 'warm south' --change c6",
        "move menus north-a south-a --undo --why 'done' --change c7",
        "drain region south --at 2026-02-01T08:00-05:00 --why 'planned' --change c8",
        "audit --last 3 --verify",
        "explain GET /menus/7 --client 127.0.0.9 --header x-priority=bulk",
        "explain GET /menus/7 --zone south-a",
    )


def test_session_of_two_operators(started, ctl, snapshot):
    assert snapshot == transcript(
        ctl,
        "apply longer.json --why 'slow menus' --who ann --change c2",
        "apply spill.json --why 'spill' --who bob --change c3",
        "plan spill.json",
        "apply spill.json --base 1 --why 'spill' --who bob --change c3",
        "apply spill.json --base 2 --why 'back, and spill' --who bob --change c4",
        "audit",
    )


def test_session_of_entries_that_cannot_be_asked(started, ctl, snapshot):
    started.silent = {"e2", "e3"}
    started.stuck = {"e1": 1}
    started.vms = {"e1": "live", "e2": "gone", "e3": "live"}
    first = transcript(ctl, "apply longer.json --why w --change c2 --wait 3", "status")
    started.stuck = {}
    started.silent = {"e2"}
    assert snapshot == first + transcript(ctl, "apply longer.json --why w --change c2")


def test_session_with_the_store_away(started, ctl, snapshot):
    down = [("get", "", "down")] * 2
    started.store.faults = down * 3
    assert snapshot == transcript(
        ctl,
        "status",
        "status --entry 127.0.0.1:7301 127.0.0.1:7302",
        "apply longer.json --why w",
        "drain zone north-a --why w",
        "explain GET /menus",
        "audit",
    )
    assert started.store.writes == []


def test_the_loser_of_a_race_sees_the_winner_and_loses_nothing(started, ctl):
    def overtake():
        ctl("apply spill.json --why faster --who bob --change b2")

    started.store.faults = [("swap", CURRENT, overtake)]
    code, payload = as_json(ctl, "apply longer.json --why w --change a2")
    assert code is ExitCode.CONFLICT and started.current["change"] == "b2"
    (winner,) = payload["recorded"]
    assert (winner["who"], winner["why"]) == ("bob", "faster")
    assert [row["path"] for row in winner["difference"]] == ["services.menus.spill_percent"]
    assert payload["overlaps"] == []
    code, payload = as_json(ctl, "apply longer.json --why w --change a2")
    assert code is ExitCode.CONFLICT and payload["overlaps"][0]["touch"] == "undoes"


def test_a_race_on_the_same_path_says_so(started, ctl):
    started.file("other.json", make_document(menus={"deadline_ms": 700}))
    started.store.faults = [("swap", CURRENT, lambda: ctl("apply other.json --why x --change b2"))]
    code, payload = as_json(ctl, "apply longer.json --why w --change a2")
    assert code is ExitCode.CONFLICT
    assert [o["touch"] for o in payload["overlaps"]] == ["edits the same path"]


def test_announcements_commute_with_a_change_that_came_first(started, ctl):
    started.drains = {seat: drain_rows((0, None)) for seat in ("e1", "e2", "e3")}
    overtake = ("swap", CURRENT, lambda: ctl("apply longer.json --why x --who bob --change b2"))
    started.store.faults = [overtake]
    code, payload = as_json(ctl, "drain zone north-a --why w --change a2")
    assert (code, payload["revision"]) == (ExitCode.OK, 3)
    document = started.current["document"]
    assert document["services"]["menus"]["deadline_ms"] == 900 and "north-a" in document["drains"]
    assert verify_chain(trail(started)).ok == 3


def test_announcements_give_up_after_some_lost_races(started, ctl):
    waits = iter(range(900, 1000))

    def overtake():
        held = json.loads(started.store.values[CURRENT].value)
        held["document"]["services"]["menus"]["deadline_ms"] = next(waits)
        held |= {
            "number": held["number"] + 1,
            "parent": held["change"],
            "change": f"b{next(waits)}",
        }
        started.store.put(CURRENT, json.dumps(held).encode())

    started.store.faults = [("swap", CURRENT, overtake) for _ in range(9)]
    assert ctl("drain zone north-a --why w --change a2")[0] is ExitCode.CONFLICT
    assert "drains" not in started.current["document"]


def test_an_undone_announcement_leaves_the_file_in_force(started, ctl):
    started.file("plans.json", make_document(drains={}, moves={}))
    for line in ("drain zone north-a --at 2026-02-01T00:00Z", "drain zone north-a --undo"):
        assert ctl(f"{line} --why w")[0] is ExitCode.OK
    started.store.writes.clear()
    for name in ("first", "plans"):
        assert as_json(ctl, f"apply {name}.json --why w")[1]["outcome"] == "no change"
    assert started.store.writes == []


@pytest.mark.parametrize("effect", ["lost", "late"])
def test_a_write_without_an_answer_is_settled(started, ctl, effect):
    started.store.faults = [("swap", CURRENT, effect)]
    code, payload = as_json(ctl, "apply longer.json --why w --change a2")
    assert (code, payload["revision"], payload["change"]) == (ExitCode.OK, 2, "a2")
    assert started.store.writes.count(CURRENT) == 1
    assert verify_chain(trail(started)).ok == 2


def test_a_late_write_is_found_under_later_revisions(started, ctl):
    def others():
        ctl("apply longer.json --why w --change a2")
        ctl("drain region south --at 2026-02-01T00:00Z --why x --change b3")
        ctl("drain region north --at 2026-02-01T00:00Z --why y --change b4")

    def lose_answer():
        started.store.faults.append(("get", CURRENT, others))
        return "lost"

    started.store.faults = [("swap", CURRENT, lose_answer)]
    code, payload = as_json(ctl, "apply longer.json --why w --change a2")
    assert (code, payload["revision"]) == (ExitCode.OK, 2)
    assert [json.loads(raw)["change"] for raw in trail(started)] == ["c1", "a2", "b3", "b4"]


def test_an_unknown_outcome_says_so_and_is_found_by_its_change_id(started, ctl):
    def go_down():
        started.store.faults += [("get", "", "down")] * recording.READ_TRIES
        return "late"

    started.store.faults = [("swap", CURRENT, go_down)]
    code, payload = as_json(ctl, "apply longer.json --why w --change a2")
    assert code is ExitCode.UNKNOWN and payload["change"] == "a2"
    assert started.current["change"] == "a2" and len(trail(started)) == 1
    code, payload = as_json(ctl, "apply longer.json --why w --change a2")
    assert (code, payload["outcome"]) == (ExitCode.OK, "accepted")
    assert started.store.writes.count(CURRENT) == 1 and verify_chain(trail(started)).ok == 2


@pytest.mark.parametrize("first_lands", [True, False])
def test_a_repeated_attempt_is_audited_as_the_one_that_landed(started, ctl, first_lands):
    def lose_answer():
        started.store.faults += [("get", "", "down")] * recording.READ_TRIES
        held.append(started.store.values[CURRENT])
        return "late"

    def land():
        if first_lands:
            started.store.put(CURRENT, held[1])

    held = []
    line = "move menus north-a south-a --percent 5 --why w --change a2"
    started.store.faults = [("swap", CURRENT, lose_answer)]
    assert ctl(line)[0] is ExitCode.UNKNOWN
    held.append(started.store.values[CURRENT].value)
    started.store.values[CURRENT] = held[0]
    started.clock.advance(timedelta(minutes=1))
    started.store.faults = [("swap", CURRENT, land)]
    assert as_json(ctl, line)[0] is ExitCode.OK
    assert (started.store.values[CURRENT].value == held[1]) == first_lands
    (change,) = json.loads(trail(started)[1])["difference"]
    assert change["new"] == started.current["document"]["moves"]
    assert ctl("audit --verify")[0] is ExitCode.OK


def test_a_change_id_is_not_taken_for_another_file(started, ctl):
    assert ctl("apply longer.json --why w --change a2")[0] is ExitCode.OK
    assert ctl("apply spill.json --why w --change a2")[0] is ExitCode.REFUSED
    assert started.current["number"] == 2


@pytest.mark.parametrize(
    ("fault", "code"),
    [
        (("get", CURRENT, "down"), ExitCode.UNAVAILABLE),
        (("get", "audit/1", "down"), ExitCode.UNAVAILABLE),
        (("swap", "difference/", "down"), ExitCode.OK),
        (("swap", CURRENT, "down"), ExitCode.UNAVAILABLE),
        (("swap", "audit/2", "down"), ExitCode.OK),
    ],
)
def test_one_failed_call_leaves_a_definite_outcome(started, ctl, fault, code):
    started.store.faults = [fault]
    assert as_json(ctl, "apply longer.json --why w --change a2")[0] is code
    assert (CURRENT in started.store.writes) == (code is ExitCode.OK)


def test_a_store_that_is_down_before_the_swap_leaves_the_configuration(started, ctl):
    started.store.faults = [("swap", "difference/", "down")] * 3
    code, payload = as_json(ctl, "apply longer.json --why w --change a2")
    assert code is ExitCode.UNAVAILABLE and "nothing was written" in payload["error"]
    assert started.store.writes == []


@pytest.mark.parametrize("mender", ["drain zone north-a --why x --at 2026-02-01T00:00Z", "audit"])
def test_an_audit_entry_that_its_writer_lost_is_written_by_the_next(started, ctl, mender):
    started.store.faults = [("swap", "audit/2", "down")] * 3
    code, payload = as_json(ctl, "apply longer.json --why w --change a2")
    assert (code, payload["audited"]) == (ExitCode.OK, False) and len(trail(started)) == 1
    assert ctl(mender)[0] is ExitCode.OK
    entry = json.loads(trail(started)[1])
    assert (entry["change"], entry["why"]) == ("a2", "w")
    assert entry["difference"] == [{"path": "services.menus.deadline_ms", "old": 800, "new": 900}]
    assert ctl("audit --verify")[0] is ExitCode.OK


def test_a_changed_audit_entry_is_noticed(started, ctl):
    ctl("apply longer.json --why w --change a2")
    ctl("drain zone north-a --why x --at 2026-02-01T00:00Z")
    for number in (1, 3):
        honest = started.store.values[f"audit/{number}"]
        forged = honest.value.replace(b'"who":"ann"', b'"who":"bob"')
        started.store.values[f"audit/{number}"] = honest._replace(value=forged)
        code, payload = as_json(ctl, "audit --verify")
        assert (code, payload["outcome"]) == (ExitCode.REFUSED, "broken")
        started.store.values[f"audit/{number}"] = honest
    assert ctl("audit --verify")[0] is ExitCode.OK


def test_a_restored_store_goes_on_above_what_entries_hold(started, ctl):
    started.stuck = {"e2": 9}
    code, payload = as_json(ctl, "apply longer.json --why w --change a2 --wait 0")
    assert (code, payload["revision"]) == (ExitCode.RECORDED, 10)
    started.stuck = {}
    assert ctl("drain zone north-a --why x --at 2026-02-01T00:00Z")[0] is ExitCode.OK
    assert ctl("audit --verify")[0] is ExitCode.OK


def test_a_removed_entry_counts_until_it_knows_or_is_gone(started, ctl):
    smaller = make_document()
    del smaller["entries"]["e3"]
    started.file("smaller.json", smaller)
    started.stuck = {"e3": 1}
    code, payload = as_json(ctl, "apply smaller.json --why w --change a2 --wait 1")
    assert code is ExitCode.RECORDED
    assert [row["entry"] for row in payload["lacking"]] == ["e3"]
    started.vms = {"e3": "live"}
    code, payload = as_json(ctl, "drain zone north-a --why x --at 2026-02-01T00:00Z --wait 1")
    assert [row["entry"] for row in payload["lacking"]] == ["e3"]
    started.silent, started.vms = {"e3"}, {}
    code, payload = as_json(ctl, "apply smaller.json --why w --change a2")
    assert (code, payload["out"]) == (ExitCode.OK, ["e3"])


def test_entries_that_have_the_revision_are_not_asked_again(started, ctl):
    started.stuck = {"e2": 1}
    started.asked.clear()
    assert ctl("apply longer.json --why w --wait 2")[0] is ExitCode.RECORDED
    assert started.asked.count("e2") > 3 and started.asked.count("e1") == 2


def test_an_entry_replaced_by_an_older_one_undoes_what_its_predecessor_said(started, ctl):
    """The counter-example to one round: a new e1 takes revision 1 from e2, which then gets 2."""

    def replace():
        started.stuck = {"e1": 1}
        started.lives["e1"] = 2

    started.stuck = {"e2": 1}
    started.asked.clear()
    started.on_asked[("e2", 3)] = replace
    started.on_asked[("e2", 4)] = lambda: started.stuck.pop("e2", None)
    code, payload = as_json(ctl, "apply longer.json --why w --change a2 --wait 5")
    assert (code, payload["outcome"]) == (ExitCode.RECORDED, "recorded")
    assert [(row["entry"], row["revision"]) for row in payload["lacking"]] == [("e1", 1)]
    started.stuck = {}
    assert ctl("apply longer.json --why w --change a2")[0] is ExitCode.OK


@pytest.mark.parametrize(("wait", "code"), [(0, ExitCode.RECORDED), (5, ExitCode.OK)])
def test_an_entry_replaced_between_the_rounds_is_asked_once_more(started, ctl, wait, code):
    started.asked.clear()
    started.on_asked[("e3", 3)] = lambda: started.lives.update(e3=2)
    ended, payload = as_json(ctl, f"apply longer.json --why w --change a2 --wait {wait}")
    assert ended is code
    lacking = [] if code is ExitCode.OK else ["has revision 2, but was started meanwhile"]
    assert [row["detail"] for row in payload["lacking"]] == lacking


def test_without_the_vm_list_a_seat_removed_earlier_still_counts(started, ctl):
    smaller = make_document()
    del smaller["entries"]["e3"]
    started.file("smaller.json", smaller)
    started.stuck = {"e3": 1}
    assert ctl("apply smaller.json --why w --wait 0")[0] is ExitCode.RECORDED
    started.fetch = lambda: succeed(Error("unreachable"))
    line = "drain zone north-a --why x --at 2026-02-01T00:00Z --wait 1"
    code, payload = as_json(ctl, line)
    assert code is ExitCode.RECORDED
    assert [row["entry"] for row in payload["lacking"]] == ["e3"]


def test_a_drain_of_an_entry_waits_for_that_entry(started, ctl):
    row = {"name": "e2", "kind": "entry", "expected_end_ms": None}
    done = [[{**row, "in_flight": 0, "done": True}]]
    busy = [[{**row, "in_flight": 2, "done": False}]] * 4
    started.drains = {"e1": done, "e2": busy + done, "e3": done}
    code, payload = as_json(ctl, "drain entry e2 --why w --wait 20")
    assert (code, payload["drain"]["state"]) == (ExitCode.OK, "done")
    assert payload["drain"]["actual_s"] == 1
    assert started.current["document"]["drains"]["e2"]["kind"] == "entry"


def test_a_drain_that_does_not_end_in_time_has_its_own_code(started, ctl):
    started.drains = {"e1": drain_rows((2, 60_000)), "e2": drain_rows((0, None))}
    started.drains["e3"] = drain_rows((0, None))
    code, payload = as_json(ctl, "drain zone north-a --why w --wait 20")
    assert code is ExitCode.DRAINING
    assert payload["drain"]["pending"] == ["e1"] and payload["drain"]["actual_s"] == 20
    assert payload["drain"]["expected_s"] == 60
    started.drains["e1"] = drain_rows((0, None))
    started.store.writes.clear()
    code, payload = as_json(ctl, "drain zone north-a --why w --wait 20")
    assert (code, payload["drain"]["state"]) == (ExitCode.OK, "done")
    assert started.store.writes == []


def test_an_entry_that_goes_while_draining_does_not_hold_the_drain_up(started, ctl):
    started.drains = {seat: drain_rows((0, None)) for seat in ("e1", "e2")}
    started.drains["e3"] = drain_rows((5, 900))
    started.vms = {"e3": "live"}
    started.sleep = leave_after(started, "e3", 4)
    code, payload = as_json(ctl, "drain zone north-a --why w --wait 20")
    assert code is ExitCode.OK and payload["drain"]["actual_s"] < 5


def leave_after(world, seat, sleeps):
    def sleep(span):
        nonlocal sleeps
        sleeps -= 1
        if sleeps == 0:
            world.silent.add(seat)
            world.vms[seat] = "gone"
        world.clock.advance(span)
        return succeed(None)

    return sleep


@pytest.mark.parametrize(
    ("line", "code"),
    [
        ("drain zone nowhere --why w", ExitCode.REFUSED),
        ("drain zone nowhere --undo --why w", ExitCode.REFUSED),
        ("drain zone north-a --undo --why w", ExitCode.OK),
        ("move menus north-a nowhere --percent 5 --why w", ExitCode.REFUSED),
        ("move menus north-a south-a --percent 101 --why w", ExitCode.REFUSED),
        ("move menus north-a south-a --percent 5 --cap 0 --why w", ExitCode.REFUSED),
        ("move menus north-a south-a --percent 5 --cap 50 --why w", ExitCode.REFUSED),
        ("move menus north-a south-a --undo --why w", ExitCode.OK),
        ("move menus north-a south-a --why w", ExitCode.USAGE),
        ("apply missing.json --why w", ExitCode.REFUSED),
        ("audit --last 0", ExitCode.USAGE),
        ("explain GET /nothing", ExitCode.REFUSED),
        ("explain GET /menus --zone nowhere", ExitCode.REFUSED),
        ("explain GET /menus --client 1.2.3", ExitCode.USAGE),
        ("explain GET /menus --header x", ExitCode.USAGE),
    ],
)
def test_bad_requests_are_refused_and_write_nothing(started, ctl, line, code):
    assert ctl(line)[0] is code
    assert started.store.writes == []


@pytest.mark.parametrize(
    "line",
    [
        "",
        "apply first.json",
        "apply first.json --why ' '",
        "drain rack r1 --why w",
        "drain zone north-a --why w --wait nan",
        "drain zone north-a --why w --at 2026-02-01T08:00",
        "move menus north-a south-a --percent -5 --why w",
        "status --nonsense",
    ],
)
def test_faulty_command_lines_are_usage_errors(ctl, line):
    with pytest.raises(SystemExit) as stopped:
        ctl(line)
    assert stopped.value.code == ExitCode.USAGE


def test_commands_need_a_first_revision(world, ctl):
    for line in ("drain zone north-a --why w", "explain GET /menus"):
        assert ctl(line)[0] is ExitCode.REFUSED
    assert ctl("audit")[0] is ExitCode.OK and world.store.writes == []


def test_a_record_that_cannot_be_read_is_left_alone(started, ctl):
    started.store.put(CURRENT, b'{"number": 2}')
    started.store.writes.clear()
    assert ctl("apply longer.json --why w")[0] is ExitCode.REFUSED
    assert ctl("status --entry 127.0.0.1:7301")[0] is ExitCode.OK
    assert started.store.writes == []


def test_what_the_store_cannot_hold_is_refused(started, ctl):
    blocks = {f"10.{n >> 8}.{n & 255}.0/24": "north" for n in range(50_000)}
    started.file("large.json", make_document(clients={"default": "north", "blocks": blocks}))
    for letter in "ab":
        rules = [{"name": "all", "when": {}, "then": {"refuse": letter * 600_000}}]
        started.file(f"{letter}.json", make_document(rules=rules))
    assert ctl("apply a.json --why w")[0] is ExitCode.OK
    started.store.writes.clear()
    for name in ("large", "b"):
        code, payload = as_json(ctl, f"apply {name}.json --why w --base 2")
        assert code is ExitCode.REFUSED and "bytes" in payload["error"]
    assert started.store.writes == []


def test_waiting_ends_when_the_time_is_over(started, ctl):
    started.stuck = {"e1": 1}
    before = started.clock.monotonic()
    assert ctl("apply longer.json --why w --wait 7")[0] is ExitCode.RECORDED
    assert started.clock.monotonic() - before == timedelta(seconds=7)


def test_a_block_map_is_published_once_by_chunks_that_a_change_leaves_alone(world, ctl):
    blocks = {f"10.{a}.{b}.0/24": f"site-{b % 5}" for a in range(40) for b in range(250)}
    world.file("blocks.json", blocks)
    code, printed = ctl("publish blocks.json --default north --json")
    first = json.loads(printed)
    assert code is ExitCode.OK and first["written"] == len(first["clients"]["chunks"]) > 1
    assert json.loads(ctl("publish blocks.json --default north --json")[1])["written"] == 0
    world.file("blocks.json", {**blocks, "10.3.7.0/24": "site-new"})
    again = json.loads(ctl("publish blocks.json --default north --json")[1])
    assert again["written"] == 1 and len(again["clients"]["chunks"]) == len(
        first["clients"]["chunks"]
    )


def test_publishing_a_bad_map_or_without_a_store_writes_nothing_wrong(world, ctl):
    world.file("blocks.json", {"10.0.0.0/33": "a"})
    code, printed = ctl("publish blocks.json --default north")
    assert code is ExitCode.REFUSED and "10.0.0.0/33" in printed
    assert world.store.writes == []
    world.file("blocks.json", {"10.0.0.0/8": "a"})
    world.store.faults = [("swap", "map/", "late")]
    assert ctl("publish blocks.json --default north")[0] is ExitCode.OK
    world.store.faults = [("swap", "map/", "down")]
    world.file("blocks.json", {"11.0.0.0/8": "a"})
    assert ctl("publish blocks.json --default north")[0] is ExitCode.UNAVAILABLE
