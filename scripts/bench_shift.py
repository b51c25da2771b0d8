"""A planned move while all entries shift at once: its cap, and what cold caches make of it."""

import json
import time
import typing as t
from base64 import b64decode
from collections import Counter
from datetime import datetime

import bench_kit as kit
from bench_kit import Aim, Figure, LoadResult, Plan, Sizes
from fleet import Fleet, get_json, put_json

WORK_MS = 20.0
RATE = 240.0
PERCENT = 60.0
CAP = 10.0
FAST_CAP = 100.0
COLD_REQUESTS = 60
COLD_FACTOR = 6.0
PROCESSES = 2
LEAD_S = 4.0
DEADLINE_MS = 3000

PLANS = {CAP: Plan(number=20, places=(kit.ZONES[0],)), FAST_CAP: Plan(number=21)}


class Moved(t.NamedTuple):
    """The load during a move, its start in the load's own seconds, and the target's upstreams."""

    result: LoadResult
    since_s: float
    target: frozenset[str]


def run(sizes: Sizes) -> list[Figure]:
    """Move most of the traffic onto a cold zone, under a cap and then without a bound."""
    slow = _move(CAP, sizes.pick(16, 10))
    figures = [_cap_figure(slow)]
    if sizes.quick:
        return figures
    fast = _move(FAST_CAP, 12)
    return [*figures, *_cold_figures(slow, fast)]


def _move(cap: float, seconds: float) -> Moved:
    plan = PLANS[cap]._replace(
        places=(kit.ZONES[0],), cap_percent_per_s=cap, deadline_ms=DEADLINE_MS
    )
    with kit.deployment(plan) as fleet:
        target = [row for row in fleet.upstream_rows() if row["zone"] == kit.ZONES[1]]
        names = kit.start_loads(fleet, "move", _mix(), seconds, processes=PROCESSES, direct=True)
        time.sleep(LEAD_S)
        for row in target:
            cold = {"state": "cold", "cold_requests": COLD_REQUESTS, "cold_factor": COLD_FACTOR}
            put_json(f"http://{row['address']}/-/control", {**cold, "state": None})
        kit.say(f"move of {PERCENT:g} percent at {cap:g} percent/s")
        code, answer = fleet.ctl(
            "move", kit.SERVICE, *kit.ZONES, "--percent", str(PERCENT), "--cap", str(cap),
            "--why", "benchmark",
        )  # fmt: skip
        if code != 0:
            raise RuntimeError(f"move: exit {code}: {answer}")
        since = _since(fleet)
        result = kit.finish_loads(fleet, names, seconds)
    started = min(report["started_at"] for report in result.reports)
    return Moved(result, since - started, frozenset(row["name"] for row in target))


def _mix() -> kit.Mix:
    common = {"method": "GET", "path": "/jobs/a", "deadline_ms": DEADLINE_MS, "work_ms": WORK_MS}
    return [{**common, "name": "get", "rate": RATE}]


def _since(fleet: Fleet) -> float:
    row = get_json(f"http://{fleet.store}/v1/kv/config/current")[0]
    moves = json.loads(b64decode(row["Value"]))["document"]["moves"]
    return datetime.fromisoformat(next(iter(moves.values()))["since"]).timestamp()


def _fractions(moved: Moved) -> dict[int, float]:
    """Return what part of the requests sent in each second the target answered."""
    there: Counter[int] = Counter()
    sent: Counter[int] = Counter()
    for report in moved.result.reports:
        for endpoint, rows in report["endpoints_by_second"].items():
            if endpoint in moved.target:
                there.update({int(second): count for second, count in rows.items()})
        for rows in report["sent_by_second"].values():
            sent.update({int(second): count for second, count in rows.items()})
    return {second: there[second] / sent[second] for second in sorted(sent)}


def _cap_figure(moved: Moved) -> Figure:
    """Return by how many points of traffic any second is ahead of the cap."""
    fractions = _fractions(moved)
    kit.say(
        f"move since {moved.since_s:.2f} s: "
        + " ".join(f"{s}:{f:.0%}" for s, f in fractions.items())
    )
    allowed = {s: max(0.0, (s + 1 - moved.since_s) * CAP / 100) for s in fractions}
    worst = max(fractions[s] - allowed[s] for s in fractions)
    last = max(fractions)
    note = f"{PERCENT:g} percent at {CAP:g}/s; reached {fractions[last - 1]:.0%}"
    return Figure("shift.cap_excess", max(0.0, 100 * worst), "points", Aim("<=", 0), note=note)


def _cold_figures(slow: Moved, fast: Moved) -> list[Figure]:
    ramped, plain = (kit.milliseconds(m.result.latencies("get"), 99) for m in (slow, fast))
    late = [m.result.total("refused") + m.result.total("failed") for m in (slow, fast)]
    name = "the same move without a ramp"
    return [
        Figure("cold.p99_ms", ramped, "ms", None, plain, name),
        Figure("cold.p99_ratio", ramped / plain, "ratio", None, 1.0, name),
        Figure("cold.not_answered", late[0], "requests", None, late[1], name),
    ]
