"""The whole path on real processes: look up, order, edit a rule, drain a zone, stop an entry.

Runs both deployments of the examples side by side on loopback, prints what happened, and as the
last line one JSON object. Exits 1 if a promise was broken.
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

from fleet import Books, Fleet, percentile, running, sum_up, wait_until

ROOT = pathlib.Path(__file__).resolve().parent.parent
BUILD = ROOT / "build" / "demo"
LOAD_S = 16.0
STOP_LIMIT_S = 15.0
NOTICE = timedelta(seconds=4)


class Plan(t.NamedTuple):
    """What to do with one deployment."""

    name: str
    number: int
    mix: list[dict[str, t.Any]]
    behaviour: dict[str, dict[str, t.Any]]


class Story(t.NamedTuple):
    """What happened to one deployment."""

    name: str
    report: dict[str, t.Any]
    books: Books
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
    """Return the callers' mix, their addresses spread over the document's client blocks."""
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
        "duration_s": LOAD_S,
        "grace_s": 20.0,
        "mix": mix,
    }


def play(plan: Plan) -> Story:
    """Run one deployment's story."""
    document = json.loads((ROOT / "examples" / f"{plan.name}.json").read_text())
    lines: list[str] = []
    with running(document, BUILD / plan.name, plan.number, plan.behaviour) as fleet:
        fleet.start_entries()
        accepted = fleet.apply(document, "first rules of the demo")
        ready = fleet.wait_ready()
        lines.append(f"{len(document['entries'])} entries, rules: {brief(accepted)}")
        lines.append(f"all entries ready after a further {ready:.2f} s")
        fleet.start_load("load", load_settings(fleet, plan))
        time.sleep(2.0)
        lines.append(f"edit of a rule: {brief(edit_rule(fleet))}")
        time.sleep(1.0)
        zone = list(document["regions"].values())[0][1]
        # Announced ahead, so that the traffic has moved away under its cap when the drain begins.
        begin = datetime.now(UTC) + NOTICE
        code, drained = fleet.ctl(
            "drain", "zone", zone, "--at", begin.isoformat(), "--why", "demo drain"
        )
        lines.append(f"drain of zone {zone}: exit {code}: {brief(drained)}")
        drain_s = wait_drained(fleet, zone, begin) if code == 0 else -1.0
        lines.append(f"zone {zone} was empty {drain_s:.2f} s after the drain began")
        seat = next(s for s, r in document["entries"].items() if r["zone"] != zone)
        stop_s, stop_code = stop_entry(fleet, seat)
        lines.append(f"planned stop of entry {seat}: exit {stop_code} after {stop_s:.2f} s")
        fleet.set_vms({seat: "gone"})
        code, undrained = fleet.ctl("drain", "zone", zone, "--undo", "--why", "demo: work is done")
        lines.append(f"undo of the drain: exit {code}: {brief(undrained)}")
        report = fleet.load_report("load", LOAD_S + 30)
        return Story(plan.name, report, sum_up(fleet.books()), drain_s, stop_code, stop_s, lines)


def edit_rule(fleet: Fleet) -> dict[str, t.Any]:
    """Allow one attempt more in the first rule that has a limit, and apply the file."""
    document = json.loads(json.dumps(fleet.document))
    rule = next(rule for rule in document["rules"] if "attempts" in rule["then"])
    rule["then"]["attempts"] += 1
    return fleet.apply(document, f"demo: one attempt more in rule {rule['name']}")


def wait_drained(fleet: Fleet, zone: str, begin: datetime) -> float:
    """Wait until every entry reports the drain as done; return the seconds since it began."""
    time.sleep(max(0.0, (begin - datetime.now(UTC)).total_seconds()))

    def done() -> bool:
        pages = [fleet.status(seat) or {} for seat in fleet.document["entries"]]
        rows = [row for page in pages for row in page.get("drains", []) if row["name"] == zone]
        return len(rows) == len(pages) and all(row["done"] for row in rows)

    wait_until("drain done", done)
    return (datetime.now(UTC) - begin).total_seconds()


def brief(answer: dict[str, t.Any]) -> str:
    """Return what matters of a command's answer on one line."""
    kept = ("outcome", "revision", "exit", "drain_s", "expected_s", "error")
    return ", ".join(f"{name} {answer[name]}" for name in kept if name in answer)


def stop_entry(fleet: Fleet, seat: str) -> tuple[float, int | None]:
    """Stop one entry gracefully; return the seconds it took and its exit code."""
    proc = fleet.processes[seat]
    start = time.monotonic()
    proc.signal(signal.SIGTERM)
    code = proc.wait(STOP_LIMIT_S)
    return time.monotonic() - start, code


def combine(stories: list[Story]) -> dict[str, t.Any]:
    """Add up both deployments into the last line's object."""
    outcomes: dict[str, int] = {}
    latencies: list[float] = []
    cut = orders = 0
    for story in stories:
        for name, rows in story.report["outcomes"].items():
            for outcome, count in rows.items():
                outcomes[outcome] = outcomes.get(outcome, 0) + count
                cut += count if outcome == "cut" else 0
            if name.endswith("orders"):
                orders += sum(rows.values())
        for name, values in story.report["latencies"].items():
            latencies += values if name != "uploads" else []
    errors = sum(outcomes.get(name, 0) for name in ("error", "failed", "unreached"))
    return {
        "requests": sum(outcomes.values()),
        "complete": outcomes.get("complete", 0),
        "refused_not_run": outcomes.get("refused", 0),
        "unknown": outcomes.get("unknown", 0),
        "errors": errors + sum(s.report["wrong_answers"] for s in stories),
        "orders": orders,
        "duplicate_runs": sum(s.books.duplicate_runs for s in stories),
        "slot_overshoot": max(s.books.slot_overshoot for s in stories),
        "cut_off": cut + sum(s.books.cut_off for s in stories),
        "drain_s": round(max(s.drain_s for s in stories), 3),
        "p50_ms": round(1000 * percentile(latencies, 50), 2),
        "p99_ms": round(1000 * percentile(latencies, 99), 2),
    }


def broken(summary: dict[str, t.Any], stories: list[Story]) -> list[str]:
    """Name the promises that did not hold."""
    faults = [
        f"{name} is {summary[name]}"
        for name in ("duplicate_runs", "slot_overshoot", "cut_off", "errors")
        if summary[name]
    ]
    faults += [f"{s.name}: stop exited {s.stop_code}" for s in stories if s.stop_code != 0]
    faults += [f"{s.name}: the drain was not reported done" for s in stories if s.drain_s < 0]
    if summary["complete"] == 0:
        faults.append("no request was completed")
    return faults


def main() -> int:
    """Run both stories and print the outcome."""
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
        stories = list(pool.map(play, PLANS))
    for story in stories:
        print(f"== {story.name}")
        for line in story.lines:
            print("  ", line)
        for name, rows in sorted(story.report["outcomes"].items()):
            values = story.report["latencies"].get(name, [])
            print(
                f"   {name:14} {rows}  p50 {1000 * percentile(values, 50):.1f} ms"
                f"  p99 {1000 * percentile(values, 99):.1f} ms"
            )
        if story.report["reasons"]:
            print("   refused for", story.report["reasons"])
        if story.report["last_errors"]:
            print("   errors seen:", story.report["last_errors"][-3:])
    summary = combine(stories)
    faults = broken(summary, stories)
    print(f"whole demo: {time.monotonic() - start:.1f} s")
    for fault in faults:
        print("BROKEN:", fault)
    print(json.dumps(summary))
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(main())
