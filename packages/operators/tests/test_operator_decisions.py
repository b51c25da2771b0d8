"""Functions of the operators' command without input or output."""

from datetime import UTC, datetime, timedelta

import pytest
from cardamomloft.core.difference import difference
from cardamomloft.operators import conflicts, editing
from cardamomloft.operators.acceptance import (
    EntryReport,
    Verdict,
    drain_progress,
    evaluate_acceptance,
)
from cardamomloft.operators.conflicts import OverlapKind
from cardamomloft.operators.editing import MoveRequest
from cardamomloft.operators.fleet import read_status
from cardamomloft.operators.rendering import WIDTH, table
from cardamomloft.operators.settings import load_settings
from expression import Error, Ok
from hypothesis import given, settings
from hypothesis import strategies as st

NOW = datetime(2026, 1, 1, 12, tzinfo=UTC)
LATER = NOW + timedelta(hours=2)


def make_document(**tables):
    upstream = {"address": "127.0.0.1:9000", "slots": 4, "connections": 90}
    services = {
        "menus": {
            "prefix": "/menus",
            "deadline_ms": 800,
            "max_deadline_ms": 5000,
            "shift_cap_percent_per_s": 2,
            "upstreams": {"m-1": {"zone": "north-a", **upstream}},
        },
        "media": {
            "prefix": "/media",
            "deadline_ms": 800,
            "max_deadline_ms": 5000,
            "upstreams": {"v-1": {"zone": "south-a", **upstream}},
        },
    }
    regions = {"north": ["north-a", "north-b"], "south": ["south-a"]}
    return {"regions": regions, "services": services, "entries": {"e1": {}}, **tables}


def make_status(seat, revision, drains=()):
    texts = dict.fromkeys(("seat", "incarnation", "zone", "region", "state"), seat)
    numbers = dict.fromkeys(("revision", "settled"), revision)
    return {**texts, **numbers, "ready": True, "services": {}, "drains": list(drains)}


def report(seat, revision=None, drains=()):
    if revision is None:
        return EntryReport(seat, "127.0.0.1:1", None, "unreachable")
    return EntryReport(seat, "127.0.0.1:1", make_status(seat, revision, drains))


def drain_row(in_flight, end, done):
    row = {"name": "north-a", "kind": "zone", "in_flight": in_flight}
    return {**row, "expected_end_ms": end, "done": done}


@pytest.mark.parametrize(
    ("reported", "vms", "removed", "verdict"),
    [
        (report("e1", 8), {}, False, Verdict.IN_FORCE),
        (report("e1", 9), {}, False, Verdict.IN_FORCE),
        (report("e1", 7), {"e1": "live"}, False, Verdict.LACKING),
        (report("e1", 7), {"e1": "gone"}, False, Verdict.LACKING),
        (report("e1"), {"e1": "gone"}, False, Verdict.OUT),
        (report("e1"), {"e1": "leaving"}, False, Verdict.LACKING),
        (report("e1"), {"e1": "live"}, False, Verdict.LACKING),
        (report("e1"), {}, False, Verdict.LACKING),
        (report("e1"), None, False, Verdict.LACKING),
        (report("e1"), {}, True, Verdict.OUT),
        (report("e1"), {"e1": "live"}, True, Verdict.LACKING),
        (report("e1"), None, True, Verdict.LACKING),
        (report("e1", 7), {}, True, Verdict.LACKING),
    ],
)
def test_acceptance_needs_a_status_or_a_gone_vm(reported, vms, removed, verdict):
    judged = evaluate_acceptance(8, [reported], vms, frozenset({"e1"} if removed else ()))
    assert [seat_verdict.verdict for seat_verdict in judged.seat_verdicts] == [verdict]
    assert judged.accepted == (verdict is not Verdict.LACKING)


def test_a_status_from_another_seat_or_malformed_is_rejected():
    raw = make_status("e1", 8)
    assert read_status("e1", "127.0.0.1:1", Ok(raw)).status["revision"] == 8
    assert read_status("127.0.0.1:1", "127.0.0.1:1", Ok(raw)).status is not None
    assert read_status("e2", "127.0.0.1:1", Ok(raw)).detail == "127.0.0.1:1 answers as e1"
    assert read_status("e1", "127.0.0.1:1", Ok({**raw, "revision": "8"})).status is None
    assert read_status("e1", "127.0.0.1:1", Ok([])).status is None
    assert read_status("e1", "127.0.0.1:1", Error("timeout")).detail == "timeout"
    assert read_status("e1", "127.0.0.1:1", Ok({**raw, "new_key": 1})).status is not None


def test_a_drain_is_done_only_when_done_at_every_entry():
    busy = report("e1", 8, [drain_row(3, 900.0, False)])
    slow = report("e2", 8, [drain_row(1, 4000.0, False)])
    done = report("e3", 8, [drain_row(0, None, True)])
    progress = drain_progress("north-a", [busy, slow, done])
    assert progress == (4, timedelta(seconds=4), ("e1", "e2"))
    assert drain_progress("north-a", [done]).done
    assert drain_progress("north-a", [done, report("e4")]).pending == ("e4",)
    assert drain_progress("north-a", [done, report("e5", 8)]).pending == ("e5",)


def test_adding_a_drain_is_idempotent_and_can_change_a_future_start():
    document = make_document()
    planned = editing.add_drain(document, "zone", "north-a", now=NOW, at=LATER).ok
    assert planned["drains"]["north-a"]["since"] == "2026-01-01T14:00:00.000+00:00"
    assert editing.add_drain(planned, "zone", "north-a", now=NOW, at=LATER).ok is planned
    started = editing.add_drain(planned, "zone", "north-a", now=NOW).ok
    assert started["drains"]["north-a"]["since"] == "2026-01-01T12:00:00.000+00:00"
    assert editing.add_drain(started, "zone", "north-a", now=LATER).ok is started
    assert document == make_document()
    assert editing.remove_drain(started, "zone", "north-a").ok == document
    assert editing.remove_drain(document, "zone", "north-a").ok is document


@pytest.mark.parametrize(
    ("kind", "name"),
    [("zone", "north"), ("region", "north-a"), ("upstream", "e1"), ("entry", "m-1"), ("zone", "x")],
)
def test_draining_an_unknown_name_is_refused(kind, name):
    document = make_document()
    for result in (
        editing.add_drain(document, kind, name, now=NOW),
        editing.remove_drain(document, kind, name),
    ):
        assert result.error.text == f"the configuration has no {kind} named {name!r}"


def test_removing_a_drain_of_another_kind_is_refused():
    document = make_document(drains={"north": {"kind": "entry", "since": "2026-01-01T00:00Z"}})
    assert editing.remove_drain(document, "region", "north").is_error()


def test_a_move_is_found_by_service_and_zones_not_by_key():
    request = MoveRequest("menus", "north-a", "south-a", 30)
    document = make_document()
    moved = editing.add_move(document, request, NOW).ok
    assert moved["moves"]["menus.north-a.south-a"]["cap_percent_per_s"] == 2
    assert editing.add_move(moved, request, LATER).ok is moved
    renamed = {**document, "moves": {"trial": moved["moves"]["menus.north-a.south-a"]}}
    changed = editing.add_move(renamed, request._replace(percent=50), LATER).ok
    assert list(changed["moves"]) == ["trial"] and changed["moves"]["trial"]["percent"] == 50
    assert editing.remove_move(changed, request).ok == document
    assert editing.remove_move(document, request).ok is document


BAD_MOVES = [{"service": "x"}, {"origin": "north"}, {"target": "x"}, {"target": "north-a"}]


@pytest.mark.parametrize("change", [*BAD_MOVES, {"cap": 2.5}])
def test_an_invalid_move_is_refused(change):
    request = MoveRequest("menus", "north-a", "south-a", 30, 1)._replace(**change)
    assert editing.add_move(make_document(), request, NOW).is_error()


def test_a_move_uses_its_own_cap_then_the_service_cap_then_the_default():
    document = make_document()
    request = MoveRequest("menus", "north-a", "south-a", 30)
    assert editing.move_cap(document, request._replace(cap=0.5)) == 0.5
    assert editing.move_cap(document, request) == 2
    assert editing.move_cap(document, request._replace(service="media")) == 1


def test_a_long_move_key_is_shortened_and_unique():
    names = ["s" * 60, "a" * 60, "b" * 60]
    keys = [
        editing._move_key(MoveRequest(*names, 1)),
        editing._move_key(MoveRequest(*reversed(names), 1)),
    ]
    assert len(set(keys)) == 2 and all(len(key) <= 63 for key in keys)


targets = st.sampled_from([("zone", "north-a"), ("region", "south"), ("upstream", "v-1")])


@settings(derandomize=True, database=None, deadline=None)
@given(st.lists(st.tuples(targets, st.booleans()), max_size=6), st.data())
def test_edits_of_different_names_commute(steps, data):
    def apply_steps(order):
        document = make_document()
        for (kind, name), undo in order:
            if undo:
                document = editing.remove_drain(document, kind, name).ok
            else:
                document = editing.add_drain(document, kind, name, now=NOW).ok
        return document

    last = dict(steps)
    shuffled = data.draw(st.permutations(list(last.items())))
    assert apply_steps(steps) == apply_steps(shuffled)


def entry(number, *changes):
    rows = [{"path": path, "old": old, "new": new} for path, old, new in changes]
    texts = dict.fromkeys(("change", "parent", "who", "when", "why", "previous"), "x")
    return {**texts, "number": number, "difference": rows}


@pytest.mark.parametrize(
    ("theirs", "current", "mine", "kinds"),
    [
        (("menus.deadline", 500, 600), {"deadline": 600}, {"deadline": 500}, [OverlapKind.UNDOES]),
        (("menus.deadline", 500, 600), {"deadline": 600}, {"deadline": 700}, [OverlapKind.EDITS]),
        (("menus.deadline", 500, 600), {"deadline": 600}, {"deadline": 600}, []),
        (("menus.spill", 10, None), {"deadline": 500}, {"deadline": 500, "spill": 10}, ["undoes"]),
        (("menus.spill", None, 10), {"deadline": 1, "spill": 10}, {"deadline": 1}, ["undoes"]),
    ],
)
def test_a_stale_file_is_distinguished_from_a_newer_edit(theirs, current, mine, kinds):
    changes = difference({"menus": current}, {"menus": mine})
    found = conflicts.overlaps([entry(7, theirs)], changes)
    assert [overlap.touch for overlap in found] == kinds


def test_a_file_without_a_recorded_drain_undoes_it():
    row = {"kind": "zone", "since": "2026-01-01T00:00Z"}
    both = {"drains": {"a": row, "b": row}}
    first, second = entry(7, ("drains", None, {"a": row})), entry(8, ("drains.b", None, row))
    for mine in ({}, {"drains": {"b": row}}, {"drains": {"a": row}}):
        found = conflicts.filter_undoing(
            conflicts.overlaps([first, second], difference(both, mine))
        )
        undone = [n for n, name in ((7, "a"), (8, "b")) if name not in mine.get("drains", {})]
        assert [overlap.number for overlap in found] == undone


def test_removing_part_of_an_added_table_does_not_undo_it():
    first = entry(1, ("services", None, {"menus": {"spill": 10, "deadline": 5}}))
    changes = difference({"services": {"menus": {"spill": 10, "deadline": 5}}}, {"services": {}})
    assert [o.touch for o in conflicts.overlaps([first], changes)] == [OverlapKind.EDITS]


def test_removed_seats_may_have_dots_in_their_names():
    row = {"operators": "127.0.0.1:5"}
    rows = conflicts.as_rows(difference({"entries": {"e.1": row, "e2": row}}, {"entries": {}}))
    assert conflicts.removed_entries(rows) == {"e.1": "127.0.0.1:5", "e2": "127.0.0.1:5"}


@settings(derandomize=True, database=None, deadline=None)
@given(st.lists(st.tuples(*[st.text("abc ", max_size=150)] * 4), min_size=1, max_size=4))
def test_tables_fit_the_width(rows):
    lines = table(("one", "two", "three", "four"), rows)
    assert len(lines) == len(rows) + 1 and all(len(line) <= WIDTH for line in lines)


def test_settings_are_strict_and_options_take_precedence():
    text = '{"store": "http://127.0.0.1:1", "who": "ann"}'
    merged = load_settings(text, {"store": "http://127.0.0.1:2"}).ok
    assert merged == {"store": "http://127.0.0.1:2", "who": "ann"}
    wrong = load_settings('{"stor": "http://127.0.0.1:1", "vms": "ftp://x"}', {}).error
    assert [line.split(":")[0].strip() for line in wrong.lines] == ["stor", "vms"]
    assert load_settings("{", {}).is_error() and load_settings("[]", {}).is_error()
