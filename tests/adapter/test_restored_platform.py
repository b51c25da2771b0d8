"""Real gateways through drills: the platform's store comes back from older copies of itself.

More seeds by hand: ``python -m tests.adapter.test_restored_platform FIRST COUNT``.
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
"""The drain time of the settings, within which a change is in force."""

SETTLED_S = 4.0
"""Time without faults after which a gateway is held to its bounds again."""

HEARTBEAT_S = 1.0
LEASE_S = 3.0
STEPS = 8
ENDPOINTS = 4


def configuration(version: int) -> dict:
    """Return a configuration with one rule; versions differ in their number only."""
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


class Surroundings:
    """Operators and endpoints: they write, and write again what a restored store has lost."""

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

    def write_again(self) -> None:
        """Write what operators had written, as they do after a restoration."""
        self.store.put("op/config", configuration(self.version))
        self.drain(self.drained)

    def beat(self) -> None:
        """Write each endpoint's registration, as it does at each heartbeat."""
        store = self.store
        with store.changed:
            for row in self.rows:
                era, lease = self.leases.get(row.name, (0, 0))
                if era != store.era or lease not in store.leases:
                    _, body = store._lease({}, {"ttl_time": f"{LEASE_S * 1000:.0f}ms"}, 0)
                    lease = body["lease"]
                    self.leases[row.name] = (store.era, lease)
                store._keep(number=lease)
                held = store.items.get(f"servers/{row.name}")
                value = self._registration(row)
                if held is None or held.lease != lease or json.loads(_raw(held)) != value:
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
        """Write registrations until `stop`."""
        while not self._stop.wait(HEARTBEAT_S):
            if time.monotonic() >= self.store.away_until:
                self.beat()

    def stop(self) -> None:
        self._stop.set()


def _raw(item: restorable.Item) -> bytes:
    return base64.b64decode(item.value)


class Drill:
    """One seeded series of restorations and faults, checked while it runs."""

    def __init__(self, stack, folder: pathlib.Path, seed: int, gateways: int) -> None:
        self.rng = random.Random(seed)
        self.stack, self.folder = stack, folder
        self.store = restorable.RestorableStore()
        self.ports = stack.enter_context(restorable.served(self.store, gateways))
        consul = stack.enter_context(processes.store())
        self.rows, self.arrivals = stack.enter_context(endpoints.service(consul, ENDPOINTS))
        self.around = Surroundings(self.store, self.rows)
        self.around.configure()
        self.around.beat()
        threading.Thread(target=self.around.run, daemon=True).start()
        stack.callback(self.around.stop)
        self.settings = []
        self.running = {}
        self.in_force: dict[str, int] = {}
        for number, port in enumerate(self.ports):
            owned = processes.settings(f"127.0.0.1:{port}", f"e-{number}", "ab"[number % 2])
            cfg = stack.enter_context(owned)
            self.settings.append(cfg)
            self.start(cfg)

    def start(self, cfg) -> None:
        """Start a gateway; a new life may begin by any configuration."""
        name = cfg["name"]
        if name in self.running:
            self.running[name].close()
        self.running[name] = self.stack.enter_context(contextlib.ExitStack())
        self.running[name].enter_context(processes.gateway(self.folder, cfg, LAUNCH))
        self.in_force[name] = 0

    def look(self) -> list[dict]:
        """Return all status pages; no configuration may have gone back."""
        pages = []
        for cfg in self.settings:
            with contextlib.suppress(OSError):
                page = processes.status(cfg)
                assert page["configuration"] >= self.in_force[cfg["name"]], cfg["name"]
                self.in_force[cfg["name"]] = page["configuration"]
                pages.append(page)
        return pages

    def agree(self) -> bool:
        """Tell whether all gateways know what the surroundings have written."""
        pages = self.look()
        return len(pages) == len(self.settings) and all(
            page["configuration"] == self.around.version
            and page["drained_zones"] == (["b"] if self.around.drained else [])
            and len(page["entries"]) == len(self.settings)
            and page["upstreams"] == len(self.rows)
            and not page["store_away"]
            for page in pages
        )

    def disagreement(self) -> str:
        """Return what each gateway knows, and what it should."""
        names = ("configuration", "drained_zones", "upstreams", "store_away")
        known = [
            {**{name: page[name] for name in names}, "entries": len(page["entries"])}
            for page in self.look()
        ]
        around = self.around
        return f"{known}; {around.version=} {around.drained=} {around.leaving=}"

    def step(self) -> None:
        """Bring one fault about, or let something be written."""
        rng, around = self.rng, self.around
        kind = rng.choice(["restore", "restore", "configure", "drain", "leave", "kill", "cut"])
        match kind:
            case "restore":
                self.store.restore(rng.uniform(0, 5), rng.uniform(0, 1))
                threading.Timer(1 + rng.uniform(0, 1), around.write_again).start()
            case "configure":
                around.configure()
            case "drain":
                around.drain(not around.drained)
            case "leave" if len(around.leaving) < ENDPOINTS // 2 - 1:
                around.leaving.add(rng.choice(self.rows).name)
                around.beat()
            case "kill":
                self.start(rng.choice(self.settings))
            case "cut":
                self.store.cut = {rng.choice(self.ports)}
        self.watch(rng.uniform(0, 2))

    def watch(self, duration_s: float) -> None:
        """Look on for some time."""
        end = time.monotonic() + duration_s
        while time.monotonic() < end:
            self.look()
            time.sleep(0.1)

    def settle(self) -> None:
        """End the faults, and check what is promised then."""
        self.store.cut = set()
        time.sleep(2.5)
        self.around.write_again()
        self.watch(SETTLED_S)
        self.around.configure()
        assert processes.eventually(self.agree, DRAIN_S + 10), self.disagreement()
        self.around.configure()
        assert processes.eventually(self.agree, DRAIN_S), self.disagreement()
        self.arrivals.clear()
        for cfg in self.settings:
            for number in range(40):
                path = f"/menus/{number}"
                assert (
                    endpoints.send_request(cfg["callers"], path, path, CALLER_HEADERS).status == 200
                )
        reached = {arrival.endpoint for arrival in self.arrivals}
        assert not reached & self.around.leaving
        assert "cardamomloft:fault" not in self.logs()

    def logs(self) -> str:
        return "".join(processes.log_path(self.folder, cfg).read_text() for cfg in self.settings)


def play(folder: pathlib.Path, seed: int, gateways: int) -> None:
    """Play one drill."""
    with contextlib.ExitStack() as stack:
        drill = Drill(stack, folder, seed, gateways)
        assert processes.eventually(drill.agree, 60), drill.disagreement()
        for _ in range(STEPS):
            drill.step()
        drill.settle()


@pytest.mark.parametrize(("seed", "gateways"), [(1, 3), (2, 9)], ids=["each asks", "relays"])
def test_gateways_come_through_drills_with_nothing_taken_back(tmp_path, seed, gateways):
    play(tmp_path, seed, gateways)


if __name__ == "__main__":
    first, count = int(sys.argv[1]), int(sys.argv[2])
    for seed in range(first, first + count):
        with tempfile.TemporaryDirectory() as name:
            play(pathlib.Path(name), seed, 9 if seed % 2 else 3)
        print(json.dumps({"seed": seed, "passed": True}), flush=True)
