"""Waiting for entries that are removed, replaced, unreachable or draining."""

from datetime import timedelta

import pytest
from cardamomloft.operators.outcomes import ExitCode
from cardamomloft_standins.operating import as_json, drain_rows, make_document
from expression import Error
from twisted.internet.defer import succeed


def test_a_removed_entry_is_waited_for_until_it_has_the_revision_or_is_gone(started, ctl):
    smaller = make_document()
    del smaller["entries"]["e3"]
    started.file("smaller.json", smaller)
    started.pinned_revisions = {"e3": 1}
    code, payload = as_json(ctl, "apply smaller.json --why w --change a2 --wait 1")
    assert code is ExitCode.RECORDED
    assert [row["entry"] for row in payload["lacking"]] == ["e3"]
    started.vms = {"e3": "live"}
    code, payload = as_json(ctl, "drain zone north-a --why x --at 2026-02-01T00:00Z --wait 1")
    assert [row["entry"] for row in payload["lacking"]] == ["e3"]
    started.unreachable, started.vms = {"e3"}, {}
    code, payload = as_json(ctl, "apply smaller.json --why w --change a2")
    assert (code, payload["out"]) == (ExitCode.OK, ["e3"])


def test_entries_that_have_the_revision_are_not_polled_again(started, ctl):
    started.pinned_revisions = {"e2": 1}
    started.status_requests.clear()
    assert ctl("apply longer.json --why w --wait 2")[0] is ExitCode.RECORDED
    assert started.status_requests.count("e2") > 3 and started.status_requests.count("e1") == 2


def test_an_entry_replaced_by_one_with_an_older_revision_is_detected(started, ctl):
    """One polling round would accept revision 2, although the new e1 copied revision 1 from e2."""

    def replace():
        started.pinned_revisions = {"e1": 1}
        started.incarnations["e1"] = 2

    started.pinned_revisions = {"e2": 1}
    started.status_requests.clear()
    started.status_hooks[("e2", 3)] = replace
    started.status_hooks[("e2", 4)] = lambda: started.pinned_revisions.pop("e2", None)
    code, payload = as_json(ctl, "apply longer.json --why w --change a2 --wait 5")
    assert (code, payload["outcome"]) == (ExitCode.RECORDED, "recorded")
    assert [(row["entry"], row["revision"]) for row in payload["lacking"]] == [("e1", 1)]
    started.pinned_revisions = {}
    assert ctl("apply longer.json --why w --change a2")[0] is ExitCode.OK


@pytest.mark.parametrize(("wait", "code"), [(0, ExitCode.RECORDED), (5, ExitCode.OK)])
def test_an_entry_replaced_between_the_rounds_is_polled_again(started, ctl, wait, code):
    started.status_requests.clear()
    started.status_hooks[("e3", 3)] = lambda: started.incarnations.update(e3=2)
    ended, payload = as_json(ctl, f"apply longer.json --why w --change a2 --wait {wait}")
    assert ended is code
    lacking = [] if code is ExitCode.OK else ["has revision 2, but was restarted between polls"]
    assert [row["detail"] for row in payload["lacking"]] == lacking


def test_without_the_vm_list_a_seat_removed_earlier_is_still_waited_for(started, ctl):
    smaller = make_document()
    del smaller["entries"]["e3"]
    started.file("smaller.json", smaller)
    started.pinned_revisions = {"e3": 1}
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


def test_a_drain_that_does_not_end_in_time_has_its_own_exit_code(started, ctl):
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


def test_an_entry_gone_during_a_drain_does_not_block_it(started, ctl):
    started.drains = {seat: drain_rows((0, None)) for seat in ("e1", "e2")}
    started.drains["e3"] = drain_rows((5, 900))
    started.vms = {"e3": "live"}
    started.sleep = remove_vm_after(started, "e3", 4)
    code, payload = as_json(ctl, "drain zone north-a --why w --wait 20")
    assert code is ExitCode.OK and payload["drain"]["actual_s"] < 5


def remove_vm_after(world, seat, sleeps):
    def sleep(span):
        nonlocal sleeps
        sleeps -= 1
        if sleeps == 0:
            world.unreachable.add(seat)
            world.vms[seat] = "gone"
        world.clock.advance(span)
        return succeed(None)

    return sleep


def test_waiting_ends_after_the_given_time(started, ctl):
    started.pinned_revisions = {"e1": 1}
    before = started.clock.monotonic()
    assert ctl("apply longer.json --why w --wait 7")[0] is ExitCode.RECORDED
    assert started.clock.monotonic() - before == timedelta(seconds=7)
