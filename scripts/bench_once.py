"""At most once: orders with repeats at other entries, executors killed, answers lost."""

import itertools
import signal
import time
import typing as t

import bench_kit as kit
from bench_kit import Aim, Figure, LoadResult, Plan, Sizes
from fleet import Fleet, put_json, summarize_counts

PLAN = Plan(number=11, max_deadline_ms=2000)
WORK_MS = 100.0
RATE = 90.0
CALM_S = 5.0
OWN_RATE = 20.0
PROCESSES = 2
KILL_EVERY_S = 4.0
CUT_SHORT = 2


class Faults(t.NamedTuple):
    """What was done to the deployment: kills, orders in flight at them, answers cut short."""

    kills: int
    in_flight: int
    cut_short: int


def run(sizes: Sizes) -> list[Figure]:
    """Count store writes in a calm phase, then kill executors and cut answers under load."""
    with kit.deployment(PLAN) as fleet:
        calm = _writes_per_order(fleet)
        seconds = sizes.pick(30, 8)
        kit.say(f"once: {RATE:g} orders/s for {seconds:g} s, kills every {KILL_EVERY_S:g} s")
        names = kit.start_loads(fleet, "orders", _mix(), seconds, processes=PROCESSES)
        faults = _disturb(fleet, seconds)
        result = kit.finish_loads(fleet, names, seconds)
        upstream_counts = summarize_counts(fleet.upstream_counts())
        return [calm, *_figures(result, upstream_counts.runs, faults), *_limits(fleet)]


def _mix() -> kit.Mix:
    row = {
        "name": "orders",
        "method": "POST",
        "path": "/jobs/orders",
        "rate": RATE / 8,
        "operation": "system",
        "repeat": 0.5,
        "body_bytes": 200,
        "deadline_ms": 1500,
        "work_ms": WORK_MS,
    }
    return [{**row, "client": f"10.0.0.{number}"} for number in range(1, 9)]


def _writes_per_order(fleet: Fleet) -> Figure:
    """Compare the store's writes for each order by kind of id, while nothing fails."""
    own = [{**row, "operation": "own", "rate": OWN_RATE / 8} for row in _mix()]
    orders, writes = _count_writes(fleet, "calm", _mix())
    claimed, claims = _count_writes(fleet, "claims", own)
    return Figure(
        "once.store_writes_per_order",
        writes / max(1, orders),
        "writes",
        Aim("<=", 0),
        claims / max(1, claimed),
        "ids of callers' own making",
        f"{writes} writes during {orders} orders",
    )


def _count_writes(fleet: Fleet, name: str, mix: kit.Mix) -> tuple[int, int]:
    before = _writes(fleet)
    result = kit.run_loads(fleet, name, mix, CALM_S)
    return sum(len(report["orders"]) for report in result.reports), _writes(fleet) - before


def _writes(fleet: Fleet) -> int:
    """Return the writes of keys; keeping the stewards' leases alive is not counted."""
    calls = fleet.store_calls()
    return sum(calls.get(kind, 0) for kind in ("put", "cas", "acquire"))


def _disturb(fleet: Fleet, seconds: float) -> Faults:
    """Kill and restart one entry after the other, and cut answers of upstreams short."""
    end = time.monotonic() + seconds - 3
    in_flight = 0
    upstreams = itertools.cycle(fleet.upstream_rows())
    for kills, seat in enumerate(itertools.cycle(fleet.document["entries"])):
        time.sleep(KILL_EVERY_S / 2)
        if time.monotonic() > end:
            return Faults(kills, in_flight, kills * CUT_SHORT)
        in_flight += _in_flight(fleet, seat)
        fleet.processes[seat].signal(signal.SIGKILL)
        fleet.processes[seat].wait(2.0)
        fleet.start_entry(seat)
        put_json(f"http://{next(upstreams)['address']}/-/control", {"cut_short": CUT_SHORT})
        time.sleep(KILL_EVERY_S / 2)
    raise AssertionError("a cycle never ends")


def _in_flight(fleet: Fleet, seat: str) -> int:
    status = fleet.status(seat)
    return status["services"][kit.SERVICE]["in_flight"] if status else 0


def _figures(result: LoadResult, runs: dict[str, int], faults: Faults) -> list[Figure]:
    tries = {key: rows for report in result.reports for key, rows in report["tries"].items()}
    final = {key: rows[-1] for report in result.reports for key, rows in report["orders"].items()}
    unknown = sum(outcome in ("unknown", "cut") for outcome in final.values())
    not_run = [key for key, rows in tries.items() if set(rows) == {"refused"}]
    complete = [key for key, rows in tries.items() if "complete" in rows]
    repeats = sum(len(rows) - 1 for rows in tries.values())
    kit.say(f"once: {len(final)} orders, {repeats} repeats, {faults}, {result.reasons()}")
    risked = (faults.in_flight + faults.cut_short) / max(1, len(final))
    return [
        Figure(
            "once.duplicate_runs",
            sum(runs.get(key, 0) - 1 for key in tries if runs.get(key, 0) > 1),
            "runs",
            Aim("<=", 0),
            note=f"{len(final)} orders, {repeats} repeats, {faults.kills} kills",
        ),
        Figure(
            "once.refused_but_run",
            sum(runs.get(key, 0) > 0 for key in not_run),
            "orders",
            Aim("<=", 0),
            note=f"of {len(not_run)} refused",
        ),
        Figure(
            "once.complete_but_not_run",
            sum(runs.get(key, 0) == 0 for key in complete),
            "orders",
            Aim("<=", 0),
            note=f"of {len(complete)} complete",
        ),
        Figure(
            "once.unknown_ratio",
            unknown / max(1, len(final)),
            "ratio",
            None,
            risked,
            "in flight at kills, or cut short",
            f"{unknown} unknown; {faults.in_flight} in flight, {faults.cut_short} cut short",
        ),
        Figure(
            "once.wrong_answers",
            sum(report["wrong_answers"] for report in result.reports),
            "answers",
            Aim("<=", 0),
        ),
    ]


def _limits(fleet: Fleet) -> list[Figure]:
    return [
        Figure(
            "once.slot_overshoot",
            kit.overshoot(fleet),
            "slots",
            Aim("<=", 0),
            note="entries killed and restarted under load",
        )
    ]
