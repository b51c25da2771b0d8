"""Validation of the settings file, and ``--check``."""

import json

import pytest
from cardamomloft.entry import main
from cardamomloft.entry.settings import load_settings

GOOD = {
    "seat": "kingston-1",
    "zone": "kingston-a",
    "callers": "127.0.0.1:7101",
    "peers": "127.0.0.1:7201",
    "operators": "127.0.0.1:7301",
    "store": "http://127.0.0.1:8500",
    "vms": "http://127.0.0.1:8501",
}


def paths(raw):
    return sorted(mistake.path for mistake in load_settings(json.dumps(raw)).error)


def test_valid_settings_are_returned_unchanged():
    cfg = {**GOOD, "peer_seeds": ["127.0.0.1:7202"], "hard_stop_ms": 60_000}
    assert load_settings(json.dumps(cfg)).ok == cfg


def test_all_mistakes_are_reported_with_their_paths():
    raw = {**GOOD, "callers": "localhost:1", "store": "https://127.0.0.1:1", "seatt": "x"}
    raw |= {"peer_seeds": ["127.0.0.1:1", "x"], "curve": {"public": "short"}}
    raw |= {"hard_stop_ms": 0, "max_in_flight": "5", "ledger_bytes": True}
    del raw["zone"]
    assert paths(raw) == [
        "callers",
        "curve.public",
        "curve.secret",
        "hard_stop_ms",
        "ledger_bytes",
        "max_in_flight",
        "peer_seeds.1",
        "seatt",
        "store",
        "zone",
    ]


@pytest.mark.parametrize(
    "text", ["", "{", "[]", "null", '{"seat": 1', '{"seat": "a", "seat": "b"}']
)
def test_text_that_is_not_a_json_object_is_rejected(text):
    assert load_settings(text).is_error()


@pytest.fixture
def check(tmp_path, capsys):
    def run(text):
        path = tmp_path / "entry.json"
        if text is not None:
            path.write_bytes(text)
        code = main.entry(settings=path, check=True)
        return code, capsys.readouterr()

    return run


def test_check_accepts_good_settings_without_starting_anything(check):
    code, printed = check(json.dumps(GOOD).encode())
    assert code == 0 and printed.err == ""
    assert json.loads(printed.out)["seat"] == "kingston-1"


def test_check_names_the_file_and_each_mistake(check):
    code, printed = check(json.dumps({**GOOD, "zone": "", "vms": "x"}).encode())
    assert (code, printed.out) == (main.EXIT_SETTINGS, "")
    lines = printed.err.splitlines()
    assert len(lines) == 2 and all("entry.json: " in line for line in lines)
    assert ["zone" in lines[0] or "zone" in lines[1], "vms" in printed.err] == [True, True]


@pytest.mark.parametrize("text", [None, b"\xff\xfe", b"{"])
def test_check_rejects_unreadable_settings(check, text):
    code, printed = check(text)
    assert code == main.EXIT_SETTINGS and printed.err
