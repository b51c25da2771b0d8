"""Look-up rate of one entry against a bare twisted.web resource, and the client-block map."""

import json
import random
import socket
import subprocess
import sys
import time
import typing as t
import urllib.request
from statistics import median

import bench_kit as kit
from bench_kit import Measurement, Plan, RunScale, Target
from cardamomloft.core.addresses import format_address, parse_block
from cardamomloft.core.blocks import BlockMap
from fleet import wait_until

PLAN = Plan(number=17, entries=3, upstreams=2)
BASELINE_ADDRESS = "127.1.17.100:8080"
CONNECTIONS = 4
DRIVERS = 2
ROUNDS = 3
BLOCKS = 1_200_000
SITES = 160

_BASELINE_CODE = """
import sys
from twisted.internet import reactor
from twisted.web.resource import Resource
from twisted.web.server import Site

class Answer(Resource):
    isLeaf = True

    def render_GET(self, request):
        request.setHeader(b"Content-Type", b"application/json")
        return BODY

BODY = sys.argv[2].encode()
host, _, port = sys.argv[1].rpartition(":")
site = Site(Answer())
site.log = lambda request: None
reactor.listenTCP(int(port), site, interface=host)
print("listening", flush=True)
reactor.run()
"""


def run(scale: RunScale) -> list[Measurement]:
    """Measure both rates in alternating rounds, then the client-block map."""
    return [*_rates(scale), *_map(scale)]


def _rates(scale: RunScale) -> list[Measurement]:
    seconds = scale.pick(3, 1)
    with kit.deployment(PLAN) as fleet:
        address = fleet.addresses()[0]
        url = f"http://{address}/lookup?client=10.0.0.1"
        with urllib.request.urlopen(url, timeout=2) as resp:
            body = resp.read().decode()
        fleet.start("bare", [sys.executable, "-c", _BASELINE_CODE, BASELINE_ADDRESS, body])
        baseline_process = fleet.processes["bare"]
        wait_until("bare resource", lambda: "listening" in baseline_process.lines())
        own, baseline = [], []
        for _ in range(1 if scale.quick else ROUNDS):
            own.append(_drive(address, seconds))
            baseline.append(_drive(BASELINE_ADDRESS, seconds))
    ratio = median(a / b for a, b in zip(own, baseline, strict=True))
    kit.print_progress(f"lookup: {own} against {baseline}")
    name = "bare twisted.web resource"
    return [
        Measurement("lookup.rate", median(own), "1/s", None, median(baseline), name),
        Measurement("lookup.rate_ratio", ratio, "ratio", Target(">=", 0.6), 1.0, name),
    ]


def _drive(address: str, seconds: float) -> float:
    """Return the total responses per second over all driver processes."""
    argv = [sys.executable, __file__, address, str(seconds)]
    drivers = [subprocess.Popen(argv, stdout=subprocess.PIPE, text=True) for _ in range(DRIVERS)]
    return sum(float(driver.communicate(timeout=seconds + 20)[0]) for driver in drivers)


def _map(scale: RunScale) -> list[Measurement]:
    count = int(scale.pick(BLOCKS, BLOCKS / 16))
    rng = random.Random(5)
    blocks = _blocks(count, rng)
    built = BlockMap.from_blocks(blocks, "site-000")
    addresses = [parse_block(text).network for text in rng.sample(sorted(blocks), 50_000)]
    best = min(_lookup_us(built, addresses) for _ in range(3))
    changes = [_change_ms(built, text) for text in rng.sample(sorted(blocks), 20)]
    note = f"{count} blocks"
    return [
        Measurement("lookup.decide_us", best, "us", Target("<=", 5), note=note),
        Measurement("lookup.map_mb", built.nbytes / 1e6, "MB", Target("<=", 10), note=note),
        Measurement("lookup.change_one_block_ms", median(changes), "ms", note=note),
    ]


def _blocks(count: int, rng: random.Random) -> dict[str, str]:
    """Return random distinct /24 blocks with a random site each."""
    networks = rng.sample(range(1 << 16, 224 << 16), count)
    return {
        f"{format_address(network << 8)}/24": f"site-{rng.randrange(SITES):03}"
        for network in networks
    }


def _lookup_us(blocks: BlockMap, addresses: list[int]) -> float:
    start = time.perf_counter()
    for address in addresses:
        blocks.site_of(address)
    return (time.perf_counter() - start) / len(addresses) * 1e6


def _change_ms(blocks: BlockMap, text: str) -> float:
    start = time.perf_counter()
    blocks.replace({text: "site-001"})
    return (time.perf_counter() - start) * 1e3


def drive(address: str, seconds: float) -> float:
    """Send requests on persistent connections, one at a time each; return responses per second."""
    host, _, port = address.rpartition(":")
    request = b"GET /lookup?client=10.0.0.1 HTTP/1.1\r\nHost: bench\r\n\r\n"
    conns = [socket.create_connection((host, int(port))) for _ in range(CONNECTIONS)]
    size = _response_size(conns[0], request)
    count, end = 0, time.monotonic() + seconds
    start = time.monotonic()
    for conn in conns:
        conn.sendall(request)
    while time.monotonic() < end:
        for conn in conns:
            _read_response(conn, size)
            conn.sendall(request)
        count += len(conns)
    return count / (time.monotonic() - start)


def _response_size(conn: socket.socket, request: bytes) -> int:
    conn.sendall(request)
    data = b""
    while b"\r\n\r\n" not in data:
        data += conn.recv(65536)
    head, _, body = data.partition(b"\r\n\r\n")
    lines = [line.split(b":", 1) for line in head.lower().split(b"\r\n")[1:]]
    length = next(int(value) for name, value in lines if name == b"content-length")
    while len(body) < length:
        body += conn.recv(65536)
    return len(head) + 4 + length


def _read_response(conn: socket.socket, size: int) -> None:
    """Read one response of roughly `size` bytes; its length may vary by a few bytes."""
    remaining = size - 8
    while remaining > 0:
        data = conn.recv(65536)
        if not data:
            raise RuntimeError("the connection was closed")
        remaining -= len(data)


def main(argv: t.Sequence[str]) -> None:
    """Run as a driver process and print the rate."""
    print(json.dumps(drive(argv[0], float(argv[1]))))


if __name__ == "__main__":
    main(sys.argv[1:])
