"""Planned move of traffic: compliance with the cap, and the effect of cold caches."""

import json
import time
import typing as t
from base64 import b64decode
from collections import Counter
from datetime import datetime

import bench_kit as kit
from bench_kit import LoadResult, Measurement, Plan, RunScale, Target
from fleet import Fleet, get_json, put_json

SERVICE_TIME_MS = 20.0
REQUESTS_PER_S = 240.0
MOVED_PERCENT = 60.0
CAP_PERCENT_PER_S = 10.0
FAST_CAP_PERCENT_PER_S = 100.0
COLD_REQUESTS = 60
COLD_FACTOR = 6.0
LOAD_PROCESSES = 2
SETTLE_S = 4.0
DEADLINE_MS = 3000

PLANS = {
    CAP_PERCENT_PER_S: Plan(number=20, places=(kit.ZONES[0],)),
    FAST_CAP_PERCENT_PER_S: Plan(number=21),
}


class MoveResult(t.NamedTuple):
    """Load result of a move; `since_s` is the move's start in seconds after the load's start."""

    result: LoadResult
    since_s: float
    target: frozenset[str]


def run(scale: RunScale) -> list[Measurement]:
    """Move most of the traffic to a zone with cold caches, under a low cap and then a high one."""
    slow = _move(CAP_PERCENT_PER_S, scale.pick(16, 10))
    measurements = [_cap_measurement(slow)]
    if scale.quick:
        return measurements
    fast = _move(FAST_CAP_PERCENT_PER_S, 12)
    return [*measurements, *_cold_measurements(slow, fast)]


def _move(cap: float, seconds: float) -> MoveResult:
    plan = PLANS[cap]._replace(
        places=(kit.ZONES[0],), cap_percent_per_s=cap, deadline_ms=DEADLINE_MS
    )
    with kit.deployment(plan) as fleet:
        target = [row for row in fleet.upstream_rows() if row["zone"] == kit.ZONES[1]]
        names = kit.start_loads(
            fleet, "move", _mix(), seconds, processes=LOAD_PROCESSES, direct=True
        )
        time.sleep(SETTLE_S)
        for row in target:
            cold = {"state": "cold", "cold_requests": COLD_REQUESTS, "cold_factor": COLD_FACTOR}
            put_json(f"http://{row['address']}/-/control", {**cold, "state": None})
        kit.print_progress(f"move of {MOVED_PERCENT:g} percent at {cap:g} percent/s")
        code, answer = fleet.ctl(
            "move", kit.SERVICE, *kit.ZONES, "--percent", str(MOVED_PERCENT), "--cap", str(cap),
            "--why", "benchmark",
        )  # fmt: skip
        if code != 0:
            raise RuntimeError(f"move: exit {code}: {answer}")
        since = _move_start(fleet)
        result = kit.finish_loads(fleet, names, seconds)
    started = min(report["started_at"] for report in result.reports)
    return MoveResult(result, since - started, frozenset(row["name"] for row in target))


def _mix() -> kit.Mix:
    common = {
        "method": "GET",
        "path": "/jobs/a",
        "deadline_ms": DEADLINE_MS,
        "work_ms": SERVICE_TIME_MS,
    }
    return [{**common, "name": "get", "rate": REQUESTS_PER_S}]


def _move_start(fleet: Fleet) -> float:
    row = get_json(f"http://{fleet.store}/v1/kv/config/current")[0]
    moves = json.loads(b64decode(row["Value"]))["document"]["moves"]
    return datetime.fromisoformat(next(iter(moves.values()))["since"]).timestamp()


def _fractions(move: MoveResult) -> dict[int, float]:
    """Return, for each second, the fraction of the sent requests that the target answered."""
    at_target: Counter[int] = Counter()
    sent: Counter[int] = Counter()
    for report in move.result.reports:
        for endpoint, rows in report["endpoints_by_second"].items():
            if endpoint in move.target:
                at_target.update({int(second): count for second, count in rows.items()})
        for rows in report["sent_by_second"].values():
            sent.update({int(second): count for second, count in rows.items()})
    return {second: at_target[second] / sent[second] for second in sorted(sent)}


def _cap_measurement(move: MoveResult) -> Measurement:
    """Return the maximum excess over the cap in any second, in percentage points of traffic."""
    fractions = _fractions(move)
    kit.print_progress(
        f"move since {move.since_s:.2f} s: "
        + " ".join(f"{s}:{f:.0%}" for s, f in fractions.items())
    )
    allowed = {s: max(0.0, (s + 1 - move.since_s) * CAP_PERCENT_PER_S / 100) for s in fractions}
    max_excess = max(fractions[s] - allowed[s] for s in fractions)
    last = max(fractions)
    note = (
        f"{MOVED_PERCENT:g} percent at {CAP_PERCENT_PER_S:g}/s; reached {fractions[last - 1]:.0%}"
    )
    return Measurement(
        "shift.cap_excess", max(0.0, 100 * max_excess), "points", Target("<=", 0), note=note
    )


def _cold_measurements(slow: MoveResult, fast: MoveResult) -> list[Measurement]:
    capped, uncapped = (kit.percentile_ms(m.result.latencies("get"), 99) for m in (slow, fast))
    not_answered = [m.result.total("refused") + m.result.total("failed") for m in (slow, fast)]
    name = "the same move without a ramp"
    return [
        Measurement("cold.p99_ms", capped, "ms", None, uncapped, name),
        Measurement("cold.p99_ratio", capped / uncapped, "ratio", None, 1.0, name),
        Measurement("cold.not_answered", not_answered[0], "requests", None, not_answered[1], name),
    ]
