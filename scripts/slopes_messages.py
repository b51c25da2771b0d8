"""Processor time and memory of the traffic between entries, by payload size and peers.

The nodes run in a child process, which isolates the reactor and ZeroMQ's threads.
"""

import json
import pathlib
import subprocess
import sys
import time
import typing as t
from collections.abc import Iterator

from cardamomloft.core.messages import Digest, DocumentReply
from cardamomloft.core.model import Incarnation
from cardamomloft.peers.codec import Envelope, decode, encode
from slopes_fit import Series, cpu_ms

_PAYLOADS = (1_000, 16_000, 64_000, 128_000)
_PEERS = (4, 8, 16, 32)
_MESSAGES = 4_000
_QUICK_MESSAGES = 800
_IN_FLIGHT = 8
_DOCUMENTS = 100
_LOOPS = 500
_TIMEOUT_S = 60.0
_A, _B = Incarnation("entry-r0-z0-1000", "9f3ac81e22d04b17"), Incarnation("entry-r1-z1-1", "7" * 16)
_DIGEST = Digest(1234, 1234, "ready", "entry-r0-z0-1000.9f3ac81e22d04b17.12345." + "m" * 22, 9000)
DIGEST_BYTES = len(encode(Envelope(_A, _B, _DIGEST)))
"""Encoded size of a digest, without TCP and IP headers."""


def measure(*, quick: bool) -> Iterator[Series]:
    """Yield all series of the messages."""
    coded = [(size, _code_us(size)) for size in _PAYLOADS]
    yield Series("messages.code", "payload bytes", "us", tuple(coded))
    count = _QUICK_MESSAGES if quick else _MESSAGES
    by_peers = [(peers, _in_child(peers, count, 0)) for peers in _PEERS]
    yield Series("messages.cpu", "peers", "us", tuple((n, row["cpu_us"]) for n, row in by_peers))
    yield Series(
        "messages.link_rss", "peers", "bytes", tuple((n, row["rss"]) for n, row in by_peers)
    )
    if quick:
        return
    by_size = [(size, _in_child(4, _DOCUMENTS, size)["cpu_us"]) for size in _PAYLOADS]
    yield Series("messages.cpu_of_size", "payload bytes", "us", tuple(by_size))


def _code_us(size: int) -> float:
    envelope = Envelope(_A, _B, DocumentReply(7, bytes(size)))
    return 1000 * cpu_ms(lambda: decode(encode(envelope)), loops=_LOOPS)


def _in_child(peers: int, messages: int, size: int) -> dict[str, float]:
    done = subprocess.run(
        [sys.executable, __file__, str(peers), str(messages), str(size)],
        capture_output=True,
        check=True,
        timeout=_TIMEOUT_S,
        stdin=subprocess.DEVNULL,
    )
    return json.loads(done.stdout)


def _rss() -> int:
    status = pathlib.Path("/proc/self/status").read_text()
    return int(status.partition("VmRSS:")[2].split()[0]) * 1024


class _Exchange:
    """A hub that exchanges messages with `peers` nodes, each of which echoes them."""

    def __init__(self, reactor: t.Any, peers: int, messages: int, size: int) -> None:
        from cardamomloft.peers.node import PeerNode

        self._reactor = reactor
        self._message = DocumentReply(7, bytes(size)) if size else _DIGEST
        self._remaining = messages
        self._total = messages
        self._hub = PeerNode(reactor, Incarnation("hub", "1"), "127.2.0.1:0", self._on_answer)
        self._nodes = {
            f"peer-{index}": PeerNode(
                reactor,
                Incarnation(f"peer-{index}", "1"),
                f"127.2.0.{index + 2}:0",
                self._echo(index),
            )
            for index in range(peers)
        }
        self._before = _rss()

    def _echo(self, index: int) -> t.Callable[[Incarnation, t.Any], None]:
        def answer(_sender: Incarnation, message: t.Any) -> None:
            self._nodes[f"peer-{index}"].send(self._hub.address, message)

        return answer

    def start(self) -> None:
        self._rss = 0
        self._start = time.process_time()
        for turn in range(max(_IN_FLIGHT, len(self._nodes))):
            name = f"peer-{turn % len(self._nodes)}"
            self._hub.send(self._nodes[name].address, self._message)

    def _on_answer(self, sender: Incarnation, _message: t.Any) -> None:
        self._remaining -= 1
        if self._remaining > 0:
            self._hub.send(self._nodes[sender.seat].address, self._message)
        elif self._remaining == 0:
            self._finish()

    def _finish(self) -> None:
        spent = time.process_time() - self._start
        grown = _rss() - self._before
        print(json.dumps({"cpu_us": spent / self._total / 2 * 1e6, "rss": grown}))
        for node in (self._hub, *self._nodes.values()):
            node.close()
        self._reactor.stop()


def _child(peers: int, messages: int, size: int) -> None:
    from twisted.internet import reactor

    exchange = _Exchange(reactor, peers, messages, size)
    reactor.callWhenRunning(exchange.start)
    reactor.run()


if __name__ == "__main__":
    _child(*map(int, sys.argv[1:]))
