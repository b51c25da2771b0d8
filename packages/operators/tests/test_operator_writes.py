"""Writes to the store under races, lost answers and store failures."""

import json
from datetime import timedelta

import pytest
from cardamomloft.core.changes import verify_chain
from cardamomloft.operators import recording
from cardamomloft.operators.outcomes import ExitCode
from cardamomloft_standins.operating import CURRENT, as_json, drain_rows, make_document, trail


def test_a_lost_race_is_a_conflict_that_shows_the_winning_change(started, ctl):
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


def test_a_race_on_the_same_path_is_reported_as_such(started, ctl):
    started.file("other.json", make_document(menus={"deadline_ms": 700}))
    started.store.faults = [("swap", CURRENT, lambda: ctl("apply other.json --why x --change b2"))]
    code, payload = as_json(ctl, "apply longer.json --why w --change a2")
    assert code is ExitCode.CONFLICT
    assert [o["touch"] for o in payload["overlaps"]] == ["edits the same path"]


def test_a_drain_is_retried_on_a_change_recorded_first(started, ctl):
    started.drains = {seat: drain_rows((0, None)) for seat in ("e1", "e2", "e3")}
    overtake = ("swap", CURRENT, lambda: ctl("apply longer.json --why x --who bob --change b2"))
    started.store.faults = [overtake]
    code, payload = as_json(ctl, "drain zone north-a --why w --change a2")
    assert (code, payload["revision"]) == (ExitCode.OK, 3)
    document = started.current["document"]
    assert document["services"]["menus"]["deadline_ms"] == 900 and "north-a" in document["drains"]
    assert verify_chain(trail(started)).ok == 3


def test_a_drain_gives_up_after_repeated_lost_races(started, ctl):
    deadlines = iter(range(900, 1000))

    def overtake():
        held = json.loads(started.store.values[CURRENT].value)
        held["document"]["services"]["menus"]["deadline_ms"] = next(deadlines)
        held |= {
            "number": held["number"] + 1,
            "parent": held["change"],
            "change": f"b{next(deadlines)}",
        }
        started.store.put(CURRENT, json.dumps(held).encode())

    started.store.faults = [("swap", CURRENT, overtake) for _ in range(9)]
    assert ctl("drain zone north-a --why w --change a2")[0] is ExitCode.CONFLICT
    assert "drains" not in started.current["document"]


def test_undoing_a_drain_restores_an_equal_document(started, ctl):
    started.file("plans.json", make_document(drains={}, moves={}))
    for line in ("drain zone north-a --at 2026-02-01T00:00Z", "drain zone north-a --undo"):
        assert ctl(f"{line} --why w")[0] is ExitCode.OK
    started.store.writes.clear()
    for name in ("first", "plans"):
        assert as_json(ctl, f"apply {name}.json --why w")[1]["outcome"] == "no change"
    assert started.store.writes == []


@pytest.mark.parametrize("effect", ["lost", "late"])
def test_a_write_without_an_answer_is_recorded_once(started, ctl, effect):
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


def test_an_unknown_outcome_is_resolved_by_its_change_id(started, ctl):
    def go_down():
        started.store.faults += [("get", "", "down")] * recording.MAX_READ_ATTEMPTS
        return "late"

    started.store.faults = [("swap", CURRENT, go_down)]
    code, payload = as_json(ctl, "apply longer.json --why w --change a2")
    assert code is ExitCode.UNKNOWN and payload["change"] == "a2"
    assert started.current["change"] == "a2" and len(trail(started)) == 1
    code, payload = as_json(ctl, "apply longer.json --why w --change a2")
    assert (code, payload["outcome"]) == (ExitCode.OK, "accepted")
    assert started.store.writes.count(CURRENT) == 1 and verify_chain(trail(started)).ok == 2


@pytest.mark.parametrize("first_attempt_written", [True, False])
def test_a_retried_change_is_audited_as_the_attempt_that_was_recorded(
    started, ctl, first_attempt_written
):
    def lose_answer():
        started.store.faults += [("get", "", "down")] * recording.MAX_READ_ATTEMPTS
        held.append(started.store.values[CURRENT])
        return "late"

    def finish_first_write():
        if first_attempt_written:
            started.store.put(CURRENT, held[1])

    held = []
    line = "move menus north-a south-a --percent 5 --why w --change a2"
    started.store.faults = [("swap", CURRENT, lose_answer)]
    assert ctl(line)[0] is ExitCode.UNKNOWN
    held.append(started.store.values[CURRENT].value)
    started.store.values[CURRENT] = held[0]
    started.clock.advance(timedelta(minutes=1))
    started.store.faults = [("swap", CURRENT, finish_first_write)]
    assert as_json(ctl, line)[0] is ExitCode.OK
    assert (started.store.values[CURRENT].value == held[1]) == first_attempt_written
    (change,) = json.loads(trail(started)[1])["difference"]
    assert change["new"] == started.current["document"]["moves"]
    assert ctl("audit --verify")[0] is ExitCode.OK


def test_a_change_id_reused_with_another_file_is_refused(started, ctl):
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


def test_a_store_that_is_down_before_the_swap_leaves_the_configuration_unchanged(started, ctl):
    started.store.faults = [("swap", "difference/", "down")] * 3
    code, payload = as_json(ctl, "apply longer.json --why w --change a2")
    assert code is ExitCode.UNAVAILABLE and "nothing was written" in payload["error"]
    assert started.store.writes == []


@pytest.mark.parametrize(
    "repairing_line", ["drain zone north-a --why x --at 2026-02-01T00:00Z", "audit"]
)
def test_a_missing_audit_entry_is_written_by_the_next_command(started, ctl, repairing_line):
    started.store.faults = [("swap", "audit/2", "down")] * 3
    code, payload = as_json(ctl, "apply longer.json --why w --change a2")
    assert (code, payload["audited"]) == (ExitCode.OK, False) and len(trail(started)) == 1
    assert ctl(repairing_line)[0] is ExitCode.OK
    entry = json.loads(trail(started)[1])
    assert (entry["change"], entry["why"]) == ("a2", "w")
    assert entry["difference"] == [{"path": "services.menus.deadline_ms", "old": 800, "new": 900}]
    assert ctl("audit --verify")[0] is ExitCode.OK


def test_a_forged_audit_entry_is_detected(started, ctl):
    ctl("apply longer.json --why w --change a2")
    ctl("drain zone north-a --why x --at 2026-02-01T00:00Z")
    for number in (1, 3):
        original = started.store.values[f"audit/{number}"]
        forged = original.value.replace(b'"who":"ann"', b'"who":"bob"')
        started.store.values[f"audit/{number}"] = original._replace(value=forged)
        code, payload = as_json(ctl, "audit --verify")
        assert (code, payload["outcome"]) == (ExitCode.REFUSED, "broken")
        started.store.values[f"audit/{number}"] = original
    assert ctl("audit --verify")[0] is ExitCode.OK


def test_a_restored_store_continues_above_the_entries_revisions(started, ctl):
    started.pinned_revisions = {"e2": 9}
    code, payload = as_json(ctl, "apply longer.json --why w --change a2 --wait 0")
    assert (code, payload["revision"]) == (ExitCode.RECORDED, 10)
    started.pinned_revisions = {}
    assert ctl("drain zone north-a --why x --at 2026-02-01T00:00Z")[0] is ExitCode.OK
    assert ctl("audit --verify")[0] is ExitCode.OK
