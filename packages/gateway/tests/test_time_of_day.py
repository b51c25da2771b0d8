"""Steps of the time of day must not delay the timers of a gateway process.

Guards against an event loop that schedules by the time of day: after a step back, the gateway
neither reads changes nor renews its lease until the clock has caught up. Only `time.time` is moved.
"""

import signal
import time

import pytest
from cardamomloft_standins import processes

STEP_S = 20.0
"""Size of a step, longer than all bounds below: a timer that follows the time of day is late."""

DRAIN_S = 2.5
"""Drain time of the settings, within which a change must be in force."""

STEP_PAUSE_S = 2.0
"""Pause after a step; longer than the 1.5 s interval of lease renewals."""

SCRIPT = """
import runpy, signal, sys, time
true_time, offset = time.time, 0.0
time.time = lambda: true_time() + offset
def step(number, frame):
    global offset
    offset += {step} if number == signal.SIGUSR1 else -{step}
signal.signal(signal.SIGUSR1, step)
signal.signal(signal.SIGUSR2, step)
sys.argv = sys.argv[1:]
runpy.run_module("cardamomloft.gateway.main", run_name="__main__", alter_sys=True)
"""
AHEAD, BACK = signal.SIGUSR1, signal.SIGUSR2


LAUNCH = ("-c", SCRIPT.format(step=STEP_S), "gateway")


@pytest.fixture
def running(tmp_path):
    with processes.store() as address, processes.settings(address) as cfg:
        processes.configure(address)
        log = processes.log_path(tmp_path, cfg)
        with processes.gateway(tmp_path, cfg, LAUNCH) as proc:
            assert processes.eventually(
                lambda: processes.status(cfg)["state"] == "ready", 30
            ), log.read_text()
            yield proc, cfg, address, log


def has_lease_expired(log):
    return "entry-lease-lapsed" in log.read_text()


@pytest.mark.parametrize("steps", [[AHEAD, BACK], [BACK], [AHEAD]])
def test_change_is_in_force_in_time_despite_clock_steps(running, steps):
    proc, cfg, address, log = running
    before = processes.status(cfg)["configuration"]
    for step in steps:
        proc.send_signal(step)
        time.sleep(STEP_PAUSE_S)
    processes.configure(address, head_bytes=8192)
    assert processes.eventually(
        lambda: processes.status(cfg)["configuration"] > before, DRAIN_S
    ), log.read_text()
    assert not has_lease_expired(log)


def test_gateway_stops_in_time_despite_a_clock_step_back(running):
    proc, cfg, address, log = running
    proc.send_signal(signal.SIGTERM)
    assert processes.eventually(lambda: '"cardamomloft:leaving"' in log.read_text(), 2.0)
    proc.send_signal(BACK)
    proc.wait(timeout=6)
    assert proc.returncode == 0
