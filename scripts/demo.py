"""End-to-end demo on real processes: look-ups, orders, a rule edit, a zone drain, an entry stop.

Runs both example deployments side by side on loopback and prints the outcome; the last line is one
JSON object. Exits with 1 if a guarantee is violated.
"""

import fcntl
import json
import pathlib
import shutil
import signal
import sys
import time
import typing as t
from concurrent.futures import ThreadPoolExecutor
from datetime import UTC, datetime, timedelta

from fleet import Fleet, UpstreamCounts, percentile, running, summarize_counts, wait_until

ROOT = pathlib.Path(__file__).resolve().parent.parent
BUILD = ROOT / "build" / "demo"
LOAD_DURATION_S = 16.0
STOP_TIMEOUT_S = 15.0
DRAIN_LEAD_TIME = timedelta(seconds=4)


class Plan(t.NamedTuple):
    """Load and upstream behaviour of one example deployment."""

    name: str
    number: int
    mix: list[dict[str, t.Any]]
    behaviour: dict[str, dict[str, t.Any]]


class DemoResult(t.NamedTuple):
    """Outcome of the demo on one deployment; `lines` are printed."""

    name: str
    report: dict[str, t.Any]
    upstream_counts: UpstreamCounts
    drain_s: float
    stop_code: int | None
    stop_s: float
    lines: list[str]


PLANS = [
    Plan(
        "pimento",
        1,
        [
            {"name": "lookups", "method": "GET", "path": "/menus/today", "rate": 60},
            {
                "name": "orders",
                "method": "POST",
                "path": "/checkout/orders",
                "rate": 10,
                "operation": "system",
                "repeat": 0.3,
                "body_bytes": 300,
            },
            {
                "name": "uploads",
                "method": "PUT",
                "path": "/media/promo.mp4",
                "rate": 1,
                "body_bytes": 1_000_000,
            },
        ],
        {
            "menus": {"mean_ms": 8},
            "checkout": {"mean_ms": 30},
            "media": {"mean_ms": 40},
            "loyalty": {"mean_ms": 15},
        },
    ),
    Plan(
        "anwani",
        2,
        [
            {"name": "lookups", "method": "GET", "path": "/maillog/today", "rate": 60},
            {
                "name": "orders",
                "method": "POST",
                "path": "/billing/fees",
                "rate": 8,
                "operation": "system",
                "repeat": 0.3,
                "body_bytes": 200,
            },
            {
                "name": "own-orders",
                "method": "POST",
                "path": "/forwarding/orders",
                "rate": 2,
                "operation": "own",
                "repeat": 0.3,
                "body_bytes": 200,
            },
            {
                "name": "uploads",
                "method": "PUT",
                "path": "/scans/lease.pdf",
                "rate": 1,
                "body_bytes": 1_000_000,
            },
        ],
        {
            "maillog": {"mean_ms": 6},
            "billing": {"mean_ms": 30},
            "scans": {"mean_ms": 40},
            "forwarding": {"mean_ms": 20},
        },
    ),
]


def load_settings(fleet: Fleet, plan: Plan) -> dict[str, t.Any]:
    """Return load generator settings that spread the plan's mix over the client blocks."""
    blocks = list(fleet.document["clients"].get("blocks", {})) or ["10.0.0.0/8"]
    mix = []
    for number, block in enumerate(blocks[:6]):
        base = block.split("/")[0].rsplit(".", 1)[0]
        for row in plan.mix:
            rate = row["rate"] / min(6, len(blocks))
            mix.append({**row, "rate": rate, "client": f"{base}.{number + 7}"})
    return {
        "entries": fleet.addresses(),
        "seed": plan.number,
        "duration_s": LOAD_DURATION_S,
        "grace_s": 20.0,
        "mix": mix,
    }


def run_demo(plan: Plan) -> DemoResult:
    """Run all steps of the demo on one deployment."""
    document = json.loads((ROOT / "examples" / f"{plan.name}.json").read_text())
    lines: list[str] = []
    with running(document, BUILD / plan.name, plan.number, plan.behaviour) as fleet:
        fleet.start_entries()
        accepted = fleet.apply(document, "first rules of the demo")
        ready = fleet.wait_ready()
        lines.append(f"{len(document['entries'])} entries, rules: {format_answer(accepted)}")
        lines.append(f"all entries ready after a further {ready:.2f} s")
        fleet.start_load("load", load_settings(fleet, plan))
        time.sleep(2.0)
        lines.append(f"edit of a rule: {format_answer(edit_rule(fleet))}")
        time.sleep(1.0)
        zone = list(document["regions"].values())[0][1]
        # The lead time lets traffic shift away under the cap before the drain begins.
        begin = datetime.now(UTC) + DRAIN_LEAD_TIME
        code, drained = fleet.ctl(
            "drain", "zone", zone, "--at", begin.isoformat(), "--why", "demo drain"
        )
        lines.append(f"drain of zone {zone}: exit {code}: {format_answer(drained)}")
        drain_s = wait_drained(fleet, zone, begin) if code == 0 else -1.0
        lines.append(f"zone {zone} was empty {drain_s:.2f} s after the drain began")
        seat = next(s for s, r in document["entries"].items() if r["zone"] != zone)
        stop_s, stop_code = stop_entry(fleet, seat)
        lines.append(f"planned stop of entry {seat}: exit {stop_code} after {stop_s:.2f} s")
        fleet.set_vms({seat: "gone"})
        code, undrained = fleet.ctl("drain", "zone", zone, "--undo", "--why", "demo: work is done")
        lines.append(f"undo of the drain: exit {code}: {format_answer(undrained)}")
        report = fleet.load_report("load", LOAD_DURATION_S + 30)
        return DemoResult(
            plan.name,
            report,
            summarize_counts(fleet.upstream_counts()),
            drain_s,
            stop_code,
            stop_s,
            lines,
        )


def edit_rule(fleet: Fleet) -> dict[str, t.Any]:
    """Raise the attempt limit of the first rule that has one, and apply the document."""
    document = json.loads(json.dumps(fleet.document))
    rule = next(rule for rule in document["rules"] if "attempts" in rule["then"])
    rule["then"]["attempts"] += 1
    return fleet.apply(document, f"demo: one attempt more in rule {rule['name']}")


def wait_drained(fleet: Fleet, zone: str, begin: datetime) -> float:
    """Wait until every entry reports the drain as done; return the seconds since `begin`."""
    time.sleep(max(0.0, (begin - datetime.now(UTC)).total_seconds()))

    def done() -> bool:
        pages = [fleet.status(seat) or {} for seat in fleet.document["entries"]]
        rows = [row for page in pages for row in page.get("drains", []) if row["name"] == zone]
        return len(rows) == len(pages) and all(row["done"] for row in rows)

    wait_until("drain done", done)
    return (datetime.now(UTC) - begin).total_seconds()


def format_answer(answer: dict[str, t.Any]) -> str:
    """Format the main fields of a command's output on one line."""
    kept = ("outcome", "revision", "exit", "drain_s", "expected_s", "error")
    return ", ".join(f"{name} {answer[name]}" for name in kept if name in answer)


def stop_entry(fleet: Fleet, seat: str) -> tuple[float, int | None]:
    """Stop an entry with SIGTERM; return the seconds that it took and the exit code."""
    proc = fleet.processes[seat]
    start = time.monotonic()
    proc.signal(signal.SIGTERM)
    code = proc.wait(STOP_TIMEOUT_S)
    return time.monotonic() - start, code


def summarize(results: list[DemoResult]) -> dict[str, t.Any]:
    """Combine the results of all deployments into the JSON summary."""
    outcomes: dict[str, int] = {}
    latencies: list[float] = []
    cut = orders = 0
    for result in results:
        for name, rows in result.report["outcomes"].items():
            for outcome, count in rows.items():
                outcomes[outcome] = outcomes.get(outcome, 0) + count
                cut += count if outcome == "cut" else 0
            if name.endswith("orders"):
                orders += sum(rows.values())
        for name, values in result.report["latencies"].items():
            latencies += values if name != "uploads" else []
    errors = sum(outcomes.get(name, 0) for name in ("error", "failed", "unreached"))
    return {
        "requests": sum(outcomes.values()),
        "complete": outcomes.get("complete", 0),
        "refused_not_run": outcomes.get("refused", 0),
        "unknown": outcomes.get("unknown", 0),
        "errors": errors + sum(s.report["wrong_answers"] for s in results),
        "orders": orders,
        "duplicate_runs": sum(s.upstream_counts.duplicate_runs for s in results),
        "slot_overshoot": max(s.upstream_counts.slot_overshoot for s in results),
        "cut_off": cut + sum(s.upstream_counts.cut_off for s in results),
        "drain_s": round(max(s.drain_s for s in results), 3),
        "p50_ms": round(1000 * percentile(latencies, 50), 2),
        "p99_ms": round(1000 * percentile(latencies, 99), 2),
    }


def failed_checks(summary: dict[str, t.Any], results: list[DemoResult]) -> list[str]:
    """Return a message for each guarantee that was violated."""
    faults = [
        f"{name} is {summary[name]}"
        for name in ("duplicate_runs", "slot_overshoot", "cut_off", "errors")
        if summary[name]
    ]
    faults += [f"{s.name}: stop exited {s.stop_code}" for s in results if s.stop_code != 0]
    faults += [f"{s.name}: the drain was not reported done" for s in results if s.drain_s < 0]
    if summary["complete"] == 0:
        faults.append("no request was completed")
    return faults


def main() -> int:
    """Run the demo on both deployments and print the outcome."""
    BUILD.parent.mkdir(exist_ok=True)
    lock = (BUILD.parent / "demo.lock").open("w")
    try:
        fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError:
        print("another demo is running; its addresses are taken", file=sys.stderr)
        return 3
    shutil.rmtree(BUILD, ignore_errors=True)
    start = time.monotonic()
    with ThreadPoolExecutor() as pool:
        results = list(pool.map(run_demo, PLANS))
    for result in results:
        print(f"== {result.name}")
        for line in result.lines:
            print("  ", line)
        for name, rows in sorted(result.report["outcomes"].items()):
            values = result.report["latencies"].get(name, [])
            print(
                f"   {name:14} {rows}  p50 {1000 * percentile(values, 50):.1f} ms"
                f"  p99 {1000 * percentile(values, 99):.1f} ms"
            )
        if result.report["reasons"]:
            print("   refused for", result.report["reasons"])
        if result.report["last_errors"]:
            print("   errors seen:", result.report["last_errors"][-3:])
    summary = summarize(results)
    faults = failed_checks(summary, results)
    print(f"total demo time: {time.monotonic() - start:.1f} s")
    for fault in faults:
        print("BROKEN:", fault)
    print(json.dumps(summary))
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(main())
