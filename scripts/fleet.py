"""Run complete deployments as separate processes on loopback, for the demo, trials and benchmarks.

All processes are direct children of the script and are ended by their process id. The context
manager `running` ends them when its block exits.
"""

import contextlib
import json
import os
import pathlib
import signal
import subprocess
import sys
import threading
import time
import typing as t
import urllib.request
from collections.abc import Iterable, Iterator

Document = dict[str, t.Any]

_READY_S = 20.0
_PAUSE_S = 0.05


class Process:
    """One child process; standard output and standard error go to a log file."""

    def __init__(self, name: str, argv: list[str], folder: pathlib.Path) -> None:
        self.name = name
        self.log = folder / f"{name}.log"
        self._file = self.log.open("wb")
        env = {**os.environ, "PYTHONUNBUFFERED": "1"}
        self.popen = subprocess.Popen(
            argv, stdout=self._file, stderr=subprocess.STDOUT, stdin=subprocess.DEVNULL, env=env
        )

    def signal(self, number: int) -> None:
        """Send a signal if the process is running."""
        if self.popen.poll() is None:
            self.popen.send_signal(number)

    def wait(self, timeout: float) -> int | None:
        """Return the exit code, or None if the process still runs after `timeout` seconds."""
        with contextlib.suppress(subprocess.TimeoutExpired):
            self.popen.wait(timeout)
        return self.popen.returncode

    def lines(self) -> list[str]:
        """Return the lines printed so far."""
        return self.log.read_text(errors="replace").splitlines()

    def is_listening(self) -> bool:
        """Return whether the process has printed its listening address.

        Raises
        ------
        RuntimeError
            If the process has exited.
        """
        if self.popen.poll() is not None:
            raise RuntimeError(f"{self.name} ended: " + "\n".join(self.lines()[-2:]))
        return any(line.startswith('{"listening"') for line in self.lines())

    def close(self, timeout: float = 2.0) -> None:
        """Terminate the process; kill it if it still runs after `timeout` seconds."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGTERM)
        if self.wait(timeout) is None:
            self.popen.kill()
            self.popen.wait()
        self._file.close()


def get_json(url: str, timeout: float = 2.0) -> t.Any:
    """Fetch and decode a JSON document."""
    with urllib.request.urlopen(url, timeout=timeout) as resp:
        return json.load(resp)


def put_json(url: str, value: t.Any, timeout: float = 2.0) -> None:
    """Send a JSON value with PUT, as the control endpoints of the stand-ins expect."""
    req = urllib.request.Request(
        url,
        data=json.dumps(value).encode(),
        method="PUT",
        headers={"Content-Type": "application/json"},
    )
    with urllib.request.urlopen(req, timeout=timeout) as resp:
        resp.read()


def wait_until(what: str, condition: t.Callable[[], bool], timeout: float = _READY_S) -> float:
    """Poll until `condition` holds; return the seconds that it took.

    Raises
    ------
    TimeoutError
        If `condition` does not hold within `timeout` seconds.
    """
    start = time.monotonic()
    while not condition():
        if time.monotonic() - start > timeout:
            raise TimeoutError(f"{what}: not reached within {timeout} s")
        time.sleep(_PAUSE_S)
    return time.monotonic() - start


class Fleet:
    """The processes of one deployment: entries, stand-ins and load generators.

    Parameters
    ----------
    document
        The configuration document; its addresses must be loopback addresses.
    folder
        Directory for settings and logs.
    number
        Last octet of the store's and VM list's addresses; unique among fleets that run at once.
    behaviour
        Behaviour of the stand-in upstreams by service (see the stand-ins' settings).
    net
        The first two octets of the platform stand-ins' addresses.
    """

    def __init__(
        self,
        document: Document,
        folder: pathlib.Path,
        number: int,
        behaviour: dict[str, dict[str, t.Any]] | None = None,
        net: str = "127.0",
    ) -> None:
        self.document = document
        self.folder = folder
        self.store = f"{net}.3.{number}:8500"
        self.vms = f"{net}.4.{number}:8600"
        self.store_control = ""
        self.behaviour = behaviour or {}
        self.processes: dict[str, Process] = {}
        folder.mkdir(parents=True, exist_ok=True)

    def start(self, name: str, argv: list[str]) -> Process:
        """Start a process under `name`, which replaces an ended process of that name."""
        proc = Process(name, argv, self.folder)
        self.processes[name] = proc
        return proc

    def start_standins(self) -> None:
        """Start the store, the VM list and the upstreams, and wait until all of them listen."""
        module = [sys.executable, "-m", "cardamomloft_standins.main"]
        rows = self.upstream_rows()
        cfg = self.folder / "upstreams.json"
        cfg.write_text(json.dumps({"endpoints": rows}))
        started = [
            self.start("store", [*module, "store", "--listen", self.store]),
            self.start("vms", [*module, "vms", "--listen", self.vms]),
            self.start("upstreams", [*module, "upstreams", "--settings", str(cfg)]),
        ]
        for proc in started:
            wait_until(proc.name, proc.is_listening)
        self.store_control = json.loads(started[0].lines()[0])["control"]
        self.set_vms({})

    def set_store(self, **faults: t.Any) -> None:
        """Set faults of the store through its control address, which works while it is down."""
        put_json(f"http://{self.store_control}/control", faults)

    def store_calls(self) -> dict[str, int]:
        """Return the number of calls to the store since its start, by kind."""
        return get_json(f"http://{self.store_control}/control/counts")["calls"]

    def set_upstreams(self, **behaviour: t.Any) -> None:
        """Change the behaviour of every upstream."""
        for row in self.upstream_rows():
            put_json(f"http://{row['address']}/-/control", behaviour)

    def metrics(self, seat: str) -> dict[str, float]:
        """Return an entry's unlabelled metrics, without their common prefix and suffix."""
        url = f"http://{self.document['entries'][seat]['operators']}/metrics"
        with urllib.request.urlopen(url, timeout=2.0) as resp:
            lines = resp.read().decode().splitlines()
        rows = (line.rsplit(" ", 1) for line in lines if "{" not in line)
        return {
            name.removeprefix("cardamomloft_").removesuffix("_total"): float(value)
            for name, value in rows
        }

    def upstream_rows(self) -> list[dict[str, t.Any]]:
        """Return the stand-ins' settings for every upstream of the document."""
        return [
            {
                "name": name,
                "service": service,
                "zone": row["zone"],
                "address": row["address"],
                "slots": row["slots"],
                "behaviour": self.behaviour.get(service, {}),
            }
            for service, service_row in self.document["services"].items()
            for name, row in service_row["upstreams"].items()
        ]

    def set_vms(self, states: dict[str, str]) -> None:
        """Publish the VM list; entries that are missing from `states` are live."""
        stamp = time.strftime("%Y-%m-%dT%H:%M:%S+00:00", time.gmtime())
        rows = [
            {
                "name": seat,
                "address": row["callers"].split(":")[0],
                "state": states.get(seat, "live"),
                "at": stamp,
            }
            for seat, row in self.document["entries"].items()
        ]
        put_json(f"http://{self.vms}/v1/vms", rows)

    def start_entry(self, seat: str, **extra: t.Any) -> Process:
        """Start the entry of `seat`; `extra` adds to or overrides its settings."""
        row = self.document["entries"][seat]
        seeds = [r["peers"] for name, r in self.document["entries"].items() if name != seat]
        settings = {
            "seat": seat,
            "zone": row["zone"],
            "callers": row["callers"],
            "peers": row["peers"],
            "operators": row["operators"],
            "store": f"http://{self.store}",
            "vms": f"http://{self.vms}",
            "peer_seeds": seeds,
            **extra,
        }
        path = self.folder / f"{seat}.settings.json"
        path.write_text(json.dumps(settings, indent=2))
        binary = str(pathlib.Path(sys.executable).parent / "cardamomloft")
        return self.start(seat, [binary, "--settings", str(path)])

    def start_entries(self) -> None:
        """Start every entry of the roster."""
        for seat in self.document["entries"]:
            self.start_entry(seat)

    def status(self, seat: str) -> dict[str, t.Any] | None:
        """Return an entry's status page, or None if it can't be read."""
        try:
            return get_json(f"http://{self.document['entries'][seat]['operators']}/status")
        except (OSError, ValueError):
            return None

    def wait_ready(self, seats: list[str] | None = None, timeout: float = _READY_S) -> float:
        """Wait until the given entries (default: all) are ready; return the seconds it took."""
        pending = list(seats or self.document["entries"])

        def ready() -> bool:
            pending[:] = [seat for seat in pending if not (self.status(seat) or {}).get("ready")]
            return not pending

        return wait_until("entries ready", ready, timeout)

    def ctl(self, *args: str, timeout: float = 30.0) -> tuple[int, dict[str, t.Any]]:
        """Run cardamomctl with --json; return its exit code and decoded output."""
        binary = str(pathlib.Path(sys.executable).parent / "cardamomctl")
        where = ["--store", f"http://{self.store}", "--vms", f"http://{self.vms}"]
        done = subprocess.run(
            [binary, *args, *where, "--json"],
            capture_output=True,
            text=True,
            timeout=timeout,
            stdin=subprocess.DEVNULL,
        )
        try:
            return done.returncode, json.loads(done.stdout)
        except ValueError:
            return done.returncode, {"text": done.stdout, "error": done.stderr}

    def apply(self, document: Document, why: str, wait: float = 15.0) -> dict[str, t.Any]:
        """Apply a document and wait until it is accepted.

        Raises
        ------
        RuntimeError
            If `cardamomctl apply` exits with an error.
        """
        path = self.folder / "rules.json"
        path.write_text(json.dumps(document, indent=2))
        code, answer = self.ctl("apply", str(path), "--why", why, "--wait", str(wait))
        if code != 0:
            kept = {k: v for k, v in answer.items() if k != "difference"}
            raise RuntimeError(f"apply: exit {code}: {kept}")
        self.document = document
        return answer

    def upstream_counts(self) -> dict[str, dict[str, t.Any]]:
        """Return the run counts that each stand-in upstream has recorded, by endpoint name."""
        return {
            row["name"]: get_json(f"http://{row['address']}/-/books")
            for row in self.upstream_rows()
        }

    def start_load(self, name: str, settings: dict[str, t.Any]) -> Process:
        """Start a load generator process."""
        path = self.folder / f"{name}.load.json"
        path.write_text(json.dumps(settings))
        return self.start(name, [sys.executable, "-m", "cardamomloft_standins.load", str(path)])

    def load_report(self, name: str, timeout: float) -> dict[str, t.Any]:
        """Wait for a load generator to exit and return its report.

        Raises
        ------
        RuntimeError
            If it fails or does not exit within `timeout` seconds.
        """
        proc = self.processes[name]
        if proc.wait(timeout) != 0:
            raise RuntimeError(f"{name}: " + "\n".join(proc.lines()[-20:]))
        return json.loads(proc.lines()[-1])

    def addresses(self) -> list[str]:
        """Return the addresses on which the entries serve callers."""
        return [row["callers"] for row in self.document["entries"].values()]

    def close(self) -> None:
        """End every process of this fleet."""
        self.end(self.processes)

    def end(self, names: Iterable[str], timeout: float = 2.0) -> None:
        """End the named processes in parallel."""
        procs = [self.processes[name] for name in names]
        threads = [threading.Thread(target=proc.close, args=(timeout,)) for proc in procs]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()


@contextlib.contextmanager
def running(
    document: Document,
    folder: pathlib.Path,
    number: int = 1,
    behaviour: dict[str, dict[str, t.Any]] | None = None,
    net: str = "127.0",
) -> Iterator[Fleet]:
    """Yield a fleet with running stand-ins; end all its processes when the block exits."""
    fleet = Fleet(document, folder, number, behaviour, net)
    try:
        fleet.start_standins()
        yield fleet
    finally:
        fleet.close()


class UpstreamCounts(t.NamedTuple):
    """Run counts over all upstreams; `runs` holds the runs of each idempotency key."""

    duplicate_runs: int
    slot_overshoot: int
    cut_off: int
    runs: dict[str, int]


def summarize_counts(upstream_counts: dict[str, dict[str, t.Any]]) -> UpstreamCounts:
    """Sum the run counts of all upstreams, so that repeated runs at different ones show."""
    runs: dict[str, int] = {}
    for counts in upstream_counts.values():
        for key, count in counts["runs"].items():
            runs[key] = runs.get(key, 0) + count
    return UpstreamCounts(
        sum(count - 1 for count in runs.values() if count > 1),
        max(
            (
                max(0, counts["most_running"] - counts["slots"])
                for counts in upstream_counts.values()
            ),
            default=0,
        ),
        sum(counts["cut_off"] for counts in upstream_counts.values()),
        runs,
    )


def percentile(values: list[float], percent: float) -> float:
    """Return the nearest-rank percentile of `values` in any order; 0 if there are none."""
    if not values:
        return 0.0
    ordered = sorted(values)
    rank = max(0, min(len(ordered) - 1, int(round(percent / 100 * len(ordered) + 0.5)) - 1))
    return ordered[rank]
