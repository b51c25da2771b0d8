"""The reactor of every process, with steps of the time of day and suspension of the VM."""

import socket
import struct
import subprocess
import sys
import time

import pytest
from cardamomloft.core import clock
from cardamomloft.runtime.eventloop import ElapsedTimeReactor
from twisted.internet.error import ConnectionDone, ConnectionLost
from twisted.internet.protocol import Factory, Protocol

PROGRAMS = {
    "gateway": "from cardamomloft.gateway.main import gateway as run; run(settings=path)",
    "entry": "from cardamomloft.entry.main import _run as run; run({})",
    "operators": "from cardamomloft.operators.running import _run_loop as run; run({}, None, None)",
    "platform": "from cardamomloft.platform.main import main as run; run()",
}
"""Start of each program; without settings each ends after its reactor is installed."""

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
    reactor = ElapsedTimeReactor()
    yield reactor
    for reader in reactor.removeAll():
        reader.connectionLost(None)


@pytest.mark.parametrize("step", [-20.0, 20.0])
def test_a_step_of_the_time_of_day_does_not_move_a_timer(loop, monkeypatch, step):
    called = []
    loop.callLater(5.0, called.append, True)
    boot, day = clock.elapsed_seconds(), time.time()
    monkeypatch.setattr(time, "time", lambda: day + step)
    for passed, due in ((4.9, []), (5.1, [True])):
        monkeypatch.setattr(time, "clock_gettime", lambda _, to=boot + passed: to)
        loop.runUntilCurrent()
        assert called == due


def test_the_clock_includes_time_in_suspension(monkeypatch):
    clocks = []
    monkeypatch.setattr(time, "clock_gettime", lambda which: clocks.append(which) or 7.0)
    monkeypatch.setattr(time, "clock_gettime_ns", lambda which: clocks.append(which) or 7)
    clock.elapsed_seconds()
    clock.SystemClock().monotonic()
    assert clocks == [time.CLOCK_BOOTTIME] * 2


@pytest.mark.parametrize("program", PROGRAMS)
def test_every_program_installs_the_elapsed_time_reactor(program):
    script = CHECK.format(start=PROGRAMS[program])
    subprocess.run([sys.executable, "-c", script], check=True, timeout=60)


class Recorder(Protocol):
    data, reason = b"", None

    def dataReceived(self, data):  # noqa: N802
        self.data += data

    def connectionLost(self, reason):  # noqa: N802
        self.reason = reason.type


@pytest.mark.parametrize("size", [0, 10_000])
@pytest.mark.parametrize(("reset", "reason"), [(True, ConnectionLost), (False, ConnectionDone)])
def test_end_of_a_connection_is_read_if_reading_is_resumed_after_the_poll(
    loop, size, reset, reason
):
    """Guards against resets that count as clean ends, and against data that is not read."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        peer = socket.create_connection(listener.getsockname())
        own, _ = listener.accept()
    with own:
        own.setblocking(False)
        loop.adoptStreamConnection(own.fileno(), socket.AF_INET, Factory.forProtocol(Recorder))
    (transport,) = [one for one in loop.getReaders() if hasattr(one, "protocol")]
    protocol = transport.protocol
    transport.pauseProducing()
    peer.sendall(b"x" * size)
    if reset:
        transport.startWriting()
        peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    peer.close()
    polled = loop._poller.poll(1 if reset else 0)
    assert bool(polled) is reset
    transport.resumeProducing()
    for fd, event in polled:
        loop._doReadOrWrite(transport, fd, event)
    while protocol.reason is None:
        loop.doIteration(1)
    assert (protocol.data, protocol.reason) == (b"x" * size, reason)
