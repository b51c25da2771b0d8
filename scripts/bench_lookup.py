"""Look-ups: rate of one entry against a bare resource, and the map of client blocks."""

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
from bench_kit import Aim, Figure, Plan, Sizes
from cardamomloft.core.addresses import format_address, parse_block
from cardamomloft.core.blocks import BlockMap
from fleet import wait_until

PLAN = Plan(number=17, entries=3, upstreams=2)
BARE = "127.1.17.100:8080"
CONNECTIONS = 4
DRIVERS = 2
ROUNDS = 3
BLOCKS = 1_200_000
SITES = 160

_BARE_CODE = """
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


def run(sizes: Sizes) -> list[Figure]:
    """Measure the rates in turn, a few times each, then the map."""
    return [*_rates(sizes), *_map(sizes)]


def _rates(sizes: Sizes) -> list[Figure]:
    seconds = sizes.pick(3, 1)
    with kit.deployment(PLAN) as fleet:
        address = fleet.addresses()[0]
        url = f"http://{address}/lookup?client=10.0.0.1"
        with urllib.request.urlopen(url, timeout=2) as resp:
            body = resp.read().decode()
        fleet.start("bare", [sys.executable, "-c", _BARE_CODE, BARE, body])
        bare = fleet.processes["bare"]
        wait_until("bare resource", lambda: "listening" in bare.lines())
        own, plain = [], []
        for _ in range(1 if sizes.quick else ROUNDS):
            own.append(_drive(address, seconds))
            plain.append(_drive(BARE, seconds))
    ratio = median(a / b for a, b in zip(own, plain, strict=True))
    kit.say(f"lookup: {own} against {plain}")
    name = "bare twisted.web resource"
    return [
        Figure("lookup.rate", median(own), "1/s", None, median(plain), name),
        Figure("lookup.rate_ratio", ratio, "ratio", Aim(">=", 0.6), 1.0, name),
    ]


def _drive(address: str, seconds: float) -> float:
    """Return the answers per second that driver processes get together."""
    argv = [sys.executable, __file__, address, str(seconds)]
    drivers = [subprocess.Popen(argv, stdout=subprocess.PIPE, text=True) for _ in range(DRIVERS)]
    return sum(float(driver.communicate(timeout=seconds + 20)[0]) for driver in drivers)


def _map(sizes: Sizes) -> list[Figure]:
    count = int(sizes.pick(BLOCKS, BLOCKS / 16))
    rng = random.Random(5)
    blocks = _blocks(count, rng)
    built = BlockMap.from_blocks(blocks, "site-000")
    inside = [parse_block(text).network for text in rng.sample(sorted(blocks), 50_000)]
    best = min(_decide_us(built, inside) for _ in range(3))
    changes = [_change_ms(built, text) for text in rng.sample(sorted(blocks), 20)]
    note = f"{count} blocks"
    return [
        Figure("lookup.decide_us", best, "us", Aim("<=", 5), note=note),
        Figure("lookup.map_mb", built.nbytes / 1e6, "MB", Aim("<=", 10), note=note),
        Figure("lookup.change_one_block_ms", median(changes), "ms", note=note),
    ]


def _blocks(count: int, rng: random.Random) -> dict[str, str]:
    """Draw distinct blocks of 24 bits, each with one of the sites."""
    networks = rng.sample(range(1 << 16, 224 << 16), count)
    return {
        f"{format_address(network << 8)}/24": f"site-{rng.randrange(SITES):03}"
        for network in networks
    }


def _decide_us(blocks: BlockMap, addresses: list[int]) -> float:
    start = time.perf_counter()
    for address in addresses:
        blocks.site_of(address)
    return (time.perf_counter() - start) / len(addresses) * 1e6


def _change_ms(blocks: BlockMap, text: str) -> float:
    start = time.perf_counter()
    blocks.replace({text: "site-001"})
    return (time.perf_counter() - start) * 1e3


def drive(address: str, seconds: float) -> float:
    """Ask over a few kept connections, the next question after each answer."""
    host, _, port = address.rpartition(":")
    question = b"GET /lookup?client=10.0.0.1 HTTP/1.1\r\nHost: bench\r\n\r\n"
    conns = [socket.create_connection((host, int(port))) for _ in range(CONNECTIONS)]
    size = _answer_size(conns[0], question)
    count, end = 0, time.monotonic() + seconds
    start = time.monotonic()
    for conn in conns:
        conn.sendall(question)
    while time.monotonic() < end:
        for conn in conns:
            _read(conn, size)
            conn.sendall(question)
        count += len(conns)
    return count / (time.monotonic() - start)


def _answer_size(conn: socket.socket, question: bytes) -> int:
    conn.sendall(question)
    data = b""
    while b"\r\n\r\n" not in data:
        data += conn.recv(65536)
    head, _, body = data.partition(b"\r\n\r\n")
    lines = [line.split(b":", 1) for line in head.lower().split(b"\r\n")[1:]]
    length = next(int(value) for name, value in lines if name == b"content-length")
    while len(body) < length:
        body += conn.recv(65536)
    return len(head) + 4 + length


def _read(conn: socket.socket, size: int) -> None:
    """Read one answer; its size may vary by a few bytes, so look at what has come."""
    left = size - 8
    while left > 0:
        data = conn.recv(65536)
        if not data:
            raise RuntimeError("the connection was closed")
        left -= len(data)


def main(argv: t.Sequence[str]) -> None:
    """Run as one driver process."""
    print(json.dumps(drive(argv[0], float(argv[1]))))


if __name__ == "__main__":
    main(sys.argv[1:])
