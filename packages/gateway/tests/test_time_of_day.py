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

import contextlib
import json
import pathlib
import signal
import socket
import subprocess
import sys
import time
import urllib.request

import pytest

ROOT = pathlib.Path(__file__).resolve().parents[3]
STEP_S = 20.0
"""Further than any bound below, so that a timer that follows the time of day can't be in time."""

IN_FORCE_S = 2.5
"""What is promised for the `drain_time` of the settings below; it is in force within 0.4 of it."""

IDLE_S = 1.5
"""Time in which a gateway renews its lease at least once: it does so each second."""

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


@contextlib.contextmanager
def process(*arguments, out):
    proc = subprocess.Popen([sys.executable, *arguments], stdout=out, stderr=subprocess.STDOUT)
    try:
        yield proc
    finally:
        proc.kill()
        proc.wait()


@contextlib.contextmanager
def store():
    arguments = ["-m", "cardamomloft_standins.main", "store", "--listen", "127.0.0.1:0"]
    with process(*arguments, "--shortest-ttl-ms", "1000", out=subprocess.PIPE) as proc:
        yield json.loads(proc.stdout.readline())["listening"][0]


@contextlib.contextmanager
def gateway(folder, store_address):
    cfg = settings(store_address)
    path = folder / "gateway.json"
    path.write_text(json.dumps(cfg))
    with open(folder / "log", "wb") as log:
        arguments = ["-c", STEPPED.format(step=STEP_S), "gateway", "--settings", str(path)]
        with process(*arguments, out=log) as proc:
            yield proc, cfg


def settings(store_address):
    with contextlib.ExitStack() as stack:
        ports = []
        for _ in range(4):
            held = stack.enter_context(contextlib.closing(socket.socket()))
            held.bind(("127.0.0.1", 0))
            ports.append(held.getsockname()[1])
    names = ("callers", "readiness", "lookups", "operators")
    return {
        "name": "e-1",
        "zone": "a",
        "region": "east",
        "zones": {"a": "east"},
        **{name: f"127.0.0.1:{port}" for name, port in zip(names, ports, strict=True)},
        "store": store_address,
        "stop_time": "6s",
        "drain_time": "2500ms",
        "lookup_life": "2s",
        "retries": {"ratio": 0.2, "slack": 60.0, "window": "10s"},
        "cold": {"overage": 1.5, "slack": 5.0},
    }


def configure(store_address, **changes):
    document = json.loads((ROOT / "examples" / "gateway-routes.json").read_text())
    document["limits"] |= changes
    url = f"http://{store_address}/v1/kv/gateway/routes/current"
    req = urllib.request.Request(url, json.dumps(document).encode(), method="PUT")
    with urllib.request.urlopen(req, timeout=5) as answer:
        assert answer.read() == b"true"


def status(cfg):
    with urllib.request.urlopen(f"http://{cfg['operators']}/status", timeout=5) as answer:
        return json.load(answer)


def eventually(condition, patience_s):
    """Wait for `condition`, which may fail while a process starts."""
    end = time.monotonic() + patience_s
    while time.monotonic() < end:
        with contextlib.suppress(OSError):
            if condition():
                return True
        time.sleep(0.05)
    return False


@pytest.fixture
def running(tmp_path):
    with store() as address:
        configure(address)
        with gateway(tmp_path, address) as (proc, cfg):
            assert eventually(lambda: status(cfg)["state"] == "ready", 30), (
                tmp_path / "log"
            ).read_text()
            yield proc, cfg, address, tmp_path / "log"


def lapsed(log):
    return "entry-lease-lapsed" in log.read_text()


@pytest.mark.parametrize("steps", [[AHEAD, BACK], [BACK], [AHEAD]])
def test_a_change_is_in_force_in_time_while_the_time_of_day_moves(running, steps):
    proc, cfg, address, log = running
    before = status(cfg)["configuration"]
    for step in steps:
        proc.send_signal(step)
        time.sleep(IDLE_S)
    configure(address, head_bytes=8192)
    assert eventually(lambda: status(cfg)["configuration"] > before, IN_FORCE_S), log.read_text()
    assert not lapsed(log)


def test_a_gateway_stops_in_its_time_while_the_time_of_day_goes_back(running):
    proc, cfg, address, log = running
    proc.send_signal(signal.SIGTERM)
    assert eventually(lambda: '"cardamomloft:leaving"' in log.read_text(), 2.0)
    proc.send_signal(BACK)
    proc.wait(timeout=6)
    assert proc.returncode == 0
