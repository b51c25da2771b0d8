"""Shared parts of the trials: small deployments, load, fault injection and evaluation."""

import contextlib
import json
import pathlib
import signal
import threading
import time
import typing as t
from collections.abc import Callable, Iterable, Iterator

from fleet import Document, Fleet, get_json, put_json, running, summarize_counts

ROOT = pathlib.Path(__file__).resolve().parent.parent
BUILD = ROOT / "build" / "trials"
NET = "127.6"
TRIAL_TIMEOUT_S = 75
DEADLINE_MS = 1500
MAX_DEADLINE_MS = 2000
REGIONS = {"east": ["east-a", "east-b"], "west": ["west-a", "west-b"]}
CLIENT_BLOCKS = {"east": "10.1.0.0/16", "west": "10.2.0.0/16"}
SERVICES = ("menus", "orders")
CLIENTS_PER_REGION = 4
SLOTS = 4

# Metrics that must be 0 in every trial.
MUST_BE_ZERO = (
    "duplicate_runs",
    "slot_overshoot",
    "refused_but_run",
    "complete_but_not_run",
    "wrong_answers",
    "errors",
)
OUTCOMES = ("complete", "refused", "unknown", "failed", "cut", "unreached")

Metrics = dict[str, t.Any]
Codes = list[int | None]


class TrialResult(t.NamedTuple):
    """Metrics of one trial and a message for each violated check."""

    metrics: Metrics
    violations: list[str]


class Trial(t.NamedTuple):
    """One trial; `number` selects its loopback addresses."""

    name: str
    number: int
    run: "Callable[[Fleet], TrialResult]"
    entries_per_zone: tuple[int, ...] = (2, 2, 1, 1)


# The deployment


def make_document(trial: Trial) -> Document:
    """Return a document of two regions with two zones, and one upstream per service and zone."""
    zones = [zone for zones in REGIONS.values() for zone in zones]
    seats = [
        (f"{zone}-{index}", zone)
        for zone, count in zip(zones, trial.entries_per_zone, strict=True)
        for index in range(1, count + 1)
    ]
    return {
        "format": 1,
        "deployment": f"trial-{trial.name}",
        "regions": REGIONS,
        "entries": {
            seat: _entry_row(f"{NET}.{10 + trial.number}.{index}", zone)
            for index, (seat, zone) in enumerate(seats, 1)
        },
        "services": {
            name: service_row(name, f"{NET}.{100 + trial.number}.{10 * index}", zones)
            for index, name in enumerate(SERVICES, 1)
        },
        "clients": {"default": "east", "blocks": {CLIENT_BLOCKS[name]: name for name in REGIONS}},
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
    """Return the document's row of a service with one upstream in each of `zones`."""
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
                "address": f"{host}{index}:9000",
                "slots": SLOTS,
                "connections": 360,
            }
            for index, zone in enumerate(zones)
        },
    }


def _rule(region: str, other: str) -> dict[str, t.Any]:
    places = [{"region": region, "weight": 1}]
    then = {"places": places, "attempts": 2, "spill": [other]}
    return {"name": f"near-{region}", "when": {"region": region}, "then": then}


def with_retry_percent(document: Document, service: str, percent: int) -> Document:
    """Return a copy of the document in which one service has another retry percentage."""
    copy = json.loads(json.dumps(document))
    copy["services"][service]["retry_percent"] = percent
    return copy


@contextlib.contextmanager
def deployment(trial: Trial, document: Document) -> Iterator[Fleet]:
    """Yield a running deployment in which every entry has applied `document`."""
    with running(document, BUILD / trial.name, trial.number, net=NET) as fleet:
        fleet.start_entries()
        fleet.apply(document, "trial")
        fleet.wait_ready()
        yield fleet


# Load and faults


def start_load(fleet: Fleet, seconds: float, **rates: float) -> None:
    """Start the load: idempotent requests, streams, and orders with system and own operation ids.

    `rates` overrides the requests per second of a kind.
    """
    rate = {"menus": 40.0, "orders": 20.0, "own-orders": 2.0, "streams": 2.0, **rates}
    mix = []
    # Look-ups of several clients name every entry. Each path has its own body length, so that an
    # answer to another request is detected.
    for index, region in enumerate(REGIONS, 1):
        for item in range(CLIENTS_PER_REGION):
            client = {"client": f"10.{index}.0.{item}", "deadline_ms": DEADLINE_MS}
            each = {name: value / (2 * CLIENTS_PER_REGION) for name, value in rate.items()}
            menu = {**client, "name": "menus", "method": "PUT", "path": f"/menus/{region}-{item}"}
            menu |= {"rate": each["menus"], "work_ms": 100.0, "body_bytes": 100 * index + item}
            order = {**client, "method": "POST", "path": f"/orders/{region}-{item}"}
            order |= {"work_ms": 120.0, "repeat": 0.3, "body_bytes": 200 * index + item}
            stream = {**client, "name": "streams", "method": "GET", "path": f"/menus/{region}-all"}
            stream |= {"rate": each["streams"], "answer_bytes": 200_000 + 10 * index + item}
            mix += [menu, stream]
            mix.append({**order, "name": "orders", "operation": "system", "rate": each["orders"]})
            own = {"name": "own-orders", "operation": "own", "rate": each["own-orders"]}
            mix.append({**order, **own})
    cfg = {"entries": fleet.addresses(), "seed": 7, "duration_s": seconds, "grace_s": 8.0}
    fleet.start_load("load", {**cfg, "mix": mix})


def entries_of(fleet: Fleet, zone: str) -> list[str]:
    """Return the seats in a zone."""
    return [seat for seat, row in fleet.document["entries"].items() if row["zone"] == zone]


def busiest(fleet: Fleet) -> tuple[str, int]:
    """Return the seat with the most requests in flight, and their number."""
    in_flight = {}
    for seat in fleet.document["entries"]:
        rows = (fleet.status(seat) or {}).get("services", {}).values()
        in_flight[seat] = sum(row["in_flight"] for row in rows)
    seat = max(in_flight, key=lambda each: in_flight[each])
    return seat, in_flight[seat]


def kill(fleet: Fleet, seats: Iterable[str]) -> None:
    """Kill the given entries all at the same time, and wait until they have ended."""
    procs = [fleet.processes[seat] for seat in seats]
    for proc in procs:
        proc.signal(signal.SIGKILL)
    for proc in procs:
        proc.wait(5.0)


def restart_entry(fleet: Fleet, seat: str, ready_s: float = 20.0) -> float:
    """Start an ended entry again, keeping its previous log; return the seconds until ready."""
    log = fleet.processes[seat].log
    log.replace(log.with_suffix(".former.log"))
    start = time.monotonic()
    fleet.start_entry(seat)
    fleet.wait_ready([seat], ready_s)
    return round(time.monotonic() - start, 2)


def control_upstreams(fleet: Fleet, zone: str | None = None, **behaviour: t.Any) -> None:
    """Change the behaviour of the upstreams in a zone (default: all), also while they refuse."""
    control = json.loads(fleet.processes["upstreams"].lines()[0])["control"]
    for row in fleet.upstream_rows():
        if zone in (None, row["zone"]):
            put_json(f"http://{control}/{row['name']}/-/control", behaviour)


def count_started(fleet: Fleet, zone: str) -> int:
    """Return how many requests the upstreams of a zone have started to run."""
    rows = [row for row in fleet.upstream_rows() if row["zone"] == zone]
    return sum(get_json(f"http://{row['address']}/-/books")["started"] for row in rows)


def apply(fleet: Fleet, document: Document, name: str, *args: str) -> tuple[int, Metrics]:
    """Run `cardamomctl apply` on a new file; return its exit code and output."""
    path = fleet.folder / f"{name}.json"
    path.write_text(json.dumps(document))
    return fleet.ctl("apply", str(path), "--why", name, "--wait", "10", *args, timeout=45.0)


def read_audit_trail(fleet: Fleet) -> tuple[int, list[Metrics]]:
    """Verify the audit trail; return the exit code and the newest rows."""
    code, answer = fleet.ctl("audit", "--last", "50", "--verify")
    return code, answer.get("entries", [])


class RevisionPoller:
    """Polls the status pages of all entries and records each decrease of the revision."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._poll)
        self.polls = 0
        self.decreases: list[str] = []

    def __enter__(self) -> "RevisionPoller":
        self._thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._stopped.set()
        self._thread.join()

    def _poll(self) -> None:
        highest: dict[str, int] = {}
        while not self._stopped.wait(0.05):
            for seat in self._fleet.document["entries"]:
                page = self._fleet.status(seat)
                if page is None:
                    continue
                self.polls += 1
                if page["revision"] < highest.get(seat, 0):
                    self.decreases.append(f"{seat} {highest[seat]} to {page['revision']}")
                highest[seat] = page["revision"]


class LookupPoller:
    """Polls the look-ups of all other entries for answers that name a given entry.

    Attributes
    ----------
    valid_until
        Unix time at which the last answer that named the entry expires.
    """

    def __init__(self, fleet: Fleet, seat: str) -> None:
        rows = fleet.document["entries"].items()
        self._others = [row["callers"] for name, row in rows if name != seat]
        self._seat = seat
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._poll)
        self.valid_until = 0.0

    def __enter__(self) -> "LookupPoller":
        self._thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._stopped.set()
        self._thread.join()

    def _poll(self) -> None:
        while not self._stopped.wait(0.02):
            for address in self._others:
                requested_at = time.time()
                answer = get_json(f"http://{address}/lookup?client=10.1.0.1")
                if self._seat in [row["name"] for row in answer["entries"]]:
                    until = requested_at + answer["valid_ms"] / 1000
                    self.valid_until = max(self.valid_until, until)


# Evaluation


def evaluate(
    fleet: Fleet, seconds: float, recovery: tuple[int, float] | None = None
) -> TrialResult:
    """Wait for the load and compare the outcomes that callers saw with the upstreams' run counts.

    Parameters
    ----------
    recovery
        The second of the load from which the service must have recovered, and the minimum fraction
        of requests that must then be complete.
    """
    report = fleet.load_report("load", seconds + 20)
    upstream_counts = summarize_counts(fleet.upstream_counts())
    counts = _outcomes(report["outcomes"], repeats=False)
    repeats = _outcomes(report["outcomes"], repeats=True)
    metrics: Metrics = {"requests": sum(counts.values())}
    metrics |= {name: counts.get(name, 0) for name in OUTCOMES}
    metrics["errors"] = counts.get("error", 0) + repeats.get("error", 0)
    metrics["orders"] = len(report["tries"])
    metrics["repeats"] = repeats
    metrics |= _orders(report["tries"], upstream_counts.runs)
    metrics["duplicate_runs"] = upstream_counts.duplicate_runs
    metrics["slot_overshoot"] = upstream_counts.slot_overshoot
    metrics["wrong_answers"] = report["wrong_answers"]
    metrics["cut_off"] = upstream_counts.cut_off
    metrics["reasons"] = report["reasons"]
    violations = [f"{name} is {metrics[name]}" for name in MUST_BE_ZERO if metrics[name]]
    if metrics["errors"]:
        violations.append("; ".join(report["last_errors"][-3:]))
    if recovery is not None:
        metrics["complete_again"] = _complete_fraction(report, range(recovery[0], int(seconds)))
        if metrics["complete_again"] < recovery[1]:
            violations.append(
                f"only {metrics['complete_again']} complete from second {recovery[0]} on"
            )
    return TrialResult(metrics, violations)


def _outcomes(rows: dict[str, dict[str, int]], *, repeats: bool) -> dict[str, int]:
    total: dict[str, int] = {}
    for name, counts in rows.items():
        if name.endswith("-repeat") == repeats:
            for outcome, count in counts.items():
                total[outcome] = total.get(outcome, 0) + count
    return total


def _orders(tries: dict[str, list[str]], runs: dict[str, int]) -> Metrics:
    refused = [key for key, rows in tries.items() if {"refused"} <= set(rows) <= NOT_RUN_OUTCOMES]
    complete = [key for key, rows in tries.items() if {"complete", "repeat-complete"} & set(rows)]
    return {
        "orders_refused": len(refused),
        "refused_but_run": sum(runs.get(key, 0) > 0 for key in refused),
        "complete_but_not_run": sum(runs.get(key, 0) == 0 for key in complete),
    }


NOT_RUN_OUTCOMES = {"refused", "unreached"}


def _complete_fraction(report: Metrics, window: range) -> float:
    counts = {"complete": 0, "other": 0}
    for name, rows in report["outcomes_by_second"].items():
        kind = "complete" if name.endswith(":complete") else "other"
        counts[kind] += sum(count for second, count in rows.items() if int(second) in window)
    return round(counts["complete"] / max(1, sum(counts.values())), 3)


def add_checks(result: TrialResult, checks: dict[str, bool], **metrics: t.Any) -> TrialResult:
    """Return the result with further metrics, and a violation for each of `checks` that failed."""
    violations = [f"check failed: {name}" for name, passed in checks.items() if not passed]
    return TrialResult({**metrics, **result.metrics}, result.violations + violations)
