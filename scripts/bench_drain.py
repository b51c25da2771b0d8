"""Planned work: the drain of a zone, and the planned stop of an entry, under load."""

import json
import signal
import threading
import time
import typing as t
import urllib.request
from base64 import b64decode
from datetime import datetime

import bench_kit as kit
from bench_kit import Aim, Figure, LoadResult, Plan, Sizes
from fleet import Fleet, wait_until

PLAN = Plan(number=12, cap_percent_per_s=100.0)
SHORT_MS = 100.0
LONG_MS = 2000.0
WORKED = 0.4
PROCESSES = 2
SETTLE_S = 4.0


class Drained(t.NamedTuple):
    """Seconds from the drain's start to the end of the last request and the start of the last."""

    over_s: float
    last_start_s: float
    reported_s: float


def run(sizes: Sizes) -> list[Figure]:
    """Drain one zone, then stop an entry of the other, while both serve short and long work."""
    seconds = sizes.pick(24, 16)
    with kit.deployment(PLAN) as fleet:
        names = kit.start_loads(fleet, "drain", _mix(), seconds, processes=PROCESSES)
        time.sleep(SETTLE_S)
        drained = _drain_zone(fleet)
        stop = _stop_entry(fleet)
        result = kit.finish_loads(fleet, names, seconds)
        cut_off = sum(counts["cut_off"] for counts in fleet.upstream_counts().values())
        over = kit.overshoot(fleet)
    return [*_drain_figures(drained, cut_off, over, result), *stop]


def _mix() -> kit.Mix:
    per_slot = PLAN.capacity * WORKED / 2
    common = {"method": "GET", "path": "/jobs/a", "deadline_ms": 4000}
    clients = 4
    return [
        {**common, "name": name, "rate": rate / clients, "work_ms": work, "client": f"10.0.0.{at}"}
        for name, rate, work in (
            ("short", per_slot * 1000 / SHORT_MS, SHORT_MS),
            ("long", per_slot * 1000 / LONG_MS, LONG_MS),
        )
        for at in range(1, clients + 1)
    ]


def _drain_zone(fleet: Fleet) -> Drained:
    zone = kit.ZONES[0]
    answer: dict[str, t.Any] = {}

    def command() -> None:
        answer["code"], answer["drain"] = fleet.ctl("drain", "zone", zone, "--why", "benchmark")

    thread = threading.Thread(target=command)
    thread.start()
    wait_until("the drain is recorded", lambda: _since(fleet, zone) is not None)
    since = _since(fleet, zone) or 0.0
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
    kit.say(f"drain: {answer['drain'].get('drain')}")
    return Drained(ended, max(starts) - since, float(answer["drain"]["drain_s"]))


def _since(fleet: Fleet, zone: str) -> float | None:
    """Return when the recorded drain starts, in seconds since the epoch."""
    with urllib.request.urlopen(f"http://{fleet.store}/v1/kv/config/current", timeout=2) as resp:
        record = json.loads(b64decode(json.load(resp)[0]["Value"]))
    row = record["document"].get("drains", {}).get(zone)
    return datetime.fromisoformat(row["since"]).timestamp() if row else None


def _running(fleet: Fleet, rows: list[dict[str, t.Any]]) -> int:
    upstream_counts = fleet.upstream_counts()
    return sum(upstream_counts[row["name"]]["running"] for row in rows)


def _stop_entry(fleet: Fleet) -> list[Figure]:
    seat = next(s for s, r in fleet.document["entries"].items() if r["zone"] == kit.ZONES[1])
    proc = fleet.processes[seat]
    start = time.monotonic()
    proc.signal(signal.SIGTERM)
    code = proc.wait(20.0)
    took = time.monotonic() - start
    kit.say(f"stop of an entry: exit {code} after {took:.2f} s")
    return [
        Figure("drain.entry_stop_exit", -1 if code is None else code, "code", Aim("<=", 0)),
        Figure("drain.entry_stop_s", took, "s", None, LONG_MS / 1000, "longest request"),
    ]


def _drain_figures(drained: Drained, cut_off: int, over: int, result: LoadResult) -> list[Figure]:
    longest = LONG_MS / 1000
    cut = result.total("cut")
    refused = result.total("refused")
    kit.say(f"drain: refused for {result.reasons()}")
    name = "longest request"
    return [
        Figure(
            "drain.over_inflight_s", drained.over_s - longest, "s", Aim("<=", 0.5), longest, name
        ),
        Figure(
            "drain.reported_over_inflight_s", drained.reported_s - longest, "s", None, longest, name
        ),
        Figure("drain.new_work_after_s", drained.last_start_s, "s", Aim("<=", 2)),
        Figure(
            "drain.cut_off",
            cut_off + cut,
            "requests",
            Aim("<=", 0),
            note=f"{cut_off} at upstreams, {cut} at callers",
        ),
        Figure("drain.slot_overshoot", over, "slots", Aim("<=", 0)),
        Figure("drain.refused", refused, "requests", note=f"{result.total('complete')} complete"),
    ]
