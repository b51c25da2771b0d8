"""Costs of idle entries: store calls by fleet size, processor time, memory and peer messages."""

import os
import pathlib
import subprocess
import sys
import time
import typing as t
from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack

import bench_kit as kit
from bench_kit import Measurement, Plan, RunScale, Target
from fleet import Fleet

FLEET_SIZES = (4, 8, 12)
PLANS = {size: Plan(number=14 + index, entries=size) for index, size in enumerate(FLEET_SIZES)}
SETTLE_S = 3.0
IMPORTED_LIBRARIES = (
    "twisted.web.server, twisted.web.client, klein, treq, zmq, eliot, msgspec, automat,"
    " expression, hdrh.histogram, pydantic, defopt, twisted.internet.reactor"
)


class Usage(t.NamedTuple):
    """Mean processor seconds, resident megabytes and peer bytes in both directions per entry."""

    cpu_s: float
    rss_mb: float
    peer_bytes: float


def run(scale: RunScale) -> list[Measurement]:
    """Run idle fleets of three sizes at once; measure the entries of the largest one."""
    seconds = scale.pick(20, 8)
    with ExitStack() as stack:
        with ThreadPoolExecutor() as pool:
            opened = pool.map(
                lambda plan: stack.enter_context(kit.deployment(plan)), PLANS.values()
            )
            fleets = dict(zip(PLANS, opened, strict=True))
        time.sleep(SETTLE_S)
        kit.print_progress(f"idle: {seconds:g} s")
        calls = {size: sum(fleet.store_calls().values()) for size, fleet in fleets.items()}
        before, start = _usage(fleets[12]), time.monotonic()
        time.sleep(seconds)
        after, elapsed = _usage(fleets[12]), time.monotonic() - start
        rates = {
            size: (sum(fleet.store_calls().values()) - calls[size]) / elapsed
            for size, fleet in fleets.items()
        }
    return [*_store_measurements(rates), *_usage_measurements(before, after, elapsed)]


def _store_measurements(rates: dict[int, float]) -> list[Measurement]:
    slope = (rates[12] - rates[4]) / 8
    own = [Measurement(f"store.calls_per_s_{n}", rate, "calls/s") for n, rate in rates.items()]
    return [*own, Measurement("store.calls_per_s_per_entry", slope, "calls/s", Target("<=", 0.05))]


def _usage(fleet: Fleet) -> Usage:
    pids = [fleet.processes[seat].popen.pid for seat in fleet.document["entries"]]
    metrics = [fleet.metrics(seat) for seat in fleet.document["entries"]]
    transferred = sum(
        m.get("peers_sent_bytes", 0) + m.get("peers_received_bytes", 0) for m in metrics
    )
    count = len(pids)
    return Usage(
        sum(map(_cpu_s, pids)) / count, sum(map(_rss_mb, pids)) / count, transferred / count
    )


def _cpu_s(pid: int) -> float:
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def _rss_mb(pid: int) -> float:
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    raise RuntimeError(f"process {pid} has no resident memory")


def _libraries_mb() -> float:
    """Return the resident memory of a Python process that only imports the same libraries."""
    code = f"import sys, {IMPORTED_LIBRARIES}; print('ready', flush=True); sys.stdin.read()"
    argv = [sys.executable, "-c", code]
    with subprocess.Popen(argv, stdin=subprocess.PIPE, stdout=subprocess.PIPE) as proc:
        proc.stdout.readline()
        found = _rss_mb(proc.pid)
        proc.stdin.close()
    return found


def _usage_measurements(before: Usage, after: Usage, elapsed: float) -> list[Measurement]:
    baseline_mb = _libraries_mb()
    name = "bare process, same libraries"
    cpu = 100 * (after.cpu_s - before.cpu_s) / elapsed
    rate = (after.peer_bytes - before.peer_bytes) / elapsed
    return [
        Measurement("control.cpu_percent", cpu, "percent", note="of one core, idle entry among 12"),
        Measurement("control.rss_mb", after.rss_mb, "MB", None, baseline_mb, name),
        Measurement(
            "control.own_rss_mb", after.rss_mb - baseline_mb, "MB", Target("<=", 64), None, ""
        ),
        Measurement("control.bytes_per_s", rate, "B/s", note="peers' messages, both ways"),
    ]
