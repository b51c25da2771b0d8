"""A small deployment on loopback: the store, endpoints, and gateways of the deploy file."""

import asyncio
import itertools
import json
import os
import pathlib
import random
import signal
import socket
import sys
import tempfile
import time
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))

from http1 import read_head  # noqa: E402
from store import Store, address_of  # noqa: E402

HOST = "jepu9.example"
ID, STAMP = "X-Cardamomloft-Attempt-Id", "X-Cardamomloft-Server-Stamp"
NOT_RUN, EXPECT = "X-Cardamomloft-Not-Executed", "x-cardamomloft-expect-instance"
DEADLINE, LOAD = "X-Cardamomloft-Deadline-Ms", "X-Cardamomloft-Server-Load"
BEAT_S = 1.5
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

ROUTE_FIELDS = ["name", "host", "prefix", "kind", "timeout", "targetLatency", "priority"]
ROUTE_FIELDS += ["service", "maxAttempts", "stickySessions", "homeRegions", "split"]
SERVICE_FIELDS = ["name", "healthPath", "maxConnections", "protocol", "tls", "coldStart"]
SERVICE_FIELDS += ["coldPerS"]


def configuration(version, routes, services):
    """Return a document for ``op/config``.

    `routes` are rows of prefix, kind, timeout in ms and service.
    """
    rows = [
        [f"r{n}", HOST, prefix, kind, f"{ms}ms", "500ms", 1, service, 2, False, [], None]
        for n, (prefix, kind, ms, service) in enumerate(routes)
    ]
    named = [[name, "/health", 360, "h1", False, "3s", 7.0] for name in services]
    limits = {"maxHeaderBytes": 16384, "maxBodyBytes": 67108864}
    limits |= {"headerTimeout": "3000ms", "idleTimeout": "15000ms"}
    return {
        "version": version,
        "routes": {"columns": ROUTE_FIELDS, "rows": rows},
        "services": {"columns": SERVICE_FIELDS, "rows": named},
        "limits": limits,
    }


class Record:
    """Writes what was sent, answered and run to ``record.txt``."""

    def __init__(self, folder):
        self.file = pathlib.Path(folder, "record.txt").open("w")  # noqa: SIM115
        self.began = time.monotonic()

    def __call__(self, *words):
        """Write one line with the time since the start."""
        line = f"{time.monotonic() - self.began:8.3f} s  " + " ".join(map(str, words))
        print(line, file=self.file, flush=True)


class Endpoint:
    """An endpoint that registers itself; `behave(endpoint, head, reader, writer)` serves a request.

    It returns whether the connection is kept.
    """

    numbers = itertools.count(1)

    def __init__(self, lab, service, behave, zone="z-a", slots=4):
        self.lab, self.service, self.behave = lab, service, behave
        self.zone, self.slots = zone, slots
        self.id = f"i-{next(self.numbers):04d}"
        self.state, self.sequence, self.running = "ready", 0, 0
        self.runs = []

    async def start(self):
        """Listen, and register now and every 1.5 s."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=2**20)
        self.address = address_of(self.server)
        self.beating = asyncio.create_task(self.beat())
        return self

    def register(self):
        """Write the registration to the store."""
        self.sequence += 1
        row = {"service": self.service, "address": self.address, "zone": self.zone}
        row |= {"version": "v1", "slots": self.slots, "state": self.state}
        row |= {"coldRemaining": "0ms", "sequence": self.sequence}
        self.lab.store.put(f"servers/{self.id}", row)

    async def beat(self):
        """Register again and again, each endpoint at its own times."""
        self.register()
        await asyncio.sleep(random.uniform(0, BEAT_S))
        while True:
            self.register()
            await asyncio.sleep(BEAT_S)

    async def serve(self, reader, writer):
        """Serve one connection, one request at a time."""
        try:
            while (head := await read_head(reader)) is not None:
                if head.headers.get(EXPECT, self.id) != self.id:
                    self.reply(writer, head, 421, b"", {})
                    break
                if not await self.behave(self, head, reader, writer):
                    break
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def reply(self, writer, head, status, body, extra):
        """Send an answer that echoes the id of the request."""
        lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
        lines += [f"{ID}: {head.headers.get(ID.lower(), '')}"]
        lines += [f"{name}: {value}" for name, value in extra.items()]
        writer.write("\r\n".join([*lines, "", ""]).encode() + body)

    def stamped(self, writer, head, status=200, body=b"done\n"):
        """Send an answer of a run, with the stamp and the load."""
        extra = {STAMP: f"{self.id}.{head.headers.get(ID.lower())}", LOAD: f"0,0,{self.slots}"}
        self.reply(writer, head, status, body, extra)


class Gateway:
    """One gateway process, run with the command of the deploy file."""

    def __init__(self, lab, name, ip, zone):
        self.lab, self.name, self.ip, self.zone = lab, name, ip, zone
        self.proc = None
        ports = free_ports(ip, 12)
        self.front, self.ready_at, self.directory = (f"{ip}:{p}" for p in ports[:3])
        self.cfg = {
            "name": name,
            "zone": zone,
            "region": lab.zones[zone],
            "zones": lab.zones,
            "callers": self.front,
            "readiness": self.ready_at,
            "lookups": self.directory,
            "operators": f"{ip}:{ports[3]}",
            "peers": f"{ip}:{ports[4]}",
            "proxy": {"ip": ip, "ports": [ports[5], ports[5]]},
            "store": lab.store.address,
            "features": ["base", "drain", "config", "cost", "retry", "recover", "places"],
            "stop_time": "6s",
            "drain_time": "2500ms",
            "lookup_life": "5s",
            "retries": {"ratio": 0.2, "slack": 60, "window": "10s"},
            "cold": {"overage": 1.5, "slack": 5},
        }
        self.cfg["features"].append("platform")

    async def start(self):
        """Start the process with the command of the deploy file."""
        path = self.lab.folder / f"{self.name}.json"
        path.write_text(json.dumps(self.cfg))
        keep = ("PATH", "HOME", "LANG")
        env = {name: os.environ[name] for name in keep if name in os.environ}
        env |= {"CARDAMOMLOFT_CONFIG": str(path), "PYTHONPATH": str(ROOT / "target" / "deps")}
        log = (self.lab.folder / f"{self.name}.log").open("ab")  # noqa: SIM115
        command = ["python3", "-m", "cardamomloft.platform.main"]
        self.proc = await asyncio.create_subprocess_exec(
            *command, env=env, cwd=ROOT, stdout=log, stderr=log
        )
        return self

    async def ready(self, timeout=20):
        """Wait until the gateway is ready."""
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            if await asyncio.to_thread(self.is_ready):
                return
            await asyncio.sleep(0.1)
        raise RuntimeError(f"{self.name} is not ready")

    def is_ready(self):
        """Return whether the readiness page answers 200."""
        try:
            with urllib.request.urlopen(f"http://{self.ready_at}/v1/ready", timeout=1) as answer:
                return answer.status == 200
        except OSError:
            return False

    def signal(self, number):
        """Send a signal to the process."""
        self.proc.send_signal(number)

    def log_text(self):
        """Return what the process has written."""
        return (self.lab.folder / f"{self.name}.log").read_text(errors="replace")


class Lab:
    """The deployment; use it with ``async with``, which ends all processes that it started."""

    def __init__(self, folder):
        self.zones = {"z-a": "r-a", "z-b": "r-b"}
        self.record = Record(folder)
        self.gateways = []

    async def __aenter__(self):
        self.temporary = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self.temporary.name)
        self.store = Store()
        await self.store.start()
        return self

    async def __aexit__(self, *exc):
        for gateway in self.gateways:
            if gateway.proc is not None and gateway.proc.returncode is None:
                gateway.signal(signal.SIGCONT)
                gateway.proc.kill()
                await gateway.proc.wait()
        if os.environ.get("KEEP_LOGS"):
            for gateway in self.gateways:
                print(gateway.log_text(), file=sys.stderr)
        self.temporary.cleanup()

    async def gateway(self, name="front-1", ip="127.0.0.1", zone="z-a"):
        """Start a gateway."""
        made = Gateway(self, name, ip, zone)
        self.gateways.append(made)
        return await made.start()


def free_ports(ip, count):
    """Return ports that are free at present."""
    socks = [socket.socket() for _ in range(count)]
    for sock in socks:
        sock.bind((ip, 0))
    ports = [sock.getsockname()[1] for sock in socks]
    for sock in socks:
        sock.close()
    return ports


def head(method, path, request_id, deadline_ms, length=None, extra=()):
    """Return the bytes of the head of a request."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"{ID}: {request_id}"]
    lines += [f"{DEADLINE}: {deadline_ms}", *extra]
    if length is not None:
        lines.append(f"Content-Length: {length}")
    return "\r\n".join([*lines, "", ""]).encode()


async def connect(address):
    """Open a connection to ``ip:port``."""
    host, _, port = address.rpartition(":")
    return await asyncio.open_connection(host, int(port))
