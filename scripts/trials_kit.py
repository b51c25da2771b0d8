"""What the trials share: small deployments under a load, and what callers and upstreams saw."""

import contextlib
import json
import pathlib
import signal
import threading
import time
import typing as t
from collections.abc import Callable, Iterable, Iterator

from fleet import Document, Fleet, get_json, put_json, running, sum_up

ROOT = pathlib.Path(__file__).resolve().parent.parent
BUILD = ROOT / "build" / "trials"
NET = "127.6"
BOUND_S = 75
DEADLINE_MS = 1500
MAX_DEADLINE_MS = 2000
REGIONS = {"east": ["east-a", "east-b"], "west": ["west-a", "west-b"]}
CLIENTS = {"east": "10.1.0.0/16", "west": "10.2.0.0/16"}
SERVICES = ("menus", "orders")
CLIENTS_EACH = 4
SLOTS = 4

# These are promises of every trial: each must be 0.
NEVER = (
    "duplicate_runs",
    "slot_overshoot",
    "refused_but_run",
    "complete_but_not_run",
    "wrong_answers",
    "errors",
)
OUTCOMES = ("complete", "refused", "unknown", "failed", "cut", "unreached")

Figures = dict[str, t.Any]
Codes = list[int | None]


class Verdict(t.NamedTuple):
    """What a trial measured, and which promises it saw broken."""

    figures: Figures
    broken: list[str]


class Trial(t.NamedTuple):
    """One trial: its number keeps its addresses apart from those of the others."""

    name: str
    number: int
    run: "Callable[[Fleet], Verdict]"
    entries_each: tuple[int, ...] = (2, 2, 1, 1)


# The deployment


def make_document(trial: Trial) -> Document:
    """Generate two regions of two zones, with one upstream of each service in each zone."""
    zones = [zone for zones in REGIONS.values() for zone in zones]
    seats = [
        (f"{zone}-{at}", zone)
        for zone, count in zip(zones, trial.entries_each, strict=True)
        for at in range(1, count + 1)
    ]
    return {
        "format": 1,
        "deployment": f"trial-{trial.name}",
        "regions": REGIONS,
        "entries": {
            seat: _entry_row(f"{NET}.{10 + trial.number}.{at}", zone)
            for at, (seat, zone) in enumerate(seats, 1)
        },
        "services": {
            name: service_row(name, f"{NET}.{100 + trial.number}.{10 * at}", zones)
            for at, name in enumerate(SERVICES, 1)
        },
        "clients": {"default": "east", "blocks": {CLIENTS[name]: name for name in REGIONS}},
        "rules": [_rule(region, other) for region, other in (("east", "west"), ("west", "east"))],
    }


def _entry_row(host: str, zone: str) -> dict[str, t.Any]:
    return {
        "zone": zone,
        "site": zone.rpartition("-")[0],
        "callers": f"{host}:8080",
        "peers": f"{host}:7400",
        "operators": f"{host}:8081",
    }


def service_row(name: str, host: str, zones: list[str]) -> dict[str, t.Any]:
    """Return a service of the document with one upstream in each of `zones`."""
    return {
        "prefix": f"/{name}",
        "priority": "normal",
        "deadline_ms": DEADLINE_MS,
        "max_deadline_ms": MAX_DEADLINE_MS,
        "shift_cap_percent_per_s": 50,
        "spill_percent": 75,
        "retry_percent": 20,
        "upstreams": {
            f"{name}-{zone}": {
                "zone": zone,
                "address": f"{host}{at}:9000",
                "slots": SLOTS,
                "connections": 360,
            }
            for at, zone in enumerate(zones)
        },
    }


def _rule(region: str, other: str) -> dict[str, t.Any]:
    places = [{"region": region, "weight": 1}]
    then = {"places": places, "attempts": 2, "spill": [other]}
    return {"name": f"near-{region}", "when": {"region": region}, "then": then}


def with_edit(document: Document, service: str, percent: int) -> Document:
    """Return the document with another retry percentage of one service."""
    copy = json.loads(json.dumps(document))
    copy["services"][service]["retry_percent"] = percent
    return copy


@contextlib.contextmanager
def deployment(trial: Trial, document: Document) -> Iterator[Fleet]:
    """Own a deployment whose entries all serve `document`."""
    with running(document, BUILD / trial.name, trial.number, net=NET) as fleet:
        fleet.start_entries()
        fleet.apply(document, "trial")
        fleet.wait_ready()
        yield fleet


# What is done to it


def start_load(fleet: Fleet, seconds: float, **rates: float) -> None:
    """Start the callers: idempotent requests, orders with repeats, orders under own ids."""
    rate = {"menus": 40.0, "orders": 20.0, "own-orders": 2.0, "streams": 2.0, **rates}
    mix = []
    # Many clients, so that every entry is named to some; each path has its own length of body, so
    # that a mixed-up answer does not match.
    for at, region in enumerate(REGIONS, 1):
        for item in range(CLIENTS_EACH):
            near = {"client": f"10.{at}.0.{item}", "deadline_ms": DEADLINE_MS}
            each = {name: value / (2 * CLIENTS_EACH) for name, value in rate.items()}
            menu = {**near, "name": "menus", "method": "PUT", "path": f"/menus/{region}-{item}"}
            menu |= {"rate": each["menus"], "work_ms": 100.0, "body_bytes": 100 * at + item}
            order = {**near, "method": "POST", "path": f"/orders/{region}-{item}"}
            order |= {"work_ms": 120.0, "repeat": 0.3, "body_bytes": 200 * at + item}
            stream = {**near, "name": "streams", "method": "GET", "path": f"/menus/{region}-all"}
            stream |= {"rate": each["streams"], "answer_bytes": 200_000 + 10 * at + item}
            mix += [menu, stream]
            mix.append({**order, "name": "orders", "operation": "system", "rate": each["orders"]})
            own = {"name": "own-orders", "operation": "own", "rate": each["own-orders"]}
            mix.append({**order, **own})
    cfg = {"entries": fleet.addresses(), "seed": 7, "duration_s": seconds, "grace_s": 8.0}
    fleet.start_load("load", {**cfg, "mix": mix})


def entries_of(fleet: Fleet, zone: str) -> list[str]:
    """Return the seats of a zone."""
    return [seat for seat, row in fleet.document["entries"].items() if row["zone"] == zone]


def busiest(fleet: Fleet) -> tuple[str, int]:
    """Return the entry with the most requests in flight, and how many."""
    flights = {}
    for seat in fleet.document["entries"]:
        rows = (fleet.status(seat) or {}).get("services", {}).values()
        flights[seat] = sum(row["in_flight"] for row in rows)
    seat = max(flights, key=lambda each: flights[each])
    return seat, flights[seat]


def kill(fleet: Fleet, seats: Iterable[str]) -> None:
    """Kill entries at the same time."""
    procs = [fleet.processes[seat] for seat in seats]
    for proc in procs:
        proc.signal(signal.SIGKILL)
    for proc in procs:
        proc.wait(5.0)


def start_again(fleet: Fleet, seat: str, ready_s: float = 20.0) -> float:
    """Start an ended entry in its seat and keep the former log; return the seconds to ready."""
    log = fleet.processes[seat].log
    log.replace(log.with_suffix(".former.log"))
    start = time.monotonic()
    fleet.start_entry(seat)
    fleet.wait_ready([seat], ready_s)
    return round(time.monotonic() - start, 2)


def control_upstreams(fleet: Fleet, zone: str | None = None, **behaviour: t.Any) -> None:
    """Change the behaviour of a zone's upstreams (all by default), also while they refuse."""
    control = json.loads(fleet.processes["upstreams"].lines()[0])["control"]
    for row in fleet.upstream_rows():
        if zone in (None, row["zone"]):
            put_json(f"http://{control}/{row['name']}/-/control", behaviour)


def started(fleet: Fleet, zone: str) -> int:
    """Return how many requests a zone's upstreams have begun to run."""
    rows = [row for row in fleet.upstream_rows() if row["zone"] == zone]
    return sum(get_json(f"http://{row['address']}/-/books")["started"] for row in rows)


def apply(fleet: Fleet, document: Document, name: str, *args: str) -> tuple[int, Figures]:
    """Run `cardamomctl apply` on a file of its own; return exit code and answer."""
    path = fleet.folder / f"{name}.json"
    path.write_text(json.dumps(document))
    return fleet.ctl("apply", str(path), "--why", name, "--wait", "10", *args, timeout=45.0)


def trail(fleet: Fleet) -> tuple[int, list[Figures]]:
    """Verify the audit trail; return the exit code and its rows."""
    code, answer = fleet.ctl("audit", "--last", "50", "--verify")
    return code, answer.get("entries", [])


class Watch:
    """Polls the status page of every entry and keeps each revision that it shows."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._over = threading.Event()
        self._thread = threading.Thread(target=self._poll)
        self.polls = 0
        self.went_back: list[str] = []

    def __enter__(self) -> "Watch":
        self._thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._over.set()
        self._thread.join()

    def _poll(self) -> None:
        highest: dict[str, int] = {}
        while not self._over.wait(0.05):
            for seat in self._fleet.document["entries"]:
                page = self._fleet.status(seat)
                if page is None:
                    continue
                self.polls += 1
                if page["revision"] < highest.get(seat, 0):
                    self.went_back.append(f"{seat} {highest[seat]} to {page['revision']}")
                highest[seat] = page["revision"]


class LookUps:
    """Asks the other entries for look-ups and keeps until when one was told to use an entry."""

    def __init__(self, fleet: Fleet, seat: str) -> None:
        rows = fleet.document["entries"].items()
        self._others = [row["callers"] for name, row in rows if name != seat]
        self._seat = seat
        self._over = threading.Event()
        self._thread = threading.Thread(target=self._poll)
        self.valid_until = 0.0

    def __enter__(self) -> "LookUps":
        self._thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._over.set()
        self._thread.join()

    def _poll(self) -> None:
        while not self._over.wait(0.02):
            for address in self._others:
                asked = time.time()
                answer = get_json(f"http://{address}/lookup?client=10.1.0.1")
                if self._seat in [row["name"] for row in answer["entries"]]:
                    until = asked + answer["valid_ms"] / 1000
                    self.valid_until = max(self.valid_until, until)


# Judging


def judge(fleet: Fleet, seconds: float, again: tuple[int, float] | None = None) -> Verdict:
    """Wait for the load and compare what callers were told with what the upstreams ran.

    Parameters
    ----------
    again
        From which second of the load on which part of the requests must be complete.
    """
    report = fleet.load_report("load", seconds + 20)
    books = sum_up(fleet.books())
    counts = _outcomes(report["outcomes"], repeats=False)
    repeats = _outcomes(report["outcomes"], repeats=True)
    figures: Figures = {"requests": sum(counts.values())}
    figures |= {name: counts.get(name, 0) for name in OUTCOMES}
    figures["errors"] = counts.get("error", 0) + repeats.get("error", 0)
    figures["orders"] = len(report["tries"])
    figures["repeats"] = repeats
    figures |= _orders(report["tries"], books.runs)
    figures["duplicate_runs"] = books.duplicate_runs
    figures["slot_overshoot"] = books.slot_overshoot
    figures["wrong_answers"] = report["wrong_answers"]
    figures["cut_off"] = books.cut_off
    figures["reasons"] = report["reasons"]
    broken = [f"{name} is {figures[name]}" for name in NEVER if figures[name]]
    if figures["errors"]:
        broken.append("; ".join(report["last_errors"][-3:]))
    if again is not None:
        figures["complete_again"] = _complete_part(report, range(again[0], int(seconds)))
        if figures["complete_again"] < again[1]:
            broken.append(f"only {figures['complete_again']} complete from second {again[0]} on")
    return Verdict(figures, broken)


def _outcomes(rows: dict[str, dict[str, int]], *, repeats: bool) -> dict[str, int]:
    total: dict[str, int] = {}
    for name, counts in rows.items():
        if name.endswith("-repeat") == repeats:
            for outcome, count in counts.items():
                total[outcome] = total.get(outcome, 0) + count
    return total


def _orders(tries: dict[str, list[str]], runs: dict[str, int]) -> Figures:
    refused = [key for key, rows in tries.items() if {"refused"} <= set(rows) <= NOT_RUN]
    complete = [key for key, rows in tries.items() if {"complete", "repeat-complete"} & set(rows)]
    return {
        "orders_refused": len(refused),
        "refused_but_run": sum(runs.get(key, 0) > 0 for key in refused),
        "complete_but_not_run": sum(runs.get(key, 0) == 0 for key in complete),
    }


NOT_RUN = {"refused", "unreached"}


def _complete_part(report: Figures, window: range) -> float:
    counts = {"complete": 0, "other": 0}
    for name, rows in report["outcomes_by_second"].items():
        kind = "complete" if name.endswith(":complete") else "other"
        counts[kind] += sum(count for second, count in rows.items() if int(second) in window)
    return round(counts["complete"] / max(1, sum(counts.values())), 3)


def add(verdict: Verdict, promises: dict[str, bool], **figures: t.Any) -> Verdict:
    """Add figures and the promises of one trial, named with whether they held."""
    broken = [f"not so: {name}" for name, held in promises.items() if not held]
    return Verdict({**figures, **verdict.figures}, verdict.broken + broken)
