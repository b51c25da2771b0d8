"""Gateway processes converge again after the platform's store is restored from backups.

To run more seeds: ``python -m tests.adapter.test_restored_platform FIRST COUNT``.
"""

import base64
import contextlib
import json
import pathlib
import random
import sys
import tempfile
import threading
import time

import pytest
from cardamomloft.platform.names import CALLER_HEADERS
from cardamomloft_standins import endpoints, processes

from . import restorable
from .columns import ROUTE_COLUMNS

LAUNCH = (
    "-c",
    "import os, sys; os.environ['CARDAMOMLOFT_CONFIG'] = sys.argv[2]; sys.argv = sys.argv[:1];"
    "from cardamomloft.platform.main import main; sys.exit(main())",
)

DRAIN_S = 2.5
"""Drain time of the settings, within which each change must be in force."""

RECOVERY_S = 4.0
"""Time without faults after which the time bounds apply again."""

HEARTBEAT_S = 1.0
LEASE_S = 3.0
STEPS = 8
ENDPOINTS = 4


def configuration(version: int) -> dict:
    """Return a configuration with one rule and the number `version`."""
    rule = [
        "menus",
        endpoints.HOST,
        "/menus/",
        "safe",
        "1s",
        "400ms",
        1,
        "menus",
        2,
        True,
        [],
        None,
    ]
    return {
        "version": version,
        "routes": {
            "columns": ROUTE_COLUMNS,
            "rows": [rule],
        },
        "services": {
            "columns": [
                "name",
                "healthPath",
                "maxConnections",
                "protocol",
                "tls",
                "coldStart",
                "coldPerS",
            ],
            "rows": [["menus", "/health", 390, "h1", False, "0s", 13.0]],
        },
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 67108864,
            "headerTimeout": "3000ms",
            "idleTimeout": "15000ms",
        },
    }


class Environment:
    """Operators and endpoints, which repeat their writes after a restore has lost them."""

    def __init__(self, store: restorable.RestorableStore, rows) -> None:
        self.store, self.rows = store, rows
        self.version = 0
        self.drained = False
        self.leaving: set[str] = set()
        self.leases: dict[str, tuple[int, int]] = {}
        self._stop = threading.Event()

    def configure(self) -> None:
        self.version += 1
        self.store.put("op/config", configuration(self.version))

    def drain(self, drained: bool) -> None:
        self.drained = drained
        if drained:
            self.store.put("op/evacuate/b", {})
        else:
            self.store.remove("op/evacuate/b")

    def repeat_operator_writes(self) -> None:
        """Repeat the operators' last writes, as they do after a restore."""
        self.store.put("op/config", configuration(self.version))
        self.drain(self.drained)

    def heartbeat(self) -> None:
        """Renew each endpoint's lease, and write its registration if it changed or is missing."""
        store = self.store
        with store.changed:
            for row in self.rows:
                era, lease = self.leases.get(row.name, (0, 0))
                if era != store.era or lease not in store.leases:
                    _, body = store._lease({}, {"ttl_time": f"{LEASE_S * 1000:.0f}ms"}, 0)
                    lease = body["lease"]
                    self.leases[row.name] = (store.era, lease)
                store._keep(number=lease)
                stored = store.items.get(f"servers/{row.name}")
                value = self._registration(row)
                if stored is None or stored.lease != lease or json.loads(_raw(stored)) != value:
                    store.put(f"servers/{row.name}", value, lease)

    def _registration(self, row) -> dict:
        return {
            "service": "menus",
            "address": row.address,
            "zone": "ab"[int(row.name.split("-")[1]) % 2],
            "version": "v1",
            "slots": 8,
            "state": "draining" if row.name in self.leaving else "ready",
            "coldRemaining": "0ms",
            "sequence": 1,
        }

    def run(self) -> None:
        """Send heartbeats until `stop` is called."""
        while not self._stop.wait(HEARTBEAT_S):
            if time.monotonic() >= self.store.unavailable_until:
                self.heartbeat()

    def stop(self) -> None:
        self._stop.set()


def _raw(item: restorable.Item) -> bytes:
    return base64.b64decode(item.value)


class Drill:
    """One seeded sequence of restores and faults, with checks while it runs."""

    def __init__(self, stack, folder: pathlib.Path, seed: int, gateways: int) -> None:
        self.rng = random.Random(seed)
        self.stack, self.folder = stack, folder
        self.store = restorable.RestorableStore()
        self.ports = stack.enter_context(restorable.serve(self.store, gateways))
        consul = stack.enter_context(processes.store())
        self.rows, self.arrivals = stack.enter_context(endpoints.service(consul, ENDPOINTS))
        for row in self.rows:
            row.headers["X-Cardamomloft-Server-Stamp"] = "1"
        self.environment = Environment(self.store, self.rows)
        self.environment.configure()
        self.environment.heartbeat()
        threading.Thread(target=self.environment.run, daemon=True).start()
        stack.callback(self.environment.stop)
        self.settings = []
        self.running = {}
        self.last_configuration: dict[str, int] = {}
        for number, port in enumerate(self.ports):
            owned = processes.settings(f"127.0.0.1:{port}", f"e-{number}", "ab"[number % 2])
            cfg = stack.enter_context(owned)
            self.settings.append(cfg)
            self.start(cfg)

    def start(self, cfg) -> None:
        """Start or restart a gateway, which may begin with any configuration."""
        name = cfg["name"]
        if name in self.running:
            self.running[name].close()
        self.running[name] = self.stack.enter_context(contextlib.ExitStack())
        self.running[name].enter_context(processes.gateway(self.folder, cfg, LAUNCH))
        self.last_configuration[name] = 0

    def read_status(self) -> list[dict]:
        """Return all status pages, after checking that no configuration was reverted."""
        pages = []
        for cfg in self.settings:
            with contextlib.suppress(OSError):
                page = processes.status(cfg)
                assert page["configuration"] >= self.last_configuration[cfg["name"]], cfg["name"]
                self.last_configuration[cfg["name"]] = page["configuration"]
                pages.append(page)
        return pages

    def has_converged(self) -> bool:
        """Return whether all gateways have the state that was last written."""
        pages = self.read_status()
        return len(pages) == len(self.settings) and all(
            page["configuration"] == self.environment.version
            and page["drained_zones"] == (["b"] if self.environment.drained else [])
            and len(page["entries"]) == len(self.settings)
            and page["upstreams"] == len(self.rows)
            and not page["store_away"]
            for page in pages
        )

    def describe_state(self) -> str:
        """Return the state of each gateway and the expected one, for assertion messages."""
        names = ("configuration", "drained_zones", "upstreams", "store_away")
        actual = [
            {**{name: page[name] for name in names}, "entries": len(page["entries"])}
            for page in self.read_status()
        ]
        environment = self.environment
        return f"{actual}; {environment.version=} {environment.drained=} {environment.leaving=}"

    def step(self) -> None:
        """Inject a random fault or write a random change."""
        rng, environment = self.rng, self.environment
        kind = rng.choice(["restore", "restore", "configure", "drain", "leave", "kill", "cut"])
        match kind:
            case "restore":
                self.store.restore(rng.uniform(0, 5), rng.uniform(0, 1))
                threading.Timer(1 + rng.uniform(0, 1), environment.repeat_operator_writes).start()
            case "configure":
                environment.configure()
            case "drain":
                environment.drain(not environment.drained)
            case "leave" if len(environment.leaving) < ENDPOINTS // 2 - 1:
                environment.leaving.add(rng.choice(self.rows).name)
                environment.heartbeat()
            case "kill":
                self.start(rng.choice(self.settings))
            case "cut":
                self.store.disconnected_ports = {rng.choice(self.ports)}
        self.check_status_for(rng.uniform(0, 2))

    def check_status_for(self, duration_s: float) -> None:
        """Check the status pages repeatedly for some time."""
        end = time.monotonic() + duration_s
        while time.monotonic() < end:
            self.read_status()
            time.sleep(0.1)

    def check_recovery(self) -> None:
        """End all faults, and check that the gateways converge within the time bounds."""
        self.store.disconnected_ports = set()
        time.sleep(2.5)
        self.environment.repeat_operator_writes()
        self.check_status_for(RECOVERY_S)
        self.environment.configure()
        assert processes.eventually(self.has_converged, DRAIN_S + 10), self.describe_state()
        self.environment.configure()
        assert processes.eventually(self.has_converged, DRAIN_S), self.describe_state()
        self.arrivals.clear()
        for cfg in self.settings:
            for number in range(40):
                path = f"/menus/{number}"
                assert (
                    endpoints.send_request(cfg["callers"], path, path, CALLER_HEADERS).status == 200
                )
        reached = {arrival.endpoint for arrival in self.arrivals}
        assert not reached & self.environment.leaving
        assert "cardamomloft:fault" not in self.logs()

    def logs(self) -> str:
        return "".join(processes.log_path(self.folder, cfg).read_text() for cfg in self.settings)


def run_drill(folder: pathlib.Path, seed: int, gateways: int) -> None:
    """Run the drill of `seed` with this number of gateways."""
    with contextlib.ExitStack() as stack:
        drill = Drill(stack, folder, seed, gateways)
        assert processes.eventually(drill.has_converged, 60), drill.describe_state()
        for _ in range(STEPS):
            drill.step()
        drill.check_recovery()


@pytest.mark.parametrize(("seed", "gateways"), [(1, 3), (2, 9)], ids=["without relays", "relays"])
def test_gateways_converge_after_restores_without_reverting_changes(tmp_path, seed, gateways):
    run_drill(tmp_path, seed, gateways)


if __name__ == "__main__":
    first, count = int(sys.argv[1]), int(sys.argv[2])
    for seed in range(first, first + count):
        with tempfile.TemporaryDirectory() as name:
            run_drill(pathlib.Path(name), seed, 9 if seed % 2 else 3)
        print(json.dumps({"seed": seed, "passed": True}), flush=True)
