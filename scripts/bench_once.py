"""At-most-once execution: orders with repeats at other entries, killed entries, lost answers."""

import itertools
import signal
import time
import typing as t

import bench_kit as kit
from bench_kit import LoadResult, Measurement, Plan, RunScale, Target
from fleet import Fleet, put_json, summarize_counts

PLAN = Plan(number=11, max_deadline_ms=2000)
SERVICE_TIME_MS = 100.0
ORDERS_PER_S = 90.0
FAULT_FREE_S = 5.0
OWN_ID_ORDERS_PER_S = 20.0
LOAD_PROCESSES = 2
KILL_INTERVAL_S = 4.0
TRUNCATED_PER_KILL = 2


class Faults(t.NamedTuple):
    """Injected faults: killed entries, orders in flight at them, and truncated answers."""

    kills: int
    in_flight: int
    cut_short: int


def run(scale: RunScale) -> list[Measurement]:
    """Count store writes without faults, then kill entries and truncate answers under load."""
    with kit.deployment(PLAN) as fleet:
        writes_per_order = _writes_per_order(fleet)
        seconds = scale.pick(30, 8)
        kit.print_progress(
            f"once: {ORDERS_PER_S:g} orders/s for {seconds:g} s, kills every {KILL_INTERVAL_S:g} s"
        )
        names = kit.start_loads(fleet, "orders", _mix(), seconds, processes=LOAD_PROCESSES)
        faults = _inject_faults(fleet, seconds)
        result = kit.finish_loads(fleet, names, seconds)
        upstream_counts = summarize_counts(fleet.upstream_counts())
        return [
            writes_per_order,
            *_measurements(result, upstream_counts.runs, faults),
            *_limit_measurements(fleet),
        ]


def _mix() -> kit.Mix:
    row = {
        "name": "orders",
        "method": "POST",
        "path": "/jobs/orders",
        "rate": ORDERS_PER_S / 8,
        "operation": "system",
        "repeat": 0.5,
        "body_bytes": 200,
        "deadline_ms": 1500,
        "work_ms": SERVICE_TIME_MS,
    }
    return [{**row, "client": f"10.0.0.{number}"} for number in range(1, 9)]


def _writes_per_order(fleet: Fleet) -> Measurement:
    """Measure the store writes per order without faults, for system and own operation ids."""
    own = [{**row, "operation": "own", "rate": OWN_ID_ORDERS_PER_S / 8} for row in _mix()]
    orders, writes = _count_writes(fleet, "calm", _mix())
    claimed, claims = _count_writes(fleet, "claims", own)
    return Measurement(
        "once.store_writes_per_order",
        writes / max(1, orders),
        "writes",
        Target("<=", 0),
        claims / max(1, claimed),
        "ids of callers' own making",
        f"{writes} writes during {orders} orders",
    )


def _count_writes(fleet: Fleet, name: str, mix: kit.Mix) -> tuple[int, int]:
    before = _writes(fleet)
    result = kit.run_loads(fleet, name, mix, FAULT_FREE_S)
    return sum(len(report["orders"]) for report in result.reports), _writes(fleet) - before


def _writes(fleet: Fleet) -> int:
    """Return the number of key writes; renewals of the stewards' leases are not counted."""
    calls = fleet.store_calls()
    return sum(calls.get(kind, 0) for kind in ("put", "cas", "acquire"))


def _inject_faults(fleet: Fleet, seconds: float) -> Faults:
    """Kill and restart entries in turn, and have upstreams truncate answers."""
    end = time.monotonic() + seconds - 3
    in_flight = 0
    upstreams = itertools.cycle(fleet.upstream_rows())
    for kills, seat in enumerate(itertools.cycle(fleet.document["entries"])):
        time.sleep(KILL_INTERVAL_S / 2)
        if time.monotonic() > end:
            return Faults(kills, in_flight, kills * TRUNCATED_PER_KILL)
        in_flight += _in_flight(fleet, seat)
        fleet.processes[seat].signal(signal.SIGKILL)
        fleet.processes[seat].wait(2.0)
        fleet.start_entry(seat)
        put_json(
            f"http://{next(upstreams)['address']}/-/control", {"cut_short": TRUNCATED_PER_KILL}
        )
        time.sleep(KILL_INTERVAL_S / 2)
    raise AssertionError("a cycle never ends")


def _in_flight(fleet: Fleet, seat: str) -> int:
    status = fleet.status(seat)
    return status["services"][kit.SERVICE]["in_flight"] if status else 0


def _measurements(result: LoadResult, runs: dict[str, int], faults: Faults) -> list[Measurement]:
    tries = {key: rows for report in result.reports for key, rows in report["tries"].items()}
    final = {key: rows[-1] for report in result.reports for key, rows in report["orders"].items()}
    unknown = sum(outcome in ("unknown", "cut") for outcome in final.values())
    not_run = [key for key, rows in tries.items() if set(rows) == {"refused"}]
    complete = [key for key, rows in tries.items() if "complete" in rows]
    repeats = sum(len(rows) - 1 for rows in tries.values())
    kit.print_progress(
        f"once: {len(final)} orders, {repeats} repeats, {faults}, {result.reasons()}"
    )
    at_risk = (faults.in_flight + faults.cut_short) / max(1, len(final))
    return [
        Measurement(
            "once.duplicate_runs",
            sum(runs.get(key, 0) - 1 for key in tries if runs.get(key, 0) > 1),
            "runs",
            Target("<=", 0),
            note=f"{len(final)} orders, {repeats} repeats, {faults.kills} kills",
        ),
        Measurement(
            "once.refused_but_run",
            sum(runs.get(key, 0) > 0 for key in not_run),
            "orders",
            Target("<=", 0),
            note=f"of {len(not_run)} refused",
        ),
        Measurement(
            "once.complete_but_not_run",
            sum(runs.get(key, 0) == 0 for key in complete),
            "orders",
            Target("<=", 0),
            note=f"of {len(complete)} complete",
        ),
        Measurement(
            "once.unknown_ratio",
            unknown / max(1, len(final)),
            "ratio",
            None,
            at_risk,
            "in flight at kills, or cut short",
            f"{unknown} unknown; {faults.in_flight} in flight, {faults.cut_short} cut short",
        ),
        Measurement(
            "once.wrong_answers",
            sum(report["wrong_answers"] for report in result.reports),
            "answers",
            Target("<=", 0),
        ),
    ]


def _limit_measurements(fleet: Fleet) -> list[Measurement]:
    return [
        Measurement(
            "once.slot_overshoot",
            kit.slot_overshoot(fleet),
            "slots",
            Target("<=", 0),
            note="entries killed and restarted under load",
        )
    ]
