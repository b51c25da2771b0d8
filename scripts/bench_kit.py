"""What every group of experiments needs: figures, generated documents, fleets and loads."""

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
GRACE_S = 30.0

Mix = list[dict[str, t.Any]]


class Aim(t.NamedTuple):
    """What a figure should be: at most or at least `bound`."""

    sign: t.Literal["<=", ">="]
    bound: float

    def met(self, value: float) -> bool:
        """Tell whether `value` keeps to the bound."""
        return value <= self.bound if self.sign == "<=" else value >= self.bound

    def __str__(self) -> str:
        return f"{self.sign} {self.bound:g}"


class Figure(t.NamedTuple):
    """One measured figure; `baseline` is that of the named plain way in the same run."""

    name: str
    value: float
    unit: str
    aim: Aim | None = None
    baseline: float | None = None
    baseline_name: str = ""
    note: str = ""


class Sizes(t.NamedTuple):
    """How long the experiments are; a quick run has fewer and shorter ones."""

    quick: bool

    def pick(self, full: float, quick: float) -> float:
        """Return the size for this kind of run."""
        return quick if self.quick else full


class Plan(t.NamedTuple):
    """A deployment of one region with two zones.

    `number` keeps addresses of deployments that run at the same time apart.
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
        """The slots of all upstreams."""
        return self.upstreams * self.slots


def make_document(plan: Plan) -> Document:
    """Generate the configuration document of a deployment."""
    places = [{"zone": zone, "weight": 1} for zone in plan.places]
    places = places or [{"region": REGION, "weight": 1}]
    return {
        "format": 1,
        "deployment": f"bench-{plan.number}",
        "regions": {REGION: list(ZONES)},
        "entries": {f"entry-{at:02}": _entry_row(plan, at) for at in range(1, plan.entries + 1)},
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


def _entry_row(plan: Plan, at: int) -> dict[str, t.Any]:
    host = f"{NET}.{plan.number}.{at}"
    return {
        "zone": ZONES[at % 2],
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
            f"work-{at:02}": {
                "zone": ZONES[at % 2],
                "address": f"{NET}.{plan.number + 100}.{at}:9000",
                "slots": plan.slots,
                "connections": 360,
            }
            for at in range(1, plan.upstreams + 1)
        },
    }


@contextlib.contextmanager
def deployment(plan: Plan, behaviour: dict[str, t.Any] | None = None) -> Iterator[Fleet]:
    """Own a deployment whose entries all serve the generated document."""
    document = make_document(plan)
    folder = BUILD / f"fleet-{plan.number}"
    with running(document, folder, plan.number, {SERVICE: behaviour or {}}, NET) as fleet:
        fleet.start_entries()
        fleet.apply(document, "benchmark")
        fleet.wait_ready()
        waiting = Waiting({name: proc.popen.pid for name, proc in fleet.processes.items()})
        yield fleet
        say(f"{folder.name}: {waiting.ratio():.2f} s of waiting for a core in each second of work")


class LoadResult(t.NamedTuple):
    """Reports of the load processes that ran at the same time, and the window to look at."""

    reports: list[dict[str, t.Any]]
    window: range

    def rate(self, table: str, prefix: str = "") -> float:
        """Return events per second of a by-second table within the window."""
        return self.count(table, prefix) / len(self.window)

    def count(self, table: str, prefix: str = "") -> int:
        """Return the events of a by-second table within the window."""
        return sum(
            count
            for report in self.reports
            for name, rows in report[table].items()
            if name.startswith(prefix)
            for second, count in rows.items()
            if int(second) in self.window
        )

    def latencies(self, name: str) -> list[float]:
        """Return the latencies of complete requests of one kind, over the whole run."""
        return [x for report in self.reports for x in report["latencies"].get(name, [])]

    def total(self, outcome: str) -> int:
        """Return the requests of any kind that ended in `outcome`, over the whole run."""
        rows = [kind for report in self.reports for kind in report["outcomes"].values()]
        return sum(row.get(outcome, 0) for row in rows)

    def reasons(self) -> dict[str, int]:
        """Return the refusals by reason, over the whole run."""
        total: dict[str, int] = {}
        for report in self.reports:
            for name, count in report["reasons"].items():
                total[name] = total.get(name, 0) + count
        return total


def start_loads(
    fleet: Fleet, name: str, mix: Mix, seconds: float, *, processes: int = 1, **cfg: t.Any
) -> list[str]:
    """Start load processes that share the rates of `mix`; return their names."""
    names = [f"{name}-{number}" for number in range(processes)]
    shared = [{**row, "rate": row["rate"] / processes} for row in mix]
    for number, each in enumerate(names):
        settings = {"entries": fleet.addresses(), "seed": number + 1, "duration_s": seconds}
        fleet.start_load(each, {**settings, "grace_s": 6.0, "mix": shared, **cfg})
    return names


def finish_loads(fleet: Fleet, names: list[str], seconds: float, warm: int = 3) -> LoadResult:
    """Wait for load processes; the window leaves out the first `warm` seconds."""
    reports = [fleet.load_report(name, seconds + GRACE_S) for name in names]
    return LoadResult(reports, range(warm, int(seconds)))


def run_loads(
    fleet: Fleet, name: str, mix: Mix, seconds: float, *, processes: int = 1, **cfg: t.Any
) -> LoadResult:
    """Run load processes to their end."""
    names = start_loads(fleet, name, mix, seconds, processes=processes, **cfg)
    return finish_loads(fleet, names, seconds)


class Waiting:
    """How long processes wait for a core, for each second that they run (from the scheduler).

    A figure taken while this is far above 0 says more of the machine than of the system.
    """

    def __init__(self, pids: dict[str, int]) -> None:
        self._pids = pids
        self._before = self._read()

    def ratio(self) -> float:
        """Return the ratio since the start."""
        after = self._read()
        both = self._before.keys() & after.keys()
        ran = sum(after[n][0] - self._before[n][0] for n in both)
        waited = sum(after[n][1] - self._before[n][1] for n in both)
        return waited / ran if ran else 0.0

    def _read(self) -> dict[str, tuple[int, int]]:
        rows = {}
        for name, pid in self._pids.items():
            with contextlib.suppress(OSError):
                ran, waited, _ = pathlib.Path(f"/proc/{pid}/schedstat").read_text().split()
                rows[name] = (int(ran), int(waited))
        return rows


def overshoot(fleet: Fleet) -> int:
    """Return by how many requests any upstream was ever beyond its slots."""
    upstream_counts = fleet.upstream_counts().values()
    return max(
        (max(0, counts["most_running"] - counts["slots"]) for counts in upstream_counts), default=0
    )


def sent_messages(fleet: Fleet) -> float:
    """Return the messages that all entries have sent to peers."""
    return sum(fleet.metrics(seat).get("peers_sent", 0) for seat in fleet.document["entries"])


def milliseconds(values: list[float], percent: float) -> float:
    """Return a percentile of latencies in milliseconds."""
    return 1000 * percentile(values, percent)


def say(text: str) -> None:
    """Print a line of progress."""
    print(f"[{time.strftime('%H:%M:%S')}] {text}", flush=True)
