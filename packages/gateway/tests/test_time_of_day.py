"""The time of day moves while a gateway runs; nothing that it promises may follow it.

What users saw: callers got 404 for a route that operators had added and the store had confirmed
4.5 s before, from one gateway of ten. The time of day on its VM had been 6 s ahead and went back.
From then on nothing was due there for 6 s: it asked the store for no changes and did not renew its
lease, so that the others stopped naming it, and went on serving by the configuration it had. Its
loop counted the time until a timer by the time of day.

Evidence: the store's record shows no call of that gateway for 7.0 s, while its own log shows
requests served in each of these seconds; the stamps of the lines go back by 6.0 s at the same time.

The gateways here are real processes, and only what they take for the time of day is moved.
"""

import signal
import time

import pytest
from cardamomloft_standins import processes

STEP_S = 20.0
"""Further than any bound below, so that a timer that follows the time of day can't be in time."""

IN_FORCE_S = 2.5
"""What is promised for the `drain_time` of the settings below; it is in force within 0.4 of it."""

IDLE_S = 2.0
"""Time in which a gateway renews its lease at least once: it does so each 1.5 s."""

STEPPED = """
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


LAUNCH = ("-c", STEPPED.format(step=STEP_S), "gateway")


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


def lapsed(log):
    return "entry-lease-lapsed" in log.read_text()


@pytest.mark.parametrize("steps", [[AHEAD, BACK], [BACK], [AHEAD]])
def test_a_change_is_in_force_in_time_while_the_time_of_day_moves(running, steps):
    proc, cfg, address, log = running
    before = processes.status(cfg)["configuration"]
    for step in steps:
        proc.send_signal(step)
        time.sleep(IDLE_S)
    processes.configure(address, head_bytes=8192)
    assert processes.eventually(
        lambda: processes.status(cfg)["configuration"] > before, IN_FORCE_S
    ), log.read_text()
    assert not lapsed(log)


def test_a_gateway_stops_in_its_time_while_the_time_of_day_goes_back(running):
    proc, cfg, address, log = running
    proc.send_signal(signal.SIGTERM)
    assert processes.eventually(lambda: '"cardamomloft:leaving"' in log.read_text(), 2.0)
    proc.send_signal(BACK)
    proc.wait(timeout=6)
    assert proc.returncode == 0
