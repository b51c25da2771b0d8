"""One deployment and the terminal of its operators: store, VM list and entries in memory."""

import contextlib
import io
import json
import shlex

from cardamomloft.core.changes import decode_record
from cardamomloft.core.clock import ManualClock
from cardamomloft.core.membership import VmRow
from cardamomloft.operators import main, recording
from cardamomloft.operators.running import ConsoleOutput
from cardamomloft.operators.session import Session
from cardamomloft.store.failures import StoreFailure
from cardamomloft.store.keyvalue import Record
from expression import Error, Ok
from twisted.internet.defer import Deferred, succeed

CURRENT = recording.CURRENT_KEY


class FakeStore:
    """Keys in memory; `faults` are (operation, key prefix, effect), each used once in order.

    Effects: "down" (a definite failure), "lost" (no answer and no write), "late" (no answer, but
    written). A callable runs before the operation, as another operator would, and may return one.
    """

    def __init__(self):
        self.values = {}
        self.version = 0
        self.faults = []
        self.writes = []

    def get(self, key):
        """Return a record, or None."""
        effect = self._effect("get", key)
        if effect is not None:
            return succeed(Error(StoreFailure(False, "store is down")))
        return succeed(Ok(self.values.get(key)))

    def compare_and_swap(self, key, value, version):
        """Write a key that still has this version."""
        effect = self._effect("swap", key)
        if effect == "down":
            return succeed(Error(StoreFailure(False, "store is down")))
        held = self.values.get(key)
        swapped = effect != "lost" and version == (held.version if held else 0)
        if swapped:
            self.put(key, value)
        if effect is not None:
            return succeed(Error(StoreFailure(True, "no answer")))
        return succeed(Ok(swapped))

    def put(self, key, value):
        """Write a key, as another operator would."""
        self.version += 1
        self.writes.append(key)
        self.values[key] = Record(value, self.version)

    def _effect(self, operation, key):
        for fault in self.faults:
            if fault[0] == operation and key.startswith(fault[1]):
                self.faults.remove(fault)
                return fault[2]() if callable(fault[2]) else fault[2]
        return None


class OperatorHarness:
    """One deployment and the terminal of its operators."""

    def __init__(self, folder):
        self.folder = folder
        self.clock = ManualClock()
        self.store = FakeStore()
        self.vms = {}
        self.pinned_revisions = {}
        self.unreachable = set()
        self.drains = {}
        self.status_requests = []
        self.incarnations = {}
        self.status_hooks = {}

    @property
    def current(self):
        """The revision in the store, or None."""
        held = self.store.values.get(CURRENT)
        return decode_record(held.value).default_value(None) if held else None

    def file(self, name, document):
        """Write a file for the command to read."""
        (self.folder / name).write_text(json.dumps(document))

    def status(self, address):
        """Return the status of the entry at an address, unless it is silent."""
        seat = f"e{int(address.rpartition(':')[2]) % 100}"
        self.status_requests.append(seat)
        self.status_hooks.pop((seat, self.status_requests.count(seat)), lambda: None)()
        if seat in self.unreachable:
            return succeed(Error("unreachable (TimeoutError)"))
        number = self.current["number"] if self.current else 0
        announced = self.current is not None and "drains" in self.current["document"]
        rows = self.drains.get(seat, []) if announced else []
        shown = rows.pop(0) if len(rows) > 1 else (rows or [[]])[0]
        status = make_status(seat, self.pinned_revisions.get(seat, number), shown)
        return succeed(Ok({**status, "incarnation": f"{seat}/{self.incarnations.get(seat, 1)}"}))

    def fetch(self):
        """List the VMs."""
        rows = [VmRow(name, state, self.clock.utcnow()) for name, state in self.vms.items()]
        return succeed(Ok(rows))

    def sleep(self, span):
        """Let time go by at once."""
        self.clock.advance(span)
        return succeed(None)

    def run(self, line, monkeypatch):
        """Run one command line; return its exit code and what it printed, problems included."""
        ended = []

        def execute(options, command):
            streams = ConsoleOutput(options.json)
            known = tuple(options.entry or ())
            session = Session(self.store, self, self, self.clock, self.sleep, streams, "ann", known)
            finished = []
            Deferred.fromCoroutine(command(session)).addCallback(finished.append)
            ended.append(streams.finish(finished[0]))

        monkeypatch.setattr(main, "execute", execute)
        monkeypatch.chdir(self.folder)
        printed = io.StringIO()
        with contextlib.redirect_stdout(printed), contextlib.redirect_stderr(printed):
            main.bind(shlex.split(line))()
        return ended[0], printed.getvalue()


def make_status(seat, revision, drains):
    """Return the status of an entry that is ready."""
    slots = {"slots_free": 2, "slots_total": 4, "in_flight": 2, "queued": 0}
    return {
        "seat": seat,
        "incarnation": f"{seat}/1",
        "zone": "north-a",
        "region": "north",
        "revision": revision,
        "settled": revision,
        "state": "ready",
        "ready": True,
        "services": {"menus": slots},
        "drains": drains,
        "limits": [],
        "vms_age_ms": 1500,
        "store_age_ms": 40.0,
    }


def make_document(**changes):
    """Return a configuration of three entries in two regions."""

    def entry(number, zone):
        ports = {"callers": 71, "peers": 72, "operators": 73}
        addresses = {key: f"127.0.0.1:{port}0{number}" for key, port in ports.items()}
        return {"zone": zone, **addresses}

    def upstream(number, zone):
        address = f"127.0.0.1:900{number}"
        return {"zone": zone, "address": address, "slots": 4, "connections": 90}

    menus = {
        "prefix": "/menus",
        "deadline_ms": 800,
        "max_deadline_ms": 5000,
        "shift_cap_percent_per_s": 2,
        "upstreams": {"m-1": upstream(1, "north-a"), "m-2": upstream(2, "south-a")},
    }
    near = {"places": [{"region": "north", "weight": 3}, {"region": "south", "weight": 1}]}
    rules = [
        {"name": "no-bulk", "when": {"priority": "bulk"}, "then": {"refuse": "not at lunch"}},
        {"name": "menus", "when": {"service": "menus"}, "then": near},
    ]
    return {
        "format": 1,
        "deployment": "trial",
        "regions": {"north": ["north-a"], "south": ["south-a"]},
        "entries": {
            "e1": entry(1, "north-a"),
            "e2": entry(2, "north-a"),
            "e3": entry(3, "south-a"),
        },
        "services": {"menus": {**menus, **changes.pop("menus", {})}},
        "clients": {"default": "north"},
        "rules": rules,
        **changes,
    }


def drain_rows(*steps):
    """Return the drains that an entry shows, one list for each time it is asked."""
    row = {"name": "north-a", "kind": "zone"}
    return [
        [{**row, "in_flight": running, "expected_end_ms": end, "done": running == 0}]
        for running, end in steps
    ]


def transcript(ctl, *lines):
    """Run command lines, and return what a terminal shows."""
    parts = []
    for line in lines:
        code, printed = ctl(line)
        parts.append(f"$ cardamomctl {line}\n{printed}[exit {int(code)}]\n")
    text = "\n".join(parts)
    assert all(len(row) <= 100 or row.startswith("$") for row in text.split("\n"))
    return text


def as_json(ctl, line):
    """Run a command line with ``--json``; return its exit code and what it printed."""
    code, printed = ctl(f"{line} --json")
    return code, json.loads(printed[printed.index("{") :])


def trail(world):
    """Return the entries of the audit trail as they are stored."""
    entries = []
    while held := world.store.values.get(f"audit/{len(entries) + 1}"):
        entries.append(held.value)
    return entries
