"""Timers of the loop that every process installs, while the time of day and the VM's state move."""

import subprocess
import sys
import time

import pytest
from cardamomloft.core import clock
from cardamomloft.runtime.eventloop import ElapsedTimeReactor

PROGRAMS = {
    "gateway": "from cardamomloft.gateway.main import gateway as run; run(settings=path)",
    "entry": "from cardamomloft.entry.main import _run as run; run({})",
    "operators": "from cardamomloft.operators.running import _run_loop as run; run({}, None, None)",
    "platform": "from cardamomloft.platform.main import main as run; run()",
}
"""How each program begins; none has settings here, so each ends after its loop is installed."""

CHECK = """
import contextlib, pathlib, sys
path = pathlib.Path("missing")
import cardamomloft.gateway.reloading as reloading
reloading.SettingsFile.wait = lambda *_: None
with contextlib.suppress(Exception, SystemExit):
    {start}
from twisted.internet import reactor
assert type(reactor).__name__ == "ElapsedTimeReactor", reactor
"""


@pytest.fixture
def loop():
    found = ElapsedTimeReactor()
    yield found
    for reader in found.removeAll():
        reader.connectionLost(None)


@pytest.mark.parametrize("step", [-20.0, 20.0])
def test_a_timer_is_due_after_the_time_that_passed_whatever_the_time_of_day(
    loop, monkeypatch, step
):
    called = []
    loop.callLater(5.0, called.append, True)
    boot, day = clock.elapsed_seconds(), time.time()
    monkeypatch.setattr(time, "time", lambda: day + step)
    for passed, due in ((4.9, []), (5.1, [True])):
        monkeypatch.setattr(time, "clock_gettime", lambda _, to=boot + passed: to)
        loop.runUntilCurrent()
        assert called == due


def test_time_goes_on_while_the_machine_is_suspended(monkeypatch):
    asked = []
    monkeypatch.setattr(time, "clock_gettime", lambda which: asked.append(which) or 7.0)
    monkeypatch.setattr(time, "clock_gettime_ns", lambda which: asked.append(which) or 7)
    clock.elapsed_seconds()
    clock.SystemClock().monotonic()
    assert asked == [time.CLOCK_BOOTTIME] * 2


@pytest.mark.parametrize("program", PROGRAMS)
def test_every_program_runs_on_that_loop(program):
    script = CHECK.format(start=PROGRAMS[program])
    subprocess.run([sys.executable, "-c", script], check=True, timeout=60)
