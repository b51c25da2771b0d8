"""Shared parts of the benchmarks: measurements, generated documents, deployments and loads."""

import contextlib
import pathlib
import time
import typing as t
from collections.abc import Iterator

from fleet import Document, Fleet, percentile, running

ROOT = pathlib.Path(__file__).resolve().parent.parent
BUILD = ROOT / "build" / "bench"
NET = "127.1"
SERVICE = "jobs"
REGION = "region-1"
ZONES = ("region-1-a", "region-1-b")
REPORT_TIMEOUT_S = 30.0

Mix = list[dict[str, t.Any]]


class Target(t.NamedTuple):
    """Target of a measurement: at most or at least `bound`."""

    sign: t.Literal["<=", ">="]
    bound: float

    def is_met(self, value: float) -> bool:
        """Return whether `value` is within the bound."""
        return value <= self.bound if self.sign == "<=" else value >= self.bound

    def __str__(self) -> str:
        return f"{self.sign} {self.bound:g}"


class Measurement(t.NamedTuple):
    """One measured value; `baseline` is the value of the named baseline in the same run."""

    name: str
    value: float
    unit: str
    target: Target | None = None
    baseline: float | None = None
    baseline_name: str = ""
    note: str = ""


class RunScale(t.NamedTuple):
    """Selects the extent of a run: full, or quick with fewer and shorter benchmarks."""

    quick: bool

    def pick(self, full: float, quick: float) -> float:
        """Return the value for this kind of run."""
        return quick if self.quick else full


class Plan(t.NamedTuple):
    """Deployment of one region with two zones.

    `number` selects the addresses; it must be unique among deployments that run at once.
    """

    number: int
    entries: int = 12
    upstreams: int = 12
    slots: int = 3
    deadline_ms: int = 1500
    max_deadline_ms: int = 4000
    places: tuple[str, ...] = ()
    cap_percent_per_s: float = 50.0

    @property
    def capacity(self) -> int:
        """Total number of slots of all upstreams."""
        return self.upstreams * self.slots


def make_document(plan: Plan) -> Document:
    """Return the configuration document of a deployment."""
    places = [{"zone": zone, "weight": 1} for zone in plan.places]
    places = places or [{"region": REGION, "weight": 1}]
    return {
        "format": 1,
        "deployment": f"bench-{plan.number}",
        "regions": {REGION: list(ZONES)},
        "entries": {
            f"entry-{index:02}": _entry_row(plan, index) for index in range(1, plan.entries + 1)
        },
        "services": {SERVICE: _service_row(plan)},
        "clients": {"default": REGION},
        "rules": [
            {
                "name": "orders",
                "when": {"idempotent": False},
                "then": {"places": places, "attempts": 2, "priority": "critical"},
            },
            {"name": "near", "when": {}, "then": {"places": places, "attempts": 2}},
        ],
    }


def _entry_row(plan: Plan, index: int) -> dict[str, t.Any]:
    host = f"{NET}.{plan.number}.{index}"
    return {
        "zone": ZONES[index % 2],
        "site": REGION,
        "callers": f"{host}:8080",
        "peers": f"{host}:7400",
        "operators": f"{host}:8081",
    }


def _service_row(plan: Plan) -> dict[str, t.Any]:
    return {
        "prefix": f"/{SERVICE}",
        "priority": "normal",
        "deadline_ms": plan.deadline_ms,
        "max_deadline_ms": plan.max_deadline_ms,
        "max_body_bytes": 65536,
        "shift_cap_percent_per_s": plan.cap_percent_per_s,
        "retry_percent": 20,
        "upstreams": {
            f"work-{index:02}": {
                "zone": ZONES[index % 2],
                "address": f"{NET}.{plan.number + 100}.{index}:9000",
                "slots": plan.slots,
                "connections": 360,
            }
            for index in range(1, plan.upstreams + 1)
        },
    }


@contextlib.contextmanager
def deployment(plan: Plan, behaviour: dict[str, t.Any] | None = None) -> Iterator[Fleet]:
    """Yield a running deployment in which every entry has applied the generated document."""
    document = make_document(plan)
    folder = BUILD / f"fleet-{plan.number}"
    with running(document, folder, plan.number, {SERVICE: behaviour or {}}, NET) as fleet:
        fleet.start_entries()
        fleet.apply(document, "benchmark")
        fleet.wait_ready()
        cpu_wait = CpuWait({name: proc.popen.pid for name, proc in fleet.processes.items()})
        yield fleet
        print_progress(
            f"{folder.name}: {cpu_wait.ratio():.2f} s of waiting for a core in each second of work"
        )


class LoadResult(t.NamedTuple):
    """Reports of concurrent load processes, and the seconds of the load to evaluate."""

    reports: list[dict[str, t.Any]]
    window: range

    def rate(self, table: str, prefix: str = "") -> float:
        """Return the events per second of a by-second table within the window."""
        return self.count(table, prefix) / len(self.window)

    def count(self, table: str, prefix: str = "") -> int:
        """Return the number of events of a by-second table within the window.

        Only rows whose name starts with `prefix` count.
        """
        return sum(
            count
            for report in self.reports
            for name, rows in report[table].items()
            if name.startswith(prefix)
            for second, count in rows.items()
            if int(second) in self.window
        )

    def latencies(self, name: str) -> list[float]:
        """Return the latencies in seconds of the complete requests called `name`."""
        return [x for report in self.reports for x in report["latencies"].get(name, [])]

    def total(self, outcome: str) -> int:
        """Return the number of requests with this outcome, over the whole run."""
        rows = [kind for report in self.reports for kind in report["outcomes"].values()]
        return sum(row.get(outcome, 0) for row in rows)

    def reasons(self) -> dict[str, int]:
        """Return the number of refusals by reason, over the whole run."""
        total: dict[str, int] = {}
        for report in self.reports:
            for name, count in report["reasons"].items():
                total[name] = total.get(name, 0) + count
        return total


def start_loads(
    fleet: Fleet, name: str, mix: Mix, seconds: float, *, processes: int = 1, **cfg: t.Any
) -> list[str]:
    """Start load processes that divide the rates of `mix` equally; return their names."""
    names = [f"{name}-{number}" for number in range(processes)]
    shared = [{**row, "rate": row["rate"] / processes} for row in mix]
    for number, load_name in enumerate(names):
        settings = {"entries": fleet.addresses(), "seed": number + 1, "duration_s": seconds}
        fleet.start_load(load_name, {**settings, "grace_s": 6.0, "mix": shared, **cfg})
    return names


def finish_loads(fleet: Fleet, names: list[str], seconds: float, warm_up_s: int = 3) -> LoadResult:
    """Wait for load processes; the window excludes the first `warm_up_s` seconds."""
    reports = [fleet.load_report(name, seconds + REPORT_TIMEOUT_S) for name in names]
    return LoadResult(reports, range(warm_up_s, int(seconds)))


def run_loads(
    fleet: Fleet, name: str, mix: Mix, seconds: float, *, processes: int = 1, **cfg: t.Any
) -> LoadResult:
    """Start load processes and wait for their result."""
    names = start_loads(fleet, name, mix, seconds, processes=processes, **cfg)
    return finish_loads(fleet, names, seconds)


class CpuWait:
    """Measures the run-queue delay of processes per second of processor time.

    Measurements taken while the ratio is far above 0 reflect an overloaded machine.
    """

    def __init__(self, pids: dict[str, int]) -> None:
        self._pids = pids
        self._before = self._read()

    def ratio(self) -> float:
        """Return waiting time divided by running time since construction."""
        after = self._read()
        both = self._before.keys() & after.keys()
        run_ns = sum(after[n][0] - self._before[n][0] for n in both)
        wait_ns = sum(after[n][1] - self._before[n][1] for n in both)
        return wait_ns / run_ns if run_ns else 0.0

    def _read(self) -> dict[str, tuple[int, int]]:
        rows = {}
        for name, pid in self._pids.items():
            with contextlib.suppress(OSError):
                run_ns, wait_ns, _ = pathlib.Path(f"/proc/{pid}/schedstat").read_text().split()
                rows[name] = (int(run_ns), int(wait_ns))
        return rows


def slot_overshoot(fleet: Fleet) -> int:
    """Return the maximum number of requests by which an upstream exceeded its slots."""
    upstream_counts = fleet.upstream_counts().values()
    return max(
        (max(0, counts["most_running"] - counts["slots"]) for counts in upstream_counts), default=0
    )


def sent_peer_messages(fleet: Fleet) -> float:
    """Return the number of messages that all entries have sent to peers."""
    return sum(fleet.metrics(seat).get("peers_sent", 0) for seat in fleet.document["entries"])


def percentile_ms(values: list[float], percent: float) -> float:
    """Return a percentile of latencies, given in seconds, in milliseconds."""
    return 1000 * percentile(values, percent)


def print_progress(text: str) -> None:
    """Print a progress line with the time of day."""
    print(f"[{time.strftime('%H:%M:%S')}] {text}", flush=True)
