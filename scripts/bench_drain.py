"""Drain of a zone and graceful stop of an entry under load."""

import json
import signal
import threading
import time
import typing as t
import urllib.request
from base64 import b64decode
from datetime import datetime

import bench_kit as kit
from bench_kit import LoadResult, Measurement, Plan, RunScale, Target
from fleet import Fleet, wait_until

PLAN = Plan(number=12, cap_percent_per_s=100.0)
SHORT_REQUEST_MS = 100.0
LONG_REQUEST_MS = 2000.0
LOAD_FRACTION = 0.4
LOAD_PROCESSES = 2
SETTLE_S = 4.0


class DrainResult(t.NamedTuple):
    """Seconds from the drain's start until the zone was idle and until the last request started.

    `reported_s` is the duration that the command reports.
    """

    idle_after_s: float
    last_start_s: float
    reported_s: float


def run(scale: RunScale) -> list[Measurement]:
    """Drain one zone, then stop an entry of the other, under a load of short and long requests."""
    seconds = scale.pick(24, 16)
    with kit.deployment(PLAN) as fleet:
        names = kit.start_loads(fleet, "drain", _mix(), seconds, processes=LOAD_PROCESSES)
        time.sleep(SETTLE_S)
        drained = _drain_zone(fleet)
        stop = _stop_entry(fleet)
        result = kit.finish_loads(fleet, names, seconds)
        cut_off = sum(counts["cut_off"] for counts in fleet.upstream_counts().values())
        over = kit.slot_overshoot(fleet)
    return [*_drain_measurements(drained, cut_off, over, result), *stop]


def _mix() -> kit.Mix:
    per_slot = PLAN.capacity * LOAD_FRACTION / 2
    common = {"method": "GET", "path": "/jobs/a", "deadline_ms": 4000}
    clients = 4
    return [
        {
            **common,
            "name": name,
            "rate": rate / clients,
            "work_ms": work,
            "client": f"10.0.0.{index}",
        }
        for name, rate, work in (
            ("short", per_slot * 1000 / SHORT_REQUEST_MS, SHORT_REQUEST_MS),
            ("long", per_slot * 1000 / LONG_REQUEST_MS, LONG_REQUEST_MS),
        )
        for index in range(1, clients + 1)
    ]


def _drain_zone(fleet: Fleet) -> DrainResult:
    zone = kit.ZONES[0]
    answer: dict[str, t.Any] = {}

    def command() -> None:
        answer["code"], answer["drain"] = fleet.ctl("drain", "zone", zone, "--why", "benchmark")

    thread = threading.Thread(target=command)
    thread.start()
    wait_until("the drain is recorded", lambda: _drain_start(fleet, zone) is not None)
    since = _drain_start(fleet, zone) or 0.0
    rows = [row for row in fleet.upstream_rows() if row["zone"] == zone]
    wait_until("the zone is idle", lambda: not _running(fleet, rows))
    ended = time.time() - since
    thread.join()
    if answer["code"] != 0:
        raise RuntimeError(f"drain: {answer}")
    upstream_counts = fleet.upstream_counts()
    starts = [
        datetime.fromisoformat(upstream_counts[r["name"]]["last_start"]).timestamp() for r in rows
    ]
    kit.print_progress(f"drain: {answer['drain'].get('drain')}")
    return DrainResult(ended, max(starts) - since, float(answer["drain"]["drain_s"]))


def _drain_start(fleet: Fleet, zone: str) -> float | None:
    """Return the recorded start of the drain in Unix time, or None if there is none."""
    with urllib.request.urlopen(f"http://{fleet.store}/v1/kv/config/current", timeout=2) as resp:
        record = json.loads(b64decode(json.load(resp)[0]["Value"]))
    row = record["document"].get("drains", {}).get(zone)
    return datetime.fromisoformat(row["since"]).timestamp() if row else None


def _running(fleet: Fleet, rows: list[dict[str, t.Any]]) -> int:
    upstream_counts = fleet.upstream_counts()
    return sum(upstream_counts[row["name"]]["running"] for row in rows)


def _stop_entry(fleet: Fleet) -> list[Measurement]:
    seat = next(s for s, r in fleet.document["entries"].items() if r["zone"] == kit.ZONES[1])
    proc = fleet.processes[seat]
    start = time.monotonic()
    proc.signal(signal.SIGTERM)
    code = proc.wait(20.0)
    took = time.monotonic() - start
    kit.print_progress(f"stop of an entry: exit {code} after {took:.2f} s")
    return [
        Measurement("drain.entry_stop_exit", -1 if code is None else code, "code", Target("<=", 0)),
        Measurement(
            "drain.entry_stop_s", took, "s", None, LONG_REQUEST_MS / 1000, "longest request"
        ),
    ]


def _drain_measurements(
    drained: DrainResult, cut_off: int, over: int, result: LoadResult
) -> list[Measurement]:
    longest = LONG_REQUEST_MS / 1000
    cut = result.total("cut")
    refused = result.total("refused")
    kit.print_progress(f"drain: refused for {result.reasons()}")
    name = "longest request"
    return [
        Measurement(
            "drain.over_inflight_s",
            drained.idle_after_s - longest,
            "s",
            Target("<=", 0.5),
            longest,
            name,
        ),
        Measurement(
            "drain.reported_over_inflight_s", drained.reported_s - longest, "s", None, longest, name
        ),
        Measurement("drain.new_work_after_s", drained.last_start_s, "s", Target("<=", 2)),
        Measurement(
            "drain.cut_off",
            cut_off + cut,
            "requests",
            Target("<=", 0),
            note=f"{cut_off} at upstreams, {cut} at callers",
        ),
        Measurement("drain.slot_overshoot", over, "slots", Target("<=", 0)),
        Measurement(
            "drain.refused", refused, "requests", note=f"{result.total('complete')} complete"
        ),
    ]
