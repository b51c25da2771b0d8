"""What an idle entry costs: store calls by size of the fleet, processor, memory, messages."""

import os
import pathlib
import subprocess
import sys
import time
import typing as t
from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack

import bench_kit as kit
from bench_kit import Aim, Figure, Plan, Sizes
from fleet import Fleet

SIZES = (4, 8, 12)
PLANS = {size: Plan(number=14 + at, entries=size) for at, size in enumerate(SIZES)}
SETTLE_S = 3.0
LIBRARIES = (
    "twisted.web.server, twisted.web.client, klein, treq, zmq, eliot, msgspec, automat,"
    " expression, hdrh.histogram, pydantic, defopt, twisted.internet.reactor"
)


class Usage(t.NamedTuple):
    """Processor seconds, resident megabytes and bytes sent and received of entries."""

    cpu_s: float
    rss_mb: float
    peer_bytes: float


def run(sizes: Sizes) -> list[Figure]:
    """Let fleets of three sizes idle at the same time, and look at the largest one's entries."""
    seconds = sizes.pick(20, 8)
    with ExitStack() as stack:
        with ThreadPoolExecutor() as pool:
            opened = pool.map(
                lambda plan: stack.enter_context(kit.deployment(plan)), PLANS.values()
            )
            fleets = dict(zip(PLANS, opened, strict=True))
        time.sleep(SETTLE_S)
        kit.say(f"idle: {seconds:g} s")
        calls = {size: sum(fleet.store_calls().values()) for size, fleet in fleets.items()}
        before, start = _usage(fleets[12]), time.monotonic()
        time.sleep(seconds)
        after, elapsed = _usage(fleets[12]), time.monotonic() - start
        rates = {
            size: (sum(fleet.store_calls().values()) - calls[size]) / elapsed
            for size, fleet in fleets.items()
        }
    return [*_store_figures(rates), *_usage_figures(before, after, elapsed)]


def _store_figures(rates: dict[int, float]) -> list[Figure]:
    slope = (rates[12] - rates[4]) / 8
    own = [Figure(f"store.calls_per_s_{n}", rate, "calls/s") for n, rate in rates.items()]
    return [*own, Figure("store.calls_per_s_per_entry", slope, "calls/s", Aim("<=", 0.05))]


def _usage(fleet: Fleet) -> Usage:
    pids = [fleet.processes[seat].popen.pid for seat in fleet.document["entries"]]
    metrics = [fleet.metrics(seat) for seat in fleet.document["entries"]]
    moved = sum(m.get("peers_sent_bytes", 0) + m.get("peers_received_bytes", 0) for m in metrics)
    count = len(pids)
    return Usage(sum(map(_cpu_s, pids)) / count, sum(map(_rss_mb, pids)) / count, moved / count)


def _cpu_s(pid: int) -> float:
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def _rss_mb(pid: int) -> float:
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    raise RuntimeError(f"process {pid} has no resident memory")


def _libraries_mb() -> float:
    """Return the resident memory of a bare process that imports the same libraries."""
    code = f"import sys, {LIBRARIES}; print('ready', flush=True); sys.stdin.read()"
    argv = [sys.executable, "-c", code]
    with subprocess.Popen(argv, stdin=subprocess.PIPE, stdout=subprocess.PIPE) as proc:
        proc.stdout.readline()
        found = _rss_mb(proc.pid)
        proc.stdin.close()
    return found


def _usage_figures(before: Usage, after: Usage, elapsed: float) -> list[Figure]:
    bare = _libraries_mb()
    name = "bare process, same libraries"
    cpu = 100 * (after.cpu_s - before.cpu_s) / elapsed
    rate = (after.peer_bytes - before.peer_bytes) / elapsed
    return [
        Figure("control.cpu_percent", cpu, "percent", note="of one core, idle entry among 12"),
        Figure("control.rss_mb", after.rss_mb, "MB", None, bare, name),
        Figure("control.own_rss_mb", after.rss_mb - bare, "MB", Aim("<=", 64), None, ""),
        Figure("control.bytes_per_s", rate, "B/s", note="peers' messages, both ways"),
    ]
