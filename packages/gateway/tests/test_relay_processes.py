"""Gateway processes relay changes: only relays call the store, and frozen ones cause no delay."""

import contextlib
import signal
import time

import pytest
from cardamomloft_standins import processes

GATEWAYS = 9
DRAIN_S = 2.5
"""Drain time of the settings, within which a change must be in force."""

LAUNCH = ("-m", "cardamomloft.gateway.main")


class Fleet:
    """Nine gateways in two zones of one region, with their store."""

    def __init__(self, stack, folder) -> None:
        self.folder = folder
        self.store = stack.enter_context(processes.store())
        processes.configure(self.store)
        self.settings = {}
        self.processes = {}
        for number in range(GATEWAYS):
            owned = processes.settings(self.store, f"e-{number}", "ab"[number % 2])
            cfg = stack.enter_context(owned)
            self.settings[cfg["name"]] = cfg
            running = processes.gateway(folder, cfg, LAUNCH)
            self.processes[cfg["name"]] = stack.enter_context(running)

    def has_converged(self) -> bool:
        pages = [processes.status(cfg) for cfg in self.settings.values()]
        return all(len(page["entries"]) == GATEWAYS and page["relays"] for page in pages)

    def relays(self) -> list[str]:
        return processes.status(self.settings["e-0"])["relays"]

    def configuration(self, names) -> set[int]:
        return {processes.status(self.settings[name])["configuration"] for name in names}

    def logs(self) -> str:
        return "\n".join(
            processes.log_path(self.folder, cfg).read_text()[-2000:]
            for cfg in self.settings.values()
        )


@pytest.fixture
def fleet(tmp_path):
    with contextlib.ExitStack() as stack:
        fleet = Fleet(stack, tmp_path)
        assert processes.eventually(fleet.has_converged, 60), fleet.logs()
        yield fleet


def test_only_relays_call_the_store_and_all_gateways_get_a_change_in_time(fleet):
    relays = fleet.relays()
    others = fleet.settings.keys() - set(relays)
    # Store calls that began before the gateways selected their relays must end first.
    time.sleep(DRAIN_S)
    calls_before = {
        name: processes.metric(fleet.settings[name], "changes_from_store") for name in others
    }
    before = fleet.configuration(fleet.settings)
    processes.configure(fleet.store, head_bytes=8192)
    assert processes.eventually(
        lambda: min(fleet.configuration(fleet.settings)) > max(before), DRAIN_S
    ), fleet.logs()
    time.sleep(DRAIN_S)
    for name in others:
        cfg = fleet.settings[name]
        assert processes.metric(cfg, "changes_from_store") == calls_before[name]
        assert processes.metric(cfg, "changes_from_relay") > 0
    assert "cardamomloft:fault" not in fleet.logs()


def test_frozen_relays_delay_no_change_beyond_the_drain_time(fleet):
    relays = fleet.relays()
    others = fleet.settings.keys() - set(relays)
    before = fleet.configuration(fleet.settings)
    for name in relays:
        fleet.processes[name].send_signal(signal.SIGSTOP)
    processes.configure(fleet.store, head_bytes=8192)
    assert processes.eventually(
        lambda: min(fleet.configuration(others)) > max(before), DRAIN_S
    ), fleet.logs()
    for name in relays:
        fleet.processes[name].send_signal(signal.SIGCONT)
    assert processes.eventually(
        lambda: min(fleet.configuration(fleet.settings)) > max(before), 2 * DRAIN_S
    ), fleet.logs()
