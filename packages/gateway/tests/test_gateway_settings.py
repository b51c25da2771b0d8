"""Settings of a gateway are validated, read again when the file changes, and applied."""

import json

import pytest
from cardamomloft.gateway.reloading import SettingsFile
from cardamomloft.gateway.settings import load_settings
from cardamomloft_standins import gateway as kit
from cardamomloft_standins.gatewayharness import MS, SETTINGS, GatewayHarness


@pytest.mark.parametrize(
    ("path", "value"),
    [
        ("stop_time", "6"),
        ("stop_time", "6m"),
        ("zones", []),
        ("callers", "localhost:80"),
        ("retries", {"ratio": 0.2, "slack": 60}),
        ("unknown_setting", 1),
    ],
)
def test_invalid_setting_is_reported_with_its_path(path, value):
    outcome = load_settings(json.dumps({**SETTINGS, path: value}))
    assert any(str(mistake).startswith(path) for mistake in outcome.error)


@pytest.mark.parametrize("text", ["", "{", '{"name": "e-1"', "[]"])
def test_incomplete_settings_file_is_an_error(text):
    assert load_settings(text).is_error()


def test_valid_settings_are_loaded():
    assert load_settings(json.dumps(SETTINGS)).ok == SETTINGS


def test_changed_settings_apply_at_once_except_those_that_need_a_restart():
    run = GatewayHarness()
    run.send_request()
    retries = {"ratio": 0.0, "slack": 0.0, "window": "10s"}
    changed = {**SETTINGS, "retries": retries, "lookup_life": "500ms", "callers": "127.0.0.1:1"}
    run.gateway.reconfigure(changed)
    assert run.lookup().ttl == 500 * MS
    assert run.lookup().addresses == ["127.0.0.1:7101"]
    run.client.outcomes.clear()
    run.client.outcomes.extend([kit.answer(503, b"", not_run=True), kit.answer()])
    assert run.send_request().status == 503


def test_endpoints_follow_their_zone_to_another_region():
    run = GatewayHarness()
    run.gateway.reconfigure({**SETTINGS, "zones": {"a": "west", "b": "west"}})
    (upstream,) = run.gateway.upstream_table.of_service("menus")
    assert upstream.region == "west"


def test_settings_file_is_read_again_when_it_changes(tmp_path):
    path = tmp_path / "settings.json"
    path.write_text(json.dumps(SETTINGS))
    settings = SettingsFile(path)
    assert settings.read() == SETTINGS
    assert settings.read_if_changed() is None
    path.write_text(json.dumps(SETTINGS)[:40])
    assert settings.read_if_changed() is None
    changed = {**SETTINGS, "lookup_life": "1s"}
    path.write_text(json.dumps(changed))
    assert settings.read_if_changed() == changed
    path.unlink()
    assert settings.read_if_changed() is None
    assert settings.read() is None


def test_start_waits_for_an_incomplete_settings_file(tmp_path):
    path = tmp_path / "settings.json"
    path.write_text(json.dumps(SETTINGS)[:40])
    slept = []

    def sleep(seconds):
        slept.append(seconds)
        if len(slept) == 3:
            path.write_text(json.dumps(SETTINGS))

    assert SettingsFile(path).wait(30, sleep) == SETTINGS
    assert len(slept) == 3


def test_start_gives_up_if_the_settings_stay_invalid(tmp_path):
    slept = []
    assert SettingsFile(tmp_path / "none.json").wait(2, slept.append) is None
    assert sum(slept) == pytest.approx(2)
