"""Transcripts of whole sessions, and input that the command refuses."""

import json

import pytest
from cardamomloft.operators.outcomes import ExitCode
from cardamomloft_standins.operating import CURRENT, as_json, drain_rows, make_document, transcript


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


def test_session_with_unreachable_entries(started, ctl, snapshot):
    started.unreachable = {"e2", "e3"}
    started.pinned_revisions = {"e1": 1}
    started.vms = {"e1": "live", "e2": "gone", "e3": "live"}
    first = transcript(ctl, "apply longer.json --why w --change c2 --wait 3", "status")
    started.pinned_revisions = {}
    started.unreachable = {"e2"}
    assert snapshot == first + transcript(ctl, "apply longer.json --why w --change c2")


def test_session_with_store_unavailable(started, ctl, snapshot):
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


def test_an_unreadable_record_is_not_overwritten(started, ctl):
    started.store.put(CURRENT, b'{"number": 2}')
    started.store.writes.clear()
    assert ctl("apply longer.json --why w")[0] is ExitCode.REFUSED
    assert ctl("status --entry 127.0.0.1:7301")[0] is ExitCode.OK
    assert started.store.writes == []


def test_a_change_above_the_store_size_limit_is_refused(started, ctl):
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


def test_publishing_a_block_map_writes_only_new_chunks(world, ctl):
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


def test_publishing_handles_invalid_maps_and_store_failures(world, ctl):
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
